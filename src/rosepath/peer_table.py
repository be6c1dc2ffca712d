"""The other entry VMs, as their datagrams tell."""

import random
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from rosepath.clock import Clock
from rosepath.peer_messages import PeerState

# A VM tells its state this often: to all others where they are few; where they
# are many, to the holder, who tells all of them the sum, and to a few others.
FEW_VMS = 24
STATE_INTERVAL_S = 0.15
CROWDED_INTERVAL_S = 0.8
SAMPLED_VMS = 4
# A holder in a crowd has its word forwarded in a data centre by a VM there that
# spoke this lately: a little over one interval, so that few of them are dead.
FORWARDER_HEARD_S = 1.0
# After so many intervals without a datagram, a VM's load is no longer counted
# and it is nobody's holder.
SILENT_INTERVALS = 5.3
# Three datagrams in a row are seldom lost by chance; in a crowd, a VM hears some
# two a second from each data centre.
CUT_OFF_INTERVALS = 3.7
CUT_OFF_CROWDED_S = 3.0
# A VM that alone of its data centre is silent for so long is gone: restarts are
# over in two seconds, and machines wake or slow links clear within five.
GONE_AFTER_S = 6.0
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


class Hop(NamedTuple):
    """Name a VM that is sent a word, and the addresses to which it forwards it."""

    peer: Peer
    forward_to: tuple[str, ...] = ()


class PeerTable:
    """Hold every other entry VM by name.

    Each datagram asks who holds the lease and who is silent. Were all VMs looked
    through for that, the work of a fleet would grow with the cube of its size:
    who claims the lease, and who serves in each data centre in the order in which
    they were heard, is noted as each word comes.
    """

    def __init__(self, me: str, *, clock: Clock) -> None:
        self._me = me
        self._clock = clock
        self.peers: dict[str, Peer] = {}
        # Whom the lease names, who may not have heard of this VM yet.
        self.named_holder = ""
        # Those that don't stop, by data centre, the longest silent first.
        self._serving: dict[str, OrderedDict[str, Peer]] = {}
        # Who said last that it holds the lease.
        self._claiming: dict[str, Peer] = {}

    def learn(self, name: str, address: str) -> None:
        """Note where a VM says it is, read from the store."""
        if name == self._me:
            return
        peer = self.peers.get(name)
        if peer is None or (peer.address != address and not self._live(peer)):
            if peer is not None:
                self._forget(peer)
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
        self._forget(peer)
        peer.state = state
        peer.address = state.address
        peer.heard_s = self._clock.monotonic_s()
        self._remember(peer, state)
        return True

    def _remember(self, peer: Peer, state: PeerState) -> None:
        """Note what a VM's latest word makes true, behind all earlier words."""
        if not state.stopping:
            serving = self._serving.setdefault(state.data_centre, OrderedDict())
            serving[peer.name] = peer
        if state.term > 0:
            self._claiming[peer.name] = peer

    def _forget(self, peer: Peer) -> None:
        """Take back what the word before made true."""
        self._claiming.pop(peer.name, None)
        if peer.state is not None:
            serving = self._serving.get(peer.state.data_centre)
            if serving is not None:
                serving.pop(peer.name, None)
            if not serving:
                self._serving.pop(peer.state.data_centre, None)

    def live(self) -> list[Peer]:
        """Return the VMs that spoke lately, always in the same order.

        In the order heard, sums of what they tell would differ in their last bits
        from one to the next, and plans that weigh like with like would waver.
        """
        return [peer for peer in self.peers.values() if self._live(peer)]

    @property
    def crowded(self) -> bool:
        """Tell whether there are too many VMs for each to tell all others."""
        return len(self.peers) + 1 > FEW_VMS

    def told(self, *, holding: bool, rng: random.Random) -> list[Peer]:
        """Return the VMs that are told this VM's state now."""
        known = self._remembered()
        if holding or not self.crowded:
            return known
        holder = self.holder() or self.peers.get(self.named_holder)
        chosen = rng.sample(known, min(len(known), SAMPLED_VMS))
        return chosen if holder is None or holder in chosen else [holder, *chosen]

    def hops(self, own: str, *, rng: random.Random) -> list[Hop]:
        """Return by which hops a holder in a crowd tells all others.

        Told one by one, 200 VMs fill a slow holder's link several times over, and
        nobody hears words that are young enough to go by. So one VM of each other
        data centre forwards it to the rest there, another one with each word: one
        that is dead or slow then costs its data centre a single word.
        """
        remembered = self._remembered()
        hops: list[Hop] = []
        others: dict[str, list[Peer]] = {}
        for peer in remembered:
            if peer.state is None or peer.state.data_centre == own:
                hops.append(Hop(peer))
            else:
                others.setdefault(peer.state.data_centre, []).append(peer)
        heard_s = self._clock.monotonic_s() - FORWARDER_HEARD_S
        for peers in others.values():
            able = [
                peer
                for peer in peers
                if peer.heard_s > heard_s and peer.state and not peer.state.stopping
            ]
            if not able:
                hops += map(Hop, peers)
                continue
            first = rng.choice(able)
            forward_to = tuple(peer.address for peer in peers if peer is not first)
            hops.append(Hop(first, forward_to))
        return hops

    def holder(self) -> Peer | None:
        """Return the VM that says it holds the lease, by the latest term."""
        return max(
            (peer for peer in self._claiming.values() if self._live(peer)),
            key=lambda peer: peer.state.term if peer.state else 0,
            default=None,
        )

    def heard_holder(self) -> tuple[str, int]:
        """Return the start and the number of the holder's last word heard."""
        holder = self.holder()
        if holder is None or holder.state is None:
            return "", 0
        return holder.state.start, holder.state.number

    def backers(self) -> list[str]:
        """Return the VMs that might take a lease over.

        Not those that are stopping, nor one that has been silent for long while
        others of its data centre are heard: it is gone. All of a data centre
        silent may be a partition, behind which they live.
        """
        gone_s = self._clock.monotonic_s() - GONE_AFTER_S
        heard = {peer.state.data_centre for peer in self.live() if peer.state}
        return [
            peer.name
            for peer in self._remembered()
            if peer.state is None
            or not (
                peer.state.stopping
                or (peer.heard_s < gone_s and peer.state.data_centre in heard)
            )
        ]

    @property
    def holder_heard_s(self) -> float:
        """Return when a VM last spoke that says it holds the lease."""
        heard_s = (peer.heard_s for peer in self._claiming.values())
        return max(heard_s, default=-1e9)

    def cut_off(self, own: str) -> set[str]:
        """Return the data centres from which no VM has spoken lately.

        All of them silent at once, and known to have spoken before, means a
        partition more often than a loss of every VM there.
        """
        now_s = self._clock.monotonic_s()
        after_s = CUT_OFF_CROWDED_S
        if not self.crowded:
            after_s = CUT_OFF_INTERVALS * STATE_INTERVAL_S
        return {
            name
            for name, last_s in self._last_heard_s().items()
            if name != own and after_s < now_s - last_s < FORGET_AFTER_S
        }

    def data_centres(self, own: str) -> set[str]:
        """Return the other data centres from which a VM has spoken."""
        limit_s = self._clock.monotonic_s() - FORGET_AFTER_S
        return {
            name
            for name, last_s in self._last_heard_s().items()
            if name != own and last_s > limit_s
        }

    def _last_heard_s(self) -> dict[str, float]:
        """Return when a VM last spoke that serves, by data centre."""
        return {
            name: next(reversed(serving.values())).heard_s
            for name, serving in self._serving.items()
        }

    @property
    def interval_s(self) -> float:
        """Return how often each VM tells its state."""
        return CROWDED_INTERVAL_S if self.crowded else STATE_INTERVAL_S

    def _remembered(self) -> list[Peer]:
        limit_s = self._clock.monotonic_s() - FORGET_AFTER_S
        return [
            peer
            for peer in self.peers.values()
            if max(peer.heard_s, peer.known_s) > limit_s
        ]

    @property
    def _silent_s(self) -> float:
        return SILENT_INTERVALS * self.interval_s

    def _live(self, peer: Peer) -> bool:
        return peer.heard_s > self._clock.monotonic_s() - self._silent_s
