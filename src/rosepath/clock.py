"""Time sources, injected so that decisions can be tested without waiting."""

import time
from typing import Protocol


class Clock(Protocol):
    """Give monotonic and wall time in seconds."""

    def monotonic_s(self) -> float: ...

    def wall_s(self) -> float: ...


class SystemClock:
    """Read the clocks of the machine."""

    def monotonic_s(self) -> float:
        return time.monotonic()

    def wall_s(self) -> float:
        return time.time()


class BootClock(SystemClock):
    """Count the time that the machine was suspended, too.

    A lease goes on lapsing while its holder is suspended; on a clock that
    stands still meanwhile, the holder would wake and trust it.
    """

    def monotonic_s(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Hold a time that moves only when told."""

    def __init__(self, *, start_s: float = 1000.0) -> None:
        self.now_s = start_s

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_s(self) -> float:
        return self.now_s

    def advance(self, seconds_s: float) -> None:
        self.now_s += seconds_s
