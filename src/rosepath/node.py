"""One entry VM: the tables, the systems over them, and the loops that tick."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from dataclasses import asdict
from typing import Any

from grpclib.server import Server
from opentelemetry import trace
from tornado.httpserver import HTTPServer

from rosepath.admission import Admission
from rosepath.backend_http import HttpBackend
from rosepath.caller_handler import CallerPorts
from rosepath.caller_server import make_application
from rosepath.clock import SystemClock
from rosepath.configuration import Configuration, ConfigurationState
from rosepath.configuration_store import HEAD_NAME, Accepted, ConfigurationStore
from rosepath.deferred import DeferredRequest
from rosepath.deferred_runner import DeferredRunner, RunnerPorts
from rosepath.dispatch import Dispatcher, Terms
from rosepath.engine_keeper import PlacerPorts
from rosepath.errors import Step, refuse
from rosepath.gossip import Row, RowKey, RowKind
from rosepath.http_client import HttpPool
from rosepath.lease_keeper import LeaseKeeper
from rosepath.leases import LeasePolicy
from rosepath.limits import apply_limits, reclaim_lent
from rosepath.logs import get_logger
from rosepath.membership import alive, gone_entry_vms
from rosepath.openai_api import collect_answer, make_generation, parse_body
from rosepath.operators import OperatorPorts, OperatorService
from rosepath.peers import PeerNetwork, PeerPorts, PeerService
from rosepath.placement import plan
from rosepath.placer import Placer
from rosepath.platform import StoreError, VmState
from rosepath.platform_http import HttpPlatform
from rosepath.poller import Poller, apply_load, smooth_demand, sync_replicas
from rosepath.proto import rosepath_pb2 as pb
from rosepath.rendezvous import top
from rosepath.services import ServiceRelay
from rosepath.settings import Settings, split_address
from rosepath.share_keeper import ShareKeeper
from rosepath.tables import Tables
from rosepath.telemetry import Telemetry
from rosepath.tls import grpc_server_context, peer_client_context, server_context
from rosepath.variants import resolve_target

RELAYS = 2
VM_LIST_INTERVAL_S = 1.0
SHARES_INTERVAL_S = 1.0
SHARES_IDLE_INTERVAL_S = 10.0
LEASE_TICK_S = 0.25
DEMAND_WEIGHT = 0.1
RETRY_PAUSE_S = 0.5
DEFERRED_SCAN_S = 1.0
DEFERRED_PRIORITY = -50
DEFERRED_SHARE_OF_SLOTS = 0.7

_log = get_logger()


class Node:
    """Hold one entry VM's state and run its loops."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.tables = Tables()
        self.state = ConfigurationState(on_applied=self.configuration_changed)
        self.telemetry = Telemetry.from_settings(settings)
        self.platform = HttpPlatform(settings.platform, clock=self.clock)
        self.store = ConfigurationStore(self.platform, self.state)
        self.pool = HttpPool(clock=self.clock)
        self.backend = HttpBackend(self.pool)
        self.in_flight: set[str] = set()
        self.stopping = False
        self.vms: dict[str, VmState] | None = None
        self.ever_listed: frozenset[str] = frozenset()
        self.lease_name = f"placement-{settings.data_centre}"
        self._tasks: set[asyncio.Task[None]] = set()
        self._pulled = asyncio.Event()
        self._wire()

    def _wire(self) -> None:
        settings = self.settings
        address = settings.peers.advertise or settings.peers.listen
        self.peers = PeerNetwork(
            PeerPorts(
                settings=settings,
                tables=self.tables,
                configuration=self.state,
                limits=lambda: self.admission.rows,
                clock=self.clock,
                client_tls=peer_client_context(settings.peers.tls),
                on_row=self._on_row,
            ),
            address=address,
        )
        self.dispatcher = Dispatcher(
            self.tables,
            self.backend,
            self.telemetry,
            settings.routing,
            clock=self.clock,
            rng=random.Random(),
            on_leaving=self.note_leaving,
        )
        self.admission = Admission(
            clock=self.clock,
            borrow=self.peers.borrow,
            give_back=self.peers.give_back,
        )
        placement = settings.placement
        self.leases = LeaseKeeper(
            self.platform,
            me=settings.entry_vm,
            policy=LeasePolicy(
                duration_s=placement.lease_s, margin_s=placement.lease_margin_s
            ),
            clock=self.clock,
        )
        self.shares = ShareKeeper(self.platform, me=settings.entry_vm)
        self.poller = Poller(
            self.tables, self.backend, me=settings.entry_vm, clock=self.clock
        )
        self.placer = Placer(
            PlacerPorts(
                settings=placement,
                data_centre=settings.data_centre,
                me=settings.entry_vm,
                tables=self.tables,
                configuration=self.configuration,
                platform=self.platform,
                backend=self.backend,
                clock=self.clock,
                holds_lease=lambda: self.leases.valid(self.lease_name),
                store_reachable=lambda: self.platform.reachable,
            )
        )
        self.deferred = DeferredRunner(
            RunnerPorts(
                me=settings.entry_vm,
                platform=self.platform,
                clock=self.clock,
                execute=self._execute_deferred,
                mine=self._runs_deferred,
                is_alive=self._is_alive,
                has_room=self._has_room,
            )
        )
        self.operator_ports = OperatorPorts(
            entry_vm=settings.entry_vm,
            tables=self.tables,
            state=self.state,
            store=self.store,
            clock=self.clock,
            leases=self._lease_rows,
            platform_reachable=lambda: self.platform.reachable,
            predict_moves=self._predict_moves,
            share_units=lambda: len(self.shares.units),
        )

    def _export_state(self) -> None:
        """Export the size of what is held and the cost of control."""
        telemetry = self.telemetry
        telemetry.observe("control", lambda: asdict(self.peers.counters))
        telemetry.observe("store_calls", lambda: dict(self.platform.calls))
        telemetry.observe("held", self._held)

    def _held(self) -> dict[str, float]:
        return {
            "gossip_rows": len(self.peers.gossip),
            "gossip_bytes": self.peers.gossip.payload_bytes,
            "entry_vms": len(self.tables.entry_vms),
            "replicas": len(self.tables.replicas),
            "prefixes": len(self.dispatcher.prefixes),
            "configuration_version": self.state.head.version,
            "configuration_bytes": sum(map(len, self.state.shards.values())),
            "share_units": len(self.shares.units),
            "in_flight": len(self.in_flight),
        }

    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.state.configuration

    # Start and stop

    async def start(self) -> None:
        """Listen and start every loop."""
        settings = self.settings
        ports = CallerPorts(
            settings=settings,
            configuration=self.configuration,
            dispatcher=self.dispatcher,
            relay=ServiceRelay(self.dispatcher, self.pool),
            admission=self.admission,
            platform=self.platform,
            telemetry=self.telemetry,
            clock=self.clock,
            ready=self.unready_reason,
            in_flight=self.in_flight,
            stopping=lambda: self.stopping,
        )
        callers = settings.callers
        self.caller_tls = server_context(callers.tls)
        self.http = HTTPServer(
            make_application(ports),
            max_body_size=callers.max_body_bytes,
            idle_connection_timeout=callers.idle_timeout_s,
            body_timeout=callers.body_timeout_s,
            ssl_options=self.caller_tls,
        )
        host, port = split_address(callers.listen)
        self.http.listen(port, address=host)
        self.peer_tls = grpc_server_context(settings.peers.tls)
        self.peer_server = Server([PeerService(self.peers)])
        host, port = split_address(settings.peers.listen)
        await self.peer_server.start(host, port, ssl=self.peer_tls)
        self.operator_server = Server([OperatorService(self.operator_ports)])
        host, port = split_address(settings.operators.listen)
        await self.operator_server.start(
            host, port, ssl=grpc_server_context(settings.operators.tls)
        )
        self._export_state()
        self._start_loops()
        _log.info("started", callers=callers.listen, peers=settings.peers.listen)

    def _start_loops(self) -> None:
        interval_s = self.settings.routing.report_interval_s
        self._spawn(self.peers.run())
        self._spawn(self._follow_configuration())
        self._spawn(self._every(interval_s, self._poll))
        self._spawn(self._every(VM_LIST_INTERVAL_S, self._read_vms))
        self._spawn(self._every(LEASE_TICK_S, self._step_lease))
        self._spawn(self._every(self.settings.placement.tick_s, self._place))
        self._spawn(self._every(DEFERRED_SCAN_S, self._scan_deferred))
        self._spawn(self._keep_shares())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._loop_ended)

    def _loop_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("loop_failed", exc_info=task.exception())

    async def _every(
        self, interval_s: float, step: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a step again and again; one that fails is logged and goes on."""
        while True:
            try:
                await step()
            except Exception:
                _log.exception("step_failed", step=step.__name__)
            await asyncio.sleep(interval_s * random.uniform(0.9, 1.1))

    async def stop(self) -> None:
        """Stop as planned: unready, drained, handed over, closed."""
        self.stopping = True
        _log.info("stopping", in_flight=len(self.in_flight))
        with suppress(Exception):
            await self.peers.leave()
        await self._wait_for_balancer()
        self.http.stop()
        await self._drain()
        await self.deferred.drain()
        with suppress(StoreError):
            await self.leases.give_up(self.lease_name)
        with suppress(StoreError):
            await self.shares.give_up_all()
        await self.http.close_all_connections()
        await self.close()
        _log.info("stopped", cut=len(self.in_flight))

    async def _wait_for_balancer(self) -> None:
        # The balancer goes on sending for as long as it takes to ask
        # /readyz again; closing the listener now would refuse those callers.
        await asyncio.sleep(self.settings.stop.balancer_wait_s)

    async def _drain(self) -> None:
        deadline_s = self.clock.monotonic_s() + self.settings.stop.drain_timeout_s
        while self.in_flight and self.clock.monotonic_s() < deadline_s:  # noqa: ASYNC110
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Cancel the loops and close what is open."""
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=1)
        for server in (self.peer_server, self.operator_server):
            server.close()
        self.peers.close()
        self.platform.close()
        self.pool.close()

    # Readiness

    def unready_reason(self) -> str:
        """Return why the balancer should send no callers, or nothing."""
        if self.stopping:
            return "stopping"
        if self.state.head.version == 0:
            return "no configuration yet"
        return ""

    # Configuration

    def configuration_changed(self) -> None:
        """Put a new configuration in force in every table."""
        now_s = self.clock.monotonic_s()
        sync_replicas(self.tables, self.state.configuration, now_s=now_s)
        self._apply_limits()
        self.peers.announce_me()
        _log.info("configuration_in_force", version=self.state.head.version)
        asyncio.ensure_future(self._tell_watchers())

    async def _tell_watchers(self) -> None:
        async with self.operator_ports.changed:
            self.operator_ports.changed.notify_all()

    def _is_relay(self) -> bool:
        return self.settings.entry_vm in top(
            f"relay/{self.settings.data_centre}", self._local_members(), RELAYS
        )

    def _local_members(self) -> list[str]:
        return [
            name
            for name in alive(self.tables.entry_vms)
            if self.tables.entry_vms[name].data_centre == self.settings.data_centre
        ]

    async def _follow_configuration(self) -> None:
        """Watch the store as a relay, or until a first configuration is here."""
        while True:
            if not self._is_relay() and self.state.head.version > 0:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            async for event in self.platform.watch(HEAD_NAME):
                if not event.name or event.name == HEAD_NAME:
                    await self._pull()
                if not self._is_relay() and self.state.head.version > 0:
                    break

    async def _pull(self) -> None:
        try:
            await self.store.pull()
        except (StoreError, ValueError) as error:
            _log.warning("pull_failed", step="store", error=str(error))
        if self.store.went_back:
            _log.error("store_went_back", version=self.state.head.version)

    # Rows from gossip

    def _on_row(self, row: Row) -> None:
        now_s = self.clock.monotonic_s()
        replica = self.tables.replicas.get(row.key.name)
        if row.key.kind is RowKind.LOAD and replica is not None:
            apply_load(replica, row.payload, now_s=now_s)
        elif row.key.kind is RowKind.LEAVING and replica is not None:
            replica.leaving = row.payload == b"1"

    def note_leaving(self, name: str) -> None:
        """Take no more work to a backend server, and tell the peers."""
        replica = self.tables.replicas.get(name)
        if replica is None or replica.leaving:
            return
        replica.leaving = True
        _log.info("backend_server_leaving", peer=name)
        self._publish_leaving(name, leaving=True)

    def _publish_leaving(self, name: str, *, leaving: bool) -> None:
        version = int(self.clock.wall_s() * 1000)
        payload = b"1" if leaving else b"0"
        self.peers.publish(Row(RowKey(RowKind.LEAVING, name), version, payload))

    async def _poll(self) -> None:
        rows = await self.poller.poll_all(self.settings.data_centre)
        now_s = self.clock.monotonic_s()
        for row in rows:
            replica = self.tables.replicas.get(row.key.name)
            if replica is None:
                continue
            apply_load(replica, row.payload, now_s=now_s)
            self.peers.publish(row)
            self._note_report_leaving(row)
        replicas = self.tables.replicas.values()
        smooth_demand(self.tables.demand, replicas, weight=DEMAND_WEIGHT)

    def _note_report_leaving(self, row: Row) -> None:
        message = pb.LoadPayload.FromString(row.payload)
        listed_leaving = row.key.name in self.tables.vm_leaving
        replica = self.tables.replicas[row.key.name]
        if message.reachable and message.leaving:
            self.note_leaving(row.key.name)
        elif message.reachable and replica.leaving and not listed_leaving:
            replica.leaving = False
            self._publish_leaving(row.key.name, leaving=False)

    # Platform's VM list

    async def _read_vms(self) -> None:
        if not self._is_relay():
            return
        try:
            self.vms = await self.platform.vms()
        except (StoreError, ValueError):
            return
        self.ever_listed |= self.vms.keys()
        leaving = {n for n, state in self.vms.items() if state is VmState.LEAVING}
        self.tables.vm_leaving = leaving
        for name in leaving & self.tables.replicas.keys():
            self.note_leaving(name)

    # Leases and placement

    async def _step_lease(self) -> None:
        wanted = not self.stopping and self._wants_lease()
        await self.leases.step(self.lease_name, wanted=wanted)

    def _wants_lease(self) -> bool:
        """Let the two best members try, so that one death leaves another."""
        if self.state.head.version == 0:
            return False
        first = top(f"place/{self.settings.data_centre}", self._local_members(), 2)
        return self.settings.entry_vm in first

    async def _place(self) -> None:
        if not self.stopping:
            await self.placer.tick()

    def _lease_rows(self) -> list[pb.LeaseStatus]:
        now_s = self.clock.monotonic_s()
        return [
            pb.LeaseStatus(
                name=row.name,
                holder=row.holder,
                remaining_s=row.remaining_s(now_s=now_s),
            )
            for row in self.leases.rows.values()
        ]

    def _predict_moves(self, accepted: Accepted) -> list[str]:
        """Tell which moves a change would cause, as seen from here."""
        if accepted.configuration is None:
            return []
        view = self.placer.predicted_view(accepted.configuration)
        return [
            f"{move.action.value} {move.target} on {move.backend_server} "
            f"({move.reason.value})"
            for move in plan(view, self.placer.policy()).moves
        ]

    # Deferred requests

    async def _execute_deferred(self, request: DeferredRequest) -> bytes:
        """Run a deferred request as its caller would have; raises RefusalError."""
        parsed = parse_body(request.shape, request.body.encode())
        if parsed.is_error():
            raise refuse(400, "invalid_body", parsed.error, step=Step.DEFER)
        configuration = self.configuration()
        target = resolve_target(
            configuration, parsed.ok.model, request.caller, request.request_id
        )
        if target is None:
            raise refuse(404, "model_not_found", parsed.ok.model, step=Step.ROUTE)
        generation = make_generation(
            parsed.ok,
            request_id=f"{request.request_id}.{request.runs}",
            target=target,
            priority=DEFERRED_PRIORITY,
        )
        timeout_s = self.settings.routing.request_timeout_s
        terms = Terms(
            idempotent=request.idempotent,
            deadline_s=self.clock.monotonic_s() + timeout_s,
            data_centre=self.settings.data_centre,
            span=trace.INVALID_SPAN,
        )
        events: list[bytes] = []
        async with self.admission.admit(
            caller=request.caller,
            target=parsed.ok.model,
            request_id=generation.request_id,
        ):
            await self.dispatcher.generate(generation, terms, events.append)
        return collect_answer(b"".join(events), generation)

    def _runs_deferred(self, name: str) -> bool:
        return self.settings.entry_vm in top(name, self._all_relays(), 1)

    async def _scan_deferred(self) -> None:
        """Scan as a relay only: the store's load must not grow with the fleet."""
        if not self.stopping and self._is_relay():
            await self.deferred.scan()

    def _all_relays(self) -> list[str]:
        by_data_centre: dict[str, list[str]] = {}
        for name in alive(self.tables.entry_vms):
            home = self.tables.entry_vms[name].data_centre
            by_data_centre.setdefault(home, []).append(name)
        return [
            name
            for home, members in by_data_centre.items()
            for name in top(f"relay/{home}", members, RELAYS)
        ]

    def _is_alive(self, runner: str) -> bool:
        return runner.partition("#")[0] in alive(self.tables.entry_vms)

    def _has_room(self) -> bool:
        """Tell whether engines have slots to spare for what may wait."""
        return any(
            replica.load() < replica.slots * DEFERRED_SHARE_OF_SLOTS
            for replica in self.tables.replicas.values()
            if not replica.service and replica.reachable and not replica.leaving
        )

    # Limits

    def _apply_limits(self) -> None:
        apply_limits(
            self.admission.rows, self.state.configuration.limits, self.shares.units
        )

    async def _keep_shares(self) -> None:
        """Follow the share ledger, often only while it is out of balance."""
        while True:
            interval_s = SHARES_IDLE_INTERVAL_S
            try:
                if await self._step_shares():
                    interval_s = SHARES_INTERVAL_S
            except StoreError:
                interval_s = SHARES_INTERVAL_S
            self._apply_limits()
            await self._until_members_change(interval_s * random.uniform(0.5, 1.0))

    async def _until_members_change(self, timeout_s: float) -> None:
        """Wait for a join or a death, but not longer than a while."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.peers.members_changed.wait()
        self.peers.members_changed.clear()

    async def _step_shares(self) -> bool:
        if self.stopping or self.state.head.version == 0:
            return True
        await self.shares.refresh()
        members = self.tables.entry_vms
        gone = gone_entry_vms(self.shares.holders, members, self.vms, self.ever_listed)
        for row in self.admission.rows.values():
            reclaim_lent(row, gone)
        live = frozenset(alive(members))
        wrote = await self.shares.step(live=live, gone=gone, lowered=self._lower)
        return wrote or self._out_of_balance(live)

    def _out_of_balance(self, live: frozenset[str]) -> bool:
        return len(self.shares.holders & live) < len(live)

    def _lower(self, units: frozenset[int]) -> bool:
        """Put fewer units in force; tell whether what runs fits them."""
        apply_limits(self.admission.rows, self.state.configuration.limits, units)
        return all(
            row.limit.concurrency is None or row.in_use <= row.slots
            for row in self.admission.rows.values()
        )
