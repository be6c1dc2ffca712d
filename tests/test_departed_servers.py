"""Runs at servers whose entries are gone."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

from entry_builders import a_route
from entry_harness import ReceivedRequest, answer
from timed_engines import (
    Caller,
    RelayHarness,
    ScriptedEngine,
    TimedPool,
    Timetable,
    a_relay_harness,
    generation_caller,
    never_responds,
    received_complete_stream,
    run,
    streams,
)
from virtual_time import START_S, LoopClock, now_s

from rosepath.catalog import HostRoute, RouteKind
from rosepath.crash_watch import instance_of
from rosepath.departed_servers import MIN_IDLE_S, DepartedServers

DEPARTS_AFTER_S = 1.0
KNOWN_WITHIN_S = MIN_IDLE_S + 1.0
DEADLINE_S = 20.0


def a_once_only_route() -> HostRoute:
    return a_route(kind=RouteKind.NON_IDEMPOTENT, timeout_s=DEADLINE_S)


def depart(harness: RelayHarness) -> None:
    """Remove the entry of engine `e1`, as it lapsed."""
    server = harness.fleet.servers["e1"]
    harness.fleet.remove("e1")
    DepartedServers(
        fleet=harness.fleet,
        clock=LoopClock(),
        probe=TimedPool(harness.engines).probe,
    ).note_departed(server)


def restart(harness: RelayHarness) -> None:
    """Start engine `e1` anew under its id and address."""
    server = harness.fleet.servers["e1"]
    harness.fleet.put(replace(server.entry, born_ms=server.entry.born_ms + 1))
    DepartedServers(
        fleet=harness.fleet,
        clock=LoopClock(),
        probe=TimedPool(harness.engines).probe,
    ).note_departed(server)


def start_draining(harness: RelayHarness) -> None:
    server = harness.fleet.servers["e1"]
    server.entry = replace(server.entry, draining=True)


def serve(
    engine: ScriptedEngine,
    *changes: Callable[[RelayHarness], None],
    route: HostRoute | None = None,
) -> tuple[Caller, float]:
    """Serve a request while its engine changes; return when it ended."""
    caller = generation_caller()
    ended_s: list[float] = []

    async def play() -> None:
        harness = a_relay_harness(engine, route=route or a_once_only_route())
        serving = asyncio.ensure_future(harness.serve(caller))
        await asyncio.sleep(DEPARTS_AFTER_S)
        for change in changes:
            change(harness)
        await serving
        ended_s.append(now_s() - START_S - DEPARTS_AFTER_S)
        # The last check finds no run and ends.
        await asyncio.sleep(1.0)

    run(play)
    return caller, ended_s[0]


def goes_dark(engine: ScriptedEngine) -> Callable[[RelayHarness], None]:
    def change(_: RelayHarness) -> None:
        engine.unreachable = True

    return change


def responds_after(after_s: float) -> Callable[[ReceivedRequest], Timetable]:
    return lambda received: [(after_s, answer(received, 200, b"whole"))]


# Guards against callers held until their deadlines by an engine that lost its
# power: its connections stay open, its entry lapses.
def test_the_runs_of_a_dark_server_end_when_its_entry_is_gone() -> None:
    dark = ScriptedEngine("e1", never_responds)
    caller, ended_s = serve(dark, goes_dark(dark), depart)
    assert (caller.status, caller.retry_after) == (502, "")
    assert ended_s < KNOWN_WITHIN_S


# Guards against the same when the process starts again under its id before its
# entry lapsed, and accepts connections.
def test_the_runs_of_a_restarted_server_end_at_once() -> None:
    caller, ended_s = serve(ScriptedEngine("e1", never_responds), restart)
    assert (caller.status, caller.retry_after) == (502, "")
    assert ended_s < 0.1


# Guards against runs being ended at a server that is well and whose entry another
# writer or a store outage removed.
def test_a_server_that_accepts_connections_finishes_its_runs() -> None:
    caller, _ = serve(ScriptedEngine("e1", responds_after(6.0)), depart)
    assert (caller.status, caller.received_body) == (200, b"whole")


# Guards against runs being ended at a server that leaves in order, and closes its
# port before they are complete.
def test_a_leaving_server_finishes_its_runs() -> None:
    leaving = ScriptedEngine("e1", responds_after(6.0))
    caller, _ = serve(leaving, start_draining, goes_dark(leaving), depart)
    assert (caller.status, caller.received_body) == (200, b"whole")


# Guards against streams that go on being ended by an entry VM which can open no new
# connection to their server.
def test_a_stream_that_goes_on_is_not_ended() -> None:
    def goes_on(received: ReceivedRequest) -> Timetable:
        return streams(received, *(0.5 * n for n in range(1, 10)), until=8)

    engine = ScriptedEngine("e1", goes_on)
    caller, _ = serve(engine, goes_dark(engine), depart, route=a_route(timeout_s=20.0))
    assert received_complete_stream(caller)


async def requests_charged(
    script: Callable[[ReceivedRequest], Timetable], *, leave_after_s: float
) -> int:
    """Let a caller leave, and then its server; count the requests charged with that."""
    harness = a_relay_harness(ScriptedEngine("e1", script))
    caller = generation_caller()
    with suppress(TimeoutError):
        async with asyncio.timeout(leave_after_s):
            await harness.serve(caller)
    # What the caller left is noted in the background.
    await asyncio.sleep(0.01)
    crashes, server = harness.relay._ports.crashes, harness.fleet.servers["e1"]
    crashes.note_crashed(instance_of(server))
    return len(crashes.records)


# Guards against refusing a request that all callers make alike, as they break its
# streams off and its servers leave without a word.
def test_a_stream_that_its_caller_broke_off_is_not_charged_with_a_departure() -> None:
    async def play() -> None:
        def flows(received: ReceivedRequest) -> Timetable:
            times = (0.05 * number for number in range(1, 80))
            return streams(received, *times, until=79)

        assert await requests_charged(flows, leave_after_s=0.5) == 0

    run(play)


# Guards against the same for a stream that paused and went on.
def test_a_stream_that_went_on_after_a_pause_is_not_charged_with_a_departure() -> None:
    async def play() -> None:
        def pauses(received: ReceivedRequest) -> Timetable:
            return streams(received, 0.05, 1.5, 1.6, 1.7, until=40, ends=False)

        assert await requests_charged(pauses, leave_after_s=1.75) == 0

    run(play)
