"""Send one order at a time to an engine, until its fate is known."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from rosepath.clock import BootClock, Clock
from rosepath.engine_orders import (
    EnginePort,
    EngineRecord,
    Order,
    OrderAction,
    OrderReply,
)
from rosepath.errors import ExchangeError
from rosepath.fleet import BackendServer
from rosepath.logs import get_logger

ORDER_TRIES = 3
# Longer than the silence after which an order that went out is given up.
ANSWERED_S = 0.65
# How often the end of what is under way is looked for.
END_LOOK_S = 0.02

_log = get_logger()


class OrderSender:
    """Send orders while this VM may, and remember when it last did.

    `outcomes` counts them by kind and reply; `acted_s` is when the last one was
    answered or given up, on the clock that runs through suspension.
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
        self._closed = False
        # Orders that are begun, and those of them that have gone out.
        self._on_way = 0
        self._sent = 0
        self._fence = fence
        self.clock: Clock = BootClock()
        self.outcomes: dict[str, int] = {}
        self.acted_s = -1e9

    def may_order(self) -> bool:
        """Tell whether an order may go out."""
        return not self._closed and self._may_order()

    @property
    def acted_ago_s(self) -> float:
        """Return how long ago the last act was over; 0 while one is on its way."""
        if self._sent:
            return 0.0
        return max(0.0, self.clock.monotonic_s() - self.acted_s)

    async def close(self) -> None:
        """Let no order out any more, and wait for the fate of those on the way."""
        self._closed = True
        with suppress(TimeoutError):
            async with asyncio.timeout(ANSWERED_S):
                while self._on_way:  # noqa: ASYNC110
                    await asyncio.sleep(END_LOOK_S)

    async def send(
        self,
        server: BackendServer,
        record: EngineRecord,
        action: OrderAction,
        model: str,
        adapter: str = "",
        *,
        on_way: Callable[[], None] = lambda: None,
    ) -> OrderReply | None:
        """Send one order until its fate is known; None if it stays unknown.

        An order without an answer may still be carried out. Sent again with
        the same expected sequence, only one of the two can be. `on_way` is
        called each time that the order goes out, and not before it may.
        """

        sent_s: list[float] = []
        fence = self._fence()

        def may_act() -> bool:
            # A lease that was lost and is held again has another fence: a holder
            # in between may have ordered under one that is higher than this order's.
            allowed = self._fence() == fence and self._may_act()
            if allowed:
                if not sent_s:
                    self._sent += 1
                sent_s.append(self.acted_s)
                on_way()
            return allowed

        for _ in range(ORDER_TRIES):
            if not self.may_order() or self._fence() != fence:
                return None
            order = Order(
                action=action,
                server=server.name,
                model=model,
                adapter=adapter,
                holder=self._me,
                fence=fence,
                expected_sequence=record.sequence,
            )
            reply: OrderReply | None = None
            why = ""
            sent_s.clear()
            self.acted_s = self.clock.monotonic_s()
            self._on_way += 1
            try:
                # The holder may be suspended while it connects, and its lease
                # be another's by the time that the order could go out.
                reply = await self._engines.order(
                    server.address, order, still_wanted=may_act
                )
            except ExchangeError as error:
                why = error.message
            finally:
                self._on_way -= 1
                if sent_s:
                    self._sent -= 1
                    self.acted_s = self.clock.monotonic_s()
            self._note(order, reply, why, sent_s=sent_s[0] if sent_s else None)
            if reply is not None and _counted(order, reply):
                record.sequence += 1
            if reply is OrderReply.CONFLICT:
                record.known = False
                return reply
            if reply is not None:
                return reply
        record.known = False
        return None

    def _may_act(self) -> bool:
        """Tell whether an order may go out now, and note that it does.

        The next holder waits from the moment at which the order is answered or given
        up. Until that is known, it is an act that goes on.
        """
        if not self.may_order():
            return False
        self.acted_s = self.clock.monotonic_s()
        return True

    def _note(
        self, order: Order, reply: OrderReply | None, why: str, *, sent_s: float | None
    ) -> None:
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
            outcome=outcome,
            why=why,
            # Null if it never went out; only what did may still arrive.
            sent_ago_s=None
            if sent_s is None
            else round(self.clock.monotonic_s() - sent_s, 3),
        )


def _counted(order: Order, reply: OrderReply) -> bool:
    """Tell whether an engine counted an order among those it accepted.

    What an adapter's unload finds unused is gone at once, and the engine says
    that it holds already; it counts that, unlike other orders that hold.
    """
    if reply is OrderReply.HOLDS:
        return bool(order.adapter) and order.action is OrderAction.UNLOAD
    return reply is OrderReply.ACCEPTED
