"""Whether a request leaves a server that stands still, and what it then costs.

A full engine sets requests aside for seconds while it serves others; a dead one
sends nothing to anybody. A request that is broken off before it is known that
another server may and can go on with it is lost to its caller, although its
server was at work.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from entry_builders import a_route, an_entry
from entry_harness import Asked
from timed_engines import (
    AdapterLoads,
    Engine,
    Timetable,
    a_look_up_route,
    a_site,
    add,
    all_do,
    answers,
    answers_late,
    answers_soon,
    asks,
    fill,
    goes_dark,
    goes_on,
    heard_whole,
    in_turn,
    looks_up,
    never_answers,
    only_first_is_set_aside,
    refuses,
    run,
    sets_aside,
    streams,
)
from virtual_time import START_S

from rosepath.catalog import RouteKind


def test_a_stream_is_not_broken_off_when_no_retry_is_left() -> None:
    # An engine under a crowd sets a stream aside for seconds. The entry VM took
    # that for silence and broke it off, and only then found the retry budget
    # spent: the caller, who had most of his time left, got a closed connection
    # in the middle, while the engine would have gone on.
    async def play() -> None:
        engines = Engine("e1", sets_aside), Engine("e2", sets_aside)
        site = a_site(*engines, repeats=0)
        caller = asks()
        await site.serve(caller)
        assert heard_whole(caller)
        assert sum(len(engine.asked) for engine in engines) == 1

    run(play)


def test_a_stream_is_not_broken_off_when_no_other_engine_has_room() -> None:
    # A retry is left, but all places elsewhere are taken: the broken stream
    # would be turned away there again and again, and be cut in the end.
    async def play() -> None:
        engines = Engine("e1", sets_aside), Engine("e2", refuses)
        site = a_site(*engines)
        fill(site, "e2")
        caller = asks()
        await site.serve(caller)
        assert heard_whole(caller)
        assert len(engines[0].asked) == 1 and not engines[1].asked

    run(play)


def test_a_stream_stays_with_an_engine_that_moves_others() -> None:
    # The engine is full, not dead: its other streams go on. Elsewhere the
    # prompt would have to be read anew, and a repeat would be spent. Callers of
    # this route wait for long, as those of overnight work do.
    async def play() -> None:
        engine = Engine("e1", only_first_is_set_aside)
        route = replace(a_route(timeout_s=20.0), target_latency_s=4.0)
        site = a_site(engine, route=route)
        first, second = asks("q1"), asks("q2")
        serving = asyncio.gather(site.serve(first), site.serve(second))
        await asyncio.sleep(0)
        spare = Engine("e2", goes_on)
        add(site, spare)
        await serving
        assert heard_whole(first)
        assert not spare.asked

    run(play)


def test_a_stream_leaves_an_engine_that_went_dark() -> None:
    # The connection is open and nothing comes over it, for anybody; another
    # engine has room. The stream goes on there after its last event.
    async def play() -> None:
        dark, spare = Engine("e1", goes_dark), Engine("e2", goes_on)
        site = a_site(dark)
        caller = asks()
        serving = asyncio.ensure_future(site.serve(caller))
        await asyncio.sleep(0.1)
        add(site, spare)
        await serving
        assert heard_whole(caller)
        assert spare.asked[0].headers["last-event-id"] == "2"
        assert spare.asked_at_s[0] - dark.asked_at_s[0] < 2.0

    run(play)


def test_a_stream_that_was_kept_leaves_once_there_is_room() -> None:
    # At first there was no place elsewhere; the stream is looked at again.
    async def play() -> None:
        dark, spare = Engine("e1", goes_dark), Engine("e2", goes_on)
        site = a_site(dark)
        caller = asks()
        serving = asyncio.ensure_future(site.serve(caller))
        await asyncio.sleep(5.0)
        add(site, spare)
        await serving
        assert heard_whole(caller)
        assert spare.asked_at_s[0] - dark.asked_at_s[0] < 7.0

    run(play)


def test_a_look_up_is_not_broken_off_when_no_retry_is_left() -> None:
    # The answer takes longer than usual; given up unasked, it became a 502.
    async def play() -> None:
        route = a_route(kind=RouteKind.IDEMPOTENT, service="desk", timeout_s=5.0)
        slow = Engine("s1", lambda asked: answers(asked, after_s=1.0))
        site = a_site(slow, repeats=0, route=route)
        caller = asks()
        await site.serve(caller)
        assert caller.status == 200 and caller.heard == b"whole"
        assert not slow.cut_at_s

    run(play)


def test_a_first_event_is_waited_for_when_no_retry_is_left() -> None:
    # Queued at its engine for longer than was predicted; the same fault, before
    # the first event.
    async def play() -> None:
        late = Engine("e1", lambda asked: streams(asked, 6.0, until=8))
        site = a_site(late, Engine("e2", refuses), repeats=0)
        fill(site, "e2")
        caller = asks()
        await site.serve(caller)
        assert heard_whole(caller)

    run(play)


def test_a_stream_goes_to_an_engine_that_turned_it_away_before() -> None:
    # Full then, it has room now; one refusal in the beginning must not keep a
    # stream with an engine that died since.
    for dark, events in ((goes_dark, 2), (never_answers, 0)):

        async def play(
            dark: Callable[[Asked], Timetable] = dark, events: int = events
        ) -> None:
            site = a_site(*all_do(2, in_turn(refuses, dark, goes_on)))
            caller = asks()
            await site.serve(caller)
            assert heard_whole(caller), (events, caller.events)

        run(play)


def test_a_stream_with_an_adapter_leaves_an_engine_that_went_dark() -> None:
    # The other engine has the model and a place, and gets the adapter when asked.
    async def play() -> None:
        site = a_site(Engine("e1", goes_dark), Engine("e2", goes_on))
        site.fleet.put(an_entry("e1", address="e1:1", models={"m0": frozenset({"a1"})}))
        site.relay._ports.models = AdapterLoads()
        caller = asks()
        caller.headers["Model"] = "m0/a1"
        await site.serve(caller)
        assert heard_whole(caller)

    run(play)


def test_a_look_up_that_names_a_model_leaves_a_server_that_went_dark() -> None:
    # Servers of a plain service hold no models; what a caller says of one is not
    # asked of them.
    async def play() -> None:
        does = in_turn(never_answers, answers_soon)
        site = a_site(*all_do(2, does), route=a_look_up_route())
        caller = looks_up(model=True)
        await site.serve(caller)
        assert caller.status == 200

    run(play)


def test_a_stream_that_is_set_aside_leaves_before_its_caller_does() -> None:
    # Its engine moves others and does not come back to it; the caller leaves after
    # eight good pauses, and another engine has room.
    async def play() -> None:
        def never_comes_back(asked: Asked) -> Timetable:
            if asked.request_id == "q1":
                return goes_dark(asked)
            return only_first_is_set_aside(asked)

        site = a_site(Engine("e1", never_comes_back))
        first, second = asks("q1"), asks("q2")
        serving = asyncio.gather(site.serve(first), site.serve(second))
        await asyncio.sleep(0)
        spare = Engine("e2", goes_on)
        add(site, spare)
        await serving
        assert heard_whole(first)
        patience_s = a_route().event_patience_s
        assert spare.asked_at_s[0] - START_S - 0.3 < patience_s

    run(play)


def test_what_all_but_one_turned_away_is_not_broken_off_there() -> None:
    # Five refusals, then a server that takes its time. It was left for its silence,
    # a repeat was taken, and then there were too many refusals to go on.
    async def play() -> None:
        late = in_turn(*[refuses] * 5, answers_late, answers_soon)
        site = a_site(*all_do(8, late), repeats=60, route=a_look_up_route())
        look_up = looks_up()
        await site.serve(look_up)
        assert look_up.status == 200
        queued = in_turn(*[refuses] * 5, lambda it: streams(it, 3.0, until=8), goes_on)
        site = a_site(*all_do(8, queued), repeats=60)
        stream = asks()
        await site.serve(stream)
        assert heard_whole(stream)

    run(play)
