"""A small deployment on loopback addresses: real entry VMs, stand-ins otherwise.

The entry VMs are started with the command of the deploy file. The store is the
project's stand-in of the platform, in the process of the case.
"""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer

from rosepath_standins.cluster import free_port
from rosepath_standins.platform import PlatformOptions, make_platform

ROOT = Path.cwd()
COMMAND = ("python3", "-m", "rosepath.entry_daemon")
# From the sheet of the small deployments.
DRAIN_MS = 2000
APPLY_MS = 2000
CONTACT_MS = 3000
GRACE_S = 8.0
RECOVERY_S = 12.0
START_LIMIT_S = 20.0
# A script may run for 120 s.
CASE_LIMIT_S = 100.0

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def troubled() -> bool:
    """Return whether the case applies its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Write what was sent, answered and run to `record.txt`, with its time."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        now_s = time.monotonic() - self._started_s
        self._file.write(f"{now_s:8.3f} {text}\n")
        self._file.flush()


class Vm:
    """One entry VM, as a process of its own."""

    def __init__(
        self, name: str, store: str, directory: Path, record: Record, *, host: str
    ) -> None:
        self.name = name
        self.port, self.ready_port = free_port(), free_port()
        self.metrics_port, self.peer_port = free_port(), free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self._record = record
        self._host = host
        self._log = directory / f"{name}.log"
        self._settings = directory / f"{name}.toml"
        self._settings.write_text(
            f'entry_vm = "{name}"\ndata_centre = "zone-a"\n'
            f"drain_ms = {DRAIN_MS}\napply_ms = {APPLY_MS}\nsettle_ms = {CONTACT_MS}\n"
            f'[callers]\nlisten = "{host}:{self.port}"\n'
            f'ready_listen = "{host}:{self.ready_port}"\n'
            f'metrics_listen = "{host}:{self.metrics_port}"\n'
            f'[peers]\nlisten = "{host}:{self.peer_port}"\nlink_mbps = 1000.0\n'
            f'[store]\naddress = "{store}"\n'
            "[retries]\nratio = 0.2\nslack = 54\nwindow_s = 10\n"
            f"[stop]\ngrace_s = {GRACE_S}\n"
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["LANG"] = "C.UTF-8"
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ROSEPATH_SETTINGS"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.note(f"{self.name} started")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self._record.note(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    async def wait_ended(self) -> int:
        """Wait for the end of the process; return its exit code."""
        assert self.process is not None
        code = await asyncio.to_thread(self.process.wait)
        self._record.note(f"{self.name} ended with {code}")
        return code

    async def status_of(self, port: int, path: str) -> tuple[int, str]:
        """Return the status and the body of a GET; 0 without a response."""
        with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self._host, port)
                writer.write(
                    f"GET {path} HTTP/1.1\r\nHost: x\r\n"
                    "Connection: close\r\n\r\n".encode()
                )
                raw = await reader.read(-1)
                writer.close()
            head, _, body = raw.decode("latin1").partition("\r\n\r\n")
            return int(head.split(" ")[1]), body
        return 0, ""

    async def ready(self) -> bool:
        """Return whether the VM counts as ready."""
        status, _ = await self.status_of(self.ready_port, "/v1/ready")
        return status == 200

    async def metric(self, name: str) -> float:
        """Return the sum of the samples of a metric whose line holds `name`."""
        _, body = await self.status_of(self.metrics_port, "/metrics")
        lines = [line for line in body.splitlines() if name in line]
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line[0] != "#")

    @property
    def log(self) -> str:
        return self._log.read_text(errors="replace")

    def end(self) -> None:
        """End the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    """Own the store and the entry VMs of a case."""

    def __init__(self, directory: Path, record: Record) -> None:
        self.directory = directory
        self.record = record
        self.vms: list[Vm] = []
        app, self.state = make_platform(PlatformOptions())
        self._server = HTTPServer(app, idle_connection_timeout=600)
        port = free_port()
        self._server.listen(port, address="127.0.0.1")
        self.store = f"127.0.0.1:{port}"

    def silence_store(self, silent: bool) -> None:
        """Let the store answer nothing, or serve again the calls that come."""
        self.state.faults.arm("silent", count=-1 if silent else 0, value=0.0)
        self.record.note(f"the store {'is down (silent)' if silent else 'is back'}")

    async def write(self, name: str, spec: Any) -> None:
        """Write an object to the store, or remove it with None."""
        self.state.write(name, spec)
        self.record.note(f"the store accepts {name}: {str(spec)[:160]}")
        async with self.state.changed:
            self.state.changed.notify_all()

    async def write_server(
        self, name: str, service: str, address: str, **more: Any
    ) -> None:
        """Write a server's entry, as the server does."""
        entry = {
            "service": service,
            "address": address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 32,
            "state": "ready",
            "sequence": 0,
            **more,
        }
        await self.write(f"servers/{name}", entry)

    def add_vm(self, name: str, *, host: str = "127.0.0.1") -> Vm:
        """Add an entry VM without starting it."""
        vm = Vm(name, self.store, self.directory, self.record, host=host)
        self.vms.append(vm)
        return vm

    async def wait_ready(
        self, vms: Sequence[Vm], *, limit_s: float = START_LIMIT_S
    ) -> bool:
        """Wait until VMs are ready; return False at the limit."""

        async def all_ready() -> bool:
            return all(await asyncio.gather(*(vm.ready() for vm in vms)))

        return await wait_until(all_ready, limit_s=limit_s)

    def end(self) -> None:
        """End all processes."""
        for vm in self.vms:
            vm.end()
        self._server.stop()


def run_case(run: Callable[[Deployment, Record], Awaitable[int]], folder: Path) -> None:
    """Run a case with its record and a temporary folder; exit with its code."""
    code = asyncio.run(_run_case(run, folder))
    # Streams that are still open would complain of the closed loop.
    sys.stdout.flush()
    os._exit(code)


async def _run_case(
    run: Callable[[Deployment, Record], Awaitable[int]], folder: Path
) -> int:
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(Path(directory), record)
        try:
            async with asyncio.timeout(CASE_LIMIT_S):
                code = await run(deployment, record)
        except TimeoutError:
            code = COULD_NOT_RUN
        finally:
            deployment.end()
    record.note(f"exit code {code}")
    return code


async def wait_until(
    check: Callable[[], Awaitable[bool]], *, limit_s: float, every_s: float = 0.05
) -> bool:
    """Wait until a check holds; return False at the limit."""
    until_s = time.monotonic() + limit_s
    while time.monotonic() < until_s:
        if await check():
            return True
        await asyncio.sleep(every_s)
    return False


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "court.example",
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 500,
        "service": service,
        "maxAttempts": 2,
        "priority": 1,
        **more,
    }
