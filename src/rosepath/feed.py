"""Follow a kind of objects in the store: read it whole, then its changes."""

import asyncio
import random
from collections.abc import Callable

from rosepath.clock import Clock
from rosepath.logs import get_logger
from rosepath.object_store import (
    Change,
    FeedPort,
    HistoryGoneError,
    Listing,
    StoreError,
)

# A watch that is answered so often needs no other sign of life: a connection
# that has gone silent is found this long after, plus one call's time.
WATCH_WAIT_S = 2.0
# Changes come in bursts, and each answer to a watch is a call that costs; this
# pause takes a burst together and is a small part of any bound on following.
GATHER_S = 0.25
BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 0.5

_log = get_logger()


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
    ) -> None:
        self._store = store
        self._kind = kind
        self._clock = clock
        self._on_listing = on_listing
        self._on_change = on_change
        self._wake = asyncio.Event()
        self.revision = 0
        self.in_touch_s = -1e9
        self.out_of_touch = False

    async def run(self) -> None:
        """Follow for ever."""
        backoff_s = BACKOFF_FIRST_S
        listed = False
        while True:
            try:
                if not listed:
                    self._take_listing(await self._store.list(self._kind))
                    listed = True
                change = await self._store.changes(
                    self._kind, after=self.revision, wait_s=WATCH_WAIT_S
                )
                self._take_change(change)
                backoff_s = BACKOFF_FIRST_S
                if change.written or change.removed:
                    await asyncio.sleep(GATHER_S)
            except HistoryGoneError:
                # What happened in between is lost: only the whole tells.
                listed = False
            except StoreError as error:
                # The revision still stands: if its history has gone by the
                # time the store is back, the watch says so.
                self._note_lost(error)
                await asyncio.sleep(backoff_s * random.uniform(0.7, 1.3))
                backoff_s = min(backoff_s * 2, BACKOFF_MAX_S)

    def _take_listing(self, listing: Listing) -> None:
        if listing.revision < self.revision:
            return
        self._on_listing(listing)
        self._note_touch(listing.revision)

    def _take_change(self, change: Change) -> None:
        if change.written or change.removed:
            self._on_change(change)
        self._note_touch(max(self.revision, change.revision))

    def _note_touch(self, revision: int) -> None:
        self.revision = revision
        self.in_touch_s = self._clock.monotonic_s()
        if self.out_of_touch:
            self.out_of_touch = False
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
