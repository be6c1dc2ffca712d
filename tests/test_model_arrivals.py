"""Who waits for a model that nobody holds, and who is told when to be back."""

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


def test_a_model_that_comes_in_time_is_waited_for() -> None:
    assert choose(11.2).decision is WaitDecision.KEEP_WAITING


def test_a_model_that_comes_too_late_is_not_waited_for() -> None:
    # A model is on its way from the weight store for 5.8 s, its caller leaves
    # after 2 s. Held for 1.7 s and then told to come back in 0.5 s, the caller
    # was refused a second time and had used up its one repeat.
    choice = choose(15.0)
    assert choice.decision is WaitDecision.REFUSE
    assert 5.0 <= choice.retry_after_s <= 5.0 + RETRY_JITTER_S


def test_callers_for_one_load_do_not_return_together() -> None:
    retry_after_s = sorted(choose(15.0, seed=seed).retry_after_s for seed in range(50))
    assert retry_after_s[-1] - retry_after_s[0] > 0.5 * RETRY_JITTER_S


def test_without_word_of_a_load_a_request_waits_for_it() -> None:
    # Rare models are asked for by callers who have 16 s, while all engines that
    # could take one are in other swaps: refused after 0.6 s, a fourth of them
    # were refused twice, and nobody waited by whom their model was planned.
    assert choose(None, now_s=11.6).decision is WaitDecision.KEEP_WAITING


def test_the_holders_word_replaces_the_one_before_and_ends() -> None:
    arrivals = ModelArrivals()
    word = (ModelArrival("e1", "m0", 4.0), ModelArrival("e2", "m0", 2.0))
    arrivals.hear(word, now_s=100.0)
    assert arrivals.due_s("m0", now_s=100.1) == 102.0
    assert arrivals.due_s("m1", now_s=100.1) is None
    assert arrivals.due_s("m0", now_s=100.2 + ARRIVALS_TTL_S) is None
    arrivals.hear((), now_s=102.0)
    assert arrivals.due_s("m0", now_s=102.0) is None
