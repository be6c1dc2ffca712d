"""Plan a data centre's placement and carry the moves out.

Runs on whichever entry VM holds the data centre's lease. The planning itself
is in `placement`; engines and their ledgers are in `engine_keeper`.
"""

import json
from collections.abc import Mapping
from datetime import UTC, datetime

from rosepath.configuration import Configuration
from rosepath.engine_keeper import EngineKeeper, EngineRow, PlacerPorts
from rosepath.logs import get_logger
from rosepath.object_store import ConflictError, StoreError
from rosepath.placement import plan
from rosepath.placement_types import PlacementPolicy, PlacementView, Plan
from rosepath.placement_view import build_view
from rosepath.tables import Move, MoveAction, MoveRecord
from rosepath.token_bucket import TokenBucket

ANCHORS_NAME = "placement/anchors"
ANCHORS_READ_S = 2.0
PLAN_INTERVAL_S = 1.0

_log = get_logger()


class Placer:
    """Hold the anchors as last read, and place while holding the lease."""

    def __init__(self, ports: PlacerPorts) -> None:
        self._ports = ports
        self.keeper = EngineKeeper(ports)
        self.anchors: dict[str, str] = {}
        self._anchors_version = 0
        self._anchors_read_s = -1e9
        self._planned_on = (0, 0, 0)
        self._planned_at_s = -1e9
        self._loads = TokenBucket(rate_per_s=1.0, burst=1)

    async def tick(self) -> None:
        """Take one round: reports, claims, releases, then moves."""
        keeper = self.keeper
        keeper.frozen = not self._ports.holds_lease()
        if keeper.frozen and not keeper.may_go_on():
            keeper.rows.clear()
            self._anchors_version = 0
            return
        try:
            await self._round()
        except StoreError as error:
            _log.info("placement_paused", step="store", error=str(error))

    def _plan_is_due(self) -> bool:
        """Tell whether something of this data centre changed, or time passed.

        What changes elsewhere (demand, other data centres) may wait.
        """
        now_s = self._ports.clock.monotonic_s()
        version = self._ports.configuration().version
        basis = (self.keeper.changes, version, self._anchors_version)
        if basis == self._planned_on and now_s - self._planned_at_s < PLAN_INTERVAL_S:
            return False
        self._planned_on, self._planned_at_s = basis, now_s
        return True

    async def _round(self) -> None:
        if not self.keeper.frozen:
            await self._read_anchors()
        await self.keeper.update_all()
        if not self._plan_is_due():
            return
        wanted = plan(self.view(), self.policy())
        if await self._store_anchors(wanted.anchors):
            wanted = plan(self.view(), self.policy())
        await self._carry_out(wanted)

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

    async def _store_anchors(self, wanted: Mapping[str, str]) -> bool:
        """Move protected copies by conditional update, own engines' only.

        Return whether the anchors changed.
        """
        merged = self._merge_anchors(wanted)
        if merged == self.anchors:
            return False
        if self.keeper.frozen:
            self.anchors = merged
            return True
        try:
            self._anchors_version = await self._ports.platform.put(
                ANCHORS_NAME,
                json.dumps(merged, sort_keys=True).encode(),
                expected_version=self._anchors_version,
            )
            self.anchors = merged
        except ConflictError:
            self.forget_anchors()
            await self._read_anchors()
        except StoreError:
            self.forget_anchors()
            raise
        return True

    def _merge_anchors(self, wanted: Mapping[str, str]) -> dict[str, str]:
        rows = self.keeper.rows
        artifacts = self._ports.configuration().artifacts
        merged = {b: e for b, e in self.anchors.items() if b in artifacts}
        for base, engine in wanted.items():
            if engine in rows and rows[engine].claimed:
                merged[base] = engine
        return merged

    def forget_anchors(self) -> None:
        """Read the anchors again: another data centre changed them."""
        self._anchors_version = 0

    # Moves

    def view(self) -> PlacementView:
        """Build the planner's view."""
        return self.predicted_view(self._ports.configuration())

    def predicted_view(self, configuration: Configuration) -> PlacementView:
        """Build the view as it would be under another configuration."""
        return build_view(
            configuration,
            self._ports.tables,
            self.keeper.rows,
            self.anchors,
            now_s=self._ports.clock.monotonic_s(),
        )

    async def _carry_out(self, wanted: Plan) -> None:
        for move in wanted.moves:
            row = self.keeper.rows.get(move.backend_server)
            if row is None or not self._may_order(row):
                continue
            if await self._make(row, move):
                self._record(move)

    def _may_order(self, row: EngineRow) -> bool:
        if not row.claimed or row.report is None:
            return False
        fenced = self.keeper.fences(row) and row.fence_noted
        return fenced or not self.keeper.frozen

    async def _make(self, row: EngineRow, move: Move) -> bool:
        if move.action is MoveAction.LOAD:
            return self._load_allowed() and await self.keeper.load(row, move)
        if self.keeper.frozen or not await self._anchor_is_elsewhere(move):
            return False
        return await self.keeper.unload(row, move)

    def _load_allowed(self) -> bool:
        """Keep to this data centre's part of the weight store's limits."""
        settings = self._ports.settings
        engines = self._ports.configuration().engines.values()
        parts = max(1, len({engine.data_centre for engine in engines}))
        if self.keeper.loading >= max(1, settings.parallel_loads // parts):
            return False
        self._loads.rate_per_s = settings.loads_per_s / parts
        return self._loads.take(self._ports.clock.monotonic_s()) <= 0

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


def _in_window(hour: int, from_hour: int, to_hour: int) -> bool:
    if from_hour <= to_hour:
        return from_hour <= hour < to_hour
    return hour >= from_hour or hour < to_hour
