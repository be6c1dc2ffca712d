"""What strangers can make an entry VM hold in memory, all of them together."""

import asyncio
import tracemalloc
from contextlib import suppress
from typing import Any, cast

import pytest
from entry_builders import a_route
from entry_harness import (
    ReceivedRequest,
    RunningGateway,
    ScriptedServer,
    answer,
    request,
    running_gateway,
    stream_head,
)

from rosepath.catalog import RouteKind
from rosepath.clock import ManualClock
from rosepath.gateway import CallerExchange, Gateway
from rosepath.held_bytes import HeldBytes, Hold, upload_weight

REQUESTS = 30
PIECE = b"x" * 256 * 1024
# An entry VM has 300 MB, of which its own code and tables take a fifth.
MAX_HELD_BYTES = 200 * 1024 * 1024


async def never_ends(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send a body without a length until the entry VM closes."""
    signed = f"HTTP/1.1 200 OK\r\nRequest-Id: {received.request_id}\r\n"
    writer.write(f"{signed}Response-Signature: s\r\n\r\n".encode())
    while True:
        writer.write(PIECE)
        await writer.drain()


async def never_ends_in_chunks(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(stream_head(received))
    while True:
        writer.write(b"%x\r\n%s\r\n" % (len(PIECE), PIECE))
        await writer.drain()


async def responds(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(received, 200, b"whole"))


async def send(gateway: RunningGateway, name: int | str, *, body: bytes = b"") -> bytes:
    head = f"POST /drafts/{name} HTTP/1.1\r\nRequest-Id: q{name}"
    return await gateway.send_request(f"{head}\r\nRequest-Deadline-Ms: 4000", body)


# Guards against running out of memory when a faulty server sends many responses
# without end, each of them below the limit of one.
@pytest.mark.parametrize("script", [never_ends, never_ends_in_chunks])
@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
def test_responses_without_end_are_held_up_to_a_common_limit(
    script: object, kind: RouteKind
) -> None:
    async def run() -> None:
        route = a_route(kind=kind, service="desk")
        server = ScriptedServer("s1", script)  # type: ignore[arg-type]
        async with running_gateway(server, route=route) as gateway:
            tracemalloc.start()
            try:
                responses = await asyncio.gather(
                    *(send(gateway, number) for number in range(REQUESTS))
                )
                _, peak_bytes = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert peak_bytes < MAX_HELD_BYTES
            statuses = {response.split(b" ")[1] for response in responses}
            assert statuses <= {b"502", b"503", b"504"}

    asyncio.run(run())


# Guards against ending small sound requests for want of the memory that responses
# without end use up.
def test_small_responses_are_served_beside_those_without_end() -> None:
    async def by_path(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        small = "/drafts/small-" in received.line
        await (responds if small else never_ends)(received, writer)

    async def run() -> None:
        route = a_route(kind=RouteKind.NON_IDEMPOTENT, service="desk")
        servers = [ScriptedServer(f"s{number}", by_path) for number in range(2)]
        async with running_gateway(*servers, route=route) as gateway:
            endless = [
                asyncio.ensure_future(send(gateway, number))
                for number in range(REQUESTS)
            ]
            statuses = []
            for number in range(60):
                response = await send(gateway, f"small-{number}")
                statuses.append(response.split(b" ")[1])
            await asyncio.gather(*endless)
            assert set(statuses) == {b"200"}

    asyncio.run(run())


# Guards against keeping whole responses for callers that don't read them.
def test_responses_that_callers_do_not_read_are_held_up_to_a_common_limit() -> None:
    size = 8 * 1024 * 1024

    async def large(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(received, 200, bytes(size)))

    async def run() -> None:
        route = a_route(kind=RouteKind.IDEMPOTENT, service="desk")
        async with running_gateway(ScriptedServer("s1", large), route=route) as gateway:
            writers: list[asyncio.StreamWriter] = []
            tracemalloc.start()
            try:
                for number in range(2 * MAX_HELD_BYTES // size):
                    _, writer = await gateway.connect()
                    assert isinstance(writer.transport, asyncio.Transport)
                    writer.transport.pause_reading()
                    writers.append(writer)
                    head = f"GET /drafts/{number} HTTP/1.1\r\nRequest-Id: q{number}"
                    writer.write(request(head))
                    await asyncio.sleep(0.05)
                _, peak_bytes = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert peak_bytes < MAX_HELD_BYTES
            for writer in writers:
                writer.transport.abort()

    asyncio.run(run())


# Guards against running out of memory for callers whose large bodies arrive
# together.
def test_bodies_of_callers_are_held_up_to_a_common_limit() -> None:
    async def run() -> None:
        route = a_route(kind=RouteKind.IDEMPOTENT, service="desk")
        server = ScriptedServer("s1", responds)
        async with running_gateway(server, route=route) as gateway:
            gateway.gateway.apply_limits(gateway.catalog.limits)
            size = gateway.catalog.limits.max_body_bytes
            head = f"POST /drafts/1 HTTP/1.1\r\nContent-Length: {size}"
            writers: list[asyncio.StreamWriter] = []
            tracemalloc.start()
            try:
                for number in range(2 * MAX_HELD_BYTES // size):
                    _, writer = await gateway.connect()
                    writers.append(writer)
                    writer.write(request(f"{head}\r\nRequest-Id: q{number}"))
                    for _ in range(size // len(PIECE) - 1):
                        writer.write(PIECE)
                        await asyncio.sleep(0)
                    with suppress(ConnectionError, TimeoutError):
                        async with asyncio.timeout(0.2):
                            await writer.drain()
                _, peak_bytes = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert peak_bytes < MAX_HELD_BYTES
            assert (await send(gateway, 10_000)).startswith(b"HTTP/1.1 200")
            for writer in writers:
                writer.transport.abort()

    asyncio.run(run())


# Guards against a refusal that its caller never reads, as the connection is reset with
# the rest of the body unread.
@pytest.mark.parametrize("whole", [True, False], ids=["whole", "stops-short"])
def test_a_caller_reads_why_its_body_was_refused(whole: bool) -> None:
    async def run() -> None:
        route = a_route(kind=RouteKind.IDEMPOTENT, service="desk")
        server = ScriptedServer("s1", responds)
        async with running_gateway(server, route=route) as gateway:
            gateway.gateway.held_bodies.limit_bytes = len(PIECE)
            for number in range(10):
                reader, writer = await gateway.connect()
                head = f"POST /drafts/1 HTTP/1.1\r\nRequest-Id: q{number}"
                length = 16 * len(PIECE)
                writer.write(request(f"{head}\r\nContent-Length: {length}"))
                for _ in range(15):
                    writer.write(PIECE)
                    await writer.drain()
                writer.write(PIECE if whole else PIECE[1:])
                async with asyncio.timeout(10):
                    response = await reader.read()
                assert response.startswith(b"HTTP/1.1 503 ")
                assert b"no_memory" in response
                assert b"Connection: close" in response
                writer.close()
            assert (await send(gateway, 10_000)).startswith(b"HTTP/1.1 200")

    asyncio.run(run())


# Guards against holding some twenty times of what is counted, an object for each piece.
def test_a_body_in_tiny_pieces_takes_no_more_than_is_counted() -> None:
    pieces, piece = 200_000, b"xx"

    async def serve(_: CallerExchange) -> None:
        return

    gateway = Gateway(serve, clock=ManualClock(), on_failure=lambda *_: None)
    exchange = CallerExchange(gateway, cast(Any, None))
    tracemalloc.start()
    try:
        for _ in range(pieces):
            exchange.data_received(bytes(bytearray(piece)))
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert gateway.held_bodies.used_bytes == pieces * len(piece)
    assert held_bytes < 1.5 * gateway.held_bodies.used_bytes
    assert exchange.body == piece * pieces


KB = 1000


class Uploads:
    """Uploads that share a room, each with its own age."""

    def __init__(self, room_bytes: int) -> None:
        self._budget = HeldBytes(limit_bytes=room_bytes)
        self.refused: list[str] = []

    def receive(self, name: str, size_bytes: int, *, age_s: float) -> bool:
        """Read so much of an upload; return whether there was room."""
        hold: Hold = self._budget.open()
        hold.weight = lambda: upload_weight(age_s=age_s, received_bytes=hold.size_bytes)
        hold.break_off = lambda: self.refused.append(name)
        return hold.grow(size_bytes)


# Guards against large uploads that stop short keeping the room of small ones.
def test_a_small_upload_gets_the_room_of_a_large_one() -> None:
    uploads = Uploads(4000 * KB)
    assert uploads.receive("large", 4000 * KB, age_s=0.5)
    assert uploads.receive("small", 20 * KB, age_s=0.0)
    assert uploads.refused == ["large"]


# Guards against uploads that stop keeping the room of sound ones of their size.
def test_an_upload_without_progress_yields_to_one_of_its_size() -> None:
    uploads = Uploads(60 * KB)
    for name, age_s in (("first", 0.5), ("stopped", 1.6), ("last", 0.5)):
        assert uploads.receive(name, 20 * KB, age_s=age_s)
    assert uploads.receive("sound", 20 * KB, age_s=0.1)
    assert uploads.refused == ["stopped"]


# Guards against sound uploads ending each other, so that under load none completes.
def test_sound_uploads_of_one_size_do_not_end_each_other() -> None:
    uploads = Uploads(60 * KB)
    for number in range(3):
        assert uploads.receive(f"sound-{number}", 20 * KB, age_s=0.7)
    assert not uploads.receive("late", 20 * KB, age_s=0.0)
    assert uploads.refused == []


# Guards against taking a caller on a thin link for one that stopped.
@pytest.mark.parametrize(
    ("age_s", "received_bytes"), [(0.5, 0), (2.4, 128 * 1024), (60.0, 4096 * 1024)]
)
def test_a_slow_upload_weighs_no_more_than_its_size(
    age_s: float, received_bytes: int
) -> None:
    assert upload_weight(age_s=age_s, received_bytes=received_bytes) == 1.0
