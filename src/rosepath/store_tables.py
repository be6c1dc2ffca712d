"""Keep the catalog and the backend servers in sync with the store."""

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from rosepath.catalog import Catalog
from rosepath.clock import Clock
from rosepath.departure_log import DepartureLog
from rosepath.fleet import BackendServer, Fleet, LeavingServer
from rosepath.logs import get_logger
from rosepath.object_store import Change, Listing, ListWatchPort, StoredObject
from rosepath.platform.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    SERVER_KIND,
    decode_catalog,
    decode_server,
    without_keys,
)
from rosepath.store_watcher import StoreWatcher, WatchPolicy

# Servers write entries that expired during an outage again within about this.
ENTRY_RETURN_S = 2.2
# From the last check of a server until a request arrives there, including
# delays in a busy VM.
REQUEST_TRANSIT_S = 0.25
# A read of the store has succeeded or failed by then.
REFRESH_TIMEOUT_S = 0.7

_log = get_logger()


class _Absence(NamedTuple):
    """Hold when an entry last existed, and a revision without it."""

    last_present_s: float
    gone_at: int


class StoreTables:
    """Hold the operator's catalog and the backend servers from the store.

    Owns the two watches that keep them current, and the log of departures that
    is sent to the other entry VMs.
    """

    def __init__(
        self,
        store: ListWatchPort,
        *,
        clock: Clock,
        servers_watch_policy: Callable[[], WatchPolicy],
        catalog_watch_policy: Callable[[], WatchPolicy],
        on_catalog: Callable[[Catalog], None],
        on_restarted: Callable[[str], None] = lambda _: None,
        on_removed: Callable[[BackendServer], None] = lambda _: None,
        on_departed: Callable[[BackendServer], None] = lambda _: None,
        drain_s: float = math.inf,
        settle_s: float = 0.0,
        boot_clock: Clock | None = None,
    ) -> None:
        self._drain_s = drain_s
        self._settle_s = settle_s
        self._on_restarted = on_restarted
        # Called for each server whose entry is gone, also if a peer found that.
        self._on_removed = on_removed
        # Called for each instance without an entry, also if a peer found that.
        self._on_departed = on_departed
        self._clock = clock
        self._on_catalog = on_catalog
        # Entries that are missing but may only have expired.
        self._absent: dict[str, _Absence] = {}
        self._store_failure_s = -1e9
        self.departures = DepartureLog(clock=boot_clock or clock)
        self.catalog: Catalog | None = None
        # The object from which the catalog was decoded, without API keys.
        self.configuration: StoredObject | None = None
        self.fleet = Fleet()
        self.changed = asyncio.Condition()
        self.servers_watcher = StoreWatcher(
            store,
            SERVER_KIND,
            clock=clock,
            policy=servers_watch_policy,
            on_listing=self._servers_listed,
            on_change=self._servers_changed,
            boot_clock=boot_clock,
        )
        self.catalog_watcher = StoreWatcher(
            store,
            CONFIGURATION_KIND,
            clock=clock,
            policy=catalog_watch_policy,
            urgent=True,
            on_listing=lambda listing: self._apply_catalog(listing.objects),
            on_change=lambda change: self._apply_catalog(change.written),
            boot_clock=boot_clock,
        )

    def _apply_catalog(self, objects: Mapping[str, StoredObject]) -> None:
        stored = objects.get(CONFIGURATION_NAME)
        if stored is None or stored.version == self.configuration_revision:
            return
        catalog = decode_catalog(stored)
        if catalog is None:
            return
        if self.catalog is not None and catalog.version < self.catalog.version:
            # A stale read must not undo a change.
            return
        self.catalog = catalog
        self.configuration = without_keys(stored)
        self._on_catalog(catalog)
        _log.info(
            "configuration_in_force", version=catalog.version, revision=stored.version
        )
        self.notify_waiters()

    @property
    def configuration_revision(self) -> int:
        """Return the revision of the configuration in force; 0 if none."""
        return self.configuration.version if self.configuration else 0

    def _servers_listed(self, listing: Listing) -> None:
        listed = {name.partition("/")[2] for name in listing.objects}
        self._remove_missing(
            (name for name in list(self.fleet.servers) if name not in listed),
            gone_at=listing.revision,
        )
        self._apply_entries(listing.objects)
        self.departures.start_listing()
        _log.info("servers_listed", revision=listing.revision, count=len(listed))

    def _servers_changed(self, change: Change) -> None:
        self._remove_missing(
            (name.partition("/")[2] for name in change.removed),
            gone_at=change.revision,
        )
        self._apply_entries(change.written)

    def _apply_entries(self, objects: Mapping[str, StoredObject]) -> None:
        for stored in objects.values():
            entry = decode_server(stored)
            if entry is None:
                self._remove_unreadable(stored)
                continue
            self._absent.pop(entry.name, None)
            known = self.fleet.servers.get(entry.name)
            left = known is not None and known.entry.draining
            if self.fleet.put(entry):
                _log.info("server_reborn", step="store", peer=entry.name)
                self._on_restarted(entry.name)
                if known is not None:
                    self._on_departed(known)
            taken = self.fleet.servers.get(entry.name)
            if entry.draining and taken and taken.entry is entry and not left:
                self._log_server("server_leaving", entry.name)
                self.departures.record(LeavingServer(entry.name, entry.born_ms))
        self.notify_waiters()

    def _remove_unreadable(self, stored: StoredObject) -> None:
        """Remove a server whose entry was overwritten by another writer.

        What runs at its address is unknown until the server writes its entry
        again with its next heartbeat.
        """
        name = stored.name.partition("/")[2]
        self._absent.pop(name, None)
        if name in self.fleet.servers:
            self._remove(name, gone_at=stored.version)

    def _remove_missing(self, names: Iterable[str], *, gone_at: int) -> None:
        """Remove servers, after a grace period if entries may have expired.

        Entries of running servers expire during an outage of the store and
        return soon after it. Removed at once, they would leave no server for
        requests.
        """
        wait_s = self._expiry_grace_s()
        for name in names:
            if not wait_s:
                self._remove(name, gone_at=gone_at)
            elif name not in self._absent:
                last_present_s = self.servers_watcher.age.known_s
                self._absent[name] = _Absence(last_present_s, gone_at)
                self._log_server("server_missing", name, wait_s=wait_s)
                loop = asyncio.get_running_loop()
                loop.call_later(wait_s, self._remove_if_absent, name)

    def _expiry_grace_s(self) -> float:
        """Return how long to wait for a removed entry; 0 if it did not expire.

        An entry may have been removed right after the table was last
        confirmed, so the wait counts from then. Counted from when the removal
        was read, both times would add up to more than a server that left may
        be used for. After an outage of its own, a VM is bound by that only
        once it has settled.
        """
        now_s, watcher = self._clock.monotonic_s(), self.servers_watcher
        if watcher.store_unavailable:
            grace_s = ENTRY_RETURN_S
        else:
            recovered_s = max(watcher.recovered_s, self._store_failure_s)
            grace_s = recovered_s + ENTRY_RETURN_S - now_s
        may_be_used_s = max(
            self._drain_s - watcher.age.age_s, self._settle_s - watcher.since_failure_s
        )
        return max(0.0, min(grace_s, may_be_used_s - REQUEST_TRANSIT_S))

    def _remove_if_absent(self, name: str) -> None:
        if name in self._absent:
            self._remove(name, gone_at=self._absent.pop(name).gone_at)

    def _remove(self, name: str, *, gone_at: int) -> None:
        self._log_server("server_gone", name)
        server = self.fleet.servers.get(name)
        self.fleet.remove(name, gone_at=gone_at)
        if server is not None:
            self._on_removed(server)
            self._on_departed(server)
        self.departures.record(LeavingServer(name, gone_at=gone_at))

    def apply_peer_departure(self, leaving: LeavingServer) -> bool:
        """Apply a departure reported by a peer; return whether it is new."""
        known = self.fleet.servers.get(leaving.name)
        if not self.fleet.note_leaving(leaving):
            return False
        if leaving.gone_at:
            self._absent.pop(leaving.name, None)
            if known is not None:
                self._on_removed(known)
                self._on_departed(known)
        self.departures.record(leaving)
        return True

    def apply_announced_departure(self, server: BackendServer) -> bool:
        """Apply a departure a server announces; return whether it is new."""
        leaving = LeavingServer(server.name, server.entry.born_ms)
        is_new = self.apply_peer_departure(leaving)
        if is_new:
            self._log_server("server_leaving", server.name, step="answer")
            self.notify_waiters()
        return is_new

    def _log_server(
        self, event: str, name: str, *, step: str = "store", **fields: float
    ) -> None:
        """Log a change of a server and the age of the table before it."""
        server = self.fleet.servers.get(name)
        _log.info(
            event,
            step=step,
            peer=name,
            in_flight=len(server.in_flight_requests) if server else 0,
            looked_ago_s=self.looked_ago_s,
            trouble_ago_s=round(self._clock.monotonic_s() - self._store_failure_s, 3),
            revision=self.servers_watcher.revision,
            **fields,
        )

    @property
    def servers_known(self) -> bool:
        """Return whether the servers have been listed at least once."""
        return self.servers_watcher.revision > 0

    @property
    def looked_ago_s(self) -> float:
        """Return the age of the server table, by reads or peers' messages."""
        return round(self.servers_watcher.age.age_s, 3)

    @property
    def reported_age_s(self) -> float:
        """Return the age of the server table that other VMs may rely on.

        While missing entries may only have expired, it is not known which
        servers left. VMs that did not receive the departure would go on using
        such a server after this VM stops.
        """
        age = self.servers_watcher.age
        last_present_s = min(
            (absence.last_present_s for absence in self._absent.values()), default=0
        )
        unconfirmed_s = age.now_s() - last_present_s if self._absent else 0.0
        return max(age.age_s, unconfirmed_s)

    @property
    def fresh_enough(self) -> bool:
        """Return whether the server table is recent enough to route by.

        It is while no server can have left for longer than a departing server
        may still be used. While the store is unavailable, the table cannot be
        refreshed and stays in use.
        """
        watcher = self.servers_watcher
        usable_s = max(self._drain_s - REQUEST_TRANSIT_S, self._drain_s / 2)
        return watcher.store_unavailable or watcher.age.age_s < usable_s

    async def ensure_fresh(self) -> None:
        """Refresh the server table if it is too old to route by."""
        if not self.fresh_enough:
            _log.info("fleet_too_old", step="store", looked_ago_s=self.looked_ago_s)
            await self.servers_watcher.ensure_fresh(limit_s=REFRESH_TIMEOUT_S)

    async def ensure_read_since(self, asked_s: float) -> None:
        """Read the server table unless it was read since a time on its clock.

        State messages tell of departures, but not of servers that restart.
        """
        if self.servers_watcher.age.last_read_s < asked_s:
            await self.servers_watcher.ensure_fresh(limit_s=REFRESH_TIMEOUT_S)

    async def confirm_instances(self) -> None:
        """Learn which servers have restarted by now, unless the store is away."""
        await self.ensure_read_since(self.servers_watcher.age.now_s())

    def note_store_failure(self) -> None:
        """Note that the store does not respond to the placement lease holder.

        The lease holder writes each second and detects an outage that begins
        and ends within one wait of this VM's watch.
        """
        self._store_failure_s = self._clock.monotonic_s()

    def notify_waiters(self) -> None:
        """Wake the requests that wait for a change."""
        asyncio.ensure_future(self._notify())

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()
