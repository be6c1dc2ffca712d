"""Rules for retrying a failed attempt, and for reporting whether it ran."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from rosepath.errors import Run

BUDGET_FLOOR = 3.0
BUDGET_CAP = 100.0


class Budget(Protocol):
    """Grant retries until the budget is spent."""

    def spend(self) -> bool: ...


@dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Hold a token bucket: requests add a share of a retry, retries take one.

    Prevents retries from multiplying the load while replicas fail.
    """

    share: float = 0.1
    balance: float = BUDGET_FLOOR

    def earn(self) -> None:
        """Record one request."""
        self.balance = min(BUDGET_CAP, self.balance + self.share)

    def spend(self) -> bool:
        """Take one retry; return False if the budget is spent."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


class Evidence(StrEnum):
    """State how far a failed attempt is known to have come."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    SENT = "sent"
    ANSWER_BEGUN = "answer_begun"


class Verdict(StrEnum):
    """State what follows a failed attempt."""

    RETRY = "retry"
    RESUME = "resume"
    GIVE_UP = "give_up"


class Obstacle(StrEnum):
    """State what prevents another attempt."""

    ATTEMPTS_USED = "attempts_used"
    OUT_OF_TIME = "out_of_time"
    NOT_IDEMPOTENT = "not_idempotent"
    NOT_RESUMABLE = "not_resumable"
    BUDGET_SPENT = "budget_spent"
    TOO_MANY_REFUSALS = "too_many_refusals"


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """Describe a failed attempt, as input to the retry decision.

    `retry_reserved` means that the next attempt is already taken from the
    budget, `sent_before` that another attempt has reached a server.
    """

    evidence: Evidence
    idempotent: bool
    resumable: bool
    attempts: int
    max_attempts: int
    left_s: float
    retry_reserved: bool = False
    sent_before: bool = False


def find_obstacle(
    attempt: Attempt, reserve_retry: Callable[[], bool]
) -> Obstacle | None:
    """Return what prevents a retry; if nothing does, reserve one."""
    if attempt.attempts >= attempt.max_attempts:
        return Obstacle.ATTEMPTS_USED
    if attempt.left_s <= 0:
        return Obstacle.OUT_OF_TIME
    proven_not_run = attempt.evidence in (Evidence.NOT_SENT, Evidence.REFUSED)
    if not proven_not_run and not attempt.idempotent:
        return Obstacle.NOT_IDEMPOTENT
    if attempt.evidence is Evidence.ANSWER_BEGUN and not attempt.resumable:
        return Obstacle.NOT_RESUMABLE
    if attempt.retry_reserved:
        return None
    if attempt.evidence is Evidence.NOT_SENT and not attempt.sent_before:
        return None
    return None if reserve_retry() else Obstacle.BUDGET_SPENT


def decide_retry(attempt: Attempt, budget: Budget) -> Verdict:
    """Decide whether to retry; takes a retry from the budget if so."""
    if find_obstacle(attempt, budget.spend) is not None:
        return Verdict.GIVE_UP
    if attempt.evidence is Evidence.ANSWER_BEGUN:
        return Verdict.RESUME
    return Verdict.RETRY


def run_from_evidence(evidence: Evidence) -> Run:
    """Return whether the request ran, as far as the evidence proves it."""
    if evidence in (Evidence.NOT_SENT, Evidence.REFUSED):
        return Run.NO
    return Run.PARTIAL if evidence is Evidence.ANSWER_BEGUN else Run.UNKNOWN


def worst_evidence(seen: list[Evidence]) -> Evidence:
    """Return the evidence of the attempt that came furthest."""
    order = list(Evidence)
    return max(seen, key=order.index)
