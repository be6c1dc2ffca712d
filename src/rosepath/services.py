"""Pass calls on to plain services, whole, and at most once where they must be."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from opentelemetry import trace

from rosepath.deadlines import exchange_timeout
from rosepath.dispatch import Dispatcher, Terms
from rosepath.errors import ExchangeError, RefusalError, Run, Step, refuse
from rosepath.http_client import HttpPool, Request, ResponseHead
from rosepath.retries import (
    Attempt,
    Evidence,
    Verdict,
    decide_retry,
    run_from_evidence,
    worst_evidence,
)
from rosepath.retry_after import read_retry_after_s
from rosepath.routing import RoutingRequest, note_failure, note_success
from rosepath.tables import Replica
from rosepath.telemetry import traceparent_of

HELD_ANSWER_BYTES = 256 * 1024
MAX_ATTEMPTS = 4
RUN_HEADER = "Rosepath-Run"
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "authorization",
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """Describe a call; its body is at hand or still arriving."""

    service: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""
    body_chunks: AsyncIterator[bytes] | None = None


OnHead = Callable[[ResponseHead], None]
OnData = Callable[[bytes], Awaitable[None] | None]


@dataclass(slots=True)
class _Answer:
    """Hold back a short answer until it is whole; pass a long one on."""

    on_head: OnHead
    on_data: OnData
    head: ResponseHead | None = None
    held: list[bytes] = field(default_factory=list)
    passing: bool = False

    def take_head(self, head: ResponseHead) -> None:
        self.head = head
        length = head.headers.get("Content-Length", "")
        short = length.isdigit() and int(length) <= HELD_ANSWER_BYTES
        if short or head.headers.get(RUN_HEADER) == "no":
            return
        self.passing = True
        self.on_head(head)

    def take_data(self, data: bytes) -> Awaitable[None] | None:
        if self.passing:
            return self.on_data(data)
        self.held.append(data)
        return None

    @property
    def evidence_once_sent(self) -> Evidence:
        # An answer that was held back is not lost on the caller: the call
        # may be repeated if it is idempotent, as if no answer had begun.
        return Evidence.ANSWER_BEGUN if self.passing else Evidence.SENT

    async def release(self) -> None:
        """Send what was held back, now that all of it is here."""
        if self.passing or self.head is None:
            return
        self.on_head(self.head)
        if self.held:
            await _maybe(self.on_data(b"".join(self.held)))


@dataclass(slots=True)
class _Course:
    """Hold how a call has gone so far, over all its attempts.

    `paid` says that the budget was spent for what follows the present attempt.
    """

    tried: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    seen: list[Evidence] = field(default_factory=list)
    paid: bool = False


async def _maybe(waiting: Awaitable[None] | None) -> None:
    if waiting is not None:
        await waiting


class ServiceRelay:
    """Run calls to plain services over the tables."""

    def __init__(self, dispatcher: Dispatcher, pool: HttpPool) -> None:
        self._dispatcher = dispatcher
        self._pool = pool

    async def call(
        self, call: ServiceCall, terms: Terms, on_head: OnHead, on_data: OnData
    ) -> None:
        """Pass a call on; raises RefusalError if it can't be answered."""
        course = _Course()
        self._dispatcher.budget.earn()
        while True:
            replica = await self._choose(call.service, terms, course)
            answer = _Answer(on_head, on_data)
            evidence, error = await self._attempt(replica, call, terms, answer, course)
            if evidence is None:
                await answer.release()
                return
            course.seen.append(evidence)
            course.tried.add(replica.name)
            if evidence is Evidence.REFUSED:
                course.refused.add(replica.name)
            self._judge(replica, call, terms, course, error)

    async def _choose(self, service: str, terms: Terms, course: _Course) -> Replica:
        request = RoutingRequest(
            target=service,
            data_centre=terms.data_centre,
            tried=frozenset(course.tried),
        )
        replica = await self._dispatcher.choose_again(
            self._servers_of(service), request, refused=frozenset()
        )
        if replica is not None:
            return replica
        if course.seen:
            raise _given_up(
                course.seen,
                "",
                "no other server is left",
                retry_after_s=self._retry_after_s(service),
            )
        raise refuse(
            503,
            "service_unavailable",
            f"no server of {service} can take calls now",
            step=Step.ROUTE,
            retry_after_s=max(2.0, self._retry_after_s(service)),
        )

    def _retry_after_s(self, service: str) -> float:
        """Return when the first server may take a call again that sheds them now."""
        now_s = asyncio.get_running_loop().time()
        left_s = [one.backoff_until_s - now_s for one in self._servers_of(service)]
        return max(1.0, min(left_s, default=0.0))

    def _servers_of(self, service: str) -> list[Replica]:
        return [
            replica
            for replica in self._dispatcher.tables.replicas.values()
            if replica.service == service
        ]

    async def _attempt(
        self,
        replica: Replica,
        call: ServiceCall,
        terms: Terms,
        answer: _Answer,
        course: _Course,
    ) -> tuple[Evidence | None, str]:
        """Make one attempt; return evidence and error if it failed."""
        clock_s = asyncio.get_running_loop().time
        started_s = clock_s()
        key = f"{id(call)}.{started_s}"
        settings = self._dispatcher.settings

        def may_break_off() -> bool:
            course.paid = self._dispatcher.leaves_silent(
                _as_attempt(
                    answer.evidence_once_sent,
                    call,
                    terms,
                    course,
                    attempts=len(course.seen) + 1,
                ),
                self._servers_of(call.service),
                call.service,
                unfit={replica.name, *course.refused},
            )
            return course.paid

        context = trace.set_span_in_context(terms.span)
        with self._dispatcher.telemetry.tracer.start_as_current_span(
            "backend.call", context=context, attributes={"peer": replica.name}
        ) as span:
            request = Request(
                address=replica.address,
                method=call.method,
                path=call.path,
                headers=_passed_headers(call.headers, traceparent_of(span)),
                body=call.body,
                body_chunks=call.body_chunks,
                connect_timeout_s=settings.connect_timeout_s,
                progress_timeout_s=settings.progress_timeout_s,
                proven_live_within_s=None
                if terms.idempotent
                else settings.proven_live_within_s,
                may_break_off=may_break_off,
            )
            replica.own_starts[key] = started_s
            try:
                async with exchange_timeout(terms.deadline_s - started_s, replica.name):
                    head = await self._pool.exchange(
                        request, on_head=answer.take_head, on_data=answer.take_data
                    )
            except ExchangeError as error:
                note_failure(replica, now_s=clock_s())
                sent = answer.evidence_once_sent
                return sent if error.sent else Evidence.NOT_SENT, str(error)
            finally:
                replica.own_starts.pop(key, None)
        if head.headers.get(RUN_HEADER) == "no":
            back_s = clock_s() + read_retry_after_s(head.headers)
            replica.backoff_until_s = max(replica.backoff_until_s, back_s)
            return Evidence.REFUSED, f"{replica.name} refused before running"
        note_success(replica, held_s=clock_s() - started_s)
        return None, ""

    def _judge(
        self,
        replica: Replica,
        call: ServiceCall,
        terms: Terms,
        course: _Course,
        error: str,
    ) -> None:
        seen = course.seen
        attempt = _as_attempt(seen[-1], call, terms, course, attempts=len(seen))
        course.paid = False
        if decide_retry(attempt, self._dispatcher.budget) is Verdict.GIVE_UP:
            raise _given_up(seen, replica.name, error)


def _as_attempt(
    evidence: Evidence,
    call: ServiceCall,
    terms: Terms,
    course: _Course,
    *,
    attempts: int,
) -> Attempt:
    # A body that is still arriving can't be sent a second time.
    spent = call.body_chunks is not None and evidence is not Evidence.NOT_SENT
    return Attempt(
        evidence=evidence,
        idempotent=terms.idempotent and not spent,
        resumable=False,
        attempts=MAX_ATTEMPTS if spent else attempts,
        max_attempts=MAX_ATTEMPTS,
        left_s=terms.deadline_s - asyncio.get_running_loop().time(),
        paid=course.paid,
    )


def _given_up(
    seen: list[Evidence], peer: str, error: str, *, retry_after_s: float = 1.0
) -> RefusalError:
    run = run_from_evidence(worst_evidence(seen))
    return refuse(
        503 if run is Run.NO else 502,
        "backend_failed",
        f"{len(seen)} attempts failed; the last: {error}",
        step=Step.SEND,
        run=run,
        peer=peer,
        retry_after_s=retry_after_s,
    )


def _passed_headers(headers: Mapping[str, str], traceparent: str) -> dict[str, str]:
    passed = {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS
    }
    if traceparent:
        passed["Traceparent"] = traceparent
    return passed
