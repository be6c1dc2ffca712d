"""Which model to load next on which engine, and what makes way for it.

Pure: a view of the engines and of demand in, at most one step an engine out.
A copy is worth the load that it takes off the model's other copies, so busy
models spread, rare ones keep one copy while there is room, and a model that
somebody waits for goes before what nobody asks for.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from rosepath.catalog import ModelSpec
from rosepath.demand import ModelDemand
from rosepath.engine_orders import OrderAction

# A model that nobody asks for is still worth a copy where there is room: the
# first request for it then finds it there.
IDLE_COPY_WORTH = 0.004
# Worth, in engine-seconds a second, of serving those who wait for a model
# that nobody holds: more than any further copy of a busy one.
WAITING_WORTH = 2.0
# A move must gain clearly more than it takes away, or noise in the demand
# would swap models back and forth.
GAIN_FACTOR = 2.0
GAIN_MIN = 0.03


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineView:
    """Hold an engine as the plan sees it.

    `near` maps the models that it can load without the weight store to the
    seconds that takes.
    """

    name: str
    memory_mb: float
    used_mb: float
    models: frozenset[str]
    settled: bool
    in_use: Mapping[str, int]
    near: Mapping[str, float]
    load: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """Order one engine to load or unload one model."""

    engine: str
    action: OrderAction
    model: str
    gain: float = 0.0
    makes_way_for: str = ""
    from_store: bool = False


def copy_worth(demand: ModelDemand | None, copies: int) -> float:
    """Return what the last of so many copies of a model is worth."""
    if demand is None:
        return IDLE_COPY_WORTH if copies == 1 else 0.0
    if copies <= 1:
        waiting = WAITING_WORTH if demand.waiting else 0.0
        return IDLE_COPY_WORTH + demand.load * 2 + waiting
    return demand.load / (copies * (copies - 1))


def plan_steps(
    engines: Sequence[EngineView],
    models: Mapping[str, ModelSpec],
    demands: Mapping[str, ModelDemand],
    *,
    loading: Mapping[str, int],
    store_room: bool,
) -> list[Step]:
    """Return the next steps, the most useful first, at most one an engine.

    `loading` counts the copies of each model that are on their way.
    """
    copies = {name: loading.get(name, 0) for name in models}
    for engine in engines:
        for model in engine.models:
            copies[model] = copies.get(model, 0) + 1
    steps: list[Step] = []
    free = {engine.name: engine for engine in engines if engine.settled}
    while free:
        best = _best_step(list(free.values()), models, demands, copies, store_room)
        if best is None:
            break
        steps.append(best)
        del free[best.engine]
        if best.action is OrderAction.LOAD:
            copies[best.model] += 1
            store_room = store_room and not best.from_store
        else:
            copies[best.model] -= 1
            copies[best.makes_way_for] += 1
    return steps


def _best_step(
    engines: Sequence[EngineView],
    models: Mapping[str, ModelSpec],
    demands: Mapping[str, ModelDemand],
    copies: Mapping[str, int],
    store_room: bool,
) -> Step | None:
    best: Step | None = None
    for model, spec in models.items():
        worth = copy_worth(demands.get(model), copies[model] + 1)
        if worth <= 0 or (demands.get(model) is None and copies[model] > 0):
            continue
        for engine in engines:
            if model in engine.models:
                continue
            step = _step_for(engine, spec, worth, models, demands, copies, store_room)
            if step is not None and (best is None or step.gain > best.gain):
                best = step
    return best


def _step_for(
    engine: EngineView,
    spec: ModelSpec,
    worth: float,
    models: Mapping[str, ModelSpec],
    demands: Mapping[str, ModelDemand],
    copies: Mapping[str, int],
    store_room: bool,
) -> Step | None:
    from_store = spec.name not in engine.near
    if from_store and not store_room:
        return None
    load_s = spec.load_s if from_store else engine.near[spec.name]
    # Of equal engines, the one that is quicker to load and less busy.
    worth = worth / (1 + 0.1 * load_s + 0.1 * engine.load)
    room_mb = engine.memory_mb - engine.used_mb
    if spec.size_mb <= room_mb:
        return Step(
            engine=engine.name,
            action=OrderAction.LOAD,
            model=spec.name,
            gain=worth,
            from_store=from_store,
        )
    victim, loss = _cheapest_victims(
        engine, spec.size_mb - room_mb, models, demands, copies
    )
    if victim is None or worth < GAIN_FACTOR * loss + GAIN_MIN:
        return None
    return Step(
        engine=engine.name,
        action=OrderAction.UNLOAD,
        model=victim,
        gain=worth - loss,
        makes_way_for=spec.name,
    )


def _cheapest_victims(
    engine: EngineView,
    needed_mb: float,
    models: Mapping[str, ModelSpec],
    demands: Mapping[str, ModelDemand],
    copies: Mapping[str, int],
) -> tuple[str | None, float]:
    """Return the model to unload first, and what all that must go are worth."""

    def loss_of(model: str) -> float:
        loss = copy_worth(demands.get(model), copies.get(model, 1))
        return loss + 0.02 * engine.in_use.get(model, 0)

    held = sorted((loss_of(model), model) for model in engine.models)
    for loss, model in held:
        if _size(models, model) >= needed_mb:
            single: tuple[str | None, float] = (model, loss)
            break
    else:
        single = (None, 0.0)
    gone_mb, total, first = 0.0, 0.0, None
    for loss, model in held:
        first = first or model
        gone_mb += _size(models, model)
        total += loss
        if gone_mb >= needed_mb:
            break
    if gone_mb < needed_mb:
        return single
    if single[0] is None or total < single[1]:
        return first, total
    return single


def _size(models: Mapping[str, ModelSpec], model: str) -> float:
    spec = models.get(model)
    return spec.size_mb if spec else 1e9
