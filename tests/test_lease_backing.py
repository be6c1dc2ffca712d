"""A holder that can't reach the store goes on while the others keep off."""

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
from rosepath.lease_backing import LeaseBacking
from rosepath.peer_link import PeerLink
from rosepath.peer_table import PeerTable
from rosepath.placement_coordinator import (
    FINISH_S,
    HAND_BACK_S,
    PlacementCoordinator,
)
from rosepath.prompt_caches import PromptCaches

NAMES = ("vm-a", "vm-b", "vm-c")


@dataclass
class Node:
    """One VM's part in the lease, and the words that it speaks."""

    name: str
    peers: PeerTable
    coordinator: PlacementCoordinator
    number: int = 0
    start: str = ""
    stopping: bool = False

    def tell(self) -> None:
        return

    def hear(self, state: Any) -> None:
        if self.peers.take(state):
            self.coordinator.hear_peer(state)


class Store(FakePlatform):
    """Answer only those whose store is not down."""

    def __init__(self) -> None:
        super().__init__()
        self.unreached_by: set[str] = set()
        # Runs once, while the next write is on its way.
        self.before_write: Callable[[], Awaitable[None]] | None = None
        # Runs once, while the answer to the next write is on its way.
        self.after_write: Callable[[], Awaitable[None]] | None = None

    def seen_by(self, name: str) -> "SeenStore":
        return SeenStore(self, name)


class SeenStore:
    """The store as one VM sees it."""

    def __init__(self, store: Store, name: str) -> None:
        self._store, self._name = store, name

    def __getattr__(self, what: str) -> Any:
        self._store.down = self._name in self._store.unreached_by
        return getattr(self._store, what)

    async def put(self, name: str, value: bytes, *, expected_version: int) -> int:
        meanwhile, self._store.before_write = self._store.before_write, None
        if meanwhile is not None:
            await meanwhile()
        self._store.down = self._name in self._store.unreached_by
        version = await self._store.put(name, value, expected_version=expected_version)
        meanwhile, self._store.after_write = self._store.after_write, None
        if meanwhile is not None:
            await meanwhile()
        return version


def a_node(name: str, store: Store, clock: ManualClock) -> Node:
    peers = PeerTable(name, clock=clock)
    coordinator = PlacementCoordinator(
        entry_settings(name),
        clock=clock,
        store=cast(Any, store.seen_by(name)),
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
        peers.learn(other, "127.0.0.1:9")
    return node


def speak(node: Node, others: list[Node]) -> None:
    node.number += 1
    node.coordinator.note_word(node.number)
    state = replace(
        a_peer_state(node.name, number=node.number, term=node.coordinator.term),
        start=node.start,
        lease_version=node.coordinator.lease_version,
        heard=node.coordinator.heard,
        stopping=node.stopping,
        resigned_version=node.coordinator.resigned_version,
        bequest=node.coordinator.bequest,
        acted_ago_s=node.coordinator.acted_ago_s,
    )
    for other in others:
        other.hear(state)


def three_nodes() -> tuple[list[Node], Store, ManualClock]:
    store, clock = Store(), ManualClock()
    return [a_node(name, store, clock) for name in NAMES], store, clock


async def play(
    nodes: list[Node],
    clock: ManualClock,
    seconds_s: float,
    *,
    speaking: Callable[[Node], bool] = lambda _: True,
) -> None:
    """Let all step and speak as they do, every 0.15 s."""
    end_s = clock.monotonic_s() + seconds_s
    while clock.monotonic_s() < end_s:
        clock.advance(0.15)
        for node in nodes:
            await node.coordinator.step_lease()
            if speaking(node):
                speak(node, [other for other in nodes if other is not node])
        assert sum(node.coordinator.holds for node in nodes) <= 1


def test_an_outage_of_the_store_does_not_end_a_holders_orders() -> None:
    # The store answers nobody for ten seconds, five times as long as a lease.
    # Nobody could take it, yet models stood unordered until the store was back.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await play(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds)
        store.unreached_by = set(NAMES)
        for _ in range(60):
            await play(nodes, clock, 0.15)
            assert holder.coordinator.holds
        store.unreached_by = set()
        await play(nodes, clock, 3.0)
        assert holder.coordinator.holds
        assert holder.coordinator.term == 1000

    asyncio.run(run())


def test_a_holder_that_others_stop_hearing_stops_before_they_take_over() -> None:
    # The holder is cut off from the store and from one of the others.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await play(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds)
        store.unreached_by = {holder.name}
        await play(nodes, clock, 8.0, speaking=lambda node: node is not holder)
        assert not holder.coordinator.holds
        assert sum(node.coordinator.holds for node in nodes) == 1

    asyncio.run(run())


def test_a_lost_holder_is_followed_within_four_seconds() -> None:
    async def run() -> None:
        nodes, _, clock = three_nodes()
        await play(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds)
        left = [node for node in nodes if node is not holder]
        await play(left, clock, 4.0)
        assert sum(node.coordinator.holds for node in left) == 1

    asyncio.run(run())


def test_a_holder_that_stops_in_an_outage_hands_over_by_word() -> None:
    # The store answers nobody as the holder is stopped. Nobody could take the
    # lease from the store, and models stood unordered until it was back. The
    # write takes its time to fail; meanwhile the holder's own loop goes on.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await play(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds)
        store.unreached_by = set(NAMES)
        await play(nodes, clock, 1.0)
        holder.stopping = True
        store.before_write = holder.coordinator.step_lease
        await holder.coordinator.give_up()
        await play(nodes, clock, 2.0)
        heir = next(node for node in nodes if node.coordinator.holds)
        assert heir is not holder
        assert heir.coordinator.term == 1001
        await play(nodes, clock, 4.0)
        assert heir.coordinator.holds
        store.unreached_by = set()
        await play(nodes, clock, 3.0)
        assert heir.coordinator.holds and heir.coordinator.term == 1001

    asyncio.run(run())


async def for_long() -> None:
    await asyncio.sleep(60.0)


@pytest.mark.parametrize("carried_out", [False, True])
def test_a_lease_that_is_not_handed_back_in_time_has_an_heir(
    carried_out: bool,
) -> None:
    # The store takes a minute to take the lease back, or has taken it back and its
    # answer takes that long. The stop waits for neither; whoever stops orders no
    # more, and one VM at most does from then on.
    async def run() -> None:
        loop = asyncio.get_running_loop()
        nodes, store, clock = three_nodes()
        await play(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds)
        others = [node for node in nodes if node is not holder]
        holder.stopping = True
        if carried_out:
            store.after_write = for_long
        else:
            store.before_write = for_long
        begun_s = loop.time()
        await holder.coordinator.give_up()
        assert loop.time() - begun_s < HAND_BACK_S + 0.1
        assert holder.coordinator.bequest.heir in {node.name for node in others}
        for _ in range(40):
            await play(nodes, clock, 0.15)
            assert not holder.coordinator.holds
            assert not holder.coordinator.orders.sender.may_order()
        assert sum(node.coordinator.holds for node in others) == 1

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


def test_a_holder_that_stops_in_an_outage_ends_its_swaps_by_the_others_word() -> None:
    # Its own lease lapsed long ago; the others' word backs it. No longer backed
    # once it stops, it could not order the load that was to follow an unload;
    # and resigned by its own loop meanwhile, it would name no heir.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await play(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds)
        store.unreached_by = set(NAMES)
        await play(nodes, clock, 3.0)
        holder.stopping = True
        held: list[bool] = []

        async def finish(limit_s: float) -> None:
            await play(nodes, clock, limit_s)
            held.append(holder.coordinator.holds)

        holder.coordinator.orders.finish = finish  # type: ignore[method-assign]
        await holder.coordinator.give_up()
        assert held == [True]
        assert not holder.coordinator.holds
        await play(nodes, clock, 2.0)
        heir = next(node for node in nodes if node.coordinator.holds)
        assert heir is not holder
        assert heir.coordinator.term == 1001

    asyncio.run(run())


def test_a_holder_that_loses_its_lease_while_it_ends_its_swaps_says_so() -> None:
    # The others are no longer heard meanwhile. Its own loop resigned; then the
    # lease was given up once more, as one that it did not hold, and the word
    # that it acts no more was taken back.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await play(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds)
        store.unreached_by = set(NAMES)
        await play(nodes, clock, 3.0)
        holder.stopping = True

        async def finish(limit_s: float) -> None:
            await play(nodes, clock, limit_s, speaking=lambda node: node is holder)
            assert not holder.coordinator.holds

        holder.coordinator.orders.finish = finish  # type: ignore[method-assign]
        await holder.coordinator.give_up()
        assert holder.coordinator.resigned_version

    asyncio.run(run())


def test_the_fence_of_an_heir_is_not_used_again() -> None:
    # An heir that was never written to the store stops, too. Whoever then takes
    # the lease from the store finds there the term from before both, and gave
    # its orders the heir's fence: engines saw two masters with one.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await play(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds)
        store.unreached_by = set(NAMES)
        holder.stopping = True
        await holder.coordinator.give_up()
        await play(nodes, clock, 2.0)
        heir = next(node for node in nodes if node.coordinator.holds)
        fence = heir.coordinator.term
        last = next(node for node in nodes if node not in (holder, heir))
        store.unreached_by = set()
        fresh = a_node(last.name, store, clock)
        await play([fresh], clock, 5.0)
        assert fresh.coordinator.term > fence

    asyncio.run(run())


def test_a_vm_that_is_gone_for_good_does_not_have_to_back_a_holder() -> None:
    # A VM was removed long before the outage. As nobody heard from it whose
    # word it heard last, the holder's lease ended two seconds into the outage.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await play(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds)
        gone = next(node for node in nodes if node is not holder)
        left = [node for node in nodes if node is not gone]
        await play(left, clock, 7.0)
        store.unreached_by = set(NAMES)
        await play(left, clock, 6.0)
        assert holder.coordinator.holds

    asyncio.run(run())


def test_an_heir_that_is_not_backed_leaves_the_lease_to_the_store() -> None:
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await play(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds)
        store.unreached_by = set(NAMES)
        holder.stopping = True
        await holder.coordinator.give_up()
        heir = next(n for n in nodes if n.name == holder.coordinator.bequest.heir)
        lost = next(n for n in nodes if n not in (holder, heir))
        await play(nodes, clock, 4.0, speaking=lambda node: node is not lost)
        assert not any(node.coordinator.holds for node in nodes)
        store.unreached_by = set()
        await play([heir, lost], clock, 6.0)
        assert sum(node.coordinator.holds for node in (heir, lost)) == 1

    asyncio.run(run())


def test_words_that_are_not_known_back_nothing() -> None:
    backing = LeaseBacking(silent_s=1.0)
    assert backing.until_s([]) < 0
    backing.note_sent(1, now_s=100.0)
    backing.note_heard("vm-b", 1)
    assert backing.until_s(["vm-b"]) == 101.0
    assert backing.until_s(["vm-b", "vm-c"]) < 0


trouble = st.tuples(
    st.sampled_from([*NAMES, "none"]),
    st.sampled_from([*NAMES, "all", "none"]),
    st.sampled_from([*NAMES, "none", "none"]),
    st.floats(0.1, 4.0),
)


@pytest.mark.parametrize("swaps_s", [0.0, FINISH_S])
@settings(deadline=None, max_examples=60)
@given(st.lists(trouble, min_size=1, max_size=8))
def test_no_two_hold_the_lease(
    swaps_s: float,
    troubles: list[tuple[str, str, str, float]],
) -> None:
    # One VM is not heard, one or all do not reach the store, one is stopping,
    # for any time, and ends its swaps first or has none.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await play(nodes, clock, 1.0)
        for mute, unreached, stopped, for_s in troubles:
            for node in nodes:
                node.stopping = node.name == stopped
                if node.stopping:
                    node.coordinator.orders.finish = (  # type: ignore[method-assign]
                        lambda _, mute=mute: play(
                            nodes, clock, swaps_s, speaking=lambda n: n.name != mute
                        )
                    )
                    await node.coordinator.give_up()
            store.unreached_by = set(NAMES) if unreached == "all" else {unreached}
            await play(
                nodes, clock, for_s, speaking=lambda node, mute=mute: node.name != mute
            )

    asyncio.run(run())
