"""Build the planner's view of an engine from the records of orders."""

import math
from collections.abc import Collection, Sequence

from rosepath.catalog import EngineSpec, ModelSpec, adapter_mb, model_mb
from rosepath.engine_orders import EngineRecord, OrderBasis
from rosepath.engine_plan import IN_USE_WAIT_S
from rosepath.engine_plan_state import EngineView, Swap
from rosepath.fleet import BackendServer


def engine_view(
    server: BackendServer, record: EngineRecord, spec: EngineSpec, *, now_s: float
) -> EngineView:
    """Return the planner's view of an engine."""
    local_load_s = {
        name: load_duration_s(server, spec.models[name])
        for name in server.entry.on_disk | server.entry.in_memory
        if name in spec.models
    }
    return EngineView(
        name=server.name,
        data_centre=server.entry.data_centre,
        memory_mb=spec.memory_mb,
        used_mb=used_mb(record, spec),
        age_s={
            model: now_s - record.loaded_s.get(model, -1e9) for model in record.models
        },
        in_use=server.models_in_use,
        accepts_orders=record.is_current
        and record.contents_certain
        and not record.follows_unanswered_model
        and not record.occupied
        and not server.in_backoff(now_s)
        and server.entry.remaining_s is None,
        local_load_s=local_load_s,
        loading_model=record.loading,
        adapters=frozenset(record.adapters),
        limit_per_s=math.inf if server.limit_per_s is None else server.limit_per_s,
        software_version=server.entry.software_version,
    )


def used_mb(
    record: EngineRecord, spec: EngineSpec, *, without: Collection[str] = ()
) -> float:
    """Return an engine's memory in use or reserved, without some models."""
    models = {model for model, adapter in record.possible_late_loads() if not adapter}
    models |= (record.models | ({record.loading} - {""})).difference(without)
    owners = (name.partition("/")[0] for name in _reserved_adapters(record))
    used = sum(model_mb(spec.models, model) for model in models) + sum(
        adapter_mb(spec.models, owner) for owner in owners if owner not in without
    )
    return used + _unknown_load_mb(record, spec)


def _unknown_load_mb(record: EngineRecord, spec: EngineSpec) -> float:
    """Return the memory reserved for loads that earlier holders ordered."""
    if not record.unknown_loads:
        return 0.0
    largest_mb = max((model.size_mb for model in spec.models.values()), default=0.0)
    return record.unknown_loads * largest_mb


def _reserved_adapters(record: EngineRecord) -> set[str]:
    """Return the adapters that an engine has or may load late."""
    return record.adapters.keys() | {
        f"{model}/{adapter}"
        for model, adapter in record.possible_late_loads()
        if adapter
    }


def basis_for_load(
    record: EngineRecord, spec: EngineSpec, model: str
) -> OrderBasis | None:
    """Return the basis for an order to load a model; None if it does not fit.

    An order since the plan may have moved the number that the load would get, and
    one in progress may add what no report names yet.
    """
    if record.engine_busy:
        return None
    if record.may_load_late_with(model, sequence=record.sequence):
        return None
    if used_mb(record, spec) + spec.models[model].size_mb > spec.memory_mb:
        return None
    return record.basis


def basis_for_adapter(
    record: EngineRecord, spec: EngineSpec, model: str
) -> OrderBasis | None:
    """Return the basis for loading a model's adapter; None if it does not fit."""
    if adapters_to_evict(record, spec, model, ()) is None:
        return None
    return record.basis


def adapters_to_evict(
    record: EngineRecord, spec: EngineSpec, model: str, idle: Sequence[str]
) -> Sequence[str] | None:
    """Return how much of `idle` has to go before a model's adapter fits.

    None if it does not fit even without all of them. An engine that lacks an
    adapter may not count its unload, and a late load may take that number, so
    that one more goes if there is one.
    """
    used = used_mb(record, spec)
    if used > spec.memory_mb:
        # With the memory full, a late load exceeds it whether or not there is
        # one more adapter.
        used -= _unknown_load_mb(record, spec)
    needed_mb = adapter_mb(spec.models, model) + used - spec.memory_mb
    needed_slots = len(_reserved_adapters(record)) + 1 - spec.adapter_slots
    needed_slots += record.unknown_loads
    count = 0
    while needed_mb > 0 or needed_slots > 0:
        if count == len(idle):
            return None
        needed_mb -= adapter_mb(spec.models, idle[count].partition("/")[0])
        needed_slots -= 1
        count += 1
    if count and not record.unknown_loads:
        count += min(1, record.earlier_holders)
    return idle[:count]


def load_duration_s(server: BackendServer, model: ModelSpec) -> float:
    """Return how long a load takes from the fastest storage that has it."""
    if model.name in server.entry.in_memory:
        return model.warm_load_s
    if model.name in server.entry.on_disk:
        return model.disk_load_s
    return model.load_s


def swap_duration_s(swap: Swap, server: BackendServer, spec: EngineSpec) -> float:
    """Return how long a swap will take, including the unloads before it."""
    in_use = server.models_in_use
    waits = any(in_use[evicted_model] for evicted_model in swap.evicted_models)
    load_s = load_duration_s(server, spec.models[swap.model])
    return load_s + (IN_USE_WAIT_S if waits else 0.0)
