"""Non-blocking, rate-limited output of log lines to a pipe."""

import os
from collections import Counter, deque
from collections.abc import Callable, MutableMapping
from typing import Any

from structlog import DropEvent

from rosepath.token_bucket import TokenBucket

# Buffer for a stalled reader: at 300 bytes per line, what a busy VM writes in
# half a minute.
MAX_BUFFERED_BYTES = 256 * 1024
# Limits per event name: the rate covers one line per request on the busiest
# VM, the burst a few seconds in which all requests fail.
LINES_PER_S = 40.0
LINES_BURST = 120.0


class LineSink:
    """Write lines to a descriptor without blocking.

    Lines that the pipe does not accept yet are buffered up to
    MAX_BUFFERED_BYTES; beyond it, new lines are dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffered: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or buffer it until the next call."""
        data = line.encode() + b"\n"
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the pipe accepts now."""
        while self._buffered:
            data = self._buffered[0]
            try:
                written = os.write(self._descriptor, data)
            except OSError:
                # The pipe is full or its reader is gone; never block on it.
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffered[0] = data[written:]
                return
            self._buffered.popleft()

    # The method names that structlog calls on a logger.
    msg = debug = info = warning = error = critical = exception = write


class EventRateLimiter:
    """Limit the rate of log lines per event name, as a structlog processor.

    The next line that passes has the number of dropped ones as `left_out`.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._buckets: dict[str, TokenBucket] = {}
        self.suppressed: Counter[str] = Counter()

    def __call__(
        self, _: Any, __: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        kind = str(event.get("event"))
        bucket = self._buckets.setdefault(
            kind, TokenBucket(rate_per_s=LINES_PER_S, burst=LINES_BURST)
        )
        if bucket.take(self._now_s()) > 0:
            self.suppressed[kind] += 1
            raise DropEvent
        if suppressed := self.suppressed.pop(kind, 0):
            event["left_out"] = suppressed
        return event
