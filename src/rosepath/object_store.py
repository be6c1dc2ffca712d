"""Interfaces to the object store: objects, watches and the VM list."""

from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, Protocol

from rosepath.errors import RosepathError, Step
from rosepath.hedged_calls import OnResponseStart


class StoredObject(NamedTuple):
    """Hold a stored value with the version at which it was read."""

    name: str
    version: int
    value: bytes


class ObjectEvent(NamedTuple):
    """Report a changed object or, without a name, that the watch is alive."""

    name: str
    version: int


class VmState(StrEnum):
    """Return whether the platform keeps a VM running."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """Hold every object of a kind as of one revision of the store."""

    revision: int
    objects: Mapping[str, StoredObject]


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Hold the changes of a kind up to one revision of the store."""

    revision: int
    written: Mapping[str, StoredObject]
    removed: frozenset[str]


class ConflictError(RosepathError):
    """A conditional update found another version than it expected."""


class HistoryGoneError(RosepathError):
    """The store no longer keeps the changes after a revision; list again."""


class StoreError(RosepathError):
    """A call failed; `unknown` if a write may have taken effect."""

    unknown = False


def ignore_response_start() -> None:
    """Ignore the first byte of a response."""


class ListWatchPort(Protocol):
    """List one kind of objects and watch it for changes.

    `on_response_start` is called when the first byte of a response arrives.
    `fresh` requests a new connection.
    """

    async def list(
        self,
        kind: str,
        *,
        fresh: bool = False,
        on_response_start: OnResponseStart = ignore_response_start,
    ) -> Listing: ...

    async def changes(
        self,
        kind: str,
        *,
        after: int,
        wait_s: float,
        relaxed: bool = False,
        on_response_start: OnResponseStart = ignore_response_start,
    ) -> Change: ...


class ObjectsPort(Protocol):
    """Read and write objects; calls return within a time limit or raise."""

    async def get(self, name: str) -> StoredObject | None: ...

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        """Write if the version is as expected (0: must not exist yet)."""
        ...

    async def delete(self, name: str, *, expected_version: int) -> None: ...


class PlatformPort(ObjectsPort, Protocol):
    """Provide the parts of the platform that a daemon uses."""

    async def list_names(self, prefix: str) -> list[str]: ...

    def watch(self, prefix: str) -> AsyncIterator[ObjectEvent]: ...

    async def vms(self) -> dict[str, VmState]: ...


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreAccess:
    """Hold the store's address and the timeouts of calls to it.

    `call_timeout_s` limits writes and reads of a single object. Responses to
    lists and watches may be large: they must start within `read_patience_s`,
    and then `call_timeout_s` limits each pause in them.
    """

    address: str
    call_timeout_s: float
    read_patience_s: float


@contextmanager
def malformed_as_error(what: str, *, peer: str) -> Iterator[None]:
    """Raise StoreError for a response that lacks what the store adds."""
    try:
        yield
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        message = f"{what}: malformed: {error!r}"
        failure = StoreError(message, step=Step.STORE, peer=peer)
        failure.unknown = True
        raise failure from error
