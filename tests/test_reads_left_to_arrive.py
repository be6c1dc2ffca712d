"""A read that is arriving is left to end, whatever becomes of the watch beside it."""

import asyncio
from collections.abc import Callable

from store_wire import (
    Pieces,
    SlowStore,
    a_listing,
    a_store,
    answer,
    in_pieces,
    no_change,
    now_s,
    play,
)
from virtual_time import LoopClock

from rosepath.feed import Feed, Pace

# How long the whole takes to arrive over a slow link.
ARRIVES_S = 2.5


def a_feed(taken_s: dict[int, float], pace: Pace) -> Feed:
    """Build a feed that notes when it read which revision whole."""
    return Feed(
        a_store(),
        "config",
        clock=LoopClock(),
        on_listing=lambda listing: taken_s.setdefault(listing.revision, now_s()),
        on_change=lambda _: None,
        pace=lambda: pace,
        urgent=True,
    )


def read_beside_a_silent_watch(
    pace: Pace, course: Callable[[Feed], None] = lambda _: None
) -> int:
    """Return how often the whole is asked for until it is read."""
    asked: list[str] = []
    taken_s: dict[int, float] = {}

    def script(path: str) -> Pieces:
        if "watch" in path:
            return ()
        asked.append(path)
        if len(asked) == 1:
            return [(0.01, answer(a_listing(5)))]
        return in_pieces(answer(a_listing(6)), 10, first_s=0.1, gap_s=ARRIVES_S / 10)

    async def run() -> None:
        feed = a_feed(taken_s, pace)
        following = asyncio.ensure_future(feed.run())
        async with asyncio.timeout(60.0):
            while len(asked) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.2)
            course(feed)
            while 6 not in taken_s:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        following.cancel()

    play(script, run)
    return len(asked) - 1


def test_a_watch_that_fails_does_not_end_the_read_beside_it() -> None:
    # The watch's connection is silent; the read in its place is broken off as the
    # watch is given up, and starts again at its first byte.
    assert read_beside_a_silent_watch(Pace(wait_s=0.5)) == 1


def test_news_that_ends_a_relaxed_watch_does_not_end_the_read_beside_it() -> None:
    # What the news is about is on its way here by that very read.
    pace = Pace(wait_s=10.0, relaxed=True, copy_wait_s=0.1)
    assert read_beside_a_silent_watch(pace, lambda feed: feed.hear(6)) == 1


def test_a_change_that_watches_pass_over_is_read_once_another_vm_tells_of_it() -> None:
    # The store's watches hear nothing for a while and go on from behind the change.
    # The watch that was waiting as the word came ends by itself before it can be
    # doubted; none after it ever is, and the VM stays behind for good.
    taken_s: dict[int, float] = {}
    lists: list[str] = []

    def script(path: str) -> Pieces:
        if "watch" in path:
            return [(0.6, answer(no_change(7)))]
        lists.append(path)
        if len(lists) == 1:
            return [(0.01, answer(a_listing(5)))]
        return [(0.01, answer({**a_listing(6), "atRevision": 7}))]

    async def run() -> None:
        feed = a_feed(taken_s, Pace(wait_s=0.6))
        following = asyncio.ensure_future(feed.run())
        await asyncio.sleep(3.0)
        feed.hear(6)
        await asyncio.sleep(5.0)
        following.cancel()
        assert not feed.behind

    play(script, run)


def test_a_store_that_answers_after_seconds_is_read_in_the_end() -> None:
    # Each read is ended at the same limit and begins anew, however many were ended.
    slow_s = 1.8
    taken_s: dict[int, float] = {}

    async def run() -> None:
        following = asyncio.ensure_future(a_feed(taken_s, Pace()).run())
        await asyncio.sleep(8 * slow_s)
        following.cancel()
        assert 5 in taken_s

    play(SlowStore(slow_s=slow_s), run)
