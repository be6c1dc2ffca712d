"""Detect which lost connections were crashes, and what was in flight."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from rosepath.clock import Clock
from rosepath.crash_records import (
    CRASHES_TO_QUARANTINE,
    CrashRecords,
    CrashReport,
    Exposure,
    ServerInstance,
)
from rosepath.fleet import BackendServer
from rosepath.http_client import ProbeResult
from rosepath.isolated_runs import IsolatedRuns
from rosepath.logs import get_logger

# A running machine refuses a connection within milliseconds.
PROBE_TIMEOUT_S = 0.2
# By then the store entry of a crashed server is known to be removed or
# replaced: this covers three heartbeats and one read of the store.
LOST_RUN_TTL_S = 8.0

_log = get_logger()


class Probe(Protocol):
    """Test whether an address accepts connections."""

    async def __call__(self, address: str, *, limit_s: float) -> ProbeResult: ...


@dataclass(frozen=True, slots=True, kw_only=True)
class LostRun:
    """A run whose connection was lost or that timed out.

    `part_keys` has the shared parts of its prompt, if it had just begun.
    """

    request_id: str
    content_key: str
    exposure: Exposure
    lost_s: float
    part_keys: tuple[str, ...] = ()


class CrashWatch:
    """Own the crash records, the isolated runs and the recently lost runs.

    It reports which requests were in flight at a server that crashed.
    A connection reset alone does not count as a crash, as a middlebox may have
    caused it. A server has crashed if it then refuses connections, or if its
    entry is removed or replaced by that of a new instance.
    """

    def __init__(
        self, me: str, *, clock: Clock, probe: Probe, on_change: Callable[[], None]
    ) -> None:
        self.records = CrashRecords(clock=clock)
        self.isolated = IsolatedRuns(me, on_change=on_change)
        self._clock = clock
        self._probe = probe
        self._on_change = on_change
        self._lost_runs: dict[ServerInstance, list[LostRun]] = {}
        self._probes: dict[ServerInstance, asyncio.Task[None]] = {}

    def note_timeout(self, server: BackendServer, run: LostRun) -> None:
        """Record a run aborted because its server exceeded a timeout.

        The server is not probed: if its machine does not respond, a probe only
        delays the request further. A crash shows in the server's entry.
        """
        if server.usable:
            self._record_lost(instance_of(server), run)

    async def note_lost(self, server: BackendServer, run: LostRun) -> None:
        """Record a lost run and wait for the result of a probe of its server.

        A request that crashes servers must not be retried before that, or it
        crashes the next server. Runs lost at a draining server are ignored, as
        it ends connections without a crash.
        """
        if not server.usable:
            return
        instance = instance_of(server)
        self._record_lost(instance, run)
        probe = self._probes.get(instance)
        if probe is None:
            probe = asyncio.ensure_future(self._probe_server(server.address, instance))
            self._probes[instance] = probe
        # Several requests may share the probe; one that is cancelled because
        # its caller disconnected must not cancel the probe.
        await asyncio.shield(probe)

    async def _probe_server(self, address: str, instance: ServerInstance) -> None:
        started_s = self._clock.monotonic_s()
        try:
            contact = await self._probe(address, limit_s=PROBE_TIMEOUT_S)
        finally:
            del self._probes[instance]
        _log.info(
            "server_probed",
            step="probe",
            peer=instance.server,
            born_ms=instance.born_ms,
            contact=contact.value,
            lost_runs=len(self._lost_runs.get(instance, ())),
        )
        if contact is ProbeResult.REFUSED:
            self.note_crashed(instance)
        elif contact is ProbeResult.ACCEPTED:
            self._drop_lost(instance, until_s=started_s)

    def note_crashed(self, instance: ServerInstance) -> None:
        """Report the runs that a crashed server lost recently."""
        self._drop_expired()
        for run in self._lost_runs.pop(instance, ()):
            self._report_crash(
                CrashReport(
                    run.content_key,
                    instance,
                    run.exposure,
                    self.records.without_survived(run.part_keys),
                ),
                run,
            )

    def reserve(self, content_key: str, *, request_id: str, server: str) -> bool:
        """Reserve a server for a suspect; return whether it may be sent now."""
        return self.isolated.reserve(
            content_key,
            request_id=request_id,
            server=server,
            now_s=self._clock.monotonic_s(),
        )

    def end_isolation(self, content_key: str, *, request_id: str) -> bool:
        """End the isolation of a suspect that ran for a while.

        A suspect at enough crashes for quarantine stays isolated until its run
        ends. Return whether the isolation ended.
        """
        if self._may_be_quarantined(content_key):
            return False
        self.isolated.end(content_key, request_id=request_id)
        return True

    def _may_be_quarantined(self, content_key: str) -> bool:
        return self.records.open_crashes(content_key) >= CRASHES_TO_QUARANTINE

    def note_survived(self, part_keys: tuple[str, ...]) -> None:
        """Record that a run with parts of prompts went on after its start."""
        if self.records.note_survived(part_keys):
            self._on_change()

    def clear(self, content_key: str) -> None:
        """Record that a run of a request completed."""
        if self.records.clear(content_key):
            self._on_change()

    def _report_crash(self, report: CrashReport, run: LostRun) -> None:
        if self.records.add(report):
            self._on_change()
        _log.info(
            "crash_reported",
            request_id=run.request_id,
            content=report.content_key,
            parts=run.part_keys,
            peer=report.instance.server,
            born_ms=report.instance.born_ms,
            exposure=report.exposure.name.lower(),
            suspicion=self.records.suspicion(report.content_key).name.lower(),
        )

    def _record_lost(self, instance: ServerInstance, run: LostRun) -> None:
        self._drop_expired()
        self._lost_runs.setdefault(instance, []).append(run)

    def _drop_expired(self) -> None:
        limit_s = self._clock.monotonic_s() - LOST_RUN_TTL_S
        for instance in list(self._lost_runs):
            self._drop_lost(instance, until_s=limit_s)

    def _drop_lost(self, instance: ServerInstance, *, until_s: float) -> None:
        """Drop the runs that a server lost up to `until_s`."""
        remaining = [
            run for run in self._lost_runs.pop(instance, ()) if run.lost_s > until_s
        ]
        if remaining:
            self._lost_runs[instance] = remaining


def instance_of(server: BackendServer) -> ServerInstance:
    """Return the instance that a server's entry describes."""
    return ServerInstance(server.name, server.entry.born_ms)
