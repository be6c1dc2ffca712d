"""End the runs at servers that are gone without having said so."""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from rosepath.clock import Clock
from rosepath.crash_watch import PROBE_TIMEOUT_S
from rosepath.fleet import BackendServer, Fleet
from rosepath.http_client import ProbeResult
from rosepath.silence_reports import end_lost_runs

# A server without an entry that accepts no connections may still finish a run,
# and pauses streams for about a second.
MIN_IDLE_S = 1.3
PROBE_INTERVAL_S = 0.5


class Probe(Protocol):
    """Test whether an address accepts connections."""

    async def __call__(self, address: str, *, limit_s: float) -> ProbeResult: ...


@dataclass(slots=True, kw_only=True)
class DepartedServers:
    """Follow servers whose entries are gone while they have runs of this VM.

    A machine that lost power, or its link, closes no connection: without this, the
    callers of runs that may not be repeated wait until their deadlines.
    """

    fleet: Fleet
    clock: Clock
    probe: Probe
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def note_departed(self, server: BackendServer) -> None:
        """Record that a server instance has no entry any more.

        One that said that it leaves finishes its runs.
        """
        if server.entry.draining or not server.in_flight_requests:
            return
        task = asyncio.ensure_future(self._follow(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _follow(self, server: BackendServer) -> None:
        departed_s = self.clock.monotonic_s()
        contact: ProbeResult | None = None
        while server.in_flight_requests:
            if self._has_restarted(server):
                end_lost_runs(server, why="restarted")
                return
            if contact is not ProbeResult.ACCEPTED:
                # Whoever accepts later may be its next instance.
                contact = await self.probe(server.address, limit_s=PROBE_TIMEOUT_S)
            active_s = max(departed_s, server.last_activity_s or departed_s)
            idle_s = self.clock.monotonic_s() - active_s
            if contact is not ProbeResult.ACCEPTED and idle_s >= MIN_IDLE_S:
                end_lost_runs(server, why="accepts no connections")
                return
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _has_restarted(self, server: BackendServer) -> bool:
        known = self.fleet.servers.get(server.name)
        return known is not None and known.entry.born_ms > server.entry.born_ms
