"""Which copies to load and unload: the floor first, then demand, few moves.

Pure: a view in, moves out. The floor keeps one anchored copy of each base,
with all of its adapters. Above it, copies follow demand: a base gets another
copy only when the engines that hold it are crowded, another engine with room
is not, and the gain over the horizon outweighs the move's cost. An extra copy
is unloaded only to make room, so quiet times cause no moves.
"""

import heapq
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property

from rosepath.rendezvous import score
from rosepath.tables import Move, MoveAction, MoveReason

CALM_ENGINES = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementPolicy:
    """Weigh attainment against moves.

    `move_cost_s` is in seconds of one crowded-out request; a larger value
    makes fewer moves. Crowding is load over slots.
    """

    move_cost_s: float = 20.0
    horizon_s: float = 300.0
    crowded: float = 0.85
    idle: float = 0.6
    extras_allowed: bool = True


@dataclass(slots=True, kw_only=True)
class EngineView:
    """Hold what placement knows of one engine.

    `free_bytes` counts promises; `ready` and `coming` are targets loaded, and
    reserved or loading.
    """

    name: str
    data_centre: str
    memory_bytes: int
    free_bytes: int
    slots: int
    usable: bool = True
    draining: bool = False
    ready: frozenset[str] = frozenset()
    coming: frozenset[str] = frozenset()
    leaving_targets: frozenset[str] = frozenset()

    @property
    def targets(self) -> frozenset[str]:
        return (self.ready | self.coming) - self.leaving_targets

    @property
    def open(self) -> bool:
        return self.usable and not self.draining


@dataclass(frozen=True, kw_only=True)
class PlacementView:
    """Hold everything that a plan depends on.

    `artifacts` maps each base to its bytes, `adapters` each base to its
    adapters' targets and bytes, `demand` each base to its predicted running
    requests, `anchors` each base to the engine of its protected copy.
    """

    engines: Mapping[str, EngineView]
    artifacts: Mapping[str, int]
    adapters: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    anchors: Mapping[str, str] = field(default_factory=dict)
    demand: Mapping[str, float] = field(default_factory=dict)
    pins: Mapping[str, tuple[str, ...]] = field(default_factory=dict)

    def set_bytes(self, base: str) -> int:
        """Return the bytes of a copy with all of its adapters."""
        return self.artifacts[base] + sum(self.adapters.get(base, {}).values())

    @cached_property
    def holders(self) -> Mapping[str, Sequence[EngineView]]:
        """Map each target to the usable engines that have or will have it."""
        holders: dict[str, list[EngineView]] = {}
        for engine in self.engines.values():
            if engine.usable:
                for target in engine.targets:
                    holders.setdefault(target, []).append(engine)
        return holders


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold wanted anchors and moves, most needed first."""

    anchors: Mapping[str, str]
    moves: tuple[Move, ...]


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
        moves += _demand_moves(view, anchors, policy, room)
    return Plan(anchors, tuple(moves))


def _plan_anchors(view: PlacementView, room: dict[str, int]) -> dict[str, str]:
    """Keep good anchors; find an engine for each base that lacks one."""
    anchors: dict[str, str] = {}
    homeless: list[str] = []
    for base in view.artifacts:
        engine = view.engines.get(view.anchors.get(base, ""))
        if engine is not None and engine.open and _pin_allows(view, base, engine):
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


def _pin_allows(view: PlacementView, base: str, engine: EngineView) -> bool:
    pins = view.pins.get(base, ())
    return not pins or engine.name in pins


def _new_anchor(
    view: PlacementView, base: str, room: Mapping[str, int]
) -> EngineView | None:
    """Prefer an engine that has a copy, then the one with the most room."""
    engines = [
        engine
        for engine in view.engines.values()
        if engine.open and _pin_allows(view, base, engine)
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
    return sum(view.set_bytes(base) for base in _extras(view, engine, view.anchors))


def _extras(
    view: PlacementView, engine: EngineView, anchors: Mapping[str, str]
) -> list[str]:
    """Return the bases here whose protected copy is ready elsewhere."""
    extras = []
    for base in engine.ready - engine.leaving_targets:
        if base not in view.artifacts or anchors.get(base) == engine.name:
            continue
        if _copy_elsewhere(view, base, engine.name, anchors):
            extras.append(base)
    return sorted(extras, key=lambda base: view.demand.get(base, 0))


def _copy_elsewhere(
    view: PlacementView, base: str, here: str, anchors: Mapping[str, str]
) -> bool:
    """Tell whether the anchored copy is loaded on another engine.

    The anchor is kept in the store and changed by conditional update, so two
    planners with different views can't each unload "the other" copy.
    """
    anchor = view.engines.get(view.anchors.get(base, ""))
    same = anchors.get(base) == view.anchors.get(base)
    if anchor is None or anchor.name == here or not same:
        return False
    return anchor.usable and _whole(view, base, anchor)


def _whole(view: PlacementView, base: str, engine: EngineView) -> bool:
    wanted = {base, *view.adapters.get(base, {})}
    return wanted <= (engine.ready - engine.leaving_targets)


def _load(engine: str, target: str, size: int, reason: MoveReason) -> Move:
    return Move(
        action=MoveAction.LOAD,
        target=target,
        backend_server=engine,
        memory_bytes=size,
        reason=reason,
    )


def _unload(engine: str, target: str, size: int, reason: MoveReason) -> Move:
    return Move(
        action=MoveAction.UNLOAD,
        target=target,
        backend_server=engine,
        memory_bytes=size,
        reason=reason,
    )


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
        yield _load(name, base, view.artifacts[base], MoveReason.FLOOR)


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
        yield _load(name, target, size, MoveReason.ADAPTER)


def _undeclared_unloads(view: PlacementView) -> Iterable[Move]:
    """Unload what is no longer declared."""
    declared = {*view.artifacts}
    for adapters in view.adapters.values():
        declared |= adapters.keys()
    for engine in view.engines.values():
        if not engine.usable:
            continue
        for target in sorted(engine.ready - declared - engine.leaving_targets):
            yield _unload(engine.name, target, 0, MoveReason.UNDECLARED)


def _room_for_floor(
    view: PlacementView, anchors: Mapping[str, str], moves: list[Move]
) -> Iterable[Move]:
    """Unload extra copies where an anchored load or its adapters lack room."""
    lacking: dict[str, int] = {}
    for move in moves:
        extra = anchors.get(move.target.split(":", 1)[0]) != move.backend_server
        if move.action is MoveAction.LOAD and not extra:
            size = lacking.get(move.backend_server, 0) + move.memory_bytes
            lacking[move.backend_server] = size
    for name, size in lacking.items():
        engine = view.engines[name]
        short = size - engine.free_bytes - _unloading_bytes(view, engine)
        for base in _extras(view, engine, anchors):
            if short <= 0:
                break
            freed = _held_bytes(view, engine, base)
            short -= freed
            yield _unload(name, base, freed, MoveReason.ROOM)


def _unloading_bytes(view: PlacementView, engine: EngineView) -> int:
    return sum(view.artifacts.get(t, 0) for t in engine.leaving_targets)


def _held_bytes(view: PlacementView, engine: EngineView, base: str) -> int:
    adapters = view.adapters.get(base, {})
    extra = sum(size for t, size in adapters.items() if t in engine.targets)
    return view.artifacts.get(base, 0) + extra


def _drain_unloads(view: PlacementView, anchors: Mapping[str, str]) -> Iterable[Move]:
    """Empty a draining engine once the anchored copies stand elsewhere."""
    for engine in view.engines.values():
        if not (engine.draining and engine.usable):
            continue
        for base in _extras(view, engine, anchors):
            size = _held_bytes(view, engine, base)
            yield _unload(engine.name, base, size, MoveReason.DRAIN)


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


def _demand_moves(
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
        freed = _held_bytes(view, engine, extra)
        short -= freed
        yield _unload(engine.name, extra, freed, MoveReason.ROOM)
    if view.set_bytes(base) <= room[engine.name]:
        yield _load(engine.name, base, view.artifacts[base], MoveReason.DEMAND)


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
        for extra in _extras(view, engine, anchors)
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
    if base in engine.ready | engine.coming or not _pin_allows(view, base, engine):
        return 0.0
    short = view.set_bytes(base) - engine.free_bytes
    evicted = 0
    for extra in _evictable_for(view, engine, view.anchors, base) if short > 0 else ():
        short -= _held_bytes(view, engine, extra)
        evicted += 1
        if short <= 0:
            break
    if short > 0:
        return 0.0
    copies = len(view.holders.get(base, ()))
    spare = (policy.crowded - load[engine.name]) * engine.slots
    moved = min(view.demand[base] / (copies + 1), spare)
    return moved * policy.horizon_s - policy.move_cost_s * (1 + evicted)
