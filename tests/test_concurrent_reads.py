"""Tests that listing a table continues when its concurrent watch ends."""

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
ARRIVAL_S = 2.5


def a_watcher(listed_at_s: dict[int, float], policy: WatchPolicy) -> StoreWatcher:
    """Build a watcher that records when it listed each revision."""
    return StoreWatcher(
        a_store(),
        "config",
        clock=LoopClock(),
        on_listing=lambda listing: listed_at_s.setdefault(listing.revision, now_s()),
        on_change=lambda _: None,
        policy=lambda: policy,
        urgent=True,
    )


def count_reads_beside_a_silent_watch(
    policy: WatchPolicy, during_read: Callable[[StoreWatcher], None] = lambda _: None
) -> int:
    """Return how often revision 6 is requested until it is received.

    The watch never responds; the listing arrives in pieces. `during_read` runs
    while it arrives.
    """
    list_requests: list[str] = []
    listed_at_s: dict[int, float] = {}

    def script(path: str) -> Pieces:
        if "watch" in path:
            return ()
        list_requests.append(path)
        if len(list_requests) == 1:
            return [(0.01, response_bytes(a_list_response(5)))]
        return in_pieces(
            response_bytes(a_list_response(6)), 10, first_s=0.1, gap_s=ARRIVAL_S / 10
        )

    async def run() -> None:
        watcher = a_watcher(listed_at_s, policy)
        watching = asyncio.ensure_future(watcher.run())
        async with asyncio.timeout(60.0):
            while len(list_requests) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.2)
            during_read(watcher)
            while 6 not in listed_at_s:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        watching.cancel()

    run_in_virtual_time(script, run)
    return len(list_requests) - 1


def test_a_failed_watch_does_not_cancel_the_concurrent_read() -> None:
    # The watch times out on a dead connection. If that cancelled the concurrent
    # read, the read would start again at its first byte.
    assert count_reads_beside_a_silent_watch(WatchPolicy(wait_s=0.5)) == 1


def test_cancelling_a_relaxed_watch_does_not_cancel_the_concurrent_read() -> None:
    # A peer announces a newer revision, so the relaxed watch is cancelled. The
    # concurrent read is already receiving this revision.
    policy = WatchPolicy(wait_s=10.0, relaxed=True, copy_wait_s=0.1)
    assert (
        count_reads_beside_a_silent_watch(
            policy, lambda watcher: watcher.note_peer_revision(6)
        )
        == 1
    )


def test_a_change_missing_from_watches_is_read_once_a_peer_announces_it() -> None:
    # The watches of the store never deliver one change, and report a later
    # revision. The watch in progress ends before it can be marked as suspect,
    # and later watches are not marked. If only a suspect watch led to a new
    # listing, the VM would never receive the change.
    listed_at_s: dict[int, float] = {}
    list_requests: list[str] = []

    def script(path: str) -> Pieces:
        if "watch" in path:
            return [(0.6, response_bytes(an_empty_watch_response(7)))]
        list_requests.append(path)
        if len(list_requests) == 1:
            return [(0.01, response_bytes(a_list_response(5)))]
        return [(0.01, response_bytes({**a_list_response(6), "atRevision": 7}))]

    async def run() -> None:
        watcher = a_watcher(listed_at_s, WatchPolicy(wait_s=0.6))
        watching = asyncio.ensure_future(watcher.run())
        await asyncio.sleep(3.0)
        watcher.note_peer_revision(6)
        await asyncio.sleep(5.0)
        watching.cancel()
        assert not watcher.behind

    run_in_virtual_time(script, run)


def test_a_store_that_responds_after_seconds_is_eventually_read() -> None:
    # With a constant time limit on responses, each read would be cancelled and
    # begin again.
    slow_s = 1.8
    listed_at_s: dict[int, float] = {}

    async def run() -> None:
        watching = asyncio.ensure_future(a_watcher(listed_at_s, WatchPolicy()).run())
        await asyncio.sleep(8 * slow_s)
        watching.cancel()
        assert 5 in listed_at_s

    run_in_virtual_time(SlowStore(slow_s=slow_s), run)
