"""Run generation requests on replicas, with retries and resumed streams."""

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
class RequestOptions:
    """Deadline, idempotency and tracing context of one caller's request."""

    idempotent: bool
    deadline_s: float
    data_centre: str
    span: trace.Span


@dataclass(slots=True)
class _AttemptHistory:
    """State of one request over all its attempts.

    `refused` has the replicas that rejected the request without running it.
    `retry_reserved` is True once the retry that follows the current attempt
    has been taken from the retry budget.
    """

    tried: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    evidence: list[Evidence] = field(default_factory=list)
    attempts: int = 0
    retry_reserved: bool = False
    last_error: str = ""
    last_peer: str = ""


class Dispatcher:
    """Run requests on the replicas of the tables.

    Owns the retry budget and the prefix index, and is shared with
    `ServiceRelay`, so that both kinds of requests draw on one budget.
    """

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
        self,
        generation: Generation,
        request_options: RequestOptions,
        on_events: OnBytes,
    ) -> StreamChecker:
        """Stream a model's response to `on_events`, resuming after failures.

        Raise RefusalError if no further attempt is allowed or possible.
        """
        checker = StreamChecker(generation.request_id)
        keys = prefix_keys(generation.target, generation.prompt)
        history = _AttemptHistory()
        self.budget.earn()
        while not checker.complete:
            replica = await self._choose(
                generation.target, keys, request_options, history
            )
            remaining = replace(generation, offset=checker.offset)
            try:
                await self._attempt(
                    replica, remaining, request_options, checker, history, on_events
                )
            except (ExchangeError, NotRunError, StreamBrokenError) as error:
                self._after_failure(replica, error, request_options, checker, history)
            else:
                self.prefixes.record(keys, replica.name)
        self._count_dropped_chunks(checker)
        return checker

    async def _attempt(
        self,
        replica: Replica,
        generation: Generation,
        request_options: RequestOptions,
        checker: StreamChecker,
        history: _AttemptHistory,
        on_events: OnBytes,
    ) -> None:
        checker.discard_partial_event()
        started_s = self._clock.monotonic_s()
        key = f"{generation.request_id}.{generation.offset}"

        def on_bytes(data: bytes) -> Awaitable[None] | None:
            forwarded = checker.feed(data)
            return on_events(forwarded) if forwarded else None

        def may_abort() -> bool:
            history.retry_reserved = self._may_abort(
                replica, generation, request_options, checker, history
            )
            return history.retry_reserved

        context = trace.set_span_in_context(request_options.span)
        attributes: dict[str, str | int] = {
            "peer": replica.name,
            "offset": generation.offset,
        }
        with self.telemetry.tracer.start_as_current_span(
            "backend.generate", context=context, attributes=attributes
        ) as span:
            replica.own_start_times[key] = started_s
            try:
                async with exchange_timeout(
                    request_options.deadline_s - started_s, replica.name
                ):
                    await self.backend.generate(
                        replica.address,
                        replace(generation, traceparent=traceparent_of(span)),
                        on_bytes,
                        self._send_policy(request_options, may_abort),
                    )
            except asyncio.CancelledError:
                self._cancel_later(replica, generation.request_id)
                raise
            finally:
                replica.own_start_times.pop(key, None)
        if not checker.complete:
            raise StreamBrokenError("the answer ended without its end marker")
        note_success(replica, held_s=self._clock.monotonic_s() - started_s)

    def _send_policy(
        self, request_options: RequestOptions, may_abort: Callable[[], bool]
    ) -> SendPolicy:
        # A middlebox that has dropped a connection's state discards a request
        # without an error, so it is unknown whether the request ran.
        # Non-idempotent requests therefore use a new connection, or a pooled
        # one that received a response recently.
        max_idle_s = (
            None if request_options.idempotent else self.settings.proven_live_within_s
        )
        return SendPolicy(
            connect_timeout_s=self.settings.connect_timeout_s,
            progress_timeout_s=self.settings.progress_timeout_s,
            proven_live_within_s=max_idle_s,
            may_abort=may_abort,
        )

    def _may_abort(
        self,
        replica: Replica,
        generation: Generation,
        request_options: RequestOptions,
        checker: StreamChecker,
        history: _AttemptHistory,
    ) -> bool:
        evidence = _evidence_after_send(checker)
        excluded = {replica.name, *history.refused}
        if evidence is Evidence.ANSWER_BEGUN:
            # An engine may lose a single stream. If it has a free slot, it did
            # not preempt the stream, so the same engine can resume it after
            # the last token.
            excluded = history.refused
        return self.may_abort_attempt(
            self._as_attempt(
                evidence, request_options, history, attempts=history.attempts + 1
            ),
            self.tables.replicas.values(),
            generation.target,
            excluded=excluded,
        )

    def may_abort_attempt(
        self,
        attempt: Attempt,
        replicas: Iterable[Replica],
        target: str,
        *,
        excluded: Collection[str],
    ) -> bool:
        """Return whether to abort an attempt at a silent server.

        The server may still be working on the request. The attempt is kept if
        no retry is allowed or no replica outside `excluded` has a free slot,
        as aborting it would fail a request that has time left. Takes a retry
        from the budget if it returns True with time left and none was taken
        before.
        """
        if attempt.left_s <= 0:
            return True
        if not has_capacity_elsewhere(replicas, target, excluded=excluded):
            return False
        return decide_retry(attempt, self.budget) is not Verdict.GIVE_UP

    def _cancel_later(self, replica: Replica, request_id: str) -> None:
        asyncio.ensure_future(self.backend.cancel(replica.address, request_id))

    async def _choose(
        self,
        target: str,
        keys: list[int],
        request_options: RequestOptions,
        history: _AttemptHistory,
    ) -> Replica:
        left_s = request_options.deadline_s - self._clock.monotonic_s()
        request = RoutingRequest(
            target=target,
            data_centre=request_options.data_centre,
            prefix_home=self.prefixes.find(keys),
            prefix_key=str(keys[0]) if keys else "",
            tried=frozenset(history.tried | history.refused),
        )
        replicas = self.tables.replicas.values()
        replica = await self.choose_with_fallback(
            replicas, request, refused=frozenset(history.refused)
        )
        if replica is None:
            raise self._unavailable(target, history)
        wait_s = predicted_first_token_s(replica, request_options.data_centre)
        if history.attempts == 0 and wait_s > left_s:
            raise refuse(
                503,
                "deadline_unreachable",
                f"the first token is predicted in {wait_s:.2f} s",
                step=Step.ROUTE,
                retry_after_s=wait_s - left_s,
            )
        return replica

    async def choose_with_fallback(
        self,
        replicas: Collection[Replica],
        request: RoutingRequest,
        *,
        refused: frozenset[str],
    ) -> Replica | None:
        """Choose an untried replica, or after a pause one that failed before.

        A model is often loaded on a single replica; excluding it after one
        broken connection would refuse requests that a second attempt serves.
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

    def _unavailable(self, target: str, history: _AttemptHistory) -> RefusalError:
        if history.evidence:
            return self._attempts_failed(history)
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
        request_options: RequestOptions,
        checker: StreamChecker,
        history: _AttemptHistory,
    ) -> None:
        """Record a failed attempt; raise RefusalError if it is not retried."""
        evidence = self._record_evidence(replica, error, checker)
        history.evidence.append(evidence)
        history.attempts += 1
        history.last_error, history.last_peer = str(error), replica.name
        history.tried.add(replica.name)
        if isinstance(error, NotRunError):
            history.refused.add(replica.name)
        verdict = decide_retry(
            self._as_attempt(
                evidence, request_options, history, attempts=history.attempts
            ),
            self.budget,
        )
        history.retry_reserved = False
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
            self._count_dropped_chunks(checker)
            raise self._attempts_failed(history) from error

    def _as_attempt(
        self,
        evidence: Evidence,
        request_options: RequestOptions,
        history: _AttemptHistory,
        *,
        attempts: int,
    ) -> Attempt:
        return Attempt(
            evidence=evidence,
            idempotent=request_options.idempotent,
            resumable=request_options.idempotent,
            attempts=attempts,
            max_attempts=MAX_ATTEMPTS,
            left_s=request_options.deadline_s - self._clock.monotonic_s(),
            retry_reserved=history.retry_reserved,
        )

    def _record_evidence(
        self, replica: Replica, error: Exception, checker: StreamChecker
    ) -> Evidence:
        if isinstance(error, NotRunError):
            self._apply_refusal(replica, error.code, checker)
            response_started = checker.offset > 0
            return Evidence.ANSWER_BEGUN if response_started else Evidence.REFUSED
        note_failure(replica, now_s=self._clock.monotonic_s())
        evidence = _evidence_after_send(checker)
        if isinstance(error, ExchangeError) and not error.sent:
            return Evidence.NOT_SENT if evidence is Evidence.SENT else evidence
        return evidence

    def _apply_refusal(
        self, replica: Replica, code: str, checker: StreamChecker
    ) -> None:
        if code == "leaving":
            self._on_leaving(replica.name)
        elif code == "not_loaded":
            # The load report was stale. The replica would refuse again until
            # the next report corrects its resident models.
            note_failure(replica, now_s=self._clock.monotonic_s())
        else:
            replica.queued = max(replica.queued, replica.slots)

    def _attempts_failed(self, history: _AttemptHistory) -> RefusalError:
        evidence = worst_evidence(history.evidence)
        run = run_from_evidence(evidence)
        return refuse(
            503 if run is Run.NO else 502,
            "backend_failed",
            f"{history.attempts} attempts failed; the last: {history.last_error}",
            step=Step.STREAM if run is Run.PARTIAL else Step.SEND,
            run=run,
            peer=history.last_peer,
            retry_after_s=1.0,
        )

    def _count_dropped_chunks(self, checker: StreamChecker) -> None:
        for reason, count in checker.dropped.items():
            self.telemetry.dropped_chunks.add(count, {"reason": reason.value})


def _evidence_after_send(checker: StreamChecker) -> Evidence:
    return Evidence.ANSWER_BEGUN if checker.offset > 0 else Evidence.SENT
