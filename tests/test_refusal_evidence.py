"""What an entry VM takes as proof that a backend server did not run a request."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import pytest
from entry_builders import a_route
from entry_harness import (
    SIGNATURE_HEADER,
    ReceivedRequest,
    Script,
    ScriptedServer,
    answer,
    running_gateway,
)
from timed_engines import (
    Caller,
    ScriptedEngine,
    Timetable,
    a_relay_harness,
    never_responds,
    plain_service_caller,
    run as run_in_virtual_time,
)

from rosepath.attempt import MAX_BODY_BYTES
from rosepath.catalog import HostRoute, RouteKind

FILE = "POST /drafts/1 HTTP/1.1\r\nRequest-Id: q1"
GENERATE = (
    "POST /drafts/1 HTTP/1.1\r\nRequest-Id: q1\r\nModel: m0\r\n"
    "Token-Usage: 300,20\r\nPrompt-Prefix: aa:200,bb:100"
)
# Long enough for a response to arrive in a segment of its own.
SEGMENT_GAP_S = 0.05
NOT_RUN_HEADER = "Not-Executed: 1\r\n"
STRAY_RESPONSES = {
    "rejection": f"HTTP/1.1 503 X\r\n{NOT_RUN_HEADER}Content-Length: 0\r\n\r\n",
    "misdirected": "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
}


def a_plain_route(kind: RouteKind) -> HostRoute:
    return a_route(kind=kind, service="desk", max_attempts=3)


@dataclass(slots=True)
class RunCounter:
    """Count how often each request ran, over all servers."""

    runs: Counter[str] = field(default_factory=Counter)

    async def run(
        self, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.runs[received.request_id] += 1
        writer.write(answer(received, 200, b"whole"))

    def after_stray_response(self, stray: str) -> Script:
        """Return a script that runs each request after a response to none."""

        async def serve(
            received: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(stray.encode())
            await writer.drain()
            await asyncio.sleep(SEGMENT_GAP_S)
            await self.run(received, writer)

        return serve

    def after_repeated_rejection(self) -> Script:
        """Return a script that rejects the first request and then runs all.

        On the connection of the rejection, it comes a second time before the
        response to the next request.
        """
        rejecting: list[asyncio.StreamWriter] = []

        async def serve(
            received: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            rejection = answer(received, 503, b"", NOT_RUN_HEADER)
            if not rejecting:
                rejecting.append(writer)
                writer.write(rejection)
                return
            if writer is rejecting[0]:
                writer.write(rejection)
                await writer.drain()
                await asyncio.sleep(SEGMENT_GAP_S)
            await self.run(received, writer)

        return serve


# Guards against a response that names no request being taken for the rejection
# of the one that runs: its caller is told that it did not run.
@pytest.mark.parametrize("stray", STRAY_RESPONSES.values(), ids=STRAY_RESPONSES)
def test_a_stray_response_does_not_refuse_a_request_that_runs(stray: str) -> None:
    async def run() -> None:
        counter = RunCounter()
        server = ScriptedServer("s1", counter.after_stray_response(stray))
        route = a_plain_route(RouteKind.NON_IDEMPOTENT)
        async with running_gateway(server, route=route) as node:
            data = await node.send_request(FILE, b"claim")
        assert counter.runs["q1"] == 1
        assert data.endswith(b"whole")

    asyncio.run(run())


# Guards against the same response sending a request that runs to another server.
@pytest.mark.parametrize("stray", STRAY_RESPONSES.values(), ids=STRAY_RESPONSES)
def test_a_stray_response_does_not_run_a_request_twice(stray: str) -> None:
    async def run() -> None:
        counter = RunCounter()
        servers = [
            ScriptedServer(name, counter.after_stray_response(stray))
            for name in ("s1", "s2")
        ]
        route = a_plain_route(RouteKind.NON_IDEMPOTENT)
        async with running_gateway(*servers, route=route) as node:
            await node.send_request(FILE, b"claim")
        assert counter.runs["q1"] == 1

    asyncio.run(run())


# Guards against the second copy of a rejection being taken for the rejection of
# the next attempt, which runs.
def test_a_rejection_that_comes_twice_refuses_one_attempt_only() -> None:
    async def run() -> None:
        counter = RunCounter()
        server = ScriptedServer("s1", counter.after_repeated_rejection())
        async with running_gateway(server, route=a_route(resumable=False)) as node:
            await node.send_request(GENERATE)
        assert counter.runs["q1"] == 1

    asyncio.run(run())


# Guards against a caller being told that its request did not run because the
# server that may have run it chose a status which promises that.
@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_rejection_without_proof_promises_nothing_to_the_caller(status: int) -> None:
    async def rejects(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(received, status, b"busy"))

    async def run() -> None:
        server = ScriptedServer("s1", rejects)
        route = a_plain_route(RouteKind.NON_IDEMPOTENT)
        async with running_gateway(server, route=route) as node:
            data = await node.send_request(FILE, b"claim")
        assert data.startswith(b"HTTP/1.1 502")
        assert SIGNATURE_HEADER.strip().encode() not in data

    asyncio.run(run())


# Guards against an idempotent request's response being replaced as well: its
# caller may repeat it after any failure, and gets what the server said.
def test_an_idempotent_requests_rejection_is_passed_on_unchanged() -> None:
    async def rejects(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = f"{SIGNATURE_HEADER}Retry-After: 1\r\n"
        writer.write(answer(received, 429, b"busy", head))

    async def run() -> None:
        server = ScriptedServer("s1", rejects)
        route = a_plain_route(RouteKind.IDEMPOTENT)
        async with running_gateway(server, route=route) as node:
            data = await node.send_request("GET /drafts/1 HTTP/1.1\r\nRequest-Id: q1")
        assert data.startswith(b"HTTP/1.1 429") and data.endswith(b"busy")
        assert b"Retry-After: 1" in data

    asyncio.run(run())


def caller_of(engine: ScriptedEngine, *, wait_ms: int) -> Caller:
    """Serve a request that must run once, from a caller that leaves soon."""
    caller = plain_service_caller()
    caller.headers["Request-Deadline-Ms"] = str(wait_ms)

    async def play() -> None:
        route = a_plain_route(RouteKind.NON_IDEMPOTENT)
        harness = a_relay_harness(engine, route=route)
        await harness.serve(caller)
        if not engine.requests:
            # Its own deadline says nothing of the server.
            assert harness.fleet.servers[engine.name].connect_failed_s < 0

    run_in_virtual_time(play)
    return caller


# Guards against a deadline that ends an attempt to connect counting as a run: the
# caller would not send the request again, although no byte of it was sent.
def test_a_deadline_while_connecting_refuses_as_not_run() -> None:
    engine = ScriptedEngine("s1", never_responds, unreachable=True)
    caller = caller_of(engine, wait_ms=300)
    assert not engine.requests
    assert (caller.status, bool(caller.retry_after)) == (503, True)


# Guards against the proof in a rejection's head being dropped as its body is late.
def test_a_deadline_within_a_rejection_refuses_as_not_run() -> None:
    def begins_rejection(received: ReceivedRequest) -> Timetable:
        return [(0.01, answer(received, 503, b"busy", NOT_RUN_HEADER)[:-2])]

    caller = caller_of(ScriptedEngine("s1", begins_rejection), wait_ms=300)
    assert (caller.status, bool(caller.retry_after)) == (503, True)


# Guards against the same for a rejection whose body is too large to be kept.
def test_a_rejection_with_a_large_body_refuses_as_not_run() -> None:
    def rejects_at_length(received: ReceivedRequest) -> Timetable:
        body = bytes(MAX_BODY_BYTES + 1)
        return [(0.01, answer(received, 503, body, NOT_RUN_HEADER))]

    caller = caller_of(ScriptedEngine("s1", rejects_at_length), wait_ms=300)
    assert (caller.status, bool(caller.retry_after)) == (503, True)


# Guards against the mend promising too much: a request that was sent and got no
# response by its deadline may run.
def test_a_deadline_after_sending_promises_nothing() -> None:
    caller = caller_of(ScriptedEngine("s1", never_responds), wait_ms=300)
    assert (caller.status, caller.retry_after) == (504, "")


def fails_with(status: int) -> Script:
    async def fails(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(received, status, b"failed"))

    return fails


# Guards against a server's own failure counting as not run: it has begun the
# request, and may have carried it out.
@pytest.mark.parametrize("status", [500, 504])
def test_a_request_that_must_run_once_is_not_sent_again_after_a_failure(
    status: int,
) -> None:
    async def run() -> None:
        servers = [ScriptedServer(name, fails_with(status)) for name in ("s1", "s2")]
        route = a_plain_route(RouteKind.NON_IDEMPOTENT)
        async with running_gateway(*servers, route=route) as node:
            data = await node.send_request(FILE, b"claim")
        assert sum(len(server.requests) for server in servers) == 1
        assert data.startswith(b"HTTP/1.1 %d" % status) and data.endswith(b"failed")

    asyncio.run(run())


# Guards against the rejection of the next server promising that a request did not
# run which the first one may have run.
@pytest.mark.parametrize("status", [500, 504])
def test_a_rejection_after_a_failure_promises_nothing(status: int) -> None:
    async def run() -> None:
        begun: list[str] = []

        async def fails_once(
            received: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            first = not begun
            begun.append(received.request_id)
            rejection = answer(received, 503, b"", NOT_RUN_HEADER)
            writer.write(answer(received, status, b"failed") if first else rejection)

        servers = [ScriptedServer(name, fails_once) for name in ("s1", "s2")]
        route = a_plain_route(RouteKind.IDEMPOTENT)
        async with running_gateway(*servers, route=route) as node:
            data = await node.send_request("GET /drafts/1 HTTP/1.1\r\nRequest-Id: q1")
        assert len(begun) > 1
        assert data.startswith((b"HTTP/1.1 500", b"HTTP/1.1 502", b"HTTP/1.1 504"))

    asyncio.run(run())
