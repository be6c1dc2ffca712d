"""One entry VM on the users' platform: its tables, loops, start and stop."""

import asyncio
import socket
from collections import Counter
from collections.abc import Mapping

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from rosepath.attempt import Attempts
from rosepath.caller_call import Prompt
from rosepath.catalog import Catalog
from rosepath.clock import SystemClock
from rosepath.entry_settings import EntrySettings
from rosepath.feed import Feed
from rosepath.fleet import BackendServer, Fleet
from rosepath.gateway import CallerExchange, Gateway
from rosepath.http_client import HttpPool
from rosepath.logs import get_logger
from rosepath.object_store import Change, Listing, StoredObject
from rosepath.platform.calls import READY_PATH
from rosepath.platform.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    SERVER_KIND,
    decode_catalog,
    decode_server,
)
from rosepath.platform.store import PlatformStore, StoreAccess
from rosepath.prompt_caches import PromptCaches
from rosepath.relay import Course, Relay, RelayPorts
from rosepath.retry_window import RetryWindow
from rosepath.settings import split_address
from rosepath.supervisor import Supervisor

# The balancer asks for readiness once a second and takes two misses.
BALANCER_NOTICES_S = 2.6
# What is left of the grace for closing connections and leaving.
STOP_MARGIN_S = 0.6

_log = get_logger()


class _ReadyHandler(RequestHandler):
    """Tell the balancer whether to send callers here."""

    def initialize(self, node: "EntryNode") -> None:
        self.node = node

    def get(self) -> None:
        self.set_status(200 if self.node.ready else 503)


class _NoDesk:
    """Stand in while nobody orders models."""

    def want(self, service: str, prompt: Prompt, until_s: float) -> None:
        return

    async def ensure_adapter(
        self, server: BackendServer, prompt: Prompt, *, deadline_s: float
    ) -> bool:
        return False


class EntryNode:
    """Hold one entry VM's state and run its loops."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.fleet = Fleet()
        self.fleet_changed = asyncio.Condition()
        self.catalog: Catalog | None = None
        self.stopping = False
        self.loops = Supervisor()
        self.outcomes: Counter[tuple[str, int, str]] = Counter()
        self.budgets: dict[str, RetryWindow] = {}
        access = StoreAccess(
            address=settings.store.address, call_timeout_s=settings.store.call_timeout_s
        )
        self.store = PlatformStore(access, clock=self.clock)
        self.pool = HttpPool(clock=self.clock)
        self.caches = PromptCaches()
        self.servers_feed = Feed(
            self.store,
            SERVER_KIND,
            clock=self.clock,
            on_listing=self._servers_listed,
            on_change=self._servers_changed,
        )
        self.configuration_feed = Feed(
            self.store,
            CONFIGURATION_KIND,
            clock=self.clock,
            on_listing=lambda listing: self._take_catalog(listing.objects),
            on_change=lambda change: self._take_catalog(change.written),
        )
        self.relay = Relay(
            RelayPorts(
                data_centre=settings.data_centre,
                clock=self.clock,
                fleet=self.fleet,
                caches=self.caches,
                attempts=Attempts(self.pool, clock=self.clock),
                catalog=lambda: self.catalog,
                budget=self._budget,
                desk=_NoDesk(),
                fleet_changed=self.fleet_changed,
                on_outcome=self._note_outcome,
            )
        )
        self.gateway = Gateway(
            self.relay.serve, clock=self.clock, on_failure=self._serving_failed
        )

    @property
    def ready(self) -> bool:
        return self.catalog is not None and not self.stopping

    async def start(self) -> None:
        """Listen and start every loop."""
        host, port = split_address(self.settings.callers.listen)
        self.gateway.server.listen(port, address=host, family=socket.AF_INET)
        application = Application(
            [(READY_PATH, _ReadyHandler, {"node": self})], log_function=lambda _: None
        )
        self.ready_server = HTTPServer(application)
        host, port = split_address(self.settings.callers.ready_listen)
        self.ready_server.listen(port, address=host, family=socket.AF_INET)
        self.loops.forever(self.configuration_feed.run)
        self.loops.forever(self.servers_feed.run)
        _log.info("started", callers=self.settings.callers.listen)

    async def stop(self) -> None:
        """Stop as planned: unready, drained, closed."""
        started_s = self.clock.monotonic_s()
        self.stopping = True
        self.gateway.closing = True
        _log.info("stopping", in_flight=len(self.gateway.open))
        await asyncio.sleep(BALANCER_NOTICES_S)
        self.gateway.server.stop()
        limit_s = started_s + self.settings.stop.grace_s - STOP_MARGIN_S
        while self.gateway.open and self.clock.monotonic_s() < limit_s:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        cut = len(self.gateway.open)
        await self.loops.stop()
        self.store.close()
        self.pool.close()
        _log.info("stopped", cut=cut)

    def _budget(self, service: str) -> RetryWindow:
        if service not in self.budgets:
            bounds = self.settings.retries
            self.budgets[service] = RetryWindow(
                clock=self.clock,
                ratio=bounds.ratio,
                slack=bounds.slack,
                window_s=bounds.window_s,
                vms=9,
            )
        return self.budgets[service]

    # Tables

    def _take_catalog(self, objects: Mapping[str, StoredObject]) -> None:
        stored = objects.get(CONFIGURATION_NAME)
        if stored is None:
            return
        catalog = decode_catalog(stored)
        if catalog is None:
            return
        if self.catalog is not None and catalog.version < self.catalog.version:
            # A store that reads older than before must not undo a change.
            return
        self.catalog = catalog
        limits = catalog.limits
        self.gateway.limit(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            idle_timeout_s=limits.idle_timeout_s,
        )
        _log.info(
            "configuration_in_force", version=catalog.version, revision=stored.version
        )
        self._announce()

    def _servers_listed(self, listing: Listing) -> None:
        entries = {}
        for stored in listing.objects.values():
            entry = decode_server(stored)
            if entry is not None:
                entries[entry.name] = entry
        self.fleet.replace(entries)
        self.fleet.revision = listing.revision
        _log.info("servers_listed", revision=listing.revision, count=len(entries))
        self._announce()

    def _servers_changed(self, change: Change) -> None:
        for name in change.removed:
            self.fleet.remove(name.partition("/")[2])
        for stored in change.written.values():
            entry = decode_server(stored)
            if entry is not None:
                self.fleet.put(entry)
        self.fleet.revision = change.revision
        self._announce()

    def _announce(self) -> None:
        asyncio.ensure_future(self._notify())

    async def _notify(self) -> None:
        async with self.fleet_changed:
            self.fleet_changed.notify_all()

    # Outcomes

    def _note_outcome(self, course: Course, status: int, code: str) -> None:
        self.outcomes[course.route.kind.value, status, code] += 1

    def _serving_failed(
        self, exchange: CallerExchange, error: BaseException | None
    ) -> None:
        _log.error("serving_failed", path=exchange.path, why=repr(error))
