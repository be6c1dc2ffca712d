"""Swaps: nothing is ended before it is known that what follows may follow."""

import asyncio
from collections.abc import Callable

from test_order_dispatcher import FakeEngine, a_dispatcher, until

from rosepath.clock import ManualClock
from rosepath.demand import ModelDemand
from rosepath.engine_orders import OrderAction, OrderReply
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
        engine.connecting = lambda: replies.extend(map(engine.carry_out, engine.late))
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
