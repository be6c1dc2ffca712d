"""Which model is loaded where, by demand and what it would cost others."""

from dataclasses import replace

import pytest
from entry_builders import a_model, an_engine_view
from hypothesis import example, given, settings, strategies as st

from rosepath.catalog import ModelSpec
from rosepath.demand import ModelDemand
from rosepath.demand_history import DemandHistory
from rosepath.engine_books import EngineView, Swap
from rosepath.engine_plan import plan_swaps
from rosepath.engine_strain import EngineLimits

LIMITS = EngineLimits(slots=64, adapter_slots=8, first_s=0.6, gap_s=0.25)
# So many requests in vain make room for a model wherever it fits.
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


def test_a_model_that_somebody_waits_for_takes_the_place_of_an_idle_one() -> None:
    swaps = plan(
        an_engine_view("e1", "m0", "m1"),
        demands={"m0": ModelDemand(0.5, 0), "m2": ModelDemand(0.0, 3)},
    )
    assert [(swap.model, swap.victims) for swap in swaps] == [("m2", ("m1",))]


def test_a_model_in_use_is_not_unloaded_for_one_more_copy() -> None:
    # An unload waits for the running requests of its model, and its engine
    # takes no other order until they end: adapters stood still for seconds.
    view = an_engine_view("e1", "m1", "m2", in_use={"m1": 3, "m2": 3})
    other = an_engine_view("e2", "m0", "m3", in_use={"m0": 1, "m3": 1})
    demands = {name: ModelDemand(0.05, 0) for name in ("m1", "m2", "m3")}
    demands["m0"] = ModelDemand(0.6, 0)
    assert plan(view, other, demands=demands) == []


def test_a_load_that_is_on_its_way_is_not_ordered_again() -> None:
    swaps = plan(
        an_engine_view("e1", "m0", settled=False, coming="m2"),
        an_engine_view("e2", "m1", "m3"),
        demands={"m2": ModelDemand(0.0, 2)},
    )
    assert swaps == []


def test_copies_on_engines_that_take_no_order_now_still_count() -> None:
    # Left out while a report was due, their models looked lost, and were
    # loaded a second time on the next engine.
    swaps = plan(
        an_engine_view("e1", "m0", "m1", settled=False),
        an_engine_view("e2", "m2", "m3"),
        demands={"m0": ModelDemand(0.1, 0)},
    )
    assert swaps == []


def test_quiet_engines_keep_what_they_hold() -> None:
    swaps = plan(
        an_engine_view("e1", "m0", "m1"),
        an_engine_view("e2", "m2", "m3"),
        demands={},
    )
    assert swaps == []


def test_a_model_with_more_adapters_than_places_gets_another_copy() -> None:
    adapters = frozenset(f"a{number}" for number in range(12))
    swaps = plan(
        an_engine_view("e1", "m0"),
        an_engine_view("e2", "m1"),
        demands={"m0": ModelDemand(0.1, 0, adapters)},
    )
    assert ("e2", "m0") in {(swap.engine, swap.model) for swap in swaps}


def test_without_room_at_the_weight_store_only_near_models_are_loaded() -> None:
    view = an_engine_view("e1", "m0", near={})
    assert plan(view, demands={"m2": ModelDemand(0, 9)}, store_room=False) == []


def test_only_some_engines_swap_at_the_same_time() -> None:
    engines = [an_engine_view(f"e{number}") for number in range(6)]
    swaps = plan(*engines, demands={})
    assert len(swaps) == 3


def test_two_busy_models_do_not_stay_on_one_engine() -> None:
    # Demand moves to two models of the same engine. Each alone it would bear;
    # both together, all first tokens there came seconds late while the other
    # engines had nothing to do, as no model by itself looked too busy.
    engines = [
        an_engine_view("e1", "m0", "m1"),
        an_engine_view("e2", "m2"),
        an_engine_view("e3", "m3"),
    ]
    demands = {"m0": ModelDemand(0.45, 0), "m1": ModelDemand(0.45, 0)}
    moved = {swap.model for swap in plan(*engines, demands=demands)}
    assert moved & {"m0", "m1"}


def test_a_crowd_for_one_model_goes_before_a_single_request_for_another() -> None:
    # Twenty wait for a model that a strained engine holds, one for a model that
    # nobody holds, and one engine at a time may swap: served first, the one
    # kept the twenty waiting for as long as two loads take.
    engines = [an_engine_view("e1", "m0"), an_engine_view("e2", "m1")]
    demands = {"m0": ModelDemand(0.9, 20), "m2": ModelDemand(0.0, 1)}
    assert [swap.model for swap in plan(*engines, demands=demands)] == ["m0"]


def test_a_swap_is_planned_with_what_the_ones_before_it_change() -> None:
    # Ten idle engines must not all take a copy of the one busy model.
    engines = [an_engine_view("e0", "m0")]
    engines += [an_engine_view(f"e{number}", "m1") for number in range(1, 11)]
    swaps = plan(*engines, demands={"m0": ModelDemand(0.7, 0)})
    assert 1 <= sum(swap.model == "m0" for swap in swaps) <= 2


def test_models_that_fit_nowhere_do_not_keep_others_from_their_copies() -> None:
    # Of 171 models, more are waited for than are weighed for one swap, and no
    # engine can take any of those. Looked at first and alone, they kept busy
    # models on one engine each while most engines idled.
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


def test_a_second_copy_goes_where_the_data_centre_has_none() -> None:
    # A data centre that is cut off serves only what its own engines hold.
    engines = [
        an_engine_view("e1", "m0", data_centre="a"),
        an_engine_view("e2", "m1", data_centre="a"),
        an_engine_view("e3", "m1", data_centre="b"),
    ]
    first = plan(*engines, demands={"m0": ModelDemand(0.9, 0)})[0]
    assert (first.engine, first.model) == ("e3", "m0")


def test_a_crowd_gets_the_model_where_it_is_there_first() -> None:
    # A model that nine wait for is loaded where nothing has to end before and
    # it is on disk; from the store, or after running requests, they would wait
    # as long again.
    engines = [
        an_engine_view("e1", "m1", "m3", near={}),
        an_engine_view("e2", "m1", "m3", in_use={"m1": 1, "m3": 1}),
        an_engine_view("e3", "m1", "m3"),
    ]
    swaps = plan(*engines, demands={"m2": ModelDemand(0.0, 9)})
    assert (swaps[0].engine, swaps[0].model) == ("e3", "m2")


def slow_loading(name: str, *, load_s: float) -> ModelSpec:
    return replace(a_model(name), load_s=load_s)


@pytest.mark.parametrize("load_s", [0.5, 5.8, 30.0, 300.0])
def test_a_model_that_is_asked_for_is_loaded_however_long_that_takes(
    load_s: float,
) -> None:
    # A spot engine leaves with the only copy of a busy model. Its load from the
    # weight store takes as long as demand was reckoned to last, so that nothing
    # was gained by it, and hundreds of requests were refused until the day's
    # end, next to engines that had room.
    models = MODELS | {"m0": slow_loading("m0", load_s=load_s)}
    engines = [
        an_engine_view("e1", "m1", "m2", near={}, in_use={"m1": 2, "m2": 1}),
        an_engine_view("e2", "m1", "m3", near={}, in_use={"m1": 2, "m3": 1}),
    ]
    demands = {
        "m0": ModelDemand(0.0, 9, asked_per_s=12.0),
        "m1": ModelDemand(0.3, 0, asked_per_s=9.0),
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
    held = {name for view in engines for name in view.age_s}
    for tick in range(ticks):
        history.note(demands, held=held, now_s=tick / 10)
        swaps = plan_swaps(
            engines,
            models,
            demands,
            store_room=True,
            limits=LIMITS,
            owed=history.owed,
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
# A load so small that the time to read it rounds to nothing.
@example(load_s=1.0, size_mb=1_000.0, others=[5e-324], waiting=0, running=0)
def test_whatever_its_size_and_load_an_asked_for_model_that_fits_is_loaded(
    load_s: float, size_mb: float, others: list[float], waiting: int, running: int
) -> None:
    # That every declared model stays reachable is a promise, not a price.
    models = MODELS | {"x": replace(a_model("x", size_mb=size_mb), load_s=load_s)}
    engines = [
        an_engine_view("e1", "m0", "m1", near={}, in_use={"m0": running, "m1": 1}),
        an_engine_view("e2", "m2", "m3", near={}, in_use={"m2": 2, "m3": running}),
    ]
    demands = {
        f"m{number}": ModelDemand(load, 0, asked_per_s=10 * load)
        for number, load in enumerate(others)
    }
    demands["x"] = ModelDemand(0.0, waiting, asked_per_s=0.2)
    swaps = plan_swaps(
        engines,
        models,
        demands,
        store_room=True,
        limits=LIMITS,
        owed={"x": MAX_UNSERVED_REQUESTS},
    )
    assert "x" in {swap.model for swap in swaps}


def test_what_is_owed_ends_with_a_copy_and_with_the_lease() -> None:
    history = DemandHistory()
    demands = {"m0": ModelDemand(0.0, 2, asked_per_s=3.0)}
    for now_s in (0.0, 1.0, 2.0):
        history.note(demands, held=(), now_s=now_s)
    assert history.owed == {"m0": 6.0}
    history.note(demands, held=("m0",), now_s=3.0)
    assert history.owed == {}
    history.note(demands, held=(), now_s=4.0)
    history.note(demands, held=(), now_s=60.0)
    assert history.owed == {}


def test_engines_that_came_back_empty_all_load_at_once() -> None:
    # Four of six engines crash and come back empty. Half of all loaded at a
    # time, for 5.8 s each from the store, while the rest stood empty and most
    # requests for the busy models were refused.
    engines = [an_engine_view(f"e{number}") for number in range(4)]
    engines += [
        an_engine_view("e4", "m0", settled=False),
        an_engine_view("e5", "m0", settled=False),
    ]
    demands = {
        "m0": ModelDemand(1.6, 0, asked_per_s=13.0),
        "m1": ModelDemand(0.8, 9, asked_per_s=9.0),
    }
    swaps = plan(*engines, demands=demands)
    assert len(swaps) == 4
    assert {swap.model for swap in swaps} == {"m0", "m1"}
