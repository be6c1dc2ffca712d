"""How closely the store is followed, and when the holder's word stands for it."""

import pytest

from rosepath.store_pace import READ_TIME_S, Following, catalog_pace, servers_pace

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
        if Following(bound_s=drain_s, crowded=crowded, told_age_s=age_s).covered:
            last_s = age_s
    alone = servers_pace(Following(bound_s=drain_s, crowded=crowded))
    assert last_s + READ_TIME_S <= drain_s
    assert alone.gather_s + alone.wait_s + FAILED_LOOK_S < drain_s


@sizes
def test_relaxed_watches_are_for_those_whom_a_word_covers(
    crowded: bool, drain_s: float
) -> None:
    # A relaxed watch may be told of a leaving server seconds late. Nobody may go
    # by it for what the holder's word doesn't vouch for.
    covered = Following(bound_s=drain_s, crowded=crowded, told_age_s=FRESH_S)
    alone = Following(bound_s=drain_s, crowded=crowded, told_age_s=drain_s)
    assert servers_pace(covered).relaxed and catalog_pace(covered).relaxed
    assert not servers_pace(alone).relaxed and not catalog_pace(alone).relaxed


@pytest.mark.parametrize("bound_s", [2.0, 3.0, 4.0])
def test_a_crowd_is_told_all_the_time_by_a_holder_that_looks(bound_s: float) -> None:
    # At 91 VMs, bounds of 2 s and words each 0.8 s, the word was too old half of
    # the time: all VMs watched the store for themselves, 118 calls a second.
    words_s = 0.8
    holding = Following(bound_s=bound_s, words_every_s=words_s)
    oldest_s = catalog_pace(holding).wait_s + words_s
    assert Following(bound_s=bound_s, crowded=True, told_age_s=oldest_s).covered


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
    covered = Following(bound_s=drain_s, crowded=crowded, told_age_s=FRESH_S)
    assert catalog_pace(covered).gather_s <= 0.25


@sizes
def test_a_watch_begins_within_the_stores_history(
    crowded: bool, drain_s: float
) -> None:
    covered = Following(bound_s=drain_s, crowded=crowded, told_age_s=FRESH_S)
    for pace in (servers_pace(covered), catalog_pace(covered)):
        assert pace.gather_s + pace.wait_s < 20.0
