"""Leases have one holder at a time, whatever is paused or lost."""

import asyncio
from collections.abc import Awaitable, Callable

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


class SlowToFail(FakePlatform):
    """Fail a write without an answer, and without doing it, after a while."""

    meanwhile: Callable[[], Awaitable[None]] | None = None

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        if self.meanwhile is None:
            return await super().put(name, value, expected_version=expected_version)
        meanwhile, self.meanwhile = self.meanwhile, None
        await meanwhile()
        error = StoreError("no answer", step=Step.STORE)
        error.unknown = True
        raise error


async def renewal_outlasted(
    keepers: dict[str, LeaseKeeper], platform: SlowToFail, clock: ManualClock
) -> None:
    """Let a hold the lease, and b take it while a's renewal is on its way."""
    await keepers["a"].step("l", wanted=True)
    clock.advance(3.0)

    async def b_takes_it() -> None:
        await keepers["b"].step("l", wanted=True)
        clock.advance(6.5)
        await keepers["b"].step("l", wanted=True)

    platform.meanwhile = b_takes_it
    await keepers["a"].step("l", wanted=True)
    assert keepers["b"].valid("l") and not keepers["a"].valid("l")


def test_a_lease_found_taken_after_a_failed_renewal_is_left_to_its_holder() -> None:
    # Two VMs ordered the same engines for most of a second. The first holder's
    # renewal failed without an answer, and what it then read was the second
    # holder's lease. Read once more it was unchanged, and counted as unchanged
    # since the first holder had last looked, long before: taken for lapsed.
    async def run() -> None:
        platform, clock = SlowToFail(), ManualClock()
        keepers = keepers_over(platform, clock)
        await renewal_outlasted(keepers, platform, clock)
        clock.advance(1.5)
        await keepers["a"].step("l", wanted=True)
        assert keepers["b"].valid("l")
        assert not keepers["a"].valid("l")

    asyncio.run(run())


def test_only_its_holder_resigns_a_lease() -> None:
    # The first holder then said that the version which it had read was resigned:
    # the second's. Whoever heard that could take the lease from under it.
    async def run() -> None:
        platform, clock = SlowToFail(), ManualClock()
        keepers = keepers_over(platform, clock)
        await renewal_outlasted(keepers, platform, clock)
        assert keepers["a"].resign("l") == 0

    asyncio.run(run())
