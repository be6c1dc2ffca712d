"""Compare plans that know software versions with plans that don't.

Without a network: an engine crashes while requests wait for its models. For each way,
it shows how many of the models that the next plan loads come back at the version of
that engine, where their streams can go on.
"""

import random

from benchmarks._private import write_table
from rosepath.catalog import ModelSpec
from rosepath.demand import ModelDemand
from rosepath.engine_overload import EngineLimits
from rosepath.engine_plan import plan_swaps
from rosepath.engine_plan_state import NO_VERSIONS, EngineView
from rosepath.model_versions import ModelVersions

CRASHES = 500
# The engines of two versions; the first engine crashes.
FLEETS = {"3 and 2": (3, 2), "2 and 3": (2, 3), "6 and 2": (6, 2)}
MODELS_PER_ENGINE = 3
MODEL_MB, ENGINE_MB = 20_000.0, 80_000.0
# How likely an engine has a lost model in its host's memory.
LOCAL_SHARE = 0.3
LOCAL_LOAD_S, STORE_LOAD_S = 0.5, 1.5
MAX_WAITING = 3
LIMITS = EngineLimits(slots=64, adapter_slots=8, first_s=0.6, gap_s=0.25)


def make_engines(rng: random.Random, counts: tuple[int, int]) -> list[EngineView]:
    """Return engines with models of their own, the one that crashes first."""
    engines = []
    for number in range(sum(counts)):
        first = number * MODELS_PER_ENGINE
        models = [f"m{index}" for index in range(first, first + MODELS_PER_ENGINE)]
        engines.append(
            EngineView(
                name=f"e{rng.getrandbits(32):08x}",
                data_centre=f"dc-{rng.randrange(3)}",
                memory_mb=ENGINE_MB,
                used_mb=MODEL_MB * len(models),
                age_s=dict.fromkeys(models, 100.0),
                in_use={model: rng.randrange(3) for model in models},
                accepts_orders=True,
                local_load_s={
                    f"m{index}": LOCAL_LOAD_S
                    for index in range(MODELS_PER_ENGINE)
                    if number and rng.random() < LOCAL_SHARE
                },
                software_version="v1" if number < counts[0] else "v2",
            )
        )
    return engines


def loads_at_version(seed: int, counts: tuple[int, int], *, knows: bool) -> list[bool]:
    """Return for each lost model that is loaded whether it is at its version."""
    rng = random.Random(f"{seed} {counts}")
    engines = make_engines(rng, counts)
    lost, *others = engines
    models = {
        model: ModelSpec(
            name=model,
            size_mb=MODEL_MB,
            load_s=STORE_LOAD_S,
            warm_load_s=LOCAL_LOAD_S,
            disk_load_s=LOCAL_LOAD_S,
        )
        for engine in engines
        for model in engine.age_s
    }
    demands = {
        model: ModelDemand(0.05, 0, requests_per_s=0.5)
        for engine in others
        for model in engine.age_s
    }
    for model in lost.age_s:
        waiting = rng.randint(1, MAX_WAITING)
        demands[model] = ModelDemand(0.05, waiting, requests_per_s=0.5)
    versions = ModelVersions()
    versions.update(engines, now_s=0.0)
    swaps = plan_swaps(
        others,
        models,
        demands,
        store_room=True,
        limits=LIMITS,
        last_versions=versions.recent(others, now_s=0.1) if knows else NO_VERSIONS,
    )
    version_of = {engine.name: engine.software_version for engine in others}
    return [
        version_of[swap.engine] == lost.software_version
        for swap in swaps
        if swap.model in lost.age_s
    ]


def main() -> None:
    """Print the share of lost models that come back at their version."""
    rows = []
    for name, counts in FLEETS.items():
        row = [name]
        for knows in (False, True):
            loads = [
                at_version
                for seed in range(CRASHES)
                for at_version in loads_at_version(seed, counts, knows=knows)
            ]
            row.append(f"{sum(loads) / len(loads):.3f} of {len(loads)}")
        rows.append(row)
    write_table(
        "Lost models that the next plan loads at their software version",
        ["engines of each version", "versions unknown", "versions known"],
        rows,
    )


if __name__ == "__main__":
    main()
