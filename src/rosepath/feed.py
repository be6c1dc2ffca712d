"""Follow a kind of objects in the store: read it whole, then its changes."""

import asyncio
import random
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass

from rosepath.clock import Clock
from rosepath.logs import get_logger
from rosepath.object_store import (
    Change,
    FeedPort,
    HistoryGoneError,
    Listing,
    StoredObject,
    StoreError,
)

# A revision that another VM knows is on its way here; if it has not come after
# this, the watch is dead though its connection looks open.
HEARD_GRACE_S = 0.5
# While changes gather, what allows that is looked at this often.
GATHER_LOOK_S = 0.25
BACKOFF_FIRST_S = 0.05

_log = get_logger()


_Watching = asyncio.Task[Change] | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Pace:
    """Say how long a watch waits, and how long changes are gathered.

    `backoff_max_s` bounds the pauses between tries while the store fails.
    """

    wait_s: float = 2.0
    gather_s: float = 0.25
    backoff_max_s: float = 0.5


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
    ) -> None:
        self._store = store
        self._kind = kind
        self._clock = clock
        self._on_listing = on_listing
        self._on_change = on_change
        self._pace = pace
        # An urgent kind is looked for as soon as another VM knows of a change,
        # also while this one pauses after a failure.
        self._urgent = urgent
        self._news = asyncio.Event()
        self._watching: _Watching = None
        self._heard_revision = 0
        self.revision = 0
        # The newest change of this kind; the store's own revision also moves
        # with changes of others.
        self.changed_revision = 0
        self.regained_s = -1e9
        self.in_touch_s = -1e9
        # When the last call that was answered was asked: what the table says
        # was true then, or later.
        self.looked_s = -1e9
        self.out_of_touch = False

    async def run(self) -> None:
        """Follow for ever."""
        backoff_s = BACKOFF_FIRST_S
        listed = False
        while True:
            try:
                if not listed:
                    asked_s = self._clock.monotonic_s()
                    self._take_listing(await self._store.list(self._kind))
                    self.looked_s = asked_s
                    listed = True
                asked_s = self._clock.monotonic_s()
                change = await self._watch()
                if change is None:
                    continue
                self._take_change(change)
                self.looked_s = asked_s
                backoff_s = BACKOFF_FIRST_S
                if change.written or change.removed:
                    await self._gather()
            except HistoryGoneError:
                # What happened in between is lost: only the whole tells.
                listed = False
            except StoreError as error:
                # The revision still stands: if its history has gone by the
                # time the store is back, the watch says so.
                self._note_lost(error)
                await self._pause(backoff_s * random.uniform(0.7, 1.3))
                backoff_s = min(backoff_s * 2, self._pace().backoff_max_s)

    async def _pause(self, pause_s: float) -> None:
        """Pause after a failure, unless there is urgent news."""
        self._news.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._news.wait()

    async def _watch(self) -> Change | None:
        """Wait for changes; None if another VM's word broke off the wait."""
        watching = asyncio.ensure_future(
            self._store.changes(
                self._kind, after=self.revision, wait_s=self._pace().wait_s
            )
        )
        self._watching = watching
        try:
            await asyncio.wait([watching])
        finally:
            self._watching = None
            watching.cancel()
        return None if watching.cancelled() else watching.result()

    async def _gather(self) -> None:
        """Let changes gather, for as long as the pace goes on to allow it."""
        begun_s = self._clock.monotonic_s()
        while True:
            left_s = begun_s + self._pace().gather_s - self._clock.monotonic_s()
            if left_s <= 0:
                return
            await asyncio.sleep(min(left_s, GATHER_LOOK_S))

    def hear(self, revision: int) -> None:
        """Note that another VM knows a revision of this kind."""
        if revision <= max(self.changed_revision, self._heard_revision):
            return
        self._heard_revision = revision
        if self._urgent:
            self._news.set()
        loop = asyncio.get_running_loop()
        loop.call_later(HEARD_GRACE_S, self._break_off, revision, self._watching)

    def _break_off(
        self, revision: int, watching: "asyncio.Task[Change] | None"
    ) -> None:
        if watching is None or watching is not self._watching:
            return
        if self.changed_revision < revision:
            _log.warning("watch_dead", kind=self._kind, revision=self.revision)
            watching.cancel()

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

    def _note_touch(self, revision: int) -> None:
        self.revision = revision
        self.in_touch_s = self._clock.monotonic_s()
        if self.out_of_touch:
            self.out_of_touch = False
            self.regained_s = self.in_touch_s
            _log.info("store_regained", kind=self._kind, revision=revision)

    def _note_lost(self, error: StoreError) -> None:
        if not self.out_of_touch:
            self.out_of_touch = True
            _log.warning(
                "store_lost",
                kind=self._kind,
                why=error.message,
                step=error.step.value,
                peer=error.peer,
                revision=self.revision,
            )
