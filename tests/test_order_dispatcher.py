"""Orders of the lease holder: late orders, busy engines, adapter slots."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest
from entry_builders import a_catalog, an_engine_spec, an_entry
from virtual_time import LoopClock, VirtualLoop

from rosepath.catalog import EngineSpec
from rosepath.clock import Clock, ManualClock
from rosepath.demand import ModelDemand
from rosepath.engine_orders import (
    EngineRecord,
    EngineReport,
    Order,
    OrderAction,
    OrderReply,
)
from rosepath.errors import ExchangeError, Step
from rosepath.fleet import Fleet, InFlightRequest, PeerLoad
from rosepath.order_dispatcher import (
    REPORT_INTERVAL_S,
    DispatcherPorts,
    OrderDispatcher,
)
from rosepath.swap_executor import BUSY_RETRY_DELAY_S


class FakeEngine:
    """Execute one order at a time and count it.

    The next `unanswered_left` orders are neither executed nor confirmed, but
    kept in `unanswered_orders`.
    """

    def __init__(self, *models: str) -> None:
        self.sequence = 0
        self.born_ms = 0
        self.busy = False
        # What reports say instead of `busy`, if set: they lag.
        self.report_busy: bool | None = None
        self.models: dict[str, set[str]] = {name: set() for name in models}
        self.unanswered_left = 0
        self.unanswered_orders: list[Order] = []
        self.orders: list[Order] = []
        self.reports = 0
        self.execute_late_after_report = False
        self.in_use: set[str] = set()
        self.stale_report: EngineReport | None = None
        self.on_connect: Callable[[], None] = lambda: None

    async def order(
        self, _: str, order: Order, *, still_wanted: Callable[[], bool]
    ) -> OrderReply:
        self.on_connect()
        if not still_wanted():
            raise ExchangeError("unwanted", step=Step.SEND, peer="e1", sent=False)
        self.orders.append(order)
        if self.unanswered_left:
            self.unanswered_left -= 1
            self.unanswered_orders.append(order)
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
                # The unload waits for running requests and blocks other
                # orders.
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
        if self.stale_report is not None:
            return self.stale_report
        report = EngineReport(
            sequence=self.sequence,
            busy=self.busy if self.report_busy is None else self.report_busy,
            born_ms=self.born_ms,
            models={name: frozenset(held) for name, held in self.models.items()},
        )
        while self.execute_late_after_report and self.unanswered_orders:
            self.execute(self.unanswered_orders.pop())
        return report


def a_dispatcher(
    engine: FakeEngine,
    clock: Clock,
    *,
    me: str = "vm-1",
    demand: dict[str, ModelDemand] | None = None,
    may_order: Callable[[], bool] = lambda: True,
    fence: Callable[[], int] = lambda: 7,
    follows_term: bool = False,
    terms_ended_within: Callable[[float], int] = lambda _: 0,
    fleet: Fleet | None = None,
    spec: EngineSpec | None = None,
    on_residency_change: Callable[[str, str, str, bool], None] = lambda *_: None,
) -> OrderDispatcher:
    fleet = fleet or Fleet()
    fleet.put(an_entry("e1", models=dict.fromkeys(engine.models, frozenset())))
    spec = spec or an_engine_spec("m0", "m1", "m2", adapter_slots=2)
    catalog = a_catalog(engine=spec)
    return OrderDispatcher(
        DispatcherPorts(
            me=me,
            clock=clock,
            engines=engine,
            fleet=fleet,
            catalog=lambda: catalog,
            may_order=may_order,
            fence=fence,
            follows_term=lambda: follows_term,
            terms_ended_within=terms_ended_within,
            demand=lambda _: {} if demand is None else demand,
            peer_update_interval_s=lambda: 0.15,
            on_residency_change=on_residency_change,
        )
    )


async def until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not done():  # noqa: ASYNC110
            await asyncio.sleep(0)


def test_unanswered_order_is_retried_and_executed_once() -> None:
    # An order's response is lost, and the order is executed seconds later. The
    # retry has the same expected sequence, so the engine rejects one of the
    # two and never holds more than the record accounts for.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        engine.unanswered_left = 1
        dispatcher = a_dispatcher(engine, clock)
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert [order.expected_sequence for order in engine.orders] == [0, 0]
        assert engine.execute(engine.unanswered_orders[0]) is OrderReply.CONFLICT
        assert engine.models["m0"] == {"a1"}

    asyncio.run(run())


def test_report_of_busy_engine_is_read_again() -> None:
    # The report was read while an adapter's unload waited for running
    # requests. If it is never read again, the engine counts as busy forever
    # and gets no more orders.
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


def test_adapters_never_exceed_engine_slots() -> None:
    # An engine crashes if it is ordered to hold more than it has slots for.
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


def test_adapter_in_use_is_not_evicted() -> None:
    # All adapter slots are taken, and the least recently requested adapter
    # serves a long stream. Evicting it blocks the engine until the stream
    # ends, and requests for other adapters there are refused.
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
        # With every slot in use, the request goes to another engine.
        fleet.servers["e1"].in_flight_requests["q1"] = InFlightRequest(target="m0/a3")
        clock.advance(1.0)
        assert not await dispatcher.ensure_adapter("llm", "e1", "m0", "a2")
        assert engine.models["m0"] == {"a1", "a3"}

    asyncio.run(run())


def test_immediate_adapter_unload_advances_sequence() -> None:
    # An engine reports the unload of an unused adapter as already done, and
    # counts it. If the holder does not count it, the next order has the wrong
    # expected sequence and is rejected, which costs one more round trip.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        dispatcher = a_dispatcher(engine, clock)
        for adapter in ("a1", "a2", "a3"):
            clock.advance(1.0)
            assert await dispatcher.ensure_adapter("llm", "e1", "m0", adapter)
        assert [order.expected_sequence for order in engine.orders] == [0, 1, 2, 3]
        assert engine.sequence == 4

    asyncio.run(run())


def test_adapter_order_before_first_plan_of_term_advances_sequence() -> None:
    # A new holder orders an adapter before its first plan. If the plan clears
    # the record of that order, the next swap takes its expected sequence from
    # a lagging report and is rejected until it is abandoned, while requests
    # wait.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        demand = {"m1": ModelDemand(0.0, 9)}
        dispatcher = a_dispatcher(engine, clock, demand=demand)
        stale = await engine.report("", "")
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        engine.stale_report = stale
        await dispatcher.tick()
        await until(lambda: len(engine.orders) > 1)
        assert engine.orders[1].expected_sequence == 1

    asyncio.run(run())


def test_order_time_starts_when_order_is_sent() -> None:
    # Connecting to an engine takes 0.5 s. If the last order's time is taken
    # before connecting, a resigning holder reports it as too old, and the next
    # holder sends orders while this one is still in flight.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        dispatcher = a_dispatcher(engine, clock)
        dispatcher.sender.clock = clock
        connected_at_s: list[float] = []

        def connect() -> None:
            clock.advance(0.5)
            connected_at_s.append(clock.monotonic_s())

        engine.on_connect = connect
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert dispatcher.sender.last_action_s == connected_at_s[0]

    asyncio.run(run())


def test_lease_lost_while_connecting_sends_no_order() -> None:
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        holds_lease = [True]
        dispatcher = a_dispatcher(engine, clock, may_order=lambda: holds_lease[0])
        engine.on_connect = lambda: holds_lease.__setitem__(0, False)
        assert not await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert engine.orders == []

    asyncio.run(run())


def test_no_orders_without_lease() -> None:
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        dispatcher = a_dispatcher(engine, clock, may_order=lambda: False)
        await dispatcher.tick()
        assert not await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert engine.orders == []

    asyncio.run(run())


def test_late_executed_order_is_accounted_for_before_next_order() -> None:
    # A load is abandoned without a response and executed just before another
    # is sent. A retry of the second with the engine's new sequence would exceed
    # the engine's memory and crash it.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        demand = {"m0": ModelDemand(0.1, 0), "m1": ModelDemand(0.0, 1)}
        dispatcher = a_dispatcher(engine, clock, demand=demand)
        engine.unanswered_left = 3
        await dispatcher.tick()
        await until(lambda: not dispatcher.occupied)
        assert len(engine.unanswered_orders) == 3
        del demand["m1"]
        demand["m2"] = ModelDemand(0.0, 1)
        clock.advance(REPORT_INTERVAL_S + 0.01)
        engine.execute_late_after_report = True
        await dispatcher.tick()
        await until(lambda: not dispatcher.occupied)
        assert set(engine.models) == {"m0", "m1"}

    asyncio.run(run())


def test_restarted_engine_is_read_and_gets_orders() -> None:
    # A restarted engine counts its orders from zero. If the holder takes the
    # lower count for a report older than its last order, it drops every report
    # and sends that engine no more orders.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        dispatcher = a_dispatcher(engine, clock)
        for number in range(2):
            assert await dispatcher.ensure_adapter("llm", "e1", "m0", f"a{number}")
        engine.models, engine.sequence, engine.born_ms = {}, 0, 500
        # A load with the previous count is rejected until the report is read.
        await dispatcher.tick()
        await until(lambda: not dispatcher._swaps)
        clock.advance(REPORT_INTERVAL_S)
        await dispatcher.tick()
        await until(lambda: bool(engine.models))
        assert engine.orders[-1].expected_sequence == 0

    asyncio.run(run())


def test_report_of_previous_instance_is_dropped() -> None:
    record = EngineRecord(server="e1", born_ms=500, sequence=1)
    unanswered_orders = EngineReport(
        sequence=9, busy=False, born_ms=400, models={"m0": frozenset()}
    )
    assert not record.apply_report(unanswered_orders, now_s=1.0)
    assert record.models == set()


@pytest.mark.parametrize("removed", [True, False])
def test_engine_leaving_during_report_read_is_not_planned_for(
    removed: bool,
) -> None:
    # An engine leaves after it was selected for reading and before the plan. A
    # plan that chooses it fails on the missing server, and no engine gets a
    # model in that tick; one that is only draining would be ordered to load.
    async def run() -> None:
        engine, clock, fleet = FakeEngine("m0"), ManualClock(), Fleet()
        demand = {"m1": ModelDemand(0.0, 2)}
        dispatcher = a_dispatcher(engine, clock, demand=demand, fleet=fleet)
        read = engine.report

        async def report(address: str, server: str) -> EngineReport:
            if removed:
                fleet.remove("e1")
            else:
                fleet.put(replace(fleet.servers["e1"].entry, draining=True))
            return await read(address, server)

        engine.report = report  # type: ignore[method-assign]
        await dispatcher.tick()
        assert engine.reports == 1
        assert not dispatcher.occupied

    asyncio.run(run())


class Term:
    """The placement lease as one entry VM holds it, term after term."""

    def __init__(self) -> None:
        self.fence = 1000
        self.held = True


# Guards against a holder that never orders again: it released the lease while it
# went on running, as when it is partitioned from the engines, and got it back.
def test_a_holder_orders_again_in_its_next_term() -> None:
    async def run() -> None:
        engine, clock, term = FakeEngine("m0"), ManualClock(), Term()
        demand = {"m1": ModelDemand(0.0, 2)}
        dispatcher = a_dispatcher(
            engine,
            clock,
            demand=demand,
            may_order=lambda: term.held,
            fence=lambda: term.fence,
        )
        await dispatcher.finish(1.0)
        await dispatcher.tick()
        assert engine.orders == []
        term.held = False
        await dispatcher.tick()
        term.held, term.fence = True, 3000
        await dispatcher.tick()
        # A swap begins when it has its engine's lock.
        await asyncio.sleep(0.1)
        assert [order.fence for order in engine.orders] == [term.fence]
        await asyncio.gather(*dispatcher._swaps)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


# Guards against an adapter that is never loaded, for the same reason.
def test_a_holder_loads_adapters_again_in_its_next_term() -> None:
    async def run() -> None:
        engine, clock, term = FakeEngine("m0"), ManualClock(), Term()
        dispatcher = a_dispatcher(engine, clock, fence=lambda: term.fence)
        await dispatcher.finish(1.0)
        assert not await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        term.fence = 3000
        assert await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")

    asyncio.run(run())


# Guards against swaps that start as a VM stops right after it got the lease.
def test_no_swap_starts_in_a_term_that_ends_before_its_first_plan() -> None:
    async def run() -> None:
        engine, clock, term = FakeEngine("m0"), ManualClock(), Term()
        dispatcher = a_dispatcher(
            engine,
            clock,
            demand={"m1": ModelDemand(0.0, 2)},
            fence=lambda: term.fence,
        )
        term.fence = 3000
        await dispatcher.finish(1.0)
        await dispatcher.tick()
        assert engine.orders == []

    asyncio.run(run())


# Guards against the contents of another engine, which has started at the address of one
# that has left, being taken for those of the latter.
def test_a_report_from_the_address_of_an_engine_that_left_is_not_applied() -> None:
    async def run() -> None:
        engine, fleet = FakeEngine("m0"), Fleet()
        announced: list[tuple[str, str, str, bool]] = []
        dispatcher = a_dispatcher(
            engine,
            LoopClock(),
            demand={"m1": ModelDemand(0.0, 2)},
            fleet=fleet,
            on_residency_change=lambda *change: announced.append(change),
        )
        dispatcher.sender.clock = LoopClock()
        await dispatcher.tick()
        await asyncio.sleep(0.01)
        assert [order.model for order in engine.orders] == ["m1"]
        fleet.remove("e1")
        # Another engine, at the same address, has loaded the same model.
        engine.sequence, engine.models = 7, {"m1": set()}
        await asyncio.gather(*dispatcher._swaps)
        assert announced == []

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


# Guards against an engine that is ordered to load more than it holds: while a swap
# waits for an adapter order, a report counts a late load that is still in progress, and
# has its number but not yet its model.
def test_a_swap_is_given_up_if_its_engine_is_busy_with_an_unknown_order() -> None:
    async def run() -> None:
        engine, fleet = FakeEngine("m0"), Fleet()
        dispatcher = a_dispatcher(
            engine, LoopClock(), demand={"m1": ModelDemand(0.0, 2)}, fleet=fleet
        )
        dispatcher.sender.clock = LoopClock()
        async with dispatcher._lock("e1"):
            await dispatcher.tick()
            await asyncio.sleep(0.1)
            engine.sequence, engine.busy = 1, True
            await dispatcher._read_report(
                fleet.servers["e1"], dispatcher._records["e1"]
            )
        await asyncio.sleep(BUSY_RETRY_DELAY_S)
        assert engine.orders == []
        # The late load has ended; the swap is planned anew by what is there now.
        engine.busy, engine.models = False, {"m0": set(), "m2": set()}
        for _ in range(3):
            await asyncio.sleep(REPORT_INTERVAL_S + 0.01)
            await dispatcher.tick()
        await asyncio.gather(*dispatcher._swaps)
        assert engine.orders[0].expected_sequence == 1
        assert engine.orders[0].action is OrderAction.UNLOAD
        assert "m1" in engine.models and len(engine.models) == 2

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
