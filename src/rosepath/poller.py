"""Poll load reports; two entry VMs poll each replica and gossip the rows."""

import asyncio
from collections.abc import Iterable

from google.protobuf.message import DecodeError

from rosepath.backend import BackendPort, LoadReport
from rosepath.clock import Clock
from rosepath.configuration import Configuration, base_of
from rosepath.errors import ExchangeError
from rosepath.gossip import Row, RowKey, RowKind
from rosepath.proto.rosepath_pb2 import LoadPayload
from rosepath.rendezvous import top
from rosepath.roles import local_members
from rosepath.tables import Replica, Tables

POLLERS = 2
MAX_LAG_S = 10.0
UNREACHABLE_AFTER = 2


def polled_by(me: str, replica: str, members: Iterable[str]) -> bool:
    """Return whether an entry VM is one of the two that poll a replica."""
    return me in top(f"poll/{replica}", members, POLLERS)


def sync_replicas(
    tables: Tables, configuration: Configuration, *, now_s: float
) -> None:
    """Update the replicas to match the declared backend servers."""
    declared = configuration.backend_servers
    for name in tables.replicas.keys() - declared.keys():
        del tables.replicas[name]
    for name, server in declared.items():
        row = tables.replicas.get(name)
        if row is None:
            row = Replica(name=name, first_seen_s=now_s)
            tables.replicas[name] = row
        row.data_centre = server.data_centre
        row.address = server.address
        row.service = server.service
        row.draining = name in configuration.table("drain")
        row.memory_bytes = server.memory_bytes
        if server.service:
            row.resident = frozenset({server.service})


def load_row(name: str, report: LoadReport, *, wall_s: float) -> Row:
    """Encode a report; its version is the backend server's own clock."""
    lag_s = min(max(0.0, wall_s - report.at_s), MAX_LAG_S)
    targets = sorted(report.running_by_target)
    payload = LoadPayload(
        running=report.running,
        queued=report.queued,
        slots=report.slots,
        memory_bytes=report.engine.memory_bytes,
        leaving=report.engine.leaving,
        resident=sorted(report.engine.resident.keys() - report.closing),
        report_lag_ms=int(lag_s * 1000),
        reachable=True,
        running_models=targets,
        running_counts=[report.running_by_target[t] for t in targets],
    )
    key = RowKey(RowKind.LOAD, name)
    return Row(key, int(report.at_s * 1000), payload.SerializeToString())


def unreachable_row(name: str, *, version: int) -> Row:
    """Return the row of a backend server that cannot be reached."""
    payload = LoadPayload(reachable=False)
    return Row(RowKey(RowKind.LOAD, name), version, payload.SerializeToString())


def apply_load(replica: Replica, payload: bytes, *, now_s: float) -> bool:
    """Apply a load row to a replica; return False if it cannot be decoded."""
    message = LoadPayload()
    try:
        message.ParseFromString(payload)
    except DecodeError:
        return False
    if not message.reachable:
        replica.reachable = False
        return True
    replica.reachable = True
    replica.slots = max(1, message.slots)
    replica.note_report(
        running=message.running,
        queued=message.queued,
        at_s=now_s - message.report_lag_ms / 1000,
    )
    replica.running_by_target = dict(
        zip(message.running_models, message.running_counts, strict=False)
    )
    if not replica.service:
        replica.resident = frozenset(message.resident)
        replica.memory_bytes = message.memory_bytes or replica.memory_bytes
    return True


def reported_leaving(payload: bytes) -> bool | None:
    """Return whether the reported server is leaving; None if unreachable."""
    message = LoadPayload.FromString(payload)
    return message.leaving if message.reachable else None


def smooth_demand(
    demand: dict[str, float], replicas: Iterable[Replica], *, weight: float
) -> None:
    """Update the moving average of each base model's demand.

    Demand is the number of running and queued requests; `weight` is that of
    the current value.
    """
    load_by_base: dict[str, float] = {}
    for replica in replicas:
        total = max(1, sum(replica.running_by_target.values()))
        for target, running in replica.running_by_target.items():
            base = base_of(target)
            queued = replica.queued * running / total
            load_by_base[base] = load_by_base.get(base, 0.0) + running + queued
    for base in {*demand, *load_by_base}:
        previous = demand.get(base, 0.0)
        new = previous + weight * (load_by_base.get(base, 0.0) - previous)
        if new < 0.01 and base not in load_by_base:
            del demand[base]
        else:
            demand[base] = new


class Poller:
    """Poll the replicas assigned to this entry VM.

    Owns the count of consecutive failed polls of each replica; a replica is
    published as unreachable after UNREACHABLE_AFTER of them.
    """

    def __init__(
        self, tables: Tables, backend: BackendPort, *, me: str, clock: Clock
    ) -> None:
        self._tables = tables
        self._backend = backend
        self._me = me
        self._clock = clock
        self._failures: dict[str, int] = {}
        self._versions: dict[str, int] = {}
        self._assigned_on: tuple[frozenset[str], frozenset[str]] | None = None
        self._assigned: list[str] = []

    def due(self, data_centre: str) -> list[Replica]:
        """Return the replicas that this entry VM polls.

        The assignment hashes each replica with each member, so it is cached
        until a replica or member is added or removed.
        """
        replicas = self._tables.replicas
        members = local_members(self._tables.entry_vms, data_centre)
        basis = (frozenset(members), frozenset(replicas))
        if basis != self._assigned_on:
            self._assigned_on = basis
            self._assigned = [
                name
                for name, replica in replicas.items()
                if replica.data_centre == data_centre
                and polled_by(self._me, name, members)
            ]
        return [replicas[name] for name in self._assigned]

    async def poll(self, replica: Replica) -> Row | None:
        """Poll one replica; return the row to publish, if any."""
        try:
            report = await self._backend.report(replica.address)
        except ExchangeError:
            failures = self._failures.get(replica.name, 0) + 1
            self._failures[replica.name] = failures
            if failures < UNREACHABLE_AFTER:
                return None
            version = self._versions.get(replica.name, 0) + 1
            return unreachable_row(replica.name, version=version)
        self._failures.pop(replica.name, None)
        row = load_row(replica.name, report, wall_s=self._clock.wall_s())
        self._versions[replica.name] = row.version
        return row

    async def poll_all(self, data_centre: str) -> list[Row]:
        """Poll all assigned replicas concurrently."""
        rows = await asyncio.gather(*(self.poll(r) for r in self.due(data_centre)))
        return [row for row in rows if row is not None]
