"""A call that is made at once after a pause, and once for all that follow soon."""

import asyncio
from collections.abc import Callable


class PacedCall:
    """Make a call when asked to, but no two within an interval.

    The first one after a pause is made at once; what is asked for during the
    interval after a call is one more call at its end. An interval of 0 paces nothing.
    """

    def __init__(
        self, call: Callable[[], None], *, interval_s: Callable[[], float]
    ) -> None:
        self._call = call
        self._interval_s = interval_s
        self._throttled = False
        self._call_pending = False

    def ask(self) -> None:
        """Make the call now, or at the end of the interval."""
        if self._throttled:
            self._call_pending = True
            return
        interval_s = self._interval_s()
        if interval_s > 0:
            self._throttled = True
            asyncio.get_running_loop().call_later(interval_s, self._end_interval)
        self._call()

    def _end_interval(self) -> None:
        self._throttled = False
        if self._call_pending:
            self._call_pending = False
            self.ask()
