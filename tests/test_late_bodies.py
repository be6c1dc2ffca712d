"""Requests whose bodies are not complete before their time ends."""

import asyncio

import pytest
from entry_builders import a_route
from entry_harness import (
    ReceivedRequest,
    RunningGateway,
    ScriptedServer,
    answer,
    chunk,
    request,
    running_gateway,
)

from rosepath.catalog import RouteKind

LIMIT_S = 10.0
PAUSE_S = 2.0
BODY = b"x" * 20_000


async def responds(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(received, 200, b"%d" % len(received.body)))


async def send_half(
    gateway: RunningGateway, *, wait_ms: int, chunked: bool = False
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request without the second half of its body."""
    head = "POST /drafts/1 HTTP/1.1\r\nRequest-Id: q1"
    head += f"\r\nRequest-Deadline-Ms: {wait_ms}\r\n"
    half = BODY[: len(BODY) // 2]
    reader, writer = await gateway.connect()
    if chunked:
        writer.write(request(f"{head}Transfer-Encoding: chunked") + chunk(half))
    else:
        writer.write(request(f"{head}Content-Length: {len(BODY)}") + half)
    return reader, writer


# Guards against uploads that stop short staying as long as their callers like, although
# nobody waits for them any more.
@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
@pytest.mark.parametrize(
    ("wait_ms", "timeout_s"), [(300, 10.0), (60_000, 0.3)], ids=["caller", "route"]
)
def test_an_upload_is_refused_once_its_time_is_over(
    chunked: bool, wait_ms: int, timeout_s: float
) -> None:
    async def run() -> None:
        route = a_route(
            kind=RouteKind.NON_IDEMPOTENT, service="desk", timeout_s=timeout_s
        )
        server = ScriptedServer("s1", responds)
        async with running_gateway(server, route=route) as gateway:
            reader, writer = await send_half(gateway, wait_ms=wait_ms, chunked=chunked)
            async with asyncio.timeout(LIMIT_S):
                response = await reader.read()
            assert response.startswith(b"HTTP/1.1 503 ")
            assert b"expired" in response
            assert gateway.gateway.held_bodies.used_bytes == 0
            assert gateway.gateway.pending_requests == 0
            assert server.requests == []
            writer.close()

    asyncio.run(run())


# Guards against ending a sound caller on a thin link.
@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
def test_a_slow_upload_within_its_time_is_served(chunked: bool) -> None:
    async def run() -> None:
        route = a_route(kind=RouteKind.NON_IDEMPOTENT, service="desk", timeout_s=10.0)
        async with running_gateway(ScriptedServer("s1", responds), route=route) as node:
            reader, writer = await send_half(node, wait_ms=8000, chunked=chunked)
            await asyncio.sleep(PAUSE_S)
            half = BODY[len(BODY) // 2 :]
            writer.write(chunk(half) + b"0\r\n\r\n" if chunked else half)
            async with asyncio.timeout(LIMIT_S):
                line = await reader.readline()
            assert line.startswith(b"HTTP/1.1 200 ")
            writer.close()

    asyncio.run(run())
