"""Tests of whether requests wait for a model load or are refused."""

import random

from rosepath.model_arrivals import (
    ARRIVALS_TTL_S,
    RETRY_JITTER_S,
    ModelArrival,
    ModelArrivals,
    WaitChoice,
    WaitDecision,
    choose_wait,
)


def choose(due_s: float | None, *, now_s: float = 10.0, seed: int = 1) -> WaitChoice:
    return choose_wait(
        due_s=due_s,
        wait_until_s=11.7,
        now_s=now_s,
        rng=random.Random(seed),
    )


def test_request_waits_for_a_model_that_loads_in_time() -> None:
    assert choose(11.2).decision is WaitDecision.KEEP_WAITING


def test_request_is_refused_if_its_model_loads_too_late() -> None:
    # A load from the weight store takes 5.8 s and the caller disconnects after
    # 2 s. Held for 1.7 s and then refused with a retry after 0.5 s, the caller
    # was refused again and had used up its only retry.
    choice = choose(15.0)
    assert choice.decision is WaitDecision.REFUSE
    assert 5.0 <= choice.retry_after_s <= 5.0 + RETRY_JITTER_S


def test_retry_times_for_one_load_are_spread() -> None:
    retry_after_s = sorted(choose(15.0, seed=seed).retry_after_s for seed in range(50))
    assert retry_after_s[-1] - retry_after_s[0] > 0.5 * RETRY_JITTER_S


def test_request_waits_while_no_load_is_announced() -> None:
    # Callers of rare models wait up to 16 s while all engines that could load
    # one are busy with other swaps. Refused after 0.6 s, a quarter were
    # refused twice, and no waiting request remained to get the model loaded.
    assert choose(None, now_s=11.6).decision is WaitDecision.KEEP_WAITING


# Guards against requests for an absent model that are held although no load can
# be done before their callers leave.
def test_a_wait_ends_when_the_shortest_load_would_end_too_late() -> None:
    def choose_at(now_s: float) -> WaitChoice:
        return choose_wait(
            due_s=None,
            wait_until_s=11.7,
            now_s=now_s,
            rng=random.Random(1),
            shortest_load_s=4.0,
        )

    assert choose_at(7.6).decision is WaitDecision.KEEP_WAITING
    late = choose_at(7.8)
    assert late.decision is WaitDecision.REFUSE
    assert 4.0 <= late.retry_after_s <= 4.0 + RETRY_JITTER_S


def test_announced_loads_replace_earlier_ones_and_expire() -> None:
    arrivals = ModelArrivals()
    announced = (ModelArrival("e1", "m0", 4.0), ModelArrival("e2", "m0", 2.0))
    arrivals.replace_announced(announced, now_s=100.0)
    assert arrivals.due_s("m0", now_s=100.1) == 102.0
    assert arrivals.due_s("m1", now_s=100.1) is None
    assert arrivals.due_s("m0", now_s=100.2 + ARRIVALS_TTL_S) is None
    arrivals.replace_announced((), now_s=102.0)
    assert arrivals.due_s("m0", now_s=102.0) is None
