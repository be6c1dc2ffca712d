"""How closely the store is followed, and when the holder's word stands for it."""

import pytest

from rosepath.store_pace import LOOK_S, Following, catalog_pace, servers_pace

sizes = pytest.mark.parametrize(("crowded", "drain_s"), [(False, 2.0), (True, 3.0)])
FRESH_S = 0.1
# A look that fails takes as long as a call may.
FAILED_LOOK_S = 0.5


@sizes
def test_a_lost_holders_word_is_missed_within_the_time_to_drain(
    crowded: bool, drain_s: float
) -> None:
    # A server leaves as the holder dies. Whoever trusts the holder's word for
    # too long sends requests to a server that is gone.
    last_s = 0.0
    for age_s in (step * 0.05 for step in range(200)):
        if Following(bound_s=drain_s, crowded=crowded, told_age_s=age_s).told:
            last_s = age_s
    alone = servers_pace(Following(bound_s=drain_s, crowded=crowded))
    assert last_s + LOOK_S <= drain_s
    assert alone.gather_s + alone.wait_s + FAILED_LOOK_S < drain_s


@sizes
def test_a_holder_without_the_store_spares_no_calls(
    crowded: bool, drain_s: float
) -> None:
    stale = Following(bound_s=drain_s, crowded=crowded, told_age_s=drain_s)
    alone = Following(bound_s=drain_s, crowded=crowded)
    assert servers_pace(stale) == servers_pace(alone)


@sizes
def test_a_configuration_is_never_held_back_to_gather_changes(
    crowded: bool, drain_s: float
) -> None:
    # Versions came every third of a second; gathered for eight seconds like the
    # servers' entries, the next one was in force long after its time.
    told = Following(bound_s=drain_s, crowded=crowded, told_age_s=FRESH_S)
    assert catalog_pace(told).gather_s <= 0.25


@sizes
def test_a_watch_begins_within_the_stores_history(
    crowded: bool, drain_s: float
) -> None:
    told = Following(bound_s=drain_s, crowded=crowded, told_age_s=FRESH_S)
    for pace in (servers_pace(told), catalog_pace(told)):
        assert pace.gather_s + pace.wait_s < 20.0
