"""A part of prompts that crashes servers while entry VMs start."""

import asyncio
import os
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import pytest
from crashing_servers import (
    CRASHING_PART,
    MAX_SENDS_AFTER_FIFTH,
    MIN_SERVED_SHARE,
    CrashingServersSimulation,
    late_sends,
    settled_s,
)
from fleet_world import run_in_virtual_time

SERVERS = 5
# Guilty requests are sent for so long.
GUILTY_S = 40.0
# SEEDS=20 in the environment plays so many seeds of each case.
SEEDS = range(int(os.environ.get("SEEDS", "1")))

Faults = Callable[[CrashingServersSimulation], Coroutine[Any, Any, None]]


async def no_faults(_: CrashingServersSimulation) -> None:
    return


def play(
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    *,
    guilty: Sequence[str],
    sound: Sequence[str],
    interval_s: float,
    run_s: float,
    vms: int = 3,
    faults: Faults = no_faults,
    harmless_s: float = 0.0,
    dark: bool = False,
) -> CrashingServersSimulation:
    """Send guilty requests from half a second after the start of the VMs.

    For the first `harmless_s` they crash nothing.
    """
    simulation = CrashingServersSimulation(
        rng=random.Random(seed),
        stores_lease=True,
        run_s=run_s,
        first_event_after_s=run_s,
        dark=dark,
    )
    simulation.prompt = ",".join(f"{part}:100" for part in sound)

    def begin_to_crash() -> None:
        simulation.crashing_parts = (CRASHING_PART,)

    async def scenario() -> None:
        await simulation.start(vms, monkeypatch, servers=SERVERS)
        await asyncio.sleep(0.5)
        asyncio.get_running_loop().call_later(harmless_s, begin_to_crash)
        faulting = asyncio.create_task(faults(simulation))
        for number in range(int(GUILTY_S / interval_s)):
            if len(simulation.killed) < vms:
                simulation.send_prompt(f"p{number}", guilty)
            await asyncio.sleep(interval_s)
        faulting.cancel()
        await simulation.close()

    run_in_virtual_time(scenario)
    return simulation


def require_few_late_sends(simulation: CrashingServersSimulation) -> None:
    for part, crashes_s in simulation.crashes_s.items():
        sent_s = simulation.arrivals_s[part]
        assert late_sends(sent_s, crashes_s) <= MAX_SENDS_AFTER_FIFTH


def require_sound_served(simulation: CrashingServersSimulation) -> None:
    from_s = settled_s(simulation.crashes_s[CRASHING_PART])
    later = [
        status == 200
        for arrived_s, status in simulation.sound_outcomes
        if arrived_s > from_s
    ]
    assert len(later) > 20 and sum(later) >= MIN_SERVED_SHARE * len(later)


# Guards against refusing sound requests for parts that they share with those that
# crash servers, while no run with these parts has survived yet.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("run_s", [0.03, 1.5, 4.0])
@pytest.mark.parametrize("interval_s", [0.05, 0.5])
@pytest.mark.parametrize(
    ("guilty", "sound"),
    [
        (["dead", "bb", "cc"], ["aa", "bb", "cc"]),
        (["aa", "dead", "cc"], ["aa", "bb", "cc"]),
        (["aa", "dead"], ["aa", "bb"]),
    ],
    ids=["first", "middle", "last"],
)
def test_sound_requests_are_served_whichever_parts_they_share(
    monkeypatch: pytest.MonkeyPatch,
    guilty: list[str],
    sound: list[str],
    interval_s: float,
    run_s: float,
    seed: int,
) -> None:
    simulation = play(
        monkeypatch,
        seed,
        guilty=guilty,
        sound=sound,
        interval_s=interval_s,
        run_s=run_s,
    )
    require_few_late_sends(simulation)
    require_sound_served(simulation)


# The same, where nothing tells at once that a server has crashed.
@pytest.mark.parametrize("guilty", [["aa", "dead", "cc"], ["aa", "dead"]])
def test_sound_requests_are_served_beside_servers_that_vanish(
    monkeypatch: pytest.MonkeyPatch, guilty: list[str]
) -> None:
    simulation = play(
        monkeypatch,
        0,
        guilty=guilty,
        sound=["aa", "bb", "cc"],
        interval_s=0.2,
        run_s=1.5,
        dark=True,
    )
    require_few_late_sends(simulation)
    require_sound_served(simulation)


# Guards against sends that go on because runs with the part survived before it began
# to crash servers.
@pytest.mark.parametrize("interval_s", [0.05, 0.5, 2.0])
@pytest.mark.parametrize("run_s", [0.03, 1.5])
def test_a_part_that_begins_to_crash_servers_is_known(
    monkeypatch: pytest.MonkeyPatch, run_s: float, interval_s: float
) -> None:
    simulation = play(
        monkeypatch,
        0,
        guilty=["aa", "dead"],
        sound=["aa", "bb"],
        interval_s=interval_s,
        run_s=run_s,
        harmless_s=8.0,
    )
    require_few_late_sends(simulation)
    require_sound_served(simulation)


# Guards against each generation of entry VMs learning of the part anew, at the
# cost of servers.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("vms", [3, 7])
@pytest.mark.parametrize("interval_s", [0.05, 0.5, 2.0])
@pytest.mark.parametrize("vm_life_s", [1.0, 2.5])
def test_crashes_before_all_vms_restarted_count_after_it(
    monkeypatch: pytest.MonkeyPatch,
    vm_life_s: float,
    interval_s: float,
    vms: int,
    seed: int,
) -> None:
    async def restart_all(simulation: CrashingServersSimulation) -> None:
        while True:
            await asyncio.sleep(vm_life_s)
            await simulation.replace_vms(monkeypatch)

    simulation = play(
        monkeypatch,
        seed,
        guilty=["aa", "dead"],
        sound=["aa", "bb"],
        interval_s=interval_s,
        run_s=0.03,
        vms=vms,
        faults=restart_all,
    )
    require_few_late_sends(simulation)
