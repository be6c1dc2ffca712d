"""One HTTP/1.1 exchange on one connection, read with llhttp."""

import asyncio
import math
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import httptools
from tornado.httputil import HTTPHeaders

MAX_HEADER_BYTES = 64 * 1024
# Linger on, for 0 s: the kernel drops what is unsent and resets the connection.
NO_LINGER = struct.pack("ii", 1, 0)

OnData = Callable[[bytes], Awaitable[None] | None]


class ResponseHead(NamedTuple):
    """Hold the status and headers of an answer."""

    status: int
    headers: HTTPHeaders


OnHead = Callable[[ResponseHead], None]
Accepts = Callable[[ResponseHead], bool]


class Connection(asyncio.Protocol):
    """Hold one connection and the exchange that runs on it, if any."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.closed = False
        self.ended_by_peer = False
        self.last_answer_s = 0.0
        self.stated_idle_s = math.inf
        self.idle_limit_s = math.inf
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            # Nothing was asked: whatever this is, no later answer on this
            # connection could be trusted to belong to its request.
            self.close()
        else:
            self.exchange.take(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.ended_by_peer = error is None and not self.closed
        self.closed = True
        self._writable.set()
        if self.exchange is not None:
            self.exchange.lose()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def write(self, data: bytes) -> None:
        """Hand bytes to the transport."""
        if self.transport is not None and not self.closed:
            self.transport.write(data)

    async def drained(self) -> None:
        """Wait until the transport takes more."""
        await self._writable.wait()

    def pause_reading(self) -> None:
        if self.transport is not None and not self.closed:
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        if self.transport is not None and not self.closed:
            self.transport.resume_reading()

    def reset(self) -> None:
        """Close at once, and keep the kernel from sending what it still holds."""
        if self.transport is not None and not self.closed:
            sock = self.transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.close()

    def close(self) -> None:
        """Close at once; nothing that is still buffered matters."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


class Exchange:
    """Hold one answer as it arrives; the parser calls the `on_` methods."""

    def __init__(
        self,
        connection: Connection,
        method: str,
        on_head: OnHead,
        on_data: OnData,
        *,
        accepts: Accepts | None = None,
    ) -> None:
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.head: ResponseHead | None = None
        self.finished = False
        self.failure: BaseException | None = None
        self.progress = 0
        self.consumer_busy = False
        self.on_response_start: Callable[[], None] | None = None
        self._keep_alive = False
        self._surplus = False
        self._stray = False
        self._accepts = accepts
        self._connection = connection
        self._bodiless = method == "HEAD"
        self._on_head = on_head
        self._on_data = on_data
        self._headers = HTTPHeaders()
        self._header_bytes = 0
        self._arrived: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)

    # Called by the parser

    def on_message_begin(self) -> None:
        # Another answer right behind the first: it belongs to no request of
        # this exchange, so it is skipped and the connection not used again.
        self._surplus = self.finished
        if self._stray:
            self._stray = False
            self._headers = HTTPHeaders()
            self._header_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._surplus:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise ValueError("the headers are too large")
        self._headers.add(name.decode("latin1"), value.decode("latin1"))

    def on_headers_complete(self) -> None:
        if self._surplus:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._headers = HTTPHeaders()
            return
        head = ResponseHead(status, self._headers)
        if self._accepts is not None and not self._accepts(head):
            # A late answer to an earlier request of this connection: passed
            # on, it would be another caller's. The own answer may follow.
            self._stray = True
            return
        self.head = head
        if self.on_response_start is not None:
            self.on_response_start()
        self._connection.stated_idle_s = _stated_idle_s(self._headers)
        self._on_head(self.head)
        if self._bodiless:
            self.finished = True

    def on_body(self, body: bytes) -> None:
        if not self._surplus and not self._stray:
            self._arrived.append(body)

    def on_message_complete(self) -> None:
        if self.head is not None and not self._surplus:
            self.finished = True
            self._keep_alive = self._parser.should_keep_alive()

    # Called by the connection

    def take(self, data: bytes) -> None:
        """Parse bytes and pass on, as one, the parts of the body in them."""
        self.progress += 1
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            self._fail(error.__context__ or error)
            return
        except httptools.HttpParserError as error:
            if not (self.finished and self._bodiless):
                self._fail(error)
                return
        self._pass_on()

    def _pass_on(self) -> None:
        if self._arrived:
            arrived = self._arrived
            data = arrived[0] if len(arrived) == 1 else b"".join(arrived)
            self._arrived = []
            try:
                waiting = self._on_data(data)
            except BaseException as error:
                self._fail(error)
                return
            if waiting is not None:
                self._hold_back(waiting)
                return
        if self.finished:
            self._end()

    def _hold_back(self, waiting: Awaitable[None]) -> None:
        # A slow consumer must not look like a silent peer: the progress
        # deadline is suspended while the consumer holds the answer back.
        self.consumer_busy = True
        self._connection.pause_reading()
        task = asyncio.ensure_future(waiting)
        task.add_done_callback(self._consumed)

    def _consumed(self, task: asyncio.Future[None]) -> None:
        self.consumer_busy = False
        self.progress += 1
        if task.cancelled() or task.exception() is not None:
            error = None if task.cancelled() else task.exception()
            self._fail(error or asyncio.CancelledError())
            return
        self._connection.resume_reading()
        if self.finished or self._connection.closed:
            self._end()

    def lose(self) -> None:
        """Note that the connection is gone."""
        if not self.consumer_busy:
            self._end()

    def _fail(self, error: BaseException) -> None:
        self.failure = error
        self._connection.close()
        self._end()

    def _end(self) -> None:
        if (
            self._connection.ended_by_peer
            and self.head is not None
            and not says_its_end(self._headers)
        ):
            # Without a length, the peer's close itself ends the answer; a
            # reset, or a close of our own, leaves it incomplete.
            self.finished = True
        if not self.done.done():
            self.done.set_result(None)

    @property
    def reusable(self) -> bool:
        """Tell whether the next request may use this connection."""
        return (
            self.finished
            and not self._surplus
            and not self._bodiless
            and says_its_end(self._headers)
            and self._keep_alive
        )


def says_its_end(headers: HTTPHeaders) -> bool:
    """Tell whether an answer ends by itself, and not with its connection."""
    return "Content-Length" in headers or "Transfer-Encoding" in headers


def _stated_idle_s(headers: HTTPHeaders) -> float:
    """Return how long the peer says it keeps an idle connection."""
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return math.inf


class Watchdog:
    """Close a connection on which nothing moved for a while.

    Some middlebox may forget a connection: both ends keep it open, yet
    nothing arrives, and a caller would wait for ever. Closing wakes the
    reader, whatever it waits for. `may_close` is asked before, and again after
    each further silence while it says no.
    """

    def __init__(
        self,
        connection: Connection,
        exchange: Exchange,
        silence_s: float,
        *,
        pause_s: float | None = None,
        may_close: Callable[[], bool] = lambda: True,
    ) -> None:
        self.fired = False
        self._may_close = may_close
        self._connection = connection
        self._exchange = exchange
        self._silence_s = silence_s
        self._pause_s = silence_s if pause_s is None else pause_s
        self._seen = 0
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(silence_s, self._check)
        exchange.on_response_start = self._answer_began

    def _answer_began(self) -> None:
        """Watch at the pace of pauses from the first byte on."""
        if self._pause_s < self._silence_s:
            self._timer.cancel()
            self._seen = self._exchange.progress
            self._timer = self._loop.call_later(self._pause_s, self._check)
        self._silence_s = self._pause_s

    def touch(self) -> None:
        self._seen = -1

    def stop(self) -> None:
        self._timer.cancel()

    def _check(self) -> None:
        exchange = self._exchange
        if exchange.done.done():
            return
        silent = self._seen == exchange.progress and not exchange.consumer_busy
        if silent and self._may_close():
            self.fired = True
            # Merely closed, the kernel would go on sending over a slow link, and a
            # request that counts as given up would be carried out all the same.
            self._connection.reset()
            exchange.lose()
            return
        self._seen = exchange.progress
        self._timer = self._loop.call_later(self._silence_s, self._check)
