"""A call to the store fails when nothing arrives, not when it takes long."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from store_wire import (
    CALL_TIMEOUT_S,
    READ_PATIENCE_S,
    Pieces,
    SlowStore,
    a_change,
    a_listing,
    a_store,
    answer,
    in_pieces,
    now_s,
    play,
)
from virtual_time import LoopClock

from rosepath.feed import Feed, Pace
from rosepath.object_store import StoreError

CONFIG = "config"
# For rounding, and for the steps of a loop.
SLACK_S = 0.01


async def time_to_fail() -> float:
    """Return how long a read of the store takes to fail."""
    store = a_store()
    begun_s = now_s()
    with pytest.raises(StoreError):
        await store.list(CONFIG)
    return now_s() - begun_s


def test_a_read_whose_answer_keeps_arriving_is_not_ended() -> None:
    # Broken off, a large answer over a slow link starts again at its first byte,
    # and is never read whole.
    pieces = in_pieces(answer(a_listing(7)), 20, first_s=0.1, gap_s=0.3)

    async def run() -> None:
        listing = await a_store().list(CONFIG)
        assert listing.revision == 7
        assert list(listing.objects) == ["config/main"]

    play(lambda _: pieces, run)


def test_a_watch_whose_answer_keeps_arriving_is_not_ended() -> None:
    # The change comes at the end of the wait, and takes longer than the limit.
    pieces = in_pieces(answer(a_change(8)), 20, first_s=1.9, gap_s=0.3)

    async def run() -> None:
        change = await a_store().changes(CONFIG, after=7, wait_s=2.0)
        assert (change.revision, list(change.written)) == (8, ["config/main"])

    play(lambda _: pieces, run)


@pytest.mark.parametrize("arrives", [1, 2, 10, 19])
def test_an_answer_that_stops_arriving_is_given_up_within_the_limit(
    arrives: int,
) -> None:
    # A connection that goes silent halfway must not hold the table back.
    whole = in_pieces(answer(a_listing(7)), 20, first_s=0.1, gap_s=0.3)
    pieces = whole[:arrives]

    async def run() -> None:
        took_s = await time_to_fail()
        assert took_s <= pieces[-1][0] + CALL_TIMEOUT_S + SLACK_S

    play(lambda _: pieces, run)


def test_a_call_without_any_answer_is_given_up_within_the_patience_for_it() -> None:
    # A read may take as long as it arrives; one whose answer never begins
    # would be waited for without end.
    async def run() -> None:
        assert await time_to_fail() <= READ_PATIENCE_S + SLACK_S

    play(lambda _: (), run)


def test_a_silent_store_is_known_within_the_limit_and_asked_again_by_then() -> None:
    # A read that is left to run must not hold back the news that the store, or a
    # connection to it, does not answer.
    asked: list[str] = []

    def script(path: str) -> Pieces:
        asked.append(path)
        return ()

    async def run() -> None:
        feed = a_feed({})
        following = asyncio.ensure_future(feed.run())
        await asyncio.sleep(CALL_TIMEOUT_S + SLACK_S)
        assert feed.store_unavailable
        assert len(asked) == 2
        following.cancel()

    play(script, run)


def test_calls_without_any_answer_are_given_up_however_many_failed() -> None:
    # A limit that grows with each failure must not grow for ever: whether the
    # store is back is found out by the next call alone.
    async def run() -> None:
        store = a_store()
        for _ in range(30):
            begun_s = now_s()
            with pytest.raises(StoreError):
                await store.list(CONFIG)
            assert now_s() - begun_s <= 8 * CALL_TIMEOUT_S

    play(lambda _: (), run)


def a_feed(taken_s: dict[int, float], *, pace: Callable[[], Pace] = Pace) -> Feed:
    """Build a feed that notes when it learned of which revision."""

    def take(change: Any) -> None:
        taken_s[change.revision] = now_s()

    return Feed(
        a_store(),
        CONFIG,
        clock=LoopClock(),
        on_listing=take,
        on_change=take,
        pace=pace,
        urgent=True,
    )


SLOW_S = 1.2


def test_a_store_slower_than_the_limit_is_read_in_the_end() -> None:
    # Ended at a constant limit, each call to a store that is slow for everybody
    # begins anew, and no VM learns of anything until it is quick again.
    store = SlowStore(slow_s=SLOW_S)
    taken_s: dict[int, float] = {}

    async def run() -> None:
        begun_s = now_s()
        following = asyncio.ensure_future(a_feed(taken_s).run())
        await asyncio.sleep(4 * SLOW_S)
        following.cancel()
        assert 5 in taken_s, f"{len(store.asked)} calls in {now_s() - begun_s} s"

    play(store, run)


def test_a_change_in_a_store_that_became_slow_is_learned_of() -> None:
    # The table is whole and followed; then the store slows down for everybody.
    store = SlowStore(slow_s=0.01)
    taken_s: dict[int, float] = {}

    async def run() -> None:
        following = asyncio.ensure_future(a_feed(taken_s).run())
        await asyncio.sleep(10.0)
        assert 5 in taken_s
        store.slow_s = SLOW_S
        await asyncio.sleep(5.0)
        store.changes_s = now_s()
        await asyncio.sleep(4 * SLOW_S)
        following.cancel()
        assert 6 in taken_s

    play(store, run)


def follow_a_slow_answer(
    course: Callable[[Feed], None], *, pace: Callable[[], Pace] = Pace
) -> tuple[list[str], dict[int, float]]:
    """Play a course as a change arrives for 1.5 s; return what was asked, and when.

    The second is when the feed learned of which revision.
    """
    asked: list[str] = []
    taken_s: dict[int, float] = {}

    def script(path: str) -> Pieces:
        asked.append(path)
        if "watch" not in path:
            return [(0.01, answer(a_listing(5)))]
        if "watch=5" in path:
            return in_pieces(answer(a_change(6)), 10, first_s=0.1, gap_s=0.15)
        return ()

    async def run() -> None:
        feed = a_feed(taken_s, pace=pace)
        following = asyncio.ensure_future(feed.run())
        await asyncio.sleep(0.2)
        course(feed)
        await asyncio.sleep(3.0)
        following.cancel()

    play(script, run)
    return [path for path in asked if "watch=5" in path], taken_s


def test_a_watch_whose_answer_arrives_is_not_dead_by_anothers_word() -> None:
    # Another VM on a quicker link tells of the revision while its body is on the
    # way here: ended for that, the watch starts again at the first byte.
    asked, taken_s = follow_a_slow_answer(lambda feed: feed.hear(6))
    assert len(asked) == 1
    assert taken_s[6] <= taken_s[5] + 1.5 + SLACK_S


def test_a_watch_whose_answer_arrives_is_not_ended_for_a_shorter_pace() -> None:
    # While a change is known that is not here yet, the holder's word vouches for
    # nothing: the pace shortens, and ended the watch that was receiving it.
    wait_s = [10.0]

    def shorten(_: Feed) -> None:
        wait_s[0] = 0.8

    asked, taken_s = follow_a_slow_answer(shorten, pace=lambda: Pace(wait_s=wait_s[0]))
    assert len(asked) == 1
    assert taken_s[6] <= taken_s[5] + 1.5 + SLACK_S


def test_a_change_over_a_slow_link_is_read_in_time_on_a_store_that_is_well() -> None:
    # The pace shortens as the change is received, the brief look that takes the
    # watch's place is ended at its limit, and so is each read of the whole after
    # it: nothing fails but this VM's patience, and it never has the change.
    wait_s = [10.0]
    taken_s: dict[int, float] = {}

    def script(path: str) -> Pieces:
        if "watch" not in path and not taken_s:
            return [(0.01, answer(a_listing(5)))]
        if "watch=6" in path:
            return ()
        whole = a_change(6) if "watch" in path else a_listing(6)
        return in_pieces(answer(whole), 10, first_s=0.07, gap_s=0.07)

    async def run() -> None:
        feed = a_feed(taken_s, pace=lambda: Pace(wait_s=wait_s[0]))
        following = asyncio.ensure_future(feed.run())
        await asyncio.sleep(0.1)
        feed.hear(6)
        wait_s[0] = 0.2
        await asyncio.sleep(2.0)
        following.cancel()
        assert 6 in taken_s

    play(script, run)
