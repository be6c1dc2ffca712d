"""Find the kinds of requests that are served far less often than others."""

from collections.abc import Hashable
from dataclasses import dataclass, field

# A kind is owed service below this part of the best served kind's share, so
# that rank decides who goes first and not who is never served.
FLOOR_SHARE = 1 / 3
# The weight of one request in a kind's share. The first few weigh more: a rare
# kind would starve for long until ten of its requests have shown it.
SHARE_LEARNING_RATE = 0.1
# A kind without requests for so long is no measure for others.
SHARE_LASTS_S = 5.0
# Its own share is remembered for longer, as requests of rare kinds are far apart.
KIND_LASTS_S = 60.0


@dataclass(slots=True)
class _ServedShare:
    share: float = 1.0
    requests: int = 0
    noted_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class ServiceFloors:
    """Own the share of requests of each kind that were served in time.

    Only shares are kept, so that a kind with many requests has no more claim
    than one with few. What is owed takes at most every other turn, so that a
    flood of one kind leaves room for the others.
    """

    _kinds: dict[Hashable, _ServedShare] = field(default_factory=dict)
    _last_was_owed: bool = False

    def note(self, kind: Hashable, *, served: bool, now_s: float) -> None:
        """Count a request that got a server, or that can't be in time now."""
        kept = self._kinds.setdefault(kind, _ServedShare())
        kept.requests += 1
        weight = max(SHARE_LEARNING_RATE, 1 / (kept.requests + 1))
        kept.share += weight * (served - kept.share)
        kept.noted_s = now_s

    def note_turn(self, *, was_owed: bool) -> None:
        """Record whether the last assignment was one that a kind was owed."""
        self._last_was_owed = was_owed

    def owed(self, *, now_s: float) -> frozenset[Hashable]:
        """Return the kinds whose turn it is, as they were served too seldom."""
        if self._last_was_owed:
            return frozenset()
        recent = [
            kept.share
            for kept in self._kinds.values()
            if now_s - kept.noted_s < SHARE_LASTS_S
        ]
        if not recent or len(self._kinds) < 2:
            return frozenset()
        floor = FLOOR_SHARE * max(recent)
        return frozenset(
            kind for kind, kept in self._kinds.items() if kept.share < floor
        )

    def drop_old(self, *, now_s: float) -> None:
        """Forget kinds that have had no requests for long."""
        self._kinds = {
            kind: kept
            for kind, kept in self._kinds.items()
            if now_s - kept.noted_s < KIND_LASTS_S
        }
