"""Serve HTTP connections of callers: read requests, write responses."""

import asyncio
from collections.abc import Awaitable, Callable
from http.client import responses
from typing import cast

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from rosepath.caller_connection import (
    BODY_READ_BYTES,
    HEAD_READ_BYTES,
    CallerServer,
    CallerStream,
)
from rosepath.catalog import CallerLimits
from rosepath.clock import Clock
from rosepath.held_bytes import HeldBytes, upload_weight
from rosepath.http_exchange import disable_linger
from rosepath.lingering import (
    finish_after_body,
    finish_connection,
    ignore_write_error,
)

# Large enough for a burst of events; beyond it, the relay stops reading from
# the backend server until the caller catches up.
WRITE_AHEAD_BYTES = 256 * 1024
# The same while memory is scarce, so that many slow callers at once fit.
SCARCE_WRITE_AHEAD_BYTES = 32 * 1024
# How long the body of a request may take of which nothing else is known.
UPLOAD_TIME_S = 5.0


class CallerExchange(HTTPMessageDelegate):
    """Own one request while it is read and its response while it is written.

    The gateway creates it per request and hands it on once the request is
    complete; the relay writes the response through it.
    """

    def __init__(self, gateway: "Gateway", connection: HTTP1Connection) -> None:
        self.method = ""
        self.path = ""
        self.headers = HTTPHeaders()
        self.arrived_s = 0.0
        # How long the last bytes of its head waited to be read.
        self.unread_s = 0.0
        self.response_started = False
        # Whether the end of the connection ends the response that was started.
        self._ends_with_close = False
        self._knows_chunks = True
        self.done = False
        # Joined as it arrives: an object for each piece may take far more memory.
        self._body: bytearray | bytes = bytearray()
        self._body_hold = gateway.held_bodies.open()
        self._response_hold = gateway.held_responses.open()
        self._gateway = gateway
        self._connection = connection
        self._idle_timer: asyncio.TimerHandle | None = None
        self._headers_arriving = False
        # Whether a body may still arrive.
        self._reading = False
        self._linger_timer: asyncio.TimerHandle | None = None
        self._upload_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def disconnected(self) -> bool:
        """Return whether the caller's connection has ended."""
        return self._connection.stream.closed()

    @property
    def body(self) -> bytes:
        # Not kept in both forms, as a second copy would be held while it runs.
        self._body = bytes(self._body)
        return self._body

    def start_idle_timer(self) -> None:
        """Close the connection unless a request arrives in time."""
        self._schedule_idle_close(self._gateway.idle_timeout_s)

    def _schedule_idle_close(self, after_s: float) -> None:
        loop = asyncio.get_running_loop()
        # After the event loop was blocked, data that arrived meanwhile is read
        # in the same iteration in which the timer is due. Closing one
        # iteration later lets that data count.
        self._idle_timer = loop.call_later(after_s, loop.call_soon, self._close_idle)

    def _close_idle(self) -> None:
        """Close the connection; allow more time if headers are arriving."""
        if self not in self._gateway.idle:
            return
        if self._headers_arriving or not self._connection.stream._read_buffer_size:
            self.abort()
            return
        self._headers_arriving = True
        self._schedule_idle_close(self._gateway.header_timeout_s)

    def _mark_active(self) -> None:
        self._gateway.idle.pop(self, None)
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    # Called by the HTTP server

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self.method, self.path = start_line.method, start_line.path
        self._knows_chunks = start_line.version != "HTTP/1.0"
        self.headers = headers
        self._mark_active()
        self._reading = True
        self._gateway.reading.add(self)
        stream = cast(CallerStream, self._connection.stream)
        self.arrived_s, self.unread_s = stream.oldest_byte_s, stream.unread_s
        self._body_hold.break_off = self._refuse_body
        self._body_hold.weight = self._upload_weight
        if "Content-Length" in headers or "Transfer-Encoding" in headers:
            stream.read_chunk_size = BODY_READ_BYTES
            self._upload_timer = asyncio.get_running_loop().call_later(
                self._gateway.upload_time_s(self), self._expire_upload
            )

    def _expire_upload(self) -> None:
        """Refuse a request whose time is over before its body is complete."""
        self._release()
        self._gateway.reading.discard(self)
        self._gateway.on_expired(self)

    def _cancel_upload_timer(self) -> None:
        if self._upload_timer is not None:
            self._upload_timer.cancel()
            self._upload_timer = None

    def _upload_weight(self) -> float:
        return upload_weight(
            age_s=self._gateway.clock.monotonic_s() - self.arrived_s,
            received_bytes=self._body_hold.size_bytes,
        )

    def data_received(self, chunk: bytes) -> None:
        if self.done:
            return
        if not self._body_hold.grow(len(chunk)):
            self._refuse_body()
            return
        self._body += chunk

    def _refuse_body(self) -> None:
        """Refuse a request for whose body there is no room."""
        self._cancel_upload_timer()
        self._release()
        self._gateway.reading.discard(self)
        self._gateway.on_no_room(self)

    def _release(self) -> None:
        """Drop what was read of the request."""
        self._body = b""
        self._body_hold.release()

    def finish(self) -> None:
        self._gateway.reading.discard(self)
        self._reading = False
        self._connection.stream.read_chunk_size = HEAD_READ_BYTES
        self._cancel_upload_timer()
        # A request that is served keeps its body.
        self._body_hold.break_off = None
        if self.done:
            # It was refused before its body was complete.
            self._cancel_linger()
            finish_connection(self._connection)
            return
        if self._connection.stream.closed():
            # The connection closed while the request was being read. A
            # response could not be delivered, and a request that was not
            # forwarded is safe for the caller to retry.
            return
        # Between the end of the request and the end of the response, only the
        # connection's close callback reports that the caller disconnected.
        self._connection.set_close_callback(self.on_connection_close)
        self._gateway.serving.add(self)
        self._task = asyncio.ensure_future(self._gateway.serve(self))
        self._task.add_done_callback(self._on_served)

    def on_connection_close(self) -> None:
        # The caller disconnected: cancel the work done for it.
        self._mark_active()
        self._cancel_upload_timer()
        self._cancel_linger()
        self._gateway.reading.discard(self)
        if self._task is not None:
            self._task.cancel()
        self._release()
        self._response_hold.release()

    def _cancel_linger(self) -> None:
        if self._linger_timer is not None:
            self._linger_timer.cancel()

    def end_serving(self) -> None:
        """End the work on the request; its handler gives the final response."""
        if self._task is not None:
            self._task.cancel()

    def _on_served(self, task: asyncio.Task[None]) -> None:
        self._gateway.serving.discard(self)
        self._release()
        if not self.done:
            self.abort()
        if not task.cancelled() and task.exception() is not None:
            self._gateway.on_failure(self, task.exception())

    # Called by the relay

    def start_response(
        self, status: int, headers: HTTPHeaders, *, length: int | None = None
    ) -> None:
        """Write the status line and headers of the response."""
        self.response_started = True
        self._ends_with_close = length is None and not self._knows_chunks
        if length is not None:
            headers["Content-Length"] = str(length)
        if self._gateway.closing or self._reading:
            self._connection._disconnect_on_finish = True
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Status"))
        ignore_write_error(self._connection.write_headers(line, headers))

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Write a part of the body.

        Return an awaitable if the caller should wait for the write buffer to
        drain, or None.
        """
        if not data:
            return None
        written = self._connection.write(data)
        ignore_write_error(written)
        write_buffer = self._connection.stream._write_buffer
        unsent_bytes = 0 if write_buffer is None else len(write_buffer)
        if unsent_bytes <= SCARCE_WRITE_AHEAD_BYTES:
            return None
        self._response_hold.resize(unsent_bytes)
        self._response_hold.break_off = self.abort
        written.add_done_callback(lambda _: self._response_hold.release())
        return written if unsent_bytes > self._gateway.write_ahead_bytes else None

    def end(self) -> None:
        """Complete the response."""
        self.done = True
        if self._reading:
            self._linger_timer = finish_after_body(self._connection)
            return
        if self._gateway.closing:
            # The headers may have been sent before the stop began, without
            # announcing that the connection closes after this response.
            self._connection._disconnect_on_finish = True
        self._connection.finish()

    def respond(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Write a complete response."""
        self.start_response(status, headers, length=len(body))
        self.write(body)
        self.end()

    def abort(self) -> None:
        """Close the connection, so that a truncated response is detectable."""
        self.done = True
        stream = self._connection.stream
        if stream is not None and not stream.closed():
            if self._ends_with_close:
                # An orderly close would complete the response.
                disable_linger(stream.socket)
            stream.close()


class Gateway(HTTPServerConnectionDelegate):
    """Own the HTTP server for callers and its connections.

    Each request is passed to `serve` once it has been read completely.
    """

    def __init__(
        self,
        serve: Callable[[CallerExchange], Awaitable[None]],
        *,
        clock: Clock,
        on_failure: Callable[[CallerExchange, BaseException | None], None],
        on_no_room: Callable[[CallerExchange], None] = CallerExchange.abort,
        on_expired: Callable[[CallerExchange], None] = CallerExchange.abort,
        upload_time_s: Callable[[CallerExchange], float] = lambda _: UPLOAD_TIME_S,
        held_bodies: HeldBytes | None = None,
        held_responses: HeldBytes | None = None,
    ) -> None:
        self._serve = serve
        # Called with a request for whose body there is no room, to refuse it.
        self.on_no_room = on_no_room
        # Called with a request whose time ended before its body was complete.
        self.on_expired = on_expired
        # How long the rest of a request may take, once its head is read.
        self.upload_time_s = upload_time_s
        self.held_bodies = held_bodies or HeldBytes.of_memory()
        self.held_responses = held_responses or HeldBytes.of_memory()
        self.clock = clock
        self.on_failure = on_failure
        self.serving: set[CallerExchange] = set()
        # Connections that wait for a request, the longest first.
        self.idle: dict[CallerExchange, None] = {}
        # Requests whose headers are complete and whose body is being read.
        self.reading: set[CallerExchange] = set()
        self.closing = False
        limits = CallerLimits()
        self.server = CallerServer(
            self, clock=clock, close_idle=self._close_longest_idle
        )
        # Tornado's own timer can close a connection on which data has just
        # arrived; CallerExchange has its own.
        self.server.conn_params.header_timeout = None
        self.header_timeout_s = limits.header_timeout_s
        self.idle_timeout_s = limits.idle_timeout_s

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> CallerExchange:
        assert isinstance(request_conn, HTTP1Connection)
        exchange = CallerExchange(self, request_conn)
        self.idle[exchange] = None
        exchange.start_idle_timer()
        # Tornado reports a close between two requests only to this callback.
        request_conn.stream.set_close_callback(exchange.on_connection_close)
        return exchange

    @property
    def write_ahead_bytes(self) -> int:
        """Return how much may wait for a slow caller before the relay pauses."""
        return (
            SCARCE_WRITE_AHEAD_BYTES
            if self.held_responses.scarce
            else WRITE_AHEAD_BYTES
        )

    @property
    def pending_requests(self) -> int:
        """Return the number of requests being read or served."""
        return len(self.reading) + len(self.serving)

    def _close_longest_idle(self) -> bool:
        """Close the connection that has waited longest; return False if none does."""
        exchange = next(iter(self.idle), None)
        if exchange is None:
            return False
        del self.idle[exchange]
        exchange.abort()
        return True

    def close_idle(self) -> None:
        """Stop listening and close idle connections.

        A later request on one of them might not finish before the process
        stops; its caller sends it over a new connection instead.
        """
        self.server.stop()
        for exchange in list(self.idle):
            exchange.abort()

    def end_serving(self) -> None:
        """End the work on all requests, which get their final responses."""
        for exchange in list(self.serving):
            exchange.end_serving()

    async def serve(self, exchange: CallerExchange) -> None:
        """Serve one request."""
        await self._serve(exchange)

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply limits on what callers may send, from the next request on."""
        params = self.server.conn_params
        params.max_header_size = limits.max_header_bytes
        params.max_body_size = limits.max_body_bytes
        self.header_timeout_s = limits.header_timeout_s
        self.idle_timeout_s = limits.idle_timeout_s
