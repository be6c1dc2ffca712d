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
from rosepath.errors import Step
from rosepath.fleet import Fleet
from rosepath.json_decoding import decode_json
from rosepath.logs import get_logger
from rosepath.object_store import ConflictError, StoredObject, StoreError
from rosepath.stream_origins import ORIGIN_TTL_S

RECORD_NAME = "rosepath-software-versions/all"
# Many callers come back at once after all VMs restarted; one read serves those who
# have come since the one before.
MIN_READ_INTERVAL_S = 0.1
# The callers wait meanwhile; the store answers in milliseconds unless it is slow.
RECORD_TIMEOUT_S = 0.4
# How long streams begin without a record after the store has failed.
RECORD_RETRY_S = 5.0
# Several VMs may record several new versions at once.
MAX_WRITES = 4

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
        # When the latest read was sent.
        self._read_s = -1e9
        self._reading = asyncio.Lock()
        # Versions found in the record while servers had them, by service.
        self._confirmed: set[tuple[str, str]] = set()
        self._recordings: dict[tuple[str, str], asyncio.Future[None]] = {}
        # Until when streams don't wait for the store.
        self._retry_s = -1e9

    async def step(self) -> None:
        """Bring the record up to date while this VM holds the lease."""
        present = present_versions(self._fleet)
        self._confirmed &= {
            (service, name) for service, names in present.items() for name in names
        }
        if not self._holds_lease():
            # Another VM may write it now.
            self._revision = None
            return
        try:
            if self._revision is None:
                await self._read()
            now_s = self._clock.monotonic_s()
            self._recent.note(present, now_s=now_s)
            recent = self._recent.recent(now_s=now_s)
            if recent != self._record:
                await self._write(recent)
        except ConflictError:
            self._revision = None
        except StoreError as error:
            _log.info("versions_not_recorded", why=error.message, step="store")

    @property
    def several(self) -> bool:
        """Return whether some service is known to have several versions lately."""
        present = present_versions(self._fleet)
        return any(
            len(present.get(service, frozenset()) | self._record.get(service, set()))
            > 1
            for service in present
        )

    async def sole_version(self, service: str) -> str | None:
        """Return the only version that a service had lately, if that is certain."""
        asked_s = self._clock.monotonic_s()
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                await self._read_since(asked_s)
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

    def record(self, service: str, version: str) -> asyncio.Future[None] | None:
        """Record a version before a stream begins there; None if it is recorded.

        Otherwise a VM that reads the record, but knows neither the stream nor its
        server, could take another version for the only one. A stream does not wait
        for a store that is away.
        """
        key = service, version
        if key in self._confirmed or self._clock.monotonic_s() < self._retry_s:
            return None
        recording = self._recordings.get(key)
        if recording is None:
            recording = asyncio.ensure_future(self._ensure_recorded(service, version))
            self._recordings[key] = recording
            recording.add_done_callback(lambda _: self._recordings.pop(key))
        return asyncio.shield(recording)

    async def _ensure_recorded(self, service: str, version: str) -> None:
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                await self._record_version(service, version)
            self._confirmed.add((service, version))
        except (StoreError, TimeoutError) as error:
            self._retry_s = self._clock.monotonic_s() + RECORD_RETRY_S
            _log.info(
                "version_not_recorded",
                service=service,
                software_version=version,
                why=str(error),
                step="store",
            )

    async def _record_version(self, service: str, version: str) -> None:
        """Add a version to the record; raise StoreError."""
        for _ in range(MAX_WRITES):
            await self._read_since(self._clock.monotonic_s())
            names = self._record.get(service, frozenset())
            if version in names:
                return
            try:
                await self._write({**self._record, service: names | {version}})
                return
            except ConflictError:
                continue
        raise StoreError("the record changes too often", step=Step.STORE)

    async def _read_since(self, asked_s: float) -> None:
        """Read the record unless a read has been sent since a time."""
        async with self._reading:
            if self._read_s >= asked_s:
                return
            next_s = self._read_s + MIN_READ_INTERVAL_S
            await asyncio.sleep(max(0.0, next_s - self._clock.monotonic_s()))
            await self._read()

    async def _read(self) -> None:
        sent_s = self._clock.monotonic_s()
        stored = await self._store.get(RECORD_NAME)
        # The response may be handled long after it was written.
        self._read_s = sent_s
        self._revision = stored.version if stored is not None else 0
        self._record = decode_versions(stored)
        # For as long as streams last, what the last holder knew may matter.
        self._recent.note(self._record, now_s=sent_s)

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
