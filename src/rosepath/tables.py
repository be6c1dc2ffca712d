"""Define the in-memory tables of an entry VM and their rows."""

import math
from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

MAX_MOVE_RECORDS = 500
OTHER_LOAD_SMOOTHING_S = 2.8
OTHER_LOAD_MAX_WEIGHT = 0.3


class MemberState(IntEnum):
    """Order a member's states; within one incarnation the higher one wins."""

    ALIVE = 0
    LEAVING = 1
    DEAD = 2


@dataclass(slots=True, kw_only=True)
class EntryVm:
    """Hold the known state of one entry VM."""

    name: str
    data_centre: str
    address: str
    incarnation: int
    state: MemberState
    configuration_version: int = 0


@dataclass(slots=True, kw_only=True)
class Replica:
    """Hold the known state of one backend server.

    Times are local and monotonic: `reported_at_s` is when the last report was
    true, `first_seen_s` when the row was created, and `own_start_times` the start
    times of this entry VM's requests in flight.
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
    first_seen_s: float = 0.0
    reachable: bool = True
    leaving: bool = False
    draining: bool = False
    own_start_times: dict[str, float] = field(default_factory=dict)
    mean_hold_s: float = 0.5
    suspect_until_s: float = 0.0
    # End of the backoff that the server requested when it rejected a call.
    backoff_until_s: float = 0.0
    failures: int = 0

    @property
    def own_in_flight(self) -> int:
        return len(self.own_start_times)

    def load(self) -> float:
        """Return own requests in flight plus the smoothed load of other VMs.

        The own count is exact and known to this entry VM only, so VMs that
        read the same report do not all choose the same replica. The reported
        load is outdated when it is read, so only its average is used.
        """
        return self.own_in_flight + self.other_vms_load

    def note_report(self, *, running: int, queued: int, at_s: float) -> None:
        """Apply a report that was true at local time `at_s`."""
        elapsed_s = at_s - (self.reported_at_s or -math.inf)
        weight = 1 - math.exp(-max(0.0, elapsed_s) / OTHER_LOAD_SMOOTHING_S)
        weight = min(weight, OTHER_LOAD_MAX_WEIGHT)
        self.running, self.queued, self.reported_at_s = running, queued, at_s
        others = max(0, running + queued - self.own_in_flight)
        self.other_vms_load += weight * (others - self.other_vms_load)


class MoveAction(StrEnum):
    """Enumerate the operations of an order to an engine."""

    LOAD = "load"
    UNLOAD = "unload"


class MoveReason(StrEnum):
    """Enumerate the reasons for a move."""

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
    """Record the time and outcome of a move."""

    at_s: float
    move: Move
    outcome: str


@dataclass(slots=True)
class Tables:
    """Own all tables of an entry VM."""

    entry_vms: dict[str, EntryVm] = field(default_factory=dict)
    replicas: dict[str, Replica] = field(default_factory=dict)
    leaving_vms: set[str] = field(default_factory=set)
    moves: deque[MoveRecord] = field(
        default_factory=lambda: deque(maxlen=MAX_MOVE_RECORDS)
    )
    demand: dict[str, float] = field(default_factory=dict)
