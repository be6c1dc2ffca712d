"""Retries of requests whose failed attempt may have run.

A stream that has begun, or may have run, is lost to its caller if it is given
up, so the limits for requests that were never sent must not apply to it.
"""

import asyncio
from dataclasses import dataclass, replace
from typing import Any

from entry_builders import a_model, a_route
from entry_harness import NoModelOrders, ReceivedRequest, answer
from timed_engines import (
    Caller,
    ScriptedEngine,
    Timetable,
    a_plain_service_route,
    a_relay_harness,
    add,
    completes_stream,
    engines_following,
    generation_caller,
    loses_connection,
    never_responds,
    plain_service_caller,
    received_complete_stream,
    refuses,
    responds_quickly,
    responds_slowly,
    run,
    successive_scripts,
)
from virtual_time import VirtualLoop

from rosepath.model_arrivals import RETRY_JITTER_S


def test_a_begun_stream_outlasts_the_limit_of_refusals() -> None:
    # The stream's engine dies and the others are full for three seconds. Six
    # refusals within milliseconds must not cut it while its caller waits.
    async def play() -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()

        def full_at_first(received: ReceivedRequest) -> Timetable:
            return (
                completes_stream(received)
                if loop.time() - started_s > 3.0
                else refuses(received)
            )

        dying, full = (
            ScriptedEngine("e1", loses_connection),
            ScriptedEngine("e2", full_at_first),
        )
        harness = a_relay_harness(dying, retries=60)
        caller = generation_caller()
        serving = asyncio.ensure_future(harness.serve(caller))
        await asyncio.sleep(0.1)
        harness.fleet.remove("e1")
        add(harness, full)
        await serving
        assert received_complete_stream(caller)
        assert len(full.requests) < 50

    run(play)


def test_a_begun_stream_waits_for_the_retry_budget() -> None:
    # The stream's engine dies while the retry budget is spent. The window
    # frees a retry within the seconds that are left.
    async def play() -> None:
        dying, spare = (
            ScriptedEngine("e1", loses_connection),
            ScriptedEngine("e2", completes_stream),
        )
        harness = a_relay_harness(dying, retries=1, window_s=4.0)
        assert harness.window.reserve()
        harness.window.consume()
        caller = generation_caller()
        serving = asyncio.ensure_future(harness.serve(caller))
        await asyncio.sleep(0.1)
        harness.fleet.remove("e1")
        add(harness, spare)
        await serving
        assert received_complete_stream(caller)
        assert spare.received_at_s[0] - dying.received_at_s[0] < 4.5

    run(play)


def test_a_begun_stream_that_all_servers_refuse_ends_at_its_deadline() -> None:
    # The caller's deadline limits the wait, and the pauses limit the attempts.
    async def play() -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        dying, full = (
            ScriptedEngine("e1", loses_connection),
            ScriptedEngine("e2", refuses),
        )
        harness = a_relay_harness(dying, retries=1000)
        caller = generation_caller(wait_ms=3_000)
        serving = asyncio.ensure_future(harness.serve(caller))
        await asyncio.sleep(0.1)
        harness.fleet.remove("e1")
        add(harness, full)
        await serving
        assert caller.aborted
        assert 2.9 < loop.time() - begun_s < 3.2
        assert len(full.requests) < 60

    run(play)


def test_a_stream_that_may_have_run_waits_for_the_retry_budget() -> None:
    # The stream used the last retry to leave an engine that sent nothing, and
    # the next engine refuses it. Its caller would wait longer but does not
    # retry after a failure, so a 502 would lose the request.
    async def play() -> None:
        script = successive_scripts(never_responds, refuses, completes_stream)
        route = replace(a_route(timeout_s=20.0), target_latency_s=4.0)
        harness = a_relay_harness(
            *engines_following(2, script), retries=1, window_s=4.0, route=route
        )
        caller = generation_caller()
        await harness.serve(caller)
        assert received_complete_stream(caller)

    run(play)


def test_a_stream_that_may_have_run_waits_for_an_engine() -> None:
    # The same with a short first-event target: by the time a retry is
    # available, the time that a stream that was never sent may wait for an
    # engine is over.
    async def play() -> None:
        script = successive_scripts(never_responds, refuses, completes_stream)
        route = replace(a_route(timeout_s=20.0), target_latency_s=0.4)
        harness = a_relay_harness(
            *engines_following(2, script), retries=1, window_s=4.0, route=route
        )
        caller = generation_caller()
        await harness.serve(caller)
        assert received_complete_stream(caller)

    run(play)


def test_a_stream_leaves_a_silent_engine_after_five_refusals() -> None:
    # The sixth engine is dead. Refusals don't end a stream that may have run,
    # so they must not make it stay with a dead engine either.
    async def play() -> None:
        script = successive_scripts(*[refuses] * 5, never_responds, completes_stream)
        harness = a_relay_harness(*engines_following(8, script), retries=60)
        caller = generation_caller()
        await harness.serve(caller)
        assert received_complete_stream(caller)

    run(play)


def test_an_idempotent_request_returns_to_a_server_it_left() -> None:
    # The other server refused the request. A 503 would state that it did not
    # run.
    async def play() -> None:
        script = successive_scripts(responds_slowly, refuses, responds_quickly)
        harness = a_relay_harness(
            *engines_following(2, script), route=a_plain_service_route()
        )
        caller = plain_service_caller()
        await harness.serve(caller)
        assert caller.status == 200

    run(play)


def test_a_request_that_may_have_run_is_not_refused_as_not_run() -> None:
    # The request left a silent server, and all others refuse it until its
    # deadline.
    async def play() -> None:
        script = successive_scripts(never_responds, refuses)
        harness = a_relay_harness(
            *engines_following(2, script), route=a_plain_service_route()
        )
        caller = plain_service_caller()
        await harness.serve(caller)
        assert caller.status in (502, 504)

    run(play)


def test_an_error_response_of_the_only_server_is_passed_on() -> None:
    # No other server is left, and the server's own response is more specific
    # than a refusal.
    async def play() -> None:
        only = ScriptedEngine(
            "s1", lambda received: [(0.01, answer(received, 500, b"why"))]
        )
        harness = a_relay_harness(only, route=a_plain_service_route())
        caller = plain_service_caller()
        await harness.serve(caller)
        assert caller.status == 500 and caller.received_body == b"why"

    run(play)


def test_retries_count_in_the_window_in_which_they_are_sent() -> None:
    # Two streams lose their engines four seconds apart, with one retry allowed
    # in four seconds. Both wait for an engine. If retries counted when
    # reserved, both would be sent at once when it comes up.
    async def play() -> None:
        spare = ScriptedEngine("e2", completes_stream)
        harness = a_relay_harness(
            ScriptedEngine("e1", loses_connection), retries=1, window_s=4.0
        )
        first, second = generation_caller("q1"), generation_caller("q2")
        second.headers["Model"] = "m1"
        serving = [asyncio.ensure_future(harness.serve(first))]
        await asyncio.sleep(0.1)
        harness.fleet.remove("e1")
        await asyncio.sleep(4.1)
        add(harness, ScriptedEngine("e3", loses_connection), "m1")
        serving.append(asyncio.ensure_future(harness.serve(second)))
        await asyncio.sleep(0.1)
        harness.fleet.remove("e3")
        await asyncio.sleep(1.0)
        add(harness, spare, "m0", "m1")
        await asyncio.gather(*serving)
        assert received_complete_stream(first) and received_complete_stream(second)
        assert spare.received_at_s[1] - spare.received_at_s[0] >= 4.0

    run(play)


@dataclass(slots=True)
class AnnouncedLoad(NoModelOrders):
    """Announce a load of every model, and count the requests that wait."""

    due_in_s: float | None = None
    waited: int = 0

    def model_due_s(self, _: str) -> float | None:
        if self.due_in_s is None:
            return None
        return asyncio.get_running_loop().time() + self.due_in_s

    def note_waiting(self, *_: Any, step: int) -> None:
        self.waited += step > 0


def lacks_model(received: ReceivedRequest) -> Timetable:
    return [(0.005, answer(received, 421, b"", "Not-Executed: 1\r\n"))]


def refused_for_an_absent_model(
    models: AnnouncedLoad, *, retries: float, ends_hopeless_waits: bool = False
) -> tuple[Caller, float]:
    """Serve a request that its only engine rejects; return when that ended."""
    caller = generation_caller()

    async def play() -> float:
        harness = a_relay_harness(ScriptedEngine("e1", lacks_model), retries=retries)
        ports = harness.relay._ports
        ports.models = models
        ports.ends_hopeless_waits = lambda: ends_hopeless_waits
        await harness.serve(caller)
        return asyncio.get_running_loop().time() - caller.arrived_s

    loop = VirtualLoop()
    try:
        return caller, loop.run_until_complete(play())
    finally:
        loop.close()


# Guards against callers that return before the model is there, and are rejected
# again: the retry budget is spent while a model moves between engines.
def test_a_request_for_an_absent_model_is_told_when_it_is_loaded() -> None:
    models = AnnouncedLoad(due_in_s=9.0)
    caller, _ = refused_for_an_absent_model(models, retries=0.0)
    assert caller.status == 503
    assert 9.0 <= float(caller.retry_after) <= 9.0 + RETRY_JITTER_S


# Guards against requests for a model that no engine has being held until their
# callers leave: a model that was just evicted, and whose load takes longer than
# they wait.
def test_a_wait_for_a_model_ends_when_no_load_can_be_done_in_time() -> None:
    models = AnnouncedLoad()
    caller, took_s = refused_for_an_absent_model(
        models, retries=9.0, ends_hopeless_waits=True
    )
    patient, patient_s = refused_for_an_absent_model(AnnouncedLoad(), retries=9.0)
    assert (caller.status, patient.status) == (503, 503)
    disk_load_s = a_model("m0").disk_load_s
    assert abs(patient_s - took_s - disk_load_s) < 0.2
    assert float(caller.retry_after) >= disk_load_s
    # It counts as demand while it waits.
    assert models.waited == 1
