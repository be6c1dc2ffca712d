"""Build an entry VM from its components and run their loops."""

import asyncio
import random
from contextlib import suppress
from dataclasses import asdict, replace

from grpclib.server import Server
from tornado.httpserver import HTTPServer

from rosepath.admission import Admission
from rosepath.backend_http import HttpBackend
from rosepath.backend_watch import BackendWatch
from rosepath.body_limiter import BodyLimiter
from rosepath.caller_handler import CallerPorts, Handler
from rosepath.caller_server import SERVICES_PREFIX, make_application
from rosepath.clock import SystemClock
from rosepath.configuration import Configuration, ConfigurationState
from rosepath.configuration_exchange import ConfigurationExchange
from rosepath.configuration_follower import ConfigurationFollower
from rosepath.configuration_store import Accepted, ConfigurationStore
from rosepath.deferred_execution import DeferredExecution, has_spare_slots
from rosepath.deferred_runner import DeferredRunner, RunnerPorts
from rosepath.dispatch import Dispatcher
from rosepath.engine_keeper import PlacerPorts
from rosepath.held_bytes import HeldBytes
from rosepath.http_client import HttpPool
from rosepath.lease_keeper import LeaseKeeper
from rosepath.leases import LeasePolicy
from rosepath.limit_keeper import LimitKeeper
from rosepath.logs import get_logger
from rosepath.membership import alive
from rosepath.object_store import StoreError
from rosepath.operators import OperatorPorts, OperatorService
from rosepath.peer_channels import PeerChannels
from rosepath.peer_service import PeerService
from rosepath.peers import PeerNetwork, PeerPorts
from rosepath.placement import plan
from rosepath.placer import Placer
from rosepath.poller import Poller, sync_replicas
from rosepath.proto import rosepath_pb2 as pb
from rosepath.rendezvous import top
from rosepath.roles import all_relays, lease_candidates, relays
from rosepath.services import ServiceRelay
from rosepath.settings import Settings, split_address
from rosepath.share_keeper import ShareKeeper
from rosepath.slot_lending import SlotLending
from rosepath.store_session import StoreSession
from rosepath.supervisor import Supervisor
from rosepath.tables import Tables
from rosepath.telemetry import Telemetry
from rosepath.tls import grpc_server_context, peer_client_context, server_context

VM_LIST_INTERVAL_S = 1.5
LEASE_TICK_S = 0.25
DEFERRED_SCAN_S = 2.0
# For the responses to requests that the end of a planned stop cuts.
LAST_RESPONSES_S = 0.2

_log = get_logger()


class Node:
    """Own the components and state of one entry VM and run its loops.

    The daemon creates one per process; `stop` drains the requests in flight
    before it closes anything.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.tables = Tables()
        self.state = ConfigurationState(on_applied=self.configuration_changed)
        self.telemetry = Telemetry.from_settings(settings)
        self.platform = StoreSession(settings.platform, clock=self.clock)
        self.store = ConfigurationStore(self.platform, self.state)
        self.pool = HttpPool(clock=self.clock)
        self.backend = HttpBackend(self.pool)
        self.in_flight: dict[str, Handler] = {}
        self.stopping = False
        self.lease_name = f"placement-{settings.data_centre}"
        self.loops = Supervisor()
        self._wire()

    def _wire(self) -> None:
        settings = self.settings
        address = settings.peers.advertise or settings.peers.listen
        self.channels = PeerChannels(peer_client_context(settings.peers.tls))
        self.configuration_exchange = ConfigurationExchange(
            self.state, self.tables, self.channels
        )
        self.lending = SlotLending(
            settings.entry_vm,
            self.tables,
            self.channels,
            rows=lambda: self.admission.rows,
        )
        self.peers = PeerNetwork(
            PeerPorts(
                settings=settings,
                tables=self.tables,
                configuration=self.state,
                channels=self.channels,
                fetch=self.configuration_exchange.fetch,
                clock=self.clock,
                on_row=lambda row: self.watch.on_row(row),
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
            on_leaving=lambda name: self.watch.note_leaving(name),
        )
        self.admission = Admission(
            clock=self.clock,
            borrow=self.lending.borrow,
            return_slot=self.lending.return_slot,
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
        self.watch = BackendWatch(
            self.tables,
            Poller(self.tables, self.backend, me=settings.entry_vm, clock=self.clock),
            self.platform,
            data_centre=settings.data_centre,
            clock=self.clock,
            publish=self.peers.publish,
        )
        self.limits = LimitKeeper(
            self.tables,
            self.state,
            self.admission,
            self.shares,
            self.watch,
            members_changed=self.peers.members_changed,
            stopping=lambda: self.stopping,
        )
        self.follower = ConfigurationFollower(
            self.platform, self.store, self.state, is_relay=self._is_relay
        )
        execution = DeferredExecution(
            settings,
            self.dispatcher,
            self.admission,
            configuration=self.configuration,
            clock=self.clock,
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
                execute=execution.execute,
                is_assigned=self._runs_deferred,
                is_alive=self._is_alive,
                has_spare_slots=lambda: has_spare_slots(self.tables),
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
        """Export table sizes, gossip traffic and store calls as metrics."""
        telemetry = self.telemetry
        telemetry.observe("control", lambda: asdict(self.peers.counters))
        telemetry.observe("store_calls", lambda: dict(self.platform.calls))
        telemetry.observe("held", self._table_sizes)

    def _table_sizes(self) -> dict[str, float]:
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
        """Return the configuration in effect."""
        return self.state.configuration

    # Start and stop

    async def start(self) -> None:
        """Open the listeners and start every loop."""
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
        bodies = HeldBytes.of_memory(settings.memory_mb)
        self.http = HTTPServer(
            BodyLimiter(
                make_application(ports),
                bodies,
                clock=self.clock,
                streamed_prefix=SERVICES_PREFIX,
            ),
            max_body_size=callers.max_body_bytes,
            idle_connection_timeout=callers.idle_timeout_s,
            body_timeout=callers.body_timeout_s,
            ssl_options=self.caller_tls,
        )
        host, port = split_address(callers.listen)
        self.http.listen(port, address=host)
        self.peer_tls = grpc_server_context(settings.peers.tls)
        self.peer_server = Server(
            [PeerService(self.peers, self.configuration_exchange, self.lending)]
        )
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
        loops, settings = self.loops, self.settings
        loops.forever(self.peers.run)
        loops.forever(self.follower.run)
        loops.forever(self.limits.run)
        loops.every(settings.routing.report_interval_s, self.watch.poll)
        loops.every(VM_LIST_INTERVAL_S, self._read_vms)
        loops.every(LEASE_TICK_S, self._step_lease)
        loops.every(settings.placement.tick_s, self._place)
        loops.every(DEFERRED_SCAN_S, self._scan_deferred)

    async def stop(self) -> None:
        """Stop gracefully.

        Report unready, announce the departure, drain the requests in flight,
        release the placement lease and this VM's share units, then close
        everything.
        """
        self.stopping = True
        _log.info("stopping", in_flight=len(self.in_flight))
        with suppress(Exception):
            await self.peers.leave()
        await self._wait_for_balancer()
        self.http.stop()
        await self._drain()
        await self.deferred.drain()
        with suppress(StoreError):
            await self.leases.release(self.lease_name)
        with suppress(StoreError):
            await self.shares.release_all()
        await self.http.close_all_connections()
        await self.close()
        _log.info("stopped", cut=len(self.in_flight))

    async def _wait_for_balancer(self) -> None:
        # The load balancer continues to send callers until it polls /readyz
        # again; closing the listener before that would refuse their
        # connections.
        await asyncio.sleep(self.settings.stop.balancer_wait_s)

    async def _drain(self) -> None:
        deadline_s = self.clock.monotonic_s() + self.settings.stop.drain_timeout_s
        await self._wait_until_idle(deadline_s)
        for handler in list(self.in_flight.values()):
            handler.end_for_stop()
        await self._wait_until_idle(deadline_s + LAST_RESPONSES_S)

    async def _wait_until_idle(self, until_s: float) -> None:
        while self.in_flight and self.clock.monotonic_s() < until_s:  # noqa: ASYNC110
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Cancel the loops and close servers, channels and connections."""
        await self.loops.stop()
        for server in (self.peer_server, self.operator_server):
            server.close()
        self.channels.close()
        self.platform.close()
        self.pool.close()

    # Readiness

    def unready_reason(self) -> str:
        """Return why the VM is not ready for callers, or an empty string."""
        if self.stopping:
            return "stopping"
        if self.state.head.version == 0:
            return "no configuration yet"
        return ""

    # Configuration

    def configuration_changed(self) -> None:
        """Apply a new configuration to the replicas, limits and peers."""
        now_s = self.clock.monotonic_s()
        sync_replicas(self.tables, self.state.configuration, now_s=now_s)
        self.limits.apply()
        self.peers.publish_local_member()
        _log.info("configuration_in_force", version=self.state.head.version)
        asyncio.ensure_future(self._notify_watchers())

    async def _notify_watchers(self) -> None:
        async with self.operator_ports.version_changed:
            self.operator_ports.version_changed.notify_all()

    def _is_relay(self) -> bool:
        data_centre = self.settings.data_centre
        return self.settings.entry_vm in relays(self.tables.entry_vms, data_centre)

    async def _read_vms(self) -> None:
        if self._is_relay():
            await self.watch.read_vms()

    # Leases and placement

    async def _step_lease(self) -> None:
        wants_lease = not self.stopping and self._wants_lease()
        await self.leases.step(self.lease_name, wanted=wants_lease)

    def _wants_lease(self) -> bool:
        if self.state.head.version == 0:
            return False
        data_centre = self.settings.data_centre
        return self.settings.entry_vm in lease_candidates(
            self.tables.entry_vms, data_centre
        )

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
        """Return the moves that a change would cause, by this VM's tables."""
        if accepted.configuration is None:
            return []
        view = self.placer.predicted_view(accepted.configuration)
        policy = self.placer.policy()
        # An anchor is the engine that must keep a copy of a base model. The
        # prediction assumes that the planned anchors are already stored.
        view = replace(view, anchors=plan(view, policy).anchors)
        return [
            f"{move.action.value} {move.target} on {move.backend_server} "
            f"({move.reason.value})"
            for move in plan(view, policy).moves
        ]

    # Deferred requests

    async def _scan_deferred(self) -> None:
        """Scan for deferred requests, on relays only.

        With a scan on every VM, the store's load would grow with the fleet.
        """
        if not self.stopping and self._is_relay():
            await self.deferred.scan()

    def _runs_deferred(self, name: str) -> bool:
        return self.settings.entry_vm in top(name, all_relays(self.tables.entry_vms), 1)

    def _is_alive(self, runner: str) -> bool:
        """Return whether the VM of a runner, named `VM#ID`, is alive."""
        return runner.partition("#")[0] in alive(self.tables.entry_vms)
