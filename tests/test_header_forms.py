"""Responses whose headers have other forms that HTTP allows."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from functools import partial

import pytest
from entry_builders import a_route
from entry_harness import ReceivedRequest, answer, chunk, event
from timed_engines import (
    END,
    Caller,
    RelayHarness,
    ScriptedEngine,
    Timetable,
    a_plain_service_route,
    a_relay_harness,
    completes_stream,
    generation_caller,
    plain_service_caller,
    received_complete_stream,
    responds,
    responds_quickly,
    run,
    streams,
)
from tornado.httputil import HTTPHeaders

from rosepath.attempt import AttemptSender
from rosepath.catalog import HostRoute, RouteKind
from rosepath.platform import calls
from rosepath.platform.calls import read_notice, read_response_metadata

RETRY_AFTER_S = 3.0
# Requests already in flight may still arrive this long after a rejection.
BACKOFF_GRACE_S = 0.5
# Limit of the requests that reach a server after that and before its backoff
# ends.
SENDS_IN_BACKOFF = 2
# By name, a value in each header that a server sends.
HEADERS = {
    "Request-Id": "q1",
    "Response-Signature": "s",
    "Content-Type": "text/plain",
    "Server-Load": "1,0,32",
    "Keep-Alive": "timeout=5",
}
DATE = "Date: Sun, 06 Dec 2026 10:00:00 GMT\r\n"
RETRY_DATE = "Retry-After: Sun, 06 Dec 2026 10:00:03 GMT\r\n"
SPACES = (" ", "\t", " \t ")


def spaced_heads() -> list[str]:
    """Return heads of responses with white space after one of their headers."""
    return [
        "HTTP/1.1 200 OK\r\n"
        + "".join(
            f"{name}: {value}{space if name == spaced else ''}\r\n"
            for name, value in HEADERS.items()
        )
        for spaced in HEADERS
        for space in SPACES
    ]


def an_unsafe_route() -> HostRoute:
    return a_route(kind=RouteKind.NON_IDEMPOTENT, service="desk", timeout_s=5.0)


# Guards against taking a head for malformed, and closing the caller's connection,
# because white space follows the value of a header.
@pytest.mark.parametrize(
    "route", [a_plain_service_route(), an_unsafe_route()], ids=["safe", "unsafe"]
)
def test_white_space_after_a_header_of_a_plain_response_is_dropped(
    route: HostRoute,
) -> None:
    async def play(head: str) -> None:
        response = f"{head}Content-Length: 5 \r\n\r\nwhole".encode()
        server = ScriptedEngine("e1", lambda _: [(0.01, response)])
        caller = plain_service_caller()
        await a_relay_harness(server, route=route).serve(caller)
        assert (caller.status, caller.received_body) == (200, b"whole")

    for head in spaced_heads():
        run(partial(play, head))


# Guards against the same for streams.
def test_white_space_after_a_header_of_a_stream_is_dropped() -> None:
    events = b"".join(chunk(event(number)) for number in range(1, 9))

    async def play(head: str) -> None:
        chunked = f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
        engine = ScriptedEngine("e1", lambda _: [(0.01, chunked + events + END)])
        caller = generation_caller()
        await a_relay_harness(engine).serve(caller)
        assert received_complete_stream(caller)

    for head in spaced_heads():
        run(partial(play, head))


async def late_sends(
    *engines: ScriptedEngine,
    rejected_after_s: float = 0.005,
    leave_after_s: float | None = None,
    route: HostRoute | None = None,
) -> int:
    """Send many requests; return how many reached a server that asked for rest.

    The first of `engines` sheds load.
    """
    route = route or a_plain_service_route()
    harness = a_relay_harness(*engines, retries=100.0, route=route)
    await serve_many(harness, leave_after_s=leave_after_s)
    return count_late_sends(engines[0], rejected_after_s)


async def serve_many(
    harness: RelayHarness,
    *,
    leave_after_s: float | None = None,
    new_caller: Callable[[str], Caller] = lambda _: plain_service_caller(),
) -> list[Caller]:
    """Serve callers, one each 0.1 s; return them."""
    callers = [new_caller(f"q{number}") for number in range(60)]

    async def serve(number: int) -> None:
        with suppress(TimeoutError):
            after_s = 0.1 * number
            async with asyncio.timeout(after_s + (leave_after_s or 10.0)):
                await harness.serve(callers[number], after_s=after_s)

    await asyncio.gather(*(serve(number) for number in range(60)))
    return callers


def count_late_sends(engine: ScriptedEngine, rejected_after_s: float) -> int:
    """Count the requests that reached a server while it asked for rest."""
    late, rejected_s = 0, -1e9
    for at_s in engine.received_at_s:
        if at_s + rejected_after_s >= rejected_s + RETRY_AFTER_S:
            rejected_s = at_s + rejected_after_s
        late += rejected_s + BACKOFF_GRACE_S < at_s < rejected_s + RETRY_AFTER_S
    return late


def sheds(extra: str, *, after_s: float = 0.005) -> Callable[..., Timetable]:
    """Return a script that rejects each request with further header lines."""

    def script(received: ReceivedRequest) -> Timetable:
        headers = f"Not-Executed: 1\r\n{extra}"
        return [(after_s, answer(received, 503, b"", headers))]

    return script


# Guards against requests going on to a server whose rest was stated in another
# form: with white space, as a date, or twice, of which the longer one holds.
@pytest.mark.parametrize(
    "extra",
    [
        "Retry-After: 3 \r\n",
        "Retry-After:\t3\t\r\n",
        "Retry-After: 1\r\nRetry-After: 3\r\n",
        "Retry-After: 3\r\nRetry-After: 1\r\n",
        "Retry-After: 1, 3\r\n",
        "Retry-After: 3.0;reason=full\r\n",
        "Retry-After: soon, 3\r\n",
        DATE + RETRY_DATE,
    ],
    ids=[
        "space",
        "tab",
        "longer-last",
        "longer-first",
        "list",
        "parameter",
        "in-part",
        "date",
    ],
)
def test_a_server_rests_whatever_the_form_in_which_it_asks(extra: str) -> None:
    async def play() -> None:
        shedding = ScriptedEngine("e1", sheds(extra))
        other = ScriptedEngine("e2", responds_quickly)
        assert await late_sends(shedding, other) <= SENDS_IN_BACKOFF

    run(play)


# Guards against learning nothing from rejections that arrive after the callers
# have left, so that each further request goes to the same server.
def test_a_server_that_rejects_late_rests_although_its_callers_have_left() -> None:
    async def play() -> None:
        rejecting = sheds("Retry-After: 3\r\n", after_s=0.6)
        shedding = [ScriptedEngine(f"e{number}", rejecting) for number in (1, 2)]
        others = [ScriptedEngine(f"e{number}", responds_quickly) for number in (3, 4)]
        late = await late_sends(
            *shedding,
            *others,
            rejected_after_s=0.6,
            leave_after_s=0.3,
            route=an_unsafe_route(),
        )
        assert late <= SENDS_IN_BACKOFF
        assert count_late_sends(shedding[1], 0.6) <= SENDS_IN_BACKOFF

    run(play)


UNHEARD_ROUTES = {
    "stream": a_route(),
    "stream-once": a_route(resumable=False),
    "once": an_unsafe_route(),
    "look": a_plain_service_route(),
}


# Of the relay's choices; with 57, a server got its second request late.
SEEDS = (0, 1, 2, 57)


# Guards against the same where no other server could take the requests, so that
# they go on to one of which nothing has been heard: callers leave, or their time ends,
# before it rejects.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("ending", ["leave", "deadline"])
@pytest.mark.parametrize("others", [2, 1, 0])
@pytest.mark.parametrize("kind", UNHEARD_ROUTES)
def test_a_server_whose_rejections_reach_nobody_rests(
    kind: str, others: int, ending: str, seed: int
) -> None:
    leaves = ending == "leave"
    rejected_after_s = 0.6 if leaves else 1.2

    def new_caller(request_id: str) -> Caller:
        wait_ms = 20_000 if leaves else 1_000
        if "stream" in kind:
            return generation_caller(request_id, wait_ms=wait_ms)
        caller = plain_service_caller()
        caller.headers["Request-Deadline-Ms"] = str(wait_ms)
        return caller

    async def play() -> None:
        rejecting = sheds("Retry-After: 3\r\n", after_s=rejected_after_s)
        shedding = [ScriptedEngine(f"e{number}", rejecting) for number in (1, 2)]
        serves = completes_stream if "stream" in kind else responds_quickly
        sound = [ScriptedEngine(f"s{number}", serves) for number in range(others)]
        harness = a_relay_harness(
            *shedding, *sound, retries=100.0, route=UNHEARD_ROUTES[kind], seed=seed
        )
        leave_after_s = 0.3 if leaves else None
        await serve_many(harness, leave_after_s=leave_after_s, new_caller=new_caller)
        for engine in shedding:
            late = count_late_sends(engine, rejected_after_s)
            assert late <= SENDS_IN_BACKOFF

    run(play)


# Guards against taking connections that hang, on a link that is cut, for requests
# without an answer: once it heals, nobody has to wait.
def test_a_server_to_which_nothing_was_sent_is_not_unheard() -> None:
    async def play() -> None:
        engine = ScriptedEngine("e1", responds_quickly, unreachable=True)
        harness = a_relay_harness(engine, route=an_unsafe_route())
        for _ in range(3):
            await harness.serve(plain_service_caller())
        server = harness.fleet.servers["e1"]
        assert server.connect_failed_s > 0 and not server.half_open

    run(play)


# Guards against an unheard server that stays half-open after it was heard again.
def test_a_server_that_fell_silent_serves_all_callers_once_it_goes_on() -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        silent_until_s = loop.time() + 2.0

        def script(received: ReceivedRequest) -> Timetable:
            return responds(received, after_s=max(0.02, silent_until_s - loop.time()))

        harness = a_relay_harness(ScriptedEngine("e1", script), route=an_unsafe_route())
        await serve_many(harness, leave_after_s=0.3)
        callers = await serve_many(harness)
        assert all(caller.status == 200 for caller in callers)

    run(play)


# Guards against leaving the callers of slow engines without any, as others leave
# before the first event.
def test_slow_engines_serve_on_although_some_callers_leave() -> None:
    async def play() -> None:
        slow = partial(streams, until=8)
        engines = [
            ScriptedEngine(f"e{number}", lambda received: slow(received, 0.5, 0.6))
            for number in (1, 2)
        ]
        harness = a_relay_harness(*engines)
        staying, _ = await asyncio.gather(
            serve_many(harness, new_caller=generation_caller),
            serve_many(harness, leave_after_s=0.3, new_caller=generation_caller),
        )
        assert all(received_complete_stream(caller) for caller in staying)

    run(play)


# Guards against leaving the other callers of slow servers without any.
def test_slow_servers_serve_on_although_some_callers_leave() -> None:
    async def play() -> None:
        slow = partial(responds, after_s=0.4)
        engines = [ScriptedEngine(f"e{number}", slow) for number in (1, 2)]
        harness = a_relay_harness(*engines, route=an_unsafe_route())
        staying, _ = await asyncio.gather(
            serve_many(harness), serve_many(harness, leave_after_s=0.3)
        )
        assert all(caller.status == 200 for caller in staying)

    run(play)


# Guards against joining the values of a header that a server sends twice.
def test_headers_that_come_twice_are_read() -> None:
    twice = HTTPHeaders()
    for name, value in (
        ("Server-Leaving", "1"),
        ("Server-Limit", "5"),
        ("Server-Load", "1,0,32"),
        ("Instance-Id", "i-1"),
        ("Request-Id", "q1"),
    ):
        twice.add(name, value)
        twice.add(name, value)
    notice = read_notice(200, twice)
    assert notice.leaving
    assert notice.limit_per_s == 5.0
    load = read_response_metadata(200, twice).load
    assert load is not None
    assert load.slots == 32
    assert calls.answering_server(twice) == "i-1"
    assert calls.echoed_request_id(twice) == "q1"


# Guards against taking a response with the ids of two requests for one of no request.
def test_a_response_with_several_ids_belongs_to_none_of_them() -> None:
    several = HTTPHeaders()
    for request_id in ("q1", "q2"):
        several.add("Request-Id", request_id)
        several.add("Instance-Id", request_id)
    assert calls.echoed_request_id(several) not in ("q1", "q2", None)
    assert calls.answering_server(several) is None


async def serve_with_failure(
    monkeypatch: pytest.MonkeyPatch, name: str, caller: Caller
) -> RelayHarness:
    """Serve a caller while a function of the attempt raises."""

    def fail(*_: object, **__: object) -> None:
        raise ValueError("unexpected")

    monkeypatch.setattr(f"rosepath.attempt.{name}", fail)
    harness = a_relay_harness(ScriptedEngine("e1", completes_stream))
    await harness.serve(caller)
    return harness


# Guards against closing a caller's connection without a response as this VM
# fails on a server's response.
def test_an_unexpected_failure_after_sending_is_answered_as_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        caller = generation_caller()
        await serve_with_failure(monkeypatch, "read_response_metadata", caller)
        assert (caller.status, caller.aborted) == (502, False)

    run(play)


# Guards against the same before anything was sent, which callers may retry.
def test_an_unexpected_failure_before_sending_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        caller = generation_caller()
        await serve_with_failure(monkeypatch, "encode_headers", caller)
        assert caller.status == 503
        assert float(caller.retry_after) > 0.0

    run(play)


# Guards against a response that was started before the failure looking complete.
def test_an_unexpected_failure_within_a_stream_breaks_it_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        caller = generation_caller()

        async def fail(*_: object, **__: object) -> None:
            raise ValueError("unexpected")

        caller.response_started = True
        monkeypatch.setattr(AttemptSender, "send", fail)
        harness = a_relay_harness(ScriptedEngine("e1", completes_stream))
        await harness.serve(caller)
        assert (caller.aborted, caller.complete) == (True, False)

    run(play)
