"""Compare placement policies over a seeded day by demand served and moves."""

import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from benchmarks._private import OUTPUT_DIR, write_table
from benchmarks.demand import DAY_S, MAHKAMA, ZAGORKA, Day, DeploymentShape
from rosepath.placement import plan
from rosepath.placement_demand import load_per_slot
from rosepath.placement_types import EngineView, PlacementPolicy, PlacementView
from rosepath.tables import Move, MoveAction, MoveReason
from rosepath.token_bucket import TokenBucket

TICK_S = 10.0
DEMAND_WEIGHT = 0.5
SEED = 20261202
MOVE_COSTS_S = (0.0, 5.0, 20.0, 100.0, 400.0, 2000.0, 10_000.0)
DEFAULT_MOVE_COST_S = {"Mahkama": 20.0, "Zagorka": 400.0}

PolicyFunction = Callable[["Fleet", PlacementView, float], list[Move]]


@dataclass(slots=True)
class FakeEngine:
    """An engine's models and memory, as the engine itself counts them."""

    name: str
    memory_bytes: int
    slots: int
    ready: dict[str, int] = field(default_factory=dict)
    pending: dict[str, tuple[int, float]] = field(default_factory=dict)
    alive: bool = True

    @property
    def used_bytes(self) -> int:
        pending = sum(size for size, _ in self.pending.values())
        return sum(self.ready.values()) + pending


@dataclass(slots=True)
class Score:
    """Totals of a policy over the day.

    `served_limit` is what all live slots could have served.
    """

    requested: float = 0.0
    served: float = 0.0
    served_limit: float = 0.0
    moves: int = 0
    night_moves: int = 0
    overcommitted: int = 0
    longest_gap_s: float = 0.0
    history: list[tuple[float, float, int]] = field(default_factory=list)


class Fleet:
    """Simulated engines and weight store that run on a simulated clock."""

    def __init__(self, shape: DeploymentShape, *, faults: bool) -> None:
        self.shape = shape
        self.now_s = 0.0
        self.engines = {
            f"e{n}": FakeEngine(f"e{n}", shape.engine_bytes, shape.slots)
            for n in range(shape.engines)
        }
        self.sizes = _sizes(shape)
        self.anchors: dict[str, str] = {}
        self.demand: dict[str, float] = {}
        self.last_used_s: dict[tuple[str, str], float] = {}
        self.score = Score()
        self._weights = TokenBucket(rate_per_s=shape.loads_per_s, burst=1)
        self._outages = _outages(shape) if faults else []
        self._missing_since_s: dict[str, float] = {}

    def view(self) -> PlacementView:
        """Return the fleet as the placement planner sees it."""
        engines = {
            engine.name: EngineView(
                name=engine.name,
                data_centre="dc",
                memory_bytes=engine.memory_bytes,
                free_bytes=engine.memory_bytes - engine.used_bytes,
                slots=engine.slots,
                usable=engine.alive,
                ready=frozenset(engine.ready),
                pending=frozenset(engine.pending),
            )
            for engine in self.engines.values()
        }
        return PlacementView(
            engines=engines,
            artifacts=self.sizes,
            anchors=self.anchors,
            demand=dict(self.demand),
        )

    def advance(self) -> None:
        """Advance the clock one tick; finish loads, stop or restore engines."""
        self.now_s += TICK_S
        for start_s, end_s, name in self._outages:
            engine = self.engines[name]
            alive = not start_s <= self.now_s < end_s
            if engine.alive and not alive:
                engine.ready, engine.pending = {}, {}
            engine.alive = alive
        for engine in self.engines.values():
            for target, (size, due_s) in list(engine.pending.items()):
                if due_s <= self.now_s:
                    engine.ready[target] = size
                    del engine.pending[target]

    def execute(self, moves: list[Move]) -> None:
        """Execute moves as far as memory and the weight store allow."""
        for move in moves:
            engine = self.engines[move.backend_server]
            if move.action is MoveAction.UNLOAD:
                if engine.ready.pop(move.target, None) is not None:
                    self._count_move()
            elif self._load(engine, move.target):
                self._count_move()

    def _load(self, engine: FakeEngine, target: str) -> bool:
        size = self.sizes[target]
        loading = sum(len(e.pending) for e in self.engines.values())
        if target in engine.ready or target in engine.pending or not engine.alive:
            return False
        if engine.used_bytes + size > engine.memory_bytes:
            return False
        if loading >= self.shape.parallel_loads or self._weights.take(self.now_s) > 0:
            return False
        engine.pending[target] = (size, self.now_s + self.shape.load_s)
        return True

    def _count_move(self) -> None:
        if self.now_s < 600:
            return
        self.score.moves += 1
        hour = self.now_s / 3600 % 24
        start, end = self.shape.day_hours
        self.score.night_moves += not start <= hour < end

    def serve(self, rates: Mapping[str, float]) -> None:
        """Serve a tick's arrivals; those beyond the slots are not served."""
        capacity = {
            e.name: e.slots / self.shape.hold_s
            for e in self.engines.values()
            if e.alive
        }
        served = _distribute(rates, self.engines, capacity)
        requested = sum(rates.values())
        self.score.requested += requested * TICK_S
        self.score.served += sum(served.values()) * TICK_S
        self.score.served_limit += min(requested, sum(capacity.values())) * TICK_S
        for model, rate in rates.items():
            self._update_demand(model, rate)
        for engine in self.engines.values():
            self.score.overcommitted += engine.used_bytes > engine.memory_bytes
        if int(self.now_s) % 600 == 0:
            attained = self.score.served / max(1e-9, self.score.requested)
            self.score.history.append((self.now_s, attained, self.score.moves))

    def _update_demand(self, model: str, rate: float) -> None:
        running = rate * self.shape.hold_s
        old = self.demand.get(model, 0.0)
        self.demand[model] = old + DEMAND_WEIGHT * (running - old)
        holders = [e for e in self.engines.values() if model in e.ready]
        for engine in holders:
            if rate > 0.05:
                self.last_used_s[model, engine.name] = self.now_s
        if holders or self.now_s < 600:
            self._missing_since_s.pop(model, None)
            return
        since_s = self._missing_since_s.setdefault(model, self.now_s)
        gap_s = self.now_s - since_s
        self.score.longest_gap_s = max(self.score.longest_gap_s, gap_s)


def _sizes(shape: DeploymentShape) -> dict[str, int]:
    rng = random.Random(SEED)
    per_adapter = 100
    floor = shape.engines * shape.engine_bytes * 0.55
    weights = [rng.uniform(0.5, 1.5) for _ in range(shape.models)]
    scale = floor / sum(weights)
    adapters = shape.adapters // shape.models * per_adapter
    return {
        f"m{n:02d}": int(weight * scale) + adapters for n, weight in enumerate(weights)
    }


def _outages(shape: DeploymentShape) -> list[tuple[float, float, str]]:
    rng = random.Random(SEED + 1)
    starts = [rng.uniform(7, 10) * 3600, rng.uniform(12, 16) * 3600]
    return [
        (start_s, start_s + 1200, f"e{rng.randrange(shape.engines)}")
        for start_s in starts
    ]


def _distribute(
    rates: Mapping[str, float],
    engines: Mapping[str, FakeEngine],
    capacity: Mapping[str, float],
) -> dict[str, float]:
    """Distribute arrivals over ready engines in small parts for even load."""
    remaining = dict(capacity)
    served = dict.fromkeys(rates, 0.0)
    holders = {
        model: [n for n, e in engines.items() if model in e.ready and n in remaining]
        for model in rates
    }
    parts = 12
    for _ in range(parts):
        for model, rate in rates.items():
            portion = rate / parts
            for name in sorted(holders[model], key=lambda n: -remaining[n]):
                taken = min(portion, remaining[name])
                remaining[name] -= taken
                served[model] += taken
                portion -= taken
                if portion <= 1e-12:
                    break
    return served


def rosepath_policy(
    move_cost_s: float, quiet: tuple[int, int] | None
) -> PolicyFunction:
    """Return a policy that plans with rosepath's own planner."""

    def decide(fleet: Fleet, view: PlacementView, now_s: float) -> list[Move]:
        hour = now_s / 3600 % 24
        in_quiet_hours = quiet is not None and (hour >= quiet[0] or hour < quiet[1])
        policy = PlacementPolicy(
            move_cost_s=move_cost_s, demand_copies_allowed=not in_quiet_hours
        )
        planned = plan(view, policy)
        fleet.anchors = dict(planned.anchors)
        return list(plan(replace(view, anchors=fleet.anchors), policy).moves)

    return decide


def static_policy(fleet: Fleet, view: PlacementView, _: float) -> list[Move]:
    """Keep one anchored copy of each model and add none for demand."""
    policy = PlacementPolicy(demand_copies_allowed=False)
    fleet.anchors = dict(plan(view, policy).anchors)
    return list(plan(replace(view, anchors=fleet.anchors), policy).moves)


def on_demand_policy(fleet: Fleet, view: PlacementView, now_s: float) -> list[Move]:
    """Add copies of overloaded models; evict extra copies by LRU."""
    moves = static_policy(fleet, view, now_s)
    if moves:
        return moves
    load = load_per_slot(view)
    for model, demand in sorted(view.demand.items(), key=lambda item: -item[1]):
        holders = [n for n, e in view.engines.items() if model in e.targets]
        if demand < 0.5 or not holders or min(load[n] for n in holders) < 0.85:
            continue
        others = [n for n, e in view.engines.items() if n not in holders and e.usable]
        if others:
            name = min(others, key=lambda n: load[n])
            return _load_with_lru(fleet, view, model, name)
    return []


def _load_with_lru(
    fleet: Fleet, view: PlacementView, model: str, name: str
) -> list[Move]:
    engine, moves = view.engines[name], []
    missing_bytes = fleet.sizes[model] - engine.free_bytes
    extras = [m for m in engine.ready if fleet.anchors.get(m) != name]
    for extra in sorted(extras, key=lambda m: fleet.last_used_s.get((m, name), 0)):
        if missing_bytes <= 0:
            break
        missing_bytes -= fleet.sizes[extra]
        moves.append(_move(MoveAction.UNLOAD, extra, name, fleet))
    if missing_bytes <= 0:
        moves.append(_move(MoveAction.LOAD, model, name, fleet))
    return moves


def proportional_policy(fleet: Fleet, view: PlacementView, now_s: float) -> list[Move]:
    """Set each model's copies in proportion to its demand, once a minute."""
    moves = static_policy(fleet, view, now_s)
    if moves or now_s % 60:
        return moves
    total = sum(view.demand.values()) or 1.0
    usable = [n for n, e in view.engines.items() if e.usable]
    remaining = {n: view.engines[n].memory_bytes for n in usable}
    planned: dict[str, set[str]] = {n: set() for n in usable}
    for model, name in fleet.anchors.items():
        planned[name].add(model)
        remaining[name] -= fleet.sizes[model]
    for model, demand in sorted(view.demand.items(), key=lambda item: -item[1]):
        copies = min(len(usable), round(demand / total * len(usable) * 2))
        for name in sorted(usable, key=lambda n: -remaining[n])[: max(0, copies - 1)]:
            if model not in planned[name] and remaining[name] >= fleet.sizes[model]:
                planned[name].add(model)
                remaining[name] -= fleet.sizes[model]
    for name in usable:
        ready = view.engines[name].ready
        to_unload = sorted(ready - planned[name])
        to_load = sorted(planned[name] - view.engines[name].targets)
        moves += [_move(MoveAction.UNLOAD, model, name, fleet) for model in to_unload]
        moves += [_move(MoveAction.LOAD, model, name, fleet) for model in to_load]
    return moves


def _move(action: MoveAction, model: str, name: str, fleet: Fleet) -> Move:
    return Move(
        action=action,
        target=model,
        backend_server=name,
        memory_bytes=fleet.sizes[model],
        reason=MoveReason.DEMAND,
    )


def run_day(shape: DeploymentShape, decide: PolicyFunction, *, faults: bool) -> Score:
    """Run one day under a policy."""
    day, fleet = Day(shape, SEED), Fleet(shape, faults=faults)
    while fleet.now_s < DAY_S:
        fleet.advance()
        fleet.serve({m: day.rate_per_s(m, fleet.now_s) for m in day.models})
        fleet.execute(decide(fleet, fleet.view(), fleet.now_s))
    return fleet.score


def compare(shape: DeploymentShape) -> dict[str, Score]:
    """Run every policy over the same day, without and with faults."""
    own = rosepath_policy(DEFAULT_MOVE_COST_S[shape.name], shape.quiet_hours)
    policies: dict[str, PolicyFunction] = {
        "rosepath": own,
        "static": static_policy,
        "on demand, LRU": on_demand_policy,
        "proportional": proportional_policy,
    }
    scores, rows = {}, []
    for faults in (False, True):
        for name, decide in policies.items():
            score = run_day(shape, decide, faults=faults)
            if not faults:
                scores[name] = score
            rows.append(
                [
                    name,
                    "yes" if faults else "no",
                    score.served / score.requested,
                    score.served / score.served_limit,
                    score.served / score.requested / shape.engines,
                    score.moves,
                    score.night_moves,
                    score.overcommitted,
                    score.longest_gap_s,
                ]
            )
    write_table(
        f"Placement over a day: {shape.name}",
        (
            "policy",
            "faults",
            "attainment",
            "of the bound",
            "per engine",
            "moves",
            "at night",
            "overcommitted",
            "longest gap s",
        ),
        rows,
    )
    return scores


def trade_off(shape: DeploymentShape) -> list[tuple[float, float, int]]:
    """Report the demand served and the moves for several move costs."""
    points = []
    for cost_s in MOVE_COSTS_S:
        decide = rosepath_policy(cost_s, shape.quiet_hours)
        score = run_day(shape, decide, faults=False)
        points.append((cost_s, score.served / score.requested, score.moves))
    default = DEFAULT_MOVE_COST_S[shape.name]
    write_table(
        f"Attainment against moves: {shape.name} (default move_cost_s {default:g})",
        ("move_cost_s", "attainment", "moves"),
        points,
    )
    return points


def time_plan() -> None:
    """Time one plan at the current deployments' and at target sizes."""
    rows = []
    for models, engines in ((13, 5), (20, 6), (860, 227), (860, 2500)):
        view = large_view(models, engines)
        policy = PlacementPolicy()
        started_s = time.perf_counter()
        rounds = 0
        while time.perf_counter() - started_s < 1.0:
            plan(replace(view), policy)
            rounds += 1
        rows.append(
            [models, engines, 1000 * (time.perf_counter() - started_s) / rounds]
        )
    write_table("Placement: one plan", ("models", "engines", "ms"), rows)


def large_view(models: int, engines: int) -> PlacementView:
    rng = random.Random(SEED)
    names = [f"e{n}" for n in range(engines)]
    anchors = {f"m{n}": names[n % engines] for n in range(models)}
    views = {
        name: EngineView(
            name=name,
            data_centre="dc",
            memory_bytes=100,
            free_bytes=40,
            slots=32,
            ready=frozenset(m for m, home in anchors.items() if home == name),
        )
        for name in names
    }
    demand = {model: rng.uniform(0, 40) for model in anchors}
    return PlacementView(
        engines=views,
        artifacts=dict.fromkeys(anchors, 10),
        anchors=anchors,
        demand=demand,
    )


def plot_day(shape: DeploymentShape, scores: Mapping[str, Score]) -> None:
    """Plot the share of demand served and the moves over the day."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (above, below) = pyplot.subplots(2, 1, sharex=True, figsize=(8, 6))
    for name, score in scores.items():
        hours = [now_s / 3600 for now_s, _, _ in score.history]
        above.plot(hours, [share for _, share, _ in score.history], label=name)
        below.plot(hours, [moves for _, _, moves in score.history], label=name)
    above.set_ylabel("attainment so far")
    below.set_ylabel("moves so far")
    below.set_xlabel("hour of the day")
    above.set_title(f"{shape.name}: policies over one seeded day")
    above.legend()
    OUTPUT_DIR.mkdir(parents=True, exist_ok=True)
    figure.savefig(OUTPUT_DIR / f"placement-{shape.name.lower()}.png", dpi=100)
    pyplot.close(figure)


def main() -> None:
    """Compare policies for both shapes; write tables and plots."""
    for shape in (MAHKAMA, ZAGORKA):
        plot_day(shape, compare(shape))
        trade_off(shape)
    time_plan()
