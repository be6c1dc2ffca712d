"""A holder without the store keeps its lease while peers acknowledge it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any, cast

import pytest
from entry_builders import a_catalog, a_peer_state, entry_settings
from fakes import FakePlatform
from hypothesis import given, settings, strategies as st
from virtual_time import VirtualLoop

from rosepath.clock import ManualClock
from rosepath.fleet import Fleet
from rosepath.lease_extension import LeaseExtension
from rosepath.peer_link import PeerLink
from rosepath.peer_table import PeerTable
from rosepath.placement_coordinator import (
    FINISH_ORDERS_MAX_S,
    RELEASE_TIMEOUT_S,
    PlacementCoordinator,
)
from rosepath.prompt_caches import PromptCaches

NAMES = ("vm-a", "vm-b", "vm-c")


@dataclass
class Node:
    """One VM: its coordinator, and its link for state messages."""

    name: str
    peers: PeerTable
    coordinator: PlacementCoordinator
    number: int = 0
    start: str = ""
    stopping: bool = False

    def send_state(self) -> None:
        return

    def receive(self, state: Any) -> None:
        if self.peers.apply_state(state):
            self.coordinator.handle_peer_state(state)


class Store(FakePlatform):
    """A shared store that some VMs cannot reach."""

    def __init__(self) -> None:
        super().__init__()
        self.unreachable_from: set[str] = set()
        # Runs once, before the next write is applied.
        self.before_write: Callable[[], Awaitable[None]] | None = None
        # Runs once, after the next write is applied and before its reply.
        self.after_write: Callable[[], Awaitable[None]] | None = None

    def view_for(self, name: str) -> "StoreOfVm":
        return StoreOfVm(self, name)


class StoreOfVm:
    """The store as one VM reaches it."""

    def __init__(self, store: Store, name: str) -> None:
        self._store, self._name = store, name

    def __getattr__(self, attribute: str) -> Any:
        self._store.down = self._name in self._store.unreachable_from
        return getattr(self._store, attribute)

    async def put(self, name: str, value: bytes, *, expected_version: int) -> int:
        callback, self._store.before_write = self._store.before_write, None
        if callback is not None:
            await callback()
        self._store.down = self._name in self._store.unreachable_from
        version = await self._store.put(name, value, expected_version=expected_version)
        callback, self._store.after_write = self._store.after_write, None
        if callback is not None:
            await callback()
        return version


def a_node(name: str, store: Store, clock: ManualClock) -> Node:
    peers = PeerTable(name, clock=clock)
    coordinator = PlacementCoordinator(
        entry_settings(name),
        clock=clock,
        store=cast(Any, store.view_for(name)),
        engines=cast(Any, None),
        fleet=Fleet(),
        caches=PromptCaches(),
        catalog=a_catalog,
        peers=peers,
        stopping=lambda: node.stopping,
        cut_off=lambda: False,
        changed=lambda: None,
        boot_clock=clock,
    )
    node = Node(name, peers, coordinator, start=f"start-{name}")
    coordinator.link = cast(PeerLink, node)
    for other in NAMES:
        peers.note_address(other, "127.0.0.1:9")
    return node


def send_state(node: Node, others: list[Node]) -> None:
    node.number += 1
    node.coordinator.note_state_sent(node.number)
    state = replace(
        a_peer_state(node.name, number=node.number, term=node.coordinator.term),
        start=node.start,
        lease_version=node.coordinator.lease_version,
        holder_ack=node.coordinator.holder_ack,
        stopping=node.stopping,
        resigned_version=node.coordinator.resigned_version,
        handover=node.coordinator.handover,
        last_action_age_s=node.coordinator.last_action_age_s,
    )
    for other in others:
        other.receive(state)


def three_nodes() -> tuple[list[Node], Store, ManualClock]:
    store, clock = Store(), ManualClock()
    return [a_node(name, store, clock) for name in NAMES], store, clock


async def run_nodes(
    nodes: list[Node],
    clock: ManualClock,
    duration_s: float,
    *,
    sends_state: Callable[[Node], bool] = lambda _: True,
) -> None:
    """Let the VMs step and send their state every 0.15 s."""
    end_s = clock.monotonic_s() + duration_s
    while clock.monotonic_s() < end_s:
        clock.advance(0.15)
        for node in nodes:
            await node.coordinator.renew_or_acquire_lease()
            if sends_state(node):
                send_state(node, [other for other in nodes if other is not node])
        assert sum(node.coordinator.holds_lease for node in nodes) <= 1


def test_a_store_outage_does_not_end_the_holders_lease() -> None:
    # The store responds to no VM for ten seconds, five times the duration of a
    # lease. No VM can acquire the lease meanwhile, so unless the holder keeps
    # it, no models are ordered until the store is back.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await run_nodes(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds_lease)
        store.unreachable_from = set(NAMES)
        for _ in range(60):
            await run_nodes(nodes, clock, 0.15)
            assert holder.coordinator.holds_lease
        store.unreachable_from = set()
        await run_nodes(nodes, clock, 3.0)
        assert holder.coordinator.holds_lease
        assert holder.coordinator.term == 1000

    asyncio.run(run())


def test_a_holder_without_acknowledgements_stops_before_a_takeover() -> None:
    # The holder cannot reach the store, and its state messages are lost.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await run_nodes(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds_lease)
        store.unreachable_from = {holder.name}
        await run_nodes(nodes, clock, 8.0, sends_state=lambda node: node is not holder)
        assert not holder.coordinator.holds_lease
        assert sum(node.coordinator.holds_lease for node in nodes) == 1

    asyncio.run(run())


def test_a_dead_holder_is_replaced_within_four_seconds() -> None:
    async def run() -> None:
        nodes, _, clock = three_nodes()
        await run_nodes(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds_lease)
        left = [node for node in nodes if node is not holder]
        await run_nodes(left, clock, 4.0)
        assert sum(node.coordinator.holds_lease for node in left) == 1

    asyncio.run(run())


def test_a_holder_stopping_in_an_outage_hands_over_directly() -> None:
    # The holder stops while the store responds to no VM. Without a direct
    # handover, no VM can acquire the lease and no models are ordered until the
    # store is back. The holder's own loop runs on until the write fails.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await run_nodes(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds_lease)
        store.unreachable_from = set(NAMES)
        await run_nodes(nodes, clock, 1.0)
        holder.stopping = True
        store.before_write = holder.coordinator.renew_or_acquire_lease
        await holder.coordinator.release()
        await run_nodes(nodes, clock, 2.0)
        successor = next(node for node in nodes if node.coordinator.holds_lease)
        assert successor is not holder
        assert successor.coordinator.term == 1001
        await run_nodes(nodes, clock, 4.0)
        assert successor.coordinator.holds_lease
        store.unreachable_from = set()
        await run_nodes(nodes, clock, 3.0)
        assert successor.coordinator.holds_lease and successor.coordinator.term == 1001

    asyncio.run(run())


async def take_a_minute() -> None:
    await asyncio.sleep(60.0)


@pytest.mark.parametrize("applied", [False, True])
def test_a_lease_not_released_in_time_is_handed_over_directly(
    applied: bool,
) -> None:
    # The store takes a minute to apply the release or to reply to it. The stop
    # waits for neither. The stopping VM sends no more orders, and at most one
    # VM does from then on.
    async def run() -> None:
        loop = asyncio.get_running_loop()
        nodes, store, clock = three_nodes()
        await run_nodes(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds_lease)
        others = [node for node in nodes if node is not holder]
        holder.stopping = True
        if applied:
            store.after_write = take_a_minute
        else:
            store.before_write = take_a_minute
        started_s = loop.time()
        await holder.coordinator.release()
        assert loop.time() - started_s < RELEASE_TIMEOUT_S + 0.1
        assert holder.coordinator.handover.successor in {node.name for node in others}
        for _ in range(40):
            await run_nodes(nodes, clock, 0.15)
            assert not holder.coordinator.holds_lease
            assert not holder.coordinator.orders.sender.may_order()
        assert sum(node.coordinator.holds_lease for node in others) == 1

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


# Guards against a VM that starts and takes a lease which was handed over to its
# former process long ago.
def test_a_handover_is_announced_only_until_the_next_term() -> None:
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await run_nodes(nodes, clock, 3.0)
        first = next(node for node in nodes if node.coordinator.holds_lease)
        store.unreachable_from = {first.name}
        await first.coordinator.release()
        handover = first.coordinator.handover
        assert handover.successor
        store.unreachable_from = set()
        await run_nodes(nodes, clock, 6.0)
        restarted = a_node(handover.successor, store, clock)
        send_state(first, [restarted])
        assert not restarted.coordinator.term

    asyncio.run(run())


# Guards against the same by a VM that got the lease back.
def test_a_holder_announces_no_handover_of_an_earlier_term() -> None:
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await run_nodes(nodes, clock, 3.0)
        first = next(node for node in nodes if node.coordinator.holds_lease)
        store.unreachable_from = {first.name}
        await first.coordinator.release()
        store.unreachable_from = set()
        await run_nodes([first], clock, 12.0)
        assert first.coordinator.holds_lease
        assert not first.coordinator.handover.successor

    asyncio.run(run())


def test_a_holder_stopping_in_an_outage_keeps_the_lease_for_its_swaps() -> None:
    # The lease has expired and only the peers' acknowledgements extend it. If
    # the extension ended with the stop, the holder could not order the load
    # that follows an unload; if its loop resigned, it would name no successor.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await run_nodes(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds_lease)
        store.unreachable_from = set(NAMES)
        await run_nodes(nodes, clock, 3.0)
        holder.stopping = True
        held: list[bool] = []

        async def finish(limit_s: float) -> None:
            await run_nodes(nodes, clock, limit_s)
            held.append(holder.coordinator.holds_lease)

        holder.coordinator.orders.finish = finish  # type: ignore[method-assign]
        await holder.coordinator.release()
        assert held == [True]
        assert not holder.coordinator.holds_lease
        await run_nodes(nodes, clock, 2.0)
        successor = next(node for node in nodes if node.coordinator.holds_lease)
        assert successor is not holder
        assert successor.coordinator.term == 1001

    asyncio.run(run())


def test_a_holder_losing_its_lease_during_its_swaps_resigns() -> None:
    # The holder receives no acknowledgements while it finishes its swaps, so
    # it no longer holds the lease. The release that follows must not clear the
    # version that it announces as resigned.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await run_nodes(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds_lease)
        store.unreachable_from = set(NAMES)
        await run_nodes(nodes, clock, 3.0)
        holder.stopping = True

        async def finish(limit_s: float) -> None:
            await run_nodes(
                nodes, clock, limit_s, sends_state=lambda node: node is holder
            )
            assert not holder.coordinator.holds_lease

        holder.coordinator.orders.finish = finish  # type: ignore[method-assign]
        await holder.coordinator.release()
        assert holder.coordinator.resigned_version

    asyncio.run(run())


def test_the_fencing_token_of_a_direct_handover_is_not_reused() -> None:
    # A successor that never wrote to the store stops, too. The next VM to
    # acquire the lease reads the term from before the handover there. Its
    # fencing token must exceed the successor's, or engines take orders of two
    # holders under one.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await run_nodes(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds_lease)
        store.unreachable_from = set(NAMES)
        holder.stopping = True
        await holder.coordinator.release()
        await run_nodes(nodes, clock, 2.0)
        successor = next(node for node in nodes if node.coordinator.holds_lease)
        fence = successor.coordinator.term
        last = next(node for node in nodes if node not in (holder, successor))
        store.unreachable_from = set()
        restarted = a_node(last.name, store, clock)
        await run_nodes([restarted], clock, 5.0)
        assert restarted.coordinator.term > fence

    asyncio.run(run())


def test_a_removed_vm_does_not_have_to_acknowledge_the_holder() -> None:
    # A VM was removed long before the outage. If its acknowledgement were
    # still required, the holder's lease would end two seconds into the outage.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await run_nodes(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds_lease)
        gone = next(node for node in nodes if node is not holder)
        left = [node for node in nodes if node is not gone]
        await run_nodes(left, clock, 7.0)
        store.unreachable_from = set(NAMES)
        await run_nodes(left, clock, 6.0)
        assert holder.coordinator.holds_lease

    asyncio.run(run())


def test_a_successor_without_all_acknowledgements_drops_the_lease() -> None:
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await run_nodes(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds_lease)
        store.unreachable_from = set(NAMES)
        holder.stopping = True
        await holder.coordinator.release()
        successor = next(
            n for n in nodes if n.name == holder.coordinator.handover.successor
        )
        lost = next(n for n in nodes if n not in (holder, successor))
        await run_nodes(nodes, clock, 4.0, sends_state=lambda node: node is not lost)
        assert not any(node.coordinator.holds_lease for node in nodes)
        store.unreachable_from = set()
        await run_nodes([successor, lost], clock, 6.0)
        assert sum(node.coordinator.holds_lease for node in (successor, lost)) == 1

    asyncio.run(run())


def test_unknown_messages_do_not_extend_a_lease() -> None:
    extension = LeaseExtension(silence_s=1.0)
    assert extension.extended_until_s([]) < 0
    extension.note_sent(1, now_s=100.0)
    extension.note_ack("vm-b", 1)
    assert extension.extended_until_s(["vm-b"]) == 101.0
    assert extension.extended_until_s(["vm-b", "vm-c"]) < 0


fault = st.tuples(
    st.sampled_from([*NAMES, "none"]),
    st.sampled_from([*NAMES, "all", "none"]),
    st.sampled_from([*NAMES, "none", "none"]),
    st.floats(0.1, 4.0),
)


@pytest.mark.parametrize("finish_s", [0.0, FINISH_ORDERS_MAX_S])
@settings(deadline=None, max_examples=60)
@given(st.lists(fault, min_size=1, max_size=8))
def test_at_most_one_vm_holds_the_lease(
    finish_s: float,
    faults: list[tuple[str, str, str, float]],
) -> None:
    # For random times, the messages of one VM are lost, one or all VMs cannot
    # reach the store, and one VM stops, with or without finishing swaps first.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await run_nodes(nodes, clock, 1.0)
        for silent, unreachable, stopped, fault_s in faults:
            for node in nodes:
                node.stopping = node.name == stopped
                if node.stopping:
                    node.coordinator.orders.finish = (  # type: ignore[method-assign]
                        lambda _, silent=silent: run_nodes(
                            nodes,
                            clock,
                            finish_s,
                            sends_state=lambda n: n.name != silent,
                        )
                    )
                    await node.coordinator.release()
            store.unreachable_from = (
                set(NAMES) if unreachable == "all" else {unreachable}
            )
            await run_nodes(
                nodes,
                clock,
                fault_s,
                sends_state=lambda node, silent=silent: node.name != silent,
            )

    asyncio.run(run())
