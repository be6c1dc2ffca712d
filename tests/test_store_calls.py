"""Tests that a store call fails if nothing arrives, not if it is slow."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from store_wire import (
    CALL_TIMEOUT_S,
    READ_INACTIVITY_TIMEOUT_S,
    Pieces,
    SlowStore,
    a_list_response,
    a_store,
    a_watch_response,
    in_pieces,
    now_s,
    response_bytes,
    run_in_virtual_time,
)
from virtual_time import LoopClock

from rosepath.object_store import StoreError
from rosepath.platform.store import MAX_RESPONSE_BYTES
from rosepath.store_watcher import StoreWatcher, WatchPolicy

CONFIG = "config"
# For rounding and the steps of the event loop.
SLACK_S = 0.01


async def time_to_fail() -> float:
    """Return how long a store read takes to fail."""
    store = a_store()
    started_s = now_s()
    with pytest.raises(StoreError):
        await store.list(CONFIG)
    return now_s() - started_s


def test_a_read_is_not_cancelled_while_its_response_arrives() -> None:
    # Cancelled, a large response over a slow link starts again at its first
    # byte and is never read in full.
    pieces = in_pieces(response_bytes(a_list_response(7)), 20, first_s=0.1, gap_s=0.3)

    async def run() -> None:
        listing = await a_store().list(CONFIG)
        assert listing.revision == 7
        assert list(listing.objects) == ["config/main"]

    run_in_virtual_time(lambda _: pieces, run)


def test_a_watch_is_not_cancelled_while_its_response_arrives() -> None:
    # The change comes at the end of the wait and takes longer than the limit.
    pieces = in_pieces(response_bytes(a_watch_response(8)), 20, first_s=1.9, gap_s=0.3)

    async def run() -> None:
        change = await a_store().changes(CONFIG, after=7, wait_s=2.0)
        assert (change.revision, list(change.written)) == (8, ["config/main"])

    run_in_virtual_time(lambda _: pieces, run)


@pytest.mark.parametrize("arrives", [1, 2, 10, 19])
def test_a_response_that_stalls_times_out_within_the_limit(
    arrives: int,
) -> None:
    # A connection that dies within a response must not block the table.
    whole = in_pieces(response_bytes(a_list_response(7)), 20, first_s=0.1, gap_s=0.3)
    pieces = whole[:arrives]

    async def run() -> None:
        took_s = await time_to_fail()
        assert took_s <= pieces[-1][0] + CALL_TIMEOUT_S + SLACK_S

    run_in_virtual_time(lambda _: pieces, run)


# Guards against an entry VM that exceeds its memory with a response without end.
def test_a_response_beyond_the_limit_fails() -> None:
    endless = b"HTTP/1.1 200 OK\r\n\r\n" + b" " * (2 * MAX_RESPONSE_BYTES)
    pieces = in_pieces(endless, 500, first_s=0.1, gap_s=0.1)

    async def run() -> None:
        assert await time_to_fail() < 0.6 * len(pieces) * 0.1

    run_in_virtual_time(lambda _: pieces, run)


def test_a_call_without_a_response_times_out_within_the_read_patience() -> None:
    # A read may take as long as data arrives. Without a limit on the first
    # byte, a call without a response would never end.
    async def run() -> None:
        assert await time_to_fail() <= READ_INACTIVITY_TIMEOUT_S + SLACK_S

    run_in_virtual_time(lambda _: (), run)


def test_a_silent_store_is_detected_and_called_again_within_the_limit() -> None:
    # A read that is left to run must not delay the detection that the store,
    # or a connection to it, does not respond.
    asked: list[str] = []

    def script(path: str) -> Pieces:
        asked.append(path)
        return ()

    async def run() -> None:
        watcher = a_watcher({})
        following = asyncio.ensure_future(watcher.run())
        await asyncio.sleep(CALL_TIMEOUT_S + SLACK_S)
        assert watcher.store_unavailable
        assert len(asked) == 2
        following.cancel()

    run_in_virtual_time(script, run)


def test_calls_without_a_response_time_out_after_any_number_of_failures() -> None:
    # A limit that grows with each failure must be bounded: only the next call
    # detects that the store has recovered.
    async def run() -> None:
        store = a_store()
        for _ in range(30):
            started_s = now_s()
            with pytest.raises(StoreError):
                await store.list(CONFIG)
            assert now_s() - started_s <= 8 * CALL_TIMEOUT_S

    run_in_virtual_time(lambda _: (), run)


def a_watcher(
    taken_s: dict[int, float], *, policy: Callable[[], WatchPolicy] = WatchPolicy
) -> StoreWatcher:
    """Build a watcher that records when it received each revision."""

    def take(change: Any) -> None:
        taken_s[change.revision] = now_s()

    return StoreWatcher(
        a_store(),
        CONFIG,
        clock=LoopClock(),
        on_listing=take,
        on_change=take,
        policy=policy,
        urgent=True,
    )


SLOW_S = 1.2


def test_a_store_slower_than_the_limit_is_eventually_read() -> None:
    # With a constant limit, each call to a store that is slow for all VMs
    # begins again, and no VM reads a change until the store is quick again.
    store = SlowStore(slow_s=SLOW_S)
    taken_s: dict[int, float] = {}

    async def run() -> None:
        started_s = now_s()
        following = asyncio.ensure_future(a_watcher(taken_s).run())
        await asyncio.sleep(4 * SLOW_S)
        following.cancel()
        assert 5 in taken_s, (
            f"{len(store.requested_paths)} calls in {now_s() - started_s} s"
        )

    run_in_virtual_time(store, run)


# Guards against a request that waits for the next change of a table which it needs now.
def test_a_refresh_does_not_wait_for_a_change() -> None:
    store = SlowStore(slow_s=0.002)

    async def run() -> None:
        watcher = a_watcher({})
        following = asyncio.ensure_future(watcher.run())
        await asyncio.sleep(0.1)
        asked_s = now_s()
        await watcher.ensure_fresh(limit_s=CALL_TIMEOUT_S)
        assert asked_s <= watcher.age.last_read_s
        assert now_s() - asked_s <= 0.1 * CALL_TIMEOUT_S
        following.cancel()

    run_in_virtual_time(store, run)


def test_a_change_in_a_store_that_became_slow_is_received() -> None:
    # The table is listed and watched; then the store slows down for all VMs.
    store = SlowStore(slow_s=0.01)
    taken_s: dict[int, float] = {}

    async def run() -> None:
        following = asyncio.ensure_future(a_watcher(taken_s).run())
        await asyncio.sleep(10.0)
        assert 5 in taken_s
        store.slow_s = SLOW_S
        await asyncio.sleep(5.0)
        store.changes_at_s = now_s()
        await asyncio.sleep(4 * SLOW_S)
        following.cancel()
        assert 6 in taken_s

    run_in_virtual_time(store, run)


def follow_a_slow_response(
    scenario: Callable[[StoreWatcher], None],
    *,
    policy: Callable[[], WatchPolicy] = WatchPolicy,
) -> tuple[list[str], dict[int, float]]:
    """Run `scenario` as a change arrives for 1.5 s; return the watches made.

    The second value maps each revision to the time at which it was received.
    """
    asked: list[str] = []
    taken_s: dict[int, float] = {}

    def script(path: str) -> Pieces:
        asked.append(path)
        if "watch" not in path:
            return [(0.01, response_bytes(a_list_response(5)))]
        if "watch=5" in path:
            return in_pieces(
                response_bytes(a_watch_response(6)), 10, first_s=0.1, gap_s=0.15
            )
        return ()

    async def run() -> None:
        watcher = a_watcher(taken_s, policy=policy)
        following = asyncio.ensure_future(watcher.run())
        await asyncio.sleep(0.2)
        scenario(watcher)
        await asyncio.sleep(3.0)
        following.cancel()

    run_in_virtual_time(script, run)
    return [path for path in asked if "watch=5" in path], taken_s


def test_a_peers_revision_does_not_cancel_a_watch_that_is_receiving_it() -> None:
    # Another VM on a faster link announces the revision while its body is in
    # transit to this one. Cancelled for that, the watch starts again at the
    # first byte.
    asked, taken_s = follow_a_slow_response(
        lambda watcher: watcher.note_peer_revision(6)
    )
    assert len(asked) == 1
    assert taken_s[6] <= taken_s[5] + 1.5 + SLACK_S


def test_a_shorter_wait_does_not_cancel_a_watch_that_is_receiving() -> None:
    # While a change is known that is not here yet, the lease holder's messages
    # do not cover the table. The policy then shortened the wait, which
    # cancelled the watch that was receiving the change.
    wait_s = [10.0]

    def shorten(_: StoreWatcher) -> None:
        wait_s[0] = 0.8

    asked, taken_s = follow_a_slow_response(
        shorten, policy=lambda: WatchPolicy(wait_s=wait_s[0])
    )
    assert len(asked) == 1
    assert taken_s[6] <= taken_s[5] + 1.5 + SLACK_S


def test_a_change_over_a_slow_link_is_read_in_time_from_a_healthy_store() -> None:
    # The wait shortens while the change is received. The probe that replaces
    # the watch timed out, and so did each listing after it: only this VM's
    # limit was exceeded, and the change never arrived.
    wait_s = [10.0]
    taken_s: dict[int, float] = {}

    def script(path: str) -> Pieces:
        if "watch" not in path and not taken_s:
            return [(0.01, response_bytes(a_list_response(5)))]
        if "watch=6" in path:
            return ()
        whole = a_watch_response(6) if "watch" in path else a_list_response(6)
        return in_pieces(response_bytes(whole), 10, first_s=0.07, gap_s=0.07)

    async def run() -> None:
        watcher = a_watcher(taken_s, policy=lambda: WatchPolicy(wait_s=wait_s[0]))
        following = asyncio.ensure_future(watcher.run())
        await asyncio.sleep(0.1)
        watcher.note_peer_revision(6)
        wait_s[0] = 0.2
        await asyncio.sleep(2.0)
        following.cancel()
        assert 6 in taken_s

    run_in_virtual_time(script, run)
