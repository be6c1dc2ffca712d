"""Handler of calls to plain services."""

import asyncio
from collections.abc import AsyncIterator, Awaitable
from typing import Any

from opentelemetry import trace
from tornado.httputil import HTTPHeaders
from tornado.web import stream_request_body

from rosepath.caller_handler import CallerPorts, Handler
from rosepath.claim_outcome import ClaimOutcome, settle_claim
from rosepath.claims import Outcome
from rosepath.declarations import Service
from rosepath.dispatch import RequestOptions
from rosepath.errors import Step, refuse
from rosepath.http_client import ResponseHead
from rosepath.services import HOP_HEADERS, ServiceCall

MAX_BUFFERED_BODY_BYTES = 64 * 1024
BODY_QUEUE_CHUNKS = 4


@stream_request_body
class ServiceHandler(Handler):
    """Relay a call to a plain service, streaming both bodies.

    A request body of unknown or large size is relayed while it arrives; a
    short one is read first, so that a failed call can be retried.
    """

    def initialize(self, ports: CallerPorts) -> None:
        super().initialize(ports)
        self.chunks: asyncio.Queue[bytes | None] = asyncio.Queue(BODY_QUEUE_CHUNKS)
        self.body_parts: list[bytes] = []
        self.early_relay: asyncio.Task[None] | None = None
        self.streaming = False

    async def prepare(self) -> None:
        length = self.request.headers.get("Content-Length", "0")
        chunked = "Transfer-Encoding" in self.request.headers
        self.streaming = chunked or int(length) > MAX_BUFFERED_BODY_BYTES
        connection: Any = self.request.connection
        connection.set_max_body_size(1 << 40)
        if self.streaming:
            self.early_relay = asyncio.ensure_future(self.run(self._relay_request))

    async def data_received(self, chunk: bytes) -> None:
        if not self.streaming:
            self.body_parts.append(chunk)
        elif self.early_relay is not None and not self.early_relay.done():
            put_task = asyncio.ensure_future(self.chunks.put(chunk))
            await asyncio.wait(
                [put_task, self.early_relay], return_when=asyncio.FIRST_COMPLETED
            )
            put_task.cancel()

    async def _serve(self, *_: str) -> None:
        if self.early_relay is not None:
            if not self.early_relay.done():
                await self.chunks.put(None)
            await self.early_relay
        else:
            await self.run(self._relay_request)

    get = head = post = put = delete = patch = options = _serve

    async def _body_chunks(self) -> AsyncIterator[bytes]:
        while (chunk := await self.chunks.get()) is not None:
            yield chunk

    async def _relay_request(self) -> None:
        self.check_ready()
        caller = self.authenticate()
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
        body = b"".join(self.body_parts)
        with trace.use_span(
            self.start_span("caller.call", service=name), end_on_exit=True
        ) as span:
            request_options = self.request_options(
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
            async with settle_claim(claimed) as outcome:
                async with self.ports.admission.admit(
                    caller=caller, target=name, request_id=self.request_id
                ):
                    await self._relay(call, request_options, outcome)

    def _service_path(self, name: str) -> str:
        path = (self.request.uri or "/")[len(f"/services/{name}") :]
        return path if path.startswith("/") else "/" + path

    async def _relay(
        self, call: ServiceCall, request_options: RequestOptions, outcome: ClaimOutcome
    ) -> None:
        recorded: list[bytes] = []

        def on_head(head: ResponseHead) -> None:
            self.set_status(head.status)
            for name, value in _forwarded_headers(head.headers).items():
                self.set_header(name, value)
            self.set_header("Rosepath-Request-Id", self.request_id)

        def on_data(data: bytes) -> Awaitable[None] | None:
            if outcome.must_record:
                recorded.append(data)
            return self.write_with_backpressure(data)

        await self.ports.relay.call(call, request_options, on_head, on_data)
        headers = {
            name: value
            for name, value in self._headers.get_all()
            if name.lower() == "content-type"
        }
        outcome.set(self.get_status(), headers, b"".join(recorded))
        await self.finish()


def _forwarded_headers(headers: HTTPHeaders) -> dict[str, str]:
    forwarded = {
        name: value
        for name, value in headers.get_all()
        if name.lower() not in HOP_HEADERS
    }
    if "Content-Length" in headers:
        forwarded["Content-Length"] = headers["Content-Length"]
    return forwarded
