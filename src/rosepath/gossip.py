"""Replicate small versioned rows between entry VMs, sending only missing rows.

Rows are last-writer-wins by version. Each VM exchanges frames with the
members at distances 1, 2, 4, ... along a ring, so that a VM keeps O(log n)
links and a change reaches the whole fleet in O(log n) hops.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

MAX_ROWS_PER_FRAME = 2000


class RowKind(IntEnum):
    """Name the subject of a row; the values are sent to peers."""

    MEMBER = 1
    LOAD = 2
    LEAVING = 3


class RowKey(NamedTuple):
    """Identify a row."""

    kind: RowKind
    name: str


class Row(NamedTuple):
    """Hold a row as it is sent between entry VMs."""

    key: RowKey
    version: int
    payload: bytes


class _Stored(NamedTuple):
    version: int
    payload: bytes
    sequence: int
    source: str


@dataclass(slots=True)
class Link:
    """Track what a neighbour has acknowledged.

    `next_send_s` is the earliest time at which a throttled load row may be
    sent to the neighbour again.
    """

    acked: int = 0
    epoch: int = 0
    sent_at_s: float = -1e9
    next_send_s: dict[RowKey, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Batch:
    """Hold rows to send and the sequence that a reply to them acknowledges."""

    rows: tuple[Row, ...]
    sequence: int


class GossipState:
    """Own the rows, in order of their last change, and the links."""

    def __init__(self) -> None:
        self._rows: OrderedDict[RowKey, _Stored] = OrderedDict()
        self.sequence = 0
        self.links: dict[str, Link] = {}

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def payload_bytes(self) -> int:
        """Return the total size of the stored payloads."""
        return sum(len(stored.payload) for stored in self._rows.values())

    def get(self, key: RowKey) -> Row | None:
        """Return a row."""
        stored = self._rows.get(key)
        return None if stored is None else Row(key, stored.version, stored.payload)

    def merge(self, row: Row, *, source: str = "") -> bool:
        """Store a row if newer than the stored one; return whether it was."""
        held = self._rows.get(row.key)
        if held is not None and held.version >= row.version:
            return False
        self.sequence += 1
        self._rows[row.key] = _Stored(row.version, row.payload, self.sequence, source)
        self._rows.move_to_end(row.key)
        return True

    def link(self, neighbour: str) -> Link:
        """Return the link to a neighbour, created on first use."""
        return self.links.setdefault(neighbour, Link())

    def batch_for(
        self, neighbour: str, *, now_s: float, load_interval_s: float = 0.0
    ) -> Batch:
        """Return the rows that a neighbour lacks, oldest first, for one frame.

        A load row is sent over a link at most once in `load_interval_s`; a
        throttled row is sent later, in its version at that time.
        """
        link = self.link(neighbour)
        rows: list[Row] = []
        due = [key for key, at_s in link.next_send_s.items() if at_s <= now_s]
        unacknowledged = self._newer_than(link.acked)
        for key in dict.fromkeys([*unacknowledged, *due]):
            stored = self._rows.get(key)
            if stored is None or stored.source == neighbour:
                link.next_send_s.pop(key, None)
                continue
            if self._is_throttled(link, key, now_s, load_interval_s):
                continue
            rows.append(Row(key, stored.version, stored.payload))
            if len(rows) >= MAX_ROWS_PER_FRAME:
                return Batch(tuple(rows), max(link.acked, stored.sequence))
        return Batch(tuple(rows), self.sequence)

    def _newer_than(self, acked: int) -> list[RowKey]:
        keys = []
        for key in reversed(self._rows):
            if self._rows[key].sequence <= acked:
                break
            keys.append(key)
        keys.reverse()
        return keys

    def _is_throttled(
        self, link: Link, key: RowKey, now_s: float, interval_s: float
    ) -> bool:
        if key.kind is not RowKind.LOAD or interval_s <= 0:
            return False
        if key in link.next_send_s and link.next_send_s[key] > now_s:
            return True
        if key not in link.next_send_s:
            link.next_send_s[key] = now_s + interval_s
            return False
        link.next_send_s[key] = now_s + interval_s
        return False

    def acknowledge(self, neighbour: str, sequence: int) -> None:
        """Record that a neighbour has every row up to a sequence."""
        link = self.link(neighbour)
        link.acked = max(link.acked, sequence)

    def note_epoch(self, neighbour: str, epoch: int) -> None:
        """Reset the link of a neighbour that restarted and lost its rows."""
        link = self.link(neighbour)
        if link.epoch != epoch:
            link.epoch = epoch
            link.acked = 0
            link.next_send_s.clear()


def finger_neighbours(me: str, ring: Sequence[str]) -> list[str]:
    """Return the members at distances 1, 2, 4, ... along a ring."""
    own_index = ring.index(me)
    neighbours: list[str] = []
    distance = 1
    while distance < len(ring):
        neighbours.append(ring[(own_index + distance) % len(ring)])
        distance *= 2
    return neighbours
