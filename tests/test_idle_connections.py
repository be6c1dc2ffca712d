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


def play(course: Callable[[SteppedLoop, RunningGateway], Awaitable[None]]) -> None:
    async def answers(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(received, 200, b"whole"))

    async def run() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, OffsetClockLoop)
        route = a_route(kind=RouteKind.IDEMPOTENT, service="desk", resumable=False)
        async with running_gateway(ScriptedServer("s1", answers), route=route) as node:
            node.gateway.apply_limits(CallerLimits(idle_timeout_s=IDLE_S))
            await scenario(loop, node)

    with asyncio.Runner(loop_factory=OffsetClockLoop) as runner:
        runner.run(run())


async def until_idle(node: RunningGateway) -> None:
    """Wait until the entry VM waits for a request."""
    while not node.gateway.idle:  # noqa: ASYNC110
        await asyncio.sleep(0)


def test_a_request_that_had_arrived_is_read_though_the_idle_time_is_over() -> None:
    # The loop stood still for a moment, as while a large configuration is taken
    # in. A request came meanwhile, and the idle time ended after it: the
    # connection was closed, and its caller got no answer.
    async def course(loop: SteppedLoop, node: RunningGateway) -> None:
        reader, writer = await node.connect()
        await until_idle(node)
        writer.write(request(GET_DRAFT))
        loop.offset_s += IDLE_S + 0.1
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")

    run_scenario(scenario)


def test_a_request_whose_head_is_arriving_is_not_taken_for_idle() -> None:
    # A head may take some seconds to come, and its connection may have been idle
    # for most of the idle time before: closed at its end, half of a request was
    # thrown away.
    async def course(loop: SteppedLoop, node: RunningGateway) -> None:
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


def test_a_connection_on_which_nothing_comes_is_closed() -> None:
    # Our timer stands in for the library's: without it, callers that went away
    # silently would keep their connections for ever.
    async def course(loop: SteppedLoop, node: RunningGateway) -> None:
        reader, _ = await node.connect()
        await until_idle(node)
        loop.offset_s += IDLE_S + 0.1
        assert await reader.read() == b""

    run_scenario(scenario)


def test_a_connection_that_its_caller_closed_is_forgotten() -> None:
    # Each connection that was closed between two requests stayed listed as idle:
    # an entry VM's memory grew with every connection that it ever had.
    async def course(_: SteppedLoop, node: RunningGateway) -> None:
        _, writer = await node.connect()
        await until_idle(node)
        writer.close()
        while node.gateway.server._connections:  # noqa: ASYNC110
            await asyncio.sleep(0)
        assert not node.gateway.idle

    run_scenario(scenario)
