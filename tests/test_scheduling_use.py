"""Where an entry VM schedules: by the size of its fleet, its routes and settings."""

import asyncio

import pytest
from entry_builders import a_catalog, a_peer_state, a_route, entry_settings

from rosepath.entry_node import EntryNode
from rosepath.entry_settings import SchedulingSettings
from rosepath.peer_table import SMALL_FLEET_VMS
from rosepath.scheduling_mode import SchedulingMode


def uses_scheduler(
    mode: SchedulingMode, *, vms: int, resumable: bool, reloaded: bool = False
) -> bool:
    """Return whether an entry VM in a fleet of so many asks a scheduler."""

    async def run() -> bool:
        settings = entry_settings("vm")
        wanted = settings.model_copy(
            update={"scheduling": SchedulingSettings(mode=mode)}
        )
        node = EntryNode(settings if reloaded else wanted)
        if reloaded:
            node.reload(wanted)
        for number in range(1, vms):
            node.peers.apply_state(a_peer_state(f"vm-{number}"))
        node._on_catalog_applied(a_catalog(a_route(resumable=resumable)))
        return node.scheduling.in_use

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("vms", "resumable", "expected"),
    [
        (SMALL_FLEET_VMS, False, False),
        (SMALL_FLEET_VMS + 1, False, True),
        (SMALL_FLEET_VMS + 1, True, False),
    ],
)
def test_large_fleets_with_fragile_streams_schedule(
    vms: int, resumable: bool, expected: bool
) -> None:
    """Other fleets are served as before and pay for no message."""
    found = uses_scheduler(SchedulingMode.AUTO, vms=vms, resumable=resumable)
    assert found is expected


@pytest.mark.parametrize("reloaded", [False, True])
def test_an_operator_switches_scheduling_off_and_on(reloaded: bool) -> None:
    """Something is wrong with the scheduler: a reload ends its use."""
    never, always = SchedulingMode.NEVER, SchedulingMode.ALWAYS
    large = SMALL_FLEET_VMS + 1
    assert not uses_scheduler(never, vms=large, resumable=False, reloaded=reloaded)
    assert uses_scheduler(always, vms=1, resumable=True, reloaded=reloaded)
