"""Entry VMs as real processes, with a store and servers in this process.

The servers implement the platform's request protocol and record the requests
that they receive. A soak is checked against these records and the responses
that callers received, not against data reported by the entry VMs.
"""

import asyncio
import math
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from email.utils import formatdate
from enum import StrEnum
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer

from rosepath.caller_connection import unread_for_s
from rosepath_standins.cluster import free_port
from rosepath_standins.fault_proxy import FaultProxy
from rosepath_standins.platform import PlatformOptions, PlatformState, make_platform
from rosepath_standins.stream_caller import StreamEvent, encode_event

HOST = "court.example"
SERVICE = "desk"
EVENTS_PER_STREAM = 10
SOFTWARE_VERSIONS = ("v1", "v2")
EVENT_INTERVAL_S = 0.02
RESPONSE_DELAY_S = 0.02
CRASHING_PATH = "/look/crashing"
STREAM_PATHS = ("/draft/", "/once/")
CRASH_DELAY_S = 0.03
# A part of prompts that crashes each server that begins to answer on it.
CRASHING_PART = "dead"
CRASHING_HEADERS = {
    "Model": "m0",
    "Token-Usage": "300,20",
    "Prompt-Prefix": f"aa:100,{CRASHING_PART}:100,cc:100,ee:100",
}
# Those of requests that share all other parts with it.
SOUND_HEADERS = CRASHING_HEADERS | {"Prompt-Prefix": "aa:100,bb:100,cc:100,ff:100"}
HEALTH_PATH = "/health"
RETRY_AFTER_S = 3.0
DRAIN_S = 2.0
GRACE_S = 8.0
APPLY_S = 2.0
SETTLE_S = 3.0
MAX_ADDED_ROUTES = 3
MAX_ATTEMPTS = 3
# A configuration with this many routes takes seconds over a slow link.
LARGE_ROUTE_COUNT = 1400
LARGE_CONFIGURATION_SHARE = 0.3
NOT_RUN_HEADER = "Not-Executed: 1\r\n"
# The forms in which a server that sheds load says when to come back.
REST_FORMS = ("seconds", "twice", "date")
# A response that belongs to no request, and how long before a server's own
# response it is sent, so that it arrives by itself.
STRAY_RESPONSE = f"HTTP/1.1 503 X\r\n{NOT_RUN_HEADER}Content-Length: 0\r\n\r\n"
STRAY_BEFORE_S = 0.01
# The share of its requests that a full server rejects, and of its responses that
# a failing one breaks.
FULL_SHARE = 0.7
FAILING_SHARE = 0.3
SILENCE_S = 1.2
# The share of its requests that an endless server answers without end.
ENDLESS_SHARE = 0.5
ENDLESS_PIECE = b"x" * 64 * 1024
# A listener without a queue still takes one connection.
HELD_PORT_CONNECTIONS = 3


def whole_streams(request_id: str) -> list[bytes]:
    """Return the bodies that a stream may have, by the version that wrote it."""
    return [
        b"".join(
            encode_event(StreamEvent(number, request_id, version))
            for number in range(1, EVENTS_PER_STREAM + 1)
        )
        for version in SOFTWARE_VERSIONS
    ]


# In which callers write their limits, by turns.
LIMIT_FORMS = ("{:.0f}", "{:.1f}", "{:e}")


def caller_headers(request_id: str, *, wait_s: float) -> dict[str, str]:
    """Return the headers of a caller's request."""
    form = LIMIT_FORMS[sum(request_id.encode()) % len(LIMIT_FORMS)]
    return {
        "Request-Id": request_id,
        "Request-Deadline-Ms": form.format(wait_s * 1000),
    }


def rest_headers(form: str, wall_s: float) -> str:
    """Return header lines that ask for a rest of `RETRY_AFTER_S` in some form."""
    match form:
        case "twice":
            return f"Retry-After: 1\r\nRetry-After: {RETRY_AFTER_S:.2f}\r\n"
        case "date":
            until = formatdate(wall_s + RETRY_AFTER_S, usegmt=True)
            return (
                f"Date: {formatdate(wall_s, usegmt=True)}\r\nRetry-After: {until}\r\n"
            )
    return f"Retry-After: {RETRY_AFTER_S:.2f}\r\n"


@dataclass(slots=True)
class StatedLimit:
    """Record a rate limit that a server stated, and what arrived meanwhile.

    `told_s` holds when each entry VM first got a response with the limit.
    """

    server: str
    per_s: float
    from_s: float
    until_s: float = math.inf
    told_s: dict[str, float] = field(default_factory=dict)
    # VM and time of each request.
    arrivals: list[tuple[str, float]] = field(default_factory=list)


@dataclass(slots=True)
class RequestLog:
    """Record the requests that reached the servers, and the crashes."""

    # The entry VM to which each request was sent, by request id.
    vm_by_request: dict[str, str] = field(default_factory=dict)
    arrivals: Counter[str] = field(default_factory=Counter)
    runs: Counter[str] = field(default_factory=Counter)
    # Server process, VM and time of each request that a server received. What a
    # process states does not bind callers of the next one under its name.
    received_requests: list[tuple[str, str, float]] = field(default_factory=list)
    departure_signalled_s: dict[tuple[str, str], float] = field(default_factory=dict)
    shed_requests: list[tuple[str, str, float]] = field(default_factory=list)
    limits: list[StatedLimit] = field(default_factory=list)
    crash_times_s: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    crashing_requests: list[tuple[str, str, float]] = field(default_factory=list)
    # The requests whose connections their servers ended themselves.
    broken_off: set[str] = field(default_factory=set)
    # Request and time of each arrival.
    arrivals_s: list[tuple[str, float]] = field(default_factory=list)
    # When the caller of a request stops waiting, by request id.
    caller_deadlines_s: dict[str, float] = field(default_factory=dict)
    # Request, time of its arrival, and until when its server may work on it.
    server_deadlines_s: list[tuple[str, float, float]] = field(default_factory=list)

    def note_sending(self, request_id: str, vm: str, *, wait_s: float) -> None:
        """Record that a caller sends a request now."""
        self.vm_by_request[request_id] = vm
        self.caller_deadlines_s[request_id] = time.monotonic() + wait_s

    def excess_times_s(self) -> list[tuple[str, float, float]]:
        """Return by how much a server may work longer than its caller waits.

        Each is of a request and the time of its arrival; negative if less.
        """
        return [
            (request_id, at_s, until_s - self.caller_deadlines_s[request_id])
            for request_id, at_s, until_s in self.server_deadlines_s
            if request_id in self.caller_deadlines_s
        ]


class PortAfterCrash(StrEnum):
    """Enumerate what a server's address does while its process is gone."""

    CLOSED = "closed"
    # A supervisor or a forwarder accepts connections and closes them.
    ENDS_CONNECTIONS = "ends_connections"
    # The kernel accepts connections for a process that writes its memory to disk.
    HANGS = "hangs"
    # Its machine is gone: open connections stay open, and new ones are not made.
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class Server:
    """Serve plain requests and streams, and simulate faults.

    It can drain, shed load and crash.
    """

    name: str
    request_log: RequestLog
    started_ms: int
    port: int = 0
    # Of its software; it continues any stream, but writes its own events.
    software_version: str = "v1"
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    draining: bool = False
    # Whether it is away and will start again under its name.
    restarting: bool = False
    shedding: bool = False
    # Whether it rejects most requests, and sends each rejection once more before
    # the next response on its connection.
    full: bool = False
    # Whether it sends a response that belongs to no request before each own one.
    stray: bool = False
    # Whether it runs a share of its requests without a whole response.
    failing: bool = False
    # Whether it answers a share of its requests with a body without end.
    endless: bool = False
    # Whether white space follows the values of its headers.
    spaced: bool = False
    # How far its clock is ahead.
    clock_ahead_s: float = 0.0
    response_delay_s: float = RESPONSE_DELAY_S
    # Set while it runs; cleared, it reads nothing, and the kernel keeps what
    # arrives, also on connections that are reset meanwhile.
    _running: asyncio.Event = field(default_factory=asyncio.Event)
    limit: StatedLimit | None = None
    port_after_crash: PortAfterCrash = PortAfterCrash.CLOSED
    # Whether its process serves; its port may accept connections without it.
    listening: bool = False
    _listener: asyncio.Server | None = None
    # The open connections, with the id of the latest request on each.
    _writers: dict[asyncio.StreamWriter, str] = field(default_factory=dict)
    # Sockets that hold its port so that connections are neither made nor refused.
    _held_port: list[socket.socket] = field(default_factory=list)
    # The last rejection on each connection, while it is to be repeated.
    _rejections: dict[asyncio.StreamWriter, bytes] = field(default_factory=dict)

    async def listen(self) -> None:
        self._release_port()
        if self._listener is None:
            self.port = self.port or free_port()
            self._listener = await asyncio.start_server(
                self._serve, "127.0.0.1", self.port
            )
        self.listening = True
        self._running.set()

    @property
    def frozen(self) -> bool:
        """Return whether the process stands still."""
        return self.listening and not self._running.is_set()

    def freeze(self) -> None:
        """Let the process stand still."""
        self._running.clear()
        for writer in self._writers:
            _pause_reading(writer)

    def thaw(self) -> None:
        """Let the process go on, with what arrived meanwhile."""
        self._running.set()
        for writer in self._writers:
            transport = writer.transport
            assert isinstance(transport, asyncio.Transport)
            transport.resume_reading()

    def state_limit(self, per_s: float) -> None:
        """State a rate limit in all responses from now on."""
        self.limit = StatedLimit(self.name, per_s, time.monotonic())
        self.request_log.limits.append(self.limit)

    def end_limit(self) -> None:
        """State no rate limit any more."""
        if self.limit is not None:
            self.limit.until_s = time.monotonic()
            self.limit = None

    def crash(self) -> None:
        """End as `port_after_crash` says; mostly, abort every connection."""
        if self.port_after_crash is PortAfterCrash.UNREACHABLE:
            self.freeze()
            self.listening = False
            self.close_port()
            self._held_port = hold_port(self.port)
            return
        self.listening = False
        if self.port_after_crash is PortAfterCrash.CLOSED:
            self.close_port()
        self._abort_connections()

    async def restart(self) -> None:
        """Serve again at the same address, as another process of that name."""
        self._abort_connections()
        self.started_ms = self.wall_ms()
        await self.listen()

    def wall_ms(self) -> int:
        """Return the time by its own clock."""
        return int((time.time() + self.clock_ahead_s) * 1000)

    def close_port(self) -> None:
        """Close the listener."""
        self._release_port()
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _release_port(self) -> None:
        for held in self._held_port:
            held.close()
        self._held_port.clear()

    def stop(self) -> None:
        """Close the listener and abort every connection."""
        self.listening = False
        self.close_port()
        self._abort_connections()

    def _abort_connections(self) -> None:
        for writer in list(self._writers):
            self._abort(writer)

    def _abort(self, writer: asyncio.StreamWriter) -> None:
        self.request_log.broken_off.add(self._writers.get(writer, ""))
        writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.listening and (
            self.port_after_crash is PortAfterCrash.ENDS_CONNECTIONS
        ):
            writer.close()
            return
        self._writers[writer] = ""
        if self.frozen:
            _pause_reading(writer)
        try:
            while self.listening:
                await self._respond(reader, writer)
            # Until it is aborted as the next process starts.
            await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.pop(writer, None)
            self._rejections.pop(writer, None)
            writer.close()

    async def _respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        line, *rest = head.strip().split("\r\n")
        path = line.split(" ")[1]
        headers = dict(entry.lower().split(": ", 1) for entry in rest)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if path == HEALTH_PATH:
            writer.write(
                f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return
        await self.respond(writer, path, headers, body)

    async def respond(
        self,
        writer: asyncio.StreamWriter,
        path: str,
        headers: dict[str, str],
        _body: bytes,
    ) -> None:
        """Respond to a whole request; header names and values are lower case."""
        await self._running.wait()
        request_id = self._writers[writer] = headers["request-id"]
        vm, now_s = self.request_log.vm_by_request[request_id], time.monotonic()
        if headers["target-instance"] != self.name:
            self.write_response(writer, 421, request_id, b"")
            return
        self.request_log.arrivals[request_id] += 1
        self.request_log.arrivals_s.append((request_id, now_s))
        self._note_deadline(writer, headers)
        process = f"{self.name} of {self.started_ms}"
        self.request_log.received_requests.append((process, vm, now_s))
        if self.draining:
            self.request_log.departure_signalled_s.setdefault((process, vm), now_s)
        if self.limit is not None:
            self.limit.arrivals.append((vm, now_s))
            self.limit.told_s.setdefault(vm, now_s)
        if self.shedding:
            self.request_log.shed_requests.append((process, vm, now_s))
            rest = rest_headers(self.rng.choice(REST_FORMS), self.wall_ms() / 1000)
            self.write_response(writer, 503, request_id, b"", NOT_RUN_HEADER + rest)
            return
        await self._send_extra_responses(writer)
        if self.full and self.rng.random() < FULL_SHARE:
            self._reject(writer, request_id)
            return
        self.request_log.runs[request_id] += 1
        if path.startswith(CRASHING_PATH):
            await self._crash_under(path, vm)
        if CRASHING_PART in headers.get("prompt-prefix", ""):
            head = self._head(200, request_id) + "Transfer-Encoding: chunked\r\n\r\n"
            writer.write(head.encode())
            await self._crash_under(CRASHING_PART, vm)
        if self.failing and self.rng.random() < FAILING_SHARE:
            await self._fail(writer, request_id)
            return
        if self.endless and self.rng.random() < ENDLESS_SHARE:
            await self._respond_without_end(writer, request_id)
        if path.startswith(STREAM_PATHS):
            first = int(headers.get("last-event-id", "0")) + 1
            await self.stream(writer, request_id, first)
            return
        await asyncio.sleep(self.response_delay_s)
        await self._running.wait()
        self.write_response(writer, 200, request_id, f"{path} {request_id}".encode())

    def _note_deadline(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        """Record until when this server may work on a request."""
        told_ms = headers.get("request-deadline-ms")
        left_s = math.inf if told_ms is None else int(told_ms) / 1000
        # It may lie unread for a while, here or in the kernel.
        arrived_s = time.monotonic() - unread_for_s(writer.get_extra_info("socket"))
        self.request_log.server_deadlines_s.append(
            (headers["request-id"], arrived_s, arrived_s + left_s)
        )

    async def _crash_under(self, cause: str, vm: str) -> None:
        """Crash a moment after a request with the cause has begun to run."""
        self.request_log.crashing_requests.append((cause, vm, time.monotonic()))
        await asyncio.sleep(CRASH_DELAY_S)
        if self.listening:
            self.request_log.crash_times_s[cause].append(time.monotonic())
            self.crash()
        # An unreachable machine closes nothing until it is back.
        await self._running.wait()
        raise ConnectionResetError

    async def _send_extra_responses(self, writer: asyncio.StreamWriter) -> None:
        """Send what the faults of this server put before its next response."""
        extra = [self._rejections.pop(writer, b"")]
        if self.stray:
            extra.append(STRAY_RESPONSE.encode())
        for response in filter(None, extra):
            writer.write(response)
            await writer.drain()
            await asyncio.sleep(STRAY_BEFORE_S)

    async def _respond_without_end(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        """Send a body until the entry VM closes."""
        writer.write(f"{self._head(200, request_id)}\r\n".encode())
        while True:
            writer.write(ENDLESS_PIECE)
            await writer.drain()

    async def _fail(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        """Break off, spoil or hold back the response to a request that has run."""
        await asyncio.sleep(RESPONSE_DELAY_S)
        match self.rng.choice(("lost", "truncated", "spoiled", "silent")):
            case "truncated":
                writer.write(f"{self._head(200, request_id)}Content-".encode())
                await writer.drain()
            case "spoiled":
                writer.write(b"\x00 no response\r\n\r\n")
                await writer.drain()
            case "silent":
                await asyncio.sleep(SILENCE_S)
        self._abort(writer)
        raise ConnectionResetError

    def _reject(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        head = self._head(503, request_id) + NOT_RUN_HEADER
        rejection = f"{head}Content-Length: 0\r\n\r\n".encode()
        self._rejections[writer] = rejection
        writer.write(rejection)

    async def stream(
        self, writer: asyncio.StreamWriter, request_id: str, first: int
    ) -> None:
        """Stream the events of a request from the first one on."""
        head = self._head(200, request_id) + "Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(first, EVENTS_PER_STREAM + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            await self._running.wait()
            event = encode_event(StreamEvent(number, request_id, self.software_version))
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def write_response(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str,
        body: bytes,
        extra: str = "",
    ) -> None:
        """Write a response with a body; `extra` has further header lines."""
        head = self._head(status, request_id) + extra
        if self.spaced:
            head = head.replace("\r\n", " \t\r\n")
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def _head(self, status: int, request_id: str) -> str:
        signed = "Response-Signature: s\r\n" if status == 200 else ""
        draining = "Server-Leaving: 1\r\n" if self.draining else ""
        limit = f"Server-Limit: {self.limit.per_s}\r\n" if self.limit else ""
        return (
            f"HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\n"
            f"{signed}{draining}{limit}"
        )


@dataclass(slots=True)
class EntryVm:
    """Own an entry VM's process and its link to the store.

    It records the faults that were injected into the VM.
    """

    name: str
    directory: Path
    store: FaultProxy
    memory_mb: float = 300.0
    port: int = 0
    ready_port: int = 0
    peer_port: int = 0
    process: subprocess.Popen[bytes] | None = None
    # When it was killed, started, paused or resumed, and when a stop was sent.
    disturbances_s: list[float] = field(default_factory=list)
    stop_sent_s: list[float] = field(default_factory=list)
    # Intervals of planned stops, and of a cut or slow link to the store.
    stop_intervals_s: list[tuple[float, float]] = field(default_factory=list)
    store_fault_intervals_s: list[tuple[float, float]] = field(default_factory=list)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def write_settings(self, *, slack: float = 50.0) -> Path:
        """Write the settings file as the platform does."""
        self.port = self.port or free_port()
        self.ready_port = self.ready_port or free_port()
        self.peer_port = self.peer_port or free_port()
        path = self.directory / f"{self.name}.toml"
        path.write_text(
            f'entry_vm = "{self.name}"\ndata_centre = "a"\n'
            f"apply_ms = {APPLY_S * 1000}\nsettle_ms = {SETTLE_S * 1000}\n"
            f"memory_mb = {self.memory_mb}\n"
            f'[callers]\nlisten = "{self.address}"\n'
            f'ready_listen = "127.0.0.1:{self.ready_port}"\n'
            f'[peers]\nlisten = "127.0.0.1:{self.peer_port}"\n'
            f'[store]\naddress = "{self.store.address}"\n'
            f"[retries]\nslack = {slack}\n[stop]\ngrace_s = {GRACE_S}\n"
        )
        return path

    def start(self) -> None:
        """Start the process, with its log beside its settings file."""
        path = self.write_settings()
        log = (self.directory / f"{self.name}.jsonl").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "rosepath.entry_daemon", str(path)],
            stdout=log,
            stderr=log,
        )
        log.close()
        self.note_disturbance()

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.running:
            os.kill(self.process.pid, number)

    async def restart_when_exited(self, *, pause_s: float) -> None:
        """Start the process again once it has exited, unless that was done."""
        process = self.process
        if process is None:
            return
        await asyncio.to_thread(process.wait)
        if self.process is not process:
            return
        await asyncio.sleep(pause_s)
        if self.process is process:
            self.start()

    def note_disturbance(self) -> None:
        self.disturbances_s.append(time.monotonic())

    def undisturbed(self, from_s: float, to_s: float) -> bool:
        """Return whether no disturbance was recorded in an interval.

        Planned stops and faults of the link to the store do not count.
        """
        return not any(from_s < at_s < to_s for at_s in self.disturbances_s)


@dataclass(slots=True)
class AddedRoute:
    """Hold the times of the writes that added and dropped a route.

    `added_s` and `dropped_s` are the times of the acknowledgements, the other
    time is when the write that drops the route was sent.
    """

    added_s: float = math.inf
    drop_sent_s: float = math.inf
    dropped_s: float = math.inf


@dataclass(slots=True)
class EntryFleet:
    """Own the store, the servers and the entry VMs of a soak run."""

    directory: Path
    request_log: RequestLog = field(default_factory=RequestLog)
    # Called for each server that is added: how far its clock is ahead.
    draw_clock_ahead_s: Callable[[], float] = lambda: 0.0
    state: PlatformState | None = None
    store_address: str = ""
    servers: dict[str, Server] = field(default_factory=dict)
    # The routes and services of its configuration beside the plain ones.
    extra_routes: list[dict[str, object]] = field(default_factory=list)
    extra_services: list[dict[str, object]] = field(default_factory=list)
    # Limits of callers in its configuration.
    limits: dict[str, int] = field(default_factory=lambda: {"idleTimeoutMs": 9000})
    # Of each entry VM.
    memory_mb: float = 300.0
    vms: dict[str, EntryVm] = field(default_factory=dict)
    instance_count: int = 0
    # All routes that were added, and those of them that were not dropped.
    added_routes: dict[str, AddedRoute] = field(default_factory=dict)
    active_routes: list[str] = field(default_factory=list)
    # Intervals in which this process, and so the store, was stalled.
    stall_intervals_s: list[tuple[float, float]] = field(default_factory=list)

    async def start(
        self, *, vms: int, servers: int, software_versions: Sequence[str] = ("v1",)
    ) -> None:
        """Start servers, of each software version in turn, and entry VMs."""
        app, self.state = make_platform(PlatformOptions())
        store = HTTPServer(app, idle_connection_timeout=600)
        port = free_port()
        store.listen(port, address="127.0.0.1")
        self.store_address = f"127.0.0.1:{port}"
        await self._write_configuration([])
        for number in range(servers):
            version = software_versions[number % len(software_versions)]
            await self.add_server(software_version=version)
        for number in range(vms):
            proxy = FaultProxy(self.store_address)
            await proxy.start()
            vm = EntryVm(
                f"vm-{number}", self.directory, proxy, memory_mb=self.memory_mb
            )
            self.vms[vm.name] = vm
            vm.start()
        await asyncio.gather(*(self.wait_until_ready(vm) for vm in self.vms.values()))

    async def write(self, name: str, value: object) -> None:
        """Write or remove an object of the store and notify the watches."""
        assert self.state is not None
        self.state.write(name, value)
        async with self.state.changed:
            self.state.changed.notify_all()

    async def change_routes(self, rng: random.Random) -> None:
        """Write a configuration with one more route.

        Once `MAX_ADDED_ROUTES` are present, drop a random one of them.
        """
        name, dropped = f"new-{len(self.added_routes)}", AddedRoute()
        if len(self.active_routes) >= MAX_ADDED_ROUTES:
            dropped = self.added_routes[
                self.active_routes.pop(rng.randrange(MAX_ADDED_ROUTES))
            ]
        dropped.drop_sent_s = time.monotonic()
        route = self.added_routes[name] = AddedRoute()
        self.active_routes.append(name)
        extra_routes = (
            LARGE_ROUTE_COUNT if rng.random() < LARGE_CONFIGURATION_SHARE else 0
        )
        names = self.active_routes + [
            f"crowd-{number}" for number in range(extra_routes)
        ]
        await self._write_configuration(names)
        route.added_s = dropped.dropped_s = time.monotonic()

    async def _write_configuration(self, names: list[str]) -> None:
        configuration = _configuration(1 + len(self.added_routes), names)
        configuration["routes"] += self.extra_routes
        configuration["services"] += self.extra_services
        configuration["limits"] = self.limits
        await self.write("config/main", configuration)

    async def add_server(
        self,
        *,
        port: int = 0,
        software_version: str = "v1",
    ) -> Server:
        self.instance_count += 1
        server = Server(
            f"i-{self.instance_count}",
            self.request_log,
            started_ms=0,
            port=port,
            software_version=software_version,
            clock_ahead_s=self.draw_clock_ahead_s(),
        )
        server.started_ms = server.wall_ms()
        await server.listen()
        self.servers[server.name] = server
        await self.write_entry(server)
        return server

    async def write_entry(self, server: Server, *, state: str = "ready") -> None:
        """Write the server's entry to the store."""
        entry = {
            "service": SERVICE,
            "address": f"127.0.0.1:{server.port}",
            "zone": "a",
            "version": server.software_version,
            "slots": 32,
            "state": state,
            "sequence": 0,
            "born": server.started_ms,
        }
        await self.write(f"servers/{server.name}", entry)

    async def remove(self, server: Server) -> None:
        self.servers.pop(server.name, None)
        await self.write(f"servers/{server.name}", None)

    async def wait_until_ready(self, vm: EntryVm, *, limit_s: float = 20.0) -> bool:
        """Wait until a VM reports ready; return False at the time limit."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            if await _ready(vm.ready_port):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self) -> None:
        for vm in self.vms.values():
            vm.send(signal.SIGCONT)
            vm.send(signal.SIGTERM)
        for vm in self.vms.values():
            if vm.process is not None:
                await asyncio.to_thread(_wait, vm.process)
            await vm.store.stop()
        for server in self.servers.values():
            server.stop()


def hold_port(port: int) -> list[socket.socket]:
    """Let connections to a port hang: its queue of them is full and not read.

    Return the sockets that hold it.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(0)
    held = [listener]
    for _ in range(HELD_PORT_CONNECTIONS):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(("127.0.0.1", port))
        held.append(filler)
    return held


def _pause_reading(writer: asyncio.StreamWriter) -> None:
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    transport.pause_reading()


def _wait(process: subprocess.Popen[bytes]) -> int:
    try:
        return process.wait(GRACE_S + 2.0)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


async def _ready(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        async with asyncio.timeout(1.0):
            line = await reader.readline()
        writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line


def _configuration(version: int, names: list[str]) -> dict[str, Any]:
    def route(name: str, kind: str, **more: object) -> dict[str, object]:
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "routeType": kind,
            "timeoutMs": 5000,
            "targetLatencyMs": 500,
            "service": SERVICE,
            "maxAttempts": MAX_ATTEMPTS,
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("look", "idempotent"),
            route("file", "non_idempotent"),
            route("draft", "streaming", resumable=True, targetGapMs=250),
            route("once", "streaming", targetGapMs=250),
            *(route(name, "idempotent") for name in names),
        ],
        "services": [{"name": SERVICE, "healthPath": HEALTH_PATH}],
    }
