"""Stall timeouts of streams, by whether another attempt may follow."""

import asyncio
import math
from typing import Any, cast

from entry_builders import (
    a_call,
    a_catalog,
    a_crash_watch,
    a_picker,
    a_prompt,
    a_route,
    a_server,
)
from entry_harness import NoModelOrders

from rosepath.clock import ManualClock
from rosepath.event_sequence import EventSequence
from rosepath.fleet import Fleet
from rosepath.prompt_caches import PromptCaches
from rosepath.request_context import RelayPorts, RequestContext
from rosepath.retries import Evidence
from rosepath.retry_policy import RetryPolicy


def a_retry_policy(clock: ManualClock) -> RetryPolicy:
    ports = RelayPorts(
        data_centre="a",
        clock=clock,
        fleet=Fleet(),
        caches=PromptCaches(),
        attempts=cast(Any, None),
        catalog=lambda: None,
        budget=cast(Any, None),
        models=NoModelOrders(),
        fleet_changed=asyncio.Condition(),
        cut_off=set,
        wait_limit_s=lambda: math.inf,
        on_outcome=lambda *_: None,
        crashes=a_crash_watch(clock),
    )
    return RetryPolicy(ports, a_picker(ports))


LEFT_S = 5.0


def a_context(
    *attempt_evidence: Evidence, clock: ManualClock, max_attempts: int, resumable: bool
) -> RequestContext:
    catalog = a_catalog(a_route(max_attempts=max_attempts, resumable=resumable))
    return RequestContext(
        call=a_call(prompt=a_prompt(), arrived_s=0.0),
        route=catalog.routes[0],
        service=catalog.services["llm"],
        exchange=cast(Any, None),
        deadline_s=clock.monotonic_s() + LEFT_S,
        event_sequence=EventSequence(last_id=None),
        attempt_evidence=list(attempt_evidence),
    )


def test_a_stream_that_can_resume_elsewhere_has_a_short_stall_timeout() -> None:
    clock = ManualClock()
    context = a_context(clock=clock, max_attempts=2, resumable=True)
    server = a_server("s1")
    assert a_retry_policy(clock).stall_timeout_s(context, server) < 1.0


# Guards against cutting a stream whose route allows no further attempt, although
# its server, which pauses under load, still works on it.
def test_a_stream_on_its_last_attempt_is_not_left_for_silence() -> None:
    clock = ManualClock()
    server = a_server("s1")
    again = a_context(
        Evidence.ANSWER_BEGUN, clock=clock, max_attempts=2, resumable=True
    )
    once = a_context(clock=clock, max_attempts=1, resumable=True)
    never = a_context(clock=clock, max_attempts=2, resumable=False)
    clock.advance(LEFT_S)
    for context in (again, once, never):
        assert not a_retry_policy(clock).should_leave(context, server)
