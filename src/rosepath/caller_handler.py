"""Base of the callers' handlers: authentication, refusals, disconnects."""

import asyncio
import json
import math
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from opentelemetry import trace
from tornado.iostream import IOStream, StreamClosedError
from tornado.web import RequestHandler

from rosepath.admission import Admission
from rosepath.api_keys import key_digest
from rosepath.claims import HeldClaim, Outcome, claim_name, make_claim, request_digest
from rosepath.clock import Clock
from rosepath.configuration import Configuration
from rosepath.declarations import matches
from rosepath.dispatch import Dispatcher, RequestOptions
from rosepath.errors import Refusal, RefusalError, Run, Step, refuse
from rosepath.header_values import lowest_limit_s
from rosepath.http_exchange import disable_linger
from rosepath.logs import get_logger
from rosepath.object_store import PlatformPort
from rosepath.services import ServiceRelay
from rosepath.settings import Settings
from rosepath.telemetry import Telemetry, context_from_headers

WRITE_AHEAD_BYTES = 64 * 1024
MAX_KEY_CHARS = 255

# Of a request that was in progress when a planned stop ended.
STOP_REFUSAL = Refusal(
    502,
    "vm_stopping",
    "this entry VM stops before the response is complete",
    Run.UNKNOWN,
    Step.RESPONSE,
)

_log = get_logger()


@dataclass(slots=True, kw_only=True)
class CallerPorts:
    """Dependencies of the callers' handlers."""

    settings: Settings
    configuration: Callable[[], Configuration]
    dispatcher: Dispatcher
    relay: ServiceRelay
    admission: Admission
    platform: PlatformPort
    telemetry: Telemetry
    clock: Clock
    ready: Callable[[], str]
    # By request id.
    in_flight: "dict[str, Handler]"
    stopping: Callable[[], bool]


class Handler(RequestHandler):
    """Base class of the callers' handlers.

    Owns the task that serves the request. The task is cancelled when the
    caller disconnects, and a RefusalError that it raises is sent as a typed
    error.
    """

    def initialize(self, ports: CallerPorts) -> None:
        self.ports = ports
        self.task: asyncio.Task[None] | None = None
        self.request_id = uuid.uuid4().hex
        self.event_stream_started = False
        self._stop_ended = False
        if ports.stopping():
            # A caller that sends its next request on a connection that is
            # about to be closed cannot tell whether that request ran.
            self.set_header("Connection", "close")

    def set_default_headers(self) -> None:
        self.clear_header("Server")

    def compute_etag(self) -> str | None:
        return None

    def on_connection_close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def log_exception(self, *exc_info: Any) -> None:
        _log.error("handler_failed", request_id=self.request_id, exc_info=exc_info)

    def send_error(self, status_code: int = 500, **kwargs: Any) -> None:
        """Respond with an error, or break off a response that has started.

        Tornado would finish it, and callers would take it for complete.
        """
        if self._headers_written and not self._finished:
            self._break_off()
        else:
            super().send_error(status_code, **kwargs)

    def write_error(self, status_code: int, **_: Any) -> None:
        """Respond to an unexpected exception or to invalid HTTP."""
        server_error = status_code >= 500
        refusal = Refusal(
            status_code,
            "internal_error" if server_error else "bad_request",
            "an unexpected failure" if server_error else "the request cannot be read",
            Run.UNKNOWN if server_error else Run.NO,
            Step.PARSE,
        )
        self.set_header("Content-Type", "application/json")
        self.set_header("Rosepath-Run", refusal.run.value)
        self.finish(json.dumps(error_body(refusal, self.request_id)))

    async def run(self, step: Callable[[], Awaitable[None]]) -> None:
        """Run `step` as a task, cancelled when the caller disconnects."""
        self.ports.in_flight[self.request_id] = self
        self.task = asyncio.ensure_future(_await(step))
        try:
            await self.task
        except RefusalError as error:
            await self.send_refusal(error.refusal)
        except StreamClosedError:
            return
        except asyncio.CancelledError:
            if self._stop_ended:
                await self.send_refusal(STOP_REFUSAL)
            elif not self.request.connection.stream.closed():  # type: ignore[union-attr]
                raise
        finally:
            self.ports.in_flight.pop(self.request_id, None)

    def end_for_stop(self) -> None:
        """End the work on the request, as a planned stop ends, with a response."""
        if self.task is not None:
            self._stop_ended = True
            self.task.cancel()

    async def send_refusal(self, refusal: Refusal) -> None:
        """Send a refusal as the response, or as the last event of a stream."""
        self.ports.telemetry.refusals.add(
            1, {"code": refusal.code, "run": refusal.run.value}
        )
        _log.info(
            "refused",
            request_id=self.request_id,
            code=refusal.code,
            run=refusal.run,
            step=refusal.step,
            peer=refusal.peer,
        )
        body = json.dumps(error_body(refusal, self.request_id))
        try:
            if self._headers_written:
                await self._end_incomplete(body)
                return
            self.set_status(refusal.status)
            self.set_header("Content-Type", "application/json")
            self.set_header("Rosepath-Run", refusal.run.value)
            self.set_header("Rosepath-Request-Id", self.request_id)
            if refusal.retry_after_s is not None:
                seconds = max(1, round(refusal.retry_after_s + 0.5))
                self.set_header("Retry-After", str(seconds))
            await self.finish(body)
        except StreamClosedError:
            return

    async def _end_incomplete(self, body: str) -> None:
        """End a started response: send an error event or disconnect."""
        if self.event_stream_started:
            self.write(f"data: {body}\n\n")
            await self.finish()
            return
        self._break_off()

    def _break_off(self) -> None:
        """Reset the connection, so that a partial response does not look complete."""
        stream: IOStream = self.request.connection.stream  # type: ignore[union-attr]
        if not stream.closed():
            # An orderly close completes a response to a caller without chunks.
            disable_linger(stream.socket)
            stream.close()

    def authenticate(self) -> str:
        """Return the caller's name."""
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        callers = self.ports.configuration().callers_by_key
        found = callers.get(key_digest(key.strip()))
        if scheme.lower() != "bearer" or found is None:
            raise refuse(
                401,
                "invalid_api_key",
                "the key is missing or unknown",
                step=Step.AUTHENTICATE,
            )
        return found

    def may_reach(self, caller: str, name: str) -> bool:
        row = self.ports.configuration().table("caller").get(caller)
        return row is not None and matches(name, row.reach)

    def check_ready(self) -> None:
        """Raise RefusalError while this entry VM is not ready.

        Called before authentication: without a configuration no key is known,
        and a valid key must not be rejected. An entry VM that is stopping
        still serves the requests that arrive.
        """
        reason = "" if self.ports.stopping() else self.ports.ready()
        if reason:
            raise refuse(503, "not_ready", reason, step=Step.ROUTE, retry_after_s=1.0)

    def request_options(self, *, idempotent: bool, span: trace.Span) -> RequestOptions:
        """Read the request's deadline and idempotency from its headers."""
        settings = self.ports.settings
        timeout_s = settings.routing.request_timeout_s
        timeout_s = min(timeout_s, self._stated_limit_s())
        marked_idempotent = self.marked_idempotent()
        # By the wall clock, which may have been set back meanwhile.
        read_for_s = max(0.0, self.request.request_time())
        return RequestOptions(
            idempotent=idempotent and marked_idempotent,
            deadline_s=self.ports.clock.monotonic_s() + timeout_s - read_for_s,
            data_centre=settings.data_centre,
            span=span,
        )

    def _stated_limit_s(self) -> float:
        """Return how long the caller waits, infinity if it does not state that."""
        stated = self.request.headers.get_list("Rosepath-Deadline-Ms")
        try:
            limit_s = lowest_limit_s(stated)
        except ValueError:
            limit_s = 0.0
        if limit_s == 0.0:
            raise refuse(
                400,
                "invalid_header",
                "Rosepath-Deadline-Ms must be a positive number",
                step=Step.PARSE,
            )
        return math.inf if limit_s is None else limit_s

    def marked_idempotent(self) -> bool:
        """Return False if the caller marks the request as non-idempotent."""
        header_value = self.request.headers.get("Rosepath-Idempotent", "true").lower()
        if header_value not in ("true", "false"):
            raise refuse(
                400,
                "invalid_header",
                "Rosepath-Idempotent must be true or false",
                step=Step.PARSE,
            )
        return header_value == "true"

    def priority(self) -> int:
        """Return the priority of the request, limited to -100..100."""
        header_value = self.request.headers.get("Rosepath-Priority", "0")
        try:
            return max(-100, min(100, int(header_value)))
        except ValueError:
            raise refuse(
                400,
                "invalid_header",
                "Rosepath-Priority must be an integer",
                step=Step.PARSE,
            ) from None

    async def claim(self, caller: str, body: bytes) -> HeldClaim | Outcome | None:
        """Claim the idempotency key if the caller sent one.

        Return the recorded response if the key has been used before.
        """
        key = self.request.headers.get("Idempotency-Key", "")
        if not key:
            return None
        if len(key) > MAX_KEY_CHARS:
            raise refuse(
                400, "invalid_header", "Idempotency-Key is too long", step=Step.PARSE
            )
        return await make_claim(
            self.ports.platform,
            name=claim_name(caller, key),
            attempt=self.request_id,
            digest=request_digest(
                self.request.method or "", self.request.uri or "", body
            ),
        )

    def start_span(self, name: str, **attributes: str) -> trace.Span:
        """Start a span, as a child of the caller's span if it sent one."""
        context = context_from_headers(
            {"traceparent": self.request.headers.get("Traceparent", "")}
        )
        attributes["request_id"] = self.request_id
        return self.ports.telemetry.tracer.start_span(
            name, context=context, attributes=attributes
        )

    def write_with_backpressure(self, data: bytes) -> Awaitable[None] | None:
        """Write to the caller.

        Return an awaitable once more than WRITE_AHEAD_BYTES are unsent; the
        sender waits for it before it reads further data.
        """
        self.write(data)
        written = self.flush()
        stream = self.request.connection.stream  # type: ignore[union-attr]
        if len(stream._write_buffer) > WRITE_AHEAD_BYTES:
            return written
        return None

    async def replay(self, outcome: Outcome) -> None:
        """Send the recorded response of the key's earlier request."""
        self.set_status(outcome.status)
        for name, value in outcome.headers.items():
            self.set_header(name, value)
        self.set_header("Rosepath-Replayed", "true")
        await self.finish(outcome.body)


async def _await(step: Callable[[], Awaitable[None]]) -> None:
    await step()


def error_body(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return a refusal in the error format of the OpenAI API."""
    kind = "invalid_request_error" if refusal.status < 500 else "server_error"
    return {
        "error": {
            "message": refusal.message,
            "type": kind,
            "code": refusal.code,
            "param": None,
            "run": refusal.run.value,
            "step": refusal.step.value,
            "peer": refusal.peer,
            "request_id": request_id,
        }
    }
