"""Orders rest on the contents of an engine for which its memory was checked."""

import asyncio
from collections.abc import Callable, Coroutine

from test_order_dispatcher import FakeEngine, a_dispatcher
from virtual_time import LoopClock, VirtualLoop

from rosepath.demand import ModelDemand
from rosepath.engine_orders import OrderAction
from rosepath.order_dispatcher import REPORT_INTERVAL_S

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
