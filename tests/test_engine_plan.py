"""Tests of planned model swaps: the model, the engine and the evictions."""

import math
from dataclasses import replace

import pytest
from entry_builders import a_model, an_engine_view
from hypothesis import example, given, settings, strategies as st

from rosepath.catalog import ModelSpec
from rosepath.demand import ModelDemand
from rosepath.demand_history import DemandHistory
from rosepath.engine_overload import EngineLimits
from rosepath.engine_plan import plan_swaps
from rosepath.engine_plan_state import EngineView, Swap

LIMITS = EngineLimits(slots=64, adapter_slots=8, first_s=0.6, gap_s=0.25)
# After this many unserved requests, a model displaces others wherever it fits.
MAX_UNSERVED_REQUESTS = 150.0
MODELS = {name: a_model(name) for name in ("m0", "m1", "m2", "m3")}


def plan(
    *engines: EngineView,
    demands: dict[str, ModelDemand],
    store_room: bool = True,
) -> list[Swap]:
    return plan_swaps(
        engines,
        MODELS,
        demands,
        store_room=store_room,
        limits=LIMITS,
    )


def test_model_with_waiting_requests_replaces_an_idle_one() -> None:
    swaps = plan(
        an_engine_view("e1", "m0", "m1"),
        demands={"m0": ModelDemand(0.5, 0), "m2": ModelDemand(0.0, 3)},
    )
    assert [(swap.model, swap.evicted_models) for swap in swaps] == [("m2", ("m1",))]


def test_model_in_use_is_not_unloaded_for_another_replica() -> None:
    # An unload waits for the running requests of its model, and the engine
    # accepts no other order until they end, which blocked adapter loads for
    # seconds.
    view = an_engine_view("e1", "m1", "m2", in_use={"m1": 3, "m2": 3})
    other = an_engine_view("e2", "m0", "m3", in_use={"m0": 1, "m3": 1})
    demands = {name: ModelDemand(0.05, 0) for name in ("m1", "m2", "m3")}
    demands["m0"] = ModelDemand(0.6, 0)
    assert plan(view, other, demands=demands) == []


def test_load_in_progress_is_not_ordered_again() -> None:
    swaps = plan(
        an_engine_view("e1", "m0", accepts_orders=False, loading_model="m2"),
        an_engine_view("e2", "m1", "m3"),
        demands={"m2": ModelDemand(0.0, 2)},
    )
    assert swaps == []


def test_replicas_on_engines_that_accept_no_orders_count() -> None:
    # When these engines were left out of the plan while a report was due,
    # their models counted as lost and were loaded again on another engine.
    swaps = plan(
        an_engine_view("e1", "m0", "m1", accepts_orders=False),
        an_engine_view("e2", "m2", "m3"),
        demands={"m0": ModelDemand(0.1, 0)},
    )
    assert swaps == []


def test_a_model_in_demand_at_many_times_an_engines_capacity_is_loaded_elsewhere() -> (
    None
):
    # Its only engine turned most requests away while the others were nearly
    # idle, and no plan gave it a second replica.
    engines = [an_engine_view("e0", "m0")]
    engines += [an_engine_view(f"e{number}", "m1", "m2") for number in range(1, 7)]
    demands = {
        "m0": ModelDemand(12.0, 20, recent_load=12.0, requests_per_s=90.0),
        "m1": ModelDemand(0.1, 0, requests_per_s=1.0),
        "m2": ModelDemand(0.1, 0, requests_per_s=1.0),
    }
    swaps = plan(*engines, demands=demands)
    assert len(swaps) >= 3 and {swap.model for swap in swaps} == {"m0"}


# Guards against a model whose only engine accepts a fraction of its requests:
# its callers are refused while the other engines idle.
def test_model_whose_engine_limits_its_rate_is_loaded_elsewhere() -> None:
    limited = an_engine_view("e1", "m0", "m1", limit_per_s=1.0)
    demands = {"m0": ModelDemand(0.1, 0, requests_per_s=4.0)}
    swaps = plan(limited, an_engine_view("e2", "m2", "m3"), demands=demands)
    assert [(swap.model, swap.engine) for swap in swaps] == [("m0", "e2")]


# Guards against a replica that can't be used, as its engine accepts no more.
def test_model_is_not_loaded_onto_an_engine_at_its_rate_limit() -> None:
    limited = an_engine_view("e1", "m1", "m2", limit_per_s=1.0)
    busy = an_engine_view("e2", "m0", "m3")
    demands = {
        "m0": ModelDemand(1.0, 0, recent_load=1.0, requests_per_s=9.0),
        "m1": ModelDemand(0.05, 0, requests_per_s=1.0),
    }
    assert plan(limited, busy, demands=demands) == []
    free = replace(limited, limit_per_s=math.inf)
    assert [swap.model for swap in plan(free, busy, demands=demands)] == ["m0"]


def test_idle_engines_keep_their_models() -> None:
    swaps = plan(
        an_engine_view("e1", "m0", "m1"),
        an_engine_view("e2", "m2", "m3"),
        demands={},
    )
    assert swaps == []


def test_model_with_more_adapters_than_slots_gets_another_replica() -> None:
    adapters = frozenset(f"a{number}" for number in range(12))
    swaps = plan(
        an_engine_view("e1", "m0"),
        an_engine_view("e2", "m1"),
        demands={"m0": ModelDemand(0.1, 0, adapters)},
    )
    assert ("e2", "m0") in {(swap.engine, swap.model) for swap in swaps}


def test_without_weight_store_capacity_only_local_models_are_loaded() -> None:
    view = an_engine_view("e1", "m0", local_load_s={})
    assert plan(view, demands={"m2": ModelDemand(0, 9)}, store_room=False) == []


def test_number_of_engines_swapping_at_once_is_limited() -> None:
    engines = [an_engine_view(f"e{number}") for number in range(6)]
    swaps = plan(*engines, demands={})
    assert len(swaps) == 3


def test_two_busy_models_on_one_engine_are_spread() -> None:
    # Demand shifts to two models on one engine that could serve either alone.
    # With both, every first token there was seconds late while the other
    # engines were idle, because neither model looked too busy by itself.
    engines = [
        an_engine_view("e1", "m0", "m1"),
        an_engine_view("e2", "m2"),
        an_engine_view("e3", "m3"),
    ]
    demands = {"m0": ModelDemand(0.45, 0), "m1": ModelDemand(0.45, 0)}
    moved = {swap.model for swap in plan(*engines, demands=demands)}
    assert moved & {"m0", "m1"}


def test_many_waiting_requests_go_before_a_single_one() -> None:
    # Twenty requests wait for a model on an overloaded engine, one for a model
    # that no engine holds, and only one engine at a time may swap. Loading the
    # second model first kept the twenty waiting for two loads.
    engines = [an_engine_view("e1", "m0"), an_engine_view("e2", "m1")]
    demands = {"m0": ModelDemand(0.9, 20), "m2": ModelDemand(0.0, 1)}
    assert [swap.model for swap in plan(*engines, demands=demands)] == ["m0"]


def test_swap_is_planned_on_the_state_after_the_previous_ones() -> None:
    # Ten idle engines must not all load a replica of the one busy model.
    engines = [an_engine_view("e0", "m0")]
    engines += [an_engine_view(f"e{number}", "m1") for number in range(1, 11)]
    swaps = plan(*engines, demands={"m0": ModelDemand(0.7, 0)})
    assert 1 <= sum(swap.model == "m0" for swap in swaps) <= 2


def test_models_that_fit_nowhere_do_not_block_other_replicas() -> None:
    # Of 171 models, more have waiting requests than are considered for one
    # swap, and those fit on no engine. When only those were examined, each
    # busy model kept a single replica while most engines were idle.
    hopeless = {
        f"x{number}": a_model(f"x{number}", size_mb=3e5) for number in range(20)
    }
    demands = {name: ModelDemand(0.0, 9) for name in hopeless}
    demands["m0"] = ModelDemand(0.7, 0)
    swaps = plan_swaps(
        [an_engine_view("e1", "m0"), an_engine_view("e2", "m1")],
        MODELS | hopeless,
        demands,
        store_room=True,
        limits=LIMITS,
    )
    assert [(swap.engine, swap.model) for swap in swaps] == [("e2", "m0")]


def test_second_replica_goes_to_a_data_centre_without_one() -> None:
    # A data centre that is cut off serves only the models on its own engines.
    engines = [
        an_engine_view("e1", "m0", data_centre="a"),
        an_engine_view("e2", "m1", data_centre="a"),
        an_engine_view("e3", "m1", data_centre="b"),
    ]
    first = plan(*engines, demands={"m0": ModelDemand(0.9, 0)})[0]
    assert (first.engine, first.model) == ("e3", "m0")


def test_model_is_loaded_where_the_load_finishes_first() -> None:
    # Nine requests wait for a model. It is loaded on the engine that has it on
    # disk and nothing running; a load from the weight store, or after running
    # requests end, would double the wait.
    engines = [
        an_engine_view("e1", "m1", "m3", local_load_s={}),
        an_engine_view("e2", "m1", "m3", in_use={"m1": 1, "m3": 1}),
        an_engine_view("e3", "m1", "m3"),
    ]
    swaps = plan(*engines, demands={"m2": ModelDemand(0.0, 9)})
    assert (swaps[0].engine, swaps[0].model) == ("e3", "m2")


def slow_loading(name: str, *, load_s: float) -> ModelSpec:
    return replace(a_model(name), load_s=load_s)


@pytest.mark.parametrize("load_s", [0.5, 5.8, 30.0, 300.0])
def test_requested_model_is_loaded_however_long_the_load_takes(
    load_s: float,
) -> None:
    # A spot engine leaves with the only replica of a busy model. Loading it
    # from the weight store takes as long as the demand was assumed to last, so
    # the load had no gain, and hundreds of requests were refused for the rest
    # of the day although other engines had room.
    models = MODELS | {"m0": slow_loading("m0", load_s=load_s)}
    engines = [
        an_engine_view("e1", "m1", "m2", local_load_s={}, in_use={"m1": 2, "m2": 1}),
        an_engine_view("e2", "m1", "m3", local_load_s={}, in_use={"m1": 2, "m3": 1}),
    ]
    demands = {
        "m0": ModelDemand(0.0, 9, requests_per_s=12.0),
        "m1": ModelDemand(0.3, 0, requests_per_s=9.0),
    }
    assert "m0" in models_first_planned("m0", engines, models, demands, ticks=600)


def models_first_planned(
    model: str,
    engines: list[EngineView],
    models: dict[str, ModelSpec],
    demands: dict[str, ModelDemand],
    *,
    ticks: int,
) -> set[str]:
    history = DemandHistory()
    resident_models = {name for view in engines for name in view.age_s}
    for tick in range(ticks):
        history.update(demands, resident_models=resident_models, now_s=tick / 10)
        swaps = plan_swaps(
            engines,
            models,
            demands,
            store_room=True,
            limits=LIMITS,
            unserved_requests=history.unserved_requests,
        )
        if any(swap.model == model for swap in swaps):
            return {swap.model for swap in swaps}
    return set()


@settings(deadline=None, max_examples=60)
@given(
    load_s=st.floats(0.1, 600.0),
    size_mb=st.floats(1_000.0, 190_000.0),
    others=st.lists(st.floats(0.0, 0.6), min_size=1, max_size=4),
    waiting=st.integers(0, 3),
    running=st.integers(0, 20),
)
# A load so small that its prefill time rounds to zero.
@example(load_s=1.0, size_mb=1_000.0, others=[5e-324], waiting=0, running=0)
def test_requested_model_that_fits_is_loaded_whatever_its_cost(
    load_s: float, size_mb: float, others: list[float], waiting: int, running: int
) -> None:
    # Every declared model must stay reachable, whatever its load costs.
    models = MODELS | {"x": replace(a_model("x", size_mb=size_mb), load_s=load_s)}
    engines = [
        an_engine_view(
            "e1", "m0", "m1", local_load_s={}, in_use={"m0": running, "m1": 1}
        ),
        an_engine_view(
            "e2", "m2", "m3", local_load_s={}, in_use={"m2": 2, "m3": running}
        ),
    ]
    demands = {
        f"m{number}": ModelDemand(load, 0, requests_per_s=10 * load)
        for number, load in enumerate(others)
    }
    demands["x"] = ModelDemand(0.0, waiting, requests_per_s=0.2)
    swaps = plan_swaps(
        engines,
        models,
        demands,
        store_room=True,
        limits=LIMITS,
        unserved_requests={"x": MAX_UNSERVED_REQUESTS},
    )
    assert "x" in {swap.model for swap in swaps}


def test_unserved_requests_reset_with_a_replica_or_a_lost_lease() -> None:
    history = DemandHistory()
    demands = {"m0": ModelDemand(0.0, 2, requests_per_s=3.0)}
    for now_s in (0.0, 1.0, 2.0):
        history.update(demands, resident_models=(), now_s=now_s)
    assert history.unserved_requests == {"m0": 6.0}
    history.update(demands, resident_models=("m0",), now_s=3.0)
    assert history.unserved_requests == {}
    history.update(demands, resident_models=(), now_s=4.0)
    history.update(demands, resident_models=(), now_s=60.0)
    assert history.unserved_requests == {}


def test_engines_that_restarted_empty_all_load_at_once() -> None:
    # Four of six engines crash and restart empty. When only half of all
    # engines could load at a time, for 5.8 s each from the weight store, the
    # rest stayed empty and most requests for the busy models were refused.
    engines = [an_engine_view(f"e{number}") for number in range(4)]
    engines += [
        an_engine_view("e4", "m0", accepts_orders=False),
        an_engine_view("e5", "m0", accepts_orders=False),
    ]
    demands = {
        "m0": ModelDemand(1.6, 0, requests_per_s=13.0),
        "m1": ModelDemand(0.8, 9, requests_per_s=9.0),
    }
    swaps = plan(*engines, demands=demands)
    assert len(swaps) == 4
    assert {swap.model for swap in swaps} == {"m0", "m1"}
