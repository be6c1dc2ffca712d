"""Plans load the floor first, move little and never unload a last copy."""

from builders import engine_view, placement_view
from hypothesis import given, strategies as st

from rosepath.placement import plan
from rosepath.placement_types import PlacementPolicy, PlacementView
from rosepath.tables import Move, MoveAction, MoveReason

POLICY = PlacementPolicy()


def moves(view: PlacementView, policy: PlacementPolicy = POLICY) -> list[Move]:
    return list(plan(view, policy).moves)


def test_no_moves_when_every_anchored_copy_is_loaded() -> None:
    engines = [engine_view("a", ready=frozenset({"m"}), free_bytes=70)]
    view = placement_view(engines, {"m": 30}, anchors={"m": "a"})
    assert moves(view) == []


def test_missing_anchored_base_is_loaded() -> None:
    view = placement_view([engine_view("a")], {"m": 30}, anchors={"m": "a"})
    (move,) = moves(view)
    assert (move.action, move.reason) == (MoveAction.LOAD, MoveReason.FLOOR)


def test_planned_anchor_causes_no_load_until_it_is_stored() -> None:
    view = placement_view([engine_view("a")], {"m": 30})
    assert plan(view, POLICY).anchors == {"m": "a"}
    assert moves(view) == []


def overloaded_view(**fields: object) -> PlacementView:
    engines = [
        engine_view("a", ready=frozenset({"m"}), free_bytes=70),
        engine_view("b", ready=frozenset({"n"}), free_bytes=70),
    ]
    given_: dict = {"anchors": {"m": "a", "n": "b"}, "demand": {"m": 8.0}, **fields}
    return placement_view(engines, {"m": 30, "n": 30}, **given_)


def test_base_on_an_overloaded_engine_gets_a_second_copy() -> None:
    (move,) = moves(overloaded_view())
    assert (move.target, move.backend_server) == ("m", "b")
    assert move.reason is MoveReason.DEMAND


def test_no_copy_is_added_when_its_cost_exceeds_its_gain() -> None:
    assert moves(overloaded_view(), PlacementPolicy(move_cost_s=1e6)) == []


def test_no_demand_copies_in_a_quiet_window() -> None:
    assert moves(overloaded_view(), PlacementPolicy(demand_copies_allowed=False)) == []


def test_no_moves_at_low_demand() -> None:
    assert moves(overloaded_view(demand={"m": 2.0})) == []


def test_pinned_base_is_not_copied_to_other_engines() -> None:
    view = overloaded_view(pins={"m": ("a",)})
    assert moves(view) == []


targets = st.sampled_from(["m0", "m1", "m2", "m3"])


@given(
    st.lists(st.frozensets(targets), min_size=1, max_size=4),
    st.dictionaries(targets, st.integers(0, 3)),
    st.dictionaries(targets, st.floats(0, 50)),
    st.lists(st.booleans(), min_size=4, max_size=4),
)
def test_plan_never_unloads_an_anchored_or_last_copy(
    loaded: list[frozenset[str]],
    anchored_at: dict[str, int],
    demand: dict[str, float],
    draining: list[bool],
) -> None:
    engines = [
        engine_view(
            f"e{n}",
            ready=ready,
            free_bytes=100 - 30 * len(ready),
            draining=draining[n],
        )
        for n, ready in enumerate(loaded)
    ]
    anchors = {m: f"e{n}" for m, n in anchored_at.items() if n < len(engines)}
    view = placement_view(
        engines, {f"m{n}": 30 for n in range(4)}, anchors=anchors, demand=demand
    )
    remaining = {engine.name: set(engine.ready) for engine in engines}
    for move in moves(view):
        if move.action is MoveAction.UNLOAD:
            assert anchors.get(move.target) != move.backend_server
            remaining[move.backend_server].discard(move.target)
    before = set().union(*loaded)
    assert set().union(*remaining.values()) == before
