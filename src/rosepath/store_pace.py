"""How closely an entry VM follows the store: what the holder tells spares calls.

Each answer to a watch is a call that costs, and servers' entries change several
times a second. The lease's holder follows them closely and tells all others
which servers leave and what engines hold; as long as its word is fresh, they
look for the rest now and then. Without it each looks for itself.
"""

from dataclasses import dataclass

from rosepath.feed import Pace

# A burst of changes is taken together; a VM on its own loses that much of the
# time in which a leaving server must be known.
GATHER_S = 0.25
GATHER_CROWDED_S = 1.0
# What the holder does not tell are new servers, mostly.
GATHER_TOLD_S = 3.0
GATHER_TOLD_CROWDED_S = 8.0
# A watch that ends so often needs no other sign of life: a connection that has
# gone silent is found this long after.
ALONE_WAIT_S = 2.0
ALONE_WAIT_CROWDED_S = 4.0
# Where others tell the revisions they know, a silent one is found by those. The
# store keeps 20 s of history, and a watch begins up to 8 s after the last.
TOLD_WAIT_S = 10.0
# While the store fails, others say when it is back or has news.
BACKOFF_ALONE_S = 0.5
BACKOFF_TOLD_S = 2.0
# The holder's word counts as fresh for so long after it, as is left of the time
# in which a leaving server must be known, less a look at the store.
FRESH_S = 0.9
FRESH_CROWDED_S = 2.0
# The holder writes to the store every 0.6 s; one that has not reached it for so
# long does not know who leaves.
HOLDER_IN_TOUCH_S = 1.3


@dataclass(frozen=True, slots=True, kw_only=True)
class HolderWord:
    """Tell how long ago the holder spoke, and how long it misses the store."""

    age_s: float
    store_ago_s: float

    def fresh(self, *, crowded: bool) -> bool:
        """Tell whether it may stand for a look at the store."""
        limit_s = FRESH_CROWDED_S if crowded else FRESH_S
        return self.age_s < limit_s and self.store_ago_s < HOLDER_IN_TOUCH_S


def servers_pace(word: HolderWord | None, *, crowded: bool) -> Pace:
    """Return how a VM follows the servers' entries."""
    if word is not None and word.fresh(crowded=crowded):
        return Pace(
            wait_s=TOLD_WAIT_S,
            gather_s=GATHER_TOLD_CROWDED_S if crowded else GATHER_TOLD_S,
            backoff_max_s=BACKOFF_TOLD_S,
        )
    return Pace(
        wait_s=ALONE_WAIT_CROWDED_S if crowded else ALONE_WAIT_S,
        gather_s=GATHER_CROWDED_S if crowded else GATHER_S,
        backoff_max_s=BACKOFF_TOLD_S if crowded else BACKOFF_ALONE_S,
    )


def catalog_pace(word: HolderWord | None, *, crowded: bool) -> Pace:
    """Return how a VM follows the configuration, which changes seldom."""
    told = word is not None and word.fresh(crowded=crowded)
    alone_s = ALONE_WAIT_CROWDED_S if crowded else ALONE_WAIT_S
    return Pace(
        wait_s=TOLD_WAIT_S if told else alone_s,
        gather_s=GATHER_S,
        backoff_max_s=BACKOFF_TOLD_S if told or crowded else BACKOFF_ALONE_S,
    )
