"""Update the replicas from polled reports, gossip and the VM list."""

from collections.abc import Callable

from rosepath.clock import Clock
from rosepath.gossip import Row, RowKey, RowKind
from rosepath.logs import get_logger
from rosepath.object_store import PlatformPort, StoreError, VmState
from rosepath.poller import Poller, apply_load, reported_leaving, smooth_demand
from rosepath.tables import Tables

DEMAND_WEIGHT = 0.1

_log = get_logger()


class BackendWatch:
    """Apply load reports, departures and the platform's VM list to the tables.

    Owns the VM list as last read, and publishes changes to the other entry
    VMs as gossip rows.
    """

    def __init__(
        self,
        tables: Tables,
        poller: Poller,
        platform: PlatformPort,
        *,
        data_centre: str,
        clock: Clock,
        publish: Callable[[Row], None],
    ) -> None:
        self.vms: dict[str, VmState] | None = None
        self.ever_listed: frozenset[str] = frozenset()
        self._tables = tables
        self._poller = poller
        self._platform = platform
        self._data_centre = data_centre
        self._clock = clock
        self._publish = publish

    def on_row(self, row: Row) -> None:
        """Apply a row received by gossip."""
        replica = self._tables.replicas.get(row.key.name)
        if replica is None:
            return
        if row.key.kind is RowKind.LOAD:
            apply_load(replica, row.payload, now_s=self._clock.monotonic_s())
        elif row.key.kind is RowKind.LEAVING:
            replica.leaving = row.payload == b"1"

    def note_leaving(self, name: str) -> None:
        """Mark a backend server as leaving and publish that to the peers."""
        replica = self._tables.replicas.get(name)
        if replica is None or replica.leaving:
            return
        replica.leaving = True
        _log.info("backend_server_leaving", peer=name)
        self._publish_leaving(name, leaving=True)

    def _publish_leaving(self, name: str, *, leaving: bool) -> None:
        version = int(self._clock.wall_s() * 1000)
        payload = b"1" if leaving else b"0"
        self._publish(Row(RowKey(RowKind.LEAVING, name), version, payload))

    async def poll(self) -> None:
        """Poll the replicas of this entry VM and update the demand."""
        now_s = self._clock.monotonic_s
        for row in await self._poller.poll_all(self._data_centre):
            replica = self._tables.replicas.get(row.key.name)
            if replica is None:
                continue
            apply_load(replica, row.payload, now_s=now_s())
            self._publish(row)
            self._note_report(row)
        replicas = self._tables.replicas.values()
        smooth_demand(self._tables.demand, replicas, weight=DEMAND_WEIGHT)

    def _note_report(self, row: Row) -> None:
        leaving = reported_leaving(row.payload)
        replica = self._tables.replicas[row.key.name]
        if leaving is True:
            self.note_leaving(row.key.name)
        elif (
            leaving is False
            and replica.leaving
            and row.key.name not in self._tables.leaving_vms
        ):
            replica.leaving = False
            self._publish_leaving(row.key.name, leaving=False)

    async def read_vms(self) -> None:
        """Read the platform's VM list; keep the last one if the call fails."""
        try:
            self.vms = await self._platform.vms()
        except (StoreError, ValueError):
            return
        self.ever_listed |= self.vms.keys()
        leaving = {n for n, state in self.vms.items() if state is VmState.LEAVING}
        self._tables.leaving_vms = leaving
        for name in leaving & self._tables.replicas.keys():
            self.note_leaving(name)
