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
    MIN_READ_INTERVAL_S,
    RECORD_NAME,
    RECORD_RETRY_S,
    RECORD_TIMEOUT_S,
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
    # From when the object is read until the caller gets it, as for a VM that
    # stands still meanwhile.
    reply_delay_s: float = 0.0

    async def get(self, name: str) -> StoredObject | None:
        self._check()
        stored = self.stored
        await asyncio.sleep(self.reply_delay_s)
        return stored

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

    async def ensure_recorded(self, service: str, version: str) -> None:
        """Record a version as before a stream that begins there."""
        recording = self.versions.record(service, version)
        if recording is not None:
            await recording

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
        await asyncio.sleep(MIN_READ_INTERVAL_S + 0.1)
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


# Guards against events of two versions: a stream began at a version that came after
# the record was read, and its caller came to a VM that has not heard of it.
def test_a_version_that_came_after_the_last_read_counts() -> None:
    async def scenario(store: OneObjectStore) -> None:
        holder = a_holder(store, "v1")
        await holder.versions.step()
        other = VersionedVM(store)
        other.add("e-v1", "v1")
        assert await other.versions.sole_version("llm") == "v1"
        await asyncio.sleep(0.2)
        holder.add("e-v2", "v2")
        await holder.versions.step()
        assert await other.versions.sole_version("llm") is None

    play(scenario)


# Guards against the same where the VM stood still while its read was answered.
def test_a_record_is_as_old_as_its_read() -> None:
    async def scenario(store: OneObjectStore) -> None:
        holder = a_holder(store, "v1")
        await holder.versions.step()
        other = VersionedVM(store)
        other.add("e-v1", "v1")
        store.reply_delay_s = 0.3
        reading = asyncio.ensure_future(other.versions.sole_version("llm"))
        await asyncio.sleep(0.1)
        holder.add("e-v2", "v2")
        store.reply_delay_s = 0.0
        await holder.versions.step()
        await reading
        assert await other.versions.sole_version("llm") is None

    play(scenario)


# Guards against the same before the holder has recorded the new version.
def test_a_version_is_recorded_before_a_stream_begins_there() -> None:
    async def scenario(store: OneObjectStore) -> None:
        await a_holder(store, "v1").versions.step()
        beginning, other = VersionedVM(store), VersionedVM(store)
        for vm in (beginning, other):
            vm.add("e-v1", "v1")
        beginning.add("e-v2", "v2")
        await beginning.ensure_recorded("llm", "v2")
        assert await other.versions.sole_version("llm") is None

    play(scenario)


# Guards against calls to the store for each stream that begins.
def test_a_version_is_looked_for_once_while_it_is_there() -> None:
    async def scenario(store: OneObjectStore) -> None:
        await a_holder(store, "v1").versions.step()
        vm = VersionedVM(store)
        vm.add("e-v1", "v1")
        calls = store.calls
        for _ in range(20):
            await vm.ensure_recorded("llm", "v1")
            await vm.versions.step()
        assert store.calls == calls + 1
        # It may be dropped from the record while no server has it.
        vm.fleet.remove("e-v1")
        await vm.versions.step()
        vm.add("e-v1", "v1")
        await asyncio.sleep(MIN_READ_INTERVAL_S)
        await vm.ensure_recorded("llm", "v1")
        assert store.calls == calls + 2

    play(scenario)


# Guards against streams that don't begin while the store is away.
def test_a_stream_begins_without_the_store() -> None:
    async def scenario(store: OneObjectStore) -> None:
        vm = VersionedVM(store)
        vm.add("e-v1", "v1")
        store.reply_delay_s = 60.0
        began_s = asyncio.get_running_loop().time()
        await vm.ensure_recorded("llm", "v1")
        await vm.ensure_recorded("llm", "v1")
        assert asyncio.get_running_loop().time() - began_s <= RECORD_TIMEOUT_S + 0.01
        # Later streams don't wait for it one after the other, but it is tried again.
        store.reply_delay_s = 0.0
        await asyncio.sleep(RECORD_RETRY_S)
        await vm.ensure_recorded("llm", "v1")
        assert store.writes[-1] == b'{"llm": ["v1"]}'

    play(scenario)


def test_streams_that_begin_at_once_share_one_read() -> None:
    async def scenario(store: OneObjectStore) -> None:
        await a_holder(store, "v1").versions.step()
        vm = VersionedVM(store)
        vm.add("e-v1", "v1")
        calls, store.reply_delay_s = store.calls, 0.05
        await asyncio.gather(*(vm.ensure_recorded("llm", "v1") for _ in range(20)))
        assert store.calls == calls + 1

    play(scenario)


# Guards against two VMs of which one drops what the other has recorded.
def test_two_vms_record_two_versions_at_once() -> None:
    async def scenario(store: OneObjectStore) -> None:
        await a_holder(store, "v1").versions.step()
        vms = [VersionedVM(store), VersionedVM(store)]
        store.reply_delay_s = 0.05
        for vm, version in zip(vms, ("v2", "v3"), strict=True):
            vm.add(f"e-{version}", version)
        await asyncio.gather(
            vms[0].ensure_recorded("llm", "v2"),
            vms[1].ensure_recorded("llm", "v3"),
        )
        assert store.writes[-1] == b'{"llm": ["v1", "v2", "v3"]}'

    play(scenario)


# Guards against a read of the store for each broken stream of a service whose servers
# all run one version, and against none where they may not.
def test_several_versions_are_known_by_the_table_or_the_record() -> None:
    async def scenario(store: OneObjectStore) -> None:
        await a_holder(store, "v1", "v2").versions.step()
        vm = VersionedVM(store)
        vm.add("e-v1", "v1")
        assert not vm.versions.several
        vm.add("e-v2", "v2")
        assert vm.versions.several
        vm.fleet.remove("e-v2")
        assert not vm.versions.several
        await vm.versions.sole_version("llm")
        assert vm.versions.several

    play(scenario)
