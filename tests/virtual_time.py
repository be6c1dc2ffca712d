"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from typing import Any

# Initial time of every loop.
START_S = 1000.0
# The loop takes a timer that is due within its resolution for due, so that a
# task which waits for a shorter time until some moment would never reach it.
# After so many turns at one moment, the clock moves on by the resolution.
MAX_TURNS = 10_000
STEP_S = 1e-9


class _JumpingSelector(selectors.DefaultSelector):
    """Report no events and advance the clock by the timeout."""

    now_s = START_S
    turns = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is pending")
        self.turns = self.turns + 1 if timeout <= 0.0 else 0
        if self.turns > MAX_TURNS:
            self.turns, timeout = 0, STEP_S
        self.now_s += max(0.0, timeout)
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
