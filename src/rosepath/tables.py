"""The tables of a node: plain rows that the systems read and write."""

import math
from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

MOVES_KEPT = 500
OTHERS_SMOOTHED_S = 2.8
OTHERS_MAX_WEIGHT = 0.3


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
    other_vms_load: float = 0.0
    known_since_s: float = 0.0
    reachable: bool = True
    leaving: bool = False
    draining: bool = False
    own_starts: dict[str, float] = field(default_factory=dict)
    mean_hold_s: float = 0.5
    suspect_until_s: float = 0.0
    # Until when it sheds the calls of this VM, as it said with a refusal.
    backoff_until_s: float = 0.0
    failures: int = 0

    @property
    def own_in_flight(self) -> int:
        return len(self.own_starts)

    def load(self) -> float:
        """Return own requests in flight plus what others have, smoothed.

        The own count is exact and known to no one else, so routers that read
        the same report don't all turn to the same replica; the reported part
        is old by the time it is read, and only its average means something.
        """
        return self.own_in_flight + self.other_vms_load

    def note_report(self, *, running: int, queued: int, at_s: float) -> None:
        """Take a report that was true at a local time."""
        elapsed_s = at_s - (self.reported_at_s or -math.inf)
        weight = 1 - math.exp(-max(0.0, elapsed_s) / OTHERS_SMOOTHED_S)
        weight = min(weight, OTHERS_MAX_WEIGHT)
        self.running, self.queued, self.reported_at_s = running, queued, at_s
        others = max(0, running + queued - self.own_in_flight)
        self.other_vms_load += weight * (others - self.other_vms_load)


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
    leaving_vms: set[str] = field(default_factory=set)
    moves: deque[MoveRecord] = field(default_factory=lambda: deque(maxlen=MOVES_KEPT))
    demand: dict[str, float] = field(default_factory=dict)
