"""Send HTTP/1.1 requests over pooled connections.

Tornado's HTTP client does not report whether any byte of a request was sent,
keeps no connections open, and needs three reads per chunk. A refusal may only
state that the request was not run if no byte was sent, and the reads per chunk
determine the cost of a relayed token. docs/design/http-client.md has the
measurements.
"""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import httptools

from rosepath.clock import Clock, SystemClock
from rosepath.dialing import Dial, dial_directly
from rosepath.errors import ExchangeError, Step
from rosepath.http_exchange import (
    Connection,
    Exchange,
    MalformedResponseError,
    OnData,
    OnHead,
    ResponseFilter,
    ResponseHead,
    Watchdog,
)

MAX_IDLE_PER_PEER = 64
MAX_IDLE_S = 30.0
# A peer that announces a shorter idle timeout closes the connection by its own
# clock. The margin avoids sending a request while the peer closes.
IDLE_MARGIN_S = 0.5
# Limit of a response that is kept whole, unless its request sets another one.
# Reports and replies have some kilobytes.
MAX_FETCHED_BYTES = 1024 * 1024
__all__ = ["BoundedBody", "HttpPool", "ProbeResult", "Request", "ResponseHead"]


class ProbeResult(StrEnum):
    """Enumerate the results of trying to connect to an address."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Describe one HTTP request and its timeouts.

    `progress_timeout_s` limits each silence of the peer, `total_timeout_s` the time
    from the first byte sent to the end of the response.
    """

    address: str
    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    # More of them, which change with time: taken as the first byte is sent.
    late_headers: Callable[[], Mapping[str, str]] = dict
    body: bytes = b""
    body_chunks: AsyncIterator[bytes] | None = None
    connect_timeout_s: float = 1.0
    progress_timeout_s: float = 10.0
    pause_timeout_s: float | None = None
    total_timeout_s: float | None = None
    proven_live_within_s: float | None = None
    host: str | None = None
    accepts: ResponseFilter | None = None
    # Connections that are left to other requests.
    avoided_connections: Collection[Connection] = ()
    # Called once connected, before the first byte is sent; False cancels.
    still_wanted: Callable[[], bool] = lambda: True
    # Called with the chosen connection, right before the first byte is sent.
    on_sending: Callable[[Connection], None] = lambda _: None
    # Called when an inactivity timeout expires; False restarts it.
    may_abort: Callable[[], bool] = lambda: True
    # Called with the watchdog of the exchange as it starts.
    on_watched: Callable[[Watchdog], None] = lambda _: None


class BoundedBody:
    """Collect the body of a response up to a limit."""

    def __init__(self, peer: str, max_bytes: int) -> None:
        self.data = bytearray()
        self._peer = peer
        self._max_bytes = max_bytes

    def append(self, part: bytes) -> None:
        """Add a part; raise ExchangeError beyond the limit."""
        if len(self.data) + len(part) > self._max_bytes:
            raise ExchangeError(
                f"the response exceeds {self._max_bytes} bytes",
                step=Step.RESPONSE,
                peer=self._peer,
                sent=True,
                answered=True,
            )
        self.data += part


class HttpPool:
    """Own the idle connections to all peers and run exchanges over them.

    Whoever creates a pool closes it.
    """

    def __init__(
        self, *, clock: Clock | None = None, dial: Dial = dial_directly
    ) -> None:
        self._clock = clock or SystemClock()
        self._dial = dial
        self._idle: dict[str, list[Connection]] = defaultdict(list)

    def with_dial(self, dial: Dial) -> "HttpPool":
        """Return a pool of the same idle connections that opens others in its way."""
        pool = HttpPool(clock=self._clock, dial=dial)
        pool._idle = self._idle
        return pool

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    def drop_idle(self, address: str) -> None:
        """Close all idle connections to a peer."""
        for connection in self._idle.pop(address, []):
            connection.close()

    async def fetch(
        self, request: Request, *, max_bytes: int = MAX_FETCHED_BYTES
    ) -> tuple[ResponseHead, bytes]:
        """Run an exchange and return the complete response.

        Raise ExchangeError if it fails or the body exceeds `max_bytes`.
        """
        body = BoundedBody(request.address, max_bytes)
        head = await self.exchange(request, on_head=lambda _: None, on_data=body.append)
        return head, bytes(body.data)

    async def exchange(
        self, request: Request, *, on_head: OnHead, on_data: OnData
    ) -> ResponseHead:
        """Run an exchange and pass the response on with backpressure.

        Raise ExchangeError if the exchange does not complete. An exception
        raised by `on_head` or `on_data` closes the connection and propagates.
        """
        connection, reused = await self._acquire(request)
        if not request.still_wanted():
            connection.close()
            raise ExchangeError(
                "no longer wanted",
                step=Step.SEND,
                peer=request.address,
                sent=False,
                withdrawn=True,
            )
        exchange = Exchange(
            connection, request.method, on_head, on_data, accepts=request.accepts
        )
        connection.exchange = exchange
        request.on_sending(connection)
        returned = False
        try:
            head = await self._run(request, connection, exchange)
            if exchange.reusable and not connection.closed:
                self._release(request.address, connection)
                returned = True
            return head
        except ExchangeError as error:
            if error.timed_out and reused:
                # The cause, such as a firewall that dropped its connection
                # state, most likely affects the other idle connections too.
                self.drop_idle(request.address)
            raise
        finally:
            connection.exchange = None
            connection.exchange_count += 1
            if exchange.finished and not returned:
                connection.close()
            elif not returned:
                # A server that does not read while it works learns of a reset,
                # but not of a close, and after a close the kernel still sends it
                # what it holds.
                connection.reset()

    async def probe(self, address: str, *, limit_s: float) -> ProbeResult:
        """Test whether an address accepts connections.

        An accepted connection is kept for the next request if possible.
        """
        try:
            connection = await self._dial(address, timeout_s=limit_s)
        except ExchangeError as error:
            return ProbeResult.REFUSED if error.refused else ProbeResult.UNKNOWN
        self._release(address, connection)
        return ProbeResult.ACCEPTED

    async def _acquire(self, request: Request) -> tuple[Connection, bool]:
        connection = self._take_idle(request)
        if connection is not None:
            return connection, True
        connection = await self._dial(
            request.address, timeout_s=request.connect_timeout_s
        )
        return connection, False

    def _take_idle(self, request: Request) -> Connection | None:
        """Return the idle connection that was used last and suits a request."""
        now_s = self._clock.monotonic_s()
        limit_s = request.proven_live_within_s
        max_age_s = MAX_IDLE_S if limit_s is None else min(limit_s, MAX_IDLE_S)
        idle = self._idle[request.address]
        kept: list[Connection] = []
        chosen: Connection | None = None
        while idle and chosen is None:
            connection = idle.pop()
            age_s = now_s - connection.last_response_s
            if connection.closed:
                continue
            if age_s > min(MAX_IDLE_S, connection.max_idle_s):
                connection.close()
                continue
            if connection in request.avoided_connections:
                kept.append(connection)
            elif age_s <= max_age_s:
                chosen = connection
            else:
                kept.append(connection)
                break
        idle += reversed(kept)
        return chosen

    def _release(self, address: str, connection: Connection) -> None:
        idle = self._idle[address]
        if connection.single_use or len(idle) >= MAX_IDLE_PER_PEER:
            connection.close()
            return
        connection.last_response_s = self._clock.monotonic_s()
        connection.max_idle_s = max(0.0, connection.peer_idle_timeout_s - IDLE_MARGIN_S)
        idle.append(connection)

    async def _run(
        self, request: Request, connection: Connection, exchange: Exchange
    ) -> ResponseHead:
        watchdog = Watchdog(
            connection,
            exchange,
            request.progress_timeout_s,
            pause_timeout_s=request.pause_timeout_s,
            may_close=request.may_abort,
        )
        request.on_watched(watchdog)
        try:
            async with asyncio.timeout(request.total_timeout_s):
                connection.write(_encode_head(request) + request.body)
                if request.body_chunks is not None:
                    await self._send_chunks(
                        request.body_chunks, connection, exchange, watchdog
                    )
                else:
                    exchange.request_written = True
                await exchange.done
        except TimeoutError as error:
            raise self._failure(
                request, exchange, watchdog, "took too long", timed_out=True
            ) from error
        finally:
            watchdog.stop()
        if exchange.failure is not None:
            malformed = (httptools.HttpParserError, MalformedResponseError)
            if isinstance(exchange.failure, malformed):
                raise self._failure(request, exchange, watchdog, "cannot be parsed")
            raise exchange.failure
        if exchange.head is None or not exchange.finished:
            raise self._failure(request, exchange, watchdog, "closed early", lost=True)
        return exchange.head

    async def _send_chunks(
        self,
        chunks: AsyncIterator[bytes],
        connection: Connection,
        exchange: Exchange,
        watchdog: Watchdog,
    ) -> None:
        async for chunk in chunks:
            connection.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
            await connection.drain()
            watchdog.note_progress()
            if exchange.done.done():
                # The server takes what follows on this connection for the rest.
                connection.single_use = True
                return
        connection.write(b"0\r\n\r\n")
        exchange.request_written = True
        watchdog.note_progress()

    def _failure(
        self,
        request: Request,
        exchange: Exchange,
        watchdog: Watchdog,
        problem: str,
        *,
        lost: bool = False,
        timed_out: bool = False,
    ) -> ExchangeError:
        return ExchangeError(
            "peer went silent" if watchdog.fired else f"answer {problem}",
            step=Step.RESPONSE if exchange.head else Step.SEND,
            peer=request.address,
            sent=True,
            answered=exchange.head is not None,
            timed_out=timed_out or watchdog.fired,
            lost=lost and not watchdog.fired,
        )


def _encode_head(request: Request) -> bytes:
    host = request.host or request.address
    lines = [f"{request.method} {request.path} HTTP/1.1", f"Host: {host}"]
    headers = {**request.headers, **request.late_headers()}
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if request.body_chunks is not None:
        lines.append("Transfer-Encoding: chunked")
    elif request.body or request.method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(request.body)}")
    if any("\r" in line or "\n" in line for line in lines):
        raise ValueError("a header holds a line break")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1")
