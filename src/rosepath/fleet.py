"""Table of backend servers and their state as observed by this entry VM."""

from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import NamedTuple, TypeVar

T = TypeVar("T")

# Servers whose latest start is remembered: more than restart within the
# minutes in which an outdated entry may still arrive.
MAX_REMEMBERED_SERVERS = 5_000
# Servers whose rows are kept after their entries are gone: as many as lapse
# together while their links to the store are cut.
MAX_ABSENT_SERVERS = 1_000

# How long other requests wait after a probe of a half-open server; a server
# that sheds load refuses the probe at once.
HALF_OPEN_PROBE_S = 0.25
# The same after a request without an answer, and after each probe since; the last
# one repeats. The first probe goes at once: a sound server answers it.
UNHEARD_PROBE_INTERVALS_S = (0.0, 1.0, 2.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerEntry:
    """Hold the entry that a backend server publishes in the store.

    `born_ms` is the Unix time at which this server process started, 0 if not
    given; `revision` the store revision at which the entry was written;
    `software_version` what the server runs, whose streams no other version can
    continue.
    `models` maps each model it holds to that model's adapters; `in_memory` and
    `on_disk` name the models it can load without the weight store; `sequence`
    counts the orders it has accepted; `remaining_s` is set if it shuts down at
    short notice.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    sequence: int = 0
    born_ms: int = 0
    revision: int = 0
    software_version: str = ""
    models: Mapping[str, frozenset[str]] = field(default_factory=dict)
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    remaining_s: float | None = None


@dataclass(slots=True, kw_only=True)
class InFlightRequest:
    """Hold one request of this entry VM in flight at a backend server.

    `unread_tokens` are the prompt tokens it likely has to prefill; they count
    until the first token arrives. `target` is the model, followed by a slash
    and the adapter if there is one.
    """

    unread_tokens: int = 0
    target: str = ""
    # Its id at the scheduler; empty if none is in use.
    run_id: str = ""
    # When it was sent to this server.
    sent_s: float = -1e9
    # When its first and its last event arrived from this server.
    first_event_s: float | None = None
    last_event_s: float = -1e9
    # Whether it went on after its start, which is when requests crash servers.
    survived: bool = False
    # Whether it made no progress when its server was last looked at.
    silent: bool = False
    # Whether it is suspected of crashing servers and is the only suspect on
    # this one.
    isolated: bool = False
    # Let the request leave its server if it may, as the server fell silent.
    leave_silent: Callable[[], None] = lambda: None
    # End the attempt as lost, as the server is gone.
    end_lost: Callable[[], None] = lambda: None


@dataclass(slots=True, kw_only=True)
class PeerLoad:
    """Hold the load of another entry VM at a backend server.

    `targets` counts the requests by model, followed by a slash and the adapter
    if there is one.
    """

    requests: int = 0
    unread_tokens: int = 0
    targets: Mapping[str, int] = field(default_factory=dict)

    def minus(self, other: "PeerLoad") -> "PeerLoad":
        """Return this load minus another."""
        return PeerLoad(
            requests=max(0, self.requests - other.requests),
            unread_tokens=max(0, self.unread_tokens - other.unread_tokens),
        )


@dataclass(slots=True, kw_only=True)
class BackendServer:
    """Hold a server's entry and its state as observed by this entry VM."""

    entry: ServerEntry
    left: bool = False
    in_flight_requests: dict[str, InFlightRequest] = field(default_factory=dict)
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    failures: int = 0
    suspect_until_s: float = 0.0
    # When it last made progress on any request of this VM.
    last_activity_s: float | None = None
    # When it last answered a health check of this VM.
    last_health_answer_s: float = -1e9
    # Until when it counts as silent towards all entry VMs, as the scheduler said.
    silent_until_s: float = -1e9
    # Until when it counts as down after a failed connection attempt.
    down_until_s: float = -1e9
    connect_failed_s: float = -1e9
    latency_s: float = 0.0
    error_rate: float = 0.0
    # The entry's models, updated from later responses and orders.
    resident_models: dict[str, set[str]] = field(default_factory=dict)
    # Until when it is known to be busy with an order and to load no adapter.
    order_busy_until_s: float = -1e9
    # Until when it sheds requests of this VM, as given in its refusal.
    backoff_until_s: float = -1e9
    # Set by a backoff, or by requests without an answer, until the server responds
    # without load shedding.
    half_open: bool = False
    # When a response to this VM last began.
    heard_s: float = -1e9
    # Requests without an answer: one that was given up, and the probes sent since.
    unanswered: int = 0
    # When the last probe request was sent to the half-open server.
    probed_s: float = -1e9
    # The rate of requests that it accepts from all entry VMs together, and when
    # a response last stated this limit or that there is none.
    limit_per_s: float | None = None
    limit_stated_s: float = -1e9
    limit_ended_s: float = -1e9
    # When its limit may next allow a request, as this VM was told.
    limit_wait_until_s: float = -1e9

    @property
    def name(self) -> str:
        return self.entry.name

    @property
    def address(self) -> str:
        return self.entry.address

    @property
    def usable(self) -> bool:
        """Return whether new requests may be sent to this server."""
        return not self.left and not self.entry.draining

    def has_software_of(self, entry: ServerEntry) -> bool:
        """Return whether the server runs the software version of an entry."""
        return self.entry.software_version == entry.software_version

    def is_process_of(self, entry: ServerEntry) -> bool:
        """Return whether an entry describes the same process as the server's own."""
        return (
            self.entry.born_ms == entry.born_ms
            and self.entry.address == entry.address
            and self.has_software_of(entry)
        )

    def in_backoff(self, now_s: float) -> bool:
        """Return whether the server asked this VM to back off."""
        return now_s < self.backoff_until_s

    @property
    def paused_until_s(self) -> float:
        """Return until when a backoff or its rate limit allows no request."""
        return max(self.backoff_until_s, self.limit_wait_until_s)

    def accepts_requests(self, now_s: float) -> bool:
        """Return whether one more request may be sent to this server now.

        After a backoff the server is half-open: a single probe request shows
        whether it accepts requests again. Sending all waiting requests at once
        would only get them refused again.
        """
        probing = self.half_open and now_s < self.probed_s + self._probe_interval_s
        return self.usable and now_s >= self.paused_until_s and not probing

    @property
    def unheard(self) -> bool:
        """Return whether a request was given up and nothing was heard since."""
        return self.unanswered > 0

    @property
    def _probe_interval_s(self) -> float:
        if not self.unheard:
            return HALF_OPEN_PROBE_S
        probes = self.unanswered - 1
        last = len(UNHEARD_PROBE_INTERVALS_S) - 1
        return UNHEARD_PROBE_INTERVALS_S[min(probes, last)]

    def idle_s(self, now_s: float) -> float | None:
        """Return the time since its last progress for this VM, if any."""
        return (
            None
            if self.last_activity_s is None
            else round(now_s - self.last_activity_s, 3)
        )

    @property
    def requests(self) -> int:
        """Return the requests of all entry VMs at this server."""
        return len(self.in_flight_requests) + sum(
            load.requests for load in self.peers.values()
        )

    @property
    def unread_tokens(self) -> int:
        """Return the prompt tokens that wait for prefill on this server."""
        own = sum(request.unread_tokens for request in self.in_flight_requests.values())
        return own + sum(load.unread_tokens for load in self.peers.values())

    @property
    def targets_in_use(self) -> Counter[str]:
        """Return the running requests by model and adapter."""
        used = Counter(request.target for request in self.in_flight_requests.values())
        for load in self.peers.values():
            used.update(load.targets)
        return used

    @property
    def models_in_use(self) -> Counter[str]:
        """Return the running requests by model."""
        used: Counter[str] = Counter()
        for target, requests in self.targets_in_use.items():
            used[target.partition("/")[0]] += requests
        return used


class LeavingServer(NamedTuple):
    """Identify a leaving server and the process start that this applies to.

    `gone_at` is a store revision at which its entry no longer existed, 0 if
    its entry marks it as draining.
    """

    name: str
    born_ms: int = 0
    gone_at: int = 0


class Fleet:
    """Own the table of backend servers, by name, with their latest start."""

    def __init__(self) -> None:
        self.servers: dict[str, BackendServer] = {}
        # Servers whose entries are gone, and may come back: what they stated of
        # themselves holds as long as their processes live.
        self._absent: OrderedDict[str, BackendServer] = OrderedDict()
        self._born_ms: OrderedDict[str, int] = OrderedDict()
        self._gone_at: OrderedDict[str, int] = OrderedDict()
        # Latest start of each server that is known to be leaving. After a
        # store outage, its expired entry may reappear as it was written
        # before.
        self._leaving: OrderedDict[str, int] = OrderedDict()

    def note_leaving(self, leaving: LeavingServer) -> bool:
        """Stop new requests to a server that another VM reports as leaving.

        Return whether that is new. A server that has restarted since is kept,
        as the reporting VM has not yet received its new entry.
        """
        server = self.servers.get(leaving.name)
        if leaving.gone_at:
            is_new = server is not None and server.entry.revision <= leaving.gone_at
            if is_new or server is None:
                self.remove(leaving.name, gone_at=leaving.gone_at)
            return is_new
        self._note_leaving(leaving.name, leaving.born_ms)
        if server is None or server.entry.draining:
            return False
        if leaving.born_ms < server.entry.born_ms:
            return False
        server.entry = replace(server.entry, draining=True)
        return True

    def of_service(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a service."""
        return [
            server
            for server in self.servers.values()
            if server.entry.service == service
        ]

    def latest_start_ms(self, name: str) -> int:
        """Return when the latest known process of a server started, 0 if unknown."""
        return self._born_ms.get(name, 0)

    def put(self, entry: ServerEntry) -> bool:
        """Apply an entry; return whether it shows that the server restarted.

        An entry written before another VM found the server gone is outdated,
        however late it is read, and does not bring the server back. A
        restarted server starts without the state observed before.
        """
        if entry.born_ms < self._born_ms.get(entry.name, 0):
            return False
        if 0 < entry.revision <= self._gone_at.get(entry.name, 0):
            return False
        if entry.draining:
            self._note_leaving(entry.name, entry.born_ms)
        elif entry.born_ms <= self._leaving.get(entry.name, -1):
            entry = replace(entry, draining=True)
        server = self.servers.get(entry.name)
        # An entry may lapse between the instances, so that the server is gone.
        earlier_ms = self._born_ms.get(entry.name, entry.born_ms)
        if server is not None:
            earlier_ms = server.entry.born_ms
        restarted = entry.born_ms > earlier_ms or (
            server is not None and not server.has_software_of(entry)
        )
        self._note_started(entry)
        if server is None or restarted:
            if server is not None:
                server.left = True
            server = self._returning(entry) or BackendServer(entry=entry)
            self.servers[entry.name] = server
        server.entry = entry
        server.left = False
        server.resident_models = {
            name: set(adapters) for name, adapters in entry.models.items()
        }
        return restarted

    def _returning(self, entry: ServerEntry) -> BackendServer | None:
        """Return the row of the process that an entry describes, if it was here."""
        absent = self._absent.pop(entry.name, None)
        if absent is None or not absent.is_process_of(entry):
            return None
        absent.peers.clear()
        return absent

    def _note_leaving(self, name: str, born_ms: int) -> None:
        if born_ms > self._leaving.get(name, -1):
            _remember_latest(self._leaving, name, born_ms, most=MAX_REMEMBERED_SERVERS)

    def _note_started(self, entry: ServerEntry) -> None:
        """Remember a start while entries of earlier ones may still arrive."""
        if entry.born_ms:
            _remember_latest(
                self._born_ms, entry.name, entry.born_ms, most=MAX_REMEMBERED_SERVERS
            )

    def remove(self, name: str, *, gone_at: int = 0) -> None:
        """Remove a server that has left; its running requests continue.

        `gone_at` is a store revision at which its entry no longer existed.
        """
        if gone_at > self._gone_at.get(name, 0):
            _remember_latest(self._gone_at, name, gone_at, most=MAX_REMEMBERED_SERVERS)
        server = self.servers.pop(name, None)
        if server is not None:
            server.left = True
            _remember_latest(self._absent, name, server, most=MAX_ABSENT_SERVERS)


def _remember_latest(
    latest: OrderedDict[str, T], name: str, value: T, *, most: int
) -> None:
    latest[name] = value
    latest.move_to_end(name)
    while len(latest) > most:
        latest.popitem(last=False)


def own_load(server: BackendServer) -> PeerLoad:
    """Return this entry VM's own load at a backend server."""
    in_flight_requests = server.in_flight_requests.values()
    return PeerLoad(
        requests=len(in_flight_requests),
        unread_tokens=sum(request.unread_tokens for request in in_flight_requests),
        targets=Counter(
            request.target for request in in_flight_requests if request.target
        ),
    )
