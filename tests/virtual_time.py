"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from typing import Any

# Initial time of every loop.
START_S = 1000.0
# Time that passes while tasks run. The loop takes a timer that is due within
# its resolution for due; without this, a task that waits for a shorter time
# until some moment would never reach it.
STEP_S = 1e-9


class _JumpingSelector(selectors.DefaultSelector):
    """Report no events and advance the clock by the timeout."""

    now_s = START_S

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is pending")
        self.now_s += max(STEP_S, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run tasks on a virtual clock; they must not use sockets."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s


def now_s() -> float:
    """Return the running loop's time."""
    return asyncio.get_running_loop().time()


class LoopClock:
    """Read the running loop's clock."""

    def monotonic_s(self) -> float:
        return now_s()

    def wall_s(self) -> float:
        return self.monotonic_s()
