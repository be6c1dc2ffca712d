"""Acquire, renew and release leases in the store."""

import uuid
from collections import defaultdict
from collections.abc import Callable

from expression import Result

from rosepath.clock import Clock
from rosepath.crash_report import CrashKnowledge, CrashReport
from rosepath.leases import (
    FENCES_PER_TERM,
    MAX_PREVIOUS_HOLDERS,
    UNKNOWN_HOLDER,
    LeaseAction,
    LeasePolicy,
    LeaseRecord,
    LeaseRow,
    Resignation,
    decode_lease,
    earliest_act_s,
    encode_lease,
    lease_action,
    may_take_over,
    previous_holders_of,
)
from rosepath.logs import get_logger
from rosepath.object_store import ConflictError, ObjectsPort, StoredObject, StoreError

LEASE_KIND = "leases"

_log = get_logger()


class LeaseKeeper:
    """Acquire, renew and release the leases of this VM.

    Owns the state of each lease as this VM last recorded it. At most one VM
    holds a lease at a time: each acts only while `valid` returns true, and all
    writes to the store are conditional on the version.
    """

    def __init__(
        self, platform: ObjectsPort, *, me: str, policy: LeasePolicy, clock: Clock
    ) -> None:
        self._platform = platform
        self._me = me
        self._clock = clock
        # All by lease name. The expiry of another VM's lease is timed from
        # `_first_seen_s`, when this VM first saw the current version.
        self._first_seen_s: dict[str, float] = {}
        # The highest version announced in a state message, and the times of
        # its first message and of the last message of any version.
        self._announced_versions: dict[str, int] = {}
        self._version_announced_s: dict[str, float] = {}
        self._last_message_s: dict[str, float] = {}
        self._resignations: dict[str, Resignation] = {}
        # Callbacks that return what is known of crashes, to write it into a lease,
        # and receive the same of each lease that is read.
        self.crash_knowledge: Callable[[], CrashKnowledge] = CrashKnowledge
        self.on_crash_knowledge: Callable[[CrashKnowledge], None] = lambda _: None
        # What this VM has written of it, by lease name.
        self._written: defaultdict[str, set[str | CrashReport]] = defaultdict(set)
        self.policy = policy
        # By lease name, the state of each lease as last recorded.
        self.rows: dict[str, LeaseRow] = {}

    def valid(self, name: str, *, extended_until_s: float = -1e9) -> bool:
        """Return whether this VM may act as the holder of a lease now.

        A lease that could not be renewed stays valid until `extended_until_s`,
        before which no other VM takes it over.
        """
        row = self.rows.get(name)
        if row is None or row.holder != self._me:
            return False
        return row.valid(
            now_s=self._clock.monotonic_s(),
            policy=self.policy,
            extended_until_s=extended_until_s,
        )

    def note_announcement(self, name: str, *, version: int, fence: int = 0) -> None:
        """Record a state message in which the holder announces its version.

        If a later read finds the same version, it counts as unchanged since
        the announcement, and the wait for its expiry does not start anew. The
        message itself delays a takeover by this VM, whatever version the
        store has.
        """
        now_s = self._clock.monotonic_s()
        self._last_message_s[name] = now_s
        self.rows.setdefault(name, LeaseRow(name=name)).note_fence(fence, now_s=now_s)
        if version > self._announced_versions.get(name, 0):
            self._announced_versions[name] = version
            self._version_announced_s[name] = now_s

    def note_resignation(
        self, name: str, *, version: int, last_action_age_s: float
    ) -> None:
        """Record that the holder of a version has stopped acting."""
        known = self._resignations.get(name)
        if known is None or known.version < version:
            last_action_s = self._clock.monotonic_s() - last_action_age_s
            self._resignations[name] = Resignation(
                version=version, last_action_s=last_action_s
            )

    def resign(self, name: str) -> int:
        """Stop acting as the holder; return the resigned version, or 0.

        A holder that cannot reach the store resigns instead of releasing the
        lease. Once it announces the resignation, the other VMs need not wait
        for the expiry.
        """
        row = self.rows[name]
        # The last read may have found another VM's lease, which only that
        # VM may resign.
        version = row.version if row.holder == self._me else 0
        self._drop(row, why="resigned")
        return version

    def accept_handover(
        self, name: str, *, version: int, fence: int, last_action_age_s: float
    ) -> bool:
        """Accept a lease handed over directly by its departing holder.

        The previous holder has stopped acting and has named this VM as its
        only successor; the store is not involved. Until a write to the store
        succeeds, the lease is valid only as far as peers' acknowledgements
        extend it.
        """
        row = self.rows.setdefault(name, LeaseRow(name=name))
        newest = max(row.version, self._announced_versions.get(name, 0))
        if row.holder == self._me or version < newest or fence < row.fence:
            return False
        now_s = self._clock.monotonic_s()
        # Engines take quickly alternating holders for two concurrent ones, so
        # a VM that held the lease before waits longer.
        pause_s = self.policy.turn_s if self._me in row.previous_holders else 0.0
        row.note_fence(fence, now_s=now_s)
        row.previous_holders = previous_holders_of(row, me=self._me)
        row.version, row.holder, row.released_s = version, self._me, None
        # Splits the next fencing token into its parts, see `LeaseRow.fence`.
        row.term, row.direct_handovers = divmod(fence + 1, FENCES_PER_TERM)
        row.note_fence(row.fence, now_s=now_s)
        row.held_until_s = row.checked_at_s = now_s
        row.earliest_act_s = (
            now_s - last_action_age_s + max(pause_s, self.policy.handover_s)
        )
        return True

    def is_own(self, name: str) -> bool:
        """Return whether this VM is recorded as the holder and has not left."""
        row = self.rows.get(name)
        return row is not None and row.is_own(self._me)

    def own_lease_expired(self, name: str) -> bool:
        """Return whether this VM's own lease expired without a renewal."""
        row = self.rows.get(name)
        now_s = self._clock.monotonic_s()
        return row is not None and row.is_own(self._me) and row.held_until_s <= now_s

    def overdue_s(self, name: str) -> float:
        """Return for how long the renewal of a held lease has been due."""
        row = self.rows[name]
        renewed_s = row.held_until_s - self.policy.duration_s
        due_s = renewed_s + self.policy.renewal_interval_s
        return self._clock.monotonic_s() - due_s

    def holder(self, name: str) -> str:
        """Return the holder of a lease as last recorded, or an empty name."""
        row = self.rows.get(name)
        return row.holder if row else ""

    def version(self, name: str) -> int:
        """Return the version of a lease as last recorded, or 0."""
        row = self.rows.get(name)
        return row.version if row else 0

    def term(self, name: str) -> int:
        """Return the highest recorded term of a lease, or 0."""
        row = self.rows.get(name)
        return row.term if row else 0

    def fence(self, name: str) -> int:
        """Return the fencing token for orders under a lease, or 0."""
        row = self.rows.get(name)
        return row.fence if row else 0

    def follows_term(self, name: str) -> bool:
        """Return whether a lease had a holder before the term last recorded."""
        return self.fence(name) > FENCES_PER_TERM

    def terms_ended_within(self, name: str, limit_s: float) -> int:
        """Return how many terms before the last recorded one ended recently."""
        row = self.rows.get(name)
        since_s = self._clock.monotonic_s() - limit_s
        return sum(end_s > since_s for end_s in row.term_ends_s) if row else 0

    async def step(
        self, name: str, *, wanted: bool, extended_until_s: float = -1e9
    ) -> None:
        """Renew a lease, or read and try to acquire it, if that is due."""
        row = self.rows.setdefault(name, LeaseRow(name=name))
        action = lease_action(
            row,
            me=self._me,
            wanted=wanted,
            now_s=self._clock.monotonic_s(),
            policy=self.policy,
            extended_until_s=extended_until_s,
        )
        if action is LeaseAction.WAIT and self.is_own(name) and self._has_news(name):
            # All entry VMs may restart before the renewal is due.
            action = LeaseAction.RENEW
        try:
            if action is LeaseAction.RENEW:
                await self._write(row, term=row.term)
            elif action is LeaseAction.READ:
                await self._read(row)
        except StoreError as error:
            if action is LeaseAction.RENEW:
                _log.info(
                    "lease_not_renewed",
                    step="lease",
                    lease=row.name,
                    why=error.message,
                    overdue_s=round(self.overdue_s(name), 3),
                )

    def _has_news(self, name: str) -> bool:
        """Return whether more is known of crashes than was written into a lease."""
        return not self.crash_knowledge().items <= self._written[name]

    async def _read(self, row: LeaseRow) -> None:
        stored = await self._platform.get(f"{LEASE_KIND}/{row.name}")
        now_s = self._clock.monotonic_s()
        self._record_stored(row, stored, now_s)
        first_seen_s = self._first_seen_s[row.name]
        if row.released_s is not None:
            # The lease may have passed to a successor without the store.
            first_seen_s = max(first_seen_s, row.released_s)
        resigned = self._resignations.get(row.name)
        if may_take_over(
            row,
            me=self._me,
            now_s=now_s,
            first_seen_s=first_seen_s,
            policy=self.policy,
            resigned=resigned,
        ):
            row.earliest_act_s = earliest_act_s(
                row,
                me=self._me,
                first_seen_s=first_seen_s,
                policy=self.policy,
                resigned=resigned,
                last_announced_s=self._last_message_s.get(row.name, -1e9),
            )
            grounds = self._takeover_grounds(row)
            await self._write(row, term=row.term + 1, grounds=grounds)

    def _takeover_grounds(self, row: LeaseRow) -> str:
        """Return why a lease that was just read may be taken over."""
        resigned = self._resignations.get(row.name)
        if row.version == 0:
            return "absent"
        if row.holder in ("", self._me):
            return "own" if row.holder else "given_up"
        if resigned is not None and resigned.version == row.version:
            return "resigned"
        return "lapsed"

    def _record_stored(
        self, row: LeaseRow, stored: StoredObject | None, now_s: float
    ) -> None:
        row.checked_at_s = now_s
        version = stored.version if stored else 0
        # The expiry of a version is timed from its first read, or from its
        # announcement if that came earlier.
        if version != row.version or row.name not in self._first_seen_s:
            announced = version != 0 and version == self._announced_versions.get(
                row.name
            )
            self._first_seen_s[row.name] = (
                self._version_announced_s[row.name] if announced else now_s
            )
        changed = version != row.version
        row.version = version
        row.holder = ""
        if stored is None:
            return
        match decode_lease(stored):
            case Result(tag="ok", ok=record):
                row.holder, row.previous_holders = record.holder, record.before
                self.on_crash_knowledge(
                    CrashKnowledge(record.quarantined, record.crashes)
                )
                stored_fence = record.term * FENCES_PER_TERM
                if changed and stored_fence >= row.known_fence:
                    row.known_fence = stored_fence
                    row.term_ends_s = tuple(
                        now_s - ago_s for ago_s in record.ended_ago_s
                    )
                if record.term > row.term:
                    row.term, row.direct_handovers = record.term, 0
            case Result(error=problem):
                # Another program overwrote the record. Each term took at
                # least one write, so the version is at least as high as
                # every term used so far.
                _log.warning("lease_unreadable", step="lease", why=problem)
                row.holder = UNKNOWN_HOLDER
                row.term, row.direct_handovers = max(row.term, stored.version), 0

    async def _write(self, row: LeaseRow, *, term: int, grounds: str = "") -> None:
        # The duration counts from before the write. However late the response
        # is, the lease thus expires here before another VM takes it over.
        started_s = self._clock.monotonic_s()
        previous_holders = previous_holders_of(row, me=self._me)
        row.note_fence(term * FENCES_PER_TERM, now_s=started_s)
        known = self.crash_knowledge()
        value = encode_lease(
            LeaseRecord(
                holder=self._me,
                term=term,
                nonce=uuid.uuid4().hex,
                before=previous_holders,
                quarantined=known.quarantined,
                crashes=known.crashes,
                ended_ago_s=_ages_s(row.term_ends_s, now_s=started_s),
            )
        )
        name = f"{LEASE_KIND}/{row.name}"
        try:
            version = await self._platform.put(
                name, value, expected_version=row.version
            )
        except ConflictError:
            await self._resolve_conflict(row)
            return
        except StoreError as error:
            if not error.unknown:
                raise
            stored = await self._platform.get(name)
            if stored is None or stored.value != value:
                self._record_stored(row, stored, self._clock.monotonic_s())
                return
            version = stored.version
        if row.holder != self._me or term != row.term:
            # Also logged if this VM was already the holder in the store, for
            # example before a restart, and starts a new term.
            _log.info(
                "lease_taken",
                step="lease",
                lease=row.name,
                term=term,
                version=version,
                grounds=grounds,
                acts_in_s=round(max(0.0, row.earliest_act_s - started_s), 3),
            )
        if term != row.term:
            row.direct_handovers = 0
            row.released_s = None
        row.version, row.holder, row.term = version, self._me, term
        row.previous_holders = previous_holders
        self._written[row.name] |= known.items
        row.checked_at_s = started_s
        row.held_until_s = started_s + self.policy.duration_s

    async def _resolve_conflict(self, row: LeaseRow) -> None:
        """Drop a lease after a conflict, unless this VM wrote it last.

        The store may apply a renewal late whose response was lost. The next
        renewal then conflicts with the version that the late one wrote.
        """
        if row.holder == self._me:
            stored = await self._platform.get(f"{LEASE_KIND}/{row.name}")
            if stored is not None:
                match decode_lease(stored):
                    case Result(tag="ok", ok=record) if (
                        record.holder == self._me and record.term == row.term
                    ):
                        row.version = stored.version
                        return
        self._drop(row, why="conflict")

    def _drop(self, row: LeaseRow, *, why: str) -> None:
        if row.holder == self._me:
            _log.warning(
                "lease_lost",
                step="lease",
                lease=row.name,
                why=why,
                version=row.version,
                overdue_s=round(self.overdue_s(row.name), 3),
            )
        row.holder = ""
        row.held_until_s = -1e9
        row.checked_at_s = -1e9

    async def release(self, name: str) -> int:
        """Release a lease; return its last known version.

        Returns 0 if this VM does not hold the lease.
        """
        row = self.rows.get(name)
        if row is None or row.holder != self._me:
            return 0
        # A read that ends meanwhile may record the lease of a successor, whose
        # version this VM must not resign.
        version = row.version
        row.held_until_s = -1e9
        row.released_s = self._clock.monotonic_s()
        known = self.crash_knowledge()
        value = encode_lease(
            LeaseRecord(
                holder="",
                term=row.term,
                nonce=uuid.uuid4().hex,
                before=(self._me, *row.previous_holders)[:MAX_PREVIOUS_HOLDERS],
                quarantined=known.quarantined,
                crashes=known.crashes,
                ended_ago_s=_ages_s(row.term_ends_s, now_s=self._clock.monotonic_s()),
            )
        )
        try:
            released_version = await self._platform.put(
                f"{LEASE_KIND}/{name}", value, expected_version=version
            )
        except ConflictError:
            self._drop(row, why="conflict")
            return version
        except StoreError:
            return version
        row.holder = ""
        return released_version


def _ages_s(times_s: tuple[float, ...], *, now_s: float) -> tuple[float, ...]:
    return tuple(round(now_s - time_s, 3) for time_s in times_s)
