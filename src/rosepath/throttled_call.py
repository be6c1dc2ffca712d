"""Throttle a call: run it at once, then at most once per interval."""

import asyncio
from collections.abc import Callable


class ThrottledCall:
    """Make a call on request, at most once per interval.

    A request outside an interval is served at once. All requests within the
    interval after a call are served by one call at its end. An interval of 0
    disables the throttling.
    """

    def __init__(
        self, call: Callable[[], None], *, interval_s: Callable[[], float]
    ) -> None:
        self._call = call
        self._interval_s = interval_s
        self._throttled = False
        self._call_pending = False

    def request(self) -> None:
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
            self.request()
