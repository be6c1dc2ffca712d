"""Simulate entry VMs, the store and departing servers in virtual time.

The entry VMs run their real code except for sockets: their tables follow the
simulated store, their state messages pass through a simulated transport, and
each one sends callers' requests continuously.
"""

import asyncio
import json
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, cast

import pytest
from entry_builders import a_catalog, a_route, entry_settings
from store_view import ONE_WAY_LATENCY_S, SimulatedStore
from tornado.httputil import HTTPHeaders
from virtual_time import LoopClock, VirtualLoop, now_s

from rosepath import entry_node, placement_coordinator
from rosepath.catalog import RouteKind
from rosepath.entry_node import LEASE_TICK_S, EntryNode
from rosepath.errors import ExchangeError, Step
from rosepath.http_client import Request, ResponseHead
from rosepath.object_store import (
    StoredObject,
    StoreError,
)

SERVICE = "desk"
LEASE_RENEWAL_INTERVAL_S = 0.6
ENTRY_WRITE_INTERVAL_S = 0.2
REQUEST_INTERVAL_S = 0.08


def vm_address(vm: str) -> str:
    """Return the address of an entry VM's state messages."""
    return f"10.0.0.1:{int(vm.rpartition('-')[2]) + 1}"


@dataclass(slots=True)
class FleetSimulation:
    """Own the store, the transport, the entry VMs and the late requests found.

    A request is late if it reaches a server more than `drain_s` after the
    server's departure.
    """

    drain_s: float = 2.0
    # Requests of a VM are not checked until this long after it regains contact
    # with the store or its watch connections stall.
    settle_s: float = 3.0
    data_centres: int = 1
    # Datagrams sent by each VM.
    sent: Counter[str] = field(default_factory=Counter)
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    revision: int = 0
    objects: dict[str, StoredObject] = field(default_factory=dict)
    events: list[tuple[int, str, StoredObject | None]] = field(default_factory=list)
    written_at_s: dict[int, float] = field(default_factory=dict)
    compacted_revision: int = 0
    # The store reports no changes to watches.
    changes_suppressed: bool = False
    # The store fails every call with a timeout and cuts every watch.
    down: bool = False
    # The store is down or suppresses changes for every VM, so no request counts
    # as late.
    outage: bool = False
    # VMs whose store calls time out and whose watches are cut.
    blocked: set[str] = field(default_factory=set)
    killed: set[str] = field(default_factory=set)
    # By VM: watch connections opened before this time deliver nothing more.
    stalled_at_s: dict[str, float] = field(default_factory=dict)
    # Throughput of a VM's link to the store; unlimited if absent.
    bytes_per_s: dict[str, float] = field(default_factory=dict)
    # Object bytes that each VM received from the store.
    received_bytes: Counter[str] = field(default_factory=Counter)
    lost_share: float = 0.0
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    cuts: int = 0
    nodes: dict[str, EntryNode] = field(default_factory=dict)
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)
    # Requests in progress; the tasks are named after their VMs.
    serving: set[asyncio.Task[None]] = field(default_factory=set)
    holder: str = ""
    holder_term: int = 1
    departed_at_s: dict[str, float] = field(default_factory=dict)
    disrupted_at_s: dict[str, float] = field(default_factory=dict)
    late_sends: list[tuple[float, str, str]] = field(default_factory=list)
    answered: int = 0
    refused: int = 0
    connect_delay_s: float = 0.0

    # The store

    def write(self, name: str, value: bytes | None) -> None:
        """Write an object, or remove it if the value is None."""
        self.revision += 1
        stored = None
        if value is None:
            self.objects.pop(name, None)
        else:
            stored = self.objects[name] = StoredObject(name, self.revision, value)
        self.events.append((self.revision, name, stored))
        self.written_at_s[self.revision] = now_s()
        self.wake()

    def wake(self) -> None:
        asyncio.ensure_future(self._wake())

    async def _wake(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    def cut_watches(self, *, compact: bool = False) -> None:
        """Cut every open watch, and optionally drop the change history."""
        self.cuts += 1
        if compact:
            self.compacted_revision = self.revision
        self.wake()

    async def compact_history(self) -> None:
        """Suppress changes for a second, then drop the history and cut watches."""
        self.changes_suppressed = self.outage = True
        await asyncio.sleep(1.0)
        self.changes_suppressed = self.outage = False
        self._note_disruption(self.nodes)
        self.cut_watches(compact=True)

    async def fail_store(self, *, for_s: float, expiring: list[str]) -> None:
        """Fail every call for a while; the `expiring` servers re-register later."""
        self.down = self.outage = True
        self.wake()
        await asyncio.sleep(for_s)
        for name in expiring:
            self.write(f"servers/{name}", None)
        self.down = self.outage = False
        self._note_disruption(self.nodes)
        await asyncio.sleep(self.rng.uniform(0.2, 1.8))
        for name in expiring:
            self.write_entry(name)

    def _note_disruption(self, vms: Iterable[str]) -> None:
        """Exempt VMs from the check of late requests for `settle_s`.

        Blocked VMs stay exempt until they are unblocked.
        """
        disrupted = set(vms) - self.blocked
        self.disrupted_at_s.update(dict.fromkeys(disrupted, now_s()))

    def block(self, *vms: str) -> None:
        """Fail every store call of some VMs."""
        self.blocked.update(vms)
        self.disrupted_at_s.update(dict.fromkeys(vms, math.inf))
        self.wake()

    def unblock(self, *, excluded: Sequence[str] = ()) -> None:
        """Restore the store for all blocked VMs except the excluded ones."""
        restored = self.blocked.difference(excluded)
        self.blocked -= restored
        self._note_disruption(restored)

    def stall_watches(self, *vms: str) -> None:
        """Stop delivering data on the VMs' open watch connections."""
        self.stalled_at_s.update(dict.fromkeys(vms, now_s()))
        self._note_disruption(vms)

    # The configuration

    def configure(
        self, version: int, *, paths: Sequence[str] = ("/drafts/",), size: int = 0
    ) -> None:
        """Write the operator's configuration with `size` bytes of padding."""
        routes = [
            {
                "name": f"r-{number}",
                "host": "court.example",
                "pathPrefix": path,
                "routeType": "idempotent",
                "timeoutMs": 6000,
                "targetLatencyMs": 600,
                "service": SERVICE,
                "maxAttempts": 2,
            }
            for number, path in enumerate(paths)
        ]
        raw = {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE, "healthPath": "/health"}],
            "note": "x" * size,
        }
        self.write("config/main", json.dumps(raw).encode())

    def vms_without_version(self, version: int) -> list[str]:
        """Return the VMs that have not applied a configuration version."""
        return [
            name
            for name, node in self.nodes.items()
            if node.tables.catalog is None or node.tables.catalog.version < version
        ]

    # Servers

    async def keep_writing_entries(self, names: list[str]) -> None:
        """Rewrite random servers' entries continuously."""
        while True:
            await asyncio.sleep(ENTRY_WRITE_INTERVAL_S)
            self.write_entry(self.rng.choice(names))

    def address_of(self, name: str) -> str:
        """Return the address of a server."""
        return f"10.9.0.{int(name.rpartition('-')[2]) + 1}:80"

    def write_entry(
        self, name: str, *, state: str = "ready", sequence: int = 1
    ) -> None:
        """Write a server's entry."""
        raw = {
            "service": SERVICE,
            "address": self.address_of(name),
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": state,
            "sequence": sequence,
            "born": 100,
        }
        self.write(f"servers/{name}", json.dumps(raw).encode())

    def start_departure(self, name: str, *, announced: bool = False) -> None:
        """Mark a server as draining if announced, else remove its entry."""
        self.departed_at_s.setdefault(name, now_s())
        if announced:
            self.write_entry(name, state="draining")
        else:
            self.write(f"servers/{name}", None)

    def note_request(self, vm: str, server: str) -> None:
        self.answered += 1
        departed_at_s = self.departed_at_s.get(server)
        in_time = departed_at_s is None or now_s() - departed_at_s <= self.drain_s
        if departed_at_s is None or in_time or self.outage:
            return
        if now_s() - self.disrupted_at_s.get(vm, -1e9) > self.settle_s:
            self.late_sends.append((round(now_s() - departed_at_s, 3), vm, server))

    # VMs

    async def start(
        self, vms: int, monkeypatch: pytest.MonkeyPatch, *, servers: int = 4
    ) -> None:
        """Start VMs with each other's addresses; the first holds the lease."""
        monkeypatch.setattr(entry_node, "SystemClock", LoopClock)
        monkeypatch.setattr(placement_coordinator, "BootClock", LoopClock)
        if hasattr(entry_node, "BootClock"):
            monkeypatch.setattr(entry_node, "BootClock", LoopClock)
        for number in range(servers):
            self.write_entry(f"i-{number}")
        names = [f"vm-{number}" for number in range(vms)]
        self.holder = names[0]
        for name in names:
            self._build_node(name, monkeypatch)
        for name in names:
            self._connect_and_run(name)

    def _build_node(self, name: str, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(
            entry_node, "PlatformStore", lambda *_, **__: SimulatedStore(self, name)
        )
        number = int(name.rpartition("-")[2]) % self.data_centres
        settings = entry_settings(name, data_centre="abcdef"[number]).model_copy(
            update={
                "drain_ms": self.drain_s * 1000,
                "settle_ms": self.settle_s * 1000,
            }
        )
        node = self.nodes[name] = EntryNode(settings)
        node.exchange.link.address = vm_address(name)
        node.tables.catalog = a_catalog(
            a_route(kind=RouteKind.IDEMPOTENT, service=SERVICE, resumable=False)
        )
        self._replace_leases(node, name, monkeypatch)
        monkeypatch.setattr(node.pool, "exchange", self._backend_exchange(name))
        node.copies.fetch = self._configuration_fetch(name)
        node.copies._rng = self.rng
        node.relay._ports.on_outcome = lambda *_: None
        node.relay._ports.rng = self.rng

    def _replace_leases(
        self, node: EntryNode, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Let the simulation say who holds the placement lease."""
        leases = node.coordinator.leases
        monkeypatch.setattr(leases, "valid", lambda *_, **__: self.holder == name)
        monkeypatch.setattr(leases, "fence", lambda _: self.holder_term)
        monkeypatch.setattr(
            leases, "holder", lambda _: name if self.holder == name else ""
        )

    def _connect_and_run(self, name: str) -> None:
        """Give a VM the addresses of the others and start its tasks."""
        node = self.nodes[name]
        for other in self.nodes:
            node.peers.note_address(other, vm_address(other))
        link = node.exchange.link
        link._rng = self.rng
        link.connection_made(cast(Any, SimulatedTransport(self, name)))
        self._run(name)

    def _run(self, name: str) -> None:
        node = self.nodes[name]
        for work in (
            node.tables.servers_watcher.run,
            node.tables.catalog_watcher.run,
            node.exchange.link.run,
            node.copies.run,
        ):
            self.tasks.append(asyncio.create_task(work(), name=name))
        self.tasks.append(asyncio.create_task(self._note_loop_running(name), name=name))
        self.tasks.append(asyncio.create_task(self._renew_lease(name), name=name))
        self.tasks.append(asyncio.create_task(self._send_requests(name), name=name))

    def kill(self, name: str) -> None:
        """Cancel a VM's tasks and block it from the store."""
        for task in [*self.tasks, *self.serving]:
            if task.get_name() == name:
                task.cancel()
        self.killed.add(name)
        self.block(name)
        if self.holder == name:
            self.holder = ""

    def restart(self, name: str, monkeypatch: pytest.MonkeyPatch) -> None:
        """Start a killed VM with no earlier state."""
        self.killed.discard(name)
        self._build_node(name, monkeypatch)
        self._connect_and_run(name)
        self.blocked.discard(name)
        self._note_disruption([name])

    async def close(self) -> None:
        tasks = [*self.tasks, *self.serving]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _note_loop_running(self, name: str) -> None:
        while True:
            self.nodes[name].exchange.link.note_running()
            await asyncio.sleep(LEASE_TICK_S)

    async def _renew_lease(self, name: str) -> None:
        # The holder's lease calls succeed or fail independently of its watches.
        while True:
            if self.holder == name:
                try:
                    await self.nodes[name].store.get("leases/placement")
                except StoreError:
                    pass
            await asyncio.sleep(LEASE_RENEWAL_INTERVAL_S)

    async def _send_requests(self, name: str) -> None:
        """Send a caller's request every `REQUEST_INTERVAL_S`."""
        await asyncio.sleep(1.0)
        number = 0
        while True:
            number += 1
            self.serve(name, self.make_exchange(f"{name}-{number}"))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    def serve(self, vm: str, exchange: "SimulatedExchange") -> None:
        """Serve a request at a VM, until it is killed."""
        serving = self.nodes[vm].relay.serve(cast(Any, exchange))
        task = asyncio.create_task(serving, name=vm)
        self.serving.add(task)
        task.add_done_callback(self.serving.discard)

    def make_exchange(self, request_id: str) -> "SimulatedExchange":
        """Return the exchange of one of the requests sent all the time."""
        return SimulatedExchange(request_id, self)

    def _configuration_fetch(self, name: str) -> Callable[..., Any]:
        async def fetch(address: str, newer_than: int) -> StoredObject | None:
            other = self.nodes[f"vm-{int(address.rpartition(':')[2]) - 1}"]
            await asyncio.sleep(2 * ONE_WAY_LATENCY_S)
            if other.settings.entry_vm in self.killed:
                raise ExchangeError(
                    "cannot connect", step=Step.CONNECT, peer=address, sent=False
                )
            stored = other.tables.configuration
            return stored if stored and stored.version > newer_than else None

        return fetch

    def _backend_exchange(self, name: str) -> Callable[..., Any]:
        async def exchange(request: Request, *, on_head: Any, on_data: Any) -> Any:
            if self.connect_delay_s:
                await asyncio.sleep(
                    min(self.connect_delay_s, request.connect_timeout_s)
                )
            require_still_wanted(request)
            self.note_request(name, request.headers["Target-Instance"])
            headers = HTTPHeaders({"Response-Signature": "s"})
            head = ResponseHead(200, headers)
            on_head(head)
            on_data(b"done")
            return head

        return exchange


@dataclass(slots=True)
class SimulatedTransport:
    """Deliver or drop a VM's datagrams."""

    simulation: FleetSimulation
    vm: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.simulation.sent[self.vm] += 1
        receiver = f"vm-{address[1] - 1}"
        node = self.simulation.nodes.get(receiver)
        if node is None or self.simulation.rng.random() < self.simulation.lost_share:
            return
        if self.simulation.killed & {self.vm, receiver}:
            return
        asyncio.get_running_loop().call_later(
            ONE_WAY_LATENCY_S, node.exchange.link.datagram_received, data, ("", 0)
        )

    def is_closing(self) -> bool:
        return False


class SimulatedExchange:
    """Stand in for one caller's exchange with the gateway."""

    def __init__(self, request_id: str, simulation: FleetSimulation) -> None:
        self.method, self.path = "POST", "/drafts/1"
        self.headers = HTTPHeaders({"Host": "court.example", "Request-Id": request_id})
        self.body = b""
        self.arrived_s = now_s()
        self.unread_s = 0.0
        self.response_started = False
        self._world = simulation

    def respond(self, status: int, _: HTTPHeaders, __: bytes) -> None:
        if status != 200:
            self._world.refused += 1


def require_still_wanted(request: Request) -> None:
    """Raise if the request was withdrawn while its connection was opened."""
    if not request.still_wanted():
        raise ExchangeError(
            "no longer wanted",
            step=Step.SEND,
            peer=request.address,
            sent=False,
            withdrawn=True,
        )


def run_in_virtual_time(work: Callable[[], Any]) -> None:
    """Run a coroutine function in virtual time."""
    random.seed(7)
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(work())
