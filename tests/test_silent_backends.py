"""Whether the daemon's requests leave a backend server that stands still.

One that is broken off before it is known that another try may follow, and that
somebody could take it, is lost to its caller although its server was at work.
"""

import asyncio
import json
import random
from dataclasses import dataclass, field

import pytest
from builders import end_events, token_event
from entry_harness import Asked, answer, chunk, stream_head
from opentelemetry import trace
from opentelemetry.sdk.metrics import MeterProvider
from timed_engines import END, Engine, TimedPool, Timetable, answers, run
from virtual_time import LoopClock

from rosepath.backend import Generation
from rosepath.backend_http import HttpBackend
from rosepath.dispatch import Dispatcher, Terms
from rosepath.errors import RefusalError, Run
from rosepath.services import ServiceCall, ServiceRelay
from rosepath.settings import RoutingSettings
from rosepath.tables import Replica, Tables
from rosepath.telemetry import Telemetry


def slow(asked: Asked) -> Timetable:
    """Answer after more than the progress timeout."""
    return answers(asked, after_s=12.0)


def quick(asked: Asked) -> Timetable:
    return answers(asked, after_s=0.1)


def dark(asked: Asked) -> Timetable:
    """Take a request and never answer, with the connection open."""
    return []


def tokens(asked: Asked, *at_s: float, ends: bool = True) -> Timetable:
    """Send the four tokens that the caller lacks, the last times over."""
    body = json.loads(asked.body)
    request_id, first = body["request_id"], body["offset"]
    steps = [(0.01, stream_head(asked))]
    for at in range(first, 4):
        due_s = at_s[min(at - first, len(at_s) - 1)]
        steps.append((due_s, chunk(token_event(request_id, at, at + 1))))
    if ends:
        steps += [(steps[-1][0], chunk(end_events(request_id, 4)) + END)]
    return steps


def sets_aside(asked: Asked) -> Timetable:
    """Send a token, stand still for 25 seconds, and send the rest."""
    return tokens(asked, 0.1, 25.1)


def goes_on(asked: Asked) -> Timetable:
    return tokens(asked, 0.1)


@dataclass(slots=True)
class Node:
    """Hold a daemon's dispatcher before servers, and what a caller heard."""

    dispatcher: Dispatcher
    relay: ServiceRelay
    heard: bytearray = field(default_factory=bytearray)
    took_s: float = 0.0

    async def call(self, *, idempotent: bool, wait_s: float = 60.0) -> int:
        """Call the plain service; return the answer's status."""
        heads: list[int] = []
        call = ServiceCall(service="files", method="POST", path="/x", headers={})
        begun_s = asyncio.get_running_loop().time()
        try:
            await self.relay.call(
                call,
                terms(idempotent=idempotent, wait_s=wait_s),
                lambda head: heads.append(head.status),
                self.heard.extend,
            )
        finally:
            self.took_s = asyncio.get_running_loop().time() - begun_s
        return heads[0]

    async def generate(self, *, idempotent: bool) -> bytes:
        """Ask for four tokens; return the events."""
        generation = Generation(
            request_id="r",
            target="files",
            prompt="p",
            max_tokens=4,
            shape="completion",
            served_as="m",
        )
        await self.dispatcher.generate(
            generation, terms(idempotent=idempotent), self.heard.extend
        )
        return bytes(self.heard)


def terms(*, idempotent: bool, wait_s: float = 60.0) -> Terms:
    return Terms(
        idempotent=idempotent,
        deadline_s=asyncio.get_running_loop().time() + wait_s,
        data_centre="a",
        span=trace.INVALID_SPAN,
    )


def a_node(*engines: Engine, repeats: float = 3.0) -> Node:
    """Build a daemon's dispatcher; the first server is the one that it prefers."""
    tables = Tables()
    for number, engine in enumerate(engines):
        tables.replicas[engine.name] = Replica(
            name=engine.name,
            address=engine.address,
            service="files",
            slots=8,
            resident=frozenset({"files"}),
            others_load=float(number),
        )
    pool = TimedPool({engine.address: engine for engine in engines})
    dispatcher = Dispatcher(
        tables,
        HttpBackend(pool),
        Telemetry(trace.NoOpTracer(), MeterProvider().get_meter("t"), None),
        # Requests earn nothing, so that a test says what may be repeated.
        RoutingSettings(retry_budget_share=0.0),
        clock=LoopClock(),
        rng=random.Random(1),
        on_leaving=lambda _: None,
    )
    dispatcher.budget.balance = repeats
    return Node(dispatcher, ServiceRelay(dispatcher, pool))


def fill(node: Node, name: str) -> None:
    """Let all places of a server be taken by others."""
    server = node.dispatcher.tables.replicas[name]
    server.others_load = float(server.slots)


def test_a_call_that_may_run_once_is_not_broken_off() -> None:
    # A filing took its server 12 s. After 10 s without a byte the entry VM broke
    # it off and only then found that it may not be sent again: the caller got a
    # 502, run unknown, with most of its time left and its server at work.
    async def play() -> None:
        first, second = Engine("s1", slow), Engine("s2", quick)
        node = a_node(first, second)
        assert await node.call(idempotent=False) == 200
        assert not first.cut_at_s and not second.asked

    run(play)


def test_a_call_is_not_broken_off_when_no_repeat_is_left() -> None:
    # The same for one that may be repeated, once the retry budget is spent.
    async def play() -> None:
        first, second = Engine("s1", slow), Engine("s2", quick)
        node = a_node(first, second, repeats=0)
        assert await node.call(idempotent=True) == 200
        assert not first.cut_at_s and not second.asked

    run(play)


@pytest.mark.parametrize("full", [True, False])
def test_a_call_is_not_broken_off_when_nobody_else_could_take_it(full: bool) -> None:
    # The only other server is full, or there is none: each try began anew at the
    # slow one, and the last was broken off as well.
    async def play() -> None:
        first, second = Engine("s1", slow), Engine("s2", quick)
        node = a_node(first, second) if full else a_node(first)
        if full:
            fill(node, "s2")
        assert await node.call(idempotent=True) == 200
        assert len(first.asked) == 1 and not second.asked

    run(play)


def test_the_last_try_of_a_call_is_not_broken_off() -> None:
    # Four servers at 12 s each: the tries before the last may go on elsewhere,
    # each at the price of one repeat; after the last nothing follows.
    async def play() -> None:
        servers = [Engine(f"s{number}", slow) for number in range(4)]
        node = a_node(*servers)
        assert await node.call(idempotent=True) == 200
        left = [bool(server.cut_at_s) for server in servers]
        assert left == [True, True, True, False]
        assert node.dispatcher.budget.balance == 0

    run(play)


def test_a_call_leaves_a_server_that_went_dark() -> None:
    # What may go on elsewhere does so after 10 s, and pays for it once.
    async def play() -> None:
        node = a_node(Engine("s1", dark), Engine("s2", quick))
        assert await node.call(idempotent=True) == 200
        assert node.took_s < 10.5
        assert node.dispatcher.budget.balance == 2

    run(play)


def test_a_call_that_was_kept_leaves_once_there_is_room() -> None:
    # It is looked at again: 10 s later the other server has a place.
    async def play() -> None:
        node = a_node(Engine("s1", dark), Engine("s2", quick))
        fill(node, "s2")
        calling = asyncio.ensure_future(node.call(idempotent=True))
        await asyncio.sleep(15.0)
        node.dispatcher.tables.replicas["s2"].others_load = 0.0
        assert await calling == 200
        assert node.took_s < 20.5

    run(play)


def test_a_call_that_is_kept_ends_with_its_time() -> None:
    # The wait is bounded by the request's own time, whenever the next look is.
    async def play() -> None:
        node = a_node(Engine("s1", dark))
        with pytest.raises(RefusalError) as caught:
            await node.call(idempotent=False, wait_s=25.0)
        assert caught.value.refusal.run is Run.UNKNOWN
        assert 25.0 <= node.took_s < 25.1

    run(play)


@pytest.mark.parametrize(
    ("idempotent", "repeats"), [(False, 3.0), (True, 0.0)], ids=["once", "no-repeat"]
)
def test_a_generation_is_not_broken_off(idempotent: bool, repeats: float) -> None:
    # A full engine set a stream aside for 25 s; broken off unasked, its caller
    # got an error event in the middle, run partial.
    async def play() -> None:
        first, second = Engine("e1", sets_aside), Engine("e2", goes_on)
        node = a_node(first, second, repeats=repeats)
        assert (await node.generate(idempotent=idempotent)).endswith(b"[DONE]\n\n")
        assert not first.cut_at_s and not second.asked

    run(play)


def test_a_generation_stays_with_an_only_engine_that_is_full() -> None:
    # Asked again, it would queue behind those for whom it was set aside.
    async def play() -> None:
        engine = Engine("e1", sets_aside)
        node = a_node(engine)
        fill(node, "e1")
        assert (await node.generate(idempotent=True)).endswith(b"[DONE]\n\n")
        assert len(engine.asked) == 1

    run(play)


def test_a_generation_goes_on_at_an_only_engine_that_lost_it() -> None:
    # The only copy has room and sends nothing more: asked again, it goes on after
    # the last token. To wait would end the stream with its time.
    async def play() -> None:
        def loses_the_first(asked: Asked) -> Timetable:
            first = json.loads(asked.body)["offset"] == 0
            return tokens(asked, 0.1, ends=False)[:2] if first else goes_on(asked)

        engine = Engine("e1", loses_the_first)
        node = a_node(engine)
        assert (await node.generate(idempotent=True)).endswith(b"[DONE]\n\n")
        assert len(engine.asked) == 2
        assert node.dispatcher.budget.balance == 2

    run(play)


def test_a_generation_leaves_an_engine_that_went_dark() -> None:
    # It goes on elsewhere after its last token, and pays for it once.
    async def play() -> None:
        first = Engine("e1", lambda asked: tokens(asked, 0.1, ends=False)[:2])
        second = Engine("e2", goes_on)
        node = a_node(first, second)
        assert (await node.generate(idempotent=True)).endswith(b"[DONE]\n\n")
        assert json.loads(second.asked[0].body)["offset"] == 1
        assert node.dispatcher.budget.balance == 2

    run(play)


def sheds(asked: Asked) -> Timetable:
    """Refuse a call unrun, and tell when to come back."""
    return [(0.01, answer(asked, 503, b"", "Rosepath-Run: no\r\nRetry-After: 3\r\n"))]


# Guards against a server that sheds load being asked again with each call.
def test_calls_leave_a_server_alone_that_sheds_load() -> None:
    async def play() -> None:
        first, second = Engine("s1", sheds), Engine("s2", quick)
        node = a_node(first, second, repeats=100.0)
        for _ in range(20):
            assert await node.call(idempotent=True) == 200
        assert len(first.asked) == 1

    run(play)


# Guards against callers being told to come back while all servers still shed load.
def test_callers_come_back_when_the_first_server_takes_calls_again() -> None:
    async def play() -> None:
        first = Engine("s1", sheds)
        node = a_node(first, repeats=100.0)
        for _ in range(2):
            with pytest.raises(RefusalError) as refused:
                await node.call(idempotent=True)
            assert refused.value.refusal.run is Run.NO
            assert refused.value.refusal.retry_after_s == pytest.approx(3.0, abs=0.1)
        assert len(first.asked) == 1

    run(play)
