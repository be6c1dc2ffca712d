"""Leases kept in the store, safe against paused holders and lost replies.

Clocks of different machines are never compared. The holder measures the
duration of its lease from before the write that acquired or renewed it. Other
VMs take the lease over only once its version has stayed unchanged for longer
than that duration, measured on their own clocks.
"""

import json
from dataclasses import asdict, dataclass
from enum import StrEnum

from expression import Error, Ok, Result

from rosepath.crash_report import RecordedCrash, decode_report, encode_report
from rosepath.json_decoding import decode_json
from rosepath.object_store import StoredObject

# Previous holders recorded in a lease. Any further ones held it longer ago
# than `LeasePolicy.turn_s`.
MAX_PREVIOUS_HOLDERS = 8
# Ends of earlier terms recorded in a lease.
MAX_TERM_ENDS = 8

# Holder of a lease that cannot be decoded: an unknown VM that may act until
# the lease would have expired.
UNKNOWN_HOLDER = "?"

# Fencing tokens per term, one for each direct handover. The store may have no
# record of direct handovers, yet the token of the next term must exceed
# theirs.
FENCES_PER_TERM = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class LeasePolicy:
    """Hold the durations that govern a lease.

    The holder stops acting `margin_s` before its lease expires.
    """

    duration_s: float
    margin_s: float
    # Minimum time between the last act of one holder and the first act of the
    # next: an order still in flight arrives within it or not at all.
    handover_s: float = 0.0
    # The same where the next holder already held an earlier term. Engines take
    # quickly alternating holders for two concurrent ones.
    turn_s: float = 0.0
    # For how long after a state message from the holder other VMs do not
    # take over its lease, so that it may act for that long without a renewal.
    extension_s: float = 0.0
    # Intervals between renewals, and between reads of a lease that another
    # VM holds; by default a half and a quarter of the duration.
    renew_s: float | None = None
    look_s: float | None = None

    @property
    def renewal_interval_s(self) -> float:
        return self.duration_s / 2 if self.renew_s is None else self.renew_s

    @property
    def read_interval_s(self) -> float:
        return self.duration_s / 4 if self.look_s is None else self.look_s


@dataclass(slots=True, kw_only=True)
class LeaseRow:
    """Hold what this VM knows of one lease.

    All times are on this VM's clock. `checked_at_s` is the time of the last
    read or write. Acts before `earliest_act_s` could overlap with those of the
    previous holder. `released_s` is when this VM released the lease, None again
    once it has acquired the lease anew: a release may fail, and the store then
    still names this VM.
    """

    name: str
    version: int = 0
    holder: str = ""
    term: int = 0
    checked_at_s: float = -1e9
    held_until_s: float = -1e9
    earliest_act_s: float = -1e9
    released_s: float | None = None
    # The latest first.
    previous_holders: tuple[str, ...] = ()
    # Direct handovers in this term; the store does not record their number.
    direct_handovers: int = 0
    # The highest fencing token known to be in use, and by when the holders
    # before it had stopped, the latest first.
    known_fence: int = 0
    term_ends_s: tuple[float, ...] = ()

    @property
    def fence(self) -> int:
        """Return the fencing token, which increases with each new holder."""
        return self.term * FENCES_PER_TERM + self.direct_handovers

    def note_fence(self, fence: int, *, now_s: float) -> None:
        """Record a fencing token in use: the holders before it have stopped."""
        if fence <= self.known_fence:
            return
        if self.known_fence:
            known_term, known_handovers = divmod(self.known_fence, FENCES_PER_TERM)
            term, handovers = divmod(fence, FENCES_PER_TERM)
            same_term = term == known_term
            stopped = term - known_term + handovers - known_handovers * same_term
            # A term that follows an unreadable lease is as high as its version.
            ends_s = (now_s,) * min(stopped, MAX_TERM_ENDS)
            self.term_ends_s = (ends_s + self.term_ends_s)[:MAX_TERM_ENDS]
        self.known_fence = fence

    def valid(
        self, *, now_s: float, policy: LeasePolicy, extended_until_s: float = -1e9
    ) -> bool:
        """Return whether this VM may act as the holder now."""
        until_s = max(self.held_until_s, extended_until_s) - policy.margin_s
        return self.released_s is None and self.earliest_act_s <= now_s < until_s

    def is_own(self, me: str) -> bool:
        """Return whether this VM is recorded as the holder and has not left."""
        return self.holder == me and self.released_s is None

    def remaining_s(self, *, now_s: float) -> float:
        """Return the seconds until this VM's lease expires."""
        return max(0.0, self.held_until_s - now_s)


class LeaseAction(StrEnum):
    """Name the next step for a lease."""

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
    extended_until_s: float = -1e9,
) -> LeaseAction:
    """Choose the next step for a lease that this VM wants or holds."""
    if row.is_own(me) and max(row.held_until_s, extended_until_s) > now_s:
        renew_at_s = row.held_until_s - policy.duration_s + policy.renewal_interval_s
        return LeaseAction.RENEW if now_s >= renew_at_s else LeaseAction.WAIT
    if not wanted:
        return LeaseAction.WAIT
    if now_s - row.checked_at_s < policy.read_interval_s:
        return LeaseAction.WAIT
    return LeaseAction.READ


@dataclass(frozen=True, slots=True, kw_only=True)
class Resignation:
    """Record that the holder of a lease version has stopped acting.

    `last_action_s` is the local time by which its last action had ended.
    """

    version: int
    last_action_s: float


def may_take_over(
    row: LeaseRow,
    *,
    me: str,
    now_s: float,
    first_seen_s: float,
    policy: LeasePolicy,
    resigned: Resignation | None = None,
) -> bool:
    """Return whether this VM may take over a lease.

    Its version has been unchanged since `first_seen_s` on the local clock.
    """
    if row.version == 0 or not row.holder or row.is_own(me):
        return True
    if resigned is not None and resigned.version == row.version:
        return True
    return now_s - first_seen_s > policy.duration_s + policy.margin_s


def earliest_act_s(
    row: LeaseRow,
    *,
    me: str,
    first_seen_s: float,
    policy: LeasePolicy,
    resigned: Resignation | None = None,
    last_announced_s: float = -1e9,
) -> float:
    """Return when a new holder may first act.

    The previous holder may have acted until just before its lease ended.
    `last_announced_s` is when the last state message of a holder arrived.
    """
    if row.is_own(me):
        # Either an unanswered write of this VM was applied, and the pause
        # set then still holds, or this VM has just restarted and need not
        # pause.
        return row.earliest_act_s
    held_before = me in (row.holder, *row.previous_holders)
    pause_s = policy.turn_s if held_before else policy.handover_s
    if row.version == 0 or not pause_s:
        return -1e9
    if resigned is not None and resigned.version >= row.version:
        return resigned.last_action_s + pause_s
    if not row.holder:
        return first_seen_s + pause_s
    # The holder stops its margin before the end of its lease, or of the
    # extension that its last state message granted.
    ends_s = max(
        first_seen_s + policy.duration_s, last_announced_s + policy.extension_s
    )
    return ends_s - policy.margin_s + pause_s


def previous_holders_of(row: LeaseRow, *, me: str) -> tuple[str, ...]:
    """Return the previous holders to record when a VM acquires a lease."""
    names = dict.fromkeys((row.holder, *row.previous_holders))
    return tuple(name for name in names if name not in ("", me))[:MAX_PREVIOUS_HOLDERS]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecord:
    """Hold a lease as it is stored; an empty holder means it was released.

    `before` names the previous holders, the latest first. `quarantined` names
    requests that crash servers, and `crashes` has the crashes whose cause is not
    known yet: the store outlives all entry VMs, and each of them reads the lease
    when it starts. `ended_ago_s` tells how long before the write earlier terms had
    ended, the latest first.
    """

    holder: str
    term: int
    nonce: str
    before: tuple[str, ...] = ()
    quarantined: tuple[str, ...] = ()
    crashes: tuple[RecordedCrash, ...] = ()
    ended_ago_s: tuple[float, ...] = ()


_UNREADABLE = (ValueError, KeyError, IndexError, TypeError, OverflowError)


def encode_lease(record: LeaseRecord) -> bytes:
    """Encode a lease as JSON."""
    raw = asdict(record)
    raw["crashes"] = [
        [round(crash.ago_s, 1), *encode_report(crash.report)]
        for crash in record.crashes
    ]
    return json.dumps(raw, sort_keys=True).encode()


def decode_lease(stored: StoredObject) -> Result[LeaseRecord, str]:
    """Decode a stored lease, or return why it is invalid."""
    try:
        raw = decode_json(stored.value)
        if not isinstance(raw, dict):
            return Error(f"lease {stored.name} is not a JSON object")
        record = LeaseRecord(
            holder=str(raw["holder"]),
            term=int(raw["term"]),
            nonce=str(raw["nonce"]),
            before=tuple(map(str, raw.get("before", ()))),
            quarantined=tuple(map(str, raw.get("quarantined", ()))),
            crashes=tuple(
                RecordedCrash(decode_report(row[1:]), float(row[0]))
                for row in raw.get("crashes", ())
            ),
            ended_ago_s=tuple(map(float, raw.get("ended_ago_s", ()))),
        )
        return Ok(record)
    except _UNREADABLE as error:
        return Error(f"lease {stored.name} cannot be decoded: {error}")
