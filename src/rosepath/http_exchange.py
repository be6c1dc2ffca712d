"""Run one HTTP/1.1 exchange on a connection, parsed with llhttp."""

import asyncio
import fcntl
import math
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import httptools
from tornado.httputil import HTTPHeaders, HTTPInputError

MAX_HEADER_BYTES = 64 * 1024
HEADER_SPACE = b" \t"
# The classes of responses that the protocol has, RFC 9110, section 15. A status
# outside of them tells nothing of the request.
MIN_STATUS = 100
MAX_STATUS = 599
# What one read takes from a connection. It arrives in full, also if the consumer
# has reached its limit, and so adds to what is kept for a slow caller.
READ_BYTES = 64 * 1024
# SO_LINGER of 0 s: on close, the kernel discards unsent data and resets the
# connection.
NO_LINGER = struct.pack("ii", 1, 0)
_QUEUED = struct.Struct("i")


class MalformedResponseError(Exception):
    """The bytes received are not a response, or its head is too large."""


OnData = Callable[[bytes], Awaitable[None] | None]


class ResponseHead(NamedTuple):
    """Hold the status and headers of a response."""

    status: int
    headers: HTTPHeaders


OnHead = Callable[[ResponseHead], None]
ResponseFilter = Callable[[ResponseHead], bool]


def disable_linger(sock: socket.socket) -> None:
    """Make the kernel reset a connection when it is closed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how much of what was sent the peer's kernel lacks; 0 if unknown."""
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_QUEUED.size))
    except OSError:
        return 0
    return int(_QUEUED.unpack(queued)[0])


class Receiver(Protocol):
    """Take what arrives on a connection."""

    def feed(self, data: bytes) -> None: ...

    def handle_connection_lost(self) -> None: ...


class StreamDecoder(Protocol):
    """Decode what a forwarding entry VM sends.

    `ended` tells whether the forwarder stated that the server's connection
    ended in order, and `forwarded_bytes` how much it had got by then, if stated.
    """

    ended: bool
    forwarded_bytes: int | None

    def decode(self, data: bytes) -> bytes:
        """Return the server's bytes; raises httptools.HttpParserError."""
        ...


class Connection(asyncio.BufferedProtocol):
    """Own one connection and reference the exchange running on it, if any.

    `decoder` is None if the peer is the server itself.
    """

    # Shared by all connections: each read is copied out before the next one.
    _read_buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.exchange: Receiver | None = None
        self.decoder: StreamDecoder | None = None
        # By the event loop's clock, when it reached the server.
        self.opened_s = math.inf
        # Exchanges that have run on it, without the current one.
        self.exchange_count = 0
        # Whether it is closed after one exchange instead of kept open.
        self.single_use = False
        self.closed = False
        # Whether the peer ended it in order, and after all that was written.
        self.closed_by_peer = False
        # Whether it did so before it had all that was written.
        self.closed_early = False
        self.written_bytes = 0
        self.last_response_s = 0.0
        self.peer_idle_timeout_s = math.inf
        self.max_idle_s = math.inf
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.note_opened()

    def note_opened(self) -> None:
        """Record that it reaches the server from now on."""
        self.opened_s = asyncio.get_running_loop().time()
        self.written_bytes = 0

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self._read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass what arrived on to the exchange."""
        if self.decoder is not None:
            try:
                data = self.decoder.decode(data)
            except httptools.HttpParserError:
                self.reset()
                return
            if not data:
                return
        if self.exchange is None:
            # No request is outstanding. After unexpected data, responses on
            # this connection can no longer be matched to their requests.
            self.close()
        else:
            self.exchange.feed(data)

    def eof_received(self) -> None:
        """Record whether the peer ended the connection before it had the request."""
        self.closed_early = self._undelivered_bytes() > 0

    def _undelivered_bytes(self) -> int:
        """Return how much was written that the peer's kernel has not acknowledged."""
        assert self.transport is not None
        buffered = self.transport.get_write_buffer_size()
        sock = self.transport.get_extra_info("socket")
        return buffered + (0 if sock is None else unacknowledged_bytes(sock))

    def connection_lost(self, error: Exception | None) -> None:
        self.closed_by_peer = not self.closed and self._ended_in_order(error)
        self.closed = True
        self._writable.set()
        if self.exchange is not None:
            self.exchange.handle_connection_lost()

    def _ended_in_order(self, error: Exception | None) -> bool:
        """Return whether the server ended the connection once it had the request.

        The end of a forwarder's connection says nothing of that.
        """
        if self.decoder is None:
            return error is None and not self.closed_early
        forwarded = self.decoder.forwarded_bytes
        complete = forwarded is None or forwarded >= self.written_bytes
        return self.decoder.ended and complete

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def write(self, data: bytes) -> None:
        """Write bytes to the transport unless the connection is closed."""
        if self.transport is not None and not self.closed:
            self.written_bytes += len(data)
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the transport's write buffer has room."""
        await self._writable.wait()

    def pause_reading(self) -> None:
        if self.transport is not None and not self.closed:
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        if self.transport is not None and not self.closed:
            self.transport.resume_reading()

    def reset(self) -> None:
        """Close immediately and discard data in the kernel's send buffer."""
        if self.transport is not None and not self.closed:
            sock = self.transport.get_extra_info("socket")
            if sock is not None:
                disable_linger(sock)
        self.close()

    def close(self) -> None:
        """Close immediately and discard data in the transport's buffer."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


class Exchange:
    """Track one response as it arrives.

    The parser calls the `on_` methods. `done` is set when the exchange
    completes or fails.
    """

    def __init__(
        self,
        connection: Connection,
        method: str,
        on_head: OnHead,
        on_data: OnData,
        *,
        accepts: ResponseFilter | None = None,
    ) -> None:
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.head: ResponseHead | None = None
        self.finished = False
        # Whether the whole request has been written.
        self.request_written = False
        self.failure: BaseException | None = None
        self.progress = 0
        self.consumer_busy = False
        self.on_response_start: Callable[[], None] | None = None
        self._keep_alive = False
        self._is_extra = False
        self._is_rejected = False
        self._accepts = accepts
        self._connection = connection
        self._is_head_request = method == "HEAD"
        self._on_head = on_head
        self._on_data = on_data
        self._headers = HTTPHeaders()
        self._header_bytes = 0
        # Bytes received since the parser last completed a part of a response.
        # It keeps those of an unfinished line or field in memory.
        self._unparsed_bytes = 0
        self._body_parts: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)

    # Called by the parser

    def on_message_begin(self) -> None:
        # A second response belongs to no request of this exchange. It is
        # skipped, and the connection is not reused.
        self._is_extra = self.finished
        if self._is_rejected:
            self._is_rejected = False
            self._headers = HTTPHeaders()
            self._header_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_extra:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise MalformedResponseError("the headers are too large")
        try:
            # White space may follow a value, RFC 9112, section 5.1.
            self._headers.add(
                name.decode("latin1"), value.strip(HEADER_SPACE).decode("latin1")
            )
        except HTTPInputError as error:
            raise MalformedResponseError(str(error)) from error

    def on_headers_complete(self) -> None:
        self._unparsed_bytes = 0
        if self._is_extra:
            return
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise MalformedResponseError(f"status {status}")
        if status < 200:
            self._headers = HTTPHeaders()
            return
        head = ResponseHead(status, self._headers)
        if self._accepts is not None and not self._accepts(head):
            # A late response to an earlier request on this connection may
            # belong to another caller. This request's response may follow.
            self._is_rejected = True
            return
        self.head = head
        if self.on_response_start is not None:
            self.on_response_start()
        self._connection.peer_idle_timeout_s = _peer_idle_timeout_s(self._headers)
        self._on_head(self.head)
        if self._is_head_request:
            self.finished = True

    def on_body(self, body: bytes) -> None:
        self._unparsed_bytes = 0
        if not self._is_extra and not self._is_rejected:
            self._body_parts.append(body)

    def on_message_complete(self) -> None:
        if self.head is not None and not self._is_extra:
            self.finished = True
            self._keep_alive = self._parser.should_keep_alive()

    # Called by the connection

    def feed(self, data: bytes) -> None:
        """Parse received bytes and deliver their body data as one chunk."""
        self.progress += 1
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            self._fail(error.__context__ or error)
            return
        except httptools.HttpParserError as error:
            if not (self.finished and self._is_head_request):
                self._fail(error)
                return
        if self._unparsed_bytes > MAX_HEADER_BYTES:
            self._fail(MalformedResponseError("the headers are too large"))
            return
        self._deliver_body()

    def _deliver_body(self) -> None:
        if self._body_parts:
            parts = self._body_parts
            data = parts[0] if len(parts) == 1 else b"".join(parts)
            self._body_parts = []
            try:
                pending = self._on_data(data)
            except BaseException as error:
                self._fail(error)
                return
            if pending is not None:
                self._pause_until(pending)
                return
        if self.finished:
            self._complete()

    def _pause_until(self, pending: Awaitable[None]) -> None:
        # The inactivity timeout is suspended while the consumer applies
        # backpressure, so that a slow consumer does not cause a timeout.
        self.consumer_busy = True
        self._connection.pause_reading()
        task = asyncio.ensure_future(pending)
        task.add_done_callback(self._consumer_done)

    def _consumer_done(self, task: asyncio.Future[None]) -> None:
        self.consumer_busy = False
        self.progress += 1
        if task.cancelled() or task.exception() is not None:
            error = None if task.cancelled() else task.exception()
            self._fail(error or asyncio.CancelledError())
            return
        self._connection.resume_reading()
        if self.finished or self._connection.closed:
            self._complete()

    def handle_connection_lost(self) -> None:
        """Complete the exchange, unless the consumer is still busy."""
        if not self.consumer_busy:
            self._complete()

    def _fail(self, error: BaseException) -> None:
        self.failure = error
        self._connection.reset()
        self._complete()

    def _complete(self) -> None:
        if (
            self._connection.closed_by_peer
            and self.request_written
            and self.head is not None
            and not is_self_delimited(self._headers)
        ):
            # Without a length, an orderly close by the peer ends the
            # response. After a reset or a local close, and amid the request,
            # it is incomplete.
            self.finished = True
        if not self.done.done():
            self.done.set_result(None)

    @property
    def reusable(self) -> bool:
        """Return whether the connection may be used for another request."""
        return (
            self.finished
            and not self._is_extra
            and not self._is_head_request
            and is_self_delimited(self._headers)
            and self._keep_alive
        )


def is_self_delimited(headers: HTTPHeaders) -> bool:
    """Return whether the headers delimit the response's body."""
    return "Content-Length" in headers or "Transfer-Encoding" in headers


def _peer_idle_timeout_s(headers: HTTPHeaders) -> float:
    """Return the idle timeout that the peer announces in Keep-Alive."""
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return math.inf


class Watchdog:
    """Close a connection after a period without progress.

    A middlebox may drop its connection state: both ends keep the connection
    open, nothing arrives, and the caller would wait forever. When the timeout
    expires, `may_close` is called; while it returns False, the timeout starts
    again.
    """

    def __init__(
        self,
        connection: Connection,
        exchange: Exchange,
        timeout_s: float,
        *,
        pause_timeout_s: float | None = None,
        may_close: Callable[[], bool] = lambda: True,
    ) -> None:
        self.fired = False
        self._may_close = may_close
        self._connection = connection
        self._exchange = exchange
        self._timeout_s = timeout_s
        self._pause_timeout_s = (
            timeout_s if pause_timeout_s is None else pause_timeout_s
        )
        self._last_progress = 0
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(timeout_s, self._check)
        exchange.on_response_start = self._start_pause_timer

    def _start_pause_timer(self) -> None:
        """Apply the pause timeout from the response's head on."""
        if self._pause_timeout_s < self._timeout_s:
            self._timer.cancel()
            self._last_progress = self._exchange.progress
            self._timer = self._loop.call_later(self._pause_timeout_s, self._check)
        self._timeout_s = self._pause_timeout_s

    def note_progress(self) -> None:
        self._last_progress = -1

    def stop(self) -> None:
        self._timer.cancel()

    def close_if(self, may_close: Callable[[], bool]) -> None:
        """Close the connection before the timeout, as after it, if `may_close`."""
        exchange = self._exchange
        if not (exchange.done.done() or exchange.consumer_busy) and may_close():
            self.fired = True
            self._close()

    def close_lost(self) -> None:
        """Close the connection to a peer that is known to be gone."""
        if not self._exchange.done.done():
            self._close()

    def _close(self) -> None:
        # After a plain close, the kernel would continue to send over a
        # slow link, and the peer could run a request reported as failed.
        self._connection.reset()
        self._exchange.handle_connection_lost()

    def _check(self) -> None:
        exchange = self._exchange
        if exchange.done.done():
            return
        inactive = (
            self._last_progress == exchange.progress and not exchange.consumer_busy
        )
        if inactive and self._may_close():
            self.fired = True
            self._close()
            return
        self._last_progress = exchange.progress
        self._timer = self._loop.call_later(self._timeout_s, self._check)
