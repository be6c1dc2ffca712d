"""Small stand-ins for a review: the platform's store, replicas, clients, a link.

All run in one process on loopback addresses. They do only what PROTOCOL.md says of
a sound store, replica or client, except for what a case asks of them.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
HEARTBEAT_S = 1.2
HELD, BROKEN, UNUSABLE = 0, 1, 2


def now_s() -> float:
    return time.monotonic()


# Below the ports that the kernel hands out for connections of its own choice. Cases
# that run at the same time begin at different ones.
PORTS = range(20_000, 32_000)
_next_port = PORTS.start + os.getpid() * 40 % len(PORTS)


def free_port() -> int:
    """Return a port of the loopback address that nothing uses, TCP or UDP."""
    global _next_port
    while True:
        port = _next_port
        _next_port = port + 1 if port + 1 in PORTS else PORTS.start
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port


class Record:
    """Write what happened to `record.txt` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start_s = now_s()

    def note(self, text: str) -> None:
        self._file.write(f"{now_s() - self._start_s:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        print(text, flush=True)
        self.note(text)


class HttpMessage:
    """A request or the head of a response; header names are lower case."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        self.line, self.headers, self.body = line, headers, body


async def read_head(reader: asyncio.StreamReader) -> HttpMessage:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, *rest = head.rstrip("\r\n").split("\r\n")
    headers: dict[str, str] = {}
    for entry in rest:
        name, _, value = entry.partition(":")
        headers[name.strip().lower()] = value.strip()
    return HttpMessage(line, headers, b"")


async def read_request(reader: asyncio.StreamReader) -> HttpMessage:
    message = await read_head(reader)
    length = int(message.headers.get("content-length", "0"))
    message.body = await reader.readexactly(length)
    return message


class HttpServer:
    """Serve HTTP/1.1 on a loopback port; a subclass answers each request."""

    def __init__(self) -> None:
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        self.port = self.port or free_port()
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 24
        )

    def close(self) -> None:
        """Refuse connections and reset those that are open, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError, AttributeError):
                # A reset, not an orderly end.
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                await self.answer(await read_request(reader), writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            # The case ends.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    @staticmethod
    def respond(
        writer: asyncio.StreamWriter,
        status: int,
        value: Any = None,
        extra: dict[str, str] | None = None,
    ) -> None:
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        body = b"" if value is None else body
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {text}" for name, text in (extra or {}).items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Store(HttpServer):
    """The platform's store: objects with revisions, conditional writes, watches."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 100
        self.objects: dict[str, dict[str, Any]] = {}
        self.log: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = asyncio.Condition()
        # While it is set, no call is answered ("silent") or each with 503 ("busy").
        self.fault = ""
        # Asked for each call with method, kind and name: what to do instead.
        self.meddle: Callable[[str, str, str], str] = lambda *_: ""
        self.calls: dict[str, int] = {}

    async def put(self, name: str, spec: Any) -> int:
        kind, _, own = name.partition("/")
        self.revision += 1
        known = self.objects.get(name)
        if spec is None:
            if known is not None:
                del self.objects[name]
                self.log.append((self.revision, kind, known, True))
        else:
            created = known["metadata"]["createdRev"] if known else self.revision
            stored = {
                "metadata": {
                    "name": own,
                    "revision": self.revision,
                    "createdRev": created,
                    "finalizers": [],
                    "markedForDeletion": False,
                },
                "spec": spec,
                "status": None,
            }
            self.objects[name] = stored
            self.log.append((self.revision, kind, stored, False))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def answer(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        method, target, _ = request.line.split(" ")
        url = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        parts = url.path.split("/")
        kind, own = parts[3], unquote("/".join(parts[4:]))
        self.calls[f"{method} {kind}"] = self.calls.get(f"{method} {kind}", 0) + 1
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault == "busy":
            self.respond(writer, 503)
            return
        what = self.meddle(method, kind, own)
        if what == "refuse":
            self.respond(writer, 503)
            return
        if what == "silent":
            await asyncio.sleep(3600)
        await asyncio.sleep(0.004)
        if method == "GET" and not own:
            await self._read(kind, query, writer)
        elif method == "GET":
            stored = self.objects.get(f"{kind}/{own}")
            self.respond(writer, 200 if stored else 404, stored)
        else:
            await self._write(method, kind, own, query, request, writer, what)

    async def _read(
        self, kind: str, query: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        if "watch" not in query:
            items = [
                stored
                for name, stored in sorted(self.objects.items())
                if name.startswith(f"{kind}/")
                and stored["metadata"]["name"] > query.get("after", "")
            ]
            self.respond(
                writer,
                200,
                {"items": items, "hasMore": False, "atRevision": self.revision},
            )
            return
        after = int(query["watch"])
        until_s = now_s() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [
                {"object": stored, "deleted": deleted}
                for revision, its_kind, stored, deleted in self.log
                if revision > after and its_kind == kind
            ]
            left_s = until_s - now_s()
            if events or left_s <= 0 or self.fault:
                break
            try:
                async with asyncio.timeout(min(left_s, 0.1)):
                    async with self.changed:
                        await self.changed.wait()
            except TimeoutError:
                continue
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault:
            self.respond(writer, 503)
            return
        self.respond(writer, 200, {"events": events, "atRevision": self.revision})

    async def _write(
        self,
        method: str,
        kind: str,
        own: str,
        query: dict[str, str],
        request: HttpMessage,
        writer: asyncio.StreamWriter,
        what: str,
    ) -> None:
        raw = json.loads(request.body) if request.body else {}
        own = own or raw["metadata"]["name"]
        name = f"{kind}/{own}"
        known = self.objects.get(name)
        wanted = query.get("revision") or (raw.get("metadata") or {}).get("revision")
        if method == "POST" and known is not None:
            self.respond(writer, 409, known)
            return
        if method != "POST" and known is None:
            self.respond(writer, 404)
            return
        if wanted and known and int(wanted) != known["metadata"]["revision"]:
            self.respond(writer, 409, known)
            return
        await self.put(name, None if method == "DELETE" else raw.get("spec"))
        if what == "lose":
            # Done, and not answered; the connection returns nothing further.
            await asyncio.sleep(3600)
        self.respond(writer, 200, self.objects.get(name) or {})


class Replica(HttpServer):
    """A replica of a service: plain requests and streams of events.

    With `models` it is an engine that holds what it is ordered to hold.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        *,
        name: str,
        service: str,
        zone: str = "casa-a",
        version: str = "v1",
        slots: int = 16,
        models: dict[str, set[str]] | None = None,
        events: int = 40,
        event_s: float = 0.05,
        work_s: float = 0.02,
        disk_load_s: float = 0.57,
        store_load_s: float = 2.6,
    ) -> None:
        super().__init__()
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.version, self.slots = version, slots
        self.models = models
        self.on_disk = set(models or ())
        self.events, self.event_s, self.work_s = events, event_s, work_s
        self.disk_load_s, self.store_load_s = disk_load_s, store_load_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.busy = False
        self.state = "ready"
        self.up = False
        self.runs: dict[str, int] = {}
        self.running = 0
        self.orders: list[dict[str, Any]] = []
        self.headers: dict[str, str] = {}
        # How many requests may wait for a slot, and those that do.
        self.queue = 0
        self.waiting = 0
        self.freed = asyncio.Condition()
        # Called with the id of each request that is rejected for want of room.
        self.on_rejected: Callable[[str], None] = lambda _: None
        self._beat: asyncio.Task[None] | None = None
        self._written = ""

    async def start(self) -> None:
        self.up = True
        await self.open()
        await self.write_entry()
        if self._beat is None:
            self._beat = asyncio.ensure_future(self._beats())

    async def crash(self) -> None:
        self.record.note(f"replica {self.name} ({self.version}) ends")
        self.up = False
        self.close()

    async def start_again(self, *, version: str | None = None) -> None:
        """Start under the same id, with nothing of before but the disk."""
        self.version = version or self.version
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.sequence, self.busy = 0, False
        self.running = self.waiting = 0
        if self.models is not None:
            self.models = {}
        self.record.note(f"replica {self.name} starts again as {self.version}")
        await self.start()

    def entry(self) -> dict[str, Any]:
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "born": self.born,
        }
        if self.models is not None:
            entry |= {
                "stage": "both",
                "models": self.model_list(),
                "available": {"inMemory": [], "onDisk": sorted(self.on_disk)},
            }
        return entry

    def model_list(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in (self.models or {}).items()
        ]

    async def write_entry(self) -> None:
        entry = self.entry()
        text = json.dumps(entry)
        if text != self._written and not self.store.fault and self.up:
            self._written = text
            await self.store.put(
                f"servers/{self.name}", entry | {"sequence": self.sequence}
            )

    async def _beats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.write_entry()

    async def answer(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        path = request.line.split(" ")[1]
        headers = request.headers
        if path == "/v1/report":
            self.respond(writer, 200, self._report())
        elif path == "/v1/order":
            self._order(json.loads(request.body), headers, writer)
        elif path.startswith("/health"):
            self.respond(writer, 200, None, {"Instance-Id": self.name})
        else:
            await self._run(request, path, writer)

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": self.model_list(),
            "busy": self.busy,
            "sequence": self.sequence,
            "born": self.born,
            "queued": 0,
            "active": self.running,
            "kvUsed": 0,
            "kvTotal": 200_000,
            "handles": 0,
        }

    def _order(
        self, raw: dict[str, Any], headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        self.orders.append({"at_s": now_s(), "born": self.born, **raw})
        model, adapter = raw["model"], raw.get("adapter", "")
        loads = raw["operation"] == "model_load"
        models = self.models if self.models is not None else {}
        if headers.get("target-instance", self.name) != self.name:
            self.respond(writer, 421)
            return
        if self.busy or raw.get("expected", self.sequence) != self.sequence:
            self.respond(writer, 409)
            return
        if adapter:
            if model not in models:
                self.respond(writer, 400)
                return
            if loads and adapter in models[model]:
                self.respond(writer, 200)
                return
            self.sequence += 1
            (models[model].add if loads else models[model].discard)(adapter)
            self.respond(writer, 202 if loads else 200)
            return
        if loads == (model in models):
            self.respond(writer, 200)
            return
        self.sequence += 1
        if not loads:
            del models[model]
            self.respond(writer, 202)
            return
        self.busy = True
        load_s = self.disk_load_s if model in self.on_disk else self.store_load_s
        loop = asyncio.get_running_loop()
        loop.call_later(load_s, self._loaded, model, self.born)
        self.respond(writer, 202)

    def _loaded(self, model: str, born: int) -> None:
        if born == self.born and self.models is not None:
            self.busy = False
            self.models[model] = set()
            self.on_disk.add(model)
            asyncio.ensure_future(self.write_entry())

    def _holds(self, target: str) -> bool:
        if self.models is None:
            return True
        model, _, adapter = target.partition("/")
        return model in self.models and (not adapter or adapter in self.models[model])

    async def _run(
        self, request: HttpMessage, path: str, writer: asyncio.StreamWriter
    ) -> None:
        headers = request.headers
        request_id = headers["request-id"]
        echo = {"Request-Id": request_id, **self.headers}
        known = headers.get("target-instance", self.name) == self.name
        if not known or not self._holds(headers.get("model", "")):
            self.respond(writer, 421, None, echo | {"Not-Executed": "1"})
            return
        if not await self._take_slot():
            self.respond(writer, 503, None, echo | self._load() | {"Not-Executed": "1"})
            self.on_rejected(request_id)
            return
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        born = self.born
        try:
            if path.startswith("/stream/"):
                await self._stream(headers, echo, writer)
            else:
                await asyncio.sleep(self.work_s)
                body = f"{request_id} {self.name}".encode()
                signature = {"Response-Signature": f"s.{request_id}"}
                if born == self.born and self.up:
                    self.respond(writer, 200, body, echo | self._load() | signature)
        finally:
            if born == self.born:
                self.running -= 1
                async with self.freed:
                    self.freed.notify(1)

    def _load(self) -> dict[str, str]:
        return {"Server-Load": f"{self.running},{self.waiting},{self.slots}"}

    async def _take_slot(self) -> bool:
        """Wait for a slot as one of the few that may; return whether there is one."""
        if self.running >= self.slots:
            if self.waiting >= self.queue:
                return False
            born = self.born
            self.waiting += 1
            try:
                async with self.freed:
                    while self.running >= self.slots:
                        await self.freed.wait()
                        if born != self.born:
                            raise ConnectionResetError
            finally:
                if born == self.born:
                    self.waiting -= 1
        self.running += 1
        return True

    async def _stream(
        self, headers: dict[str, str], echo: dict[str, str], writer: Any
    ) -> None:
        first = int(headers.get("last-event-id", "0")) + 1
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"Response-Signature: s.{headers['request-id']}",
            *(f"{name}: {value}" for name, value in echo.items()),
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {self.version} {self.name} {self.born}\n\n"
            piece = event.encode()
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class EntryVm:
    """An entry VM: the program of the deploy file, as a process of its own."""

    def __init__(
        self,
        folder: Path,
        name: str,
        zone: str,
        store: str,
        *,
        bounds: dict[str, Any],
        ip: str = "127.0.0.1",
    ) -> None:
        self.folder, self.name, self.zone, self.store = folder, name, zone, store
        self.bounds, self.ip = bounds, ip
        self.port, self.ready_port = free_port(), free_port()
        self.metrics_port, self.peer_port = free_port(), free_port()
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self) -> Path:
        """Write what the template of the deploy file becomes."""
        path = self.folder / f"{self.name}.toml"
        b = self.bounds
        quotas = ""
        if "quotaWindowS" in b:
            quotas = (
                f"[quotas]\nwindow_s = {b['quotaWindowS']}\n"
                f"overage = {b['quotaOverage']}\nslack = {b['quotaSlack']}\n"
            )
        path.write_text(
            f'entry_vm = "{self.name}"\ndata_centre = "{self.zone}"\n'
            f"drain_ms = {b['drainMs']}\napply_ms = {b['configApplyMs']}\n"
            f"settle_ms = {b['contactMs']}\nmemory_mb = {b.get('memoryMb', 300)}\n"
            f"max_descriptors = {b.get('maxFds', 4100)}\n"
            f'[callers]\nlisten = "{self.ip}:{self.port}"\n'
            f'ready_listen = "{self.ip}:{self.ready_port}"\n'
            f'metrics_listen = "{self.ip}:{self.metrics_port}"\n'
            f'[peers]\nlisten = "{self.ip}:{self.peer_port}"\nlink_mbps = 1000.0\n'
            f'[store]\naddress = "{self.store}"\n'
            f"[retries]\nratio = {b['retryBudgetRatio']}\nslack = {b['budgetSlack']}\n"
            f"window_s = {b['budgetWindowS']}\n{quotas}"
            f"[stop]\ngrace_s = {b['graceS']}\n"
        )
        return path

    async def start(self) -> None:
        settings = self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["ROSEPATH_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "rosepath.entry_daemon",
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def peak_mb(self) -> float:
        """Return the most memory that the process has had resident."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(peak.split()[1]) / 1024

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.send(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def logged(self, event: str) -> list[dict[str, Any]]:
        path = self.folder / f"{self.name}.log"
        if not path.exists():
            return []
        found = []
        for line in path.read_text(errors="replace").splitlines():
            if f'"{event}"' in line:
                try:
                    raw = json.loads(line)
                except ValueError:
                    continue
                if raw.get("event") == event:
                    found.append(raw)
        return found


SMALL_BOUNDS: dict[str, Any] = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 54,
}


class Fleet:
    """Own the store, the replicas and the entry VMs of a case."""

    def __init__(self, record: Record, bounds: dict[str, Any] | None = None) -> None:
        self.record = record
        self.directory = tempfile.TemporaryDirectory(prefix="rosepath-case-")
        self.path = Path(self.directory.name)
        self.bounds = SMALL_BOUNDS | (bounds or {})
        self.store = Store()
        self.vms: list[EntryVm] = []
        self.replicas: list[Replica] = []

    async def open_store(self, configuration: dict[str, Any]) -> None:
        await self.store.open()
        await self.store.put("config/main", configuration)

    async def start_vms(self, zones: list[str]) -> None:
        for number, zone in enumerate(zones):
            vm = EntryVm(
                self.path,
                f"front-{zone}-{number + 1}",
                zone,
                self.store.address,
                bounds=self.bounds,
            )
            self.vms.append(vm)
            await vm.start()
        until_s = now_s() + 20.0
        for vm in self.vms:
            while not await vm.ready():
                if now_s() > until_s:
                    log = (self.path / f"{vm.name}.log").read_text()[-2000:]
                    raise RuntimeError(f"{vm.name} does not become ready: {log}")
                await asyncio.sleep(0.1)

    async def end(self) -> None:
        for vm in self.vms:
            await vm.end()
        for replica in self.replicas:
            replica.close()
        self.store.close()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.path, keep, dirs_exist_ok=True)
        self.directory.cleanup()


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 15000,
        "targetLatencyMs": 1200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **more,
    }


def configuration(
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    *,
    version: int = 1,
    **more: Any,
) -> dict[str, Any]:
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        **more,
    }


class Answer:
    """What a client saw of one attempt."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False

    def events(self) -> list[tuple[int, str]]:
        """Return the whole events, as id and data."""
        found = []
        for event in self.body.split(b"\n\n")[:-1]:
            fields = dict(
                line.split(": ", 1) for line in event.decode().split("\n") if line
            )
            found.append((int(fields["id"]), fields["data"]))
        return found


async def call(
    vm: EntryVm,
    method: str,
    path: str,
    request_id: str,
    *,
    wait_s: float,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    leave_after: Callable[[Answer], bool] = lambda _: False,
) -> Answer:
    """Send one request over a new connection, and read its answer."""
    answer = Answer()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Request-Deadline-Ms: {int(wait_s * 1000)}",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(vm.ip, vm.port)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            answer.status = int(head.line.split(" ")[1])
            answer.headers = head.headers
            if "content-length" in head.headers:
                length = int(head.headers["content-length"])
                answer.body = await reader.readexactly(length)
                answer.complete = True
            else:
                while not leave_after(answer):
                    size = int(await reader.readuntil(b"\r\n"), 16)
                    answer.body += (await reader.readexactly(size + 2))[:-2]
                    if size == 0:
                        answer.complete = True
                        break
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


def run_case(play: Callable[[Path], Awaitable[int]], folder: Path) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held.

    Exit with 2 if the case could not run. SIGTERM ends it, with its processes.
    """
    try:

        async def bounded() -> int:
            if current := asyncio.current_task():
                loop = asyncio.get_running_loop()
                loop.add_signal_handler(signal.SIGTERM, current.cancel)
            async with asyncio.timeout(115):
                return await play(folder)

        code = asyncio.run(bounded())
    except BaseException as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = UNUSABLE
    raise SystemExit(code)


def seeded() -> random.Random:
    return random.Random(int(os.environ.get("CASE_SEED", "1")))
