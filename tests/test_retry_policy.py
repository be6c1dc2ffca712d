"""Retries of requests whose failed attempt may have run.

A stream that has begun, or may have run, is lost to its caller if it is given
up, so the limits for requests that were never sent must not apply to it.
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


def test_a_begun_stream_outlasts_the_limit_of_refusals() -> None:
    # The stream's engine dies and the others are full for three seconds. Six
    # refusals within milliseconds must not cut it while its caller waits.
    async def play() -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()

        def full_at_first(asked: Asked) -> Timetable:
            return goes_on(asked) if loop.time() - started_s > 3.0 else refuses(asked)

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


def test_a_begun_stream_waits_for_the_retry_budget() -> None:
    # The stream's engine dies while the retry budget is spent. The window
    # frees a retry within the seconds that are left.
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


def test_a_begun_stream_that_all_servers_refuse_ends_at_its_deadline() -> None:
    # The caller's deadline limits the wait, and the pauses limit the attempts.
    async def play() -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        dying, full = Engine("e1", breaks), Engine("e2", refuses)
        site = a_site(dying, repeats=1000)
        caller = asks(wait_ms=3_000)
        serving = asyncio.ensure_future(site.serve(caller))
        await asyncio.sleep(0.1)
        site.fleet.remove("e1")
        add(site, full)
        await serving
        assert caller.cut
        assert 2.9 < loop.time() - started_s < 3.2
        assert len(full.asked) < 60

    run(play)


def test_a_stream_that_may_have_run_waits_for_the_retry_budget() -> None:
    # The stream used the last retry to leave an engine that sent nothing, and
    # the next engine refuses it. Its caller would wait longer but does not
    # retry after a failure, so a 502 would lose the request.
    async def play() -> None:
        does = in_turn(never_answers, refuses, goes_on)
        route = replace(a_route(timeout_s=20.0), target_latency_s=4.0)
        site = a_site(*all_do(2, does), repeats=1, window_s=4.0, route=route)
        caller = asks()
        await site.serve(caller)
        assert heard_whole(caller)

    run(play)


def test_a_stream_that_may_have_run_waits_for_an_engine() -> None:
    # The same with a short first-event target: by the time a retry is
    # available, the time that a stream that was never sent may wait for an
    # engine is over.
    async def play() -> None:
        does = in_turn(never_answers, refuses, goes_on)
        route = replace(a_route(timeout_s=20.0), target_latency_s=0.4)
        site = a_site(*all_do(2, does), repeats=1, window_s=4.0, route=route)
        caller = asks()
        await site.serve(caller)
        assert heard_whole(caller)

    run(play)


def test_a_stream_leaves_a_silent_engine_after_five_refusals() -> None:
    # The sixth engine is dead. Refusals don't end a stream that may have run,
    # so they must not make it stay with a dead engine either.
    async def play() -> None:
        does = in_turn(*[refuses] * 5, never_answers, goes_on)
        site = a_site(*all_do(8, does), repeats=60)
        caller = asks()
        await site.serve(caller)
        assert heard_whole(caller)

    run(play)


def test_an_idempotent_request_returns_to_a_server_it_left() -> None:
    # The other server refused the request. A 503 would state that it did not
    # run.
    async def play() -> None:
        does = in_turn(answers_late, refuses, answers_soon)
        site = a_site(*all_do(2, does), route=a_look_up_route())
        caller = looks_up()
        await site.serve(caller)
        assert caller.status == 200

    run(play)


def test_a_request_that_may_have_run_is_not_refused_as_not_run() -> None:
    # The request left a silent server, and all others refuse it until its
    # deadline.
    async def play() -> None:
        does = in_turn(never_answers, refuses)
        site = a_site(*all_do(2, does), route=a_look_up_route())
        caller = looks_up()
        await site.serve(caller)
        assert caller.status in (502, 504)

    run(play)


def test_an_error_response_of_the_only_server_is_passed_on() -> None:
    # No other server is left, and the server's own response is more specific
    # than a refusal.
    async def play() -> None:
        only = Engine("s1", lambda asked: [(0.01, answer(asked, 500, b"why"))])
        site = a_site(only, route=a_look_up_route())
        caller = looks_up()
        await site.serve(caller)
        assert caller.status == 500 and caller.heard == b"why"

    run(play)


def test_retries_count_in_the_window_in_which_they_are_sent() -> None:
    # Two streams lose their engines four seconds apart, with one retry allowed
    # in four seconds. Both wait for an engine. If retries counted when
    # reserved, both would be sent at once when it comes up.
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
