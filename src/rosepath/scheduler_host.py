"""Run the scheduler for the entry VMs that ask this one."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from rosepath.assignment import (
    Assignment,
    AssignmentRejection,
    AssignmentRequest,
    Decision,
    RunOutcome,
    RunReport,
)
from rosepath.caller_request import Prompt
from rosepath.clock import Clock
from rosepath.logs import get_logger
from rosepath.scheduler import Scheduler
from rosepath.scheduling_messages import (
    AssignmentQuery,
    AssignmentReply,
    AssignmentStatus,
    RunInProgress,
    RunReports,
    SchedulingMessage,
    Withdrawal,
)

# Waiting requests are looked at this often, also without a report: predicted
# ends of prefills pass unannounced.
STEP_INTERVAL_S = 0.015
EXPIRY_INTERVAL_S = 1.0
# A scheduler logs what it has done since its last line at this interval.
LOG_INTERVAL_S = 5.0
# A VM that takes over assigns nothing for so long. Meanwhile the others list their
# runs in progress, which takes some milliseconds, or longer on a busy VM.
SETTLING_S = 0.3
# All VMs report their runs every second. After so long without any report, this
# VM is not the scheduler any more, and what it knows is outdated.
INACTIVE_AFTER_S = 3.0
# Entry VMs ask again for a request that waits every 0.15 s. A VM that has been
# silent for so long is gone, or has another scheduler.
ASKED_AGAIN_WITHIN_S = 0.7
# An assignment may be on its way for so long, and its VM can't list it yet.
IN_TRANSIT_S = 0.5

# `unlisted` are runs that a VM did not list any more: their reports were lost.
COUNTED = ("assigned", "rejected", "chosen_by_vms", "unlisted")

_log = get_logger()


@dataclass(slots=True, kw_only=True)
class _Asker:
    """Hold where the decision about a waiting request is sent."""

    reply_to: str
    asked_s: float


class SchedulerHost:
    """Own this VM's scheduler and the addresses of those that wait for it.

    It assigns for other VMs while it is `available`: it knows the configuration and
    the servers, and does not stop. Decisions about its own requests go to
    `on_own_decision`; `request_run_lists` asks all VMs for their runs in progress.
    """

    def __init__(
        self,
        entry_vm: str,
        scheduler: Scheduler,
        *,
        clock: Clock,
        send: Callable[[SchedulingMessage, str], None],
        available: Callable[[], bool],
    ) -> None:
        self._me = entry_vm
        self.scheduler = scheduler
        self._clock = clock
        self._send = send
        self._available = available
        self.on_own_decision: Callable[[Decision], None] = lambda _: None
        self.request_run_lists: Callable[[], None] = lambda: None
        self._askers: dict[str, _Asker] = {}
        self._used_s = -math.inf
        self._settled_s = -math.inf
        self._has_waiting = asyncio.Event()
        self._logged_s = -math.inf
        self._counts: Counter[str] = Counter()

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a server."""
        return len(self.scheduler.queue)

    def settling_s(self) -> float:
        """Return how long this VM does not assign yet, now that it is asked."""
        now_s = self._now_s()
        inactive_s, self._used_s = now_s - self._used_s, now_s
        if inactive_s > INACTIVE_AFTER_S:
            self._settled_s = now_s + SETTLING_S
            _log.info("scheduler_started", settling_s=SETTLING_S)
            self.request_run_lists()
        return max(0.0, self._settled_s - now_s)

    # Requests of this VM

    def submit(self, request: AssignmentRequest) -> None:
        """Add a request of this VM; its decision may come at once or later."""
        self._dispatch(self.scheduler.submit(request, now_s=self._now_s()))

    def withdraw(self, request_id: str) -> None:
        """Forget a request that will not run, whether it waits or has a server."""
        self._askers.pop(request_id, None)
        self.scheduler.withdraw(request_id)
        server = self.scheduler.work.server_of(request_id)
        if server is not None:
            self._report([_not_run(request_id, server)])

    def apply(self, message: RunReports) -> None:
        """Apply what an entry VM reports of its runs."""
        self.settling_s()
        now_s = self._now_s()
        self.scheduler.work.heard_from(message.entry_vm, now_s=now_s)
        if not message.complete:
            self._counts["chosen_by_vms"] += len(message.runs)
        for run in message.runs:
            assignment = _as_assignment(run, message.entry_vm, now_s=now_s)
            self.scheduler.adopt(assignment, begun=run.begun, now_s=now_s)
        reports = list(message.reports)
        if message.complete:
            unlisted = self.scheduler.unlisted_runs(
                message.entry_vm,
                {run.request_id for run in message.runs},
                assigned_before_s=now_s - IN_TRANSIT_S,
            )
            self._counts["unlisted"] += len(unlisted)
            reports += [
                _not_run(assignment.request.request_id, assignment.server)
                for assignment in unlisted
            ]
        if reports:
            self._report(reports)

    # Messages of other VMs

    def handle(self, message: AssignmentQuery | RunReports | Withdrawal) -> None:
        """Handle another entry VM's message to the scheduler."""
        match message:
            case AssignmentQuery():
                self._answer(message)
            case RunReports():
                self.apply(message)
            case Withdrawal():
                self.withdraw(message.request_id)

    def _answer(self, query: AssignmentQuery) -> None:
        if not self._available():
            self._reply(query.request_id, query.reply_to, AssignmentStatus.LEAVING)
            return
        settling_s = self.settling_s()
        if settling_s > 0:
            self._reply(
                query.request_id,
                query.reply_to,
                AssignmentStatus.SETTLING,
                retry_after_s=settling_s,
            )
            return
        now_s = self._now_s()
        self.scheduler.work.heard_from(query.entry_vm, now_s=now_s)
        self._askers[query.request_id] = _Asker(reply_to=query.reply_to, asked_s=now_s)
        if query.request_id not in self.scheduler.queue:
            request = _as_request(query, now_s=now_s)
            self._dispatch(self.scheduler.submit(request, now_s=now_s))
        if query.request_id in self._askers:
            self._reply(query.request_id, query.reply_to, AssignmentStatus.WAITING)

    def _reply(
        self,
        request_id: str,
        address: str,
        status: AssignmentStatus,
        *,
        retry_after_s: float = 0.0,
    ) -> None:
        """Reply without a decision."""
        reply = AssignmentReply(
            request_id=request_id,
            scheduler=self._me,
            status=status,
            retry_after_s=retry_after_s,
        )
        self._send(reply, address)

    # Periodic work

    async def run_steps(self) -> None:
        """Assign waiting requests as servers get room, indefinitely."""
        while True:
            await self._has_waiting.wait()
            self.step()
            await asyncio.sleep(STEP_INTERVAL_S)

    def step(self) -> None:
        """Assign the waiting requests for which there is room."""
        now_s = self._now_s()
        if not self._available():
            self._send_away()
        for request_id, asker in list(self._askers.items()):
            if now_s - asker.asked_s > ASKED_AGAIN_WITHIN_S:
                del self._askers[request_id]
                self.scheduler.withdraw(request_id)
        self._dispatch(self.scheduler.step(now_s=now_s))

    def _send_away(self) -> None:
        """Tell the VMs whose requests wait to ask another scheduler."""
        for request_id, asker in self._askers.items():
            self.scheduler.withdraw(request_id)
            self._reply(request_id, asker.reply_to, AssignmentStatus.LEAVING)
        self._askers.clear()

    async def run_expiry(self) -> None:
        """Forget runs and servers that are gone, indefinitely."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            if self.scheduler.work.servers:
                self.scheduler.drop_expired(now_s=self._now_s())
            self._log_use()

    def _log_use(self) -> None:
        """Log what was decided, while other VMs report to this one."""
        now_s = self._now_s()
        active = now_s - self._used_s <= INACTIVE_AFTER_S
        if not active or now_s < self._logged_s + LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        servers = self.scheduler.work.servers.values()
        _log.info(
            "scheduler_use",
            waiting=self.waiting,
            runs=sum(len(work.runs) for work in servers),
            servers=sum(bool(work.runs) for work in servers),
            **{name: self._counts[name] for name in COUNTED},
        )
        self._counts.clear()

    def _report(self, reports: Iterable[RunReport]) -> None:
        self._dispatch(self.scheduler.report(reports, now_s=self._now_s()))

    def _dispatch(self, decisions: Iterable[Decision]) -> None:
        """Send each decision to the VM that waits for it."""
        for decision in decisions:
            assigned = isinstance(decision, Assignment)
            self._counts["assigned" if assigned else "rejected"] += 1
            request_id = decision.request.request_id
            asker = self._askers.pop(request_id, None)
            if asker is not None:
                self._send(as_reply(decision, self._me), asker.reply_to)
            elif decision.request.entry_vm == self._me:
                self.on_own_decision(decision)
        if self.waiting:
            self._has_waiting.set()
        else:
            self._has_waiting.clear()

    def _now_s(self) -> float:
        return self._clock.monotonic_s()


def _not_run(request_id: str, server: str) -> RunReport:
    return RunReport(request_id=request_id, server=server, outcome=RunOutcome.NOT_RUN)


def _as_request(query: AssignmentQuery, *, now_s: float) -> AssignmentRequest:
    """Return the request of a query with times on this VM's clock."""
    return AssignmentRequest(
        request_id=query.request_id,
        service=query.service,
        entry_vm=query.entry_vm,
        data_centre=query.data_centre,
        arrived_s=now_s - query.age_s,
        due_s=now_s + query.due_in_s,
        wait_until_s=now_s + query.wait_s,
        deadline_s=now_s + query.left_s,
        gap_s=query.gap_s,
        priority=query.priority,
        workspace=query.workspace,
        prompt=query.prompt,
        route=query.route,
        tried=query.tried,
    )


def _as_assignment(run: RunInProgress, entry_vm: str, *, now_s: float) -> Assignment:
    """Return the assignment of a run that was placed elsewhere."""
    model, _, adapter = run.target.partition("/")
    request = AssignmentRequest(
        request_id=run.request_id,
        service=run.service,
        entry_vm=entry_vm,
        data_centre="",
        arrived_s=now_s,
        due_s=now_s,
        wait_until_s=now_s,
        deadline_s=now_s + run.left_s,
        gap_s=run.gap_s,
        priority=run.priority,
        workspace=run.workspace,
        prompt=Prompt(model=model, adapter=adapter) if model else None,
    )
    return Assignment(
        request=request,
        server=run.server,
        unread_tokens=0 if run.begun else run.unread_tokens,
    )


def as_reply(decision: Decision, scheduler: str) -> AssignmentReply:
    """Return the reply that carries a decision to the VM that asked."""
    match decision:
        case Assignment():
            return AssignmentReply(
                request_id=decision.request.request_id,
                scheduler=scheduler,
                status=AssignmentStatus.ASSIGNED,
                server=decision.server,
                unread_tokens=decision.unread_tokens,
                first_event_s=decision.first_event_s,
            )
        case AssignmentRejection():
            return AssignmentReply(
                request_id=decision.request.request_id,
                scheduler=scheduler,
                status=AssignmentStatus.REJECTED,
                code=decision.code,
                retry_after_s=decision.retry_after_s,
            )
