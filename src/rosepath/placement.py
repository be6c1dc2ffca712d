"""Which copies to load and unload: the floor first, then demand, few moves.

Pure: a view in, moves out. The floor keeps one anchored copy of each base,
with all of its adapters. Above it, copies follow demand: a base gets another
copy only when the engines that hold it are crowded, another engine with room
is not, and the gain over the horizon outweighs the move's cost. An extra copy
is unloaded only to make room, so quiet times cause no moves.
"""

from collections.abc import Iterable, Mapping

from rosepath.configuration import base_of
from rosepath.placement_copies import (
    extras_on,
    held_bytes,
    load_move,
    pin_allows,
    unload_move,
)
from rosepath.placement_demand import demand_moves
from rosepath.placement_types import EngineView, PlacementPolicy, PlacementView, Plan
from rosepath.rendezvous import score
from rosepath.tables import Move, MoveAction, MoveReason


def plan(view: PlacementView, policy: PlacementPolicy) -> Plan:
    """Plan the next moves; nothing in it unloads an anchored copy."""
    room = {name: engine.free_bytes for name, engine in view.engines.items()}
    anchors = _plan_anchors(view, room)
    moves: list[Move] = []
    moves += _floor_loads(view, anchors)
    moves += _adapter_loads(view, anchors, room)
    moves += _undeclared_unloads(view)
    moves += _room_for_floor(view, anchors, moves)
    moves += _drain_unloads(view, anchors)
    if policy.extras_allowed and not any(m.reason is MoveReason.FLOOR for m in moves):
        moves += demand_moves(view, anchors, policy, room)
    return Plan(anchors, tuple(moves))


def _plan_anchors(view: PlacementView, room: dict[str, int]) -> dict[str, str]:
    """Keep good anchors; find an engine for each base that lacks one."""
    anchors: dict[str, str] = {}
    homeless: list[str] = []
    for base in view.artifacts:
        engine = view.engines.get(view.anchors.get(base, ""))
        if engine is not None and engine.open and pin_allows(view, base, engine):
            anchors[base] = engine.name
            if base not in engine.targets:
                room[engine.name] -= view.set_bytes(base)
        else:
            homeless.append(base)
    homeless.sort(key=lambda base: (-view.demand.get(base, 0), -view.set_bytes(base)))
    for base in sorted(homeless, key=lambda base: -view.set_bytes(base)):
        chosen = _new_anchor(view, base, room)
        if chosen is not None:
            anchors[base] = chosen.name
            if base not in chosen.targets:
                room[chosen.name] -= view.set_bytes(base)
    return anchors


def _new_anchor(
    view: PlacementView, base: str, room: Mapping[str, int]
) -> EngineView | None:
    """Prefer an engine that has a copy, then the one with the most room."""
    engines = [
        engine
        for engine in view.engines.values()
        if engine.open and pin_allows(view, base, engine)
    ]
    holding = [e for e in engines if base in e.ready - e.leaving_targets]
    if holding:
        return max(holding, key=lambda engine: score(base, engine.name))
    size = view.set_bytes(base)
    fitting = [e for e in engines if room[e.name] + _evictable(view, e) >= size]
    if not fitting:
        return None
    return max(fitting, key=lambda e: (room[e.name], score(base, e.name)))


def _evictable(view: PlacementView, engine: EngineView) -> int:
    return sum(view.set_bytes(base) for base in extras_on(view, engine, view.anchors))


def _floor_loads(view: PlacementView, anchors: Mapping[str, str]) -> Iterable[Move]:
    """Load each anchored base that is not there, most wanted first.

    Only anchors that are stored count: two data centres that each plan to
    take a base home would else both load it.
    """
    missing = [
        (base, name)
        for base, name in anchors.items()
        if view.anchors.get(base) == name
        and base not in view.engines[name].ready | view.engines[name].coming
    ]

    def need(item: tuple[str, str]) -> tuple[bool, float, str]:
        base = item[0]
        served = any(base in e.ready for e in view.holders.get(base, ()))
        return served, -view.demand.get(base, 0), base

    for base, name in sorted(missing, key=need):
        yield load_move(name, base, view.artifacts[base], MoveReason.FLOOR)


def _adapter_loads(
    view: PlacementView, anchors: Mapping[str, str], room: dict[str, int]
) -> Iterable[Move]:
    """Load adapters where their base is, the anchored copies first."""
    wanted: list[tuple[bool, str, str, int]] = []
    for engine in view.engines.values():
        if not engine.usable:
            continue
        for base in engine.ready & view.adapters.keys() - engine.leaving_targets:
            extra = anchors.get(base) != engine.name
            wanted += [
                (extra, engine.name, target, size)
                for target, size in view.adapters[base].items()
                if target not in engine.ready | engine.coming
            ]
    for extra, name, target, size in sorted(wanted):
        if extra and room[name] < size:
            continue
        if extra:
            room[name] -= size
        yield load_move(name, target, size, MoveReason.ADAPTER)


def _undeclared_unloads(view: PlacementView) -> Iterable[Move]:
    """Unload what is no longer declared."""
    declared = {*view.artifacts}
    for adapters in view.adapters.values():
        declared |= adapters.keys()
    for engine in view.engines.values():
        if not engine.usable:
            continue
        for target in sorted(engine.ready - declared - engine.leaving_targets):
            yield unload_move(engine.name, target, 0, MoveReason.UNDECLARED)


def _room_for_floor(
    view: PlacementView, anchors: Mapping[str, str], moves: list[Move]
) -> Iterable[Move]:
    """Unload extra copies where an anchored load or its adapters lack room."""
    lacking: dict[str, int] = {}
    for move in moves:
        extra = anchors.get(base_of(move.target)) != move.backend_server
        if move.action is MoveAction.LOAD and not extra:
            size = lacking.get(move.backend_server, 0) + move.memory_bytes
            lacking[move.backend_server] = size
    for name, size in lacking.items():
        engine = view.engines[name]
        short = size - engine.free_bytes - _unloading_bytes(view, engine)
        for base in extras_on(view, engine, anchors):
            if short <= 0:
                break
            freed = held_bytes(view, engine, base)
            short -= freed
            yield unload_move(name, base, freed, MoveReason.ROOM)


def _unloading_bytes(view: PlacementView, engine: EngineView) -> int:
    return sum(view.artifacts.get(t, 0) for t in engine.leaving_targets)


def _drain_unloads(view: PlacementView, anchors: Mapping[str, str]) -> Iterable[Move]:
    """Empty a draining engine once the anchored copies stand elsewhere."""
    for engine in view.engines.values():
        if not (engine.draining and engine.usable):
            continue
        for base in extras_on(view, engine, anchors):
            size = held_bytes(view, engine, base)
            yield unload_move(engine.name, base, size, MoveReason.DRAIN)
