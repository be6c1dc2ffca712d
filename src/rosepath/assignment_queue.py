"""Order the requests that wait for a server, and reject what can't be served."""

import heapq
import math
import random
from collections import defaultdict
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

from rosepath.assignment import Assignment, AssignmentRejection, AssignmentRequest
from rosepath.assignment_line import MAX_REMOVED_KEPT, AssignmentLine
from rosepath.contention import Contention
from rosepath.service_floors import ServiceFloors
from rosepath.waiting_request import (
    LineKey,
    OrderKey,
    WaitingRequest,
    kind_of,
    line_key,
)

NO_SERVER_CODE = "no_server"
QUEUE_FULL_CODE = "queue_full"
# Some kilobytes each. With more than this, few are assigned before their callers
# leave.
MAX_WAITING = 5_000
# Rejected together when the queue is full, so that they are searched for seldom.
REJECTED_WHEN_FULL = 100
# How often requests that can't be reached in time are looked for.
REJECTION_INTERVAL_S = 0.2
# Shorter queues are left alone: rates change as fast as they pass.
MIN_PREDICTED_WAIT_S = 1.0
# A request is rejected early only if it would wait so many times longer than
# its caller: rates are uncertain, and a late response is better than none.
REJECTION_FACTOR = 3.0
# What was learned of a model without requests is kept for so long.
IDLE_LINE_S = 60.0


def _line_of_model(request: AssignmentRequest) -> tuple[frozenset[str], str]:
    return request.tried, request.prompt.adapter if request.prompt is not None else ""


@dataclass(slots=True, kw_only=True)
class _ModelLines:
    """Hold the lines of a model, by the servers tried and the adapter.

    An engine may have room for a request, but none for one that was there before,
    and none for the adapter of another.
    """

    contention: Contention
    lines: dict[tuple[frozenset[str], str], AssignmentLine] = field(
        default_factory=dict
    )
    used_s: float = 0.0
    checked_s: float = 0.0

    @property
    def waiting(self) -> int:
        return sum(line.waiting for line in self.lines.values())

    def line_of(self, request: AssignmentRequest) -> AssignmentLine:
        key = _line_of_model(request)
        line = self.lines.get(key)
        if line is None:
            line = self.lines[key] = AssignmentLine(self.contention)
        return line


@dataclass(slots=True, kw_only=True)
class _LineWalk:
    """Hold how far a walk of the waiting requests has come in a line."""

    line: AssignmentLine
    below_size: float = math.inf
    fronts: list[tuple[OrderKey, WaitingRequest]] = field(default_factory=list)

    def look(self, *, line_owed: bool, now_s: float) -> None:
        """Find the next requests of the line."""
        self.fronts = [
            front
            for front in self.line.fronts(line_owed=line_owed, now_s=now_s)
            if front[1].kind.size < self.below_size
        ]

    def leave_out(self, size: int) -> None:
        """Leave out prompts of a size and more, as there is no room for them."""
        self.below_size = size
        self.fronts = [front for front in self.fronts if front[1].kind.size < size]

    def push_to(
        self, heads: "list[tuple[OrderKey, WaitingRequest, _LineWalk]]"
    ) -> None:
        if self.fronts:
            heapq.heappush(heads, (*self.fronts[0], self))


class AssignmentQueue:
    """Own the requests that wait for a server, by id."""

    def __init__(self, *, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._waiting: dict[str, WaitingRequest] = {}
        self._models: dict[LineKey, _ModelLines] = {}
        self._line_floors: dict[str, ServiceFloors] = defaultdict(ServiceFloors)
        # By when their callers leave; those removed stay until then.
        self._by_end: list[tuple[float, int, WaitingRequest]] = []
        self._rejected: list[AssignmentRejection] = []
        self._added = 0
        self._dropped_idle_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def add(self, request: AssignmentRequest, *, now_s: float) -> None:
        """Let a request wait; one that is only sent again keeps its place."""
        known = self._waiting.get(request.request_id)
        if known is not None and known.request.tried == request.tried:
            return
        self.remove(request.request_id)
        if len(self._waiting) >= MAX_WAITING:
            self._make_room(now_s=now_s)
        model = self._model_lines(line_key(request))
        model.used_s = now_s
        service_s = model.contention.service_s(request)
        waiting = WaitingRequest(
            request=request,
            number=self._added,
            kind=kind_of(request),
            in_time_until_s=request.due_s - service_s,
            useful_until_s=min(request.wait_until_s, request.deadline_s - service_s),
        )
        self._added += 1
        self._waiting[request.request_id] = waiting
        heapq.heappush(self._by_end, (waiting.useful_until_s, waiting.number, waiting))
        model.line_of(request).add(waiting)

    def _model_lines(self, key: LineKey) -> _ModelLines:
        model = self._models.get(key)
        if model is None:
            contention = Contention(key=key, line_floors=self._line_floors[key.service])
            model = self._models[key] = _ModelLines(contention=contention)
        return model

    def remove(self, request_id: str) -> AssignmentRequest | None:
        """Remove a request whose caller has left."""
        waiting = self._waiting.get(request_id)
        if waiting is None:
            return None
        self._remove(waiting)
        return waiting.request

    def _remove(self, waiting: WaitingRequest) -> None:
        request = waiting.request
        del self._waiting[request.request_id]
        model = self._models[line_key(request)]
        key = _line_of_model(request)
        line = model.lines[key]
        line.remove(waiting)
        if not line.waiting:
            del model.lines[key]

    def take(self, assignment: Assignment, *, now_s: float) -> None:
        """Remove an assigned request, and count it for the order of the others."""
        request = assignment.request
        waiting = self._waiting[request.request_id]
        self._remove(waiting)
        model = self._models[line_key(request)]
        model.used_s = now_s
        model.contention.note_assigned(
            waiting, assignment, left_waiting=model.waiting, now_s=now_s
        )

    def in_order(
        self, *, now_s: float, keys: Collection[LineKey] | None = None
    ) -> Iterator[AssignmentRequest]:
        """Yield the waiting requests, the next to be assigned first.

        With `keys`, only those that wait for these servers. A request that still
        waits when the next one is asked for found no room, and so would those
        behind it that wait for the same servers with prompts of its size or
        more: they are left out.
        """
        owed_lines = {
            service: floors.owed(now_s=now_s)
            for service, floors in self._line_floors.items()
        }
        heads: list[tuple[OrderKey, WaitingRequest, _LineWalk]] = []
        for key in self._models if keys is None else keys:
            model = self._models.get(key)
            line_owed = key in owed_lines.get(key.service, ())
            for line in model.lines.values() if model is not None else ():
                walk = _LineWalk(line=line)
                walk.look(line_owed=line_owed, now_s=now_s)
                walk.push_to(heads)
        while heads:
            _, waiting, walk = heads[0]
            yield waiting.request
            heapq.heappop(heads)
            if waiting.waits:
                walk.leave_out(waiting.kind.size)
            else:
                # A line gets one turn that it is owed in a walk.
                walk.look(line_owed=False, now_s=now_s)
            walk.push_to(heads)

    def take_rejected(self, *, now_s: float) -> list[AssignmentRejection]:
        """Remove and return the requests that can't be served any more."""
        while self._by_end and self._by_end[0][0] <= now_s:
            waiting = heapq.heappop(self._by_end)[2]
            if waiting.waits:
                self._reject(waiting, NO_SERVER_CODE, now_s=now_s)
        if len(self._by_end) > 2 * len(self._waiting) + MAX_REMOVED_KEPT:
            self._by_end = [entry for entry in self._by_end if entry[2].waits]
            heapq.heapify(self._by_end)
        for model in self._models.values():
            if now_s - model.checked_s >= REJECTION_INTERVAL_S:
                model.checked_s = now_s
                self._reject_unreachable(model, now_s=now_s)
        self._drop_idle(now_s=now_s)
        rejected, self._rejected = self._rejected, []
        return rejected

    def _reject_unreachable(self, model: _ModelLines, *, now_s: float) -> None:
        """Reject the requests that are reached only after their callers left."""
        contention = model.contention
        rate_per_s = contention.room.rate_per_s(now_s=now_s)
        if rate_per_s is None or model.waiting < MIN_PREDICTED_WAIT_S * rate_per_s:
            return
        late_rate_per_s = contention.late_room.rate_per_s(now_s=now_s) or rate_per_s
        waiting = model.waiting
        for (tried, _), line in list(model.lines.items()):
            if not tried:
                # The lines share the rate of the model.
                share = line.waiting / waiting
                self._reject_from(
                    line,
                    rate_per_s=share * rate_per_s,
                    late_rate_per_s=share * late_rate_per_s,
                    now_s=now_s,
                )

    def _reject_from(
        self,
        line: AssignmentLine,
        *,
        rate_per_s: float,
        late_rate_per_s: float,
        now_s: float,
    ) -> None:
        """Reject the requests of a line that are reached too late at these rates."""
        wait_s = 0.0
        for waiting in line.in_order(now_s=now_s):
            left_s = waiting.useful_until_s - now_s
            if wait_s > max(MIN_PREDICTED_WAIT_S, REJECTION_FACTOR * left_s):
                self._reject(waiting, NO_SERVER_CODE, now_s=now_s)
            else:
                late = waiting.in_time_until_s < now_s
                wait_s += 1 / (late_rate_per_s if late else rate_per_s)

    def _make_room(self, *, now_s: float) -> None:
        """Reject the newest of the least urgent requests of the longest line."""
        longest = max(
            (line for model in self._models.values() for line in model.lines.values()),
            key=lambda line: line.waiting,
        )
        for waiting in longest.in_order(now_s=now_s)[-REJECTED_WHEN_FULL:]:
            self._reject(waiting, QUEUE_FULL_CODE, now_s=now_s)

    def _reject(self, waiting: WaitingRequest, code: str, *, now_s: float) -> None:
        request = waiting.request
        self._remove(waiting)
        model = self._models[line_key(request)]
        if not waiting.late:
            model.contention.note_outcome(waiting, served=False, now_s=now_s)
        retry_after_s = model.contention.room.retry_after_s(
            request, waiting=model.waiting, now_s=now_s, rng=self._rng
        )
        self._rejected.append(
            AssignmentRejection(request=request, code=code, retry_after_s=retry_after_s)
        )

    def _drop_idle(self, *, now_s: float) -> None:
        """Forget what was learned of models that have had no requests for long."""
        if now_s - self._dropped_idle_s < IDLE_LINE_S:
            return
        self._dropped_idle_s = now_s
        for key, model in list(self._models.items()):
            if not model.waiting and now_s - model.used_s >= IDLE_LINE_S:
                del self._models[key]
        for floors in self._line_floors.values():
            floors.drop_old(now_s=now_s)
