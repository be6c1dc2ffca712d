"""Which model to load next on which engine, and what makes way for it.

Pure: a view of the engines and of demand in, at most one swap an engine out.
A further copy is worth the load beyond what the others bear well, so busy
models spread only as far as they need to, rare ones keep one copy while there
is room, and a model that somebody waits for goes before all else. A swap that
waits for running requests keeps its engine from all other orders, so what is
in use stays.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from rosepath.catalog import ModelSpec
from rosepath.demand import ModelDemand

# Share of an engine's time for reading prompts that one model may take before
# another copy pays: at 0.2, a prompt of 10,000 tokens waits some 30 ms for
# others; a copy more costs a load and drops what else was there.
BORNE_LOAD = 0.2
# A model that nobody asks for now is worth a copy: when demand moves to it,
# its first requests find it there instead of waiting for a load.
IDLE_COPY_WORTH = 0.12
# What it is worth to serve those who wait for a model that nobody holds: more
# than any further copy of a busy one, less than the only copy of one.
WAITING_WORTH = 1.0
# A running request that an unload would have to wait for.
IN_USE_WORTH = 0.15
# An engine has few places for adapters, each taken for as long as a request
# that uses it runs. Where the other copies of a model have too few for the
# adapters asked for lately, requests stand still until one is free.
ADAPTERS_SHARE = 0.8
ADAPTERS_WORTH = 0.3
# Engines in a swap at the same time, as a share of all: while it lasts, no
# adapter gets to them.
MOST_SWAPPING = 0.5
# A move must gain clearly more than it takes away, or noise in the demand
# would swap models back and forth.
GAIN_FACTOR = 1.5
GAIN_MIN = 0.02
# What was loaded this recently is not taken away again for a small gain.
FRESH_S = 4.0
FRESH_WORTH = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineView:
    """Hold an engine as the plan sees it.

    `age_s` maps the models it holds to the seconds since they were loaded,
    `near` those that it can load without the weight store to the seconds that
    takes; `settled` is False while an order is in progress.
    """

    name: str
    memory_mb: float
    used_mb: float
    age_s: Mapping[str, float]
    in_use: Mapping[str, int]
    settled: bool
    near: Mapping[str, float]
    load: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Swap:
    """Unload some models of an engine, if need be, and load another."""

    engine: str
    model: str
    victims: tuple[str, ...] = ()
    gain: float = 0.0
    from_store: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class _Terms:
    models: Mapping[str, ModelSpec]
    demands: Mapping[str, ModelDemand]
    copies: Mapping[str, int]
    store_room: bool
    adapter_slots: int


def copy_worth(
    demand: ModelDemand | None, copies: int, *, adapter_slots: int = 0
) -> float:
    """Return what the last of so many copies of a model is worth."""
    if copies <= 1:
        if demand is None:
            return IDLE_COPY_WORTH
        waiting = WAITING_WORTH if demand.waiting else 0.0
        return IDLE_COPY_WORTH + waiting + 2.0 * demand.load
    if demand is None:
        return 0.0
    worth = max(0.0, demand.load / (copies - 1) - BORNE_LOAD)
    if len(demand.adapters) > ADAPTERS_SHARE * adapter_slots * (copies - 1):
        worth += ADAPTERS_WORTH
    return worth


def plan_swaps(
    engines: Sequence[EngineView],
    models: Mapping[str, ModelSpec],
    demands: Mapping[str, ModelDemand],
    *,
    loading: Mapping[str, int],
    store_room: bool,
    adapter_slots: int,
) -> list[Swap]:
    """Return the next swaps, the most useful first, at most one an engine.

    `loading` counts the copies of each model that are on their way.
    """
    copies = {name: loading.get(name, 0) for name in models}
    for engine in engines:
        for model in engine.age_s:
            copies[model] = copies.get(model, 0) + 1
    swaps: list[Swap] = []
    free = {engine.name: engine for engine in engines if engine.settled}
    swapping = len(engines) - len(free)
    while free and swapping < max(1.0, MOST_SWAPPING * len(engines)):
        terms = _Terms(
            models=models,
            demands=demands,
            copies=copies,
            store_room=store_room,
            adapter_slots=adapter_slots,
        )
        best = _best_swap(list(free.values()), terms)
        if best is None:
            break
        swaps.append(best)
        swapping += 1
        del free[best.engine]
        copies[best.model] += 1
        for victim in best.victims:
            copies[victim] -= 1
        store_room = store_room and not best.from_store
    return swaps


def _best_swap(engines: Sequence[EngineView], terms: _Terms) -> Swap | None:
    best: Swap | None = None
    for model, spec in terms.models.items():
        worth = _worth(terms, model, terms.copies[model] + 1)
        if worth <= 0:
            continue
        for engine in engines:
            if model in engine.age_s:
                continue
            swap = _swap_for(engine, spec, worth, terms)
            if swap is not None and (best is None or swap.gain > best.gain):
                best = swap
    return best


def _swap_for(
    engine: EngineView, spec: ModelSpec, worth: float, terms: _Terms
) -> Swap | None:
    from_store = spec.name not in engine.near
    if from_store and not terms.store_room:
        return None
    load_s = spec.load_s if from_store else engine.near[spec.name]
    # Of equal engines, the one that is quicker to load and less busy.
    worth = worth / (1 + 0.3 * load_s + 0.2 * engine.load)
    needed_mb = spec.size_mb - (engine.memory_mb - engine.used_mb)
    victims: tuple[str, ...] = ()
    if needed_mb > 0:
        found = _victims(engine, needed_mb, terms)
        if found is None:
            return None
        victims, loss = found
        if worth < GAIN_FACTOR * loss + GAIN_MIN:
            return None
        worth -= loss
    return Swap(
        engine=engine.name,
        model=spec.name,
        victims=victims,
        gain=worth,
        from_store=from_store,
    )


def _victims(
    engine: EngineView, needed_mb: float, terms: _Terms
) -> tuple[tuple[str, ...], float] | None:
    """Return the models worth least that free enough memory together."""

    def loss_of(model: str) -> float:
        loss = _worth(terms, model, terms.copies.get(model, 1))
        fresh = engine.age_s[model] < FRESH_S and model in terms.demands
        loss += IN_USE_WORTH * engine.in_use.get(model, 0)
        return loss + (FRESH_WORTH if fresh else 0.0)

    held = sorted((loss_of(model), model) for model in engine.age_s)
    single = next(
        (
            ((model,), loss)
            for loss, model in held
            if _size_mb(terms, model) >= needed_mb
        ),
        None,
    )
    gone_mb, total, several = 0.0, 0.0, []
    for loss, model in held:
        several.append(model)
        gone_mb += _size_mb(terms, model)
        total += loss
        if gone_mb >= needed_mb:
            break
    if gone_mb < needed_mb:
        return single
    if single is None or total < single[1]:
        return tuple(several), total
    return single


def _worth(terms: _Terms, model: str, copies: int) -> float:
    return copy_worth(
        terms.demands.get(model), copies, adapter_slots=terms.adapter_slots
    )


def _size_mb(terms: _Terms, model: str) -> float:
    spec = terms.models.get(model)
    return spec.size_mb if spec else 0.0
