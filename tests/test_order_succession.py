"""Orders of one lease holder that an engine executes under the next one."""

import asyncio
from dataclasses import replace

import pytest
from order_succession import (
    ADAPTER_SLOTS,
    MODELS_THAT_FIT,
    MeasuredEngine,
    Succession,
    play,
    until,
)
from structlog.testing import capture_logs

from rosepath.demand import ModelDemand
from rosepath.engine_orders import Order, OrderAction, OrderReply
from rosepath.late_orders import LATE_ORDER_LIMIT_S


# Guards against an engine that is ordered to hold three models where two fit,
# as the load of an earlier holder comes late and fits by its number.
@pytest.mark.parametrize("successor", ["vm-2", "vm-1"])
def test_load_of_the_previous_holder_fits_after_a_restart(successor: str) -> None:
    async def run() -> None:
        succession = Succession(MeasuredEngine("m0"))
        engine, demand = succession.engine, succession.demand
        previous = succession.next_holder("vm-1")
        demand.update(m0=ModelDemand(0.1, 0), m1=ModelDemand(0.0, 9))
        for adapter in ("a1", "a2"):
            assert await previous.ensure_adapter("llm", "e1", "m0", adapter)
        engine.unanswered_left = 3
        await succession.plan(previous)
        late = engine.unanswered_orders[0]
        assert (late.model, late.expected_sequence) == ("m1", 2)
        succession.restart_engine()
        # The successor may be another VM, or the next process of the same one.
        current = succession.next_holder(successor)
        del demand["m1"]
        demand["m2"] = ModelDemand(0.0, 9)
        for _ in range(4):
            await succession.plan(current)
            engine.execute(late)
        assert engine.most_models <= MODELS_THAT_FIT
        # An order that old is not executed any more.
        await asyncio.sleep(LATE_ORDER_LIMIT_S)
        await succession.plan(current, rounds=2)
        assert len(engine.models) == MODELS_THAT_FIT

    play(run())


# Guards against an engine that is ordered to hold three models where two fit, as
# loads of two earlier holders come late one right after the other.
def test_loads_of_two_previous_holders_fit_after_a_restart() -> None:
    async def run() -> None:
        succession = Succession(MeasuredEngine())
        engine, demand = succession.engine, succession.demand
        late = []
        for number, model in enumerate(("m0", "m1"), start=1):
            holder = succession.next_holder(f"vm-{number}")
            demand.clear()
            demand[model] = ModelDemand(0.0, 9)
            engine.unanswered_left = 3
            await succession.plan(holder)
            unanswered = engine.unanswered_orders[-1]
            late.append(replace(unanswered, expected_sequence=number))
        succession.restart_engine()
        current = succession.next_holder("vm-3")
        demand.clear()
        demand["m2"] = ModelDemand(0.0, 9)
        await succession.plan(current, rounds=2)
        for order in late:
            engine.execute(order)
        assert engine.most_models <= MODELS_THAT_FIT
        await asyncio.sleep(LATE_ORDER_LIMIT_S)
        await succession.plan(current, rounds=2)
        assert "m2" in engine.models

    play(run())


# Guards against an engine that is ordered to hold three models where two fit, as
# one earlier holder leaves two loads whose numbers follow each other.
def test_consecutive_loads_of_one_previous_holder_fit_after_a_restart() -> None:
    async def run() -> None:
        succession = Succession(MeasuredEngine())
        engine, demand = succession.engine, succession.demand
        succession.restart_engine()
        previous = succession.next_holder("vm-1")

        async def load(model: str, *, unanswered: int = 0) -> None:
            demand.clear()
            demand[model] = ModelDemand(0.0, 9)
            engine.unanswered_left = unanswered
            await succession.plan(previous)
            engine.unanswered_left = 0

        await load("m2")
        await load("m0", unanswered=1)
        succession.restart_engine()
        await load("m0")
        assert await previous.ensure_adapter("llm", "e1", "m0", "a1")
        await load("m1", unanswered=1)
        succession.restart_engine()
        current = succession.next_holder("vm-2")
        demand.clear()
        demand["m2"] = ModelDemand(0.0, 9)
        await succession.plan(current)
        for order in engine.unanswered_orders:
            engine.execute(order)
        assert engine.most_models <= MODELS_THAT_FIT
        await asyncio.sleep(LATE_ORDER_LIMIT_S)
        await succession.plan(current, rounds=2)
        assert "m2" in engine.models

    play(run())


# Guards against the same where the load with the lower number was sent last, as the
# engine had restarted in between and counted from zero.
def test_loads_of_one_previous_holder_fit_in_whichever_order_they_were_sent() -> None:
    async def run() -> None:
        succession = Succession(MeasuredEngine())
        engine, demand = succession.engine, succession.demand
        succession.restart_engine()
        holder = succession.next_holder("vm-1")

        async def load(model: str, *, answered: bool = True) -> None:
            demand.clear()
            demand[model] = ModelDemand(0.0, 9)
            engine.silent_model = "" if answered else model
            await succession.plan(holder)

        await load("m0")
        await load("m1", answered=False)
        succession.restart_engine()
        await load("m2", answered=False)
        succession.restart_engine()
        await load("m2")
        holder = succession.next_holder("vm-2")
        await load("m0", answered=False)
        succession.restart_engine()
        in_order = sorted(
            engine.unanswered_orders, key=lambda order: order.expected_sequence
        )
        for order in in_order:
            engine.execute(order)
        assert engine.most_models <= MODELS_THAT_FIT
        await asyncio.sleep(LATE_ORDER_LIMIT_S)
        await load("m1")
        assert "m1" in engine.models

    play(run())


# Guards against a model that is never loaded, as an earlier load on its engine got
# no response.
def test_an_unanswered_load_holds_up_the_next_one_for_a_limited_time() -> None:
    async def run() -> None:
        succession = Succession(MeasuredEngine())
        succession.restart_engine()
        holder = succession.next_holder("vm-1")
        succession.demand["m0"] = ModelDemand(0.0, 9)
        succession.engine.unanswered_left = 1
        await succession.plan(holder)
        succession.demand["m1"] = ModelDemand(0.0, 9)
        await succession.plan(holder)
        assert set(succession.engine.models) == {"m0"}
        await asyncio.sleep(LATE_ORDER_LIMIT_S)
        await succession.plan(holder, rounds=2)
        assert set(succession.engine.models) == {"m0", "m1"}

    play(run())


# Guards against an engine that is ordered to hold more adapters than it has
# slots for, as the load of an earlier holder comes late.
def test_adapter_of_the_previous_holder_fits_after_a_restart() -> None:
    async def run() -> None:
        succession = Succession(MeasuredEngine("m0"))
        engine, demand = succession.engine, succession.demand
        previous = succession.next_holder("vm-1")
        demand["m0"] = ModelDemand(0.5, 9)
        for adapter in ("a1", "a2", "a3"):
            assert await previous.ensure_adapter("llm", "e1", "m0", adapter)
        await asyncio.sleep(1.0)
        engine.silent_adapter = "a4"
        assert not await previous.ensure_adapter("llm", "e1", "m0", "a4")
        late = engine.unanswered_orders[0]
        assert (late.adapter, late.expected_sequence) == ("a4", 4)
        succession.restart_engine()
        current = succession.next_holder("vm-2")
        await succession.plan(current)
        assert "m0" in engine.models
        for adapter in ("a1", "a2", "a3", "a5"):
            await asyncio.sleep(1.0)
            await current.ensure_adapter("llm", "e1", "m0", adapter)
            engine.execute(late)
        assert engine.most_adapters <= ADAPTER_SLOTS

    play(run())


# Guards against requests for adapters that are refused after each change of
# holder, on engines without room to reserve.
def test_full_engine_gets_adapters_under_the_next_holder() -> None:
    async def run() -> None:
        succession = Succession(MeasuredEngine("m0"))
        succession.restart_engine()
        succession.engine.models = {"m0": set(), "m1": set()}
        succession.next_holder("vm-1")
        current = succession.next_holder("vm-2")
        assert await current.ensure_adapter("llm", "e1", "m0", "a1")

    play(run())


# Guards against an engine that is ordered to hold three models where two fit:
# as the load of an earlier holder comes late, the next holder's is rejected, and
# a report read for an adapter gives its next try a number that fits.
def test_load_rejected_after_one_of_the_previous_holder_is_planned_anew() -> None:
    async def run() -> None:
        succession = Succession(MeasuredEngine("m0"))
        engine, demand = succession.engine, succession.demand
        previous = succession.next_holder("vm-1")
        demand.update(m0=ModelDemand(0.1, 0), m1=ModelDemand(0.0, 1))
        engine.unanswered_left = 3
        await succession.plan(previous)
        current = succession.next_holder("vm-2")
        del demand["m1"]
        demand["m2"] = ModelDemand(0.0, 1)
        # It is executed right after the report from which m2 is planned.
        engine.execute_late_after_report = True
        await current.tick()
        await until(lambda: engine.orders[-1].model == "m2")
        await current.ensure_adapter("llm", "e1", "m0", "a1")
        await until(lambda: not current._swaps)
        assert set(engine.models) == {"m0", "m1"}
        assert engine.most_models <= MODELS_THAT_FIT

    play(run())


class EngineWithoutCountedUnloads(MeasuredEngine):
    """Count no unload of an adapter that is not there."""

    def execute(self, order: Order) -> OrderReply:
        held = self.models.get(order.model, set())
        absent = order.adapter and order.adapter not in held
        if order.action is OrderAction.UNLOAD and absent:
            return OrderReply.HOLDS
        return super().execute(order)


# Guards against an engine that is ordered to hold more adapters than it has
# slots for: its recorded sequence is one ahead, and a late load takes the number
# in between.
def test_unload_of_an_absent_adapter_makes_no_room() -> None:
    async def run() -> None:
        succession = Succession(EngineWithoutCountedUnloads("m0"))
        engine = succession.engine
        previous = succession.next_holder("vm-1")
        for adapter in ("a1", "a2", "a3"):
            assert await previous.ensure_adapter("llm", "e1", "m0", adapter)
        current = succession.next_holder("vm-2")
        assert await current.ensure_adapter("llm", "e1", "m0", "a2")
        # An adapter that the report still shows is gone.
        engine.models["m0"].discard("a1")
        await asyncio.sleep(1.0)
        # A load of the previous holder arrives right after the unload of a1.
        late = replace(engine.orders[-1], adapter="a9", expected_sequence=3)

        def execute_late_before_the_load() -> None:
            if engine.orders[-1].action is OrderAction.UNLOAD:
                engine.execute(late)

        engine.on_connect = execute_late_before_the_load
        await current.ensure_adapter("llm", "e1", "m0", "a4")
        engine.execute(late)
        assert "a9" in engine.models["m0"]
        for _ in range(3):
            await asyncio.sleep(1.0)
            await current.ensure_adapter("llm", "e1", "m0", "a4")
        assert engine.most_adapters <= ADAPTER_SLOTS

    play(run())


# Guards against the same with a load of this holder, whose number the unload
# left open.
def test_unload_of_an_absent_adapter_leaves_room_for_an_unanswered_load() -> None:
    async def run() -> None:
        succession = Succession(EngineWithoutCountedUnloads("m0"))
        engine = succession.engine
        current = succession.next_holder("vm-1")
        for adapter in ("a1", "a2"):
            assert await current.ensure_adapter("llm", "e1", "m0", adapter)
        await asyncio.sleep(1.0)
        engine.silent_adapter = "a9"
        assert not await current.ensure_adapter("llm", "e1", "m0", "a9")
        late = engine.unanswered_orders[0]
        assert (late.adapter, late.expected_sequence) == ("a9", 2)
        # The next report shows three adapters, one of which is gone.
        engine.models["m0"].add("a3")
        assert await current.ensure_adapter("llm", "e1", "m0", "a2")
        engine.models["m0"].discard("a1")

        def execute_late_before_the_load() -> None:
            if engine.orders[-1].action is OrderAction.UNLOAD:
                engine.execute(late)

        engine.on_connect = execute_late_before_the_load
        for _ in range(3):
            await asyncio.sleep(1.0)
            await current.ensure_adapter("llm", "e1", "m0", "a4")
        assert "a9" in engine.models["m0"]
        assert engine.most_adapters <= ADAPTER_SLOTS

    play(run())


# Guards against requests for adapters that wait for a report after each unload,
# in the seconds after a change of holder.
def test_full_engine_exchanges_adapters_at_once_under_the_next_holder() -> None:
    async def run() -> None:
        succession = Succession(MeasuredEngine("m0"))
        engine = succession.engine
        previous = succession.next_holder("vm-1")
        for adapter in ("a1", "a2", "a3"):
            assert await previous.ensure_adapter("llm", "e1", "m0", adapter)
        # Planned stops may pass the lease on several times.
        for number in range(2, 5):
            current = succession.next_holder(f"vm-{number}")
        await succession.plan(current)
        await asyncio.sleep(1.0)
        for adapter in ("a4", "a5"):
            assert await current.ensure_adapter("llm", "e1", "m0", adapter)
            await asyncio.sleep(1.0)
        # A slot is left for a load of the previous holder, for as long as one
        # may come.
        assert len(engine.models["m0"]) == ADAPTER_SLOTS - 1
        await asyncio.sleep(LATE_ORDER_LIMIT_S)
        for adapter in ("a6", "a7"):
            assert await current.ensure_adapter("llm", "e1", "m0", adapter)
        assert len(engine.models["m0"]) == ADAPTER_SLOTS

    play(run())


# Guards against an engine that gets no more orders, as the record counts an
# order that the engine did not.
def test_record_recovers_from_an_order_that_was_not_counted() -> None:
    async def run() -> None:
        succession = Succession(EngineWithoutCountedUnloads("m0"))
        engine, demand = succession.engine, succession.demand
        current = succession.next_holder("vm-1")
        for adapter in ("a1", "a2", "a3"):
            assert await current.ensure_adapter("llm", "e1", "m0", adapter)
        engine.models["m0"].discard("a1")
        await asyncio.sleep(1.0)
        await current.ensure_adapter("llm", "e1", "m0", "a4")
        demand["m1"] = ModelDemand(0.0, 9)
        await succession.plan(current, rounds=3)
        assert "m1" in engine.models

    play(run())


# Guards against records of orders from which nobody can tell whether a number
# was given in another instance of the engine, or by another holder.
def test_logs_tell_instances_and_orders_of_other_holders() -> None:
    async def run() -> None:
        succession = Succession(MeasuredEngine("m0"))
        engine, demand = succession.engine, succession.demand
        succession.restart_engine()
        engine.models = {"m0": set()}
        current = succession.next_holder("vm-2")
        demand["m1"] = ModelDemand(0.0, 9)
        with capture_logs() as lines:
            await current.tick()
            engine.execute(
                Order(
                    action=OrderAction.LOAD,
                    server="e1",
                    model="m2",
                    holder="vm-1",
                    fence=succession.fence - 1000,
                    expected_sequence=0,
                )
            )
            await until(lambda: not current._swaps)
            await succession.plan(current)
        orders = [line for line in lines if line["event"] == "order"]
        assert orders[0]["born_ms"] == engine.born_ms
        assert 0.0 <= orders[0]["report_age_s"] < 1.0
        found = [
            line for line in lines if line["event"] == "unconfirmed_orders_executed"
        ]
        assert [(line["recorded_sequence"], line["sequence"]) for line in found] == [
            (0, 1)
        ]
        assert found[0]["models_added"] == ["m2"]

    play(run())
