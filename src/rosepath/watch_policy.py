"""Policies for how closely an entry VM watches the store.

Each response to a watch is a billed call, and servers' entries change several
times a second. The holder of the placement lease watches them closely and
sends all other entry VMs which servers leave and which models the engines have
loaded. While its messages confirm that its own table is current, the others
read the rest infrequently. Without them, each entry VM watches the store
itself.

VMs covered by these messages may use relaxed watches, at a tenth of the price.
Their responses may be seconds old, but the messages cover the changes that are
urgent.

All times are parts of one limit: how soon a change must be acted on. No table
in use is older than that limit, less the time for a store read of the VM's
own.
"""

import math
from dataclasses import dataclass

from rosepath.store_watcher import WatchPolicy

# A store read takes a few milliseconds, a failed one half a second; that one
# is due is detected within a quarter of a second.
READ_TIME_S = 0.8
# Bursts of changes are batched. A VM that the lease holder's messages cover
# batches for longer, as mostly new servers are missing from those messages.
GATHER_S = 0.25
GATHER_LARGE_FLEET_SHARE = 0.25
GATHER_COVERED_S = 3.0
GATHER_COVERED_LARGE_FLEET_S = 8.0
# A watch without changes confirms nothing until it ends. The table that the
# lease holder's messages cover is as old as its wait plus the message
# interval, and must stay recent enough when one message is lost.
WAIT_SHARE = 0.4
# One of two consecutive messages may be lost. Where messages are infrequent
# and the limit is short, waits are never below this share of the limit.
MESSAGE_INTERVALS = 2
WAIT_MIN_SHARE = 0.1
# A VM covered by messages detects a dead watch by them. The store keeps 20 s
# of history, and a watch begins up to 8 s after the previous one.
COVERED_WAIT_S = 10.0
# A configuration may be large. Read by many VMs at once, it saturates the
# store's link and delays callers' streams on slow links; configurations
# fetched from peers are compressed.
COPY_WAIT_LARGE_FLEET_S = 1.0
# While the store fails, covered VMs learn from messages of its recovery or
# changes.
BACKOFF_UNCOVERED_S = 0.5
BACKOFF_COVERED_S = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchConditions:
    """Hold the conditions from which an entry VM chooses its watch policy.

    `reported_age_s` is the age of the table that the lease holder's messages
    cover, `staleness_limit_s` how soon a change must be acted on,
    `message_interval_s` the interval of this VM's own messages (0 if it does
    not hold the lease), `large_fleet` whether it is one of many VMs that do
    not hold it.
    """

    staleness_limit_s: float
    large_fleet: bool = False
    reported_age_s: float = math.inf
    message_interval_s: float = 0.0

    @property
    def covered(self) -> bool:
        """Return whether the lease holder's messages replace store reads."""
        return self.reported_age_s < self.staleness_limit_s - READ_TIME_S

    @property
    def wait_s(self) -> float:
        """Return how long a watch may wait that no messages replace."""
        messages_s = MESSAGE_INTERVALS * self.message_interval_s
        recent_s = max(
            self.staleness_limit_s * WAIT_MIN_SHARE,
            self.staleness_limit_s - READ_TIME_S - messages_s,
        )
        return min(WAIT_SHARE * self.staleness_limit_s, recent_s)


def servers_watch_policy(following: WatchConditions) -> WatchPolicy:
    """Return the policy for watching the servers' entries."""
    if following.covered:
        large_fleet = following.large_fleet
        return WatchPolicy(
            wait_s=COVERED_WAIT_S,
            gather_s=GATHER_COVERED_LARGE_FLEET_S if large_fleet else GATHER_COVERED_S,
            backoff_max_s=BACKOFF_COVERED_S,
            relaxed=True,
        )
    if following.large_fleet:
        return WatchPolicy(
            wait_s=following.wait_s,
            gather_s=GATHER_LARGE_FLEET_SHARE * following.staleness_limit_s,
            backoff_max_s=BACKOFF_COVERED_S,
        )
    return WatchPolicy(
        wait_s=following.wait_s,
        gather_s=GATHER_S,
        backoff_max_s=BACKOFF_UNCOVERED_S,
    )


def catalog_watch_policy(following: WatchConditions) -> WatchPolicy:
    """Return the policy for watching the rarely changed configuration."""
    covered, large_fleet = following.covered, following.large_fleet
    return WatchPolicy(
        wait_s=COVERED_WAIT_S if covered else following.wait_s,
        gather_s=GATHER_S,
        backoff_max_s=BACKOFF_COVERED_S
        if covered or large_fleet
        else BACKOFF_UNCOVERED_S,
        relaxed=covered,
        copy_wait_s=COPY_WAIT_LARGE_FLEET_S if large_fleet else 0.0,
    )
