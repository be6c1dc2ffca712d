"""Take, renew and give up leases in the store."""

import math
import uuid
from collections.abc import Callable

from expression import Result

from rosepath.clock import Clock
from rosepath.leases import (
    BEFORE_KEPT,
    FENCES_A_TERM,
    UNKNOWN_HOLDER,
    LeaseAction,
    LeasePolicy,
    LeaseRecord,
    LeaseRow,
    Resignation,
    act_from_s,
    decode_lease,
    encode_lease,
    holders_before,
    lease_action,
    may_take_over,
)
from rosepath.logs import get_logger
from rosepath.object_store import ConflictError, ObjectsPort, StoredObject, StoreError

LEASE_KIND = "leases"

_log = get_logger()


class LeaseKeeper:
    """Hold the lease rows that this node takes part in."""

    def __init__(
        self, platform: ObjectsPort, *, me: str, policy: LeasePolicy, clock: Clock
    ) -> None:
        self._platform = platform
        self._me = me
        self._clock = clock
        self._first_seen_s: dict[str, float] = {}
        self._heard: dict[str, int] = {}
        self._heard_s: dict[str, float] = {}
        self._last_word_s: dict[str, float] = {}
        self._resigned: dict[str, Resignation] = {}
        # What the lease that this node holds names as quarantined, and who is told of
        # what another's does.
        self.quarantined: Callable[[], tuple[str, ...]] = tuple
        self.on_quarantined: Callable[[tuple[str, ...]], None] = lambda _: None
        self.policy = policy
        self.rows: dict[str, LeaseRow] = {}

    def valid(self, name: str, *, backed_until_s: float = -1e9) -> bool:
        """Tell whether this node holds a lease right now, with its margin.

        A lease that could not be renewed is held on while it is backed: while
        all others are known not to take it over before then.
        """
        row = self.rows.get(name)
        if row is None or row.holder != self._me:
            return False
        return row.valid(
            now_s=self._clock.monotonic_s(),
            policy=self.policy,
            backed_until_s=backed_until_s,
        )

    def hear(self, name: str, *, version: int) -> None:
        """Note a version of which its holder told.

        Heard from the holder, a version is known before it is read; one that
        is found unchanged later has stood since, and the wait for it to lapse
        need not begin anew. The word itself keeps others off for a while, whatever
        became of the version.
        """
        now_s = self._clock.monotonic_s()
        self._last_word_s[name] = now_s
        if version > self._heard.get(name, 0):
            self._heard[name] = version
            self._heard_s[name] = now_s

    def hear_resigned(self, name: str, *, version: int, acted_ago_s: float) -> None:
        """Note that the holder of a version acts no more."""
        known = self._resigned.get(name)
        if known is None or known.version < version:
            acted_s = self._clock.monotonic_s() - acted_ago_s
            self._resigned[name] = Resignation(version=version, acted_s=acted_s)

    def resign(self, name: str) -> int:
        """Stop acting as the holder; return the version that this ends, or 0.

        For a holder that loses the store: it can't hand the lease back there,
        but its word to the others spares them the wait for it to lapse.
        """
        row = self.rows[name]
        # Another's lease may have been read since; that one is not resigned.
        version = row.version if row.holder == self._me else 0
        self._lose(row, why="resigned")
        return version

    def inherit(
        self, name: str, *, version: int, fence: int, acted_ago_s: float
    ) -> bool:
        """Take a lease over by its stopping holder's word alone.

        The holder that speaks acts no more, and named this node only. Until the
        store can be told, the lease holds only while it is backed.
        """
        row = self.rows.setdefault(name, LeaseRow(name=name))
        newest = max(row.version, self._heard.get(name, 0))
        if row.holder == self._me or version < newest or fence < row.fence:
            return False
        now_s = self._clock.monotonic_s()
        pause_s = self.policy.turn_s if self._me in row.before else 0.0
        row.before = holders_before(row, me=self._me)
        row.version, row.holder = version, self._me
        row.term, row.passed_on = divmod(fence + 1, FENCES_A_TERM)
        row.held_until_s = row.seen_at_s = now_s
        row.act_from_s = now_s - acted_ago_s + max(pause_s, self.policy.handover_s)
        return True

    def lapsed(self, name: str) -> bool:
        """Tell whether a lease that names this node here was not renewed in time."""
        row = self.rows.get(name)
        now_s = self._clock.monotonic_s()
        return row is not None and row.holder == self._me and row.held_until_s <= now_s

    def overdue_s(self, name: str) -> float:
        """Return for how long a held lease could not be renewed."""
        row = self.rows[name]
        renewed_s = row.held_until_s - self.policy.duration_s
        due_s = renewed_s + self.policy.renewed_after_s
        return self._clock.monotonic_s() - due_s

    def holder(self, name: str) -> str:
        """Return whom a lease named when it was last read."""
        row = self.rows.get(name)
        return row.holder if row else ""

    def version(self, name: str) -> int:
        """Return the version under which a lease was last renewed."""
        row = self.rows.get(name)
        return row.version if row else 0

    def term(self, name: str) -> int:
        """Return the term under which a lease was last taken."""
        row = self.rows.get(name)
        return row.term if row else 0

    def fence(self, name: str) -> int:
        """Return the fence of the acts under a lease as it was last taken."""
        row = self.rows.get(name)
        return row.fence if row else 0

    async def step(
        self, name: str, *, wanted: bool, backed_until_s: float = -1e9
    ) -> None:
        """Do what is due about one lease."""
        row = self.rows.setdefault(name, LeaseRow(name=name))
        action = lease_action(
            row,
            me=self._me,
            wanted=wanted,
            now_s=self._clock.monotonic_s(),
            policy=self.policy,
            backed_until_s=backed_until_s,
        )
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

    async def _read(self, row: LeaseRow) -> None:
        stored = await self._platform.get(f"{LEASE_KIND}/{row.name}")
        now_s = self._clock.monotonic_s()
        self._note(row, stored, now_s)
        first_seen_s = self._first_seen_s[row.name]
        resigned = self._resigned.get(row.name)
        if may_take_over(
            row,
            me=self._me,
            now_s=now_s,
            first_seen_s=first_seen_s,
            policy=self.policy,
            resigned=resigned,
        ):
            row.act_from_s = act_from_s(
                row,
                me=self._me,
                first_seen_s=first_seen_s,
                policy=self.policy,
                resigned=resigned,
                last_word_s=self._last_word_s.get(row.name, -1e9),
            )
            grounds = self._grounds(row)
            await self._write(row, term=row.term + 1, grounds=grounds)

    def _grounds(self, row: LeaseRow) -> str:
        """Tell why a lease that was just read may be taken over."""
        resigned = self._resigned.get(row.name)
        if row.version == 0:
            return "absent"
        if row.holder in ("", self._me):
            return "own" if row.holder else "given_up"
        if resigned is not None and resigned.version == row.version:
            return "resigned"
        return "lapsed"

    def _note(self, row: LeaseRow, stored: StoredObject | None, now_s: float) -> None:
        row.seen_at_s = now_s
        version = stored.version if stored else 0
        # Wherever a version is read first, from then on it may have stood; only
        # one that stood for a lease's time has lapsed.
        if version != row.version or row.name not in self._first_seen_s:
            heard = version != 0 and version == self._heard.get(row.name)
            self._first_seen_s[row.name] = self._heard_s[row.name] if heard else now_s
        row.version = version
        row.holder = ""
        if stored is None:
            return
        match decode_lease(stored):
            case Result(tag="ok", ok=record):
                row.holder, row.before = record.holder, record.before
                self.on_quarantined(record.quarantined)
                if record.term > row.term:
                    row.term, row.passed_on = record.term, 0
            case Result(error=problem):
                # Another writer wrote it over. Each term took a change, so the
                # version is beyond every term that was ever in use.
                _log.warning("lease_unreadable", step="lease", why=problem)
                row.holder = UNKNOWN_HOLDER
                row.term, row.passed_on = max(row.term, stored.version), 0

    async def _write(self, row: LeaseRow, *, term: int, grounds: str = "") -> None:
        # The time counts from before the write: however late the reply, no
        # other node can have seen this version for longer than that.
        asked_s = self._clock.monotonic_s()
        before = holders_before(row, me=self._me)
        value = encode_lease(
            LeaseRecord(
                holder=self._me,
                term=term,
                nonce=uuid.uuid4().hex,
                before=before,
                quarantined=self.quarantined(),
            )
        )
        name = f"{LEASE_KIND}/{row.name}"
        try:
            version = await self._platform.put(
                name, value, expected_version=row.version
            )
        except ConflictError:
            await self._settle_conflict(row)
            return
        except StoreError as error:
            if not error.unknown:
                raise
            stored = await self._platform.get(name)
            if stored is None or stored.value != value:
                self._note(row, stored, self._clock.monotonic_s())
                return
            version = stored.version
        if row.holder != self._me or term != row.term:
            # One that finds itself named in the store begins a term, too.
            _log.info(
                "lease_taken",
                step="lease",
                lease=row.name,
                term=term,
                version=version,
                grounds=grounds,
                acts_in_s=round(max(0.0, row.act_from_s - asked_s), 3),
            )
        if term != row.term:
            row.passed_on = 0
        row.version, row.holder, row.term = version, self._me, term
        row.before = before
        row.seen_at_s = asked_s
        row.held_until_s = asked_s + self.policy.duration_s

    async def _settle_conflict(self, row: LeaseRow) -> None:
        """Give a lease up, unless it is a late write of this node that stands.

        A renewal without an answer may be carried out after the next one was
        sent, which then meets a version that it does not expect.
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
        self._lose(row, why="conflict")

    def _lose(self, row: LeaseRow, *, why: str) -> None:
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
        row.seen_at_s = -1e9

    async def give_up(self, name: str) -> int:
        """Hand a lease back; return the version that says so, or 0."""
        row = self.rows.get(name)
        if row is None or row.holder != self._me:
            return 0
        row.held_until_s = -1e9
        row.act_from_s = math.inf
        value = encode_lease(
            LeaseRecord(
                holder="",
                term=row.term,
                nonce=uuid.uuid4().hex,
                before=(self._me, *row.before)[:BEFORE_KEPT],
                quarantined=self.quarantined(),
            )
        )
        try:
            version = await self._platform.put(
                f"{LEASE_KIND}/{name}", value, expected_version=row.version
            )
        except ConflictError:
            self._lose(row, why="conflict")
            return row.version
        except StoreError:
            return row.version
        row.holder = ""
        return version
