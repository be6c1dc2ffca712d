"""Who holds which models, and what that puts on each engine.

Entries of one plan: swaps are booked as if they were done, so that the next is
chosen with what the ones before it change.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from rosepath.catalog import ModelSpec
from rosepath.demand import ModelDemand
from rosepath.engine_strain import EngineLimits, Work, late_per_s

# What a swap gains or loses a second counts for this long.
HORIZON_S = 6.0
# A model that nobody holds: lost of those who ask, and of those who might
# begin to, as busy models change every few seconds.
ABSENT_IDLE_PER_S = 0.5
ABSENT_ASKED_PER_S = 1.0
ABSENT_WAITING_PER_S = 1.0
ABSENT_TIMES = 2.0
# An unload waits for the running requests of its model, and its engine takes
# no other order until they end.
IN_USE = 2.5
# What was loaded lately is not taken away again for a small gain.
FRESH_S = 4.0
FRESH = 3.0

NOTHING_OWED: Mapping[str, float] = {}
NO_WORK = Work()


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineView:
    """Hold an engine as the plan sees it.

    `age_s` maps the models it holds to the seconds since they were loaded,
    `near` those that it can load without the weight store to the seconds that
    takes; `coming` is the model it loads now, `adapters` those it has, as
    `model/adapter`; `settled` is False while an order is in progress.
    """

    name: str
    data_centre: str
    memory_mb: float
    used_mb: float
    age_s: Mapping[str, float]
    in_use: Mapping[str, int]
    settled: bool
    near: Mapping[str, float]
    coming: str = ""
    adapters: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class Swap:
    """Unload some models of an engine, if need be, and load another."""

    engine: str
    model: str
    victims: tuple[str, ...] = ()
    gain: float = 0.0
    from_store: bool = False


@dataclass(slots=True, kw_only=True)
class Books:
    """Hold who holds what, and what that puts on each engine."""

    engines: Mapping[str, EngineView]
    models: Mapping[str, ModelSpec]
    demands: Mapping[str, ModelDemand]
    limits: EngineLimits
    owed: Mapping[str, float]
    copies: dict[str, set[str]]
    held: dict[str, set[str]]
    asked: dict[str, Work] = field(default_factory=dict)
    work: dict[str, Work] = field(default_factory=dict)
    _losses: dict[str, list[tuple[float, str]]] = field(default_factory=dict)

    @classmethod
    def from_views(
        cls,
        engines: Sequence[EngineView],
        models: Mapping[str, ModelSpec],
        demands: Mapping[str, ModelDemand],
        *,
        limits: EngineLimits,
        owed: Mapping[str, float],
    ) -> "Books":
        books = cls(
            engines={engine.name: engine for engine in engines},
            models=models,
            demands=demands,
            limits=limits,
            owed=owed,
            copies={model: set() for model in models},
            held={
                engine.name: set(engine.age_s) | ({engine.coming} - {""})
                for engine in engines
            },
        )
        running: Counter[str] = Counter()
        for engine in engines:
            running.update(engine.in_use)
        for model, demand in demands.items():
            books.asked[model] = Work(
                read=demand.expected_load,
                asked_per_s=demand.expected_per_s,
                running=running[model],
                adapters=len(demand.adapters),
            )
        for name, held in books.held.items():
            for model in held:
                books.copies.setdefault(model, set()).add(name)
        books._reckon(books.engines)
        return books

    def apply(self, swap: Swap) -> None:
        """Reckon with a swap as if it were done."""
        touched = {swap.engine}
        for model in swap.victims:
            touched |= self.copies[model]
            self.copies[model].discard(swap.engine)
            self.held[swap.engine].discard(model)
        self.copies[swap.model].add(swap.engine)
        self.held[swap.engine].add(swap.model)
        self._reckon(touched | self.copies[swap.model])

    def _reckon(self, engines: Iterable[str]) -> None:
        for name in engines:
            work = NO_WORK
            for model in self.held[name]:
                work = work.plus(self.share(model, len(self.copies[model])))
            self.work[name] = work
        self._losses.clear()

    def share(self, model: str, copies: int) -> Work:
        """Return what each of so many copies takes of a model's work."""
        asked = self.asked.get(model)
        if asked is None or not copies:
            return NO_WORK
        return NO_WORK.plus(asked, times=1 / copies)

    def strain_of(
        self, engine: str, *, less: Work = NO_WORK, more: Work = NO_WORK
    ) -> float:
        """Return an engine's strain with some work taken off it or added."""
        work = self.work[engine].plus(less, times=-1.0).plus(more)
        return late_per_s(work, self.limits)

    def missing(self, engine: EngineView) -> float:
        """Return the adapters asked for that an engine has room for and not has."""
        missing, there = 0.0, 0
        for model in self.held[engine.name]:
            demand = self.demands.get(model)
            for adapter in demand.adapters if demand else ():
                if f"{model}/{adapter}" in engine.adapters:
                    there += 1
                else:
                    missing += 1 / len(self.copies[model])
        return min(missing, max(0, self.limits.adapter_slots - there))

    def absent(self, model: str) -> float:
        """Return what is lost a second while nobody holds a model."""
        demand = self.demands.get(model)
        if demand is None:
            return ABSENT_IDLE_PER_S
        waiting = ABSENT_WAITING_PER_S * demand.waiting
        return ABSENT_ASKED_PER_S + waiting + ABSENT_TIMES * demand.expected_per_s

    def value(self, model: str) -> float:
        """Return what one more copy takes off those who hold a model."""
        copies = len(self.copies[model])
        if not copies:
            return self.absent(model)
        return self._shifted(model, self.copies[model], copies, copies + 1)

    def _shifted(
        self, model: str, holders: Iterable[str], copies: int, then: int
    ) -> float:
        """Return how much the holders' strain falls by a change of copies."""
        if model not in self.asked:
            return 0.0
        now, later = self.share(model, copies), self.share(model, then)
        return sum(
            self.strain_of(name) - self.strain_of(name, less=now, more=later)
            for name in holders
        )

    def losses(self, engine: str) -> list[tuple[float, str]]:
        """Return an engine's models by what their loss costs elsewhere."""
        if engine not in self._losses:
            view = self.engines[engine]
            self._losses[engine] = sorted(
                (self._loss(view, model), model) for model in view.age_s
            )
        return self._losses[engine]

    def _loss(self, view: EngineView, model: str) -> float:
        copies = len(self.copies[model])
        if copies <= 1:
            lost = self.absent(model)
        else:
            others = self.copies[model] - {view.name}
            lost = -self._shifted(model, others, copies, copies - 1)
        once = IN_USE * view.in_use.get(model, 0)
        if view.age_s[model] < FRESH_S and model in self.demands:
            once += FRESH
        return HORIZON_S * lost + once
