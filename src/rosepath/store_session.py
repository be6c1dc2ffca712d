"""Access the store from a daemon, with rate-limited calls and watches."""

import asyncio
import json
import random
from collections import Counter
from collections.abc import AsyncIterator

from rosepath.clock import Clock
from rosepath.object_store import (
    Change,
    HistoryGoneError,
    Listing,
    ObjectEvent,
    StoreAccess,
    StoredObject,
    StoreError,
    VmState,
)
from rosepath.platform.store import PlatformStore
from rosepath.settings import PlatformSettings
from rosepath.token_bucket import TokenBucket

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
VM_KIND = "vms"


class StoreSession:
    """Implement `PlatformPort` with calls to the store, limited in rate."""

    def __init__(self, settings: PlatformSettings, *, clock: Clock) -> None:
        # A watch waits for half of the inactivity timeout, and its call times
        # out within the other half. A watch that no longer responds is thus
        # detected within the timeout.
        self._wait_s = settings.watch_silence_s / 2
        call_timeout_s = min(settings.call_timeout_s, settings.watch_silence_s / 2)
        access = StoreAccess(
            address=settings.address,
            call_timeout_s=call_timeout_s,
            read_patience_s=call_timeout_s,
        )
        self._store = PlatformStore(access, clock=clock)
        self._inactivity_timeout_s = settings.watch_silence_s
        self._clock = clock
        self._budget = TokenBucket(
            rate_per_s=settings.calls_per_s, burst=settings.calls_per_s * 2
        )

    @property
    def calls(self) -> Counter[str]:
        return self._store.calls

    @property
    def reachable(self) -> bool:
        """Return whether a call succeeded within the inactivity timeout."""
        age_s = self._clock.monotonic_s() - self._store.last_success_s
        return age_s < self._inactivity_timeout_s

    def close(self) -> None:
        """Close the connections."""
        self._store.close()

    async def get(self, name: str) -> StoredObject | None:
        await self._take_budget()
        return await self._store.get(name)

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        await self._take_budget()
        return await self._store.put(name, value, expected_version=expected_version)

    async def delete(self, name: str, *, expected_version: int) -> None:
        await self._take_budget()
        await self._store.delete(name, expected_version=expected_version)

    async def list_names(self, prefix: str) -> list[str]:
        listing = await self._list(prefix.partition("/")[0])
        return [name for name in listing.objects if name.startswith(prefix)]

    async def vms(self) -> dict[str, VmState]:
        listing = await self._list(VM_KIND)
        return {
            name.partition("/")[2]: VmState(json.loads(stored.value)["state"])
            for name, stored in listing.objects.items()
        }

    async def watch(self, prefix: str) -> AsyncIterator[ObjectEvent]:
        """Yield changes until cancelled, and restart the watch after failures.

        Each start yields an event with an empty name. The consumer then reads
        the current state and so misses no change between two watches.
        """
        kind = prefix.partition("/")[0]
        backoff_s = INITIAL_BACKOFF_S
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    revision = (await self._list(kind)).revision
                    yield ObjectEvent("", revision)
                await self._take_budget()
                change = await self._store.changes(
                    kind, after=revision, wait_s=self._wait_s
                )
            except HistoryGoneError:
                revision = None
                continue
            except StoreError:
                revision = None
                await asyncio.sleep(random.uniform(0.5, 1.0) * backoff_s)
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                continue
            backoff_s = INITIAL_BACKOFF_S
            revision = change.revision
            for event in _events(change, prefix):
                yield event

    async def _list(self, kind: str) -> Listing:
        await self._take_budget()
        return await self._store.list(kind)

    async def _take_budget(self) -> None:
        while (wait_s := self._budget.take(self._clock.monotonic_s())) > 0:  # noqa: ASYNC110
            await asyncio.sleep(wait_s * random.uniform(1.0, 1.5))


def _events(change: Change, prefix: str) -> list[ObjectEvent]:
    named = [
        ObjectEvent(name, stored.version)
        for name, stored in change.written.items()
        if name.startswith(prefix)
    ]
    named += [
        ObjectEvent(name, change.revision)
        for name in change.removed
        if name.startswith(prefix)
    ]
    return named or [ObjectEvent("", change.revision)]
