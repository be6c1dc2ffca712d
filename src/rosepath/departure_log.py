"""Which servers left lately, as one entry VM tells the others."""

import math
from collections.abc import Iterable

from rosepath.clock import Clock
from rosepath.fleet import LeavingServer

# Longer than a VM hears nothing of a holder that lives, five lost words in a
# row at the widest interval.
RETENTION_S = 5.0
# As many as a datagram holds once compressed, at some 25 bytes each.
MAX_REPORTED = 40


class DepartureLog:
    """Hold the leaves that this VM learned of, by when it did."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # What left before this VM first knew the servers is not among its leaves.
        self._complete_since_s = math.inf
        # In the order in which they were learned.
        self._learned: dict[str, tuple[float, LeavingServer]] = {}

    def begin(self) -> None:
        """Note that from now on every leave is learned."""
        self._complete_since_s = min(self._complete_since_s, self._clock.monotonic_s())

    def note(self, leave: LeavingServer) -> None:
        """Note a leave that was not known before."""
        self._forget_old()
        self._learned.pop(leave.name, None)
        self._learned[leave.name] = (self._clock.monotonic_s(), leave)

    def told(self) -> tuple[tuple[LeavingServer, ...], float]:
        """Return the latest leaves, and since how long ago they are all of them."""
        self._forget_old()
        learned = list(self._learned.values())
        left_out, told = learned[:-MAX_REPORTED], learned[-MAX_REPORTED:]
        now_s = self._clock.monotonic_s()
        since_s = left_out[-1][0] if left_out else min(self._complete_since_s, now_s)
        complete_ago_s = min(RETENTION_S, now_s - since_s)
        return _leaves(told), complete_ago_s

    def _forget_old(self) -> None:
        limit_s = self._clock.monotonic_s() - RETENTION_S
        while self._learned:
            name, (learned_s, _) = next(iter(self._learned.items()))
            if learned_s >= limit_s:
                return
            del self._learned[name]


def _leaves(
    learned: Iterable[tuple[float, LeavingServer]],
) -> tuple[LeavingServer, ...]:
    return tuple(leave for _, leave in learned)
