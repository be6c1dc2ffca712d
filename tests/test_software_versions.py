"""Streams go on only at the software version that began them."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import cast

import pytest
from entry_builders import a_decoded_entry, a_route
from entry_harness import (
    ReceivedRequest,
    RunningGateway,
    ScriptedServer,
    chunk,
    event,
    running_gateway,
    stream_head,
)
from versioned_fleet import VersionedFleet, versioned_fleet

from rosepath.catalog import HostRoute, ServiceShare
from rosepath.relay import Relay
from rosepath_standins.stream_caller import CallerStream

VERSIONS = ("v1", "v2")
STREAMS = 24


def a_generation(request_id: str, **headers: str) -> str:
    lines = {
        "Request-Id": request_id,
        "Model": "m0",
        "Token-Usage": "300,10",
        "Prompt-Prefix": f"{request_id}-shared:200,{request_id}:100",
        **headers,
    }
    head = "".join(f"\r\n{name}: {value}" for name, value in lines.items())
    return f"POST /drafts/1 HTTP/1.1{head}"


def a_resume(request_id: str, of: str) -> str:
    return a_generation(request_id, **{"Resumes": of, "Last-Event-Id": "2"})


async def streams(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    first = int(received.headers.get("last-event-id", "0")) + 1
    writer.write(stream_head(received))
    for number in range(first, 5):
        writer.write(chunk(event(number)))
    writer.write(b"0\r\n\r\n")


async def dies_after_two_events(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(stream_head(received) + chunk(event(1)) + chunk(event(2)))
    await writer.drain()
    writer.close()


def set_version(
    node: RunningGateway, server: ScriptedServer, version: str, *, born: int = 1
) -> None:
    """Write a server's entry with the version of its software."""
    entry = a_decoded_entry(
        server.name,
        address=server.address,
        version=version,
        born=born,
        models=[{"name": "m0", "adapters": []}],
    )
    node.fleet.put(entry)


async def begin_at(
    node: RunningGateway, server: ScriptedServer
) -> tuple[str, ReceivedRequest]:
    """Send prompts until a server begins a stream; return its id and request."""
    for number in range(60):
        request_id = f"q{number}"
        await node.send_request(a_generation(request_id))
        if server.requests:
            return request_id, server.requests[-1]
    raise AssertionError(f"{server.name} was sent no prompt")


def resumed_at(server: ScriptedServer) -> list[str]:
    """Return the ids of the streams that a server was asked to continue."""
    return [
        received.request_id
        for received in server.requests
        if "last-event-id" in received.headers
    ]


# Guards against events of two software versions within one response.
def test_a_broken_stream_does_not_go_on_at_another_version() -> None:
    async def run() -> None:
        first = ScriptedServer("s1", dies_after_two_events)
        others = [ScriptedServer(name, streams) for name in ("s2", "s3")]
        async with running_gateway(first, *others) as node:
            set_version(node, first, "v1")
            for server in others:
                set_version(node, server, "v2")
            await begin_at(node, first)
            assert resumed_at(others[0]) + resumed_at(others[1]) == []

    asyncio.run(run())


# Guards against ending streams that another server of their version can continue.
def test_a_broken_stream_goes_on_at_its_version() -> None:
    async def run() -> None:
        first, other, same = (
            ScriptedServer("s1", dies_after_two_events),
            ScriptedServer("s2", streams),
            ScriptedServer("s3", streams),
        )
        async with running_gateway(first, other, same) as node:
            for server, version in ((first, "v1"), (other, "v2"), (same, "v1")):
                set_version(node, server, version)
            for number in range(60):
                await node.send_request(a_generation(f"q{number}"))
            assert resumed_at(other) == []
            assert len(resumed_at(same)) == len(first.requests) > 0

    asyncio.run(run())


# Guards against events of two versions where a server has started again with another
# version under its name, and its VM has not learnt of that yet.
def test_a_stream_goes_on_only_where_the_version_is_confirmed() -> None:
    async def run() -> None:
        first, restarted = (
            ScriptedServer("s1", dies_after_two_events),
            ScriptedServer("s2", streams),
        )
        async with running_gateway(first, restarted) as node:
            for server in (first, restarted):
                set_version(node, server, "v1")

            async def confirm() -> None:
                set_version(node, restarted, "v2", born=2)

            relay = cast(Relay, node.gateway._serve.__self__)  # type: ignore[attr-defined]
            relay._ports.confirm_instances = confirm
            await begin_at(node, first)
            assert resumed_at(restarted) == []

    asyncio.run(run())


# Guards against a caller that waits for a version that no server has any more.
def test_a_resume_is_refused_at_once_without_a_server_of_its_version() -> None:
    async def run() -> None:
        first, other = (
            ScriptedServer("s1", dies_after_two_events),
            ScriptedServer("s2", streams),
        )
        async with running_gateway(first, other) as node:
            set_version(node, first, "v1")
            set_version(node, other, "v2")
            began, _ = await begin_at(node, first)
            node.fleet.remove("s1")
            async with asyncio.timeout(0.4):
                data = await node.send_request(a_resume("r1", began))
            assert data.startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in data
            assert resumed_at(other) == []

    asyncio.run(run())


# Guards against continuing a stream at a server that restarted under its id with
# another version before it began to respond.
def test_a_stream_does_not_go_on_at_a_server_reborn_with_another_version() -> None:
    async def run() -> None:
        first = ScriptedServer("s1", dies_after_two_events)

        async def upgrades_first(
            received: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            if "last-event-id" in received.headers:
                set_version(node, second, "v2", born=2)
            await streams(received, writer)

        second = ScriptedServer("s2", upgrades_first)
        async with running_gateway(first, second) as node:
            set_version(node, first, "v1")
            set_version(node, second, "v1")
            for number in range(60):
                data = await node.send_request(a_generation(f"q{number}"))
                if resumed_at(second):
                    break
            assert event(2) in data
            assert event(3) not in data

    asyncio.run(run())


# Guards against a route's split that sends a resumed stream to another service.
def test_a_resume_goes_to_the_service_that_began_the_stream() -> None:
    async def run() -> None:
        shares = (
            ServiceShare(service="llm", weight=1.0),
            ServiceShare(service="desk", weight=1.0),
        )
        route = replace(a_route(), shares=shares)
        models, plain = (
            ScriptedServer("s1", dies_after_two_events),
            ScriptedServer("s2", dies_after_two_events),
        )
        async with running_gateway(models, plain, route=route) as node:
            set_version(node, models, "v1")
            node.fleet.put(a_decoded_entry("s2", address=plain.address, service="desk"))
            for number in range(20):
                await node.send_request(a_generation(f"q{number}"))
            services = {
                received.request_id: server
                for server in (models, plain)
                for received in server.requests
            }
            for server in (models, plain):
                server.requests.clear()
            for number in range(20):
                await node.send_request(a_resume(f"r{number}", f"q{number}"))
            for number in range(20):
                taken_up = {
                    server.name
                    for server in (models, plain)
                    if f"r{number}" in resumed_at(server)
                }
                assert taken_up == {services[f"q{number}"].name}

    asyncio.run(run())


Scenario = Callable[[VersionedFleet], Awaitable[list[CallerStream]]]


async def take_up_elsewhere(fleet: VersionedFleet) -> list[CallerStream]:
    """Break streams off and take them up at another VM."""

    async def play(number: int) -> CallerStream:
        names = fleet.names
        stream = await fleet.begin(names[number % len(names)])
        await fleet.send(stream, names[(number + 1) % len(names)])
        return stream

    return await asyncio.gather(*map(play, range(STREAMS)))


async def take_up_after_a_kill(fleet: VersionedFleet) -> list[CallerStream]:
    """Kill the VM at which streams began, and take them up at the others."""
    first, *others = fleet.names
    begun = await asyncio.gather(*(fleet.begin(first) for _ in range(STREAMS)))
    await fleet.kill(first)
    for number, stream in enumerate(begun):
        await fleet.send(stream, others[number % len(others)])
    return begun


# Guards against events of two software versions over a caller's attempts, at other
# VMs than the one at which the stream began and after its end.
@pytest.mark.parametrize("scenario", [take_up_elsewhere, take_up_after_a_kill])
def test_streams_taken_up_hold_events_of_one_version(
    tmp_path: Path, scenario: Scenario
) -> None:
    async def run() -> None:
        async with versioned_fleet(tmp_path, "a", "a", "b", "b") as fleet:
            streams = await scenario(fleet)
        assert {version for s in streams for version in s.software_versions} == {
            *VERSIONS
        }
        assert [s for s in streams if len(s.software_versions) > 1] == []
        assert sum(stream.complete for stream in streams) > 0.9 * STREAMS

    asyncio.run(run())


# Guards against guessing where a stream began that no VM knows of.
def test_a_stream_of_unknown_origin_is_refused_beside_two_versions(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with versioned_fleet(tmp_path, "a", "a") as fleet:
            stream = await fleet.begin("vm-0")
            stream.attempts[0].request_id = "never-seen"
            async with asyncio.timeout(0.6):
                attempt = await fleet.send(stream, "vm-1")
        assert attempt.status == 503
        assert attempt.retry_after_s is not None

    asyncio.run(run())


# Guards against continuing a stream at the service to which its route was moved.
def test_a_resume_is_refused_if_its_service_is_no_longer_routed() -> None:
    async def run() -> None:
        models, plain = (
            ScriptedServer("s1", dies_after_two_events),
            ScriptedServer("s2", streams),
        )
        async with running_gateway(models, plain) as node:
            set_version(node, models, "v1")
            node.fleet.put(a_decoded_entry("s2", address=plain.address, service="desk"))
            began, _ = await begin_at(node, models)
            moved = replace(a_route(), shares=(ServiceShare(service="desk", weight=1),))
            cast(dict[str, list[HostRoute]], node.catalog.by_host)[moved.host] = [moved]
            data = await node.send_request(a_resume("r1", began))
            assert data.startswith(b"HTTP/1.1 503")
            assert plain.requests == []

    asyncio.run(run())


# Guards against taking the version in an old entry for the one that began a stream,
# as its server restarted with another one meanwhile.
def test_a_stream_that_begins_as_its_server_restarts_is_not_continued() -> None:
    async def run() -> None:
        async def upgrades_itself(
            received: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            set_version(node, first, "v2", born=2)
            await dies_after_two_events(received, writer)

        first, other = (
            ScriptedServer("s1", upgrades_itself),
            ScriptedServer("s2", streams),
        )
        async with running_gateway(first, other) as node:
            set_version(node, first, "v1")
            set_version(node, other, "v1")
            began, _ = await begin_at(node, first)
            assert resumed_at(other) == []
            data = await node.send_request(a_resume("r1", began))
            assert data.startswith(b"HTTP/1.1 503")

    asyncio.run(run())


def confirming(
    node: RunningGateway,
    server: ScriptedServer,
    version: str,
    *,
    sent: Callable[[], object],
    after_s: float = 0.0,
) -> None:
    """Let a VM learn that a server had restarted, once `sent` tells of a request."""

    async def confirm() -> None:
        if sent():
            await asyncio.sleep(after_s)
            set_version(node, server, version, born=2)

    relay = cast(Relay, node.gateway._serve.__self__)  # type: ignore[attr-defined]
    relay._ports.confirm_process = lambda _: confirm()


# Guards against recording the version of an entry that a VM has yet to replace for a
# stream that begins at the server's next process.
@pytest.mark.parametrize("after_s", [0.0, 0.3])
def test_a_stream_that_begins_at_a_restarted_server_does_not_go_on_elsewhere(
    after_s: float,
) -> None:
    async def run() -> None:
        first, other = (
            ScriptedServer("s1", dies_after_two_events),
            ScriptedServer("s2", streams),
        )
        async with running_gateway(first, other) as node:
            set_version(node, first, "v1")
            set_version(node, other, "v1")
            confirming(node, first, "v2", sent=lambda: first.requests, after_s=after_s)
            began, _ = await begin_at(node, first)
            assert resumed_at(other) == []
            data = await node.send_request(a_resume("r1", began))
            assert data.startswith(b"HTTP/1.1 503")

    asyncio.run(run())


# Guards against passing on events of a server that restarted with another version, and
# against going on after events that were not passed on.
@pytest.mark.parametrize("after_s", [0.0, 0.3])
def test_a_stream_does_not_go_on_at_a_restarted_server(after_s: float) -> None:
    async def run() -> None:
        first, restarted, same = (
            ScriptedServer("s1", dies_after_two_events),
            ScriptedServer("s2", streams),
            ScriptedServer("s3", streams),
        )
        route = a_route(max_attempts=3)
        servers = (first, restarted, same)
        async with running_gateway(*servers, route=route) as node:
            for server in servers:
                set_version(node, server, "v1")
            node.fleet.remove("s3")

            def returns_as_the_other_is_asked() -> bool:
                asked = bool(resumed_at(restarted))
                if asked:
                    set_version(node, same, "v1", born=2)
                return asked

            confirming(
                node,
                restarted,
                "v2",
                sent=returns_as_the_other_is_asked,
                after_s=after_s,
            )
            began, _ = await begin_at(node, first)
            assert resumed_at(restarted) == resumed_at(same) == [began]
            (resumed,) = same.requests
            assert resumed.headers["last-event-id"] == "2"

    asyncio.run(run())
