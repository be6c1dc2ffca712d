"""Each entry VM's part of the one retry budget that all share."""

from bisect import bisect_left
from dataclasses import dataclass, field

from rosepath.clock import Clock

# All VMs' parts of the slack together stay below it, as VMs may not know of
# each other for a moment and then reckon with too few.
SLACK_USED = 0.7
# Repeats made within so small a share of a window are counted as one burst, so
# that the work of a decision doesn't grow with the traffic.
BURST_SHARE = 0.02


@dataclass(slots=True, kw_only=True)
class _Burst:
    """Count the repeats of a moment."""

    first_s: float
    last_s: float
    count: int = 1


@dataclass(slots=True, kw_only=True)
class RetryWindow:
    """Allow repeats of one service: a ratio of own requests, and some slack.

    Nothing is shared between VMs: each spends by the requests that it took
    itself, so the sum keeps to the ratio whatever the others do. That takes one
    rule for all as to which requests a window of repeats goes by: those from half
    a window before it began to half a window after. By the requests of the last
    window, callers that move to other VMs would be counted at both.
    """

    clock: Clock
    ratio: float
    slack: float
    window_s: float
    vms: int = 1
    # Repeats that were taken and are not sent yet; a server may have to be waited
    # for, and only their arrival counts.
    _held: int = 0
    _requests_s: list[float] = field(default_factory=list)
    _bursts: list[_Burst] = field(default_factory=list)

    def note_request(self) -> None:
        """Note a request that a caller sent."""
        self._forget()
        self._requests_s.append(self.clock.monotonic_s())

    def hold(self) -> bool:
        """Take one repeat to be sent later, or return False."""
        if self.left < 1:
            return False
        self._held += 1
        return True

    def release(self) -> None:
        """Give back a repeat that was held and won't be sent."""
        self._held -= 1

    def send(self) -> None:
        """Count a repeat that was held as made now."""
        self._held -= 1
        now_s = self.clock.monotonic_s()
        last = self._bursts[-1] if self._bursts else None
        if last is None or now_s - last.first_s > BURST_SHARE * self.window_s:
            self._bursts.append(_Burst(first_s=now_s, last_s=now_s))
        else:
            last.last_s = now_s
            last.count += 1

    @property
    def left(self) -> float:
        """Return how many repeats may be made now."""
        self._forget()
        now_s = self.clock.monotonic_s()
        # Every window that holds this moment has to bear what was made since it
        # began; the first of them began a window ago, or right after a burst.
        began_s = [now_s - self.window_s, *(burst.last_s for burst in self._bursts)]
        left = self._allowed_from(now_s)
        made = 0
        for burst, after_s in zip(
            reversed(self._bursts), reversed(began_s[:-1]), strict=True
        ):
            made += burst.count
            starts_s = (after_s, burst.first_s, burst.last_s)
            left = min(left, min(map(self._allowed_from, starts_s)) - made)
        return left - self._held

    def _allowed_from(self, start_s: float) -> float:
        """Return how many repeats a window bears by what is known of it so far."""
        half_s = self.window_s / 2
        requests = bisect_left(self._requests_s, start_s + half_s) - bisect_left(
            self._requests_s, start_s - half_s
        )
        return self.ratio * requests + SLACK_USED * self.slack / self.vms

    def _forget(self) -> None:
        """Drop what no window that holds this moment goes by."""
        old_s = self.clock.monotonic_s() - self.window_s
        while self._bursts and self._bursts[0].last_s <= old_s:
            del self._bursts[0]
        old_s -= self.window_s / 2
        del self._requests_s[: bisect_left(self._requests_s, old_s)]
