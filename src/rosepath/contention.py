"""What is learned of the requests that compete for the servers of a model."""

import math
from dataclasses import dataclass, field

from rosepath.assignment import Assignment, AssignmentRequest
from rosepath.room_prediction import RoomPrediction
from rosepath.server_pace import PRIOR_PREFILL_TOKENS_PER_S
from rosepath.service_floors import ServiceFloors
from rosepath.waiting_request import LineKey, WaitingRequest
from rosepath.workspace_fairness import WorkspaceUse, use_tokens

# Messages between entry VMs, and the steps of an engine, take about this long
# on top of the predicted service time.
MARGIN_S = 0.03
# Workspaces compete for a model's servers for so long after a request for it
# could no longer be in time. Else all can be served, in any order of workspaces.
CONTENTION_LASTS_S = 2.0
# The weight of one assignment in the learned service time.
SERVICE_LEARNING_RATE = 0.05
# The service time of shorter prompts is mostly that of other requests' steps.
MIN_LEARNED_TOKENS = 1_000


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
        if prompt is None or prompt.input_tokens < MIN_LEARNED_TOKENS:
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
