"""Entry VMs tell each other where streams begin, over a simulated network."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import pytest
from entry_builders import a_peer_state
from virtual_time import LoopClock, VirtualLoop, now_s

from rosepath.peer_messages import decode, encode
from rosepath.peer_table import PeerTable
from rosepath.stream_origin_exchange import (
    MAX_SENDS,
    RESEND_AFTER_S,
    TOLD_VMS,
    StreamOriginExchange,
    choose_asked,
    choose_told,
)
from rosepath.stream_origin_messages import (
    OriginMessage,
    OriginNotice,
    OriginQuery,
    OriginReply,
)
from rosepath.stream_origins import StreamOrigin, origin_key

ONE_WAY_S = 0.002
V1 = StreamOrigin(service="llm", software_version="v1")
V2 = StreamOrigin(service="llm", software_version="v2")
STREAMS = 100


@dataclass(slots=True)
class OriginFleet:
    """Own the VMs and the network between them."""

    data_centres: int
    lost_share: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    vms: dict[str, StreamOriginExchange] = field(default_factory=dict)
    # The side of a partition on which a VM is; messages stay on their side.
    sides: dict[str, int] = field(default_factory=dict)
    sent: Counter[str] = field(default_factory=Counter)
    sent_bytes: int = 0

    def data_centre(self, name: str) -> str:
        return "abcdef"[int(name.rpartition("-")[2]) % self.data_centres]

    def start(self, name: str, *, known: list[str]) -> None:
        """Start a VM, also in place of an earlier process of it."""
        peers = PeerTable(name, clock=LoopClock())
        for other in known:
            state = a_peer_state(other, data_centre=self.data_centre(other))
            peers.apply_state(replace(state, address=other))
        self.vms[name] = StreamOriginExchange(
            name,
            self.data_centre(name),
            name,
            clock=LoopClock(),
            peers=peers,
            send=lambda message, address: self.deliver(name, message, address),
        )

    def deliver(self, sender: str, message: OriginMessage, address: str) -> None:
        data = encode(message)
        self.sent[type(message).__name__] += 1
        self.sent_bytes += len(data)
        apart = self.sides.get(sender, 0) != self.sides.get(address, 0)
        if apart or self.rng.random() < self.lost_share:
            return
        asyncio.get_running_loop().call_later(ONE_WAY_S, self._receive, address, data)

    def _receive(self, address: str, data: bytes) -> None:
        message = decode(data)
        if address in self.vms and isinstance(message, OriginMessage):
            self.vms[address].handle(message)

    def begin(self, name: str) -> None:
        """Begin streams at a VM, by the two versions in turn."""
        for number in range(STREAMS):
            self.vms[name].note_began(f"q{number}", (V1, V2)[number % 2])

    async def found(self, name: str) -> list[StreamOrigin | None]:
        """Take all streams up at a VM."""
        find = self.vms[name].find
        return await asyncio.gather(*(find(f"q{number}") for number in range(STREAMS)))


EXPECTED = [(V1, V2)[number % 2] for number in range(STREAMS)]


def play(
    scenario: Callable[[OriginFleet], Awaitable[None]],
    *,
    vms: int = 7,
    data_centres: int = 4,
    lost_share: float = 0.0,
) -> OriginFleet:
    """Run a scenario in virtual time on a fleet whose VMs know each other."""
    fleet = OriginFleet(data_centres, lost_share)

    async def run() -> None:
        names = [f"vm-{number}" for number in range(vms)]
        for name in names:
            fleet.start(name, known=[other for other in names if other != name])
        await scenario(fleet)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
    return fleet


# Guards against an origin that only the VM knows at which the stream began.
@pytest.mark.parametrize("asker", ["vm-1", "vm-4"], ids=["elsewhere", "same place"])
def test_an_origin_is_found_after_its_vm_is_gone(asker: str) -> None:
    async def scenario(fleet: OriginFleet) -> None:
        fleet.begin("vm-0")
        await asyncio.sleep(0.01)
        del fleet.vms["vm-0"]
        assert await fleet.found(asker) == EXPECTED

    fleet = play(scenario)
    assert fleet.sent["OriginNotice"] == TOLD_VMS * STREAMS


# Guards against origins that are lost if VMs are killed two at a time.
@pytest.mark.parametrize("second", [f"vm-{number}" for number in range(1, 6)])
def test_an_origin_is_found_after_two_vms_are_gone(second: str) -> None:
    async def scenario(fleet: OriginFleet) -> None:
        fleet.begin("vm-0")
        await asyncio.sleep(0.01)
        for name in ("vm-0", second):
            del fleet.vms[name]
            fleet.start(name, known=[f"vm-{number}" for number in range(1, 7)])
        assert await fleet.found("vm-6") == EXPECTED

    play(scenario)


# Guards against guessing: what no VM knows is unknown, and that is known soon.
def test_an_origin_that_nobody_knows_is_unknown_at_once() -> None:
    async def scenario(fleet: OriginFleet) -> None:
        started_s = now_s()
        assert await fleet.vms["vm-1"].find("q0") is None
        assert now_s() - started_s == pytest.approx(2 * ONE_WAY_S)

    play(scenario)


# Guards against waiting for VMs that do not reply.
def test_an_unreachable_fleet_is_asked_for_a_short_time_only() -> None:
    async def scenario(fleet: OriginFleet) -> None:
        fleet.begin("vm-0")
        await asyncio.sleep(0.01)
        fleet.sides["vm-1"] = 1
        fleet.vms["vm-1"]._origins = type(fleet.vms["vm-1"]._origins)()
        started_s = now_s()
        assert await fleet.vms["vm-1"].find("q0") is None
        assert now_s() - started_s == pytest.approx(MAX_SENDS * RESEND_AFTER_S)

    play(scenario)


# Guards against a data centre that can't take up its own streams while cut off.
def test_a_data_centre_that_is_cut_off_finds_its_own_streams() -> None:
    async def scenario(fleet: OriginFleet) -> None:
        fleet.begin("vm-0")
        await asyncio.sleep(0.01)
        for name in fleet.vms:
            fleet.sides[name] = int(fleet.data_centre(name) == "a")
        del fleet.vms["vm-0"]
        for name in ("vm-3", "vm-6", "vm-9"):
            assert await fleet.found(name) == EXPECTED

    play(scenario, vms=12, data_centres=3)


def test_lost_datagrams_lose_few_origins() -> None:
    async def scenario(fleet: OriginFleet) -> None:
        fleet.begin("vm-0")
        await asyncio.sleep(0.01)
        del fleet.vms["vm-0"]
        found = await fleet.found("vm-6")
        assert sum(origin is not None for origin in found) > 0.99 * STREAMS
        assert all(a in (None, b) for a, b in zip(found, EXPECTED, strict=True))

    play(scenario, vms=91, lost_share=0.05)


# Guards against a reply to a query of this VM's earlier process.
def test_a_late_reply_to_an_earlier_process_is_ignored() -> None:
    async def scenario(fleet: OriginFleet) -> None:
        seen: list[str] = []
        peers = PeerTable("vm-0", clock=LoopClock())
        peers.note_address("vm-1", "vm-1")

        def send(message: OriginMessage, _: str) -> None:
            if isinstance(message, OriginQuery):
                seen.append(message.query_id)

        for _ in range(2):
            exchange = StreamOriginExchange(
                "vm-0", "a", "vm-0", clock=LoopClock(), peers=peers, send=send
            )
            finding = asyncio.ensure_future(exchange.find("q0"))
            await asyncio.sleep(0.0)
            late = OriginReply(query_id=seen[0], entry_vm="vm-1", origin=V1)
            if len(seen) > 1:
                exchange.handle(late)
                assert await finding is None

    play(scenario)


def test_the_vms_that_are_told_are_in_different_data_centres() -> None:
    members = {place: [f"{place}{number}" for number in range(10)] for place in "abc"}
    for number in range(20):
        key = origin_key(str(number))
        chosen = choose_told(key, members, own="b")
        assert [name[0] for name in chosen] in (["b", "a", "c"], ["b", "c", "a"])
        more = choose_told(key, members, own="b", count=2 * TOLD_VMS)
        assert more[:TOLD_VMS] == chosen
        assert len(set(more)) == 2 * TOLD_VMS


# Guards against VMs of different data centres that choose no VM in common.
def test_vms_of_all_data_centres_ask_one_that_was_told() -> None:
    members = {place: [f"{place}{n}" for n in range(5)] for place in "abcdefgh"}
    for number in range(50):
        key = origin_key(str(number))
        told = choose_told(key, members, own="a")
        for place in members:
            asked = choose_asked(key, members, own=place)
            assert set(told[1:]) <= set(asked)


def test_messages_are_decoded_as_they_were_sent() -> None:
    messages: list[OriginMessage] = [
        OriginNotice(key="k", origin=V1),
        OriginQuery(query_id="1", key="k", reply_to="127.0.0.1:9"),
        OriginReply(query_id="1", entry_vm="vm-1", origin=V2),
        OriginReply(query_id="1", entry_vm="vm-1", origin=None),
    ]
    assert [decode(encode(message)) for message in messages] == messages


# Guards against a data centre that is cut off and whose VMs choose the one that is
# gone: it was not there to tell itself.
def test_vms_of_one_data_centre_ask_one_that_was_told() -> None:
    names = [f"a{number}" for number in range(5)]
    elsewhere = {place: [f"{place}{n}" for n in range(5)] for place in "bcde"}
    for number in range(50):
        key, first = origin_key(str(number)), names[number % 5]
        left = [name for name in names if name != first]
        told = choose_told(key, {"a": left, **elsewhere}, own="a")
        for asker in left:
            others = [name for name in names if name != asker]
            asked = choose_asked(key, {"a": others, **elsewhere}, own="a")
            assert told[0] in {asker, *asked}
