"""In-memory fakes of the platform store and the engines."""

from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from rosepath.backend import (
    Generation,
    LoadReport,
    OnBytes,
    Order,
    SendPolicy,
    StaleFenceError,
)
from rosepath.errors import ExchangeError, Step
from rosepath.ledger import EngineReport
from rosepath.object_store import (
    ConflictError,
    ObjectEvent,
    StoredObject,
    StoreError,
    VmState,
)


class FakePlatform:
    """Keep objects in memory and simulate lost responses and outages."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.down = False
        self.writes: Counter[str] = Counter()
        self._lost: Counter[str] = Counter()

    def lose_replies(self, name: str, count: int) -> None:
        """Lose the responses to the next `count` writes of an object."""
        self._lost[name] = count

    def _check(self) -> None:
        if self.down:
            raise StoreError("down", step=Step.STORE)

    async def get(self, name: str) -> StoredObject | None:
        self._check()
        return self.objects.get(name)

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        self._check()
        held = self.objects.get(name)
        version = held.version if held else 0
        if expected_version is not None and expected_version != version:
            raise ConflictError(name, step=Step.STORE)
        self.revision += 1
        self.writes[name] += 1
        self.objects[name] = StoredObject(name, self.revision, value)
        self._lose(name)
        return self.revision

    async def delete(self, name: str, *, expected_version: int) -> None:
        self._check()
        held = self.objects.get(name)
        if held is None or held.version != expected_version:
            raise ConflictError(name, step=Step.STORE)
        del self.objects[name]
        self._lose(name)

    def _lose(self, name: str) -> None:
        if self._lost[name] > 0:
            self._lost[name] -= 1
            lost = StoreError("reply lost", step=Step.STORE)
            lost.unknown = True
            raise lost

    async def list_names(self, prefix: str) -> list[str]:
        self._check()
        return [name for name in self.objects if name.startswith(prefix)]

    async def watch(self, prefix: str) -> AsyncIterator[ObjectEvent]:
        yield ObjectEvent("", self.revision)

    async def vms(self) -> dict[str, VmState]:
        self._check()
        return {}


@dataclass(slots=True)
class FakeEngine:
    """Hold an engine's memory state; tests control when orders execute."""

    memory_bytes: int = 100
    fences: bool = True
    resident: dict[str, int] = field(default_factory=dict)
    loading: dict[str, int] = field(default_factory=dict)
    orders: dict[str, str] = field(default_factory=dict)
    fence: int = 0
    alive: bool = True
    delayed: list[Order] = field(default_factory=list)
    fault: str = ""

    @property
    def used_bytes(self) -> int:
        return sum(self.resident.values()) + sum(self.loading.values())

    def execute(self, order: Order) -> bool:
        """Execute an order as a real engine does; return False if it is stale."""
        if order.order_id in self.orders:
            return True
        if self.fences and order.fence < self.fence:
            return False
        self.fence = max(self.fence, order.fence)
        self.orders[order.order_id] = "done"
        if order.action == "load":
            if order.target not in self.resident:
                self.loading[order.target] = order.memory_bytes
                self.orders[order.order_id] = "loading"
        elif order.action == "unload":
            for target in [*self.resident]:
                if target.split(":")[0] == order.target or target == order.target:
                    del self.resident[target]
        return True

    def execute_delayed(self) -> None:
        """Execute every delayed order."""
        delayed, self.delayed = self.delayed, []
        for order in delayed:
            self.execute(order)

    def finish_loading(self) -> None:
        """Finish every load in progress."""
        self.resident |= self.loading
        self.loading = {}
        for identity, state in self.orders.items():
            if state == "loading":
                self.orders[identity] = "done"


class FakeBackend:
    """Reach fake engines by name; lose, delay or duplicate their orders."""

    def __init__(self, engines: dict[str, FakeEngine]) -> None:
        self.engines = engines

    async def report(self, address: str) -> LoadReport:
        engine = self.engines[address]
        if not engine.alive:
            raise self._failure(address)
        return LoadReport(
            at_s=0.0,
            running=0,
            queued=0,
            slots=4,
            running_by_target={},
            engine=EngineReport(
                memory_bytes=engine.memory_bytes,
                resident=dict(engine.resident),
                loading=dict(engine.loading),
                fence=engine.fence,
                orders=dict(engine.orders),
            ),
        )

    async def order(self, address: str, order: Order) -> None:
        engine = self.engines[address]
        fault = engine.fault
        if not engine.alive or fault == "lose":
            raise self._failure(address)
        if fault == "late":
            engine.delayed.append(order)
            raise self._failure(address)
        if fault == "double":
            engine.delayed.append(order)
        if not engine.execute(order):
            raise StaleFenceError("old", step=Step.SEND, peer=address)

    async def cancel(self, address: str, request_id: str) -> None:
        """Do nothing."""

    async def generate(
        self, address: str, generation: Generation, on_bytes: OnBytes, _: SendPolicy
    ) -> None:
        """Do nothing."""

    def _failure(self, address: str) -> ExchangeError:
        return ExchangeError("lost", step=Step.SEND, peer=address, sent=True)
