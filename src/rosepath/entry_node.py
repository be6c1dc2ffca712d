"""The main object of an entry VM: its components, loops, start and stop."""

import asyncio
import math
import socket
from collections.abc import Awaitable
from contextlib import suppress

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from rosepath.attempt import AttemptSender
from rosepath.catalog import DEFAULT_HEALTH_PATH, Catalog
from rosepath.clock import BootClock, SystemClock
from rosepath.configuration_view import ConfigurationView
from rosepath.crash_watch import CrashWatch, instance_of
from rosepath.data_centre_isolation import DataCentreIsolation
from rosepath.departed_servers import DepartedServers
from rosepath.dialing import Dial, dial_directly
from rosepath.entry_metrics import EntryMetrics
from rosepath.entry_settings import EntrySettings
from rosepath.fleet import BackendServer
from rosepath.gateway import CallerExchange, Gateway
from rosepath.held_bytes import HeldBytes
from rosepath.http_client import HttpPool
from rosepath.logs import get_logger
from rosepath.object_store import StoreAccess
from rosepath.peer_configuration import (
    PeerConfigurationFetcher,
    configuration_application,
    http_fetcher,
)
from rosepath.peer_exchange import VM_KIND, PeerExchange
from rosepath.peer_messages import NEVER_S, NO_COORDINATOR
from rosepath.peer_table import PeerTable
from rosepath.placement_coordinator import PlacementCoordinator
from rosepath.platform.calls import READY_PATH, echoed_request_id
from rosepath.platform.engines import EngineClient
from rosepath.platform.store import PlatformStore
from rosepath.prompt_caches import PromptCaches
from rosepath.quota_client import QuotaClient
from rosepath.quota_pool import QuotaTolerance
from rosepath.refused_addresses import RefusedAddresses
from rosepath.relay import Relay
from rosepath.request_context import RelayPorts
from rosepath.request_records import RequestRecorder
from rosepath.retry_window import RetryWindow
from rosepath.scheduler import Scheduler
from rosepath.scheduler_client import SchedulerClient
from rosepath.scheduler_host import SchedulerHost
from rosepath.scheduling_messages import SchedulingMessage
from rosepath.scheduling_mode import has_fragile_urgent_streams, uses_scheduler
from rosepath.server_choice import note_backoff
from rosepath.server_limits import apply_limit_notice, limited_servers
from rosepath.server_notice import ServerNotice
from rosepath.server_paths import ServerPaths
from rosepath.server_probe import health_probe
from rosepath.settings import split_address
from rosepath.software_versions import SoftwareVersions
from rosepath.store_tables import StoreTables
from rosepath.store_watcher import StoreWatcher, WatchPolicy
from rosepath.stream_origin_exchange import StreamOriginExchange
from rosepath.supervisor import Supervisor
from rosepath.tunnels import TUNNEL_PATH, TunnelGate, TunnelHandler
from rosepath.watch_policy import (
    WatchConditions,
    catalog_watch_policy,
    servers_watch_policy,
)

# The load balancer checks readiness once a second and removes a VM after two
# failed checks.
BALANCER_DETECTION_S = 2.6
# The part of the grace period reserved for closing connections and exiting.
STOP_MARGIN_S = 0.6
# Of it, for the responses to requests that the end of the grace period cuts.
LAST_RESPONSES_S = 0.2

LEASE_TICK_S = 0.2
# The load balancer checks readiness once a second, and each isolation check
# may call the store.
ISOLATION_TICK_S = 0.5
PLAN_TICK_S = 0.1
# Each wake-up costs about 0.33 ms of CPU time, and the planner wakes ten times
# a second. A VM that does not hold the placement lease checks less often.
STANDBY_PLAN_TICK_S = 1.0
PEER_EXPIRY_TICK_S = 0.4
# Shorter pauses of the process explain no late response and no lost lease.
LOGGED_PAUSE_S = 0.3
# Unless all VMs fail within this time of the first server of a new version, the
# store names it.
VERSIONS_TICK_S = 0.5
# Of requests for readiness, metrics, copies and tunnels. The library's own limit is
# 100 MB.
NO_BODY_BYTES = 0

_log = get_logger()


class _ReadyHandler(RequestHandler):
    """Report readiness to the load balancer."""

    def initialize(self, node: "EntryNode") -> None:
        self.node = node

    def get(self) -> None:
        self.set_status(200 if self.node.ready else 503)


class _MetricsHandler(RequestHandler):
    """Serve the metrics in the Prometheus text format."""

    def initialize(self, node: "EntryNode") -> None:
        self.node = node

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.node.metrics.text())


class EntryNode:
    """Own the components of one entry VM and run its background loops."""

    def __init__(
        self, settings: EntrySettings, *, dial_server: Dial = dial_directly
    ) -> None:
        self.settings = settings
        self.clock = SystemClock()
        # Time that the machine is suspended counts for the retry budgets.
        self._boot_clock = BootClock()
        self._created_s = self._boot_clock.monotonic_s()
        self._peers_step_due_s = math.inf
        self.stopping = False
        self.wait_limit_s = math.inf
        self.runs_end_s = math.inf
        self._urgent_streams_fragile = False
        self._last_servers_policy: WatchPolicy | None = None
        self.loops = Supervisor()
        self.metrics = EntryMetrics()
        self.budgets: dict[str, RetryWindow] = {}
        access = StoreAccess(
            address=settings.store.address,
            call_timeout_s=settings.store.call_timeout_s,
            read_patience_s=settings.store.read_patience_s,
        )
        self.store = PlatformStore(access, clock=self.clock)
        self.peers = PeerTable(settings.entry_vm, clock=self.clock)
        self.refused_addresses = RefusedAddresses(
            clock=self.clock, connect=dial_server, applies=self._remembers_refusals
        )
        self.paths = ServerPaths(
            settings.data_centre,
            clock=self.clock,
            dial=self.refused_addresses.dial,
            peers=self.peers,
        )
        self.pool = HttpPool(clock=self.clock, dial=self.paths.dial)
        self.caches = PromptCaches()
        self.crashes = CrashWatch(
            settings.entry_vm,
            clock=self.clock,
            probe=health_probe(
                self.pool, self._health_path, on_notice=self._apply_notice
            ),
            on_change=lambda: self.exchange.send_state_soon(),
            confirm_instances=lambda: self.tables.confirm_instances(),
            latest_start_ms=lambda name: self.tables.fleet.latest_start_ms(name),
        )
        self.tables = StoreTables(
            self.store,
            clock=self.clock,
            servers_watch_policy=self._servers_watch_policy,
            catalog_watch_policy=lambda: catalog_watch_policy(
                self._watch_conditions(
                    self.tables.catalog_watcher, self.settings.apply_s
                )
            ),
            on_catalog=self._on_catalog_applied,
            on_restarted=self._note_restarted,
            on_removed=lambda server: self.crashes.note_crashed(instance_of(server)),
            on_departed=lambda server: self.departed.note_departed(server),
            drain_s=settings.drain_s,
            settle_s=settings.settle_s,
            boot_clock=BootClock(),
        )
        self.departed = DepartedServers(
            fleet=self.tables.fleet, clock=self.clock, probe=self.pool.probe
        )
        self.coordinator = PlacementCoordinator(
            settings,
            clock=self.clock,
            store=self.store,
            # Engines take orders from one VM only, so none through another.
            engines=EngineClient(
                pool=self.pool.with_dial(dial_server), on_notice=self._apply_notice
            ),
            fleet=self.tables.fleet,
            caches=self.caches,
            catalog=lambda: self.tables.catalog,
            peers=self.peers,
            stopping=lambda: self.stopping,
            cut_off=lambda: self.data_centre_isolation.cut_off,
            partitioned=lambda: self.paths.partitioned,
            changed=self.tables.notify_waiters,
        )
        leases = self.coordinator.leases
        leases.crash_knowledge = self.crashes.records.knowledge
        leases.on_crash_knowledge = self.crashes.records.add_knowledge
        self.exchange = PeerExchange(
            settings.entry_vm,
            settings.data_centre,
            settings.peers.listen,
            clock=self.clock,
            store=self.store,
            tables=self.tables,
            peers=self.peers,
            coordinator=self.coordinator,
            stopping=lambda: self.stopping,
            crashes=self.crashes,
            boot_clock=BootClock(),
            link_mbps=settings.peers.link_mbps,
            partitioned=lambda: self.paths.partitioned,
            quota_coordinator=lambda: (
                self.quotas.coordinator_link
                if self._uses_scheduler()
                else NO_COORDINATOR
            ),
        )
        self.copies = PeerConfigurationFetcher(
            settings.data_centre,
            self.tables.catalog_watcher,
            clock=self.clock,
            peers=self.peers,
            fetch=http_fetcher(HttpPool(clock=self.clock)),
        )
        # Created here so that stop() can close it even before start() listens.
        self.tunnels = TunnelGate(
            dial=self.refused_addresses.dial,
            is_peer=self.peers.is_peer_ip,
            is_open_server=self._is_open_server,
            has_direct_path=self.paths.has_direct_path,
            stopping=lambda: self.stopping,
        )
        application = configuration_application(lambda: self.tables.configuration)
        application.add_handlers(
            ".*", [(TUNNEL_PATH, TunnelHandler, {"gate": self.tunnels})]
        )
        self.peer_server = HTTPServer(application, max_body_size=NO_BODY_BYTES)
        self.data_centre_isolation = DataCentreIsolation(
            settings.data_centre,
            peers=self.peers,
            store=self.store,
            probe=f"{VM_KIND}/{settings.entry_vm}",
        )
        quotas = settings.quotas
        self.quotas = QuotaClient(
            settings.entry_vm,
            settings.data_centre,
            settings.peers.listen,
            link_mbps=settings.peers.link_mbps,
            clock=BootClock(),
            peers=self.peers,
            tolerance=QuotaTolerance(
                window_s=quotas.window_s, overage=quotas.overage, slack=quotas.slack
            ),
            catalog=lambda: self.tables.catalog,
            send=lambda message, address: self.exchange.link.send(message, address),
            stopping=lambda: self.stopping,
            has_limited_servers=lambda: limited_servers(self.tables.fleet) > 0,
            schedules_requests=self._uses_scheduler,
            on_coordinator_changed=lambda: self.scheduling.note_scheduler_changed(),
        )
        self.exchange.link.on_quota_message = self.quotas.handle
        self.scheduling = self._build_scheduling()
        self.exchange.link.on_scheduling_message = self.scheduling.handle
        self.origins = StreamOriginExchange(
            settings.entry_vm,
            settings.data_centre,
            settings.peers.listen,
            clock=self.clock,
            peers=self.peers,
            send=lambda message, address: self.exchange.link.send(message, address),
            count=lambda outcome: self.metrics.count("stream_origins", outcome=outcome),
        )
        self.exchange.link.on_origin_message = self.origins.handle
        self.versions = SoftwareVersions(
            self.store,
            clock=BootClock(),
            fleet=self.tables.fleet,
            holds_lease=lambda: self.coordinator.holds_lease,
        )
        self.held_bodies = HeldBytes.of_memory(settings.memory_mb)
        self.held_responses = HeldBytes.of_memory(settings.memory_mb)
        self.records = RequestRecorder(self.metrics, clock=self.clock)
        self.relay = Relay(
            RelayPorts(
                data_centre=settings.data_centre,
                clock=self.clock,
                fleet=self.tables.fleet,
                caches=self.caches,
                attempts=AttemptSender(self.pool, clock=self.clock),
                catalog=lambda: self.tables.catalog,
                budget=self._budget,
                models=self.coordinator,
                fleet_changed=self.tables.changed,
                cut_off=lambda: self.peers.cut_off(settings.data_centre),
                wait_limit_s=lambda: self.wait_limit_s,
                runs_end_s=lambda: self.runs_end_s,
                on_outcome=self.records.record,
                crashes=self.crashes,
                on_leaving=self._apply_announced_departure,
                on_limit_change=self._announce_limits,
                fleet_fresh_enough=lambda: self.tables.fresh_enough,
                ensure_fresh=self.tables.ensure_fresh,
                confirm_instances=self._confirm_instances,
                confirm_process=self._confirm_process,
                configuration=self._configuration_view,
                ends_hopeless_waits=self._uses_scheduler,
                quotas=self.quotas,
                scheduling=self.scheduling,
                origins=self.origins,
                sole_version=self.versions.sole_version,
                record_version=self.versions.record,
                entry_vm=settings.entry_vm,
                held=self.held_responses,
            )
        )
        self.gateway = Gateway(
            self.relay.serve,
            clock=self.clock,
            on_failure=self._serving_failed,
            on_no_room=self.relay.refuse_body,
            on_expired=self.relay.refuse_late_upload,
            upload_time_s=self.relay.upload_time_s,
            held_bodies=self.held_bodies,
            held_responses=self.held_responses,
        )
        self.gateway.server.max_descriptors = settings.max_descriptors
        self.gateway.server.memory_mb = settings.memory_mb

    @property
    def ready(self) -> bool:
        # The configuration and the server table arrive in either order, as the
        # configuration may also be fetched from a peer.
        serving = self._knows_fleet and not self.stopping
        return serving and not self.data_centre_isolation.cut_off

    @property
    def _knows_fleet(self) -> bool:
        return self.tables.catalog is not None and self.tables.servers_known

    async def start(self) -> None:
        """Listen and start every loop."""
        host, port = split_address(self.settings.callers.listen)
        self.gateway.server.listen(port, address=host, family=socket.AF_INET)
        application = Application(
            [
                (READY_PATH, _ReadyHandler, {"node": self}),
                ("/metrics", _MetricsHandler, {"node": self}),
            ],
            log_function=lambda _: None,
        )
        self.ready_server = HTTPServer(application, max_body_size=NO_BODY_BYTES)
        host, port = split_address(self.settings.callers.ready_listen)
        self.ready_server.listen(port, address=host, family=socket.AF_INET)
        if self.settings.callers.metrics_listen is not None:
            host, port = split_address(self.settings.callers.metrics_listen)
            self.ready_server.listen(port, address=host, family=socket.AF_INET)
        self._export_state()
        await self.exchange.link.listen()
        host, port = split_address(self.settings.peers.listen)
        self.peer_server.listen(port, address=host)
        self.loops.forever(self.tables.catalog_watcher.run)
        self.loops.forever(self.tables.servers_watcher.run)
        self.loops.forever(self.copies.run)
        self.loops.forever(self.exchange.join)
        self.loops.forever(self.exchange.link.run)
        self.loops.forever(self.quotas.run)
        self.loops.forever(self.scheduling.run)
        self.loops.forever(self.scheduler_host.run_steps)
        self.loops.forever(self.scheduler_host.run_expiry)
        self.loops.every(PEER_EXPIRY_TICK_S, self._step_peers)
        self.loops.every(ISOLATION_TICK_S, self.data_centre_isolation.step)
        self.loops.every(LEASE_TICK_S, self._step_lease)
        self.loops.every(ISOLATION_TICK_S, self.coordinator.release_if_partitioned)
        self.loops.every(VERSIONS_TICK_S, self.versions.step)
        self.loops.forever(self._plan)
        _log.info("started", callers=self.settings.callers.listen)

    async def stop(self) -> None:
        """Report not ready, drain requests in flight, close everything."""
        started_s = self.clock.monotonic_s()
        self.stopping = True
        self.gateway.closing = True
        # Requests still queued at that time are refused without running, so
        # that their callers retry at another VM. Left in the queue, they would
        # be closed without a response when the grace period ends.
        self.wait_limit_s = started_s + BALANCER_DETECTION_S
        self.runs_end_s = started_s + self.settings.stop.grace_s - STOP_MARGIN_S
        _log.info("stopping", in_flight=len(self.gateway.serving))
        self.exchange.link.send_state()
        # Concurrent with the wait below: idle connections that stay open
        # longer can carry further requests, with only the rest of the grace
        # period to serve them.
        releasing = asyncio.ensure_future(self.coordinator.release())
        await asyncio.sleep(BALANCER_DETECTION_S)
        self.gateway.close_idle()
        await releasing
        await self._wait_until_idle(self.runs_end_s)
        cut = self.gateway.pending_requests
        self.gateway.end_serving()
        await self._wait_until_idle(self.runs_end_s + LAST_RESPONSES_S)
        self.quotas.leave()
        await self.close()
        _log.info("stopped", cut=cut)

    async def _wait_until_idle(self, until_s: float) -> None:
        """Wait until no request and no tunnel is open, up to a time limit."""
        while self.gateway.pending_requests or self.tunnels.open_count:
            if self.clock.monotonic_s() >= until_s:
                return
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        """Stop every loop and close the connections to peers and servers."""
        await self.loops.stop()
        self.exchange.link.close()
        self.peer_server.stop()
        self.store.close()
        self.pool.close()

    async def _step_lease(self) -> None:
        self.exchange.link.note_running()
        await self.coordinator.renew_or_acquire_lease()

    async def _step_peers(self) -> None:
        """Forget silent peers; log pauses of this process and causes of crashes."""
        now_s = self.clock.monotonic_s()
        late_s = now_s - self._peers_step_due_s
        if late_s > LOGGED_PAUSE_S:
            _log.info("process_paused", for_s=round(late_s, 3))
        self._peers_step_due_s = now_s + PEER_EXPIRY_TICK_S
        self.crashes.log_causes()
        await self.exchange.forget_silent()

    async def _plan(self) -> None:
        """Plan every PLAN_TICK_S while this VM holds the placement lease.

        The first plan of a term runs as soon as the lease is acquired.
        """
        term_started = self.coordinator.term_started
        while True:
            await self.coordinator.orders.tick()
            if self.coordinator.holds_lease:
                await asyncio.sleep(PLAN_TICK_S)
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(STANDBY_PLAN_TICK_S):
                    await term_started.wait()
            term_started.clear()

    async def _confirm_instances(self) -> None:
        """Learn which servers have restarted, if they may have other software."""
        if self.versions.several:
            await self.tables.confirm_instances()

    def _confirm_process(self, connected_ago_s: float) -> Awaitable[None] | None:
        """Learn whether a server had restarted before a connection was opened.

        It is known if the server's entry was read since: a restart would have
        ended the connection.
        """
        age = self.tables.servers_watcher.age
        connected_s = age.now_s() - connected_ago_s
        if age.last_read_s >= connected_s or not self.versions.several:
            return None
        return self.tables.ensure_read_since(connected_s)

    def reload(self, settings: EntrySettings) -> None:
        """Apply changed settings; addresses only change at the next start."""
        bounds = settings.retries
        for budget in self.budgets.values():
            budget.ratio, budget.slack = bounds.ratio, bounds.slack
            budget.window_s = bounds.window_s
        self.settings = settings
        _log.info(
            "reloaded",
            retries=bounds.model_dump(),
            grace_s=settings.stop.grace_s,
            scheduling=settings.scheduling.mode.value,
        )

    def _export_state(self) -> None:
        """Export store calls, order outcomes, and the state and its age."""
        metrics = self.metrics
        metrics.observe("store_calls", lambda: dict(self.store.calls))
        metrics.observe("orders", lambda: dict(self.coordinator.orders.sender.outcomes))
        metrics.observe("beliefs", self._state_values)

    def _state_values(self) -> dict[str, float]:
        now_s = self.clock.monotonic_s()
        return {
            "configuration_version": self.tables.catalog.version
            if self.tables.catalog
            else 0,
            "configuration_age_s": now_s - self.tables.catalog_watcher.last_contact_s,
            "configuration_behind": self._configuration_view().behind,
            "servers_age_s": now_s - self.tables.servers_watcher.last_contact_s,
            "servers_looked_ago_s": self.tables.looked_ago_s,
            "store_age_s": now_s - self.store.last_success_s,
            "servers": len(self.tables.fleet.servers),
            "peers_live": len(self.peers.live()),
            "lease_term": self.coordinator.term,
            "ready": self.ready,
            "requests_suspected": len(self.crashes.records),
            "servers_limited": limited_servers(self.tables.fleet),
            "requests_quarantined": len(self.crashes.records.quarantined),
            "in_flight": len(self.gateway.serving),
            "caller_connections": len(self.gateway.server._connections),
            "held_bodies_bytes": self.held_bodies.used_bytes,
            "held_responses_bytes": self.held_responses.used_bytes,
            "broken_off_for_memory": self.held_bodies.broken_off
            + self.held_responses.broken_off,
            "scheduling": self.scheduling.in_use,
            "scheduler_waiting": self.scheduler_host.waiting,
            "servers_without_direct_path": self.paths.failed_direct_paths,
            "tunnels_opened": self.paths.tunnel_count,
            "tunnels_forwarded": self.tunnels.open_count,
        }

    def _configuration_view(self) -> ConfigurationView:
        """Return the configuration version in force and how current it is."""
        catalog, watcher = self.tables.catalog, self.tables.catalog_watcher
        return ConfigurationView(
            version=catalog.version if catalog else 0,
            age_s=watcher.age.age_s,
            behind=watcher.behind,
        )

    def _health_path(self, service: str) -> str:
        """Return the path of a service's health check, of any if it is unknown."""
        known = (
            self.tables.catalog.services.get(service) if self.tables.catalog else None
        )
        return known.health_path if known else DEFAULT_HEALTH_PATH

    def _budget(self, service: str) -> RetryWindow:
        if service not in self.budgets:
            bounds = self.settings.retries
            self.budgets[service] = RetryWindow(
                clock=self._boot_clock,
                ratio=bounds.ratio,
                slack=bounds.slack,
                window_s=bounds.window_s,
                slack_from_s=self._created_s + bounds.window_s,
            )
        budget = self.budgets[service]
        budget.vms = 1 + len(self.peers.peers)
        return budget

    @property
    def _is_large_fleet_follower(self) -> bool:
        """Whether the fleet is large and this VM is not the lease holder."""
        return self.peers.large_fleet and not self.coordinator.term

    def _remembers_refusals(self) -> bool:
        """Whether so many VMs try a server that refuses that it matters."""
        return self.peers.large_fleet and self._uses_scheduler()

    def _note_restarted(self, name: str) -> None:
        """Forget what was known of the earlier instance of a server but its crash."""
        self.crashes.note_restarted(name)
        self.caches.forget(name)
        self.refused_addresses.forget(self.tables.fleet.servers[name].address)

    def _servers_watch_policy(self) -> WatchPolicy:
        watcher = self.tables.servers_watcher
        conditions = self._watch_conditions(watcher, self.settings.drain_s)
        policy = servers_watch_policy(conditions)
        if policy != self._last_servers_policy:
            self._last_servers_policy = policy
            _log.info(
                "servers_followed",
                wait_s=policy.wait_s,
                gather_s=policy.gather_s,
                told_age_s=round(min(conditions.reported_age_s, NEVER_S), 3),
                looked_ago_s=self.tables.looked_ago_s,
            )
        return policy

    def _watch_conditions(
        self, watcher: StoreWatcher, staleness_limit_s: float
    ) -> WatchConditions:
        """Return the conditions that determine how to watch a kind of objects.

        The holder of the placement lease relies only on its own reads of the
        store, as all other VMs rely on its state messages.
        """
        reported_age_s = (
            math.inf if self.coordinator.term else watcher.age.reported_age_s
        )
        return WatchConditions(
            staleness_limit_s=staleness_limit_s,
            large_fleet=self._is_large_fleet_follower,
            reported_age_s=reported_age_s,
            # Only the holder watches on behalf of other VMs.
            message_interval_s=self.peers.interval_s if self.coordinator.term else 0.0,
        )

    def _build_scheduling(self) -> SchedulerClient:
        """Build this VM's scheduler, and its client of the fleet's."""

        def send(message: SchedulingMessage, address: str) -> None:
            self.exchange.link.send(message, address)

        self.scheduler_host = SchedulerHost(
            self.settings.entry_vm,
            Scheduler(
                fleet=self.tables.fleet,
                caches=self.caches,
                catalog=lambda: self.tables.catalog,
                cut_off=lambda: self.peers.cut_off(self.settings.data_centre),
            ),
            clock=self.clock,
            send=send,
            available=lambda: self._knows_fleet and not self.stopping,
        )
        return SchedulerClient(
            self.settings.entry_vm,
            self.settings.peers.listen,
            clock=self.clock,
            peers=self.peers,
            host=self.scheduler_host,
            scheduler=lambda: self.quotas.chosen_coordinator,
            choose_other=self.quotas.choose_other,
            send=send,
            in_use=self._uses_scheduler,
            count=lambda outcome: self.metrics.count("assignments", outcome=outcome),
        )

    def _uses_scheduler(self) -> bool:
        return uses_scheduler(
            self.settings.scheduling.mode,
            large_fleet=self.peers.large_fleet,
            urgent_streams_fragile=self._urgent_streams_fragile,
        )

    def _on_catalog_applied(self, catalog: Catalog) -> None:
        self._urgent_streams_fragile = has_fragile_urgent_streams(catalog)
        self.gateway.apply_limits(catalog.limits)
        self.quotas.apply(catalog)
        if self.coordinator.term:
            # Other VMs may fetch the new configuration only once they are
            # notified. Send that now: in a large fleet, the next regular state
            # message may be sent much later.
            asyncio.get_running_loop().call_soon(self.exchange.link.send_state)
        else:
            # VMs with an older configuration prefer to fetch from a peer other
            # than the holder.
            asyncio.get_running_loop().call_soon(self.exchange.send_state_soon)

    def _apply_notice(self, name: str, notice: ServerNotice) -> None:
        """Apply the notice in a response to an order, a report or a health check."""
        server = self.tables.fleet.servers.get(name)
        if server is None:
            return
        now_s = self.clock.monotonic_s()
        if notice.retry_after_s:
            note_backoff(server, retry_after_s=notice.retry_after_s, now_s=now_s)
        if apply_limit_notice(server, notice, now_s=now_s):
            self._announce_limits()
        if notice.leaving:
            self._apply_announced_departure(server)

    def _announce_limits(self) -> None:
        """Tell the other VMs which limits servers have stated."""
        self.tables.notify_waiters()
        self.exchange.send_state_soon()

    def _apply_announced_departure(self, server: BackendServer) -> None:
        if self.tables.apply_announced_departure(server):
            self.exchange.send_state_soon()

    def _is_open_server(self, address: str) -> bool:
        """Return whether a server at an address may get new requests."""
        now_s = self.clock.monotonic_s()
        return self.tables.fresh_enough and any(
            server.address == address and server.usable and not server.in_backoff(now_s)
            for server in self.tables.fleet.servers.values()
        )

    def _serving_failed(
        self, exchange: CallerExchange, error: BaseException | None
    ) -> None:
        _log.error(
            "serving_failed",
            request_id=echoed_request_id(exchange.headers),
            path=exchange.path,
            why=repr(error),
        )
