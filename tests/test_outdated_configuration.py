"""A new configuration is in force at each VM that others tell of it, in time."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from fleet_world import World, play

# A change that was accepted must be in force so soon.
APPLY_S = 2.0
LARGE = 300_000
CROWD = 30
VERSIONS = (3, 4, 5)

# Which VMs were late with which version.
Behind = dict[int, list[str]]

sizes = pytest.mark.parametrize("vms", [3, 30])
losses = pytest.mark.parametrize("lost_share", [0.0, 0.2], ids=["whole", "lossy"])


async def apply_versions(
    world: World, *, every_s: float = 5.0, size: int = 0
) -> Behind:
    """Change the configuration a few times; return who was late with which."""
    behind: Behind = {}

    async def check(version: int) -> None:
        await asyncio.sleep(APPLY_S)
        if late := world.without(version):
            behind[version] = late

    checks = []
    for version in VERSIONS:
        world.configure(version, size=size)
        checks.append(asyncio.create_task(check(version)))
        await asyncio.sleep(every_s)
    await asyncio.gather(*checks)
    return behind


def late_with(
    monkeypatch: pytest.MonkeyPatch,
    vms: int,
    course: Callable[[World], Awaitable[Behind]],
    *,
    lost_share: float = 0.0,
) -> Behind:
    """Return the versions that were not in force in time, and where."""
    world = World(rng=random.Random(7), lost_share=lost_share)
    behind: Behind = {}

    async def run() -> None:
        await world.start(vms, monkeypatch)
        await asyncio.sleep(8.0)
        world.configure(2)
        await asyncio.sleep(4.0)
        assert world.without(2) == []
        behind.update(await course(world))
        await world.close()

    play(run)
    return behind


@losses
@sizes
def test_a_change_reaches_all_vms_while_the_store_is_well(
    monkeypatch: pytest.MonkeyPatch, vms: int, lost_share: float
) -> None:
    # Waits for copies and relaxed watches must not make a VM late by
    # themselves.
    assert late_with(monkeypatch, vms, apply_versions, lost_share=lost_share) == {}


@losses
@sizes
def test_a_vm_that_the_store_turns_away_has_the_version_from_others(
    monkeypatch: pytest.MonkeyPatch, vms: int, lost_share: float
) -> None:
    # All others have the version and say so; who can't ask the store itself
    # served callers by the old one until the store took it back.
    async def course(world: World) -> Behind:
        world.turn_away("vm-1")
        await asyncio.sleep(5.0)
        return await apply_versions(world)

    assert late_with(monkeypatch, vms, course, lost_share=lost_share) == {}


@losses
@sizes
def test_a_holder_that_the_store_turns_away_has_the_version_from_others(
    monkeypatch: pytest.MonkeyPatch, vms: int, lost_share: float
) -> None:
    # Others look at the store seldom as long as the holder vouches for a table,
    # and this holder can't.
    async def course(world: World) -> Behind:
        world.turn_away(world.holder)
        await asyncio.sleep(5.0)
        return await apply_versions(world)

    assert late_with(monkeypatch, vms, course, lost_share=lost_share) == {}


@losses
@sizes
def test_a_holder_turned_away_right_before_a_change(
    monkeypatch: pytest.MonkeyPatch, vms: int, lost_share: float
) -> None:
    # Until the holder finds out, the others watch as if it saw all changes.
    async def course(world: World) -> Behind:
        world.turn_away(world.holder)
        await asyncio.sleep(0.1)
        return await apply_versions(world)

    assert late_with(monkeypatch, vms, course, lost_share=lost_share) == {}


@losses
def test_one_vm_that_reaches_the_store_is_enough_for_all(
    monkeypatch: pytest.MonkeyPatch, lost_share: float
) -> None:
    # If copies came from the holder or the same data centre alone, most VMs
    # would stay behind although one has the version.
    async def course(world: World) -> Behind:
        world.turn_away(*(name for name in world.nodes if name != "vm-7"))
        await asyncio.sleep(5.0)
        return await apply_versions(world)

    assert late_with(monkeypatch, 30, course, lost_share=lost_share) == {}


@losses
@sizes
def test_a_vm_on_a_slow_link_has_the_version_in_time(
    monkeypatch: pytest.MonkeyPatch, vms: int, lost_share: float
) -> None:
    # The answer takes 1.5 s here. Its watch was ended while it was arriving, as
    # the pace that had chosen its wait no longer held, and began anew.
    async def course(world: World) -> Behind:
        world.bytes_per_s["vm-1"] = LARGE / 1.5
        return await apply_versions(world, size=LARGE)

    assert late_with(monkeypatch, vms, course, lost_share=lost_share) == {}


@sizes
def test_a_link_that_is_slower_than_the_bound_does_not_hold_a_version_back(
    monkeypatch: pytest.MonkeyPatch, vms: int
) -> None:
    # Only another VM can give it in time.
    async def course(world: World) -> Behind:
        world.bytes_per_s["vm-1"] = LARGE / 6.0
        return await apply_versions(world, size=LARGE)

    assert late_with(monkeypatch, vms, course) == {}


@sizes
def test_watches_cut_as_a_large_change_arrives(
    monkeypatch: pytest.MonkeyPatch, vms: int
) -> None:
    # All VMs read the whole again at the same moment, each over its own link.
    async def course(world: World) -> Behind:
        for name in world.nodes:
            world.bytes_per_s[name] = LARGE / 0.8
        changing = asyncio.create_task(apply_versions(world, size=LARGE))
        for _ in VERSIONS:
            await asyncio.sleep(0.4)
            world.cut_watches(forget=True)
            await asyncio.sleep(4.6)
        return await changing

    assert late_with(monkeypatch, vms, course) == {}


def test_a_crowd_does_not_read_a_large_change_from_the_store_all_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each VM's link, and the store's, was filled with the same document, and
    # callers' streams waited for it.
    async def course(world: World) -> Behind:
        before = sum(world.received_bytes.values())
        behind = await apply_versions(world, size=LARGE)
        read = sum(world.received_bytes.values()) - before
        assert read < 0.5 * CROWD * LARGE * len(VERSIONS)
        return behind

    assert late_with(monkeypatch, CROWD, course) == {}
