"""Inputs and result of placement planning."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property

from rosepath.tables import Move


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementPolicy:
    """Set how much a gain in served requests must exceed the cost of moves.

    `move_cost_s` is the load, in request-seconds, that a new copy must move
    off overloaded engines within `horizon_s` to justify one move; a larger
    value leads to fewer moves. Both thresholds are loads per slot: copies are
    added for a base if its engines have reached `overload_threshold`, on
    engines at or below `spare_threshold`.
    """

    move_cost_s: float = 20.0
    horizon_s: float = 300.0
    overload_threshold: float = 0.85
    spare_threshold: float = 0.6
    demand_copies_allowed: bool = True


@dataclass(slots=True, kw_only=True)
class EngineView:
    """Hold the state of one engine as input for planning.

    `free_bytes` excludes memory that is committed to reservations. `ready`
    are the loaded targets, `pending` those reserved or loading.
    """

    name: str
    data_centre: str
    memory_bytes: int
    free_bytes: int
    slots: int
    usable: bool = True
    draining: bool = False
    ready: frozenset[str] = frozenset()
    pending: frozenset[str] = frozenset()
    unloading_targets: frozenset[str] = frozenset()

    @property
    def targets(self) -> frozenset[str]:
        return (self.ready | self.pending) - self.unloading_targets

    @property
    def accepts_loads(self) -> bool:
        return self.usable and not self.draining


@dataclass(frozen=True, kw_only=True)
class PlacementView:
    """Hold all inputs of a plan, apart from the policy.

    `artifacts` maps each base to its size in bytes, `adapters` each base to
    its adapters' targets and sizes, `demand` each base to its predicted number
    of running requests, `anchors` each base to the engine that must keep a
    copy, `pins` each base to the only engines that may have it (empty: any).
    """

    engines: Mapping[str, EngineView]
    artifacts: Mapping[str, int]
    adapters: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    anchors: Mapping[str, str] = field(default_factory=dict)
    demand: Mapping[str, float] = field(default_factory=dict)
    pins: Mapping[str, tuple[str, ...]] = field(default_factory=dict)

    def bytes_with_adapters(self, base: str) -> int:
        """Return the size of a copy with all of its adapters."""
        return self.artifacts[base] + sum(self.adapters.get(base, {}).values())

    @cached_property
    def engines_by_target(self) -> Mapping[str, Sequence[EngineView]]:
        """Map each target to the usable engines that have or will load it."""
        engines_by_target: dict[str, list[EngineView]] = {}
        for engine in self.engines.values():
            if engine.usable:
                for target in engine.targets:
                    engines_by_target.setdefault(target, []).append(engine)
        return engines_by_target


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold the planned anchors and the moves in order of priority."""

    anchors: Mapping[str, str]
    moves: tuple[Move, ...]
