"""Choose the server that a request is assigned to, or let it wait; no I/O."""

from collections.abc import Sequence
from dataclasses import dataclass

from rosepath.assignment import AssignmentRequest
from rosepath.fleet import BackendServer
from rosepath.server_work import ServerWork

# Prompts that an engine has not read yet wait at the scheduler, where more
# urgent ones overtake them, except for this long: enough for the next one to be
# there when the engine is done.
MAX_PREFILL_QUEUE_S = 0.1
# A request in another data centre takes a millisecond longer each way.
REMOTE_PENALTY_S = 0.002
# Each running stream delays the tokens of the others.
BATCH_PENALTY_S = 0.004


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """Describe a server that could run a request.

    `unread_tokens` are the prompt tokens that it has not cached; `adapter_s` is
    how long it takes to load the adapter, 0 if it is there.
    """

    server: BackendServer
    work: ServerWork
    unread_tokens: int = 0
    adapter_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerChoice:
    """Hold the chosen server and the predicted time to the first event."""

    candidate: Candidate
    first_event_s: float


def choose_candidate(
    request: AssignmentRequest, candidates: Sequence[Candidate], *, now_s: float
) -> ServerChoice | None:
    """Choose a server for a request; None if it waits for one with room."""
    best: ServerChoice | None = None
    best_cost_s = 0.0
    for candidate in candidates:
        if not has_room(candidate, request, now_s=now_s):
            continue
        first_event_s = predict_first_event_s(candidate, request, now_s=now_s)
        cost_s = first_event_s + len(candidate.work.runs) * BATCH_PENALTY_S
        if best is None or cost_s < best_cost_s:
            best, best_cost_s = (
                ServerChoice(candidate=candidate, first_event_s=first_event_s),
                cost_s,
            )
    return best


def has_room(candidate: Candidate, request: AssignmentRequest, *, now_s: float) -> bool:
    """Return whether a server could begin with one more request soon."""
    work = candidate.work
    if len(work.runs) >= candidate.server.entry.slots:
        return False
    return request.prompt is None or work.prefill_left_s(now_s) <= MAX_PREFILL_QUEUE_S


def predict_first_event_s(
    candidate: Candidate, request: AssignmentRequest, *, now_s: float
) -> float:
    """Return the predicted time until a request's first event on a server."""
    remote = candidate.server.entry.data_centre != request.data_centre
    return (
        candidate.work.prefill_left_s(now_s)
        + candidate.work.pace.prefill_s(candidate.unread_tokens, now_s=now_s)
        + candidate.adapter_s
        + (REMOTE_PENALTY_S if remote else 0.0)
    )
