"""Log output is rate-limited and never blocks the process."""

import os
from typing import Any

import pytest
from structlog import DropEvent

from rosepath.clock import ManualClock
from rosepath.log_sink import (
    LINES_BURST,
    MAX_BUFFERED_BYTES,
    EventRateLimiter,
    LineSink,
)


def test_a_stalled_reader_does_not_block_writes() -> None:
    # When the log collector stalls, the pipe fills up, and a blocking write
    # would stop the whole process.
    reading, writing = os.pipe()
    sink = LineSink(writing)
    line = "x" * 999
    for _ in range(2 * MAX_BUFFERED_BYTES // 1000):
        sink.write(line)
    assert sink.dropped > 0
    taken = os.read(reading, 1 << 20)
    sink.flush()
    taken += os.read(reading, 1 << 20)
    assert set(taken.split(b"\n")[:-1]) == {line.encode()}
    os.close(reading)
    sink.write("nobody reads")
    os.close(writing)


def test_lines_beyond_the_rate_limit_are_dropped_and_counted() -> None:
    clock = ManualClock()
    bound = EventRateLimiter(clock.monotonic_s)

    def log(kind: str) -> Any:
        return bound(None, "info", {"event": kind})

    for _ in range(int(LINES_BURST)):
        log("request_refused")
    for _ in range(3):
        with pytest.raises(DropEvent):
            log("request_refused")
    log("lease_taken")
    clock.advance(1.0)
    assert log("request_refused")["left_out"] == 3
    assert "left_out" not in log("request_refused")
