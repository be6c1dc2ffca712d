"""The configuration: immutable versions made of content-addressed shards."""

import hashlib
import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any, NamedTuple

import xxhash
from expression import Error, Ok, Result

from rosepath.declarations import (
    KINDS,
    Adapter,
    BackendServer,
    Caller,
    Declaration,
    Limit,
    Model,
    Route,
    Service,
    Version,
    as_plain_data,
    parse_declaration,
)

SHARDS_PER_KIND = 16
MAX_RECORDED_CHANGES = 200

Table = Mapping[str, Any]


class Operation(NamedTuple):
    """A change to one declaration; it is deleted if `declaration` is None."""

    kind: str
    name: str
    declaration: Declaration | None


class ChangeRecord(NamedTuple):
    """An accepted change; `change_id` identifies retries of the same one."""

    version: int
    change_id: str
    operator: str
    at_s: float
    summary: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Head:
    """The digests of one version's shards, and the latest changes up to it."""

    version: int = 0
    shards: Mapping[str, str] = field(default_factory=dict)
    changes: tuple[ChangeRecord, ...] = ()

    def find_change(self, change_id: str) -> ChangeRecord | None:
        """Return the change with this id if it is among the recorded ones."""
        for change in reversed(self.changes):
            if change.change_id == change_id:
                return change
        return None


@dataclass(frozen=True)
class Configuration:
    """All declarations of one version, by kind and name."""

    version: int = 0
    tables: Mapping[str, Table] = field(default_factory=dict)

    def table(self, kind: str) -> Table:
        return self.tables.get(kind, {})

    @property
    def models(self) -> Mapping[str, Model]:
        return self.table("model")

    @property
    def versions(self) -> Mapping[str, Version]:
        return self.table("version")

    @property
    def adapters(self) -> Mapping[str, Adapter]:
        return self.table("adapter")

    @property
    def services(self) -> Mapping[str, Service]:
        return self.table("service")

    @property
    def routes(self) -> Mapping[str, Route]:
        return self.table("route")

    @property
    def limits(self) -> Mapping[str, Limit]:
        return self.table("limit")

    @property
    def backend_servers(self) -> Mapping[str, BackendServer]:
        return self.table("backend_server")

    @property
    def engines(self) -> Mapping[str, BackendServer]:
        return {
            name: row for name, row in self.backend_servers.items() if row.is_engine
        }

    @cached_property
    def artifacts(self) -> Mapping[str, int]:
        """Map each loadable base (model or version) to its size in bytes."""
        sizes = {name: row.memory_bytes for name, row in self.models.items()}
        for name, row in self.versions.items():
            sizes[f"{row.model}@{name}"] = row.memory_bytes
        return sizes

    @cached_property
    def adapter_targets(self) -> Mapping[str, Adapter]:
        """Map `model:adapter` to its declaration."""
        return {f"{row.model}:{name}": row for name, row in self.adapters.items()}

    @cached_property
    def callers_by_key(self) -> Mapping[str, str]:
        """Map the SHA-256 of a key to its caller's name."""
        callers: Mapping[str, Caller] = self.table("caller")
        return {row.key_sha256: name for name, row in callers.items()}

    def is_target(self, name: str) -> bool:
        """Return whether requests can name this as their model."""
        return name in self.artifacts or name in self.adapter_targets

    def with_operations(
        self, operations: Iterable[Operation], *, version: int
    ) -> "Configuration":
        """Return a copy with the operations applied."""
        tables = {kind: dict(table) for kind, table in self.tables.items()}
        for operation in operations:
            table = tables.setdefault(operation.kind, {})
            if operation.declaration is None:
                table.pop(operation.name, None)
            else:
                table[operation.name] = operation.declaration
        return Configuration(version, tables)


def base_of(target: str) -> str:
    """Return the loadable base that serves a target."""
    return target.split(":", 1)[0]


def shard_key(kind: str, name: str) -> str:
    """Return the key of the shard that contains a declaration."""
    return f"{kind}-{xxhash.xxh64_intdigest(name.encode()) % SHARDS_PER_KIND}"


def digest(data: bytes) -> str:
    """Return the SHA-256 digest that addresses a shard."""
    return hashlib.sha256(data).hexdigest()


def encode_shards(
    configuration: Configuration, keys: frozenset[str] | None = None
) -> dict[str, bytes]:
    """Encode all shards, or those with the given keys, as canonical JSON."""
    shards: dict[str, dict[str, Any]] = {}
    for kind, table in configuration.tables.items():
        for name, row in table.items():
            key = shard_key(kind, name)
            if keys is None or key in keys:
                shards.setdefault(key, {})[name] = as_plain_data(row)
    return {
        key: json.dumps(rows, sort_keys=True, separators=(",", ":")).encode()
        for key, rows in shards.items()
    }


def encode_head(head: Head) -> bytes:
    """Encode a head for the store or a peer."""
    return json.dumps(
        {
            "version": head.version,
            "shards": dict(sorted(head.shards.items())),
            "changes": [list(change) for change in head.changes],
        },
        separators=(",", ":"),
    ).encode()


def decode_head(data: bytes) -> Result[Head, str]:
    """Decode a head from the store or a peer."""
    try:
        raw = json.loads(data)
        changes = tuple(
            ChangeRecord(int(v), str(c), str(o), float(a), tuple(map(str, s)))
            for v, c, o, a, s in raw["changes"]
        )
        shards = {str(key): str(value) for key, value in raw["shards"].items()}
        return Ok(Head(int(raw["version"]), shards, changes))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Error(f"head cannot be read: {error}")


def decode_shard(key: str, data: bytes) -> Result[dict[str, Declaration], str]:
    """Decode the declarations of one shard."""
    kind = key.rpartition("-")[0]
    try:
        raw = json.loads(data)
        items = list(raw.items())
    except (ValueError, AttributeError) as error:
        return Error(f"shard {key} cannot be read: {error}")
    rows: dict[str, Declaration] = {}
    for name, value in items:
        match parse_declaration(kind, value):
            case Result(tag="ok", ok=row):
                rows[name] = row
            case Result(error=problem):
                return Error(f"shard {key}: {name}: {problem}")
    return Ok(rows)


class ConfigurationState:
    """The configuration version in force; the version never decreases.

    Shards are kept encoded, by digest, so that they can be sent to peers and a
    new version decodes only the changed ones. `on_applied` is called after
    each version comes into force, from the store, a peer or a local commit.
    """

    def __init__(self, *, on_applied: Callable[[], None] = lambda: None) -> None:
        self.on_applied = on_applied
        self.head = Head()
        self.configuration = Configuration()
        self.shards: dict[str, bytes] = {}
        self._decoded: dict[str, dict[str, Declaration]] = {}

    def missing_shards(self, head: Head) -> tuple[str, ...]:
        """Return the digests of a head's shards that this VM lacks."""
        return tuple(d for d in set(head.shards.values()) if d not in self.shards)

    def apply(self, head: Head, shards: Mapping[str, bytes]) -> Result[bool, str]:
        """Put a head in force if it is newer; return whether it was.

        A head that is not newer is ignored, whatever its source: a store
        restored from a backup or a lagging peer must not revert a change that
        was reported to an operator as accepted.
        """
        if head.version <= self.head.version:
            return Ok(False)
        known = {**self.shards, **{digest(d): d for d in shards.values()}}
        decoded: dict[str, dict[str, Declaration]] = {}
        for key, address in head.shards.items():
            if address in self._decoded:
                decoded[address] = self._decoded[address]
                continue
            if address not in known:
                return Error(f"shard {key} ({address[:12]}) is missing")
            match decode_shard(key, known[address]):
                case Result(tag="ok", ok=rows):
                    decoded[address] = rows
                case Result(error=problem):
                    return Error(problem)
        tables: dict[str, dict[str, Any]] = {kind: {} for kind in KINDS}
        for key, address in head.shards.items():
            tables[key.rpartition("-")[0]].update(decoded[address])
        self.head = head
        self.configuration = Configuration(head.version, tables)
        self.shards = {address: known[address] for address in decoded}
        self._decoded = decoded
        self.on_applied()
        return Ok(True)
