"""Learn how long the runs of each route take; no I/O."""

from dataclasses import dataclass, field

# The gains and the margin with which TCP estimates its round trips (RFC 6298).
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4


@dataclass(slots=True)
class _Estimate:
    """Hold the smoothed duration of runs and its mean deviation."""

    mean_s: float
    deviation_s: float

    def update(self, took_s: float) -> None:
        """Apply the duration of a run."""
        error_s = took_s - self.mean_s
        self.deviation_s += DEVIATION_GAIN * (abs(error_s) - self.deviation_s)
        self.mean_s += MEAN_GAIN * error_s


@dataclass(slots=True)
class RunDurations:
    """Own what is known of the runs of each route, from those that completed."""

    _estimates: dict[str, _Estimate] = field(default_factory=dict)

    def note_completed(self, route: str, *, took_s: float) -> None:
        """Record how long a run took, from its sending to its end."""
        known = self._estimates.get(route)
        if known is None:
            self._estimates[route] = _Estimate(took_s, took_s / 2)
        else:
            known.update(took_s)

    def longest_s(self, route: str) -> float | None:
        """Return what hardly a run of a route exceeds; None if none is known."""
        known = self._estimates.get(route)
        return None if known is None else known.mean_s + DEVIATIONS * known.deviation_s
