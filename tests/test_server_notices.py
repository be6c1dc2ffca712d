"""Server-Leaving and Retry-After of a response apply to later requests."""

import asyncio
import os
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta
from email.utils import format_datetime
from typing import Any, cast

import pytest
from entry_builders import a_route, a_server, an_engine_spec, an_entry
from entry_harness import ReceivedRequest, answer
from fleet_world import run_in_virtual_time
from outspoken_servers import DepartureNoticeSimulation
from timed_engines import (
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
    run,
    streams,
)
from tornado.httputil import HTTPHeaders

from rosepath.engine_orders import EngineRecord, Order, OrderAction
from rosepath.engine_views import engine_view
from rosepath.errors import ExchangeError
from rosepath.fleet import Fleet
from rosepath.http_client import Request, ResponseHead
from rosepath.platform.calls import read_notice
from rosepath.platform.engines import EngineClient
from rosepath.retry_after import BACKOFF_MAX_S
from rosepath.server_choice import note_backoff
from rosepath.server_limits import apply_limit_notice
from rosepath.server_notice import NO_NOTICE, ServerNotice
from rosepath.server_probe import ServerContact, health_probe

FEW = pytest.param((5, 2.0, 3.0), id="few")
LARGE_FLEET = pytest.param((26, 3.0, 4.0), id="crowd")
sizes = pytest.mark.parametrize("size", [FEW, LARGE_FLEET])
# Number of random scenarios; set SEEDS in the environment to run more.
SEEDS = range(int(os.environ.get("SEEDS", "3")))
# Requests already in flight may still arrive this long after a rejection.
BACKOFF_GRACE_S = 0.5
RETRY_AFTER_S = 3.0
# Limit of the requests that reach a server after that and before its backoff
# ends.
SENDS_IN_BACKOFF = 2

Scenario = Callable[[DepartureNoticeSimulation], Awaitable[None]]


def late_sends(
    monkeypatch: pytest.MonkeyPatch,
    size: tuple[int, float, float],
    scenario: Scenario,
    *,
    servers: int = 4,
    seed: int = 7,
) -> list[float]:
    """Return how long after Server-Leaving requests still arrived."""
    vms, drain_s, settle_s = size
    simulation = DepartureNoticeSimulation(
        drain_s=drain_s, settle_s=settle_s, rng=random.Random(seed)
    )

    async def run_scenario() -> None:
        await simulation.start(vms, monkeypatch, servers=servers)
        await asyncio.sleep(5.0)
        await scenario(simulation)
        await simulation.close()

    run_in_virtual_time(run_scenario)
    assert simulation.notified_at_s
    return sorted(simulation.late_by_s, reverse=True)[:5]


# Guards against relying on the store alone, which may list a leaving server
# for much longer.
@sizes
def test_a_server_that_sends_leaving_gets_no_requests_before_the_store_lists_it(
    monkeypatch: pytest.MonkeyPatch, size: tuple[int, float, float]
) -> None:
    async def scenario(simulation: DepartureNoticeSimulation) -> None:
        simulation.announce_departure("i-1")
        await asyncio.sleep(12.0)

    assert late_sends(monkeypatch, size, scenario) == []


# Guards against an entry that expired in an outage and is restored in its
# state before the departure overriding the server's own notice.
@sizes
def test_a_restored_entry_does_not_override_the_leaving_notice(
    monkeypatch: pytest.MonkeyPatch, size: tuple[int, float, float]
) -> None:
    async def scenario(simulation: DepartureNoticeSimulation) -> None:
        simulation.announce_departure("i-1")
        await asyncio.sleep(1.0)
        simulation.start_departure("i-1")
        await asyncio.sleep(4.0)
        simulation.departed_at_s.clear()
        simulation.write_entry("i-1")
        await asyncio.sleep(8.0)

    assert late_sends(monkeypatch, size, scenario) == []


# Guards against combined failures: an unavailable store, one that rejects VMs
# or loses its history, expired entries and lost peer messages, while only
# responses announce that servers leave.
@pytest.mark.parametrize("seed", SEEDS)
def test_leaving_notices_hold_under_random_failures(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    rng = random.Random(seed)
    size = rng.choice([(3, 2.0, 3.0), (9, 2.0, 3.0), (26, 3.0, 4.0)])

    async def scenario(simulation: DepartureNoticeSimulation) -> None:
        simulation.lost_share = rng.choice([0.0, 0.1, 0.3])
        names = [f"i-{number}" for number in range(8)]
        for name in rng.sample(names, 4):
            simulation.announce_departure(name)
            match rng.randrange(5):
                case 0:
                    await simulation.fail_store(
                        for_s=rng.uniform(1.0, 6.0), expiring=[name]
                    )
                case 1:
                    simulation.block(*rng.sample(sorted(simulation.nodes), 2))
                case 2:
                    await simulation.compact_history()
                case 3:
                    simulation.write_entry(name)
            await asyncio.sleep(rng.uniform(0.1, 4.0))
            simulation.unblock()
        await asyncio.sleep(5.0)

    assert late_sends(monkeypatch, size, scenario, servers=8, seed=seed) == []


def sheds(
    received: ReceivedRequest, *, retry_after_s: float = RETRY_AFTER_S
) -> Timetable:
    """Reject a request without running it, with a Retry-After."""
    extra = f"Not-Executed: 1\r\nRetry-After: {retry_after_s:.2f}\r\n"
    return [(0.005, answer(received, 503, b"", extra))]


def sheds_once(
    script: Callable[[ReceivedRequest], Timetable],
) -> Callable[[ReceivedRequest], Timetable]:
    """Reject the first request and handle later ones with `script`."""
    asked_before = False

    def do(received: ReceivedRequest) -> Timetable:
        nonlocal asked_before
        first, asked_before = not asked_before, True
        return sheds(received) if first else script(received)

    return do


def sends_in_backoff(engine: ScriptedEngine) -> int:
    """Count the requests that reached a server during its backoff."""
    backoff_until_s = enforced_from_s = -1e9
    late = 0
    for at_s in engine.received_at_s:
        late += enforced_from_s < at_s < backoff_until_s
        if at_s >= backoff_until_s:
            enforced_from_s, backoff_until_s = (
                at_s + BACKOFF_GRACE_S,
                at_s + RETRY_AFTER_S,
            )
    return late


async def serve_many(
    harness: RelayHarness, callers: list[Caller], *, each_s: float
) -> None:
    await asyncio.gather(
        *(
            harness.serve(caller, after_s=each_s * number)
            for number, caller in enumerate(callers)
        )
    )


# Guards against retrying a server that sheds load every 0.1 s.
def test_streams_back_off_from_an_engine_that_sheds_load() -> None:
    async def play_site() -> None:
        engine = ScriptedEngine("e1", sheds)
        harness = a_relay_harness(engine, retries=100.0)
        callers = [
            generation_caller(f"q{number}", wait_ms=4000) for number in range(40)
        ]
        await serve_many(harness, callers, each_s=0.1)
        assert sends_in_backoff(engine) <= SENDS_IN_BACKOFF

    run(play_site)


# Guards against the same at a plain service, whose requests wait only briefly.
def test_plain_requests_back_off_from_a_server_that_sheds_load() -> None:
    async def play_site() -> None:
        engine = ScriptedEngine("e1", sheds)
        harness = a_relay_harness(engine, retries=100.0, route=a_plain_service_route())
        callers = [plain_service_caller() for _ in range(40)]
        await serve_many(harness, callers, each_s=0.1)
        assert sends_in_backoff(engine) <= SENDS_IN_BACKOFF

    run(play_site)


# Guards against callers waiting until their deadline for a backoff that ends
# later.
def test_a_request_whose_deadline_precedes_the_backoffs_end_is_refused_at_once() -> (
    None
):
    async def play_site() -> None:
        engine = ScriptedEngine("e1", sheds)
        route = a_route(timeout_s=2.0)
        harness = a_relay_harness(engine, route=route)
        first, second = generation_caller("q1"), generation_caller("q2")
        await harness.serve(first)
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        await harness.serve(second)
        assert loop.time() - asked_s < 0.01
        assert second.status == 503
        assert float(second.retry_after) > RETRY_AFTER_S - 0.1

    run(play_site)


# Guards against all waiting requests being sent at once when a backoff ends.
def test_after_a_backoff_one_request_probes_the_server_before_the_others() -> None:
    async def play_site() -> None:
        engine = ScriptedEngine(
            "e1", sheds_once(lambda received: streams(received, 0.2, until=8))
        )
        harness = a_relay_harness(engine, retries=100.0, route=a_route(timeout_s=20.0))
        callers = [generation_caller(f"q{number}") for number in range(6)]
        await serve_many(harness, callers, each_s=0.01)
        after = [at_s - engine.received_at_s[0] for at_s in engine.received_at_s[1:]]
        in_backoff = [at_s for at_s in after if BACKOFF_GRACE_S < at_s < RETRY_AFTER_S]
        together = [
            at_s for at_s in after if RETRY_AFTER_S <= at_s < RETRY_AFTER_S + 0.15
        ]
        assert in_backoff == []
        assert len(together) <= 1

    run(play_site)


# Guards against a request waiting for a server that sheds load while another
# is available.
def test_a_request_goes_to_another_engine_while_one_sheds_load() -> None:
    async def play_site() -> None:
        shedding, other = (
            ScriptedEngine("e1", sheds),
            ScriptedEngine("e2", completes_stream),
        )
        harness = a_relay_harness(shedding, other, retries=100.0)
        callers = [generation_caller(f"q{number}") for number in range(20)]
        await serve_many(harness, callers, each_s=0.1)
        assert all(received_complete_stream(caller) for caller in callers)
        assert sends_in_backoff(shedding) <= SENDS_IN_BACKOFF

    run(play_site)


# Guards against the holder of the placement lease ignoring notices in
# responses to its orders and report requests.
@pytest.mark.parametrize("status", [200, 202, 409, 503])
def test_leaving_notices_are_read_from_responses_to_orders_and_reports(
    status: int,
) -> None:
    notices: list[tuple[str, ServerNotice]] = []

    class Pool:
        async def fetch(self, _: Request) -> tuple[ResponseHead, bytes]:
            headers = HTTPHeaders({"Server-Leaving": "1"})
            return ResponseHead(status, headers), b"{}"

    async def play_calls() -> None:
        calls = EngineClient(
            pool=cast(Any, Pool()), on_notice=lambda *notice: notices.append(notice)
        )
        order = Order(
            action=OrderAction.LOAD,
            server="e1",
            model="m0",
            holder="vm-1",
            fence=1,
            expected_sequence=0,
        )
        await calls.order("e1:1", order, still_wanted=lambda: True)
        with suppress(ExchangeError):
            await calls.report("e1:1", "e1")

    asyncio.run(play_calls())
    assert notices == [("e1", ServerNotice(leaving=True))] * 2


# Guards against attributing a notice to a server whose address another server
# now has.
def test_a_misdirected_response_carries_no_notice_for_the_intended_server() -> None:
    assert read_notice(421, HTTPHeaders({"Server-Leaving": "1"})) == NO_NOTICE


@pytest.mark.parametrize(
    ("status", "given", "retry_after_s"),
    [
        (503, "3", 3.0),
        (429, "0.5", 0.5),
        # In an error response, Retry-After applies to that request only.
        (500, "3", 0.0),
        (503, "", 0.0),
        (503, "-1", 0.0),
        (503, "0", 0.0),
        # A server that wants rest, for a time that can't be read.
        (503, "nan", 1.0),
        (503, "inf", 1.0),
        (503, "3 s", 1.0),
        (503, "soon", 1.0),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
        (503, "Wed, 21 Oct 2026 07:28:09 GMT", 4.0),
        (503, "Wednesday, 21-Oct-26 07:28:09 GMT", 4.0),
        (503, "Wed Oct 21 07:28:09 2026", 4.0),
        (503, "Wed, 99 Oct 2026 07:28:09 GMT", 1.0),
    ],
)
def test_only_retry_after_of_a_rejection_starts_a_backoff(
    status: int, given: str, retry_after_s: float
) -> None:
    date = "Wed, 21 Oct 2026 07:28:05 GMT"
    headers = HTTPHeaders({"Retry-After": given, "Date": date})
    assert read_notice(status, headers).retry_after_s == retry_after_s


# Guards against reading no date of a server that states none of its response.
def test_a_date_counts_from_now_if_the_response_has_none() -> None:
    until = datetime.now(UTC) + timedelta(seconds=30)
    notice = read_notice(503, HTTPHeaders({"Retry-After": format_datetime(until)}))
    assert 20.0 < notice.retry_after_s <= 30.0


# Guards against a faulty response excluding a server forever.
def test_the_length_of_a_backoff_is_limited() -> None:
    notice = read_notice(503, HTTPHeaders({"Retry-After": "1e9"}))
    assert notice.retry_after_s == BACKOFF_MAX_S


# Guards against the holder of the placement lease ordering model loads onto an
# engine that sheds load.
def test_an_engine_that_sheds_load_gets_no_orders() -> None:
    server = a_server("e1")
    record = EngineRecord(server="e1", is_current=True)
    spec = an_engine_spec("m0")
    assert engine_view(server, record, spec, now_s=1000.0).accepts_orders
    note_backoff(server, retry_after_s=3.0, now_s=1000.0)
    assert not engine_view(server, record, spec, now_s=1002.9).accepts_orders
    assert engine_view(server, record, spec, now_s=1003.1).accepts_orders


@dataclass(slots=True)
class SheddingServer:
    """Shed load at random and count the requests that arrive in a backoff."""

    rng: random.Random
    enforced_from_s: float = -1e9
    backoff_until_s: float = -1e9
    in_backoff: int = 0
    worst: int = 0

    def do(self, received: ReceivedRequest) -> Timetable:
        now_s = asyncio.get_running_loop().time()
        if now_s < self.backoff_until_s:
            self.in_backoff += now_s > self.enforced_from_s
            self.worst = max(self.worst, self.in_backoff)
            return sheds(received, retry_after_s=self.backoff_until_s - now_s)
        if self.rng.random() < 0.7:
            return streams(received, 0.05, until=8)
        retry_after_s = self.rng.uniform(0.2, 4.0)
        self.in_backoff = 0
        self.enforced_from_s, self.backoff_until_s = (
            now_s + BACKOFF_GRACE_S,
            now_s + retry_after_s,
        )
        return sheds(received, retry_after_s=retry_after_s)


# Guards against requests oscillating between servers when several back off at
# the same time.
@pytest.mark.parametrize("seed", SEEDS)
def test_random_backoffs_are_respected(seed: int) -> None:
    async def play_site() -> None:
        rng = random.Random(seed)
        shedding = [SheddingServer(rng) for _ in range(rng.choice([1, 2, 5]))]
        engines = [ScriptedEngine(f"e{n}", one.do) for n, one in enumerate(shedding)]
        harness = a_relay_harness(*engines, retries=100.0)
        callers = [
            generation_caller(f"q{number}", wait_ms=5000) for number in range(100)
        ]
        await serve_many(harness, callers, each_s=rng.uniform(0.01, 0.1))
        assert max(one.worst for one in shedding) <= SENDS_IN_BACKOFF
        for caller in callers:
            assert received_complete_stream(caller) or (
                caller.status == 503 and caller.retry_after
            )

    run(play_site)


# Guards against sending to a server that asked for rest as soon as its entry has
# lapsed and come back.
def test_a_backoff_and_a_limit_outlast_the_entry_of_their_server() -> None:
    fleet = Fleet()
    entry = replace(an_entry("s1"), born_ms=100, revision=1)
    fleet.put(entry)
    server = fleet.servers["s1"]
    note_backoff(server, retry_after_s=RETRY_AFTER_S, now_s=0.0)
    apply_limit_notice(server, ServerNotice(limit_per_s=2.0), now_s=0.0)
    fleet.remove("s1", gone_at=5)
    fleet.put(replace(entry, revision=9))
    returned = fleet.servers["s1"]
    assert returned.usable
    assert not returned.accepts_requests(RETRY_AFTER_S - 0.1)
    assert returned.accepts_requests(RETRY_AFTER_S + 0.1)
    assert returned.limit_per_s == 2.0


# Guards against resting for a process that has not asked for it.
def test_a_restarted_server_has_no_backoff_of_its_predecessor() -> None:
    fleet = Fleet()
    entry = replace(an_entry("s1"), born_ms=100, revision=1)
    fleet.put(entry)
    note_backoff(fleet.servers["s1"], retry_after_s=RETRY_AFTER_S, now_s=0.0)
    fleet.remove("s1", gone_at=5)
    fleet.put(replace(entry, born_ms=200, revision=9))
    assert fleet.servers["s1"].accepts_requests(0.1)


# Guards against asking on a server whose answer to a health check asked for rest.
def test_notices_are_read_from_answers_to_health_checks() -> None:
    notices: list[tuple[str, ServerNotice]] = []

    class Pool:
        async def fetch(self, _: Request) -> tuple[ResponseHead, bytes]:
            headers = HTTPHeaders({"Instance-Id": "s1", "Retry-After": "3"})
            return ResponseHead(503, headers), b""

    probe = health_probe(
        cast(Any, Pool()),
        lambda _: "/health",
        on_notice=lambda *notice: notices.append(notice),
    )
    contact = asyncio.run(probe(a_server("s1"), limit_s=0.2))
    assert contact is ServerContact.ANSWERED
    assert notices == [("s1", ServerNotice(retry_after_s=RETRY_AFTER_S))]
