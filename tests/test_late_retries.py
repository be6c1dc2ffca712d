"""Retries that are sent long after they were taken from the retry budget."""

import asyncio
import math

import pytest
from timed_engines import (
    RelayHarness,
    ScriptedEngine,
    a_relay_harness,
    add,
    completes_stream,
    generation_caller,
    loses_connection,
    received_complete_stream,
    run,
)

# Requests of the load, whose streams all break off, and the retries that their
# window allows.
STREAMS = 40
RATIO = 0.25
WINDOW_S = 4.0
# Quarters of a window with steady requests, so that each window has some.
STEADY_STEPS = 6


async def lose_streams(harness: RelayHarness) -> list[asyncio.Task[None]]:
    """Let the callers' streams begin and break off, and take their engine away."""
    callers = [generation_caller(f"q{number}") for number in range(STREAMS)]
    serving = [asyncio.ensure_future(harness.serve(caller)) for caller in callers]
    await asyncio.sleep(0.1)
    harness.fleet.remove("e1")
    await asyncio.sleep(0.5)
    return serving


def a_budgeted_harness(*engines: ScriptedEngine) -> RelayHarness:
    harness = a_relay_harness(*engines, retries=0.0, window_s=WINDOW_S)
    harness.window.ratio = RATIO
    return harness


# Guards against sending what was reserved while the load lasted in windows that
# hold none of its requests.
@pytest.mark.parametrize("refused_first", [False, True], ids=["absent", "refused"])
def test_retries_that_wait_for_a_server_are_counted_when_they_are_sent(
    refused_first: bool,
) -> None:
    async def play() -> None:
        spare = ScriptedEngine("e2", completes_stream)
        harness = a_budgeted_harness(ScriptedEngine("e1", loses_connection))
        serving = await lose_streams(harness)
        if refused_first:
            # Each retry is tried there at once, and not sent.
            spare.up = False
            add(harness, spare)
        await asyncio.sleep(2.5 * WINDOW_S)
        assert not spare.requests
        spare.up = True
        add(harness, spare)
        await asyncio.gather(*serving)
        assert not spare.requests

    run(play)


# Guards against holding back retries that the budget still allows.
def test_retries_that_wait_within_their_window_are_sent() -> None:
    async def play() -> None:
        spare = ScriptedEngine("e2", completes_stream)
        harness = a_budgeted_harness(ScriptedEngine("e1", loses_connection))
        for _ in range(STEADY_STEPS):
            for _ in range(STREAMS // 4):
                harness.window.note_request()
            await asyncio.sleep(WINDOW_S / 4)
        serving = await lose_streams(harness)
        add(harness, spare)
        await asyncio.sleep(0.5)
        assert len(spare.requests) >= math.floor(RATIO * STREAMS) - 1
        for task in serving:
            task.cancel()
        await asyncio.gather(*serving, return_exceptions=True)

    run(play)


# Guards against losing a stream for want of a retry that callers who came
# meanwhile allow again.
def test_a_retry_that_waits_is_sent_once_new_requests_allow_it() -> None:
    async def play() -> None:
        spare = ScriptedEngine("e2", completes_stream)
        harness = a_budgeted_harness(ScriptedEngine("e1", loses_connection))
        for _ in range(math.ceil(1 / RATIO)):
            harness.window.note_request()
        caller = generation_caller()
        serving = asyncio.ensure_future(harness.serve(caller))
        await asyncio.sleep(0.1)
        harness.fleet.remove("e1")
        await asyncio.sleep(2.5 * WINDOW_S)
        add(harness, spare)
        await asyncio.sleep(0.5)
        assert not spare.requests
        for _ in range(math.ceil(1 / RATIO)):
            harness.window.note_request()
        await serving
        assert received_complete_stream(caller)

    run(play)


# Guards against handing servers more time than is left, as connections take long.
def test_a_server_is_told_the_time_that_is_left_once_it_is_connected() -> None:
    async def play() -> None:
        engine = ScriptedEngine("e1", completes_stream, connect_s=0.3)
        caller = generation_caller(wait_ms=2000)
        await a_relay_harness(engine).serve(caller)
        assert received_complete_stream(caller)
        (received,) = engine.requests
        assert int(received.headers["request-deadline-ms"]) <= 1700

    run(play)
