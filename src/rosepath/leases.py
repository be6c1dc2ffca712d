"""Leases kept in the store, safe against paused holders and lost replies.

No wall clock is compared between machines. The holder counts its time from
before the write that took or renewed the lease; others take it over only
after they saw the same version for longer than that, on their own clocks.
"""

import json
from dataclasses import asdict, dataclass
from enum import StrEnum

from expression import Error, Ok, Result

from rosepath.object_store import StoredObject

# Holders of earlier terms that a lease names; of more, the oldest held it
# longer ago than any turn takes.
BEFORE_KEPT = 8


# Stands for the holder of a lease that can't be read: nobody this node knows,
# who may act until the lease would have lapsed.
UNKNOWN_HOLDER = "?"

# Fences between two terms: one for each holder by word alone. The next term is
# taken from the store, which may know nothing of them, and must come after.
FENCES_A_TERM = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class LeasePolicy:
    """Set how long a lease lasts and how early its holder stops trusting it."""

    duration_s: float
    margin_s: float
    # How long after the last act of one holder the next one may act first: an
    # act that was sent last has arrived by then, or never will.
    handover_s: float = 0.0
    # The same for a holder of an earlier term. Holders that take turns quickly
    # look like two masters to those they order; each in its turn does not.
    turn_s: float = 0.0
    # For how long others keep off the lease of a holder after a word of it: it may
    # act for so long without having renewed.
    backed_s: float = 0.0
    # How long after a renewal the next one is due, and how long after a look
    # at another's lease the next look; by default half and a quarter.
    renew_s: float | None = None
    look_s: float | None = None

    @property
    def renewed_after_s(self) -> float:
        return self.duration_s / 2 if self.renew_s is None else self.renew_s

    @property
    def looked_after_s(self) -> float:
        return self.duration_s / 4 if self.look_s is None else self.look_s


@dataclass(slots=True, kw_only=True)
class LeaseRow:
    """Hold what this node knows of one lease."""

    name: str
    version: int = 0
    holder: str = ""
    term: int = 0
    seen_at_s: float = -1e9
    held_until_s: float = -1e9
    act_from_s: float = -1e9
    # Who held earlier terms, the latest first.
    before: tuple[str, ...] = ()
    # How often this term was passed on by word alone.
    passed_on: int = 0

    @property
    def fence(self) -> int:
        """Return the number that orders the acts of all holders."""
        return self.term * FENCES_A_TERM + self.passed_on

    def valid(
        self, *, now_s: float, policy: LeasePolicy, backed_until_s: float = -1e9
    ) -> bool:
        """Tell whether this node may act as holder right now."""
        until_s = max(self.held_until_s, backed_until_s) - policy.margin_s
        return self.act_from_s <= now_s < until_s

    def remaining_s(self, *, now_s: float) -> float:
        """Return the seconds left of an own lease."""
        return max(0.0, self.held_until_s - now_s)


class LeaseAction(StrEnum):
    """Say what to do about a lease now."""

    WAIT = "wait"
    READ = "read"
    RENEW = "renew"
    ACQUIRE = "acquire"


def lease_action(
    row: LeaseRow,
    *,
    me: str,
    wanted: bool,
    now_s: float,
    policy: LeasePolicy,
    backed_until_s: float = -1e9,
) -> LeaseAction:
    """Decide the next step for a lease that this node wants or holds."""
    if row.holder == me and max(row.held_until_s, backed_until_s) > now_s:
        renew_at_s = row.held_until_s - policy.duration_s + policy.renewed_after_s
        return LeaseAction.RENEW if now_s >= renew_at_s else LeaseAction.WAIT
    if not wanted:
        return LeaseAction.WAIT
    if now_s - row.seen_at_s < policy.looked_after_s:
        return LeaseAction.WAIT
    return LeaseAction.READ


@dataclass(frozen=True, slots=True, kw_only=True)
class Resignation:
    """Hold a holder's word that it no longer acts under a version.

    `acted_s` is the local time by which its last act was over.
    """

    version: int
    acted_s: float


def may_take_over(
    row: LeaseRow,
    *,
    me: str,
    now_s: float,
    first_seen_s: float,
    policy: LeasePolicy,
    resigned: Resignation | None = None,
) -> bool:
    """Tell whether a lease seen unchanged since `first_seen_s` is free."""
    if row.version == 0 or not row.holder or row.holder == me:
        return True
    if resigned is not None and resigned.version == row.version:
        return True
    return now_s - first_seen_s > policy.duration_s + policy.margin_s


def act_from_s(
    row: LeaseRow,
    *,
    me: str,
    first_seen_s: float,
    policy: LeasePolicy,
    resigned: Resignation | None = None,
    last_word_s: float = -1e9,
) -> float:
    """Return when the next holder may first act, so that no two take turns.

    An act of the holder before may have left just before its lease ended.
    `last_word_s` is when a holder was last heard.
    """
    if row.holder == me:
        # A write of this node may have been carried out though no answer came: it
        # waits as it did when it wrote. One that just started has nothing to wait for.
        return row.act_from_s
    pause_s = policy.turn_s if me in row.before else policy.handover_s
    if row.version == 0 or not pause_s:
        return -1e9
    if resigned is not None and resigned.version >= row.version:
        return resigned.acted_s + pause_s
    if not row.holder:
        return first_seen_s + pause_s
    # The holder acts no later than its margin before the end: that of its lease, or
    # of the time for which its last word keeps others off.
    ends_s = max(first_seen_s + policy.duration_s, last_word_s + policy.backed_s)
    return ends_s - policy.margin_s + pause_s


def holders_before(row: LeaseRow, *, me: str) -> tuple[str, ...]:
    """Return who held a lease before a node that takes it now."""
    names = dict.fromkeys((row.holder, *row.before))
    return tuple(name for name in names if name not in ("", me))[:BEFORE_KEPT]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecord:
    """Hold a lease as it is stored; an empty holder means it was given up.

    `quarantined` names requests that crash servers. Nothing else outlives all entry
    VMs, and each of them reads the lease as it starts.
    """

    holder: str
    term: int
    nonce: str
    before: tuple[str, ...] = ()
    quarantined: tuple[str, ...] = ()


_UNREADABLE = (ValueError, KeyError, TypeError, OverflowError, RecursionError)


def encode_lease(record: LeaseRecord) -> bytes:
    """Encode a lease."""
    return json.dumps(asdict(record), sort_keys=True).encode()


def decode_lease(stored: StoredObject) -> Result[LeaseRecord, str]:
    """Decode a stored lease."""
    try:
        raw = json.loads(stored.value)
        if not isinstance(raw, dict):
            return Error(f"lease {stored.name} is not an object")
        record = LeaseRecord(
            holder=str(raw["holder"]),
            term=int(raw["term"]),
            nonce=str(raw["nonce"]),
            before=tuple(map(str, raw.get("before", ()))),
            quarantined=tuple(map(str, raw.get("quarantined", ()))),
        )
        return Ok(record)
    except _UNREADABLE as error:
        return Error(f"lease {stored.name} cannot be read: {error}")
