"""Start simulated components and daemons as real processes.

Used by the demo, the tests and the benchmarks.
"""

import asyncio
import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from rosepath.http_client import HttpPool, Request, ResponseHead

START_TIMEOUT_S = 20.0
POLL_S = 0.02
# Of a response that is kept whole.
MAX_BODY_BYTES = 64 * 1024 * 1024
PORT_RANGE = (12_000, 32_000)


_allocated_ports: set[int] = set()
# Other processes seed the shared generator alike, and would draw the same ports.
_port_rng = random.SystemRandom()


def free_port() -> int:
    """Return a loopback port below the ephemeral range, free for TCP and UDP.

    An outgoing connection could take a port of the ephemeral range before the
    process that is meant to listen on it starts.
    """
    while True:
        port = _port_rng.randrange(*PORT_RANGE)
        if port in _allocated_ports:
            continue
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
        ):
            try:
                stream.bind(("127.0.0.1", port))
                datagram.bind(("127.0.0.1", port))
            except OSError:
                continue
        _allocated_ports.add(port)
        return port


def free_address() -> str:
    """Return a loopback address with a currently free port."""
    return f"127.0.0.1:{free_port()}"


@dataclass(slots=True)
class Process:
    """Own one child process and its listening address."""

    name: str
    address: str
    command: Sequence[str]
    log_file: Path
    popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process and append its output to the log file."""
        with self.log_file.open("ab") as log:
            self.popen = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    @property
    def pid(self) -> int:
        assert self.popen is not None
        return self.popen.pid

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and reap it."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()

    def wait(self, timeout_s: float) -> int:
        """Wait for the process to exit and return its exit code."""
        assert self.popen is not None
        return self.popen.wait(timeout_s)


@dataclass(slots=True, kw_only=True)
class Daemon:
    """Own the process of one entry VM, and hold its addresses."""

    process: Process
    data_centre: str
    callers: str
    peers: str
    operators: str
    settings_file: Path

    @property
    def name(self) -> str:
        return self.process.name


@dataclass(slots=True)
class Cluster:
    """Own all processes of one deployment on loopback."""

    folder: Path
    deployment: str = "demo"
    platform: Process | None = None
    engines: dict[str, Process] = field(default_factory=dict)
    services: dict[str, Process] = field(default_factory=dict)
    daemons: dict[str, Daemon] = field(default_factory=dict)
    pool: HttpPool = field(default_factory=HttpPool)

    # Processes

    def _process(self, name: str, address: str, *arguments: str) -> Process:
        command = [sys.executable, "-m", "rosepath_standins", *arguments]
        process = Process(name, address, command, self.folder / f"{name}.log")
        process.start()
        return process

    def start_platform(self, **options: object) -> Process:
        """Start a simulated platform."""
        address = free_address()
        self.platform = self._process(
            "platform", address, "platform", "--listen", address, *_flags(options)
        )
        return self.platform

    def start_engine(self, name: str, **options: object) -> Process:
        """Start a simulated model engine."""
        address = free_address()
        self.engines[name] = self._process(
            name,
            address,
            "engine",
            *("--listen", address, "--name", name),
            *_flags(options),
        )
        return self.engines[name]

    def start_engines(self, count: int, **options: object) -> list[Process]:
        """Start several simulated engines in one process."""
        first = len(self.engines)
        addresses = [free_address() for _ in range(count)]
        flags = ["--listen", *addresses]
        host = self._process(
            f"engines-{first}", addresses[0], "engines", *flags, *_flags(options)
        )
        for number, address in enumerate(addresses, start=first):
            name = f"engine-{number}"
            self.engines[name] = replace(host, name=name, address=address)
        return list(self.engines.values())[first:]

    def start_service(self, name: str, **options: object) -> Process:
        """Start a simulated server of a plain service."""
        address = free_address()
        self.services[name] = self._process(
            name,
            address,
            "service",
            *("--listen", address, "--name", name),
            *_flags(options),
        )
        return self.services[name]

    def start_daemon(
        self,
        name: str,
        data_centre: str,
        *,
        platform_address: str = "",
        peers_advertise: str = "",
        peers_listen: str = "",
        seeds: Sequence[str] | None = None,
        settings: Mapping[str, Mapping[str, object]] | None = None,
    ) -> Daemon:
        """Write a settings file and start a daemon with it."""
        assert self.platform is not None
        if seeds is None:
            seeds = [daemon.peers for daemon in self.daemons.values()][:3]
        callers, operators = free_address(), free_address()
        peers = peers_listen or free_address()
        sections: dict[str, dict[str, object]] = {
            "callers": {"listen": callers},
            "peers": {"listen": peers},
            "operators": {"listen": operators},
            "platform": {"address": platform_address or self.platform.address},
            "stop": {"balancer_wait_s": 0.2},
        }
        if peers_advertise:
            sections["peers"]["advertise"] = peers_advertise
        for section, values in (settings or {}).items():
            sections.setdefault(section, {}).update(values)
        file = self.folder / f"{name}.toml"
        top = {
            "deployment": self.deployment,
            "entry_vm": name,
            "data_centre": data_centre,
            "seeds": list(seeds),
        }
        file.write_text(_toml(top, sections), encoding="utf-8")
        command = [sys.executable, "-m", "rosepath.daemon", str(file)]
        log_file = self.folder / f"{name}.log"
        process = Process(name, callers, command, log_file)
        daemon = Daemon(
            process=process,
            data_centre=data_centre,
            callers=callers,
            peers=peers_advertise or peers,
            operators=operators,
            settings_file=file,
        )
        process.start()
        self.daemons[name] = daemon
        return daemon

    def all_processes(self) -> list[Process]:
        """Return every process, daemons first."""
        daemons = [daemon.process for daemon in self.daemons.values()]
        backends = [*self.engines.values(), *self.services.values()]
        return daemons + backends + ([self.platform] if self.platform else [])

    def stop(self) -> dict[str, int]:
        """Stop the daemons gracefully, then kill the other processes.

        Return the exit codes of the daemons.
        """
        for daemon in self.daemons.values():
            daemon.process.signal(signal.SIGCONT)
            daemon.process.signal(signal.SIGTERM)
        codes = {}
        for daemon in self.daemons.values():
            try:
                codes[daemon.name] = daemon.process.wait(20)
            except subprocess.TimeoutExpired:
                daemon.process.kill()
                codes[daemon.name] = -9
        for process in self.all_processes():
            process.kill()
        self.pool.close()
        return codes

    # HTTP calls and commands

    async def request(
        self,
        address: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> tuple[ResponseHead, bytes]:
        """Send one HTTP request."""
        request = Request(
            address=address,
            method=method,
            path=path,
            body=body,
            headers=headers or {},
            progress_timeout_s=timeout_s,
        )
        return await self.pool.fetch(request, max_bytes=MAX_BODY_BYTES)

    async def json(
        self, address: str, path: str, *, method: str = "GET", body: object = None
    ) -> Any:
        """Send one JSON request to a simulated component."""
        data = b"" if body is None else json.dumps(body).encode()
        _, response = await self.request(address, method, path, body=data)
        return json.loads(response) if response else None

    async def fault(
        self, process: Process, name: str, *, count: int = 1, value: float = 0
    ) -> None:
        """Arm a fault of a simulated component."""
        body = {"name": name, "count": count, "value": value}
        await self.json(process.address, "/admin/faults", method="POST", body=body)

    async def record(self, process: Process) -> Any:
        """Read the record that a simulated component keeps of its requests."""
        return await self.json(process.address, "/admin/record")

    async def wait_listening(self) -> None:
        """Wait until every simulated component responds."""
        for process in [*self.engines.values(), *self.services.values()]:
            await self._wait_until_ok(process.address, "/report")
        if self.platform is not None:
            await self._wait_until_ok(self.platform.address, "/admin/calls")

    async def _wait_until_ok(self, address: str, path: str) -> None:
        await self.until(lambda: self.responds_ok(address, path))

    async def responds_ok(self, address: str, path: str) -> bool:
        head, _ = await self.request(address, "GET", path, timeout_s=1.0)
        return head.status == 200

    async def until(
        self, condition: Callable[[], Any], *, timeout_s: float = START_TIMEOUT_S
    ) -> Any:
        """Wait until a condition returns a true value, and return that value.

        A condition that raises an exception is retried.
        """
        deadline_s = time.monotonic() + timeout_s
        failure: Exception | None = None
        while time.monotonic() < deadline_s:
            try:
                # Run in a thread: the condition may block on a command while
                # fault proxies are served by this event loop.
                value = await asyncio.to_thread(condition)
                if asyncio.iscoroutine(value):
                    value = await value
                if value:
                    return value
            except Exception as error:
                failure = error
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"condition does not hold; last failure: {failure!r}")

    async def wait_live(self) -> None:
        """Wait until every daemon passes its liveness check."""
        for daemon in self.daemons.values():
            await self._wait_until_ok(daemon.callers, "/livez")

    async def wait_ready(self) -> None:
        """Wait until every daemon passes its readiness check."""
        for daemon in self.daemons.values():
            await self._wait_until_ok(daemon.callers, "/readyz")

    def cli(self, *arguments: str, daemon: str = "") -> subprocess.CompletedProcess:
        """Run the operator command line against one daemon."""
        chosen = daemon or next(iter(self.daemons))
        environment = {
            **os.environ,
            "ROSEPATH_OPERATORS": self.daemons[chosen].operators,
        }
        return subprocess.run(
            [sys.executable, "-m", "rosepath.cli", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def declare(self, declarations: str, *, name: str = "declarations") -> int:
        """Apply TOML declarations and return the new configuration version."""
        file = self.folder / f"{name}.toml"
        file.write_text(declarations, encoding="utf-8")
        done = self.cli("apply", str(file), "--output", "json")
        if done.returncode:
            raise RuntimeError(done.stderr)
        return int(json.loads(done.stdout)["version"])

    def engine_declarations(
        self, data_centres: Mapping[str, str], memory_bytes: int, *, fences: bool = True
    ) -> str:
        """Return the declarations of the engines of this cluster."""
        return "".join(
            f'[backend_server.{name}]\ndata_centre = "{data_centres[name]}"\n'
            f'address = "{process.address}"\nmemory_bytes = {memory_bytes}\n'
            f"fences = {str(fences).lower()}\n"
            for name, process in self.engines.items()
        )

    def service_declarations(
        self, service: str, data_centres: Mapping[str, str]
    ) -> str:
        """Return the declarations of a service and its servers."""
        return f"[service.{service}]\n" + "".join(
            f'[backend_server.{name}]\ndata_centre = "{data_centres[name]}"\n'
            f'address = "{process.address}"\nservice = "{service}"\n'
            for name, process in self.services.items()
        )


def caller_declaration(name: str, key: str, *, reach: str = "*") -> str:
    """Return the declaration of a caller with an API key."""
    hashed = hashlib.sha256(key.encode()).hexdigest()
    return f'[caller.{name}]\nkey_sha256 = "{hashed}"\nreach = ["{reach}"]\n'


def _flags(options: Mapping[str, object]) -> list[str]:
    flags = []
    for key, value in options.items():
        flag = key.replace("_", "-")
        if isinstance(value, bool):
            flags.append(f"--{flag}" if value else f"--no-{flag}")
        else:
            flags += [f"--{flag}", str(value)]
    return flags


def _toml(
    top: Mapping[str, object], sections: Mapping[str, Mapping[str, object]]
) -> str:
    lines = [f"{key} = {json.dumps(value)}" for key, value in top.items()]
    for section, values in sections.items():
        lines.append(f"\n[{section}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"
