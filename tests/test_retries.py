"""Retries require proof of not having run or idempotence, and a budget."""

from hypothesis import given, strategies as st

from rosepath.errors import Run
from rosepath.retries import (
    Attempt,
    Evidence,
    Obstacle,
    RetryBudget,
    Verdict,
    decide_retry,
    find_obstacle,
    run_from_evidence,
    worst_evidence,
)


def attempt(evidence: Evidence, **fields: object) -> Attempt:
    given_: dict = {
        "idempotent": True,
        "resumable": True,
        "attempts": 1,
        "max_attempts": 4,
        "left_s": 1.0,
        **fields,
    }
    return Attempt(evidence=evidence, **given_)


def test_a_non_idempotent_request_is_retried_only_if_it_did_not_run() -> None:
    verdicts = {
        evidence: decide_retry(attempt(evidence, idempotent=False), RetryBudget())
        for evidence in Evidence
    }
    assert verdicts == {
        Evidence.NOT_SENT: Verdict.RETRY,
        Evidence.REFUSED: Verdict.RETRY,
        Evidence.SENT: Verdict.GIVE_UP,
        Evidence.ANSWER_BEGUN: Verdict.GIVE_UP,
    }


def test_a_request_is_reported_as_not_run_only_on_proof() -> None:
    runs = {evidence: run_from_evidence(evidence) for evidence in Evidence}
    assert [e for e, run in runs.items() if run is Run.NO] == [
        Evidence.NOT_SENT,
        Evidence.REFUSED,
    ]
    seen = [Evidence.SENT, Evidence.NOT_SENT]
    assert run_from_evidence(worst_evidence(seen)) is Run.UNKNOWN


@given(st.integers(1, 2000))
def test_retries_stay_within_a_tenth_of_requests(requests: int) -> None:
    budget = RetryBudget()
    retries = 0
    for _ in range(requests):
        budget.earn()
        retries += decide_retry(attempt(Evidence.SENT), budget) is Verdict.RETRY
    assert retries <= 0.1 * requests + 3


def test_the_deadline_and_the_attempt_limit_prevent_a_retry() -> None:
    late = attempt(Evidence.NOT_SENT, left_s=0.0)
    many = attempt(Evidence.NOT_SENT, attempts=4)
    assert decide_retry(late, RetryBudget()) is Verdict.GIVE_UP
    assert decide_retry(many, RetryBudget()) is Verdict.GIVE_UP


def test_the_obstacle_to_another_attempt_is_named() -> None:
    # The log of a cut stream must show whether its route, its deadline or the
    # retry budget prevented the next attempt.
    spent = RetryBudget(balance=0.0)
    named = [
        find_obstacle(attempt(Evidence.SENT, attempts=4), RetryBudget().spend),
        find_obstacle(attempt(Evidence.SENT, left_s=0.0), RetryBudget().spend),
        find_obstacle(attempt(Evidence.SENT, idempotent=False), RetryBudget().spend),
        find_obstacle(
            attempt(Evidence.ANSWER_BEGUN, resumable=False), RetryBudget().spend
        ),
        find_obstacle(attempt(Evidence.ANSWER_BEGUN), spent.spend),
        find_obstacle(attempt(Evidence.ANSWER_BEGUN), RetryBudget().spend),
    ]
    assert named == [
        Obstacle.ATTEMPTS_USED,
        Obstacle.OUT_OF_TIME,
        Obstacle.NOT_IDEMPOTENT,
        Obstacle.NOT_RESUMABLE,
        Obstacle.BUDGET_SPENT,
        None,
    ]
