"""What an entry VM's own loops cost and when they act."""

import asyncio

from entry_builders import a_catalog, a_route, entry_settings
from virtual_time import VirtualLoop

from rosepath.entry_node import NO_PLAN_TICK_S, PLAN_TICK_S, EntryNode
from rosepath.peer_messages import NEVER_S
from rosepath.store_pace import WAIT_SHARE, catalog_watch_policy


def plans(*, holds: bool, begins_at_s: float, until_s: float) -> list[float]:
    """Return when a VM plans that becomes the holder, or never does."""
    at_s: list[float] = []

    async def run() -> None:
        node = EntryNode(entry_settings("vm"))
        coordinator = node.coordinator
        loop = asyncio.get_running_loop()
        begun_s = loop.time()

        async def tick() -> None:
            at_s.append(round(loop.time() - begun_s, 3))

        def begin() -> None:
            held.append(True)
            coordinator.term_begun.set()

        held: list[bool] = []
        coordinator.orders.tick = tick  # type: ignore[method-assign]
        coordinator.leases.valid = (  # type: ignore[method-assign]
            lambda *_, **__: bool(held)
        )
        if holds:
            loop.call_later(begins_at_s, begin)
        planning = asyncio.ensure_future(node._plan())
        await asyncio.sleep(until_s)
        planning.cancel()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
    return at_s


def test_who_may_not_order_hardly_wakes_to_plan() -> None:
    # Two hundred VMs woke ten times a second each to find that another one holds
    # the lease: a fifth of what an idle VM costs.
    assert len(plans(holds=False, begins_at_s=0.0, until_s=10.0)) <= 11


def test_a_term_begins_with_a_plan_and_goes_on_often() -> None:
    # Models stand unordered from when a holder is lost; its successor must not
    # sleep on.
    at_s = plans(holds=True, begins_at_s=3.25, until_s=6.0)
    first = at_s.index(3.25)
    assert at_s[first + 1] - at_s[first] <= PLAN_TICK_S + 1e-6
    assert max(at_s[:first]) > 3.25 - NO_PLAN_TICK_S


def test_who_is_told_nothing_watches_no_closer_for_having_told_nothing() -> None:
    # Only the holder's watches stand for those of others, and leave room for a
    # word to be missed; without a holder, all of a crowd watched twice as often.
    node = EntryNode(entry_settings("vm"))
    for number in range(40):
        node.peers.note_address(f"vm-{number}", f"10.0.0.1:{number}")
    feed, staleness_limit_s = node.tables.catalog_watcher, 3.0
    other_s = catalog_watch_policy(node._following(feed, staleness_limit_s)).wait_s
    node.coordinator.leases.valid = lambda *_, **__: True  # type: ignore[method-assign]
    node.coordinator.leases.fence = lambda _: 1  # type: ignore[method-assign]
    holder_s = catalog_watch_policy(node._following(feed, staleness_limit_s)).wait_s
    assert holder_s < other_s == WAIT_SHARE * staleness_limit_s


def test_a_vm_that_heard_of_a_newer_configuration_shows_that_it_is_behind() -> None:
    # It served by an old one for seconds, and its metrics and lines said that all
    # was well.
    async def run() -> None:
        node = EntryNode(entry_settings("vm"))
        assert not node._beliefs()["configuration_behind"]
        node.tables.catalog_watcher.hear(7)
        assert node._beliefs()["configuration_behind"]
        assert node._configuration_view().log_fields["configuration_behind"] is True

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


def test_what_requests_are_told_of_the_configuration_is_as_of_now() -> None:
    # An age that is counted from the last answer of the store says nothing of
    # what the holder has vouched for since, and the reverse.
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
