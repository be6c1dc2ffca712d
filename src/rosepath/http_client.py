"""Pooled HTTP exchanges over Tornado's own HTTP/1.1 connections.

Tornado's simple client opens a connection a request and hides whether any
byte was sent. The promise in a refusal ("was not run") needs exactly that,
so this pool drives the connection class underneath it.
"""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from rosepath.clock import Clock, SystemClock
from rosepath.errors import ExchangeError, Step

READ_CHUNK_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
MAX_IDLE_PER_PEER = 64
MAX_IDLE_S = 30.0

OnData = Callable[[bytes], Awaitable[None] | None]


class ResponseHead(NamedTuple):
    """Hold the status and headers of an answer."""

    status: int
    headers: HTTPHeaders


OnHead = Callable[[ResponseHead], Awaitable[None] | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Describe one request to one peer."""

    address: str
    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    body_chunks: AsyncIterator[bytes] | None = None
    connect_timeout_s: float = 1.0
    progress_timeout_s: float = 10.0
    proven_live_within_s: float | None = None


class _IdleConnection(NamedTuple):
    stream: IOStream
    last_answer_s: float


class _Delegate(HTTPMessageDelegate):
    """Note progress and pass the answer on as it arrives."""

    def __init__(self, on_head: OnHead, on_data: OnData) -> None:
        self.on_head = on_head
        self.on_data = on_data
        self.head: ResponseHead | None = None
        self.finished = False
        self.failure: BaseException | None = None
        self.progress = 0
        self.consumer_busy = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, ResponseStartLine)
        self.progress += 1
        self.head = ResponseHead(start_line.code, headers)
        return self._guarded(self.on_head, self.head)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self.progress += 1
        return self._guarded(self.on_data, chunk)

    def finish(self) -> None:
        self.finished = True

    def on_connection_close(self) -> None:
        """Leave the verdict to the waiting exchange."""

    def _guarded(self, callback: Callable, value: object) -> Awaitable[None] | None:
        try:
            waiting = callback(value)
        except BaseException as error:
            self.failure = error
            raise StreamClosedError(error) from error
        return None if waiting is None else self._await_consumer(waiting)

    async def _await_consumer(self, waiting: Awaitable[None]) -> None:
        # A slow caller must not look like a silent peer: the progress
        # deadline is suspended while the consumer holds the stream back.
        self.consumer_busy = True
        try:
            await waiting
        except BaseException as error:
            self.failure = error
            raise StreamClosedError(error) from error
        finally:
            self.consumer_busy = False
            self.progress += 1


class HttpPool:
    """Keep connections to peers and run exchanges over them."""

    def __init__(self, *, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._idle: dict[str, list[_IdleConnection]] = defaultdict(list)
        self._tcp = TCPClient()
        self._parameters = HTTP1ConnectionParameters(
            chunk_size=READ_CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=1 << 40,
        )

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.stream.close()
        self._idle.clear()

    def forget(self, address: str) -> None:
        """Drop idle connections to a peer whose connections went silent."""
        for connection in self._idle.pop(address, []):
            connection.stream.close()

    async def fetch(self, request: Request) -> tuple[ResponseHead, bytes]:
        """Run an exchange and collect its whole answer."""
        chunks: list[bytes] = []
        head = await self.exchange(
            request, on_head=lambda _: None, on_data=chunks.append
        )
        return head, b"".join(chunks)

    async def exchange(
        self, request: Request, *, on_head: OnHead, on_data: OnData
    ) -> ResponseHead:
        """Run an exchange, passing the answer on with backpressure.

        Raises ExchangeError if it does not complete; an exception of
        `on_head` or `on_data` closes the connection and is raised as it is.
        """
        stream, reused = await self._stream_for(request)
        delegate = _Delegate(on_head, on_data)
        returned = False
        try:
            head = await self._run(request, stream, delegate)
            if _keeps_alive(head.headers) and not stream.closed():
                self._put_back(request.address, stream)
                returned = True
            return head
        except ExchangeError as error:
            if error.timed_out and reused:
                # Whatever silenced this connection (a forgetful firewall,
                # say) has most likely silenced its idle siblings too.
                self.forget(request.address)
            raise
        finally:
            if not returned:
                stream.close()

    async def _stream_for(self, request: Request) -> tuple[IOStream, bool]:
        now_s = self._clock.monotonic_s()
        idle = self._idle[request.address]
        while idle:
            connection = idle.pop()
            limit_s = request.proven_live_within_s
            fresh_s = MAX_IDLE_S if limit_s is None else min(limit_s, MAX_IDLE_S)
            if connection.stream.closed():
                continue
            if now_s - connection.last_answer_s <= fresh_s:
                return connection.stream, True
            if now_s - connection.last_answer_s > MAX_IDLE_S:
                connection.stream.close()
                continue
            idle.append(connection)
            break
        return await self._connect(request), False

    async def _connect(self, request: Request) -> IOStream:
        host, _, port = request.address.rpartition(":")
        try:
            async with asyncio.timeout(request.connect_timeout_s):
                stream = await self._tcp.connect(host, int(port))
        except (OSError, StreamClosedError, TimeoutError) as error:
            raise ExchangeError(
                f"cannot connect: {error or type(error).__name__}",
                step=Step.CONNECT,
                peer=request.address,
                sent=False,
                timed_out=isinstance(error, TimeoutError),
            ) from error
        stream.set_nodelay(True)
        return stream

    def _put_back(self, address: str, stream: IOStream) -> None:
        idle = self._idle[address]
        if len(idle) >= MAX_IDLE_PER_PEER:
            stream.close()
            return
        # Tornado notices that the peer closed an idle stream only if a close
        # callback makes it listen; without, the next request would be sent
        # into a dead connection.
        stream.set_close_callback(_ignore_close)
        idle.append(_IdleConnection(stream, self._clock.monotonic_s()))

    async def _run(
        self, request: Request, stream: IOStream, delegate: _Delegate
    ) -> ResponseHead:
        connection = HTTP1Connection(stream, True, self._parameters)
        watchdog = _Watchdog(stream, delegate, request.progress_timeout_s)
        sent = False
        try:
            headers = HTTPHeaders(dict(request.headers))
            headers.setdefault("Host", request.address)
            if request.body_chunks is None:
                headers["Content-Length"] = str(len(request.body))
            start_line = RequestStartLine(request.method, request.path, "HTTP/1.1")
            sent = True
            write = connection.write_headers(start_line, headers, request.body or None)
            reading = asyncio.ensure_future(connection.read_response(delegate))
            try:
                await self._send_body(request, connection, write, watchdog)
                await reading
            finally:
                if not reading.done():
                    stream.close()
                    await asyncio.wait([reading])
                if not reading.cancelled():
                    reading.exception()
        except (StreamClosedError, OSError) as error:
            if delegate.failure is None and not _answered_early(delegate):
                raise self._broken(request, delegate, watchdog, sent, error) from error
        finally:
            watchdog.stop()
        if delegate.failure is not None:
            raise delegate.failure
        if delegate.head is None or not delegate.finished:
            raise self._broken(request, delegate, watchdog, sent, None)
        return delegate.head

    async def _send_body(
        self,
        request: Request,
        connection: HTTP1Connection,
        write: Awaitable[None],
        watchdog: "_Watchdog",
    ) -> None:
        await write
        if request.body_chunks is not None:
            async for chunk in request.body_chunks:
                await connection.write(chunk)
                watchdog.touch()
        connection.finish()
        watchdog.touch()

    def _broken(
        self,
        request: Request,
        delegate: _Delegate,
        watchdog: "_Watchdog",
        sent: bool,
        error: BaseException | None,
    ) -> ExchangeError:
        reason = "went silent" if watchdog.fired else "closed early"
        return ExchangeError(
            f"peer {reason}" + (f": {error}" if error else ""),
            step=Step.ANSWER if delegate.head else Step.SEND,
            peer=request.address,
            sent=sent,
            answered=delegate.head is not None,
            timed_out=watchdog.fired,
        )


class _Watchdog:
    """Close a connection on which nothing moved for a while.

    Some middlebox may forget a connection: both ends keep it open, yet
    nothing arrives, and a caller would wait for ever. Closing wakes the
    reader, whatever it waits for.
    """

    def __init__(self, stream: IOStream, delegate: _Delegate, silence_s: float) -> None:
        self.fired = False
        self._stream = stream
        self._delegate = delegate
        self._silence_s = silence_s
        self._seen = 0
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(silence_s, self._check)

    def touch(self) -> None:
        self._seen = -1

    def stop(self) -> None:
        self._timer.cancel()

    def _check(self) -> None:
        if self._seen == self._delegate.progress and not self._delegate.consumer_busy:
            self.fired = True
            self._stream.close()
            return
        self._seen = self._delegate.progress
        self._timer = self._loop.call_later(self._silence_s, self._check)


def _ignore_close() -> None:
    """Leave a closed idle stream to the next look into the pool."""


def _keeps_alive(headers: HTTPHeaders) -> bool:
    return headers.get("Connection", "").lower() != "close"


def _answered_early(delegate: _Delegate) -> bool:
    return delegate.finished and delegate.head is not None
