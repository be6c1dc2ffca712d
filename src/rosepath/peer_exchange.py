"""What this entry VM tells the others of itself, and takes from their words."""

import asyncio
import json
import math
from collections.abc import Callable

from rosepath.clock import Clock
from rosepath.crash_watch import CrashWatch
from rosepath.fleet import BackendServer, PeerLoad, own_load
from rosepath.logs import get_logger
from rosepath.object_store import ConflictError, StoredObject, StoreError
from rosepath.peer_link import PeerLink
from rosepath.peer_messages import NEVER_S, PeerState
from rosepath.peer_table import PeerTable
from rosepath.placement_coordinator import PlacementCoordinator
from rosepath.platform.store import PlatformStore
from rosepath.settings import split_address
from rosepath.store_tables import StoreTables

# The VMs learn of one end within milliseconds of each other: one word for all.
TELL_SOON_S = 0.01
JOIN_AGAIN_S = 0.3
JOIN_AGAIN_MAX_S = 2.0
# A server that took no connection is named for so long, and each naming keeps
# requests off it for as long as the next one may take to come.
DOWN_TOLD_S = 0.5
DOWN_HEARD_S = 0.4
# The holder renews its lease each second.
STORE_TROUBLE_S = 1.6
VM_KIND = "rosepath-entry-vms"

_log = get_logger()


def _member_address(stored: StoredObject) -> str | None:
    """Read where a VM listens; None if that is not what its entry says."""
    try:
        address = str(json.loads(stored.value)["address"])
        split_address(address)
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        _log.warning("member_unreadable", name=stored.name, why=str(error)[:80])
        return None
    return address


class PeerExchange:
    """Describe this VM to the others, and apply what they say."""

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
    ) -> None:
        self._crashes = crashes
        self._tells_soon = False
        self._me = entry_vm
        self._data_centre = data_centre
        self._clock = clock
        self._store = store
        self._tables = tables
        self._coordinator = coordinator
        self._stopping = stopping
        # The servers at which each other VM had work by its latest word.
        self._loaded: dict[str, frozenset[str]] = {}
        self.peers = peers
        self.link = PeerLink(
            address,
            peers,
            clock=clock,
            describe=self._describe,
            on_state=self._peer_spoke,
            on_ask=coordinator.answer,
            data_centre=data_centre,
            boot_clock=boot_clock,
        )
        coordinator.link = self.link

    async def join(self) -> None:
        """Tell the store where this VM is, and read where the others are."""
        name = f"{VM_KIND}/{self._me}"
        value = json.dumps({"address": self.link.address}).encode()
        registered = False
        pause_s = JOIN_AGAIN_S
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
                pause_s = min(2 * pause_s, JOIN_AGAIN_MAX_S)
        for stored in listing.objects.values():
            address = _member_address(stored)
            if address is not None:
                self.peers.learn(stored.name.partition("/")[2], address)
        self.link.tell()
        _log.info("joined", peers=sorted(self.peers.peers))
        await asyncio.Event().wait()

    async def _register(self, name: str, value: bytes) -> None:
        try:
            await self._store.put(name, value, expected_version=0)
        except ConflictError:
            await self._store.put(name, value, expected_version=None)

    def _describe(self, start: str, number: int) -> PeerState:
        self._coordinator.note_word(number)
        now_s = self._clock.monotonic_s()
        unreached = [
            server.name
            for server in self._tables.fleet.servers.values()
            if server.unreached_s > now_s - DOWN_TOLD_S
        ]
        holding = self._coordinator.term > 0
        telling = holding and self.peers.crowded
        leaving, complete_ago_s = self._tables.leaves.told()
        if not holding:
            # Whether an entry only lapsed is for one VM to judge, who watches
            # the store closely all the time.
            leaving = tuple(server for server in leaving if not server.gone_at)
        totals = self._totals() if telling else {}
        return PeerState(
            entry_vm=self._me,
            data_centre=self._data_centre,
            address=self.link.address,
            start=start,
            number=number,
            stopping=self._stopping(),
            servers_revision=self._tables.servers_feed.changed_revision,
            configuration_revision=self._tables.configuration_revision,
            term=self._coordinator.term,
            lease_version=self._coordinator.lease_version,
            heard=self._coordinator.heard,
            store_ago_s=self._clock.monotonic_s() - self._store.last_success_s,
            resigned_version=self._coordinator.resigned_version,
            acted_ago_s=self._coordinator.acted_ago_s,
            bequest=self._coordinator.bequest,
            load={} if telling else self._own_loads(),
            demand={} if telling else self._coordinator.own_demand(),
            occupied=tuple(self._coordinator.orders.occupied)
            if self._coordinator.term
            else (),
            arrivals=tuple(self._coordinator.orders.arrivals)
            if self._coordinator.term
            else (),
            moves=tuple(self._coordinator.moves.recent()),
            known_ago_s=self._tables.vouched_age_s if holding else NEVER_S,
            complete_ago_s=complete_ago_s,
            configuration_known_ago_s=self._tables.catalog_feed.age.age_s
            if holding
            else NEVER_S,
            leaving=leaving,
            down=tuple(unreached),
            totals=totals,
            crashes=self._crashes.records.told(),
            cleared=self._crashes.records.cleared,
            quarantined=self._crashes.records.quarantined,
            isolated=self._crashes.isolated.told(merged=telling, now_s=now_s),
        )

    def tell_soon(self) -> None:
        """Tell the others before the next word is due; once for what comes at once."""
        if not self._tells_soon:
            self._tells_soon = True
            asyncio.get_running_loop().call_later(TELL_SOON_S, self._tell_now)

    def _tell_now(self) -> None:
        self._tells_soon = False
        self.link.tell()

    def _peer_spoke(self, state: PeerState) -> None:
        if state.totals:
            self._take_totals(state)
        elif not self.peers.crowded or self._coordinator.term:
            self._take_load(state)
        self._tables.servers_feed.hear(state.servers_revision)
        self._tables.catalog_feed.hear(state.configuration_revision)
        for server in state.leaving:
            known = self._tables.fleet.servers.get(server.name)
            if self._tables.hear_leaving(server) and known is not None:
                event = "server_gone" if server.gone_at else "server_leaving"
                self._tell(event, known, state)
        if state.term:
            self._take_ages(state)
        self._hear_crashes(state)
        self._hear_down(state)
        if state.term and state.store_ago_s > STORE_TROUBLE_S:
            self._tables.note_trouble()
        self._coordinator.hear_peer(state)

    def _take_ages(self, state: PeerState) -> None:
        """Let the holder's word stand for looks at the store."""
        tables = self._tables
        tables.servers_feed.age.hear(
            known_ago_s=state.known_ago_s, complete_ago_s=state.complete_ago_s
        )
        if state.configuration_revision <= tables.catalog_feed.changed_revision:
            tables.catalog_feed.age.hear(
                known_ago_s=state.configuration_known_ago_s, complete_ago_s=math.inf
            )

    def _tell(self, event: str, server: BackendServer, state: PeerState) -> None:
        """Log what another VM's word changed, and how well that VM knows it."""
        _log.info(
            event,
            step="peers",
            peer=server.name,
            by=state.entry_vm,
            in_flight=len(server.flights),
            looked_ago_s=self._tables.looked_ago_s,
            their_revision=state.servers_revision,
            their_store_ago_s=state.store_ago_s,
            their_known_ago_s=state.known_ago_s,
        )

    def _own_loads(self) -> dict[str, PeerLoad]:
        return {
            server.name: own_load(server)
            for server in self._tables.fleet.servers.values()
            if server.flights
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

    def _hear_crashes(self, state: PeerState) -> None:
        """Take in what crashes servers; a holder in a crowd tells it on at once."""
        records = self._crashes.records
        news = [records.add(report) for report in state.crashes]
        news += [records.quarantine(key) for key in state.quarantined]
        news += [records.clear(key) for key in state.cleared]
        now_s = self._clock.monotonic_s()
        news.append(
            self._crashes.isolated.hear(state.entry_vm, state.isolated, now_s=now_s)
        )
        if any(news):
            self._tables.announce()
            if self._coordinator.term and self.peers.crowded:
                self.tell_soon()

    def _hear_down(self, state: PeerState) -> None:
        """Spare requests a server that another VM of this data centre misses."""
        if state.data_centre != self._data_centre and not self._coordinator.term:
            return
        until_s = self._clock.monotonic_s() + DOWN_HEARD_S
        for name in state.down:
            server = self._tables.fleet.servers.get(name)
            if server is not None and server.down_until_s < until_s:
                server.down_until_s = until_s

    def _take_load(self, state: PeerState) -> None:
        """Take in what a VM has at servers: of all, it has work at a few."""
        servers = self._tables.fleet.servers
        for name in self._loaded.get(state.entry_vm, frozenset()) - state.load.keys():
            if name in servers:
                servers[name].peers.pop(state.entry_vm, None)
        for name, load in state.load.items():
            if name in servers:
                servers[name].peers[state.entry_vm] = load
        self._loaded[state.entry_vm] = frozenset(state.load)

    def _take_totals(self, state: PeerState) -> None:
        """Take the sum over all VMs, less what is known here exactly."""
        for server in self._tables.fleet.servers.values():
            total = state.totals.get(server.name)
            server.peers.clear()
            if total is not None:
                server.peers[state.entry_vm] = total.less(own_load(server))
        self._loaded[state.entry_vm] = frozenset(state.totals)

    async def forget_silent(self) -> None:
        """Stop counting the load of VMs that are silent."""
        if self.peers.crowded and not self._coordinator.term:
            return
        live = {peer.name for peer in self.peers.live()}
        for server in self._tables.fleet.servers.values():
            for name in server.peers.keys() - live:
                del server.peers[name]
