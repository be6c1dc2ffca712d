"""How closely the store is followed, and when the holder's word stands for it."""

import pytest

from rosepath.store_pace import HolderWord, catalog_pace, servers_pace

DRAIN_S = {False: 2.0, True: 3.0}
LOOK_S = 0.25


@pytest.mark.parametrize("crowded", [False, True])
def test_a_lost_holders_word_is_missed_within_the_time_to_drain(crowded: bool) -> None:
    # A server leaves as the holder dies. Whoever trusts the holder's word for
    # too long sends requests to a server that is gone.
    last = 0.0
    for age_s in (step * 0.05 for step in range(200)):
        word = HolderWord(age_s=age_s, store_ago_s=0.3)
        if word.fresh(crowded=crowded):
            last = age_s
    alone = servers_pace(None, crowded=crowded)
    assert last + LOOK_S + 0.1 < DRAIN_S[crowded]
    assert alone.gather_s + 0.1 < DRAIN_S[crowded]


@pytest.mark.parametrize("crowded", [False, True])
def test_a_holder_without_the_store_spares_no_calls(crowded: bool) -> None:
    word = HolderWord(age_s=0.1, store_ago_s=2.0)
    assert servers_pace(word, crowded=crowded) == servers_pace(None, crowded=crowded)


@pytest.mark.parametrize("crowded", [False, True])
def test_a_configuration_is_never_held_back_to_gather_changes(crowded: bool) -> None:
    # Versions came every third of a second; gathered for eight seconds like the
    # servers' entries, the next one was in force long after its time.
    word = HolderWord(age_s=0.1, store_ago_s=0.3)
    assert catalog_pace(word, crowded=crowded).gather_s <= 0.25


@pytest.mark.parametrize("crowded", [False, True])
def test_a_watch_begins_within_the_stores_history(crowded: bool) -> None:
    word = HolderWord(age_s=0.1, store_ago_s=0.3)
    for pace in (servers_pace(word, crowded=crowded), catalog_pace(word, crowded=True)):
        assert pace.gather_s + pace.wait_s < 20.0
