"""Which servers a stream that has begun may wait for, and go to, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest
from entry_harness import NoModelOrders, ReceivedRequest
from scripted_scheduler import ScriptedScheduler, assigning
from timed_engines import (
    Caller,
    RelayHarness,
    ScriptedEngine,
    Timetable,
    a_relay_harness,
    completes_stream,
    generation_caller,
    loses_connection,
    pauses_generation,
    received_complete_stream,
    run,
)
from virtual_time import now_s

Prepare = Callable[[RelayHarness], None]


class ScriptedArrivals(NoModelOrders):
    """Announce the load of each model at one engine."""

    def __init__(self, server: str, due_s: float) -> None:
        self.server = server
        self.due_s = due_s

    def model_due_s(self, _: str, *, servers: Any = None) -> float | None:
        return self.due_s if servers is None or self.server in servers else None


def set_versions(harness: RelayHarness, **versions: str) -> None:
    for name, version in versions.items():
        entry = harness.fleet.servers[name].entry
        harness.fleet.put(replace(entry, software_version=version))


def serve(
    *engines: ScriptedEngine,
    versions: dict[str, str],
    prepare: Prepare = lambda _: None,
    meanwhile: Callable[[RelayHarness], Awaitable[None]] | None = None,
    **options: Any,
) -> tuple[Caller, float]:
    """Serve one caller; return it and how long its request took."""
    caller, took_s = generation_caller(), 0.0

    async def play() -> None:
        nonlocal took_s
        harness = a_relay_harness(*engines, **options)
        set_versions(harness, **versions)
        prepare(harness)
        work = [harness.serve(caller)]
        if meanwhile is not None:
            work.append(meanwhile(harness))
        started_s = now_s()
        await asyncio.gather(*work)
        took_s = now_s() - started_s

    run(play)
    return caller, took_s


def leaving_once_begun(
    *, forget: str = ""
) -> Callable[[RelayHarness], Awaitable[None]]:
    """Remove e1 after its second event, or the model of another engine."""

    async def meanwhile(harness: RelayHarness) -> None:
        await asyncio.sleep(0.39)
        if forget:
            harness.fleet.servers[forget].resident_models.clear()
        harness.fleet.remove("e1")

    return meanwhile


# Guards against a scheduler that does not know which version began a stream.
def test_a_scheduled_stream_is_not_sent_to_another_version() -> None:
    scheduler = ScriptedScheduler(assigning("e1", "e2", "e3"))
    engines = [
        ScriptedEngine("e1", loses_connection),
        ScriptedEngine("e2", completes_stream),
        ScriptedEngine("e3", completes_stream),
    ]
    caller, _ = serve(
        *engines,
        versions={"e1": "v1", "e2": "v2", "e3": "v1"},
        scheduling=scheduler,
    )
    assert received_complete_stream(caller)
    assert engines[1].requests == []
    assert "e2" not in scheduler.requests[0].tried
    assert "e2" in scheduler.requests[1].tried


# Guards against giving up a silent server for one that can't continue the stream.
@pytest.mark.parametrize(("other", "moves"), [("v1", True), ("v2", False)])
def test_a_silent_server_is_left_only_for_one_of_its_version(
    other: str, moves: bool
) -> None:
    engines = [
        ScriptedEngine("e1", pauses_generation),
        ScriptedEngine("e2", completes_stream),
    ]

    def prefer_first(harness: RelayHarness) -> None:
        harness.fleet.servers["e2"].down_until_s = now_s() + 0.2

    caller, _ = serve(
        *engines, versions={"e1": "v1", "e2": other}, prepare=prefer_first
    )
    assert received_complete_stream(caller)
    assert bool(engines[1].requests) is moves


# Guards against holding a stream until its deadline that nothing can continue.
def test_a_stream_ends_at_once_when_its_version_is_gone() -> None:
    engines = [
        ScriptedEngine("e1", loses_connection),
        ScriptedEngine("e2", completes_stream),
    ]

    def prefer_first(harness: RelayHarness) -> None:
        harness.fleet.servers["e2"].down_until_s = now_s() + 0.2

    caller, took_s = serve(
        *engines,
        versions={"e1": "v1", "e2": "v2"},
        prepare=prefer_first,
        meanwhile=leaving_once_begun(),
    )
    assert caller.aborted and caller.events == 2
    assert engines[1].requests == []
    assert took_s < 1.0


def _without_model(harness: RelayHarness) -> None:
    harness.fleet.servers["e3"].resident_models.clear()
    harness.fleet.servers["e2"].down_until_s = now_s() + 0.2


# Guards against waiting for a model that only another version has or gets: it is
# loaded once, and the request would count as demand there.
@pytest.mark.parametrize("loading", ["", "e2"], ids=["resident", "being loaded"])
def test_a_stream_does_not_wait_for_its_model_at_another_version(loading: str) -> None:
    engines = [
        ScriptedEngine("e1", loses_connection),
        ScriptedEngine("e2", completes_stream),
        ScriptedEngine("e3", completes_stream),
    ]

    def prepare(harness: RelayHarness) -> None:
        _without_model(harness)
        if loading:
            harness.relay._ports.models = ScriptedArrivals(loading, now_s() + 2.0)

    caller, took_s = serve(
        *engines,
        versions={"e1": "v1", "e2": "v2", "e3": "v1"},
        prepare=prepare,
        meanwhile=leaving_once_begun(forget="e2" if loading else ""),
    )
    assert caller.aborted
    assert engines[1].requests == engines[2].requests == []
    assert took_s < 1.0


# Guards against ending streams whose model is about to be there with their version.
def test_a_stream_waits_for_its_model_at_its_version() -> None:
    engines = [
        ScriptedEngine("e1", loses_connection),
        ScriptedEngine("e2", completes_stream),
        ScriptedEngine("e3", completes_stream),
    ]

    def prepare(harness: RelayHarness) -> None:
        _without_model(harness)
        harness.relay._ports.models = ScriptedArrivals("e3", now_s() + 2.0)

    async def meanwhile(harness: RelayHarness) -> None:
        await leaving_once_begun()(harness)
        await asyncio.sleep(2.0)
        harness.fleet.servers["e3"].resident_models["m0"] = set()

    caller, _ = serve(
        *engines,
        versions={"e1": "v1", "e2": "v2", "e3": "v1"},
        prepare=prepare,
        meanwhile=meanwhile,
    )
    assert received_complete_stream(caller)
    assert engines[1].requests == []


# Guards against ending streams during the restart of a service's only server.
def test_a_stream_waits_while_no_server_of_any_version_is_there() -> None:
    def loses_first(received: ReceivedRequest) -> Timetable:
        if "last-event-id" in received.headers:
            return completes_stream(received)
        return loses_connection(received)

    engine = ScriptedEngine("e1", loses_first)

    async def meanwhile(harness: RelayHarness) -> None:
        entry = harness.fleet.servers["e1"].entry
        await leaving_once_begun()(harness)
        await asyncio.sleep(2.0)
        harness.fleet.put(entry)

    caller, _ = serve(engine, versions={"e1": "v1"}, meanwhile=meanwhile)
    assert received_complete_stream(caller)
