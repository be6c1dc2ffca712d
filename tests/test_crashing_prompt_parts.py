"""A part of prompts that crashes each server that begins to answer on it."""

import asyncio
import os
import random
from collections.abc import Awaitable, Callable

import pytest
from crashing_servers import (
    CRASHING_PART,
    MAX_SENDS_AFTER_FIFTH,
    MIN_SERVED_SHARE,
    CrashingServersSimulation,
    late_sends,
    settled_s,
)
from entry_harness import ReceivedRequest, stream_head
from fleet_world import run_in_virtual_time
from timed_engines import (
    CRASH,
    Caller,
    Timetable,
    a_relay_harness,
    engines_following,
    generation_caller,
    received_complete_stream,
    restarts_with_model,
    run,
    streams,
)

# SEEDS=50 in the environment runs 50 random scenarios.
SEEDS = range(int(os.environ["SEEDS"])) if "SEEDS" in os.environ else (0, 1, 2, 3)


def crashes_on_part(received: ReceivedRequest) -> Timetable:
    """Crash the engine soon after the head of an answer on the part."""
    if f"{CRASHING_PART}:" in received.headers["prompt-prefix"]:
        return [(0.05, stream_head(received)), (0.08, CRASH)]
    return streams(received, *(0.1 * number for number in range(1, 9)), until=8)


def a_caller(number: int, *parts: str) -> Caller:
    caller = generation_caller(f"q{number}")
    shared = ",".join(f"{part}:100" for part in parts)
    caller.headers["Prompt-Prefix"] = f"{shared},{number + 4096:x}:100"
    caller.body = b"%d" % number
    return caller


# Guards against a part that crashes one server after the other, as no two
# requests with it are alike.
@pytest.mark.parametrize("engine_count", [5, 8])
@pytest.mark.parametrize("position", [0, 1])
def test_few_requests_with_a_part_that_crashes_servers_are_sent(
    engine_count: int, position: int
) -> None:
    async def play() -> None:
        engines = engines_following(engine_count, crashes_on_part)
        harness = a_relay_harness(*engines, retries=200.0)
        for engine in engines:
            engine.on_restart = restarts_with_model(harness)
        shared = ["aa", "bb"]
        crashing = [*shared[:position], CRASHING_PART, *shared[position + 1 :]]
        sound = [a_caller(number, *shared) for number in range(300)]
        bad = [a_caller(1000 + number, *crashing) for number in range(60)]
        await asyncio.gather(
            *(
                harness.serve(one, after_s=0.1 * number)
                for number, one in enumerate(sound)
            ),
            *(
                harness.serve(one, after_s=2.0 + 0.4 * number)
                for number, one in enumerate(bad)
            ),
        )
        crashes_s = [at_s for engine in engines for at_s in engine.crashed_at_s]
        sent_s = [
            at_s
            for engine in engines
            for received, at_s in zip(
                engine.requests, engine.received_at_s, strict=True
            )
            if f"{CRASHING_PART}:" in received.headers["prompt-prefix"]
        ]
        assert late_sends(sent_s, crashes_s) <= MAX_SENDS_AFTER_FIFTH
        later = [one for one in sound if one.arrived_s > settled_s(crashes_s)]
        served = sum(map(received_complete_stream, later))
        assert len(later) > 20 and served >= MIN_SERVED_SHARE * len(later)

    run(play)


Scenario = Callable[[CrashingServersSimulation], Awaitable[None]]


def run_scenario(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Scenario,
    *,
    vms: int,
    servers: int,
    seed: int,
) -> CrashingServersSimulation:
    """Run a scenario; its sound requests share their first part."""
    simulation = CrashingServersSimulation(rng=random.Random(seed))
    simulation.prompt = "aa:100,bb:100"

    async def full_scenario() -> None:
        await simulation.start(vms, monkeypatch, servers=servers)
        await asyncio.sleep(5.0)
        await scenario(simulation)
        await simulation.close()

    run_in_virtual_time(full_scenario)
    return simulation


# Guards against each entry VM learning of the part by crashes of its own,
# with lost messages, two such parts at once and holders that change.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_part_that_crashes_servers_is_known_to_all_vms(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    rng = random.Random(seed)
    vms = rng.choice([3, 5, 9])
    bad = [f"{CRASHING_PART}{number}" for number in range(rng.randint(1, 2))]
    first = rng.random() < 0.3

    async def scenario(simulation: CrashingServersSimulation) -> None:
        simulation.crashing_parts = tuple(bad)
        simulation.lost_share = rng.choice([0.0, 0.1, 0.3])
        for number in range(50):
            for _ in range(rng.choice([1, 1, 2])):
                part = rng.choice(bad)
                parts = [part, "bb"] if first else ["aa", part]
                simulation.send_prompt(f"p{number}-{rng.random()}", parts)
            await asyncio.sleep(rng.choice([0.05, 0.3, 0.6]))
            if rng.random() < 0.05:
                simulation.replace_holder()
        for number in range(30):
            simulation.send_prompt(f"last{number}", ["aa", rng.choice(bad)])
            await asyncio.sleep(0.4)

    simulation = run_scenario(
        monkeypatch, scenario, vms=vms, servers=rng.choice([5, 8]), seed=seed
    )
    for part in bad:
        crashes_s = simulation.crashes_s.get(part, [])
        sent_s = simulation.arrivals_s[part]
        assert late_sends(sent_s, crashes_s) <= MAX_SENDS_AFTER_FIFTH
        later = [
            status == 200
            for arrived_s, status in simulation.sound_outcomes
            if arrived_s > settled_s(crashes_s)
        ]
        assert len(later) > 20 and sum(later) >= MIN_SERVED_SHARE * len(later)
    assert simulation.quarantined_unrelated == 0


# Guards against refusing requests for a part that they share with one that
# crashes servers whatever its prompt.
def test_a_request_that_crashes_servers_does_not_condemn_its_parts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(simulation: CrashingServersSimulation) -> None:
        await simulation.send_repeatedly(
            times=20, each_s=0.5, prefix="aa:100,cc:100,ee:10"
        )
        for number in range(20):
            simulation.send_prompt(f"s{number}", ["aa", "cc"])
            await asyncio.sleep(0.1)

    simulation = run_scenario(monkeypatch, scenario, vms=5, servers=5, seed=5)
    assert simulation.crashes >= 3
    assert simulation.quarantined_unrelated == 0
