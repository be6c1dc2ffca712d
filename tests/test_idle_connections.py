"""Test when an entry VM closes a caller's idle connection.

A connection on which a request is arriving must not be closed as idle:
its caller would get no response.
"""

import asyncio
from collections.abc import Awaitable, Callable

from entry_builders import a_route
from entry_harness import (
    ReceivedRequest,
    RunningGateway,
    ScriptedServer,
    answer,
    request,
    running_gateway,
)

from rosepath.catalog import CallerLimits, RouteKind

IDLE_S = 15.0
GET_DRAFT = "GET /drafts/1 HTTP/1.1\r\nRequest-Id: r1"


class OffsetClockLoop(asyncio.SelectorEventLoop):
    """Use real sockets and a clock that a test can advance."""

    offset_s = 0.0

    def time(self) -> float:
        return super().time() + self.offset_s


def run_scenario(
    scenario: Callable[[OffsetClockLoop, RunningGateway], Awaitable[None]],
) -> None:
    async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(received, 200, b"whole"))

    async def run() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, OffsetClockLoop)
        route = a_route(kind=RouteKind.IDEMPOTENT, service="desk", resumable=False)
        async with running_gateway(ScriptedServer("s1", respond), route=route) as node:
            node.gateway.apply_limits(CallerLimits(idle_timeout_s=IDLE_S))
            await scenario(loop, node)

    with asyncio.Runner(loop_factory=OffsetClockLoop) as runner:
        runner.run(run())


async def until_idle(node: RunningGateway) -> None:
    """Wait until the entry VM has an idle connection."""
    while not node.gateway.idle:  # noqa: ASYNC110
        await asyncio.sleep(0)


def test_a_request_received_before_the_idle_timeout_is_handled() -> None:
    # While the event loop is blocked, for example by applying a large
    # configuration, a request arrives and then the idle timeout expires.
    # If the timer ran first, it would close the connection.
    async def scenario(loop: OffsetClockLoop, node: RunningGateway) -> None:
        reader, writer = await node.connect()
        await until_idle(node)
        writer.write(request(GET_DRAFT))
        loop.offset_s += IDLE_S + 0.1
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")

    run_scenario(scenario)


def test_a_connection_receiving_a_request_head_is_not_idle() -> None:
    # A head that starts late in the idle timeout may take seconds to arrive.
    # Closing the connection at the timeout would discard half of a request.
    async def scenario(loop: OffsetClockLoop, node: RunningGateway) -> None:
        reader, writer = await node.connect()
        await until_idle(node)
        loop.offset_s += IDLE_S - 1.0
        sent = request(GET_DRAFT)
        writer.write(sent[:20])
        exchange = next(iter(node.gateway.idle))
        while not exchange._connection.stream._read_buffer_size:  # noqa: ASYNC110
            await asyncio.sleep(0)
        loop.offset_s += 1.5
        for _ in range(5):
            await asyncio.sleep(0)
        writer.write(sent[20:])
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")

    run_scenario(scenario)


def test_an_idle_connection_is_closed_after_the_idle_timeout() -> None:
    # The gateway's timer replaces the one of the HTTP library. Without it,
    # connections of callers that vanished would stay open forever.
    async def scenario(loop: OffsetClockLoop, node: RunningGateway) -> None:
        reader, _ = await node.connect()
        await until_idle(node)
        loop.offset_s += IDLE_S + 0.1
        assert await reader.read() == b""

    run_scenario(scenario)


def test_a_connection_closed_by_its_caller_is_not_listed_as_idle() -> None:
    # If a connection closed between requests stayed listed as idle, an entry
    # VM's memory use would grow with every connection.
    async def scenario(_: OffsetClockLoop, node: RunningGateway) -> None:
        _, writer = await node.connect()
        await until_idle(node)
        writer.close()
        while node.gateway.server._connections:  # noqa: ASYNC110
            await asyncio.sleep(0)
        assert not node.gateway.idle

    run_scenario(scenario)
