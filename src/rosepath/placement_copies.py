"""Helpers for planning copies of base models: surplus copies, sizes, moves.

A base is a base model. A copy is a base with its adapters on one engine.
"""

from collections.abc import Mapping

from rosepath.placement_types import EngineView, PlacementView
from rosepath.tables import Move, MoveAction, MoveReason


def pin_allows(view: PlacementView, base: str, engine: EngineView) -> bool:
    """Return whether the pins of a base allow it on an engine."""
    pins = view.pins.get(base, ())
    return not pins or engine.name in pins


def extra_copies_on(
    view: PlacementView, engine: EngineView, anchors: Mapping[str, str]
) -> list[str]:
    """Return the loaded bases whose anchored copy is ready elsewhere.

    They are sorted by demand, lowest first.
    """
    extras = []
    for base in engine.ready - engine.unloading_targets:
        if base not in view.artifacts or anchors.get(base) == engine.name:
            continue
        if has_anchored_copy_elsewhere(view, base, engine.name, anchors):
            extras.append(base)
    return sorted(extras, key=lambda base: view.demand.get(base, 0))


def has_anchored_copy_elsewhere(
    view: PlacementView, base: str, engine_name: str, anchors: Mapping[str, str]
) -> bool:
    """Return whether the anchored copy is completely loaded on another engine.

    The anchor is stored and changed only by conditional update, so two
    planners with different views cannot each unload the other's copy.
    """
    anchor = view.engines.get(view.anchors.get(base, ""))
    unchanged = anchors.get(base) == view.anchors.get(base)
    if anchor is None or anchor.name == engine_name or not unchanged:
        return False
    return anchor.usable and is_complete(view, base, anchor)


def is_complete(view: PlacementView, base: str, engine: EngineView) -> bool:
    """Return whether a copy is loaded with all of its adapters."""
    required = {base, *view.adapters.get(base, {})}
    return required <= (engine.ready - engine.unloading_targets)


def copy_bytes(view: PlacementView, engine: EngineView, base: str) -> int:
    """Return the memory of a copy and its adapters on an engine."""
    adapters = view.adapters.get(base, {})
    adapter_bytes = sum(size for t, size in adapters.items() if t in engine.targets)
    return view.artifacts.get(base, 0) + adapter_bytes


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
