"""Forward connections between an entry VM and a backend server (HTTP CONNECT).

An entry VM that cannot reach a server sends its requests through one that can.
The forwarding VM copies bytes and takes no part in the requests: routing,
retries and deadlines remain with the VM that received them.

The server's bytes travel as a chunked body, whose last chunk states that the server
closed its connection, and how much it had received. The end of the forwarder's own
connection says nothing of the server: the kernel closes the connections of a killed
process in order.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import IntEnum

import httptools
from tornado.httputil import responses
from tornado.iostream import IOStream, StreamClosedError
from tornado.web import RequestHandler

from rosepath.dialing import Dial, dial_directly, set_keepalive
from rosepath.errors import ExchangeError, Step
from rosepath.http_exchange import (
    READ_BYTES,
    Connection,
    Exchange,
    ResponseHead,
    StreamDecoder,
    disable_linger,
)
from rosepath.logs import get_logger

TUNNEL_PATH = r"[^/]+:\d+"
# Each tunnel takes two descriptors; callers need most of those of a VM.
MAX_TUNNELS = 400
# Below the connect timeout of requests, so that a second VM can be tried.
SERVER_CONNECT_TIMEOUT_S = 0.2

# Header of the request for a tunnel and of its response. Builds without it copy the
# server's bytes as they are.
FRAMING_HEADER = "Rosepath-Tunnel"
CHUNKED = "chunked"
# Trailer of the last chunk. Builds without it ignore it.
FORWARDED_HEADER = "Rosepath-Forwarded"

_log = get_logger()


class TunnelStatus(IntEnum):
    """Enumerate the responses to a request for a tunnel.

    Only `REFUSED` says anything of the server.
    """

    OPEN = 200
    FORBIDDEN = 403
    REFUSED = 502
    UNAVAILABLE = 503
    TIMED_OUT = 504


@dataclass(slots=True, kw_only=True)
class TunnelGate:
    """Own the tunnels that this VM forwards, and decide on new ones.

    `is_peer` tells whether an IP address is that of an entry VM. State
    messages do not prove that, but the address of a TCP connection does.
    `is_open_server` tells whether an address is that of a server which may get
    new requests. `has_direct_path` is False while this VM itself reaches the
    server only through others.
    """

    dial: Dial
    is_peer: Callable[[str], bool]
    is_open_server: Callable[[str], bool]
    has_direct_path: Callable[[str], bool]
    stopping: Callable[[], bool]
    open_count: int = 0

    def check(self, ip: str, address: str) -> TunnelStatus:
        """Return `OPEN` if an entry VM may have a tunnel, or why it may not."""
        if not self.is_peer(ip) or not self.is_open_server(address):
            return TunnelStatus.FORBIDDEN
        # A tunnel through two VMs could lead back to the first.
        if self.stopping() or not self.has_direct_path(address):
            return TunnelStatus.UNAVAILABLE
        if self.open_count >= MAX_TUNNELS:
            return TunnelStatus.UNAVAILABLE
        return TunnelStatus.OPEN


class TunnelHandler(RequestHandler):
    """Connect to a backend server and forward a connection to it."""

    SUPPORTED_METHODS = (*RequestHandler.SUPPORTED_METHODS, "CONNECT")

    def initialize(self, gate: TunnelGate) -> None:
        self._gate = gate

    async def connect(self) -> None:
        address = self.request.path
        status = self._gate.check(self.request.remote_ip or "", address)
        if status is not TunnelStatus.OPEN:
            self._refuse(status)
            return
        self._gate.open_count += 1
        try:
            connection = await self._gate.dial(
                address, timeout_s=SERVER_CONNECT_TIMEOUT_S
            )
            stream = self.detach()
            set_keepalive(stream.socket)
            framing = self.request.headers.get(FRAMING_HEADER, "")
            await Tunnel(stream, connection, chunked=framing == CHUNKED).run()
        except ExchangeError as error:
            self._refuse(
                TunnelStatus.REFUSED if error.refused else TunnelStatus.TIMED_OUT
            )
        finally:
            self._gate.open_count -= 1

    def _refuse(self, status: TunnelStatus) -> None:
        _log.info(
            "tunnel_refused",
            step=Step.CONNECT.value,
            peer=self.request.path,
            by=self.request.remote_ip,
            status=int(status),
        )
        self.set_status(status, responses[status])


class Tunnel:
    """Copy bytes between an entry VM's stream and a server's connection.

    An end that closes in order closes the other in order, after all bytes; a
    reset is passed on as a reset, so that no truncated response looks whole.
    With `chunked`, the server's bytes are sent in chunks. Without a last chunk,
    the end in order of a server that did not get the whole request is passed on.
    """

    def __init__(
        self, stream: IOStream, connection: Connection, *, chunked: bool
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._chunked = chunked
        self._server_closed = asyncio.Event()
        self._written: asyncio.Future[None] | None = None
        connection.exchange = self

    async def run(self) -> None:
        """Forward until either end closes."""
        tasks = [
            asyncio.ensure_future(self._forward_request()),
            asyncio.ensure_future(self._server_closed.wait()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if self._connection.closed_by_peer:
                await self._finish()
            elif self._connection.closed_early and self._chunked:
                await self._write_rest()
            elif not self._stream.closed():
                disable_linger(self._stream.socket)
        finally:
            for task in tasks:
                task.cancel()
            self._connection.exchange = None
            self._connection.reset()
            self._stream.close()

    async def _forward_request(self) -> None:
        with suppress(StreamClosedError):
            await self._stream.write(self._head())
            while not self._connection.closed:
                data = await self._stream.read_bytes(READ_BYTES, partial=True)
                self._connection.write(data)
                await self._connection.drain()

    def _head(self) -> bytes:
        framing = f"{FRAMING_HEADER}: {CHUNKED}\r\n" if self._chunked else ""
        return f"HTTP/1.1 200 Connection established\r\n{framing}\r\n".encode()

    async def _finish(self) -> None:
        """State that the server closed, after all of its bytes."""
        if self._chunked:
            forwarded_bytes = self._connection.written_bytes
            trailer = f"{FORWARDED_HEADER}: {forwarded_bytes}"
            with suppress(StreamClosedError):
                await self._stream.write(f"0\r\n{trailer}\r\n\r\n".encode())
        else:
            await self._write_rest()

    async def _write_rest(self) -> None:
        """Write what the server has sent."""
        with suppress(StreamClosedError):
            if self._written is not None:
                await self._written

    # Called by the server's connection

    def feed(self, data: bytes) -> None:
        """Forward data, reading no more while the other end takes none."""
        if self._chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        try:
            self._written = self._stream.write(data)
        except StreamClosedError:
            return
        if not self._written.done():
            self._connection.pause_reading()
            self._written.add_done_callback(self._resume)

    def _resume(self, written: asyncio.Future[None]) -> None:
        if not written.cancelled() and written.exception() is None:
            self._connection.resume_reading()

    def handle_connection_lost(self) -> None:
        """End the tunnel."""
        self._server_closed.set()


class ChunkDecoder:
    """Decode a chunked body; `ended` once its last chunk has arrived."""

    def __init__(self) -> None:
        self.ended = False
        self.forwarded_bytes: int | None = None
        self._parts: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def decode(self, data: bytes) -> bytes:
        """Return the content of the chunks; raises httptools.HttpParserError."""
        self._parser.feed_data(data)
        content = b"".join(self._parts)
        self._parts.clear()
        return content

    # Called by the parser

    def on_body(self, body: bytes) -> None:
        self._parts.append(body)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.decode("latin1").lower() == FORWARDED_HEADER.lower():
            self.forwarded_bytes = int(value) if value.isdigit() else None

    def on_message_complete(self) -> None:
        self.ended = True


class UnframedDecoder:
    """Pass bytes on from a forwarder that does not tell how the server ended."""

    ended = False
    forwarded_bytes: int | None = None

    def decode(self, data: bytes) -> bytes:
        return data


async def open_tunnel(
    forwarder: str, address: str, *, timeout_s: float, dial: Dial = dial_directly
) -> Connection:
    """Connect to a server through the entry VM at an address.

    Raise ExchangeError; `refused` if the server refused that VM's connection.
    """
    connection: Connection | None = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await dial(forwarder, timeout_s=timeout_s)
            status = await _request_tunnel(connection, address)
    except (ExchangeError, TimeoutError) as error:
        raise _tunnel_error(address, 0) from error
    finally:
        if connection is not None:
            connection.exchange = None
            if not connection.single_use:
                connection.close()
    if status != TunnelStatus.OPEN:
        raise _tunnel_error(address, status)
    return connection


async def _request_tunnel(connection: Connection, address: str) -> int:
    """Ask for a tunnel; return the status, or 0 without a response."""
    heads: list[ResponseHead] = []
    first_data: list[bytes] = []
    ended = asyncio.Event()

    def on_head(head: ResponseHead) -> None:
        heads.append(head)
        ended.set()

    exchange = Exchange(connection, "CONNECT", on_head, first_data.append)
    exchange.done.add_done_callback(lambda _: ended.set())
    connection.exchange = exchange
    connection.write(
        f"CONNECT {address} HTTP/1.1\r\nHost: {address}\r\n"
        f"{FRAMING_HEADER}: {CHUNKED}\r\n\r\n".encode()
    )
    await ended.wait()
    if not heads:
        return 0
    head = heads[0]
    if head.status == TunnelStatus.OPEN:
        connection.single_use = True
        connection.note_opened()
        connection.exchange = None
        connection.decoder = _decoder_for(head)
        if first_data:
            connection.data_received(b"".join(first_data))
    return head.status


def _decoder_for(head: ResponseHead) -> StreamDecoder:
    """Return the decoder of the framing that a forwarder has chosen."""
    if head.headers.get(FRAMING_HEADER) == CHUNKED:
        return ChunkDecoder()
    return UnframedDecoder()


def _tunnel_error(address: str, status: int) -> ExchangeError:
    return ExchangeError(
        f"no tunnel: status {status}" if status else "no tunnel: no response",
        step=Step.CONNECT,
        peer=address,
        sent=False,
        refused=status == TunnelStatus.REFUSED,
        timed_out=status == TunnelStatus.TIMED_OUT,
    )
