"""Swaps: nothing is ended before it is known that what follows may follow."""

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

Move = tuple[str, str, str, bool]


def a_swap_for_m1(
    engine: FakeEngine,
    moves: list[Move],
    *,
    may_order: Callable[[], bool] = lambda: True,
) -> OrderDispatcher:
    """Return a dispatcher that wants m1 where two other models are."""
    return a_dispatcher(
        engine,
        ManualClock(),
        demand={"m1": ModelDemand(0.0, 9)},
        may_order=may_order,
        on_held=lambda *move: moves.append(move),
    )


def test_a_model_whose_unload_failed_is_told_to_be_there() -> None:
    # Callers got `no_server` for a model that an engine held. Its unload was
    # told to all VMs and then not answered, nor carried out; nobody took the
    # word back until the engine's entry was next written.
    async def run() -> None:
        engine, moves = FakeEngine("m0", "m2"), list[Move]()
        dispatcher = a_swap_for_m1(engine, moves)
        engine.unanswered = 3
        await dispatcher.tick()
        await until(lambda: not dispatcher._swaps)
        victim = engine.orders[0].model
        assert engine.orders[0].action is OrderAction.UNLOAD
        assert victim in engine.models
        assert moves == [("e1", victim, "", False), ("e1", victim, "", True)]

    asyncio.run(run())


def test_a_model_whose_unload_may_have_failed_is_told_to_be_there() -> None:
    # The engine answers no question either. A request that meets a model gone
    # is turned away unrun, and that is noted; one that is not sent notes
    # nothing, and its caller gets `no_server`.
    async def run() -> None:
        engine, moves = FakeEngine("m0", "m2"), list[Move]()
        dispatcher = a_swap_for_m1(engine, moves)
        await dispatcher.tick()
        engine.unanswered = 3

        async def unread(_: str, __: str) -> None:
            raise ExchangeError("silent", step=Step.SEND, peer="e1", sent=True)

        engine.report = unread  # type: ignore[method-assign, assignment]
        await until(lambda: not dispatcher._swaps)
        assert moves[-1] == ("e1", engine.orders[0].model, "", True)

    asyncio.run(run())


def test_a_model_whose_unload_lost_its_answer_stays_gone() -> None:
    # The order was carried out; only its answers were lost. Told to be there
    # again, the model would draw requests that the engine turns away.
    async def run() -> None:
        engine, moves = FakeEngine("m0", "m2"), list[Move]()
        dispatcher = a_swap_for_m1(engine, moves)
        engine.unanswered = 3
        replies: list[OrderReply] = []
        engine.connecting = lambda: replies.extend(map(engine.execute, engine.late))
        await dispatcher.tick()
        await until(lambda: not dispatcher._swaps)
        assert replies[0] is OrderReply.ACCEPTED
        assert moves == [("e1", engine.orders[0].model, "", False)]

    asyncio.run(run())


def test_a_model_that_was_not_ordered_away_is_not_told_to_be_gone() -> None:
    # The lease ended between the plan and the order, at its last look while
    # the connection came about: nothing was sent. The model was told to be
    # gone all the same, and callers got `no_server` for it.
    async def run() -> None:
        for lost_when in ("planned", "connecting"):
            engine, moves, holding = FakeEngine("m0", "m2"), list[Move](), [True]
            dispatcher = a_swap_for_m1(engine, moves, may_order=lambda h=holding: h[0])
            await dispatcher.tick()
            if lost_when == "planned":
                holding[0] = False
            engine.connecting = lambda h=holding: h.__setitem__(0, False)
            await until(lambda d=dispatcher: not d._swaps)
            assert not engine.orders
            assert not moves, lost_when

    asyncio.run(run())


class AdaptersWait(FakeEngine):
    """Carry out orders about adapters, and answer once the gate is opened."""

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


def swap_beside_an_adapter(
    engine: AdaptersWait, demand: dict[str, ModelDemand], *, memory_mb: float
) -> None:
    """Plan a swap to a big m1 while an adapter of m0 is on its way."""

    async def run() -> None:
        models = {name: a_model(name) for name in ("m0", "m2")}
        models["m1"] = a_model("m1", size_mb=70_060.0)
        spec = replace(an_engine_spec(), models=models, memory_mb=memory_mb)
        asked: dict[str, ModelDemand] = {}
        dispatcher = a_dispatcher(engine, ManualClock(), demand=asked, spec=spec)
        asking = asyncio.ensure_future(
            dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        )
        await until(lambda: bool(engine.orders))
        asked.update(demand)
        await dispatcher.tick()
        assert dispatcher._swaps
        # Long enough for what the engine turns away to be sent again.
        await asyncio.sleep(0.1)
        engine.gate.set()
        assert await asking
        await until(lambda: not dispatcher._swaps)

    asyncio.run(run())


def test_an_adapter_on_its_way_is_reckoned_with_before_a_victim_goes() -> None:
    # The adapter took the room that the new model needed beside what stayed;
    # that was seen only after the victim had gone. The engine was left with one
    # model where two were, and callers of the victim waited for a load.
    engine = AdaptersWait("m0", "m2")
    demand = {"m0": ModelDemand(0.5, 0), "m1": ModelDemand(0.0, 30)}
    swap_beside_an_adapter(engine, demand, memory_mb=140_070.0)
    assert set(engine.models) == {"m0", "m2"}
    assert [order.adapter for order in engine.orders] == ["a1"]


def test_an_adapter_on_its_way_is_reckoned_with_before_a_load() -> None:
    # No victim is needed, yet beside the adapter the model does not fit. Turned
    # away for the adapter's order before it, the load was sent again and taken;
    # an engine that is ordered to hold more than it can crashes.
    engine = AdaptersWait("m0")
    demand = {"m0": ModelDemand(0.5, 0), "m1": ModelDemand(0.0, 30)}
    swap_beside_an_adapter(engine, demand, memory_mb=140_070.0)
    assert set(engine.models) == {"m0"}


def test_an_adapter_of_the_victim_does_not_keep_it_there() -> None:
    # The adapter that lands meanwhile goes with its model.
    engine = AdaptersWait("m0", "m2")
    demand = {"m2": ModelDemand(0.5, 0), "m1": ModelDemand(0.0, 30)}
    swap_beside_an_adapter(engine, demand, memory_mb=140_070.0)
    assert set(engine.models) == {"m1", "m2"}
