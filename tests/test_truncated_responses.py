"""Servers that end their connection within a response, wherever it is cut."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from types import SimpleNamespace

import pytest
from entry_builders import a_route
from entry_harness import (
    ReceivedRequest,
    RunningGateway,
    ScriptedServer,
    chunk,
    event,
    running_gateway,
)
from test_tunnels import a_gate
from tornado.httpserver import HTTPServer
from tornado.web import Application

from rosepath.caller_handler import Handler
from rosepath.catalog import RouteKind
from rosepath.http_client import HttpPool
from rosepath.http_exchange import disable_linger
from rosepath.tunnels import TUNNEL_PATH, TunnelHandler, open_tunnel
from rosepath_standins.cluster import free_port

# Replaced by the request's id, which is as long.
PLACEHOLDER = b"q-----"
SIGNED = b"Request-Id: q-----\r\nResponse-Signature: s\r\n"
BODY = b"receipt 4711: lodged and sealed"
EVENTS = b"".join(map(event, range(1, 4)))
HEAD = b"HTTP/1.1 200 OK\r\n" + SIGNED
EARLY = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
LATE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\n"
    b"Content-Length: 2\r\n\r\nno"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def framed(body: bytes) -> dict[str, bytes]:
    """Return responses with a body, by the way in which they are framed."""
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    half = len(body) // 2
    chunks = chunk(body[:half]) + chunk(body[half:]) + b"0\r\n\r\n"
    return {
        "length": HEAD + length + body,
        "chunks": HEAD + CHUNKED + chunks,
        "trailer": HEAD + CHUNKED + chunks[:-2] + b"Sum: 1\r\n\r\n",
        "close": HEAD + b"\r\n" + body,
        "after interim heads": EARLY * 2 + HEAD + length + body,
        "close after an interim head": EARLY + HEAD + b"\r\n" + body,
        "after a late response": LATE + HEAD + length + body,
    }


def post(number: int) -> str:
    return f"POST /drafts/1 HTTP/1.1\r\nRequest-Id: q{number:05d}"


class CutServer(ScriptedServer):
    """Send a part of a response, then close or reset the connection."""

    def __init__(self, response: bytes) -> None:
        super().__init__("s1", self.respond)
        self.response = response
        self.sent_bytes = 0
        self.resets = False

    async def respond(
        self, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        whole = self.response.replace(PLACEHOLDER, received.request_id.encode())
        writer.write(whole[: self.sent_bytes])
        await writer.drain()
        if self.resets:
            disable_linger(writer.get_extra_info("socket"))
        writer.close()


@asynccontextmanager
async def tunnelled(node: RunningGateway) -> AsyncIterator[None]:
    """Send the gateway's requests through another entry VM."""
    application = Application([(TUNNEL_PATH, TunnelHandler, {"gate": a_gate()})])
    forwarder, port = HTTPServer(application), free_port()
    forwarder.listen(port, address="127.0.0.1")
    pool: HttpPool = node.gateway._serve.__self__._ports.attempts._pool  # type: ignore[attr-defined]
    pool._dial = partial(open_tunnel, f"127.0.0.1:{port}")  # type: ignore[assignment]
    yield
    forwarder.stop()
    await forwarder.close_all_connections()


def is_whole(raw: bytes) -> bool:
    """Return whether a caller takes a response for a complete success."""
    head, separator, body = raw.partition(b"\r\n\r\n")
    if not separator or not head.startswith(b"HTTP/1.1 200"):
        return False
    lines = head.lower().split(b"\r\n")
    if b"transfer-encoding: chunked" in lines:
        return body.endswith(b"0\r\n\r\n")
    return b"content-length: %d" % len(body) in lines


def body_of(raw: bytes) -> bytes:
    """Return the content of a response with a length or in chunks."""
    head, _, body = raw.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" not in head.lower():
        return body
    content = b""
    while (size := int(body.partition(b"\r\n")[0], 16)) > 0:
        body = body.partition(b"\r\n")[2]
        content, body = content + body[:size], body[size + 2 :]
    return content


async def find_wrong_answers(
    server: CutServer, node: RunningGateway, *, body: bytes, ends_with_close: bool
) -> list[tuple[int, bool]]:
    """Return the cuts after which a truncated body looked complete."""
    wrong: list[tuple[int, bool]] = []
    head_bytes = server.response.rindex(b"\r\n" + body) if ends_with_close else 0
    for resets in (False, True):
        # Without a length, an orderly close ends the body wherever it is.
        cuts_body = resets or not ends_with_close
        until = len(server.response) if cuts_body else head_bytes + 1
        for sent_bytes in range(0, until, 3):
            server.sent_bytes, server.resets = sent_bytes, resets
            raw = await node.send_request(post(sent_bytes))
            if is_whole(raw) and body_of(raw) != body:
                wrong.append((sent_bytes, resets))
    return wrong


# Guards against a truncated response that callers take for a whole one.
@pytest.mark.parametrize("through_tunnel", [False, True], ids=["direct", "tunnel"])
@pytest.mark.parametrize("framing", framed(b""))
@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING])
def test_no_truncated_response_looks_whole(
    kind: RouteKind, framing: str, through_tunnel: bool
) -> None:
    body = EVENTS if kind is RouteKind.STREAMING else BODY
    response = framed(body)[framing]

    async def run() -> None:
        server = CutServer(response)
        route = a_route(kind=kind, service="desk", max_attempts=1)
        async with AsyncExitStack() as stack:
            node = await stack.enter_async_context(running_gateway(server, route=route))
            if through_tunnel:
                await stack.enter_async_context(tunnelled(node))
            ends_with_close = framing.startswith("close")
            assert not await find_wrong_answers(
                server, node, body=body, ends_with_close=ends_with_close
            )
            server.sent_bytes, server.resets = len(response), False
            raw = await node.send_request(post(len(response)))
            assert is_whole(raw) and body_of(raw) == body

    asyncio.run(run())


async def breaks_off_after_an_event(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    head = HEAD.replace(PLACEHOLDER, received.request_id.encode())
    writer.write(head + CHUNKED + chunk(event(1)))
    await writer.drain()
    writer.close()


# Guards against a truncated stream that looks whole to a caller that does not know
# chunks, for which the end of the connection ends the body.
def test_a_truncated_stream_is_reset_for_a_caller_without_chunks() -> None:
    async def run() -> None:
        server = ScriptedServer("s1", breaks_off_after_an_event)
        route = a_route(kind=RouteKind.STREAMING, service="desk", max_attempts=1)
        async with running_gateway(server, route=route) as node:
            reader, writer = await node.connect()
            head = post(1).replace("HTTP/1.1", "HTTP/1.0")
            writer.write(f"{head}\r\nHost: court.example\r\n\r\n".encode())
            async with asyncio.timeout(10):
                with pytest.raises(ConnectionResetError):
                    await reader.read()
            writer.close()

    asyncio.run(run())


class FailingHandler(Handler):
    """Fail after a part of the response was sent."""

    async def get(self) -> None:
        self.write(b"half")
        await self.flush()
        raise RuntimeError


# Guards against a truncated response of the product's own daemon that looks whole:
# the framework finishes a response whose handler fails.
@pytest.mark.parametrize("version", ["HTTP/1.0", "HTTP/1.1"])
def test_a_response_whose_handler_fails_does_not_look_whole(version: str) -> None:
    async def run() -> None:
        ports = SimpleNamespace(stopping=lambda: False)
        application = Application([("/", FailingHandler, {"ports": ports})])
        server, port = HTTPServer(application), free_port()
        server.listen(port, address="127.0.0.1")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = f"GET / {version}\r\nHost: h\r\nConnection: close\r\n\r\n"
        writer.write(head.encode())
        async with asyncio.timeout(10):
            assert await reader.readuntil(b"half")
            try:
                rest = await reader.read()
            except ConnectionResetError:
                rest = b""
            else:
                assert version == "HTTP/1.1"
        assert b"0\r\n" not in rest
        writer.close()
        server.stop()
        await server.close_all_connections()

    asyncio.run(run())
