"""The time that servers are given never exceeds what a caller has left."""

import asyncio
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
from entry_builders import a_route
from entry_harness import (
    ReceivedRequest,
    RunningGateway,
    ScriptedServer,
    answer,
    running_gateway,
)
from opentelemetry.trace import INVALID_SPAN
from tornado.httputil import HTTPHeaders, HTTPServerRequest, RequestStartLine

from rosepath.caller_connection import unread_for_s
from rosepath.caller_handler import Handler
from rosepath.catalog import HostRoute, RouteKind
from rosepath.clock import ManualClock, SystemClock
from rosepath.errors import ExchangeError, RefusalError
from rosepath.http_client import HttpPool, Request
from rosepath_standins.entry_fleet import HOST, EntryFleet, EntryVm, caller_headers
from rosepath_standins.raw_caller import read_response, request_bytes

# What a caller allows, and how much more a server may be told.
WAIT_S = 4.0
TOLERANCE_S = 0.5
DELAY_S = 0.9
# Longer than the tolerance, and shorter than what peers take for a failure.
PAUSE_S = 1.2
SENDING_S = 5.5
SEND_INTERVAL_S = 0.05
PATH = "/drafts/1"
LIMIT_S = 10.0


class FakeConnection:
    """Stand in for the connection of a request that was read."""

    context = None

    def set_close_callback(self, _: Callable[[], None]) -> None:
        return


class AheadClock(SystemClock):
    """Run ahead of the system's clock by what a test adds."""

    ahead_s = 0.0

    def monotonic_s(self) -> float:
        return super().monotonic_s() + self.ahead_s


def a_lookup_route() -> HostRoute:
    return a_route(kind=RouteKind.IDEMPOTENT, service="desk", timeout_s=10.0)


def told_s(received: ReceivedRequest) -> float:
    """Return how much time a server was told to have."""
    return int(received.headers["request-deadline-ms"]) / 1000


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0)


async def run_with_server(
    play: Callable[[RunningGateway, ScriptedServer, AheadClock], Awaitable[None]],
) -> list[ReceivedRequest]:
    """Play a caller at a gateway; return what its server received.

    The server takes `DELAY_S` over the request with the id `slow`.
    """
    clock = AheadClock()

    async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if received.request_id == "slow":
            clock.ahead_s += DELAY_S
        writer.write(answer(received, 200, b"whole"))

    server = ScriptedServer("s1", respond)
    async with running_gateway(server, route=a_lookup_route(), clock=clock) as node:
        await play(node, server, clock)
    return server.requests


def buffered_bytes(node: RunningGateway) -> int:
    """Return how much a gateway has read of heads that are not complete."""
    return sum(
        exchange._connection.stream._read_buffer_size for exchange in node.gateway.idle
    )


# Guards against counting a caller's time from the end of its request's head, which
# a thin link or a lost packet delays.
@pytest.mark.parametrize("kept", [False, True])
def test_time_counts_from_the_first_byte_of_a_head(kept: bool) -> None:
    async def play(node: RunningGateway, _: ScriptedServer, clock: AheadClock) -> None:
        reader, writer = await node.connect()
        if kept:
            writer.write(request_bytes("first", PATH, wait_s=WAIT_S))
            await read_response(reader)
            clock.ahead_s += DELAY_S
        head = request_bytes("q1", PATH, wait_s=WAIT_S)
        writer.write(head[:20])
        await until(lambda: buffered_bytes(node) == 20)
        clock.ahead_s += DELAY_S
        writer.write(head[20:])
        await read_response(reader)
        writer.close()

    received = asyncio.run(run_with_server(play))[-1]
    assert told_s(received) <= WAIT_S - DELAY_S
    # What lies between two requests on a kept connection is not counted.
    assert told_s(received) > WAIT_S - DELAY_S - TOLERANCE_S


# Guards against counting the time of a pipelined request from the end of the
# response before it.
def test_time_of_a_pipelined_request_counts_from_its_arrival() -> None:
    async def play(node: RunningGateway, *_: object) -> None:
        reader, writer = await node.connect()
        both = [request_bytes(name, PATH, wait_s=WAIT_S) for name in ("slow", "next")]
        writer.write(b"".join(both))
        await read_response(reader)
        await read_response(reader)
        writer.close()

    received = asyncio.run(run_with_server(play))[-1]
    assert received.request_id == "next"
    assert told_s(received) <= WAIT_S - DELAY_S


# Guards against a line break after a body being taken for the next request's start.
def test_line_breaks_before_a_request_are_not_its_first_bytes() -> None:
    async def play(node: RunningGateway, _: ScriptedServer, clock: AheadClock) -> None:
        reader, writer = await node.connect()
        writer.write(request_bytes("first", PATH, wait_s=WAIT_S))
        await read_response(reader)
        writer.write(b"\r\n")
        await until(lambda: buffered_bytes(node) == 2)
        clock.ahead_s += DELAY_S
        writer.write(request_bytes("q1", PATH, wait_s=WAIT_S))
        await read_response(reader)
        writer.close()

    received = asyncio.run(run_with_server(play))[-1]
    assert told_s(received) > WAIT_S - TOLERANCE_S


# Guards against a route's whole time for a caller that has none left.
def test_a_request_without_time_is_refused_at_once() -> None:
    async def play(node: RunningGateway, *_: object) -> None:
        head = f"GET {PATH} HTTP/1.1\r\nRequest-Id: q1\r\nRequest-Deadline-Ms: 0"
        response = await node.send_request(head)
        assert response.startswith(b"HTTP/1.1 503 ")

    assert asyncio.run(run_with_server(play)) == []


# Guards against reading no limit, and giving a server the time of the route, where a
# caller states several.
@pytest.mark.parametrize(
    "stated", [["9000", "1000"], ["1000", "9000"], ["9000, 1000"], ["1000", "x"]]
)
def test_the_least_of_several_deadlines_counts(stated: list[str]) -> None:
    async def play(node: RunningGateway, *_: object) -> None:
        head = f"GET {PATH} HTTP/1.1\r\nRequest-Id: q1"
        limits = "".join(f"\r\nRequest-Deadline-Ms: {limit}" for limit in stated)
        response = await node.send_request(head + limits)
        assert response.startswith(b"HTTP/1.1 200 ")

    received = asyncio.run(run_with_server(play))[-1]
    assert told_s(received) <= 1.0


# Guards against reading no limit, and giving a server the time of the route, where a
# caller writes a number in another form.
@pytest.mark.parametrize(
    "stated",
    ["1000.5", "999.9", "1000.0", "1e3", "+1000", "01000", "1000;q=1", "9000.0, 1e3"],
)
def test_a_limit_counts_in_each_form_of_a_number(stated: str) -> None:
    async def play(node: RunningGateway, *_: object) -> None:
        head = f"GET {PATH} HTTP/1.1\r\nRequest-Id: q1"
        response = await node.send_request(f"{head}\r\nRequest-Deadline-Ms: {stated}")
        assert response.startswith(b"HTTP/1.1 200 ")

    received = asyncio.run(run_with_server(play))[-1]
    assert 1.0 - TOLERANCE_S < told_s(received) <= 1.0


# Guards against a route's whole time for a caller that reckoned that it has none left.
def test_a_limit_below_zero_is_refused_at_once() -> None:
    async def play(node: RunningGateway, *_: object) -> None:
        head = f"GET {PATH} HTTP/1.1\r\nRequest-Id: q1\r\nRequest-Deadline-Ms: -12.5"
        response = await node.send_request(head)
        assert response.startswith(b"HTTP/1.1 503 ")

    assert asyncio.run(run_with_server(play)) == []


# Guards against a route's whole time where nobody can tell what the caller allows.
@pytest.mark.parametrize("stated", ["1000 ms", "soon", "nan", "1_000", "0x3e8", "²"])
def test_a_limit_that_is_no_number_is_rejected(stated: str) -> None:
    async def play(node: RunningGateway, *_: object) -> None:
        head = f"GET {PATH} HTTP/1.1\r\nRequest-Id: q1"
        response = await node.send_request(f"{head}\r\nRequest-Deadline-Ms: {stated}")
        assert response.startswith(b"HTTP/1.1 400 ")
        assert b"Request-Deadline-Ms" in response

    assert asyncio.run(run_with_server(play)) == []


# Guards against rejecting a request whose caller states no limit.
@pytest.mark.parametrize("stated", ["", "inf"])
def test_a_caller_without_a_limit_gets_that_of_the_route(stated: str) -> None:
    async def play(node: RunningGateway, *_: object) -> None:
        head = f"GET {PATH} HTTP/1.1\r\nRequest-Id: q1"
        response = await node.send_request(f"{head}\r\nRequest-Deadline-Ms: {stated}")
        assert response.startswith(b"HTTP/1.1 200 ")

    received = asyncio.run(run_with_server(play))[-1]
    assert told_s(received) > LIMIT_S - TOLERANCE_S


def a_handler(*stated: str) -> SimpleNamespace:
    """Return what a handler of the product's own daemon needs to read a limit."""
    headers = HTTPHeaders({"Host": "court.example"})
    for limit in stated:
        headers.add("Rosepath-Deadline-Ms", limit)
    handler = SimpleNamespace(
        ports=SimpleNamespace(
            settings=SimpleNamespace(
                routing=SimpleNamespace(request_timeout_s=WAIT_S), data_centre="a"
            ),
            clock=ManualClock(start_s=1000.0),
        ),
        request=HTTPServerRequest(
            start_line=RequestStartLine("GET", "/", "HTTP/1.1"),
            headers=headers,
            connection=FakeConnection(),
        ),
        marked_idempotent=lambda: True,
    )
    handler._stated_limit_s = lambda: Handler._stated_limit_s(cast(Any, handler))
    return handler


# Guards against an internal error, or the whole time of a request, for the form of a
# caller's limit, in the product's own daemon.
@pytest.mark.parametrize(
    "stated", [["1000"], ["1000.0"], ["1e3"], ["+1000"], ["3000, 1000"], ["1000", "x"]]
)
def test_rosepathd_reads_a_limit_in_each_form(stated: list[str]) -> None:
    handler = cast(Any, a_handler(*stated))
    options = Handler.request_options(handler, idempotent=True, span=INVALID_SPAN)
    assert options.deadline_s == pytest.approx(1001.0, abs=0.5)


# Guards against the same for limits that are none.
@pytest.mark.parametrize("stated", ["²", "7" * 5000 + "x", "soon", "0", "-1", "nan"])
def test_rosepathd_rejects_a_limit_that_is_no_number(stated: str) -> None:
    handler = cast(Any, a_handler(stated))
    with pytest.raises(RefusalError) as caught:
        Handler.request_options(handler, idempotent=True, span=INVALID_SPAN)
    assert caught.value.refusal.status == 400


# Guards against counting the time of a body from its end, in the product's own daemon.
@pytest.mark.parametrize(("read_for_s", "left_s"), [(0.9, 3.1), (-60.0, 4.0)])
def test_the_time_for_which_a_body_is_read_counts(
    read_for_s: float, left_s: float
) -> None:
    handler = a_handler()
    handler.request._start_time -= read_for_s
    options = Handler.request_options(
        cast(Any, handler), idempotent=True, span=INVALID_SPAN
    )
    assert options.deadline_s == pytest.approx(1000.0 + left_s, abs=0.5)


async def excess_after_pauses(directory: Path) -> list[float]:
    """Return by how much servers were told too much, as two VMs pause by turns.

    Both VMs are real processes that are stopped while their callers go on.
    """
    fleet, pool = EntryFleet(directory), HttpPool()
    await fleet.start(vms=2, servers=3)
    callers = [
        asyncio.ensure_future(send_steadily(fleet, vm, pool))
        for vm in fleet.vms.values()
    ]
    try:
        for vm in [*fleet.vms.values()] * 2:
            vm.send(signal.SIGSTOP)
            resumes_s = time.monotonic() + PAUSE_S
            await until(lambda at_s=resumes_s: time.monotonic() > at_s)
            vm.send(signal.SIGCONT)
        await asyncio.gather(*callers)
    finally:
        pool.close()
        await fleet.stop()
    return [excess_s for _, _, excess_s in fleet.request_log.excess_times_s()]


async def send_steadily(fleet: EntryFleet, vm: EntryVm, pool: HttpPool) -> None:
    """Send a VM requests, also while it does not answer those before."""
    ends_s = time.monotonic() + SENDING_S
    sending: list[asyncio.Future[None]] = []
    while time.monotonic() < ends_s:
        request_id = f"{vm.name}-{len(sending)}"
        sending.append(asyncio.ensure_future(send(fleet, vm, pool, request_id)))
        await asyncio.sleep(SEND_INTERVAL_S)
    await asyncio.gather(*sending)


async def send(fleet: EntryFleet, vm: EntryVm, pool: HttpPool, request_id: str) -> None:
    """Send a request whose caller counts its time from the first byte on."""

    def note_sending() -> dict[str, str]:
        fleet.request_log.note_sending(request_id, vm.name, wait_s=WAIT_S)
        return {}

    request = Request(
        address=vm.address,
        host=HOST,
        method="GET",
        path=f"/look/{request_id}",
        headers=caller_headers(request_id, wait_s=WAIT_S),
        late_headers=note_sending,
    )
    with suppress(ExchangeError):
        await pool.fetch(request)


# Guards against counting a caller's time from when a VM that stood still goes on.
def test_time_that_requests_wait_unread_is_not_given_to_servers(
    tmp_path: Path,
) -> None:
    excess_s = asyncio.run(excess_after_pauses(tmp_path))
    assert len(excess_s) > 80
    assert [excess for excess in excess_s if excess > TOLERANCE_S] == []


# Guards against a kernel that states the time of arrival in another way.
def test_the_kernel_tells_how_long_data_has_been_unread() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        caller.sendall(b"x")
        accepted, _ = listener.accept()
        waits_from_s = time.monotonic()
        while unread_for_s(accepted) < 0.05:
            assert time.monotonic() < waits_from_s + LIMIT_S
        assert time.monotonic() > waits_from_s + 0.03
        caller.sendall(b"y")
        while unread_for_s(accepted) > 0.03:
            assert time.monotonic() < waits_from_s + LIMIT_S
        caller.close()
        accepted.close()
