"""Tests of the choice of an engine and of engines that load no adapter."""

import asyncio
import math
import random
from typing import Any, cast

from entry_builders import (
    a_call,
    a_catalog,
    a_crash_watch,
    a_picker,
    a_prompt,
    a_route,
    an_entry,
)
from entry_harness import NoModelOrders
from timed_engines import Caller

from rosepath.caller_request import Prompt
from rosepath.clock import ManualClock
from rosepath.engine_choice import EngineChoice, choose_engine
from rosepath.fleet import BackendServer, Fleet, InFlightRequest
from rosepath.prompt_caches import PromptCaches
from rosepath.request_context import RelayPorts, RequestContext


def a_fleet(*names: str) -> Fleet:
    fleet = Fleet()
    for name in names:
        fleet.put(an_entry(name, models={"m0": frozenset()}))
    return fleet


def choose(fleet: Fleet, prompt: Prompt) -> EngineChoice | None:
    return choose_engine(
        fleet.of_service("llm"),
        prompt,
        adapter_slots=2,
        data_centre="a",
        tried=(),
        cut_off=(),
        now_s=1000.0,
        cached_tokens=lambda *_: 0,
        rng=random.Random(1),
    )


def test_engine_with_all_adapter_slots_in_use_is_not_chosen() -> None:
    # All adapter slots of e1 are used by streams that run for seconds. Chosen
    # for its shorter queue, it could not load the adapter and was chosen
    # again.
    fleet = a_fleet("e1", "e2")
    for number in range(2):
        in_flight = InFlightRequest(target=f"m0/a{number}")
        fleet.servers["e1"].in_flight_requests[f"q{number}"] = in_flight
    fleet.servers["e2"].in_flight_requests["q9"] = InFlightRequest(
        unread_tokens=9_000, target="m0"
    )
    choice = choose(fleet, a_prompt(adapter="a7"))
    assert choice is not None and choice.server.name == "e2"


class OneEngineWithCapacity(NoModelOrders):
    """Load adapters onto one engine only."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.asked: list[str] = []

    async def ensure_adapter(
        self, _: str, server: BackendServer, *__: Any, **___: Any
    ) -> bool:
        self.asked.append(server.name)
        return server.name == self.name


def test_request_moves_on_from_engine_that_rejects_the_adapter() -> None:
    # The placement lease holder reports that an engine can't load the adapter
    # now. Retrying the same engine every 0.1 s kept requests waiting until
    # they were refused, although another engine had capacity.
    async def run() -> None:
        fleet = a_fleet("e1", "e2", "e3")
        prompt = a_prompt(adapter="a7")
        first = choose(fleet, prompt)
        assert first is not None
        with_room = next(name for name in fleet.servers if name != first.server.name)
        models = OneEngineWithCapacity(with_room)
        catalog = a_catalog(a_route())
        ports = RelayPorts(
            data_centre="a",
            clock=ManualClock(),
            fleet=fleet,
            caches=PromptCaches(),
            attempts=cast(Any, None),
            catalog=lambda: catalog,
            budget=cast(Any, None),
            models=models,
            fleet_changed=asyncio.Condition(),
            cut_off=set,
            wait_limit_s=lambda: math.inf,
            on_outcome=lambda *_: None,
            crashes=a_crash_watch(ManualClock()),
        )
        context = RequestContext(
            call=a_call(prompt=prompt, arrived_s=1000.0),
            route=catalog.routes[0],
            service=catalog.services["llm"],
            exchange=cast(Any, Caller()),
            deadline_s=1005.0,
        )
        async with asyncio.timeout(10):
            server, in_flight = await a_picker(ports).choose(context)
        assert server.name == with_room
        assert in_flight.target == "m0/a7"
        assert len(models.asked) == len(set(models.asked))

    asyncio.run(run())
