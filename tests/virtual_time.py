"""An event loop whose time jumps to the next timer: waits take no time at all."""

import asyncio
import selectors
from typing import Any

# Where the time of every run begins.
START_S = 1000.0


class _JumpingSelector(selectors.DefaultSelector):
    """Find nothing to read, and let the time pass instead of waiting."""

    now_s = START_S

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("every task waits for something that never comes")
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run tasks on a time of its own; nothing in them may touch a socket."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s


def now_s() -> float:
    """Return the running loop's time."""
    return asyncio.get_running_loop().time()


class LoopClock:
    """Tell the running loop's time."""

    def monotonic_s(self) -> float:
        return now_s()

    def wall_s(self) -> float:
        return self.monotonic_s()
