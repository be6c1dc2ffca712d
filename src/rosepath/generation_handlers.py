"""Handlers of the OpenAI-compatible paths."""

from collections.abc import Awaitable

from expression import Result
from opentelemetry import trace

from rosepath.backend import Generation
from rosepath.caller_handler import WRITE_AHEAD_BYTES, CallerPorts, Handler
from rosepath.claim_outcome import ClaimOutcome, settle_claim
from rosepath.claims import Outcome
from rosepath.clock import Clock
from rosepath.declarations import matches
from rosepath.dispatch import RequestOptions
from rosepath.errors import Step, refuse
from rosepath.openai_api import collect_response, make_generation, parse_body
from rosepath.variants import find_route, resolve_target


class ModelsHandler(Handler):
    """List the models, adapters and routes that the caller may use."""

    async def get(self) -> None:
        await self.run(self._list)

    async def _list(self) -> None:
        self.check_ready()
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


class GenerationHandler(Handler):
    """Serve chat and text completions, as a stream or one response."""

    def initialize(  # type: ignore[override]
        self, ports: CallerPorts, shape: str
    ) -> None:
        super().initialize(ports)
        self.shape = shape

    async def post(self) -> None:
        await self.run(self._serve)

    async def _serve(self) -> None:
        self.check_ready()
        caller = self.authenticate()
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
        route = found[1] if found else None
        generation = make_generation(
            body, request_id=self.request_id, target=target, priority=self.priority()
        )
        with trace.use_span(
            self.start_span("caller.request", model=body.model, target=target),
            end_on_exit=True,
        ) as span:
            request_options = self.request_options(
                idempotent=route is None or route.idempotent, span=span
            )
            self.ports.telemetry.requests.add(1, {"target": target})
            claimed = await self.claim(caller, self.request.body)
            if isinstance(claimed, Outcome):
                await self.replay(claimed)
                return
            async with settle_claim(claimed) as outcome:
                async with self.ports.admission.admit(
                    caller=caller, target=body.model, request_id=self.request_id
                ):
                    if body.stream:
                        await self._stream(generation, request_options, outcome)
                    else:
                        await self._collect(generation, request_options, outcome)

    async def _stream(
        self,
        generation: Generation,
        request_options: RequestOptions,
        outcome: ClaimOutcome,
    ) -> None:
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        self.set_header("Rosepath-Request-Id", self.request_id)
        timer = _TokenTimer(self.ports.clock)
        recorded: list[bytes] = []

        def on_events(events: bytes) -> Awaitable[None] | None:
            self.event_stream_started = True
            timer.record_event()
            if outcome.must_record:
                recorded.append(events)
            return self._send_events(events)

        checker = await self.ports.dispatcher.generate(
            generation, request_options, on_events
        )
        outcome.set(200, {"Content-Type": "text/event-stream"}, b"".join(recorded))
        self._record(timer, generation.target, checker.offset)
        await self.finish()

    def _send_events(self, events: bytes) -> Awaitable[None] | None:
        """Write events straight to the connection once the headers are sent.

        Tornado's `write` and `flush` cost as much as the socket write itself,
        for each token of each stream.
        """
        if not self._headers_written or self.request.version != "HTTP/1.1":
            return self.write_with_backpressure(events)
        stream = self.request.connection.stream  # type: ignore[union-attr]
        written = stream.write(b"%x\r\n%b\r\n" % (len(events), events))
        if len(stream._write_buffer) > WRITE_AHEAD_BYTES:
            return written
        return None

    async def _collect(
        self,
        generation: Generation,
        request_options: RequestOptions,
        outcome: ClaimOutcome,
    ) -> None:
        events: list[bytes] = []
        timer = _TokenTimer(self.ports.clock)

        def on_events(data: bytes) -> None:
            timer.record_event()
            events.append(data)

        checker = await self.ports.dispatcher.generate(
            generation, request_options, on_events
        )
        self._record(timer, generation.target, checker.offset)
        body = collect_response(b"".join(events), generation)
        outcome.set(200, {"Content-Type": "application/json"}, body)
        self.set_header("Content-Type", "application/json")
        self.set_header("Rosepath-Request-Id", self.request_id)
        await self.finish(body)

    def _record(self, timer: "_TokenTimer", target: str, tokens: int) -> None:
        telemetry = self.ports.telemetry
        telemetry.first_token.record(timer.first_s, {"target": target})
        if tokens > 1:
            between_s = timer.span_s / (tokens - 1)
            telemetry.between_tokens.record(between_s, {"target": target})


class _TokenTimer:
    """Measure the time to the first token and between first and last."""

    def __init__(self, clock: Clock) -> None:
        self._now_s = clock.monotonic_s
        self._started_s = self._now_s()
        self._first_s: float | None = None
        self._last_s = self._started_s

    def record_event(self) -> None:
        self._last_s = self._now_s()
        if self._first_s is None:
            self._first_s = self._last_s

    @property
    def first_s(self) -> float:
        return (self._first_s or self._last_s) - self._started_s

    @property
    def span_s(self) -> float:
        return self._last_s - (self._first_s or self._last_s)
