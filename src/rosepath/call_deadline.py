"""A call timeout that can be extended while the response arrives."""

import asyncio
from typing import Any


class CallDeadline:
    """Cancel a call that has neither ended nor been extended in time."""

    def __init__(self, call: asyncio.Future[Any], *, limit_s: float) -> None:
        self._call = call
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(limit_s, self._expire)

    def extend(self, limit_s: float) -> None:
        """Restart the timer with a new limit."""
        self._timer.cancel()
        self._timer = self._loop.call_later(limit_s, self._expire)

    def disable(self) -> None:
        """Stop the timer, so that the call has no time limit."""
        self._timer.cancel()

    def _expire(self) -> None:
        # If the VM was paused, data that arrived meanwhile is read in the same
        # loop iteration in which the timer fires. Cancelling one iteration
        # later lets that data count.
        self._loop.call_soon(self._call.cancel)
