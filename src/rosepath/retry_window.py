"""Sliding-window limit on the retries that each entry VM may send."""

import math
from bisect import bisect_left, insort
from dataclasses import dataclass, field

from rosepath.clock import Clock

# Keeps the sum of all VMs' slack below the limit while VMs that were added are
# not known everywhere yet, and some divide the slack by too small a number.
SLACK_USED = 0.7
# Retries sent within this share of a window are counted as one burst, which
# bounds the work of each decision independently of the traffic.
BURST_SHARE = 0.02


@dataclass(slots=True, kw_only=True)
class _Burst:
    """Count the retries sent close together."""

    first_s: float
    last_s: float
    count: int = 1


@dataclass(slots=True, kw_only=True)
class RetryWindow:
    """Limit retries of a service to a ratio of own requests, plus slack.

    The VMs share no state: each derives its allowance from the requests that
    it received itself, so that their sum keeps to the ratio. For this, all VMs
    assign requests to windows by the same rule: a window counts the requests
    from half its length before its start to half its length after its start.
    If each VM counted the requests of its own previous window instead, callers
    that move to another VM would be counted at both VMs.
    """

    clock: Clock
    ratio: float
    slack: float
    window_s: float
    vms: int = 1
    # The slack is not used before. What an earlier process of this VM sent is
    # unknown, and so are the other VMs at first.
    slack_from_s: float = -math.inf
    # Retries reserved but not sent yet, for example while waiting for a
    # server.
    _reserved: int = 0
    _requests_s: list[float] = field(default_factory=list)
    _bursts: list[_Burst] = field(default_factory=list)

    def note_request(self, *, age_s: float = 0.0) -> None:
        """Record a request that arrived from a caller so long ago.

        What a VM that stood still reads late allows retries in the windows in which
        it arrived, as it does for the VMs that did not stand still.
        """
        self._expire()
        insort(self._requests_s, self.clock.monotonic_s() - max(0.0, age_s))

    def reserve(self) -> bool:
        """Reserve one retry to be sent later; return False if none is left."""
        if self.available < 1:
            return False
        self._reserved += 1
        return True

    def release(self) -> None:
        """Return a reserved retry that will not be sent."""
        self._reserved -= 1

    def consume(self) -> bool:
        """Count a reserved retry as sent now, unless the budget no longer allows it.

        It may have been reserved in a window with more requests than those that
        contain the present. Return whether it may be sent; the reservation ends.
        """
        self._reserved -= 1
        if self._unsent < 1:
            return False
        now_s = self.clock.monotonic_s()
        last = self._bursts[-1] if self._bursts else None
        if last is None or now_s - last.first_s > BURST_SHARE * self.window_s:
            self._bursts.append(_Burst(first_s=now_s, last_s=now_s))
        else:
            last.last_s = now_s
            last.count += 1
        return True

    @property
    def available(self) -> float:
        """Return how many retries may be reserved now."""
        return self._unsent - self._reserved

    @property
    def _unsent(self) -> float:
        """Return how many retries may be sent now, reserved or not."""
        self._expire()
        now_s = self.clock.monotonic_s()
        # Every window that contains the present must allow the retries sent
        # since its start. For each burst, this lists the earliest start of a
        # window that contains the burst but not the previous one.
        earliest_starts_s = [
            now_s - self.window_s,
            *(burst.last_s for burst in self._bursts),
        ]
        available = self._allowance_from(now_s)
        sent = 0
        for burst, earliest_s in zip(
            reversed(self._bursts), reversed(earliest_starts_s[:-1]), strict=True
        ):
            sent += burst.count
            starts_s = (earliest_s, burst.first_s, burst.last_s)
            available = min(available, min(map(self._allowance_from, starts_s)) - sent)
        return available

    def _allowance_from(self, start_s: float) -> float:
        """Return the retries that the requests so far allow in a window."""
        half_s = self.window_s / 2
        requests = bisect_left(self._requests_s, start_s + half_s) - bisect_left(
            self._requests_s, start_s - half_s
        )
        return self.ratio * requests + self._usable_slack

    @property
    def _usable_slack(self) -> float:
        """Return this VM's part of the slack, once it may be used."""
        if self.clock.monotonic_s() < self.slack_from_s:
            return 0.0
        return SLACK_USED * self.slack / self.vms

    def _expire(self) -> None:
        """Drop entries that affect no window containing the present."""
        old_s = self.clock.monotonic_s() - self.window_s
        while self._bursts and self._bursts[0].last_s <= old_s:
            del self._bursts[0]
        old_s -= self.window_s / 2
        del self._requests_s[: bisect_left(self._requests_s, old_s)]
