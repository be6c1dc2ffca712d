"""Closed-loop and open-loop load generator that checks every response."""

import asyncio
import json
import random
import time
import uuid
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field, fields
from typing import Any

from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool, Request, ResponseHead
from rosepath_standins.tokens import response_text

MAX_DURATION_S = 1200.0
MAX_REQUESTS = 2_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadShape:
    """Describe a load.

    A `rate_per_s` above 0 generates an open loop of requests at that rate; 0
    generates `streams` closed loops.
    """

    addresses: tuple[str, ...]
    key: str
    models: tuple[str, ...]
    weights: tuple[float, ...] = ()
    streams: int = 1
    tokens: int = 20
    duration_s: float = 5.0
    rate_per_s: float = 0.0
    requests: int = MAX_REQUESTS
    prefixes: int = 0
    prefix_chars: int = 0
    seed: int = 1
    check: bool = True
    timeout_s: float = 30.0
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class LoadResult:
    """Hold the results that the callers observed."""

    started: int = 0
    whole: int = 0
    wrong: int = 0
    broken: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    statuses: Counter[str] = field(default_factory=Counter)
    tokens: int = 0
    elapsed_s: float = 0.0
    first_token_s: list[float] = field(default_factory=list)
    between_tokens_s: list[float] = field(default_factory=list)
    refused_ids: list[str] = field(default_factory=list)
    messages: list[str] = field(default_factory=list)

    def merge(self, other: "LoadResult") -> None:
        """Add the result of another part of the same load."""
        self.started += other.started
        self.whole += other.whole
        self.wrong += other.wrong
        self.broken += other.broken
        self.refused.update(other.refused)
        self.statuses.update(other.statuses)
        self.tokens += other.tokens
        self.elapsed_s = max(self.elapsed_s, other.elapsed_s)
        self.first_token_s += other.first_token_s
        self.between_tokens_s += other.between_tokens_s
        self.refused_ids += other.refused_ids
        self.messages += other.messages

    def within(self, first_token_s: float) -> float:
        """Return the share of requests with a first token within a limit."""
        in_time = sum(value <= first_token_s for value in self.first_token_s)
        return in_time / max(1, self.started)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the percentile of the values for a share between 0 and 1."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class _Caller:
    """Own the connection pool of one caller and send its requests."""

    def __init__(self, shape: LoadShape, result: LoadResult, seed: int) -> None:
        self._shape = shape
        self._result = result
        self._rng = random.Random(seed)
        self._pool = HttpPool()
        self._weights = shape.weights or (1.0,) * len(shape.models)

    def close(self) -> None:
        self._pool.close()

    async def send(self) -> None:
        """Send one streaming request and check its response."""
        shape = self._shape
        model = self._rng.choices(shape.models, self._weights)[0]
        prompt = self._prompt()
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": shape.tokens,
            "stream": True,
        }
        chunks: list[bytes] = []
        times: list[float] = []
        started_s = time.perf_counter()

        def on_data(chunk: bytes) -> None:
            times.append(time.perf_counter())
            chunks.append(chunk)

        self._result.started += 1
        request = Request(
            address=self._rng.choice(shape.addresses),
            method="POST",
            path="/v1/completions",
            headers={
                "Authorization": f"Bearer {shape.key}",
                "Content-Type": "application/json",
                **shape.headers,
            },
            body=json.dumps(body).encode(),
            progress_timeout_s=shape.timeout_s,
        )
        try:
            head = await self._pool.exchange(
                request, on_head=lambda _: None, on_data=on_data
            )
        except ExchangeError as error:
            self._result.broken += 1
            self._result.messages.append(str(error))
            return
        self._count_response(head, b"".join(chunks), model, prompt)
        if head.status == 200 and times:
            self._result.first_token_s.append(times[0] - started_s)
            if shape.tokens > 1:
                spread_s = (times[-1] - times[0]) / (shape.tokens - 1)
                self._result.between_tokens_s.append(spread_s)

    def _prompt(self) -> str:
        shape = self._shape
        if not shape.prefixes:
            return uuid.UUID(int=self._rng.getrandbits(128)).hex
        group = self._rng.randrange(shape.prefixes)
        prefix = f"{group:06d}" * (shape.prefix_chars // 6 + 1)
        return prefix[: shape.prefix_chars] + f"{self._rng.getrandbits(64):x}"

    def _count_response(
        self, head: ResponseHead, body: bytes, model: str, prompt: str
    ) -> None:
        result = self._result
        result.statuses[str(head.status)] += 1
        if head.status != 200:
            error = json.loads(body)["error"]
            result.refused[error["run"]] += 1
            result.refused_ids.append(f"{error['run']} {error['request_id']}")
            return
        if not body.endswith(b"data: [DONE]\n\n"):
            result.broken += 1
            result.messages.append(body[-200:].decode(errors="replace"))
            return
        result.tokens += self._shape.tokens
        if not self._shape.check:
            result.whole += 1
            return
        expected = response_text(model, prompt, self._shape.tokens)
        if _text(body) == expected:
            result.whole += 1
        else:
            result.wrong += 1
            result.messages.append(f"wrong response to {prompt[:40]!r}")


def _text(body: bytes) -> str:
    return "".join(
        choice.get("text", "")
        for line in body.split(b"\n")
        if line.startswith(b"data: {")
        for choice in json.loads(line[6:]).get("choices", ())
    )


async def run_load(shape: LoadShape) -> LoadResult:
    """Run a load until its duration or number of requests is reached.

    The duration is capped at `MAX_DURATION_S`.
    """
    result = LoadResult()
    started_s = time.perf_counter()
    end_s = started_s + min(shape.duration_s, MAX_DURATION_S)
    if shape.rate_per_s:
        await _open_loop(shape, result, end_s)
    else:
        await _closed_loops(shape, result, end_s)
    result.elapsed_s = time.perf_counter() - started_s
    return result


async def _closed_loops(shape: LoadShape, result: LoadResult, end_s: float) -> None:
    async def loop(number: int) -> None:
        caller = _Caller(shape, result, shape.seed * 1000 + number)
        while time.perf_counter() < end_s and result.started < shape.requests:
            before = result.whole
            await caller.send()
            if result.whole == before:
                await asyncio.sleep(0.02)
        caller.close()

    await asyncio.gather(*(loop(number) for number in range(shape.streams)))


async def _open_loop(shape: LoadShape, result: LoadResult, end_s: float) -> None:
    caller = _Caller(shape, result, shape.seed)
    rng = random.Random(shape.seed)
    sent: set[asyncio.Task[None]] = set()
    next_s = time.perf_counter()
    while next_s < end_s and result.started < shape.requests:
        await asyncio.sleep(max(0.0, next_s - time.perf_counter()))
        task = asyncio.ensure_future(caller.send())
        sent.add(task)
        task.add_done_callback(sent.discard)
        next_s += rng.expovariate(shape.rate_per_s)
    if sent:
        await asyncio.wait(sent)
    caller.close()


def encode_result(result: LoadResult) -> str:
    """Encode a result as JSON for the process that merges it."""
    return json.dumps({f.name: getattr(result, f.name) for f in fields(result)})


def decode_result(text: str) -> LoadResult:
    """Decode a result from JSON."""
    raw: dict[str, Any] = json.loads(text)
    raw["refused"] = Counter(raw["refused"])
    raw["statuses"] = Counter(raw["statuses"])
    return LoadResult(**raw)


def encode_shape(shape: LoadShape) -> str:
    """Encode a load shape as JSON for the process that runs it."""
    return json.dumps(asdict(shape))


def decode_shape(text: str) -> LoadShape:
    """Decode a load shape from JSON."""
    raw: dict[str, Any] = json.loads(text)
    for name in ("addresses", "models", "weights"):
        raw[name] = tuple(raw[name])
    return LoadShape(**raw)


def summary(result: LoadResult) -> dict[str, Any]:
    """Return the counts, rates and latency percentiles of a result."""
    return {
        "started": result.started,
        "whole": result.whole,
        "wrong": result.wrong,
        "broken": result.broken,
        "refused": dict(result.refused),
        "statuses": dict(result.statuses),
        "requests_per_s": result.started / max(1e-9, result.elapsed_s),
        "tokens_per_s": result.tokens / max(1e-9, result.elapsed_s),
        "first_token_p50_s": percentile(result.first_token_s, 0.5),
        "first_token_p99_s": percentile(result.first_token_s, 0.99),
        "between_tokens_p95_s": percentile(result.between_tokens_s, 0.95),
    }
