"""Test that a VM accepts callers only once it has listed the servers."""

import asyncio

import pytest
from fleet_world import World, play


def test_a_vm_with_only_a_copied_configuration_is_not_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A VM that starts while the store rejects it gets the configuration from
    # another VM, but no servers. If it reported ready, it would receive
    # callers and reject all their requests.
    async def run() -> None:
        world = World()
        world.configure(3)
        world.turn_away("vm-1")
        await world.start(3, monkeypatch)
        started = world.nodes["vm-1"]
        started.tables.catalog = None
        await asyncio.sleep(5.0)
        assert started.tables.fleet.servers or not started.ready
        await world.close()

    play(run)
