"""Tests of the kinds of requests that are owed service."""

from rosepath.service_floors import (
    FLOOR_SHARE,
    KIND_LASTS_S,
    SHARE_LASTS_S,
    ServiceFloors,
)


def floors_after(*, served: int, missed: int, now_s: float = 0.0) -> ServiceFloors:
    """Build the floors of a kind `high` always served, and one called `low`."""
    floors = ServiceFloors()
    for number in range(max(served, missed, 1)):
        floors.note("high", served=True, now_s=now_s)
        if number < served:
            floors.note("low", served=True, now_s=now_s)
        if number < missed:
            floors.note("low", served=False, now_s=now_s)
    return floors


def test_a_kind_that_is_never_served_is_owed_service() -> None:
    """Guards against a rare kind that starves until many of its requests have."""
    assert floors_after(served=0, missed=3).owed(now_s=0.0) == {"low"}


def test_a_kind_that_is_served_half_as_often_is_not() -> None:
    """Guards against floors that undo the order of ranks."""
    assert floors_after(served=30, missed=30).owed(now_s=0.0) == frozenset()


def test_what_is_owed_takes_every_other_turn_at_most() -> None:
    """Guards against a flood of one kind that takes all room by its misses."""
    floors = floors_after(served=0, missed=30)
    floors.note_turn(was_owed=True)
    assert floors.owed(now_s=0.0) == frozenset()
    floors.note_turn(was_owed=False)
    assert floors.owed(now_s=0.0) == {"low"}


def test_service_on_owed_turns_holds_the_floor() -> None:
    """Guards against a floor that holds a kind far below or above its share."""
    floors = ServiceFloors()
    served = 0
    for _ in range(600):
        floors.note("high", served=True, now_s=0.0)
        floors.note_turn(was_owed=False)
        owed = "low" in floors.owed(now_s=0.0)
        floors.note("low", served=owed, now_s=0.0)
        served += owed
    assert 0.9 * FLOOR_SHARE <= served / 600 <= 1.5 * FLOOR_SHARE


def test_a_kind_without_requests_is_no_measure() -> None:
    """Guards against floors by a load that is over."""
    floors = floors_after(served=0, missed=10)
    floors.note("low", served=False, now_s=SHARE_LASTS_S + 1)
    assert floors.owed(now_s=SHARE_LASTS_S + 1) == frozenset()


def test_the_floor_is_a_part_of_the_best_kinds_share() -> None:
    """Guards against all kinds being owed under a hopeless overload."""
    floors = ServiceFloors()
    for number in range(100):
        floors.note("a", served=number % 5 == 0, now_s=0.0)
        floors.note("b", served=number % 6 == 0, now_s=0.0)
    assert floors.owed(now_s=0.0) == frozenset()


def test_old_kinds_are_forgotten() -> None:
    """Guards against memory that grows with the kinds ever seen."""
    floors = floors_after(served=0, missed=3)
    floors.drop_old(now_s=KIND_LASTS_S + 1)
    assert not floors._kinds
