"""The requests that wait for the same servers, and which of them is next."""

import heapq
import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

from rosepath.contention import Contention
from rosepath.waiting_request import Kind, OrderKey, WaitingRequest

# Removed requests that a line's heaps may hold beside as many as wait.
MAX_REMOVED_KEPT = 100


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
