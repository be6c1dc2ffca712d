"""Connections of callers: how many there may be, and when what they hold arrived."""

import resource
import socket
import struct
from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.iostream import IOStream

from rosepath.clock import Clock
from rosepath.held_bytes import DEFAULT_MEMORY_MB
from rosepath.logs import get_logger

# Of the kernel's `struct tcp_info`: the milliseconds since data last arrived.
_LAST_RECEIVED_OFFSET = 52
_LAST_RECEIVED = struct.Struct("I")
# Of a process's descriptors, for connections of callers. Each may need one more for
# its server; the store, peers and files need some, too.
CALLERS_SHARE = 0.45
# Of a process's memory, for connections of callers, and what one may hold beside its
# body: a head near its limit, with the copies that a server gets, and the next one.
CONNECTIONS_MEMORY_SHARE = 0.25
CONNECTION_BYTES = 40 * 1024
# What one read takes of a head, and of a body. What arrives ahead of a request stays in
# memory while the one before it is served, on each connection.
HEAD_READ_BYTES = 8 * 1024
BODY_READ_BYTES = 64 * 1024

_log = get_logger()


def unread_for_s(sock: socket.socket) -> float:
    """Return how long ago data last arrived on a connection; 0 if unknown.

    Called as data is read, this is how long the last of it has waited.
    """
    size = _LAST_RECEIVED_OFFSET + _LAST_RECEIVED.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        (ago_ms,) = _LAST_RECEIVED.unpack_from(info, _LAST_RECEIVED_OFFSET)
    except (OSError, struct.error):
        return 0.0
    return float(ago_ms) / 1000


class CallerStream(IOStream):
    """Record when the oldest byte that it holds arrived.

    A caller counts its time from the first byte of a request, which may arrive
    long before the last one, or before the response to the request before it.
    """

    def __init__(self, sock: socket.socket, *, clock: Clock, **options: Any) -> None:
        super().__init__(sock, **options)
        self.oldest_byte_s = clock.monotonic_s()
        # How long what was read last had waited in the kernel.
        self.unread_s = 0.0
        self._clock = clock

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        # Line breaks before a request are not part of it, RFC 9112, section 2.2.
        holds_none = not self._read_buffer_size or self._read_buffer.isspace()
        size = super().read_from_fd(buf)
        if size:
            self.unread_s = unread_for_s(self.socket)
        if size and holds_none:
            # A process that stands still reads late what arrived meanwhile.
            self.oldest_byte_s = self._clock.monotonic_s() - self.unread_s
        return size


class CallerServer(HTTPServer):
    """Accept connections as `CallerStream`, as many as descriptors and memory allow.

    `close_idle` closes a connection that waits for a request, if there is one.
    """

    def initialize(  # type: ignore[override]
        self,
        delegate: HTTPServerConnectionDelegate,
        *,
        clock: Clock,
        close_idle: Callable[[], bool],
    ) -> None:
        super().initialize(delegate)
        self._clock = clock
        self._close_idle = close_idle
        # Of the process, if it is not the kernel's limit.
        self.max_descriptors: int | None = None
        self.memory_mb = DEFAULT_MEMORY_MB

    @property
    def max_connections(self) -> int:
        """Return how many connections callers may have."""
        memory_bytes = self.memory_mb * 1024 * 1024 * CONNECTIONS_MEMORY_SHARE
        by_memory = int(memory_bytes / CONNECTION_BYTES)
        limit = self.max_descriptors
        if limit is None:
            limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if limit == resource.RLIM_INFINITY:
            return by_memory
        return min(by_memory, int(limit * CALLERS_SHARE))

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        full = len(self._connections) >= self.max_connections
        if full and not self._close_idle():
            _log.info("connection_refused", why="too many connections")
            stream.close()
            return
        # The library accepts connections as plain streams, which have not been
        # used yet.
        timed = CallerStream(
            stream.socket,
            clock=self._clock,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=HEAD_READ_BYTES,
        )
        super().handle_stream(timed, address)
