"""What an engine makes late, for services that read much and that write much."""

import pytest

from rosepath.engine_strain import (
    EngineLimits,
    Workload,
    late_per_s,
    late_prefill_share,
    stalled_stream_share,
)

# Short prompts and long answers: 14 ms to read, 1.5 s to write, pauses of
# 150 ms are late.
DECODE_HEAVY = EngineLimits(slots=48, adapter_slots=8, first_s=0.3, gap_s=0.15)
# Long prompts and short answers: 125 ms to read, 0.4 s to write.
PREFILL_HEAVY = EngineLimits(slots=64, adapter_slots=8, first_s=0.6, gap_s=0.25)


def decode_heavy(per_s: float) -> Workload:
    return Workload(prefill_share=0.014 * per_s, asked_per_s=per_s, running=1.5 * per_s)


def prefill_heavy(per_s: float) -> Workload:
    return Workload(prefill_share=0.125 * per_s, asked_per_s=per_s, running=0.4 * per_s)


def test_long_streams_meet_a_burst_of_prompts_before_the_engine_looks_busy() -> None:
    # One engine held the busy model alone and read for a fifth of its time, by
    # which it looked idle. Each stream lived through ten windows of 150 ms, in
    # one of which a burst of prompts was read: a sixth of all came late.
    alone = decode_heavy(15.0)
    assert alone.prefill_share < 0.25
    assert 0.1 < stalled_stream_share(alone, DECODE_HEAVY) < 0.4
    assert stalled_stream_share(
        decode_heavy(7.5), DECODE_HEAVY
    ) < 0.5 * stalled_stream_share(alone, DECODE_HEAVY)


def test_slots_fill_though_there_is_little_to_read() -> None:
    # 36 drafts a second of 1.5 s each need 54 slots of 48.
    assert late_per_s(decode_heavy(36.0), DECODE_HEAVY) > 36.0 * 0.9


def test_an_engine_that_reads_all_the_time_makes_all_late() -> None:
    assert late_prefill_share(prefill_heavy(7.6), PREFILL_HEAVY) > 0.9
    assert late_per_s(prefill_heavy(9.0), PREFILL_HEAVY) > 9.0
    assert late_per_s(prefill_heavy(1.0), PREFILL_HEAVY) < 0.1


@pytest.mark.parametrize("work", [decode_heavy, prefill_heavy])
def test_more_work_makes_more_late(work: object) -> None:
    assert callable(work)
    late = [
        late_per_s(work(per_s), DECODE_HEAVY) for per_s in (0.0, 2.0, 8.0, 20.0, 60.0)
    ]
    assert late[0] == 0.0
    assert late == sorted(late)


def test_two_half_loads_are_less_late_than_one_whole() -> None:
    for limits, work in (
        (DECODE_HEAVY, decode_heavy(24.0)),
        (PREFILL_HEAVY, prefill_heavy(6.0)),
    ):
        half = Workload().plus(work, times=0.5)
        assert 2 * late_per_s(half, limits) < late_per_s(work, limits)


def test_nothing_asked_strains_nothing() -> None:
    assert late_per_s(Workload(), DECODE_HEAVY) == 0.0
    assert late_per_s(Workload(adapters=10.0), DECODE_HEAVY) > 0.0


def test_what_chance_makes_late_is_no_ground_to_spread_a_model() -> None:
    # Long prompts of a well used engine were spread over further copies, each
    # of which read their shared parts again: drafts came late more often.
    assert stalled_stream_share(prefill_heavy(2.0), PREFILL_HEAVY) > 0.05
    assert late_per_s(prefill_heavy(2.0), PREFILL_HEAVY) == 0.0
    assert late_per_s(prefill_heavy(6.0), PREFILL_HEAVY) > 1.0


@pytest.mark.parametrize("tiny", [5e-324, 1e-320, 1e-300, 1e-12])
def test_a_work_that_rounds_to_nothing_makes_nobody_late(tiny: float) -> None:
    # A model is asked for once in ages: what it takes to read, or how often it
    # is asked for, rounds to nothing. The holder's plan ended with a division
    # by zero each tick, and no model was loaded any more.
    for work in (
        Workload(prefill_share=tiny, asked_per_s=1.0, running=1.0),
        Workload(prefill_share=0.1, asked_per_s=tiny, running=1.0),
        Workload(prefill_share=tiny, asked_per_s=10 * tiny, running=0.0),
    ):
        assert stalled_stream_share(work, PREFILL_HEAVY) == 0.0
        late = late_per_s(work, PREFILL_HEAVY)
        assert 0.0 <= late < 1e-3
