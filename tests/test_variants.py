"""Variants get their declared share, and the choice is deterministic."""

from builders import configuration, operation

from rosepath.variants import resolve_target

SPLIT = configuration(
    operation("model", "m", memory_bytes=1),
    operation("version", "v2", model="m", memory_bytes=1),
    operation(
        "route",
        "r",
        name="public",
        variants=[{"target": "m", "share": 0.9}, {"target": "m@v2", "share": 0.1}],
    ),
    operation(
        "route",
        "narrow",
        name="public",
        callers=["lab-*"],
        variants=[{"target": "m@v2", "share": 1.0}],
    ),
)


def test_shares_are_met_within_one_percent() -> None:
    picks = [resolve_target(SPLIT, "public", "c", str(n)) for n in range(20_000)]
    assert abs(picks.count("m@v2") / len(picks) - 0.1) < 0.01


def test_the_same_key_gets_the_same_variant() -> None:
    first = resolve_target(SPLIT, "public", "c", "key")
    assert all(resolve_target(SPLIT, "public", "c", "key") == first for _ in range(9))


def test_the_more_specific_route_is_chosen() -> None:
    assert resolve_target(SPLIT, "public", "lab-1", "k") == "m@v2"


def test_an_undeclared_name_resolves_to_none() -> None:
    assert resolve_target(SPLIT, "nothing", "c", "k") is None
