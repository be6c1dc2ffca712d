"""Whether a failed attempt may be made again, and what to say if not."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from rosepath.errors import Run

BUDGET_FLOOR = 3.0
BUDGET_CAP = 100.0


class Budget(Protocol):
    """Allow repeats as long as there is room for them."""

    def spend(self) -> bool: ...


@dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Earn a share of a retry with each request; spend one a retry.

    Without it, retries multiply the load just when replicas fail.
    """

    share: float = 0.1
    balance: float = BUDGET_FLOOR

    def earn(self) -> None:
        """Note one request."""
        self.balance = min(BUDGET_CAP, self.balance + self.share)

    def spend(self) -> bool:
        """Take one retry, or return False."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


class Evidence(StrEnum):
    """Say what is known of an attempt that failed."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    SENT = "sent"
    ANSWER_BEGUN = "answer_begun"


class Verdict(StrEnum):
    """Say what follows a failed attempt."""

    RETRY = "retry"
    RESUME = "resume"
    GIVE_UP = "give_up"


class Obstacle(StrEnum):
    """Say what stands against another attempt."""

    ATTEMPTS_USED = "attempts_used"
    OUT_OF_TIME = "out_of_time"
    NOT_IDEMPOTENT = "not_idempotent"
    NOT_RESUMABLE = "not_resumable"
    BUDGET_SPENT = "budget_spent"
    TOO_MANY_REFUSALS = "too_many_refusals"


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """Describe a failed attempt as far as the verdict depends on it.

    `paid` says that the budget was spent for what follows it already.
    """

    evidence: Evidence
    idempotent: bool
    resumable: bool
    attempts: int
    max_attempts: int
    left_s: float
    paid: bool = False


def find_obstacle(attempt: Attempt, take_repeat: Callable[[], bool]) -> Obstacle | None:
    """Return what stands against another try; takes a repeat if nothing does."""
    if attempt.attempts >= attempt.max_attempts:
        return Obstacle.ATTEMPTS_USED
    if attempt.left_s <= 0:
        return Obstacle.OUT_OF_TIME
    proven_not_run = attempt.evidence in (Evidence.NOT_SENT, Evidence.REFUSED)
    if not proven_not_run and not attempt.idempotent:
        return Obstacle.NOT_IDEMPOTENT
    if attempt.evidence is Evidence.ANSWER_BEGUN and not attempt.resumable:
        return Obstacle.NOT_RESUMABLE
    if attempt.evidence is Evidence.NOT_SENT or attempt.paid:
        return None
    return None if take_repeat() else Obstacle.BUDGET_SPENT


def judge(attempt: Attempt, budget: Budget) -> Verdict:
    """Decide whether to try again; spends the budget if it says so."""
    if find_obstacle(attempt, budget.spend) is not None:
        return Verdict.GIVE_UP
    if attempt.evidence is Evidence.ANSWER_BEGUN:
        return Verdict.RESUME
    return Verdict.RETRY


def run_of(evidence: Evidence) -> Run:
    """Return what a refusal may honestly say after this evidence."""
    if evidence in (Evidence.NOT_SENT, Evidence.REFUSED):
        return Run.NO
    return Run.PARTIAL if evidence is Evidence.ANSWER_BEGUN else Run.UNKNOWN


def worst_evidence(seen: list[Evidence]) -> Evidence:
    """Return the evidence that admits most, over all attempts of a request."""
    order = list(Evidence)
    return max(seen, key=order.index)
