"""Choose the server that a request is assigned to, or let it wait; no I/O."""

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from rosepath.assignment import AssignmentRequest
from rosepath.caller_request import Prompt
from rosepath.engine_choice import (
    ADAPTER_PENALTY_S,
    ADAPTER_SLOT_PENALTY_S,
    OCCUPIED_PENALTY_S,
    prefix_affinity_key,
)
from rosepath.fleet import BackendServer
from rosepath.rendezvous import ranked
from rosepath.response_metadata import ServerLoad
from rosepath.server_work import ServerWork
from rosepath.stream_pauses import PRIOR_PAUSE_TOKENS, pause_s

# Prompts that an engine has not read yet wait at the scheduler, where more
# urgent ones overtake them, except for this long: enough for the next one to be
# there when the engine is done.
MAX_PREFILL_QUEUE_S = 0.1
# A request in another data centre takes a millisecond longer each way.
REMOTE_PENALTY_S = 0.002
# Each running stream delays the tokens of the others.
BATCH_PENALTY_S = 0.004
# Avoiding one late request is worth this much more delay of another.
LATE_COST_S = 2.0
# Predictions err, so that a request is more and more likely to be late from this
# share of its limit on.
SAFE_SHARE = 0.75
# Pauses have an upper bound that was learned, so that they are predicted better.
SAFE_PAUSE_SHARE = 0.9
# How likely a stream is beside another long prompt, on an engine that has one.
PAUSE_RISK = 0.5
# A failed request starts again at another server.
ERROR_PENALTY_S = 1.0
# A longer prompt is prefilled over several steps, each of which delays all streams.
LONG_PROMPT_TOKENS = 2_048
# Engines of one model are ordered: long prompts prefer the first, others the last.
# A rank is given up for so much less delay.
KIND_RANK_PENALTY_S = 0.1
# Engines with less than this share of the fastest one's pace come first: prefilling
# one prompt at a time, they delay fewer requests than beside many streams.
SLOW_SHARE = 0.7
# A delay counts in full for what is due sooner than this, else in proportion.
URGENT_S = 0.4
# Parts that no engine has cached go to the first engine by rendezvous, unless it
# is so much busier.
HOME_RANK_PENALTY_S = 0.22
MAX_HOME_RANK = 3
# A long prompt that would make streams late waits while it can be in time; after
# that, one more stream may be late for each such time that it is late itself.
HARM_PATIENCE_S = 0.5
# As many streams may be late for a request that can't be in time otherwise.
URGENT_HARM = 1.0
# Some streams end within this time. A prompt that is due later waits for that where
# each engine has streams that it would make late.
STREAM_END_S = 1.0
# Less harm than this is not worth waiting.
NEGLIGIBLE_HARM = 0.25
# Before it would be rejected for want of a server, a request is assigned anyway.
LAST_CHANCE_S = 0.15
# Requests to a service without engines that are assigned beyond its places, so
# that none is empty for a round trip of messages.
SPARE_REQUESTS = 1
# Of servers with free places, the emptier is preferred if it is in reach.
FILL_PENALTY_S = 0.012


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """Describe a server that could run a request.

    `unread_tokens` are the prompt tokens that it has not cached; `adapter_s` is
    how long it takes to load the adapter, 0 if it is there. `others` are requests
    that it has from elsewhere, and `pause_tokens` how much it prefills at most
    between two events of a stream.
    """

    server: BackendServer
    work: ServerWork
    unread_tokens: int = 0
    adapter_s: float = 0.0
    others: int = 0
    pause_tokens: float = PRIOR_PAUSE_TOKENS

    @property
    def requests(self) -> int:
        """Return the requests that the server has, of whomever."""
        return len(self.work.runs) + self.others


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerChoice:
    """Hold the chosen server and the predicted time to the first event."""

    candidate: Candidate
    first_event_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineCost:
    """Hold what it costs to assign a request to an engine.

    `harm` is the expected number of other requests that it makes late.
    """

    candidate: Candidate
    first_event_s: float
    harm: float
    cost_s: float


def choose_candidate(
    request: AssignmentRequest, candidates: Sequence[Candidate], *, now_s: float
) -> ServerChoice | None:
    """Choose a server for a request; None if it waits for one with room."""
    if request.prompt is None:
        return _choose_place(request, candidates, now_s=now_s)
    return _choose_engine(request, request.prompt, candidates, now_s=now_s)


def has_room(candidate: Candidate, request: AssignmentRequest, *, now_s: float) -> bool:
    """Return whether a server could begin with one more request soon."""
    slots = candidate.server.entry.slots
    if request.prompt is None:
        return candidate.requests < slots + SPARE_REQUESTS
    if candidate.requests >= slots or candidate.adapter_s >= OCCUPIED_PENALTY_S:
        return False
    return candidate.work.prefill_left_s(now_s) <= MAX_PREFILL_QUEUE_S


def predict_first_event_s(
    candidate: Candidate, request: AssignmentRequest, *, now_s: float
) -> float:
    """Return the predicted time until a request's first event on an engine."""
    return (
        candidate.work.prefill_left_s(now_s)
        + candidate.work.pace.prefill_s(
            candidate.unread_tokens, now_s=now_s, model=_model(request)
        )
        + candidate.adapter_s
        + _remote_s(candidate, request)
    )


def predict_adapter_s(
    server: BackendServer, work: ServerWork, *, adapter_slots: int, now_s: float
) -> float:
    """Return the expected delay of loading one more adapter onto an engine.

    The fewer of its slots are free, the more the last ones are worth to others.
    """
    used = work.adapters_in_use
    if server.order_busy_until_s > now_s or used >= adapter_slots:
        return OCCUPIED_PENALTY_S
    return ADAPTER_PENALTY_S + ADAPTER_SLOT_PENALTY_S * used / adapter_slots


def count_others(load: ServerLoad, work: ServerWork, *, stated_s: float) -> int:
    """Return the requests that a server had from elsewhere when it stated its load.

    Call this before runs that ended after the statement are removed.
    """
    own = sum(run.assigned_s <= stated_s for run in work.runs.values())
    return max(0, load.running + load.waiting - own)


def waiting_group(request: AssignmentRequest) -> tuple[str, str, bool]:
    """Return what requests have in common that wait for the same servers.

    If the first of them finds no room, nor do the others. A long prompt that waits
    for an engine without streams holds up no short one.
    """
    prompt = request.prompt
    if prompt is None:
        return request.service, "", False
    return request.service, prefix_affinity_key(prompt), is_long(prompt)


def is_long(prompt: Prompt) -> bool:
    """Return whether a prompt takes its engine several steps to prefill."""
    return prompt.input_tokens > LONG_PROMPT_TOKENS


def count_late_streams(candidate: Candidate, *, model: str = "", now_s: float) -> float:
    """Return how many streams of an engine one more prompt would make late.

    What the engine prefills already counts: a stream that is late by it can't be
    made late once more.
    """
    work = candidate.work
    added_s = work.pace.prefill_s(candidate.unread_tokens, now_s=now_s, model=model)
    longest_s = work.pace.prefill_s(math.ceil(candidate.pause_tokens), now_s=now_s)
    before_s = max(
        work.prefill_left_s(now_s),
        work.pace.prefill_s(work.unread_tokens, now_s=now_s),
    )
    late = 0.0
    for (gap_s, has_begun), streams in _streams_by_gap(work).items():
        # A stream that has not begun is delayed only by what is prefilled after it.
        earlier_s = before_s if has_begun else 0.0
        for total_s, sign in ((earlier_s + added_s, 1), (earlier_s, -1)):
            paused_s = pause_s(total_s, longest_s=longest_s)
            late += (
                streams * sign * _lateness(paused_s, gap_s, safe_share=SAFE_PAUSE_SHARE)
            )
    return late


def _model(request: AssignmentRequest) -> str:
    return request.prompt.model if request.prompt is not None else ""


def predict_late_pause(
    candidate: Candidate, request: AssignmentRequest, *, now_s: float
) -> float:
    """Return how likely the stream of a short prompt pauses too long on an engine.

    An engine that has long prompts will get more of them.
    """
    prompt = request.prompt
    if prompt is None or is_long(prompt) or request.gap_s <= 0:
        return 0.0
    work = candidate.work
    prompts = (run.assignment.request.prompt for run in work.runs.values())
    if not any(other is not None and is_long(other) for other in prompts):
        return 0.0
    longest_s = work.pace.prefill_s(math.ceil(candidate.pause_tokens), now_s=now_s)
    return PAUSE_RISK * _lateness(longest_s, request.gap_s, safe_share=SAFE_PAUSE_SHARE)


def _streams_by_gap(work: ServerWork) -> Counter[tuple[float, bool]]:
    """Count an engine's streams by their acceptable gap and whether they began."""
    return Counter(
        (run.assignment.request.gap_s, run.begun_s is not None)
        for run in work.runs.values()
        if run.assignment.request.gap_s > 0
    )


def _lateness(
    predicted_s: float, limit_s: float, *, safe_share: float = SAFE_SHARE
) -> float:
    """Return how likely something is late, from 0 to 1."""
    if limit_s <= 0:
        return 1.0
    return min(1.0, max(0.0, (predicted_s / limit_s - safe_share) / (1 - safe_share)))


def _remote_s(candidate: Candidate, request: AssignmentRequest) -> float:
    remote = candidate.server.entry.data_centre != request.data_centre
    return REMOTE_PENALTY_S if remote else 0.0


def _choose_engine(
    request: AssignmentRequest,
    prompt: Prompt,
    candidates: Sequence[Candidate],
    *,
    now_s: float,
) -> ServerChoice | None:
    with_slot = [
        candidate
        for candidate in candidates
        if candidate.requests < candidate.server.entry.slots
    ]
    # Most requests that wait still find no room, which is known before any cost.
    if not any(has_room(candidate, request, now_s=now_s) for candidate in with_slot):
        return None
    preferences_s = _preferences_s(prompt, candidates)
    costs = [
        _engine_cost(
            candidate,
            request,
            preference_s=preferences_s[candidate.server.name],
            now_s=now_s,
        )
        for candidate in with_slot
    ]
    with_room = [
        cost for cost in costs if has_room(cost.candidate, request, now_s=now_s)
    ]
    best = min(with_room, key=lambda cost: cost.cost_s)
    if len(candidates) > 1 and _should_wait(request, best, costs, now_s=now_s):
        return None
    return ServerChoice(candidate=best.candidate, first_event_s=best.first_event_s)


def _engine_cost(
    candidate: Candidate,
    request: AssignmentRequest,
    *,
    preference_s: float,
    now_s: float,
) -> EngineCost:
    first_event_s = predict_first_event_s(candidate, request, now_s=now_s)
    harm = count_late_streams(candidate, model=_model(request), now_s=now_s)
    own = max(
        _lateness(first_event_s, request.due_s - now_s),
        predict_late_pause(candidate, request, now_s=now_s),
    )
    return EngineCost(
        candidate=candidate,
        first_event_s=first_event_s,
        harm=harm,
        cost_s=first_event_s * _urgency(request, now_s=now_s)
        + LATE_COST_S * (own + harm)
        + BATCH_PENALTY_S * candidate.requests
        + ERROR_PENALTY_S * candidate.server.error_rate
        + preference_s,
    )


def _urgency(request: AssignmentRequest, *, now_s: float) -> float:
    """Return how much a delay counts, 1 for what is due soon or was due."""
    return URGENT_S / max(URGENT_S, request.due_s - now_s)


def _preferences_s(prompt: Prompt, candidates: Sequence[Candidate]) -> dict[str, float]:
    """Return the small costs by which like requests gather, by engine."""
    names = [candidate.server.name for candidate in candidates]
    costs_s = dict.fromkeys(names, 0.0)
    has_adapter = any(candidate.adapter_s <= 0 for candidate in candidates)
    # Slots for adapters are few, so that one that is loaded decides.
    if not (prompt.adapter and has_adapter):
        by_kind = _prefill_ranking(prompt.model, candidates)
        if not is_long(prompt):
            by_kind.reverse()
        for rank, name in enumerate(by_kind):
            costs_s[name] += KIND_RANK_PENALTY_S * rank
    # Where parts are cached or the adapter is loaded, that decides.
    shares = len(prompt.parts) > 1 or prompt.adapter
    if shares and not any(_has_some(candidate, prompt) for candidate in candidates):
        for rank, name in enumerate(ranked(prefix_affinity_key(prompt), names)):
            costs_s[name] += HOME_RANK_PENALTY_S * min(rank, MAX_HOME_RANK)
    return costs_s


def _has_some(candidate: Candidate, prompt: Prompt) -> bool:
    """Return whether an engine has what a prompt shares with others."""
    if candidate.unread_tokens < prompt.input_tokens:
        return True
    return bool(prompt.adapter) and candidate.adapter_s <= 0


def _prefill_ranking(model: str, candidates: Sequence[Candidate]) -> list[str]:
    """Return the engines of a model, those that prefill long prompts first."""
    pace = {
        candidate.server.name: candidate.work.pace.prefill_tokens_per_s
        for candidate in candidates
    }
    fastest = max(pace.values(), default=0.0)
    return sorted(
        ranked(f"{model}#prefill", pace),
        key=lambda name: pace[name] >= SLOW_SHARE * fastest,
    )


def _should_wait(
    request: AssignmentRequest,
    best: EngineCost,
    costs: Sequence[EngineCost],
    *,
    now_s: float,
) -> bool:
    """Return whether a request waits rather than go to the best engine with room."""
    if now_s >= request.wait_until_s - LAST_CHANCE_S:
        return False
    harmless = any(cost.harm <= NEGLIGIBLE_HARM for cost in costs)
    patient = request.due_s - now_s - best.first_event_s > STREAM_END_S
    if (harmless or patient) and best.harm > _tolerated_harm(
        request, best, now_s=now_s
    ):
        return True
    if not best.candidate.work.unread_tokens:
        # Others wait too, and an engine that prefills nothing serves none of them.
        return False
    # An engine that has cached its parts is worth waiting for as long as
    # prefilling them again would take, for all prompts that wait for it together.
    soonest_s = min(cost.first_event_s for cost in costs)
    waited_s = now_s - request.arrived_s
    return soonest_s + waited_s + MAX_PREFILL_QUEUE_S < best.first_event_s


def _tolerated_harm(
    request: AssignmentRequest, best: EngineCost, *, now_s: float
) -> float:
    """Return how many streams a request may make late now."""
    if request.prompt is None or not is_long(request.prompt):
        return math.inf
    spare_s = SAFE_SHARE * (request.due_s - now_s) - best.first_event_s
    if spare_s > 0:
        return NEGLIGIBLE_HARM
    return URGENT_HARM + max(0.0, now_s - request.due_s) / HARM_PATIENCE_S


def _choose_place(
    request: AssignmentRequest, candidates: Sequence[Candidate], *, now_s: float
) -> ServerChoice | None:
    """Choose the server of a service without engines that responds first."""
    with_room = [
        candidate
        for candidate in candidates
        if has_room(candidate, request, now_s=now_s)
    ]
    if not with_room:
        return None
    best = min(
        with_room,
        key=lambda candidate: (
            _predict_response_s(candidate, request, now_s=now_s)
            + FILL_PENALTY_S * candidate.requests / max(1, candidate.server.entry.slots)
            + ERROR_PENALTY_S * candidate.server.error_rate
        ),
    )
    return ServerChoice(
        candidate=best,
        first_event_s=_predict_response_s(best, request, now_s=now_s),
    )


def _predict_response_s(
    candidate: Candidate, request: AssignmentRequest, *, now_s: float
) -> float:
    """Return the predicted time until a server without engines responds."""
    slots = max(1, candidate.server.entry.slots)
    slowdown = candidate.work.pace.current_slowdown(now_s)
    run_s = candidate.server.latency_s * slowdown
    # One of its places is free after a part of the time of a run.
    ahead = max(0, candidate.requests + 1 - slots)
    return run_s + ahead * run_s / slots + _remote_s(candidate, request)
