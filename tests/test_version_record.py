"""The record of the software versions that services had lately."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from entry_builders import an_entry
from virtual_time import LoopClock, VirtualLoop

from rosepath.errors import Step
from rosepath.fleet import Fleet
from rosepath.object_store import ConflictError, StoredObject, StoreError
from rosepath.software_versions import (
    RECORD_CACHED_S,
    RECORD_NAME,
    SoftwareVersions,
)
from rosepath.stream_origins import ORIGIN_TTL_S


@dataclass(slots=True)
class OneObjectStore:
    """Hold one object; calls fail while it is down."""

    stored: StoredObject | None = None
    down: bool = False
    calls: int = 0
    writes: list[bytes] = field(default_factory=list)

    async def get(self, name: str) -> StoredObject | None:
        self._check()
        return self.stored

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        self._check()
        found = self.stored.version if self.stored else 0
        if expected_version != found:
            raise ConflictError("changed", step=Step.STORE, peer="store")
        self.stored = StoredObject(name, found + 1, value)
        self.writes.append(value)
        return self.stored.version

    def _check(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreError("down", step=Step.STORE, peer="store")


@dataclass(slots=True)
class VersionedVM:
    """Hold the parts of one entry VM that follow software versions."""

    store: OneObjectStore
    fleet: Fleet = field(default_factory=Fleet)
    holds_lease: bool = False
    versions: SoftwareVersions = field(init=False)

    def __post_init__(self) -> None:
        self.versions = SoftwareVersions(
            self.store,
            clock=LoopClock(),
            fleet=self.fleet,
            holds_lease=lambda: self.holds_lease,
        )

    def add(self, name: str, version: str) -> None:
        self.fleet.put(replace(an_entry(name), software_version=version))


def play(scenario: Callable[[OneObjectStore], Coroutine[Any, Any, None]]) -> None:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(scenario(OneObjectStore()))


def a_holder(store: OneObjectStore, *versions: str) -> VersionedVM:
    holder = VersionedVM(store, holds_lease=True)
    for version in versions:
        holder.add(f"e-{version}", version)
    return holder


# Guards against refusing all streams of unknown origin after all VMs restarted.
def test_a_restarted_vm_knows_that_a_service_had_one_version() -> None:
    async def scenario(store: OneObjectStore) -> None:
        await a_holder(store, "v1").versions.step()
        restarted = VersionedVM(store)
        restarted.add("e-v1", "v1")
        assert await restarted.versions.sole_version("llm") == "v1"

    play(scenario)


# Guards against taking the version that is left for the one that began a stream.
def test_a_version_that_left_is_remembered_over_the_restart_of_all_vms() -> None:
    async def scenario(store: OneObjectStore) -> None:
        holder = a_holder(store, "v1", "v2")
        await holder.versions.step()
        holder.fleet.remove("e-v2")
        await holder.versions.step()
        successor = a_holder(store, "v1")
        await successor.versions.step()
        assert await successor.versions.sole_version("llm") is None
        await asyncio.sleep(ORIGIN_TTL_S + 1.0)
        await successor.versions.step()
        assert await successor.versions.sole_version("llm") == "v1"

    play(scenario)


# Guards against a new version that the holder has not recorded yet.
def test_a_version_that_only_this_vm_sees_counts() -> None:
    async def scenario(store: OneObjectStore) -> None:
        await a_holder(store, "v1").versions.step()
        other = VersionedVM(store)
        other.add("e-v1", "v1")
        other.add("e-v2", "v2")
        assert await other.versions.sole_version("llm") is None

    play(scenario)


@pytest.mark.parametrize("recorded", [False, True], ids=["no record", "store down"])
def test_what_cannot_be_read_is_unknown(recorded: bool) -> None:
    async def scenario(store: OneObjectStore) -> None:
        if recorded:
            await a_holder(store, "v1").versions.step()
            store.down = True
        other = VersionedVM(store)
        other.add("e-v1", "v1")
        assert await other.versions.sole_version("llm") is None

    play(scenario)


# Guards against calls to the store for each stream or each tick.
def test_a_record_is_written_and_read_only_as_needed() -> None:
    async def scenario(store: OneObjectStore) -> None:
        holder = a_holder(store, "v1")
        for _ in range(20):
            await holder.versions.step()
        assert store.calls == 2
        other = VersionedVM(store)
        for _ in range(20):
            await other.versions.sole_version("llm")
        assert store.calls == 3
        await asyncio.sleep(RECORD_CACHED_S + 0.1)
        await other.versions.sole_version("llm")
        assert store.calls == 4

    play(scenario)


# Guards against a former holder that overwrites what its successor recorded.
def test_a_former_holder_does_not_overwrite_a_newer_record() -> None:
    async def scenario(store: OneObjectStore) -> None:
        former = a_holder(store, "v1")
        await former.versions.step()
        await a_holder(store, "v1", "v2").versions.step()
        former.add("e-v3", "v3")
        await former.versions.step()
        await former.versions.step()
        assert store.writes[-1] == b'{"llm": ["v1", "v2", "v3"]}'

    play(scenario)


def test_an_unreadable_record_is_replaced() -> None:
    async def scenario(store: OneObjectStore) -> None:
        store.stored = StoredObject(RECORD_NAME, 1, b"[1]")
        await a_holder(store, "v1").versions.step()
        assert store.writes == [b'{"llm": ["v1"]}']

    play(scenario)
