"""Which software versions may have begun streams that callers still take up.

Where a stream began is known only to some entry VMs, which may all be gone. Then it
may go on only if the service had a single version for as long as streams last. The
holder of the placement lease keeps that in the store, where it outlasts all VMs.
"""

import asyncio
import json
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from rosepath.clock import Clock
from rosepath.fleet import Fleet
from rosepath.json_decoding import decode_json
from rosepath.logs import get_logger
from rosepath.object_store import ConflictError, StoredObject, StoreError
from rosepath.stream_origins import ORIGIN_TTL_S

RECORD_NAME = "rosepath-software-versions/all"
# Many callers come back at once after all VMs restarted; one read serves them.
RECORD_CACHED_S = 1.0
# The callers wait meanwhile; the store answers in milliseconds unless it is slow.
READ_TIMEOUT_S = 0.4

Versions = Mapping[str, frozenset[str]]

_log = get_logger()


class RecordStore(Protocol):
    """Read and write one object of the store."""

    async def get(self, name: str) -> StoredObject | None: ...

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int: ...


@dataclass(slots=True)
class RecentVersions:
    """Own when each software version of each service was last there."""

    _last_s: dict[tuple[str, str], float] = field(default_factory=dict)

    def note(self, versions: Versions, *, now_s: float) -> None:
        """Record versions that servers run now."""
        for service, names in versions.items():
            self._last_s.update(((service, name), now_s) for name in names)

    def recent(self, *, now_s: float) -> Versions:
        """Return the versions that may have begun streams that still go on."""
        found: dict[str, set[str]] = defaultdict(set)
        for (service, version), last_s in list(self._last_s.items()):
            if now_s - last_s > ORIGIN_TTL_S:
                del self._last_s[service, version]
            else:
                found[service].add(version)
        return {service: frozenset(names) for service, names in found.items()}


def present_versions(fleet: Fleet) -> Versions:
    """Return the software versions of the servers in a table, by service."""
    return _by_service(
        (server.entry.service, server.entry.software_version)
        for server in fleet.servers.values()
    )


class SoftwareVersions:
    """Keep the record of recent versions as lease holder, and read it."""

    def __init__(
        self,
        store: RecordStore,
        *,
        clock: Clock,
        fleet: Fleet,
        holds_lease: Callable[[], bool],
    ) -> None:
        self._store = store
        # Counts the time for which the machine is suspended.
        self._clock = clock
        self._fleet = fleet
        self._holds_lease = holds_lease
        self._recent = RecentVersions()
        self._record: Versions = {}
        # The revision of the record, None while it is not known.
        self._revision: int | None = None
        self._read_s = -1e9

    async def step(self) -> None:
        """Bring the record up to date while this VM holds the lease."""
        if not self._holds_lease():
            # Another VM may write it now.
            self._revision = None
            return
        try:
            if self._revision is None:
                await self._read()
            now_s = self._clock.monotonic_s()
            self._recent.note(present_versions(self._fleet), now_s=now_s)
            recent = self._recent.recent(now_s=now_s)
            if recent != self._record:
                await self._write(recent)
        except ConflictError:
            self._revision = None
        except StoreError as error:
            _log.info("versions_not_recorded", why=error.message, step="store")

    async def sole_version(self, service: str) -> str | None:
        """Return the only version that a service had lately, if that is certain."""
        if self._clock.monotonic_s() - self._read_s > RECORD_CACHED_S:
            try:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    await self._read()
            except (StoreError, TimeoutError) as error:
                _log.info("versions_not_read", why=str(error), step="store")
                return None
        versions = {
            *self._record.get(service, ()),
            *present_versions(self._fleet).get(service, ()),
        }
        # Without a record, nobody knows what was there before.
        known = service in self._record and len(versions) == 1
        return versions.pop() if known else None

    async def _read(self) -> None:
        stored = await self._store.get(RECORD_NAME)
        self._read_s = self._clock.monotonic_s()
        self._revision = stored.version if stored is not None else 0
        self._record = decode_versions(stored)
        # For as long as streams last, what the last holder knew may matter.
        self._recent.note(self._record, now_s=self._read_s)

    async def _write(self, versions: Versions) -> None:
        raw = {service: sorted(names) for service, names in sorted(versions.items())}
        value = json.dumps(raw).encode()
        self._revision = await self._store.put(
            RECORD_NAME, value, expected_version=self._revision
        )
        self._record = versions
        _log.info("versions_recorded", versions=raw)


def decode_versions(stored: StoredObject | None) -> Versions:
    """Decode a record; an unreadable one names no version."""
    if stored is None:
        return {}
    try:
        raw = decode_json(stored.value)
        return _by_service(
            (str(service), str(name))
            for service, names in raw.items()
            for name in names
        )
    except (ValueError, AttributeError, TypeError) as error:
        _log.warning("versions_unreadable", why=str(error)[:80])
        return {}


def _by_service(pairs: Iterable[tuple[str, str]]) -> Versions:
    found: dict[str, set[str]] = defaultdict(set)
    for service, version in pairs:
        found[service].add(version)
    return {service: frozenset(names) for service, names in found.items()}
