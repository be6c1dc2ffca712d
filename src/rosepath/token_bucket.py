"""A token bucket that returns the time to wait instead of sleeping."""

import math
from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class TokenBucket:
    """Allow `rate_per_s` on average and bursts of `burst`.

    A bucket whose `level` is None is full at its first use.
    """

    rate_per_s: float
    burst: float
    level: float | None = None
    at_s: float = 0.0

    def take(self, now_s: float, amount: float = 1.0) -> float:
        """Take tokens and return 0, or return the seconds until they are there.

        More than the burst is taken from a full bucket, which later refills
        pay for.
        """
        level = self.refill(now_s)
        needed = min(amount, self.burst)
        if level >= needed - 1e-9:
            self.level = level - amount
            return 0.0
        if self.rate_per_s <= 0:
            return math.inf
        return (needed - level) / self.rate_per_s

    def refill(self, now_s: float) -> float:
        """Add the tokens due by now and return the level."""
        if self.level is None:
            self.level, self.at_s = self.burst, now_s
        refill = max(0.0, now_s - self.at_s) * self.rate_per_s
        self.level = min(self.burst, self.level + refill)
        self.at_s = now_s
        return self.level

    def give_back(self, amount: float) -> None:
        """Return tokens that were taken and not used."""
        if self.level is not None:
            self.level = min(self.burst, self.level + amount)

    def resize(self, now_s: float, *, rate_per_s: float, burst: float) -> None:
        """Change the limits from now on."""
        self.refill(now_s)
        self.rate_per_s, self.burst = rate_per_s, burst
