"""List one kind of objects in the store, then watch it for changes."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from typing import NamedTuple

from rosepath.clock import Clock
from rosepath.errors import Step
from rosepath.hedged_calls import OnResponseStart, first_response
from rosepath.logs import get_logger
from rosepath.object_store import (
    Change,
    HistoryGoneError,
    Listing,
    ListWatchPort,
    StoredObject,
    StoreError,
)
from rosepath.table_age import TableAge

# How long a watch may take to return a revision that another VM already has.
# After that its connection may be dead although it looks open.
PEER_REVISION_GRACE_S = 0.5
# A response whose first byte has not arrived this long after it was due is
# slow, and a concurrent read is sent.
SLOW_RESPONSE_S = 0.5
# Interval between concurrent reads. The second one uses a new connection,
# which distinguishes a dead connection from a dead store; later ones detect
# its recovery.
HEDGE_INTERVAL_S = 1.0
# Bounds the concurrent reads. The first one is kept open meanwhile, so a slow
# store has the time of all of them to respond to it.
MAX_CONCURRENT_READS = 4
# Minimum interval between log lines about failed calls in one outage.
FAILURE_LOG_INTERVAL_S = 2.0
# How often a running watch or batching delay is checked against the policy.
POLICY_CHECK_S = 0.25
# Wait of a probe: a watch that only confirms a table that is older than the
# policy allows.
PROBE_WAIT_S = 0.05
# Wait of a watch that requests wait for.
REFRESH_WAIT_S = 0.001
INITIAL_BACKOFF_S = 0.05
# Longest pause between attempts while a newer revision is known to exist.
MAX_BACKOFF_BEHIND_S = 0.25
# Share of the VMs that may wait for a copy but read the store at once, so that
# a few in each data centre have it for the others to copy.
DIRECT_READ_SHARE = 0.1
# Logged as the age of a table that was never read.
UNKNOWN_AGE_S = 1e6

_log = get_logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchPolicy:
    """Hold the timing of watches.

    A watch waits up to `wait_s`; changes are batched for `gather_s`.
    `backoff_max_s` bounds the pauses between attempts while the store fails.
    The store may deliver changes late to `relaxed` watches, so they do not
    confirm how current a table is. Most VMs wait `copy_wait_s` to
    fetch an object from another VM before they request it from the store.
    """

    wait_s: float = 2.0
    gather_s: float = 0.25
    backoff_max_s: float = 0.5
    relaxed: bool = False
    copy_wait_s: float = 0.0


class _Read(NamedTuple):
    """Hold a listing, when it was requested and when its response began."""

    requested_s: float
    response_start_s: float
    listing: Listing


@dataclass(slots=True, kw_only=True)
class _Watch:
    """Hold the state of one watch in progress."""

    call: asyncio.Task[Change]
    requested_s: float
    wait_s: float
    relaxed: bool
    # Another VM has a revision that this watch has not returned.
    suspect: bool = False
    # When the first byte of the response arrived.
    response_start_s: float = math.inf

    @property
    def arriving(self) -> bool:
        """Return whether the response has begun to arrive."""
        return self.response_start_s < math.inf

    @property
    def is_probe(self) -> bool:
        """Return whether this watch only confirms a table that is too old."""
        return self.wait_s <= PROBE_WAIT_S

    @property
    def due_s(self) -> float:
        """Return the latest time at which a prompt store begins to respond."""
        return self.requested_s + self.wait_s

    @property
    def unanswered(self) -> bool:
        """Return whether the call is running, cancelled or failed."""
        call = self.call
        return not call.done() or call.cancelled() or call.exception() is not None


class StoreWatcher:
    """Keep a table in sync with one kind of objects in the store.

    Lists the objects once, then watches for changes, and lists them again
    after any failure. Owns the known revision and the age of the table; the
    callbacks apply listings and changes.
    """

    def __init__(
        self,
        store: ListWatchPort,
        kind: str,
        *,
        clock: Clock,
        on_listing: Callable[[Listing], None],
        on_change: Callable[[Change], None],
        policy: Callable[[], WatchPolicy] = WatchPolicy,
        urgent: bool = False,
        boot_clock: Clock | None = None,
    ) -> None:
        self._store = store
        self._kind = kind
        self._clock = clock
        self.age = TableAge(clock=clock, boot_clock=boot_clock or clock)
        self._on_listing = on_listing
        self._on_change = on_change
        self._policy = policy
        # An urgent kind is read as soon as another VM is known to have a newer
        # revision, also during the pause after a failure.
        self._urgent = urgent
        self._newer_revision_known = asyncio.Event()
        # The watch in progress.
        self._watch: _Watch | None = None
        self._peer_revision = 0
        self.revision = 0
        # Revision of the newest change of this kind. The store's own revision
        # also grows with changes of other kinds.
        self.changed_revision = 0
        self.recovered_s = -1e9
        self.last_contact_s = -1e9
        # Set to read the store at once. The futures below are resolved when
        # that read succeeds or fails.
        self._refresh_requested = asyncio.Event()
        self._refresh_waiters: set[asyncio.Future[None]] = set()
        self.store_unavailable = False
        # When the latest call was sent.
        self._requested_s = -1e9
        # Whether the latest response was slow to begin.
        self._response_was_slow = False
        self._last_logged_s = -1e9
        # Set while another VM is known to have a newer revision.
        self.behind_event = asyncio.Event()
        # The latest time at which the store or the network to it is known to
        # have failed.
        self._last_failure_s = -1e9

    @property
    def since_failure_s(self) -> float:
        """Return the time since the store is known to have failed this VM."""
        return self.age.now_s() - self._last_failure_s

    async def run(self) -> None:
        """List and watch until cancelled."""
        backoff_s = INITIAL_BACKOFF_S
        listed = False
        while True:
            try:
                if not listed:
                    await self._list()
                    listed = True
                was_behind = self._urgent and self.behind
                looked = await self._wait_for_changes()
                if looked is None:
                    continue
                change, known_s = looked
                self._apply_change(change)
                if known_s is not None:
                    self._note_read(known_s)
                    # A watch may skip a change; a full listing does not.
                    listed = not (was_behind and self.behind)
                backoff_s = INITIAL_BACKOFF_S
                if change.written or change.removed:
                    await self._gather()
            except HistoryGoneError:
                # The changes in between are no longer kept: list again.
                listed = False
            except StoreError as error:
                # The store may drop its history during an outage, and reports
                # that to a watch only with the next change. Until then, the
                # changes in between would be missed.
                listed = False
                self._note_failure(error)
                await self._pause(backoff_s * random.uniform(0.7, 1.3))
                backoff_s = min(backoff_s * 2, self._policy().backoff_max_s)

    async def _pause(self, pause_s: float) -> None:
        """Pause after a failure; a newer revision of an urgent kind ends it.

        There is no pause if one became known since the failed call was sent.
        """
        if self._urgent and self.behind:
            pause_s = min(pause_s, MAX_BACKOFF_BEHIND_S)
        with suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._newer_revision_known.wait()
        self._newer_revision_known.clear()

    async def _list(self, *, fresh: bool = False) -> None:
        """List all objects with hedged reads.

        `fresh` makes the first read use a new connection, as all later ones
        do.
        """
        read = await first_response(
            self._reads(fresh=fresh),
            slow_after_s=HEDGE_INTERVAL_S if fresh else SLOW_RESPONSE_S,
            hedge_interval_s=HEDGE_INTERVAL_S,
            max_concurrent=MAX_CONCURRENT_READS,
            on_slow=lambda: self._note_failure(self._slow_response_error("list")),
        )
        self._note_response_time(
            due_s=read.requested_s, response_start_s=read.response_start_s
        )
        self._apply_listing(read.listing)
        self._note_read(read.requested_s)

    def _reads(self, *, fresh: bool) -> Callable[[OnResponseStart], Awaitable[_Read]]:
        """Return a function that makes one read of all objects."""

        async def read(on_response_start: OnResponseStart) -> _Read:
            nonlocal fresh
            # Only the first read may use a pooled connection, which may be
            # dead.
            this_fresh, fresh = fresh, True
            requested_s = self._requested_s = self.age.now_s()
            response_start_s = math.inf

            def note_response_start() -> None:
                nonlocal response_start_s
                response_start_s = min(response_start_s, self.age.now_s())
                on_response_start()

            listing = await self._store.list(
                self._kind, fresh=this_fresh, on_response_start=note_response_start
            )
            return _Read(requested_s, response_start_s, listing)

        return read

    def _slow_response_error(self, what: str) -> StoreError:
        took_s = self.age.now_s() - self._requested_s
        return StoreError(
            f"no response to a {what} after {took_s:.2f} s", step=Step.STORE
        )

    async def _wait_for_changes(self) -> tuple[Change, float | None] | None:
        """Return the next changes and the time up to which they are complete.

        That time is None after a relaxed watch. Return None if the wait was
        cancelled: another VM has a newer revision, or the policy no longer
        allows the wait. Long waits rely on the lease holder's state messages,
        which may have become too old.
        """
        watch = self._watch = self._begin_watch()
        self._refresh_requested.clear()
        try:
            await self._wait_while_allowed(watch)
        finally:
            self._watch = None
            watch.call.cancel()
            # Close its connection before the next one is opened.
            await asyncio.wait([watch.call])
        if watch.call.cancelled() or self.age.last_read_s > watch.requested_s:
            # The concurrent read received its response first.
            return None
        change = watch.call.result()
        self._note_response_time(
            due_s=watch.due_s, response_start_s=watch.response_start_s
        )
        if watch.relaxed:
            return change, None
        if not (change.written or change.removed):
            # No change up to the end of the wait.
            return change, min(watch.due_s, self.age.now_s())
        return change, watch.requested_s

    def _begin_watch(self) -> _Watch:
        policy = self._policy()
        wait_s = policy.wait_s
        if self.age.age_s > policy.wait_s:
            wait_s = PROBE_WAIT_S
        elif self._refresh_waiters:
            wait_s = REFRESH_WAIT_S
        self._requested_s = self.age.now_s()
        # A relaxed watch may receive changes late, so it does not serve a
        # refresh that requests wait for, nor a change that another VM already
        # has.
        relaxed = policy.relaxed and not (
            self._refresh_waiters or (self._urgent and self.behind)
        )

        def note_arriving() -> None:
            watch.response_start_s = self.age.now_s()

        call = asyncio.ensure_future(
            self._store.changes(
                self._kind,
                after=self.revision,
                wait_s=wait_s,
                relaxed=relaxed,
                on_response_start=note_arriving,
            )
        )
        watch = _Watch(
            call=call, requested_s=self._requested_s, wait_s=wait_s, relaxed=relaxed
        )
        return watch

    async def _wait_while_allowed(self, watch: _Watch) -> None:
        """Wait until a watch ends or has to give way to a read that is due."""
        refresh = asyncio.ensure_future(self._refresh_requested.wait())
        try:
            while (
                watch.is_probe
                or watch.arriving
                or watch.wait_s <= self._policy().wait_s
            ):
                if not watch.arriving:
                    late = self.age.now_s() > watch.due_s + SLOW_RESPONSE_S
                    if late:
                        self._note_failure(self._slow_response_error("watch"))
                    if late or watch.suspect:
                        await self._read_alongside(watch)
                        return
                alone = watch.is_probe or watch.arriving
                done, _ = await asyncio.wait(
                    {watch.call} if alone else {watch.call, refresh},
                    timeout=POLICY_CHECK_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if watch.call in done or (done and not watch.arriving):
                    return
        finally:
            refresh.cancel()

    def _note_response_time(self, *, due_s: float, response_start_s: float) -> None:
        """Record whether a response began in time after it was due."""
        self._response_was_slow = (
            min(response_start_s, self.age.now_s()) > due_s + SLOW_RESPONSE_S
        )

    async def _read_alongside(self, watch: _Watch) -> None:
        """List all objects beside a watch; use the first response.

        The connection of the watch may be dead, or the store slow. Cancelled
        in the second case, the watch would have to begin again.
        """
        listing = asyncio.ensure_future(self._list(fresh=True))
        try:
            await asyncio.wait(
                [watch.call, listing], return_when=asyncio.FIRST_COMPLETED
            )
            if watch.unanswered:
                await listing
        finally:
            listing.cancel()
            await asyncio.wait([listing])
            if not listing.cancelled():
                listing.exception()

    async def _gather(self) -> None:
        """Delay the next watch to batch changes, as the policy allows."""
        started_s = self._clock.monotonic_s()
        self._refresh_requested.clear()
        while not self._refresh_requested.is_set():
            left_s = started_s + self._policy().gather_s - self._clock.monotonic_s()
            if left_s <= 0:
                return
            with suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, POLICY_CHECK_S)):
                    await self._refresh_requested.wait()

    async def ensure_fresh(self, *, limit_s: float) -> None:
        """Read the store at once; return when that read succeeds or fails.

        Return after `limit_s` at the latest.
        """
        waiting: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._refresh_waiters.add(waiting)
        self._refresh_requested.set()
        try:
            await asyncio.wait([waiting], timeout=limit_s)
        finally:
            self._refresh_waiters.discard(waiting)

    def _note_read(self, known_s: float) -> None:
        self.age.note_store_read(known_s)
        self._resolve()

    def _resolve(self) -> None:
        for waiting in self._refresh_waiters:
            if not waiting.done():
                waiting.set_result(None)

    def note_peer_revision(self, revision: int) -> None:
        """Note that another VM has a revision of this kind."""
        if revision <= max(self.changed_revision, self._peer_revision):
            return
        self._peer_revision = revision
        self.behind_event.set()
        if self._urgent:
            self._newer_revision_known.set()
        watch = self._watch
        if watch is None:
            return
        loop = asyncio.get_running_loop()
        if not watch.relaxed:
            loop.call_later(PEER_REVISION_GRACE_S, self._mark_suspect, revision, watch)
        elif self._urgent:
            first = random.random() < DIRECT_READ_SHARE
            copy_wait_s = 0.0 if first else self._policy().copy_wait_s
            loop.call_later(copy_wait_s, self._cancel_relaxed_watch, revision, watch)

    @property
    def behind(self) -> bool:
        """Return whether another VM is known to have a newer revision."""
        return self._peer_revision > self.changed_revision

    def apply_copy(self, stored: StoredObject) -> bool:
        """Apply an object that another VM read; return whether it is newer."""
        if stored.version <= self.changed_revision:
            return False
        self._on_change(
            Change(
                revision=stored.version,
                written={stored.name: stored},
                removed=frozenset(),
            )
        )
        self._note_changed({stored.name: stored})
        self.revision = max(self.revision, stored.version)
        if self._watch is not None:
            # The watch would return the same object again, in a larger
            # response.
            self._watch.call.cancel()
        return True

    def _cancel_relaxed_watch(self, revision: int, watch: _Watch) -> None:
        """Cancel a relaxed watch if a revision has not arrived.

        The next watch is a full one, which does not receive changes late.
        """
        if watch is not self._watch or self.changed_revision >= revision:
            return
        if not watch.arriving:
            watch.call.cancel()

    def _mark_suspect(self, revision: int, watch: _Watch) -> None:
        """Mark a watch as suspect if it has not returned a revision.

        The store is then read alongside it.
        """
        if watch is not self._watch or self.changed_revision >= revision:
            return
        _log.warning("watch_doubted", kind=self._kind, revision=self.revision)
        watch.suspect = True

    def _apply_listing(self, listing: Listing) -> None:
        if listing.revision < self.revision:
            return
        self._on_listing(listing)
        self._note_changed(listing.objects)
        self._note_contact(listing.revision)

    def _apply_change(self, change: Change) -> None:
        if change.written or change.removed:
            self._on_change(change)
            self._note_changed(change.written)
        self._note_contact(max(self.revision, change.revision))

    def _note_changed(self, objects: Mapping[str, StoredObject]) -> None:
        newest = max((stored.version for stored in objects.values()), default=0)
        self.changed_revision = max(self.changed_revision, newest)
        if not self.behind:
            self.behind_event.clear()

    def _note_contact(self, revision: int) -> None:
        self.revision = revision
        self.last_contact_s = self._clock.monotonic_s()
        if self._response_was_slow:
            # The next response may come after the table is too old to act on.
            if not self.store_unavailable:
                self._note_failure(self._slow_response_error("call"))
        elif self.store_unavailable:
            self.store_unavailable = False
            self.recovered_s = self.last_contact_s
            _log.info("store_regained", kind=self._kind, revision=revision)

    def _note_failure(self, error: StoreError) -> None:
        self._resolve()
        again, self.store_unavailable = self.store_unavailable, True
        # The first call may fail only because its connection died while idle.
        # The next call uses a new connection.
        if again:
            self._last_failure_s = max(self._last_failure_s, self._requested_s)
        now_s = self._clock.monotonic_s()
        if again and now_s < self._last_logged_s + FAILURE_LOG_INTERVAL_S:
            return
        self._last_logged_s = now_s
        _log.warning(
            "store_call_failed" if again else "store_lost",
            kind=self._kind,
            why=error.message,
            step=error.step.value,
            peer=error.peer,
            took_s=round(self.age.now_s() - self._requested_s, 3),
            revision=self.revision,
            heard_revision=self._peer_revision,
            looked_ago_s=round(min(self.age.age_s, UNKNOWN_AGE_S), 3),
        )
