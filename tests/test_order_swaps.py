"""Swaps: models are unloaded only if the replacement fits."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from entry_builders import a_model, an_engine_spec
from test_order_dispatcher import FakeEngine, a_dispatcher, until

from rosepath.clock import ManualClock
from rosepath.demand import ModelDemand
from rosepath.engine_orders import Order, OrderAction, OrderReply
from rosepath.errors import ExchangeError, Step
from rosepath.order_dispatcher import OrderDispatcher

Change = tuple[str, str, str, bool]


def dispatcher_wanting_m1(
    engine: FakeEngine,
    changes: list[Change],
    *,
    may_order: Callable[[], bool] = lambda: True,
) -> OrderDispatcher:
    """Return a dispatcher with demand for m1, which `engine` lacks."""
    return a_dispatcher(
        engine,
        ManualClock(),
        demand={"m1": ModelDemand(0.0, 9)},
        may_order=may_order,
        on_residency_change=lambda *change: changes.append(change),
    )


def test_model_is_announced_as_loaded_after_failed_unload() -> None:
    # A model's unload is announced to all VMs, but neither confirmed nor
    # executed. If the announcement is not retracted, callers get `no_server`
    # for a loaded model until the engine's entry is next written.
    async def run() -> None:
        engine, changes = FakeEngine("m0", "m2"), list[Change]()
        dispatcher = dispatcher_wanting_m1(engine, changes)
        engine.unanswered_left = 3
        await dispatcher.tick()
        await until(lambda: not dispatcher._swaps)
        evicted_model = engine.orders[0].model
        assert engine.orders[0].action is OrderAction.UNLOAD
        assert evicted_model in engine.models
        assert changes == [
            ("e1", evicted_model, "", False),
            ("e1", evicted_model, "", True),
        ]

    asyncio.run(run())


def test_model_is_announced_as_loaded_if_unload_outcome_is_unknown() -> None:
    # The engine's report cannot be read either. If the model is gone, a
    # request sent there is rejected and corrects the fleet's state. If the
    # model wrongly counts as gone, no request is sent and callers get
    # `no_server`.
    async def run() -> None:
        engine, changes = FakeEngine("m0", "m2"), list[Change]()
        dispatcher = dispatcher_wanting_m1(engine, changes)
        await dispatcher.tick()
        engine.unanswered_left = 3

        async def fail_report(_: str, __: str) -> None:
            raise ExchangeError("silent", step=Step.SEND, peer="e1", sent=True)

        engine.report = fail_report  # type: ignore[method-assign, assignment]
        await until(lambda: not dispatcher._swaps)
        assert changes[-1] == ("e1", engine.orders[0].model, "", True)

    asyncio.run(run())


def test_model_stays_unloaded_if_only_the_response_was_lost() -> None:
    # The order was executed; only its responses were lost. If the model were
    # announced as loaded again, it would attract requests that the engine
    # rejects.
    async def run() -> None:
        engine, changes = FakeEngine("m0", "m2"), list[Change]()
        dispatcher = dispatcher_wanting_m1(engine, changes)
        engine.unanswered_left = 3
        replies: list[OrderReply] = []
        engine.on_connect = lambda: replies.extend(
            map(engine.execute, engine.unanswered_orders)
        )
        await dispatcher.tick()
        await until(lambda: not dispatcher._swaps)
        assert replies[0] is OrderReply.ACCEPTED
        assert changes == [("e1", engine.orders[0].model, "", False)]

    asyncio.run(run())


def test_model_is_not_announced_as_unloaded_if_no_order_was_sent() -> None:
    # The lease ends between the plan and the order, or at the last check while
    # connecting, so nothing is sent. If the model is announced as unloaded all
    # the same, callers get `no_server` for it.
    async def run() -> None:
        for lost_when in ("planned", "connecting"):
            engine, changes, holds_lease = (
                FakeEngine("m0", "m2"),
                list[Change](),
                [True],
            )
            dispatcher = dispatcher_wanting_m1(
                engine, changes, may_order=lambda h=holds_lease: h[0]
            )
            await dispatcher.tick()
            if lost_when == "planned":
                holds_lease[0] = False
            engine.on_connect = lambda h=holds_lease: h.__setitem__(0, False)
            await until(lambda d=dispatcher: not d._swaps)
            assert not engine.orders
            assert not changes, lost_when

    asyncio.run(run())


class SlowAdapterEngine(FakeEngine):
    """Execute adapter orders, but respond only once the gate is open."""

    def __init__(self, *models: str) -> None:
        super().__init__(*models)
        self.gate = asyncio.Event()

    async def order(
        self, address: str, order: Order, *, still_wanted: Callable[[], bool]
    ) -> OrderReply:
        reply = await super().order(address, order, still_wanted=still_wanted)
        if order.adapter:
            await self.gate.wait()
        return reply


def swap_during_adapter_load(
    engine: SlowAdapterEngine, demand: dict[str, ModelDemand], *, memory_mb: float
) -> None:
    """Plan a swap to a large m1 while a load of an m0 adapter is in flight."""

    async def run() -> None:
        models = {name: a_model(name) for name in ("m0", "m2")}
        models["m1"] = a_model("m1", size_mb=70_060.0)
        spec = replace(an_engine_spec(), models=models, memory_mb=memory_mb)
        current_demand: dict[str, ModelDemand] = {}
        dispatcher = a_dispatcher(
            engine, ManualClock(), demand=current_demand, spec=spec
        )
        adapter_load = asyncio.ensure_future(
            dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        )
        await until(lambda: bool(engine.orders))
        current_demand.update(demand)
        await dispatcher.tick()
        assert dispatcher._swaps
        # Long enough for a rejected order to be retried.
        await asyncio.sleep(0.1)
        engine.gate.set()
        assert await adapter_load
        await until(lambda: not dispatcher._swaps)

    asyncio.run(run())


def test_adapter_in_flight_is_accounted_for_before_eviction() -> None:
    # The adapter takes memory that the new model needs beside the models that
    # stay. If that is checked only after the eviction, the engine is left with
    # one model of two, and callers of the evicted model wait for a load.
    engine = SlowAdapterEngine("m0", "m2")
    demand = {"m0": ModelDemand(0.5, 0), "m1": ModelDemand(0.0, 30)}
    swap_during_adapter_load(engine, demand, memory_mb=140_070.0)
    assert set(engine.models) == {"m0", "m2"}
    assert [order.adapter for order in engine.orders] == ["a1"]


def test_adapter_in_flight_is_accounted_for_before_load() -> None:
    # No eviction is needed, but the model does not fit beside the adapter. The
    # load, rejected at first because of the adapter's order, must not be
    # retried until accepted: an engine crashes if ordered to exceed its
    # memory.
    engine = SlowAdapterEngine("m0")
    demand = {"m0": ModelDemand(0.5, 0), "m1": ModelDemand(0.0, 30)}
    swap_during_adapter_load(engine, demand, memory_mb=140_070.0)
    assert set(engine.models) == {"m0"}


def test_adapter_of_evicted_model_does_not_prevent_eviction() -> None:
    # An adapter loaded meanwhile is unloaded together with its model.
    engine = SlowAdapterEngine("m0", "m2")
    demand = {"m2": ModelDemand(0.5, 0), "m1": ModelDemand(0.0, 30)}
    swap_during_adapter_load(engine, demand, memory_mb=140_070.0)
    assert set(engine.models) == {"m1", "m2"}
