"""The port to the object store: objects with versions, watches, and the VM list."""

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, Protocol

from rosepath.errors import RosepathError
from rosepath.late_calls import OnBegun


class StoredObject(NamedTuple):
    """Hold a value of the object API with the version it was read at."""

    name: str
    version: int
    value: bytes


class ObjectEvent(NamedTuple):
    """Report that an object changed, or (no name) that the watch is alive."""

    name: str
    version: int


class VmState(StrEnum):
    """Tell whether the platform means a VM to go on."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """Hold every object of a kind as of one revision of the store."""

    revision: int
    objects: Mapping[str, StoredObject]


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Hold what changed in a kind up to one revision of the store."""

    revision: int
    written: Mapping[str, StoredObject]
    removed: frozenset[str]


class ConflictError(RosepathError):
    """A conditional update met another version than it named."""


class HistoryGoneError(RosepathError):
    """The changes after a revision are no longer kept; read the whole again."""


class StoreError(RosepathError):
    """A call failed; `unknown` if a write may have taken effect."""

    unknown = False


def tell_nobody() -> None:
    """Ignore that an answer begins to arrive."""


class ListWatchPort(Protocol):
    """Read a kind of objects whole, then wait for what changes.

    `on_begun` is called when an answer begins to arrive, `fresh` asks over a new
    connection.
    """

    async def list(
        self,
        kind: str,
        *,
        fresh: bool = False,
        on_begun: OnBegun = tell_nobody,
    ) -> Listing: ...

    async def changes(
        self,
        kind: str,
        *,
        after: int,
        wait_s: float,
        relaxed: bool = False,
        on_begun: OnBegun = tell_nobody,
    ) -> Change: ...


class ObjectsPort(Protocol):
    """Read and write objects; every call either answers in time or raises."""

    async def get(self, name: str) -> StoredObject | None: ...

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        """Write if the version is as expected (0: must not exist yet)."""
        ...

    async def delete(self, name: str, *, expected_version: int) -> None: ...


class PlatformPort(ObjectsPort, Protocol):
    """Reach all of the platform that a daemon needs."""

    async def list_names(self, prefix: str) -> list[str]: ...

    def watch(self, prefix: str) -> AsyncIterator[ObjectEvent]: ...

    async def vms(self) -> dict[str, VmState]: ...
