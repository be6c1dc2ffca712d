"""Test that a VM accepts callers only once it has listed the servers."""

import asyncio

import pytest
from fleet_world import FleetSimulation, run_in_virtual_time


def test_a_vm_with_only_a_copied_configuration_is_not_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A VM that starts while the store rejects it gets the configuration from
    # another VM, but no servers. If it reported ready, it would receive
    # callers and reject all their requests.
    async def run() -> None:
        simulation = FleetSimulation()
        simulation.configure(3)
        simulation.block("vm-1")
        await simulation.start(3, monkeypatch)
        started = simulation.nodes["vm-1"]
        started.tables.catalog = None
        await asyncio.sleep(5.0)
        assert started.tables.fleet.servers or not started.ready
        await simulation.close()

    run_in_virtual_time(run)
