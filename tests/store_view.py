"""One VM's client of the store that all simulated VMs share."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from virtual_time import now_s

from rosepath.errors import Step
from rosepath.object_store import (
    Change,
    ConflictError,
    HistoryGoneError,
    Listing,
    StoredObject,
    StoreError,
    ignore_response_start,
)

if TYPE_CHECKING:
    from fleet_world import FleetSimulation

# One-way latency to the store or to another VM.
ONE_WAY_LATENCY_S = 0.004
CALL_TIMEOUT_S = 0.5
# A read without a response fails after this time.
READ_INACTIVITY_TIMEOUT_S = 4.0
# Delay of changes reported to relaxed watches.
RELAXED_WATCH_DELAY_S = 3.0


@dataclass(slots=True)
class SimulatedStore:
    """Implement the store port for one VM on the simulated store."""

    simulation: "FleetSimulation"
    vm: str
    last_success_s: float = -1e9
    calls: Counter[str] = field(default_factory=Counter)
    # When the watch connection was opened; -1 if there is none.
    connected_s: float = -1.0

    async def list(
        self,
        kind: str,
        *,
        fresh: bool = False,
        on_response_start: Callable[[], None] = ignore_response_start,
    ) -> Listing:
        await self._call("list", limit_s=READ_INACTIVITY_TIMEOUT_S)
        objects = {
            name: stored
            for name, stored in self.simulation.objects.items()
            if name.startswith(f"{kind}/")
        }
        listing = Listing(revision=self.simulation.revision, objects=objects)
        on_response_start()
        await self._receive(objects)
        return self._succeeded(listing)

    async def changes(
        self,
        kind: str,
        *,
        after: int,
        wait_s: float,
        relaxed: bool = False,
        on_response_start: Callable[[], None] = ignore_response_start,
    ) -> Change:
        """Watch on the previous watch's connection unless that watch failed."""
        if self.connected_s < 0:
            self.connected_s = now_s()
        connected_s, self.connected_s = self.connected_s, -1.0
        delay_s = RELAXED_WATCH_DELAY_S if relaxed else 0.0
        change = await self._changes(
            kind, after, wait_s, connected_s, delay_s, on_response_start
        )
        self.connected_s = connected_s
        return change

    async def _changes(
        self,
        kind: str,
        after: int,
        wait_s: float,
        connected_s: float,
        delay_s: float,
        on_response_start: Callable[[], None],
    ) -> Change:
        what = "relaxed_watch" if delay_s else "watch"
        await self._call(what, limit_s=wait_s + READ_INACTIVITY_TIMEOUT_S)
        simulation, cuts, begun_s = self.simulation, self.simulation.cuts, now_s()
        gone = after < simulation.compacted_revision
        until_s = begun_s + wait_s
        while True:
            if connected_s < simulation.stalled_at_s.get(self.vm, -1e9) <= now_s():
                await asyncio.sleep(until_s + READ_INACTIVITY_TIMEOUT_S - now_s())
                raise StoreError("no response in time", step=Step.STORE)
            if simulation.cuts != cuts or self._unreachable:
                raise StoreError("response closed early", step=Step.STORE)
            change = self._change(kind, after, before_s=now_s() - delay_s)
            if change.written or change.removed:
                if gone:
                    raise HistoryGoneError(kind, step=Step.STORE)
                await asyncio.sleep(ONE_WAY_LATENCY_S)
                on_response_start()
                await self._receive(change.written)
                return self._succeeded(change)
            remaining_s = until_s - now_s()
            if remaining_s <= 0:
                return self._succeeded(change)
            # Poll: no notification comes when a delayed change becomes visible.
            await self._wait(min(remaining_s, delay_s / 4 or remaining_s))

    async def get(self, name: str) -> StoredObject | None:
        await self._call("get")
        return self._succeeded(self.simulation.objects.get(name))

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        """Write an object if it has the expected version, 0 for none."""
        await self._call("put")
        stored = self.simulation.objects.get(name)
        version = stored.version if stored is not None else 0
        if expected_version not in (None, version):
            raise ConflictError(name, step=Step.STORE)
        self.simulation.write(name, value)
        return self._succeeded(self.simulation.revision)

    def close(self) -> None:
        pass

    @property
    def _unreachable(self) -> bool:
        return self.simulation.down or self.vm in self.simulation.blocked

    async def _call(self, what: str, *, limit_s: float = CALL_TIMEOUT_S) -> None:
        self.calls[what] += 1
        if self._unreachable:
            await asyncio.sleep(limit_s)
            raise StoreError("no response in time", step=Step.STORE)
        await asyncio.sleep(ONE_WAY_LATENCY_S)

    async def _receive(self, objects: Mapping[str, StoredObject]) -> None:
        """Sleep for the transfer time of the objects on this VM's link."""
        size = sum(len(stored.value) for stored in objects.values())
        self.simulation.received_bytes[self.vm] += size
        until_s = now_s() + size / self.simulation.bytes_per_s.get(self.vm, math.inf)
        cuts = self.simulation.cuts
        while (remaining_s := until_s - now_s()) > 0:
            await self._wait(remaining_s)
            if self.simulation.cuts != cuts or self._unreachable:
                raise StoreError("response closed early", step=Step.STORE)

    def _succeeded(self, answer: Any) -> Any:
        self.last_success_s = now_s()
        return answer

    def _change(self, kind: str, after: int, *, before_s: float) -> Change:
        written: dict[str, StoredObject] = {}
        removed: set[str] = set()
        # Changes before the compacted revision are no longer reported.
        seen = max(after, self.simulation.compacted_revision)
        told = after
        for revision, name, stored in (
            self.simulation.events if not self.simulation.changes_suppressed else ()
        ):
            if self.simulation.written_at_s[revision] > before_s:
                break
            told = max(told, revision)
            if revision <= seen or not name.startswith(f"{kind}/"):
                continue
            written.pop(name, None)
            removed.discard(name)
            if stored is None:
                removed.add(name)
            else:
                written[name] = stored
        if self.simulation.changes_suppressed:
            told = self.simulation.revision
        return Change(revision=told, written=written, removed=frozenset(removed))

    async def _wait(self, limit_s: float) -> None:
        async with self.simulation.changed:
            try:
                async with asyncio.timeout(limit_s):
                    await self.simulation.changed.wait()
            except TimeoutError:
                return
