"""Models come back at the software version at which their streams began."""

from entry_builders import a_model, an_engine_view

from rosepath.demand import ModelDemand
from rosepath.engine_overload import EngineLimits
from rosepath.engine_plan import plan_swaps
from rosepath.engine_plan_state import EngineView
from rosepath.model_versions import STREAM_PATIENCE_S, ModelVersions

LIMITS = EngineLimits(slots=64, adapter_slots=8, first_s=0.6, gap_s=0.25)
MODELS = {name: a_model(name) for name in ("m0", "m1", "m2", "m3")}
WAITING = {"m0": ModelDemand(0.1, 2)}


def loaded_at(versions: ModelVersions, *engines: EngineView, now_s: float) -> list[str]:
    """Return the engines that are to load a model, of those that are left."""
    swaps = plan_swaps(
        engines,
        MODELS,
        WAITING,
        store_room=True,
        limits=LIMITS,
        last_versions=versions.recent(engines, now_s=now_s),
    )
    return [swap.engine for swap in swaps if swap.model == "m0"]


def versions_of(*engines: EngineView) -> ModelVersions:
    """Return what is known of the engines' models at time 0."""
    versions = ModelVersions()
    versions.update(engines, now_s=0.0)
    return versions


LOST = an_engine_view("e0", "m0", software_version="v2")
OTHERS = [
    an_engine_view("e1", "m1", software_version="v1"),
    an_engine_view("e2", "m2", software_version="v2"),
    an_engine_view("e3", "m3", software_version="v1"),
]


# Guards against streams that end since the model of their crashed engine comes back at
# an engine of another software version.
def test_a_model_comes_back_at_the_version_of_the_engine_that_lost_it() -> None:
    versions = versions_of(LOST, *OTHERS)
    assert loaded_at(versions, *OTHERS, now_s=0.5) == ["e2"]


# Guards against a model that stays absent as no engine of its version has room.
def test_a_model_comes_back_elsewhere_if_its_version_has_no_engine() -> None:
    versions = versions_of(LOST, *OTHERS)
    others = [engine for engine in OTHERS if engine.software_version == "v1"]
    mixed = [*others, an_engine_view("e4", software_version="v3")]
    assert len(loaded_at(versions, *mixed, now_s=0.5)) == 1


# Guards against plans that change where engines run one version, or for streams that
# nobody waits for any more.
def test_versions_make_no_difference_without_streams_that_could_go_on() -> None:
    versions = versions_of(LOST, *OTHERS)
    assert versions.recent(OTHERS, now_s=0.5) != {}
    assert versions.recent(OTHERS, now_s=STREAM_PATIENCE_S + 0.1) == {}
    same = [engine for engine in OTHERS if engine.software_version == "v1"]
    assert versions.recent(same, now_s=0.5) == {}
