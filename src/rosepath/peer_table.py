"""The other entry VMs, as their datagrams tell."""

from collections.abc import Iterable
from dataclasses import dataclass

from rosepath.clock import Clock
from rosepath.peer_messages import PeerState

# A VM tells its state this often, among few; with more VMs the interval grows
# in proportion, so that the datagrams a second of each stay the same.
STATE_INTERVAL_S = 0.15
VMS_AT_INTERVAL = 12
# After so many intervals without a datagram, a VM's load is no longer counted
# and it is nobody's holder.
SILENT_INTERVALS = 5.3
# Three datagrams in a row are seldom lost by chance.
CUT_OFF_AFTER_S = 0.55
# A VM that was silent for so long is no longer told anything, until it speaks.
FORGET_AFTER_S = 30.0


@dataclass(slots=True, kw_only=True)
class Peer:
    """Hold one other entry VM; `heard_s` is when it last spoke."""

    name: str
    address: str
    state: PeerState | None = None
    heard_s: float = -1e9
    known_s: float = 0.0


class PeerTable:
    """Hold every other entry VM by name."""

    def __init__(self, me: str, *, clock: Clock) -> None:
        self._me = me
        self._clock = clock
        self.peers: dict[str, Peer] = {}

    def learn(self, name: str, address: str) -> None:
        """Note where a VM says it is, read from the store."""
        if name == self._me:
            return
        peer = self.peers.get(name)
        if peer is None or (peer.address != address and not self._live(peer)):
            self.peers[name] = Peer(
                name=name, address=address, known_s=self._clock.monotonic_s()
            )

    def take(self, state: PeerState) -> bool:
        """Take in a datagram; False if it is older than what is known."""
        if state.entry_vm == self._me:
            return False
        peer = self.peers.get(state.entry_vm)
        if peer is None:
            peer = Peer(name=state.entry_vm, address=state.address)
            self.peers[state.entry_vm] = peer
        known = peer.state
        if known and known.start == state.start and state.number <= known.number:
            return False
        peer.state = state
        peer.address = state.address
        peer.heard_s = self._clock.monotonic_s()
        return True

    def live(self) -> list[Peer]:
        """Return the VMs that spoke lately."""
        return [peer for peer in self.peers.values() if self._live(peer)]

    def told(self) -> Iterable[Peer]:
        """Return the VMs that are told this VM's state."""
        limit_s = self._clock.monotonic_s() - FORGET_AFTER_S
        return [
            peer
            for peer in self.peers.values()
            if max(peer.heard_s, peer.known_s) > limit_s
        ]

    def holder(self) -> Peer | None:
        """Return the VM that says it holds the lease, by the latest term."""
        holders = [peer for peer in self.live() if peer.state and peer.state.term > 0]
        return max(
            holders, key=lambda peer: peer.state.term if peer.state else 0, default=None
        )

    def cut_off(self, own: str) -> set[str]:
        """Return the data centres from which no VM has spoken lately.

        All of them silent at once, and known to have spoken before, means a
        partition more often than a loss of every VM there.
        """
        now_s = self._clock.monotonic_s()
        heard_s: dict[str, float] = {}
        for peer in self.peers.values():
            state = peer.state
            if state is None or state.stopping or state.data_centre == own:
                continue
            last_s = heard_s.get(state.data_centre, -1e9)
            heard_s[state.data_centre] = max(last_s, peer.heard_s)
        return {
            name
            for name, last_s in heard_s.items()
            if CUT_OFF_AFTER_S < now_s - last_s < FORGET_AFTER_S
        }

    @property
    def interval_s(self) -> float:
        """Return how often each VM tells its state."""
        return STATE_INTERVAL_S * max(1.0, len(self.peers) / VMS_AT_INTERVAL)

    def _live(self, peer: Peer) -> bool:
        silent_s = SILENT_INTERVALS * self.interval_s
        return peer.heard_s > self._clock.monotonic_s() - silent_s
