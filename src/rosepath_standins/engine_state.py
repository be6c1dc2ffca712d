"""State of a simulated engine: memory, orders, streams, cache and record."""

import asyncio
import heapq
import itertools
import time
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from typing import Any

from rosepath_standins.faults import Faults

PREFIX_BLOCK_CHARS = 64
MAX_CACHE_EVENTS = 1000
MAX_ORDERS = 500


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineOptions:
    """Configure the capacity, speed and delays of a simulated engine."""

    name: str = "engine"
    memory_bytes: int = 80_000
    slots: int = 16
    queue_limit: int = 256
    token_interval_s: float = 0.01
    batch_slowdown: float = 0.02
    prefill_s_per_block: float = 0.002
    tokens_per_event: int = 1
    cache_blocks: int = 2000
    load_s_per_byte: float = 0.0
    report_lag_s: float = 0.1
    event_lag_s: float = 0.5
    event_gap_every: int = 10
    fences: bool = True
    weights_address: str = ""


@dataclass(slots=True)
class Order:
    """Hold one order and its progress."""

    order_id: str
    action: str
    target: str
    memory_bytes: int
    state: str = "accepted"


@dataclass(slots=True)
class EngineState:
    """Own the actual state of a simulated engine.

    The tests check against its record of what was executed.
    """

    options: EngineOptions
    faults: Faults = field(default_factory=Faults)
    resident: dict[str, int] = field(default_factory=dict)
    unloading: set[str] = field(default_factory=set)
    loading: dict[str, int] = field(default_factory=dict)
    orders: OrderedDict[str, Order] = field(default_factory=OrderedDict)
    fence: int = 0
    stale_orders: int = 0
    peak_memory_bytes: int = 0
    overcommitted: int = 0
    started: Counter[str] = field(default_factory=Counter)
    finished: Counter[str] = field(default_factory=Counter)
    cancelled: dict[str, float] = field(default_factory=dict)
    started_at: dict[str, float] = field(default_factory=dict)
    running: Counter[str] = field(default_factory=Counter)
    tokens: int = 0
    draining: bool = False
    report: dict[str, Any] = field(default_factory=dict)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache_events: list[tuple[float, int, str, bool]] = field(default_factory=list)
    cache_hits: int = 0
    cache_lookups: int = 0
    event_numbers: itertools.count = field(default_factory=itertools.count)
    waiting: list[tuple[int, int, asyncio.Future[None]]] = field(default_factory=list)
    arrival_numbers: itertools.count = field(default_factory=itertools.count)
    streams: dict[str, asyncio.Event] = field(default_factory=dict)

    @property
    def memory_used_bytes(self) -> int:
        return sum(self.resident.values()) + sum(self.loading.values())

    @property
    def running_total(self) -> int:
        return sum(self.running.values())

    def record_memory_use(self) -> None:
        """Update the peak memory use and count memory overcommitments."""
        used = self.memory_used_bytes
        self.peak_memory_bytes = max(self.peak_memory_bytes, used)
        if used > self.options.memory_bytes:
            self.overcommitted += 1

    def snapshot(self) -> dict[str, Any]:
        """Return a load report of the current state."""
        return {
            "at_s": time.time(),
            "memory_bytes": self.options.memory_bytes,
            "resident": dict(self.resident),
            "closing": sorted(self.unloading),
            "loading": dict(self.loading),
            "running": self.running_total,
            "queued": len(self.waiting),
            "running_by_target": {k: v for k, v in self.running.items() if v},
            "slots": self.options.slots,
            "tokens": self.tokens,
            "leaving": self.draining,
            "fence": self.fence,
            "orders": {key: o.state for key, o in self.orders.items()},
        }

    async def acquire_slot(self, priority: int) -> None:
        """Wait for a slot of the batch; higher priorities are served first."""
        if self.running_total < self.options.slots and not self.waiting:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (-priority, next(self.arrival_numbers), future))
        await future

    def grant_next_slot(self) -> None:
        """Grant a freed slot to the first waiting request."""
        while self.waiting and self.running_total < self.options.slots:
            _, _, future = heapq.heappop(self.waiting)
            if not future.done():
                future.set_result(None)
                return

    def look_up_prefix(self, target: str, prompt: str) -> int:
        """Cache a prompt's blocks and return the number of cache misses."""
        missing = 0
        for block in prefix_blocks(target, prompt):
            self.cache_lookups += 1
            if block in self.cache:
                self.cache.move_to_end(block)
                self.cache_hits += 1
                continue
            missing += 1
            self.cache[block] = None
            self._cache_event(block, True)
            if len(self.cache) > self.options.cache_blocks:
                old, _ = self.cache.popitem(last=False)
                self._cache_event(old, False)
        return missing

    def _cache_event(self, block: str, added: bool) -> None:
        number = next(self.event_numbers)
        if number % self.options.event_gap_every == self.options.event_gap_every - 1:
            return
        self.cache_events.append((time.time(), number, block, added))
        del self.cache_events[:-MAX_CACHE_EVENTS]


def prefix_blocks(target: str, prompt: str) -> list[str]:
    """Return a key per block, a hash of the prompt up to the block's end."""
    count = max(1, len(prompt) // PREFIX_BLOCK_CHARS)
    return [
        f"{target}#{hash(prompt[: (n + 1) * PREFIX_BLOCK_CHARS])}" for n in range(count)
    ]
