"""Write log lines to a pipe without ever waiting for its reader."""

import os
from collections import Counter, deque
from collections.abc import Callable, MutableMapping
from typing import Any

from structlog import DropEvent

from rosepath.rates import TokenBucket

# What is kept while the reader stands still; at 300 bytes a line, what a busy
# VM writes in half a minute.
MAX_WAITING_BYTES = 256 * 1024
# Lines of one kind: as many as the busiest VM needs to tell of each request,
# and a burst of as many as come in seconds when everything fails at once.
LINES_PER_S = 40.0
LINES_BURST = 120.0


class LineSink:
    """Hold lines that the pipe does not take yet, as far as the bound allows."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or keep it for the next call."""
        data = line.encode() + b"\n"
        if self._waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Write what the pipe takes now."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except OSError:
                # Full, or its reader is gone: either way nobody may wait.
                return
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()

    # The names by which the logging library calls its loggers' methods.
    msg = debug = info = warning = error = critical = exception = write


class RateBound:
    """Drop lines of a kind beyond its rate; tell how many with the next."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._buckets: dict[str, TokenBucket] = {}
        self.left_out: Counter[str] = Counter()

    def __call__(
        self, _: Any, __: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        kind = str(event.get("event"))
        bucket = self._buckets.setdefault(
            kind, TokenBucket(rate_per_s=LINES_PER_S, burst=LINES_BURST)
        )
        if bucket.take(self._now_s()) > 0:
            self.left_out[kind] += 1
            raise DropEvent
        if left_out := self.left_out.pop(kind, 0):
            event["left_out"] = left_out
        return event
