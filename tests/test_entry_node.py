"""Timing of an entry VM's loops, and the state it exports."""

import asyncio

from entry_builders import a_catalog, a_route, entry_settings
from virtual_time import VirtualLoop

from rosepath.entry_node import PLAN_TICK_S, STANDBY_PLAN_TICK_S, EntryNode
from rosepath.peer_messages import NEVER_S
from rosepath.watch_policy import WAIT_SHARE, catalog_watch_policy


def plans(*, acquires_lease: bool, acquires_at_s: float, until_s: float) -> list[float]:
    """Return the times at which a VM plans, optionally as the lease holder.

    With `acquires_lease`, it acquires the lease at `acquires_at_s`.
    """
    at_s: list[float] = []

    async def run() -> None:
        node = EntryNode(entry_settings("vm"))
        coordinator = node.coordinator
        loop = asyncio.get_running_loop()
        started_s = loop.time()

        async def tick() -> None:
            at_s.append(round(loop.time() - started_s, 3))

        def begin() -> None:
            held.append(True)
            coordinator.term_started.set()

        held: list[bool] = []
        coordinator.orders.tick = tick  # type: ignore[method-assign]
        coordinator.leases.valid = (  # type: ignore[method-assign]
            lambda *_, **__: bool(held)
        )
        if acquires_lease:
            loop.call_later(acquires_at_s, begin)
        planning = asyncio.ensure_future(node._plan())
        await asyncio.sleep(until_s)
        planning.cancel()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
    return at_s


def test_a_vm_without_the_lease_plans_at_most_once_a_second() -> None:
    # Waking ten times a second to find that another VM holds the lease
    # accounted for a fifth of the CPU time of an idle VM in a fleet of 200.
    assert len(plans(acquires_lease=False, acquires_at_s=0.0, until_s=10.0)) <= 11


def test_a_new_lease_holder_plans_at_once_and_then_every_plan_tick() -> None:
    # No model is loaded from the failure of a holder until its successor
    # plans, so the successor must not finish its sleep first.
    at_s = plans(acquires_lease=True, acquires_at_s=3.25, until_s=6.0)
    first = at_s.index(3.25)
    assert at_s[first + 1] - at_s[first] <= PLAN_TICK_S + 1e-6
    assert max(at_s[:first]) > 3.25 - STANDBY_PLAN_TICK_S


def test_only_the_lease_holder_watches_more_often() -> None:
    # The holder watches on behalf of other VMs and allows for one lost state
    # message. Applied to every VM, the same rule doubled the watches of a
    # large fleet without a holder.
    node = EntryNode(entry_settings("vm"))
    for number in range(40):
        node.peers.note_address(f"vm-{number}", f"10.0.0.1:{number}")
    watcher, staleness_limit_s = node.tables.catalog_watcher, 3.0
    other_s = catalog_watch_policy(
        node._watch_conditions(watcher, staleness_limit_s)
    ).wait_s
    node.coordinator.leases.valid = lambda *_, **__: True  # type: ignore[method-assign]
    node.coordinator.leases.fence = lambda _: 1  # type: ignore[method-assign]
    holder_s = catalog_watch_policy(
        node._watch_conditions(watcher, staleness_limit_s)
    ).wait_s
    assert holder_s < other_s == WAIT_SHARE * staleness_limit_s


def test_a_known_newer_configuration_is_reported_in_metrics_and_logs() -> None:
    # A VM that served by an outdated configuration for seconds must not report
    # it as current.
    async def run() -> None:
        node = EntryNode(entry_settings("vm"))
        assert not node._state_values()["configuration_behind"]
        node.tables.catalog_watcher.note_peer_revision(7)
        assert node._state_values()["configuration_behind"]
        assert node._configuration_view().log_fields["configuration_behind"] is True

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


def test_the_configuration_view_has_the_current_age() -> None:
    # The age must cover both the last read of the store and the age reported
    # by the lease holder; either alone is outdated at times.
    async def run() -> None:
        node = EntryNode(entry_settings("vm"))
        age = node.tables.catalog_watcher.age
        assert node._configuration_view().log_fields["configuration_age_s"] == NEVER_S
        node.tables.catalog = a_catalog(a_route(), version=3)
        age.note_store_read(age.now_s())
        view = node._configuration_view()
        assert view.version == 3
        assert view.age_s < 1.0

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
