"""Loads of waiting requests, played against an order without a network."""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any, Protocol

from rosepath.assignment import Assignment, AssignmentRejection, AssignmentRequest
from rosepath.assignment_queue import NO_SERVER_CODE
from rosepath.caller_request import Prompt
from rosepath.waiting_request import LineKey, line_key

PREFILL_TOKENS_PER_S = 30_000.0
# What an engine needs for the shortest prompt.
MIN_SERVICE_S = 0.01
STEP_S = 0.02
# The share of a caller's wait that is left to the engine.
SERVICE_SHARE = 0.15


class Queue(Protocol):
    """Order waiting requests; as `AssignmentQueue`."""

    def add(self, request: AssignmentRequest, *, now_s: float) -> None: ...

    def take(self, assignment: Assignment, *, now_s: float) -> None: ...

    def in_order(
        self, *, now_s: float, keys: Collection[LineKey] | None = None
    ) -> Iterator[AssignmentRequest]: ...

    def take_rejected(self, *, now_s: float) -> list[AssignmentRejection]: ...


class ArrivalOrder:
    """Own waiting requests in the order of their arrival."""

    def __init__(self) -> None:
        self._waiting: dict[str, AssignmentRequest] = {}

    def add(self, request: AssignmentRequest, *, now_s: float) -> None:
        self._waiting[request.request_id] = request

    def take(self, assignment: Assignment, *, now_s: float) -> None:
        del self._waiting[assignment.request.request_id]

    def in_order(
        self, *, now_s: float, keys: Collection[LineKey] | None = None
    ) -> Iterator[AssignmentRequest]:
        without_room: set[LineKey] = set()
        for request in list(self._waiting.values()):
            if line_key(request) in without_room:
                continue
            yield request
            if request.request_id in self._waiting:
                without_room.add(line_key(request))

    def take_rejected(self, *, now_s: float) -> list[AssignmentRejection]:
        expired = [
            request
            for request in self._waiting.values()
            if request.wait_until_s <= now_s
        ]
        for request in expired:
            del self._waiting[request.request_id]
        return [
            AssignmentRejection(request=request, code=NO_SERVER_CODE, retry_after_s=0.5)
            for request in expired
        ]


@dataclass(frozen=True, slots=True, kw_only=True)
class Traffic:
    """Describe requests of one sort and their callers.

    `wait_s` is how long callers wait for the first event. `tokens` are those of
    the prompt, 0 for plain requests.
    """

    label: str
    per_s: float
    target_s: float
    wait_s: float
    tokens: int
    output_tokens: int = 100
    priority: int = 0
    workspace: str = ""
    model: str = "m0"
    adapter: str = ""
    data_centre: str = "a"
    starts_s: float = 0.0
    ends_s: float = 30.0
    # Callers that come back at once, and again and again, instead of once.
    insistent: bool = False

    def request(self, request_id: str, *, now_s: float) -> AssignmentRequest:
        """Build one request."""
        prompt = Prompt(
            model=self.model,
            adapter=self.adapter,
            input_tokens=self.tokens,
            output_tokens=self.output_tokens,
        )
        return AssignmentRequest(
            request_id=request_id,
            service="llm" if self.tokens else "desk",
            entry_vm="vm-1",
            data_centre=self.data_centre,
            arrived_s=now_s,
            due_s=now_s + self.target_s,
            wait_until_s=now_s + (1 - SERVICE_SHARE) * self.wait_s,
            deadline_s=now_s + self.wait_s,
            priority=self.priority,
            workspace=self.workspace,
            prompt=prompt if self.tokens else None,
        )


def chats(*, label: str = "chat", per_s: float, **fields: Any) -> Traffic:
    """Describe short prompts whose callers are in a hurry, but patient."""
    known = {"target_s": 0.45, "wait_s": 15.0, "tokens": 500}
    return Traffic(label=label, per_s=per_s, **{**known, **fields})


def documents(*, label: str = "document", per_s: float, **fields: Any) -> Traffic:
    """Describe long prompts."""
    known = {"target_s": 0.8, "wait_s": 6.0, "tokens": 8_000}
    return Traffic(label=label, per_s=per_s, **{**known, **fields})


def drafts(*, label: str = "draft", per_s: float, **fields: Any) -> Traffic:
    """Describe long prompts that are not urgent."""
    known = {"target_s": 1.5, "wait_s": 8.0, "tokens": 8_000, "priority": 1}
    return Traffic(label=label, per_s=per_s, **{**known, **fields})


def plain_requests(*, label: str = "plain", per_s: float, **fields: Any) -> Traffic:
    """Describe requests of a service without models."""
    known = {"target_s": 0.4, "wait_s": 1.5, "tokens": 0}
    return Traffic(label=label, per_s=per_s, **{**known, **fields})


@dataclass(slots=True, kw_only=True)
class Served:
    """Count how the requests of one label were served."""

    in_time: int = 0
    late: int = 0
    lost: int = 0
    returned: int = 0

    @property
    def total(self) -> int:
        return self.in_time + self.late + self.lost

    @property
    def share_in_time(self) -> float:
        return self.in_time / self.total if self.total else 0.0

    @property
    def share_served(self) -> float:
        return (self.in_time + self.late) / self.total if self.total else 0.0


@dataclass(slots=True, kw_only=True)
class _Play:
    queue: Queue
    models_of: Mapping[str, frozenset[str]]
    counts: dict[str, Served] = field(default_factory=lambda: defaultdict(Served))
    free: set[str] = field(default_factory=set)
    events: list[tuple[float, int, Callable[[float], None]]] = field(
        default_factory=list
    )
    numbers: Iterator[int] = field(default_factory=itertools.count)
    traffic_of: dict[str, Traffic] = field(default_factory=dict)

    def at(self, when_s: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (when_s, next(self.numbers), event))

    def arrive(self, traffic: Traffic, rng: random.Random, now_s: float) -> None:
        """Add a request, and let the next one of its traffic follow."""
        request = traffic.request(f"q{next(self.numbers)}", now_s=now_s)
        self.traffic_of[request.request_id] = traffic
        self.queue.add(request, now_s=now_s)
        next_s = now_s + rng.expovariate(traffic.per_s)
        if next_s < traffic.ends_s:
            self.at(next_s, partial(self.arrive, traffic, rng))

    def walk(self, now_s: float) -> None:
        """Assign what finds a free server, and let rejected callers return."""
        for request in self.queue.in_order(now_s=now_s):
            if not self.free:
                break
            model = request.prompt.model if request.prompt else ""
            able = [name for name in self.free if model in self.models_of[name]]
            if able:
                self.assign(request, min(able), now_s)
        for rejection in self.queue.take_rejected(now_s=now_s):
            self.reject(rejection, now_s)

    def assign(self, request: AssignmentRequest, server: str, now_s: float) -> None:
        tokens = request.prompt.input_tokens if request.prompt else 0
        service_s = MIN_SERVICE_S + tokens / PREFILL_TOKENS_PER_S
        self.queue.take(
            Assignment(
                request=request,
                server=server,
                unread_tokens=tokens,
                first_event_s=service_s,
            ),
            now_s=now_s,
        )
        self.free.discard(server)
        self.at(now_s + service_s, lambda _: self.free.add(server))
        served = self.counts[self.traffic_of[request.request_id].label]
        if now_s + service_s <= request.due_s:
            served.in_time += 1
        elif now_s + service_s <= request.deadline_s:
            served.late += 1
        else:
            served.lost += 1

    def reject(self, rejection: AssignmentRejection, now_s: float) -> None:
        """Let a caller return once, in at most a third of its time left."""
        request = rejection.request
        traffic = self.traffic_of[request.request_id]
        returns = request.request_id.count("+")
        left_s = request.deadline_s - now_s
        after_s = min(rejection.retry_after_s, left_s / 3)
        if traffic.insistent:
            after_s = STEP_S
        served = self.counts[traffic.label]
        if left_s <= after_s or (returns and not traffic.insistent):
            served.lost += 1
            return
        served.returned += 1
        again_s = now_s + after_s
        again = replace(
            traffic.request(request.request_id + "+", now_s=again_s),
            wait_until_s=again_s + (1 - SERVICE_SHARE) * (request.deadline_s - again_s),
            deadline_s=request.deadline_s,
        )
        self.traffic_of[again.request_id] = traffic
        self.at(again_s, lambda now_s: self.queue.add(again, now_s=now_s))


def play(
    queue: Queue,
    load: Sequence[Traffic],
    *,
    servers: int = 1,
    models_of: Mapping[str, frozenset[str]] | None = None,
    seed: int = 1,
) -> dict[str, Served]:
    """Play a load against an order; return the counts by label.

    Each server runs one request at a time. `models_of` names the models of each
    server; by default all have all.
    """
    models = frozenset(traffic.model if traffic.tokens else "" for traffic in load)
    if models_of is None:
        models_of = {f"s{number}": models for number in range(servers)}
    load_play = _Play(
        queue=queue,
        models_of=models_of,
        free=set(models_of),
    )
    for number, traffic in enumerate(load):
        # So that a change of one traffic leaves the arrivals of the others.
        rng = random.Random(f"{seed}/{number}")
        first_s = traffic.starts_s + rng.expovariate(traffic.per_s)
        load_play.at(first_s, partial(load_play.arrive, traffic, rng))
    ends_s = max(traffic.ends_s + traffic.wait_s for traffic in load)
    for step in range(int(ends_s / STEP_S) + 1):
        load_play.at(step * STEP_S, lambda _: None)
    while load_play.events:
        now_s, _, event = heapq.heappop(load_play.events)
        event(now_s)
        load_play.walk(now_s)
    return load_play.counts
