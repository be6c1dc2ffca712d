"""Choose a backend server for a request, waiting briefly if there is none."""

import asyncio
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from rosepath.assignment import (
    Assignment,
    AssignmentRejection,
    RunOutcome,
    RunReport,
)
from rosepath.assignment_requests import (
    build_assignment_request,
    build_own_assignment,
)
from rosepath.caller_request import Prompt
from rosepath.catalog import EngineSpec
from rosepath.crash_records import Suspicion
from rosepath.engine_choice import (
    EngineChoice,
    choose_engine,
    has_capacity,
    holds_adapter,
)
from rosepath.engine_views import load_duration_s
from rosepath.errors import RefusalError, Run, Step, refuse
from rosepath.fleet import BackendServer, InFlightRequest
from rosepath.logs import get_logger
from rosepath.model_arrivals import RETRY_JITTER_S, WaitDecision, choose_wait
from rosepath.request_context import RETRY_AFTER_S, RelayPorts, RequestContext
from rosepath.server_choice import choose_server, healthy_servers
from rosepath.suspect_tracker import SuspectTracker

# How long a request to a service without engines waits for a server before it
# is refused.
NO_SERVER_WAIT_S = 0.5
# Share of the time until the caller disconnects that a generation may spend
# waiting for an engine with its model; the rest is for the engine to start.
MAX_WAIT_SHARE = 0.85
# An earlier retry would be refused again.
QUARANTINED_RETRY_AFTER_S = 60.0
QUARANTINED_CODE = "crashes_servers"
STOPPING_CODE = "vm_stopping"
VERSION_ABSENT_CODE = "software_version_absent"
# An adapter loads in about 20 ms. A placement lease holder that does not
# reply within this time may have failed, and the request goes to its
# successor.
ADAPTER_WAIT_S = 0.4

# Servers that the scheduler assigns to a request, but which this VM may not use
# now, before the request waits for a change.
MAX_UNUSABLE_ASSIGNMENTS = 3

_log = get_logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class _Wait:
    """Hold since when and until when a request waits for a server."""

    started_s: float
    until_s: float
    count: Callable[[], None]


class ServerPicker:
    """Choose servers, load adapters and count waiting requests as demand."""

    def __init__(self, ports: RelayPorts, suspects: SuspectTracker) -> None:
        self._ports = ports
        self._suspects = suspects

    async def choose(
        self, context: RequestContext
    ) -> tuple[BackendServer, InFlightRequest]:
        """Choose a server, waiting up to a limit if there is none."""
        started_s = self._now_s()
        wait_until_s = self._wait_limit_s(context, started_s)
        if context.service.engine is not None:
            if context.call.prompt is not None and not context.attempt_evidence:
                self._ports.models.note_request_received(
                    context.service.name, context.call.prompt
                )
        with self._counted_waiting(context) as count_waiting:
            wait = _Wait(started_s=started_s, until_s=wait_until_s, count=count_waiting)
            return await self._choose_until(context, wait)

    @staticmethod
    def _wait_limit_s(context: RequestContext, started_s: float) -> float:
        """Return until when a request may wait for a server.

        The caller of a stream disconnects if the first event takes too long,
        and the engine needs part of that time. A request that would be lost if
        refused waits until its deadline.
        """
        if context.caller_cannot_retry:
            return context.deadline_s
        if context.service.engine is None:
            return min(started_s + NO_SERVER_WAIT_S, context.deadline_s)
        patience_s = min(context.route.event_timeout_s, context.route.timeout_s)
        left_s = MAX_WAIT_SHARE * patience_s
        return min(context.call.arrived_s + left_s, context.deadline_s)

    @contextmanager
    def _counted_waiting(self, context: RequestContext) -> Iterator[Callable[[], None]]:
        """Provide a callback that counts the request as waiting until exit."""
        prompt = context.call.prompt
        models, service = self._ports.models, context.service.name
        counted = False

        def count() -> None:
            nonlocal counted
            if prompt is not None and not counted:
                counted = True
                models.note_waiting(service, prompt, step=1)

        try:
            yield count
        finally:
            if counted and prompt is not None:
                models.note_waiting(service, prompt, step=-1)

    async def _choose_until(
        self, context: RequestContext, wait: _Wait
    ) -> tuple[BackendServer, InFlightRequest]:
        if context.software_version is not None:
            await self._ports.confirm_instances()
        while True:
            self._refuse_if_quarantined(context)
            self._refuse_if_stopping(context)
            await self._ports.ensure_fresh()
            self._refuse_if_stranded(context)
            scheduled, chosen = False, None
            if self._asks_scheduler(context):
                scheduled, chosen = await self._pick_assigned(context, wait)
            if not scheduled:
                chosen = await self._pick(context)
            now_s = self._now_s()
            if chosen is not None:
                if now_s < context.deadline_s:
                    context.waited_s += now_s - wait.started_s
                    return chosen
                server, in_flight = chosen
                self._report_not_run(in_flight.run_id, server.name)
            self.give_back_admission(context)
            self._refuse_if_out_of_time(context, wait)
            self._refuse_if_late(context, wait.started_s, wait.until_s)
            wait.count()
            await self._wait_for_change(min(wait.until_s - now_s, 0.1))

    def _refuse_if_out_of_time(self, context: RequestContext, wait: _Wait) -> None:
        """Refuse a request that may wait no longer."""
        now_s = self._now_s()
        if now_s >= min(wait.until_s, self._stop_limit_s(context)):
            context.waited_s += now_s - wait.started_s
            raise _refused(
                context,
                "no_server",
                "no server can take the request now",
                retry_after_s=self.retry_after_s(context),
            )

    def _asks_scheduler(self, context: RequestContext) -> bool:
        """Return whether a request's server is assigned by the scheduler.

        While no engine has its model, it waits here, as demand for the model.
        """
        return self._ports.scheduling.in_use and bool(self._eligible_servers(context))

    async def _pick_assigned(
        self, context: RequestContext, wait: _Wait
    ) -> tuple[bool, tuple[BackendServer, InFlightRequest] | None]:
        """Return whether a scheduler decided, and the server that it assigned.

        Raises RefusalError if it rejects the request.
        """
        ports = self._ports
        unusable: set[str] = set()

        def check_waiting() -> None:
            wait.count()
            self._refuse_if_quarantined(context)
            self._refuse_if_stopping(context)
            self._refuse_if_stranded(context)
            self._refuse_if_out_of_time(context, wait)
            self._refuse_if_late(context, wait.started_s, wait.until_s)

        while len(unusable) < MAX_UNUSABLE_ASSIGNMENTS:
            avoided = self._suspects.avoided_servers(context, ports.fleet.servers)
            if avoided is None or self._has_tried_all(context, avoided):
                return True, None
            now_s = self._now_s()
            request = build_assignment_request(
                context,
                ports.scheduling.next_id(),
                entry_vm=ports.entry_vm,
                data_centre=ports.data_centre,
                tried=frozenset(
                    context.tried | avoided | unusable | self._excluded_names(context)
                ),
                wait_until_s=min(wait.until_s, self._stop_limit_s(context)),
                now_s=now_s,
            )
            try:
                decision, context.scheduler = await ports.scheduling.assign(
                    request, on_waiting=check_waiting
                )
            finally:
                context.scheduler_wait_s += self._now_s() - now_s
            if decision is None:
                return False, None
            if isinstance(decision, AssignmentRejection):
                self._refuse_rejected(context, decision, wait)
                return True, None
            server = await self._prepare_assigned(context, decision)
            if server is not None:
                return True, (server, self._start_assigned(context, decision, server))
            unusable.add(decision.server)
        return True, None

    def _excluded_names(self, context: RequestContext) -> set[str]:
        """Return the servers of the service that can't continue the stream."""
        if context.software_version is None:
            return set()
        return {
            server.name
            for server in self._ports.fleet.of_service(context.service.name)
            if not context.may_run_at(server)
        }

    def _has_tried_all(self, context: RequestContext, avoided: frozenset[str]) -> bool:
        """Return whether no server is left to try; then any may be tried again."""
        names = {server.name for server in self._eligible_servers(context)} - avoided
        if names - context.tried:
            return False
        if context.service.engine is not None or not context.not_run:
            context.tried.clear()
        return True

    def _refuse_rejected(
        self, context: RequestContext, rejection: AssignmentRejection, wait: _Wait
    ) -> None:
        """Refuse a rejected request, unless that would lose it."""
        if context.caller_cannot_retry:
            return
        context.waited_s += self._now_s() - wait.started_s
        raise _refused(
            context,
            rejection.code,
            "the scheduler has no server for the request",
            retry_after_s=rejection.retry_after_s,
        )

    async def _prepare_assigned(
        self, context: RequestContext, assignment: Assignment
    ) -> BackendServer | None:
        """Return the assigned server once the request may be sent to it."""
        server = self._ports.fleet.servers.get(assignment.server)
        prepared = False
        try:
            prepared = server is not None and await self._may_use(context, server)
        finally:
            if not prepared:
                self.give_back_admission(context)
                self._report_not_run(assignment.request.request_id, assignment.server)
        return server if prepared else None

    async def _may_use(self, context: RequestContext, server: BackendServer) -> bool:
        """Return whether a request may be sent to a server as this VM sees it."""
        ports, now_s = self._ports, self._now_s()
        prompt, spec = context.call.prompt, context.service.engine
        generates = spec is not None and prompt is not None
        if not context.may_run_at(server):
            return False
        if not server.accepts_requests(now_s) or server.down_until_s > now_s:
            return False
        if generates and prompt and prompt.model not in server.resident_models:
            return False
        if not self._suspects.may_send_to(context, server):
            return False
        if not await self._admit_to_server(context, server):
            return False
        if not generates or prompt is None or holds_adapter(server, prompt):
            return True
        limit_s = min(ADAPTER_WAIT_S, context.deadline_s - now_s)
        return await ports.models.ensure_adapter(
            context.service.name, server, prompt, limit_s=limit_s
        )

    def _start_assigned(
        self, context: RequestContext, assignment: Assignment, server: BackendServer
    ) -> InFlightRequest:
        prompt = context.call.prompt
        in_flight = InFlightRequest(run_id=assignment.request.request_id)
        context.predicted_s = assignment.first_event_s
        if context.service.engine is not None and prompt is not None:
            in_flight.unread_tokens = assignment.unread_tokens
            in_flight.target = prompt.target
            self._note_generation(context, server, prompt, assignment.unread_tokens)
        return in_flight

    def _note_generation(
        self,
        context: RequestContext,
        server: BackendServer,
        prompt: Prompt,
        unread_tokens: int,
    ) -> None:
        """Record that a prompt will be read by an engine."""
        context.unread_tokens = unread_tokens
        self._ports.caches.note_read(server, prompt)
        self._ports.models.note_prefill_work(
            context.service.name, prompt, unread_tokens=unread_tokens
        )

    def _note_placed(
        self, context: RequestContext, server: BackendServer, in_flight: InFlightRequest
    ) -> InFlightRequest:
        """Report a run for which this VM chose the server to the scheduler."""
        scheduling = self._ports.scheduling
        if scheduling.in_use:
            in_flight.run_id = scheduling.next_id()
            assignment = build_own_assignment(
                context,
                in_flight.run_id,
                server.name,
                entry_vm=self._ports.entry_vm,
                data_centre=self._ports.data_centre,
                unread_tokens=in_flight.unread_tokens,
                now_s=self._now_s(),
            )
            scheduling.note_placed(assignment)
        return in_flight

    def _report_not_run(self, run_id: str, server: str) -> None:
        if run_id:
            report = RunReport(
                request_id=run_id, server=server, outcome=RunOutcome.NOT_RUN
            )
            self._ports.scheduling.report(report)

    def _stop_limit_s(self, context: RequestContext) -> float:
        """Return until when a planned shutdown lets a request wait.

        A request that was never sent is refused as not run and served by
        another VM. A stream that was interrupted to resume elsewhere has no
        such limit: if refused, it is lost to its caller.
        """
        return math.inf if context.caller_cannot_retry else self._ports.wait_limit_s()

    def fits_before_stop(self, context: RequestContext) -> bool:
        """Return whether a run that begins now ends before a planned stop does.

        If it is not known how long it takes, it may take until the deadline. One
        that its caller can't send again is tried as long as there is time at all.
        """
        end_s, now_s = self._ports.runs_end_s(), self._now_s()
        if math.isinf(end_s) or context.caller_cannot_retry:
            return True
        longest_s = self._ports.durations.longest_s(context.route.name)
        left_s = context.deadline_s - now_s
        needed_s = left_s if longest_s is None else min(left_s, longest_s)
        return now_s + needed_s <= end_s

    def _refuse_if_stopping(self, context: RequestContext) -> None:
        """Refuse a request that a planned stop would cut; others can serve it."""
        if self.fits_before_stop(context):
            return
        raise _refused(
            context,
            STOPPING_CODE,
            "this entry VM stops before the request could be served",
            retry_after_s=0.0,
        )

    def _refuse_if_quarantined(self, context: RequestContext) -> None:
        if self._suspects.suspicion(context) is not Suspicion.QUARANTINED:
            return
        key = self._suspects.suspected_key(context)
        _log.info(
            "request_quarantined",
            request_id=context.call.request_id,
            content=context.content_key,
            suspected=key,
            crashed=self._ports.crashes.records.crashed_servers(key),
        )
        raise _refused(
            context,
            QUARANTINED_CODE,
            "servers crashed each time that this request was run",
            retry_after_s=QUARANTINED_RETRY_AFTER_S,
        )

    def _refuse_if_stranded(self, context: RequestContext) -> None:
        """Refuse a stream that only other software versions could continue.

        It waits if no server of the service is there, or none that has its model:
        either may still come with its version.
        """
        if context.software_version is None or self._eligible_servers(context):
            return
        others = [
            server
            for server in self._ports.fleet.of_service(context.service.name)
            if server.usable and not context.may_run_at(server)
        ]
        own = {server.name for server in self._servers(context) if server.usable}
        prompt, models = context.call.prompt, self._ports.models
        if own and prompt is not None:
            if models.model_due_s(prompt.model, servers=own) is not None:
                return
            if models.model_due_s(prompt.model) is None:
                others = [
                    server
                    for server in others
                    if prompt.model in server.resident_models
                ]
        if not others:
            return
        raise _refused(
            context,
            VERSION_ABSENT_CODE,
            "no server of the software version that began the stream can continue it",
            retry_after_s=RETRY_AFTER_S,
        )

    def _refuse_if_late(
        self, context: RequestContext, started_s: float, wait_until_s: float
    ) -> None:
        """Refuse a request that can't be served while its caller waits."""
        if context.caller_cannot_retry:
            return
        prompt, now_s = context.call.prompt, self._now_s()
        eligible = self._eligible_servers(context)
        if prompt and context.service.engine and not eligible:
            due_s = self._model_due_s(context, prompt)
            code = "model_absent"
            why = "the model can't be loaded while the caller waits"
        elif eligible and all(server.paused_until_s > now_s for server in eligible):
            due_s = min(server.paused_until_s for server in eligible)
            code = "servers_back_off"
            why = "all servers that could take the request shed load"
        else:
            return
        choice = choose_wait(
            due_s=due_s,
            wait_until_s=wait_until_s,
            now_s=now_s,
            rng=self._ports.rng,
            shortest_load_s=self._shortest_load_s(context),
        )
        if choice.decision is WaitDecision.REFUSE:
            context.waited_s += now_s - started_s
            raise _refused(context, code, why, retry_after_s=choice.retry_after_s)

    def _shortest_load_s(self, context: RequestContext) -> float:
        """Return how long a load of the request's model takes at least.

        0 if that is unknown, or if requests wait for loads up to their limit.
        """
        prompt, spec = context.call.prompt, context.service.engine
        if not prompt or not spec or not self._ports.ends_hopeless_waits():
            return 0.0
        model = spec.models.get(prompt.model)
        if model is None:
            return 0.0
        return min(
            (
                load_duration_s(server, model)
                for server in self._servers(context)
                if server.usable
            ),
            default=0.0,
        )

    def retry_after_s(self, context: RequestContext) -> float:
        """Return when the caller of a request that did not run may retry.

        Before an announced load of its model, it would be refused again.
        """
        prompt = context.call.prompt
        if not prompt or not context.service.engine or self._eligible_servers(context):
            return RETRY_AFTER_S
        due_s = self._model_due_s(context, prompt)
        if due_s is None:
            return RETRY_AFTER_S
        jitter_s = self._ports.rng.uniform(0.0, RETRY_JITTER_S)
        return max(RETRY_AFTER_S, due_s - self._now_s() + jitter_s)

    def _model_due_s(self, context: RequestContext, prompt: Prompt) -> float | None:
        """Return when the model will be on a server that the request may go to."""
        if context.software_version is None:
            return self._ports.models.model_due_s(prompt.model)
        names = {server.name for server in self._servers(context)}
        return self._ports.models.model_due_s(prompt.model, servers=names)

    def _servers(self, context: RequestContext) -> list[BackendServer]:
        """Return the servers of the service that a request may go to at all."""
        servers = self._ports.fleet.of_service(context.service.name)
        if context.software_version is None:
            return servers
        return [server for server in servers if context.may_run_at(server)]

    def _eligible_servers(self, context: RequestContext) -> list[BackendServer]:
        """Return the servers that could serve a request, now or soon."""
        prompt, spec = context.call.prompt, context.service.engine
        servers = self._servers(context)
        if spec is not None and prompt is not None:
            model = prompt.model
            servers = [server for server in servers if model in server.resident_models]
        return [server for server in servers if server.usable]

    async def _pick(
        self, context: RequestContext
    ) -> tuple[BackendServer, InFlightRequest] | None:
        ports = self._ports
        prompt = context.call.prompt
        avoided = self._suspects.avoided_servers(context, ports.fleet.servers)
        if avoided is None:
            return None
        choice: EngineChoice | None = None
        if context.service.engine is None or prompt is None:
            server = await self._pick_plain_server(context, avoided)
        else:
            choice = await self._pick_engine(
                context, prompt, context.service.engine, avoided
            )
            server = choice.server if choice else None
        if server is None:
            # Nor can the server take it that a suspect has reserved.
            self._suspects.end(context)
            return None
        if not self._suspects.may_send_to(context, server):
            return None
        in_flight = InFlightRequest()
        if choice is not None and prompt is not None:
            self._note_generation(context, server, prompt, choice.unread_tokens)
            context.predicted_s = choice.first_token_s
            in_flight = InFlightRequest(
                unread_tokens=choice.unread_tokens, target=prompt.target
            )
        return server, self._note_placed(context, server, in_flight)

    async def _pick_plain_server(
        self, context: RequestContext, avoided: frozenset[str]
    ) -> BackendServer | None:
        """Choose a server whose rate limit, if it has one, allows the request."""
        ports = self._ports
        rejected = set(avoided)
        while True:
            server = choose_server(
                self._servers(context),
                data_centre=ports.data_centre,
                tried=context.tried | rejected,
                cut_off=ports.cut_off(),
                now_s=self._now_s(),
                rng=ports.rng,
            )
            if server is None:
                if rejected == avoided and not context.not_run:
                    # The request left a slow server and no other server
                    # accepted it: any server may be tried again.
                    context.tried.clear()
                return None
            if await self._admit_to_server(context, server):
                return server
            rejected.add(server.name)

    async def _admit_to_server(
        self, context: RequestContext, server: BackendServer
    ) -> bool:
        """Return whether a server's rate limit, if any, allows the request."""
        context.server_admission = None
        if server.limit_per_s is None:
            return True
        decision = await self._ports.quotas.admit_to_server(
            server.name, server.limit_per_s
        )
        if decision.granted:
            context.server_admission = decision
            return True
        _log.info(
            "server_limit_reached",
            request_id=context.call.request_id,
            peer=server.name,
            limit_per_s=server.limit_per_s,
            coordinator=decision.coordinator,
            share=round(decision.share, 3),
            left=round(decision.left, 2),
            retry_after_s=round(decision.retry_after_s, 2),
        )
        # Until then, waiting requests don't ask again one by one.
        server.limit_wait_until_s = self._now_s() + decision.retry_after_s
        return False

    def give_back_admission(self, context: RequestContext) -> None:
        """Return what a server's rate limit granted to an attempt not sent."""
        if context.server_admission is not None:
            self._ports.quotas.give_back(context.server_admission)
            context.server_admission = None

    async def _pick_engine(
        self,
        context: RequestContext,
        prompt: Prompt,
        spec: EngineSpec,
        avoided: frozenset[str],
    ) -> EngineChoice | None:
        """Choose an engine that has the prompt's adapter, or load it onto one.

        An engine that can't load the adapter now is excluded for this call;
        asking it repeatedly would keep the request from other engines with
        capacity.
        """
        ports = self._ports
        started_s = self._now_s()
        rejected = set(avoided)
        while (now_s := self._now_s()) < min(
            started_s + ADAPTER_WAIT_S, context.deadline_s
        ):
            choice = choose_engine(
                self._servers(context),
                prompt,
                adapter_slots=spec.adapter_slots,
                data_centre=ports.data_centre,
                tried=context.tried | rejected,
                cut_off=ports.cut_off(),
                now_s=now_s,
                cached_tokens=ports.caches.cached_tokens,
                rng=ports.rng,
            )
            if choice is None and rejected == avoided:
                # All engines with the model refused the request; they may
                # accept it again soon.
                context.tried.clear()
            if choice is None:
                return None
            if not await self._admit_to_server(context, choice.server):
                rejected.add(choice.server.name)
                continue
            if holds_adapter(choice.server, prompt):
                return choice
            limit_s = min(ADAPTER_WAIT_S, context.deadline_s - now_s)
            if await ports.models.ensure_adapter(
                context.service.name, choice.server, prompt, limit_s=limit_s
            ):
                return choice
            self.give_back_admission(context)
            rejected.add(choice.server.name)
        return None

    def has_capacity_elsewhere(
        self, context: RequestContext, server: BackendServer
    ) -> bool:
        """Return whether another server has capacity for a request."""
        ports, now_s = self._ports, self._now_s()
        prompt, spec = context.call.prompt, context.service.engine

        def has_free_capacity(other: BackendServer) -> bool:
            if spec is None or prompt is None:
                return other.requests < other.entry.slots
            return has_capacity(
                other, prompt, adapter_slots=spec.adapter_slots, now_s=now_s
            )

        others = [
            other
            for other in self._servers(context)
            if other is not server
            and other.accepts_requests(now_s)
            and has_free_capacity(other)
        ]
        return bool(healthy_servers(others, cut_off=ports.cut_off(), now_s=now_s))

    def has_untried_server(self, context: RequestContext) -> bool:
        """Return whether a request has not been sent to some server yet."""
        now_s = self._now_s()
        return any(
            server.name not in context.tried and not server.in_backoff(now_s)
            for server in self._eligible_servers(context)
        )

    async def _wait_for_change(self, limit_s: float) -> None:
        async with self._ports.fleet_changed:
            try:
                async with asyncio.timeout(limit_s):
                    await self._ports.fleet_changed.wait()
            except TimeoutError:
                return

    def _now_s(self) -> float:
        return self._ports.clock.monotonic_s()


def _refused(
    context: RequestContext, code: str, message: str, *, retry_after_s: float | None
) -> RefusalError:
    """Build a refusal; it reports "not run" only if that is certain."""
    if context.not_run:
        return refuse(503, code, message, step=Step.ROUTE, retry_after_s=retry_after_s)
    return refuse(502, code, message, step=Step.ROUTE, run=Run.UNKNOWN)
