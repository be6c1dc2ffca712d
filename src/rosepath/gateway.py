"""Take callers' connections: read requests whole, write answers, notice leaving."""

import asyncio
from collections.abc import Awaitable, Callable
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from rosepath.catalog import CallerLimits
from rosepath.clock import Clock

# Enough for a burst of events; beyond it the backend server is held back.
WRITE_AHEAD_BYTES = 256 * 1024


class CallerExchange(HTTPMessageDelegate):
    """Hold one request as it is read, and its answer as it is written."""

    def __init__(self, gateway: "Gateway", connection: HTTP1Connection) -> None:
        self.method = ""
        self.path = ""
        self.headers = HTTPHeaders()
        self.arrived_s = 0.0
        self.begun = False
        self.done = False
        self._body: list[bytes] = []
        self._gateway = gateway
        self._connection = connection
        self._idle_timer: asyncio.TimerHandle | None = None
        self._head_arriving = False
        self._task: asyncio.Task[None] | None = None

    @property
    def body(self) -> bytes:
        return b"".join(self._body)

    def watch_idle(self) -> None:
        """Close the connection if no request comes over it for too long."""
        self._close_later(self._gateway.idle_timeout_s)

    def _close_later(self, after_s: float) -> None:
        loop = asyncio.get_running_loop()
        # After the loop stood still, what had arrived is read in the same turn
        # as the timer is due: the timer acts in the next one.
        self._idle_timer = loop.call_later(after_s, loop.call_soon, self._close_idle)

    def _close_idle(self) -> None:
        """Close the connection, or give a head that is arriving its own time."""
        if self not in self._gateway.idle:
            return
        if self._head_arriving or not self._connection.stream._read_buffer_size:
            self.abort()
            return
        self._head_arriving = True
        self._close_later(self._gateway.header_timeout_s)

    def _leave_idle(self) -> None:
        self._gateway.idle.discard(self)
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    # Called by the server

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self.method, self.path = start_line.method, start_line.path
        self.headers = headers
        self._leave_idle()
        self._gateway.reading.add(self)
        self.arrived_s = self._gateway.clock.monotonic_s()

    def data_received(self, chunk: bytes) -> None:
        self._body.append(chunk)

    def finish(self) -> None:
        self._gateway.reading.discard(self)
        if self._connection.stream.closed():
            # Closed while this was being read: passed on, its answer would
            # reach nobody; not passed on, its caller may safely ask again.
            return
        # Between the end of the request and that of the answer, only the
        # connection's own callback tells that the caller left.
        self._connection.set_close_callback(self.on_connection_close)
        self._gateway.open.add(self)
        self._task = asyncio.ensure_future(self._gateway.serve(self))
        self._task.add_done_callback(self._served)

    def on_connection_close(self) -> None:
        # The caller left: whatever works for it stops at once.
        self._leave_idle()
        self._gateway.reading.discard(self)
        if self._task is not None:
            self._task.cancel()
        self._body.clear()

    def _served(self, task: asyncio.Task[None]) -> None:
        self._gateway.open.discard(self)
        if not self.done:
            self.abort()
        if not task.cancelled() and task.exception() is not None:
            self._gateway.on_failure(self, task.exception())

    # Called by whoever answers

    def begin(
        self, status: int, headers: HTTPHeaders, *, length: int | None = None
    ) -> None:
        """Write the head of an answer."""
        self.begun = True
        if length is not None:
            headers["Content-Length"] = str(length)
        if self._gateway.closing:
            self._connection._disconnect_on_finish = True
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Status"))
        _ignore_closed(self._connection.write_headers(line, headers))

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Write a part of the body; return what to wait for if it piles up."""
        if not data:
            return None
        written = self._connection.write(data)
        _ignore_closed(written)
        waiting = self._connection.stream._write_buffer
        if waiting is not None and len(waiting) > WRITE_AHEAD_BYTES:
            return written
        return None

    def end(self) -> None:
        """Complete the answer."""
        self.done = True
        if self._gateway.closing:
            # Its head may have gone out before the stop began, and then does
            # not say that this connection takes no further request.
            self._connection._disconnect_on_finish = True
        self._connection.finish()

    def answer(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Write a whole answer."""
        self.begin(status, headers, length=len(body))
        self.write(body)
        self.end()

    def abort(self) -> None:
        """Break the connection, so that a cut answer does not look whole."""
        self.done = True
        stream = self._connection.stream
        if stream is not None and not stream.closed():
            stream.close()


def _ignore_closed(written: "asyncio.Future[None]") -> None:
    # A write to a caller that left fails here; its close is handled.
    written.add_done_callback(lambda done: done.cancelled() or done.exception())


class Gateway(HTTPServerConnectionDelegate):
    """Listen for callers and hand each whole request on."""

    def __init__(
        self,
        serve: Callable[[CallerExchange], Awaitable[None]],
        *,
        clock: Clock,
        on_failure: Callable[[CallerExchange, BaseException | None], None],
    ) -> None:
        self._serve = serve
        self.clock = clock
        self.on_failure = on_failure
        self.open: set[CallerExchange] = set()
        self.idle: set[CallerExchange] = set()
        # Requests whose head has come and whose body is still arriving.
        self.reading: set[CallerExchange] = set()
        self.closing = False
        limits = CallerLimits()
        self.server = HTTPServer(self)
        # The library's own timer also closes on what has just arrived.
        self.server.conn_params.header_timeout = None
        self.header_timeout_s = limits.header_timeout_s
        self.idle_timeout_s = limits.idle_timeout_s

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> CallerExchange:
        assert isinstance(request_conn, HTTP1Connection)
        exchange = CallerExchange(self, request_conn)
        self.idle.add(exchange)
        exchange.watch_idle()
        # The library reports a close between two requests to this callback alone.
        request_conn.stream.set_close_callback(exchange.on_connection_close)
        return exchange

    @property
    def unanswered(self) -> int:
        """Return how many requests have begun to arrive and have no answer."""
        return len(self.reading) + len(self.open)

    def close_idle(self) -> None:
        """Listen no more, and close connections on which nothing was asked.

        A request that came over one of them later might need longer than
        there is time; its caller asks again on a new connection instead.
        """
        self.server.stop()
        for exchange in list(self.idle):
            exchange.abort()

    async def serve(self, exchange: CallerExchange) -> None:
        """Answer one request."""
        await self._serve(exchange)

    def limit(self, limits: CallerLimits) -> None:
        """Bound what callers may send, from the next request on."""
        params = self.server.conn_params
        params.max_header_size = limits.max_header_bytes
        params.max_body_size = limits.max_body_bytes
        self.header_timeout_s = limits.header_timeout_s
        self.idle_timeout_s = limits.idle_timeout_s
