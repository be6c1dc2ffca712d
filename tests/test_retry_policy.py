"""What becomes of a request after a try that failed with part of it done.

A stream whose caller has part of it, or whose engine may have begun, has no way
back if it is given up: what fits a request that was never sent would lose it.
"""

import asyncio
from dataclasses import replace

from entry_builders import a_route
from entry_harness import Asked, answer
from timed_engines import (
    Engine,
    Timetable,
    a_look_up_route,
    a_site,
    add,
    all_do,
    answers_late,
    answers_soon,
    asks,
    breaks,
    goes_on,
    heard_whole,
    in_turn,
    looks_up,
    never_answers,
    refuses,
    run,
)


def test_a_begun_stream_is_not_ended_by_a_count_of_refusals() -> None:
    # Its engine died, the others are full for three seconds: six refusals came
    # within milliseconds, and the stream was cut though its caller still waited.
    async def play() -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()

        def full_at_first(asked: Asked) -> Timetable:
            return goes_on(asked) if loop.time() - begun_s > 3.0 else refuses(asked)

        dying, full = Engine("e1", breaks), Engine("e2", full_at_first)
        site = a_site(dying, repeats=60)
        caller = asks()
        serving = asyncio.ensure_future(site.serve(caller))
        await asyncio.sleep(0.1)
        site.fleet.remove("e1")
        add(site, full)
        await serving
        assert heard_whole(caller)
        assert len(full.asked) < 50

    run(play)


def test_a_begun_stream_waits_for_a_retry_while_its_caller_waits() -> None:
    # Its engine died as the retry budget was spent. There are seconds left, in
    # which the window moves on and a repeat is to be had.
    async def play() -> None:
        dying, spare = Engine("e1", breaks), Engine("e2", goes_on)
        site = a_site(dying, repeats=1, window_s=4.0)
        assert site.window.reserve()
        site.window.consume()
        caller = asks()
        serving = asyncio.ensure_future(site.serve(caller))
        await asyncio.sleep(0.1)
        site.fleet.remove("e1")
        add(site, spare)
        await serving
        assert heard_whole(caller)
        assert spare.asked_at_s[0] - dying.asked_at_s[0] < 4.5

    run(play)


def test_a_begun_stream_that_nobody_takes_ends_with_its_time() -> None:
    # The wait is bounded, by the caller's time, and so are the tries.
    async def play() -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        dying, full = Engine("e1", breaks), Engine("e2", refuses)
        site = a_site(dying, repeats=1000)
        caller = asks(wait_ms=3_000)
        serving = asyncio.ensure_future(site.serve(caller))
        await asyncio.sleep(0.1)
        site.fleet.remove("e1")
        add(site, full)
        await serving
        assert caller.cut
        assert 2.9 < loop.time() - begun_s < 3.2
        assert len(full.asked) < 60

    run(play)


def test_a_stream_that_may_have_run_waits_for_a_retry() -> None:
    # It left an engine that never began, with the last repeat, and the next one
    # turned it away. Its caller doesn't come back after a failure, and would wait
    # for long yet: a 502 is the end of it.
    async def play() -> None:
        does = in_turn(never_answers, refuses, goes_on)
        route = replace(a_route(timeout_s=20.0), target_latency_s=4.0)
        site = a_site(*all_do(2, does), repeats=1, window_s=4.0, route=route)
        caller = asks()
        await site.serve(caller)
        assert heard_whole(caller)

    run(play)


def test_a_stream_that_may_have_run_waits_for_an_engine() -> None:
    # The same where its caller bears little: the time in which a stream that was
    # never sent looks for an engine is over when the repeat is to be had.
    async def play() -> None:
        does = in_turn(never_answers, refuses, goes_on)
        route = replace(a_route(timeout_s=20.0), target_latency_s=0.4)
        site = a_site(*all_do(2, does), repeats=1, window_s=4.0, route=route)
        caller = asks()
        await site.serve(caller)
        assert heard_whole(caller)

    run(play)


def test_a_stream_leaves_a_dark_engine_after_five_refusals() -> None:
    # The sixth to be asked is dead. Refusals don't end a stream that may have
    # run, so they don't keep it there either.
    async def play() -> None:
        does = in_turn(*[refuses] * 5, never_answers, goes_on)
        site = a_site(*all_do(8, does), repeats=60)
        caller = asks()
        await site.serve(caller)
        assert heard_whole(caller)

    run(play)


def test_a_look_up_goes_back_to_a_server_it_left() -> None:
    # The other one refused it. A 503 would say that it has not run.
    async def play() -> None:
        does = in_turn(answers_late, refuses, answers_soon)
        site = a_site(*all_do(2, does), route=a_look_up_route())
        caller = looks_up()
        await site.serve(caller)
        assert caller.status == 200

    run(play)


def test_what_may_have_run_is_not_refused_as_unrun() -> None:
    # It left a silent server, all others turn it away until its time is over.
    async def play() -> None:
        does = in_turn(never_answers, refuses)
        site = a_site(*all_do(2, does), route=a_look_up_route())
        caller = looks_up()
        await site.serve(caller)
        assert caller.status in (502, 504)

    run(play)


def test_a_failure_of_the_only_server_is_passed_on() -> None:
    # There is nobody else to ask; its own answer says more than ours would.
    async def play() -> None:
        only = Engine("s1", lambda asked: [(0.01, answer(asked, 500, b"why"))])
        site = a_site(only, route=a_look_up_route())
        caller = looks_up()
        await site.serve(caller)
        assert caller.status == 500 and caller.heard == b"why"

    run(play)


def test_repeats_arrive_in_the_window_in_which_they_are_counted() -> None:
    # Two streams lose their engines four seconds apart, and one repeat is allowed
    # in four seconds. Both wait for an engine; when it comes, both repeats would
    # arrive at once, one of them counted long before.
    async def play() -> None:
        spare = Engine("e2", goes_on)
        site = a_site(Engine("e1", breaks), repeats=1, window_s=4.0)
        first, second = asks("q1"), asks("q2")
        second.headers["Model"] = "m1"
        serving = [asyncio.ensure_future(site.serve(first))]
        await asyncio.sleep(0.1)
        site.fleet.remove("e1")
        await asyncio.sleep(4.1)
        add(site, Engine("e3", breaks), "m1")
        serving.append(asyncio.ensure_future(site.serve(second)))
        await asyncio.sleep(0.1)
        site.fleet.remove("e3")
        await asyncio.sleep(1.0)
        add(site, spare, "m0", "m1")
        await asyncio.gather(*serving)
        assert heard_whole(first) and heard_whole(second)
        assert spare.asked_at_s[1] - spare.asked_at_s[0] >= 4.0

    run(play)
