"""The work that each backend server has been assigned and still has to do."""

import math
from collections import Counter
from dataclasses import dataclass, field

from rosepath.assignment import Assignment, RunOutcome, RunReport
from rosepath.server_pace import ServerPace

# A run whose end is never reported, as its entry VM was killed, is dropped so
# long after its deadline.
EXPIRY_MARGIN_S = 1.0


@dataclass(slots=True, kw_only=True)
class AssignedRun:
    """Hold an assigned request and how far its run has come."""

    assignment: Assignment
    assigned_s: float
    begun_s: float | None = None
    reported_s: float = -math.inf

    @property
    def target(self) -> str:
        prompt = self.assignment.request.prompt
        return prompt.target if prompt is not None else ""


@dataclass(slots=True, kw_only=True)
class ServerWork:
    """Own the runs assigned to one instance of a server, and its pace."""

    born_ms: int = 0
    runs: dict[str, AssignedRun] = field(default_factory=dict)
    pace: ServerPace = field(default_factory=ServerPace)
    # When it will have prefilled all prompts that it was assigned.
    prefill_ends_s: float = -math.inf
    last_begun_s: float = -math.inf

    def prefill_left_s(self, now_s: float) -> float:
        """Return how long the server still prefills what it was assigned."""
        return max(0.0, self.prefill_ends_s - now_s)

    @property
    def streams(self) -> int:
        """Return the runs that have begun to answer and are not complete."""
        return sum(run.begun_s is not None for run in self.runs.values())

    @property
    def unread_tokens(self) -> int:
        """Return the prompt tokens of the runs that have not begun to answer."""
        return sum(
            run.assignment.unread_tokens
            for run in self.runs.values()
            if run.begun_s is None
        )

    @property
    def targets_in_use(self) -> Counter[str]:
        """Return the assigned runs by model and adapter."""
        return Counter(run.target for run in self.runs.values() if run.target)


class WorkTable:
    """Own the work of all servers, by server and by request."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerWork] = {}
        self._server_of: dict[str, str] = {}

    def of_server(self, server: str, *, born_ms: int = 0) -> ServerWork:
        """Return a server's work; a new instance has none."""
        work = self.servers.get(server)
        if work is None or born_ms > work.born_ms:
            for request_id in work.runs if work is not None else ():
                self._server_of.pop(request_id, None)
            work = self.servers[server] = ServerWork(born_ms=born_ms)
        return work

    def assign(self, assignment: Assignment, *, now_s: float) -> None:
        """Record that a request goes to a server."""
        request_id = assignment.request.request_id
        work = self.of_server(assignment.server)
        work.runs[request_id] = AssignedRun(
            assignment=assignment, assigned_s=now_s, reported_s=now_s
        )
        self._server_of[request_id] = assignment.server
        prefill_s = work.pace.prefill_s(assignment.unread_tokens, now_s=now_s)
        work.prefill_ends_s = max(now_s, work.prefill_ends_s) + prefill_s

    def apply(self, report: RunReport, *, now_s: float) -> None:
        """Apply what an entry VM reports of a run."""
        work = self.servers.get(report.server)
        if work is None or 0 < report.born_ms < work.born_ms:
            return
        if report.load is not None:
            work.pace.note_slowdown(
                report.load.slowdown, now_s=now_s - report.load_age_s
            )
        run = work.runs.get(report.request_id)
        if run is None:
            return
        run.reported_s = now_s
        if report.began_after_s is not None and run.begun_s is None:
            self._begin(work, run, now_s=now_s)
        if report.outcome is not None:
            self._end(work, report, now_s=now_s)

    def _begin(self, work: ServerWork, run: AssignedRun, *, now_s: float) -> None:
        run.begun_s = now_s
        # Prompts are read one after the other, so that this one was read since
        # the one before it began to answer.
        started_s = max(run.assigned_s, work.last_begun_s)
        work.pace.note_prefill(run.assignment.unread_tokens, now_s - started_s)
        work.last_begun_s = now_s
        self._recompute(work, now_s=now_s)

    def _end(self, work: ServerWork, report: RunReport, *, now_s: float) -> None:
        del work.runs[report.request_id]
        self._server_of.pop(report.request_id, None)
        if report.outcome is not RunOutcome.COMPLETED:
            self._recompute(work, now_s=now_s)

    @staticmethod
    def _recompute(work: ServerWork, *, now_s: float) -> None:
        """Predict anew when the server will have read what it has not."""
        work.prefill_ends_s = now_s + work.pace.prefill_s(
            work.unread_tokens, now_s=now_s
        )

    def server_of(self, request_id: str) -> str | None:
        """Return the server that a request is assigned to."""
        return self._server_of.get(request_id)

    def drop_expired(self, *, now_s: float) -> None:
        """Drop runs that must have ended, though nobody reported it."""
        for work in self.servers.values():
            expired = [
                request_id
                for request_id, run in work.runs.items()
                if run.assignment.request.deadline_s + EXPIRY_MARGIN_S < now_s
            ]
            for request_id in expired:
                del work.runs[request_id]
                self._server_of.pop(request_id, None)
            if expired:
                self._recompute(work, now_s=now_s)

    def drop_server(self, server: str) -> None:
        """Forget a server that is gone."""
        work = self.servers.pop(server, None)
        for request_id in work.runs if work is not None else ():
            self._server_of.pop(request_id, None)
