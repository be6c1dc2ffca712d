"""What placement looks at and what it wants."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property

from rosepath.tables import Move


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
