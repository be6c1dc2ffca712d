"""Ask the scheduler for the servers of this entry VM's requests.

The scheduler runs on the entry VM that coordinates the quotas. While it is
silent, this VM chooses servers by itself.
"""

import asyncio
import math
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from rosepath.assignment import (
    Assignment,
    AssignmentRejection,
    AssignmentRequest,
    Decision,
    RunReport,
)
from rosepath.clock import Clock
from rosepath.logs import get_logger
from rosepath.peer_table import PeerTable
from rosepath.scheduler_host import SchedulerHost, as_reply
from rosepath.scheduling_messages import (
    AssignmentQuery,
    AssignmentReply,
    AssignmentStatus,
    RunInProgress,
    RunListRequest,
    RunReports,
    SchedulingMessage,
    Withdrawal,
)

# Callers expect a first event after 0.4 s and more. A scheduler that has failed
# costs a request MAX_SENDS times this.
RESEND_AFTER_S = 0.05
MAX_SENDS = 3
# A request that waits is asked for again after this, in case the decision was
# lost or the scheduler is gone.
ASK_AGAIN_AFTER_S = 0.15
# Requests don't ask a scheduler again that was silent so recently, unless
# another one has been chosen by then.
SILENCE_S = 1.0
# Schedulers asked for one request before this VM chooses by itself.
MAX_SCHEDULERS = 2
# How often a waiting request checks whether it still may wait.
WAIT_CHECK_S = 0.1
# Reports are collected for so long, or until a datagram is full.
REPORT_INTERVAL_S = 0.01
MAX_PER_DATAGRAM = 20
# All runs in progress are listed this often, which makes up for lost reports.
LIST_INTERVAL_S = 1.0
MAX_LISTED_RUNS = 100

_log = get_logger()


@dataclass(slots=True)
class _Run:
    """Hold an own run in progress and whether it has begun to answer."""

    assignment: Assignment
    begun: bool = False


@dataclass(slots=True)
class _Pending:
    """Hold the replies to a query until they are read."""

    replies: "asyncio.Queue[AssignmentReply]" = field(default_factory=asyncio.Queue)

    async def next_reply(self, limit_s: float) -> AssignmentReply | None:
        """Return the next reply, None if none comes in time."""
        try:
            async with asyncio.timeout(limit_s):
                return await self.replies.get()
        except TimeoutError:
            return None


class SchedulerClient:
    """Own the queries of this VM and the list of its runs in progress.

    `scheduler` returns the entry VM that schedules, None while that is unknown;
    `choose_other` chooses another one than that which does not respond.
    """

    def __init__(
        self,
        entry_vm: str,
        address: str,
        *,
        clock: Clock,
        peers: PeerTable,
        host: SchedulerHost,
        scheduler: Callable[[], str | None],
        choose_other: Callable[[str], Awaitable[None]],
        send: Callable[[SchedulingMessage, str], None],
        in_use: Callable[[], bool],
        count: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._me = entry_vm
        self._address = address
        self._clock = clock
        self._peers = peers
        self._host = host
        self._scheduler = scheduler
        self._choose_other = choose_other
        self._send = send
        self._in_use = in_use
        self._count = count
        self._start = uuid.uuid4().hex[:8]
        self._number = 0
        self._pending: dict[str, _Pending] = {}
        self._runs: dict[str, _Run] = {}
        self._unsent_runs: list[RunInProgress] = []
        self._unsent_reports: list[RunReport] = []
        self._flush_timer: asyncio.TimerHandle | None = None
        self._choosing: asyncio.Future[None] | None = None
        # Which scheduler is not asked, and until when.
        self._avoided = ""
        self._avoided_until_s = -math.inf
        self._lost = ""
        host.on_own_decision = self._take_own_decision
        host.request_run_lists = self._request_run_lists

    @property
    def in_use(self) -> bool:
        """Return whether requests are assigned by the scheduler."""
        return self._in_use()

    def next_id(self) -> str:
        """Return an id for an attempt, unique over all VMs and their starts."""
        self._number += 1
        return f"{self._me}.{self._start}.{self._number}"

    async def assign(
        self,
        request: AssignmentRequest,
        *,
        on_waiting: Callable[[], None] = lambda: None,
    ) -> tuple[Decision | None, str]:
        """Return the decision about a request and the scheduler that made it.

        Without a decision, this VM chooses by itself. `on_waiting` is called while
        the request waits; if it raises, the request is withdrawn.
        """
        for _ in range(MAX_SCHEDULERS):
            scheduler = self._scheduler()
            if scheduler is None or self._avoids(scheduler):
                break
            reply = await self._ask(scheduler, request, on_waiting)
            if reply is None:
                self._note_silent(scheduler)
                break
            decision = self._decision(reply, request)
            if decision is not None:
                self._count(reply.status.value)
                return decision, scheduler
            if reply.status is AssignmentStatus.SETTLING:
                self._avoid(scheduler, reply.retry_after_s)
                break
            if self._scheduler() == scheduler:
                await self._choose_other(scheduler)
        self._count("unscheduled")
        return None, ""

    def note_placed(self, assignment: Assignment) -> None:
        """Report a run for which this VM chose the server."""
        run = self._runs[assignment.request.request_id] = _Run(assignment)
        self._unsent_runs.append(self._describe(run))
        self._flush_soon()

    def report(self, report: RunReport) -> None:
        """Report the progress of a run to the scheduler."""
        run = self._runs.get(report.request_id)
        if run is None:
            return
        if report.began_after_s is not None:
            run.begun = True
        if report.outcome is not None:
            del self._runs[report.request_id]
        self._unsent_reports.append(report)
        self._flush_soon()

    def handle(self, message: SchedulingMessage) -> None:
        """Handle another entry VM's message."""
        match message:
            case AssignmentReply():
                self._take_reply(message)
            case RunListRequest():
                self._list_runs(lambda runs: self._send(runs, message.reply_to))
            case _:
                self._host.handle(message)

    def _take_reply(self, message: AssignmentReply) -> None:
        pending = self._pending.get(message.request_id)
        if pending is not None:
            pending.replies.put_nowait(message)
        elif (
            message.status is AssignmentStatus.ASSIGNED
            and message.request_id not in self._runs
        ):
            # The request's caller left, or another scheduler was asked.
            self._withdraw(message.scheduler, message.request_id)

    def note_scheduler_changed(self) -> None:
        """Report all runs in progress to a scheduler that does not know them."""
        if self.in_use:
            scheduler = self._scheduler() or ""
            _log.info("scheduler_chosen", peer=scheduler, runs=len(self._runs))
            self._flush()
            self._list_runs(self._send_reports)

    async def run(self) -> None:
        """List the runs in progress to the scheduler, indefinitely."""
        while True:
            await asyncio.sleep(LIST_INTERVAL_S)
            if self.in_use:
                self._flush()
                self._list_runs(self._send_reports)

    # Queries

    async def _ask(
        self,
        scheduler: str,
        request: AssignmentRequest,
        on_waiting: Callable[[], None],
    ) -> AssignmentReply | None:
        """Ask a scheduler; return its last reply, None if it is silent."""
        request_id = request.request_id
        # The end of the request's last attempt, if any, must be known before.
        self._flush()
        pending = self._pending[request_id] = _Pending()
        reply: AssignmentReply | None = None
        try:
            if scheduler == self._me:
                reply = await self._ask_own(request, pending, on_waiting)
            else:
                reply = await self._ask_other(scheduler, request, pending, on_waiting)
            return reply
        finally:
            del self._pending[request_id]
            if reply is None or reply.status is AssignmentStatus.WAITING:
                self._withdraw(scheduler, request_id)

    async def _ask_own(
        self,
        request: AssignmentRequest,
        pending: _Pending,
        on_waiting: Callable[[], None],
    ) -> AssignmentReply:
        settling_s = self._host.settling_s()
        if settling_s > 0:
            return AssignmentReply(
                request_id=request.request_id,
                scheduler=self._me,
                status=AssignmentStatus.SETTLING,
                retry_after_s=settling_s,
            )
        self._host.submit(request)
        reply = pending.replies.get_nowait() if pending.replies.qsize() else None
        if reply is None:
            self._count(AssignmentStatus.WAITING.value)
        while reply is None:
            on_waiting()
            reply = await pending.next_reply(WAIT_CHECK_S)
        return reply

    async def _ask_other(
        self,
        scheduler: str,
        request: AssignmentRequest,
        pending: _Pending,
        on_waiting: Callable[[], None],
    ) -> AssignmentReply | None:
        peer = self._peers.peers.get(scheduler)
        if peer is None:
            return None
        reply: AssignmentReply | None = None
        unanswered = 0
        waits = False
        self._send(self._query(request), peer.address)
        while True:
            limit_s = RESEND_AFTER_S if unanswered or not waits else ASK_AGAIN_AFTER_S
            reply = await pending.next_reply(limit_s)
            if reply is not None and reply.status is not AssignmentStatus.WAITING:
                self._note_heard(scheduler)
                return reply
            if reply is None:
                unanswered += 1
                if unanswered >= MAX_SENDS:
                    return None
                self._send(self._query(request), peer.address)
            else:
                self._note_heard(scheduler)
                if not waits:
                    self._count(AssignmentStatus.WAITING.value)
                waits, unanswered = True, 0
            if waits:
                on_waiting()
                if self._scheduler() != scheduler:
                    return AssignmentReply(
                        request_id=request.request_id,
                        scheduler=scheduler,
                        status=AssignmentStatus.WAITING,
                    )

    def _query(self, request: AssignmentRequest) -> AssignmentQuery:
        now_s = self._now_s()
        return AssignmentQuery(
            request_id=request.request_id,
            entry_vm=self._me,
            reply_to=self._address,
            data_centre=request.data_centre,
            service=request.service,
            age_s=now_s - request.arrived_s,
            due_in_s=request.due_s - now_s,
            wait_s=request.wait_until_s - now_s,
            left_s=request.deadline_s - now_s,
            gap_s=request.gap_s,
            priority=request.priority,
            workspace=request.workspace,
            route=request.route,
            prompt=request.prompt,
            tried=request.tried,
        )

    def _decision(
        self, reply: AssignmentReply, request: AssignmentRequest
    ) -> Decision | None:
        """Return the decision that a reply holds; keep the run if it is assigned."""
        if reply.status is AssignmentStatus.REJECTED:
            return AssignmentRejection(
                request=request, code=reply.code, retry_after_s=reply.retry_after_s
            )
        if reply.status is not AssignmentStatus.ASSIGNED:
            return None
        assignment = Assignment(
            request=request,
            server=reply.server,
            unread_tokens=reply.unread_tokens,
            first_event_s=reply.first_event_s,
        )
        self._runs[request.request_id] = _Run(assignment)
        return assignment

    def _take_own_decision(self, decision: Decision) -> None:
        request_id = decision.request.request_id
        pending = self._pending.get(request_id)
        if pending is not None:
            pending.replies.put_nowait(as_reply(decision, self._me))
        elif isinstance(decision, Assignment) and request_id not in self._runs:
            self._host.withdraw(request_id)

    def _withdraw(self, scheduler: str, request_id: str) -> None:
        if scheduler == self._me:
            self._host.withdraw(request_id)
        else:
            withdrawal = Withdrawal(request_id=request_id, entry_vm=self._me)
            self._send_to(scheduler, withdrawal)

    # Silence

    def _avoids(self, scheduler: str) -> bool:
        return scheduler == self._avoided and self._now_s() < self._avoided_until_s

    def _avoid(self, scheduler: str, for_s: float) -> None:
        self._avoided = scheduler
        self._avoided_until_s = self._now_s() + for_s

    def _note_silent(self, scheduler: str) -> None:
        """Let a scheduler that does not reply be replaced by another."""
        if self._avoids(scheduler):
            return
        self._avoid(scheduler, SILENCE_S)
        if self._lost != scheduler:
            self._lost = scheduler
            _log.info("scheduler_lost", peer=scheduler, runs=len(self._runs))
        if self._choosing is None or self._choosing.done():
            self._choosing = asyncio.ensure_future(self._choose_other(scheduler))

    def _note_heard(self, scheduler: str) -> None:
        if self._lost == scheduler:
            self._lost = ""
            _log.info("scheduler_regained", peer=scheduler)

    # Reports

    def _flush_soon(self) -> None:
        if len(self._unsent_reports) >= MAX_PER_DATAGRAM:
            self._flush()
        elif self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(REPORT_INTERVAL_S, self._flush)

    def _flush(self) -> None:
        """Send the collected reports now."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        runs, reports = self._unsent_runs, self._unsent_reports
        self._unsent_runs, self._unsent_reports = [], []
        for at in range(0, max(len(runs), len(reports)), MAX_PER_DATAGRAM):
            part = slice(at, at + MAX_PER_DATAGRAM)
            message = RunReports(
                entry_vm=self._me,
                runs=tuple(runs[part]),
                reports=tuple(reports[part]),
            )
            self._send_reports(message)

    def _request_run_lists(self) -> None:
        """Ask the other VMs for their runs, as this one schedules now."""
        request = RunListRequest(scheduler=self._me, reply_to=self._address)
        for peer in self._peers.peers.values():
            self._send(request, peer.address)

    def _list_runs(self, send: Callable[[RunReports], None]) -> None:
        """Send a list of all runs in progress, also if there are none."""
        runs = tuple(map(self._describe, self._runs.values()))
        complete = len(runs) <= MAX_LISTED_RUNS
        for at in range(0, max(1, len(runs)), MAX_LISTED_RUNS):
            some_runs = runs[at : at + MAX_LISTED_RUNS]
            send(RunReports(entry_vm=self._me, runs=some_runs, complete=complete))

    def _describe(self, run: _Run) -> RunInProgress:
        request, prompt = run.assignment.request, run.assignment.request.prompt
        return RunInProgress(
            request_id=request.request_id,
            server=run.assignment.server,
            service=request.service,
            begun=run.begun,
            left_s=request.deadline_s - self._now_s(),
            unread_tokens=0 if run.begun else run.assignment.unread_tokens,
            target=prompt.target if prompt is not None else "",
            gap_s=request.gap_s,
            priority=request.priority,
            workspace=request.workspace,
        )

    def _send_reports(self, message: RunReports) -> None:
        scheduler = self._scheduler()
        if scheduler == self._me:
            self._host.apply(message)
        elif scheduler is not None:
            self._send_to(scheduler, message)

    def _send_to(self, entry_vm: str, message: SchedulingMessage) -> None:
        peer = self._peers.peers.get(entry_vm)
        if peer is not None:
            self._send(message, peer.address)

    def _now_s(self) -> float:
        return self._clock.monotonic_s()
