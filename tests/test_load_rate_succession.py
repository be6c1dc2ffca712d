"""Loads from the weight store keep its rate over a change of lease holder."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest
from entry_builders import a_catalog, an_engine_spec, an_entry
from order_succession import play
from test_order_dispatcher import FakeEngine
from virtual_time import LoopClock

from rosepath.demand import ModelDemand
from rosepath.engine_orders import EngineReport, Order, OrderReply
from rosepath.fleet import Fleet
from rosepath.order_dispatcher import DispatcherPorts, OrderDispatcher

ENGINES = 16
WINDOW_S = 5.0
# The weight store tolerates a tenth more than its rate and three loads.
TOLERATED_SHARE = 1.1
TOLERATED_LOADS = 3


@dataclass
class Engines:
    """Hold empty engines, and the times at which they began to load models."""

    by_name: dict[str, FakeEngine]
    loads_s: list[float] = field(default_factory=list)

    async def order(
        self, address: str, order: Order, *, still_wanted: Callable[[], bool]
    ) -> OrderReply:
        engine = self.by_name[order.server]
        reply = await engine.order(address, order, still_wanted=still_wanted)
        if reply is OrderReply.ACCEPTED:
            self.loads_s.append(LoopClock().monotonic_s())
        return reply

    async def report(self, address: str, server: str) -> EngineReport:
        return await self.by_name[server].report(address, server)


def a_holder(
    engines: Engines, *, per_s: float, term: int, fence: list[int]
) -> OrderDispatcher:
    names = [f"m{number}" for number in range(ENGINES)]
    fleet = Fleet()
    for name in engines.by_name:
        entry = an_entry(name, address=f"{name}:1", models={})
        fleet.put(replace(entry, on_disk=frozenset()))
    catalog = a_catalog(
        engine=replace(an_engine_spec(*names), loads_per_s=per_s, memory_mb=75_000.0)
    )
    dispatcher = OrderDispatcher(
        DispatcherPorts(
            me=f"vm-{term}",
            clock=LoopClock(),
            engines=engines,
            fleet=fleet,
            catalog=lambda: catalog,
            may_order=lambda: fence[0] == term,
            fence=lambda: term * 1000,
            follows_term=lambda: term > 1,
            terms_ended_within=lambda _: term - 1,
            demand=lambda _: {name: ModelDemand(0.2, 9) for name in names},
            peer_update_interval_s=lambda: 0.15,
            on_residency_change=lambda *_: None,
        )
    )
    dispatcher.sender.clock = LoopClock()
    return dispatcher


# Guards against a weight store that is asked for twice its rate, as the next
# holder does not know how many loads the last one began.
@pytest.mark.parametrize(("terms", "ticks"), [(2, 20), (3, 10), (4, 5)])
def test_rate_of_loads_holds_over_changes_of_holder(terms: int, ticks: int) -> None:
    async def run() -> None:
        per_s, held = 1.0, [1]
        engines = Engines({f"e{number}": FakeEngine() for number in range(ENGINES)})
        for term in range(1, terms + 1):
            held[0] = term
            holder = a_holder(engines, per_s=per_s, term=term, fence=held)
            for _ in range(ticks):
                await holder.tick()
                await asyncio.sleep(0.1)
            # The next holder's first order waits for longer than this.
            await asyncio.sleep(0.5)
        most = max(
            sum(from_s <= at_s < from_s + WINDOW_S for at_s in engines.loads_s)
            for from_s in engines.loads_s
        )
        assert most <= per_s * WINDOW_S * TOLERATED_SHARE + TOLERATED_LOADS
        # Loads go on at the rate of the store.
        for _ in range(60):
            await holder.tick()
            await asyncio.sleep(0.1)
        assert len(engines.loads_s) >= per_s * WINDOW_S

    play(run())
