"""Successive holders of a lease keep the pauses between their acts."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from fakes import FakePlatform
from hypothesis import given, settings, strategies as st

from rosepath.clock import ManualClock
from rosepath.lease_keeper import LeaseKeeper
from rosepath.leases import LeasePolicy
from rosepath.object_store import StoredObject

HANDOVER_S = 0.75
TURN_S = 3.0
EXTENSION_S = 1.3
POLICY = LeasePolicy(
    duration_s=2.0,
    margin_s=0.3,
    handover_s=HANDOVER_S,
    turn_s=TURN_S,
    renew_s=0.6,
    look_s=0.3,
)
step = st.tuples(
    st.sampled_from("abc"),
    st.floats(0.0, 2.5),
    st.sampled_from(["step", "step", "step", "act", "act", "down", "resign", "stop"]),
)


@settings(deadline=None, max_examples=200)
@given(st.lists(step, max_size=80))
def test_orders_of_successive_holders_keep_their_minimum_interval(
    steps: list[tuple[str, float, str]],
) -> None:
    # Holders pause, lose the store, resign or release the lease. The last
    # order of one must arrive ahead of the first order of the next, and a
    # holder that comes back needs the longer pause: engines take quickly
    # alternating holders for two concurrent ones.
    async def run() -> None:
        platform, clock = FakePlatform(), ManualClock()
        keepers = {
            name: LeaseKeeper(platform, me=name, policy=POLICY, clock=clock)
            for name in "abc"
        }
        acted: dict[str, float] = {}
        for name, pause_s, event in steps:
            clock.advance(pause_s)
            platform.down = event == "down"
            keeper = keepers[name]
            if event in ("resign", "stop") and keeper.valid("l"):
                version = (
                    keeper.resign("l")
                    if event == "resign"
                    else await keeper.release("l")
                )
                ago_s = clock.monotonic_s() - acted.get(name, -1e9)
                for other in keepers.values():
                    other.note_resignation(
                        "l", version=version, last_action_age_s=ago_s
                    )
            else:
                await keeper.step("l", wanted=True)
            for other in keepers.values():
                if keeper.valid("l"):
                    other.note_announcement("l", version=keeper.version("l"))
            if event == "act" and keeper.valid("l"):
                now_s = clock.monotonic_s()
                for other, last_s in acted.items():
                    if other == name:
                        continue
                    assert now_s - last_s >= HANDOVER_S - 1e-6
                    if acted.get(name, math.inf) < last_s:
                        assert now_s - last_s >= TURN_S - 1e-6
                acted[name] = now_s

    asyncio.run(run())


class PlatformWithLateRead(FakePlatform):
    """Delay reads until a write has been sent, and that write until they end."""

    def __init__(self) -> None:
        super().__init__()
        self.delays = False
        self._write_sent, self._read_ended = asyncio.Event(), asyncio.Event()

    async def get(self, name: str) -> StoredObject | None:
        if self.delays:
            await self._write_sent.wait()
            asyncio.get_running_loop().call_soon(self._read_ended.set)
        return await super().get(name)

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        if self.delays:
            self._write_sent.set()
            await self._read_ended.wait()
        return await super().put(name, value, expected_version=expected_version)


# Guards against two holders: a VM that wakes up as it is stopped resigns the lease
# that another VM has taken over meanwhile, and a third one takes that over.
def test_a_stopping_vm_does_not_resign_the_lease_of_its_successor() -> None:
    async def run() -> None:
        platform, clock = PlatformWithLateRead(), ManualClock()
        first, second = (
            LeaseKeeper(platform, me=name, policy=POLICY, clock=clock) for name in "ab"
        )
        await first.step("l", wanted=True)
        await second.step("l", wanted=True)
        clock.advance(POLICY.duration_s + POLICY.margin_s + 0.1)
        await second.step("l", wanted=True)
        clock.advance(HANDOVER_S)
        assert second.valid("l")
        platform.delays = True
        reading = asyncio.ensure_future(first.step("l", wanted=True))
        await asyncio.sleep(0)
        resigned = await first.release("l")
        await reading
        assert resigned != second.version("l")

    asyncio.run(run())


def test_a_resigned_lease_is_acquired_before_it_expires() -> None:
    # The holder cannot reach the store, but the others receive its
    # resignation. Without it, no VM orders models until the lease expires.
    async def run() -> None:
        platform, clock = FakePlatform(), ManualClock()
        first, second = (
            LeaseKeeper(platform, me=name, policy=POLICY, clock=clock) for name in "ab"
        )
        await first.step("l", wanted=True)
        await second.step("l", wanted=True)
        assert first.valid("l") and not second.valid("l")
        clock.advance(1.5)
        version = first.resign("l")
        second.note_resignation("l", version=version, last_action_age_s=2.0)
        await second.step("l", wanted=True)
        clock.advance(1.01)
        assert second.valid("l") and not first.valid("l")

    asyncio.run(run())


def test_a_restarted_holder_reacquires_its_own_lease_at_once() -> None:
    async def run() -> None:
        platform, clock = FakePlatform(), ManualClock()
        first = LeaseKeeper(platform, me="a", policy=POLICY, clock=clock)
        await first.step("l", wanted=True)
        restarted = LeaseKeeper(platform, me="a", policy=POLICY, clock=clock)
        await restarted.step("l", wanted=True)
        assert restarted.valid("l")
        assert restarted.term("l") > first.term("l")

    asyncio.run(run())


def test_an_undecodable_lease_is_taken_over_only_after_it_expires() -> None:
    # The stored bytes are no valid lease. If it counted as free, a second
    # holder would act beside the live one, whose next renewal has not failed
    # yet, and a VM that has just started would begin again at the first
    # fencing token.
    async def run() -> None:
        platform, clock = FakePlatform(), ManualClock()
        platform.revision = 40
        await platform.put("leases/l", b"\xff", expected_version=0)
        keeper = LeaseKeeper(platform, me="a", policy=POLICY, clock=clock)
        await keeper.step("l", wanted=True)
        assert keeper.holder("l") != "a"
        clock.advance(POLICY.duration_s + POLICY.margin_s + 0.1)
        await keeper.step("l", wanted=True)
        clock.advance(HANDOVER_S)
        assert keeper.valid("l")
        assert keeper.term("l") > 40

    asyncio.run(run())


class PlatformWithEvents(FakePlatform):
    """Run a callback once, before the next write is applied."""

    def __init__(self) -> None:
        super().__init__()
        self.before_write: Callable[[], Awaitable[None]] | None = None

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        callback, self.before_write = self.before_write, None
        if callback is not None:
            await callback()
        return await super().put(name, value, expected_version=expected_version)


# Guards against a lease that stays with a VM which has left it: a renewal that
# starts during the release wins the write.
def test_a_lease_is_not_renewed_while_it_is_released() -> None:
    async def run() -> None:
        platform, clock = PlatformWithEvents(), ManualClock()
        first, second = (
            LeaseKeeper(platform, me=name, policy=POLICY, clock=clock) for name in "ab"
        )
        await first.step("l", wanted=True)
        clock.advance(1.0)

        async def renew() -> None:
            # The peers' acknowledgements extend the lease.
            await first.step(
                "l", wanted=False, extended_until_s=clock.monotonic_s() + 1.0
            )

        platform.before_write = renew
        await first.release("l")
        await second.step("l", wanted=True)
        assert second.holder("l") == "b"

    asyncio.run(run())


# Guards against a holder that never orders: a lease whose release failed came back
# to the VM that had released it, which renewed it without ever acting.
@pytest.mark.parametrize("late_renewal", [False, True])
def test_a_lease_whose_release_failed_becomes_valid_again(late_renewal: bool) -> None:
    async def run() -> None:
        platform, clock = FakePlatform(), ManualClock()
        keeper = LeaseKeeper(platform, me="a", policy=POLICY, clock=clock)
        await keeper.step("l", wanted=True)
        assert keeper.valid("l")
        platform.down = True
        await keeper.release("l")
        assert not keeper.valid("l", extended_until_s=clock.monotonic_s() + 10.0)
        platform.down = False
        if late_renewal:
            stored = await platform.get("leases/l")
            assert stored is not None
            await platform.put("leases/l", stored.value, expected_version=1)
        released_s = clock.monotonic_s()
        while not keeper.valid("l"):
            clock.advance(0.1)
            await keeper.step("l", wanted=True)
            assert clock.monotonic_s() < released_s + 2 * POLICY.duration_s + TURN_S
        # A successor to which it was handed over directly may have acted.
        assert clock.monotonic_s() - released_s >= TURN_S

    asyncio.run(run())


# Guards against two holders: the VM that handed its lease over directly takes it
# from the store again while its successor acts.
def test_a_released_lease_comes_back_only_after_its_successor_has_stopped() -> None:
    async def run() -> None:
        policy = replace(POLICY, extension_s=EXTENSION_S)
        platform, clock = FakePlatform(), ManualClock()
        keeper = LeaseKeeper(platform, me="a", policy=policy, clock=clock)
        await keeper.step("l", wanted=True)
        platform.down = True
        version = await keeper.release("l")
        platform.down = False
        clock.advance(3.0)
        # The successor announces the lease and may act until its extension ends.
        keeper.note_announcement("l", version=version, fence=keeper.fence("l") + 1)
        ends_s = clock.monotonic_s() + EXTENSION_S - policy.margin_s
        for _ in range(100):
            clock.advance(0.1)
            await keeper.step("l", wanted=True)
            assert not keeper.valid("l") or clock.monotonic_s() >= ends_s + TURN_S
        assert keeper.valid("l")

    asyncio.run(run())
