"""A VM takes callers only once it knows servers to send them to."""

import asyncio

import pytest
from fleet_world import World, play


def test_a_vm_that_has_only_a_copied_configuration_takes_no_callers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A VM that starts while the store turns it away gets the configuration from
    # another VM, but no servers: ready, it draws callers whom it refuses all.
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
