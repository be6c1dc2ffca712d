"""How closely an entry VM follows the store: what the holder tells spares calls.

Each answer to a watch is a call that costs, and servers' entries change several
times a second. The lease's holder follows them closely and tells all others
which servers leave and what engines hold; as long as its word says that its own
table is fresh, they look for the rest now and then. Without it each looks for
itself.

Who is told may watch with relaxed calls, at a tenth of the price: their answers
may be seconds old, but what they are trusted for is covered by the word.

All times here are shares of one: how soon a change must be acted on. What a VM
goes by is never older than that, less the time for a look of its own.
"""

import math
from dataclasses import dataclass

from rosepath.feed import Pace

# A look at the store takes a few milliseconds, one that fails half a second;
# when one is due is found out within a quarter.
READ_TIME_S = 0.8
# A burst of changes is taken together. A VM that is told of changes gathers for
# longer: what it is not told of are new servers, mostly.
GATHER_S = 0.25
GATHER_CROWDED_SHARE = 0.25
GATHER_COVERED_S = 3.0
GATHER_COVERED_CROWDED_S = 8.0
# A watch that hears nothing proves nothing until it ends. The holder's word is
# as old as its wait and the interval of words, and must stay young enough for
# the others when one word is lost.
WAIT_SHARE = 0.4
# Of two words in a row the others may miss one; where words are rare and the
# bound is short, waits are never shorter than this share of it.
MESSAGE_INTERVALS = 2
WAIT_MIN_SHARE = 0.1
# Where others tell what they know, a silent one is found by that. The store
# keeps 20 s of history, and a watch begins up to 8 s after the last.
COVERED_WAIT_S = 10.0
# A configuration may be large. Read by a whole crowd at once it fills the store's
# link and, on slow ones, keeps callers' streams waiting; copies are compressed.
COPY_WAIT_CROWDED_S = 1.0
# While the store fails, others say when it is back or has news.
BACKOFF_UNCOVERED_S = 0.5
BACKOFF_COVERED_S = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Following:
    """Say on what grounds a VM chooses its pace.

    `told_age_s` is the age of what the holder's word vouches for, `bound_s` how
    soon a change must be acted on, `words_every_s` how often this VM speaks.
    """

    bound_s: float
    crowded: bool = False
    told_age_s: float = math.inf
    words_every_s: float = 0.0

    @property
    def covered(self) -> bool:
        """Tell whether the holder's word may stand for a look at the store."""
        return self.told_age_s < self.bound_s - READ_TIME_S

    @property
    def wait_s(self) -> float:
        """Return how long a watch may wait that nobody's word stands in for."""
        words_s = MESSAGE_INTERVALS * self.words_every_s
        young_s = max(
            self.bound_s * WAIT_MIN_SHARE, self.bound_s - READ_TIME_S - words_s
        )
        return min(WAIT_SHARE * self.bound_s, young_s)


def servers_pace(following: Following) -> Pace:
    """Return how a VM follows the servers' entries."""
    if following.covered:
        crowded = following.crowded
        return Pace(
            wait_s=COVERED_WAIT_S,
            gather_s=GATHER_COVERED_CROWDED_S if crowded else GATHER_COVERED_S,
            backoff_max_s=BACKOFF_COVERED_S,
            relaxed=True,
        )
    if following.crowded:
        return Pace(
            wait_s=following.wait_s,
            gather_s=GATHER_CROWDED_SHARE * following.bound_s,
            backoff_max_s=BACKOFF_COVERED_S,
        )
    return Pace(
        wait_s=following.wait_s,
        gather_s=GATHER_S,
        backoff_max_s=BACKOFF_UNCOVERED_S,
    )


def catalog_pace(following: Following) -> Pace:
    """Return how a VM follows the configuration, which changes seldom."""
    covered, crowded = following.covered, following.crowded
    return Pace(
        wait_s=COVERED_WAIT_S if covered else following.wait_s,
        gather_s=GATHER_S,
        backoff_max_s=BACKOFF_COVERED_S if covered or crowded else BACKOFF_UNCOVERED_S,
        relaxed=covered,
        copy_wait_s=COPY_WAIT_CROWDED_S if crowded else 0.0,
    )
