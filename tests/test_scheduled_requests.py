"""Requests that the relay sends to the servers which a scheduler assigns.

The pattern of load: an engine that looks best to this VM is taken by requests of
others, which only the scheduler knows.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from entry_harness import ReceivedRequest
from scripted_scheduler import (
    ScriptedScheduler,
    assigning,
    no_scheduler,
    rejecting,
)
from structlog.testing import capture_logs
from timed_engines import (
    Caller,
    RelayHarness,
    ScriptedEngine,
    Timetable,
    a_plain_service_route,
    a_relay_harness,
    completes_stream,
    generation_caller,
    plain_service_caller,
    received_complete_stream,
    refuses,
    responds_quickly,
    run,
    stops_sending,
)

from rosepath.assignment import (
    RunOutcome,
)


def serve(
    scheduler: ScriptedScheduler,
    *engines: ScriptedEngine,
    caller: Caller | None = None,
    prepare: Callable[[RelayHarness], None] = lambda _: None,
    work: Callable[[RelayHarness, Caller], Awaitable[Any]] | None = None,
    **options: Any,
) -> Caller:
    """Serve one caller's request; return the caller."""
    served = caller or generation_caller()

    async def play() -> None:
        harness = a_relay_harness(*engines, scheduling=scheduler, **options)
        prepare(harness)
        await (work(harness, served) if work else harness.serve(served))

    run(play)
    return served


def test_a_request_goes_to_its_assigned_server_and_is_reported() -> None:
    """Chats that compete for engines: the scheduler hears of start and end."""
    scheduler = ScriptedScheduler(assigning("e2"))
    engines = [ScriptedEngine(name, completes_stream) for name in ("e1", "e2", "e3")]
    caller = serve(scheduler, *engines)
    assert received_complete_stream(caller)
    assert [len(engine.requests) for engine in engines] == [0, 1, 0]
    begun, ended = scheduler.reports
    assert begun.began_after_s is not None and begun.outcome is None
    assert (ended.server, ended.outcome) == ("e2", RunOutcome.COMPLETED)
    assert begun.request_id == ended.request_id == scheduler.requests[0].request_id


def test_a_request_states_what_its_caller_needs() -> None:
    """A chat and a draft differ in when they are due: the scheduler must know."""
    scheduler = ScriptedScheduler(assigning("e1"))
    serve(scheduler, ScriptedEngine("e1", completes_stream))
    (request,) = scheduler.requests
    assert request.due_s - request.arrived_s == pytest.approx(0.6)
    assert request.gap_s == 0.25 and request.prompt is not None
    assert request.arrived_s < request.wait_until_s <= request.deadline_s


def test_a_server_that_refuses_is_reported_and_not_assigned_again() -> None:
    """A server that sheds load: its slot is free, and the next one is tried."""
    scheduler = ScriptedScheduler(assigning("e1", "e2"))
    engines = ScriptedEngine("e1", refuses), ScriptedEngine("e2", completes_stream)
    caller = serve(scheduler, *engines)
    assert received_complete_stream(caller)
    assert scheduler.outcomes == [
        ("e1", RunOutcome.NOT_RUN),
        ("e2", RunOutcome.COMPLETED),
    ]
    assert scheduler.requests[1].tried == {"e1"}
    assert scheduler.requests[0].request_id != scheduler.requests[1].request_id


def test_a_server_that_is_down_is_reported_and_another_is_asked_for() -> None:
    """A crashed engine refuses connections before the scheduler hears of it."""
    scheduler = ScriptedScheduler(assigning("e1", "e2"))
    down = ScriptedEngine("e1", completes_stream, up=False)
    caller = serve(scheduler, down, ScriptedEngine("e2", completes_stream))
    assert received_complete_stream(caller)
    assert scheduler.outcomes[0] == ("e1", RunOutcome.NOT_RUN)
    assert scheduler.requests[1].tried == {"e1"}


def test_a_server_that_this_vm_may_not_use_is_returned_unrun() -> None:
    """A server left, or asked this VM to back off: the scheduler knows less."""
    scheduler = ScriptedScheduler(assigning("e9", "e1", "e2"))

    def prepare(harness: RelayHarness) -> None:
        harness.fleet.servers["e1"].backoff_until_s = 1e9

    engines = [ScriptedEngine(name, completes_stream) for name in ("e1", "e2")]
    caller = serve(scheduler, *engines, prepare=prepare)
    assert received_complete_stream(caller)
    assert scheduler.outcomes == [
        ("e9", RunOutcome.NOT_RUN),
        ("e1", RunOutcome.NOT_RUN),
        ("e2", RunOutcome.COMPLETED),
    ]
    assert scheduler.requests[2].tried == {"e9", "e1"}


def test_a_rejected_request_is_refused_as_not_run() -> None:
    """Too little room: the caller is told at once when to return."""
    scheduler = ScriptedScheduler(rejecting)
    engine = ScriptedEngine("e1", completes_stream)
    caller = serve(scheduler, engine)
    assert caller.status == 503 and caller.retry_after
    assert not engine.requests and not scheduler.reports


def test_without_a_scheduler_a_vm_chooses_by_itself_and_reports_it() -> None:
    """The scheduler is gone: requests run, and the next one can count them."""
    scheduler = ScriptedScheduler(no_scheduler)
    caller = serve(scheduler, ScriptedEngine("e1", completes_stream))
    assert received_complete_stream(caller)
    (placed,) = scheduler.placed
    assert placed.server == "e1" and placed.unread_tokens == 300
    assert scheduler.reports[-1].request_id == placed.request.request_id
    assert scheduler.outcomes == [("e1", RunOutcome.COMPLETED)]


def test_a_request_whose_model_no_engine_holds_is_not_sent_to_the_scheduler() -> None:
    """A model that is being loaded: its requests wait as demand for it."""
    scheduler = ScriptedScheduler(assigning("e1"))

    def prepare(harness: RelayHarness) -> None:
        harness.fleet.servers["e1"].resident_models.clear()

    caller = serve(scheduler, ScriptedEngine("e1", completes_stream), prepare=prepare)
    assert caller.status == 503 and not scheduler.requests


def test_a_request_does_not_wait_at_the_scheduler_beyond_its_limit() -> None:
    """No room for long: the caller of a stream would have left by then."""
    scheduler = ScriptedScheduler(no_scheduler, waits_s=60.0)
    engine = ScriptedEngine("e1", completes_stream)
    caller = generation_caller()
    ended_s: list[float] = []

    async def work(harness: RelayHarness, caller: Caller) -> None:
        started_s = asyncio.get_running_loop().time()
        await harness.serve(caller)
        ended_s.append(asyncio.get_running_loop().time() - started_s)

    serve(scheduler, engine, caller=caller, work=work)
    assert caller.status == 503 and ended_s[0] < 2.5


def test_a_caller_that_leaves_frees_its_server() -> None:
    """Callers give up on a slow stream: the scheduler must not count it on."""
    scheduler = ScriptedScheduler(assigning("e1"))

    async def work(harness: RelayHarness, caller: Caller) -> None:
        serving = asyncio.ensure_future(harness.serve(caller))
        await asyncio.sleep(0.5)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    serve(scheduler, ScriptedEngine("e1", stops_sending), work=work)
    assert scheduler.outcomes == [("e1", RunOutcome.FAILED)]


def test_a_response_without_a_stream_is_reported_with_its_load() -> None:
    """A small service: what a server states of its load reaches the scheduler."""

    def states_load(received: ReceivedRequest) -> Timetable:
        (after_s, data), *rest = responds_quickly(received)
        head, separator, body = data.partition(b"\r\n\r\n")
        stated = head + b"\r\nServer-Load: 3,1,6" + separator + body
        return [(after_s, stated), *rest]

    scheduler = ScriptedScheduler(assigning("s1"))
    caller = serve(
        scheduler,
        ScriptedEngine("s1", states_load),
        caller=plain_service_caller(),
        route=a_plain_service_route(),
    )
    assert caller.status == 200
    (ended,) = scheduler.reports
    assert ended.outcome is RunOutcome.COMPLETED and ended.began_after_s is not None
    assert ended.load is not None and ended.load[:3] == (3, 1, 6)


def test_a_fleet_that_does_not_schedule_asks_and_reports_nothing() -> None:
    """A small fleet is served as without the feature."""
    scheduler = ScriptedScheduler(assigning("e2"), in_use=False)
    with capture_logs() as lines:
        caller = serve(scheduler, ScriptedEngine("e1", completes_stream))
    assert received_complete_stream(caller)
    assert not scheduler.requests and not scheduler.placed and not scheduler.reports
    assert not any("scheduler" in line for line in lines)
