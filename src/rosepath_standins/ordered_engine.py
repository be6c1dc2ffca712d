"""Engines that hold models and execute the orders of a lease holder.

They implement the platform's orders and reports: orders that are counted, late
execution, lagging reports, restarts under the same name and a crash when more is
ordered than the memory or the adapter slots hold.
"""

import asyncio
import json
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from rosepath_standins.entry_fleet import (
    EVENTS_PER_STREAM,
    HOST,
    EntryFleet,
    Server,
)

SERVICE = "llm"
MODELS = tuple(f"m{number}" for number in range(7))
MODEL_MB = 70_000.0
ADAPTERS_PER_MODEL = 4
ADAPTER_MB = 60.0
MEMORY_MB = 145_000.0
ADAPTER_SLOTS = 3
LOADS_PER_S = 1.5
LOAD_S = 1.0
# A load of weights that the engine has on its disk.
LOCAL_LOAD_S = 0.3
UNLOAD_S = 0.1
REPORT_LAG_S = 0.1
LATE_EXECUTION_S = (2.0, 12.0)
RESTART_S = 0.4


@dataclass(slots=True, kw_only=True)
class ReceivedOrder:
    """Record an order that reached an engine, and what became of it.

    `born_ms` is the engine's instance that received it, `executed_by_ms` the one
    that executed it. `fits` is false if the engine was ordered to hold more than
    it has room for.
    """

    engine: str
    born_ms: int
    holder: str
    fence: int
    operation: str
    model: str
    adapter: str
    expected: int
    received_s: float
    status: int = 0
    executed_s: float | None = None
    executed_by_ms: int = 0
    from_store: bool = False
    fits: bool = True

    @property
    def loads(self) -> bool:
        return self.operation == "model_load"


@dataclass(slots=True)
class OrderedEngine(Server):
    """Serve streams of the models that it was ordered to load."""

    orders: list[ReceivedOrder] = field(default_factory=list)
    rng: random.Random = field(default_factory=random.Random)
    # Share of orders that get no response and are executed late.
    late_share: float = 0.0
    # Orders that get no response and are executed by `execute_held_orders`.
    holds: Callable[[ReceivedOrder], bool] = lambda _: False
    held_orders: list[ReceivedOrder] = field(default_factory=list)
    models: dict[str, set[str]] = field(default_factory=dict)
    on_disk: set[str] = field(default_factory=set)
    sequence: int = 0
    busy: bool = False
    loading: str = ""
    restarting: bool = False
    # Reports with the time from which they are visible.
    _reports: deque[tuple[float, dict[str, Any]]] = field(default_factory=deque)

    async def respond(
        self,
        writer: asyncio.StreamWriter,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if path == "/v1/report":
            self._write_json(writer, 200, self._visible_report())
        elif path == "/v1/order":
            await self._respond_to_order(writer, json.loads(body))
        elif path.startswith("/health"):
            self._write_json(writer, 200, {})
        else:
            await self._respond_to_prompt(writer, headers)

    async def _respond_to_prompt(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        request_id = headers["request-id"]
        self.request_log.arrivals[request_id] += 1
        if headers["target-instance"] != self.name or not self._holds(headers["model"]):
            self.write_response(writer, 421, request_id, b"", "Not-Executed: 1\r\n")
            return
        self.request_log.runs[request_id] += 1
        first = int(headers.get("last-event-id", "0")) + 1
        await self.stream(writer, request_id, first)

    def _holds(self, target: str) -> bool:
        model, _, adapter = target.partition("/")
        return model in self.models and (not adapter or adapter in self.models[model])

    def _write_json(
        self, writer: asyncio.StreamWriter, status: int, value: object
    ) -> None:
        self.write_response(
            writer,
            status,
            "",
            json.dumps(value).encode(),
            "Content-Type: application/json\r\n",
        )

    # Orders

    async def _respond_to_order(
        self, writer: asyncio.StreamWriter, raw: dict[str, Any]
    ) -> None:
        order = ReceivedOrder(
            engine=self.name,
            born_ms=self.started_ms,
            holder=raw["holder"],
            fence=raw["fencingToken"],
            operation=raw["operation"],
            model=raw["model"],
            adapter=raw.get("adapter", ""),
            expected=raw["expected"],
            received_s=time.monotonic(),
        )
        self.orders.append(order)
        if self.holds(order):
            self.held_orders.append(order)
            await asyncio.sleep(LATE_EXECUTION_S[1])
            raise ConnectionResetError
        if self.rng.random() < self.late_share:
            delay_s = self.rng.uniform(*LATE_EXECUTION_S)
            asyncio.get_running_loop().call_later(delay_s, self._execute, order)
            # The connection stays open without a response.
            await asyncio.sleep(delay_s)
            raise ConnectionResetError
        self._write_json(writer, self._execute(order), {})

    def execute_held_orders(self) -> None:
        """Execute the orders held that are not too old to be executed."""
        now_s = time.monotonic()
        for order in self.held_orders:
            if now_s - order.received_s < LATE_EXECUTION_S[1]:
                self._execute(order)

    def _execute(self, order: ReceivedOrder) -> int:
        """Execute an order, at once or late; return the status."""
        order.status = self._status(order)
        executed = order.status == 202 or (
            order.status == 200 and bool(order.adapter) and not order.loads
        )
        if not executed or not self.listening:
            return order.status
        order.executed_s, order.executed_by_ms = time.monotonic(), self.started_ms
        self.sequence += 1
        if order.adapter:
            self._execute_for_adapter(order)
        else:
            order.from_store = order.loads and order.model not in self.on_disk
            self._start_order(order)
        self.note_change()
        order.fits = self.fits
        if not order.fits:
            self.crash()
        return order.status

    def _status(self, order: ReceivedOrder) -> int:
        target = f"{order.model}/{order.adapter}" if order.adapter else order.model
        if order.adapter and order.model not in self.models:
            return 400
        if self.busy or order.expected != self.sequence:
            return 409
        if order.adapter and not order.loads:
            return 200
        return 200 if self._holds(target) == order.loads else 202

    def _execute_for_adapter(self, order: ReceivedOrder) -> None:
        adapters = self.models[order.model]
        if order.loads:
            adapters.add(order.adapter)
        else:
            adapters.discard(order.adapter)

    def _start_order(self, order: ReceivedOrder) -> None:
        self.busy = True
        if not order.loads:
            del self.models[order.model]
            duration_s = UNLOAD_S
        else:
            duration_s = LOAD_S if order.from_store else LOCAL_LOAD_S
            self.loading = order.model
        asyncio.get_running_loop().call_later(
            duration_s, self._finish_order, order, self.started_ms
        )

    def _finish_order(self, order: ReceivedOrder, born_ms: int) -> None:
        if born_ms != self.started_ms or not self.listening:
            return
        self.busy, self.loading = False, ""
        if order.loads:
            self.models[order.model] = set()
            self.on_disk.add(order.model)
        self.note_change()

    @property
    def fits(self) -> bool:
        """Return whether the models and adapters ordered fit."""
        models = self.models.keys() | ({self.loading} - {""})
        adapters = sum(map(len, self.models.values()))
        used_mb = len(models) * MODEL_MB + adapters * ADAPTER_MB
        return used_mb <= MEMORY_MB and adapters <= ADAPTER_SLOTS

    # Reports

    def note_change(self) -> None:
        """Add a report of the present contents, visible after the lag."""
        report = {
            "stage": "both",
            "models": self.model_documents(),
            "busy": self.busy,
            "sequence": self.sequence,
            "born": self.started_ms,
            "pending": [],
        }
        self._reports.append((time.monotonic() + REPORT_LAG_S, report))

    def model_documents(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    def _visible_report(self) -> dict[str, Any]:
        while len(self._reports) > 1 and self._reports[1][0] <= time.monotonic():
            self._reports.popleft()
        return self._reports[0][1]

    async def restart(self) -> None:
        """Crash and start again under the same name, empty."""
        if not self.listening:
            return
        self.crash()
        await self.start_again()

    async def start_again(self) -> None:
        """Start a crashed engine under its name, empty."""
        self.restarting = True
        await asyncio.sleep(RESTART_S)
        self.models.clear()
        self.sequence, self.busy, self.loading = 0, False, ""
        self.started_ms = max(self.started_ms + 1, int(time.time() * 1000))
        self._reports.clear()
        self.note_change()
        await self.listen()
        self.restarting = False


def prompt_headers(model: str, adapter: str, request_id: str) -> dict[str, str]:
    """Return the headers of a request to a model."""
    return {
        "Model": f"{model}/{adapter}" if adapter else model,
        "Token-Usage": f"60,{EVENTS_PER_STREAM}",
        "Prompt-Prefix": f"aa:40,{request_id.encode().hex()}:20",
    }


@dataclass(slots=True)
class EngineFleet(EntryFleet):
    """Own a fleet whose servers are engines under a lease holder's orders."""

    engines: dict[str, OrderedEngine] = field(default_factory=dict)
    orders: list[ReceivedOrder] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.extra_routes = [
            {
                "name": "gen",
                "host": HOST,
                "pathPrefix": "/gen/",
                "routeType": "streaming",
                "timeoutMs": 5000,
                "targetLatencyMs": 500,
                "targetGapMs": 250,
                "resumable": True,
                "service": SERVICE,
                "maxAttempts": 2,
            }
        ]
        self.extra_services = [
            {"name": SERVICE, "healthPath": "/health", "engine": _engine_document()}
        ]

    async def add_engines(self, count: int, rng: random.Random) -> None:
        """Add engines that each hold two models."""
        for number in range(count):
            name = f"e-{number}"
            engine = OrderedEngine(
                name,
                self.request_log,
                int(time.time() * 1000),
                orders=self.orders,
                rng=rng,
            )
            engine.models = {
                MODELS[(number + shift) % len(MODELS)]: set() for shift in range(2)
            }
            engine.on_disk = set(engine.models)
            await engine.listen()
            engine.note_change()
            self.engines[name] = engine
            await self.write_engine_entry(engine)

    async def write_engine_entry(self, engine: OrderedEngine) -> None:
        """Write an engine's entry to the store, as its heartbeat does."""
        await self.write(
            f"servers/{engine.name}",
            {
                "service": SERVICE,
                "address": f"127.0.0.1:{engine.port}",
                "zone": "a",
                "version": "v1",
                "slots": 16,
                "state": "ready",
                "sequence": engine.sequence,
                "born": engine.started_ms,
                "models": engine.model_documents(),
                "available": {"inMemory": [], "onDisk": sorted(engine.on_disk)},
            },
        )


def _engine_document() -> dict[str, object]:
    return {
        "slots": 16,
        "kvCapacityTokens": 200_000,
        "mb": MEMORY_MB,
        "adapterSlots": ADAPTER_SLOTS,
        "loadsPerS": LOADS_PER_S,
        "models": [
            {
                "name": name,
                "mb": MODEL_MB,
                "loadTimeS": LOAD_S,
                "warmS": LOCAL_LOAD_S,
                "diskLoadS": LOCAL_LOAD_S,
                "adapters": ADAPTERS_PER_MODEL,
                "adapterMb": ADAPTER_MB,
            }
            for name in MODELS
        ],
    }
