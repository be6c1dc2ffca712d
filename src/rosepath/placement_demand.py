"""Plan extra copies of bases in demand whose gain exceeds their cost."""

import heapq
from collections.abc import Iterable, Mapping

from rosepath.placement_copies import (
    copy_bytes,
    extra_copies_on,
    load_move,
    pin_allows,
    unload_move,
)
from rosepath.placement_types import EngineView, PlacementPolicy, PlacementView
from rosepath.tables import Move, MoveReason

MAX_CANDIDATE_ENGINES = 16


def load_per_slot(view: PlacementView) -> dict[str, float]:
    """Return each engine's load per slot.

    The demand for a base is divided over its copies in proportion to slots.
    """
    load = dict.fromkeys(view.engines, 0.0)
    for base, demand in view.demand.items():
        engines = view.engines_by_target.get(base, ())
        slots = sum(engine.slots for engine in engines)
        for engine in engines:
            load[engine.name] += demand * engine.slots / max(1, slots)
    return {
        name: load[name] / max(1, engine.slots) for name, engine in view.engines.items()
    }


def demand_moves(
    view: PlacementView,
    anchors: Mapping[str, str],
    policy: PlacementPolicy,
    available_bytes: dict[str, int],
) -> Iterable[Move]:
    """Add one copy of the base with the largest positive gain, if any."""
    load = load_per_slot(view)
    candidates = _least_loaded_engines(view, policy, load)
    best: tuple[float, str, EngineView] | None = None
    for base in _overloaded_bases(view, policy, load):
        for engine in candidates:
            gain = _gain(view, policy, load, base, engine)
            if gain > 0 and (best is None or gain > best[0]):
                best = (gain, base, engine)
    if best is None:
        return
    _, base, engine = best
    missing_bytes = view.bytes_with_adapters(base) - available_bytes[engine.name]
    for extra in _evictable_for(view, engine, anchors, base):
        if missing_bytes <= 0:
            break
        freed = copy_bytes(view, engine, extra)
        missing_bytes -= freed
        yield unload_move(engine.name, extra, freed, MoveReason.ROOM)
    if view.bytes_with_adapters(base) <= available_bytes[engine.name]:
        yield load_move(engine.name, base, view.artifacts[base], MoveReason.DEMAND)


def _overloaded_bases(
    view: PlacementView, policy: PlacementPolicy, load: Mapping[str, float]
) -> Iterable[str]:
    """Yield the bases whose copies are all on overloaded engines."""
    for base, demand in view.demand.items():
        engines = view.engines_by_target.get(base, ())
        if base not in view.artifacts or demand <= 0 or not engines:
            continue
        if any(base in engine.pending for engine in engines):
            continue
        if min(load[engine.name] for engine in engines) >= policy.overload_threshold:
            yield base


def _least_loaded_engines(
    view: PlacementView, policy: PlacementPolicy, load: Mapping[str, float]
) -> list[EngineView]:
    """Return the engines with the lowest load, at most MAX_CANDIDATE_ENGINES.

    A plan adds at most one copy. Comparing every engine with every base takes
    a second with 2,500 engines and selects the same few.
    """
    eligible = (
        engine
        for engine in view.engines.values()
        if engine.accepts_loads and load[engine.name] <= policy.spare_threshold
    )
    return heapq.nsmallest(
        MAX_CANDIDATE_ENGINES,
        eligible,
        key=lambda engine: (load[engine.name], -engine.free_bytes),
    )


def _evictable_for(
    view: PlacementView, engine: EngineView, anchors: Mapping[str, str], base: str
) -> list[str]:
    """Return the extra copies that may be unloaded to free memory for a base.

    A copy with more than half of the base's demand stays: the next plan would
    load it again, and the two bases would replace each other endlessly.
    """
    demand = view.demand.get(base, 0)
    return [
        extra
        for extra in extra_copies_on(view, engine, anchors)
        if view.demand.get(extra, 0) * 2 <= demand
    ]


def _gain(
    view: PlacementView,
    policy: PlacementPolicy,
    load: Mapping[str, float],
    base: str,
    engine: EngineView,
) -> float:
    """Return the gain of a new copy in request-seconds.

    It is the load that moves off overloaded engines over the horizon, less
    the cost of the load and of the unloads it needs.
    """
    if base in engine.ready | engine.pending or not pin_allows(view, base, engine):
        return 0.0
    missing_bytes = view.bytes_with_adapters(base) - engine.free_bytes
    evicted = 0
    for extra in (
        _evictable_for(view, engine, view.anchors, base) if missing_bytes > 0 else ()
    ):
        missing_bytes -= copy_bytes(view, engine, extra)
        evicted += 1
        if missing_bytes <= 0:
            break
    if missing_bytes > 0:
        return 0.0
    copies = len(view.engines_by_target.get(base, ()))
    spare = (policy.overload_threshold - load[engine.name]) * engine.slots
    moved = min(view.demand[base] / (copies + 1), spare)
    return moved * policy.horizon_s - policy.move_cost_s * (1 + evicted)
