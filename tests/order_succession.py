"""Builders of lease holders that order one engine one after the other."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace

from entry_builders import an_engine_spec, an_entry
from test_order_dispatcher import FakeEngine, a_dispatcher
from virtual_time import LoopClock, VirtualLoop

from rosepath.demand import ModelDemand
from rosepath.engine_orders import Order, OrderAction, OrderReply
from rosepath.fleet import Fleet
from rosepath.order_dispatcher import REPORT_INTERVAL_S, OrderDispatcher

ADAPTER_SLOTS = 3
# Two models of 70,000 MB and their adapters fit.
MEMORY_MB = 145_000.0
MODELS_THAT_FIT = 2
# Less than the pause before the retry of a rejected order.
STEP_S = 0.01


def play(scenario: Coroutine[None, None, None]) -> None:
    """Run a scenario in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(scenario)


async def until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(60):
        while not done():  # noqa: ASYNC110
            await asyncio.sleep(STEP_S)


class MeasuredEngine(FakeEngine):
    """Record the most models and adapters that the engine was ordered to hold."""

    def __init__(self, *models: str) -> None:
        super().__init__(*models)
        self.most_models = len(models)
        self.most_adapters = 0
        # The adapter whose loads get no response.
        self.silent_adapter = ""
        # The model whose loads get no response.
        self.silent_model = ""

    async def order(
        self, address: str, order: Order, *, still_wanted: Callable[[], bool]
    ) -> OrderReply:
        if order.adapter and order.adapter == self.silent_adapter:
            self.unanswered_left = 1
        loads = order.action is OrderAction.LOAD and not order.adapter
        if loads and order.model == self.silent_model:
            self.unanswered_left = 1
        return await super().order(address, order, still_wanted=still_wanted)

    def execute(self, order: Order) -> OrderReply:
        reply = super().execute(order)
        self.most_models = max(self.most_models, len(self.models))
        self.most_adapters = max(
            self.most_adapters, sum(map(len, self.models.values()))
        )
        return reply

    def restart(self, *, born_ms: int) -> None:
        """Start again under the same name, empty."""
        self.models, self.sequence, self.busy = {}, 0, False
        self.born_ms = born_ms


@dataclass
class Succession:
    """Let one holder of the placement lease after another order an engine."""

    engine: MeasuredEngine
    fleet: Fleet = field(default_factory=Fleet)
    demand: dict[str, ModelDemand] = field(default_factory=dict)
    fence: int = 0
    # When the terms before the current one ended, as the lease records them.
    term_ends_s: list[float] = field(default_factory=list)

    def next_holder(self, name: str) -> OrderDispatcher:
        """Pass the lease to a VM's new process."""
        now_s = LoopClock().monotonic_s
        if self.fence:
            self.term_ends_s.append(now_s())
        self.fence += 1000
        fence = self.fence
        spec = replace(
            an_engine_spec("m0", "m1", "m2", adapter_slots=ADAPTER_SLOTS),
            memory_mb=MEMORY_MB,
        )
        dispatcher = a_dispatcher(
            self.engine,
            LoopClock(),
            me=name,
            demand=self.demand,
            may_order=lambda: self.fence == fence,
            fence=lambda: fence,
            follows_term=fence > 1000,
            terms_ended_within=lambda limit_s: sum(
                end_s > now_s() - limit_s for end_s in self.term_ends_s
            ),
            fleet=self.fleet,
            spec=spec,
        )
        dispatcher.sender.clock = LoopClock()
        return dispatcher

    def restart_engine(self) -> None:
        """Restart the engine and update its entry."""
        self.engine.restart(born_ms=int(LoopClock().wall_s() * 1000))
        entry = replace(an_entry("e1", models={}), born_ms=self.engine.born_ms)
        self.fleet.put(entry)

    async def plan(self, dispatcher: OrderDispatcher, *, rounds: int = 1) -> None:
        for _ in range(rounds):
            await asyncio.sleep(REPORT_INTERVAL_S + STEP_S)
            await dispatcher.tick()
            await until(lambda: not dispatcher._swaps)
