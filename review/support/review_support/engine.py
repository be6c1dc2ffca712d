"""A model replica that loads models as it is ordered to."""

import asyncio
import json
import time
from dataclasses import dataclass
from typing import Any

from review_support.deployment import Record
from review_support.peers import Exchange, Server

EVENTS = 5
EVENT_PAUSE_S = 0.05
UNLOAD_S = 0.1
# A spoiled answer without end comes at the rate of a link of 1,000 Mbit/s.
PIECE = b"x" * 1_250_000
PIECE_PAUSE_S = 0.01


@dataclass(frozen=True, slots=True)
class Order:
    """An order as it arrived."""

    at_s: float
    holder: str
    fence: int
    operation: str
    model: str
    status: int


class Engine:
    """Hold the models that orders load and unload.

    It follows the published protocol: it carries out one order at a time, counts
    each that it accepts, and rejects one whose `expected` differs from the count.
    """

    def __init__(
        self, name: str, models: set[str], load_s: float, record: Record
    ) -> None:
        self.server = Server(name, record, self._serve)
        self.models = models
        self.sequence = 0
        self.busy = False
        self.orders: list[Order] = []
        # How many of the next reports have no end.
        self.endless_reports = 0
        self._load_s = load_s
        self._record = record

    async def _serve(self, exchange: Exchange) -> None:
        if exchange.path == "/v1/report" and self.endless_reports:
            self.endless_reports -= 1
            await self._answer_without_end(exchange)
        elif exchange.path == "/v1/report":
            exchange.respond(200, json.dumps(self._report()).encode())
        elif exchange.path == "/v1/order":
            exchange.respond(self._take(json.loads(exchange.body)), b"{}")
        elif exchange.path == "/health":
            exchange.respond(200, b"", f"Instance-Id: {self.server.name}")
        else:
            await self._generate(exchange)

    async def _answer_without_end(self, exchange: Exchange) -> None:
        self._record.note(f"{self.server.name} begins a report without end")
        exchange.head(200, "Content-Type: application/json")
        sent = 0
        try:
            while True:
                exchange.writer.write(PIECE)
                await exchange.writer.drain()
                sent += len(PIECE)
                await asyncio.sleep(PIECE_PAUSE_S)
        finally:
            self._record.note(
                f"{self.server.name}: the caller has closed after {sent >> 20} MiB"
            )

    def documents(self) -> list[dict[str, Any]]:
        """Return what it holds, as its entry and its report say."""
        return [
            {"name": name, "version": 1, "adapters": []} for name in sorted(self.models)
        ]

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": self.documents(),
            "busy": self.busy,
            "sequence": self.sequence,
            "queued": 0,
            "active": 0,
            "kvUsed": 0,
            "kvTotal": 200_000,
            "handles": 0,
            "pending": [],
        }

    def _take(self, raw: dict[str, Any]) -> int:
        loads, model = raw["operation"] == "model_load", raw["model"]
        if self.busy or raw.get("expected", self.sequence) != self.sequence:
            status = 409
        elif loads == (model in self.models):
            status = 200
        else:
            status = 202
            self.sequence += 1
            self.busy = True
            asyncio.get_running_loop().call_later(
                self._load_s if loads else UNLOAD_S, self._finish, model, loads
            )
        order = Order(
            time.monotonic(),
            raw["holder"],
            raw["fencingToken"],
            raw["operation"],
            model,
            status,
        )
        self.orders.append(order)
        self._record.note(
            f"{self.server.name} gets {order.operation} {model} of {order.holder}, "
            f"fencing token {order.fence}: {status}"
        )
        return status

    def _finish(self, model: str, loads: bool) -> None:
        self.busy = False
        if loads:
            self.models.add(model)
        else:
            self.models.discard(model)
        self._record.note(f"{self.server.name} holds {sorted(self.models)}")

    async def _generate(self, exchange: Exchange) -> None:
        model = exchange.headers.get("model", "")
        if model not in self.models:
            exchange.respond(421, b"", "Not-Executed: 1")
            return
        exchange.head(
            200,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "Connection: close",
        )
        first = int(exchange.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = f"id: {number}\ndata: {model}\n\n".encode()
            exchange.writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await exchange.writer.drain()
        exchange.writer.write(b"0\r\n\r\n")
        exchange.writer.close()
