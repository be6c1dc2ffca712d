"""Calls to the store and messages of the holder in a large fleet.

In a fleet of 195 VMs the holder's messages to each VM saturated its link and
arrived too late, so every VM watched the store itself, and calls to the store
became the largest cost. Neither may grow much with the number of VMs.
"""

import asyncio
from dataclasses import dataclass

import pytest
from fleet_world import FleetSimulation, run_in_virtual_time

SETTLING_S = 6.0
MEASURED_S = 10.0
DATA_CENTRES = 6
MESSAGES_PER_S = 1 / 0.8


@dataclass(frozen=True, slots=True, kw_only=True)
class Measurements:
    """Store calls, holder messages and oldest table of a fleet."""

    full_watches: int
    holder_sent: int
    oldest_s: float


def measure_fleet(vms: int, monkeypatch: pytest.MonkeyPatch) -> Measurements:
    """Run a fleet in which servers' entries change continuously."""
    measured: list[Measurements] = []

    async def run() -> None:
        simulation = FleetSimulation(
            drain_s=3.0, settle_s=4.0, data_centres=DATA_CENTRES, lost_share=0.02
        )
        await simulation.start(vms, monkeypatch, servers=8)
        for node in simulation.nodes.values():
            node.settings = node.settings.model_copy(update={"apply_ms": 3000.0})
        names = [f"i-{number}" for number in range(8)]
        simulation.tasks.append(
            asyncio.create_task(simulation.keep_writing_entries(names))
        )
        await asyncio.sleep(SETTLING_S)
        for node in simulation.nodes.values():
            node.store.calls.clear()
        simulation.sent.clear()
        await asyncio.sleep(MEASURED_S)
        measured.append(
            Measurements(
                full_watches=sum(
                    node.store.calls["watch"] for node in simulation.nodes.values()
                ),
                holder_sent=simulation.sent[simulation.holder],
                oldest_s=max(
                    node.tables.servers_watcher.age.age_s
                    for node in simulation.nodes.values()
                ),
            )
        )
        await simulation.close()

    run_in_virtual_time(run)
    return measured[0]


def test_store_calls_and_holder_messages_hardly_grow_with_the_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    small = measure_fleet(30, monkeypatch)
    large = measure_fleet(90, monkeypatch)
    # The holder's own watches, and those of VMs that missed two messages in a
    # row.
    assert large.full_watches < small.full_watches + 60
    assert large.oldest_s < 3.0
    # Per interval, one message to each VM of the holder's data centre and to
    # each other data centre.
    messages_per_interval = 90 / DATA_CENTRES + DATA_CENTRES
    assert (
        large.holder_sent <= 1.1 * messages_per_interval * MESSAGES_PER_S * MEASURED_S
    )
