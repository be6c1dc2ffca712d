"""Each entry VM's part of the one retry budget that all share."""

from collections import deque
from dataclasses import dataclass, field

from rosepath.clock import Clock

# All VMs' parts of the slack together stay below it, as VMs may not know of
# each other for a moment and then reckon with too few.
SLACK_USED = 0.7


@dataclass(slots=True, kw_only=True)
class RetryWindow:
    """Allow repeats of one service: a ratio of own requests, and some slack.

    Nothing is shared between VMs: each spends by the requests that it took
    itself, so the sum keeps to the ratio whatever the others do.
    """

    clock: Clock
    ratio: float
    slack: float
    window_s: float
    vms: int = 1
    _requests: deque[float] = field(default_factory=deque)
    _repeats: deque[float] = field(default_factory=deque)

    def note_request(self) -> None:
        """Note a request that a caller sent."""
        self._requests.append(self.clock.monotonic_s())

    def spend(self) -> bool:
        """Take one repeat, or return False."""
        if self.left < 1:
            return False
        self._repeats.append(self.clock.monotonic_s())
        return True

    @property
    def left(self) -> float:
        """Return how many repeats may be made now."""
        old_s = self.clock.monotonic_s() - self.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < old_s:
                times.popleft()
        allowed = self.ratio * len(self._requests) + SLACK_USED * self.slack / self.vms
        return allowed - len(self._repeats)
