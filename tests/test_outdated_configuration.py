"""A new configuration goes into force in time at each VM that peers reach."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from fleet_world import FleetSimulation, run_in_virtual_time

# An accepted change must be in force within this time.
APPLY_TIMEOUT_S = 2.0
LARGE_BYTES = 300_000
LARGE_FLEET_VMS = 30
VERSIONS = (3, 4, 5)

# The VMs at which a version was not in force in time, by version.
LateVMs = dict[int, list[str]]

fleet_sizes = pytest.mark.parametrize("vms", [3, 30])
losses = pytest.mark.parametrize("lost_share", [0.0, 0.2], ids=["whole", "lossy"])


async def apply_versions(
    simulation: FleetSimulation, *, every_s: float = 5.0, size: int = 0
) -> LateVMs:
    """Change the configuration a few times; return the late VMs by version."""
    late_vms: LateVMs = {}

    async def check(version: int) -> None:
        await asyncio.sleep(APPLY_TIMEOUT_S)
        if late := simulation.vms_without_version(version):
            late_vms[version] = late

    checks = []
    for version in VERSIONS:
        simulation.configure(version, size=size)
        checks.append(asyncio.create_task(check(version)))
        await asyncio.sleep(every_s)
    await asyncio.gather(*checks)
    return late_vms


def late_vms_in(
    monkeypatch: pytest.MonkeyPatch,
    vms: int,
    scenario: Callable[[FleetSimulation], Awaitable[LateVMs]],
    *,
    lost_share: float = 0.0,
) -> LateVMs:
    """Run a scenario; return the late VMs by version."""
    simulation = FleetSimulation(rng=random.Random(7), lost_share=lost_share)
    late_vms: LateVMs = {}

    async def run() -> None:
        await simulation.start(vms, monkeypatch)
        await asyncio.sleep(8.0)
        simulation.configure(2)
        await asyncio.sleep(4.0)
        assert simulation.vms_without_version(2) == []
        late_vms.update(await scenario(simulation))
        await simulation.close()

    run_in_virtual_time(run)
    return late_vms


@losses
@fleet_sizes
def test_a_change_reaches_all_vms_while_the_store_is_healthy(
    monkeypatch: pytest.MonkeyPatch, vms: int, lost_share: float
) -> None:
    # Delays before fetches from peers and relaxed watches must not by
    # themselves make a VM late.
    assert late_vms_in(monkeypatch, vms, apply_versions, lost_share=lost_share) == {}


@losses
@fleet_sizes
def test_a_vm_without_the_store_gets_the_version_from_others(
    monkeypatch: pytest.MonkeyPatch, vms: int, lost_share: float
) -> None:
    # All others have the version and report it. A VM that the store refused
    # applied the old one until the store accepted its calls again.
    async def scenario(simulation: FleetSimulation) -> LateVMs:
        simulation.block("vm-1")
        await asyncio.sleep(5.0)
        return await apply_versions(simulation)

    assert late_vms_in(monkeypatch, vms, scenario, lost_share=lost_share) == {}


@losses
@fleet_sizes
def test_a_holder_without_the_store_gets_the_version_from_others(
    monkeypatch: pytest.MonkeyPatch, vms: int, lost_share: float
) -> None:
    # The others read the store rarely while the holder reports a fresh table,
    # which this holder cannot.
    async def scenario(simulation: FleetSimulation) -> LateVMs:
        simulation.block(simulation.holder)
        await asyncio.sleep(5.0)
        return await apply_versions(simulation)

    assert late_vms_in(monkeypatch, vms, scenario, lost_share=lost_share) == {}


@losses
@fleet_sizes
def test_a_change_right_after_the_holder_lost_the_store_reaches_all(
    monkeypatch: pytest.MonkeyPatch, vms: int, lost_share: float
) -> None:
    # Until the holder notices, the others rely on it to see all changes.
    async def scenario(simulation: FleetSimulation) -> LateVMs:
        simulation.block(simulation.holder)
        await asyncio.sleep(0.1)
        return await apply_versions(simulation)

    assert late_vms_in(monkeypatch, vms, scenario, lost_share=lost_share) == {}


@losses
def test_one_vm_that_reaches_the_store_is_enough_for_the_fleet(
    monkeypatch: pytest.MonkeyPatch, lost_share: float
) -> None:
    # If VMs fetched only from the holder or their own data centre, most would
    # stay outdated although one VM has the version.
    async def scenario(simulation: FleetSimulation) -> LateVMs:
        simulation.block(*(name for name in simulation.nodes if name != "vm-7"))
        await asyncio.sleep(5.0)
        return await apply_versions(simulation)

    assert late_vms_in(monkeypatch, 30, scenario, lost_share=lost_share) == {}


@losses
@fleet_sizes
def test_a_vm_on_a_slow_link_gets_the_version_in_time(
    monkeypatch: pytest.MonkeyPatch, vms: int, lost_share: float
) -> None:
    # The response takes 1.5 s here. The watch was ended and restarted while
    # its response was arriving, because the watch policy had changed
    # meanwhile.
    async def scenario(simulation: FleetSimulation) -> LateVMs:
        simulation.bytes_per_s["vm-1"] = LARGE_BYTES / 1.5
        return await apply_versions(simulation, size=LARGE_BYTES)

    assert late_vms_in(monkeypatch, vms, scenario, lost_share=lost_share) == {}


@fleet_sizes
def test_a_vm_whose_link_is_too_slow_for_the_store_gets_the_version_in_time(
    monkeypatch: pytest.MonkeyPatch, vms: int
) -> None:
    # Only another VM can deliver it in time.
    async def scenario(simulation: FleetSimulation) -> LateVMs:
        simulation.bytes_per_s["vm-1"] = LARGE_BYTES / 6.0
        return await apply_versions(simulation, size=LARGE_BYTES)

    assert late_vms_in(monkeypatch, vms, scenario) == {}


@fleet_sizes
def test_a_large_change_survives_watches_that_break_as_it_arrives(
    monkeypatch: pytest.MonkeyPatch, vms: int
) -> None:
    # All VMs list the store again at the same moment, each over its own link.
    async def scenario(simulation: FleetSimulation) -> LateVMs:
        for name in simulation.nodes:
            simulation.bytes_per_s[name] = LARGE_BYTES / 0.8
        changing = asyncio.create_task(apply_versions(simulation, size=LARGE_BYTES))
        for _ in VERSIONS:
            await asyncio.sleep(0.4)
            simulation.cut_watches(compact=True)
            await asyncio.sleep(4.6)
        return await changing

    assert late_vms_in(monkeypatch, vms, scenario) == {}


def test_a_large_fleet_reads_a_large_change_mostly_from_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # When all VMs read it from the store, the same document saturated their
    # links and the store's, and delayed callers' streams.
    async def scenario(simulation: FleetSimulation) -> LateVMs:
        before = sum(simulation.received_bytes.values())
        late_vms = await apply_versions(simulation, size=LARGE_BYTES)
        read = sum(simulation.received_bytes.values()) - before
        assert read < 0.5 * LARGE_FLEET_VMS * LARGE_BYTES * len(VERSIONS)
        return late_vms

    assert late_vms_in(monkeypatch, LARGE_FLEET_VMS, scenario) == {}
