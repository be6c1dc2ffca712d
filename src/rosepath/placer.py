"""Plan a data centre's placement and execute the moves.

Runs on the entry VM that holds the data centre's placement lease. `placement`
computes the plan; `engine_keeper` handles engines and their ledgers.
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
    """Own the anchors as last read; plan and order moves with the lease.

    The entry VM calls `tick` regularly, with or without the lease.
    """

    def __init__(self, ports: PlacerPorts) -> None:
        self._ports = ports
        self.keeper = EngineKeeper(ports)
        self.anchors: dict[str, str] = {}
        self._anchors_version = 0
        self._anchors_read_s = -1e9
        self._planned_basis = (0, 0, 0)
        self._planned_at_s = -1e9
        self._load_limiter = TokenBucket(rate_per_s=1.0, burst=1)

    async def tick(self) -> None:
        """Run one round: read reports, claim, release memory, order moves."""
        keeper = self.keeper
        keeper.without_lease = not self._ports.holds_lease()
        if keeper.without_lease and not keeper.may_order_without_lease():
            keeper.rows.clear()
            self._anchors_version = 0
            return
        try:
            await self._run_round()
        except StoreError as error:
            _log.info("placement_paused", step="store", error=str(error))

    def _plan_is_due(self) -> bool:
        """Return whether local state changed or PLAN_INTERVAL_S has passed.

        Other changes (demand, other data centres) wait for the interval.
        """
        now_s = self._ports.clock.monotonic_s()
        version = self._ports.configuration().version
        basis = (self.keeper.change_count, version, self._anchors_version)
        if (
            basis == self._planned_basis
            and now_s - self._planned_at_s < PLAN_INTERVAL_S
        ):
            return False
        self._planned_basis, self._planned_at_s = basis, now_s
        return True

    async def _run_round(self) -> None:
        if not self.keeper.without_lease:
            await self._read_anchors()
        await self.keeper.update_all()
        if not self._plan_is_due():
            return
        planned = plan(self.view(), self.policy())
        if await self._store_anchors(planned.anchors):
            planned = plan(self.view(), self.policy())
        await self._execute_plan(planned)

    def policy(self) -> PlacementPolicy:
        """Return the policy for the current hour."""
        settings = self._ports.settings
        hour = datetime.fromtimestamp(self._ports.clock.wall_s(), UTC).hour
        windows = self._ports.configuration().table("quiet_window").values()
        quiet = any(_in_window(hour, w.from_hour, w.to_hour) for w in windows)
        return PlacementPolicy(
            move_cost_s=settings.move_cost_s,
            horizon_s=settings.horizon_s,
            demand_copies_allowed=not quiet,
        )

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

    async def _store_anchors(self, planned: Mapping[str, str]) -> bool:
        """Store anchors onto this data centre's engines by conditional update.

        Without the lease they change in memory only. Return whether the
        planned anchors differed from the known ones.
        """
        merged = self._merge_anchors(planned)
        if merged == self.anchors:
            return False
        if self.keeper.without_lease:
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
            self.invalidate_anchors()
            await self._read_anchors()
        except StoreError:
            self.invalidate_anchors()
            raise
        return True

    def _merge_anchors(self, planned: Mapping[str, str]) -> dict[str, str]:
        rows = self.keeper.rows
        artifacts = self._ports.configuration().artifacts
        merged = {b: e for b, e in self.anchors.items() if b in artifacts}
        for base, engine in planned.items():
            if engine in rows and rows[engine].claimed:
                merged[base] = engine
        return merged

    def invalidate_anchors(self) -> None:
        """Read the anchors from the store again before they are next used."""
        self._anchors_version = 0

    def view(self) -> PlacementView:
        """Build the planner's view under the current configuration."""
        return self.predicted_view(self._ports.configuration())

    def predicted_view(self, configuration: Configuration) -> PlacementView:
        """Build the planner's view under a given configuration."""
        return build_view(
            configuration,
            self._ports.tables,
            self.keeper.rows,
            self.anchors,
            now_s=self._ports.clock.monotonic_s(),
        )

    async def _execute_plan(self, planned: Plan) -> None:
        for move in planned.moves:
            row = self.keeper.rows.get(move.backend_server)
            if row is None or not self._may_order(row):
                continue
            if await self._execute(row, move):
                self._record_move(move)

    def _may_order(self, row: EngineRow) -> bool:
        if not row.claimed or row.report is None:
            return False
        fenced = self.keeper.fences(row) and row.fence_confirmed
        return fenced or not self.keeper.without_lease

    async def _execute(self, row: EngineRow, move: Move) -> bool:
        if move.action is MoveAction.LOAD:
            return self._load_allowed() and await self.keeper.load(row, move)
        if self.keeper.without_lease or not await self._anchor_is_elsewhere(move):
            return False
        return await self.keeper.unload(row, move)

    def _load_allowed(self) -> bool:
        """Apply this data centre's part of the weight store's load limits."""
        settings = self._ports.settings
        engines = self._ports.configuration().engines.values()
        parts = max(1, len({engine.data_centre for engine in engines}))
        if self.keeper.loads_in_progress >= max(1, settings.parallel_loads // parts):
            return False
        self._load_limiter.rate_per_s = settings.loads_per_s / parts
        return self._load_limiter.take(self._ports.clock.monotonic_s()) <= 0

    async def _anchor_is_elsewhere(self, move: Move) -> bool:
        """Check in the store that a move does not unload the anchored copy.

        Only the lease holder of a data centre sets anchors onto its engines,
        so no other VM can anchor this copy between the read and the unload.
        """
        known = dict(self.anchors)
        self.invalidate_anchors()
        await self._read_anchors()
        return self.anchors == known and (
            self.anchors.get(move.target) != move.backend_server
        )

    def _record_move(self, move: Move) -> None:
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
