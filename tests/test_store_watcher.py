"""Tests of listing and watching one kind of stored objects."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from itertools import pairwise
from typing import Any

from fleet_world import run_in_virtual_time
from virtual_time import LoopClock

from rosepath.clock import ManualClock
from rosepath.errors import Step
from rosepath.object_store import (
    Change,
    HistoryGoneError,
    Listing,
    StoredObject,
    StoreError,
)
from rosepath.store_watcher import PROBE_WAIT_S, StoreWatcher, WatchPolicy


class ScriptedStore:
    """Respond to lists and watches from a script, then block."""

    def __init__(self, listings: list[Listing], watches: list[object]) -> None:
        self.listings = listings
        self.watches = watches
        self.asked_after: list[int] = []

    async def list(self, _: str, **_options: Any) -> Listing:
        return self.listings.pop(0)

    async def changes(
        self,
        _: str,
        *,
        after: int,
        wait_s: float,
        relaxed: bool = False,
        **_options: Any,
    ) -> Change:
        self.asked_after.append(after)
        if not self.watches:
            await asyncio.Event().wait()
        answer = self.watches.pop(0)
        if isinstance(answer, Exception):
            raise answer
        assert isinstance(answer, Change)
        return answer


def listing(revision: int, *names: str) -> Listing:
    objects = {name: StoredObject(name, revision, b"{}") for name in names}
    return Listing(revision=revision, objects=objects)


def a_watcher(store: ScriptedStore, clock: ManualClock, **options: Any) -> StoreWatcher:
    return StoreWatcher(
        store,
        "servers",
        clock=clock,
        on_listing=lambda _: None,
        on_change=lambda _: None,
        **options,
    )


def follow(store: ScriptedStore, done: Callable[[list[str]], bool]) -> list[str]:
    """Run a watcher until `done`; return the listings and removals applied."""
    seen: list[str] = []

    async def run() -> None:
        watcher = StoreWatcher(
            store,
            "servers",
            clock=ManualClock(),
            on_listing=lambda whole: seen.append("listed " + ",".join(whole.objects)),
            on_change=lambda change: seen.append("gone " + ",".join(change.removed)),
        )
        following = asyncio.ensure_future(watcher.run())
        async with asyncio.timeout(10):
            while not done(seen) or store.watches:  # noqa: ASYNC110
                await asyncio.sleep(0)
        following.cancel()

    asyncio.run(run())
    return seen


def test_one_listing_follows_a_store_failure() -> None:
    # The store may have dropped the history of an outage, so a watch cannot
    # resume. One call lists all objects, and the next watch starts at its
    # revision.
    gone = Change(revision=9, written={}, removed=frozenset({"servers/b"}))
    store = ScriptedStore(
        [listing(5, "servers/a"), listing(7, "servers/b")],
        [StoreError("down", step=Step.STORE), gone],
    )
    seen = follow(store, lambda seen: len(seen) == 3)
    assert seen == ["listed servers/a", "listed servers/b", "gone servers/b"]
    assert store.asked_after == [5, 7]
    assert store.listings == []


def test_a_listing_follows_lost_history() -> None:
    # A server left in the dropped part of the history, so no watch returns it.
    store = ScriptedStore(
        [listing(5, "servers/a", "servers/b"), listing(12, "servers/b")],
        [HistoryGoneError("servers", step=Step.STORE)],
    )
    seen = follow(store, lambda seen: len(seen) == 2)
    assert seen == ["listed servers/a,servers/b", "listed servers/b"]


def test_a_listing_older_than_the_known_revision_is_ignored() -> None:
    store = ScriptedStore(
        [listing(8, "servers/a"), listing(3), listing(9, "servers/a")],
        [
            HistoryGoneError("servers", step=Step.STORE),
            HistoryGoneError("servers", step=Step.STORE),
        ],
    )
    seen = follow(store, lambda seen: len(seen) == 2)
    assert seen == ["listed servers/a", "listed servers/a"]


def test_changes_during_an_interruption_are_read_right_after_it() -> None:
    # The connections of all watches break while the operator changes the
    # configuration, and the history is dropped. The store holds a watch that
    # resumes from the old revision until the next change, and only then
    # reports the lost history: the change took effect after 5.7 s, where 2 s
    # are allowed.
    store = ScriptedStore(
        [listing(5, "config/main"), listing(9, "config/main", "config/next")],
        [StoreError("answer closed early", step=Step.STORE)],
    )
    seen = follow(store, lambda seen: len(seen) == 2)
    assert seen == ["listed config/main", "listed config/main,config/next"]
    assert store.asked_after[-1] == 9


def test_a_newer_revision_on_a_peer_ends_the_pause_after_a_failure() -> None:
    # The store rejects this VM, and its pauses have grown. Meanwhile the other
    # VMs apply a new configuration. Requests here must not use the old one
    # until the pause ends.
    async def run() -> None:
        whole = listing(9, "config/main")
        store = ScriptedStore([whole], [])
        fails = [StoreError("turned away", step=Step.STORE)] * 12
        listed = asyncio.Event()

        async def list_late(_: str, **_options: Any) -> Listing:
            if fails:
                raise fails.pop()
            listed.set()
            return whole

        store.list = list_late  # type: ignore[method-assign]
        watcher = StoreWatcher(
            store,
            "config",
            clock=ManualClock(),
            on_listing=lambda _: None,
            on_change=lambda _: None,
            policy=lambda: WatchPolicy(backoff_max_s=3600.0),
            urgent=True,
        )
        following = asyncio.ensure_future(watcher.run())
        revision = 0
        async with asyncio.timeout(10):
            while not listed.is_set():
                revision += 1
                watcher.note_peer_revision(revision)
                await asyncio.sleep(0)
        following.cancel()

    asyncio.run(run())


def test_a_refresh_cancels_a_long_watch() -> None:
    # A VM resumes from suspension with a table that is too old to route by,
    # while its watch may wait for ten more seconds.
    async def run() -> None:
        clock = ManualClock()
        whole = listing(5, "servers/a")
        store = ScriptedStore([whole], [])
        waits_s: list[float] = []

        async def changes(
            _: str, *, after: int, wait_s: float, relaxed: bool = False, **_options: Any
        ) -> Change:
            waits_s.append(wait_s)
            if len(waits_s) == 1:
                await asyncio.Event().wait()
            return Change(revision=5, written={}, removed=frozenset())

        store.changes = changes  # type: ignore[method-assign]
        watcher = a_watcher(store, clock, policy=lambda: WatchPolicy(wait_s=10.0))
        following = asyncio.ensure_future(watcher.run())
        while not waits_s:  # noqa: ASYNC110
            await asyncio.sleep(0)
        clock.advance(20.0)
        assert watcher.age.age_s == 20.0
        async with asyncio.timeout(10):
            await watcher.ensure_fresh(limit_s=10.0)
        assert watcher.age.age_s < 1.0
        assert waits_s[:2] == [10.0, PROBE_WAIT_S]
        following.cancel()

    asyncio.run(run())


def test_a_relaxed_watch_confirms_no_age_and_yields_to_a_newer_revision() -> None:
    # The response to a relaxed watch may be seconds old. If it counted as a
    # store read, requests would go to servers that left meanwhile. Only a full
    # watch returns in time a change that another VM already has.
    async def run() -> None:
        clock = ManualClock()
        store = ScriptedStore([listing(5, "servers/a")], [])
        relaxed_watches: list[bool] = []

        async def changes(
            _: str, *, after: int, wait_s: float, relaxed: bool = False, **_options: Any
        ) -> Change:
            relaxed_watches.append(relaxed)
            if len(relaxed_watches) > 1:
                await asyncio.Event().wait()
            return Change(revision=6, written={}, removed=frozenset())

        store.changes = changes  # type: ignore[method-assign]
        policy = WatchPolicy(wait_s=10.0, relaxed=True)
        watcher = a_watcher(store, clock, policy=lambda: policy, urgent=True)
        following = asyncio.ensure_future(watcher.run())
        while not relaxed_watches:  # noqa: ASYNC110
            await asyncio.sleep(0)
        clock.advance(5.0)
        while len(relaxed_watches) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0)
        assert watcher.age.age_s == 5.0
        watcher.note_peer_revision(7)
        while len(relaxed_watches) < 3:  # noqa: ASYNC110
            await asyncio.sleep(0)
        assert relaxed_watches == [True, True, False]
        following.cancel()

    asyncio.run(run())


def test_a_refresh_never_uses_a_relaxed_watch() -> None:
    async def run() -> None:
        clock = ManualClock()
        store = ScriptedStore([listing(5, "servers/a")], [])
        relaxed_watches: list[bool] = []

        async def changes(
            _: str, *, after: int, wait_s: float, relaxed: bool = False, **_options: Any
        ) -> Change:
            relaxed_watches.append(relaxed)
            if relaxed:
                await asyncio.Event().wait()
            return Change(revision=5, written={}, removed=frozenset())

        store.changes = changes  # type: ignore[method-assign]
        policy = WatchPolicy(wait_s=10.0, relaxed=True)
        watcher = a_watcher(store, clock, policy=lambda: policy)
        following = asyncio.ensure_future(watcher.run())
        while not relaxed_watches:  # noqa: ASYNC110
            await asyncio.sleep(0)
        clock.advance(5.0)
        async with asyncio.timeout(10):
            await watcher.ensure_fresh(limit_s=10.0)
        assert relaxed_watches[:2] == [True, False]
        assert watcher.age.age_s == 0.0
        following.cancel()

    asyncio.run(run())


def test_a_single_failed_call_is_no_store_outage() -> None:
    # Its connection may have died long before, while idle. Only the next call,
    # over a new connection, shows that the store fails at that time.
    async def run() -> None:
        clock = ManualClock()
        store = ScriptedStore([], [])
        watcher = a_watcher(store, clock)
        watcher.age.note_store_read(clock.now_s)
        clock.advance(1.0)
        watcher._requested_s = clock.now_s
        watcher._note_failure(StoreError("no answer in time", step=Step.STORE))
        assert watcher.since_failure_s > 1e6
        watcher._note_failure(StoreError("no answer in time", step=Step.STORE))
        assert watcher.since_failure_s == 0.0

    asyncio.run(run())


class FailingStore:
    """Fail each read after `takes_s`, and record when it was requested."""

    def __init__(self, *, takes_s: float) -> None:
        self._takes_s = takes_s
        self.asked_s: list[float] = []

    async def list(self, _: str, **_options: Any) -> Listing:
        self.asked_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self._takes_s)
        raise StoreError("no answer in time", step=Step.STORE)

    async def changes(
        self,
        _: str,
        *,
        after: int,
        wait_s: float,
        relaxed: bool = False,
        **_options: Any,
    ) -> Change:
        raise AssertionError("nothing was listed yet")

    def backed_off(self) -> bool:
        """Return whether the pauses between calls are at their maximum."""
        return any(gap_s > BACKED_OFF_S for gap_s in self.gaps_s())

    def gaps_s(self) -> Sequence[float]:
        """Return the intervals between calls."""
        return [later - sooner for sooner, later in pairwise(self.asked_s)]


MAX_PAUSE_S = 60.0
BACKED_OFF_S = 0.6 * MAX_PAUSE_S
# Longest interval between calls, besides their own duration, while a VM is
# known to be outdated: the store may recover at any time.
RETRY_INTERVAL_S = 1.0
TAKES_S = 0.3


def run_after_backoff(
    scenario: Callable[[StoreWatcher], Awaitable[None]],
) -> FailingStore:
    """Let the pauses of a watcher grow, run `scenario`, return the store."""
    store = FailingStore(takes_s=TAKES_S)

    async def run() -> None:
        watcher = StoreWatcher(
            store,
            "config",
            clock=LoopClock(),
            on_listing=lambda _: None,
            on_change=lambda _: None,
            policy=lambda: WatchPolicy(backoff_max_s=MAX_PAUSE_S),
            urgent=True,
        )
        following = asyncio.ensure_future(watcher.run())
        while not store.backed_off():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        # Keep the call that has just begun.
        del store.asked_s[:-1]
        await scenario(watcher)
        following.cancel()

    run_in_virtual_time(run)
    return store


def test_a_revision_announced_during_a_failing_call_shortens_the_next_pause() -> None:
    # Another VM announces a revision during a call of this VM. It must not be
    # dropped when the call fails: later messages repeat it, but not as a new
    # revision.
    async def scenario(watcher: StoreWatcher) -> None:
        await asyncio.sleep(TAKES_S / 3)
        watcher.note_peer_revision(9)
        await asyncio.sleep(MAX_PAUSE_S)

    assert run_after_backoff(scenario).gaps_s()[0] <= TAKES_S + RETRY_INTERVAL_S


def test_pauses_stay_short_while_a_peer_has_a_newer_revision() -> None:
    # A failed read does not show what other VMs have. Until the table has the
    # revision, the pauses must not grow to their maximum again.
    async def scenario(watcher: StoreWatcher) -> None:
        await asyncio.sleep(2 * TAKES_S)
        watcher.note_peer_revision(9)
        for _ in range(100):
            # Other VMs repeat the revision in each message.
            await asyncio.sleep(0.2)
            watcher.note_peer_revision(9)

    store = run_after_backoff(scenario)
    assert len(store.asked_s) >= 20 / (TAKES_S + RETRY_INTERVAL_S)
    assert max(store.gaps_s()) <= TAKES_S + RETRY_INTERVAL_S


def test_pauses_stay_long_without_a_newer_revision() -> None:
    # A failing store is not called at short intervals without a reason, and a
    # message without a newer revision is none.
    async def scenario(watcher: StoreWatcher) -> None:
        for _ in range(5 * 60):
            await asyncio.sleep(0.2)
            watcher.note_peer_revision(0)

    assert len(run_after_backoff(scenario).asked_s) <= 3
