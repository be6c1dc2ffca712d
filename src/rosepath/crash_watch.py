"""Find out which lost connections were crashes of servers, and what was in flight."""

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
    ServerLife,
)
from rosepath.fleet import BackendServer
from rosepath.http_client import Contact
from rosepath.isolated_runs import IsolatedRuns
from rosepath.logs import get_logger

# A connection is refused within milliseconds where a machine lives.
PROBE_LIMIT_S = 0.2
# The entry of a server that crashed is gone or new by then, after three heartbeats
# and a look at the store.
LOSS_KEPT_S = 8.0

_log = get_logger()


class Probe(Protocol):
    """Ask whether somebody listens at an address."""

    async def __call__(self, address: str, *, limit_s: float) -> Contact: ...


@dataclass(frozen=True, slots=True, kw_only=True)
class LostRun:
    """Describe a run whose connection was lost."""

    request_id: str
    content_key: str
    exposure: Exposure
    lost_s: float


class CrashWatch:
    """Report which requests were in flight at a server that crashed.

    A reset connection alone is no crash: a middlebox may have cut it. The server
    crashed if it then refuses connections, or if its entry is gone or that of
    another life.
    """

    def __init__(
        self, me: str, *, clock: Clock, probe: Probe, on_news: Callable[[], None]
    ) -> None:
        self._me = me
        self.records = CrashRecords(clock=clock)
        self.isolated = IsolatedRuns(on_started=on_news)
        self._clock = clock
        self._probe = probe
        self._on_news = on_news
        self._lost: dict[ServerLife, list[LostRun]] = {}
        self._probes: dict[ServerLife, asyncio.Task[None]] = {}

    def note_silent(self, server: BackendServer, run: LostRun) -> None:
        """Note a run that was broken off for the silence of its server.

        Nobody asks whether such a server still listens: if its machine is dark,
        that would only cost the request more time. Its entry will tell.
        """
        if server.usable:
            self._keep(life_of(server), run)

    async def note_lost(self, server: BackendServer, run: LostRun) -> None:
        """Note a lost run; return once it is known whether its server crashed.

        Sent on before that, a request that crashes servers would crash the next.
        What a draining server breaks off is no sign of a crash.
        """
        if not server.usable:
            return
        life = life_of(server)
        self._keep(life, run)
        probe = self._probes.get(life)
        if probe is None:
            probe = asyncio.ensure_future(self._find_out(server.address, life))
            self._probes[life] = probe
        # Of many that wait for it, one may be cancelled as its caller leaves.
        await asyncio.shield(probe)

    async def _find_out(self, address: str, life: ServerLife) -> None:
        begun_s = self._clock.monotonic_s()
        try:
            contact = await self._probe(address, limit_s=PROBE_LIMIT_S)
        finally:
            del self._probes[life]
        if contact is Contact.REFUSED:
            self.note_crashed(life)
        elif contact is Contact.ACCEPTED:
            self._forget(life, until_s=begun_s)

    def note_crashed(self, life: ServerLife) -> None:
        """Report what a server that crashed had in flight just before."""
        self._forget_old()
        for run in self._lost.pop(life, ()):
            self._report_crash(
                CrashReport(run.content_key, life, run.exposure), run.request_id
            )

    def may_go(self, content_key: str, *, request_id: str) -> bool:
        """Tell whether a suspect may be sent now, isolated from others."""
        return self.isolated.may_start(
            content_key,
            me=self._me,
            request_id=request_id,
            now_s=self._clock.monotonic_s(),
            announces=self._is_dangerous(content_key),
        )

    def end_isolation(self, content_key: str, *, request_id: str) -> bool:
        """End a suspect's isolation after a while; return whether it is over.

        One that was at enough crashes to be quarantined stays isolated to its end.
        """
        if self._is_dangerous(content_key):
            return False
        self.isolated.end(content_key, request_id=request_id)
        return True

    def _is_dangerous(self, content_key: str) -> bool:
        return self.records.open_crashes(content_key) >= CRASHES_TO_QUARANTINE

    def clear(self, content_key: str) -> None:
        """Note that a run of a request completed."""
        if self.records.clear(content_key):
            self._on_news()

    def _report_crash(self, report: CrashReport, request_id: str) -> None:
        if self.records.add(report):
            self._on_news()
        _log.info(
            "crash_reported",
            request_id=request_id,
            content=report.content_key,
            peer=report.life.server,
            born_ms=report.life.born_ms,
            exposure=report.exposure.name.lower(),
            suspicion=self.records.suspicion(report.content_key).name.lower(),
        )

    def _keep(self, life: ServerLife, run: LostRun) -> None:
        self._forget_old()
        self._lost.setdefault(life, []).append(run)

    def _forget_old(self) -> None:
        limit_s = self._clock.monotonic_s() - LOSS_KEPT_S
        for life in list(self._lost):
            self._forget(life, until_s=limit_s)

    def _forget(self, life: ServerLife, *, until_s: float) -> None:
        """Forget what a server lost until then."""
        left = [run for run in self._lost.pop(life, ()) if run.lost_s > until_s]
        if left:
            self._lost[life] = left


def life_of(server: BackendServer) -> ServerLife:
    """Return which life of a server this is."""
    return ServerLife(server.name, server.entry.born_ms)
