"""No request reaches a departed server after its drain time, despite failures.

Guards against delays that are each within bounds but add up to more than the
drain time (3.4 s where 3 s are allowed). This happens if a VM does not track
the age of its server table.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from fleet_world import FleetSimulation, run_in_virtual_time

# Number of VMs, drain time in seconds, and the seconds after an outage of the
# store from which the drain time applies again.
Size = tuple[int, float, float]
FEW = pytest.param((5, 2.0, 3.0), id="few")
LARGE = pytest.param((26, 3.0, 4.0), id="large")
sizes = pytest.mark.parametrize("size", [FEW, LARGE])
# Whether the store entries of other servers change continuously.
entries = pytest.mark.parametrize("busy", [False, True], ids=["quiet", "busy"])

Scenario = Callable[[FleetSimulation], Awaitable[None]]


def late_requests(
    monkeypatch: pytest.MonkeyPatch,
    size: Size,
    scenario: Scenario,
    *,
    servers: int = 8,
    connect_delay_s: float = 0.0,
    busy: bool = False,
    seed: int = 7,
    data_centres: int = 1,
) -> list[tuple[float, str, str]]:
    """Return the five latest requests to servers past their drain time."""
    vms, drain_s, settle_s = size
    simulation = FleetSimulation(
        drain_s=drain_s,
        settle_s=settle_s,
        connect_delay_s=connect_delay_s,
        data_centres=data_centres,
        rng=random.Random(seed),
    )

    async def run() -> None:
        await simulation.start(vms, monkeypatch, servers=servers)
        if busy:
            stay = [f"i-{number}" for number in range(servers - 2, servers)]
            simulation.tasks.append(
                asyncio.create_task(simulation.keep_writing_entries(stay))
            )
        await asyncio.sleep(10.0)
        await scenario(simulation)
        await simulation.close()

    run_in_virtual_time(run)
    assert simulation.answered > 500
    return sorted(simulation.late_sends, reverse=True)[:5]


@entries
@sizes
def test_departures_while_the_lease_holder_cannot_reach_the_store(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    # The lease holder reports that it cannot reach the store. A server's entry
    # is removed. The other VMs receive that up to 1 s later, as their watches
    # batch changes, and may take it for an entry that expired in an outage and
    # wait another 2.2 s for it to return. The two delays exceed the drain
    # time.
    async def scenario(simulation: FleetSimulation) -> None:
        for number, outage_s in enumerate((0.7, 1.7, 2.5)):
            simulation.block(simulation.holder)
            await asyncio.sleep(outage_s)
            simulation.start_departure(f"i-{number}")
            await asyncio.sleep(5.0)
            simulation.unblock()
            await asyncio.sleep(6.0)

    assert late_requests(monkeypatch, size, scenario, busy=busy) == []


@entries
@sizes
def test_departures_when_the_lease_holder_fails(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    async def scenario(simulation: FleetSimulation) -> None:
        for number in range(3):
            await asyncio.sleep(3.0 + 0.3 * number)
            simulation.kill(simulation.holder)
            simulation.start_departure(f"i-{number}")
            await asyncio.sleep(4.0)
            simulation.holder_term += 1
            simulation.holder = f"vm-{number + 1}"
            await asyncio.sleep(5.0)

    assert (
        late_requests(monkeypatch, size, scenario, busy=busy, connect_delay_s=0.3) == []
    )


@entries
@sizes
def test_many_simultaneous_departures(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    # 24 servers announce their departure. State messages that carry only the
    # latest sixteen departures leave the other VMs of a large fleet to read
    # the rest from the store up to 8 s later, the time for which their watches
    # batch changes while they receive state messages from the lease holder.
    async def scenario(simulation: FleetSimulation) -> None:
        await asyncio.sleep(0.2)
        for number in range(24):
            simulation.start_departure(f"i-{number}", announced=True)
        await asyncio.sleep(10.0)

    assert late_requests(monkeypatch, size, scenario, servers=30, busy=busy) == []


@entries
@sizes
def test_departures_missed_by_a_lease_holder_that_then_fails(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    # The lease holder's watch stops receiving, a server departs, and two
    # seconds later the holder fails. Until then it renews its lease over other
    # connections. If the age of those calls counts as the age of its server
    # table, its state messages make an outdated table look current (message
    # age 36 ms, last store call 0.15 s, last read of the servers 2.4 s), and
    # the other VMs start to read two seconds after the last message.
    async def scenario(simulation: FleetSimulation) -> None:
        for number in range(3):
            holder = simulation.holder
            simulation.stall_watches(holder)
            await asyncio.sleep(0.3)
            simulation.start_departure(f"i-{number}")
            await asyncio.sleep(2.0)
            simulation.kill(holder)
            await asyncio.sleep(4.0)
            simulation.holder_term += 1
            simulation.holder = f"vm-{number + 1}"
            await asyncio.sleep(5.0)

    assert late_requests(monkeypatch, size, scenario, busy=busy) == []


@entries
@sizes
def test_departures_while_all_store_connections_are_silent(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    # All open watches of the store stop receiving for good, while the lease
    # holder renews its lease over new connections. If these renewals make its
    # state messages count as current, the dead watches are detected too late:
    # the holder's after 2.5 s, those of the other VMs 0.5 s after its update.
    async def scenario(simulation: FleetSimulation) -> None:
        for number in range(4):
            simulation.stall_watches(*simulation.nodes)
            await asyncio.sleep(1.2)
            simulation.start_departure(f"i-{number}")
            await asyncio.sleep(7.3)

    assert late_requests(monkeypatch, size, scenario, busy=busy) == []


def test_departures_while_a_connection_to_the_server_is_established(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The server is chosen, then departs, which the VM learns at once; the
    # connection takes another 0.38 s. Unless the state of the server is
    # checked again before the request is sent, the time to connect (or to load
    # an adapter) adds to all other delays. Here it alone exceeds the drain
    # time.
    async def scenario(simulation: FleetSimulation) -> None:
        for number in range(5):
            simulation.start_departure(f"i-{number}", announced=number % 2 == 0)
            await asyncio.sleep(2.0)

    size = (4, 0.3, 3.0)
    assert late_requests(monkeypatch, size, scenario, connect_delay_s=0.38) == []


async def inject_random_faults(simulation: FleetSimulation) -> None:
    """Remove servers and inject other faults, in sequence and concurrently."""
    rng, names, dead = simulation.rng, list(simulation.nodes), 0
    leaving = iter(range(40))
    for _ in range(45):
        await asyncio.sleep(rng.uniform(0.1, 1.2))
        fault = rng.choice(["leave"] * 5 + ["away"] * 2 + ["silence", "kill", "core"])
        affected_vms = rng.sample(names, rng.randint(1, max(1, len(names) // 2)))
        if fault == "leave":
            for _ in range(rng.choice([1, 1, 2, 6])):
                simulation.start_departure(
                    f"i-{next(leaving, 0)}", announced=rng.random() < 0.5
                )
        elif fault == "away" and simulation.blocked == set(names[:dead]):
            simulation.block(*affected_vms, *rng.choice([[], [simulation.holder]]))
        elif fault == "away":
            simulation.unblock(excluded=names[:dead])
        elif fault == "silence":
            simulation.stall_watches(
                *affected_vms, *rng.choice([[], [simulation.holder]])
            )
        elif fault == "kill" and dead < len(names) - 2:
            dead += 1
            simulation.kill(simulation.holder)
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            simulation.holder_term += 1
            simulation.holder = names[dead]
        elif fault == "core":
            # A departure at this moment is not acknowledged by a healthy
            # store.
            if rng.random() < 0.5:
                await simulation.compact_history()
            else:
                stay = rng.sample(["i-44", "i-45", "i-46", "i-47"], 3)
                await simulation.fail_store(for_s=rng.uniform(0.5, 6.0), expiring=stay)
        simulation.lost_share = rng.choice([0.0, 0.0, 0.1, 0.3])


@sizes
# Seed 52: an idle connection stops receiving. If the outage is dated by the
# call that fails on it a second later, the VM counts as settled that much too
# late and waits 2.6 s for a removed entry to return where 2 s are allowed.
@pytest.mark.parametrize("seed", [1, 52])
def test_departures_with_random_faults(
    monkeypatch: pytest.MonkeyPatch, size: Size, seed: int
) -> None:
    scenario = inject_random_faults
    late = late_requests(
        monkeypatch,
        size,
        scenario,
        servers=48,
        busy=True,
        connect_delay_s=0.1,
        seed=seed,
    )
    assert late == []


@pytest.mark.parametrize("seed", [1, 2, 52])
def test_departures_with_random_faults_and_forwarded_state_messages(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    # In a large fleet, most VMs receive the lease holder's state messages
    # through a VM of their data centre, which may have failed, be disconnected
    # or lose the message.
    late = late_requests(
        monkeypatch,
        (26, 3.0, 4.0),
        inject_random_faults,
        servers=48,
        busy=True,
        connect_delay_s=0.1,
        seed=seed,
        data_centres=3,
    )
    assert late == []
