"""Stand-in for one server of a plain service; it echoes and keeps a record."""

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
    """Hold the record of what was run."""

    name: str
    delay_s: float = 0.0
    faults: Faults = field(default_factory=Faults)
    runs: Counter[str] = field(default_factory=Counter)
    run_at: dict[str, float] = field(default_factory=dict)
    running: int = 0
    leaving: bool = False


@stream_request_body
class EchoHandler(RequestHandler):
    """Answer any method with a digest of what came, or with the body itself."""

    def initialize(self, state: ServiceState) -> None:
        self.state = state
        self.hash = hashlib.sha256()
        self.length = 0
        self.kept: list[bytes] = []

    async def prepare(self) -> None:
        if self.state.faults.active("silent"):
            await asyncio.Event().wait()

    def data_received(self, chunk: bytes) -> None:
        self.hash.update(chunk)
        self.length += len(chunk)
        if self.request.path.startswith("/echo"):
            self.kept.append(chunk)

    async def _answer(self, *_: Any) -> None:
        state = self.state
        if state.leaving or state.faults.take("refuse") is not None:
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
            await self._reply(run_key)
        finally:
            state.running -= 1

    async def _reply(self, run_key: str) -> None:
        faults = self.state.faults
        if faults.take("lose_reply") is not None:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if (size := self.get_query_argument("size", "")) != "":
            await self._stream(int(size))
            return
        if self.kept:
            self.finish(b"".join(self.kept))
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

    get = post = put = delete = patch = head = options = _answer


class ServiceReportHandler(RequestHandler):
    """Report the service's own load."""

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
                "leaving": self.state.leaving,
                "fence": 0,
                "orders": {},
            }
        )


class ServiceRecordHandler(RequestHandler):
    """Show the service's own record."""

    def initialize(self, state: ServiceState) -> None:
        self.state = state

    def get(self) -> None:
        self.finish({"runs": dict(self.state.runs), "run_at": self.state.run_at})


class ServiceLeaveHandler(RequestHandler):
    """Start leaving: refuse new work, finish what runs."""

    def initialize(self, state: ServiceState) -> None:
        self.state = state

    def post(self) -> None:
        self.state.leaving = True
        self.finish({"leaving": True})


def make_service(name: str, *, delay_s: float = 0.0) -> tuple[Application, Any]:
    """Build the stand-in's application and the state behind it."""
    state = ServiceState(name, delay_s)
    handled = {"state": state}
    app = Application(
        [
            (r"/report", ServiceReportHandler, handled),
            (r"/admin/record", ServiceRecordHandler, handled),
            (r"/admin/leave", ServiceLeaveHandler, handled),
            (r"/admin/faults", FaultsHandler, {"faults": state.faults}),
            (r"/.*", EchoHandler, handled),
        ],
        log_function=lambda _: None,
    )
    return app, state
