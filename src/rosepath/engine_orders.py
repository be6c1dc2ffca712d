"""Orders to engines, and the record that the lease's holder keeps of each."""

from collections import deque
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol


class OrderAction(StrEnum):
    """Name what an order makes an engine do."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderReply(StrEnum):
    """Say what an engine answered to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    STALE_FENCE = "stale_fence"
    OTHER_INSTANCE = "other_instance"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """Order one engine to load or unload a model, or an adapter of one.

    An engine takes it only while its count of accepted orders is
    `expected_sequence`: one that arrives late, after newer ones, does nothing.
    """

    action: OrderAction
    server: str
    model: str
    holder: str
    fence: int
    expected_sequence: int
    adapter: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """Hold what an engine says it holds; some hundred milliseconds old.

    `born_ms` is the Unix time at which this life of the engine began.
    """

    sequence: int
    busy: bool
    models: Mapping[str, frozenset[str]]
    born_ms: int = 0
    pending: frozenset[str] = frozenset()


class EnginePort(Protocol):
    """Reach engines by address."""

    async def order(
        self, address: str, order: Order, *, still_wanted: Callable[[], bool]
    ) -> OrderReply: ...

    async def report(self, address: str, server: str) -> EngineReport: ...


@dataclass(slots=True, kw_only=True)
class EngineRecord:
    """Hold what the holder knows of an engine's contents.

    `read` is set once a report was read, `known` while none is due.
    `adapters` maps `model/adapter` to the time of its last use. `busy` is set
    while a swap of the holder's own runs, for the model `loading`, which is
    there at `due_s`;
    `engine_busy` while the engine itself says that an order is in progress.
    """

    server: str
    born_ms: int = 0
    sequence: int = 0
    read: bool = False
    known: bool = False
    busy: bool = False
    engine_busy: bool = False
    loading: str = ""
    due_s: float = 0.0
    models: set[str] = field(default_factory=set)
    loaded_s: dict[str, float] = field(default_factory=dict)
    adapters: dict[str, float] = field(default_factory=dict)
    looked_s: float = -1e9

    @property
    def occupied(self) -> bool:
        """Tell whether the engine takes no further order now."""
        return self.busy or self.engine_busy

    def take(self, report: EngineReport, *, now_s: float) -> bool:
        """Take in a report, unless it tells of before the last order.

        An engine that started again counts its orders from the start; held to
        the count of its former life, it would never be read again.
        """
        if report.born_ms < self.born_ms:
            return False
        if report.born_ms > self.born_ms:
            self.begin_life(report.born_ms)
        if report.sequence < self.sequence:
            return False
        self.sequence = report.sequence
        self.read = self.known = True
        self.engine_busy = report.busy
        self.models = set(report.models)
        names = {
            f"{model}/{adapter}"
            for model, adapters in report.models.items()
            for adapter in adapters
        } | report.pending
        self.adapters = {name: self.adapters.get(name, now_s) for name in names}
        return True

    def begin_life(self, born_ms: int) -> None:
        """Forget what an engine was before it started again."""
        self.born_ms = born_ms
        self.sequence = 0
        self.known = False
        self.models.clear()
        self.loaded_s.clear()
        self.adapters.clear()

    def note_used(self, targets: Iterable[str], *, now_s: float) -> None:
        """Note which adapters, as `model/adapter`, requests use now."""
        for target in targets:
            if target in self.adapters:
                self.adapters[target] = now_s

    def used_mb(
        self,
        size_mb: Mapping[str, float],
        adapter_mb: Mapping[str, float],
        *,
        without: Collection[str] = (),
    ) -> float:
        """Return the memory taken or promised, without some models' part."""
        models = (self.models | ({self.loading} - {""})).difference(without)
        weights = sum(size_mb.get(model, 0.0) for model in models)
        owners = (name.partition("/")[0] for name in self.adapters)
        return weights + sum(
            adapter_mb.get(model, 0.0) for model in owners if model not in without
        )


@dataclass(slots=True, kw_only=True)
class LoadCeiling:
    """Bound how many loads from the weight store begin in any window."""

    window_s: float = 5.0
    _begun: deque[float] = field(default_factory=deque)

    def room(self, now_s: float, *, per_s: float) -> bool:
        """Tell whether one more load may begin."""
        while self._begun and self._begun[0] <= now_s - self.window_s:
            self._begun.popleft()
        return len(self._begun) + 1 <= per_s * self.window_s + 1

    def note(self, now_s: float) -> None:
        """Note that a load begins."""
        self._begun.append(now_s)
