"""Build this entry VM's state messages and apply those of the others."""

import asyncio
import json
import math
from collections.abc import Callable
from typing import NamedTuple

from rosepath.clock import Clock
from rosepath.crash_watch import CrashWatch
from rosepath.document_parsing import validate_address, validate_text
from rosepath.fleet import BackendServer, PeerLoad, own_load
from rosepath.json_decoding import decode_json
from rosepath.logs import get_logger
from rosepath.object_store import ConflictError, StoredObject, StoreError
from rosepath.peer_link import PeerLink
from rosepath.peer_messages import (
    NEVER_S,
    NO_COORDINATOR,
    CoordinatorLink,
    PeerState,
)
from rosepath.peer_table import PeerTable
from rosepath.placement_coordinator import PlacementCoordinator
from rosepath.platform.store import PlatformStore
from rosepath.server_limits import apply_peer_limits, known_limits
from rosepath.store_tables import StoreTables

# Coalesces changes that arrive within milliseconds into one message.
SEND_DELAY_S = 0.01
JOIN_RETRY_S = 0.3
JOIN_RETRY_MAX_S = 2.0
# State messages report a server as down for this long after a connection to
# it failed.
DOWN_REPORTED_S = 0.5
# A VM that receives such a report sends the server no requests for this long,
# by which time the next report may have arrived.
DOWN_APPLIED_S = 0.4
# If the last successful call to the store of the placement lease's holder is
# older than this, it has missed a renewal, which is due each second.
STORE_FAILURE_S = 1.6
VM_KIND = "rosepath-entry-vms"

_log = get_logger()


class Member(NamedTuple):
    """An entry VM as it registered itself in the store."""

    address: str
    data_centre: str


def decode_member(stored: StoredObject) -> Member | None:
    """Decode a VM's store entry; None if it is unreadable."""
    try:
        raw = decode_json(stored.value)
        address = validate_address(str(raw["address"]))
        # Earlier builds state no data centre.
        data_centre = validate_text(str(raw.get("data_centre", "")))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        _log.warning("member_unreadable", name=stored.name, why=str(error)[:80])
        return None
    return Member(address, data_centre)


class PeerExchange:
    """Build this VM's state messages and apply those of other entry VMs.

    Owns the `PeerLink`, over which they are sent and received. `boot_clock`
    lets the link detect that the VM was frozen or suspended.
    """

    def __init__(
        self,
        entry_vm: str,
        data_centre: str,
        address: str,
        *,
        clock: Clock,
        store: PlatformStore,
        tables: StoreTables,
        peers: PeerTable,
        coordinator: PlacementCoordinator,
        stopping: Callable[[], bool],
        crashes: CrashWatch,
        boot_clock: Clock | None = None,
        link_mbps: float = 0.0,
        partitioned: Callable[[], bool] = lambda: False,
        quota_coordinator: Callable[[], CoordinatorLink] = lambda: NO_COORDINATOR,
    ) -> None:
        self._quota_coordinator = quota_coordinator
        self._link_mbps = link_mbps
        self._partitioned = partitioned
        self._crashes = crashes
        self._send_scheduled = False
        self._me = entry_vm
        self._data_centre = data_centre
        self._clock = clock
        self._store = store
        self._tables = tables
        self._coordinator = coordinator
        self._stopping = stopping
        # By VM, the start of its process.
        self._starts: dict[str, str] = {}
        # By VM, the servers with load in its latest state message.
        self._servers_with_load: dict[str, frozenset[str]] = {}
        self.peers = peers
        self.link = PeerLink(
            address,
            peers,
            clock=clock,
            describe=self._own_state,
            on_state=self._apply_state,
            on_adapter_request=coordinator.handle_adapter_request,
            data_centre=data_centre,
            boot_clock=boot_clock,
        )
        coordinator.link = self.link

    async def join(self) -> None:
        """Register this VM's address in the store and read the others'."""
        name = f"{VM_KIND}/{self._me}"
        entry = {"address": self.link.address, "data_centre": self._data_centre}
        value = json.dumps(entry).encode()
        registered = False
        pause_s = JOIN_RETRY_S
        while True:
            try:
                if not registered:
                    await self._register(name, value)
                    registered = True
                listing = await self._store.list(VM_KIND)
                break
            except StoreError as error:
                _log.info("join_failed", why=error.message, step="store")
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, JOIN_RETRY_MAX_S)
        for stored in listing.objects.values():
            member = decode_member(stored)
            if member is not None:
                self.peers.note_address(stored.name.partition("/")[2], *member)
        self.link.send_state()
        _log.info("joined", peers=sorted(self.peers.peers))
        # The supervisor would start `join` again if it returned.
        await asyncio.Event().wait()

    async def _register(self, name: str, value: bytes) -> None:
        try:
            await self._store.put(name, value, expected_version=0)
        except ConflictError:
            await self._store.put(name, value, expected_version=None)

    def _own_state(self, start: str, number: int) -> PeerState:
        """Return this VM's current state as a message.

        `start` identifies this process and `number` the message within it.
        """
        self._coordinator.note_state_sent(number)
        now_s = self._clock.monotonic_s()
        unreached = [
            server.name
            for server in self._tables.fleet.servers.values()
            if server.connect_failed_s > now_s - DOWN_REPORTED_S
        ]
        holding = self._coordinator.term > 0
        sends_totals = holding and self.peers.large_fleet
        leaving, complete_ago_s = self._tables.departures.recent()
        if not holding:
            # Other VMs report only draining servers. Whether a server's entry
            # was removed or has only expired is decided by the holder of the
            # placement lease, which watches the store continuously.
            leaving = tuple(server for server in leaving if not server.gone_at)
        totals = self._totals() if sends_totals else {}
        return PeerState(
            entry_vm=self._me,
            data_centre=self._data_centre,
            address=self.link.address,
            start=start,
            number=number,
            stopping=self._stopping(),
            servers_revision=self._tables.servers_watcher.changed_revision,
            configuration_revision=self._tables.configuration_revision,
            term=self._coordinator.term,
            lease_version=self._coordinator.lease_version,
            holder_ack=self._coordinator.holder_ack,
            store_ago_s=self._clock.monotonic_s() - self._store.last_success_s,
            resigned_version=self._coordinator.resigned_version,
            last_action_age_s=self._coordinator.last_action_age_s,
            handover=self._coordinator.handover,
            load={} if sends_totals else self._own_loads(),
            demand={} if sends_totals else self._coordinator.own_demand(),
            occupied=tuple(self._coordinator.orders.occupied)
            if self._coordinator.term
            else (),
            arrivals=tuple(self._coordinator.orders.arrivals)
            if self._coordinator.term
            else (),
            residency_changes=tuple(self._coordinator.residency_changes.recent()),
            known_ago_s=self._tables.reported_age_s if holding else NEVER_S,
            complete_ago_s=complete_ago_s,
            configuration_known_ago_s=self._tables.catalog_watcher.age.age_s
            if holding
            else NEVER_S,
            leaving=leaving,
            down=tuple(unreached),
            totals=totals,
            crashes=self._crashes.records.recent_reports(),
            cleared=self._crashes.records.cleared,
            quarantined=self._crashes.records.quarantined,
            isolated=self._crashes.isolated.runs(merged=sends_totals, now_s=now_s),
            undecided=self._crashes.undecided.runs(merged=sends_totals, now_s=now_s),
            limits=known_limits(self._tables.fleet, now_s=now_s),
            link_mbps=self._link_mbps,
            coordinator=self._quota_coordinator()
            if self._coordinator.term
            else NO_COORDINATOR,
            partitioned=self._partitioned(),
        )

    def send_state_soon(self) -> None:
        """Schedule a state message, unless one is scheduled already."""
        if not self._send_scheduled:
            self._send_scheduled = True
            asyncio.get_running_loop().call_later(
                SEND_DELAY_S, self._send_scheduled_state
            )

    def _send_scheduled_state(self) -> None:
        self._send_scheduled = False
        self.link.send_state()

    def _apply_state(self, state: PeerState) -> None:
        if state.totals:
            self._apply_totals(state)
        elif not self.peers.large_fleet or self._coordinator.term:
            self._apply_load(state)
        self._tables.servers_watcher.note_peer_revision(state.servers_revision)
        self._tables.catalog_watcher.note_peer_revision(state.configuration_revision)
        for server in state.leaving:
            known = self._tables.fleet.servers.get(server.name)
            if self._tables.apply_peer_departure(server) and known is not None:
                event = "server_gone" if server.gone_at else "server_leaving"
                self._log_departure(event, known, state)
        if state.term:
            self._apply_ages(state)
        self._apply_crash_records(state)
        self._tell_if_started(state)
        self._apply_limits(state)
        self._apply_unreachable(state)
        if state.term and state.store_ago_s > STORE_FAILURE_S:
            self._tables.note_store_failure()
        self._coordinator.handle_peer_state(state)

    def _apply_ages(self, state: PeerState) -> None:
        """Count the reported ages of the holder's tables as store reads."""
        tables = self._tables
        tables.servers_watcher.age.note_peer_age(
            known_ago_s=state.known_ago_s, complete_ago_s=state.complete_ago_s
        )
        if state.configuration_revision <= tables.catalog_watcher.changed_revision:
            tables.catalog_watcher.age.note_peer_age(
                known_ago_s=state.configuration_known_ago_s, complete_ago_s=math.inf
            )

    def _log_departure(
        self, event: str, server: BackendServer, state: PeerState
    ) -> None:
        """Log a departure that a peer reported, with the age of its table."""
        _log.info(
            event,
            step="peers",
            peer=server.name,
            by=state.entry_vm,
            in_flight=len(server.in_flight_requests),
            looked_ago_s=self._tables.looked_ago_s,
            their_revision=state.servers_revision,
            their_store_ago_s=state.store_ago_s,
            their_known_ago_s=state.known_ago_s,
        )

    def _own_loads(self) -> dict[str, PeerLoad]:
        return {
            server.name: own_load(server)
            for server in self._tables.fleet.servers.values()
            if server.in_flight_requests
        }

    def _totals(self) -> dict[str, PeerLoad]:
        return {
            server.name: PeerLoad(
                requests=server.requests,
                unread_tokens=server.unread_tokens,
            )
            for server in self._tables.fleet.servers.values()
            if server.requests
        }

    def _apply_crash_records(self, state: PeerState) -> None:
        """Apply crash records; the holder of a large fleet forwards them."""
        records = self._crashes.records
        changes = [records.add(report) for report in state.crashes]
        changes += [records.quarantine(key) for key in state.quarantined]
        changes.append(self._crashes.apply_cleared(state.cleared))
        now_s = self._clock.monotonic_s()
        changes.append(
            self._crashes.isolated.apply_peer_runs(
                state.entry_vm, state.isolated, now_s=now_s
            )
        )
        changes.append(
            self._crashes.undecided.apply_peer_runs(
                state.entry_vm, state.undecided, now_s=now_s
            )
        )
        if any(changes):
            self._tables.notify_waiters()
            if self._coordinator.term and self.peers.large_fleet:
                self.send_state_soon()

    def _tell_if_started(self, state: PeerState) -> None:
        """Tell a VM that has just started which crashes are not explained."""
        if self._starts.get(state.entry_vm) == state.start:
            return
        self._starts[state.entry_vm] = state.start
        if self._crashes.records.tell_open_crashes():
            self.send_state_soon()

    def _apply_limits(self, state: PeerState) -> None:
        """Apply servers' rate limits; the holder of a large fleet forwards them."""
        changed = apply_peer_limits(
            self._tables.fleet,
            state.limits,
            entry_vm=state.entry_vm,
            now_s=self._clock.monotonic_s(),
        )
        if changed:
            self._tables.notify_waiters()
            if self._coordinator.term and self.peers.large_fleet:
                self.send_state_soon()

    def _apply_unreachable(self, state: PeerState) -> None:
        """Avoid servers that other VMs of this data centre cannot reach."""
        if state.data_centre != self._data_centre and not self._coordinator.term:
            return
        until_s = self._clock.monotonic_s() + DOWN_APPLIED_S
        for name in state.down:
            server = self._tables.fleet.servers.get(name)
            if server is not None and server.down_until_s < until_s:
                server.down_until_s = until_s

    def _apply_load(self, state: PeerState) -> None:
        """Apply a VM's load, and drop its load from servers no longer named.

        A VM has load at only a few of all servers, so only those in its last
        two state messages are updated.
        """
        servers = self._tables.fleet.servers
        for name in (
            self._servers_with_load.get(state.entry_vm, frozenset()) - state.load.keys()
        ):
            if name in servers:
                servers[name].peers.pop(state.entry_vm, None)
        for name, load in state.load.items():
            if name in servers:
                servers[name].peers[state.entry_vm] = load
        self._servers_with_load[state.entry_vm] = frozenset(state.load)

    def _apply_totals(self, state: PeerState) -> None:
        """Apply the load of all VMs, less this VM's own."""
        for server in self._tables.fleet.servers.values():
            total = state.totals.get(server.name)
            server.peers.clear()
            if total is not None:
                server.peers[state.entry_vm] = total.minus(own_load(server))
        self._servers_with_load[state.entry_vm] = frozenset(state.totals)

    async def forget_silent(self) -> None:
        """Drop the load of VMs that exceeded the inactivity timeout."""
        if self.peers.large_fleet and not self._coordinator.term:
            return
        live = {peer.name for peer in self.peers.live()}
        for server in self._tables.fleet.servers.values():
            for name in server.peers.keys() - live:
                del server.peers[name]
