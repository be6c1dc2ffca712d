"""A token bucket that tells how long to wait instead of waiting itself."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class TokenBucket:
    """Allow `rate_per_s` on average and `burst` at once."""

    rate_per_s: float
    burst: float
    level: float | None = None
    at_s: float = 0.0

    def take(self, now_s: float) -> float:
        """Take a token and return 0, or return the seconds until one is there."""
        if self.level is None:
            self.level, self.at_s = self.burst, now_s
        refill = max(0.0, now_s - self.at_s) * self.rate_per_s
        self.level = min(self.burst, self.level + refill)
        self.at_s = now_s
        if self.level >= 1 - 1e-9:
            self.level -= 1
            return 0.0
        return (1 - self.level) / self.rate_per_s
