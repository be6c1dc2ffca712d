"""The other entry VMs and the latest state message of each."""

import random
from collections import OrderedDict, defaultdict
from dataclasses import dataclass
from typing import NamedTuple

from rosepath.clock import Clock
from rosepath.peer_messages import NO_COORDINATOR, PeerState
from rosepath.settings import split_address

# Interval between state messages. In a small fleet each entry VM sends them to
# all others. In a large fleet it sends them to the lease holder, which sends
# the totals to all, and to a few VMs chosen at random.
SMALL_FLEET_VMS = 24
STATE_INTERVAL_S = 0.15
LARGE_FLEET_INTERVAL_S = 0.8
SAMPLED_VMS = 4
# In a large fleet the holder's messages are forwarded only by VMs that sent
# one within this time. It is a little over one interval, so that few have
# failed.
FORWARDER_INACTIVITY_S = 1.0
# After so many intervals without a message, a VM's load is no longer counted
# and it is not considered the lease holder.
INACTIVITY_INTERVALS = 5.3
# Time without a message from a data centre after which it counts as cut off.
# Three datagrams in a row are rarely lost by chance. In a large fleet each VM
# receives about two messages per second from each data centre.
CUT_OFF_INTERVALS = 3.7
CUT_OFF_LARGE_FLEET_S = 3.0
# A VM counts as gone if it sends nothing for so long while others of its data
# centre do. Restarts take up to two seconds; suspended machines and congested
# links recover within five.
GONE_AFTER_S = 6.0
# After so long without a message from a VM, no messages are sent to it until
# it sends one again.
FORGET_AFTER_S = 30.0


@dataclass(slots=True, kw_only=True)
class Peer:
    """Another entry VM, its address and its latest state message."""

    name: str
    address: str
    state: PeerState | None = None
    last_message_s: float = -1e9
    address_noted_s: float = 0.0
    # As in the store; its messages take precedence.
    noted_data_centre: str = ""

    @property
    def data_centre(self) -> str:
        return self.state.data_centre if self.state else self.noted_data_centre


class Hop(NamedTuple):
    """A recipient of a message and the addresses to which it forwards it."""

    peer: Peer
    forward_to: tuple[str, ...] = ()


class PeerTable:
    """Own the known entry VMs, by name, and choose recipients of messages.

    Each received message looks up the lease holder and the inactive data
    centres. A scan of all peers for each would make the work of the fleet grow
    with the cube of its size, so the VMs that claim the lease, and the serving
    VMs of each data centre in order of their last message, are indexed as
    messages arrive.
    """

    def __init__(self, me: str, *, clock: Clock) -> None:
        self._me = me
        self._clock = clock
        self.peers: dict[str, Peer] = {}
        # Named by the lease in the store; it may not know of this VM yet.
        self.named_holder = ""
        # Named by the latest message of a VM that claims the placement lease.
        self.quota_coordinator = NO_COORDINATOR
        # VMs that are not stopping, by data centre, oldest message first.
        self._serving_peers: dict[str, OrderedDict[str, Peer]] = {}
        # VMs whose latest message claims the placement lease.
        self._lease_claimants: dict[str, Peer] = {}

    def note_address(self, name: str, address: str, data_centre: str = "") -> None:
        """Record the address of an entry VM, as read from the store."""
        if name == self._me:
            return
        peer = self.peers.get(name)
        if peer is None or (peer.address != address and not self._live(peer)):
            if peer is not None:
                self._unindex(peer)
            self.peers[name] = Peer(
                name=name,
                address=address,
                address_noted_s=self._clock.monotonic_s(),
                noted_data_centre=data_centre,
            )

    def apply_state(self, state: PeerState) -> bool:
        """Apply a state message; return False if a newer one was applied."""
        if state.entry_vm == self._me:
            return False
        peer = self.peers.get(state.entry_vm)
        if peer is None:
            peer = Peer(name=state.entry_vm, address=state.address)
            self.peers[state.entry_vm] = peer
        known = peer.state
        if known and known.start == state.start and state.number <= known.number:
            return False
        if state.coordinator.entry_vm:
            self.quota_coordinator = state.coordinator
        self._unindex(peer)
        peer.state = state
        peer.address = state.address
        peer.last_message_s = self._clock.monotonic_s()
        self._index(peer, state)
        return True

    def _index(self, peer: Peer, state: PeerState) -> None:
        """Add a VM to the indexes, as the latest of its data centre."""
        if not state.stopping:
            serving = self._serving_peers.setdefault(state.data_centre, OrderedDict())
            serving[peer.name] = peer
        if state.term > 0:
            self._lease_claimants[peer.name] = peer

    def _unindex(self, peer: Peer) -> None:
        """Remove a VM from the indexes."""
        self._lease_claimants.pop(peer.name, None)
        if peer.state is not None:
            serving = self._serving_peers.get(peer.state.data_centre)
            if serving is not None:
                serving.pop(peer.name, None)
            if not serving:
                self._serving_peers.pop(peer.state.data_centre, None)

    def is_peer_ip(self, ip: str) -> bool:
        """Return whether an IP address is that of a known entry VM."""
        return any(split_address(peer.address)[0] == ip for peer in self.peers.values())

    def live(self) -> list[Peer]:
        """Return the VMs that sent a message recently, in a stable order.

        If the order followed the messages, floating-point sums over the VMs
        would vary in their last bits, and plans that compare equal
        alternatives would alternate between them.
        """
        return [peer for peer in self.peers.values() if self._live(peer)]

    def members(self) -> dict[str, list[str]]:
        """Return the other VMs by data centre, as all VMs roughly know them.

        In a large fleet a VM rarely hears each of the others, so all known ones
        count; in a small one, those that did not fall silent for good.
        """
        found: dict[str, list[str]] = defaultdict(list)
        for peer in self.peers.values() if self.large_fleet else self._recipients():
            if not (peer.state and peer.state.stopping):
                found[peer.data_centre].append(peer.name)
        return dict(found)

    @property
    def large_fleet(self) -> bool:
        """Return whether the fleet is too large for all-to-all messages."""
        return len(self.peers) + 1 > SMALL_FLEET_VMS

    def state_recipients(self, *, holding: bool, rng: random.Random) -> list[Peer]:
        """Return the VMs to which this VM's next state message is sent."""
        known = self._recipients()
        if holding or not self.large_fleet:
            return known
        holder = self.holder() or self.peers.get(self.named_holder)
        chosen = rng.sample(known, min(len(known), SAMPLED_VMS))
        return chosen if holder is None or holder in chosen else [holder, *chosen]

    def hops(self, own: str, *, rng: random.Random) -> list[Hop]:
        """Return how the holder's message reaches all VMs of a large fleet.

        Messages sent to 200 VMs one by one exceed the capacity of a slow link
        several times over and arrive too late to be used. Instead, one VM of
        each other data centre forwards the message to the rest there. It is
        chosen anew for each message, so that a failed or slow VM costs its
        data centre only one message.
        """
        recipients = self._recipients()
        hops: list[Hop] = []
        others: dict[str, list[Peer]] = {}
        for peer in recipients:
            if peer.state is None or peer.state.data_centre == own:
                hops.append(Hop(peer))
            else:
                others.setdefault(peer.state.data_centre, []).append(peer)
        limit_s = self._clock.monotonic_s() - FORWARDER_INACTIVITY_S
        for peers in others.values():
            forwarders = [
                peer
                for peer in peers
                if peer.last_message_s > limit_s
                and peer.state
                and not peer.state.stopping
            ]
            if not forwarders:
                hops += map(Hop, peers)
                continue
            first = rng.choice(forwarders)
            forward_to = tuple(peer.address for peer in peers if peer is not first)
            hops.append(Hop(first, forward_to))
        return hops

    def holder(self) -> Peer | None:
        """Return the live VM that claims the lease with the highest term."""
        return max(
            (peer for peer in self._lease_claimants.values() if self._live(peer)),
            key=lambda peer: peer.state.term if peer.state else 0,
            default=None,
        )

    def last_holder_message(self) -> tuple[str, int]:
        """Return the start and number of the holder's last message."""
        holder = self.holder()
        if holder is None or holder.state is None:
            return "", 0
        return holder.state.start, holder.state.number

    def required_ackers(self) -> list[str]:
        """Return the VMs that might acquire the lease.

        VMs that are stopping are left out, and so are VMs that have sent
        nothing for `GONE_AFTER_S` while others of their data centre have. If a
        whole data centre is inactive it may be partitioned, and its VMs may
        still be running.
        """
        gone_s = self._clock.monotonic_s() - GONE_AFTER_S
        active = {peer.state.data_centre for peer in self.live() if peer.state}
        return [
            peer.name
            for peer in self._recipients()
            if peer.state is None
            or not (
                peer.state.stopping
                or (peer.last_message_s < gone_s and peer.state.data_centre in active)
            )
        ]

    @property
    def holder_message_at_s(self) -> float:
        """Return when a VM that claims the lease last sent a message."""
        times_s = (peer.last_message_s for peer in self._lease_claimants.values())
        return max(times_s, default=-1e9)

    def cut_off(self, own: str) -> set[str]:
        """Return the data centres from which no messages arrive any more.

        If all VMs of a data centre that sent messages before stop at once, a
        partition is more likely than the failure of every VM there.
        """
        now_s = self._clock.monotonic_s()
        after_s = CUT_OFF_LARGE_FLEET_S
        if not self.large_fleet:
            after_s = CUT_OFF_INTERVALS * STATE_INTERVAL_S
        return {
            name
            for name, last_s in self._last_message_by_data_centre().items()
            if name != own and after_s < now_s - last_s < FORGET_AFTER_S
        }

    def data_centres(self, own: str) -> set[str]:
        """Return the other data centres that sent messages recently."""
        limit_s = self._clock.monotonic_s() - FORGET_AFTER_S
        return {
            name
            for name, last_s in self._last_message_by_data_centre().items()
            if name != own and last_s > limit_s
        }

    def _last_message_by_data_centre(self) -> dict[str, float]:
        """Return the time of the last message from each data centre."""
        return {
            name: next(reversed(serving.values())).last_message_s
            for name, serving in self._serving_peers.items()
        }

    @property
    def interval_s(self) -> float:
        """Return the interval between state messages of each VM."""
        return LARGE_FLEET_INTERVAL_S if self.large_fleet else STATE_INTERVAL_S

    def _recipients(self) -> list[Peer]:
        limit_s = self._clock.monotonic_s() - FORGET_AFTER_S
        return [
            peer
            for peer in self.peers.values()
            if max(peer.last_message_s, peer.address_noted_s) > limit_s
        ]

    @property
    def _inactivity_timeout_s(self) -> float:
        return INACTIVITY_INTERVALS * self.interval_s

    def _live(self, peer: Peer) -> bool:
        return (
            peer.last_message_s > self._clock.monotonic_s() - self._inactivity_timeout_s
        )
