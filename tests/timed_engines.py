"""Engines that respond on a timetable in virtual time."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, cast

from entry_builders import a_catalog, a_route, an_entry
from entry_harness import (
    NoModelOrders,
    ReceivedRequest,
    answer,
    chunk,
    event,
    stream_head,
)
from tornado.httputil import HTTPHeaders
from virtual_time import LoopClock, VirtualLoop

from rosepath.attempt import AttemptSender
from rosepath.caller_request import Prompt
from rosepath.catalog import HostRoute, RouteKind
from rosepath.crash_watch import CrashWatch
from rosepath.errors import ExchangeError, Step
from rosepath.fleet import BackendServer, Fleet, PeerLoad
from rosepath.http_client import HttpPool, ProbeResult
from rosepath.http_exchange import Connection
from rosepath.prompt_caches import PromptCaches
from rosepath.relay import Relay
from rosepath.request_context import (
    RelayPorts,
    RequestContext,
    SchedulingPort,
    Unscheduled,
)
from rosepath.retry_window import RetryWindow
from rosepath.server_probe import ServerContact

# A timetable lists delays in seconds and what the engine does then: send bytes,
# lose its connection or crash.
CONNECTION_LOST = b""
CRASH = b"crashes"
RESTART_AFTER_S = 3.0
CONTACTS = {
    ProbeResult.ACCEPTED: ServerContact.ANSWERED,
    ProbeResult.REFUSED: ServerContact.GONE,
    ProbeResult.UNKNOWN: ServerContact.UNKNOWN,
}
Timetable = list[tuple[float, bytes]]
END = b"0\r\n\r\n"


def streams(
    received: ReceivedRequest, *at_s: float, until: int, ends: bool = True
) -> Timetable:
    """Stream the events after `Last-Event-Id` up to `until`.

    `at_s` are the times of the head and the events; the last one repeats.
    """
    first = int(received.headers.get("last-event-id", "0")) + 1
    steps: Timetable = [(at_s[0] if at_s else 0.02, stream_head(received))]
    for number in range(first, until + 1):
        due_s = at_s[min(number - first, len(at_s) - 1)] if at_s else 0.02
        steps.append((due_s, chunk(event(number))))
    return [*steps, (steps[-1][0], END)] if ends else steps


def refuses(received: ReceivedRequest) -> Timetable:
    return [(0.005, answer(received, 503, b"", "Not-Executed: 1\r\n"))]


def responds(received: ReceivedRequest, *, after_s: float) -> Timetable:
    return [(after_s, answer(received, 200, b"whole"))]


@dataclass(slots=True)
class ScriptedEngine:
    """Own a server's script and record its requests and connection losses."""

    name: str
    script: Callable[[ReceivedRequest], Timetable]
    requests: list[ReceivedRequest] = field(default_factory=list)
    received_at_s: list[float] = field(default_factory=list)
    aborted_at_s: list[float] = field(default_factory=list)
    crashed_at_s: list[float] = field(default_factory=list)
    up: bool = True
    # How long a connection takes.
    connect_s: float = 0.0
    # Whether its address answers no attempt to connect.
    unreachable: bool = False
    open: "list[_TimedTransport]" = field(default_factory=list)
    on_restart: "Callable[[ScriptedEngine], None]" = lambda _: None

    def crash(self) -> None:
        """Lose all connections and restart after `RESTART_AFTER_S`."""
        loop = asyncio.get_running_loop()
        self.up = False
        self.crashed_at_s.append(loop.time())
        for transport in self.open:
            transport.lose()
        self.open.clear()
        loop.call_later(RESTART_AFTER_S, self._restart)

    def _restart(self) -> None:
        self.up = True
        self.on_restart(self)

    @property
    def address(self) -> str:
        return f"{self.name}:1"


class _TimedTransport(asyncio.Transport):
    """Deliver the bytes of an engine's timetable to a connection."""

    def __init__(self, engine: ScriptedEngine, connection: Connection) -> None:
        super().__init__()
        self._engine = engine
        self._connection = connection
        self._loop = asyncio.get_running_loop()
        self._due: list[asyncio.TimerHandle] = []
        engine.open.append(self)

    def write(self, data: Any) -> None:
        head, _, body = bytes(data).partition(b"\r\n\r\n")
        line, *rest = head.decode().split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (header.partition(":") for header in rest)
        }
        received = ReceivedRequest(line, headers, body)
        self._engine.requests.append(received)
        self._engine.received_at_s.append(self._loop.time())
        # Bytes due at the same time are sent together, as timers with equal
        # deadlines run in no guaranteed order.
        due: dict[float, list[bytes]] = {}
        for after_s, sent in self._engine.script(received):
            due.setdefault(after_s, []).append(sent)
        for after_s, parts in due.items():
            self._due.append(self._loop.call_later(after_s, self._send, parts))

    def _send(self, parts: list[bytes]) -> None:
        if CRASH in parts:
            self._engine.crash()
        elif CONNECTION_LOST in parts:
            self._connection.connection_lost(ConnectionResetError())
        else:
            self._connection.data_received(b"".join(parts))

    def lose(self) -> None:
        """Lose the connection and cancel the pending sends."""
        for due in self._due:
            due.cancel()
        self._connection.connection_lost(ConnectionResetError())

    def abort(self) -> None:
        pending = [due for due in self._due if due.when() > self._loop.time()]
        if pending:
            self._engine.aborted_at_s.append(self._loop.time())
        for due in self._due:
            due.cancel()

    def pause_reading(self) -> None:
        return

    def resume_reading(self) -> None:
        return


class TimedPool(HttpPool):
    """Connect to scripted engines in this process."""

    def __init__(self, engines: dict[str, ScriptedEngine]) -> None:
        super().__init__(clock=LoopClock(), dial=self._dial_engine)
        self._engines = engines

    async def probe_server(
        self, server: BackendServer, *, limit_s: float
    ) -> ServerContact:
        """Ask an engine whether it lives; each that accepts a connection does."""
        return CONTACTS[await self.probe(server.address, limit_s=limit_s)]

    async def _dial_engine(self, address: str, *, timeout_s: float) -> Connection:
        connection = Connection()
        engine = self._engines[address]
        if engine.unreachable:
            await asyncio.sleep(timeout_s)
            raise ExchangeError(
                "cannot connect: timed out",
                step=Step.CONNECT,
                peer=address,
                sent=False,
                timed_out=True,
            )
        if not engine.up:
            raise ExchangeError(
                "cannot connect: refused",
                step=Step.CONNECT,
                peer=address,
                sent=False,
                refused=True,
            )
        await asyncio.sleep(engine.connect_s)
        connection.connection_made(_TimedTransport(engine, connection))
        return connection


@dataclass(slots=True, kw_only=True)
class Caller:
    """Hold a request and the response that its caller received."""

    path: str = "/drafts/1"
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    method: str = "POST"
    body: bytes = b""
    arrived_s: float = 0.0
    unread_s: float = 0.0
    response_started: bool = False
    status: int = 0
    received_body: bytes = b""
    complete: bool = False
    aborted: bool = False
    retry_after: str = ""
    disconnected: bool = False

    def start_response(self, status: int, headers: HTTPHeaders) -> None:
        self.response_started = True
        self.status = status
        self.retry_after = headers.get("Retry-After", "")

    def write(self, data: bytes) -> None:
        self.received_body += data

    def end(self) -> None:
        self.complete = True

    def respond(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        self.start_response(status, headers)
        self.write(body)
        self.end()

    def abort(self) -> None:
        self.aborted = True

    @property
    def events(self) -> int:
        return self.received_body.count(b"id: ")


def generation_caller(request_id: str = "q1", *, wait_ms: int = 20_000) -> Caller:
    """Build a caller that requests a generation."""
    return Caller(
        headers=HTTPHeaders(
            {
                "Host": "court.example",
                "Request-Id": request_id,
                "Request-Deadline-Ms": str(wait_ms),
                "Model": "m0",
                "Token-Usage": "300,20",
                "Prompt-Prefix": f"aa:200,{request_id.encode().hex()}:100",
            }
        )
    )


@dataclass(slots=True)
class RelayHarness:
    """Hold a relay, its scripted engines and its share of the retry budget."""

    relay: Relay
    fleet: Fleet
    window: RetryWindow
    engines: dict[str, ScriptedEngine]

    async def serve(self, caller: Caller, *, after_s: float = 0.0) -> None:
        """Serve a caller that arrives after `after_s`."""
        await asyncio.sleep(after_s)
        caller.arrived_s = asyncio.get_running_loop().time()
        await self.relay.serve(cast(Any, caller))


def a_relay_harness(
    *engines: ScriptedEngine,
    retries: float = 10.0,
    route: HostRoute | None = None,
    window_s: float = 10.0,
    scheduling: SchedulingPort | None = None,
    seed: int | None = None,
) -> RelayHarness:
    """Build a relay in front of engines with a budget of `retries`.

    `seed` is that of the relay's choices among equal servers.
    """
    chosen = route or a_route(timeout_s=20.0)
    catalog = a_catalog(chosen)
    clock, fleet = LoopClock(), Fleet()
    for engine in engines:
        service = chosen.shares[0].service
        models = None if catalog.services[service].engine else {}
        fleet.put(
            an_entry(
                engine.name, service=service, address=engine.address, models=models
            )
        )
    window = RetryWindow(
        clock=clock, ratio=0.0, slack=retries / 0.7 + 1e-9, window_s=window_s
    )
    by_address = {engine.address: engine for engine in engines}
    pool = TimedPool(by_address)
    crashes = CrashWatch(
        "vm-1", clock=clock, probe=pool.probe_server, on_change=lambda: None
    )
    ports = RelayPorts(
        data_centre="a",
        clock=clock,
        fleet=fleet,
        caches=PromptCaches(),
        attempts=AttemptSender(pool, clock=clock),
        catalog=lambda: catalog,
        budget=lambda _: window,
        models=NoModelOrders(),
        fleet_changed=asyncio.Condition(),
        cut_off=set,
        wait_limit_s=lambda: float("inf"),
        on_outcome=_ignore,
        crashes=crashes,
        scheduling=scheduling or Unscheduled(),
        entry_vm="vm-1",
        rng=random.Random(seed),
    )
    return RelayHarness(Relay(ports), fleet, window, by_address)


def pauses_generation(received: ReceivedRequest) -> Timetable:
    """Send two events, pause for four seconds and send the rest."""
    return streams(received, 0.05, 0.3, 4.3, until=8)


def stops_sending(received: ReceivedRequest) -> Timetable:
    """Send two events, then nothing, and keep the connection open."""
    return streams(received, 0.05, 0.3, until=2, ends=False)


def loses_connection(received: ReceivedRequest) -> Timetable:
    """Send two events and lose the connection."""
    return [*streams(received, 0.05, 0.3, until=2, ends=False), (0.4, CONNECTION_LOST)]


def completes_stream(received: ReceivedRequest) -> Timetable:
    return streams(received, until=8)


def pauses_first_request(received: ReceivedRequest) -> Timetable:
    if received.request_id == "q1":
        return pauses_generation(received)
    return streams(received, *(0.05 * number for number in range(1, 80)), until=79)


def add(harness: RelayHarness, engine: ScriptedEngine, *models: str) -> None:
    """Add an engine with the given resident models, `m0` by default."""
    harness.engines[engine.address] = engine
    holds = {model: frozenset[str]() for model in models or ("m0",)}
    harness.fleet.put(an_entry(engine.name, address=engine.address, models=holds))


def successive_scripts(
    *scripts: Callable[[ReceivedRequest], Timetable],
) -> Callable[[ReceivedRequest], Timetable]:
    """Use the next script for each request, whichever server receives it."""
    remaining = list(scripts)

    def next_one(received: ReceivedRequest) -> Timetable:
        return (remaining.pop(0) if len(remaining) > 1 else remaining[0])(received)

    return next_one


def engines_following(
    count: int, script: Callable[[ReceivedRequest], Timetable]
) -> list[ScriptedEngine]:
    return [ScriptedEngine(f"e{number}", script) for number in range(1, count + 1)]


def never_responds(_: ReceivedRequest) -> Timetable:
    return []


def responds_quickly(received: ReceivedRequest) -> Timetable:
    return responds(received, after_s=0.01)


def responds_slowly(received: ReceivedRequest) -> Timetable:
    return responds(received, after_s=1.0)


def a_plain_service_route() -> HostRoute:
    return a_route(kind=RouteKind.IDEMPOTENT, service="desk", timeout_s=5.0)


def plain_service_caller(*, model: bool = False) -> Caller:
    """Build a caller of a service that runs no models."""
    caller = generation_caller()
    for name in () if model else ("Model", "Token-Usage", "Prompt-Prefix"):
        del caller.headers[name]
    return caller


class AdapterLoads(NoModelOrders):
    """Load any adapter immediately."""

    async def ensure_adapter(
        self, _: str, server: BackendServer, prompt: Prompt, **__: Any
    ) -> bool:
        server.resident_models[prompt.model].add(prompt.adapter)
        return True


def restarts_with_model(harness: RelayHarness) -> Callable[[ScriptedEngine], None]:
    """Publish a restarted engine as a new instance with the same model."""

    def publish_entry(engine: ScriptedEngine) -> None:
        entry = harness.fleet.servers[engine.name].entry
        harness.fleet.put(replace(entry, born_ms=entry.born_ms + 1))

    return publish_entry


def occupy_all_slots(harness: RelayHarness, name: str) -> None:
    """Occupy all slots of an engine with requests of another entry VM."""
    server = harness.fleet.servers[name]
    server.peers["vm-9"] = PeerLoad(requests=server.entry.slots)


def received_complete_stream(caller: Caller) -> bool:
    return caller.complete and not caller.aborted and caller.events == 8


def _ignore(_: RequestContext, __: int, ___: str) -> None:
    return


def run(play: Callable[[], Any]) -> None:
    """Run a coroutine function in virtual time."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(play())
    finally:
        loop.close()
