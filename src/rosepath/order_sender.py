"""Send an order to an engine and retry until its outcome is known."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from rosepath.clock import BootClock, Clock
from rosepath.engine_orders import (
    EnginePort,
    EngineRecord,
    Order,
    OrderAction,
    OrderBasis,
    OrderReply,
)
from rosepath.errors import ExchangeError
from rosepath.fleet import BackendServer
from rosepath.logs import get_logger

MAX_ORDER_ATTEMPTS = 3
# Longer than the timeout after which a sent order is abandoned.
CLOSE_TIMEOUT_S = 0.65
# How often to check whether orders or swaps in progress have ended.
POLL_INTERVAL_S = 0.02

_log = get_logger()


class OrderSender:
    """Send orders while this entry VM may, and track when the last one ended.

    `outcomes` counts orders by kind and reply. `last_action_s` is when the
    last order was confirmed or abandoned, on a clock that keeps running while
    the VM is suspended. The next lease holder delays its own orders based on
    it.
    """

    def __init__(
        self,
        *,
        me: str,
        engines: EnginePort,
        may_order: Callable[[], bool],
        fence: Callable[[], int],
    ) -> None:
        self._me = me
        self._engines = engines
        self._may_order = may_order
        # The fencing token of the term whose orders have ended. A VM that gets
        # the lease back has another one.
        self._ended_fence = -1
        # Orders that are started, and the subset that has been sent.
        self._pending = 0
        self._in_flight = 0
        self._fence = fence
        self.clock: Clock = BootClock()
        self.outcomes: dict[str, int] = {}
        self.last_action_s = -1e9

    def may_order(self) -> bool:
        """Return whether an order may be sent."""
        return self._fence() != self._ended_fence and self._may_order()

    @property
    def last_action_age_s(self) -> float:
        """Return the time since the last order ended; 0 if one is pending."""
        if self._in_flight:
            return 0.0
        return max(0.0, self.clock.monotonic_s() - self.last_action_s)

    async def end_term(self) -> None:
        """Send no more orders in this term, and wait for those in flight."""
        self._ended_fence = self._fence()
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                while self._pending:  # noqa: ASYNC110
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def send(
        self,
        server: BackendServer,
        record: EngineRecord,
        action: OrderAction,
        model: str,
        adapter: str = "",
        *,
        basis: OrderBasis,
        on_sent: Callable[[], None] = lambda: None,
    ) -> OrderReply | None:
        """Send an order, with retries; None if its outcome stays unknown.

        An order without a response may still be executed. A retry has the same
        expected sequence, so the engine executes at most one of the two. Once
        the record shows that `basis` no longer holds, nothing is sent.
        `on_sent` is called each time the order is sent, after the last check
        that it may be.
        """

        sent_s: list[float] = []

        def may_send_now() -> bool:
            # A lease that was lost and acquired again has a new fence: a
            # holder in between may have sent orders under a fence higher than
            # this order's.
            allowed = (
                self._fence() == basis.fence
                and basis_holds(basis, server, record)
                and self._try_start_sending()
            )
            if allowed:
                if not sent_s:
                    self._in_flight += 1
                sent_s.append(self.last_action_s)
                on_sent()
            return allowed

        for _ in range(MAX_ORDER_ATTEMPTS):
            if not self.may_order() or self._fence() != basis.fence:
                return None
            if not basis_holds(basis, server, record):
                return OrderReply.CONFLICT
            order = Order(
                action=action,
                server=server.name,
                model=model,
                adapter=adapter,
                holder=self._me,
                fence=basis.fence,
                expected_sequence=basis.sequence,
            )
            reply: OrderReply | None = None
            why = ""
            sent_s.clear()
            self.last_action_s = self.clock.monotonic_s()
            self._pending += 1
            try:
                # The VM may be suspended while it connects, and the lease may
                # have passed to another holder once the connection is open.
                reply = await self._engines.order(
                    server.address, order, still_wanted=may_send_now
                )
            except ExchangeError as error:
                why = error.message
            finally:
                self._pending -= 1
                if sent_s:
                    self._in_flight -= 1
                    self.last_action_s = self.clock.monotonic_s()
            self._record_outcome(
                order, record, reply, why, sent_s=sent_s[0] if sent_s else None
            )
            if reply is None and sent_s:
                record.note_unanswered(order, now_s=self.clock.monotonic_s())
            if reply is not None and _advances_sequence(order, reply):
                record.count_order(basis, uncertain=reply is OrderReply.HOLDS)
            if reply is OrderReply.CONFLICT:
                record.require_report()
                return reply
            if reply is not None:
                return reply
        record.is_current = False
        return None

    def _try_start_sending(self) -> bool:
        """Return whether an order may be sent now, and record the time if so.

        The next holder's wait starts when the order is confirmed or abandoned.
        Until then the order counts as still in progress.
        """
        if not self.may_order():
            return False
        self.last_action_s = self.clock.monotonic_s()
        return True

    def _record_outcome(
        self,
        order: Order,
        record: EngineRecord,
        reply: OrderReply | None,
        why: str,
        *,
        sent_s: float | None,
    ) -> None:
        now_s = self.clock.monotonic_s()
        outcome = reply.value if reply else "unanswered"
        key = (
            f"{order.action.value}_{'adapter' if order.adapter else 'model'}_{outcome}"
        )
        self.outcomes[key] = self.outcomes.get(key, 0) + 1
        _log.info(
            "order",
            step="order",
            peer=order.server,
            action=order.action.value,
            model=order.model,
            adapter=order.adapter,
            fence=order.fence,
            sequence=order.expected_sequence,
            # A restarted engine has the same name and counts from zero.
            born_ms=record.born_ms,
            report_age_s=round(now_s - record.reported_s, 3),
            recorded_models=sorted(record.models),
            recorded_adapters=len(record.adapters),
            outcome=outcome,
            why=why,
            # Null if never sent; only a sent order may still arrive late.
            sent_ago_s=None if sent_s is None else round(now_s - sent_s, 3),
        )


def basis_holds(basis: OrderBasis, server: BackendServer, record: EngineRecord) -> bool:
    """Return whether an order with this basis may still be sent.

    A restarted engine keeps its name and counts from zero, so it may reach the
    expected sequence with other contents.
    """
    return record.basis == basis and not server.left


def _advances_sequence(order: Order, reply: OrderReply) -> bool:
    """Return whether an engine counts the order in its sequence.

    An engine unloads an unused adapter immediately and returns HOLDS (the
    requested state already applies). It counts this order, but no other order
    for which it returns HOLDS; not even this one if it did not have the adapter.
    """
    if reply is OrderReply.HOLDS:
        return bool(order.adapter) and order.action is OrderAction.UNLOAD
    return reply is OrderReply.ACCEPTED
