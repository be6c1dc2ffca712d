"""Simulated platform: object store, VM list and weight store.

The object store implements the platform's published API: kinds of objects
with revisions, conditional writes, paginated lists and long-polling watches.
"""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

from tornado.web import Application, RequestHandler

from rosepath.token_bucket import TokenBucket
from rosepath_standins.faults import Faults, FaultsHandler

# How often a waiting watch checks whether a fault has been armed meanwhile.
FAULT_POLL_S = 0.25
VM_KIND = "vms"
MAX_VALUE_BYTES = 1 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformOptions:
    """Configure the limits of a simulated platform."""

    vm_list_lag_s: float = 1.0
    weight_loads_per_s: float = 1.0
    weight_parallel: int = 4
    calls_per_s: float = 2500.0
    page: int = 500


@dataclass(slots=True)
class PlatformState:
    """Own the stored objects, the VM list and the call counters."""

    options: PlatformOptions
    faults: Faults = field(default_factory=Faults)
    objects: dict[str, tuple[int, Any]] = field(default_factory=dict)
    snapshot: dict[str, tuple[int, Any]] = field(default_factory=dict)
    history_from: int = 0
    revision: int = 0
    log: list[tuple[int, str]] = field(default_factory=list)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    calls: Counter[str] = field(default_factory=Counter)
    loads: list[tuple[float, str]] = field(default_factory=list)
    loading: int = 0
    most_parallel_loads: int = 0

    def document(self, name: str, *, revision: int = 0) -> dict[str, Any]:
        """Return an object in the format of the store's API."""
        known, spec = self.objects.get(name, (revision, None))
        own = name.partition("/")[2]
        return {"metadata": {"name": own, "revision": known}, "spec": spec}

    def write(self, name: str, value: Any) -> int:
        """Store a value, or remove it if None, and return the new revision."""
        self.revision += 1
        if value is None:
            self.objects.pop(name, None)
        else:
            self.objects[name] = (self.revision, value)
        self.log.append((self.revision, name))
        return self.revision


class _PlatformHandler(RequestHandler):
    """Count a call and apply the faults that affect every call."""

    def initialize(self, state: PlatformState) -> None:
        self.state = state

    async def prepare(self) -> None:
        kind = f"{self.request.method} {self.request.path}"
        if self.request.path.startswith("/v1/objects/"):
            kind = f"{self.request.method} {self.request.path.split('/')[3]}"
        self.state.calls[kind] += 1
        if self.state.faults.active("silent"):
            await asyncio.Event().wait()
        if not self.get_argument("watch", ""):
            await self.delay()
        if self.state.faults.active("down"):
            self.set_status(503)
            self.finish()

    async def delay(self) -> None:
        """Delay the response if a `slow` fault is armed.

        The fault applies to all addresses or to the one that was called.
        """
        faults = ("slow", f"slow {self.request.host}")
        await asyncio.sleep(max(self.state.faults.take(one) or 0.0 for one in faults))

    def lose_reply(self) -> bool:
        """Close the connection without a response if the fault is armed."""
        if self.state.faults.take("lose_reply") is None:
            return False
        self.request.connection.stream.close()  # type: ignore[union-attr]
        return True

    async def store(self, name: str, spec: Any) -> None:
        """Write an object and respond with it, unless a fault is triggered."""
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.set_status(413)
            return
        if self.state.faults.take("lose_write") is not None:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.state.write(name, spec)
        await self.announce()
        if not self.lose_reply():
            self.finish(self.state.document(name))

    async def announce(self) -> None:
        async with self.state.changed:
            self.state.changed.notify_all()


class KindHandler(_PlatformHandler):
    """List or watch the objects of a kind, or create one."""

    async def get(self, kind: str) -> None:
        if self.get_argument("watch", ""):
            await self._watch(kind, int(self.get_argument("watch")))
            return
        after = self.get_argument("after", "")
        names = sorted(
            name
            for name in self.state.objects
            if name.startswith(f"{kind}/") and name > f"{kind}/{after}"
        )
        page = names[: self.state.options.page]
        self.finish(
            {
                "items": [self.state.document(name) for name in page],
                "hasMore": len(page) < len(names),
                "atRevision": self.state.revision,
            }
        )

    async def _watch(self, kind: str, after: int) -> None:
        if after < self.state.history_from:
            self.set_status(410)
            return
        limit_s = float(self.get_argument("waitMs", "0")) / 1000
        deadline_s = asyncio.get_running_loop().time() + limit_s
        while not (events := self._events(kind, after)):
            left_s = deadline_s - asyncio.get_running_loop().time()
            if left_s <= 0 or self.state.faults.active("down"):
                break
            if self.state.faults.active("silent"):
                await asyncio.Event().wait()
            await self._wait_for_change(min(left_s, FAULT_POLL_S))
        if self.state.faults.active("down"):
            self.set_status(503)
            return
        # A change made while the response is delayed is not included.
        response = {"events": events, "atRevision": self.state.revision}
        await self.delay()
        self.finish(response)

    def _events(self, kind: str, after: int) -> list[dict[str, Any]]:
        changed = {
            name: revision
            for revision, name in self.state.log
            if revision > after and name.startswith(f"{kind}/")
        }
        return [
            {
                "object": self.state.document(name, revision=revision),
                "deleted": name not in self.state.objects,
            }
            for name, revision in changed.items()
        ]

    async def _wait_for_change(self, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                async with self.state.changed:
                    await self.state.changed.wait()
        except TimeoutError:
            return

    async def post(self, kind: str) -> None:
        raw = json.loads(self.request.body)
        name = f"{kind}/{raw['metadata']['name']}"
        if name in self.state.objects:
            self.set_status(409)
            self.finish(self.state.document(name))
            return
        await self.store(name, raw["spec"])


class ObjectHandler(_PlatformHandler):
    """Read one object, or replace or delete it conditionally."""

    def get(self, kind: str, name: str) -> None:
        full = f"{kind}/{unquote(name)}"
        if full not in self.state.objects:
            self.set_status(404)
            return
        self.finish(self.state.document(full))

    async def put(self, kind: str, name: str) -> None:
        full = f"{kind}/{unquote(name)}"
        raw = json.loads(self.request.body)
        if full not in self.state.objects:
            self.set_status(404)
            return
        if not self._matches(full, raw["metadata"].get("revision")):
            return
        await self.store(full, raw["spec"])

    async def delete(self, kind: str, name: str) -> None:
        full = f"{kind}/{unquote(name)}"
        if full not in self.state.objects:
            self.set_status(404)
            return
        if not self._matches(full, self.get_argument("revision", None)):
            return
        self.state.write(full, None)
        await self.announce()
        if not self.lose_reply():
            self.finish()

    def _matches(self, full: str, wanted: int | str | None) -> bool:
        if wanted is None or int(wanted) == self.state.objects[full][0]:
            return True
        self.set_status(409)
        self.finish(self.state.document(full))
        return False


class VmsHandler(_PlatformHandler):
    """Update the objects of the VM list after `vm_list_lag_s`."""

    async def post(self) -> None:
        raw: dict[str, str] = json.loads(self.request.body)
        loop = asyncio.get_running_loop()
        loop.call_later(self.state.options.vm_list_lag_s, self._apply, raw)
        self.finish()

    def _apply(self, raw: dict[str, str]) -> None:
        for name, vm_state in raw.items():
            gone = vm_state == "gone"
            value = None if gone else json.dumps({"state": vm_state})
            self.state.write(f"{VM_KIND}/{name}", value)


class WeightsHandler(_PlatformHandler):
    """Serve model weights at a limited rate; parallel loads slow down."""

    def initialize(  # type: ignore[override]
        self, state: PlatformState, rate: TokenBucket
    ) -> None:
        super().initialize(state)
        self.rate = rate

    async def get(self, name: str) -> None:
        options = self.state.options
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
            # Above the limit of parallel loads, every load slows down.
            slowdown = max(1.0, self.state.loading / options.weight_parallel)
            await asyncio.sleep(duration_s * slowdown)
        finally:
            self.state.loading -= 1
        self.finish()


class CallsHandler(_PlatformHandler):
    """Return the number of calls by kind."""

    async def prepare(self) -> None:
        """Skip call counting and armed faults."""

    def get(self) -> None:
        self.finish(
            {
                "calls": dict(self.state.calls),
                "loads": len(self.state.loads),
                "most_parallel_loads": self.state.most_parallel_loads,
            }
        )


class SnapshotHandler(_PlatformHandler):
    """Take a snapshot of the store (POST) or restore it (PUT)."""

    async def prepare(self) -> None:
        """Skip call counting and armed faults."""

    def post(self) -> None:
        self.state.snapshot = dict(self.state.objects)

    async def put(self) -> None:
        for name in {*self.state.objects, *self.state.snapshot}:
            _, value = self.state.snapshot.get(name, (0, None))
            self.state.write(name, value)
        await self.announce()


def make_platform(options: PlatformOptions) -> tuple[Application, PlatformState]:
    """Build the application and state of a simulated platform."""
    state = PlatformState(options)
    rate = TokenBucket(rate_per_s=options.weight_loads_per_s, burst=1)
    handler_args = {"state": state}
    app = Application(
        [
            (r"/v1/objects/([^/]+)", KindHandler, handler_args),
            (r"/v1/objects/([^/]+)/(.+)", ObjectHandler, handler_args),
            (r"/admin/vms", VmsHandler, handler_args),
            (r"/weights/(.+)", WeightsHandler, {"state": state, "rate": rate}),
            (r"/admin/faults", FaultsHandler, {"faults": state.faults}),
            (r"/admin/calls", CallsHandler, handler_args),
            (r"/admin/snapshot", SnapshotHandler, handler_args),
        ],
        log_function=lambda _: None,
    )
    return app, state
