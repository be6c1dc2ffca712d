"""Leases kept in the store, safe against paused holders and lost replies.

No wall clock is compared between machines. The holder counts its time from
before the write that took or renewed the lease; others take it over only
after they saw the same version for longer than that, on their own clocks.
"""

import json
from dataclasses import dataclass
from enum import StrEnum

from expression import Error, Ok, Result

from rosepath.object_store import StoredObject


@dataclass(frozen=True, slots=True, kw_only=True)
class LeasePolicy:
    """Set how long a lease lasts and how early its holder stops trusting it."""

    duration_s: float
    margin_s: float
    # How long after the last act of one holder the next one may act first.
    handover_s: float = 0.0
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

    def valid(self, *, now_s: float, policy: LeasePolicy) -> bool:
        """Tell whether this node may act as holder right now."""
        return self.act_from_s <= now_s < self.held_until_s - policy.margin_s

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
    row: LeaseRow, *, me: str, wanted: bool, now_s: float, policy: LeasePolicy
) -> LeaseAction:
    """Decide the next step for a lease that this node wants or holds."""
    if row.holder == me and row.held_until_s > now_s:
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
) -> float:
    """Return when the next holder may first act, so that no two take turns.

    An act of the holder before may have left just before its lease ended.
    """
    if row.version == 0 or row.holder == me or not policy.handover_s:
        return -1e9
    if resigned is not None and resigned.version >= row.version:
        return resigned.acted_s + policy.handover_s
    if not row.holder:
        return first_seen_s + policy.handover_s
    # The holder acts no later than its margin before the end.
    return first_seen_s + policy.duration_s - policy.margin_s + policy.handover_s


def encode_lease(*, holder: str, term: int, nonce: str) -> bytes:
    """Encode a lease; an empty holder means it was given up."""
    raw = {"holder": holder, "term": term, "nonce": nonce}
    return json.dumps(raw, sort_keys=True).encode()


def decode_lease(stored: StoredObject) -> Result[tuple[str, int, str], str]:
    """Return holder, term and nonce of a stored lease."""
    try:
        raw = json.loads(stored.value)
        return Ok((str(raw["holder"]), int(raw["term"]), str(raw["nonce"])))
    except (ValueError, KeyError, TypeError) as error:
        return Error(f"lease {stored.name} cannot be read: {error}")
