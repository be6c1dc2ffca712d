"""The holder's orders: late ones, busy engines, places for adapters."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest
from entry_builders import a_catalog, an_engine_spec, an_entry

from rosepath.catalog import EngineSpec
from rosepath.clock import ManualClock
from rosepath.demand import ModelDemand
from rosepath.engine_orders import (
    EngineRecord,
    EngineReport,
    Order,
    OrderAction,
    OrderReply,
)
from rosepath.errors import ExchangeError, Step
from rosepath.fleet import Fleet, Flight, PeerLoad
from rosepath.order_dispatcher import (
    REPORT_INTERVAL_S,
    DispatcherPorts,
    OrderDispatcher,
)


class FakeEngine:
    """Carry out orders as engines do: one at a time, counted, maybe unanswered."""

    def __init__(self, *models: str) -> None:
        self.sequence = 0
        self.born_ms = 0
        self.busy = False
        self.models: dict[str, set[str]] = {name: set() for name in models}
        self.unanswered = 0
        self.late: list[Order] = []
        self.orders: list[Order] = []
        self.reports = 0
        self.lands_after_report = False
        self.in_use: set[str] = set()
        self.lagging: EngineReport | None = None
        self.connecting: Callable[[], None] = lambda: None

    async def order(
        self, _: str, order: Order, *, still_wanted: Callable[[], bool]
    ) -> OrderReply:
        self.connecting()
        if not still_wanted():
            raise ExchangeError("unwanted", step=Step.SEND, peer="e1", sent=False)
        self.orders.append(order)
        if self.unanswered:
            self.unanswered -= 1
            self.late.append(order)
            raise ExchangeError("silent", step=Step.SEND, peer="e1", sent=True)
        return self.execute(order)

    def execute(self, order: Order) -> OrderReply:
        if self.busy or order.expected_sequence != self.sequence:
            return OrderReply.CONFLICT
        self.sequence += 1
        adapters = self.models.get(order.model)
        if order.adapter and adapters is not None:
            if order.action is OrderAction.LOAD:
                adapters.add(order.adapter)
            elif f"{order.model}/{order.adapter}" in self.in_use:
                # It waits for the runs, and takes no order until they end.
                self.busy = True
            else:
                adapters.discard(order.adapter)
                return OrderReply.HOLDS
        elif order.action is OrderAction.LOAD:
            self.models[order.model] = set()
        else:
            self.models.pop(order.model, None)
        return OrderReply.ACCEPTED

    async def report(self, _: str, __: str) -> EngineReport:
        self.reports += 1
        if self.lagging is not None:
            return self.lagging
        report = EngineReport(
            sequence=self.sequence,
            busy=self.busy,
            born_ms=self.born_ms,
            models={name: frozenset(held) for name, held in self.models.items()},
        )
        while self.lands_after_report and self.late:
            self.execute(self.late.pop())
        return report


def a_dispatcher(
    engine: FakeEngine,
    clock: ManualClock,
    *,
    demand: dict[str, ModelDemand] | None = None,
    may_order: Callable[[], bool] = lambda: True,
    fleet: Fleet | None = None,
    spec: EngineSpec | None = None,
    on_held: Callable[[str, str, str, bool], None] = lambda *_: None,
) -> OrderDispatcher:
    fleet = fleet or Fleet()
    fleet.put(an_entry("e1", models=dict.fromkeys(engine.models, frozenset())))
    spec = spec or an_engine_spec("m0", "m1", "m2", adapter_slots=2)
    catalog = a_catalog(engine=spec)
    return OrderDispatcher(
        DispatcherPorts(
            me="vm-1",
            clock=clock,
            engines=engine,
            fleet=fleet,
            catalog=lambda: catalog,
            may_order=may_order,
            fence=lambda: 7,
            demand=lambda _: {} if demand is None else demand,
            told_every_s=lambda: 0.15,
            on_held=on_held,
        )
    )


async def until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not done():  # noqa: ASYNC110
            await asyncio.sleep(0)


def test_an_order_without_an_answer_is_sent_again_and_done_once() -> None:
    # The answer is lost, and the order carried out seconds later. Sent again
    # with the same expected sequence, one of the two is refused: the engine
    # never holds more than the record reckons with.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        engine.unanswered = 1
        dispatcher = a_dispatcher(engine, clock)
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert [order.expected_sequence for order in engine.orders] == [0, 0]
        assert engine.execute(engine.late[0]) is OrderReply.CONFLICT
        assert engine.models["m0"] == {"a1"}

    asyncio.run(run())


def test_an_engine_that_said_it_was_busy_is_looked_at_again() -> None:
    # An adapter's unload waited for its runs when the report was read. Nobody
    # looked again, and the engine took no order for the rest of the day.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        demand = {"m1": ModelDemand(0.0, 2)}
        dispatcher = a_dispatcher(engine, clock, demand=demand)
        engine.busy = True
        await dispatcher.tick()
        assert engine.orders == []
        engine.busy = False
        clock.advance(REPORT_INTERVAL_S + 0.01)
        await dispatcher.tick()
        await until(lambda: bool(engine.orders))
        assert engine.orders[0].model == "m1"

    asyncio.run(run())


def test_adapters_never_exceed_the_places_of_an_engine() -> None:
    # An engine that is ordered to hold more than it can crashes.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        dispatcher = a_dispatcher(engine, clock)
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a2")
        assert not await dispatcher.ensure_adapter("llm", "e1", "m0", "a3")
        clock.advance(1.0)
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a3")
        assert engine.models["m0"] == {"a2", "a3"}

    asyncio.run(run())


def test_an_adapter_in_use_does_not_make_way_for_another() -> None:
    # All places for adapters are taken, one by a long stream. Its adapter was
    # asked for longest ago and was ordered away; the engine waited seconds for
    # the stream to end, took no order meanwhile, and whoever needed any other
    # adapter there was refused in the end.
    async def run() -> None:
        engine, clock, fleet = FakeEngine("m0"), ManualClock(), Fleet()
        dispatcher = a_dispatcher(engine, clock, fleet=fleet)
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        clock.advance(0.1)
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a2")
        fleet.servers["e1"].peers["vm-2"] = PeerLoad(requests=1, targets={"m0/a1": 1})
        engine.in_use.add("m0/a1")
        clock.advance(1.0)
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a3")
        assert engine.models["m0"] == {"a1", "a3"}
        assert not engine.busy
        # With every place in use, the request goes to another engine.
        fleet.servers["e1"].flights["q1"] = Flight(target="m0/a3")
        clock.advance(1.0)
        assert not await dispatcher.ensure_adapter("llm", "e1", "m0", "a2")
        assert engine.models["m0"] == {"a1", "a3"}

    asyncio.run(run())


def test_an_adapter_that_goes_at_once_is_counted() -> None:
    # An engine answers the unload of an unused adapter as done already, and
    # counts it. Not counted here, each order after such an unload met another
    # sequence than it expected and was refused: one more round a request.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        dispatcher = a_dispatcher(engine, clock)
        for adapter in ("a1", "a2", "a3"):
            clock.advance(1.0)
            assert await dispatcher.ensure_adapter("llm", "e1", "m0", adapter)
        assert [order.expected_sequence for order in engine.orders] == [0, 1, 2, 3]
        assert engine.sequence == 4

    asyncio.run(run())


def test_an_adapter_ordered_before_the_first_plan_of_a_term_is_counted() -> None:
    # A VM that just became the holder is asked for an adapter before it plans.
    # Forgotten with the first plan, its order made a swap expect a sequence of
    # before it, read from a report that lags; the swap was refused until it was
    # given up, while a crowd waited.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        demand = {"m1": ModelDemand(0.0, 9)}
        dispatcher = a_dispatcher(engine, clock, demand=demand)
        stale = await engine.report("", "")
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        engine.lagging = stale
        await dispatcher.tick()
        await until(lambda: len(engine.orders) > 1)
        assert engine.orders[1].expected_sequence == 1

    asyncio.run(run())


def test_an_act_is_counted_from_when_its_order_goes_out() -> None:
    # Connecting to an engine took half a second. The holder then resigned and
    # told how long ago it had acted, from before it connected: the next holder
    # ordered while the order was still on its way.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        dispatcher = a_dispatcher(engine, clock)
        dispatcher.sender.clock = clock
        connected_s: list[float] = []

        def connect() -> None:
            clock.advance(0.5)
            connected_s.append(clock.monotonic_s())

        engine.connecting = connect
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert dispatcher.sender.acted_s == connected_s[0]

    asyncio.run(run())


def test_who_loses_the_lease_while_it_connects_sends_nothing() -> None:
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        holding = [True]
        dispatcher = a_dispatcher(engine, clock, may_order=lambda: holding[0])
        engine.connecting = lambda: holding.__setitem__(0, False)
        assert not await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert engine.orders == []

    asyncio.run(run())


def test_who_no_longer_holds_the_lease_sends_nothing() -> None:
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        dispatcher = a_dispatcher(engine, clock, may_order=lambda: False)
        await dispatcher.tick()
        assert not await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert engine.orders == []

    asyncio.run(run())


def test_an_order_that_lands_late_is_reckoned_with_before_the_next() -> None:
    # A load is given up unanswered, and lands just before another is sent.
    # Sent again with the count that the engine then shows, the second would
    # load more than the engine's memory holds, and crash it.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        demand = {"m0": ModelDemand(0.1, 0), "m1": ModelDemand(0.0, 1)}
        dispatcher = a_dispatcher(engine, clock, demand=demand)
        engine.unanswered = 3
        await dispatcher.tick()
        await until(lambda: not dispatcher.occupied)
        assert len(engine.late) == 3
        del demand["m1"]
        demand["m2"] = ModelDemand(0.0, 1)
        clock.advance(REPORT_INTERVAL_S + 0.01)
        engine.lands_after_report = True
        await dispatcher.tick()
        await until(lambda: not dispatcher.occupied)
        assert set(engine.models) == {"m0", "m1"}

    asyncio.run(run())


def test_an_engine_that_started_again_is_read_and_ordered() -> None:
    # Engines count their orders from the start of each life. The holder took
    # the lower count of a new life for a report from before its last order, and
    # never read or ordered that engine again.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        dispatcher = a_dispatcher(engine, clock)
        for number in range(2):
            assert await dispatcher.ensure_adapter("llm", "e1", "m0", f"a{number}")
        engine.models, engine.sequence, engine.born_ms = {}, 0, 500
        # A load by its former count is turned away until the holder looks.
        await dispatcher.tick()
        await until(lambda: not dispatcher._swaps)
        clock.advance(REPORT_INTERVAL_S)
        await dispatcher.tick()
        await until(lambda: bool(engine.models))
        assert engine.orders[-1].expected_sequence == 0

    asyncio.run(run())


def test_a_report_of_a_former_life_is_dropped() -> None:
    record = EngineRecord(server="e1", born_ms=500, sequence=1)
    late = EngineReport(sequence=9, busy=False, born_ms=400, models={"m0": frozenset()})
    assert not record.apply_report(late, now_s=1.0)
    assert record.models == set()


@pytest.mark.parametrize("gone", [True, False])
def test_an_engine_that_leaves_while_reports_are_read_is_planned_for_no_more(
    gone: bool,
) -> None:
    # It left between the choice of the engines to read and the plan, which then
    # chose it: the loop failed on the missing server, and no engine got a model in
    # that turn; one that had only begun to leave was ordered to load.
    async def run() -> None:
        engine, clock, fleet = FakeEngine("m0"), ManualClock(), Fleet()
        demand = {"m1": ModelDemand(0.0, 2)}
        dispatcher = a_dispatcher(engine, clock, demand=demand, fleet=fleet)
        read = engine.report

        async def report(address: str, server: str) -> EngineReport:
            if gone:
                fleet.remove("e1")
            else:
                fleet.put(replace(fleet.servers["e1"].entry, draining=True))
            return await read(address, server)

        engine.report = report  # type: ignore[method-assign]
        await dispatcher.tick()
        assert engine.reports == 1
        assert not dispatcher.occupied

    asyncio.run(run())
