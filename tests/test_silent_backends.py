"""Attempts at a silent backend server are aborted only if they can be retried.

If an attempt is aborted although no retry is allowed, or no other server has a
free slot, the request fails while its server may still be working on it.
"""

import asyncio
import json
import random
from dataclasses import dataclass, field

import pytest
from builders import end_events, token_event
from entry_harness import ReceivedRequest, answer, chunk, stream_head
from opentelemetry import trace
from opentelemetry.sdk.metrics import MeterProvider
from timed_engines import END, ScriptedEngine, TimedPool, Timetable, responds, run
from virtual_time import LoopClock

from rosepath.backend import Generation
from rosepath.backend_http import HttpBackend
from rosepath.dispatch import Dispatcher, RequestOptions
from rosepath.errors import RefusalError, Run
from rosepath.services import ServiceCall, ServiceRelay
from rosepath.settings import RoutingSettings
from rosepath.tables import Replica, Tables
from rosepath.telemetry import Telemetry


def responds_late(received: ReceivedRequest) -> Timetable:
    """Respond after more than the progress timeout."""
    return responds(received, after_s=12.0)


def responds_soon(received: ReceivedRequest) -> Timetable:
    return responds(received, after_s=0.1)


def never_responds(received: ReceivedRequest) -> Timetable:
    """Accept a request and never respond, with the connection open."""
    return []


def tokens(received: ReceivedRequest, *at_s: float, ends: bool = True) -> Timetable:
    """Send the tokens from the request's offset up to the fourth.

    The times are those of the tokens; the last one is reused for the rest.
    """
    body = json.loads(received.body)
    request_id, first = body["request_id"], body["offset"]
    steps = [(0.01, stream_head(received))]
    for at in range(first, 4):
        due_s = at_s[min(at - first, len(at_s) - 1)]
        steps.append((due_s, chunk(token_event(request_id, at, at + 1))))
    if ends:
        steps += [(steps[-1][0], chunk(end_events(request_id, 4)) + END)]
    return steps


def preempts(received: ReceivedRequest) -> Timetable:
    """Send a token, preempt the stream for 25 seconds, and send the rest."""
    return tokens(received, 0.1, 25.1)


def completes(received: ReceivedRequest) -> Timetable:
    return tokens(received, 0.1)


@dataclass(slots=True)
class DaemonUnderTest:
    """A daemon's dispatcher and relay, and what the caller received."""

    dispatcher: Dispatcher
    relay: ServiceRelay
    received: bytearray = field(default_factory=bytearray)
    took_s: float = 0.0

    async def call(self, *, idempotent: bool, deadline_in_s: float = 60.0) -> int:
        """Call the plain service; return the status of the response."""
        heads: list[int] = []
        call = ServiceCall(service="files", method="POST", path="/x", headers={})
        started_s = asyncio.get_running_loop().time()
        try:
            await self.relay.call(
                call,
                request_options(idempotent=idempotent, deadline_in_s=deadline_in_s),
                lambda head: heads.append(head.status),
                self.received.extend,
            )
        finally:
            self.took_s = asyncio.get_running_loop().time() - started_s
        return heads[0]

    async def generate(self, *, idempotent: bool) -> bytes:
        """Request four tokens; return the events."""
        generation = Generation(
            request_id="r",
            target="files",
            prompt="p",
            max_tokens=4,
            shape="completion",
            served_as="m",
        )
        await self.dispatcher.generate(
            generation, request_options(idempotent=idempotent), self.received.extend
        )
        return bytes(self.received)


def request_options(*, idempotent: bool, deadline_in_s: float = 60.0) -> RequestOptions:
    return RequestOptions(
        idempotent=idempotent,
        deadline_s=asyncio.get_running_loop().time() + deadline_in_s,
        data_centre="a",
        span=trace.INVALID_SPAN,
    )


def make_daemon(*engines: ScriptedEngine, retries: float = 3.0) -> DaemonUnderTest:
    """Build a daemon's dispatcher that prefers the servers in this order."""
    tables = Tables()
    for number, engine in enumerate(engines):
        tables.replicas[engine.name] = Replica(
            name=engine.name,
            address=engine.address,
            service="files",
            slots=8,
            resident=frozenset({"files"}),
            other_vms_load=float(number),
        )
    pool = TimedPool({engine.address: engine for engine in engines})
    dispatcher = Dispatcher(
        tables,
        HttpBackend(pool),
        Telemetry(trace.NoOpTracer(), MeterProvider().get_meter("t"), None),
        # Requests add nothing to the retry budget: each test sets its size.
        RoutingSettings(retry_budget_share=0.0),
        clock=LoopClock(),
        rng=random.Random(1),
        on_leaving=lambda _: None,
    )
    dispatcher.budget.balance = retries
    return DaemonUnderTest(dispatcher, ServiceRelay(dispatcher, pool))


def fill_slots(daemon: DaemonUnderTest, name: str) -> None:
    """Let requests of other entry VMs use all slots of a server."""
    server = daemon.dispatcher.tables.replicas[name]
    server.other_vms_load = float(server.slots)


def test_a_non_idempotent_call_is_not_aborted() -> None:
    # Guards against aborting a call after 10 s without a byte before checking
    # that it may be retried. The server takes 12 s; the caller would get a 502
    # with run "unknown" while most of its time was left.
    async def scenario() -> None:
        first, second = (
            ScriptedEngine("s1", responds_late),
            ScriptedEngine("s2", responds_soon),
        )
        daemon = make_daemon(first, second)
        assert await daemon.call(idempotent=False) == 200
        assert not first.aborted_at_s and not second.requests

    run(scenario)


def test_a_call_is_not_aborted_when_the_retry_budget_is_spent() -> None:
    # Guards against aborting an idempotent call that cannot be retried.
    async def scenario() -> None:
        first, second = (
            ScriptedEngine("s1", responds_late),
            ScriptedEngine("s2", responds_soon),
        )
        daemon = make_daemon(first, second, retries=0)
        assert await daemon.call(idempotent=True) == 200
        assert not first.aborted_at_s and not second.requests

    run(scenario)


@pytest.mark.parametrize("full", [True, False])
def test_a_call_is_not_aborted_without_another_free_server(full: bool) -> None:
    # Guards against aborting attempts when the only other server is full, or
    # there is none: each retry would go to the same slow server, and the last
    # one would be aborted as well.
    async def scenario() -> None:
        first, second = (
            ScriptedEngine("s1", responds_late),
            ScriptedEngine("s2", responds_soon),
        )
        daemon = make_daemon(first, second) if full else make_daemon(first)
        if full:
            fill_slots(daemon, "s2")
        assert await daemon.call(idempotent=True) == 200
        assert len(first.requests) == 1 and not second.requests

    run(scenario)


def test_the_last_attempt_of_a_call_is_not_aborted() -> None:
    # Four servers take 12 s each. The first three attempts are retried at
    # another server, each for one retry of the budget; after the fourth no
    # further attempt is allowed.
    async def scenario() -> None:
        servers = [ScriptedEngine(f"s{number}", responds_late) for number in range(4)]
        daemon = make_daemon(*servers)
        assert await daemon.call(idempotent=True) == 200
        aborted = [bool(server.aborted_at_s) for server in servers]
        assert aborted == [True, True, True, False]
        assert daemon.dispatcher.budget.balance == 0

    run(scenario)


def test_a_call_is_retried_when_its_server_falls_silent() -> None:
    # The attempt is aborted after 10 s and takes one retry from the budget.
    async def scenario() -> None:
        daemon = make_daemon(
            ScriptedEngine("s1", never_responds), ScriptedEngine("s2", responds_soon)
        )
        assert await daemon.call(idempotent=True) == 200
        assert daemon.took_s < 10.5
        assert daemon.dispatcher.budget.balance == 2

    run(scenario)


def test_a_kept_call_is_retried_once_another_server_is_free() -> None:
    # The check is repeated: 10 s later the other server has a free slot.
    async def scenario() -> None:
        daemon = make_daemon(
            ScriptedEngine("s1", never_responds), ScriptedEngine("s2", responds_soon)
        )
        fill_slots(daemon, "s2")
        calling = asyncio.ensure_future(daemon.call(idempotent=True))
        await asyncio.sleep(15.0)
        daemon.dispatcher.tables.replicas["s2"].other_vms_load = 0.0
        assert await calling == 200
        assert daemon.took_s < 20.5

    run(scenario)


def test_a_kept_call_fails_at_its_deadline() -> None:
    # The request's deadline ends the wait, not the next check of the server.
    async def scenario() -> None:
        daemon = make_daemon(ScriptedEngine("s1", never_responds))
        with pytest.raises(RefusalError) as caught:
            await daemon.call(idempotent=False, deadline_in_s=25.0)
        assert caught.value.refusal.run is Run.UNKNOWN
        assert 25.0 <= daemon.took_s < 25.1

    run(scenario)


@pytest.mark.parametrize(
    ("idempotent", "retries"), [(False, 3.0), (True, 0.0)], ids=["once", "no-retries"]
)
def test_a_generation_that_cannot_be_retried_is_not_aborted(
    idempotent: bool, retries: float
) -> None:
    # Guards against aborting a stream that a full engine preempts for 25 s:
    # the caller would get an error event with run "partial" in mid-stream.
    async def scenario() -> None:
        first, second = ScriptedEngine("e1", preempts), ScriptedEngine("e2", completes)
        daemon = make_daemon(first, second, retries=retries)
        assert (await daemon.generate(idempotent=idempotent)).endswith(b"[DONE]\n\n")
        assert not first.aborted_at_s and not second.requests

    run(scenario)


def test_a_generation_is_not_retried_at_its_only_engine_if_full() -> None:
    # A retry would queue behind the requests for which it was preempted.
    async def scenario() -> None:
        engine = ScriptedEngine("e1", preempts)
        daemon = make_daemon(engine)
        fill_slots(daemon, "e1")
        assert (await daemon.generate(idempotent=True)).endswith(b"[DONE]\n\n")
        assert len(engine.requests) == 1

    run(scenario)


def test_a_generation_resumes_at_its_only_engine_if_not_full() -> None:
    # The only engine has a free slot but has lost the stream. A further
    # attempt resumes after the last token; waiting would last until the
    # deadline.
    async def scenario() -> None:
        def loses_first_stream(received: ReceivedRequest) -> Timetable:
            first = json.loads(received.body)["offset"] == 0
            return (
                tokens(received, 0.1, ends=False)[:2] if first else completes(received)
            )

        engine = ScriptedEngine("e1", loses_first_stream)
        daemon = make_daemon(engine)
        assert (await daemon.generate(idempotent=True)).endswith(b"[DONE]\n\n")
        assert len(engine.requests) == 2
        assert daemon.dispatcher.budget.balance == 2

    run(scenario)


def test_a_generation_resumes_elsewhere_when_its_engine_falls_silent() -> None:
    # It resumes after its last token and takes one retry from the budget.
    async def scenario() -> None:
        first = ScriptedEngine(
            "e1", lambda received: tokens(received, 0.1, ends=False)[:2]
        )
        second = ScriptedEngine("e2", completes)
        daemon = make_daemon(first, second)
        assert (await daemon.generate(idempotent=True)).endswith(b"[DONE]\n\n")
        assert json.loads(second.requests[0].body)["offset"] == 1
        assert daemon.dispatcher.budget.balance == 2

    run(scenario)


def sheds_load(received: ReceivedRequest) -> Timetable:
    """Refuse a call without running it, with a Retry-After of 3 s."""
    return [
        (0.01, answer(received, 503, b"", "Rosepath-Run: no\r\nRetry-After: 3\r\n"))
    ]


# Guards against sending each call to a server that is shedding load.
def test_a_server_that_sheds_load_is_not_called_during_its_backoff() -> None:
    async def scenario() -> None:
        first, second = (
            ScriptedEngine("s1", sheds_load),
            ScriptedEngine("s2", responds_soon),
        )
        daemon = make_daemon(first, second, retries=100.0)
        for _ in range(20):
            assert await daemon.call(idempotent=True) == 200
        assert len(first.requests) == 1

    run(scenario)


# Guards against a Retry-After that ends while all servers still shed load.
def test_retry_after_is_the_end_of_the_first_servers_backoff() -> None:
    async def scenario() -> None:
        first = ScriptedEngine("s1", sheds_load)
        daemon = make_daemon(first, retries=100.0)
        for _ in range(2):
            with pytest.raises(RefusalError) as refused:
                await daemon.call(idempotent=True)
            assert refused.value.refusal.run is Run.NO
            assert refused.value.refusal.retry_after_s == pytest.approx(3.0, abs=0.1)
        assert len(first.requests) == 1

    run(scenario)
