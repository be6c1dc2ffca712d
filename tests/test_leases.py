"""Leases have one holder at a time, whatever is paused or lost."""

import asyncio

from fakes import FakePlatform
from hypothesis import given, settings, strategies as st

from rosepath.clock import ManualClock
from rosepath.errors import Step
from rosepath.lease_keeper import LeaseKeeper
from rosepath.leases import LeasePolicy, decode_lease
from rosepath.object_store import StoredObject, StoreError

POLICY = LeasePolicy(duration_s=5.0, margin_s=1.0)
step = st.tuples(
    st.sampled_from("abc"),
    st.floats(0.0, 4.0),
    st.sampled_from(["step", "step", "step", "lose", "down", "give_up"]),
)


def keepers_over(platform: FakePlatform, clock: ManualClock) -> dict[str, LeaseKeeper]:
    return {
        name: LeaseKeeper(platform, me=name, policy=POLICY, clock=clock)
        for name in "abc"
    }


@settings(deadline=None)
@given(st.lists(step, max_size=60))
def test_there_is_never_more_than_one_holder(
    steps: list[tuple[str, float, str]],
) -> None:
    # Keepers step at any time or not at all (paused), replies are lost, the
    # store is down now and then: no two believe that they hold the lease.
    async def run() -> None:
        platform, clock = FakePlatform(), ManualClock()
        keepers = keepers_over(platform, clock)
        for name, pause_s, what in steps:
            clock.advance(pause_s)
            platform.down = what == "down"
            if what == "lose":
                platform.lose_replies("leases/l", 1)
            if what == "give_up":
                await keepers[name].give_up("l")
            else:
                await keepers[name].step("l", wanted=True)
            assert sum(keeper.valid("l") for keeper in keepers.values()) <= 1

    asyncio.run(run())


def test_a_dead_holders_lease_is_taken_within_ten_seconds() -> None:
    async def run() -> None:
        clock = ManualClock()
        keepers = keepers_over(FakePlatform(), clock)
        await keepers["a"].step("l", wanted=True)
        assert keepers["a"].valid("l")
        waited_s = 0.0
        while not keepers["b"].valid("l"):
            clock.advance(0.25)
            waited_s += 0.25
            await keepers["b"].step("l", wanted=True)
        assert POLICY.duration_s < waited_s < 10.0

    asyncio.run(run())


def test_a_lease_given_up_is_taken_at_once() -> None:
    async def run() -> None:
        clock = ManualClock()
        keepers = keepers_over(FakePlatform(), clock)
        await keepers["a"].step("l", wanted=True)
        await keepers["a"].give_up("l")
        await keepers["b"].step("l", wanted=True)
        assert keepers["b"].valid("l")
        assert keepers["b"].term("l") == 2

    asyncio.run(run())


@given(st.binary(max_size=100))
def test_the_decoder_takes_any_bytes(data: bytes) -> None:
    decode_lease(StoredObject("l", 1, data))


class LatePlatform(FakePlatform):
    """Leave one write unanswered, and carry it out when told."""

    def __init__(self) -> None:
        super().__init__()
        self.hold_next = False
        self.held: tuple[str, bytes] | None = None

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        if self.hold_next:
            self.hold_next, self.held = False, (name, value)
            raise unanswered()
        return await super().put(name, value, expected_version=expected_version)

    def carry_out(self) -> None:
        assert self.held is not None
        name, value = self.held
        self.revision += 1
        self.objects[name] = StoredObject(name, self.revision, value)


def unanswered() -> StoreError:
    error = StoreError("no answer in time", step=Step.STORE)
    error.unknown = True
    return error


def test_a_renewal_that_is_carried_out_late_does_not_end_its_own_lease() -> None:
    # The store answers a renewal not at all and carries it out a second later.
    # The next renewal then met a version that its sender had never seen, and
    # the holder gave up a lease that nobody else had.
    async def run() -> None:
        platform, clock = LatePlatform(), ManualClock()
        keeper = LeaseKeeper(platform, me="a", policy=POLICY, clock=clock)
        await keeper.step("l", wanted=True)
        clock.advance(2.6)
        platform.hold_next = True
        await keeper.step("l", wanted=True)
        platform.carry_out()
        clock.advance(0.2)
        await keeper.step("l", wanted=True)
        assert keeper.holder("l") == "a"
        await keeper.step("l", wanted=True)
        clock.advance(2.4)
        assert keeper.valid("l") and keeper.term("l") == 1

    asyncio.run(run())
