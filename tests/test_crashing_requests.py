"""Tests that a request that crashes servers is quarantined early."""

import asyncio
import os
import random
from collections.abc import Awaitable, Callable

import pytest
from crashing_servers import CRASHING_PATH, CrashingServersSimulation
from entry_harness import ReceivedRequest, stream_head
from fakes import FakePlatform
from fleet_world import run_in_virtual_time
from timed_engines import (
    CRASH,
    Timetable,
    a_relay_harness,
    engines_following,
    generation_caller,
    received_complete_stream,
    restarts_with_model,
    run,
    streams,
)

from rosepath.clock import ManualClock
from rosepath.crash_records import (
    REPORT_TTL_S,
    CrashRecords,
    CrashReport,
    Exposure,
    ServerInstance,
    Suspicion,
)
from rosepath.lease_keeper import LeaseKeeper
from rosepath.leases import LeasePolicy

# Number of VMs, drain time, and how long a VM takes to reconnect after a cut.
Size = tuple[int, float, float]
SMALL_FLEET = pytest.param((5, 2.0, 3.0), id="small_fleet")
LARGE_FLEET = pytest.param((26, 3.0, 4.0), id="large_fleet")
sizes = pytest.mark.parametrize("size", [SMALL_FLEET, LARGE_FLEET])
# How often a request may still reach servers once its third crash is known.
MAX_SENDS_AFTER_THIRD = 3
# SEEDS=50 in the environment runs 50 random scenarios. Seeds 1 and 12 are
# regression cases in which unrelated requests were quarantined.
SEEDS = range(int(os.environ["SEEDS"])) if "SEEDS" in os.environ else (0, 1, 2, 12)
POLICY = LeasePolicy(duration_s=5.0, margin_s=1.0)

Scenario = Callable[[CrashingServersSimulation], Awaitable[None]]


def run_scenario(
    monkeypatch: pytest.MonkeyPatch,
    size: Size,
    scenario: Scenario,
    *,
    servers: int = 5,
    seed: int = 7,
) -> CrashingServersSimulation:
    """Run a scenario and return the world in its final state."""
    vms, drain_s, settle_s = size
    simulation = CrashingServersSimulation(
        drain_s=drain_s, settle_s=settle_s, rng=random.Random(seed)
    )

    async def full_scenario() -> None:
        await simulation.start(vms, monkeypatch, servers=servers)
        await asyncio.sleep(5.0)
        await scenario(simulation)
        await simulation.close()

    run_in_virtual_time(full_scenario)
    assert simulation.answered > 500
    return simulation


# Guards against each VM identifying the request by further crashes, anew at
# each retry.
@sizes
def test_request_that_crashes_servers_is_known_to_all_vms(
    monkeypatch: pytest.MonkeyPatch, size: Size
) -> None:
    async def scenario(simulation: CrashingServersSimulation) -> None:
        await simulation.send_repeatedly(times=120, each_s=0.5)

    simulation = run_scenario(monkeypatch, size, scenario)
    assert simulation.crashes >= 2
    assert simulation.sent_after_third() <= MAX_SENDS_AFTER_THIRD
    statuses = [status for _, status in simulation.statuses]
    assert len(statuses) == 120 and set(statuses) <= {502, 503}


# Guards against simultaneous retries that each crash other servers.
@sizes
def test_simultaneous_retries_at_all_vms_crash_few_servers(
    monkeypatch: pytest.MonkeyPatch, size: Size
) -> None:
    async def scenario(simulation: CrashingServersSimulation) -> None:
        for wave in range(4):
            for vm in simulation.nodes:
                simulation.send_crashing_request(vm, f"{vm}-{wave}")
            await asyncio.sleep(10.0)

    simulation = run_scenario(monkeypatch, size, scenario)
    assert simulation.sent_after_third() <= MAX_SENDS_AFTER_THIRD


def crashes_if_marked(received: ReceivedRequest) -> Timetable:
    """Crash the engine soon after a marked stream starts; serve all others."""
    if CRASHING_PATH in received.line:
        return [(0.05, stream_head(received)), (0.08, CRASH)]
    return streams(received, *(0.1 * number for number in range(1, 9)), until=8)


# Guards against refusing or cutting streams that shared an engine with the
# request that crashed it, and against that request crashing all engines.
def test_streams_sharing_engines_with_a_crashing_request_are_all_served() -> None:
    async def play() -> None:
        engines = engines_following(5, crashes_if_marked)
        harness = a_relay_harness(*engines, retries=200.0)
        for engine in engines:
            engine.on_restart = restarts_with_model(harness)
        others = [generation_caller(f"q{number}") for number in range(150)]
        for number, other in enumerate(others):
            other.body = b"%d" % number
        marked = [generation_caller(f"bad-{number}") for number in range(10)]
        for one in marked:
            one.path = CRASHING_PATH
        await asyncio.gather(
            *(
                harness.serve(other, after_s=0.1 * number)
                for number, other in enumerate(others)
            ),
            *(
                harness.serve(one, after_s=1.0 + 1.2 * number)
                for number, one in enumerate(marked)
            ),
        )
        assert all(received_complete_stream(other) for other in others)
        assert sum(len(engine.crashed_at_s) for engine in engines) == 3
        assert {one.status for one in marked[3:]} == {503}

    run(play)


# Guards against combined failures: lost state messages, failing holders of the
# placement lease, two crashing requests at once, retries in bursts.
@pytest.mark.parametrize("seed", SEEDS)
def test_random_scenarios_crash_few_servers_and_quarantine_nothing_else(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    rng = random.Random(seed)
    vms = rng.choice([3, 5, 9, 26, 30])
    size = (vms, 2.0, 3.0) if vms < 20 else (vms, 3.0, 4.0)
    paths = [CRASHING_PATH, f"{CRASHING_PATH}/2"][: rng.randint(1, 2)]

    async def scenario(simulation: CrashingServersSimulation) -> None:
        simulation.lost_share = rng.choice([0.0, 0.1, 0.3])
        for number in range(40):
            for _ in range(rng.choice([1, 1, 1, 3])):
                vm = rng.choice(sorted(simulation.nodes))
                simulation.send_crashing_request(
                    vm, f"again-{number}", path=rng.choice(paths)
                )
            await asyncio.sleep(rng.choice([0.0, 0.02, 0.5, 2.0]))
            if rng.random() < 0.05:
                simulation.replace_holder()

    simulation = run_scenario(
        monkeypatch, size, scenario, servers=rng.choice([5, 8, 14]), seed=seed
    )
    for path in paths:
        assert simulation.sent_after_third(path) <= MAX_SENDS_AFTER_THIRD
    assert simulation.quarantined_unrelated == 0


def a_keeper(
    name: str, platform: FakePlatform, clock: ManualClock
) -> tuple[LeaseKeeper, CrashRecords]:
    """Return a VM's lease keeper and the crash records that it keeps in the lease."""
    records = CrashRecords(clock=clock)
    keeper = LeaseKeeper(platform, me=name, policy=POLICY, clock=clock)
    keeper.crash_knowledge = records.knowledge
    keeper.on_crash_knowledge = records.add_knowledge
    return keeper, records


# Guards against three more crashes per quarantined request after a power loss,
# when all VMs restart without their records.
def test_quarantine_persists_across_restart_of_all_vms() -> None:
    async def play() -> None:
        platform, clock = FakePlatform(), ManualClock()
        keeper, records = a_keeper("a", platform, clock)
        await keeper.step("l", wanted=True)
        for server in ("s1", "s2", "s3"):
            records.add(CrashReport("bad", ServerInstance(server), Exposure.ISOLATED))
        clock.advance(2.6)
        await keeper.step("l", wanted=True)
        for name in ("b", "c"):
            keeper, records = a_keeper(name, platform, clock)
            while not keeper.valid("l"):
                await keeper.step("l", wanted=True)
                clock.advance(1.5)
            assert records.suspicion("bad") is Suspicion.QUARANTINED

    asyncio.run(play())


# Guards against causes that are forgotten as all VMs restart, because callers sent
# more others since.
def test_all_causes_persist_across_restart_of_all_vms() -> None:
    async def play() -> None:
        platform, clock = FakePlatform(), ManualClock()
        keeper, records = a_keeper("a", platform, clock)
        await keeper.step("l", wanted=True)
        causes = [f"bad-{number}" for number in range(30)]
        causes += [f"part:bad-{number}" for number in range(30)]
        for key in causes:
            records.quarantine(key)
        await keeper.step("l", wanted=True)
        keeper, records = a_keeper("b", platform, clock)
        await keeper.step("l", wanted=True)
        for key in causes:
            assert records.suspicion(key) is Suspicion.QUARANTINED

    asyncio.run(play())


# Guards against crashes that are forgotten as all VMs restart before their cause
# is known, and before the lease's renewal is due.
def test_open_crashes_persist_across_restart_of_all_vms() -> None:
    async def play() -> None:
        platform, clock = FakePlatform(), ManualClock()
        keeper, records = a_keeper("a", platform, clock)
        await keeper.step("l", wanted=True)
        for name in ("b", "c"):
            server = ServerInstance(f"crashed-beside-{name}")
            records.add(CrashReport("bad", server, Exposure.ISOLATED, ("part:x",)))
            await keeper.step("l", wanted=True)
            keeper, records = a_keeper(name, platform, clock)
            while not keeper.valid("l"):
                await keeper.step("l", wanted=True)
                clock.advance(1.5)
        assert records.open_crashes("bad") == records.open_crashes("part:x") == 2

    asyncio.run(play())


# Guards against forgetting, VM by VM as they restart, the crashes of a request that
# is not known as the cause yet.
def test_a_restarted_vm_learns_of_earlier_crashes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    known: list[Suspicion] = []

    async def scenario(simulation: CrashingServersSimulation) -> None:
        records = simulation.nodes["vm-1"].crashes.records
        for server in ("i-90", "i-91"):
            report = CrashReport("bad", ServerInstance(server, 1), Exposure.STARTING)
            records.add(report)
        simulation.kill("vm-2")
        await asyncio.sleep(2 * REPORT_TTL_S)
        simulation.restart("vm-2", monkeypatch)
        await asyncio.sleep(REPORT_TTL_S)
        known.append(simulation.nodes["vm-2"].crashes.suspicion("bad"))

    run_scenario(monkeypatch, (5, 2.0, 3.0), scenario)
    assert known == [Suspicion.SUSPECT]
