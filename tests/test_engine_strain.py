"""What an engine makes late, for services that read much and that write much."""

import pytest

from rosepath.engine_strain import (
    EngineLimits,
    Work,
    late_per_s,
    paused_share,
    waiting_share,
)

# Short prompts and long answers: 14 ms to read, 1.5 s to write, pauses of
# 150 ms are late.
WRITES = EngineLimits(slots=48, adapter_slots=8, first_s=0.3, gap_s=0.15)
# Long prompts and short answers: 125 ms to read, 0.4 s to write.
READS = EngineLimits(slots=64, adapter_slots=8, first_s=0.6, gap_s=0.25)


def writing(per_s: float) -> Work:
    return Work(read=0.014 * per_s, asked_per_s=per_s, running=1.5 * per_s)


def reading(per_s: float) -> Work:
    return Work(read=0.125 * per_s, asked_per_s=per_s, running=0.4 * per_s)


def test_long_streams_meet_a_burst_of_prompts_before_the_engine_looks_busy() -> None:
    # One engine held the busy model alone and read for a fifth of its time, by
    # which it looked idle. Each stream lived through ten windows of 150 ms, in
    # one of which a burst of prompts was read: a sixth of all came late.
    alone = writing(15.0)
    assert alone.read < 0.25
    assert 0.1 < paused_share(alone, WRITES) < 0.4
    assert paused_share(writing(7.5), WRITES) < 0.5 * paused_share(alone, WRITES)


def test_slots_fill_though_there_is_little_to_read() -> None:
    # 36 drafts a second of 1.5 s each need 54 slots of 48.
    assert late_per_s(writing(36.0), WRITES) > 36.0 * 0.9


def test_an_engine_that_reads_all_the_time_makes_all_late() -> None:
    assert waiting_share(reading(7.6), READS) > 0.9
    assert late_per_s(reading(9.0), READS) > 9.0
    assert late_per_s(reading(1.0), READS) < 0.1


@pytest.mark.parametrize("work", [writing, reading])
def test_more_work_makes_more_late(work: object) -> None:
    assert callable(work)
    late = [late_per_s(work(per_s), WRITES) for per_s in (0.0, 2.0, 8.0, 20.0, 60.0)]
    assert late[0] == 0.0
    assert late == sorted(late)


def test_two_half_loads_are_less_late_than_one_whole() -> None:
    for limits, work in ((WRITES, writing(24.0)), (READS, reading(6.0))):
        half = Work().plus(work, times=0.5)
        assert 2 * late_per_s(half, limits) < late_per_s(work, limits)


def test_nothing_asked_strains_nothing() -> None:
    assert late_per_s(Work(), WRITES) == 0.0
    assert late_per_s(Work(adapters=10.0), WRITES) > 0.0


def test_what_chance_makes_late_is_no_ground_to_spread_a_model() -> None:
    # Long prompts of a well used engine were spread over further copies, each
    # of which read their shared parts again: drafts came late more often.
    assert paused_share(reading(2.0), READS) > 0.05
    assert late_per_s(reading(2.0), READS) == 0.0
    assert late_per_s(reading(6.0), READS) > 1.0


@pytest.mark.parametrize("tiny", [5e-324, 1e-320, 1e-300, 1e-12])
def test_a_work_that_rounds_to_nothing_makes_nobody_late(tiny: float) -> None:
    # A model is asked for once in ages: what it takes to read, or how often it
    # is asked for, rounds to nothing. The holder's plan ended with a division
    # by zero each tick, and no model was loaded any more.
    for work in (
        Work(read=tiny, asked_per_s=1.0, running=1.0),
        Work(read=0.1, asked_per_s=tiny, running=1.0),
        Work(read=tiny, asked_per_s=10 * tiny, running=0.0),
    ):
        assert paused_share(work, READS) == 0.0
        late = late_per_s(work, READS)
        assert 0.0 <= late < 1e-3
