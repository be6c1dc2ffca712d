"""Plan which copies of models to load and unload.

Planning is a pure function from a view to moves. The floor is one anchored
copy of each base model with all of its adapters; it has priority. Copies
above the floor follow demand: a base model gets another copy only if all
engines that have it are overloaded, another engine has spare slots and
memory, and the gain over the horizon exceeds the cost of the moves. Extra
copies are unloaded only to free memory for another copy or to empty a
draining engine, so low demand causes no moves.
"""

from collections.abc import Iterable, Mapping

from rosepath.configuration import base_of
from rosepath.placement_copies import (
    copy_bytes,
    extra_copies_on,
    load_move,
    pin_allows,
    unload_move,
)
from rosepath.placement_demand import demand_moves
from rosepath.placement_types import EngineView, PlacementPolicy, PlacementView, Plan
from rosepath.rendezvous import score
from rosepath.tables import Move, MoveAction, MoveReason


def plan(view: PlacementView, policy: PlacementPolicy) -> Plan:
    """Return the next moves; none of them unloads an anchored copy."""
    available_bytes = {name: engine.free_bytes for name, engine in view.engines.items()}
    anchors = _plan_anchors(view, available_bytes)
    moves: list[Move] = []
    moves += _floor_loads(view, anchors)
    moves += _adapter_loads(view, anchors, available_bytes)
    moves += _undeclared_unloads(view)
    moves += _unloads_for_floor(view, anchors, moves)
    moves += _drain_unloads(view, anchors)
    if policy.demand_copies_allowed and not any(
        m.reason is MoveReason.FLOOR for m in moves
    ):
        moves += demand_moves(view, anchors, policy, available_bytes)
    return Plan(anchors, tuple(moves))


def _plan_anchors(
    view: PlacementView, available_bytes: dict[str, int]
) -> dict[str, str]:
    """Keep valid anchors and choose an engine for each base without one."""
    anchors: dict[str, str] = {}
    unanchored: list[str] = []
    for base in view.artifacts:
        engine = view.engines.get(view.anchors.get(base, ""))
        if (
            engine is not None
            and engine.accepts_loads
            and pin_allows(view, base, engine)
        ):
            anchors[base] = engine.name
            if base not in engine.targets:
                available_bytes[engine.name] -= view.bytes_with_adapters(base)
        else:
            unanchored.append(base)
    unanchored.sort(
        key=lambda base: (-view.demand.get(base, 0), -view.bytes_with_adapters(base))
    )
    for base in sorted(unanchored, key=lambda base: -view.bytes_with_adapters(base)):
        chosen = _new_anchor(view, base, available_bytes)
        if chosen is not None:
            anchors[base] = chosen.name
            if base not in chosen.targets:
                available_bytes[chosen.name] -= view.bytes_with_adapters(base)
    return anchors


def _new_anchor(
    view: PlacementView, base: str, available_bytes: Mapping[str, int]
) -> EngineView | None:
    """Prefer engines with a loaded copy, then those with most free memory."""
    engines = [
        engine
        for engine in view.engines.values()
        if engine.accepts_loads and pin_allows(view, base, engine)
    ]
    loaded = [e for e in engines if base in e.ready - e.unloading_targets]
    if loaded:
        return max(loaded, key=lambda engine: score(base, engine.name))
    size = view.bytes_with_adapters(base)
    fitting = [
        e
        for e in engines
        if available_bytes[e.name] + _evictable_bytes(view, e) >= size
    ]
    if not fitting:
        return None
    return max(fitting, key=lambda e: (available_bytes[e.name], score(base, e.name)))


def _evictable_bytes(view: PlacementView, engine: EngineView) -> int:
    return sum(
        view.bytes_with_adapters(base)
        for base in extra_copies_on(view, engine, view.anchors)
    )


def _floor_loads(view: PlacementView, anchors: Mapping[str, str]) -> Iterable[Move]:
    """Load anchored bases that are missing, unserved ones first.

    Only anchors that are already stored count. Otherwise two data centres
    that plan to anchor the same base would both load it.
    """
    missing = [
        (base, name)
        for base, name in anchors.items()
        if view.anchors.get(base) == name
        and base not in view.engines[name].ready | view.engines[name].pending
    ]

    def priority(item: tuple[str, str]) -> tuple[bool, float, str]:
        base = item[0]
        served = any(base in e.ready for e in view.engines_by_target.get(base, ()))
        return served, -view.demand.get(base, 0), base

    for base, name in sorted(missing, key=priority):
        yield load_move(name, base, view.artifacts[base], MoveReason.FLOOR)


def _adapter_loads(
    view: PlacementView, anchors: Mapping[str, str], available_bytes: dict[str, int]
) -> Iterable[Move]:
    """Load adapters onto engines with their base, anchored copies first."""
    missing: list[tuple[bool, str, str, int]] = []
    for engine in view.engines.values():
        if not engine.usable:
            continue
        for base in engine.ready & view.adapters.keys() - engine.unloading_targets:
            extra = anchors.get(base) != engine.name
            missing += [
                (extra, engine.name, target, size)
                for target, size in view.adapters[base].items()
                if target not in engine.ready | engine.pending
            ]
    for extra, name, target, size in sorted(missing):
        if extra and available_bytes[name] < size:
            continue
        if extra:
            available_bytes[name] -= size
        yield load_move(name, target, size, MoveReason.ADAPTER)


def _undeclared_unloads(view: PlacementView) -> Iterable[Move]:
    """Unload targets that are no longer declared."""
    declared = {*view.artifacts}
    for adapters in view.adapters.values():
        declared |= adapters.keys()
    for engine in view.engines.values():
        if not engine.usable:
            continue
        for target in sorted(engine.ready - declared - engine.unloading_targets):
            yield unload_move(engine.name, target, 0, MoveReason.UNDECLARED)


def _unloads_for_floor(
    view: PlacementView, anchors: Mapping[str, str], moves: list[Move]
) -> Iterable[Move]:
    """Unload extra copies to free memory for anchored copies and adapters."""
    needed_bytes: dict[str, int] = {}
    for move in moves:
        extra = anchors.get(base_of(move.target)) != move.backend_server
        if move.action is MoveAction.LOAD and not extra:
            size = needed_bytes.get(move.backend_server, 0) + move.memory_bytes
            needed_bytes[move.backend_server] = size
    for name, size in needed_bytes.items():
        engine = view.engines[name]
        missing_bytes = size - engine.free_bytes - _unloading_bytes(view, engine)
        for base in extra_copies_on(view, engine, anchors):
            if missing_bytes <= 0:
                break
            freed = copy_bytes(view, engine, base)
            missing_bytes -= freed
            yield unload_move(name, base, freed, MoveReason.ROOM)


def _unloading_bytes(view: PlacementView, engine: EngineView) -> int:
    return sum(view.artifacts.get(t, 0) for t in engine.unloading_targets)


def _drain_unloads(view: PlacementView, anchors: Mapping[str, str]) -> Iterable[Move]:
    """Unload copies of a draining engine whose anchored copy is elsewhere."""
    for engine in view.engines.values():
        if not (engine.draining and engine.usable):
            continue
        for base in extra_copies_on(view, engine, anchors):
            size = copy_bytes(view, engine, base)
            yield unload_move(engine.name, base, size, MoveReason.DRAIN)
