"""Time sources, injected so that decisions can be tested without waiting."""

import time
from typing import Protocol


class Clock(Protocol):
    """Give monotonic and wall time in seconds."""

    def monotonic_s(self) -> float: ...

    def wall_s(self) -> float: ...


class SystemClock:
    """Read the system's monotonic and wall clocks."""

    def monotonic_s(self) -> float:
        return time.monotonic()

    def wall_s(self) -> float:
        return time.time()


class BootClock(SystemClock):
    """Also count the time for which the machine is suspended.

    A lease expires while its holder is suspended. By a clock that stops
    meanwhile, the holder would resume and still consider its lease valid.
    """

    def monotonic_s(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Provide a time that only `advance` changes, for tests."""

    def __init__(self, *, start_s: float = 1000.0) -> None:
        self.now_s = start_s

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_s(self) -> float:
        return self.now_s

    def advance(self, seconds_s: float) -> None:
        self.now_s += seconds_s
