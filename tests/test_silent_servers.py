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
from entry_harness import ReceivedRequest
from timed_engines import (
    AdapterLoads,
    ScriptedEngine,
    Timetable,
    a_plain_service_route,
    a_relay_harness,
    add,
    completes_stream,
    engines_following,
    generation_caller,
    never_responds,
    occupy_all_slots,
    pauses_first_request,
    pauses_generation,
    plain_service_caller,
    received_complete_stream,
    refuses,
    responds,
    responds_quickly,
    responds_slowly,
    run,
    stops_sending,
    streams,
    successive_scripts,
)
from virtual_time import START_S

from rosepath.catalog import RouteKind


def test_a_stream_stays_when_the_retry_budget_is_spent() -> None:
    # A loaded engine preempts a stream for seconds. If the entry VM ends the
    # exchange before it checks the retry budget, the caller's connection is
    # closed in the middle of the stream, although the engine would have
    # resumed it well before the deadline.
    async def play() -> None:
        engines = (
            ScriptedEngine("e1", pauses_generation),
            ScriptedEngine("e2", pauses_generation),
        )
        harness = a_relay_harness(*engines, retries=0)
        caller = generation_caller()
        await harness.serve(caller)
        assert received_complete_stream(caller)
        assert sum(len(engine.requests) for engine in engines) == 1

    run(play)


def test_a_stream_stays_when_no_other_engine_has_a_free_slot() -> None:
    # A retry is available, but all slots elsewhere are taken. Other engines
    # would refuse the stream repeatedly until it is cut.
    async def play() -> None:
        engines = ScriptedEngine("e1", pauses_generation), ScriptedEngine("e2", refuses)
        harness = a_relay_harness(*engines)
        occupy_all_slots(harness, "e2")
        caller = generation_caller()
        await harness.serve(caller)
        assert received_complete_stream(caller)
        assert len(engines[0].requests) == 1 and not engines[1].requests

    run(play)


def test_a_stream_stays_with_an_engine_that_serves_others() -> None:
    # The engine is full, not dead, as its other streams progress. Moving would
    # cost a retry and another prefill of the prompt. The route has a long
    # timeout, as batch work has.
    async def play() -> None:
        engine = ScriptedEngine("e1", pauses_first_request)
        route = replace(a_route(timeout_s=20.0), target_latency_s=4.0)
        harness = a_relay_harness(engine, route=route)
        first, second = generation_caller("q1"), generation_caller("q2")
        serving = asyncio.gather(harness.serve(first), harness.serve(second))
        await asyncio.sleep(0)
        spare = ScriptedEngine("e2", completes_stream)
        add(harness, spare)
        await serving
        assert received_complete_stream(first)
        assert not spare.requests

    run(play)


def test_a_stream_leaves_an_engine_that_sends_nothing_to_anyone() -> None:
    # The connection stays open, but the engine sends nothing on any
    # connection. The stream resumes after its last event at another engine
    # with a free slot.
    async def play() -> None:
        silent, spare = (
            ScriptedEngine("e1", stops_sending),
            ScriptedEngine("e2", completes_stream),
        )
        harness = a_relay_harness(silent)
        caller = generation_caller()
        serving = asyncio.ensure_future(harness.serve(caller))
        await asyncio.sleep(0.1)
        add(harness, spare)
        await serving
        assert received_complete_stream(caller)
        assert spare.requests[0].headers["last-event-id"] == "2"
        assert spare.received_at_s[0] - silent.received_at_s[0] < 2.0

    run(play)


def test_a_stream_that_stayed_leaves_once_a_slot_is_free() -> None:
    # At first no other engine has a free slot; the check is repeated.
    async def play() -> None:
        silent, spare = (
            ScriptedEngine("e1", stops_sending),
            ScriptedEngine("e2", completes_stream),
        )
        harness = a_relay_harness(silent)
        caller = generation_caller()
        serving = asyncio.ensure_future(harness.serve(caller))
        await asyncio.sleep(5.0)
        add(harness, spare)
        await serving
        assert received_complete_stream(caller)
        assert spare.received_at_s[0] - silent.received_at_s[0] < 7.0

    run(play)


def test_an_idempotent_request_stays_when_the_retry_budget_is_spent() -> None:
    # The response takes longer than usual. Ending the exchange without a
    # reserved retry would turn it into a 502.
    async def play() -> None:
        route = a_route(kind=RouteKind.IDEMPOTENT, service="desk", timeout_s=5.0)
        slow = ScriptedEngine("s1", lambda received: responds(received, after_s=1.0))
        harness = a_relay_harness(slow, retries=0, route=route)
        caller = generation_caller()
        await harness.serve(caller)
        assert caller.status == 200 and caller.received_body == b"whole"
        assert not slow.aborted_at_s

    run(play)


def test_a_queued_stream_stays_when_the_retry_budget_is_spent() -> None:
    # The same failure before the first event: the request is queued at its
    # engine for longer than predicted.
    async def play() -> None:
        late = ScriptedEngine("e1", lambda received: streams(received, 6.0, until=8))
        harness = a_relay_harness(late, ScriptedEngine("e2", refuses), retries=0)
        occupy_all_slots(harness, "e2")
        caller = generation_caller()
        await harness.serve(caller)
        assert received_complete_stream(caller)

    run(play)


def test_a_stream_moves_to_an_engine_that_refused_it_before() -> None:
    # The engine was full and now has a free slot. The earlier refusal must not
    # keep the stream with an engine that has died since.
    for silent, events in ((stops_sending, 2), (never_responds, 0)):

        async def play(
            silent: Callable[[ReceivedRequest], Timetable] = silent,
            events: int = events,
        ) -> None:
            harness = a_relay_harness(
                *engines_following(
                    2, successive_scripts(refuses, silent, completes_stream)
                )
            )
            caller = generation_caller()
            await harness.serve(caller)
            assert received_complete_stream(caller), (events, caller.events)

        run(play)


def test_a_stream_with_an_adapter_leaves_a_silent_engine() -> None:
    # The other engine has the model and a free slot, and loads the adapter on
    # request.
    async def play() -> None:
        harness = a_relay_harness(
            ScriptedEngine("e1", stops_sending), ScriptedEngine("e2", completes_stream)
        )
        harness.fleet.put(
            an_entry("e1", address="e1:1", models={"m0": frozenset({"a1"})})
        )
        harness.relay._ports.models = AdapterLoads()
        caller = generation_caller()
        caller.headers["Model"] = "m0/a1"
        await harness.serve(caller)
        assert received_complete_stream(caller)

    run(play)


def test_a_plain_request_that_names_a_model_leaves_a_silent_server() -> None:
    # Servers of a plain service hold no models, so a model named by the caller
    # does not restrict the choice of server.
    async def play() -> None:
        script = successive_scripts(never_responds, responds_quickly)
        harness = a_relay_harness(
            *engines_following(2, script), route=a_plain_service_route()
        )
        caller = plain_service_caller(model=True)
        await harness.serve(caller)
        assert caller.status == 200

    run(play)


def test_a_preempted_stream_leaves_before_its_caller_does() -> None:
    # The engine serves others and never resumes this stream. The caller leaves
    # after eight target gaps, and another engine has a free slot.
    async def play() -> None:
        def never_comes_back(received: ReceivedRequest) -> Timetable:
            if received.request_id == "q1":
                return stops_sending(received)
            return pauses_first_request(received)

        harness = a_relay_harness(ScriptedEngine("e1", never_comes_back))
        first, second = generation_caller("q1"), generation_caller("q2")
        serving = asyncio.gather(harness.serve(first), harness.serve(second))
        await asyncio.sleep(0)
        spare = ScriptedEngine("e2", completes_stream)
        add(harness, spare)
        await serving
        assert received_complete_stream(first)
        patience_s = a_route().event_timeout_s
        assert spare.received_at_s[0] - START_S - 0.3 < patience_s

    run(play)


def test_a_request_that_all_other_servers_refused_stays_with_a_slow_one() -> None:
    # Five servers refuse, the sixth is slow. Leaving it for its silence would
    # take a retry, only to find that the limit of attempts is reached.
    async def play() -> None:
        late = successive_scripts(*[refuses] * 5, responds_slowly, responds_quickly)
        harness = a_relay_harness(
            *engines_following(8, late), retries=60, route=a_plain_service_route()
        )
        look_up = plain_service_caller()
        await harness.serve(look_up)
        assert look_up.status == 200
        queued = successive_scripts(
            *[refuses] * 5, lambda it: streams(it, 3.0, until=8), completes_stream
        )
        harness = a_relay_harness(*engines_following(8, queued), retries=60)
        stream = generation_caller()
        await harness.serve(stream)
        assert received_complete_stream(stream)

    run(play)
