"""Try a request on replicas until it is answered, or refuse it honestly."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Collection, Iterable
from dataclasses import dataclass, field, replace

from opentelemetry import trace

from rosepath.backend import BackendPort, Generation, NotRunError, OnBytes, SendPolicy
from rosepath.clock import Clock
from rosepath.deadlines import exchange_timeout
from rosepath.errors import ExchangeError, RefusalError, Run, Step, refuse
from rosepath.logs import get_logger
from rosepath.prefixes import PrefixIndex, prefix_keys
from rosepath.retries import (
    Attempt,
    Evidence,
    RetryBudget,
    Verdict,
    decide_retry,
    run_from_evidence,
    worst_evidence,
)
from rosepath.routing import (
    RoutingPolicy,
    RoutingRequest,
    choose_replica,
    has_capacity_elsewhere,
    note_failure,
    note_success,
    predicted_first_token_s,
)
from rosepath.settings import RoutingSettings
from rosepath.streams import StreamBrokenError, StreamChecker
from rosepath.tables import Replica, Tables
from rosepath.telemetry import Telemetry, traceparent_of

MAX_ATTEMPTS = 4
RETRY_SAME_PAUSE_S = (0.02, 0.1)

_log = get_logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class Terms:
    """Hold what a caller asked of the way its request is run."""

    idempotent: bool
    deadline_s: float
    data_centre: str
    span: trace.Span


@dataclass(slots=True)
class _Course:
    """Hold how a request has gone so far, over all its attempts.

    `refused` holds the replicas that would only refuse again; `paid` says that
    the budget was spent for what follows the present attempt.
    """

    tried: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    evidence: list[Evidence] = field(default_factory=list)
    attempts: int = 0
    paid: bool = False
    last_error: str = ""
    last_peer: str = ""


class Dispatcher:
    """Hold what routing learns, and run requests over the tables."""

    def __init__(
        self,
        tables: Tables,
        backend: BackendPort,
        telemetry: Telemetry,
        settings: RoutingSettings,
        *,
        clock: Clock,
        rng: random.Random,
        on_leaving: Callable[[str], None],
    ) -> None:
        self.tables = tables
        self.backend = backend
        self.telemetry = telemetry
        self.settings = settings
        self.budget = RetryBudget(share=settings.retry_budget_share)
        self.prefixes = PrefixIndex()
        self.policy = RoutingPolicy(affinity_slack=settings.affinity_slack)
        self._clock = clock
        self._rng = rng
        self._on_leaving = on_leaving

    async def generate(
        self, generation: Generation, terms: Terms, on_events: OnBytes
    ) -> StreamChecker:
        """Answer a model request; raises RefusalError if it can't be."""
        checker = StreamChecker(generation.request_id)
        keys = prefix_keys(generation.target, generation.prompt)
        course = _Course()
        self.budget.earn()
        while not checker.complete:
            replica = await self._choose(generation.target, keys, terms, course)
            left = replace(generation, offset=checker.offset)
            try:
                await self._attempt(replica, left, terms, checker, course, on_events)
            except (ExchangeError, NotRunError, StreamBrokenError) as error:
                self._after_failure(replica, error, terms, checker, course)
            else:
                self.prefixes.note(keys, replica.name)
        self._count_dropped(checker)
        return checker

    async def _attempt(
        self,
        replica: Replica,
        generation: Generation,
        terms: Terms,
        checker: StreamChecker,
        course: _Course,
        on_events: OnBytes,
    ) -> None:
        checker.restart()
        started_s = self._clock.monotonic_s()
        key = f"{generation.request_id}.{generation.offset}"

        def on_bytes(data: bytes) -> Awaitable[None] | None:
            passed = checker.feed(data)
            return on_events(passed) if passed else None

        def may_break_off() -> bool:
            course.paid = self._leaves(replica, generation, terms, checker, course)
            return course.paid

        context = trace.set_span_in_context(terms.span)
        attributes: dict[str, str | int] = {
            "peer": replica.name,
            "offset": generation.offset,
        }
        with self.telemetry.tracer.start_as_current_span(
            "backend.generate", context=context, attributes=attributes
        ) as span:
            replica.own_starts[key] = started_s
            try:
                async with exchange_timeout(terms.deadline_s - started_s, replica.name):
                    await self.backend.generate(
                        replica.address,
                        replace(generation, traceparent=traceparent_of(span)),
                        on_bytes,
                        self._send_policy(terms, may_break_off),
                    )
            except asyncio.CancelledError:
                self._cancel_later(replica, generation.request_id)
                raise
            finally:
                replica.own_starts.pop(key, None)
        if not checker.complete:
            raise StreamBrokenError("the answer ended without its end marker")
        note_success(replica, held_s=self._clock.monotonic_s() - started_s)

    def _send_policy(
        self, terms: Terms, may_break_off: Callable[[], bool]
    ) -> SendPolicy:
        # A connection that something between the ends has forgotten swallows
        # a request without a word, and nobody can tell whether it ran. What
        # may run only once goes out where an answer came a moment ago.
        fresh_s = None if terms.idempotent else self.settings.proven_live_within_s
        return SendPolicy(
            connect_timeout_s=self.settings.connect_timeout_s,
            progress_timeout_s=self.settings.progress_timeout_s,
            proven_live_within_s=fresh_s,
            may_break_off=may_break_off,
        )

    def _leaves(
        self,
        replica: Replica,
        generation: Generation,
        terms: Terms,
        checker: StreamChecker,
        course: _Course,
    ) -> bool:
        evidence = _evidence_once_sent(checker)
        unfit = {replica.name, *course.refused}
        if evidence is Evidence.ANSWER_BEGUN:
            # An engine may lose a single stream. If it has room, it didn't set
            # that aside, and goes on after the last token without a loss.
            unfit = course.refused
        return self.leaves_silent(
            self._as_attempt(evidence, terms, course, attempts=course.attempts + 1),
            self.tables.replicas.values(),
            generation.target,
            unfit=unfit,
        )

    def leaves_silent(
        self,
        attempt: Attempt,
        replicas: Iterable[Replica],
        target: str,
        *,
        unfit: Collection[str],
    ) -> bool:
        """Tell whether a request leaves a silent server; spends a retry then.

        Its server may be at work: broken off while it may not or can't go on
        elsewhere, the request would be lost to its caller with time left.
        """
        if attempt.left_s <= 0:
            return True
        if not has_capacity_elsewhere(replicas, target, unfit=unfit):
            return False
        return decide_retry(attempt, self.budget) is not Verdict.GIVE_UP

    def _cancel_later(self, replica: Replica, request_id: str) -> None:
        asyncio.ensure_future(self.backend.cancel(replica.address, request_id))

    async def _choose(
        self, target: str, keys: list[int], terms: Terms, course: _Course
    ) -> Replica:
        left_s = terms.deadline_s - self._clock.monotonic_s()
        request = RoutingRequest(
            target=target,
            data_centre=terms.data_centre,
            prefix_home=self.prefixes.find(keys),
            prefix_key=str(keys[0]) if keys else "",
            tried=frozenset(course.tried | course.refused),
        )
        replicas = self.tables.replicas.values()
        replica = await self.choose_again(
            replicas, request, refused=frozenset(course.refused)
        )
        if replica is None:
            raise self._unavailable(target, course)
        wait_s = predicted_first_token_s(replica, terms.data_centre)
        if course.attempts == 0 and wait_s > left_s:
            raise refuse(
                503,
                "deadline_unreachable",
                f"the first token is predicted in {wait_s:.2f} s",
                step=Step.ROUTE,
                retry_after_s=wait_s - left_s,
            )
        return replica

    async def choose_again(
        self,
        replicas: Collection[Replica],
        request: RoutingRequest,
        *,
        refused: frozenset[str],
    ) -> Replica | None:
        """Choose an untried replica, or after a pause one that failed before.

        A model often has a single copy; giving up on it after one broken
        connection would refuse what a second try answers.
        """
        replica = self.choose(replicas, request)
        if replica is None and request.tried - refused:
            await asyncio.sleep(self._rng.uniform(*RETRY_SAME_PAUSE_S))
            replica = self.choose(replicas, replace(request, tried=refused))
        return replica

    def choose(
        self, replicas: Iterable[Replica], request: RoutingRequest
    ) -> Replica | None:
        """Choose a replica for one attempt."""
        return choose_replica(
            replicas,
            request,
            self.policy,
            now_s=self._clock.monotonic_s(),
            rng=self._rng,
        )

    def _unavailable(self, target: str, course: _Course) -> RefusalError:
        if course.evidence:
            return self._given_up(course)
        loading = any(
            replica.reachable and not replica.leaving
            for replica in self.tables.replicas.values()
        )
        return refuse(
            503,
            "model_unavailable",
            f"no replica of {target} can take requests now",
            step=Step.ROUTE,
            retry_after_s=2.0 if loading else 10.0,
        )

    def _after_failure(
        self,
        replica: Replica,
        error: Exception,
        terms: Terms,
        checker: StreamChecker,
        course: _Course,
    ) -> None:
        """Learn from a failure; return to try again, or raise the refusal."""
        evidence = self._evidence(replica, error, checker)
        course.evidence.append(evidence)
        course.attempts += 1
        course.last_error, course.last_peer = str(error), replica.name
        course.tried.add(replica.name)
        if isinstance(error, NotRunError):
            course.refused.add(replica.name)
        verdict = decide_retry(
            self._as_attempt(evidence, terms, course, attempts=course.attempts),
            self.budget,
        )
        course.paid = False
        self.telemetry.retries.add(
            1, {"verdict": verdict.value, "evidence": evidence.value}
        )
        _log.warning(
            "attempt_failed",
            request_id=checker.request_id,
            peer=replica.name,
            step=getattr(error, "step", Step.STREAM),
            evidence=evidence,
            verdict=verdict,
            error=str(error),
        )
        if verdict is Verdict.GIVE_UP:
            self._count_dropped(checker)
            raise self._given_up(course) from error

    def _as_attempt(
        self, evidence: Evidence, terms: Terms, course: _Course, *, attempts: int
    ) -> Attempt:
        return Attempt(
            evidence=evidence,
            idempotent=terms.idempotent,
            resumable=terms.idempotent,
            attempts=attempts,
            max_attempts=MAX_ATTEMPTS,
            left_s=terms.deadline_s - self._clock.monotonic_s(),
            paid=course.paid,
        )

    def _evidence(
        self, replica: Replica, error: Exception, checker: StreamChecker
    ) -> Evidence:
        if isinstance(error, NotRunError):
            self._learn_refusal(replica, error.code, checker)
            begun = checker.offset > 0
            return Evidence.ANSWER_BEGUN if begun else Evidence.REFUSED
        note_failure(replica, now_s=self._clock.monotonic_s())
        evidence = _evidence_once_sent(checker)
        if isinstance(error, ExchangeError) and not error.sent:
            return Evidence.NOT_SENT if evidence is Evidence.SENT else evidence
        return evidence

    def _learn_refusal(
        self, replica: Replica, code: str, checker: StreamChecker
    ) -> None:
        if code == "leaving":
            self._on_leaving(replica.name)
        elif code == "not_loaded":
            # The report was stale; the next one will tell. Until then this
            # replica would only refuse again.
            note_failure(replica, now_s=self._clock.monotonic_s())
        else:
            replica.queued = max(replica.queued, replica.slots)

    def _given_up(self, course: _Course) -> RefusalError:
        evidence = worst_evidence(course.evidence)
        run = run_from_evidence(evidence)
        return refuse(
            503 if run is Run.NO else 502,
            "backend_failed",
            f"{course.attempts} attempts failed; the last: {course.last_error}",
            step=Step.STREAM if run is Run.PARTIAL else Step.SEND,
            run=run,
            peer=course.last_peer,
            retry_after_s=1.0,
        )

    def _count_dropped(self, checker: StreamChecker) -> None:
        for reason, count in checker.dropped.items():
            self.telemetry.dropped_chunks.add(count, {"reason": reason.value})


def _evidence_once_sent(checker: StreamChecker) -> Evidence:
    return Evidence.ANSWER_BEGUN if checker.offset > 0 else Evidence.SENT
