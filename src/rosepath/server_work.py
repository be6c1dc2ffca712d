"""The work that each backend server has been assigned and still has to do."""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from rosepath.assignment import Assignment, RunOutcome, RunReport
from rosepath.request_cost import RequestCost, RequestCosts
from rosepath.server_pace import CommonPaces, ServerPace

# A run whose end is never reported, as its entry VM was killed, is dropped so
# long after its deadline.
EXPIRY_MARGIN_S = 1.0
# From the assignment until the request has reached its server.
ARRIVAL_DELAY_S = 0.004
# A first event is reported this long after it was predicted at the latest,
# unless its server is late or a message is lost.
REPORT_DELAY_S = 0.1
# Requests assigned closer together may arrive in the other order.
ARRIVAL_ORDER_S = 0.02
# A run counts as unreported so long after its next report was due. Most servers
# that are late answer by then, and callers wait longer.
UNREPORTED_S = 1.5
# The end of a run is due after this multiple of a long run's time.
LONG_RUN_FACTOR = 2.0
# The runs of an entry VM that has sent nothing for so long count as unreported.
# An entry VM with runs has to send a message more often than this.
SILENT_ENTRY_VM_S = 3.0
# Ended runs that are remembered, so that a report sent again doesn't count.
MAX_ENDED_RUNS = 20_000
# Entry VMs whose last message is remembered.
MAX_ENTRY_VMS = 2_000


@dataclass(slots=True, kw_only=True)
class AssignedRun:
    """Hold an assigned request and how far its run has come."""

    assignment: Assignment
    assigned_s: float
    begun_s: float | None = None
    # Whether its prompt is known to be prefilled, begun or not.
    prefilled: bool = False
    events: int = 0
    reported_s: float = -math.inf
    # Whether an entry VM has reported it since it was assigned.
    reported: bool = False
    cost: RequestCost | None = None

    @property
    def request_id(self) -> str:
        return self.assignment.request.request_id

    @property
    def model(self) -> str:
        prompt = self.assignment.request.prompt
        return prompt.model if prompt is not None else ""

    @property
    def may_load_adapter(self) -> bool:
        """Return whether it may be sent late, as its adapter is loaded first."""
        prompt = self.assignment.request.prompt
        return prompt is not None and bool(prompt.adapter)

    @property
    def arrives_s(self) -> float:
        """Return when the request reaches its server."""
        return self.assigned_s + ARRIVAL_DELAY_S

    @property
    def unread(self) -> bool:
        """Return whether its prompt may still have to be prefilled."""
        return self.begun_s is None and not self.prefilled

    @property
    def kv_tokens(self) -> int:
        """Return the tokens that it is predicted to hold in memory at its end."""
        prompt = self.assignment.request.prompt
        if prompt is None:
            return 0
        output = self.cost.events.mean if self.cost is not None else 0.0
        return prompt.input_tokens + math.ceil(max(output, self.events))

    def left_s(self, *, event_gap_s: float, now_s: float) -> float:
        """Return the predicted time to its end, without its prefill."""
        if self.cost is None:
            return 0.0
        if not self.model:
            return self.cost.run_time_s.left(max(0.0, now_s - self.arrives_s))
        done = self._events_done(event_gap_s=event_gap_s, now_s=now_s)
        return self.cost.events.left(done) * event_gap_s

    def _events_done(self, *, event_gap_s: float, now_s: float) -> float:
        """Return the events that it has sent by now, as far as predicted."""
        if self.begun_s is None:
            return 0.0
        since_s = self.reported_s if self.events else self.begun_s
        return max(1, self.events) + max(0.0, now_s - since_s) / event_gap_s


@dataclass(slots=True, kw_only=True)
class ServerWork:
    """Own the runs assigned to one instance of a server, and its pace."""

    born_ms: int = 0
    runs: dict[str, AssignedRun] = field(default_factory=dict)
    # Runs without the report that was due. They take no place, and are counted
    # again with the next report.
    unreported: dict[str, AssignedRun] = field(default_factory=dict)
    pace: ServerPace = field(default_factory=ServerPace)
    # When it will have prefilled all prompts that it was assigned.
    prefill_ends_s: float = -math.inf
    last_begun_s: float = -math.inf
    # From when on the next first event is overdue.
    overdue_from_s: float = math.inf

    def prefill_left_s(self, now_s: float) -> float:
        """Return how long the server still prefills what it was assigned.

        A prefill that is overdue is expected to take as long again as it is late,
        so that a stalled server doesn't look idle.
        """
        return max(0.0, self.prefill_ends_s - now_s, now_s - self.overdue_from_s)

    @property
    def streams(self) -> int:
        """Return the runs that have begun to answer and are not complete."""
        return sum(not run.unread for run in self.runs.values())

    @property
    def unread_tokens(self) -> int:
        """Return the prompt tokens of the runs that have not begun to answer."""
        return sum(
            run.assignment.unread_tokens for run in self.runs.values() if run.unread
        )

    @property
    def adapters_in_use(self) -> int:
        """Return the number of adapters that its runs use."""
        prompts = (run.assignment.request.prompt for run in self.runs.values())
        return len(
            {
                (prompt.model, prompt.adapter)
                for prompt in prompts
                if prompt is not None and prompt.adapter
            }
        )

    @property
    def kv_tokens(self) -> int:
        """Return the tokens that its runs are predicted to hold at their ends."""
        return sum(run.kv_tokens for run in self.runs.values())

    def free_kv_tokens(self, capacity_tokens: int) -> int:
        """Return the room that its runs leave in the memory of the engine."""
        return max(0, capacity_tokens - self.kv_tokens)

    def free_slots(self, slots: int) -> int:
        """Return the places that no run takes."""
        return max(0, slots - len(self.runs))

    def work_left_s(self, now_s: float) -> float:
        """Return the predicted time until each run ends, added up over the runs."""
        return sum(self.runs_left_s(now_s))

    def runs_left_s(self, now_s: float) -> list[float]:
        """Return the predicted time until each run ends.

        For one whose prompt is not prefilled, this includes the whole prefill
        queue.
        """
        prefill_s = self.prefill_left_s(now_s)
        event_gaps_s = {
            model: self.pace.event_gap_s(model=model)
            for model in {run.model for run in self.runs.values()}
        }
        return [
            run.left_s(event_gap_s=event_gaps_s[run.model], now_s=now_s)
            + (prefill_s if run.unread else 0.0)
            for run in self.runs.values()
        ]

    def next_free_s(self, now_s: float, *, slots: int = 0) -> float:
        """Return in how long a place and the prefill queue are predicted free.

        Without `slots`, only the prefill queue counts.
        """
        prefill_s = self.prefill_left_s(now_s)
        surplus = len(self.runs) - slots
        if slots <= 0 or surplus < 0:
            return prefill_s
        return max(prefill_s, sorted(self.runs_left_s(now_s))[surplus])

    def begin(self, run: AssignedRun, *, begun_s: float, learn: bool = True) -> None:
        """Record a run's first event, and learn how long its prefill took."""
        run.begun_s = begun_s
        if not learn:
            return
        # Prompts are prefilled in the order of arrival, so that this one was
        # prefilled since the one before it, and those before it are as well.
        if begun_s > self.last_begun_s:
            started_s = max(run.arrives_s, self.last_begun_s)
            if run.assignment.unread_tokens:
                self.pace.note_prefill(
                    run.assignment.unread_tokens,
                    begun_s - started_s,
                    model=run.model,
                    slowdown=self.pace.current_slowdown(begun_s),
                )
            self.last_begun_s = begun_s
        for earlier in self.runs.values():
            if earlier.assigned_s < run.assigned_s - ARRIVAL_ORDER_S:
                earlier.prefilled = True

    def recompute_prefill(self, *, now_s: float) -> None:
        """Predict anew when the server will have prefilled what is unread."""
        ends_s = self.last_begun_s
        self.overdue_from_s = math.inf
        unread = [
            run
            for run in self.runs.values()
            if run.unread and run.assignment.unread_tokens > 0
        ]
        for run in sorted(unread, key=lambda run: run.assigned_s):
            started_s = max(ends_s, run.arrives_s)
            ends_s = started_s + self.pace.prefill_s(
                run.assignment.unread_tokens,
                now_s=max(now_s, started_s),
                model=run.model,
            )
            if self.overdue_from_s == math.inf and not run.may_load_adapter:
                due_s = max(ends_s, run.assigned_s + run.assignment.first_event_s)
                self.overdue_from_s = due_s + REPORT_DELAY_S
                overdue_s = max(0.0, now_s - self.overdue_from_s)
                ends_s = max(ends_s, now_s + overdue_s)
        self.prefill_ends_s = ends_s


class WorkTable:
    """Own the work of all servers, by server and by request."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerWork] = {}
        self.costs = RequestCosts()
        self._paces = CommonPaces()
        self._server_of: dict[str, str] = {}
        # Runs that ended, with their servers, the latest last.
        self._ended: OrderedDict[tuple[str, str], None] = OrderedDict()
        # When each entry VM last sent a message.
        self._heard_s: OrderedDict[str, float] = OrderedDict()

    def of_server(self, server: str, *, born_ms: int = 0) -> ServerWork:
        """Return a server's work; a new instance has none."""
        work = self.servers.get(server)
        if work is None or born_ms > work.born_ms > 0:
            for request_id in work.runs if work is not None else ():
                self._server_of.pop(request_id, None)
            work = self.servers[server] = ServerWork(
                born_ms=born_ms, pace=ServerPace(common=self._paces)
            )
        work.born_ms = max(work.born_ms, born_ms)
        return work

    def heard_from(self, entry_vm: str, *, now_s: float) -> None:
        """Record that an entry VM sent a message."""
        self._heard_s[entry_vm] = now_s
        self._heard_s.move_to_end(entry_vm)
        while len(self._heard_s) > MAX_ENTRY_VMS:
            self._heard_s.popitem(last=False)

    def assign(self, assignment: Assignment, *, now_s: float) -> None:
        """Record that a request goes to a server."""
        request = assignment.request
        self._end_elsewhere(assignment, now_s=now_s)
        heard_s = self._heard_s.get(request.entry_vm, -math.inf)
        self.heard_from(request.entry_vm, now_s=max(heard_s, request.arrived_s))
        self._ended.pop((request.request_id, assignment.server), None)
        self._add(assignment, assigned_s=now_s, now_s=now_s)

    def _add(
        self, assignment: Assignment, *, assigned_s: float, now_s: float
    ) -> AssignedRun:
        request = assignment.request
        work = self.of_server(assignment.server, born_ms=assignment.born_ms)
        run = AssignedRun(
            assignment=assignment,
            assigned_s=assigned_s,
            reported_s=now_s,
            cost=self.costs.predict(request),
        )
        work.runs[request.request_id] = run
        self._server_of[request.request_id] = assignment.server
        work.recompute_prefill(now_s=now_s)
        return run

    def _end_elsewhere(self, assignment: Assignment, *, now_s: float) -> None:
        """End the run of a request that goes to another server now."""
        request_id = assignment.request.request_id
        known = self._server_of.get(request_id)
        if known is not None and known != assignment.server:
            self._drop(self.servers[known], request_id, server=known)
            self.servers[known].recompute_prefill(now_s=now_s)

    def apply(self, report: RunReport, *, now_s: float) -> None:
        """Apply what an entry VM reports of a run."""
        run = self._find_run(report)
        adopted = run is None and self._may_adopt(report, now_s=now_s)
        if adopted and report.assignment is not None:
            run = self._adopt(report, report.assignment, now_s=now_s)
        work = self.servers.get(report.server)
        if work is None or 0 < report.born_ms < work.born_ms:
            return
        if report.load is not None:
            work.pace.note_slowdown(
                report.load.slowdown, now_s=now_s - report.load_age_s
            )
            work.recompute_prefill(now_s=now_s)
        if run is None:
            return
        self.heard_from(run.assignment.request.entry_vm, now_s=now_s)
        run.reported_s = now_s
        run.reported = True
        if report.events is not None:
            run.events = max(run.events, report.events)
        if report.began_after_s is not None and run.begun_s is None:
            # The time that the entry VM measured doesn't depend on how late
            # the report arrives.
            begun_s = min(now_s, run.arrives_s + report.began_after_s)
            # What was prefilled before a run that is new here is not known.
            work.begin(run, begun_s=begun_s, learn=not adopted)
        if report.outcome is not None:
            self._end(work, run, report, now_s=now_s)
        work.recompute_prefill(now_s=now_s)

    def _find_run(self, report: RunReport) -> AssignedRun | None:
        """Return the run of a report; an unreported one is counted again."""
        request_id, server = report.request_id, report.server
        work = self.servers.get(server)
        if work is None:
            return None
        found = work.runs.get(request_id)
        if found is None and request_id not in self._server_of:
            found = work.unreported.pop(request_id, None)
            if found is not None:
                work.runs[request_id] = found
                self._server_of[request_id] = server
        return found

    def _may_adopt(self, report: RunReport, *, now_s: float) -> bool:
        """Return whether a report shows a run that was assigned elsewhere."""
        assignment = report.assignment
        if (
            assignment is None
            or (report.request_id, report.server) in self._ended
            or assignment.request.deadline_s + EXPIRY_MARGIN_S < now_s
        ):
            return False
        work = self.servers.get(report.server)
        if work is not None and 0 < assignment.born_ms < work.born_ms:
            return False
        known = self._server_of.get(report.request_id)
        # An entry VM that has not reported the run that it was assigned may
        # never have learned of it.
        return known is None or not self.servers[known].runs[report.request_id].reported

    def _adopt(
        self, report: RunReport, assignment: Assignment, *, now_s: float
    ) -> AssignedRun:
        """Add a run that an entry VM placed by itself."""
        self._end_elsewhere(assignment, now_s=now_s)
        ran_s = max(report.ran_s or 0.0, report.began_after_s or 0.0)
        assigned_s = now_s - ran_s - ARRIVAL_DELAY_S
        return self._add(assignment, assigned_s=assigned_s, now_s=now_s)

    def _end(
        self, work: ServerWork, run: AssignedRun, report: RunReport, *, now_s: float
    ) -> None:
        if report.event_gap_s is not None:
            work.pace.note_event_gap(_usual_gap_s(report), model=run.model)
        if report.outcome is RunOutcome.COMPLETED:
            self.costs.record(
                run.assignment.request, events=report.events, ran_s=report.ran_s
            )
        self._drop(work, report.request_id, server=report.server)

    def _drop(self, work: ServerWork, request_id: str, *, server: str) -> None:
        """Drop a run, and ignore reports of it from now on."""
        work.runs.pop(request_id, None)
        work.unreported.pop(request_id, None)
        if self._server_of.get(request_id) == server:
            del self._server_of[request_id]
        self._ended[(request_id, server)] = None
        self._ended.move_to_end((request_id, server))
        while len(self._ended) > MAX_ENDED_RUNS:
            self._ended.popitem(last=False)

    def server_of(self, request_id: str) -> str | None:
        """Return the server that a request is assigned to."""
        return self._server_of.get(request_id)

    def drop_expired(self, *, now_s: float) -> None:
        """Drop runs that must have ended; find those that are unreported."""
        for server, work in self.servers.items():
            known = {**work.runs, **work.unreported}
            expired = [
                request_id
                for request_id, run in known.items()
                if run.assignment.request.deadline_s + EXPIRY_MARGIN_S < now_s
            ]
            for request_id in expired:
                self._drop(work, request_id, server=server)
            silent = [
                run
                for run in work.runs.values()
                if self._is_silent(run, pace=work.pace, now_s=now_s)
            ]
            for run in silent:
                del work.runs[run.request_id]
                work.unreported[run.request_id] = run
                self._server_of.pop(run.request_id, None)
            if expired or silent:
                work.recompute_prefill(now_s=now_s)

    def _is_silent(self, run: AssignedRun, *, pace: ServerPace, now_s: float) -> bool:
        """Return whether a report of a run is long overdue."""
        entry_vm = run.assignment.request.entry_vm
        heard_s = max(run.reported_s, self._heard_s.get(entry_vm, -math.inf))
        if now_s - heard_s > SILENT_ENTRY_VM_S:
            return True
        if run.cost is None:
            return False
        due_s = run.reported_s
        if not run.model:
            due_s += LONG_RUN_FACTOR * run.cost.run_time_s.high
        elif run.reported:
            gap_s = pace.event_gap_s(model=run.model)
            due_s += LONG_RUN_FACTOR * run.cost.events.high * gap_s
        else:
            due_s += run.assignment.first_event_s
        return now_s > due_s + UNREPORTED_S

    def drop_server(self, server: str) -> None:
        """Forget a server that is gone."""
        work = self.servers.pop(server, None)
        for request_id in work.runs if work is not None else ():
            self._server_of.pop(request_id, None)


def _usual_gap_s(report: RunReport) -> float:
    """Return the mean time between events, without the longest one if known."""
    gap_s = report.event_gap_s or 0.0
    gaps = (report.events or 0) - 1
    if gaps < 2 or report.longest_gap_s < gap_s:
        return gap_s
    return max(0.0, gap_s * gaps - report.longest_gap_s) / (gaps - 1)
