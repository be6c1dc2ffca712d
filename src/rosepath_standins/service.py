"""Simulated server of a plain service that echoes and records requests."""

import asyncio
import hashlib
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from tornado.web import Application, RequestHandler, stream_request_body

from rosepath_standins.faults import Faults, FaultsHandler


@dataclass(slots=True)
class ServiceState:
    """Own the record of the requests that were executed."""

    name: str
    delay_s: float = 0.0
    faults: Faults = field(default_factory=Faults)
    runs: Counter[str] = field(default_factory=Counter)
    run_at: dict[str, float] = field(default_factory=dict)
    running: int = 0
    draining: bool = False


@stream_request_body
class EchoHandler(RequestHandler):
    """Respond to any method with a digest of the request, or with its body."""

    def initialize(self, state: ServiceState) -> None:
        self.state = state
        self.hash = hashlib.sha256()
        self.length = 0
        self.body_chunks: list[bytes] = []

    async def prepare(self) -> None:
        if self.state.faults.active("silent"):
            await asyncio.Event().wait()

    def data_received(self, chunk: bytes) -> None:
        self.hash.update(chunk)
        self.length += len(chunk)
        if self.request.path.startswith("/echo"):
            self.body_chunks.append(chunk)

    async def _respond(self, *_: Any) -> None:
        state = self.state
        if state.draining or state.faults.take("refuse") is not None:
            self.set_status(503)
            self.set_header("Rosepath-Run", "no")
            self.finish()
            return
        run_key = self.request.headers.get("X-Run-Key", "")
        state.runs[run_key] += 1
        state.run_at[run_key] = time.time()
        state.running += 1
        try:
            await asyncio.sleep(float(self.get_query_argument("s", str(state.delay_s))))
            await self._send_response(run_key)
        finally:
            state.running -= 1

    async def _send_response(self, run_key: str) -> None:
        faults = self.state.faults
        if faults.take("lose_reply") is not None:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if (size := self.get_query_argument("size", "")) != "":
            await self._stream(int(size))
            return
        if self.body_chunks:
            self.finish(b"".join(self.body_chunks))
            return
        self.finish(
            {
                "server": self.state.name,
                "method": self.request.method,
                "path": self.request.uri,
                "run_key": run_key,
                "body_bytes": self.length,
                "body_sha256": self.hash.hexdigest(),
            }
        )

    async def _stream(self, size: int) -> None:
        self.set_header("Content-Length", str(size))
        block = b"0123456789abcdef" * 1024
        cut = self.state.faults.take("cut_answer") is not None
        sent = 0
        while sent < size:
            piece = block[: size - sent]
            self.write(piece)
            await self.flush()
            sent += len(piece)
            if cut and sent >= size // 2:
                self.request.connection.stream.close()  # type: ignore[union-attr]
                return
        await self.finish()

    get = post = put = delete = patch = head = options = _respond


class ServiceReportHandler(RequestHandler):
    """Return the load report of the server."""

    def initialize(self, state: ServiceState) -> None:
        self.state = state

    def get(self) -> None:
        self.finish(
            {
                "at_s": time.time(),
                "memory_bytes": 0,
                "resident": {},
                "loading": {},
                "running": self.state.running,
                "queued": 0,
                "running_by_target": {},
                "slots": 64,
                "leaving": self.state.draining,
                "fence": 0,
                "orders": {},
            }
        )


class ServiceRecordHandler(RequestHandler):
    """Return the record of executed requests."""

    def initialize(self, state: ServiceState) -> None:
        self.state = state

    def get(self) -> None:
        self.finish({"runs": dict(self.state.runs), "run_at": self.state.run_at})


class ServiceDrainHandler(RequestHandler):
    """Start draining: refuse new requests and finish the running ones."""

    def initialize(self, state: ServiceState) -> None:
        self.state = state

    def post(self) -> None:
        self.state.draining = True
        self.finish({"leaving": True})


def make_service(name: str, *, delay_s: float = 0.0) -> tuple[Application, Any]:
    """Build the application and state of a simulated server."""
    state = ServiceState(name, delay_s)
    handler_args = {"state": state}
    app = Application(
        [
            (r"/report", ServiceReportHandler, handler_args),
            (r"/admin/record", ServiceRecordHandler, handler_args),
            (r"/admin/leave", ServiceDrainHandler, handler_args),
            (r"/admin/faults", FaultsHandler, {"faults": state.faults}),
            (r"/.*", EchoHandler, handler_args),
        ],
        log_function=lambda _: None,
    )
    return app, state
