"""Follow a kind of objects in the store: read it whole, then its changes."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from typing import NamedTuple

from rosepath.clock import Clock
from rosepath.errors import Step
from rosepath.late_calls import OnBegun, first_answer
from rosepath.logs import get_logger
from rosepath.object_store import (
    Change,
    FeedPort,
    HistoryGoneError,
    Listing,
    StoredObject,
    StoreError,
)
from rosepath.table_age import TableAge

# A revision that another VM knows is on its way here; if it has not come after
# this, the watch may be dead though its connection looks open.
HEARD_GRACE_S = 0.5
# An answer that has not begun to arrive this long after it was due is late: the
# store is read beside it.
LATE_S = 0.5
# From one late read to the next. The second, over a new connection, finds out whether
# the store or only a connection is dead; those after it, whether the store is back.
READ_AGAIN_S = 1.0
# So many reads run beside each other: a slow store has the time of all of them to
# answer the first.
READS_AT_ONCE = 4
# Between two log lines about the failed calls of one outage.
FAILURE_LOGGED_EACH_S = 2.0
# While changes gather or a watch waits, whether the pace still allows it is looked
# at this often.
PACE_LOOK_S = 0.25
# How long a watch waits that only proves a table current that is older than its
# pace allows.
BRIEF_S = 0.05
BACKOFF_FIRST_S = 0.05
# The longest pause between tries while a newer revision is known to exist.
BACKOFF_BEHIND_S = 0.25
# Of the VMs that may wait for a copy, this share asks the store at once: a few in
# each data centre, for the others to copy from.
FIRST_READERS_SHARE = 0.1
# Stands in log lines for the age of a table that was never read.
NEVER_KNOWN_S = 1e6

_log = get_logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class Pace:
    """Say how long a watch waits, and how long changes are gathered.

    `backoff_max_s` bounds the pauses between tries while the store fails. With
    `relaxed`, watches may be told of changes late, and prove no age of a table. For
    `copies_s` most VMs wait for a copy of what another VM has before they ask the
    store for it.
    """

    wait_s: float = 2.0
    gather_s: float = 0.25
    backoff_max_s: float = 0.5
    relaxed: bool = False
    copies_s: float = 0.0


class _Read(NamedTuple):
    """Hold the whole, when it was asked for and when its answer began to arrive."""

    asked_s: float
    begun_s: float
    listing: Listing


@dataclass(slots=True, kw_only=True)
class _Watch:
    """Hold what is known of one watch while it waits."""

    call: asyncio.Task[Change]
    asked_s: float
    wait_s: float
    relaxed: bool
    # Another VM knows a revision that this watch has not told of.
    doubted: bool = False
    # When its answer began to arrive.
    begun_s: float = math.inf

    @property
    def arriving(self) -> bool:
        """Tell whether its answer has begun to arrive."""
        return self.begun_s < math.inf

    @property
    def brief(self) -> bool:
        """Tell whether it only makes sure of a table that is too old."""
        return self.wait_s <= BRIEF_S

    @property
    def due_s(self) -> float:
        """Return when its answer begins at the latest if the store is quick."""
        return self.asked_s + self.wait_s

    @property
    def unanswered(self) -> bool:
        """Tell whether it is under way still, broken off or failed."""
        call = self.call
        return not call.done() or call.cancelled() or call.exception() is not None


class Feed:
    """Keep a table in step with a kind of objects."""

    def __init__(
        self,
        store: FeedPort,
        kind: str,
        *,
        clock: Clock,
        on_listing: Callable[[Listing], None],
        on_change: Callable[[Change], None],
        pace: Callable[[], Pace] = Pace,
        urgent: bool = False,
        boot_clock: Clock | None = None,
    ) -> None:
        self._store = store
        self._kind = kind
        self._clock = clock
        self.age = TableAge(clock=clock, boot_clock=boot_clock or clock)
        self._on_listing = on_listing
        self._on_change = on_change
        self._pace = pace
        # An urgent kind is looked for as soon as another VM knows of a change,
        # also while this one pauses after a failure.
        self._urgent = urgent
        self._news = asyncio.Event()
        # The watch that is under way.
        self._watch: _Watch | None = None
        self._heard_revision = 0
        self.revision = 0
        # The newest change of this kind; the store's own revision also moves
        # with changes of others.
        self.changed_revision = 0
        self.regained_s = -1e9
        self.in_touch_s = -1e9
        # Set to have the next look at once; resolved by how it ended.
        self._hurry = asyncio.Event()
        self._waiting: set[asyncio.Future[None]] = set()
        self.out_of_touch = False
        # When the latest call was made.
        self._asked_s = -1e9
        # Whether the latest answer began to arrive late.
        self._answered_late = False
        # When a failed call was last logged.
        self._logged_s = -1e9
        # Set while another VM is known to have a newer revision.
        self.wanted = asyncio.Event()
        # The latest moment at which the store or the way to it surely failed.
        self._failed_s = -1e9

    @property
    def failed_ago_s(self) -> float:
        """Return how long ago the store surely failed this VM."""
        return self.age.now_s() - self._failed_s

    async def run(self) -> None:
        """Follow for ever."""
        backoff_s = BACKOFF_FIRST_S
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
                self._take_change(change)
                if known_s is not None:
                    self._note_look(known_s)
                    # A watch may pass a change over; the whole does not.
                    listed = not (was_behind and self.behind)
                backoff_s = BACKOFF_FIRST_S
                if change.written or change.removed:
                    await self._gather()
            except HistoryGoneError:
                # What happened in between is lost: only the whole tells.
                listed = False
            except StoreError as error:
                # The history since the revision may go while the store is away,
                # and a watch is told so with the next change only: until then
                # what changed in between would be missed.
                listed = False
                self._note_lost(error)
                await self._pause(backoff_s * random.uniform(0.7, 1.3))
                backoff_s = min(backoff_s * 2, self._pace().backoff_max_s)

    async def _pause(self, pause_s: float) -> None:
        """Pause after a failure, unless news came since the call that failed."""
        if self._urgent and self.behind:
            pause_s = min(pause_s, BACKOFF_BEHIND_S)
        with suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._news.wait()
        self._news.clear()

    async def _list(self, *, fresh: bool = False) -> None:
        """Read the whole; `fresh` over a new connection, as late reads are."""
        read = await first_answer(
            self._reads(fresh=fresh),
            late_after_s=READ_AGAIN_S if fresh else LATE_S,
            again_after_s=READ_AGAIN_S,
            at_once=READS_AT_ONCE,
            on_late=lambda: self._note_lost(self._late("list")),
        )
        self._note_answered(due_s=read.asked_s, begun_s=read.begun_s)
        self._take_listing(read.listing)
        self._note_look(read.asked_s)

    def _reads(self, *, fresh: bool) -> Callable[[OnBegun], Awaitable[_Read]]:
        """Return what reads the whole."""

        async def read(on_begun: OnBegun) -> _Read:
            nonlocal fresh
            # Only the first may use a connection that may have gone silent.
            this_fresh, fresh = fresh, True
            asked_s = self._asked_s = self.age.now_s()
            begun_s = math.inf

            def note_begun() -> None:
                nonlocal begun_s
                begun_s = min(begun_s, self.age.now_s())
                on_begun()

            listing = await self._store.list(
                self._kind, fresh=this_fresh, on_begun=note_begun
            )
            return _Read(asked_s, begun_s, listing)

        return read

    def _late(self, what: str) -> StoreError:
        took_s = self.age.now_s() - self._asked_s
        return StoreError(
            f"no answer to a {what} yet after {took_s:.2f} s", step=Step.STORE
        )

    async def _wait_for_changes(self) -> tuple[Change, float | None] | None:
        """Wait for changes; return them and by when they are all there were.

        That is unknown after a relaxed watch. Return None if the wait was broken
        off: another VM knows of a change, or the wait was chosen by a pace that no
        longer holds. Who waits long trusts another's word, and that may have
        become too old.
        """
        watch = self._watch = self._begin_watch()
        self._hurry.clear()
        try:
            await self._wait_while_allowed(watch)
        finally:
            self._watch = None
            watch.call.cancel()
            # Its connection is closed before the next one is opened.
            await asyncio.wait([watch.call])
        if watch.call.cancelled() or self.age.looked_s > watch.asked_s:
            # The read beside it was answered first.
            return None
        change = watch.call.result()
        self._note_answered(due_s=watch.due_s, begun_s=watch.begun_s)
        if watch.relaxed:
            return change, None
        if not (change.written or change.removed):
            # Nothing came up to the end of the wait.
            return change, min(watch.due_s, self.age.now_s())
        return change, watch.asked_s

    def _begin_watch(self) -> _Watch:
        pace = self._pace()
        wait_s = BRIEF_S if self.age.age_s > pace.wait_s else pace.wait_s
        self._asked_s = self.age.now_s()
        # A change that another VM told of, or a look that requests wait for, is
        # no matter for a watch that may be told of it late.
        relaxed = pace.relaxed and not (self._waiting or (self._urgent and self.behind))

        def note_arriving() -> None:
            watch.begun_s = self.age.now_s()

        call = asyncio.ensure_future(
            self._store.changes(
                self._kind,
                after=self.revision,
                wait_s=wait_s,
                relaxed=relaxed,
                on_begun=note_arriving,
            )
        )
        watch = _Watch(call=call, asked_s=self._asked_s, wait_s=wait_s, relaxed=relaxed)
        return watch

    async def _wait_while_allowed(self, watch: _Watch) -> None:
        """Wait until a watch ends, or is in the way of a look that is due."""
        hurry = asyncio.ensure_future(self._hurry.wait())
        try:
            while watch.brief or watch.arriving or watch.wait_s <= self._pace().wait_s:
                if not watch.arriving:
                    late = self.age.now_s() > watch.due_s + LATE_S
                    if late:
                        self._note_lost(self._late("watch"))
                    if late or watch.doubted:
                        await self._look_beside(watch)
                        return
                alone = watch.brief or watch.arriving
                done, _ = await asyncio.wait(
                    {watch.call} if alone else {watch.call, hurry},
                    timeout=PACE_LOOK_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if watch.call in done or (done and not watch.arriving):
                    return
        finally:
            hurry.cancel()

    def _note_answered(self, *, due_s: float, begun_s: float) -> None:
        """Note whether an answer that was due at a moment began in time."""
        self._answered_late = min(begun_s, self.age.now_s()) > due_s + LATE_S

    async def _look_beside(self, watch: _Watch) -> None:
        """Read the whole beside a watch; whichever is answered first counts.

        The connection of the watch may have gone silent, or the store is slow: ended
        then, the watch would have to begin again.
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
        """Let changes gather, for as long as the pace goes on to allow it."""
        begun_s = self._clock.monotonic_s()
        self._hurry.clear()
        while not self._hurry.is_set():
            left_s = begun_s + self._pace().gather_s - self._clock.monotonic_s()
            if left_s <= 0:
                return
            with suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, PACE_LOOK_S)):
                    await self._hurry.wait()

    async def make_sure(self, *, limit_s: float) -> None:
        """Look at once; return when that look was answered or failed."""
        waiting: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.add(waiting)
        self._hurry.set()
        try:
            await asyncio.wait([waiting], timeout=limit_s)
        finally:
            self._waiting.discard(waiting)

    def _note_look(self, known_s: float) -> None:
        self.age.note_look(known_s)
        self._resolve()

    def _resolve(self) -> None:
        for waiting in self._waiting:
            if not waiting.done():
                waiting.set_result(None)

    def hear(self, revision: int) -> None:
        """Note that another VM knows a revision of this kind."""
        if revision <= max(self.changed_revision, self._heard_revision):
            return
        self._heard_revision = revision
        self.wanted.set()
        if self._urgent:
            self._news.set()
        watch = self._watch
        if watch is None:
            return
        loop = asyncio.get_running_loop()
        if not watch.relaxed:
            loop.call_later(HEARD_GRACE_S, self._check_watch, revision, watch)
        elif self._urgent:
            first = random.random() < FIRST_READERS_SHARE
            copies_s = 0.0 if first else self._pace().copies_s
            loop.call_later(copies_s, self._end_relaxed, revision, watch)

    @property
    def behind(self) -> bool:
        """Tell whether another VM is known to have a newer revision."""
        return self._heard_revision > self.changed_revision

    def take_copy(self, stored: StoredObject) -> bool:
        """Take an object that another VM read from the store; False if it is old."""
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
            # It would be told the same once more, by a larger answer.
            self._watch.call.cancel()
        return True

    def _end_relaxed(self, revision: int, watch: _Watch) -> None:
        """Have the next watch be a full one if nobody brought a revision."""
        if watch is not self._watch or self.changed_revision >= revision:
            return
        if not watch.arriving:
            watch.call.cancel()

    def _check_watch(self, revision: int, watch: _Watch) -> None:
        """Have the next look made at once if a watch has not told of a revision."""
        if watch is not self._watch or self.changed_revision >= revision:
            return
        _log.warning("watch_doubted", kind=self._kind, revision=self.revision)
        watch.doubted = True

    def _take_listing(self, listing: Listing) -> None:
        if listing.revision < self.revision:
            return
        self._on_listing(listing)
        self._note_changed(listing.objects)
        self._note_touch(listing.revision)

    def _take_change(self, change: Change) -> None:
        if change.written or change.removed:
            self._on_change(change)
            self._note_changed(change.written)
        self._note_touch(max(self.revision, change.revision))

    def _note_changed(self, objects: Mapping[str, StoredObject]) -> None:
        newest = max((stored.version for stored in objects.values()), default=0)
        self.changed_revision = max(self.changed_revision, newest)
        if not self.behind:
            self.wanted.clear()

    def _note_touch(self, revision: int) -> None:
        self.revision = revision
        self.in_touch_s = self._clock.monotonic_s()
        if self._answered_late:
            # Its next answer may come when the table is too old to go by.
            if not self.out_of_touch:
                self._note_lost(self._late("call"))
        elif self.out_of_touch:
            self.out_of_touch = False
            self.regained_s = self.in_touch_s
            _log.info("store_regained", kind=self._kind, revision=revision)

    def _note_lost(self, error: StoreError) -> None:
        self._resolve()
        again, self.out_of_touch = self.out_of_touch, True
        # The first call that fails may only have met a connection that went silent
        # while it was idle; the next one is made over a new connection.
        if again:
            self._failed_s = max(self._failed_s, self._asked_s)
        now_s = self._clock.monotonic_s()
        if again and now_s < self._logged_s + FAILURE_LOGGED_EACH_S:
            return
        self._logged_s = now_s
        _log.warning(
            "store_call_failed" if again else "store_lost",
            kind=self._kind,
            why=error.message,
            step=error.step.value,
            peer=error.peer,
            took_s=round(self.age.now_s() - self._asked_s, 3),
            revision=self.revision,
            heard_revision=self._heard_revision,
            looked_ago_s=round(min(self.age.age_s, NEVER_KNOWN_S), 3),
        )
