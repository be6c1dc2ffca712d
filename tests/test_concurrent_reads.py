"""Tests that an arriving read continues if the watch beside it ends."""

import asyncio
from collections.abc import Callable

from store_wire import (
    Pieces,
    SlowStore,
    a_list_response,
    a_store,
    an_empty_watch_response,
    in_pieces,
    now_s,
    response_bytes,
    run_in_virtual_time,
)
from virtual_time import LoopClock

from rosepath.store_watcher import StoreWatcher, WatchPolicy

# How long a full listing takes to arrive over a slow link.
ARRIVES_S = 2.5


def a_watcher(taken_s: dict[int, float], policy: WatchPolicy) -> StoreWatcher:
    """Build a watcher that records when it listed each revision."""
    return StoreWatcher(
        a_store(),
        "config",
        clock=LoopClock(),
        on_listing=lambda listing: taken_s.setdefault(listing.revision, now_s()),
        on_change=lambda _: None,
        policy=lambda: policy,
        urgent=True,
    )


def read_beside_a_silent_watch(
    policy: WatchPolicy, scenario: Callable[[StoreWatcher], None] = lambda _: None
) -> int:
    """Return how many listings are requested until one is received."""
    asked: list[str] = []
    taken_s: dict[int, float] = {}

    def script(path: str) -> Pieces:
        if "watch" in path:
            return ()
        asked.append(path)
        if len(asked) == 1:
            return [(0.01, response_bytes(a_list_response(5)))]
        return in_pieces(
            response_bytes(a_list_response(6)), 10, first_s=0.1, gap_s=ARRIVES_S / 10
        )

    async def run() -> None:
        watcher = a_watcher(taken_s, policy)
        following = asyncio.ensure_future(watcher.run())
        async with asyncio.timeout(60.0):
            while len(asked) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.2)
            scenario(watcher)
            while 6 not in taken_s:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        following.cancel()

    run_in_virtual_time(script, run)
    return len(asked) - 1


def test_a_failed_watch_does_not_cancel_the_concurrent_read() -> None:
    # The watch's connection is dead. The concurrent read was cancelled as the
    # watch timed out, and started again at its first byte.
    assert read_beside_a_silent_watch(WatchPolicy(wait_s=0.5)) == 1


def test_cancelling_a_relaxed_watch_does_not_cancel_the_concurrent_read() -> None:
    # That read is receiving the newer revision for which the watch is
    # cancelled.
    policy = WatchPolicy(wait_s=10.0, relaxed=True, copy_wait_s=0.1)
    assert (
        read_beside_a_silent_watch(
            policy, lambda watcher: watcher.note_peer_revision(6)
        )
        == 1
    )


def test_a_change_that_watches_skip_is_read_once_a_peer_announces_it() -> None:
    # The store's watches skip a change and continue after it. The watch in
    # progress ends by itself before it can be marked as suspect, and no later
    # one ever is, so the VM would stay outdated permanently.
    taken_s: dict[int, float] = {}
    lists: list[str] = []

    def script(path: str) -> Pieces:
        if "watch" in path:
            return [(0.6, response_bytes(an_empty_watch_response(7)))]
        lists.append(path)
        if len(lists) == 1:
            return [(0.01, response_bytes(a_list_response(5)))]
        return [(0.01, response_bytes({**a_list_response(6), "atRevision": 7}))]

    async def run() -> None:
        watcher = a_watcher(taken_s, WatchPolicy(wait_s=0.6))
        following = asyncio.ensure_future(watcher.run())
        await asyncio.sleep(3.0)
        watcher.note_peer_revision(6)
        await asyncio.sleep(5.0)
        following.cancel()
        assert not watcher.behind

    run_in_virtual_time(script, run)


def test_a_store_that_responds_after_seconds_is_eventually_read() -> None:
    # With a constant limit, each read would be cancelled and begin again.
    slow_s = 1.8
    taken_s: dict[int, float] = {}

    async def run() -> None:
        following = asyncio.ensure_future(a_watcher(taken_s, WatchPolicy()).run())
        await asyncio.sleep(8 * slow_s)
        following.cancel()
        assert 5 in taken_s

    run_in_virtual_time(SlowStore(slow_s=slow_s), run)
