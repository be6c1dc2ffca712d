"""Copies beyond the floor: for bases in demand, few and worth their cost."""

import heapq
from collections.abc import Iterable, Mapping

from rosepath.placement_copies import (
    extras_on,
    held_bytes,
    load_move,
    pin_allows,
    unload_move,
)
from rosepath.placement_types import EngineView, PlacementPolicy, PlacementView
from rosepath.tables import Move, MoveReason

CALM_ENGINES = 16


def crowding(view: PlacementView) -> dict[str, float]:
    """Spread each base's demand over its copies; return load over slots."""
    load = dict.fromkeys(view.engines, 0.0)
    for base, demand in view.demand.items():
        holders = view.holders.get(base, ())
        slots = sum(engine.slots for engine in holders)
        for engine in holders:
            load[engine.name] += demand * engine.slots / max(1, slots)
    return {
        name: load[name] / max(1, engine.slots) for name, engine in view.engines.items()
    }


def demand_moves(
    view: PlacementView,
    anchors: Mapping[str, str],
    policy: PlacementPolicy,
    room: dict[str, int],
) -> Iterable[Move]:
    """Add one copy for the base that gains most, if it is worth the move."""
    load = crowding(view)
    calm = _calmest_engines(view, policy, load)
    best: tuple[float, str, EngineView] | None = None
    for base in _crowded_bases(view, policy, load):
        for engine in calm:
            gain = _gain(view, policy, load, base, engine)
            if gain > 0 and (best is None or gain > best[0]):
                best = (gain, base, engine)
    if best is None:
        return
    _, base, engine = best
    short = view.set_bytes(base) - room[engine.name]
    for extra in _evictable_for(view, engine, anchors, base):
        if short <= 0:
            break
        freed = held_bytes(view, engine, extra)
        short -= freed
        yield unload_move(engine.name, extra, freed, MoveReason.ROOM)
    if view.set_bytes(base) <= room[engine.name]:
        yield load_move(engine.name, base, view.artifacts[base], MoveReason.DEMAND)


def _crowded_bases(
    view: PlacementView, policy: PlacementPolicy, load: Mapping[str, float]
) -> Iterable[str]:
    """Return the bases whose every copy is on a crowded engine."""
    for base, demand in view.demand.items():
        holders = view.holders.get(base, ())
        if base not in view.artifacts or demand <= 0 or not holders:
            continue
        if any(base in engine.coming for engine in holders):
            continue
        if min(load[engine.name] for engine in holders) >= policy.crowded:
            yield base


def _calmest_engines(
    view: PlacementView, policy: PlacementPolicy, load: Mapping[str, float]
) -> list[EngineView]:
    """Return the few engines with most to spare.

    One move is made a plan; looking at every engine for every base would
    cost a second at 2,500 engines and find the same few.
    """
    idle = (
        engine
        for engine in view.engines.values()
        if engine.open and load[engine.name] <= policy.idle
    )
    return heapq.nsmallest(
        CALM_ENGINES, idle, key=lambda engine: (load[engine.name], -engine.free_bytes)
    )


def _evictable_for(
    view: PlacementView, engine: EngineView, anchors: Mapping[str, str], base: str
) -> list[str]:
    """Return the extra copies that may make room for a base.

    A copy that is itself in demand is no room: unloading it would be undone
    by the next plan, and the two would swap for ever.
    """
    demand = view.demand.get(base, 0)
    return [
        extra
        for extra in extras_on(view, engine, anchors)
        if view.demand.get(extra, 0) * 2 <= demand
    ]


def _gain(
    view: PlacementView,
    policy: PlacementPolicy,
    load: Mapping[str, float],
    base: str,
    engine: EngineView,
) -> float:
    """Return crowded-out request seconds saved, less the cost of the moves."""
    if base in engine.ready | engine.coming or not pin_allows(view, base, engine):
        return 0.0
    short = view.set_bytes(base) - engine.free_bytes
    evicted = 0
    for extra in _evictable_for(view, engine, view.anchors, base) if short > 0 else ():
        short -= held_bytes(view, engine, extra)
        evicted += 1
        if short <= 0:
            break
    if short > 0:
        return 0.0
    copies = len(view.holders.get(base, ()))
    spare = (policy.crowded - load[engine.name]) * engine.slots
    moved = min(view.demand[base] / (copies + 1), spare)
    return moved * policy.horizon_s - policy.move_cost_s * (1 + evicted)
