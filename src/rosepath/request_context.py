"""State of a request in progress, and the dependencies of the relay."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field
from functools import cached_property
from typing import Protocol

from rosepath.assignment import Assignment, AssignmentRequest, Decision, RunReport
from rosepath.attempt import AttemptSender
from rosepath.caller_request import CallerRequest, Prompt
from rosepath.catalog import Catalog, HostRoute, ServiceSpec
from rosepath.clock import Clock
from rosepath.configuration_view import UNKNOWN_CONFIGURATION, ConfigurationView
from rosepath.content_key import content_key, part_keys
from rosepath.crash_watch import CrashWatch
from rosepath.event_sequence import EventSequence
from rosepath.fleet import BackendServer, Fleet
from rosepath.gateway import CallerExchange
from rosepath.held_bytes import HeldBytes, Hold
from rosepath.http_exchange import Connection
from rosepath.prompt_caches import PromptCaches
from rosepath.quota_client import Unlimited
from rosepath.quota_pool import QuotaDecision
from rosepath.retries import Evidence, Obstacle
from rosepath.retry_window import RetryWindow
from rosepath.run_durations import RunDurations
from rosepath.silence import StayReason
from rosepath.stream_origin_exchange import LocalOrigins, OriginPort
from rosepath.workspaces import Workspace

# Retry-After of refusals. Most model swaps and restarts have finished by then,
# and most deadlines leave time for a second attempt.
RETRY_AFTER_S = 0.5


async def _skip_refresh() -> None:
    return


async def _unknown_version(_: str) -> str | None:
    return None


class ModelPort(Protocol):
    """Record demand for models, and load adapters onto engines."""

    def note_request_received(self, service: str, prompt: Prompt) -> None: ...

    def note_prefill_work(
        self, service: str, prompt: Prompt, *, unread_tokens: int
    ) -> None: ...

    def note_waiting(self, service: str, prompt: Prompt, *, step: int) -> None: ...

    def model_due_s(
        self, model: str, *, servers: Collection[str] | None = None
    ) -> float | None: ...

    async def ensure_adapter(
        self, service: str, server: BackendServer, prompt: Prompt, *, limit_s: float
    ) -> bool: ...


class QuotaPort(Protocol):
    """Admit requests by quotas of workspaces and rate limits of servers."""

    async def admit(self, workspace: str, cost: float) -> QuotaDecision: ...

    async def admit_to_server(
        self, server: str, limit_per_s: float
    ) -> QuotaDecision: ...

    def give_back(self, decision: QuotaDecision) -> None: ...


class SchedulingPort(Protocol):
    """Ask the scheduler for servers, and report runs to it."""

    @property
    def in_use(self) -> bool: ...

    def next_id(self) -> str: ...

    async def assign(
        self, request: AssignmentRequest, *, on_waiting: Callable[[], None]
    ) -> tuple[Decision | None, str]: ...

    def note_placed(self, assignment: Assignment) -> None: ...

    def report(self, report: RunReport) -> None: ...


class Unscheduled:
    """Leave the choice of servers to each entry VM."""

    in_use = False

    def next_id(self) -> str:
        return ""

    async def assign(
        self, request: AssignmentRequest, *, on_waiting: Callable[[], None]
    ) -> tuple[Decision | None, str]:
        return None, ""

    def note_placed(self, assignment: Assignment) -> None:
        return

    def report(self, report: RunReport) -> None:
        return


@dataclass(slots=True, kw_only=True)
class RelayPorts:
    """Hold the dependencies of a relay."""

    data_centre: str
    clock: Clock
    fleet: Fleet
    caches: PromptCaches
    attempts: AttemptSender
    catalog: Callable[[], Catalog | None]
    budget: Callable[[str], RetryWindow]
    models: ModelPort
    fleet_changed: asyncio.Condition
    cut_off: Callable[[], Collection[str]]
    # Until when a request that was never sent may wait; limited by a planned
    # stop.
    wait_limit_s: Callable[[], float]
    on_outcome: Callable[["RequestContext", int, str], None]
    crashes: CrashWatch
    # Until when runs may go on; limited by a planned stop.
    runs_end_s: Callable[[], float] = lambda: math.inf
    durations: RunDurations = field(default_factory=RunDurations)
    # What requests in progress hold of the VM's memory.
    held: HeldBytes = field(default_factory=HeldBytes.of_memory)
    # Called for each response which states that its server is leaving.
    on_leaving: Callable[[BackendServer], None] = lambda _: None
    # Called when a response states another rate limit of its server than known.
    on_limit_change: Callable[[], None] = lambda: None
    # Whether the known fleet is current enough to route by, and the refresh
    # that makes it current.
    fleet_fresh_enough: Callable[[], bool] = lambda: True
    ensure_fresh: Callable[[], Awaitable[None]] = _skip_refresh
    # Learns which servers have restarted, perhaps with other software.
    confirm_instances: Callable[[], Awaitable[None]] = _skip_refresh
    # The same, unless it is known which process a connection leads to that is so
    # many seconds old; None then.
    confirm_process: Callable[[float], Awaitable[None] | None] = lambda _: None
    # Version and age of the catalog.
    configuration: Callable[[], ConfigurationView] = lambda: UNKNOWN_CONFIGURATION
    quotas: QuotaPort = field(default_factory=Unlimited)
    scheduling: SchedulingPort = field(default_factory=Unscheduled)
    origins: OriginPort = field(default_factory=LocalOrigins)
    # The only software version that a service had lately, if that is certain.
    sole_version: Callable[[str], Awaitable[str | None]] = _unknown_version
    # Records a software version of a service before a stream begins there; None
    # if it is recorded already.
    record_version: Callable[[str, str], asyncio.Future[None] | None] = lambda *_: None
    entry_vm: str = ""
    # Whether a request without a model ends its wait as soon as no load can
    # be done in time.
    ends_hopeless_waits: Callable[[], bool] = lambda: False
    rng: random.Random = field(default_factory=random.Random)


@dataclass(kw_only=True)
class RequestContext:
    """Hold the state of a request across its attempts."""

    call: CallerRequest
    route: HostRoute
    service: ServiceSpec
    workspace: Workspace | None = None
    exchange: CallerExchange
    deadline_s: float
    # The configuration in force when the request was routed.
    configuration: ConfigurationView = UNKNOWN_CONFIGURATION
    event_sequence: EventSequence | None = None
    # Of the server that began its stream, once one did.
    software_version: str | None = None
    tried: set[str] = field(default_factory=set)
    # The connections to servers on which it was sent.
    connections: set[Connection] = field(default_factory=set)
    # What it holds of a response.
    hold: Hold = field(default_factory=lambda: HeldBytes.of_memory().open())
    attempt_evidence: list[Evidence] = field(default_factory=list)
    first_event_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0
    waited_s: float = 0.0
    unread_tokens: int = 0
    predicted_s: float = 0.0
    # The scheduler that assigned its latest server, and the time that all its
    # queries took.
    scheduler: str = ""
    scheduler_wait_s: float = 0.0
    responded_by: str = ""
    # Whether a retry is reserved in the budget for the next attempt, and since
    # when.
    retry_reserved: bool = False
    retry_reserved_s: float = 0.0
    # Why it stayed with a silent server at the last check, if it did.
    stay_reason: StayReason | None = None
    # What admitted it, if its workspace has a quota.
    quota_decision: QuotaDecision | None = None
    # What admitted the next attempt, if its server has a rate limit.
    server_admission: QuotaDecision | None = None
    # Whether an attempt has begun whose outcome is not known yet.
    attempt_open: bool = False
    # The key under which it last ran, or waited to run, isolated.
    isolation_key: str = ""
    # What prevented another attempt, if one was needed.
    obstacle: Obstacle | None = None

    @property
    def priority(self) -> int:
        """Return the rank of the request; 0 is the highest."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @cached_property
    def content_key(self) -> str:
        """Return the key that the request shares with its retries."""
        return content_key(self.call)

    @cached_property
    def part_keys(self) -> tuple[str, ...]:
        """Return the keys of the parts of its prompt that others may share."""
        return part_keys(self.call.prompt)

    def may_run_at(self, server: BackendServer) -> bool:
        """Return whether a server runs the software that began the stream, if any.

        What two versions write does not fit together, and servers don't check.
        """
        return self.software_version in (None, server.entry.software_version)

    def note_events(self, *, now_s: float) -> None:
        """Record the arrival of events, and the longest gap between them."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            pause_s = now_s - self.last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_s = now_s

    @property
    def possibly_run_count(self) -> int:
        """Return the number of attempts that a server may have run."""
        not_run = (Evidence.NOT_SENT, Evidence.REFUSED)
        return sum(evidence not in not_run for evidence in self.attempt_evidence)

    @property
    def sent_count(self) -> int:
        """Return the number of attempts that reached a server."""
        return sum(
            evidence is not Evidence.NOT_SENT for evidence in self.attempt_evidence
        )

    @property
    def not_run(self) -> bool:
        return self.possibly_run_count == 0

    @property
    def certainly_not_run(self) -> bool:
        """Return whether no server ran the request or may run it still."""
        return self.not_run and not self.responded_by and not self.attempt_open

    @property
    def caller_cannot_retry(self) -> bool:
        """Return whether a refusal would lose the request for its caller.

        Callers retry requests that were refused without having run, and
        idempotent requests of plain services. They do not retry a stream that
        has begun or may have run.
        """
        if self.exchange.response_started:
            return True
        return self.event_sequence is not None and not self.not_run
