"""Which model to load next on which engine, and what makes way for it.

Pure: a view of the engines and of demand in, at most one swap an engine out.
All costs are requests a second that would be late or lost. An engine's strain
is what it makes late, by all that is asked of the models it holds: two busy
models on one engine strain it though each alone would not. A swap gains what
it takes off the strained engines, or what is lost while nobody holds a model,
less what it puts on its own engine, what its victims are worth, and what the
swap itself costs.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from rosepath.catalog import ModelSpec
from rosepath.demand import ModelDemand
from rosepath.engine_strain import EngineLimits, Work, late_per_s

# What a swap gains or loses a second counts for this long.
HORIZON_S = 6.0
# Demand moves on after some ten seconds in the mean: the longer a load takes,
# the less likely it still helps. Taken off the horizon instead, a load that
# took as long as that gained nothing, and busy models kept their one copy.
DEMAND_LASTS_S = 10.0
# An unload waits for the running requests of its model for about so long.
IN_USE_WAIT_S = 2.0
# A model that nobody holds: lost of those who ask, and of those who might
# begin to, as busy models change every few seconds.
ABSENT_IDLE_PER_S = 0.5
ABSENT_ASKED_PER_S = 1.0
ABSENT_WAITING_PER_S = 1.0
ABSENT_TIMES = 2.0
# What each request that came in vain for a model that nobody holds adds to the
# gain of its load: in the end it outweighs any other use of the room.
OWED = 3.0
# Counted once, in requests. Loading keeps an engine from all other orders: each
# adapter asked for that is not there yet stands still for as long. A load from
# the weight store costs its users about one request.
LOADING_PER_S = 1.5
BLOCKED_PER_S = 0.4
STORE_LOAD = 1.1
# An unload waits for the running requests of its model, and its engine takes
# no other order until they end.
IN_USE = 2.5
# What was loaded lately is not taken away again for a small gain.
FRESH_S = 4.0
FRESH = 3.0
# The first copy of a busy model in a data centre serves it while it is cut off.
NEW_DATA_CENTRE = 1.0
# A swap must gain clearly more than its victims lose, or noise in the demand
# would swap models back and forth.
LOSS_FACTOR = 1.25
GAIN_MIN = 0.3
# Engines in a swap at the same time, as a share of all: while it lasts, no
# adapter gets to them. Those that hold nothing that is asked for may load what
# is: after a crash, all of them at once.
MOST_SWAPPING = 0.5
# Models looked at for each swap, those first that gain most by a copy: until so
# many have found an engine, and no more than the second.
MODELS_WEIGHED = 12
MODELS_LOOKED_AT = 60
# A swap among 70 engines and 171 models takes 9 ms to find; more at a time would
# keep a holder from speaking. The next are found a tick later.
SWAPS_AT_ONCE = 4

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


def plan_swaps(
    engines: Sequence[EngineView],
    models: Mapping[str, ModelSpec],
    demands: Mapping[str, ModelDemand],
    *,
    store_room: bool,
    limits: EngineLimits,
    owed: Mapping[str, float] = NOTHING_OWED,
) -> list[Swap]:
    """Return the next swaps, the most useful first, at most one an engine.

    `owed` counts the requests that came in vain for a model without a copy.
    """
    books = _Books.from_views(engines, models, demands, limits=limits, owed=owed)
    free = {engine.name: engine for engine in engines if engine.settled}
    swapping = len(engines) - len(free)
    swaps: list[Swap] = []
    while free and len(swaps) < SWAPS_AT_ONCE:
        able = list(free.values())
        wanted: Iterable[str] = books.models
        if swapping >= max(1.0, MOST_SWAPPING * len(engines)):
            able = [engine for engine in able if not _serves(engine, demands)]
            wanted = demands.keys() & books.models.keys()
        best = _best_swap(able, books, wanted=wanted, store_room=store_room)
        if best is None:
            break
        swaps.append(best)
        swapping += 1
        del free[best.engine]
        books.apply(best)
        store_room = store_room and not best.from_store
    return swaps


def _serves(engine: EngineView, demands: Mapping[str, ModelDemand]) -> bool:
    """Tell whether an engine holds a model that is asked for."""
    return any(model in demands for model in engine.age_s)


@dataclass(slots=True, kw_only=True)
class _Books:
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
    ) -> "_Books":
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


def _best_swap(
    engines: Sequence[EngineView],
    books: _Books,
    *,
    wanted: Iterable[str],
    store_room: bool,
) -> Swap | None:
    values = sorted(((books.value(model), model) for model in wanted), reverse=True)
    best: Swap | None = None
    weighed = 0
    for value, model in values[:MODELS_LOOKED_AT]:
        if value <= 0 or weighed == MODELS_WEIGHED:
            break
        swaps = [
            swap
            for engine in engines
            if model not in books.held[engine.name]
            and (store_room or model in engine.near)
            and (swap := _swap_for(engine, model, value, books)) is not None
        ]
        weighed += bool(swaps)
        for swap in swaps:
            if best is None or swap.gain > best.gain:
                best = swap
    return best


def _swap_for(
    engine: EngineView, model: str, value: float, books: _Books
) -> Swap | None:
    """Return a swap that gains, or None."""
    spec = books.models[model]
    from_store = model not in engine.near
    load_s = spec.load_s if from_store else engine.near[model]
    gain = OWED * books.owed.get(model, 0.0) + _lasting(value, load_s)
    gain += _new_data_centre(engine, model, books)
    blocked_per_s = LOADING_PER_S + BLOCKED_PER_S * books.missing(engine)
    gain -= blocked_per_s * min(load_s, HORIZON_S)
    gain -= STORE_LOAD if from_store else 0.0
    if gain < GAIN_MIN:
        return None
    needed_mb = spec.size_mb - (engine.memory_mb - engine.used_mb)
    victims: tuple[str, ...] = ()
    loss = 0.0
    if needed_mb > 0:
        found = _victims(engine, needed_mb, books)
        if found is None:
            return None
        victims, loss = found
        if any(engine.in_use.get(victim) for victim in victims):
            gain += _lasting(value, load_s + IN_USE_WAIT_S) - _lasting(value, load_s)
    if gain < GAIN_MIN + LOSS_FACTOR * loss:
        return None
    more = books.share(model, len(books.copies[model]) + 1)
    less = NO_WORK
    for victim in victims:
        less = less.plus(books.share(victim, len(books.copies[victim])))
    burden = books.strain_of(engine.name, less=less, more=more)
    gain -= HORIZON_S * (burden - books.strain_of(engine.name))
    if gain < GAIN_MIN + LOSS_FACTOR * loss:
        return None
    return Swap(
        engine=engine.name,
        model=model,
        victims=victims,
        gain=gain - loss,
        from_store=from_store,
    )


def _lasting(value: float, load_s: float) -> float:
    """Return what a gain a second comes to that begins after a load."""
    return HORIZON_S * value * math.exp(-load_s / DEMAND_LASTS_S)


def _new_data_centre(engine: EngineView, model: str, books: _Books) -> float:
    if model not in books.demands:
        return 0.0
    there = {books.engines[name].data_centre for name in books.copies[model]}
    return 0.0 if engine.data_centre in there else NEW_DATA_CENTRE


def _victims(
    engine: EngineView, needed_mb: float, books: _Books
) -> tuple[tuple[str, ...], float] | None:
    """Return the models lost most easily that free enough memory together."""
    losses = books.losses(engine.name)
    single = next(
        (
            ((model,), loss)
            for loss, model in losses
            if _size_mb(books, model) >= needed_mb
        ),
        None,
    )
    gone_mb, total = 0.0, 0.0
    several: list[str] = []
    for loss, model in losses:
        several.append(model)
        gone_mb += _size_mb(books, model)
        total += loss
        if gone_mb >= needed_mb:
            break
    if gone_mb < needed_mb or (single is not None and single[1] <= total):
        return single
    return tuple(several), total


def _size_mb(books: _Books, model: str) -> float:
    spec = books.models.get(model)
    return spec.size_mb if spec else 0.0
