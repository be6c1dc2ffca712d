"""What backend servers learn of exchanges that an entry VM has given up."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from entry_builders import a_route
from entry_harness import (
    ReceivedRequest,
    RunningGateway,
    ScriptedServer,
    chunk,
    event,
    request,
    running_gateway,
    stream_head,
)

from rosepath.catalog import HostRoute, RouteKind

GENERATE = (
    "POST /drafts/1 HTTP/1.1\r\nRequest-Id: q1\r\nModel: m0\r\n"
    "Token-Usage: 300,20\r\nPrompt-Prefix: aa:200,bb:100"
)
FILE = "POST /drafts/1 HTTP/1.1\r\nRequest-Id: q1"
# A stream that goes on at another server must have ended at the first by then.
STOPPED_WITHIN_S = 0.4


Ending = Callable[[RunningGateway, "WorkingServer"], Awaitable[None]]


class WorkingServer:
    """Send a script's bytes and then work on until the connection is reset.

    As many servers do, it reads no further bytes while it works: only a reset
    ends its work, and an orderly close does not.
    """

    def __init__(self, *, first: bytes = b"") -> None:
        self.began = asyncio.Event()
        self.stopped = asyncio.Event()
        self.scripted = ScriptedServer("s1", self._work)
        self._first = first

    async def _work(
        self, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if self._first:
            writer.write(stream_head(received) + self._first)
            await writer.drain()
        self.began.set()
        try:
            await writer.wait_closed()
        except ConnectionError:
            self.stopped.set()

    async def wait_until_stopped(self) -> bool:
        """Return whether the server stopped working in time."""
        try:
            async with asyncio.timeout(STOPPED_WITHIN_S):
                await self.stopped.wait()
        except TimeoutError:
            return False
        return True


async def give_up_by_deadline(node: RunningGateway, server: WorkingServer) -> None:
    await node.send_request(f"{FILE}\r\nRequest-Deadline-Ms: 200", b"claim")


async def leave(node: RunningGateway, server: WorkingServer) -> None:
    _, writer = await node.connect()
    writer.write(request(FILE, b"claim"))
    await server.began.wait()
    writer.close()


def file_route() -> HostRoute:
    return a_route(kind=RouteKind.NON_IDEMPOTENT, service="desk")


BROKEN_STREAMS = {
    "missing-events": chunk(event(1)) + chunk(event(4)),
    "malformed-chunk": chunk(event(1)) + b"no chunk\r\n\r\n",
}


# Guards against a server that works on a stream which its entry VM has left for
# another server, so that it runs at both.
@pytest.mark.parametrize("events", BROKEN_STREAMS.values(), ids=BROKEN_STREAMS)
def test_a_server_stops_work_on_a_broken_stream(events: bytes) -> None:
    async def run() -> None:
        server = WorkingServer(first=events)
        async with running_gateway(server.scripted, slack=0.0) as node:
            asking = asyncio.ensure_future(node.send_request(GENERATE))
            await server.began.wait()
            assert await server.wait_until_stopped()
            asking.cancel()

    asyncio.run(run())


# Guards against a server that works on, or begins to, after the request's time
# is over or its caller has left.
@pytest.mark.parametrize("ending", [give_up_by_deadline, leave])
def test_a_server_stops_work_on_an_abandoned_request(ending: Ending) -> None:
    async def run() -> None:
        server = WorkingServer()
        async with running_gateway(server.scripted, route=file_route()) as node:
            await ending(node, server)
            assert await server.wait_until_stopped()

    asyncio.run(run())
