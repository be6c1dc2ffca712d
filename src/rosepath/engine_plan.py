"""Plan which model each engine loads next and which models it unloads.

The planner has no side effects: it takes a view of the engines and the demand
and returns at most one swap per engine.

All costs are in requests per second that would be late or lost. The late
requests of an engine are estimated from the combined demand for all models it
holds: two busy models can overload one engine though each alone would not. The
gain of a swap is the number of late requests it removes from overloaded
engines, or the number of requests lost while no engine holds the model, minus
the late requests it adds on its own engine, the cost of unloading the evicted
models and the cost of the swap itself.
"""

import math
from collections.abc import Iterable, Mapping, Sequence

from rosepath.catalog import ModelSpec, model_mb
from rosepath.demand import ModelDemand
from rosepath.engine_overload import EngineLimits
from rosepath.engine_plan_state import (
    HORIZON_S,
    NO_UNSERVED_REQUESTS,
    NO_VERSIONS,
    NO_WORKLOAD,
    EngineView,
    PlanState,
    Swap,
)

# Demand for a model shifts after about ten seconds on average, so the gain of
# a load decays with its duration. The duration is not subtracted from the
# horizon instead: a load as long as the horizon would then gain nothing, and
# busy models would keep a single replica.
DEMAND_DECAY_S = 10.0
# Typical time that an unload waits for the running requests of its model.
IN_USE_WAIT_S = 2.0
# Gain added to the load of a model that no engine holds, per request that
# could not be served. It accumulates until the load outweighs any other use of
# the memory.
UNSERVED_REQUEST_WEIGHT = 3.0
# One-time costs of a swap, in requests. A loading engine accepts no other
# orders, so each requested adapter that it lacks is blocked for the duration.
# A load from the weight store costs its users about one request.
LOADING_COST_PER_S = 1.5
BLOCKED_ADAPTER_COST_PER_S = 0.4
STORE_LOAD_COST = 1.1
# The first replica of a busy model in a data centre keeps the model available
# if that data centre is cut off from the others.
NEW_DATA_CENTRE_GAIN = 1.0
# Gain of a load at the software version that lost the model's last replica, per
# waiting request: it may be a stream that began there, and ends at other versions.
SAME_VERSION_GAIN = 1.0
# The gain of a swap must clearly exceed the cost of its evictions, or
# noise in the demand would swap models back and forth.
LOSS_FACTOR = 1.25
MIN_GAIN = 0.3
# Maximum share of engines that swap at the same time, as a swapping engine
# loads no adapters. Engines that hold no requested model are exempt if they
# load a requested one: after a crash, all of them may load at once.
MAX_SWAPPING_SHARE = 0.5
# Models examined for each swap, those with the highest gain from another
# replica first: until MAX_MODELS_WITH_SWAPS of them have a useful swap, and at
# most MAX_MODELS_EXAMINED.
MAX_MODELS_WITH_SWAPS = 12
MAX_MODELS_EXAMINED = 60
# Finding one swap among 70 engines and 171 models takes 9 ms. More per plan
# would block the event loop of the placement lease holder and delay its
# messages; the remaining swaps are planned one tick later.
MAX_SWAPS_PER_PLAN = 4


def plan_swaps(
    engines: Sequence[EngineView],
    models: Mapping[str, ModelSpec],
    demands: Mapping[str, ModelDemand],
    *,
    store_room: bool,
    limits: EngineLimits,
    unserved_requests: Mapping[str, float] = NO_UNSERVED_REQUESTS,
    last_versions: Mapping[str, str] = NO_VERSIONS,
) -> list[Swap]:
    """Return the next swaps, the most useful first, at most one per engine.

    `unserved_requests` counts the requests that could not be served, for each
    model without a replica; `last_versions` names the software version at which a
    model was last, if engines run several.
    """
    state = PlanState.from_views(
        engines,
        models,
        demands,
        limits=limits,
        unserved_requests=unserved_requests,
        last_versions=last_versions,
    )
    free = {engine.name: engine for engine in engines if engine.accepts_orders}
    swapping = len(engines) - len(free)
    swaps: list[Swap] = []
    while free and len(swaps) < MAX_SWAPS_PER_PLAN:
        eligible = list(free.values())
        wanted: Iterable[str] = state.models
        if swapping >= max(1.0, MAX_SWAPPING_SHARE * len(engines)):
            eligible = [
                engine
                for engine in eligible
                if not _holds_requested_model(engine, demands)
            ]
            wanted = demands.keys() & state.models.keys()
        best = _best_swap(eligible, state, wanted=wanted, store_room=store_room)
        if best is None:
            break
        swaps.append(best)
        swapping += 1
        del free[best.engine]
        state.apply(best)
        store_room = store_room and not best.from_store
    return swaps


def _holds_requested_model(
    engine: EngineView, demands: Mapping[str, ModelDemand]
) -> bool:
    """Return whether an engine holds a model that has demand."""
    return any(model in demands for model in engine.age_s)


def _best_swap(
    engines: Sequence[EngineView],
    state: PlanState,
    *,
    wanted: Iterable[str],
    store_room: bool,
) -> Swap | None:
    gains = sorted(
        ((state.replica_gain_per_s(model), model) for model in wanted), reverse=True
    )
    best: Swap | None = None
    models_with_swaps = 0
    for replica_gain_per_s, model in gains[:MAX_MODELS_EXAMINED]:
        if replica_gain_per_s <= 0 or models_with_swaps == MAX_MODELS_WITH_SWAPS:
            break
        swaps = [
            swap
            for engine in engines
            if model not in state.resident_models[engine.name]
            and (store_room or model in engine.local_load_s)
            and (swap := _swap_for(engine, model, replica_gain_per_s, state))
            is not None
        ]
        models_with_swaps += bool(swaps)
        for swap in swaps:
            if best is None or swap.gain > best.gain:
                best = swap
    return best


def _swap_for(
    engine: EngineView, model: str, replica_gain_per_s: float, state: PlanState
) -> Swap | None:
    """Return a swap with sufficient gain, or None."""
    if state.replicas[model] and engine.limit_per_s < math.inf:
        # An engine that limits its rate should not take load off others.
        return None
    spec = state.models[model]
    from_store = model not in engine.local_load_s
    load_s = spec.load_s if from_store else engine.local_load_s[model]
    gain = UNSERVED_REQUEST_WEIGHT * state.unserved_requests.get(
        model, 0.0
    ) + _discounted_gain(replica_gain_per_s, load_s)
    gain += _new_data_centre_gain(engine, model, state)
    gain += _same_version_gain(engine, model, state)
    blocked_per_s = (
        LOADING_COST_PER_S + BLOCKED_ADAPTER_COST_PER_S * state.missing_adapters(engine)
    )
    gain -= blocked_per_s * min(load_s, HORIZON_S)
    gain -= STORE_LOAD_COST if from_store else 0.0
    if gain < MIN_GAIN:
        return None
    needed_mb = spec.size_mb - (engine.memory_mb - engine.used_mb)
    evicted_models: tuple[str, ...] = ()
    loss = 0.0
    if needed_mb > 0:
        found = _choose_evictions(engine, needed_mb, state)
        if found is None:
            return None
        evicted_models, loss = found
        if any(engine.in_use.get(evicted_model) for evicted_model in evicted_models):
            gain += _discounted_gain(
                replica_gain_per_s, load_s + IN_USE_WAIT_S
            ) - _discounted_gain(replica_gain_per_s, load_s)
    if gain < MIN_GAIN + LOSS_FACTOR * loss:
        return None
    added = state.replica_workload(model, len(state.replicas[model]) + 1)
    removed = NO_WORKLOAD
    for evicted_model in evicted_models:
        removed = removed.plus(
            state.replica_workload(evicted_model, len(state.replicas[evicted_model]))
        )
    late_after = state.late_per_s_on(engine.name, removed=removed, added=added)
    # Requests move to the engine once the load is done, so what they cost there
    # is discounted like what they save elsewhere.
    gain -= _discounted_gain(late_after - state.late_per_s_on(engine.name), load_s)
    if gain < MIN_GAIN + LOSS_FACTOR * loss:
        return None
    return Swap(
        engine=engine.name,
        model=model,
        evicted_models=evicted_models,
        gain=gain - loss,
        from_store=from_store,
    )


def _discounted_gain(replica_gain_per_s: float, load_s: float) -> float:
    """Return the total of a gain per second that starts after a load."""
    return HORIZON_S * replica_gain_per_s * math.exp(-load_s / DEMAND_DECAY_S)


def _new_data_centre_gain(engine: EngineView, model: str, state: PlanState) -> float:
    if model not in state.demands:
        return 0.0
    holding_data_centres = {
        state.engines[name].data_centre for name in state.replicas[model]
    }
    return 0.0 if engine.data_centre in holding_data_centres else NEW_DATA_CENTRE_GAIN


def _same_version_gain(engine: EngineView, model: str, state: PlanState) -> float:
    demand = state.demands.get(model)
    if demand is None or state.replicas[model]:
        return 0.0
    same = engine.software_version == state.last_versions.get(model)
    return SAME_VERSION_GAIN * demand.waiting if same else 0.0


def _choose_evictions(
    engine: EngineView, needed_mb: float, state: PlanState
) -> tuple[tuple[str, ...], float] | None:
    """Return the cheapest models that free enough memory, and their cost."""
    unload_costs = state.unload_costs(engine.name)
    single = next(
        (
            ((model,), loss)
            for loss, model in unload_costs
            if model_mb(state.models, model) >= needed_mb
        ),
        None,
    )
    freed_mb, total = 0.0, 0.0
    several: list[str] = []
    for loss, model in unload_costs:
        several.append(model)
        freed_mb += model_mb(state.models, model)
        total += loss
        if freed_mb >= needed_mb:
            break
    if freed_mb < needed_mb or (single is not None and single[1] <= total):
        return single
    return tuple(several), total
