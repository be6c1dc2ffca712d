"""Claim one data centre's engines, reserve memory, send and track orders.

Each engine has a ledger in the store. `ledger` has the pure rules; this module
does the I/O with the store and the engines and handles lost responses and
lost orders.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Result

from rosepath.backend import (
    BackendPort,
    LoadReport,
    Order,
    StaleFenceError,
)
from rosepath.clock import Clock
from rosepath.configuration import Configuration
from rosepath.errors import ExchangeError
from rosepath.ledger import (
    Ledger,
    adopt,
    claim,
    decode_ledger,
    encode_ledger,
    format_order_id,
    mark_unloading,
    releasable,
    release,
    reserve,
)
from rosepath.logs import get_logger
from rosepath.object_store import ConflictError, PlatformPort, StoreError
from rosepath.settings import PlacementSettings
from rosepath.tables import Move, MoveAction, Tables

REPORT_MAX_AGE_S = 3.0
RESEND_AFTER_S = 1.0

_log = get_logger()


@dataclass(slots=True)
class EngineRow:
    """Hold the state of one engine of this data centre.

    `claimed` is set once the ledger is stored with this VM as its holder,
    `fence_confirmed` once the engine has the ledger's fencing token or if it
    does not check tokens. `dirty` ledgers are to be stored when the store is
    reachable again; `sent_at_s` maps order ids to the time of the last send.
    """

    name: str
    version: int = 0
    ledger: Ledger = field(default_factory=Ledger)
    claimed: bool = False
    fence_confirmed: bool = False
    dirty: bool = False
    report: LoadReport | None = None
    reported_at_s: float = -1e9
    sent_at_s: dict[str, float] = field(default_factory=dict)
    last_order_number: int = 0


@dataclass(slots=True, kw_only=True)
class PlacerPorts:
    """Hold the dependencies of the placer and the engine keeper."""

    settings: PlacementSettings
    data_centre: str
    me: str
    tables: Tables
    configuration: Callable[[], Configuration]
    platform: PlatformPort
    backend: BackendPort
    clock: Clock
    holds_lease: Callable[[], bool]
    store_reachable: Callable[[], bool]


class EngineKeeper:
    """Own the rows of a data centre's engines for the holder of its lease.

    `without_lease` is set by the placer: ledgers are then changed in memory
    only. `change_count` grows with every change that may need a new plan.
    """

    def __init__(self, ports: PlacerPorts) -> None:
        self.rows: dict[str, EngineRow] = {}
        self.without_lease = False
        self.change_count = 0
        self._ports = ports

    def fences(self, row: EngineRow) -> bool:
        """Return whether an engine checks fencing tokens."""
        return self._ports.configuration().engines[row.name].fences

    def may_order_without_lease(self) -> bool:
        """Return whether orders are allowed while the lease cannot be renewed.

        No other VM can acquire the lease while the store is down for all, and
        an engine that checks fencing tokens rejects orders of a previous
        holder. Reservations made meanwhile are stored once the store is
        reachable again.
        """
        can_order = any(
            row.claimed and row.fence_confirmed for row in self.rows.values()
        )
        return can_order and not self._ports.store_reachable()

    async def update_all(self) -> None:
        """Update every row from its engine's report and its ledger."""
        self._sync_rows()
        await asyncio.gather(*(self._update(row) for row in self.rows.values()))

    def _sync_rows(self) -> None:
        own = {
            name
            for name, server in self._ports.configuration().engines.items()
            if server.data_centre == self._ports.data_centre
        }
        for name in self.rows.keys() - own:
            del self.rows[name]
        for name in own - self.rows.keys():
            self.rows[name] = EngineRow(name)

    @property
    def loads_in_progress(self) -> int:
        """Return how many loads are reserved but not yet resident."""
        return sum(
            target not in row.report.engine.resident
            for row in self.rows.values()
            if row.report is not None
            for target, reservation in row.ledger.reservations.items()
            if reservation.action is MoveAction.LOAD
        )

    async def _update(self, row: EngineRow) -> None:
        """Update one engine's row and release reservations that have ended."""
        await self._fetch_report(row)
        if row.report is None:
            return
        if not row.claimed and not self.without_lease:
            await self._claim(row)
        if not row.claimed:
            return
        await self._confirm_fence(row)
        if row.dirty and not self.without_lease:
            await self._write(row, row.ledger)
        await self._reconcile(row)

    async def _fetch_report(self, row: EngineRow) -> None:
        now_s = self._ports.clock.monotonic_s()
        if row.report and not self._needs_report(row, now_s):
            return
        server = self._ports.configuration().engines[row.name]
        try:
            report = await self._ports.backend.report(server.address)
            self._count_change(row, report)
            row.report = report
            row.reported_at_s = self._ports.clock.monotonic_s()
        except ExchangeError:
            if row.report and now_s - row.reported_at_s > REPORT_MAX_AGE_S:
                row.report = None
                self.change_count += 1

    def _count_change(self, row: EngineRow, report: LoadReport) -> None:
        old = row.report
        if old is None or old.engine.memory_by_target != report.engine.memory_by_target:
            self.change_count += 1

    def _needs_report(self, row: EngineRow, now_s: float) -> bool:
        """Return whether an order is in progress or the report is too old."""
        if row.report is None or not row.fence_confirmed:
            return True
        ready = row.report.engine.resident
        under_way = any(
            target not in ready or reservation.action is MoveAction.UNLOAD
            for target, reservation in row.ledger.reservations.items()
        )
        if under_way:
            return True
        self._refresh_from_gossip(row)
        return now_s - row.reported_at_s > REPORT_MAX_AGE_S / 2

    def _refresh_from_gossip(self, row: EngineRow) -> None:
        """Count a matching report of the pollers as a report to this VM.

        Polling every engine of the data centre again would be the holder's
        largest cost. If the pollers' report differs, the engine is polled.
        """
        assert row.report is not None
        replica = self._ports.tables.replicas.get(row.name)
        if replica is None or replica.reported_at_s is None or not replica.reachable:
            return
        if replica.resident == row.report.engine.resident.keys() - row.report.closing:
            row.reported_at_s = max(row.reported_at_s, replica.reported_at_s)

    async def _claim(self, row: EngineRow) -> None:
        """Take an engine's ledger over under a higher fencing token."""
        assert row.report is not None
        stored = await self._ports.platform.get(f"ledger/{row.name}")
        ledger = Ledger()
        version = 0
        if stored is not None:
            match decode_ledger(stored.value):
                case Result(tag="ok", ok=found):
                    ledger, version = found, stored.version
                case Result(error=problem):
                    _log.error("ledger_unreadable", peer=row.name, error=problem)
                    return
        row.version = version
        now_s = self._ports.clock.wall_s()
        taken = claim(ledger, row.report.engine, holder=self._ports.me)
        taken = adopt(taken, row.report.engine, at_s=now_s)
        if await self._write(row, taken):
            row.claimed = True
            row.fence_confirmed = not self.fences(row)
            row.last_order_number = 0

    async def _confirm_fence(self, row: EngineRow) -> None:
        """Send this holder's fencing token to an engine that checks tokens.

        If the engine reports a higher token, the claim is lost.
        """
        assert row.report is not None
        if row.fence_confirmed:
            return
        if row.report.engine.fence >= row.ledger.fence:
            row.fence_confirmed = row.report.engine.fence == row.ledger.fence
            row.claimed = row.fence_confirmed
            now_s = self._ports.clock.wall_s()
            row.ledger = adopt(row.ledger, row.report.engine, at_s=now_s)
            return
        await self._send(row, "claim", "", 0, f"{row.ledger.fence}.claim")

    async def _write(self, row: EngineRow, ledger: Ledger) -> bool:
        """Store a ledger; return False if another holder has changed it.

        Without the lease, the ledger is kept in memory and stored later. If
        the outcome of a write is unknown, the stored value decides.
        """
        if self.without_lease:
            row.ledger, row.dirty = ledger, True
            return True
        name = f"ledger/{row.name}"
        value = encode_ledger(ledger)
        try:
            row.version = await self._ports.platform.put(
                name, value, expected_version=row.version
            )
        except ConflictError:
            row.claimed = row.dirty = False
            return False
        except StoreError as error:
            if not error.unknown:
                raise
            stored = await self._ports.platform.get(name)
            if stored is None or stored.value != value:
                row.claimed = False
                return False
            row.version = stored.version
        row.ledger, row.dirty = ledger, False
        self.change_count += 1
        return True

    async def _reconcile(self, row: EngineRow) -> None:
        """Release reservations that have ended and send lost orders again."""
        assert row.report is not None
        now_s = self._ports.clock.wall_s()
        ended = releasable(
            row.ledger,
            row.report.engine,
            fences=self.fences(row) and row.fence_confirmed,
            now_s=now_s,
            late_order_bound_s=self._ports.settings.late_order_bound_s,
        )
        if ended:
            self._forget_ended_orders(row, ended)
            if not await self._write(row, release(row.ledger, ended)):
                return
        await self._resend_lost_orders(row)

    def _forget_ended_orders(self, row: EngineRow, ended: frozenset[str]) -> None:
        for target in ended:
            reservation = row.ledger.reservations[target]
            row.sent_at_s.pop(reservation.order_id, None)
            if reservation.action is MoveAction.LOAD:
                _log.warning("load_ended_unloaded", peer=row.name, target=target)

    async def _resend_lost_orders(self, row: EngineRow) -> None:
        """Send orders again under their ids until the engine reports them."""
        assert row.report is not None
        now_s = self._ports.clock.monotonic_s()
        for target, reservation in list(row.ledger.reservations.items()):
            sent_s = row.sent_at_s.get(reservation.order_id)
            if sent_s is None or reservation.order_id in row.report.engine.orders:
                continue
            if now_s - sent_s > RESEND_AFTER_S and row.reported_at_s > sent_s:
                await self._send(
                    row,
                    reservation.action.value,
                    target,
                    reservation.memory_bytes,
                    reservation.order_id,
                )

    async def load(self, row: EngineRow, move: Move) -> bool:
        """Reserve memory and order a load; return False if it has to wait."""
        assert row.report is not None
        row.last_order_number += 1
        order_id = format_order_id(
            fence=row.ledger.fence, number=row.last_order_number, target=move.target
        )
        match reserve(
            row.ledger,
            row.report.engine,
            target=move.target,
            memory_bytes=move.memory_bytes,
            order_id=order_id,
            at_s=self._ports.clock.wall_s(),
        ):
            case Result(tag="ok", ok=ledger):
                if not await self._write(row, ledger):
                    return False
            case Result(error=problem):
                _log.debug("load_waits", peer=row.name, reason=problem)
                return False
        await self._send(row, "load", move.target, move.memory_bytes, order_id)
        return True

    async def unload(self, row: EngineRow, move: Move) -> bool:
        """Mark a target as unloading and order it; False if not loaded."""
        assert row.report is not None
        if move.target not in row.ledger.reservations:
            row.ledger = adopt(
                row.ledger, row.report.engine, at_s=self._ports.clock.wall_s()
            )
        reservation = row.ledger.reservations.get(move.target)
        if reservation is None or reservation.action is MoveAction.UNLOAD:
            return False
        row.last_order_number += 1
        order_id = format_order_id(
            fence=row.ledger.fence, number=row.last_order_number, target=move.target
        )
        now_s = self._ports.clock.wall_s()
        ledger = row.ledger
        for target in [
            t for t in ledger.reservations if _is_target_or_adapter(t, move.target)
        ]:
            ledger = mark_unloading(
                ledger, target=target, order_id=order_id, at_s=now_s
            )
        if not await self._write(row, ledger):
            return False
        await self._send(row, "unload", move.target, 0, order_id)
        return True

    async def _send(
        self, row: EngineRow, action: str, target: str, memory_bytes: int, order_id: str
    ) -> None:
        """Send one order if this VM is still allowed to at this moment."""
        # The lease may have expired during a pause of the process since the
        # decision, so it is checked again right before the order is sent.
        allowed = self._ports.holds_lease() or (
            self.without_lease and self.may_order_without_lease() and self.fences(row)
        )
        if not allowed:
            return
        row.sent_at_s[order_id] = self._ports.clock.monotonic_s()
        server = self._ports.configuration().engines[row.name]
        order = Order(
            order_id=order_id,
            fence=row.ledger.fence,
            action=action,
            target=target,
            memory_bytes=memory_bytes,
        )
        try:
            await self._ports.backend.order(server.address, order)
        except StaleFenceError:
            row.claimed = row.fence_confirmed = False
        except ExchangeError as error:
            _log.warning(
                "order_unanswered", step="order", peer=row.name, error=str(error)
            )


def _is_target_or_adapter(target: str, unloaded: str) -> bool:
    return target == unloaded or target.startswith(unloaded + ":")
