"""The table of backend servers, and what this entry VM has seen of each."""

from collections import Counter, OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import NamedTuple

# Servers whose latest life is remembered: more than start again in the minutes
# for which an older entry could still come.
MAX_REMEMBERED_SERVERS = 5_000


# A server that sheds load does so at once; the others wait so long for the request
# that finds out.
HALF_OPEN_PROBE_S = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerEntry:
    """Hold what a backend server says of itself in the store.

    `born_ms` is the Unix time at which this life of the server began, 0 if it
    doesn't say; `version` the store's revision at which the entry was written.
    `models` maps each model it holds to that model's adapters; `in_memory`
    and `on_disk` name those it can load without the weight store; `sequence`
    counts the orders it has accepted; `remaining_s` is set if it leaves at
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
    version: int = 0
    models: Mapping[str, frozenset[str]] = field(default_factory=dict)
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    remaining_s: float | None = None


@dataclass(slots=True, kw_only=True)
class Flight:
    """Hold one request of this entry VM that is at a backend server.

    `unread_tokens` are the prompt tokens it likely has to read before its
    first token; they count until that came. `target` is the model, with the
    adapter after a slash if there is one.
    """

    unread_tokens: int = 0
    target: str = ""
    # When its first event came from this server.
    begun_s: float | None = None
    # Whether it is suspected of crashing servers, and no other suspect is there.
    isolated: bool = False


@dataclass(slots=True, kw_only=True)
class PeerLoad:
    """Hold what another entry VM has at a backend server.

    `targets` counts the requests by what they use, as in `Flight`.
    """

    requests: int = 0
    unread_tokens: int = 0
    targets: Mapping[str, int] = field(default_factory=dict)

    def less(self, other: "PeerLoad") -> "PeerLoad":
        """Return what is left of this load without another."""
        return PeerLoad(
            requests=max(0, self.requests - other.requests),
            unread_tokens=max(0, self.unread_tokens - other.unread_tokens),
        )


@dataclass(slots=True, kw_only=True)
class BackendServer:
    """Hold one backend server: its entry, and what was seen of it here."""

    entry: ServerEntry
    left: bool = False
    flights: dict[str, Flight] = field(default_factory=dict)
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    failures: int = 0
    suspect_until_s: float = 0.0
    # When it last made progress on any request of this VM.
    moved_s: float | None = None
    # Until when it counts as down: no connection to it came about lately.
    down_until_s: float = -1e9
    unreached_s: float = -1e9
    latency_s: float = 0.0
    error_rate: float = 0.0
    # The entry's models, corrected by what an answer or an order showed since.
    held: dict[str, set[str]] = field(default_factory=dict)
    # Until when it is known to be busy with an order: no adapter gets there.
    ordering_until_s: float = -1e9
    # Until when it sheds the requests of this VM, as it said with a refusal.
    backoff_until_s: float = -1e9
    # Set from then until it answers without shedding, and when a request last went
    # there to find out.
    half_open: bool = False
    probed_s: float = -1e9

    @property
    def name(self) -> str:
        return self.entry.name

    @property
    def address(self) -> str:
        return self.entry.address

    @property
    def usable(self) -> bool:
        """Tell whether new work may be sent there."""
        return not self.left and not self.entry.draining

    def in_backoff(self, now_s: float) -> bool:
        """Tell whether it sheds load and told this VM to come back later."""
        return now_s < self.backoff_until_s

    def accepts_requests(self, now_s: float) -> bool:
        """Tell whether one more request may be sent there now.

        After a backoff the server is half-open: one request finds out whether it takes
        work again. All that waited, sent at once, would only be turned away again.
        """
        probing = self.half_open and now_s < self.probed_s + HALF_OPEN_PROBE_S
        return self.usable and not self.in_backoff(now_s) and not probing

    def moved_ago_s(self, now_s: float) -> float | None:
        """Return how long it has done nothing for this VM, None if it never did."""
        return None if self.moved_s is None else round(now_s - self.moved_s, 3)

    @property
    def requests(self) -> int:
        """Return the requests that all entry VMs have there."""
        return len(self.flights) + sum(load.requests for load in self.peers.values())

    @property
    def unread_tokens(self) -> int:
        """Return the prompt tokens that wait to be read there."""
        own = sum(flight.unread_tokens for flight in self.flights.values())
        return own + sum(load.unread_tokens for load in self.peers.values())

    @property
    def targets_in_use(self) -> Counter[str]:
        """Return the running requests by model and adapter."""
        used = Counter(flight.target for flight in self.flights.values())
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
    """Name a server that is leaving, and which of its lives that concerns.

    `gone_at` is a revision of the store at which its entry was not there any
    more; 0 if its entry says that it drains.
    """

    name: str
    born_ms: int = 0
    gone_at: int = 0


class Fleet:
    """Hold every backend server by name, in its latest life."""

    def __init__(self) -> None:
        self.servers: dict[str, BackendServer] = {}
        self._born_ms: OrderedDict[str, int] = OrderedDict()
        self._gone_at: OrderedDict[str, int] = OrderedDict()
        # Up to which life each server is known to leave. Its entry may lapse in an
        # outage, and come back as it was written before.
        self._leaving: OrderedDict[str, int] = OrderedDict()

    def note_leaving(self, leaving: LeavingServer) -> bool:
        """Send no new work to a server that another VM saw leave.

        Return whether that is news. A server that started again since stays:
        who says that it leaves has not heard of its new life yet.
        """
        server = self.servers.get(leaving.name)
        if leaving.gone_at:
            news = server is not None and server.entry.version <= leaving.gone_at
            if news or server is None:
                self.remove(leaving.name, gone_at=leaving.gone_at)
            return news
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

    def put(self, entry: ServerEntry) -> bool:
        """Take in an entry; return whether a server began a new life with it.

        What left is not brought back by an older entry: one that was written
        before another VM found none says nothing new, however late it is read.
        A new life holds nothing of what was known of the one before.
        """
        if entry.born_ms < self._born_ms.get(entry.name, 0):
            return False
        if 0 < entry.version <= self._gone_at.get(entry.name, 0):
            return False
        if entry.draining:
            self._note_leaving(entry.name, entry.born_ms)
        elif entry.born_ms <= self._leaving.get(entry.name, -1):
            entry = replace(entry, draining=True)
        server = self.servers.get(entry.name)
        restarted = server is not None and entry.born_ms > server.entry.born_ms
        self._note_started(entry)
        if server is None or restarted:
            if server is not None:
                server.left = True
            server = self.servers[entry.name] = BackendServer(entry=entry)
        server.entry = entry
        server.left = False
        server.held = {name: set(adapters) for name, adapters in entry.models.items()}
        return restarted

    def _note_leaving(self, name: str, born_ms: int) -> None:
        if born_ms > self._leaving.get(name, -1):
            _remember_latest(self._leaving, name, born_ms)

    def _note_started(self, entry: ServerEntry) -> None:
        """Remember a life for longer than entries of earlier ones may come."""
        if entry.born_ms:
            _remember_latest(self._born_ms, entry.name, entry.born_ms)

    def remove(self, name: str, *, gone_at: int = 0) -> None:
        """Take out a backend server that left; its running requests go on.

        `gone_at` is a revision of the store at which its entry was gone.
        """
        if gone_at > self._gone_at.get(name, 0):
            _remember_latest(self._gone_at, name, gone_at)
        server = self.servers.pop(name, None)
        if server is not None:
            server.left = True


def _remember_latest(latest: OrderedDict[str, int], name: str, value: int) -> None:
    latest[name] = value
    latest.move_to_end(name)
    while len(latest) > MAX_REMEMBERED_SERVERS:
        latest.popitem(last=False)


def own_load(server: BackendServer) -> PeerLoad:
    """Return what this entry VM has at a backend server."""
    flights = server.flights.values()
    return PeerLoad(
        requests=len(flights),
        unread_tokens=sum(flight.unread_tokens for flight in flights),
        targets=Counter(flight.target for flight in flights if flight.target),
    )
