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
from collections.abc import Iterable, Mapping, Sequence

from rosepath.catalog import ModelSpec
from rosepath.demand import ModelDemand
from rosepath.engine_books import (
    HORIZON_S,
    NO_WORK,
    NOTHING_OWED,
    Books,
    EngineView,
    Swap,
)
from rosepath.engine_strain import EngineLimits

# Demand moves on after some ten seconds in the mean: the longer a load takes,
# the less likely it still helps. Taken off the horizon instead, a load that
# took as long as that gained nothing, and busy models kept their one copy.
DEMAND_LASTS_S = 10.0
# An unload waits for the running requests of its model for about so long.
IN_USE_WAIT_S = 2.0
# What each request that came in vain for a model that nobody holds adds to the
# gain of its load: in the end it outweighs any other use of the room.
OWED = 3.0
# Counted once, in requests. Loading keeps an engine from all other orders: each
# adapter asked for that is not there yet stands still for as long. A load from
# the weight store costs its users about one request.
LOADING_PER_S = 1.5
BLOCKED_PER_S = 0.4
STORE_LOAD = 1.1
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
    books = Books.from_views(engines, models, demands, limits=limits, owed=owed)
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


def _best_swap(
    engines: Sequence[EngineView],
    books: Books,
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
    engine: EngineView, model: str, value: float, books: Books
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


def _new_data_centre(engine: EngineView, model: str, books: Books) -> float:
    if model not in books.demands:
        return 0.0
    there = {books.engines[name].data_centre for name in books.copies[model]}
    return 0.0 if engine.data_centre in there else NEW_DATA_CENTRE


def _victims(
    engine: EngineView, needed_mb: float, books: Books
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


def _size_mb(books: Books, model: str) -> float:
    spec = books.models.get(model)
    return spec.size_mb if spec else 0.0
