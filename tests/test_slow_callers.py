"""Callers that read slowly, and what an entry VM keeps for them."""

import asyncio
import socket

from entry_builders import a_route
from entry_harness import (
    ReceivedRequest,
    RunningGateway,
    ScriptedServer,
    chunk,
    request,
    running_gateway,
    stream_head,
)

from rosepath.gateway import WRITE_AHEAD_BYTES
from rosepath.http_exchange import READ_BYTES, Connection

GENERATE = (
    "POST /drafts/1 HTTP/1.1\r\nRequest-Id: q1\r\nModel: m0\r\n"
    "Token-Usage: 300,20\r\nPrompt-Prefix: aa:200,bb:100"
)
# Far more than the buffers of the sockets between hold.
EVENTS, EVENT_BYTES = 4_000, 8_000
# One read of the server's connection arrives after the limit is reached.
MAX_KEPT_BYTES = WRITE_AHEAD_BYTES + 4 * READ_BYTES


async def streams_at_length(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(stream_head(received))
    for number in range(1, EVENTS + 1):
        data = b"x" * EVENT_BYTES
        writer.write(chunk(b"id: %d\ndata: %b\n\n" % (number, data)))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


def kept_bytes(node: RunningGateway) -> int:
    """Return the bytes that the gateway keeps for its callers."""
    return sum(
        len(exchange._connection.stream._write_buffer or b"")
        for exchange in node.gateway.serving
    )


# Guards against an entry VM that runs out of memory by streams whose callers read
# slower than their servers send.
def test_a_slow_callers_stream_is_read_no_faster_than_its_caller_reads() -> None:
    async def run() -> None:
        server = ScriptedServer("s1", streams_at_length)
        route = a_route(timeout_s=60.0)
        async with running_gateway(server, route=route) as node, asyncio.timeout(30):
            reader, writer = await node.connect()
            writer.write(request(GENERATE))
            most, received = 0, 0
            while kept_bytes(node) <= WRITE_AHEAD_BYTES:  # noqa: ASYNC110
                await asyncio.sleep(0)
            while not reader.at_eof() and node.gateway.serving:
                received += len(await reader.read(64 * 1024))
                most = max(most, kept_bytes(node))
            assert WRITE_AHEAD_BYTES < most <= MAX_KEPT_BYTES
            assert received > EVENTS * EVENT_BYTES / 2
            assert node.outcomes == [(200, "")]

    asyncio.run(run())


class RecordingReceiver:
    """Record how much each read of a connection took."""

    def __init__(self) -> None:
        self.read_bytes: list[int] = []
        self.closed = asyncio.Event()

    def feed(self, data: bytes) -> None:
        self.read_bytes.append(len(data))

    def handle_connection_lost(self) -> None:
        self.closed.set()


# Guards against one read of a server that takes as much as may be kept for a slow
# caller, so that twice the limit is kept.
def test_a_read_takes_no_more_than_its_limit_from_a_full_connection() -> None:
    async def run() -> None:
        server, own = socket.socketpair()
        server.setblocking(False)
        sent_bytes = server.send(b"x" * 3 * READ_BYTES)
        server.close()
        receiver = RecordingReceiver()
        connection = Connection()
        connection.exchange = receiver
        await asyncio.get_running_loop().create_connection(lambda: connection, sock=own)
        await receiver.closed.wait()
        assert sent_bytes > READ_BYTES
        assert sum(receiver.read_bytes) == sent_bytes
        assert max(receiver.read_bytes) <= READ_BYTES

    asyncio.run(run())
