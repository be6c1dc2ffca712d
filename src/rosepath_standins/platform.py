"""Stand-in for the platform: object API, VM list and weight store."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from rosepath.rates import TokenBucket
from rosepath_standins.faults import Faults, FaultsHandler

BOOKMARK_INTERVAL_S = 0.5
MAX_VALUE_BYTES = 1 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformShape:
    """Set the stand-in's limits."""

    vm_list_lag_s: float = 1.0
    weight_loads_per_s: float = 1.0
    weight_parallel: int = 4
    calls_per_s: float = 2500.0


@dataclass(slots=True)
class PlatformState:
    """Hold the objects, the VM list and the counts of calls."""

    shape: PlatformShape
    faults: Faults = field(default_factory=Faults)
    objects: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    snapshot: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    revision: int = 0
    log: list[tuple[int, str]] = field(default_factory=list)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    vms: dict[str, str] = field(default_factory=dict)
    calls: Counter[str] = field(default_factory=Counter)
    loads: list[tuple[float, str]] = field(default_factory=list)
    loading: int = 0
    most_parallel_loads: int = 0

    def write(self, name: str, value: bytes | None) -> int:
        """Store or (None) remove a value; return its version."""
        self.revision += 1
        if value is None:
            self.objects.pop(name, None)
        else:
            self.objects[name] = (self.revision, value)
        self.log.append((self.revision, name))
        return self.revision


class _PlatformHandler(RequestHandler):
    """Count a call and apply the faults that concern every call."""

    def initialize(self, state: PlatformState) -> None:
        self.state = state

    async def prepare(self) -> None:
        kind = f"{self.request.method} {self.request.path.split('/')[1]}"
        self.state.calls[kind] += 1
        if self.state.faults.active("silent"):
            await asyncio.Event().wait()
        delay_s = self.state.faults.take("slow")
        if delay_s is not None:
            await asyncio.sleep(delay_s)
        if self.state.faults.active("down"):
            self.set_status(503)
            self.finish()

    def lose_reply(self) -> bool:
        """Close the connection instead of answering, if the fault strikes."""
        if self.state.faults.take("lose_reply") is None:
            return False
        self.request.connection.stream.close()  # type: ignore[union-attr]
        return True

    async def announce(self) -> None:
        async with self.state.changed:
            self.state.changed.notify_all()


class ObjectsHandler(_PlatformHandler):
    """List names below a prefix."""

    def get(self) -> None:
        prefix = self.get_argument("prefix", "")
        names = sorted(n for n in self.state.objects if n.startswith(prefix))
        self.finish(json.dumps(names))


class ObjectHandler(_PlatformHandler):
    """Read, write and delete one object, conditionally."""

    def get(self, name: str) -> None:
        if name not in self.state.objects:
            self.set_status(404)
            return
        version, value = self.state.objects[name]
        self.set_header("Etag", f'"{version}"')
        self.finish(value)

    def compute_etag(self) -> str | None:
        return None

    async def put(self, name: str) -> None:
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.set_status(413)
            return
        if not self._condition_holds(name):
            self.set_status(412)
            return
        if self.state.faults.take("lose_write") is not None:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        version = self.state.write(name, self.request.body)
        await self.announce()
        if not self.lose_reply():
            self.set_header("Etag", f'"{version}"')
            self.finish()

    async def delete(self, name: str) -> None:
        if not self._condition_holds(name):
            self.set_status(412)
            return
        self.state.write(name, None)
        await self.announce()
        if not self.lose_reply():
            self.finish()

    def _condition_holds(self, name: str) -> bool:
        version = self.state.objects.get(name, (0, b""))[0]
        if self.request.headers.get("If-None-Match") == "*":
            return version == 0
        wanted = self.request.headers.get("If-Match")
        return wanted is None or wanted == f'"{version}"'


class WatchHandler(_PlatformHandler):
    """Stream changes below a prefix, and bookmarks while nothing changes."""

    async def get(self) -> None:
        prefix = self.get_argument("prefix", "")
        seen = self.state.revision
        await self._send({"version": seen})
        while not self.state.faults.active("down"):
            try:
                async with asyncio.timeout(BOOKMARK_INTERVAL_S):
                    async with self.state.changed:
                        await self.state.changed.wait()
            except TimeoutError:
                pass
            if self.state.faults.active("silent"):
                await asyncio.Event().wait()
            fresh = [(v, n) for v, n in self.state.log[-1000:] if v > seen]
            for version, name in fresh:
                seen = version
                if name.startswith(prefix):
                    await self._send({"version": version, "name": name})
            if not fresh:
                await self._send({"version": seen})

    async def _send(self, event: dict[str, Any]) -> None:
        self.write(json.dumps(event) + "\n")
        try:
            await self.flush()
        except StreamClosedError:
            raise asyncio.CancelledError from None


class VmsHandler(_PlatformHandler):
    """Show the VM list; it lags behind what the admin call sets."""

    def get(self) -> None:
        self.finish(json.dumps(self.state.vms))

    async def post(self) -> None:
        raw: dict[str, str] = json.loads(self.request.body)
        loop = asyncio.get_running_loop()
        loop.call_later(self.state.shape.vm_list_lag_s, self._apply, raw)
        self.finish()

    def _apply(self, raw: dict[str, str]) -> None:
        for name, vm_state in raw.items():
            if vm_state == "gone":
                self.state.vms.pop(name, None)
            else:
                self.state.vms[name] = vm_state


class WeightsHandler(_PlatformHandler):
    """Hand out a model's weights, bounded in rate and parallel loads."""

    def initialize(  # type: ignore[override]
        self, state: PlatformState, rate: TokenBucket
    ) -> None:
        super().initialize(state)
        self.rate = rate

    async def get(self, name: str) -> None:
        shape = self.state.shape
        loop = asyncio.get_running_loop()
        while (wait_s := self.rate.take(loop.time())) > 0:  # noqa: ASYNC110
            await asyncio.sleep(wait_s)
        duration_s = float(self.get_argument("duration_s", "0"))
        self.state.loading += 1
        self.state.loads.append((loop.time(), name))
        self.state.most_parallel_loads = max(
            self.state.most_parallel_loads, self.state.loading
        )
        try:
            # Past the parallel limit every load slows down.
            crowd = max(1.0, self.state.loading / shape.weight_parallel)
            await asyncio.sleep(duration_s * crowd)
        finally:
            self.state.loading -= 1
        self.finish()


class CallsHandler(_PlatformHandler):
    """Show how often each call was made."""

    async def prepare(self) -> None:
        """Answer even while faults are armed."""

    def get(self) -> None:
        self.finish(
            {
                "calls": dict(self.state.calls),
                "loads": len(self.state.loads),
                "most_parallel_loads": self.state.most_parallel_loads,
            }
        )


class SnapshotHandler(_PlatformHandler):
    """Keep a snapshot (POST), or bring the store back to it (PUT)."""

    async def prepare(self) -> None:
        """Answer even while faults are armed."""

    def post(self) -> None:
        self.state.snapshot = dict(self.state.objects)

    async def put(self) -> None:
        for name in {*self.state.objects, *self.state.snapshot}:
            _, value = self.state.snapshot.get(name, (0, None))
            self.state.write(name, value)
        await self.announce()


def make_platform(shape: PlatformShape) -> tuple[Application, PlatformState]:
    """Build the stand-in's application and the state behind it."""
    state = PlatformState(shape)
    rate = TokenBucket(rate_per_s=shape.weight_loads_per_s, burst=1)
    handled = {"state": state}
    app = Application(
        [
            (r"/objects", ObjectsHandler, handled),
            (r"/objects/(.+)", ObjectHandler, handled),
            (r"/watch", WatchHandler, handled),
            (r"/vms", VmsHandler, handled),
            (r"/weights/(.+)", WeightsHandler, {"state": state, "rate": rate}),
            (r"/admin/faults", FaultsHandler, {"faults": state.faults}),
            (r"/admin/calls", CallsHandler, handled),
            (r"/admin/snapshot", SnapshotHandler, handled),
        ],
        log_function=lambda _: None,
    )
    return app, state
