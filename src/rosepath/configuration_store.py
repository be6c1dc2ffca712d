"""Read and change the configuration in the platform's store."""

from collections.abc import Sequence
from dataclasses import dataclass

from expression import Error, Ok, Result

from rosepath.configuration import (
    HISTORY_KEPT,
    ChangeRecord,
    Configuration,
    ConfigurationState,
    Head,
    Operation,
    decode_head,
    digest,
    encode_head,
    encode_shards,
    shard_key,
)
from rosepath.object_store import ConflictError, PlatformPort, StoreError
from rosepath.validation import describe_change, validate

HEAD_NAME = "configuration/head"
SHARD_PREFIX = "configuration/shards/"
COMMIT_TRIES = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposedChange:
    """Hold a change as an operator asked for it."""

    change_id: str
    expected_version: int
    operator: str
    at_s: float
    operations: Sequence[Operation]
    dry_run: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """Tell the version at which a change holds."""

    version: int
    diff: tuple[str, ...]
    already_applied: bool = False
    configuration: Configuration | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionConflict:
    """Name the newer version that a change raced with."""

    current_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Invalid:
    """List everything that is wrong with a change."""

    problems: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredHead:
    """Hold a head with the object version to update it at."""

    head: Head
    object_version: int


ChangeFailure = VersionConflict | Invalid


class ConfigurationStore:
    """Move configurations between the store and a node's state."""

    def __init__(self, platform: PlatformPort, state: ConfigurationState) -> None:
        self._platform = platform
        self._state = state
        self.went_back = False

    async def read_head(self) -> StoredHead:
        """Read the head; raises StoreError."""
        stored = await self._platform.get(HEAD_NAME)
        if stored is None:
            return StoredHead(head=Head(), object_version=0)
        match decode_head(stored.value):
            case Result(tag="ok", ok=head):
                return StoredHead(head=head, object_version=stored.version)
            case Result(error=problem):
                raise ValueError(problem)

    async def pull(self) -> bool:
        """Bring the state up to the store; return whether it moved."""
        stored = await self.read_head()
        # A store that comes back older (a restored backup) must not revert
        # what was accepted; the state ignores it and the alarm is raised.
        self.went_back = stored.head.version < self._state.head.version
        if stored.head.version <= self._state.head.version:
            return False
        shards = {}
        for address in self._state.missing(stored.head):
            shards[address] = await self._read_shard(address)
        match self._state.apply(stored.head, shards):
            case Result(tag="ok", ok=moved):
                return moved
            case Result(error=problem):
                raise ValueError(problem)

    async def _read_shard(self, address: str) -> bytes:
        stored = await self._platform.get(SHARD_PREFIX + address)
        if stored is None or digest(stored.value) != address:
            raise ValueError(f"shard {address[:12]} is missing or spoiled")
        return stored.value

    async def commit(self, change: ProposedChange) -> Result[Accepted, ChangeFailure]:
        """Accept a change by a conditional update of the head.

        Raises StoreError if it can't be told whether it was accepted; the
        operator repeats it with the same `change_id` then.
        """
        for _ in range(COMMIT_TRIES):
            await self.pull()
            stored = await self.read_head()
            base = self._state.configuration
            if base.version != stored.head.version:
                if self.went_back:
                    return Error(VersionConflict(current_version=base.version))
                continue
            done = stored.head.find_change(change.change_id)
            if done is not None:
                accepted = Accepted(
                    version=done.version, diff=done.summary, already_applied=True
                )
                return Ok(accepted)
            if change.expected_version != base.version:
                return Error(VersionConflict(current_version=base.version))
            outcome = await self._try_commit(change, stored, base)
            if outcome is not None:
                return outcome
        return Error(VersionConflict(current_version=self._state.head.version))

    async def _try_commit(
        self, change: ProposedChange, stored: StoredHead, base: Configuration
    ) -> Result[Accepted, ChangeFailure] | None:
        """Make one try; None means read back and look again."""
        wanted = base.with_operations(change.operations, version=base.version + 1)
        match validate(wanted):
            case Result(tag="error", error=problems):
                return Error(Invalid(problems=problems))
        diff = describe_change(base, wanted)
        if change.dry_run:
            return Ok(Accepted(version=base.version, diff=diff, configuration=wanted))
        head, shards = next_head(stored.head, wanted, change, diff)
        for address, data in shards.items():
            await self._write_shard(address, data)
        try:
            await self._platform.put(
                HEAD_NAME, encode_head(head), expected_version=stored.object_version
            )
        except ConflictError:
            return None
        except StoreError as error:
            if not error.unknown:
                raise
            # The reply was lost: whether the write took effect shows in the
            # head that the next round reads, by the change's id.
            return None
        self._state.apply(head, {d: s for d, s in shards.items()})
        return Ok(Accepted(version=head.version, diff=diff, configuration=wanted))

    async def _write_shard(self, address: str, data: bytes) -> None:
        try:
            await self._platform.put(SHARD_PREFIX + address, data, expected_version=0)
        except ConflictError:
            # Content-addressed: whoever wrote it first wrote the same.
            return
        except StoreError as error:
            if not error.unknown:
                raise
            if await self._platform.get(SHARD_PREFIX + address) is None:
                raise


def next_head(
    head: Head, wanted: Configuration, change: ProposedChange, diff: tuple[str, ...]
) -> tuple[Head, dict[str, bytes]]:
    """Return the head after a change and the shards that it needs written."""
    touched = frozenset(shard_key(op.kind, op.name) for op in change.operations)
    encoded = encode_shards(wanted, touched)
    shards = {key: value for key, value in head.shards.items() if key not in touched}
    shards |= {key: digest(data) for key, data in encoded.items()}
    record = ChangeRecord(
        wanted.version, change.change_id, change.operator, change.at_s, diff
    )
    changes = (*head.changes, record)[-HISTORY_KEPT:]
    new = Head(wanted.version, shards, changes)
    return new, {digest(data): data for data in encoded.values()}
