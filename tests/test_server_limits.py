"""Rate limits that servers state hold over all entry VMs.

The pattern of load: requests arrive at all entry VMs, and a few of the servers
that could serve them ask for far less than their part.
"""

import asyncio
import os
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest
from fleet_world import run_in_virtual_time
from limited_servers import LimitedServersSimulation
from timed_engines import (
    Caller,
    ScriptedEngine,
    a_relay_harness,
    completes_stream,
    generation_caller,
    received_complete_stream,
    run,
)
from tornado.httputil import HTTPHeaders
from virtual_time import now_s

from rosepath.platform.calls import read_notice
from rosepath.quota_pool import NO_LIMIT, QuotaDecision

FEW = pytest.param((7, 3.0), id="few")
LARGE_FLEET = pytest.param((26, 4.0), id="large_fleet")
sizes = pytest.mark.parametrize("size", [FEW, LARGE_FLEET])

# Number of random scenarios; set SEEDS in the environment to run more.
SEEDS = range(int(os.environ.get("SEEDS", "3")))

Scenario = Callable[[LimitedServersSimulation], Awaitable[None]]


def play(
    monkeypatch: pytest.MonkeyPatch,
    size: tuple[int, float],
    scenario: Scenario,
    *,
    servers: int = 4,
    lost_share: float = 0.0,
) -> LimitedServersSimulation:
    """Play a scenario on a fleet that has settled."""
    vms, contact_s = size
    simulation = LimitedServersSimulation(contact_s=contact_s, lost_share=lost_share)

    async def run_scenario() -> None:
        await simulation.start(vms, monkeypatch, servers=servers)
        await asyncio.sleep(4.0)
        await scenario(simulation)
        await simulation.close()

    run_in_virtual_time(run_scenario)
    return simulation


# Guards against a server that limits its rate and gets its usual part of the
# requests, or the whole rate from each entry VM.
@sizes
def test_limited_server_gets_its_rate_from_all_vms_together(
    monkeypatch: pytest.MonkeyPatch, size: tuple[int, float]
) -> None:
    async def scenario(simulation: LimitedServersSimulation) -> None:
        simulation.limit("i-0", 1.0)
        simulation.limit("i-1", 1.7)
        await asyncio.sleep(20.0)

    simulation = play(monkeypatch, size, scenario)
    assert simulation.excesses == []
    # The other servers take what the limited ones don't.
    assert simulation.refused == 0


# Guards against a limit that outlives its cause: the server would go on getting
# almost no requests.
@sizes
def test_server_gets_its_part_again_once_it_states_no_limit(
    monkeypatch: pytest.MonkeyPatch, size: tuple[int, float]
) -> None:
    async def scenario(simulation: LimitedServersSimulation) -> None:
        simulation.limit("i-0", 1.0)
        await asyncio.sleep(8.0)
        simulation.withdraw_limit("i-0")
        await asyncio.sleep(4.0)
        simulation.total.clear()
        await asyncio.sleep(4.0)

    simulation = play(monkeypatch, size, scenario)
    assert simulation.excesses == []
    assert simulation.total["i-0"] > 0.5 * simulation.total["i-1"]


# Guards against requests that wait or are refused while the limits would allow
# them, and against limits that are exceeded as no other server can help.
@sizes
def test_servers_that_are_all_limited_are_used_up_to_their_limits(
    monkeypatch: pytest.MonkeyPatch, size: tuple[int, float]
) -> None:
    async def scenario(simulation: LimitedServersSimulation) -> None:
        for number in range(4):
            simulation.limit(f"i-{number}", 3.0)
        await asyncio.sleep(5.0)
        simulation.total.clear()
        await asyncio.sleep(10.0)

    simulation = play(monkeypatch, size, scenario)
    assert simulation.excesses == []
    assert min(simulation.total.values()) > 0.7 * 3.0 * 10.0
    assert simulation.refused > 0


# Guards against a coordinator whose end or restart lets its successor grant the
# same rate again, or lets every VM send on its own.
@sizes
def test_limit_holds_as_coordinators_end(
    monkeypatch: pytest.MonkeyPatch, size: tuple[int, float]
) -> None:
    async def scenario(simulation: LimitedServersSimulation) -> None:
        simulation.limit("i-0", 1.0)
        await asyncio.sleep(6.0)
        for _ in range(3):
            live = set(simulation.nodes) - simulation.killed
            coordinators = {
                simulation.nodes[name].quotas.coordinator for name in live
            } & live
            simulation.kill(sorted(coordinators)[0])
            await asyncio.sleep(5.0)

    assert play(monkeypatch, size, scenario).excesses == []


# Guards against VMs that each grant on their own, as all those that they would
# ask first have ended: one request each is more than the limit allows.
@sizes
def test_vms_find_a_coordinator_though_the_first_candidates_ended(
    monkeypatch: pytest.MonkeyPatch, size: tuple[int, float]
) -> None:
    coordinators: set[str] = set()

    async def scenario(simulation: LimitedServersSimulation) -> None:
        simulation.limit("i-0", 1.0)
        await asyncio.sleep(6.0)
        for name in simulation.nodes["vm-0"].quotas._candidate_rounds()[0]:
            simulation.kill(name)
        await asyncio.sleep(10.0)
        live = simulation.nodes.keys() - simulation.killed
        coordinators.update(simulation.nodes[name].quotas.coordinator for name in live)

    simulation = play(monkeypatch, size, scenario)
    assert simulation.excesses == []
    # Until all VMs know each other's links, some may prefer another one.
    assert len(coordinators) <= 2


# Guards against VMs that hear each other badly and send as if alone.
@sizes
@pytest.mark.parametrize("seed", SEEDS)
def test_limits_hold_under_random_failures(
    monkeypatch: pytest.MonkeyPatch, size: tuple[int, float], seed: int
) -> None:
    rng = random.Random(seed)

    async def scenario(simulation: LimitedServersSimulation) -> None:
        for _ in range(20):
            await asyncio.sleep(rng.uniform(0.2, 2.5))
            server = f"i-{rng.randrange(4)}"
            vm = rng.choice(sorted(simulation.nodes))
            match rng.randrange(5):
                case 0 | 1:
                    simulation.limit(server, rng.choice((0.0, 0.5, 1.0, 1.7, 6.0)))
                case 2:
                    simulation.withdraw_limit(server)
                case 3 if vm not in simulation.killed:
                    simulation.kill(vm)
                case _ if simulation.killed:
                    simulation.restart(min(simulation.killed), monkeypatch)

    simulation = play(monkeypatch, size, scenario, lost_share=rng.choice((0.0, 0.15)))
    assert simulation.excesses == []


@dataclass(slots=True)
class ScriptedQuotas:
    """Admit no request to a server before a time; record what is given back."""

    admits_from_s: float
    asked: list[str] = field(default_factory=list)
    given_back: int = 0

    async def admit(self, workspace: str, cost: float) -> QuotaDecision:
        return NO_LIMIT

    async def admit_to_server(self, server: str, limit_per_s: float) -> QuotaDecision:
        self.asked.append(server)
        wait_s = max(0.0, self.admits_from_s - now_s())
        return QuotaDecision(granted=not wait_s, retry_after_s=wait_s)

    def give_back(self, decision: QuotaDecision) -> None:
        self.given_back += 1


def serve_one(
    *engines: str, admits_after_s: float = 0.0, wait_ms: int = 9000, down: bool = False
) -> tuple[Caller, ScriptedQuotas, list[ScriptedEngine]]:
    """Serve one generation where the first of the engines states a limit."""
    scripted = [ScriptedEngine(name, completes_stream) for name in engines]
    caller = generation_caller("q1", wait_ms=wait_ms)
    quotas = ScriptedQuotas(0.0)

    async def serve() -> None:
        quotas.admits_from_s = now_s() + admits_after_s
        harness = a_relay_harness(*scripted)
        harness.relay._ports.quotas = quotas
        harness.fleet.servers[engines[0]].limit_per_s = 1.0
        scripted[0].up = not down
        await harness.serve(caller)

    run(serve)
    return caller, quotas, scripted


# Guards against a request that waits for a limited engine beside a free one.
def test_request_beyond_the_limit_goes_to_another_engine() -> None:
    caller, quotas, engines = serve_one("e1", "e2", admits_after_s=60.0)
    assert received_complete_stream(caller)
    assert [len(engine.requests) for engine in engines] == [0, 1]
    assert set(quotas.asked) <= {"e1"}


# Guards against a refusal of what the limit allows while its caller waits, and
# against asking again for each try of each waiting request.
def test_request_waits_until_the_limit_of_the_only_engine_allows_it() -> None:
    caller, quotas, _ = serve_one("e1", admits_after_s=1.5)
    assert received_complete_stream(caller)
    assert len(quotas.asked) <= 3
    assert quotas.given_back == 0


# Guards against a request that is held although the limit allows it too late.
def test_request_that_the_limit_allows_too_late_is_refused_at_once() -> None:
    caller, quotas, engines = serve_one("e1", admits_after_s=30.0, wait_ms=3000)
    assert caller.status == 503
    assert float(caller.retry_after) >= 30.0
    assert len(quotas.asked) == 1
    assert engines[0].requests == []


# Guards against a rate that is used up by attempts that never reached the
# server.
def test_admission_of_an_attempt_that_was_not_sent_is_given_back() -> None:
    caller, quotas, _ = serve_one("e1", wait_ms=1000, down=True)
    assert caller.status == 503
    assert quotas.given_back == len(quotas.asked) > 0


@pytest.mark.parametrize(
    ("stated", "limit_per_s"),
    [
        (["1.7"], 1.7),
        (["0"], 0.0),
        (["3", "1", "2"], 1.0),
        (["x", "2"], 2.0),
        (["1,2"], 1.0),
        (["-1,x"], None),
        (["-1"], None),
        (["nan"], None),
        (["inf"], None),
        ([""], None),
    ],
)
def test_invalid_limits_are_ignored(
    stated: list[str], limit_per_s: float | None
) -> None:
    headers = HTTPHeaders({"Response-Signature": "s"})
    for value in stated:
        headers.add("Server-Limit", value)
    notice = read_notice(200, headers)
    assert notice.limit_per_s == limit_per_s
    assert not notice.unlimited


# Guards against a limit that ends because a response without the header came
# from another server or from the engine's orders.
def test_only_a_response_to_a_request_ends_a_limit() -> None:
    assert read_notice(200, HTTPHeaders({"Response-Signature": "s"})).unlimited
    assert not read_notice(202, HTTPHeaders()).unlimited
    assert not read_notice(421, HTTPHeaders({"Response-Signature": "s"})).unlimited
