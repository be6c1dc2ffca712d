"""The pace of a server is learned from its runs and from those of others."""

import random

import pytest

from rosepath.server_pace import (
    PRIOR_PREFILL_TOKENS_PER_S,
    SLOWDOWN_LASTS_S,
    CommonPaces,
    ServerPace,
)

TOKENS = 4000


def servers(count: int) -> list[ServerPace]:
    common = CommonPaces()
    return [ServerPace(common=common) for _ in range(count)]


def prefill(pace: ServerPace, rate: float, *, model: str = "m0", runs: int = 1) -> None:
    for _ in range(runs):
        pace.note_prefill(TOKENS, TOKENS / rate, model=model)


def rate(pace: ServerPace, model: str = "m0", tokens: int = TOKENS) -> float:
    return tokens / pace.prefill_s(tokens, now_s=100.0, model=model)


def test_one_slow_server_in_four_is_recognised_within_ten_runs() -> None:
    """Load: one server in four works at 0.46 of the others' pace."""
    rng = random.Random(1)
    fleet = servers(4)
    for _ in range(10):
        for number, pace in enumerate(fleet):
            usual = 0.46 * 30_000 if number == 0 else 30_000
            prefill(pace, usual * rng.uniform(0.9, 1.1))
    assert rate(fleet[0]) == pytest.approx(0.46 * 30_000, rel=0.1)
    for pace in fleet[1:]:
        assert rate(pace) == pytest.approx(30_000, rel=0.1)


def test_a_larger_model_is_slower_on_every_server() -> None:
    """Load: a model a third as fast comes to a server that had another one."""
    fast, slow, other = servers(3)
    for _ in range(10):
        prefill(fast, 30_000, model="m0")
        prefill(fast, 10_000, model="m1")
        prefill(slow, 15_000, model="m0")
        prefill(slow, 5_000, model="m1")
        prefill(other, 30_000, model="m0")
    assert rate(other, "m1") == pytest.approx(10_000, rel=0.15)
    assert rate(slow, "m1") == pytest.approx(5_000, rel=0.15)
    assert rate(fast, "m0") == pytest.approx(30_000, rel=0.15)


def test_a_server_that_starts_has_the_pace_of_the_others() -> None:
    """Failure: a server born again. It isn't taken for as fast as the prior."""
    common = CommonPaces()
    for _ in range(3):
        prefill(ServerPace(common=common), 12_000, runs=10)
    assert rate(ServerPace(common=common)) == pytest.approx(12_000, rel=0.1)
    assert rate(ServerPace()) == pytest.approx(PRIOR_PREFILL_TOKENS_PER_S)


def test_long_prompts_cost_more_a_token() -> None:
    """Load: a long prompt among short ones, with a time that grows faster than it."""
    fleet = servers(2)
    for _ in range(20):
        for pace in fleet:
            pace.note_prefill(1000, 1000 / 30_000, model="m0")
            pace.note_prefill(16_000, 16_000 / 15_000, model="m0")
    assert rate(fleet[0], tokens=1000) == pytest.approx(30_000, rel=0.15)
    assert rate(fleet[1], tokens=16_000) == pytest.approx(15_000, rel=0.15)


def test_outliers_do_not_change_the_pace() -> None:
    """Failure: a fifth of the runs preempted, or reported by a VM that was frozen."""
    [pace] = servers(1)
    for number in range(50):
        prefill(pace, 30_000 if number % 5 else 300)
    assert rate(pace) == pytest.approx(30_000, rel=0.05)


def test_first_runs_that_are_outliers_are_outweighed_by_the_prior() -> None:
    """Failure: a server's first three reports come from a VM that was frozen."""
    common = CommonPaces()
    for _ in range(3):
        prefill(ServerPace(common=common), 30_000, runs=10)
    fresh = ServerPace(common=common)
    prefill(fresh, 300, runs=3)
    assert rate(fresh) == pytest.approx(30_000, rel=0.05)


def test_the_pace_of_all_servers_follows_a_change() -> None:
    """Load: a shift of demand makes the prompts of all servers twice as slow."""
    common = CommonPaces()
    fleet = [ServerPace(common=common) for _ in range(4)]
    for pace in fleet:
        prefill(pace, 30_000, runs=50)
    for _ in range(50):
        for pace in fleet:
            prefill(pace, 15_000)
    assert rate(fleet[0]) == pytest.approx(15_000, rel=0.1)
    assert rate(ServerPace(common=common)) == pytest.approx(15_000, rel=0.1)


def test_a_slowdown_holds_for_a_moment_only() -> None:
    """Load: a server slowed for 0.6 s. Work that lasts longer ends at full pace."""
    [pace] = servers(1)
    pace.note_slowdown(2.5, now_s=10.0)
    assert pace.prefill_s(3000, now_s=10.0) == pytest.approx(0.25)
    assert pace.prefill_s(3000, now_s=10.0 + SLOWDOWN_LASTS_S) == pytest.approx(0.1)
    # 0.24 s of the work are done in the 0.6 s.
    assert pace.prefill_s(30_000, now_s=10.0) == pytest.approx(0.6 + 0.76)


def test_a_server_that_always_states_a_slowdown_keeps_it() -> None:
    """Load: one slow server in four that states its pace with each response."""
    [pace] = servers(1)
    for number in range(20):
        pace.note_slowdown(2.2, now_s=float(number))
    assert pace.current_slowdown(100.0) == pytest.approx(2.2)


def test_runs_during_a_slowdown_do_not_change_the_pace() -> None:
    """Load: a server slowed for 0.6 s at a time, whose runs end meanwhile."""
    [pace] = servers(1)
    for _ in range(20):
        pace.note_prefill(TOKENS, 2.5 * TOKENS / 30_000, model="m0", slowdown=2.5)
    assert rate(pace) == pytest.approx(30_000, rel=0.01)


def test_an_older_statement_does_not_replace_a_newer_one() -> None:
    """Failure: reports of several entry VMs arrive out of order."""
    [pace] = servers(1)
    pace.note_slowdown(1.0, now_s=10.0)
    pace.note_slowdown(2.5, now_s=9.9)
    assert pace.current_slowdown(10.1) == 1.0


def test_short_prefills_teach_nothing() -> None:
    """Load: prompts that are cached but for a few tokens."""
    [pace] = servers(1)
    for _ in range(50):
        pace.note_prefill(20, 0.05, model="m0")
    assert rate(pace) == pytest.approx(PRIOR_PREFILL_TOKENS_PER_S)


def test_the_time_between_events_is_learned_by_model_and_server() -> None:
    """Load: one slow server in four, whose streams are slow as well."""
    common = CommonPaces()
    fast = [ServerPace(common=common) for _ in range(3)]
    slow = ServerPace(common=common)
    for _ in range(10):
        for pace in fast:
            pace.note_event_gap(0.02, model="m0")
        slow.note_event_gap(0.045, model="m0")
    assert fast[0].event_gap_s(model="m0") == pytest.approx(0.02, rel=0.1)
    assert slow.event_gap_s(model="m0") == pytest.approx(0.045, rel=0.1)
    fresh = ServerPace(common=common)
    assert fresh.event_gap_s(model="m0") == pytest.approx(0.02, rel=0.1)
