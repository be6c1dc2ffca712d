"""What a holder in a crowd says must fit its link, or nothing else does."""

import asyncio
import random
from dataclasses import replace
from typing import Any, cast

from entry_builders import a_catalog, a_peer_state, entry_settings
from fakes import FakePlatform
from virtual_time import LoopClock, VirtualLoop

from rosepath.fleet import Fleet, PeerLoad
from rosepath.peer_link import PeerLink
from rosepath.peer_messages import Forwarded, PeerState, decode
from rosepath.peer_table import PeerTable
from rosepath.placement_coordinator import (
    MOVES_APART_CROWDED_S,
    PlacementCoordinator,
)
from rosepath.prompt_caches import PromptCaches

DATA_CENTRES = "abcd"
VMS = 80
SERVERS = 144
LINK_BITS = 10e6
# As many models go or come in each of the first seconds of a term.
MOVES_PER_S = 24
WATCHED_S = 2.0


class Wire:
    """Count what is sent."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.last = b""

    def sendto(self, data: bytes, _: tuple[str, int]) -> None:
        self.sent_bytes += len(data)
        self.last = data

    def is_closing(self) -> bool:
        return False

    @property
    def moved(self) -> list[str]:
        """Return the servers whose moves the last word tells, and forget the word."""
        data, self.last = self.last, b""
        if not data:
            return []
        message = decode(data)
        if isinstance(message, Forwarded):
            message = decode(message.word)
        assert isinstance(message, PeerState)
        return [move.server for move in message.moves]


def speak(peers: PeerTable, word: int, *, vms: int = VMS) -> None:
    """Let a holder hear a word of each other VM."""
    for number in range(1, vms):
        centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        state = a_peer_state(f"vm-{number}", number=word, data_centre=centre)
        assert peers.take(state)


def a_holder(wire: Wire, peers: PeerTable, *, vms: int = VMS) -> PlacementCoordinator:
    """Build a holder that tells other VMs of its servers."""
    clock, rng = LoopClock(), random.Random(1)
    speak(peers, 1, vms=vms)
    totals = {
        f"i-{rng.getrandbits(40):010x}": PeerLoad(
            requests=rng.randrange(1, 20), unread_tokens=rng.randrange(30_000)
        )
        for _ in range(SERVERS)
    }
    coordinator = PlacementCoordinator(
        entry_settings("vm-0"),
        clock=clock,
        store=FakePlatform(),  # type: ignore[arg-type]
        engines=cast(Any, None),
        fleet=Fleet(),
        caches=PromptCaches(),
        catalog=a_catalog,
        peers=peers,
        stopping=lambda: False,
        cut_off=lambda: False,
        changed=lambda: None,
        boot_clock=clock,
    )

    def describe(start: str, number: int) -> PeerState:
        return replace(
            a_peer_state("vm-0", number=number, term=1000),
            start=start,
            totals=totals,
            moves=tuple(coordinator.moves.recent()),
        )

    coordinator.link = PeerLink(
        "10.0.0.1:7",
        peers,
        clock=clock,
        describe=describe,
        on_state=lambda _: None,
        on_ask=coordinator.answer,
        data_centre=DATA_CENTRES[0],
    )
    coordinator.link.connection_made(cast(Any, wire))
    return coordinator


def test_the_moves_of_a_new_term_do_not_fill_the_holders_link() -> None:
    # Each model that came or went had the holder's whole word sent to its data
    # centre at once. In the first seconds of a term that filled its link: its
    # calls to the store and its orders got no answer in time, it gave the lease up,
    # began a new term, and so on every three seconds.
    async def run() -> None:
        wire, peers = Wire(), PeerTable("vm-0", clock=LoopClock())
        holder = a_holder(wire, peers)
        for number in range(int(MOVES_PER_S * WATCHED_S)):
            holder.moves.note(f"i-{number}", f"m{number}", "", True)
            await asyncio.sleep(1 / MOVES_PER_S)
            speak(peers, number + 2)
        assert wire.sent_bytes * 8 / WATCHED_S < LINK_BITS / 4

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


def test_the_first_move_of_a_quiet_time_is_told_at_once() -> None:
    # Callers wait for a model that has come, and are turned away by an engine that
    # unloads: only what follows closely may wait.
    async def run() -> None:
        wire, peers = Wire(), PeerTable("vm-0", clock=LoopClock())
        holder = a_holder(wire, peers)
        for name in ("i-1", "i-2"):
            holder.moves.note(name, "m1", "", True)
            assert wire.moved[-1] == name
            await asyncio.sleep(MOVES_APART_CROWDED_S + 0.01)
            assert wire.moved == []

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


def test_moves_that_follow_closely_are_all_told_by_one_word() -> None:
    # None may be left untold until the next word is due.
    async def run() -> None:
        wire, peers = Wire(), PeerTable("vm-0", clock=LoopClock())
        holder = a_holder(wire, peers)
        holder.moves.note("i-1", "m1", "", True)
        assert wire.moved == ["i-1"]
        for name in ("i-2", "i-3"):
            holder.moves.note(name, "m1", "", True)
            assert wire.moved == []
        await asyncio.sleep(MOVES_APART_CROWDED_S + 0.01)
        assert wire.moved == ["i-1", "i-2", "i-3"]

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


def test_each_move_is_told_at_once_where_vms_are_few() -> None:
    # Gathered for no need, callers' requests would wait longer for a model
    # that is there, or go to one that is not.
    async def run() -> None:
        wire, peers = Wire(), PeerTable("vm-0", clock=LoopClock())
        holder = a_holder(wire, peers, vms=2)
        for name in ("i-1", "i-2", "i-3"):
            holder.moves.note(name, "m1", "", True)
            assert wire.moved[-1] == name

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
