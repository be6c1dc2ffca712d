"""Choosing between direct connections to backend servers and tunnels."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from entry_builders import a_peer_state
from structlog.testing import capture_logs

from rosepath.clock import ManualClock
from rosepath.errors import ExchangeError, Step
from rosepath.http_exchange import Connection
from rosepath.peer_table import Peer, PeerTable
from rosepath.server_paths import (
    DIRECT_RETRY_S,
    DOWN_TTL_S,
    MAX_FORWARDERS,
    SLOW_TUNNEL_S,
    ServerPaths,
    choose_forwarders,
)

SERVER = "127.0.0.1:1"
TIMEOUT_S = 0.4


def a_peer(name: str, *, data_centre: str = "a", **fields: object) -> Peer:
    state = replace(a_peer_state(name, data_centre=data_centre), **fields)  # type: ignore[arg-type]
    return Peer(name=name, address=f"peer-{name}", state=state)


def choose(*peers: Peer, tunnels: dict[str, int] | None = None) -> list[str]:
    counts = tunnels or {}
    chosen = choose_forwarders(
        peers,
        data_centre="a",
        tunnels=lambda name: counts.get(name, 0),
        avoided=(),
        rng=random.Random(1),
    )
    return [peer.name for peer in chosen]


def test_forwarders_are_of_the_own_data_centre_first_and_then_of_another() -> None:
    local, remote = a_peer("l"), a_peer("r", data_centre="b")
    assert choose(remote, local) == ["l", "r"]


# Guards against tunnels through VMs that lost their links as well.
def test_partitioned_and_stopping_entry_vms_are_no_forwarders() -> None:
    cut, stopping = a_peer("cut", partitioned=True), a_peer("x", stopping=True)
    assert choose(cut, stopping, a_peer("ok", data_centre="b")) == ["ok"]


# Guards against one VM forwarding for all that are partitioned.
def test_the_forwarder_with_fewer_tunnels_is_tried_first() -> None:
    assert choose(a_peer("p"), a_peer("q"), tunnels={"p": 3})[0] == "q"


def test_only_some_forwarders_are_tried() -> None:
    assert len(choose(*(a_peer(f"p{n}") for n in range(9)))) <= MAX_FORWARDERS


def test_readings_of_messages_without_the_field_are_not_partitioned() -> None:
    assert not a_peer_state("vm-1").partitioned


Outcome = Callable[[], Awaitable[Connection]]


def fails(*, refused: bool = False, timed_out: bool = False) -> Outcome:
    async def dial() -> Connection:
        raise ExchangeError(
            "cannot connect",
            step=Step.CONNECT,
            peer=SERVER,
            sent=False,
            refused=refused,
            timed_out=timed_out,
        )

    return dial


def connects(*, tunnel: bool = False) -> Outcome:
    async def dial() -> Connection:
        connection = Connection()
        connection.single_use = tunnel
        return connection

    return dial


async def hangs() -> Connection:
    await asyncio.sleep(60.0)
    raise AssertionError


class Links:
    """Play the direct path to one server and the tunnels through each peer."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, direct: Outcome, **tunnels: Outcome
    ) -> None:
        self.clock = ManualClock()
        self.direct = direct
        self.tunnels = tunnels
        self.tried: list[str] = []
        self.peers = PeerTable("me", clock=self.clock)
        self.advance(0.0)
        monkeypatch.setattr("rosepath.server_paths.open_tunnel", self._open_tunnel)
        self.paths = ServerPaths(
            "a",
            clock=self.clock,
            dial=self._dial,
            peers=self.peers,
            rng=random.Random(1),
        )

    def advance(self, interval_s: float) -> None:
        """Advance the clock; the peers still send state messages."""
        self.clock.advance(interval_s)
        number = int(1000 * self.clock.monotonic_s()) + 1
        for name in self.tunnels:
            state = replace(a_peer_state(name, number=number), address=name)
            self.peers.apply_state(state)

    async def _dial(self, address: str, *, timeout_s: float) -> Connection:
        self.tried.append("direct")
        return await self.direct()

    async def _open_tunnel(
        self, forwarder: str, address: str, *, timeout_s: float
    ) -> Connection:
        self.tried.append(forwarder)
        return await self.tunnels[forwarder]()

    def connect(self) -> Connection:
        self.tried.clear()
        return asyncio.run(self.paths.dial(SERVER, timeout_s=TIMEOUT_S))

    def error(self) -> ExchangeError:
        with pytest.raises(ExchangeError) as caught:
            self.connect()
        return caught.value


def test_a_working_direct_path_asks_no_other_vm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = Links(monkeypatch, connects(), p=connects(tunnel=True))
    links.connect()
    assert links.tried == ["direct"]


@pytest.mark.parametrize("direct", [fails(refused=True), hangs])
def test_a_failed_direct_path_is_avoided_and_then_tried_again(
    monkeypatch: pytest.MonkeyPatch, direct: Outcome
) -> None:
    links = Links(monkeypatch, direct, p=connects(tunnel=True))
    assert links.connect().single_use
    assert links.connect().single_use
    assert links.tried == ["p"]
    assert not links.paths.has_direct_path(SERVER)
    links.advance(DIRECT_RETRY_S + 0.1)
    links.direct = connects()
    assert not links.connect().single_use
    assert links.paths.has_direct_path(SERVER)


# Guards against taking this VM's failed link for a crash of the server.
def test_a_server_that_one_vm_alone_cannot_reach_has_not_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for tunnel in (fails(), fails(timed_out=True)):
        links = Links(monkeypatch, fails(refused=True), p=tunnel)
        assert not links.error().refused


# Guards against a VM of its own that never learns of a crash.
def test_a_server_that_refused_all_vms_is_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    alone = Links(monkeypatch, fails(refused=True))
    assert alone.error().refused
    links = Links(monkeypatch, fails(refused=True), p=fails(refused=True))
    assert links.error().refused


# Guards against a question to other VMs for each retry at a crashed server.
def test_other_vms_are_asked_for_a_server_that_is_down_once_in_a_while(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = Links(monkeypatch, fails(refused=True), p=fails(refused=True))
    links.error()
    assert links.error().refused
    assert links.tried == ["direct"]
    links.advance(DOWN_TTL_S + 0.1)
    links.error()
    assert links.tried == ["direct", "p"]


def test_a_forwarder_that_failed_is_passed_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = Links(monkeypatch, fails(refused=True), p=fails(), q=connects(tunnel=True))
    while "p" not in links.tried:
        links.advance(DIRECT_RETRY_S + 0.1)
        links.connect()
    links.connect()
    assert links.tried == ["q"]


# Guards against tunnels that go on after the links are back, as each request
# that takes one puts the next look at the direct path off.
def test_steady_traffic_returns_to_the_direct_path(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = Links(monkeypatch, fails(refused=True), p=connects(tunnel=True))
    links.connect()
    links.direct = connects()
    for _ in range(4):
        links.advance(0.4 * DIRECT_RETRY_S)
        connection = links.connect()
    assert not connection.single_use


# Guards against a server that is not asked for at all once it went down while
# its direct path was avoided.
def test_a_server_that_goes_down_behind_a_failed_path_is_tried_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = Links(monkeypatch, fails(refused=True), p=connects(tunnel=True))
    links.connect()
    links.tunnels["p"] = fails(refused=True)
    assert links.error().refused
    links.direct = connects()
    assert not links.connect().single_use


# Guards against blaming the forwarder that was slow but worked.
def test_a_slow_forwarder_that_connects_first_is_not_passed_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def slow() -> Connection:
        await asyncio.sleep(1.5 * SLOW_TUNNEL_S)
        return await connects(tunnel=True)()

    links = Links(monkeypatch, fails(refused=True), p=slow, q=hangs)
    while links.tried[1:] != ["p", "q"]:
        links.advance(DIRECT_RETRY_S + 0.1)
        links.connect()
    links.connect()
    assert links.tried[0] == "p"


def path_events(links: Links) -> list[str]:
    """Connect and return the logged changes of paths."""
    with capture_logs() as logs:
        try:
            links.connect()
        except ExchangeError:
            pass
    return [line["event"] for line in logs]


# Guards against a log that tells of links that came back after a restart of
# their server.
def test_the_log_tells_when_the_direct_path_is_lost_and_works_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = Links(monkeypatch, fails(refused=True), p=fails(refused=True))
    assert path_events(links) == []
    links.direct = connects()
    assert path_events(links) == []
    links.direct, links.tunnels["p"] = fails(refused=True), connects(tunnel=True)
    assert path_events(links) == ["server_path_lost"]
    links.advance(DIRECT_RETRY_S + 0.1)
    assert path_events(links) == []
    links.advance(DIRECT_RETRY_S + 0.1)
    links.direct = connects()
    assert path_events(links) == ["server_path_direct"]
