"""Model replicas and engine workloads as the planner assumes them.

Each planned swap is applied as if it were complete, so that the next one is
chosen from the resulting state.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from rosepath.catalog import ModelSpec
from rosepath.demand import ModelDemand
from rosepath.engine_overload import EngineLimits, Workload, late_per_s

# Period over which the gain or loss per second of a swap is counted.
HORIZON_S = 6.0
# Requests per second lost while no engine has a model without demand. It is
# not zero, as the models in demand change every few seconds.
ABSENT_IDLE_LOSS_PER_S = 0.5
# The same for a model with demand; each waiting request and each expected
# request per second adds to it.
ABSENT_REQUESTED_LOSS_PER_S = 1.0
ABSENT_WAITING_LOSS_PER_S = 1.0
ABSENT_LOSS_PER_REQUEST = 2.0
# Cost of an unload per running request of the model, in lost requests. The
# unload waits until they end, and the engine accepts no other order meanwhile.
IN_USE_UNLOAD_COST = 2.5
# Added cost of the unload of a model that was loaded within RECENT_LOAD_S, so
# that it is not unloaded again for a small gain.
RECENT_LOAD_S = 4.0
RECENT_LOAD_UNLOAD_COST = 3.0

NO_UNSERVED_REQUESTS: Mapping[str, float] = {}
NO_VERSIONS: Mapping[str, str] = {}
NO_WORKLOAD = Workload()


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineView:
    """Describe an engine as input for the planner."""

    name: str
    data_centre: str
    memory_mb: float
    used_mb: float
    # Seconds since each resident model was loaded.
    age_s: Mapping[str, float]
    in_use: Mapping[str, int]
    # False while an order is in progress.
    accepts_orders: bool
    # Load times of the models it can load without the weight store.
    local_load_s: Mapping[str, float]
    # The model it is loading.
    loading_model: str = ""
    # Its loaded adapters, as `model/adapter`.
    adapters: frozenset[str] = frozenset()
    # The requests per second that it accepts, if it has stated a limit.
    limit_per_s: float = math.inf
    software_version: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Swap:
    """Unload models from an engine, if necessary, and load another."""

    engine: str
    model: str
    evicted_models: tuple[str, ...] = ()
    # Late or lost requests that the swap is expected to avoid, less its costs.
    gain: float = 0.0
    from_store: bool = False


@dataclass(slots=True, kw_only=True)
class PlanState:
    """Own the replicas and engine workloads while one plan is made."""

    engines: Mapping[str, EngineView]
    models: Mapping[str, ModelSpec]
    demands: Mapping[str, ModelDemand]
    limits: EngineLimits
    unserved_requests: Mapping[str, float]
    # Names of the engines that have or are loading each model.
    replicas: dict[str, set[str]]
    # Models that each engine has or is loading.
    resident_models: dict[str, set[str]]
    # The software version at which each model was last, of engines of several.
    last_versions: Mapping[str, str] = field(default_factory=dict)
    workload_by_model: dict[str, Workload] = field(default_factory=dict)
    workload_by_engine: dict[str, Workload] = field(default_factory=dict)
    _unload_costs: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    _missing_adapters: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_views(
        cls,
        engines: Sequence[EngineView],
        models: Mapping[str, ModelSpec],
        demands: Mapping[str, ModelDemand],
        *,
        limits: EngineLimits,
        unserved_requests: Mapping[str, float],
        last_versions: Mapping[str, str] = NO_VERSIONS,
    ) -> "PlanState":
        state = cls(
            engines={engine.name: engine for engine in engines},
            models=models,
            demands=demands,
            limits=limits,
            unserved_requests=unserved_requests,
            last_versions=last_versions,
            replicas={model: set() for model in models},
            resident_models={
                engine.name: set(engine.age_s) | ({engine.loading_model} - {""})
                for engine in engines
            },
        )
        running: Counter[str] = Counter()
        for engine in engines:
            running.update(engine.in_use)
        for model, demand in demands.items():
            state.workload_by_model[model] = Workload(
                prefill_share=demand.expected_load,
                requests_per_s=demand.expected_requests_per_s,
                running=running[model],
                adapters=len(demand.adapters),
            )
        for name, resident_models in state.resident_models.items():
            for model in resident_models:
                state.replicas.setdefault(model, set()).add(name)
        state._recompute_workloads(state.engines)
        return state

    def apply(self, swap: Swap) -> None:
        """Update the state as if a swap were complete."""
        affected = {swap.engine}
        for model in swap.evicted_models:
            affected |= self.replicas[model]
            self.replicas[model].discard(swap.engine)
            self.resident_models[swap.engine].discard(model)
        self.replicas[swap.model].add(swap.engine)
        self.resident_models[swap.engine].add(swap.model)
        self._recompute_workloads(affected | self.replicas[swap.model])

    def _recompute_workloads(self, engines: Iterable[str]) -> None:
        for name in engines:
            workload = NO_WORKLOAD
            for model in self.resident_models[name]:
                workload = workload.plus(
                    self.replica_workload(model, len(self.replicas[model]))
                )
            self.workload_by_engine[name] = workload
        self._unload_costs.clear()
        self._missing_adapters.clear()

    def replica_workload(self, model: str, replicas: int) -> Workload:
        """Return the workload per replica of a model with so many replicas."""
        workload = self.workload_by_model.get(model)
        if workload is None or not replicas:
            return NO_WORKLOAD
        return NO_WORKLOAD.plus(workload, times=1 / replicas)

    def late_per_s_on(
        self,
        engine: str,
        *,
        removed: Workload = NO_WORKLOAD,
        added: Workload = NO_WORKLOAD,
    ) -> float:
        """Return the requests per second that an engine would serve late.

        A request is late if it misses the latency targets of `EngineLimits`,
        or is more than the engine's rate limit allows. `removed` and `added`
        change the engine's workload in the plan state.
        """
        workload = self.workload_by_engine[engine].plus(removed, times=-1.0).plus(added)
        excess_per_s = workload.requests_per_s - self.engines[engine].limit_per_s
        return max(late_per_s(workload, self.limits), excess_per_s)

    def missing_adapters(self, engine: EngineView) -> float:
        """Return how many adapters an engine lacks and has slots for.

        A requested adapter counts 1/N if its model has N replicas.
        """
        known = self._missing_adapters.get(engine.name)
        if known is None:
            known = self._count_missing_adapters(engine)
            self._missing_adapters[engine.name] = known
        return known

    def _count_missing_adapters(self, engine: EngineView) -> float:
        missing, present = 0.0, 0
        for model in self.resident_models[engine.name]:
            demand = self.demands.get(model)
            for adapter in demand.adapters if demand else ():
                if f"{model}/{adapter}" in engine.adapters:
                    present += 1
                else:
                    missing += 1 / len(self.replicas[model])
        return min(missing, max(0, self.limits.adapter_slots - present))

    def loss_without_replica(self, model: str) -> float:
        """Return the requests lost per second if no engine holds a model."""
        demand = self.demands.get(model)
        if demand is None:
            return ABSENT_IDLE_LOSS_PER_S
        waiting = ABSENT_WAITING_LOSS_PER_S * demand.waiting
        return (
            ABSENT_REQUESTED_LOSS_PER_S
            + waiting
            + ABSENT_LOSS_PER_REQUEST * demand.expected_requests_per_s
        )

    def replica_gain_per_s(self, model: str) -> float:
        """Return the late or lost requests per second a new replica saves."""
        replicas = len(self.replicas[model])
        if not replicas:
            return self.loss_without_replica(model)
        return self._late_per_s_saved(
            model, self.replicas[model], replicas, replicas + 1
        )

    def _late_per_s_saved(
        self, model: str, holders: Iterable[str], replicas: int, new_replicas: int
    ) -> float:
        """Return the late requests per second a change in replicas saves."""
        if model not in self.workload_by_model:
            return 0.0
        current, changed = (
            self.replica_workload(model, replicas),
            self.replica_workload(model, new_replicas),
        )
        return sum(
            self.late_per_s_on(name)
            - self.late_per_s_on(name, removed=current, added=changed)
            for name in holders
        )

    def unload_costs(self, engine: str) -> list[tuple[float, str]]:
        """Return the unload cost of each model of an engine, lowest first."""
        if engine not in self._unload_costs:
            view = self.engines[engine]
            self._unload_costs[engine] = sorted(
                (self._unload_cost(view, model), model) for model in view.age_s
            )
        return self._unload_costs[engine]

    def _unload_cost(self, view: EngineView, model: str) -> float:
        replicas = len(self.replicas[model])
        if replicas <= 1:
            loss_per_s = self.loss_without_replica(model)
        else:
            others = self.replicas[model] - {view.name}
            loss_per_s = -self._late_per_s_saved(model, others, replicas, replicas - 1)
        one_time_cost = IN_USE_UNLOAD_COST * view.in_use.get(model, 0)
        if view.age_s[model] < RECENT_LOAD_S and model in self.demands:
            one_time_cost += RECENT_LOAD_UNLOAD_COST
        return HORIZON_S * loss_per_s + one_time_cost
