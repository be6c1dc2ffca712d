"""Predict when waiting requests find room, from those assigned lately."""

import random
from collections import deque
from dataclasses import dataclass, field

from rosepath.assignment import AssignmentRequest

# Assignments that a rate is taken from.
RATE_SAMPLES = 32
# Fewer assignments, or a shorter time, tell no rate.
MIN_RATE_SAMPLES = 10
MIN_RATE_S = 0.5
# Retry-After where no rate is known.
UNKNOWN_RETRY_AFTER_S = 0.5
# Callers that come back together would meet the same queue again.
RETRY_SPREAD = 0.5
MIN_RETRY_AFTER_S = 0.1
# A caller that returns later has too little time left to be served.
MAX_RETRY_SHARE = 1 / 3


@dataclass(slots=True, kw_only=True)
class RoomPrediction:
    """Own the rate at which requests that waited were assigned lately.

    Only assignments that left others waiting count: the rest tell how many
    requests arrive, not how much room there is.
    """

    _assigned_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=RATE_SAMPLES)
    )
    _next_return_s: float = 0.0

    def note_assigned(self, *, left_waiting: int, now_s: float) -> None:
        """Record an assignment, and how many requests it left waiting."""
        if left_waiting:
            self._assigned_s.append(now_s)
        else:
            self._assigned_s.clear()
            self._next_return_s = 0.0

    def rate_per_s(self, *, now_s: float) -> float | None:
        """Return the rate of assignments, None if too few are known.

        The time since the last one counts, so that the rate falls while no
        server has room.
        """
        if len(self._assigned_s) < MIN_RATE_SAMPLES:
            return None
        span_s = now_s - self._assigned_s[0]
        return len(self._assigned_s) / span_s if span_s >= MIN_RATE_S else None

    def retry_after_s(
        self,
        request: AssignmentRequest,
        *,
        waiting: int,
        now_s: float,
        rng: random.Random,
    ) -> float:
        """Return when a rejected request should come back.

        With a known rate, those rejected one after the other come back at that
        rate, once the requests that wait now have been assigned.
        """
        rate_per_s = self.rate_per_s(now_s=now_s)
        if rate_per_s is None:
            wait_s = UNKNOWN_RETRY_AFTER_S
        else:
            room_s = now_s + waiting / rate_per_s
            self._next_return_s = max(room_s, self._next_return_s + 1 / rate_per_s)
            wait_s = self._next_return_s - now_s
        limit_s = max(0.0, request.deadline_s - now_s) * MAX_RETRY_SHARE
        if wait_s * (1 + RETRY_SPREAD) > limit_s:
            wait_s = limit_s / (1 + RETRY_SPREAD)
        return max(MIN_RETRY_AFTER_S, wait_s) * (1 + rng.uniform(0.0, RETRY_SPREAD))
