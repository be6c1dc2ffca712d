"""Two holders of a lease never act within the handover time of each other."""

import asyncio
import math

from fakes import FakePlatform
from hypothesis import given, settings, strategies as st

from rosepath.clock import ManualClock
from rosepath.lease_keeper import LeaseKeeper
from rosepath.leases import LeasePolicy

HANDOVER_S = 0.75
TURN_S = 3.0
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
def test_holders_do_not_take_turns(steps: list[tuple[str, float, str]]) -> None:
    # Holders are paused, cut from the store, resign by word of mouth or hand
    # the lease back. An order of the one before must have arrived before the
    # next one's first, and engines take orders of two holders in turns, the
    # first once more soon after the second, as a sign of two masters.
    async def run() -> None:
        platform, clock = FakePlatform(), ManualClock()
        keepers = {
            name: LeaseKeeper(platform, me=name, policy=POLICY, clock=clock)
            for name in "abc"
        }
        acted: dict[str, float] = {}
        for name, pause_s, what in steps:
            clock.advance(pause_s)
            platform.down = what == "down"
            keeper = keepers[name]
            if what in ("resign", "stop") and keeper.valid("l"):
                version = (
                    keeper.resign("l")
                    if what == "resign"
                    else await keeper.give_up("l")
                )
                ago_s = clock.monotonic_s() - acted.get(name, -1e9)
                for other in keepers.values():
                    other.hear_resigned("l", version=version, acted_ago_s=ago_s)
            else:
                await keeper.step("l", wanted=True)
            for other in keepers.values():
                if keeper.valid("l"):
                    other.hear("l", version=keeper.version("l"))
            if what == "act" and keeper.valid("l"):
                now_s = clock.monotonic_s()
                for other, last_s in acted.items():
                    if other == name:
                        continue
                    assert now_s - last_s >= HANDOVER_S - 1e-6
                    if acted.get(name, math.inf) < last_s:
                        assert now_s - last_s >= TURN_S - 1e-6
                acted[name] = now_s

    asyncio.run(run())


def test_a_resigned_lease_changes_hands_without_the_wait_for_its_end() -> None:
    # The holder is cut from the store but heard by the others: models would
    # stand still until its lease had lapsed.
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
        second.hear_resigned("l", version=version, acted_ago_s=2.0)
        await second.step("l", wanted=True)
        clock.advance(1.01)
        assert second.valid("l") and not first.valid("l")

    asyncio.run(run())


def test_a_restarted_holder_takes_up_its_own_lease_at_once() -> None:
    async def run() -> None:
        platform, clock = FakePlatform(), ManualClock()
        before = LeaseKeeper(platform, me="a", policy=POLICY, clock=clock)
        await before.step("l", wanted=True)
        after = LeaseKeeper(platform, me="a", policy=POLICY, clock=clock)
        await after.step("l", wanted=True)
        assert after.valid("l")
        assert after.term("l") > before.term("l")

    asyncio.run(run())


def test_a_lease_that_another_writer_spoilt_is_waited_out() -> None:
    # Its object holds bytes that are no lease. Taken for free, it would let a
    # second holder act beside the one that lives until its next renewal fails;
    # and a node that just started would begin again at the first fence.
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
