"""A request that crashes its servers is found out, and ends few of them."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from crashing_servers import CrashingWorld
from fakes import FakePlatform
from fleet_world import play

from rosepath.clock import ManualClock
from rosepath.crash_records import (
    Blame,
    CrashRecords,
    CrashReport,
    ServerLife,
    Standing,
)
from rosepath.lease_keeper import LeaseKeeper
from rosepath.leases import LeasePolicy

# VMs, drain time, and how long after a cut a VM is in touch again.
Size = tuple[int, float, float]
FEW = pytest.param((5, 2.0, 3.0), id="few")
CROWD = pytest.param((26, 3.0, 4.0), id="crowd")
sizes = pytest.mark.parametrize("size", [FEW, CROWD])
# What may still be sent later, once a request has ended three servers.
SENDS_AFTER_THIRD = 3
POLICY = LeasePolicy(duration_s=5.0, margin_s=1.0)

Course = Callable[[CrashingWorld], Awaitable[None]]


def played(
    monkeypatch: pytest.MonkeyPatch, size: Size, course: Course, *, servers: int = 5
) -> CrashingWorld:
    """Play a course, and return the world as it then is."""
    vms, drain_s, contact_s = size
    world = CrashingWorld(drain_s=drain_s, contact_s=contact_s)

    async def run() -> None:
        await world.start(vms, monkeypatch, servers=servers)
        await asyncio.sleep(5.0)
        await course(world)
        await world.close()

    play(run)
    assert world.answered > 500
    return world


# Guards against each VM, at each repeat, learning anew what a request does.
@sizes
def test_a_request_that_crashes_servers_is_known_to_all_vms(
    monkeypatch: pytest.MonkeyPatch, size: Size
) -> None:
    async def course(world: CrashingWorld) -> None:
        await world.repeat(times=120, each_s=0.5)

    world = played(monkeypatch, size, course)
    assert len(world.ends_s) >= 2
    assert world.sent_after_third <= SENDS_AFTER_THIRD


# Guards against repeats that come together each ending servers of their own.
@sizes
def test_repeats_at_all_vms_at_once_end_few_servers(
    monkeypatch: pytest.MonkeyPatch, size: Size
) -> None:
    async def course(world: CrashingWorld) -> None:
        for wave in range(4):
            for vm in world.nodes:
                world.ask_crashing(vm, f"{vm}-{wave}")
            await asyncio.sleep(10.0)

    world = played(monkeypatch, size, course)
    assert world.sent_after_third <= SENDS_AFTER_THIRD


# Guards against all VMs learning anew, by three more ends, after a power loss.
def test_barred_requests_outlive_all_vms() -> None:
    async def run() -> None:
        platform, clock = FakePlatform(), ManualClock()

        def a_keeper(name: str) -> tuple[LeaseKeeper, CrashRecords]:
            records = CrashRecords(clock=clock)
            keeper = LeaseKeeper(platform, me=name, policy=POLICY, clock=clock)
            keeper.barred = lambda: records.barred
            keeper.on_barred = lambda contents: [*map(records.bar, contents)]
            return keeper, records

        keeper, records = a_keeper("a")
        await keeper.step("l", wanted=True)
        for server in ("s1", "s2", "s3"):
            records.add(CrashReport("bad", ServerLife(server), Blame.BEGUN))
        clock.advance(2.6)
        await keeper.step("l", wanted=True)
        for name in ("b", "c"):
            keeper, records = a_keeper(name)
            while not keeper.valid("l"):
                await keeper.step("l", wanted=True)
                clock.advance(1.5)
            assert records.standing("bad") is Standing.BARRED

    asyncio.run(run())
