"""Leases have at most one holder, despite pauses and lost replies."""

import asyncio
from collections.abc import Awaitable, Callable

from fakes import FakePlatform
from hypothesis import given, settings, strategies as st

from rosepath.clock import ManualClock
from rosepath.errors import Step
from rosepath.lease_keeper import LeaseKeeper
from rosepath.leases import (
    FENCES_PER_TERM,
    MAX_TERM_ENDS,
    LeasePolicy,
    LeaseRow,
    decode_lease,
)
from rosepath.object_store import StoredObject, StoreError

POLICY = LeasePolicy(duration_s=5.0, margin_s=1.0)
step = st.tuples(
    st.sampled_from("abc"),
    st.floats(0.0, 4.0),
    st.sampled_from(["step", "step", "step", "lose", "down", "give_up"]),
)


def three_keepers(platform: FakePlatform, clock: ManualClock) -> dict[str, LeaseKeeper]:
    return {
        name: LeaseKeeper(platform, me=name, policy=POLICY, clock=clock)
        for name in "abc"
    }


@settings(deadline=None)
@given(st.lists(step, max_size=60))
def test_at_most_one_vm_holds_a_lease(
    steps: list[tuple[str, float, str]],
) -> None:
    # Keepers step at any time or pause, replies are lost, and the store is
    # down at times. No two keepers consider their lease valid at once.
    async def run() -> None:
        platform, clock = FakePlatform(), ManualClock()
        keepers = three_keepers(platform, clock)
        for name, pause_s, event in steps:
            clock.advance(pause_s)
            platform.down = event == "down"
            if event == "lose":
                platform.lose_replies("leases/l", 1)
            if event == "give_up":
                await keepers[name].release("l")
            else:
                await keepers[name].step("l", wanted=True)
            assert sum(keeper.valid("l") for keeper in keepers.values()) <= 1

    asyncio.run(run())


def test_the_lease_of_a_dead_holder_is_acquired_within_ten_seconds() -> None:
    async def run() -> None:
        clock = ManualClock()
        keepers = three_keepers(FakePlatform(), clock)
        await keepers["a"].step("l", wanted=True)
        assert keepers["a"].valid("l")
        waited_s = 0.0
        while not keepers["b"].valid("l"):
            clock.advance(0.25)
            waited_s += 0.25
            await keepers["b"].step("l", wanted=True)
        assert POLICY.duration_s < waited_s < 10.0

    asyncio.run(run())


def test_a_released_lease_can_be_acquired_at_once() -> None:
    async def run() -> None:
        clock = ManualClock()
        keepers = three_keepers(FakePlatform(), clock)
        await keepers["a"].step("l", wanted=True)
        await keepers["a"].release("l")
        await keepers["b"].step("l", wanted=True)
        assert keepers["b"].valid("l")
        assert keepers["b"].term("l") == 2

    asyncio.run(run())


@given(st.binary(max_size=100))
def test_decode_lease_accepts_any_bytes(data: bytes) -> None:
    decode_lease(StoredObject("l", 1, data))


class LateWritePlatform(FakePlatform):
    """Fail one write without a response and apply it later on request."""

    def __init__(self) -> None:
        super().__init__()
        self.delay_next = False
        self.delayed: tuple[str, bytes] | None = None

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        if self.delay_next:
            self.delay_next, self.delayed = False, (name, value)
            raise timeout_error()
        return await super().put(name, value, expected_version=expected_version)

    def apply_delayed(self) -> None:
        assert self.delayed is not None
        name, value = self.delayed
        self.revision += 1
        self.objects[name] = StoredObject(name, self.revision, value)


def timeout_error() -> StoreError:
    error = StoreError("no answer in time", step=Step.STORE)
    error.unknown = True
    return error


def test_a_renewal_applied_late_does_not_end_the_lease() -> None:
    # The store leaves a renewal unanswered and applies it later. The next
    # renewal then meets a version unknown to its sender, which must recognize
    # its own write and not drop the lease.
    async def run() -> None:
        platform, clock = LateWritePlatform(), ManualClock()
        keeper = LeaseKeeper(platform, me="a", policy=POLICY, clock=clock)
        await keeper.step("l", wanted=True)
        clock.advance(2.6)
        platform.delay_next = True
        await keeper.step("l", wanted=True)
        platform.apply_delayed()
        clock.advance(0.2)
        await keeper.step("l", wanted=True)
        assert keeper.holder("l") == "a"
        await keeper.step("l", wanted=True)
        clock.advance(2.4)
        assert keeper.valid("l") and keeper.term("l") == 1

    asyncio.run(run())


class SlowFailurePlatform(FakePlatform):
    """Run a callback, then fail a write without a response or an effect."""

    during_write: Callable[[], Awaitable[None]] | None = None

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        if self.during_write is None:
            return await super().put(name, value, expected_version=expected_version)
        during_write, self.during_write = self.during_write, None
        await during_write()
        error = StoreError("no answer", step=Step.STORE)
        error.unknown = True
        raise error


async def lose_lease_during_renewal(
    keepers: dict[str, LeaseKeeper], platform: SlowFailurePlatform, clock: ManualClock
) -> None:
    """Let b acquire the lease of a while a renewal by a is in flight."""
    await keepers["a"].step("l", wanted=True)
    clock.advance(3.0)

    async def b_acquires() -> None:
        await keepers["b"].step("l", wanted=True)
        clock.advance(6.5)
        await keepers["b"].step("l", wanted=True)

    platform.during_write = b_acquires
    await keepers["a"].step("l", wanted=True)
    assert keepers["b"].valid("l") and not keepers["a"].valid("l")


def test_a_lease_taken_over_during_a_failed_renewal_is_not_taken_back() -> None:
    # The renewal of the first holder fails without a response, and its next
    # read finds the lease of the second holder. That version must count as
    # unchanged only since this read, not since an earlier read of another
    # version, or the first holder takes it for expired and both send orders to
    # the same engines.
    async def run() -> None:
        platform, clock = SlowFailurePlatform(), ManualClock()
        keepers = three_keepers(platform, clock)
        await lose_lease_during_renewal(keepers, platform, clock)
        clock.advance(1.5)
        await keepers["a"].step("l", wanted=True)
        assert keepers["b"].valid("l")
        assert not keepers["a"].valid("l")

    asyncio.run(run())


def test_a_former_holder_cannot_resign_the_lease_of_its_successor() -> None:
    # After a failed renewal, the first holder has read the version of the
    # second. If it announced that version as resigned, a third VM could
    # acquire the lease while the second still holds it.
    async def run() -> None:
        platform, clock = SlowFailurePlatform(), ManualClock()
        keepers = three_keepers(platform, clock)
        await lose_lease_during_renewal(keepers, platform, clock)
        assert keepers["a"].resign("l") == 0

    asyncio.run(run())


# Guards against a holder that does not know how many holders before it may have
# left orders that are still executed, as it has just started.
def test_lease_records_when_earlier_terms_ended() -> None:
    async def run() -> None:
        clock, platform = ManualClock(), FakePlatform()
        for name in "abc":
            keeper = three_keepers(platform, clock)[name]
            await keeper.step("l", wanted=True)
            clock.advance(2.0)
            assert await keeper.release("l")
        current = three_keepers(platform, clock)["a"]
        await current.step("l", wanted=True)
        assert current.terms_ended_within("l", 15.0) == 3
        assert current.terms_ended_within("l", 3.0) == 2
        for _ in range(10):
            clock.advance(1.0)
            await current.step("l", wanted=True)
        assert current.terms_ended_within("l", 13.0) == 2
        successor = three_keepers(platform, clock)["b"]
        await current.release("l")
        await successor.step("l", wanted=True)
        assert successor.terms_ended_within("l", 13.0) == 3

    asyncio.run(run())


def test_each_direct_handover_counts_as_an_ended_term() -> None:
    async def run() -> None:
        clock, platform = ManualClock(), FakePlatform()
        keepers = three_keepers(platform, clock)
        for keeper in keepers.values():
            await keeper.step("l", wanted=True)
        version = keepers["a"].version("l")
        for name, former in (("b", "a"), ("c", "b")):
            clock.advance(2.0)
            fence = keepers[former].fence("l")
            assert keepers[name].accept_handover(
                "l", version=version, fence=fence, last_action_age_s=0.0
            )
        assert keepers["c"].terms_ended_within("l", 15.0) == 2
        # The store does not know of them, but state messages tell of each.
        for _ in range(3):
            clock.advance(2.0)
            keepers["a"].note_announcement("l", version=version, fence=fence + 1)
        while not keepers["a"].valid("l"):
            clock.advance(1.0)
            await keepers["a"].step("l", wanted=True)
        assert keepers["a"].terms_ended_within("l", 30.0) == 3

    asyncio.run(run())


# Guards against a successor that takes all earlier terms for recent ones.
def test_long_known_fence_says_that_earlier_terms_ended_long_ago() -> None:
    async def run() -> None:
        clock = ManualClock()
        keeper = three_keepers(FakePlatform(), clock)["a"]
        keeper.note_announcement("l", version=9, fence=5000)
        clock.advance(20.0)
        assert keeper.accept_handover("l", version=9, fence=5000, last_action_age_s=0.0)
        assert keeper.terms_ended_within("l", 15.0) == 1

    asyncio.run(run())


# Guards against a VM that runs out of memory as it records one end for each term
# that the version of an overwritten lease stands for.
def test_term_after_an_unreadable_lease_records_few_ends() -> None:
    row = LeaseRow(name="l")
    row.note_fence(5 * FENCES_PER_TERM, now_s=1.0)
    row.note_fence(10**15 * FENCES_PER_TERM, now_s=2.0)
    assert row.term_ends_s == (2.0,) * MAX_TERM_ENDS
