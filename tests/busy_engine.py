"""An engine whose orders take time, come late or lose their responses."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from entry_builders import an_engine_spec

from rosepath.catalog import EngineSpec
from rosepath.engine_orders import EngineReport, Order, OrderAction, OrderReply
from rosepath.errors import ExchangeError, Step

ADAPTER_SLOTS = 3
MEMORY_MB = 200_000.0
MODEL_MB = {
    "m0": 72_700.0,
    "m1": 65_100.0,
    "m2": 65_100.0,
    "m3": 42_700.0,
    "m4": 42_700.0,
    "m5": 72_700.0,
}
ADAPTER_MB = 10.0
ORDER_TIMEOUT_S = 0.6
LATE_S = (2.0, 12.0)
HOP_S = (0.0005, 0.002)
MODEL_LOAD_S = (0.4, 2.0)
ADAPTER_LOAD_S = (0.005, 0.01)
# How long runs that an unload waits for last.
RUN_S = (0.1, 4.0)


def a_busy_engine_spec() -> EngineSpec:
    """Build the specification of the engines."""
    spec = an_engine_spec(*MODEL_MB, adapter_slots=ADAPTER_SLOTS)
    models = {
        name: replace(model, size_mb=MODEL_MB[name], adapter_mb=ADAPTER_MB)
        for name, model in spec.models.items()
    }
    return replace(spec, memory_mb=MEMORY_MB, models=models)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


class BusyEngine:
    """Execute one order at a time; each takes a while.

    An order counts when it is accepted, and its effect is reported once it is done.
    `excess` describes the first order to load more than fits.
    """

    def __init__(self, *models: str, rng: random.Random) -> None:
        self.models: dict[str, set[str]] = {name: set() for name in models}
        self.sequence = 0
        self.excess = ""
        self._rng = rng
        self._late_share = rng.choice((0.1, 0.3, 0.5))
        self._lost_share = rng.choice((0.0, 0.05, 0.2))
        self._in_use_share = rng.choice((0.0, 0.3, 0.6))
        # Whether what holds already is confirmed before the number is looked at.
        self._confirms_first = rng.random() < 0.5
        self._report_lag_s = rng.choice((0.0, 0.1, 0.3))
        self._current: Order | None = None
        self._reports: deque[tuple[float, EngineReport]] = deque()
        self._note_report()

    # Called by the holder

    async def order(
        self, _: str, order: Order, *, still_wanted: Callable[[], bool]
    ) -> OrderReply:
        await self._pause(HOP_S)
        if not still_wanted():
            raise ExchangeError("unwanted", step=Step.SEND, peer="e1", sent=False)
        if self._rng.random() < self._late_share:
            loop = asyncio.get_running_loop()
            loop.call_later(self._rng.uniform(*LATE_S), self.execute, order)
            await self._time_out(ORDER_TIMEOUT_S)
        reply = self.execute(order)
        if self._rng.random() < self._lost_share:
            await self._time_out(self._rng.choice((HOP_S[1], ORDER_TIMEOUT_S)))
        await self._pause(HOP_S)
        return reply

    async def report(self, _: str, __: str) -> EngineReport:
        await self._pause(HOP_S)
        as_of_s = _now_s() - self._report_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= as_of_s:
            self._reports.popleft()
        report = self._reports[0][1]
        await self._pause(HOP_S)
        return report

    async def _pause(self, range_s: tuple[float, float]) -> None:
        await asyncio.sleep(self._rng.uniform(*range_s))

    async def _time_out(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        raise ExchangeError("silent", step=Step.RESPONSE, peer="e1", sent=True)

    # What the engine does

    def execute(self, order: Order) -> OrderReply:
        """Accept or reject an order."""
        if order.adapter and order.model not in self.models:
            return OrderReply.REFUSED
        holds = self._holds(order)
        if holds and self._confirms_first:
            return OrderReply.HOLDS
        if self._current is not None or order.expected_sequence != self.sequence:
            return OrderReply.CONFLICT
        if holds:
            return OrderReply.HOLDS
        self._note_excess(order)
        self.sequence += 1
        duration_s = self._duration_s(order)
        if not duration_s:
            self._finish(order)
            return OrderReply.HOLDS
        self._current = order
        asyncio.get_running_loop().call_later(duration_s, self._finish, order)
        self._note_report()
        return OrderReply.ACCEPTED

    def _holds(self, order: Order) -> bool:
        """Return whether what an order asks for is so already."""
        if order.adapter:
            present = order.adapter in self.models[order.model]
        else:
            present = order.model in self.models
        return present == (order.action is OrderAction.LOAD)

    def _note_excess(self, order: Order) -> None:
        if order.action is OrderAction.UNLOAD:
            return
        held = sorted(self.models)
        if order.adapter:
            count = sum(map(len, self.models.values())) + 1
            exceeds = count > ADAPTER_SLOTS
        else:
            exceeds = sum(MODEL_MB[name] for name in (*held, order.model)) > MEMORY_MB
        if exceeds and not self.excess:
            self.excess = f"{order.model}/{order.adapter} beside {held}"

    def _duration_s(self, order: Order) -> float:
        """Return how long an order takes; 0 if it is done at once."""
        in_use = self._rng.random() < self._in_use_share
        if order.action is OrderAction.LOAD:
            return self._rng.uniform(
                *(ADAPTER_LOAD_S if order.adapter else MODEL_LOAD_S)
            )
        if in_use:
            return self._rng.uniform(*RUN_S)
        return 0.0 if order.adapter else ADAPTER_LOAD_S[0]

    def _finish(self, order: Order) -> None:
        """Apply the effect of an order."""
        self._current = None
        loads = order.action is OrderAction.LOAD
        if order.adapter:
            adapters = self.models[order.model]
            adapters.add(order.adapter) if loads else adapters.discard(order.adapter)
        elif loads:
            self.models[order.model] = set()
        else:
            del self.models[order.model]
        self._note_report()

    def _note_report(self) -> None:
        order = self._current
        pending = {f"{order.model}/{order.adapter}"} if order and order.adapter else ()
        report = EngineReport(
            sequence=self.sequence,
            busy=order is not None,
            models={name: frozenset(held) for name, held in self.models.items()},
            pending=frozenset(pending),
        )
        self._reports.append((_now_s(), report))
