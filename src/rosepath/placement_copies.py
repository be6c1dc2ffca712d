"""Copies and moves: which may go, what they hold, how they are written."""

from collections.abc import Mapping

from rosepath.placement_types import EngineView, PlacementView
from rosepath.tables import Move, MoveAction, MoveReason


def pin_allows(view: PlacementView, base: str, engine: EngineView) -> bool:
    """Tell whether a base may stand on an engine."""
    pins = view.pins.get(base, ())
    return not pins or engine.name in pins


def extras_on(
    view: PlacementView, engine: EngineView, anchors: Mapping[str, str]
) -> list[str]:
    """Return the bases here whose protected copy is ready elsewhere."""
    extras = []
    for base in engine.ready - engine.leaving_targets:
        if base not in view.artifacts or anchors.get(base) == engine.name:
            continue
        if copy_elsewhere(view, base, engine.name, anchors):
            extras.append(base)
    return sorted(extras, key=lambda base: view.demand.get(base, 0))


def copy_elsewhere(
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
    return anchor.usable and is_whole(view, base, anchor)


def is_whole(view: PlacementView, base: str, engine: EngineView) -> bool:
    """Tell whether a copy is loaded with all of its adapters."""
    wanted = {base, *view.adapters.get(base, {})}
    return wanted <= (engine.ready - engine.leaving_targets)


def held_bytes(view: PlacementView, engine: EngineView, base: str) -> int:
    """Return what a copy takes on an engine, its adapters there included."""
    adapters = view.adapters.get(base, {})
    extra = sum(size for t, size in adapters.items() if t in engine.targets)
    return view.artifacts.get(base, 0) + extra


def load_move(engine: str, target: str, size: int, reason: MoveReason) -> Move:
    """Return the move that loads a target."""
    return Move(
        action=MoveAction.LOAD,
        target=target,
        backend_server=engine,
        memory_bytes=size,
        reason=reason,
    )


def unload_move(engine: str, target: str, size: int, reason: MoveReason) -> Move:
    """Return the move that unloads a target."""
    return Move(
        action=MoveAction.UNLOAD,
        target=target,
        backend_server=engine,
        memory_bytes=size,
        reason=reason,
    )
