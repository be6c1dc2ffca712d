"""Read and change the configuration in the object store."""

from collections.abc import Sequence
from dataclasses import dataclass

from expression import Error, Ok, Result

from rosepath.configuration import (
    MAX_RECORDED_CHANGES,
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
MAX_COMMIT_ATTEMPTS = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposedChange:
    """A change as requested by an operator."""

    change_id: str
    expected_version: int
    operator: str
    at_s: float
    operations: Sequence[Operation]
    dry_run: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """An accepted change, and the version in which it takes effect."""

    version: int
    diff: tuple[str, ...]
    already_applied: bool = False
    configuration: Configuration | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionConflict:
    """Refusal of a change that was made against another version."""

    current_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Invalid:
    """Refusal of a change with invalid declarations, with all problems."""

    problems: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredHead:
    """A head and its object version, for a conditional update."""

    head: Head
    object_version: int


ChangeFailure = VersionConflict | Invalid


class ConfigurationStore:
    """Pull configurations from the store and commit changes to it.

    `store_is_older` states whether the store's head was older than the version
    in force at the last pull.
    """

    def __init__(self, platform: PlatformPort, state: ConfigurationState) -> None:
        self._platform = platform
        self._state = state
        self.store_is_older = False

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
        """Apply the store's configuration; return whether it was newer."""
        stored = await self.read_head()
        # A store restored from a backup must not revert accepted changes. Its
        # older head is not applied, and the flag makes the follower log an
        # error.
        self.store_is_older = stored.head.version < self._state.head.version
        if stored.head.version <= self._state.head.version:
            return False
        shards = {}
        for address in self._state.missing_shards(stored.head):
            shards[address] = await self._read_shard(address)
        match self._state.apply(stored.head, shards):
            case Result(tag="ok", ok=applied):
                return applied
            case Result(error=problem):
                raise ValueError(problem)

    async def _read_shard(self, address: str) -> bytes:
        stored = await self._platform.get(SHARD_PREFIX + address)
        if stored is None or digest(stored.value) != address:
            raise ValueError(f"shard {address[:12]} is missing or corrupt")
        return stored.value

    async def commit(self, change: ProposedChange) -> Result[Accepted, ChangeFailure]:
        """Accept a change by a conditional update of the head.

        Raises StoreError if it is not known whether the change was accepted.
        The operator then retries it with the same `change_id`.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            await self.pull()
            stored = await self.read_head()
            base = self._state.configuration
            if base.version != stored.head.version:
                if self.store_is_older:
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
            outcome = await self._attempt_commit(change, stored, base)
            if outcome is not None:
                return outcome
        return Error(VersionConflict(current_version=self._state.head.version))

    async def _attempt_commit(
        self, change: ProposedChange, stored: StoredHead, base: Configuration
    ) -> Result[Accepted, ChangeFailure] | None:
        """Make one attempt; None means read the head again and retry."""
        proposed = base.with_operations(change.operations, version=base.version + 1)
        match validate(proposed):
            case Result(tag="error", error=problems):
                return Error(Invalid(problems=problems))
        diff = describe_change(base, proposed)
        if change.dry_run:
            return Ok(Accepted(version=base.version, diff=diff, configuration=proposed))
        head, shards = next_head(stored.head, proposed, change, diff)
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
            # The reply was lost. The next attempt reads the head and finds the
            # change's id in it if the write took effect.
            return None
        self._state.apply(head, {d: s for d, s in shards.items()})
        return Ok(Accepted(version=head.version, diff=diff, configuration=proposed))

    async def _write_shard(self, address: str, data: bytes) -> None:
        try:
            await self._platform.put(SHARD_PREFIX + address, data, expected_version=0)
        except ConflictError:
            # Shards are content-addressed: the existing object is identical.
            return
        except StoreError as error:
            if not error.unknown:
                raise
            if await self._platform.get(SHARD_PREFIX + address) is None:
                raise


def next_head(
    head: Head, proposed: Configuration, change: ProposedChange, diff: tuple[str, ...]
) -> tuple[Head, dict[str, bytes]]:
    """Return the head after a change, and the shards to write, by digest."""
    touched = frozenset(shard_key(op.kind, op.name) for op in change.operations)
    encoded = encode_shards(proposed, touched)
    shards = {key: value for key, value in head.shards.items() if key not in touched}
    shards |= {key: digest(data) for key, data in encoded.items()}
    record = ChangeRecord(
        proposed.version, change.change_id, change.operator, change.at_s, diff
    )
    changes = (*head.changes, record)[-MAX_RECORDED_CHANGES:]
    new = Head(proposed.version, shards, changes)
    return new, {digest(data): data for data in encoded.values()}
