"""Gossip with other entry VMs: failure detection and shared rows."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from rosepath.clock import Clock
from rosepath.configuration import ConfigurationState
from rosepath.gossip import GossipState, Row, RowKey, RowKind, finger_neighbours
from rosepath.logs import get_logger
from rosepath.membership import (
    decode_member,
    encode_member,
    first_incarnation,
    inactive_members,
    member_version,
    reachable,
)
from rosepath.peer_channels import CALL_FAILURES, CALL_TIMEOUT_S, PeerChannels
from rosepath.proto.rosepath_pb2 import GossipFrame, GossipRow
from rosepath.settings import Settings
from rosepath.tables import EntryVm, MemberState, Tables

PROTOCOL = 1
REPROBE_INTERVAL_S = 2.0
MONITORED_NEIGHBOURS = 2
UNMONITORED_INTERVAL_FACTOR = 6.0
LOCAL_LOAD_INTERVAL_S = 1.0

_log = get_logger()


@dataclass(slots=True)
class PeerCounters:
    """Count the gossip traffic."""

    frames: int = 0
    rows_sent: int = 0
    rows_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    refused: int = 0


@dataclass(slots=True, kw_only=True)
class PeerPorts:
    """Hold the dependencies of the peer network."""

    settings: Settings
    tables: Tables
    configuration: ConfigurationState
    channels: PeerChannels
    fetch: Callable[[str], Coroutine[Any, Any, None]]
    clock: Clock
    on_row: Callable[[Row], None]


class PeerNetwork:
    """Own the gossip state and the time of the last frame from each peer.

    Run the exchanges with neighbours, declare peers dead that no longer send
    frames, and publish this VM's own member row.
    """

    def __init__(self, ports: PeerPorts, *, address: str) -> None:
        self.gossip = GossipState()
        self.counters = PeerCounters()
        self.epoch = random.getrandbits(63)
        self.last_received_s: dict[str, float] = {}
        self._ports = ports
        self._received_sequences: dict[str, int] = {}
        self._exchanging: set[str] = set()
        self._rows_changed = asyncio.Event()
        self.members_changed = asyncio.Event()
        self._reprobed_at_s = -1e9
        settings = ports.settings
        self.local_member = EntryVm(
            name=settings.entry_vm,
            data_centre=settings.data_centre,
            address=address,
            incarnation=first_incarnation(ports.clock.wall_s()),
            state=MemberState.ALIVE,
        )
        self.publish_local_member()

    # Rows

    def publish_local_member(self) -> None:
        """Publish this VM's own member row."""
        self.local_member.configuration_version = self._ports.configuration.head.version
        self._ports.tables.entry_vms[self.local_member.name] = self.local_member
        self._publish_member(self.local_member)

    def _publish_member(self, member: EntryVm) -> None:
        version = member_version(
            member.incarnation, member.state, member.configuration_version
        )
        key = RowKey(RowKind.MEMBER, member.name)
        self.publish(Row(key, version, encode_member(member)))

    def publish(self, row: Row) -> None:
        """Merge a row that this VM made, to be sent to the neighbours."""
        if self.gossip.merge(row) and row.key.kind is not RowKind.LOAD:
            self._rows_changed.set()

    def merge(self, row: Row, *, source: str) -> None:
        """Merge a row from a neighbour and apply it if it is newer."""
        if not self.gossip.merge(row, source=source):
            return
        self.counters.rows_received += 1
        if row.key.kind is RowKind.MEMBER:
            self._merge_member(row)
        else:
            self._ports.on_row(row)
        if row.key.kind is not RowKind.LOAD:
            self._rows_changed.set()

    def _merge_member(self, row: Row) -> None:
        member = decode_member(row.key.name, row.payload)
        if member is None:
            return
        if member.name == self.local_member.name:
            self._refute(member)
            return
        known = self._ports.tables.entry_vms.get(member.name)
        if known is None or known.state is not member.state:
            self.members_changed.set()
        self._ports.tables.entry_vms[member.name] = member
        if member.state is MemberState.DEAD:
            self.last_received_s.pop(member.name, None)
        else:
            self.last_received_s.setdefault(
                member.name, self._ports.clock.monotonic_s()
            )

    def _refute(self, received: EntryVm) -> None:
        """Override a received row about this VM with a newer incarnation."""
        self.local_member.incarnation = (
            max(self.local_member.incarnation, received.incarnation) + 1
        )
        self.publish_local_member()

    # Outgoing calls

    def neighbours(self) -> list[str]:
        """Return the members that this VM calls, nearest on the ring first.

        The ring is ordered by data centre, so that most links are local.
        """
        members = self._ports.tables.entry_vms
        names = {*reachable(members), self.local_member.name}
        ring = sorted(names, key=lambda name: (members[name].data_centre, name))
        return finger_neighbours(self.local_member.name, ring)

    async def run(self) -> None:
        """Exchange frames with neighbours until cancelled."""
        interval_s = self._ports.settings.peers.gossip_interval_s
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(interval_s * random.uniform(0.8, 1.2)):
                    await self._rows_changed.wait()
            urgent = self._rows_changed.is_set()
            self._rows_changed.clear()
            self._tick(urgent=urgent)
            # Batch changes that arrive together into one frame.
            await asyncio.sleep(0.02)

    def _tick(self, *, urgent: bool) -> None:
        now_s = self._ports.clock.monotonic_s()
        neighbours = self.neighbours()
        for position, name in enumerate(neighbours):
            if name not in self._exchanging and self._due(
                name, position, urgent, now_s
            ):
                self._exchanging.add(name)
                asyncio.ensure_future(self._exchange_with(name))
        self._detect_failures(neighbours, now_s)
        if now_s - self._reprobed_at_s > REPROBE_INTERVAL_S:
            self._reprobed_at_s = now_s
            self._reprobe()

    def _due(self, name: str, position: int, urgent: bool, now_s: float) -> bool:
        if urgent:
            return True
        link = self.gossip.link(name)
        settings = self._ports.settings.peers
        monitored = position < MONITORED_NEIGHBOURS
        interval_s = settings.heartbeat_interval_s * (
            1.0 if monitored else UNMONITORED_INTERVAL_FACTOR
        )
        if link.acked < self.gossip.sequence:
            # Only load rows are pending; every other change is sent at once.
            remote = self._is_remote(name)
            load_interval_s = (
                settings.remote_load_interval_s if remote else LOCAL_LOAD_INTERVAL_S
            )
            interval_s = min(interval_s, load_interval_s)
        return now_s - link.sent_at_s >= interval_s

    def _is_remote(self, name: str) -> bool:
        member = self._ports.tables.entry_vms.get(name)
        return (
            member is not None and member.data_centre != self.local_member.data_centre
        )

    def _detect_failures(self, neighbours: list[str], now_s: float) -> None:
        monitored = neighbours[:MONITORED_NEIGHBOURS]
        for name in inactive_members(
            monitored,
            self.last_received_s,
            now_s=now_s,
            suspect_after_s=self._ports.settings.peers.suspect_after_s,
        ):
            self._declare_dead(name, "silent")

    def _declare_dead(self, name: str, reason: str) -> None:
        member = self._ports.tables.entry_vms.get(name)
        if member is None or member.state is MemberState.DEAD:
            return
        _log.warning("entry_vm_dead", peer=name, reason=reason)
        member.state = MemberState.DEAD
        self.members_changed.set()
        self.last_received_s.pop(name, None)
        self._publish_member(member)

    def _reprobe(self) -> None:
        """Contact a dead member or unknown seed, so that partitions heal."""
        tables = self._ports.tables
        dead = [
            row.address
            for row in tables.entry_vms.values()
            if row.state is MemberState.DEAD
        ]
        known = {row.address for row in tables.entry_vms.values()}
        unknown = [a for a in self._ports.settings.seeds if a not in known]
        candidates = dead + unknown
        if candidates:
            address = random.choice(candidates)
            asyncio.ensure_future(self._exchange_at(address, ""))

    async def _exchange_with(self, name: str) -> None:
        try:
            member = self._ports.tables.entry_vms.get(name)
            if member is not None:
                await self._exchange_at(member.address, name)
        finally:
            self._exchanging.discard(name)

    async def _exchange_at(self, address: str, name: str) -> None:
        now_s = self._ports.clock.monotonic_s()
        frame, sequence = self._frame_for(name, now_s)
        if name:
            self.gossip.link(name).sent_at_s = now_s
        try:
            reply = await self._ports.channels.stub(address).Exchange(
                frame, timeout=CALL_TIMEOUT_S
            )
        except CALL_FAILURES as error:
            self._ports.channels.drop(address)
            if isinstance(error, ConnectionRefusedError) and name:
                self._declare_dead(name, "refused")
            return
        self.counters.bytes_sent += frame.ByteSize()
        self.counters.bytes_received += reply.ByteSize()
        if not self.accepts_frame(reply):
            return
        if name and reply.sender != name:
            return
        self._apply_frame(reply)
        if name:
            self.gossip.acknowledge(name, sequence)

    def _frame_for(self, name: str, now_s: float) -> tuple[GossipFrame, int]:
        settings = self._ports.settings
        frame = GossipFrame(
            protocol=PROTOCOL,
            deployment=settings.deployment,
            sender=self.local_member.name,
            sender_epoch=self.epoch,
            configuration_version=self._ports.configuration.head.version,
        )
        sequence = self.gossip.sequence
        if name:
            remote = self._is_remote(name)
            batch = self.gossip.batch_for(
                name,
                now_s=now_s,
                load_interval_s=settings.peers.remote_load_interval_s
                if remote
                else 0.0,
            )
            frame.rows.extend(_encode_row(row) for row in batch.rows)
            sequence = batch.sequence
            self.counters.rows_sent += len(batch.rows)
        else:
            own = self.gossip.get(RowKey(RowKind.MEMBER, self.local_member.name))
            if own is not None:
                frame.rows.append(_encode_row(own))
        frame.sequence = sequence
        frame.acked = self._received_sequences.get(name, 0)
        self.counters.frames += 1
        return frame, sequence

    def accepts_frame(self, frame: GossipFrame) -> bool:
        """Return whether a frame's protocol, deployment and sender match."""
        settings = self._ports.settings
        mismatch = ""
        if frame.protocol != PROTOCOL:
            mismatch = f"protocol {frame.protocol}"
        elif frame.deployment != settings.deployment:
            mismatch = f"deployment {frame.deployment!r}"
        elif not frame.sender or frame.sender == self.local_member.name:
            mismatch = f"sender {frame.sender!r}"
        if mismatch:
            self.counters.refused += 1
            _log.warning("peer_refused", peer=frame.sender, reason=mismatch)
        return not mismatch

    def _apply_frame(self, frame: GossipFrame) -> None:
        """Merge a frame's rows and record its sender's sequence.

        Fetch the configuration from the sender if it has a newer version.
        """
        self.gossip.note_epoch(frame.sender, frame.sender_epoch)
        self.last_received_s[frame.sender] = self._ports.clock.monotonic_s()
        for message in frame.rows:
            row = _decode_row(message)
            if row is not None:
                self.merge(row, source=frame.sender)
        self._received_sequences[frame.sender] = frame.sequence
        if frame.configuration_version > self._ports.configuration.head.version:
            asyncio.ensure_future(self._ports.fetch(frame.sender))

    async def leave(self) -> None:
        """Announce to the neighbours that this VM is leaving."""
        self.local_member.state = MemberState.LEAVING
        self.publish_local_member()
        await asyncio.gather(*(self._exchange_with(n) for n in self.neighbours()))

    # Incoming calls

    def handle_exchange(self, frame: GossipFrame) -> GossipFrame:
        """Merge a neighbour's frame and return the rows that it lacks."""
        self._apply_frame(frame)
        self.gossip.acknowledge(frame.sender, frame.acked)
        reply, _ = self._frame_for(frame.sender, self._ports.clock.monotonic_s())
        self.counters.bytes_received += frame.ByteSize()
        self.counters.bytes_sent += reply.ByteSize()
        return reply


def _encode_row(row: Row) -> GossipRow:
    return GossipRow(
        kind=int(row.key.kind),
        name=row.key.name,
        version=row.version,
        payload=row.payload,
    )


def _decode_row(message: GossipRow) -> Row | None:
    """Decode a row; return None for a kind unknown to this version."""
    try:
        kind = RowKind(message.kind)
    except ValueError:
        return None
    return Row(RowKey(kind, message.name), message.version, message.payload)
