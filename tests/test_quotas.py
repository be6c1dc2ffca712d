"""Quotas over all entry VMs: under floods, partitions, kills and restarts.

The pattern of load: a workspace's callers stay with a few VMs each, and its
demand rises several times over from one moment to the next.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable

import pytest
from entry_builders import a_quota
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from quota_fleet import WORKSPACE, QuotaFleet, run_fleet

from rosepath.quota_pool import (
    SHARE_LIFETIME_S,
    QuotaPool,
    QuotaTolerance,
)
from rosepath.workspaces import Quota

RATE = 100_000.0
QUOTA = a_quota(rate_per_s=RATE, burst=RATE)
TOLERANCE = QuotaTolerance(window_s=8.0, overage=0.1, slack=110_000.0)
VMS = 20
COST = 9_000.0

Scenario = Callable[[QuotaFleet], Awaitable[None]]


def play(
    scenario: Scenario,
    *,
    vms: int = VMS,
    data_centres: int = 1,
    lost_share: float = 0.0,
    quota: Quota = QUOTA,
    links_mbps: dict[str, float] | None = None,
) -> QuotaFleet:
    """Run a scenario on a fleet that has settled; return the fleet."""
    fleet = QuotaFleet(
        quota,
        TOLERANCE,
        data_centres=data_centres,
        lost_share=lost_share,
        links_mbps=links_mbps or {},
    )

    async def run() -> None:
        fleet.start(f"vm-{number}" for number in range(vms))
        await asyncio.sleep(4.0)
        await scenario(fleet)
        await asyncio.sleep(1.0)
        await fleet.close()

    run_fleet(run)
    return fleet


def per_s(times: float) -> float:
    """Return the requests a second that use the quota so many times."""
    return times * RATE / COST


async def flood(fleet: QuotaFleet, for_s: float = 12.0, times: float = 4.0) -> None:
    await fleet.send(per_s(times), for_s=for_s, cost=lambda: COST)


def test_use_below_the_quota_is_admitted_on_every_vm() -> None:
    fleet = play(lambda fleet: flood(fleet, 20.0, 0.5))
    assert len(fleet.runs) > 80 and not fleet.refused


@pytest.mark.parametrize("times", [3.4, 6.0, 7.5])
def test_a_sudden_flood_gets_no_more_than_the_quota(times: float) -> None:
    fleet = play(lambda fleet: flood(fleet, times=times))
    assert 0.8 < fleet.largest_window <= 1.0


def test_refused_callers_are_told_to_return_one_after_the_other() -> None:
    fleet = play(flood)
    times_s = [decision.retry_after_s for decision in fleet.refused]
    assert min(times_s) > 0.0 and max(times_s) <= 8.0
    # Not more than a third of them return within the same second.
    soonest = sum(time_s < 1.0 for time_s in times_s)
    assert soonest < len(times_s) / 3


def test_all_vms_choose_the_same_coordinator() -> None:
    fleet = play(lambda fleet: flood(fleet, 1.0))
    assert len({client.coordinator for client in fleet.clients.values()}) == 1


def test_a_vm_with_a_fast_link_coordinates() -> None:
    # Callers fill a slow link, and replies to the other VMs come too late.
    fast = {f"vm-{number}" for number in (4, 11, 17)}

    async def scenario(fleet: QuotaFleet) -> None:
        assert {client.coordinator for client in fleet.clients.values()} <= fast

    play(scenario, links_mbps=dict.fromkeys(fast, 200.0))


def test_both_sides_of_a_partition_together_keep_to_the_quota() -> None:
    async def scenario(fleet: QuotaFleet) -> None:
        flooding = asyncio.ensure_future(flood(fleet, 20.0))
        await asyncio.sleep(5.0)
        fleet.sides.update({f"vm-{number}": 1 for number in range(0, VMS, 3)})
        await asyncio.sleep(8.0)
        fleet.sides.clear()
        await flooding

    fleet = play(scenario, data_centres=3)
    assert fleet.largest_window <= 1.0


def test_a_cut_off_data_centre_goes_on_serving_its_part() -> None:
    cut = {f"vm-{number}" for number in range(0, VMS, 4)}
    admitted = []

    async def scenario(fleet: QuotaFleet) -> None:
        fleet.sides.update(dict.fromkeys(cut, 1))
        await asyncio.sleep(3.0)
        for _ in range(10):
            for vm in sorted(cut)[:2]:
                decision = await fleet.request(vm, COST / 2)
                admitted.append(decision.granted)
            await asyncio.sleep(0.5)

    play(scenario, data_centres=4)
    assert sum(admitted) > 0.9 * len(admitted)


def test_vms_that_are_all_cut_off_together_keep_to_the_quota() -> None:
    async def scenario(fleet: QuotaFleet) -> None:
        flooding = asyncio.ensure_future(flood(fleet, 20.0))
        await asyncio.sleep(5.0)
        fleet.sides.update({f"vm-{number}": number for number in range(VMS)})
        await flooding

    assert play(scenario).largest_window <= 1.0


@pytest.mark.parametrize("wait_s", [0.0, 0.3, 2.0])
def test_a_killed_coordinator_is_replaced_within_the_quota(wait_s: float) -> None:
    # A second coordinator that started with a full burst would admit what the
    # first has admitted already.
    async def scenario(fleet: QuotaFleet) -> None:
        flooding = asyncio.ensure_future(flood(fleet, 16.0))
        for _ in range(3):
            await asyncio.sleep(3.0)
            name = next(iter(fleet.clients.values())).coordinator
            fleet.kill(name)
            await asyncio.sleep(wait_s)
            fleet.start([name])
        await flooding

    fleet = play(scenario)
    assert fleet.largest_window <= 1.0
    last_s = fleet.runs[-1][0]
    recent = sum(cost for at_s, cost in fleet.runs if at_s > last_s - 3.0)
    assert recent > 2.0 * RATE


def test_a_restart_of_all_vms_does_not_grant_the_burst_again() -> None:
    async def scenario(fleet: QuotaFleet) -> None:
        flooding = asyncio.ensure_future(flood(fleet, 16.0))
        await asyncio.sleep(4.0)
        names = list(fleet.clients)
        fleet.kill(*names)
        await asyncio.sleep(1.0)
        fleet.start(names)
        await flooding

    fleet = play(scenario)
    assert fleet.largest_window <= 1.0


def test_vms_that_join_do_not_raise_the_quota() -> None:
    async def scenario(fleet: QuotaFleet) -> None:
        flooding = asyncio.ensure_future(flood(fleet, 16.0))
        await asyncio.sleep(4.0)
        fleet.start(f"vm-{VMS + number}" for number in range(3 * VMS // 4))
        await flooding

    assert play(scenario).largest_window <= 1.0


def test_planned_stops_in_series_leave_the_quota_in_use() -> None:
    async def scenario(fleet: QuotaFleet) -> None:
        flooding = asyncio.ensure_future(flood(fleet, 16.0))
        for number in range(8):
            await asyncio.sleep(1.0)
            name = f"vm-{number}"
            fleet.stopping.add(name)
            await asyncio.sleep(0.5)
            fleet.clients[name].leave()
            fleet.kill(name)
            fleet.stopping.discard(name)
            fleet.start([name])
        await flooding

    fleet = play(scenario)
    assert 0.7 < fleet.largest_window <= 1.0


def test_lost_messages_do_not_refuse_use_below_the_quota() -> None:
    fleet = play(lambda fleet: flood(fleet, 20.0, 0.4), lost_share=0.05)
    assert len(fleet.refused) < 0.02 * len(fleet.runs)
    assert fleet.largest_window <= 1.0


def test_a_returned_grant_can_be_used_again() -> None:
    async def scenario(fleet: QuotaFleet) -> None:
        client = fleet.clients["vm-3"]
        for _ in range(60):
            decision = await client.admit(WORKSPACE, COST)
            assert decision.granted
            client.give_back(decision)
            await asyncio.sleep(0.01)

    play(scenario)


def test_a_request_larger_than_the_burst_is_paid_for_by_later_refills() -> None:
    quota = a_quota(rate_per_s=10_000.0, burst=10_000.0)

    async def scenario(fleet: QuotaFleet) -> None:
        await asyncio.sleep(10.0)
        assert (await fleet.request("vm-1", 57_000.0)).granted
        refused = await fleet.request("vm-2", 57_000.0)
        assert not refused.granted and refused.retry_after_s > 2.0

    assert play(scenario, quota=quota).largest_window <= 1.0


# The pool


def a_pool(*vms: str, quota: Quota = QUOTA, fleet_size: int = 1) -> QuotaPool:
    pool = QuotaPool(TOLERANCE)
    pool.apply({WORKSPACE: quota}, now_s=0.0)
    for name in vms:
        pool.lend(name, fleet_size=fleet_size, now_s=0.0)
    return pool


def used(pool: QuotaPool, *, to_s: float, cost: float = 1000.0) -> float:
    """Return what a workspace that always asks gets until a time."""
    total, now_s, number = 0.0, 0.0, 0
    while now_s < to_s:
        now_s, number = now_s + 0.005, number + 1
        pool.lend("vm-1", fleet_size=1, now_s=now_s)
        if pool.admit(str(number), WORKSPACE, cost, now_s=now_s).granted:
            total += cost
    return total


def test_a_lower_limit_holds_at_once() -> None:
    pool = a_pool("vm-1")
    pool.admit("q", WORKSPACE, 1.0, now_s=20.0)
    pool.apply({WORKSPACE: a_quota(rate_per_s=1000.0, burst=1000.0)}, now_s=20.0)
    pool.lend("vm-1", fleet_size=1, now_s=20.0)
    granted = [
        pool.admit(str(number), WORKSPACE, 1000.0, now_s=20.0).granted
        for number in range(200)
    ]
    assert sum(granted) < 0.5 * TOLERANCE.slack / 1000.0


def test_a_repeated_request_is_charged_once() -> None:
    pool = a_pool("vm-1")
    for _ in range(50):
        pool.lend("vm-1", fleet_size=1, now_s=1.0)
        assert pool.admit("q", WORKSPACE, COST, now_s=1.0).granted


def test_a_vm_that_fell_silent_takes_its_share_along() -> None:
    pool = a_pool("vm-1", "vm-2", fleet_size=2)
    assert pool.share == 1.0
    pool.lend("vm-1", fleet_size=2, now_s=SHARE_LIFETIME_S / 2)
    pool.admit("q", WORKSPACE, 1.0, now_s=SHARE_LIFETIME_S)
    assert pool.share == 0.5


def test_the_sustained_use_of_one_pool_is_the_rate() -> None:
    total = used(a_pool("vm-1"), to_s=40.0)
    assert total == pytest.approx(40.0 * RATE, rel=0.02)


def test_an_unlimited_workspace_is_admitted() -> None:
    assert a_pool().admit("q", "other", math.inf, now_s=0.0).granted


class SharesInAnyOrder(RuleBasedStateMachine):
    """VMs lend, fall silent and return grants in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.pools = [a_pool(), a_pool()]
        self.now_s = 0.0
        self.number = 0
        self.lent_s: dict[tuple[int, int], float] = {}
        self.granted: list[tuple[float, float, str, int]] = []

    @rule(step_s=st.floats(0.0, 3.0))
    def wait(self, step_s: float) -> None:
        self.now_s += step_s

    @rule(pool=st.integers(0, 1), vm=st.integers(0, 3))
    def lend(self, pool: int, vm: int) -> None:
        # A VM moves once its share has expired elsewhere.
        moved_s = self.lent_s.get((1 - pool, vm), -math.inf) + SHARE_LIFETIME_S
        if moved_s <= self.now_s:
            self.lent_s[pool, vm] = self.now_s
            self.pools[pool].lend(f"vm-{vm}", fleet_size=4, now_s=self.now_s)

    @rule(pool=st.integers(0, 1), cost=st.sampled_from([100.0, COST, 60_000.0]))
    def ask(self, pool: int, cost: float) -> None:
        self.number += 1
        name = f"q{self.number}"
        decision = self.pools[pool].admit(name, WORKSPACE, cost, now_s=self.now_s)
        if decision.granted:
            self.granted.append((self.now_s, cost, name, pool))

    @rule()
    def give_back(self) -> None:
        if self.granted:
            _, _, name, pool = self.granted.pop()
            self.pools[pool].give_back(name)

    @invariant()
    def no_window_exceeds_the_quota(self) -> None:
        recent = [cost for at_s, cost, *_ in self.granted if at_s > self.now_s - 8.0]
        allowed = (8.0 * RATE + RATE) * 1.1 + 110_000.0
        assert sum(recent) <= allowed

    @invariant()
    def the_shares_never_exceed_the_whole(self) -> None:
        for pool in self.pools:
            pool._expire(self.now_s)
        assert sum(pool.share for pool in self.pools) <= 1.0 + 1e-9


SharesInAnyOrder.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40
)
TestSharesInAnyOrder = SharesInAnyOrder.TestCase
