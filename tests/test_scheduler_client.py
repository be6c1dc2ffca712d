"""Entry VMs that ask the scheduler: lost messages, failed VMs and partitions.

The pattern of load: requests of many VMs at the same moment for three engines of
six slots, where each VM alone would see them idle.
"""

import asyncio
from collections import Counter

import pytest
from scheduling_fleet import ONE_WAY_S, SERVERS, SchedulingFleet, play
from virtual_time import now_s

from rosepath.assignment import Assignment, AssignmentRejection
from rosepath.scheduler_client import LIST_INTERVAL_S
from rosepath.scheduler_host import ASKED_AGAIN_WITHIN_S, IN_TRANSIT_S, SETTLING_S

# Callers expect a first event after 0.4 s: what a failed scheduler may cost.
MAX_COST_S = 0.2
SLOTS = 6


def assigned(results: list[tuple[object, str, float]]) -> list[Assignment]:
    return [found for found, _, _ in results if isinstance(found, Assignment)]


async def fill(
    fleet: SchedulingFleet, name: str, count: int, *, lasts_s: float = 5.0
) -> list[Assignment]:
    """Assign requests one after the other, so that each prompt is read."""
    found = []
    for _ in range(count):
        found += assigned([await fleet.ask(name, lasts_s=lasts_s)])
        await asyncio.sleep(0.1)
    return found


async def first_assignment(fleet: SchedulingFleet, name: str) -> str:
    """Ask until a scheduler assigns a server; return the scheduler."""
    for _ in range(100):
        decision, scheduler, _ = await fleet.ask(name)
        if isinstance(decision, Assignment):
            return scheduler
        await asyncio.sleep(0.02)
    raise AssertionError("no scheduler assigned a server")


def test_requests_of_many_vms_at_once_are_spread_over_the_servers() -> None:
    """A burst of all VMs: one server that looks idle must not get all of it."""

    async def scenario(fleet: SchedulingFleet) -> None:
        results = await asyncio.gather(
            *(fleet.ask(name) for name in sorted(fleet.vms) for _ in range(2))
        )
        servers = Counter(found.server for found in assigned(results))
        assert sum(servers.values()) == 16
        assert set(servers) == set(SERVERS) and max(servers.values()) <= SLOTS

    play(scenario)


def test_a_request_waits_for_a_full_fleet_and_is_assigned_as_a_run_ends() -> None:
    """More requests than slots: the next one gets the first slot that is free."""

    async def scenario(fleet: SchedulingFleet) -> None:
        other = fleet.other_than(fleet.scheduler)
        runs = await fill(fleet, other, SLOTS * len(SERVERS))
        assert len(runs) == SLOTS * len(SERVERS)
        waiting = asyncio.ensure_future(fleet.ask(other))
        await asyncio.sleep(0.5)
        assert not waiting.done()
        fleet.end(other, runs[0])
        decision, _, took_s = await waiting
        assert isinstance(decision, Assignment)
        assert decision.server == runs[0].server and took_s < 0.6

    assert play(scenario).counted["waiting"] >= 1


def test_a_request_that_no_server_takes_in_time_is_rejected() -> None:
    """More requests than slots for long: callers are told when to return."""

    async def scenario(fleet: SchedulingFleet) -> None:
        other = fleet.other_than(fleet.scheduler)
        await fill(fleet, other, SLOTS * len(SERVERS))
        decision, _, took_s = await fleet.ask(other, wait_s=0.5)
        assert isinstance(decision, AssignmentRejection)
        assert decision.retry_after_s > 0 and took_s < 0.6

    play(scenario)


@pytest.mark.parametrize("lost_share", [0.1, 0.3])
def test_lost_messages_delay_requests_and_lose_none(lost_share: float) -> None:
    """A lossy link: every request still gets a server or chooses by itself."""

    async def scenario(fleet: SchedulingFleet) -> None:
        fleet.lost_share = lost_share
        names = sorted(fleet.vms)
        for round_number in range(20):
            name = names[round_number % len(names)]
            await asyncio.wait_for(fleet.run_request(name, for_s=0.05), 2.5)
        fleet.lost_share = 0.0
        await asyncio.sleep(2 * LIST_INTERVAL_S + IN_TRANSIT_S)
        # What a lost report left behind is mended by the list of runs.
        assert not fleet.runs_at(fleet.scheduler)

    play(scenario)


@pytest.mark.parametrize("failure", ["kill", "freeze"])
def test_a_failed_scheduler_costs_requests_a_moment_once(failure: str) -> None:
    """The scheduler is killed or frozen: its VMs choose alone, then ask another."""

    async def scenario(fleet: SchedulingFleet) -> None:
        failed = fleet.scheduler
        other = fleet.other_than(failed)
        await fleet.ask(other)
        getattr(fleet, failure)(failed)
        first = await fleet.ask(other)
        second = await fleet.ask(other)
        assert first[0] is None and first[2] <= MAX_COST_S
        # The VM remembers that the scheduler is silent.
        assert second[2] <= 0.01
        await asyncio.sleep(2.0)
        decision, scheduler, took_s = await fleet.ask(other)
        assert isinstance(decision, Assignment)
        assert scheduler != failed and took_s < 0.01

    play(scenario)


def test_a_request_that_waits_at_a_killed_scheduler_goes_on() -> None:
    """The scheduler is killed while requests wait for it: none waits in vain."""

    async def scenario(fleet: SchedulingFleet) -> None:
        failed = fleet.scheduler
        other = fleet.other_than(failed)
        await fill(fleet, other, SLOTS * len(SERVERS))
        waiting = asyncio.ensure_future(fleet.ask(other))
        await asyncio.sleep(0.3)
        fleet.kill(failed)
        killed_s = now_s()
        decision, _, _ = await waiting
        assert decision is None and now_s() - killed_s < 0.4

    play(scenario)


def test_a_new_scheduler_learns_the_runs_before_it_assigns() -> None:
    """A takeover under load: the new scheduler must not believe all to be idle."""

    async def scenario(fleet: SchedulingFleet) -> None:
        failed = fleet.scheduler
        names = [name for name in sorted(fleet.vms) if name != failed]
        runs = {
            found.request.request_id
            for name in names
            for found in await fill(fleet, name, 2, lasts_s=9.0)
        }
        assert len(runs) == 2 * len(names)
        fleet.kill(failed)
        scheduler = await first_assignment(fleet, names[0])
        assert runs <= fleet.runs_at(scheduler)

    play(scenario)


def test_a_vm_that_took_over_is_asked_again_after_it_has_settled() -> None:
    """A takeover: VMs choose by themselves for a moment, not for longer."""

    async def scenario(fleet: SchedulingFleet) -> None:
        failed = fleet.scheduler
        other = fleet.other_than(failed)
        fleet.kill(failed)
        await fleet.ask(other)
        killed_s = now_s()
        await first_assignment(fleet, other)
        assert now_s() - killed_s < SETTLING_S + 0.4

    play(scenario)


def test_a_leaving_scheduler_sends_its_callers_on() -> None:
    """A planned stop: what waits there and what comes is asked elsewhere."""

    async def scenario(fleet: SchedulingFleet) -> None:
        leaving = fleet.scheduler
        other = fleet.other_than(leaving)
        await fill(fleet, other, SLOTS * len(SERVERS))
        waiting = asyncio.ensure_future(fleet.ask(other))
        await asyncio.sleep(0.3)
        fleet.stopping.add(leaving)
        _, _, took_s = await waiting
        assert took_s < 0.6
        await asyncio.sleep(1.0)
        decision, scheduler, _ = await fleet.ask(other, wait_s=0.1)
        assert decision is not None and scheduler != leaving

    play(scenario)


def test_both_sides_of_a_partition_schedule_and_join_again() -> None:
    """A data centre is cut off: each side assigns, later one VM does for all."""

    async def scenario(fleet: SchedulingFleet) -> None:
        cut = {name for name in fleet.vms if fleet.data_centre(name) == "b"}
        fleet.sides.update(dict.fromkeys(cut, 1))
        for name in sorted(fleet.vms):
            await fleet.ask(name)
        await asyncio.sleep(3.0)
        schedulers = set()
        for name in sorted(fleet.vms):
            decision, scheduler, _ = await fleet.ask(name)
            assert isinstance(decision, Assignment)
            assert (scheduler in cut) == (name in cut)
            schedulers.add(scheduler)
            await asyncio.sleep(0.1)
        assert len(schedulers) == 2
        fleet.sides.clear()
        await asyncio.sleep(6.0)
        asked = {(await fleet.ask(name))[1] for name in sorted(fleet.vms)}
        assert len(asked) == 1

    play(scenario, data_centres=3)


def test_the_runs_of_a_killed_vm_end_with_their_deadline() -> None:
    """A VM is killed with runs in progress: their slots become free again."""

    async def scenario(fleet: SchedulingFleet) -> None:
        scheduler = fleet.scheduler
        other = fleet.other_than(scheduler)
        await fill(fleet, other, 3, lasts_s=2.0)
        fleet.kill(other)
        assert len(fleet.runs_at(scheduler)) == 3
        await asyncio.sleep(3.5)
        fleet.vms[scheduler].host.scheduler.drop_expired(now_s=now_s())
        assert not fleet.runs_at(scheduler)

    play(scenario)


def test_a_vm_that_starts_again_drops_the_runs_of_its_last_start() -> None:
    """A VM restarts under its name: its old runs hold no slots until due."""

    async def scenario(fleet: SchedulingFleet) -> None:
        scheduler = fleet.scheduler
        other = fleet.other_than(scheduler)
        await fill(fleet, other, 3, lasts_s=60.0)
        fleet.kill(other)
        fleet.start([other])
        await asyncio.sleep(3.0)
        assert not fleet.runs_at(scheduler)
        decision, _, _ = await fleet.ask(other)
        assert isinstance(decision, Assignment)

    play(scenario)


def test_the_waiting_request_of_a_killed_vm_gets_no_slot() -> None:
    """A VM is killed while its request waits: the slot goes to another."""

    async def scenario(fleet: SchedulingFleet) -> None:
        scheduler = fleet.scheduler
        killed = fleet.other_than(scheduler)
        other = fleet.other_than(scheduler, killed)
        runs = await fill(fleet, other, SLOTS * len(SERVERS), lasts_s=20.0)
        asking = asyncio.ensure_future(fleet.ask(killed, wait_s=9.0))
        await asyncio.sleep(0.2)
        asking.cancel()
        fleet.kill(killed)
        await asyncio.sleep(ASKED_AGAIN_WITHIN_S + 0.1)
        fleet.end(other, runs[0])
        await asyncio.sleep(0.1)
        assert len(fleet.runs_at(scheduler)) == len(runs) - 1

    play(scenario)


@pytest.mark.parametrize("own", [True, False])
def test_a_caller_that_leaves_while_waiting_takes_no_slot(own: bool) -> None:
    """Callers who give up under overload: their requests leave the queue."""

    async def scenario(fleet: SchedulingFleet) -> None:
        scheduler = fleet.scheduler
        name = scheduler if own else fleet.other_than(scheduler)
        await fill(fleet, name, SLOTS * len(SERVERS))
        asking = asyncio.ensure_future(fleet.ask(name))
        await asyncio.sleep(0.2)
        assert fleet.vms[scheduler].host.waiting == 1
        asking.cancel()
        await asyncio.sleep(2 * ONE_WAY_S)
        assert fleet.vms[scheduler].host.waiting == 0

    play(scenario)


def test_a_request_refused_while_it_waits_is_withdrawn() -> None:
    """A planned stop or quarantine ends the wait: the scheduler hears of it."""

    async def scenario(fleet: SchedulingFleet) -> None:
        scheduler = fleet.scheduler
        name = fleet.other_than(scheduler)
        await fill(fleet, name, SLOTS * len(SERVERS))

        def refuse() -> None:
            raise InterruptedError

        with pytest.raises(InterruptedError):
            await fleet.ask(name, on_waiting=refuse)
        await asyncio.sleep(2 * ONE_WAY_S)
        assert fleet.vms[scheduler].host.waiting == 0

    play(scenario)


def test_an_assignment_that_nobody_waits_for_is_returned() -> None:
    """A caller leaves as its server is assigned: the slot is free at once."""

    async def scenario(fleet: SchedulingFleet) -> None:
        scheduler = fleet.scheduler
        name = fleet.other_than(scheduler)
        asking = asyncio.ensure_future(fleet.ask(name))
        await asyncio.sleep(1.5 * ONE_WAY_S)
        assert len(fleet.runs_at(scheduler)) == 1
        asking.cancel()
        await asyncio.sleep(3 * ONE_WAY_S)
        assert not fleet.runs_at(scheduler)

    play(scenario)


def test_vms_that_know_few_others_agree_on_one_scheduler() -> None:
    """A large fleet after its start: several schedulers would each see a part."""
    fast = ("vm-2", "vm-4", "vm-6")

    def has_heard(receiver: str, name: str) -> bool:
        # The lease holder hears from all VMs, others from few.
        return receiver == "vm-0" or name == f"vm-{2 + 2 * (int(receiver[-1]) % 3)}"

    async def scenario(fleet: SchedulingFleet) -> None:
        assert len({vm.quotas.coordinator for vm in fleet.vms.values()}) > 1
        fleet.announce_coordinator("vm-0")
        await asyncio.sleep(3.0)
        assert len({vm.quotas.coordinator for vm in fleet.vms.values()}) == 1

    play(scenario, links_mbps=dict.fromkeys(fast, 200.0), has_heard=has_heard)


def test_a_fleet_without_scheduling_sends_no_message_of_it() -> None:
    """A small fleet: it costs nothing where it is not in use."""

    async def scenario(fleet: SchedulingFleet) -> None:
        await asyncio.sleep(5.0)

    fleet = play(scenario, in_use=False)
    assert not fleet.sent
