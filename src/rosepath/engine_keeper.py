"""Keep one data centre's engines: claim, reserve, order, release.

Each engine has a ledger in the store. The decisions are in `ledger`; here are
the store's and the engines' answers, lost replies and lost orders among them.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Result

from rosepath.backend import (
    BackendPort,
    LoadReport,
    Order,
    StaleFenceError as StaleFence,
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
    mark_unloading,
    order_id,
    releasable,
    release,
    reserve,
)
from rosepath.logs import get_logger
from rosepath.object_store import ConflictError, PlatformPort, StoreError
from rosepath.settings import PlacementSettings
from rosepath.tables import Move, MoveAction, Tables

FRESH_REPORT_S = 3.0
RESEND_AFTER_S = 1.0

_log = get_logger()


@dataclass(slots=True)
class EngineRow:
    """Hold what the placement holder knows of one engine of its own."""

    name: str
    version: int = 0
    ledger: Ledger = field(default_factory=Ledger)
    claimed: bool = False
    fence_noted: bool = False
    dirty: bool = False
    report: LoadReport | None = None
    reported_at_s: float = -1e9
    sent_at_s: dict[str, float] = field(default_factory=dict)
    next_number: int = 0


@dataclass(slots=True, kw_only=True)
class PlacerPorts:
    """Hold what the placer works with."""

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
    """Hold the rows of a data centre's engines while holding its lease."""

    def __init__(self, ports: PlacerPorts) -> None:
        self.rows: dict[str, EngineRow] = {}
        self.frozen = False
        self.changes = 0
        self._ports = ports

    def fences(self, row: EngineRow) -> bool:
        """Tell whether an engine checks fencing numbers."""
        return self._ports.configuration().engines[row.name].fences

    def may_go_on(self) -> bool:
        """Tell whether ordering may go on though the lease can't be renewed.

        Nobody else can take the lease while the store is down for all, and
        an engine that checks fencing numbers would refuse a late loser. What
        was reserved meanwhile is written once the store is back.
        """
        held = any(row.claimed and row.fence_noted for row in self.rows.values())
        return held and not self._ports.store_reachable()

    async def update_all(self) -> None:
        """Bring every row up to date with its engine and its ledger."""
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
    def loading(self) -> int:
        """Return how many loads are under way."""
        return sum(
            target not in row.report.engine.resident
            for row in self.rows.values()
            if row.report is not None
            for target, held in row.ledger.reservations.items()
            if held.action is MoveAction.LOAD
        )

    async def _update(self, row: EngineRow) -> None:
        """Bring one engine's row up to date and release what is free."""
        await self._fetch_report(row)
        if row.report is None:
            return
        if not row.claimed and not self.frozen:
            await self._claim(row)
        if not row.claimed:
            return
        await self._note_fence(row)
        if row.dirty and not self.frozen:
            await self._write(row, row.ledger)
        await self._settle(row)

    async def _fetch_report(self, row: EngineRow) -> None:
        now_s = self._ports.clock.monotonic_s()
        if row.report and not self._needs_report(row, now_s):
            return
        server = self._ports.configuration().engines[row.name]
        try:
            report = await self._ports.backend.report(server.address)
            self._note_change(row, report)
            row.report = report
            row.reported_at_s = self._ports.clock.monotonic_s()
        except ExchangeError:
            if row.report and now_s - row.reported_at_s > FRESH_REPORT_S:
                row.report = None
                self.changes += 1

    def _note_change(self, row: EngineRow, report: LoadReport) -> None:
        old = row.report
        if old is None or old.engine.held != report.engine.held:
            self.changes += 1

    def _needs_report(self, row: EngineRow, now_s: float) -> bool:
        """Tell whether an engine with orders under way, or a stale one, is due."""
        if row.report is None or not row.fence_noted:
            return True
        ready = row.report.engine.resident
        under_way = any(
            target not in ready or held.action is MoveAction.UNLOAD
            for target, held in row.ledger.reservations.items()
        )
        if under_way:
            return True
        self._take_gossiped(row)
        return now_s - row.reported_at_s > FRESH_REPORT_S / 2

    def _take_gossiped(self, row: EngineRow) -> None:
        """Let the pollers' row stand for a report while it says the same.

        Asking every engine of a data centre again would cost the holder more
        than all else; a row that differs makes it ask.
        """
        assert row.report is not None
        replica = self._ports.tables.replicas.get(row.name)
        if replica is None or replica.reported_at_s is None or not replica.reachable:
            return
        if replica.resident == row.report.engine.resident.keys() - row.report.closing:
            row.reported_at_s = max(row.reported_at_s, replica.reported_at_s)

    async def _claim(self, row: EngineRow) -> None:
        """Take an engine's ledger over under a higher fencing number."""
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
            row.fence_noted = not self.fences(row)
            row.next_number = 0

    async def _note_fence(self, row: EngineRow) -> None:
        """Make an engine that checks fencing numbers note this holder's."""
        assert row.report is not None
        if row.fence_noted:
            return
        if row.report.engine.fence >= row.ledger.fence:
            row.fence_noted = row.report.engine.fence == row.ledger.fence
            row.claimed = row.fence_noted
            now_s = self._ports.clock.wall_s()
            row.ledger = adopt(row.ledger, row.report.engine, at_s=now_s)
            return
        await self._send(row, "claim", "", 0, f"{row.ledger.fence}.claim")

    async def _write(self, row: EngineRow, ledger: Ledger) -> bool:
        """Store a ledger; False if another holder has it now."""
        if self.frozen:
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
        self.changes += 1
        return True

    async def _settle(self, row: EngineRow) -> None:
        """Release what is free, resend what got lost, record what is done."""
        assert row.report is not None
        now_s = self._ports.clock.wall_s()
        free = releasable(
            row.ledger,
            row.report.engine,
            fences=self.fences(row) and row.fence_noted,
            now_s=now_s,
            late_order_bound_s=self._ports.settings.late_order_bound_s,
        )
        if free:
            self._record_ends(row, free)
            if not await self._write(row, release(row.ledger, free)):
                return
        await self._resend_lost(row)

    def _record_ends(self, row: EngineRow, free: frozenset[str]) -> None:
        for target in free:
            held = row.ledger.reservations[target]
            row.sent_at_s.pop(held.order_id, None)
            if held.action is MoveAction.LOAD:
                _log.warning("load_ended_unloaded", peer=row.name, target=target)

    async def _resend_lost(self, row: EngineRow) -> None:
        """Send an order again, under its own id, until the engine knows it."""
        assert row.report is not None
        now_s = self._ports.clock.monotonic_s()
        for target, held in list(row.ledger.reservations.items()):
            sent_s = row.sent_at_s.get(held.order_id)
            if sent_s is None or held.order_id in row.report.engine.orders:
                continue
            if now_s - sent_s > RESEND_AFTER_S and row.reported_at_s > sent_s:
                await self._send(
                    row, held.action.value, target, held.memory_bytes, held.order_id
                )

    async def load(self, row: EngineRow, move: Move) -> bool:
        """Reserve memory, then order a load; False if it has to wait."""
        assert row.report is not None
        row.next_number += 1
        identity = order_id(
            fence=row.ledger.fence, number=row.next_number, target=move.target
        )
        match reserve(
            row.ledger,
            row.report.engine,
            target=move.target,
            memory_bytes=move.memory_bytes,
            order_id=identity,
            at_s=self._ports.clock.wall_s(),
        ):
            case Result(tag="ok", ok=ledger):
                if not await self._write(row, ledger):
                    return False
            case Result(error=problem):
                _log.debug("load_waits", peer=row.name, reason=problem)
                return False
        await self._send(row, "load", move.target, move.memory_bytes, identity)
        return True

    async def unload(self, row: EngineRow, move: Move) -> bool:
        """Mark a target as unloading, then order it; False if it is not there."""
        assert row.report is not None
        if move.target not in row.ledger.reservations:
            row.ledger = adopt(
                row.ledger, row.report.engine, at_s=self._ports.clock.wall_s()
            )
        held = row.ledger.reservations.get(move.target)
        if held is None or held.action is MoveAction.UNLOAD:
            return False
        row.next_number += 1
        identity = order_id(
            fence=row.ledger.fence, number=row.next_number, target=move.target
        )
        now_s = self._ports.clock.wall_s()
        ledger = row.ledger
        for target in [t for t in ledger.reservations if _is_part(t, move.target)]:
            ledger = mark_unloading(
                ledger, target=target, order_id=identity, at_s=now_s
            )
        if not await self._write(row, ledger):
            return False
        await self._send(row, "unload", move.target, 0, identity)
        return True

    async def _send(
        self, row: EngineRow, action: str, target: str, memory_bytes: int, identity: str
    ) -> None:
        """Send one order, if this node may still give orders right now."""
        # A pause between deciding and sending may have outlived the lease:
        # asked here, once more, right before the bytes leave.
        allowed = self._ports.holds_lease() or (
            self.frozen and self.may_go_on() and self.fences(row)
        )
        if not allowed:
            return
        row.sent_at_s[identity] = self._ports.clock.monotonic_s()
        server = self._ports.configuration().engines[row.name]
        order = Order(
            order_id=identity,
            fence=row.ledger.fence,
            action=action,
            target=target,
            memory_bytes=memory_bytes,
        )
        try:
            await self._ports.backend.order(server.address, order)
        except StaleFence:
            row.claimed = row.fence_noted = False
        except ExchangeError as error:
            _log.warning(
                "order_unanswered", step="order", peer=row.name, error=str(error)
            )


def _is_part(target: str, unloaded: str) -> bool:
    return target == unloaded or target.startswith(unloaded + ":")
