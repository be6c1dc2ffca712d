"""Orders to engines, and the lease holder's record of each engine."""

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from rosepath.late_orders import LATE_ORDER_LIMIT_S

# What the weight store tolerates beyond its rate in any window: this share of
# the loads that the rate allows, and a number of loads.
TOLERATED_SHARE = 0.1
TOLERATED_LOADS = 2


class OrderAction(StrEnum):
    """Enumerate the operations that an order can request."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderReply(StrEnum):
    """Enumerate an engine's responses to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    STALE_FENCE = "stale_fence"
    OTHER_INSTANCE = "other_instance"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """Request that one engine load or unload a model or an adapter.

    An engine accepts it only while its count of accepted orders equals
    `expected_sequence`, so an order that arrives after newer ones has no
    effect.
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
    """Hold an engine's reported contents, a few hundred milliseconds old.

    `born_ms` is the Unix time at which this instance of the engine started.
    `pending` names adapters with an order in progress, as `model/adapter`.
    """

    sequence: int
    busy: bool
    models: Mapping[str, frozenset[str]]
    born_ms: int = 0
    pending: frozenset[str] = frozenset()


class EnginePort(Protocol):
    """Send orders to engines and read their reports, by address."""

    async def order(
        self, address: str, order: Order, *, still_wanted: Callable[[], bool]
    ) -> OrderReply: ...

    async def report(self, address: str, server: str) -> EngineReport: ...


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderBasis:
    """Identify the state of an engine on which the decision to order rests.

    It is taken together with the check that the order fits. An order whose
    engine has accepted another one since is rejected and must be planned anew,
    since what it was checked against no longer holds. The same applies to a
    decision of an earlier lease term, which has another `fence`.
    """

    fence: int
    born_ms: int
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UnansweredLoad:
    """Record a load that may still be executed although it got no response.

    `unanswered_s` is when the wait for a response ended.
    """

    model: str
    adapter: str
    sequence: int
    unanswered_s: float


@dataclass(slots=True, kw_only=True)
class EngineRecord:
    """Hold an engine's contents as recorded by the lease holder.

    `fence` is the fencing token of the term in which they were recorded.
    `has_report` is set once a report was read, `is_current` while no further
    report needs to be read. `adapters` maps `model/adapter` to the time of its
    last use. `swap_in_progress` is set during a swap of this holder, which
    loads the model `loading` by `load_due_s`. `engine_busy` is set while the
    engine itself reports an order in progress. `unanswered_loads` is shared by
    the records of an engine's instances, as a restart does not end them.
    `earlier_holders` is the number of holders whose orders may still be
    executed, `instance_settled` once none for an earlier instance is.
    """

    server: str
    fence: int = 0
    born_ms: int = 0
    sequence: int = 0
    has_report: bool = False
    is_current: bool = False
    swap_in_progress: bool = False
    engine_busy: bool = False
    loading: str = ""
    load_due_s: float = 0.0
    models: set[str] = field(default_factory=set)
    loaded_s: dict[str, float] = field(default_factory=dict)
    adapters: dict[str, float] = field(default_factory=dict)
    last_read_s: float = -1e9
    # When the last report was applied, on the clock of the order sender.
    reported_s: float = -1e9
    unanswered_loads: list[UnansweredLoad] = field(default_factory=list)
    earlier_holders: int = 0
    instance_settled: bool = False
    # Whether the engine may not have counted the last order that was counted
    # here.
    count_uncertain: bool = False
    # The number of the first order since the last report that the engine may
    # not have counted: a late order may have been executed under it instead.
    first_uncertain: int | None = None

    @property
    def unknown_loads(self) -> int:
        """Return how many loads of earlier holders may be executed unnoticed.

        Their models, adapters and sequence numbers are not known to this
        holder. Each earlier holder may have left one without a response. On
        an instance that is older than them, their numbers are used up, unless
        one was left open, which is enough for one load.
        """
        if not self.instance_settled:
            return self.earlier_holders
        return 0 if self.contents_certain else min(1, self.earlier_holders)

    @property
    def follows_unanswered_model(self) -> bool:
        """Return whether the last number is that of a model's unanswered load."""
        return self.born_ms > 0 and any(
            not load.adapter and load.sequence + 1 == self.sequence
            for load in self.unanswered_loads
        )

    def may_load_late_with(self, model: str, *, sequence: int) -> bool:
        """Return whether a load could be executed late beside an unanswered one.

        If the engine restarts and the lease passes on, two loads with consecutive
        numbers could be executed one after the other, whichever was sent first. The
        next holder reserves memory for one load of each earlier holder. An engine
        that does not state its start has another name after a restart.
        """
        return self.born_ms > 0 and any(
            not load.adapter
            and load.model != model
            and abs(load.sequence - sequence) == 1
            for load in self.unanswered_loads
        )

    @property
    def late_orders_possible(self) -> bool:
        """Return whether orders without a response may still be executed."""
        return self.earlier_holders > 0 or bool(self.unanswered_loads)

    @property
    def contents_certain(self) -> bool:
        """Return whether no late order can have changed the contents unnoticed."""
        return self.first_uncertain is None

    @property
    def occupied(self) -> bool:
        """Return whether the engine accepts no further order now."""
        return self.swap_in_progress or self.engine_busy

    @property
    def basis(self) -> OrderBasis:
        """Return the basis for an order that fits the recorded contents."""
        return OrderBasis(
            fence=self.fence, born_ms=self.born_ms, sequence=self.sequence
        )

    def apply_report(self, report: EngineReport, *, now_s: float) -> bool:
        """Apply a report unless it is older than the last order.

        A restarted engine counts its orders from zero. Compared with the count
        of its previous instance, its reports would be dropped forever.
        """
        if report.born_ms < self.born_ms:
            return False
        if report.born_ms > self.born_ms:
            self.reset_for_new_instance(report.born_ms)
        if report.sequence < self.sequence:
            return False
        self.sequence = report.sequence
        self.count_uncertain = False
        self.first_uncertain = None
        self.has_report = self.is_current = True
        self.engine_busy = report.busy
        self.models = set(report.models)
        names = {
            f"{model}/{adapter}"
            for model, adapters in report.models.items()
            for adapter in adapters
        } | report.pending
        self.adapters = {name: self.adapters.get(name, now_s) for name in names}
        return True

    def note_unanswered(self, order: Order, *, now_s: float) -> None:
        """Record that an order was sent and got no response."""
        self.forget_unanswered(now_s=now_s)
        if order.action is OrderAction.LOAD:
            self.unanswered_loads.append(
                UnansweredLoad(
                    model=order.model,
                    adapter=order.adapter,
                    sequence=order.expected_sequence,
                    unanswered_s=now_s,
                )
            )

    def forget_unanswered(self, *, now_s: float) -> None:
        """Drop the unanswered loads that are too old to be executed."""
        self.unanswered_loads[:] = [
            load
            for load in self.unanswered_loads
            if now_s - load.unanswered_s < LATE_ORDER_LIMIT_S
        ]

    def possible_late_loads(self) -> set[tuple[str, str]]:
        """Return the unanswered loads that may follow the next order.

        Their numbers are still to come, as the engine has restarted since and
        counts from zero, or were left open. A load with the number of the next
        order is not among them: the engine executes only one of the two.
        """
        first_open = self.first_uncertain
        return {
            (load.model, load.adapter)
            for load in self.unanswered_loads
            if load.sequence > self.sequence
            or (first_open is not None and load.sequence >= first_open)
        }

    def count_order(self, basis: OrderBasis, *, uncertain: bool = False) -> None:
        """Count an accepted order unless a report has counted it already."""
        if self.basis == basis:
            self.sequence += 1
            self.count_uncertain = uncertain
            if uncertain and self.late_orders_possible and self.contents_certain:
                self.first_uncertain = basis.sequence

    def require_report(self) -> None:
        """Require that a report is read before the next order.

        An order that the engine may not have counted is no longer counted
        here: a report with fewer orders than recorded would be dropped.
        """
        self.is_current = False
        if self.count_uncertain:
            self.sequence -= 1
            self.count_uncertain = False

    def reset_for_new_instance(self, born_ms: int) -> None:
        """Clear what was recorded about the engine's previous instance."""
        self.born_ms = born_ms
        self.instance_settled = False
        self.first_uncertain = None
        self.sequence = 0
        self.is_current = False
        self.models.clear()
        self.loaded_s.clear()
        self.adapters.clear()

    def mark_adapters_used(self, targets: Iterable[str], *, now_s: float) -> None:
        """Set the last use of the adapters in `targets` to now."""
        for target in targets:
            if target in self.adapters:
                self.adapters[target] = now_s


@dataclass(slots=True, kw_only=True)
class LoadRateLimit:
    """Limit how many loads from the weight store start in any window."""

    window_s: float = 5.0
    _started_s: deque[float] = field(default_factory=deque)
    # Until when loads count that an earlier holder started.
    _earlier_loads_until_s: float = -math.inf
    _tolerance_used: bool = False

    def allows(self, now_s: float, *, per_s: float) -> bool:
        """Return whether one more load may start."""
        while self._started_s and self._started_s[0] <= now_s - self.window_s:
            self._started_s.popleft()
        if now_s < self._earlier_loads_until_s:
            if self._tolerance_used:
                return False
            limit = TOLERATED_SHARE * per_s * self.window_s + TOLERATED_LOADS
        else:
            limit = per_s * self.window_s + 1
        return len(self._started_s) + 1 <= limit

    def begin_term(self, now_s: float, *, earlier_terms: int) -> None:
        """Leave the rate to loads that earlier holders may have started.

        Of `earlier_terms` that ended within the window, the first may have used
        the rate, and the next one what the weight store tolerates beyond it.
        """
        self._earlier_loads_until_s = now_s + self.window_s
        self._tolerance_used = earlier_terms > 1

    def record(self, now_s: float) -> None:
        """Record that a load starts."""
        self._started_s.append(now_s)
