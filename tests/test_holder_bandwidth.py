"""State messages of a holder in a large fleet leave most of its link free."""

import asyncio
import random
from dataclasses import replace
from typing import Any, cast

from entry_builders import a_catalog, a_peer_state, entry_settings
from fakes import FakePlatform
from virtual_time import LoopClock, VirtualLoop

from rosepath.fleet import Fleet, PeerLoad
from rosepath.peer_link import PeerLink
from rosepath.peer_messages import ForwardedState, PeerState, decode
from rosepath.peer_table import PeerTable
from rosepath.placement_coordinator import (
    MOVE_INTERVAL_LARGE_FLEET_S,
    PlacementCoordinator,
)
from rosepath.prompt_caches import PromptCaches

DATA_CENTRES = "abcd"
VMS = 80
SERVERS = 144
LINK_BITS = 10e6
# Models loaded or unloaded per second at the start of a term.
MOVES_PER_S = 24
MEASURED_S = 2.0


class RecordingTransport:
    """Count the bytes sent and keep the last datagram."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.last_datagram = b""

    def sendto(self, data: bytes, _: tuple[str, int]) -> None:
        self.sent_bytes += len(data)
        self.last_datagram = data

    def is_closing(self) -> bool:
        return False

    @property
    def moved_servers(self) -> list[str]:
        """Return and clear the servers of the changes in the last datagram."""
        data, self.last_datagram = self.last_datagram, b""
        if not data:
            return []
        message = decode(data)
        if isinstance(message, ForwardedState):
            message = decode(message.payload)
        assert isinstance(message, PeerState)
        return [change.server for change in message.residency_changes]


def receive_states(peers: PeerTable, number: int, *, vms: int = VMS) -> None:
    """Let the holder receive a state message of each other VM."""
    for vm in range(1, vms):
        data_centre = DATA_CENTRES[vm % len(DATA_CENTRES)]
        state = a_peer_state(f"vm-{vm}", number=number, data_centre=data_centre)
        assert peers.apply_state(state)


def a_holder(
    transport: RecordingTransport, peers: PeerTable, *, vms: int = VMS
) -> PlacementCoordinator:
    """Return a coordinator whose link sends the state of a holder."""
    clock, rng = LoopClock(), random.Random(1)
    receive_states(peers, 1, vms=vms)
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
            residency_changes=tuple(coordinator.residency_changes.recent()),
        )

    coordinator.link = PeerLink(
        "10.0.0.1:7",
        peers,
        clock=clock,
        describe=describe,
        on_state=lambda _: None,
        on_adapter_request=coordinator.handle_adapter_request,
        data_centre=DATA_CENTRES[0],
    )
    coordinator.link.connection_made(cast(Any, transport))
    return coordinator


def test_model_changes_at_the_start_of_a_term_do_not_fill_the_holders_link() -> None:
    # If each loaded or unloaded model sends the holder's whole state to its
    # data centre at once, the start of a term fills the link. Store calls and
    # orders then time out, the holder loses the lease, and a new term begins,
    # every three seconds.
    async def run() -> None:
        transport, peers = RecordingTransport(), PeerTable("vm-0", clock=LoopClock())
        holder = a_holder(transport, peers)
        for number in range(int(MOVES_PER_S * MEASURED_S)):
            holder.residency_changes.record(f"i-{number}", f"m{number}", "", True)
            await asyncio.sleep(1 / MOVES_PER_S)
            receive_states(peers, number + 2)
        assert transport.sent_bytes * 8 / MEASURED_S < LINK_BITS / 4

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


def test_a_model_change_after_a_pause_is_sent_at_once() -> None:
    # Callers wait for a loaded model, and an engine rejects them once it
    # unloads one. Only changes that follow closely may be delayed.
    async def run() -> None:
        transport, peers = RecordingTransport(), PeerTable("vm-0", clock=LoopClock())
        holder = a_holder(transport, peers)
        for name in ("i-1", "i-2"):
            holder.residency_changes.record(name, "m1", "", True)
            assert transport.moved_servers[-1] == name
            await asyncio.sleep(MOVE_INTERVAL_LARGE_FLEET_S + 0.01)
            assert transport.moved_servers == []

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


def test_model_changes_in_quick_succession_are_sent_in_one_message() -> None:
    # No change may wait for the next periodic message.
    async def run() -> None:
        transport, peers = RecordingTransport(), PeerTable("vm-0", clock=LoopClock())
        holder = a_holder(transport, peers)
        holder.residency_changes.record("i-1", "m1", "", True)
        assert transport.moved_servers == ["i-1"]
        for name in ("i-2", "i-3"):
            holder.residency_changes.record(name, "m1", "", True)
            assert transport.moved_servers == []
        await asyncio.sleep(MOVE_INTERVAL_LARGE_FLEET_S + 0.01)
        assert transport.moved_servers == ["i-1", "i-2", "i-3"]

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


def test_each_model_change_is_sent_at_once_in_a_small_fleet() -> None:
    # If changes are batched needlessly, requests wait longer for a loaded
    # model or go to an engine that has unloaded it.
    async def run() -> None:
        transport, peers = RecordingTransport(), PeerTable("vm-0", clock=LoopClock())
        holder = a_holder(transport, peers, vms=2)
        for name in ("i-1", "i-2", "i-3"):
            holder.residency_changes.record(name, "m1", "", True)
            assert transport.moved_servers[-1] == name

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
