"""What an entry VM does at servers that fell silent towards all VMs."""

import asyncio
from dataclasses import replace

import pytest
from entry_builders import a_route, an_entry
from entry_harness import ReceivedRequest
from structlog.testing import capture_logs
from timed_engines import (
    Caller,
    RelayHarness,
    ScriptedEngine,
    Timetable,
    a_relay_harness,
    add,
    completes_stream,
    generation_caller,
    never_responds,
    received_complete_stream,
    run,
    stops_sending,
    streams,
)
from virtual_time import START_S, now_s

from rosepath.assignment import SilentServer
from rosepath.catalog import HostRoute
from rosepath.fleet import BackendServer, Fleet, InFlightRequest
from rosepath.server_choice import healthy_servers
from rosepath.silence_reports import (
    SILENT_TTL_S,
    apply_silent_servers,
    end_lost_runs,
    server_progress,
)

# Documents may wait this long for their first event.
DOCUMENT_DUE_S = 4.0
SILENT_S = 1.5


def a_document_route(*, max_attempts: int = 2, resumable: bool = True) -> HostRoute:
    route = a_route(timeout_s=20.0, max_attempts=max_attempts, resumable=resumable)
    return replace(route, target_latency_s=DOCUMENT_DUE_S, target_gap_s=1.0)


def say_silent(harness: RelayHarness, *, born_ms: int = 0) -> None:
    silent = SilentServer(server="e1", born_ms=born_ms, silent_s=SILENT_S)
    apply_silent_servers(harness.fleet, [silent], now_s=now_s())


def goes_on(received: ReceivedRequest) -> Timetable:
    return streams(received, 0.05, *(0.3 * n for n in range(1, 8)), until=8)


def played(
    *engines: ScriptedEngine, route: HostRoute, said_after_s: float = SILENT_S
) -> tuple[Caller, RelayHarness]:
    """Serve a generation whose first engine is said to be silent after a while."""
    caller = generation_caller()
    harnesses: list[RelayHarness] = []

    async def play() -> None:
        harness = a_relay_harness(engines[0], route=route)
        harnesses.append(harness)
        serving = asyncio.ensure_future(harness.serve(caller))
        await asyncio.sleep(0.01)
        for engine in engines[1:]:
            add(harness, engine)
        await asyncio.sleep(said_after_s - 0.01)
        say_silent(harness)
        await serving

    run(play)
    return caller, harnesses[0]


# Guards against documents waiting for the first event of an engine that went dark,
# which a single VM can't tell from a queue.
def test_a_request_that_waits_leaves_an_engine_silent_to_all() -> None:
    dark, spare = (
        ScriptedEngine("e1", never_responds),
        ScriptedEngine("e2", completes_stream),
    )
    caller, _ = played(dark, spare, route=a_document_route())
    assert received_complete_stream(caller)
    assert spare.received_at_s[0] - START_S < SILENT_S + 0.1 < DOCUMENT_DUE_S


# Guards against a begun stream staying where other VMs' streams are silent too.
def test_a_begun_stream_resumes_elsewhere() -> None:
    dark, spare = (
        ScriptedEngine("e1", stops_sending),
        ScriptedEngine("e2", completes_stream),
    )
    caller, _ = played(dark, spare, route=a_document_route())
    assert received_complete_stream(caller)
    assert spare.requests[0].headers["last-event-id"] == "2"
    assert spare.received_at_s[0] - START_S < SILENT_S + 0.1


# Guards against a request that may not be sent again being lost by the word of
# others: its engine may still answer.
@pytest.mark.parametrize(
    "route",
    [a_document_route(max_attempts=1), a_document_route(resumable=False)],
    ids=["one attempt", "not resumable"],
)
def test_a_stream_that_may_not_be_repeated_stays(route: HostRoute) -> None:
    def pauses(received: ReceivedRequest) -> Timetable:
        return streams(received, 0.05, 0.3, 2.5, until=8)

    slow, spare = ScriptedEngine("e1", pauses), ScriptedEngine("e2", completes_stream)
    caller, _ = played(slow, spare, route=route)
    assert received_complete_stream(caller)
    assert not spare.requests


# Guards against word that came too late: the engine goes on with this VM's stream.
def test_a_stream_that_goes_on_stays() -> None:
    sound, spare = ScriptedEngine("e1", goes_on), ScriptedEngine("e2", completes_stream)
    caller, _ = played(sound, spare, route=a_document_route())
    assert received_complete_stream(caller)
    assert not spare.requests


# Guards against the retry budget being overrun when many streams leave at once.
def test_a_stream_stays_without_a_retry() -> None:
    async def play() -> None:
        dark, spare = (
            ScriptedEngine("e1", stops_sending),
            ScriptedEngine("e2", completes_stream),
        )
        harness = a_relay_harness(dark, retries=0, route=a_document_route())
        serving = asyncio.ensure_future(harness.serve(generation_caller(wait_ms=4000)))
        await asyncio.sleep(0.01)
        add(harness, spare)
        await asyncio.sleep(SILENT_S)
        say_silent(harness)
        await serving
        assert not spare.requests

    run(play)


# Guards against a probe of a suspect being ended by the next message that names it.
def test_a_request_sent_to_a_suspect_waits_for_its_usual_time() -> None:
    async def play() -> None:
        def responds_late(received: ReceivedRequest) -> Timetable:
            return streams(received, 1.0, until=8)

        probed, spare = (
            ScriptedEngine("e1", responds_late),
            ScriptedEngine("e2", completes_stream),
        )
        harness = a_relay_harness(probed, route=a_document_route())
        say_silent(harness)
        caller = generation_caller()
        serving = asyncio.ensure_future(harness.serve(caller))
        await asyncio.sleep(0.01)
        add(harness, spare)
        for _ in range(4):
            await asyncio.sleep(0.2)
            say_silent(harness)
        await serving
        assert received_complete_stream(caller)
        assert not spare.requests

    run(play)


def a_server(**fields: object) -> BackendServer:
    fleet = Fleet()
    fleet.put(replace(an_entry("e1"), **fields))  # type: ignore[arg-type]
    return fleet.servers["e1"]


def a_fleet_of(server: BackendServer) -> Fleet:
    fleet = Fleet()
    fleet.servers[server.name] = server
    return fleet


# Guards against a scheduler that is gone keeping a server out of use for ever.
def test_the_word_of_the_scheduler_expires() -> None:
    server = a_server()
    silent = SilentServer(server="e1", born_ms=0, silent_s=SILENT_S)
    apply_silent_servers(a_fleet_of(server), [silent], now_s=5.0)
    assert not healthy_servers([server], cut_off=(), now_s=5.1)
    assert healthy_servers([server], cut_off=(), now_s=5.0 + SILENT_TTL_S) == [server]


# Guards against a server that was forgiven, or restarted under its id, staying out
# of use.
def test_a_server_that_is_not_named_is_not_silent() -> None:
    server = a_server(born_ms=2)
    fleet = a_fleet_of(server)
    earlier = SilentServer(server="e1", born_ms=1, silent_s=SILENT_S)
    apply_silent_servers(fleet, [earlier], now_s=5.0)
    assert healthy_servers([server], cut_off=(), now_s=5.0)
    apply_silent_servers(fleet, [replace(earlier, born_ms=2)], now_s=5.0)
    apply_silent_servers(fleet, [], now_s=5.1)
    assert healthy_servers([server], cut_off=(), now_s=5.1)


# Guards against a log line for each message that names a dark server.
def test_a_silent_server_is_logged_once() -> None:
    fleet = a_fleet_of(a_server())
    silent = SilentServer(server="e1", born_ms=0, silent_s=SILENT_S)
    with capture_logs() as lines:
        for number in range(5):
            apply_silent_servers(fleet, [silent], now_s=5.0 + 0.2 * number)
    assert [line["event"] for line in lines] == ["server_silent"]


def progress(server: BackendServer, *, since_s: float = 0.0) -> list[tuple[int, float]]:
    return [
        (found.streams, round(found.event_age_s, 3))
        for found in server_progress(
            a_fleet_of(server),
            entry_vm="vm-1",
            data_centre="a",
            now_s=10.0,
            since_s=since_s,
        )
    ]


# Guards against requests that wait for their first event counting as silent
# streams, and against messages about servers without any.
def test_progress_tells_of_begun_streams_and_recent_events() -> None:
    server = a_server()
    waiting = InFlightRequest()
    server.in_flight_requests["q1"] = waiting
    assert not progress(server)
    server.in_flight_requests["q2"] = InFlightRequest(first_event_s=6.0)
    server.last_activity_s = 7.0
    assert progress(server, since_s=9.5) == [(1, 3.0)]
    del server.in_flight_requests["q2"]
    assert not progress(server, since_s=9.5)
    server.last_activity_s = 9.6
    assert progress(server, since_s=9.5) == [(0, 0.4)]


# Guards against callers held until their deadlines by connections that a server
# which is gone left open: a request that must run once gets its answer.
def test_the_runs_of_a_server_that_is_gone_end_as_lost() -> None:
    async def play() -> None:
        dark = ScriptedEngine("e1", never_responds)
        harness = a_relay_harness(dark, route=a_document_route(max_attempts=1))
        caller = generation_caller()
        serving = asyncio.ensure_future(harness.serve(caller))
        await asyncio.sleep(1.0)
        server = harness.fleet.servers["e1"]
        harness.fleet.remove("e1")
        end_lost_runs(server, why="restarted")
        await serving
        assert (caller.status, caller.retry_after) == (502, "")
        assert now_s() - START_S < 1.1

    run(play)
