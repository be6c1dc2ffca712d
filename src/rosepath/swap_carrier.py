"""Carry out swaps: one model makes way on an engine, another takes its place."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from rosepath.catalog import EngineSpec
from rosepath.clock import Clock
from rosepath.engine_books import Swap
from rosepath.engine_orders import EnginePort, EngineRecord, OrderAction, OrderReply
from rosepath.engine_views import load_s_of, used_mb
from rosepath.errors import ExchangeError
from rosepath.fleet import BackendServer
from rosepath.order_sender import END_LOOK_S, OrderSender

# While an order is in progress, its end is looked for this often.
LOOK_INTERVAL_S = 0.25
# A load that is due is looked for this often: its model is waited for, and
# reports lag by a tenth of a second.
LOADED_LOOK_S = 0.12
# An engine that is still busy is asked again after this, then less often; an
# unload waits for the runs of its model, which seldom last longer than this.
BUSY_AGAIN_S = 0.06
BUSY_MAX_S = 12.0
# Loads that share the weight store take longer, up to so many times.
LOAD_TIMES = 4.0


class SwapCarrier:
    """Send the orders of swaps, one after the other, and see them done."""

    def __init__(
        self,
        *,
        clock: Clock,
        engines: EnginePort,
        sender: OrderSender,
        look: Callable[[BackendServer, EngineRecord], Awaitable[bool]],
        lock: Callable[[str], asyncio.Lock],
        on_held: Callable[[str, str, str, bool], None],
    ) -> None:
        self._clock = clock
        self._engines = engines
        self._sender = sender
        self._look = look
        self._lock = lock
        self._on_held = on_held
        self.closing = False
        # The engines whose victims go or went, and whose load is not answered.
        self._halfway: set[str] = set()

    async def finish(self, limit_s: float) -> None:
        """Begin no swap any more, and see those ended that are halfway.

        Left there, an engine would hold one model less, and its callers wait
        for the next holder to find out.
        """
        self.closing = True
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while self._halfway and self._sender.may_order():  # noqa: ASYNC110
                    await asyncio.sleep(END_LOOK_S)

    async def carry_out(
        self, swap: Swap, server: BackendServer, record: EngineRecord, spec: EngineSpec
    ) -> None:
        """Carry out one swap; whatever ends it, the record is read again."""
        now_s = self._clock.monotonic_s
        try:
            async with self._lock(server.name):
                # An adapter that was on its way when the swap was planned has
                # landed by now, and none is ordered while the record is busy.
                if used_mb(record, spec, without=swap.victims) > spec.memory_mb:
                    return
                if self.closing:
                    return
                if swap.victims:
                    self._halfway.add(server.name)
            for victim in swap.victims:
                if not await self._unload(server, record, victim):
                    return
            size_mb = spec.models[swap.model].size_mb
            record.loading = ""
            if used_mb(record, spec) + size_mb > spec.memory_mb:
                return
            record.loading = swap.model
            if not await self._load(server, record, swap.model):
                return
            self._halfway.discard(server.name)
            load_s = load_s_of(server, spec.models[swap.model])
            record.due_s = now_s() + load_s
            await asyncio.sleep(load_s)
            limit_s = now_s() + LOAD_TIMES * spec.models[swap.model].load_s
            while now_s() < limit_s and self._sender.may_order():
                await self._look(server, record)
                if swap.model in record.models and not record.engine_busy:
                    record.loaded_s[swap.model] = now_s()
                    self._on_held(server.name, swap.model, "", True)
                    return
                await asyncio.sleep(LOADED_LOOK_S)
        finally:
            self._halfway.discard(server.name)
            record.loading = ""
            record.busy = False
            record.known = False

    async def _unload(
        self, server: BackendServer, record: EngineRecord, victim: str
    ) -> bool:
        told: list[str] = []

        def tell_once() -> None:
            # From the order on, new requests for it are turned away there.
            if not told:
                told.append(victim)
                self._on_held(server.name, victim, "", False)

        async with self._lock(server.name):
            reply = await self._send_until_free(
                server, record, OrderAction.UNLOAD, victim, on_way=tell_once
            )
        if reply not in (OrderReply.ACCEPTED, OrderReply.HOLDS):
            if told:
                await self._take_back(server, record, victim)
            return False
        record.models.discard(victim)
        for name in list(record.adapters):
            if name.startswith(f"{victim}/"):
                del record.adapters[name]
        return True

    async def _take_back(
        self, server: BackendServer, record: EngineRecord, victim: str
    ) -> None:
        """Tell that a model is there after all, unless a report says it went.

        If no report can be read it counts as there: a request that is turned
        away puts that right, while one that is never sent would not.
        """
        await self._look(server, record)
        if victim in record.models and not server.left:
            self._on_held(server.name, victim, "", True)

    async def _load(
        self, server: BackendServer, record: EngineRecord, model: str
    ) -> bool:
        # Until the unload before it is done, the engine turns this away: its
        # memory is free by the time that the load is accepted.
        reply = await self._send_until_free(server, record, OrderAction.LOAD, model)
        return reply in (OrderReply.ACCEPTED, OrderReply.HOLDS)

    async def _send_until_free(
        self,
        server: BackendServer,
        record: EngineRecord,
        action: OrderAction,
        model: str,
        *,
        on_way: Callable[[], None] = lambda: None,
    ) -> OrderReply | None:
        """Send an order again while the engine is busy with the one before."""
        pause_s = BUSY_AGAIN_S
        limit_s = self._clock.monotonic_s() + BUSY_MAX_S
        while True:
            reply = await self._sender.send(
                server, record, action, model, on_way=on_way
            )
            now_s = self._clock.monotonic_s()
            if reply is not OrderReply.CONFLICT or now_s > limit_s:
                return reply
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 1.6, LOOK_INTERVAL_S)
            if pause_s >= LOOK_INTERVAL_S and await self._moved_on(server, record):
                # An order that was given up landed late: what fits is to be
                # reckoned anew, or this one would load beyond the memory.
                return reply

    async def _moved_on(self, server: BackendServer, record: EngineRecord) -> bool:
        """Tell whether an engine took an order that is not counted here.

        Or whether it started again and counts anew.
        """
        try:
            report = await self._engines.report(server.address, server.name)
        except ExchangeError:
            return False
        reborn = report.born_ms > record.born_ms
        return reborn or report.sequence > record.sequence
