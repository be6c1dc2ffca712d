"""Which servers left lately, as one entry VM tells the others."""

from collections.abc import Iterable

from rosepath.clock import Clock
from rosepath.fleet import LeavingServer

# Longer than a VM hears nothing of a holder that lives, five lost words in a
# row at the widest interval.
TOLD_S = 5.0
# As many as a datagram holds once compressed, at some 25 bytes each.
LEAVES_TOLD = 40


class LeaveLog:
    """Hold the leaves that this VM learned of, by when it did."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # In the order in which they were learned.
        self._learned: dict[str, tuple[float, LeavingServer]] = {}

    def note(self, leave: LeavingServer) -> None:
        """Note a leave that was not known before."""
        self._forget_old()
        self._learned.pop(leave.name, None)
        self._learned[leave.name] = (self._clock.monotonic_s(), leave)

    def told(self) -> tuple[tuple[LeavingServer, ...], float]:
        """Return the latest leaves, and since how long ago they are all of them."""
        self._forget_old()
        learned = list(self._learned.values())
        left_out, told = learned[:-LEAVES_TOLD], learned[-LEAVES_TOLD:]
        complete_ago_s = TOLD_S
        if left_out:
            complete_ago_s = self._clock.monotonic_s() - left_out[-1][0]
        return _leaves(told), complete_ago_s

    def _forget_old(self) -> None:
        limit_s = self._clock.monotonic_s() - TOLD_S
        while self._learned:
            name, (learned_s, _) = next(iter(self._learned.items()))
            if learned_s >= limit_s:
                return
            del self._learned[name]


def _leaves(
    learned: Iterable[tuple[float, LeavingServer]],
) -> tuple[LeavingServer, ...]:
    return tuple(leave for _, leave in learned)
