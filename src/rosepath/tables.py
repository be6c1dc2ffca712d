"""The tables of a node: plain rows that the systems read and write."""

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

MOVES_KEPT = 500


class MemberState(IntEnum):
    """Order the states of a member within one incarnation."""

    ALIVE = 0
    LEAVING = 1
    DEAD = 2


@dataclass(slots=True, kw_only=True)
class EntryVm:
    """Hold what is known of one entry VM."""

    name: str
    data_centre: str
    address: str
    incarnation: int
    state: MemberState
    configuration_version: int = 0


@dataclass(slots=True, kw_only=True)
class Replica:
    """Hold what is known of one backend server.

    `reported_at_s` is the local monotonic time at which the report was true,
    `known_since_s` the one at which the row was made;
    `own_starts` are the local times of this node's requests still running.
    """

    name: str
    data_centre: str = ""
    address: str = ""
    service: str = ""
    slots: int = 1
    running: int = 0
    queued: int = 0
    memory_bytes: int = 0
    resident: frozenset[str] = frozenset()
    running_by_target: dict[str, int] = field(default_factory=dict)
    reported_at_s: float | None = None
    known_since_s: float = 0.0
    reachable: bool = True
    leaving: bool = False
    draining: bool = False
    own_starts: dict[str, float] = field(default_factory=dict)
    hold_s: float = 0.5
    suspect_until_s: float = 0.0
    failures: int = 0

    @property
    def own_in_flight(self) -> int:
        return len(self.own_starts)

    def load(self) -> int:
        """Return running and queued requests, own newer ones included."""
        if self.reported_at_s is None:
            return self.own_in_flight
        reported_at_s = self.reported_at_s
        newer = sum(1 for at_s in self.own_starts.values() if at_s > reported_at_s)
        return self.running + self.queued + newer


class MoveAction(StrEnum):
    """Name what an order makes an engine do."""

    LOAD = "load"
    UNLOAD = "unload"


class MoveReason(StrEnum):
    """Say why a move is made."""

    FLOOR = "floor"
    ADAPTER = "adapter"
    DEMAND = "demand"
    ROOM = "room"
    UNDECLARED = "undeclared"
    DRAIN = "drain"


@dataclass(frozen=True, slots=True, kw_only=True)
class Move:
    """Load or unload one target on one backend server."""

    action: MoveAction
    target: str
    backend_server: str
    memory_bytes: int
    reason: MoveReason


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveRecord:
    """Tell when a move was made and how it ended."""

    at_s: float
    move: Move
    outcome: str


@dataclass(slots=True)
class Tables:
    """Hold every table of a node."""

    entry_vms: dict[str, EntryVm] = field(default_factory=dict)
    replicas: dict[str, Replica] = field(default_factory=dict)
    vm_leaving: set[str] = field(default_factory=set)
    moves: deque[MoveRecord] = field(default_factory=lambda: deque(maxlen=MOVES_KEPT))
    demand: dict[str, float] = field(default_factory=dict)
