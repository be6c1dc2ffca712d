"""A token bucket that returns the time to wait instead of sleeping."""

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

    def take(self, now_s: float) -> float:
        """Take a token and return 0, or return the seconds to the next one."""
        if self.level is None:
            self.level, self.at_s = self.burst, now_s
        refill = max(0.0, now_s - self.at_s) * self.rate_per_s
        self.level = min(self.burst, self.level + refill)
        self.at_s = now_s
        if self.level >= 1 - 1e-9:
            self.level -= 1
            return 0.0
        return (1 - self.level) / self.rate_per_s
