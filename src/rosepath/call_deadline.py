"""A deadline of a call that moves on as its answer arrives."""

import asyncio
from typing import Any


class CallDeadline:
    """Cancel a call unless it ends, or is put off, in time."""

    def __init__(self, call: asyncio.Future[Any], *, limit_s: float) -> None:
        self._call = call
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(limit_s, self._expire)

    def put_off(self, limit_s: float) -> None:
        """Let the call go on for a time that begins anew."""
        self._timer.cancel()
        self._timer = self._loop.call_later(limit_s, self._expire)

    def lift(self) -> None:
        """Let the call go on for as long as it takes."""
        self._timer.cancel()

    def _expire(self) -> None:
        # What arrived while the VM itself stood still is read in the turn of the
        # loop in which the timer is due: it counts, a turn later.
        self._loop.call_soon(self._call.cancel)
