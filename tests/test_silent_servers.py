"""When a request leaves a silent server.

A full engine preempts requests for seconds while it serves others; a dead one
sends nothing at all. A request that leaves before a retry and capacity
elsewhere are certain is lost to its caller, even if its server would have
resumed it.
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


def test_a_stream_stays_when_the_retry_budget_is_spent() -> None:
    # A loaded engine preempts a stream for seconds. If the entry VM ends the
    # exchange before it checks the retry budget, the caller's connection is
    # closed in the middle of the stream, although the engine would have
    # resumed it well before the deadline.
    async def play() -> None:
        engines = Engine("e1", sets_aside), Engine("e2", sets_aside)
        site = a_site(*engines, repeats=0)
        caller = asks()
        await site.serve(caller)
        assert heard_whole(caller)
        assert sum(len(engine.asked) for engine in engines) == 1

    run(play)


def test_a_stream_stays_when_no_other_engine_has_a_free_slot() -> None:
    # A retry is available, but all slots elsewhere are taken. Other engines
    # would refuse the stream repeatedly until it is cut.
    async def play() -> None:
        engines = Engine("e1", sets_aside), Engine("e2", refuses)
        site = a_site(*engines)
        fill(site, "e2")
        caller = asks()
        await site.serve(caller)
        assert heard_whole(caller)
        assert len(engines[0].asked) == 1 and not engines[1].asked

    run(play)


def test_a_stream_stays_with_an_engine_that_serves_others() -> None:
    # The engine is full, not dead, as its other streams progress. Moving would
    # cost a retry and another prefill of the prompt. The route has a long
    # timeout, as batch work has.
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


def test_a_stream_leaves_an_engine_that_sends_nothing_to_anyone() -> None:
    # The connection stays open, but the engine sends nothing on any
    # connection. The stream resumes after its last event at another engine
    # with a free slot.
    async def play() -> None:
        silent, spare = Engine("e1", goes_dark), Engine("e2", goes_on)
        site = a_site(silent)
        caller = asks()
        serving = asyncio.ensure_future(site.serve(caller))
        await asyncio.sleep(0.1)
        add(site, spare)
        await serving
        assert heard_whole(caller)
        assert spare.asked[0].headers["last-event-id"] == "2"
        assert spare.asked_at_s[0] - silent.asked_at_s[0] < 2.0

    run(play)


def test_a_stream_that_stayed_leaves_once_a_slot_is_free() -> None:
    # At first no other engine has a free slot; the check is repeated.
    async def play() -> None:
        silent, spare = Engine("e1", goes_dark), Engine("e2", goes_on)
        site = a_site(silent)
        caller = asks()
        serving = asyncio.ensure_future(site.serve(caller))
        await asyncio.sleep(5.0)
        add(site, spare)
        await serving
        assert heard_whole(caller)
        assert spare.asked_at_s[0] - silent.asked_at_s[0] < 7.0

    run(play)


def test_an_idempotent_request_stays_when_the_retry_budget_is_spent() -> None:
    # The response takes longer than usual. Ending the exchange without a
    # reserved retry would turn it into a 502.
    async def play() -> None:
        route = a_route(kind=RouteKind.IDEMPOTENT, service="desk", timeout_s=5.0)
        slow = Engine("s1", lambda asked: answers(asked, after_s=1.0))
        site = a_site(slow, repeats=0, route=route)
        caller = asks()
        await site.serve(caller)
        assert caller.status == 200 and caller.heard == b"whole"
        assert not slow.cut_at_s

    run(play)


def test_a_queued_stream_stays_when_the_retry_budget_is_spent() -> None:
    # The same failure before the first event: the request is queued at its
    # engine for longer than predicted.
    async def play() -> None:
        late = Engine("e1", lambda asked: streams(asked, 6.0, until=8))
        site = a_site(late, Engine("e2", refuses), repeats=0)
        fill(site, "e2")
        caller = asks()
        await site.serve(caller)
        assert heard_whole(caller)

    run(play)


def test_a_stream_moves_to_an_engine_that_refused_it_before() -> None:
    # The engine was full and now has a free slot. The earlier refusal must not
    # keep the stream with an engine that has died since.
    for silent, events in ((goes_dark, 2), (never_answers, 0)):

        async def play(
            silent: Callable[[Asked], Timetable] = silent, events: int = events
        ) -> None:
            site = a_site(*all_do(2, in_turn(refuses, silent, goes_on)))
            caller = asks()
            await site.serve(caller)
            assert heard_whole(caller), (events, caller.events)

        run(play)


def test_a_stream_with_an_adapter_leaves_a_silent_engine() -> None:
    # The other engine has the model and a free slot, and loads the adapter on
    # request.
    async def play() -> None:
        site = a_site(Engine("e1", goes_dark), Engine("e2", goes_on))
        site.fleet.put(an_entry("e1", address="e1:1", models={"m0": frozenset({"a1"})}))
        site.relay._ports.models = AdapterLoads()
        caller = asks()
        caller.headers["Model"] = "m0/a1"
        await site.serve(caller)
        assert heard_whole(caller)

    run(play)


def test_a_plain_request_that_names_a_model_leaves_a_silent_server() -> None:
    # Servers of a plain service hold no models, so a model named by the caller
    # does not restrict the choice of server.
    async def play() -> None:
        does = in_turn(never_answers, answers_soon)
        site = a_site(*all_do(2, does), route=a_look_up_route())
        caller = looks_up(model=True)
        await site.serve(caller)
        assert caller.status == 200

    run(play)


def test_a_preempted_stream_leaves_before_its_caller_does() -> None:
    # The engine serves others and never resumes this stream. The caller leaves
    # after eight target gaps, and another engine has a free slot.
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
        patience_s = a_route().event_timeout_s
        assert spare.asked_at_s[0] - START_S - 0.3 < patience_s

    run(play)


def test_a_request_that_all_other_servers_refused_stays_with_a_slow_one() -> None:
    # Five servers refuse, the sixth is slow. Leaving it for its silence would
    # take a retry, only to find that the limit of attempts is reached.
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
