"""The callers' HTTP side: OpenAI paths, services, health and metrics."""

import asyncio
import hashlib
import hmac
import json
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, Literal

from expression import Result
from opentelemetry import trace
from pydantic import BaseModel, ConfigDict, ValidationError
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from rosepath.admission import Admission
from rosepath.claims import (
    HeldClaim,
    Outcome,
    claim_name,
    make_claim,
    request_digest,
)
from rosepath.clock import Clock
from rosepath.configuration import Configuration
from rosepath.declarations import Route, Service, matches
from rosepath.deferred import (
    MAX_BODY_BYTES as MAX_DEFERRED_BYTES,
    DeferredRequest,
    DeferredState,
)
from rosepath.deferred_runner import read_status, store_request
from rosepath.dispatch import Dispatcher, Terms
from rosepath.errors import Refusal, RefusalError, Run, Step, refuse
from rosepath.http_client import ResponseHead
from rosepath.logs import get_logger
from rosepath.openai_api import collect_answer, make_generation, parse_body
from rosepath.platform import PlatformPort, StoreError
from rosepath.services import HOP_HEADERS, ServiceCall, ServiceRelay
from rosepath.settings import Settings, first_problem
from rosepath.telemetry import Telemetry, context_from_headers
from rosepath.variants import find_route, resolve_target

HELD_BODY_BYTES = 64 * 1024
WRITE_AHEAD_BYTES = 64 * 1024
BODY_QUEUE_CHUNKS = 4
MAX_KEY_CHARS = 255

_log = get_logger()


@dataclass(slots=True, kw_only=True)
class CallerPorts:
    """Hold what the handlers work with."""

    settings: Settings
    configuration: Callable[[], Configuration]
    dispatcher: Dispatcher
    relay: ServiceRelay
    admission: Admission
    platform: PlatformPort
    telemetry: Telemetry
    clock: Clock
    ready: Callable[[], str]
    in_flight: set[str]
    stopping: Callable[[], bool]


class _Handler(RequestHandler):
    """Answer refusals as typed errors and hang-ups by cancelling the work."""

    def initialize(self, ports: CallerPorts) -> None:
        self.ports = ports
        self.work: asyncio.Task[None] | None = None
        self.request_id = uuid.uuid4().hex
        self.in_stream = False

    def set_default_headers(self) -> None:
        self.clear_header("Server")

    def compute_etag(self) -> str | None:
        return None

    def on_connection_close(self) -> None:
        if self.work is not None:
            self.work.cancel()

    def log_exception(self, *exc_info: Any) -> None:
        _log.error("handler_failed", request_id=self.request_id, exc_info=exc_info)

    def write_error(self, status_code: int, **_: Any) -> None:
        """Answer what no refusal covers: a fault of this node, or bad HTTP."""
        ours = status_code >= 500
        refusal = Refusal(
            status_code,
            "internal_error" if ours else "bad_request",
            "an unexpected failure" if ours else "the request cannot be read",
            Run.UNKNOWN if ours else Run.NO,
            Step.PARSE,
        )
        self.set_header("Content-Type", "application/json")
        self.set_header("Rosepath-Run", refusal.run.value)
        self.finish(json.dumps(error_body(refusal, self.request_id)))

    async def run(self, step: Callable[[], Awaitable[None]]) -> None:
        """Run a handler's work as a task that a hang-up cancels."""
        self.ports.in_flight.add(self.request_id)
        self.work = asyncio.ensure_future(_await(step))
        try:
            await self.work
        except RefusalError as error:
            await self.send_refusal(error.refusal)
        except StreamClosedError:
            return
        except asyncio.CancelledError:
            if not self.request.connection.stream.closed():  # type: ignore[union-attr]
                raise
        finally:
            self.ports.in_flight.discard(self.request_id)

    async def send_refusal(self, refusal: Refusal) -> None:
        """Send a refusal as the answer, or as the last event of a stream."""
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
                await self._end_broken(body)
                return
            self.set_status(refusal.status)
            self.set_header("Content-Type", "application/json")
            self.set_header("Rosepath-Run", refusal.run.value)
            self.set_header("Rosepath-Request-Id", self.request_id)
            if refusal.retry_after_s is not None:
                seconds = max(1, round(refusal.retry_after_s + 0.5))
                self.set_header("Retry-After", str(seconds))
            if self.ports.stopping():
                self.set_header("Connection", "close")
            await self.finish(body)
        except StreamClosedError:
            return

    async def _end_broken(self, body: str) -> None:
        """End an answer that began: an error event, or a visible cut."""
        if self.in_stream:
            self.write(f"data: {body}\n\n")
            await self.finish()
            return
        # Finishing here would make half an answer look whole.
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def authenticate(self) -> str:
        """Return the caller's name."""
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        hashed = hashlib.sha256(key.strip().encode()).hexdigest()
        found = None
        for known, name in self.ports.configuration().callers_by_key.items():
            if hmac.compare_digest(known, hashed):
                found = name
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
        """Refuse while this node can't serve."""
        reason = self.ports.ready()
        if reason:
            raise refuse(503, "not_ready", reason, step=Step.ROUTE, retry_after_s=1.0)

    def terms(self, *, idempotent: bool, span: trace.Span) -> Terms:
        """Read how the caller wants its request run."""
        settings = self.ports.settings
        timeout_s = settings.routing.request_timeout_s
        given = self.request.headers.get("Rosepath-Deadline-Ms", "")
        if given:
            if not given.isdigit() or int(given) == 0:
                raise refuse(
                    400,
                    "invalid_header",
                    "Rosepath-Deadline-Ms must be a positive integer",
                    step=Step.PARSE,
                )
            timeout_s = min(timeout_s, int(given) / 1000)
        marked = self.marked_idempotent()
        return Terms(
            idempotent=idempotent and marked,
            deadline_s=self.ports.clock.monotonic_s() + timeout_s,
            data_centre=settings.data_centre,
            span=span,
        )

    def marked_idempotent(self) -> bool:
        """Read the header that marks a request as non-idempotent."""
        given = self.request.headers.get("Rosepath-Idempotent", "true").lower()
        if given not in ("true", "false"):
            raise refuse(
                400,
                "invalid_header",
                "Rosepath-Idempotent must be true or false",
                step=Step.PARSE,
            )
        return given == "true"

    def priority(self) -> int:
        """Read the header that ranks a request."""
        given = self.request.headers.get("Rosepath-Priority", "0")
        try:
            return max(-100, min(100, int(given)))
        except ValueError:
            raise refuse(
                400,
                "invalid_header",
                "Rosepath-Priority must be an integer",
                step=Step.PARSE,
            ) from None

    async def claim(self, caller: str, body: bytes) -> HeldClaim | Outcome | None:
        """Claim the idempotency key, if the caller sent one."""
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
        """Start this hop's span under the caller's, if it sent one."""
        context = context_from_headers(
            {"traceparent": self.request.headers.get("Traceparent", "")}
        )
        attributes["request_id"] = self.request_id
        return self.ports.telemetry.tracer.start_span(
            name, context=context, attributes=attributes
        )

    def send_ahead(self, data: bytes) -> Awaitable[None] | None:
        """Write to the caller; hold the sender back once enough is waiting."""
        self.write(data)
        written = self.flush()
        stream = self.request.connection.stream  # type: ignore[union-attr]
        if len(stream._write_buffer) > WRITE_AHEAD_BYTES:
            return written
        return None

    async def replay(self, outcome: Outcome) -> None:
        """Send the recorded answer of an earlier request with the same key."""
        self.set_status(outcome.status)
        for name, value in outcome.headers.items():
            self.set_header(name, value)
        self.set_header("Rosepath-Replayed", "true")
        await self.finish(outcome.body)


async def _await(step: Callable[[], Awaitable[None]]) -> None:
    await step()


def error_body(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return a refusal in the shape that OpenAI's clients read."""
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


class ModelsHandler(_Handler):
    """List what the caller may ask for."""

    async def get(self) -> None:
        await self.run(self._list)

    async def _list(self) -> None:
        caller = self.authenticate()
        configuration = self.ports.configuration()
        names = {*configuration.artifacts, *configuration.adapter_targets}
        names |= {
            route.name
            for route in configuration.routes.values()
            if matches(caller, route.callers)
        }
        rows = [
            {"id": name, "object": "model", "created": 0, "owned_by": "rosepath"}
            for name in sorted(names)
            if self.may_reach(caller, name)
        ]
        await self.finish({"object": "list", "data": rows})


class GenerationHandler(_Handler):
    """Answer chat and text completions."""

    def initialize(  # type: ignore[override]
        self, ports: CallerPorts, shape: str
    ) -> None:
        super().initialize(ports)
        self.shape = shape

    async def post(self) -> None:
        await self.run(self._answer)

    async def _answer(self) -> None:
        caller = self.authenticate()
        self.check_ready()
        match parse_body(self.shape, self.request.body):
            case Result(tag="ok", ok=body):
                pass
            case Result(error=problem):
                raise refuse(400, "invalid_body", problem, step=Step.PARSE)
        configuration = self.ports.configuration()
        key = self.request.headers.get("Idempotency-Key") or self.request_id
        target = resolve_target(configuration, body.model, caller, key)
        if target is None or not self.may_reach(caller, body.model):
            raise refuse(
                404,
                "model_not_found",
                f"no model {body.model!r} for this caller",
                step=Step.ROUTE,
            )
        found = find_route(configuration, body.model, caller)
        route: Route | None = found[1] if found else None
        generation = make_generation(
            body, request_id=self.request_id, target=target, priority=self.priority()
        )
        with trace.use_span(
            self.start_span("caller.request", model=body.model, target=target),
            end_on_exit=True,
        ) as span:
            terms = self.terms(idempotent=route is None or route.idempotent, span=span)
            self.ports.telemetry.requests.add(1, {"target": target})
            claimed = await self.claim(caller, self.request.body)
            if isinstance(claimed, Outcome):
                await self.replay(claimed)
                return
            async with settled(claimed) as outcome:
                async with self.ports.admission.admit(
                    caller=caller, target=body.model, request_id=self.request_id
                ):
                    if body.stream:
                        await self._stream(generation, terms, outcome)
                    else:
                        await self._collect(generation, terms, outcome)

    async def _stream(
        self, generation: Any, terms: Terms, outcome: "ClaimOutcome"
    ) -> None:
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        self.set_header("Rosepath-Request-Id", self.request_id)
        timing = _Timing(self.ports.clock)
        kept: list[bytes] = []

        def on_events(events: bytes) -> Awaitable[None] | None:
            self.in_stream = True
            timing.note()
            if outcome.wanted:
                kept.append(events)
            return self._send_events(events)

        checker = await self.ports.dispatcher.generate(generation, terms, on_events)
        outcome.set(200, {"Content-Type": "text/event-stream"}, b"".join(kept))
        self._record(timing, generation.target, checker.offset)
        await self.finish()

    def _send_events(self, events: bytes) -> Awaitable[None] | None:
        """Write events past the handler's buffers once the headers are out.

        The handler's own write and flush cost as much as the socket write
        itself, for each token of each stream.
        """
        if not self._headers_written or self.request.version != "HTTP/1.1":
            return self.send_ahead(events)
        stream = self.request.connection.stream  # type: ignore[union-attr]
        written = stream.write(b"%x\r\n%b\r\n" % (len(events), events))
        if len(stream._write_buffer) > WRITE_AHEAD_BYTES:
            return written
        return None

    async def _collect(
        self, generation: Any, terms: Terms, outcome: "ClaimOutcome"
    ) -> None:
        events: list[bytes] = []
        timing = _Timing(self.ports.clock)

        def on_events(data: bytes) -> None:
            timing.note()
            events.append(data)

        checker = await self.ports.dispatcher.generate(generation, terms, on_events)
        self._record(timing, generation.target, checker.offset)
        body = collect_answer(b"".join(events), generation)
        outcome.set(200, {"Content-Type": "application/json"}, body)
        self.set_header("Content-Type", "application/json")
        self.set_header("Rosepath-Request-Id", self.request_id)
        await self.finish(body)

    def _record(self, timing: "_Timing", target: str, tokens: int) -> None:
        telemetry = self.ports.telemetry
        telemetry.first_token.record(timing.first_s, {"target": target})
        if tokens > 1:
            between_s = timing.span_s / (tokens - 1)
            telemetry.between_tokens.record(between_s, {"target": target})


class DeferHandler(GenerationHandler):
    """Accept a request to be run later, once it is stored."""

    async def _answer(self) -> None:
        caller = self.authenticate()
        self.check_ready()
        raw = _parse_deferral(self.request.body)
        body = json.dumps(raw.body)
        parsed = parse_body(raw.shape, body.encode())
        if parsed.is_error():
            raise refuse(400, "invalid_body", parsed.error, step=Step.PARSE)
        if len(body) > MAX_DEFERRED_BYTES:
            raise refuse(413, "too_large", "the body is too large", step=Step.PARSE)
        if not self.may_reach(caller, parsed.ok.model):
            raise refuse(
                404, "model_not_found", "no such model for this caller", step=Step.ROUTE
            )
        request = DeferredRequest(
            request_id=self.request_id,
            caller=caller,
            shape=raw.shape,
            body=body,
            idempotent=self.marked_idempotent(),
            not_before_s=raw.not_before_s,
        )
        await self._store(request)
        self.set_status(202)
        await self.finish({"id": self.request_id, "status": DeferredState.QUEUED})

    async def _store(self, request: DeferredRequest) -> None:
        try:
            await store_request(self.ports.platform, request)
        except StoreError as error:
            # A write whose reply was lost may yet run; only a write that is
            # known to have failed is refused as not run.
            raise refuse(
                503,
                "store_unavailable",
                "the request could not be stored",
                step=Step.DEFER,
                run=Run.UNKNOWN if error.unknown else Run.NO,
                peer=error.peer,
                retry_after_s=2.0,
            ) from error


class DeferredStatusHandler(_Handler):
    """Show how a deferred request stands, with its result."""

    async def get(self, request_id: str) -> None:
        self.deferred_id = request_id
        await self.run(self._show)

    async def _show(self) -> None:
        caller = self.authenticate()
        try:
            found = await read_status(self.ports.platform, self.deferred_id, caller)
        except StoreError as error:
            raise refuse(
                503,
                "store_unavailable",
                "the result cannot be read now",
                step=Step.STORE,
                peer=error.peer,
                retry_after_s=2.0,
            ) from error
        if found is None:
            raise refuse(404, "not_found", "no such deferred request", step=Step.DEFER)
        state, body = found
        answer: dict[str, Any] = {"id": self.deferred_id, "status": state}
        if body:
            answer["result"] = _as_json(body)
        await self.finish(answer)


class _Deferral(BaseModel):
    model_config = ConfigDict(extra="forbid")

    shape: Literal["chat", "completion"] = "chat"
    not_before_s: float = 0.0
    body: dict[str, Any]


def _parse_deferral(body: bytes) -> _Deferral:
    try:
        return _Deferral.model_validate_json(body)
    except ValidationError as error:
        raise refuse(
            400, "invalid_body", first_problem(error), step=Step.PARSE
        ) from error


def _as_json(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


class _Timing:
    """Take the times of the first and the last token."""

    def __init__(self, clock: Clock) -> None:
        self._now_s = clock.monotonic_s
        self._started_s = self._now_s()
        self._first_s: float | None = None
        self._last_s = self._started_s

    def note(self) -> None:
        self._last_s = self._now_s()
        if self._first_s is None:
            self._first_s = self._last_s

    @property
    def first_s(self) -> float:
        return (self._first_s or self._last_s) - self._started_s

    @property
    def span_s(self) -> float:
        return self._last_s - (self._first_s or self._last_s)


class ClaimOutcome:
    """Settle a claim by how its request ended."""

    def __init__(self, held: HeldClaim | None) -> None:
        self._held = held
        self._outcome: Outcome | None = None

    @property
    def wanted(self) -> bool:
        """Tell whether the answer has to be kept."""
        return self._held is not None

    def set(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Set the whole answer."""
        self._outcome = Outcome(status=status, headers=headers, body=body)

    async def __aenter__(self) -> "ClaimOutcome":
        return self

    async def __aexit__(self, kind: Any, error: BaseException | None, _: Any) -> None:
        if self._held is None:
            return
        if self._outcome is not None:
            await self._held.record(self._outcome)
        elif isinstance(error, RefusalError) and error.refusal.run is Run.NO:
            await self._held.withdraw()
        else:
            await asyncio.shield(self._held.record_unknown())


def settled(claimed: HeldClaim | None) -> ClaimOutcome:
    """Return the context that settles a claim when its request ends."""
    return ClaimOutcome(claimed)


@stream_request_body
class ServiceHandler(_Handler):
    """Pass calls on to a plain service, bodies streamed both ways."""

    def initialize(self, ports: CallerPorts) -> None:
        super().initialize(ports)
        self.chunks: asyncio.Queue[bytes | None] = asyncio.Queue(BODY_QUEUE_CHUNKS)
        self.held: list[bytes] = []
        self.refusal: Refusal | None = None
        self.early: asyncio.Task[None] | None = None
        self.streaming = False

    async def prepare(self) -> None:
        length = self.request.headers.get("Content-Length", "0")
        chunked = "Transfer-Encoding" in self.request.headers
        self.streaming = chunked or int(length) > HELD_BODY_BYTES
        connection: Any = self.request.connection
        connection.set_max_body_size(1 << 40)
        if self.streaming:
            self.early = asyncio.ensure_future(self.run(self._pass_on))

    async def data_received(self, chunk: bytes) -> None:
        if not self.streaming:
            self.held.append(chunk)
        elif self.early is not None and not self.early.done():
            putting = asyncio.ensure_future(self.chunks.put(chunk))
            await asyncio.wait(
                [putting, self.early], return_when=asyncio.FIRST_COMPLETED
            )
            putting.cancel()

    async def _serve(self, *_: str) -> None:
        if self.early is not None:
            if not self.early.done():
                await self.chunks.put(None)
            await self.early
        else:
            await self.run(self._pass_on)

    get = head = post = put = delete = patch = options = _serve

    async def _body_chunks(self) -> AsyncIterator[bytes]:
        while (chunk := await self.chunks.get()) is not None:
            yield chunk

    async def _pass_on(self) -> None:
        caller = self.authenticate()
        self.check_ready()
        name = str(self.path_args[0])
        configuration = self.ports.configuration()
        service: Service | None = configuration.services.get(name)
        if service is None or not self.may_reach(caller, name):
            raise refuse(
                404,
                "service_not_found",
                f"no service {name!r} for this caller",
                step=Step.ROUTE,
            )
        method = self.request.method or "GET"
        body = b"".join(self.held)
        with trace.use_span(
            self.start_span("caller.call", service=name), end_on_exit=True
        ) as span:
            terms = self.terms(
                idempotent=method in service.idempotent_methods, span=span
            )
            self.ports.telemetry.requests.add(1, {"target": name})
            claimed = await self.claim(caller, body)
            if isinstance(claimed, Outcome):
                await self.replay(claimed)
                return
            call = ServiceCall(
                service=name,
                method=method,
                path=self._service_path(name),
                headers=dict(self.request.headers.get_all()),
                body=body,
                body_chunks=self._body_chunks() if self.streaming else None,
            )
            async with settled(claimed) as outcome:
                async with self.ports.admission.admit(
                    caller=caller, target=name, request_id=self.request_id
                ):
                    await self._relay(call, terms, outcome)

    def _service_path(self, name: str) -> str:
        path = (self.request.uri or "/")[len(f"/services/{name}") :]
        return path if path.startswith("/") else "/" + path

    async def _relay(
        self, call: ServiceCall, terms: Terms, outcome: ClaimOutcome
    ) -> None:
        kept: list[bytes] = []

        def on_head(head: ResponseHead) -> None:
            self.set_status(head.status)
            for name, value in _answer_headers(head.headers).items():
                self.set_header(name, value)
            self.set_header("Rosepath-Request-Id", self.request_id)

        def on_data(data: bytes) -> Awaitable[None] | None:
            if outcome.wanted:
                kept.append(data)
            return self.send_ahead(data)

        await self.ports.relay.call(call, terms, on_head, on_data)
        headers = {
            name: value
            for name, value in self._headers.get_all()
            if name.lower() == "content-type"
        }
        outcome.set(self.get_status(), headers, b"".join(kept))
        await self.finish()


def _answer_headers(headers: HTTPHeaders) -> dict[str, str]:
    passed = {
        name: value
        for name, value in headers.get_all()
        if name.lower() not in HOP_HEADERS
    }
    if "Content-Length" in headers:
        passed["Content-Length"] = headers["Content-Length"]
    return passed


class LiveHandler(_Handler):
    """Tell that the process runs."""

    def get(self) -> None:
        self.finish("ok\n")


class ReadyHandler(_Handler):
    """Tell the balancer whether to send callers here."""

    def get(self) -> None:
        reason = self.ports.ready()
        self.set_status(503 if reason else 200)
        self.finish((reason or "ready") + "\n")


class MetricsHandler(_Handler):
    """Show the metrics."""

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.ports.telemetry.metrics_text())


class UnknownPathHandler(_Handler):
    """Refuse paths that do not exist."""

    async def prepare(self) -> None:
        refusal = Refusal(404, "path_not_found", "no such path", Run.NO, Step.PARSE)
        await self.send_refusal(refusal)


def make_application(ports: CallerPorts) -> Application:
    """Build the callers' HTTP application."""
    given = {"ports": ports}
    return Application(
        [
            (r"/v1/models", ModelsHandler, given),
            (
                r"/v1/chat/completions",
                GenerationHandler,
                {"ports": ports, "shape": "chat"},
            ),
            (
                r"/v1/completions",
                GenerationHandler,
                {"ports": ports, "shape": "completion"},
            ),
            (r"/v1/deferred", DeferHandler, {"ports": ports, "shape": "chat"}),
            (r"/v1/deferred/([0-9a-f]{32})", DeferredStatusHandler, given),
            (r"/services/([^/?]+)(?:/.*)?", ServiceHandler, given),
            (r"/livez", LiveHandler, given),
            (r"/readyz", ReadyHandler, given),
            (r"/metrics", MetricsHandler, given),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=given,
        log_function=lambda _: None,
    )
