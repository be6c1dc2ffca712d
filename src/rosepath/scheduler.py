"""Assign the requests of all entry VMs to servers; no I/O.

One entry VM schedules for all that reach it. It knows each run that it assigned, so
that requests of many VMs don't meet at the server that an old report called idle.
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from rosepath.assignment import (
    Assignment,
    AssignmentRequest,
    Decision,
    RunReport,
)
from rosepath.assignment_choice import (
    Candidate,
    choose_candidate,
    predict_adapter_s,
)
from rosepath.assignment_queue import AssignmentQueue
from rosepath.catalog import Catalog, EngineSpec
from rosepath.fleet import BackendServer, Fleet
from rosepath.prompt_caches import PromptCaches
from rosepath.server_choice import healthy_servers
from rosepath.server_work import ServerWork, WorkTable
from rosepath.stream_pauses import StreamPauses
from rosepath.waiting_request import LineKey, line_key


@dataclass(slots=True, kw_only=True)
class Scheduler:
    """Own the work of the servers and the requests that wait for one."""

    fleet: Fleet
    caches: PromptCaches
    catalog: Callable[[], Catalog | None]
    cut_off: Callable[[], Collection[str]] = lambda: ()
    work: WorkTable = field(default_factory=WorkTable)
    queue: AssignmentQueue = field(default_factory=AssignmentQueue)
    # How long streams pause beside prompts, by service.
    pauses: defaultdict[str, StreamPauses] = field(
        default_factory=lambda: defaultdict(StreamPauses)
    )
    # Found in this step: servers by service and model, empty for requests without
    # one, and the data centres that are cut off.
    _servers: dict[tuple[str, str], list[BackendServer]] = field(default_factory=dict)
    _cut_off: Collection[str] = ()

    def submit(self, request: AssignmentRequest, *, now_s: float) -> list[Decision]:
        """Add a request; return what is decided now, of this one or others.

        A request whose earlier assignment did not run comes again with its server
        in `tried`; one that is only sent again is answered as before.
        """
        known = self._known_assignment(request)
        if known is not None:
            return [known]
        self.queue.add(request, now_s=now_s)
        return self.step(now_s=now_s, keys=[line_key(request)])

    def withdraw(self, request_id: str) -> None:
        """Forget a waiting request whose caller has left."""
        self.queue.remove(request_id)

    def report(self, reports: Iterable[RunReport], *, now_s: float) -> list[Decision]:
        """Apply reports of runs; return what is decided now."""
        keys: set[LineKey] = set()
        for report in reports:
            self._learn_pause(report)
            self.work.apply(report, now_s=now_s)
            keys |= self._keys_of_server(report.server)
        return self.step(now_s=now_s, keys=keys)

    def step(
        self, *, now_s: float, keys: Collection[LineKey] | None = None
    ) -> list[Decision]:
        """Assign the waiting requests for which there is room.

        With `keys`, only those that wait for these servers.
        """
        decisions: list[Decision] = []
        self._servers.clear()
        self._cut_off = self.cut_off()
        for request in self.queue.in_order(now_s=now_s, keys=keys):
            assignment = self._assign(request, now_s=now_s)
            if assignment is not None:
                decisions.append(assignment)
        decisions += self.queue.take_rejected(now_s=now_s)
        return decisions

    def _keys_of_server(self, name: str) -> set[LineKey]:
        """Return what waits for a server."""
        server = self.fleet.servers.get(name)
        if server is None:
            return set()
        service = server.entry.service
        return {LineKey(service, model) for model in ("", *server.resident_models)}

    def adopt(self, assignment: Assignment, *, begun: bool, now_s: float) -> None:
        """Record a run that another scheduler or its own entry VM placed."""
        request_id = assignment.request.request_id
        if self.work.server_of(request_id) is not None:
            return
        self.work.assign(assignment, now_s=now_s)
        if begun:
            self.work.servers[assignment.server].runs[request_id].begun_s = now_s

    def unlisted_runs(
        self, entry_vm: str, listed: Collection[str], *, assigned_before_s: float
    ) -> list[Assignment]:
        """Return the runs of an entry VM that it does not list any more."""
        return [
            run.assignment
            for work in self.work.servers.values()
            for request_id, run in work.runs.items()
            if run.assignment.request.entry_vm == entry_vm
            and run.assigned_s < assigned_before_s
            and request_id not in listed
        ]

    def drop_expired(self, *, now_s: float) -> None:
        """Forget runs and servers that are gone."""
        self.work.drop_expired(now_s=now_s)
        for name in self.work.servers.keys() - self.fleet.servers.keys():
            self.work.drop_server(name)

    def _known_assignment(self, request: AssignmentRequest) -> Assignment | None:
        server = self.work.server_of(request.request_id)
        if server is None or server in request.tried:
            return None
        return self.work.servers[server].runs[request.request_id].assignment

    def _assign(self, request: AssignmentRequest, *, now_s: float) -> Assignment | None:
        candidates = self._candidates(request, now_s=now_s)
        choice = choose_candidate(request, candidates, now_s=now_s)
        if choice is None:
            return None
        server, prompt = choice.candidate.server, request.prompt
        assignment = Assignment(
            request=request,
            server=server.name,
            unread_tokens=choice.candidate.unread_tokens,
            first_event_s=choice.first_event_s,
            born_ms=server.entry.born_ms,
        )
        self.queue.take(assignment, now_s=now_s)
        self.work.assign(assignment, now_s=now_s)
        if prompt is not None:
            self.caches.note_read(server, prompt)
            self._note_prefill(request.service, self.work.servers[server.name])
        return assignment

    def _learn_pause(self, report: RunReport) -> None:
        """Learn from the longest gap of a stream that ends."""
        work = self.work.servers.get(report.server)
        run = work.runs.get(report.request_id) if work is not None else None
        if work is None or run is None or report.outcome is None:
            return
        self.pauses[run.assignment.request.service].note_longest_gap(
            report.request_id,
            report.longest_gap_s,
            prefill_tokens_per_s=work.pace.prefill_tokens_per_s,
        )

    def _note_prefill(self, service: str, work: ServerWork) -> None:
        """Record what the streams of an engine are delayed by."""
        tokens = work.unread_tokens
        for request_id, run in work.runs.items():
            if run.begun_s is not None and run.assignment.request.gap_s > 0:
                self.pauses[service].note_prefill(request_id, tokens)

    def _candidates(
        self, request: AssignmentRequest, *, now_s: float
    ) -> list[Candidate]:
        """Return the servers that could run a request, healthy ones if any."""
        model = request.prompt.model if request.prompt is not None else ""
        eligible = [
            server
            for server in self._servers_with(request.service, model)
            if server.accepts_requests(now_s)
            and server.down_until_s <= now_s
            and server.name not in request.tried
        ]
        servers = healthy_servers(eligible, cut_off=self._cut_off, now_s=now_s)
        spec = self._engine_spec(request.service)
        return [
            self._candidate(server, request, spec, now_s=now_s)
            for server in servers or eligible
        ]

    def _servers_with(self, service: str, model: str) -> list[BackendServer]:
        """Return the servers of a service, with a model only those that hold it."""
        found = self._servers.get((service, model))
        if found is None:
            servers = self.fleet.of_service(service)
            found = [
                server
                for server in servers
                if not model or model in server.resident_models
            ]
            self._servers[service, model] = found
        return found

    def _candidate(
        self,
        server: BackendServer,
        request: AssignmentRequest,
        spec: EngineSpec | None,
        *,
        now_s: float,
    ) -> Candidate:
        work = self.work.of_server(server.name, born_ms=server.entry.born_ms)
        prompt = request.prompt
        if prompt is None or spec is None:
            return Candidate(server=server, work=work)
        unread = prompt.input_tokens - self.caches.cached_tokens(server, prompt)
        has_adapter = prompt.adapter in ("", *server.resident_models[prompt.model])
        return Candidate(
            server=server,
            work=work,
            unread_tokens=max(0, unread),
            pause_tokens=self.pauses[request.service].tokens,
            adapter_s=0.0
            if has_adapter
            else predict_adapter_s(
                server, work, adapter_slots=spec.adapter_slots, now_s=now_s
            ),
        )

    def _engine_spec(self, service: str) -> EngineSpec | None:
        catalog = self.catalog()
        spec = catalog.services.get(service) if catalog is not None else None
        return spec.engine if spec is not None else None
