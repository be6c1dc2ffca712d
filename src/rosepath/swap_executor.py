"""Execute swaps: unload models from an engine and load another one instead."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import StrEnum

from rosepath.catalog import EngineSpec
from rosepath.clock import Clock
from rosepath.engine_orders import (
    EnginePort,
    EngineRecord,
    OrderAction,
    OrderBasis,
    OrderReply,
)
from rosepath.engine_plan_state import Swap
from rosepath.engine_views import basis_for_load, load_duration_s, used_mb
from rosepath.errors import ExchangeError
from rosepath.fleet import BackendServer
from rosepath.logs import get_logger
from rosepath.order_sender import POLL_INTERVAL_S, OrderSender, basis_holds

# How often an engine's report is read while an order is in progress.
REPORT_INTERVAL_S = 0.25
# How often the report is read once a load is due. Requests are waiting for the
# model, and reports lag by 0.1 s.
LOADED_POLL_INTERVAL_S = 0.12
# Delay before an order to a busy engine is retried, with backoff, and the time
# after which retries stop. An unload waits for the running requests of its
# model, which seldom last longer than the latter.
BUSY_RETRY_DELAY_S = 0.06
BUSY_RETRY_LIMIT_S = 12.0
# Loads that share the weight store's bandwidth take up to this factor longer.
MAX_LOAD_SLOWDOWN = 4.0

_log = get_logger()


class SwapOutcome(StrEnum):
    """Enumerate how a swap can end."""

    LOADED = "loaded"
    NO_ROOM = "no_room"
    # The engine is busy with an order that this holder did not count.
    ENGINE_BUSY = "engine_busy"
    NOT_UNLOADED = "not_unloaded"
    NOT_LOADED = "not_loaded"
    # The load was accepted, but no report showed the model in time.
    UNCONFIRMED = "unconfirmed"
    STOPPING = "stopping"
    CANCELLED = "cancelled"


class SwapExecutor:
    """Send each swap's orders in sequence and wait until its model is loaded.

    It serves one term of the placement lease. `closing` is set once no more swaps
    may start in that term.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        engines: EnginePort,
        sender: OrderSender,
        read_report: Callable[[BackendServer, EngineRecord], Awaitable[bool]],
        lock: Callable[[str], asyncio.Lock],
        on_residency_change: Callable[[str, str, str, bool], None],
    ) -> None:
        self._clock = clock
        self._engines = engines
        self._sender = sender
        self._read_report = read_report
        self._lock = lock
        self._on_residency_change = on_residency_change
        self.closing = False
        # Engines on which an unload was started and the load is not confirmed
        # yet.
        self._half_finished: set[str] = set()

    async def finish(self, limit_s: float) -> None:
        """Start no more swaps, and wait for those with a started unload.

        An abandoned swap would leave its engine with one model less, and
        callers would wait until the next holder has read the report.
        """
        self.closing = True
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while self._half_finished and self._sender.may_order():  # noqa: ASYNC110
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def execute(
        self, swap: Swap, server: BackendServer, record: EngineRecord, spec: EngineSpec
    ) -> None:
        """Execute one swap; however it ends, the report is read again."""
        outcome = SwapOutcome.CANCELLED
        try:
            outcome = await self._execute(swap, server, record, spec)
        finally:
            self._half_finished.discard(server.name)
            record.loading = ""
            record.swap_in_progress = False
            record.is_current = False
            _log.info(
                "swap_ended",
                step="plan",
                peer=server.name,
                model=swap.model,
                outcome=outcome.value,
            )

    async def _execute(
        self, swap: Swap, server: BackendServer, record: EngineRecord, spec: EngineSpec
    ) -> SwapOutcome:
        async with self._lock(server.name):
            # An adapter load in flight when the swap was planned is done by
            # now, and none is ordered while a swap is in progress. A report read
            # since may have counted a late load whose model it does not name yet.
            if record.engine_busy:
                return SwapOutcome.ENGINE_BUSY
            if used_mb(record, spec, without=swap.evicted_models) > spec.memory_mb:
                return SwapOutcome.NO_ROOM
            # Each unload takes a number before the load does.
            number = record.sequence + len(swap.evicted_models)
            if record.may_load_late_with(swap.model, sequence=number):
                return SwapOutcome.NO_ROOM
            if self.closing:
                return SwapOutcome.STOPPING
            basis = record.basis
            if swap.evicted_models:
                self._half_finished.add(server.name)
        for evicted_model in swap.evicted_models:
            if not await self._unload(server, record, evicted_model, basis):
                return SwapOutcome.NOT_UNLOADED
            basis = record.basis
        record.loading = ""
        load_basis = basis_for_load(record, spec, swap.model)
        if load_basis is None:
            return SwapOutcome.NO_ROOM
        record.loading = swap.model
        if not await self._load(server, record, swap.model, load_basis):
            return SwapOutcome.NOT_LOADED
        self._half_finished.discard(server.name)
        return await self._wait_until_loaded(swap.model, server, record, spec)

    async def _wait_until_loaded(
        self, model: str, server: BackendServer, record: EngineRecord, spec: EngineSpec
    ) -> SwapOutcome:
        now_s = self._clock.monotonic_s
        load_s = load_duration_s(server, spec.models[model])
        record.load_due_s = now_s() + load_s
        await asyncio.sleep(load_s)
        limit_s = now_s() + MAX_LOAD_SLOWDOWN * spec.models[model].load_s
        while now_s() < limit_s and self._sender.may_order() and not server.left:
            await self._read_report(server, record)
            if model in record.models and not record.engine_busy:
                record.loaded_s[model] = now_s()
                self._on_residency_change(server.name, model, "", True)
                return SwapOutcome.LOADED
            await asyncio.sleep(LOADED_POLL_INTERVAL_S)
        return SwapOutcome.UNCONFIRMED

    async def _unload(
        self,
        server: BackendServer,
        record: EngineRecord,
        evicted_model: str,
        basis: OrderBasis,
    ) -> bool:
        announced: list[str] = []

        def announce_once() -> None:
            # The engine rejects new requests for the model from the order on.
            if not announced:
                announced.append(evicted_model)
                self._on_residency_change(server.name, evicted_model, "", False)

        async with self._lock(server.name):
            reply = await self._send_while_busy(
                server,
                record,
                OrderAction.UNLOAD,
                evicted_model,
                basis=basis,
                on_sent=announce_once,
            )
        if reply not in (OrderReply.ACCEPTED, OrderReply.HOLDS):
            if announced:
                await self._retract_removal(server, record, evicted_model)
            return False
        record.models.discard(evicted_model)
        for name in list(record.adapters):
            if name.startswith(f"{evicted_model}/"):
                del record.adapters[name]
        return True

    async def _retract_removal(
        self, server: BackendServer, record: EngineRecord, evicted_model: str
    ) -> None:
        """Announce a model as still loaded unless the report shows otherwise.

        Without a readable report the model counts as loaded: a rejected
        request would correct that, while a model wrongly taken for unloaded
        gets no request that could.
        """
        await self._read_report(server, record)
        if evicted_model in record.models and not server.left:
            self._on_residency_change(server.name, evicted_model, "", True)

    async def _load(
        self,
        server: BackendServer,
        record: EngineRecord,
        model: str,
        basis: OrderBasis,
    ) -> bool:
        # The engine rejects the load until the preceding unload is done, so
        # the memory is free by the time that it accepts.
        reply = await self._send_while_busy(
            server, record, OrderAction.LOAD, model, basis=basis
        )
        return reply in (OrderReply.ACCEPTED, OrderReply.HOLDS)

    async def _send_while_busy(
        self,
        server: BackendServer,
        record: EngineRecord,
        action: OrderAction,
        model: str,
        *,
        basis: OrderBasis,
        on_sent: Callable[[], None] = lambda: None,
    ) -> OrderReply | None:
        """Send an order; retry while the engine is busy with another one."""
        pause_s = BUSY_RETRY_DELAY_S
        limit_s = self._clock.monotonic_s() + BUSY_RETRY_LIMIT_S
        while True:
            reply = await self._sender.send(
                server, record, action, model, basis=basis, on_sent=on_sent
            )
            now_s = self._clock.monotonic_s()
            if reply is not OrderReply.CONFLICT or now_s > limit_s:
                return reply
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 1.6, REPORT_INTERVAL_S)
            outdated = not basis_holds(basis, server, record)
            if not outdated and pause_s >= REPORT_INTERVAL_S:
                outdated = await self._accepted_another_order(server, basis)
            if outdated:
                # An abandoned order was executed late. What fits has to be
                # planned again: this order could exceed the engine's memory.
                return reply

    async def _accepted_another_order(
        self, server: BackendServer, basis: OrderBasis
    ) -> bool:
        """Return whether an engine accepted an order after the basis.

        Also true if the engine restarted and its count with it.
        """
        try:
            report = await self._engines.report(server.address, server.name)
        except ExchangeError:
            return False
        restarted = report.born_ms > basis.born_ms
        return restarted or report.sequence > basis.sequence
