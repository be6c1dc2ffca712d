"""The requests that wait for the same servers, and which of them is next."""

import heapq
import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

from rosepath.assignment import Assignment, AssignmentRequest
from rosepath.room_prediction import RoomPrediction
from rosepath.server_pace import PRIOR_PREFILL_TOKENS_PER_S
from rosepath.service_floors import ServiceFloors
from rosepath.workspace_fairness import WorkspaceUse, use_tokens

# Messages between entry VMs, and the steps of an engine, take about this long
# on top of the predicted service time.
MARGIN_S = 0.03
# A request of the next lower rank counts as due so much later: it gives way to
# those of the same urgency, and never waits behind all of them.
RANK_DELAY_S = 0.2
# Lower ranks are treated alike.
MAX_RANK = 3
# Workspaces compete for a model's servers for so long after a request for it
# could no longer be in time. Else all can be served, in any order of workspaces.
CONTENTION_LASTS_S = 2.0
# Prompts of these sizes and more are told apart: a server without room for a
# long prompt may have room for a short one.
SIZE_BOUNDS_TOKENS = (1_000, 4_000)
# Removed requests that a line's heaps may hold beside as many as wait.
MAX_REMOVED_KEPT = 100
# The weight of one assignment in the learned service time.
SERVICE_LEARNING_RATE = 0.05


class LineKey(NamedTuple):
    """Identify the servers that requests wait for; no model if they need none."""

    service: str
    model: str


class Kind(NamedTuple):
    """Identify requests that are served alike: by rank and size of prompt."""

    rank: int
    size: int


class OrderKey(NamedTuple):
    """Order waiting requests; the least is next.

    The kinds and models that are owed service come first, then the requests
    that can be in time, then the workspaces within their share. Kinds of
    workspaces beyond their share are owed service only among each other.
    """

    not_owed: int
    late: bool
    beyond_share: bool
    not_owed_beyond: bool
    urgency_s: float
    number: int


@dataclass(slots=True, kw_only=True)
class WaitingRequest:
    """Hold a waiting request and the times that order it.

    Assigned after `in_time_until_s` it is late; after `useful_until_s` its
    caller leaves before the first event.
    """

    request: AssignmentRequest
    number: int
    kind: Kind
    in_time_until_s: float
    useful_until_s: float
    waits: bool = True
    late: bool = False
    # Whether its kind, and its model, were owed service when it was last next.
    kind_owed: bool = False
    line_owed: bool = False

    @property
    def urgency_s(self) -> float:
        """Return by when it is due, later for lower ranks.

        Among requests that can be in time, ordering by slack would prefer long
        prompts, each of which makes several short ones late.
        """
        limit_s = self.useful_until_s if self.late else self.request.due_s
        return limit_s + self.kind.rank * RANK_DELAY_S


@dataclass(slots=True, kw_only=True)
class Contention:
    """Own what is learned of the requests that compete for a model's servers."""

    key: LineKey
    # Of the models of a service, by line.
    line_floors: ServiceFloors
    kind_floors: ServiceFloors = field(default_factory=ServiceFloors)
    # The same among the requests of workspaces beyond their share.
    beyond_floors: ServiceFloors = field(default_factory=ServiceFloors)
    use: WorkspaceUse = field(default_factory=WorkspaceUse)
    room: RoomPrediction = field(default_factory=RoomPrediction)
    # Of those assigned late: they only get what the others leave.
    late_room: RoomPrediction = field(default_factory=RoomPrediction)
    # Counts what may change the order of the requests.
    changes: int = 0
    _missed_s: float = -math.inf
    _token_s: float = 1 / PRIOR_PREFILL_TOKENS_PER_S

    def beyond_share(self, workspace: str, *, now_s: float) -> bool:
        """Return whether a workspace gives way to others that were served less."""
        return now_s < self.competing_until_s and self.use.beyond_share(workspace)

    @property
    def competing_until_s(self) -> float:
        """Return until when workspaces compete, unless a request misses its time."""
        return self._missed_s + CONTENTION_LASTS_S

    def service_s(self, request: AssignmentRequest) -> float:
        """Return the predicted time from assignment to the first event."""
        tokens = request.prompt.input_tokens if request.prompt else 0
        return MARGIN_S + tokens * self._token_s

    def note_assigned(
        self,
        waiting: WaitingRequest,
        assignment: Assignment,
        *,
        left_waiting: int,
        now_s: float,
    ) -> None:
        """Learn from an assignment, and count it for the order of the next."""
        request = assignment.request
        self.changes += 1
        self._learn_service_time(assignment)
        self.room.note_assigned(left_waiting=left_waiting, now_s=now_s)
        if waiting.late or not left_waiting:
            self.late_room.note_assigned(left_waiting=left_waiting, now_s=now_s)
        self.note_outcome(waiting, served=True, now_s=now_s)
        if self.beyond_share(request.workspace, now_s=now_s):
            self.beyond_floors.note_turn(was_owed=waiting.kind_owed)
        else:
            self.kind_floors.note_turn(was_owed=waiting.kind_owed)
            self.line_floors.note_turn(was_owed=waiting.line_owed)
        self.use.note_served(request.workspace, use_tokens(assignment), now_s=now_s)

    def _learn_service_time(self, assignment: Assignment) -> None:
        prompt = assignment.request.prompt
        if prompt is None or prompt.input_tokens < SIZE_BOUNDS_TOKENS[0]:
            return
        token_s = assignment.first_event_s / prompt.input_tokens
        self._token_s += SERVICE_LEARNING_RATE * (token_s - self._token_s)

    def note_outcome(
        self, waiting: WaitingRequest, *, served: bool, now_s: float
    ) -> None:
        """Count a request as served, or as one that can't be in time now.

        A workspace beyond its share has no claim on the others' room, or one
        that sends too much would gain from what it isn't served.
        """
        self.changes += 1
        if not served:
            self._missed_s = now_s
        if self.beyond_share(waiting.request.workspace, now_s=now_s):
            self.beyond_floors.note(waiting.kind, served=served, now_s=now_s)
            return
        self.kind_floors.note(waiting.kind, served=served, now_s=now_s)
        self.line_floors.note(self.key, served=served, now_s=now_s)


def kind_of(request: AssignmentRequest) -> Kind:
    """Return the kind of a request."""
    tokens = request.prompt.input_tokens if request.prompt else 0
    size = sum(tokens >= bound for bound in SIZE_BOUNDS_TOKENS)
    return Kind(min(request.priority, MAX_RANK), size)


_Heap = list[tuple[float, int, WaitingRequest]]


@dataclass(slots=True, kw_only=True)
class _Flow:
    """Hold the requests of one kind and workspace, in order of urgency.

    Removed requests leave the heaps when they come to their front, or when
    there are many.
    """

    in_time: _Heap = field(default_factory=list)
    late: _Heap = field(default_factory=list)

    def push(self, waiting: WaitingRequest) -> None:
        heap = self.late if waiting.late else self.in_time
        heapq.heappush(heap, (waiting.urgency_s, waiting.number, waiting))

    def drop_removed(self) -> None:
        for heap in (self.in_time, self.late):
            heap[:] = [entry for entry in heap if entry[2].waits]
            heapq.heapify(heap)


class _Basis(NamedTuple):
    """Hold what the places of a line's first requests depend on, besides time."""

    changes: int
    line_owed: bool
    owed_kinds: frozenset[Hashable]
    owed_beyond_share: frozenset[Hashable]


class AssignmentLine:
    """Own the requests that wait for the same servers."""

    def __init__(self, contention: Contention) -> None:
        self.contention = contention
        self.waiting = 0
        # Since removed requests were last dropped from all heaps.
        self._removed = 0
        self._flows: dict[tuple[Kind, str], _Flow] = {}
        self._fronts: list[tuple[OrderKey, WaitingRequest]] = []
        self._fronts_basis: _Basis | None = None
        self._fronts_until_s = -math.inf

    def add(self, waiting: WaitingRequest) -> None:
        """Let a request wait."""
        workspace = waiting.request.workspace
        self._flows.setdefault((waiting.kind, workspace), _Flow()).push(waiting)
        self.waiting += 1
        self.contention.changes += 1
        self.contention.use.note_waiting(workspace, step=1)

    def remove(self, waiting: WaitingRequest) -> None:
        """Let a request wait no longer."""
        waiting.waits = False
        self.waiting -= 1
        self.contention.changes += 1
        self.contention.use.note_waiting(waiting.request.workspace, step=-1)
        self._removed += 1
        if self._removed > self.waiting + MAX_REMOVED_KEPT:
            self._removed = 0
            for flow in self._flows.values():
                flow.drop_removed()

    def fronts(
        self, *, line_owed: bool = False, now_s: float
    ) -> list[tuple[OrderKey, WaitingRequest]]:
        """Return the first request of each kind and workspace, the next one first."""
        basis = self._basis(line_owed=line_owed, now_s=now_s)
        if basis == self._fronts_basis and now_s < self._fronts_until_s:
            return self._fronts
        first_requests = self._first_requests(now_s=now_s)
        # Requests that became late since may have changed what is owed.
        basis = self._basis(line_owed=line_owed, now_s=now_s)
        fronts = sorted(
            (self._place(waiting, basis, now_s=now_s), waiting)
            for waiting in first_requests
        )
        self._keep(fronts, basis, now_s=now_s)
        return fronts

    def _basis(self, *, line_owed: bool, now_s: float) -> _Basis:
        contention = self.contention
        return _Basis(
            contention.changes,
            line_owed,
            contention.kind_floors.owed(now_s=now_s),
            contention.beyond_floors.owed(now_s=now_s),
        )

    def _first_requests(self, *, now_s: float) -> list[WaitingRequest]:
        """Return the first request of each flow, and drop empty flows."""
        first_requests = []
        for flow_key, flow in list(self._flows.items()):
            waiting = self._front(flow, now_s=now_s)
            if waiting is None:
                del self._flows[flow_key]
            else:
                first_requests.append(waiting)
        return first_requests

    def _place(
        self, waiting: WaitingRequest, basis: _Basis, *, now_s: float
    ) -> OrderKey:
        """Return a request's place, and record on what ground it has it."""
        workspace = waiting.request.workspace
        beyond_share = self.contention.beyond_share(workspace, now_s=now_s)
        owed_kinds = basis.owed_beyond_share if beyond_share else basis.owed_kinds
        waiting.kind_owed = waiting.kind in owed_kinds
        waiting.line_owed = basis.line_owed and not beyond_share
        owed_turns = waiting.line_owed + (waiting.kind_owed and not beyond_share)
        return OrderKey(
            not_owed=2 - owed_turns,
            late=waiting.late,
            beyond_share=beyond_share,
            not_owed_beyond=not (beyond_share and waiting.kind_owed),
            urgency_s=waiting.urgency_s,
            number=waiting.number,
        )

    def _keep(
        self,
        fronts: list[tuple[OrderKey, WaitingRequest]],
        basis: _Basis,
        *,
        now_s: float,
    ) -> None:
        """Keep the fronts until time changes them: most walks find no change."""
        self._fronts, self._fronts_basis = fronts, basis
        self._fronts_until_s = min(
            (waiting.in_time_until_s for _, waiting in fronts if not waiting.late),
            default=math.inf,
        )
        if now_s < self.contention.competing_until_s:
            self._fronts_until_s = min(
                self._fronts_until_s, self.contention.competing_until_s
            )

    def _front(self, flow: _Flow, *, now_s: float) -> WaitingRequest | None:
        """Return the first request of a flow, in time if there is any."""
        while flow.in_time:
            waiting = flow.in_time[0][2]
            if waiting.waits and waiting.in_time_until_s >= now_s:
                return waiting
            heapq.heappop(flow.in_time)
            if waiting.waits:
                waiting.late = True
                self.contention.note_outcome(waiting, served=False, now_s=now_s)
                flow.push(waiting)
        while flow.late:
            waiting = flow.late[0][2]
            if waiting.waits:
                return waiting
            heapq.heappop(flow.late)
        return None

    def in_order(self, *, now_s: float) -> list[WaitingRequest]:
        """Return all waiting requests in their order without regard to floors."""
        beyond_share = {
            workspace: self.contention.beyond_share(workspace, now_s=now_s)
            for _, workspace in self._flows
        }
        return sorted(
            (
                waiting
                for flow in self._flows.values()
                for heap in (flow.in_time, flow.late)
                for _, _, waiting in heap
                if waiting.waits
            ),
            key=lambda waiting: (
                waiting.in_time_until_s < now_s,
                beyond_share[waiting.request.workspace],
                waiting.urgency_s,
                waiting.number,
            ),
        )
