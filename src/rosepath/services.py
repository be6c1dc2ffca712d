"""Relay calls to plain services; retry only calls that are safe to repeat."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from opentelemetry import trace

from rosepath.deadlines import exchange_timeout
from rosepath.dispatch import Dispatcher, RequestOptions
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

MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
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
    """One call to a plain service.

    The body is either complete in `body` or still arriving in `body_chunks`.
    """

    service: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""
    body_chunks: AsyncIterator[bytes] | None = None


OnHead = Callable[[ResponseHead], None]
OnData = Callable[[bytes], Awaitable[None] | None]


@dataclass(slots=True)
class _BufferedResponse:
    """Buffer a short response until it is complete; stream a long one.

    A response whose head says that the call did not run is never forwarded.
    """

    on_head: OnHead
    on_data: OnData
    head: ResponseHead | None = None
    buffered: list[bytes] = field(default_factory=list)
    streaming: bool = False

    def on_response_head(self, head: ResponseHead) -> None:
        self.head = head
        length = head.headers.get("Content-Length", "")
        short = length.isdigit() and int(length) <= MAX_BUFFERED_RESPONSE_BYTES
        if short or head.headers.get(RUN_HEADER) == "no":
            return
        self.streaming = True
        self.on_head(head)

    def on_response_data(self, data: bytes) -> Awaitable[None] | None:
        if self.streaming:
            return self.on_data(data)
        self.buffered.append(data)
        return None

    @property
    def evidence_after_send(self) -> Evidence:
        # The caller has received nothing of a buffered response, so an
        # idempotent call may be retried as if no response had started.
        return Evidence.ANSWER_BEGUN if self.streaming else Evidence.SENT

    async def send_buffered(self) -> None:
        """Send the complete buffered response to the caller."""
        if self.streaming or self.head is None:
            return
        self.on_head(self.head)
        if self.buffered:
            await _await_optional(self.on_data(b"".join(self.buffered)))


@dataclass(slots=True)
class _AttemptHistory:
    """State of one call over all its attempts.

    `retry_reserved` is True once the retry that follows the current attempt
    has been taken from the retry budget.
    """

    tried: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    evidence_seen: list[Evidence] = field(default_factory=list)
    retry_reserved: bool = False


async def _await_optional(awaitable: Awaitable[None] | None) -> None:
    if awaitable is not None:
        await awaitable


class ServiceRelay:
    """Run calls to plain services on the replicas of the tables.

    Shares the dispatcher's retry budget and routing settings.
    """

    def __init__(self, dispatcher: Dispatcher, pool: HttpPool) -> None:
        self._dispatcher = dispatcher
        self._pool = pool

    async def call(
        self,
        call: ServiceCall,
        request_options: RequestOptions,
        on_head: OnHead,
        on_data: OnData,
    ) -> None:
        """Relay a call, with retries; raise RefusalError if it fails."""
        history = _AttemptHistory()
        self._dispatcher.budget.earn()
        while True:
            replica = await self._choose(call.service, request_options, history)
            response = _BufferedResponse(on_head, on_data)
            evidence, error = await self._attempt(
                replica, call, request_options, response, history
            )
            if evidence is None:
                await response.send_buffered()
                return
            history.evidence_seen.append(evidence)
            history.tried.add(replica.name)
            if evidence is Evidence.REFUSED:
                history.refused.add(replica.name)
            self._check_retry(replica, call, request_options, history, error)

    async def _choose(
        self, service: str, request_options: RequestOptions, history: _AttemptHistory
    ) -> Replica:
        request = RoutingRequest(
            target=service,
            data_centre=request_options.data_centre,
            tried=frozenset(history.tried),
        )
        replica = await self._dispatcher.choose_with_fallback(
            self._servers_of(service), request, refused=frozenset()
        )
        if replica is not None:
            return replica
        if history.evidence_seen:
            raise _attempts_failed(
                history.evidence_seen,
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
        """Return the time to the end of the first backoff, at least 1 s."""
        now_s = asyncio.get_running_loop().time()
        backoffs_s = [
            replica.backoff_until_s - now_s for replica in self._servers_of(service)
        ]
        return max(1.0, min(backoffs_s, default=0.0))

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
        request_options: RequestOptions,
        response: _BufferedResponse,
        history: _AttemptHistory,
    ) -> tuple[Evidence | None, str]:
        """Make one attempt; return the evidence and error of a failure."""
        clock_s = asyncio.get_running_loop().time
        started_s = clock_s()
        key = f"{id(call)}.{started_s}"
        settings = self._dispatcher.settings

        def may_break_off() -> bool:
            history.retry_reserved = self._dispatcher.may_abort_attempt(
                _as_attempt(
                    response.evidence_after_send,
                    call,
                    request_options,
                    history,
                    attempts=len(history.evidence_seen) + 1,
                ),
                self._servers_of(call.service),
                call.service,
                excluded={replica.name, *history.refused},
            )
            return history.retry_reserved

        context = trace.set_span_in_context(request_options.span)
        with self._dispatcher.telemetry.tracer.start_as_current_span(
            "backend.call", context=context, attributes={"peer": replica.name}
        ) as span:
            request = Request(
                address=replica.address,
                method=call.method,
                path=call.path,
                headers=_forwarded_headers(call.headers, traceparent_of(span)),
                body=call.body,
                body_chunks=call.body_chunks,
                connect_timeout_s=settings.connect_timeout_s,
                progress_timeout_s=settings.progress_timeout_s,
                proven_live_within_s=None
                if request_options.idempotent
                else settings.proven_live_within_s,
                may_break_off=may_break_off,
            )
            replica.own_starts[key] = started_s
            try:
                async with exchange_timeout(
                    request_options.deadline_s - started_s, replica.name
                ):
                    head = await self._pool.exchange(
                        request,
                        on_head=response.on_response_head,
                        on_data=response.on_response_data,
                    )
            except ExchangeError as error:
                note_failure(replica, now_s=clock_s())
                evidence = response.evidence_after_send
                return evidence if error.sent else Evidence.NOT_SENT, str(error)
            finally:
                replica.own_starts.pop(key, None)
        if head.headers.get(RUN_HEADER) == "no":
            retry_at_s = clock_s() + read_retry_after_s(head.headers)
            replica.backoff_until_s = max(replica.backoff_until_s, retry_at_s)
            return Evidence.REFUSED, f"{replica.name} refused before running"
        note_success(replica, held_s=clock_s() - started_s)
        return None, ""

    def _check_retry(
        self,
        replica: Replica,
        call: ServiceCall,
        request_options: RequestOptions,
        history: _AttemptHistory,
        error: str,
    ) -> None:
        evidence_seen = history.evidence_seen
        attempt = _as_attempt(
            evidence_seen[-1],
            call,
            request_options,
            history,
            attempts=len(evidence_seen),
        )
        history.retry_reserved = False
        if decide_retry(attempt, self._dispatcher.budget) is Verdict.GIVE_UP:
            raise _attempts_failed(evidence_seen, replica.name, error)


def _as_attempt(
    evidence: Evidence,
    call: ServiceCall,
    request_options: RequestOptions,
    history: _AttemptHistory,
    *,
    attempts: int,
) -> Attempt:
    # A body that was streamed from the caller cannot be sent a second time.
    body_consumed = call.body_chunks is not None and evidence is not Evidence.NOT_SENT
    return Attempt(
        evidence=evidence,
        idempotent=request_options.idempotent and not body_consumed,
        resumable=False,
        attempts=MAX_ATTEMPTS if body_consumed else attempts,
        max_attempts=MAX_ATTEMPTS,
        left_s=request_options.deadline_s - asyncio.get_running_loop().time(),
        retry_reserved=history.retry_reserved,
    )


def _attempts_failed(
    evidence_seen: list[Evidence], peer: str, error: str, *, retry_after_s: float = 1.0
) -> RefusalError:
    run = run_from_evidence(worst_evidence(evidence_seen))
    return refuse(
        503 if run is Run.NO else 502,
        "backend_failed",
        f"{len(evidence_seen)} attempts failed; the last: {error}",
        step=Step.SEND,
        run=run,
        peer=peer,
        retry_after_s=retry_after_s,
    )


def _forwarded_headers(headers: Mapping[str, str], traceparent: str) -> dict[str, str]:
    forwarded = {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS
    }
    if traceparent:
        forwarded["Traceparent"] = traceparent
    return forwarded
