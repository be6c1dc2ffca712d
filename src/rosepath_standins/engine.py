"""Simulated model engine: generation, orders, load reports and faults."""

import asyncio
import json
import time
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from rosepath.http_client import HttpPool, Request
from rosepath_standins.engine_state import (
    MAX_ORDERS,
    EngineOptions,
    EngineState,
    Order,
)
from rosepath_standins.faults import FaultsHandler
from rosepath_standins.tokens import token_text


class _EngineHandler(RequestHandler):
    def initialize(self, state: EngineState) -> None:
        self.state = state

    async def prepare(self) -> None:
        if self.state.faults.active("silent"):
            await asyncio.Event().wait()

    def reject(self, status: int, code: str) -> None:
        """Refuse a request and state that it was not executed."""
        self.set_status(status)
        self.finish({"ran": False, "code": code})


class GenerateHandler(_EngineHandler):
    """Stream the tokens of a response as server-sent events.

    The id of an event is `request/from-to`, the range of its tokens.
    """

    def on_connection_close(self) -> None:
        stop = getattr(self, "stopped", None)
        if stop is not None:
            stop.set()

    async def post(self) -> None:
        raw: dict[str, Any] = json.loads(self.request.body)
        state, target = self.state, raw["target"]
        if state.draining or state.faults.take("refuse") is not None:
            return self.reject(503, "leaving" if state.draining else "refused")
        base = target.split(":", 1)[0]
        ready = state.resident.keys() - state.unloading
        if base not in ready or target not in ready:
            return self.reject(409, "not_loaded")
        if len(state.waiting) >= state.options.queue_limit:
            return self.reject(429, "overloaded")
        request_id = raw["request_id"]
        self.stopped = state.streams.setdefault(request_id, asyncio.Event())
        await state.acquire_slot(int(raw.get("priority", 0)))
        state.running[target] += 1
        state.started[request_id] += 1
        state.started_at[request_id] = time.time()
        try:
            await self._generate(raw, request_id, target)
        except StreamClosedError:
            self.stopped.set()
        finally:
            state.running[target] -= 1
            state.streams.pop(request_id, None)
            if self.stopped.is_set():
                state.cancelled[request_id] = time.time()
            state.grant_next_slot()

    async def _generate(
        self, raw: dict[str, Any], request_id: str, target: str
    ) -> None:
        state, options, prompt = self.state, self.state.options, raw["prompt"]
        self.set_header("Content-Type", "text/event-stream")
        missing = state.look_up_prefix(target, prompt)
        if missing and options.prefill_s_per_block:
            await asyncio.sleep(missing * options.prefill_s_per_block)
        end, offset = int(raw["max_tokens"]), int(raw.get("offset", 0))
        while offset < end and not self.stopped.is_set():
            step = min(options.tokens_per_event, end - offset)
            text = "".join(token_text(target, prompt, offset + n) for n in range(step))
            if not await self._send_tokens(raw, request_id, offset, step, text):
                return
            offset += step
            state.tokens += step
            if options.token_interval_s:
                slowdown = 1 + options.batch_slowdown * state.running_total
                await asyncio.sleep(options.token_interval_s * slowdown * step)
        if self.stopped.is_set():
            return
        state.finished[request_id] += 1
        if state.faults.take("lose_end") is not None:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.write(_end_events(raw, request_id, end))
        await self.finish()

    async def _send_tokens(
        self, raw: dict[str, Any], request_id: str, offset: int, step: int, text: str
    ) -> bool:
        faults = self.state.faults
        if (cut_offset := faults.take("cut_stream")) is not None:
            if offset >= cut_offset:
                self.request.connection.stream.close()  # type: ignore[union-attr]
                return False
            faults.arm("cut_stream", count=1, value=cut_offset)
        if faults.active("silent_stream") and offset > 0:
            faults.take("silent_stream")
            await self.stopped.wait()
            return False
        event = _token_event(raw, request_id, offset, offset + step, text)
        if faults.take("wrong_id") is not None:
            other = _token_event(raw, "somebody-else", offset, offset + step, "X ")
            self.write(other)
        self.write(event)
        if faults.take("duplicate_chunk") is not None:
            self.write(event)
        await self.flush()
        return True


def _chunk(raw: dict[str, Any], request_id: str, choice: dict[str, Any]) -> str:
    chat = raw.get("shape", "chat") == "chat"
    return json.dumps(
        {
            "id": request_id,
            "object": "chat.completion.chunk" if chat else "text_completion",
            "created": raw.get("created", 0),
            "model": raw.get("served_as", raw["target"]),
            "choices": [{"index": 0, "logprobs": None, **choice}],
        }
    )


def _token_event(
    raw: dict[str, Any], request_id: str, start: int, end: int, text: str
) -> bytes:
    if raw.get("shape", "chat") == "chat":
        delta = {"content": text}
        if start == 0:
            delta["role"] = "assistant"
        choice: dict[str, Any] = {"delta": delta, "finish_reason": None}
    else:
        choice = {"text": text, "finish_reason": None}
    data = _chunk(raw, request_id, choice)
    return f"id: {request_id}/{start}-{end}\ndata: {data}\n\n".encode()


def _end_events(raw: dict[str, Any], request_id: str, end: int) -> bytes:
    chat = raw.get("shape", "chat") == "chat"
    choice: dict[str, Any] = {"delta": {}} if chat else {"text": ""}
    finish = _chunk(raw, request_id, {**choice, "finish_reason": "length"})
    prompt_tokens = max(1, len(raw["prompt"]) // 4)
    usage = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": end,
        "total_tokens": prompt_tokens + end,
    }
    lines = [f"id: {request_id}/{end}-end\ndata: {finish}\n\n"]
    if raw.get("include_usage"):
        chunk = json.loads(finish) | {"choices": [], "usage": usage}
        lines.append(f"data: {json.dumps(chunk)}\n\n")
    lines.append("data: [DONE]\n\n")
    return "".join(lines).encode()


class CancelHandler(_EngineHandler):
    """Stop a stream that is no longer needed."""

    def post(self) -> None:
        request_id = json.loads(self.request.body)["request_id"]
        stream = self.state.streams.get(request_id)
        if stream is not None:
            stream.set()
        self.finish({"found": stream is not None})


class ReportHandler(_EngineHandler):
    """Return the last load report, which is `report_lag_s` old."""

    def get(self) -> None:
        self.finish(self.state.report or self.state.snapshot())


class CacheEventsHandler(_EngineHandler):
    """Return cache events, delayed by `event_lag_s` and with gaps."""

    def get(self) -> None:
        after = int(self.get_argument("after", "-1"))
        ready_s = time.time() - self.state.options.event_lag_s
        events = [
            {"number": number, "block": block, "added": added}
            for at_s, number, block, added in self.state.cache_events
            if number > after and at_s <= ready_s
        ]
        self.finish({"events": events})


class OrdersHandler(_EngineHandler):
    """Accept an order to load or unload a target.

    The load report has the state of each order by its id.
    """

    async def post(self) -> None:
        raw: dict[str, Any] = json.loads(self.request.body)
        if self.state.faults.take("lose_order") is not None:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        delay_s = self.state.faults.take("delay_order")
        if delay_s is not None:
            # Simulate an intermediary that delays the order: the sender's
            # connection is closed, but the order still arrives later.
            asyncio.get_running_loop().call_later(delay_s, self._accept, raw)
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if not self._accept(raw):
            self.set_status(412)
            self.finish({"fence": self.state.fence})
            return
        if self.state.faults.take("lose_order_reply") is not None:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.set_status(202)
        self.finish({"state": self.state.orders[raw["order_id"]].state})

    def _accept(self, raw: dict[str, Any]) -> bool:
        state = self.state
        if raw["order_id"] in state.orders:
            return True
        fence = int(raw["fence"])
        if state.options.fences and fence < state.fence:
            state.stale_orders += 1
            return False
        state.fence = max(state.fence, fence)
        order = Order(
            raw["order_id"], raw["action"], raw["target"], int(raw["memory_bytes"])
        )
        state.orders[order.order_id] = order
        while len(state.orders) > MAX_ORDERS:
            state.orders.popitem(last=False)
        asyncio.ensure_future(_execute(state, order))
        return True


async def _execute(state: EngineState, order: Order) -> None:
    """Load or unload the target of an order, with the simulated duration."""
    if order.action == "claim":
        order.state = "done"
        return
    if order.action == "unload":
        await _unload(state, order)
        return
    if order.target in state.resident or order.target in state.loading:
        order.state = "done"
        return
    state.loading[order.target] = order.memory_bytes
    state.record_memory_use()
    order.state = "loading"
    try:
        await _fetch_weights(state, order)
    except Exception:
        del state.loading[order.target]
        order.state = "failed"
        return
    if order.target in state.loading:
        state.resident[order.target] = state.loading.pop(order.target)
    order.state = "done"


async def _unload(state: EngineState, order: Order) -> None:
    """Refuse new requests for a target, finish its streams, free its memory.

    Unloading a model also unloads its adapters.
    """
    parts = [t for t in state.resident if _is_unloaded_with(t, order.target)]
    state.unloading.update(parts)
    order.state = "unloading"
    while any(state.running[part] for part in parts):  # noqa: ASYNC110
        await asyncio.sleep(0.02)
    for part in parts:
        state.resident.pop(part, None)
        state.unloading.discard(part)
    order.state = "done"


def _is_unloaded_with(target: str, unloaded: str) -> bool:
    return target == unloaded or target.startswith(unloaded + ":")


async def _fetch_weights(state: EngineState, order: Order) -> None:
    duration_s = order.memory_bytes * state.options.load_s_per_byte
    if not state.options.weights_address:
        await asyncio.sleep(duration_s)
        return
    pool = HttpPool()
    path = f"/weights/{order.target}?duration_s={duration_s}"
    await pool.fetch(
        Request(
            address=state.options.weights_address,
            method="GET",
            path=path,
            progress_timeout_s=600.0,
        )
    )
    pool.close()


class RecordHandler(_EngineHandler):
    """Return the record of what the engine executed."""

    async def prepare(self) -> None:
        """Skip the armed faults so that the record can always be read."""

    def get(self) -> None:
        state = self.state
        self.finish(
            {
                "started": dict(state.started),
                "finished": dict(state.finished),
                "cancelled": state.cancelled,
                "started_at": state.started_at,
                "peak_memory_bytes": state.peak_memory_bytes,
                "overcommitted": state.overcommitted,
                "stale_orders": state.stale_orders,
                "orders": [
                    [o.order_id, o.action, o.target, o.state]
                    for o in state.orders.values()
                ],
                "resident": state.resident,
                "cache_hits": state.cache_hits,
                "cache_lookups": state.cache_lookups,
                "tokens": state.tokens,
            }
        )


class DrainHandler(_EngineHandler):
    """Start draining: refuse new requests and finish the running ones."""

    def post(self) -> None:
        self.state.draining = True
        self.finish({"leaving": True})


async def refresh_reports(state: EngineState) -> None:
    """Publish load reports, each `report_lag_s` after its snapshot."""
    while True:
        fresh = state.snapshot()
        await asyncio.sleep(state.options.report_lag_s)
        state.report = fresh


def make_engine(options: EngineOptions) -> tuple[Application, EngineState]:
    """Build the application and state of a simulated engine."""
    state = EngineState(options)
    handler_args = {"state": state}
    app = Application(
        [
            (r"/v1/generate", GenerateHandler, handler_args),
            (r"/v1/cancel", CancelHandler, handler_args),
            (r"/report", ReportHandler, handler_args),
            (r"/cache-events", CacheEventsHandler, handler_args),
            (r"/orders", OrdersHandler, handler_args),
            (r"/admin/faults", FaultsHandler, {"faults": state.faults}),
            (r"/admin/record", RecordHandler, handler_args),
            (r"/admin/leave", DrainHandler, handler_args),
        ],
        log_function=lambda _: None,
    )
    return app, state
