"""Carry out a data centre's placement: claim, reserve, order, release.

Runs on whichever entry VM holds the data centre's lease. The decisions are in
`placement` and `ledger`; here are the store's and the engines' answers.
"""

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import UTC, datetime

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
    promised_bytes,
    releasable,
    release,
    reserve,
)
from rosepath.logs import get_logger
from rosepath.placement import (
    EngineView,
    PlacementPolicy,
    PlacementView,
    Plan,
    plan,
)
from rosepath.platform import ConflictError, PlatformPort, StoreError
from rosepath.rates import TokenBucket
from rosepath.settings import PlacementSettings
from rosepath.tables import (
    Move,
    MoveAction,
    MoveRecord,
    Replica,
    Tables,
)

ANCHORS_NAME = "placement/anchors"
FRESH_REPORT_S = 3.0
REMOTE_STALE_S = 30.0
ANCHORS_READ_S = 2.0
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


class Placer:
    """Hold the ledgers of a data centre's engines while holding its lease."""

    def __init__(self, ports: PlacerPorts) -> None:
        self._ports = ports
        self.rows: dict[str, EngineRow] = {}
        self.anchors: dict[str, str] = {}
        self._anchors_version = 0
        self._anchors_read_s = -1e9
        self._loads = TokenBucket(rate_per_s=1.0, burst=1)
        self.frozen = False
        self.last_plan = Plan({}, ())

    def drop(self) -> None:
        """Forget everything held under a lease that is gone."""
        self.rows.clear()
        self._anchors_version = 0

    async def tick(self) -> None:
        """Take one round: reports, claims, releases, then moves."""
        self.frozen = not self._ports.holds_lease()
        if self.frozen and not self._may_go_on():
            self.drop()
            return
        try:
            await self._round()
        except StoreError as error:
            _log.info("placement_paused", step="store", error=str(error))

    def _may_go_on(self) -> bool:
        """Tell whether ordering may go on though the lease can't be renewed.

        Nobody else can take the lease while the store is down for all, and
        an engine that checks fencing numbers would refuse a late loser. What
        was reserved meanwhile is written once the store is back.
        """
        held = any(row.claimed and row.fence_noted for row in self.rows.values())
        return held and not self._ports.store_reachable()

    async def _round(self) -> None:
        self._sync_rows()
        if not self.frozen:
            await self._read_anchors()
        await asyncio.gather(*(self._update(row) for row in self.rows.values()))
        await self._store_anchors(plan(self.view(), self.policy()).anchors)
        self.last_plan = plan(self.view(), self.policy())
        await self._carry_out(self.last_plan)

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

    def policy(self) -> PlacementPolicy:
        """Return the policy in force at this hour."""
        settings = self._ports.settings
        hour = datetime.fromtimestamp(self._ports.clock.wall_s(), UTC).hour
        windows = self._ports.configuration().table("quiet_window").values()
        quiet = any(_in_window(hour, w.from_hour, w.to_hour) for w in windows)
        return PlacementPolicy(
            move_cost_s=settings.move_cost_s,
            horizon_s=settings.horizon_s,
            extras_allowed=not quiet,
        )

    # Anchors

    async def _read_anchors(self) -> None:
        now_s = self._ports.clock.monotonic_s()
        if self._anchors_version and now_s - self._anchors_read_s < ANCHORS_READ_S:
            return
        self._anchors_read_s = now_s
        stored = await self._ports.platform.get(ANCHORS_NAME)
        if stored is None:
            self.anchors, self._anchors_version = {}, 0
            return
        self.anchors = {str(k): str(v) for k, v in json.loads(stored.value).items()}
        self._anchors_version = stored.version

    async def _store_anchors(self, wanted: Mapping[str, str]) -> None:
        """Move protected copies by conditional update, own engines' only."""
        merged = self._merge_anchors(wanted)
        if merged == self.anchors:
            return
        if self.frozen:
            self.anchors = merged
            return
        try:
            self._anchors_version = await self._ports.platform.put(
                ANCHORS_NAME,
                json.dumps(merged, sort_keys=True).encode(),
                expected_version=self._anchors_version,
            )
            self.anchors = merged
        except ConflictError:
            self._anchors_version = 0
            await self._read_anchors()
        except StoreError:
            self._anchors_version = 0
            raise

    def _merge_anchors(self, wanted: Mapping[str, str]) -> dict[str, str]:
        artifacts = self._ports.configuration().artifacts
        merged = {b: e for b, e in self.anchors.items() if b in artifacts}
        for base, engine in wanted.items():
            if engine in self.rows and self.rows[engine].claimed:
                merged[base] = engine
        return merged

    def forget_anchors(self) -> None:
        """Read the anchors again: another data centre changed them."""
        self._anchors_version = 0

    # Ledgers and reports

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
            row.report = await self._ports.backend.report(server.address)
            row.reported_at_s = self._ports.clock.monotonic_s()
        except ExchangeError:
            if now_s - row.reported_at_s > FRESH_REPORT_S:
                row.report = None

    def _needs_report(self, row: EngineRow, now_s: float) -> bool:
        """Tell whether an engine with orders under way, or a stale one, is due."""
        if now_s - row.reported_at_s > FRESH_REPORT_S / 2:
            return True
        if row.report is None or not row.fence_noted:
            return True
        ready = row.report.engine.resident
        return any(
            target not in ready or held.action is MoveAction.UNLOAD
            for target, held in row.ledger.reservations.items()
        )

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
            row.fence_noted = not self._fences(row)
            row.next_number = 0

    def _fences(self, row: EngineRow) -> bool:
        return self._ports.configuration().engines[row.name].fences

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
        return True

    async def _settle(self, row: EngineRow) -> None:
        """Release what is free, resend what got lost, record what is done."""
        assert row.report is not None
        now_s = self._ports.clock.wall_s()
        free = releasable(
            row.ledger,
            row.report.engine,
            fences=self._fences(row) and row.fence_noted,
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

    # Moves

    def view(self) -> PlacementView:
        """Build the planner's view from ledgers, reports and load rows."""
        return self.predicted_view(self._ports.configuration())

    def predicted_view(self, configuration: Configuration) -> PlacementView:
        """Build the view as it would be under another configuration."""
        adapters: dict[str, dict[str, int]] = {}
        for target, adapter in configuration.adapter_targets.items():
            adapters.setdefault(adapter.model, {})[target] = adapter.memory_bytes
        engines = {}
        now_s = self._ports.clock.monotonic_s()
        for name, server in configuration.engines.items():
            replica = self._ports.tables.replicas.get(name)
            if replica is None:
                continue
            view = (
                self._own_view(self.rows[name], replica)
                if name in self.rows
                else _remote_view(replica, configuration, now_s)
            )
            view.draining |= name in configuration.table("drain")
            view.data_centre = server.data_centre
            engines[name] = view
        return PlacementView(
            engines=engines,
            artifacts=configuration.artifacts,
            adapters=adapters,
            anchors=self.anchors,
            demand=dict(self._ports.tables.demand),
            pins={n: m.pinned_to for n, m in configuration.models.items()},
        )

    def _own_view(self, row: EngineRow, replica: Replica) -> EngineView:
        report = row.report
        if report is None or not row.claimed:
            return EngineView(
                name=row.name,
                data_centre=replica.data_centre,
                memory_bytes=replica.memory_bytes,
                free_bytes=0,
                slots=replica.slots,
                usable=False,
                ready=replica.resident if replica.reachable else frozenset(),
            )
        unloading = {
            target
            for target, held in row.ledger.reservations.items()
            if held.action is MoveAction.UNLOAD
        } | report.closing
        ready = frozenset(report.engine.resident)
        coming = frozenset(row.ledger.reservations) - ready - unloading
        return EngineView(
            name=row.name,
            data_centre=replica.data_centre,
            memory_bytes=report.engine.memory_bytes,
            free_bytes=report.engine.memory_bytes
            - promised_bytes(row.ledger, report.engine),
            slots=report.slots,
            draining=replica.leaving or report.engine.leaving,
            ready=ready,
            coming=coming,
            leaving_targets=frozenset(unloading),
        )

    async def _carry_out(self, wanted: Plan) -> None:
        for move in wanted.moves:
            row = self.rows.get(move.backend_server)
            if row is None or not row.claimed or row.report is None:
                continue
            if self.frozen and not (self._fences(row) and row.fence_noted):
                continue
            if move.action is MoveAction.UNLOAD:
                if not self.frozen:
                    await self._unload(row, move)
            elif self._load_allowed(move):
                await self._load(row, move)

    def _load_allowed(self, move: Move) -> bool:
        """Keep to this data centre's part of the weight store's limits."""
        settings = self._ports.settings
        engines = self._ports.configuration().engines.values()
        parts = max(1, len({engine.data_centre for engine in engines}))
        parallel = max(1, settings.parallel_loads // parts)
        if self._loading_now() >= parallel:
            return False
        self._loads.rate_per_s = settings.loads_per_s / parts
        return self._loads.take(self._ports.clock.monotonic_s()) <= 0

    def _loading_now(self) -> int:
        return sum(
            target not in row.report.engine.resident
            for row in self.rows.values()
            if row.report is not None
            for target, held in row.ledger.reservations.items()
            if held.action is MoveAction.LOAD
        )

    async def _load(self, row: EngineRow, move: Move) -> None:
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
                    return
            case Result(error=problem):
                _log.debug("load_waits", peer=row.name, reason=problem)
                return
        await self._send(row, "load", move.target, move.memory_bytes, identity)
        self._record(move)

    async def _unload(self, row: EngineRow, move: Move) -> None:
        assert row.report is not None
        if move.target not in row.ledger.reservations:
            row.ledger = adopt(
                row.ledger, row.report.engine, at_s=self._ports.clock.wall_s()
            )
        held = row.ledger.reservations.get(move.target)
        if held is None or held.action is MoveAction.UNLOAD:
            return
        if not await self._anchor_is_elsewhere(move):
            return
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
        if await self._write(row, ledger):
            await self._send(row, "unload", move.target, 0, identity)
            self._record(move)

    async def _anchor_is_elsewhere(self, move: Move) -> bool:
        """Check against the store that this is not the protected copy.

        Only a data centre's own holder anchors onto its engines, so between
        this read and the unload nobody else can make this copy the anchor.
        """
        known = dict(self.anchors)
        self.forget_anchors()
        await self._read_anchors()
        return self.anchors == known and (
            self.anchors.get(move.target) != move.backend_server
        )

    def _record(self, move: Move) -> None:
        now_s = self._ports.clock.wall_s()
        self._ports.tables.moves.append(
            MoveRecord(at_s=now_s, move=move, outcome="ordered")
        )
        _log.info(
            "move",
            step="placement",
            peer=move.backend_server,
            action=move.action,
            target=move.target,
            reason=move.reason,
        )

    async def _send(
        self, row: EngineRow, action: str, target: str, memory_bytes: int, identity: str
    ) -> None:
        """Send one order, if this node may still give orders right now."""
        # A pause between deciding and sending may have outlived the lease:
        # asked here, once more, right before the bytes leave.
        allowed = self._ports.holds_lease() or (
            self.frozen and self._may_go_on() and self._fences(row)
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


def _remote_view(
    replica: Replica, configuration: Configuration, now_s: float
) -> EngineView:
    """View an engine of another data centre by its gossiped load row."""
    sizes = {
        **configuration.artifacts,
        **{t: a.memory_bytes for t, a in configuration.adapter_targets.items()},
    }
    # Silence is no proof of loss: a data centre that just started, or whose
    # reports are on their way, keeps its copies until it is silent for long.
    heard_at_s = replica.reported_at_s or replica.known_since_s
    used = sum(sizes.get(target, 0) for target in replica.resident)
    return EngineView(
        name=replica.name,
        data_centre=replica.data_centre,
        memory_bytes=replica.memory_bytes,
        free_bytes=replica.memory_bytes - used,
        slots=replica.slots,
        usable=replica.reachable and now_s - heard_at_s < REMOTE_STALE_S,
        draining=replica.leaving,
        ready=replica.resident,
    )


def _is_part(target: str, unloaded: str) -> bool:
    return target == unloaded or target.startswith(unloaded + ":")


def _in_window(hour: int, from_hour: int, to_hour: int) -> bool:
    if from_hour <= to_hour:
        return from_hour <= hour < to_hour
    return hour >= from_hour or hour < to_hour
