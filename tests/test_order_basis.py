"""Orders rest on the contents of an engine for which its memory was checked."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from entry_builders import a_model, an_engine_spec, an_entry
from order_succession import STEP_S, play, until
from test_order_dispatcher import FakeEngine, a_dispatcher
from virtual_time import LoopClock

from rosepath.clock import ManualClock
from rosepath.demand import ModelDemand
from rosepath.engine_orders import (
    Order,
    OrderAction,
    OrderReply,
)
from rosepath.fleet import Fleet
from rosepath.late_orders import LATE_ORDER_LIMIT_S
from rosepath.order_dispatcher import REPORT_INTERVAL_S


def loads_of(engine: FakeEngine, model: str) -> list[int]:
    """Return the expected sequence of each load order for a model."""
    return [
        order.expected_sequence
        for order in engine.orders
        if order.model == model and order.action is OrderAction.LOAD
    ]


# Guards against an engine that is ordered to hold three models where two fit.
def test_report_read_for_an_adapter_does_not_renew_a_rejected_load() -> None:
    async def run() -> None:
        engine = FakeEngine("m0")
        demand = {"m0": ModelDemand(0.1, 0), "m1": ModelDemand(0.0, 1)}
        dispatcher = a_dispatcher(engine, LoopClock(), demand=demand)
        # The load of m1 is abandoned without a response.
        engine.unanswered_left = 3
        await dispatcher.tick()
        await until(lambda: not dispatcher.occupied)
        # It is executed right after the report from which m2 is planned.
        del demand["m1"]
        demand["m2"] = ModelDemand(0.0, 1)
        await asyncio.sleep(REPORT_INTERVAL_S + 0.01)
        engine.execute_late_after_report = True
        await dispatcher.tick()
        await until(lambda: bool(loads_of(engine, "m2")))
        # While the rejected load of m2 waits for its retry, a request for an
        # adapter has the report read again.
        await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        await until(lambda: not dispatcher.occupied)
        assert set(engine.models) == {"m0", "m1"}
        assert set(loads_of(engine, "m2")) == {0}

    play(run())


class EngineWithHeldReply(FakeEngine):
    """Reject the first load of a model as busy and hold the reply to the next."""

    def __init__(self, *models: str) -> None:
        super().__init__(*models)
        self.loads = 0
        self.executed, self.may_reply = asyncio.Event(), asyncio.Event()

    async def order(
        self, address: str, order: Order, *, still_wanted: Callable[[], bool]
    ) -> OrderReply:
        if order.action is not OrderAction.LOAD or order.adapter:
            return await super().order(address, order, still_wanted=still_wanted)
        self.loads += 1
        self.busy = self.loads == 1
        reply = await super().order(address, order, still_wanted=still_wanted)
        self.busy = False
        if self.loads > 1:
            self.executed.set()
            await self.may_reply.wait()
        return reply


# Guards against an engine whose reports are dropped for good, as its recorded
# sequence is ahead of its own: it gets no more models or adapters.
def test_order_that_a_report_has_counted_is_not_counted_again() -> None:
    async def run() -> None:
        engine = EngineWithHeldReply("m0")
        demand = {"m0": ModelDemand(0.1, 0), "m1": ModelDemand(0.0, 1)}
        dispatcher = a_dispatcher(engine, LoopClock(), demand=demand)
        await dispatcher.tick()
        await engine.executed.wait()
        # The rejected first try made the record outdated, so that the report
        # is read before the reply to the second one arrives.
        await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        engine.may_reply.set()
        await until(lambda: not dispatcher.occupied)
        await dispatcher.tick()
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert engine.orders[-1].expected_sequence == engine.sequence - 1

    play(run())


# Guards against a restarted engine that accepts an order planned for the
# contents of its previous instance, as its count reaches the same number.
def test_swap_of_previous_instance_sends_nothing_to_the_restarted_engine() -> None:
    async def run() -> None:
        engine, fleet = FakeEngine("m0"), Fleet()
        demand = {"m0": ModelDemand(0.1, 0), "m1": ModelDemand(0.0, 1)}
        dispatcher = a_dispatcher(engine, LoopClock(), demand=demand, fleet=fleet)
        engine.busy = True
        engine.report_busy = False
        await dispatcher.tick()
        await until(lambda: bool(engine.orders))
        # The engine restarts under its name, with another model and without
        # having accepted an order.
        engine.models, engine.busy, engine.born_ms = (
            {"m2": set(), "m3": set()},
            False,
            9,
        )
        fleet.put(replace(an_entry("e1", models={"m2": frozenset()}), born_ms=9))
        await until(lambda: not dispatcher._swaps)
        assert len(engine.orders) == 1
        assert set(engine.models) == {"m2", "m3"}

    play(run())


# Guards against a swap planned in one lease term that is executed in the next
# one, beside the orders of the holder in between.
def test_swap_of_an_earlier_term_sends_nothing_in_the_next() -> None:
    async def run() -> None:
        engine, fence = FakeEngine("m0"), [7]
        demand = {"m0": ModelDemand(0.1, 0), "m1": ModelDemand(0.0, 1)}
        dispatcher = a_dispatcher(
            engine, LoopClock(), demand=demand, fence=lambda: fence[0]
        )
        engine.busy = True
        engine.report_busy = False
        await dispatcher.tick()
        await until(lambda: bool(engine.orders))
        fence[0] = 8
        engine.busy = False
        await until(lambda: not dispatcher._swaps)
        assert [order.fence for order in engine.orders] == [7]

    play(run())


# Guards against an adapter that is loaded into memory that the eviction of a
# smaller one did not free.
def test_evicting_a_small_adapter_makes_no_room_for_a_large_one() -> None:
    async def run() -> None:
        models = {
            "m0": replace(a_model("m0"), size_mb=60.0, adapter_mb=10.0),
            "m1": replace(a_model("m1"), size_mb=60.0, adapter_mb=30.0),
        }
        spec = replace(an_engine_spec(adapter_slots=4), models=models, memory_mb=135.0)
        engine, clock = FakeEngine("m0", "m1"), ManualClock()
        dispatcher = a_dispatcher(engine, clock, spec=spec)
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        clock.advance(5.0)
        assert not await dispatcher.ensure_adapter("llm", "e1", "m1", "a1")
        assert engine.models["m1"] == set()

    asyncio.run(run())


# Guards against a model that the configuration no longer names and whose
# memory is given away although the engine still holds it.
def test_model_dropped_from_the_configuration_keeps_its_memory() -> None:
    async def run() -> None:
        engine = FakeEngine("m0", "dropped")
        demand = {"m0": ModelDemand(0.5, 0), "m1": ModelDemand(0.0, 9)}
        dispatcher = a_dispatcher(
            engine, LoopClock(), demand=demand, spec=an_engine_spec("m0", "m1")
        )
        await dispatcher.tick()
        await until(lambda: not dispatcher._swaps)
        assert set(engine.models) == {"m0", "m1"}

    play(run())


# Guards against a load that was never answered and is executed by the next
# instance of its engine, beside what was ordered there since.
def test_unanswered_load_keeps_its_memory_after_a_restart() -> None:
    async def run() -> None:
        engine, fleet = FakeEngine("m0"), Fleet()
        demand = {"m0": ModelDemand(0.1, 0), "m1": ModelDemand(0.0, 1)}
        spec = replace(an_engine_spec("m0", "m1", "m2"), memory_mb=145_000.0)
        dispatcher = a_dispatcher(
            engine, LoopClock(), demand=demand, fleet=fleet, spec=spec
        )
        dispatcher.sender.clock = LoopClock()
        for adapter in ("a1", "a2"):
            assert await dispatcher.ensure_adapter("llm", "e1", "m0", adapter)
        engine.unanswered_left = 3
        await dispatcher.tick()
        await until(lambda: not dispatcher._swaps)
        late = engine.unanswered_orders[0]
        assert (late.model, late.expected_sequence) == ("m1", 2)
        # The engine restarts empty and gets as many orders as before.
        engine.models, engine.sequence, engine.born_ms = {}, 0, 9
        fleet.put(replace(an_entry("e1", models={}), born_ms=9))
        del demand["m1"]
        demand["m2"] = ModelDemand(0.0, 9)
        for _ in range(4):
            await asyncio.sleep(REPORT_INTERVAL_S + STEP_S)
            await dispatcher.tick()
            await until(lambda: not dispatcher._swaps)
            engine.execute(late)
        assert len(engine.models) <= 2
        # An order that old is not executed any more.
        await asyncio.sleep(LATE_ORDER_LIMIT_S)
        demand["m1"] = ModelDemand(0.0, 9)
        await dispatcher.tick()
        await until(lambda: not dispatcher._swaps)
        assert len(engine.models) == 2

    play(run())
