"""Find servers that fell silent towards all entry VMs, or refuse them; no I/O.

One entry VM can't tell a server that stopped working from one that paused a stream.
The scheduler hears of the streams of all of them.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from rosepath.assignment import RunReport, ServerProgress, SilentServer
from rosepath.fleet import Fleet
from rosepath.server_work import ServerWork, WorkTable

# A sound server may pause all of its streams for about a second. Callers leave
# after two, and reports of the silence take up to half a second.
MIN_SILENCE_S = 1.3
# The same, relative to the usual time between the events of a stream.
GAP_FACTOR = 5.0
# The next prompt may be prefilled beside another.
PREFILL_FACTOR = 2.0
# One stream may be preempted, and one entry VM may have lost its links.
MIN_SILENT_STREAMS = 3
MIN_WITNESSES = 2
# Progress that was reported longer ago says nothing of the server: the entry VM
# may have been killed.
PROGRESS_TTL_S = 1.5
# Reports of one moment arrive at different times.
REPORT_JITTER_S = 0.3
# When a silent server is first tried again, and the longest interval between
# two tries. A server that is back is used again after at most this time.
FIRST_PROBE_S = 0.5
MAX_PROBE_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Witness:
    """Hold the last progress that an entry VM reported of a server."""

    progress: ServerProgress
    reported_s: float

    def is_current(self, now_s: float) -> bool:
        streams = self.progress.streams > 0 and math.isfinite(self.progress.event_age_s)
        return streams and now_s < self.reported_s + PROGRESS_TTL_S


@dataclass(slots=True, kw_only=True)
class _Suspicion:
    """Hold since when a server does nothing, and when it is tried next."""

    since_s: float
    probe_s: float
    probes: int = 0


@dataclass(slots=True, kw_only=True)
class ServerSilence:
    """Own what entry VMs report of the events of one instance of a server."""

    born_ms: int = 0
    last_event_s: float = -math.inf
    # The mean time between the events of a stream, 0 while unknown.
    event_gap_s: float = 0.0
    witnesses: dict[str, _Witness] = field(default_factory=dict)
    suspicion: _Suspicion | None = None

    def note_event(self, event_s: float, *, now_s: float) -> None:
        """Record an event; any that came after the suspicion ends it."""
        if self.suspicion and event_s > self.suspicion.since_s + REPORT_JITTER_S:
            self.suspicion = None
        self.last_event_s = max(self.last_event_s, min(event_s, now_s))

    def note_progress(self, progress: ServerProgress, *, now_s: float) -> None:
        """Record what an entry VM reports of its streams at the server."""
        self.witnesses[progress.entry_vm] = _Witness(
            progress=progress, reported_s=now_s
        )
        if math.isfinite(progress.event_age_s):
            self.note_event(now_s - progress.event_age_s, now_s=now_s)

    def check(self, work: ServerWork, *, data_centre: str, now_s: float) -> bool:
        """Suspect the server if it is silent; return whether it just became so."""
        if self.suspicion is not None:
            return False
        limit_s = silence_limit_s(work, event_gap_s=self.event_gap_s, now_s=now_s)
        current = [
            witness for witness in self.witnesses.values() if witness.is_current(now_s)
        ]
        if not _all_silent(current, limit_s=limit_s, data_centre=data_centre):
            return False
        self.suspicion = _Suspicion(
            since_s=self.last_event_s, probe_s=now_s + FIRST_PROBE_S
        )
        return True

    def note_refused(self, *, now_s: float) -> None:
        """Suspect the server, as it accepts no connections.

        That is the word of two entry VMs, each of which was refused itself.
        """
        if self.suspicion is None:
            self.suspicion = _Suspicion(since_s=now_s, probe_s=now_s + FIRST_PROBE_S)

    def is_avoided(self, now_s: float) -> bool:
        """Return whether the server gets no request now."""
        return self.suspicion is not None and now_s < self.suspicion.probe_s

    def note_assigned(self, *, now_s: float) -> None:
        """Record that a request goes to the server, which probes it if silent."""
        suspicion = self.suspicion
        if suspicion is not None:
            suspicion.probes += 1
            interval_s = FIRST_PROBE_S * 2**suspicion.probes
            suspicion.probe_s = now_s + min(interval_s, MAX_PROBE_INTERVAL_S)


def silence_limit_s(work: ServerWork, *, event_gap_s: float, now_s: float) -> float:
    """Return the silence of all its streams that a sound server may reach.

    Streams pause while it prefills a prompt. The next event is at the latest the
    first one of that prompt, however many wait behind it.
    """
    pace = work.pace
    longest_tokens = max(
        (
            run.assignment.unread_tokens
            for run in work.runs.values()
            if run.begun_s is None
        ),
        default=0,
    )
    usual_s = GAP_FACTOR * event_gap_s * pace.current_slowdown(now_s)
    prefill_s = pace.prefill_s(longest_tokens, now_s=now_s)
    return max(MIN_SILENCE_S, usual_s) + PREFILL_FACTOR * prefill_s


def _all_silent(witnesses: list[_Witness], *, limit_s: float, data_centre: str) -> bool:
    """Return whether several VMs have streams there, none of which goes on.

    VMs of one other data centre may have lost their links together.
    """
    streams = sum(witness.progress.streams for witness in witnesses)
    if streams < MIN_SILENT_STREAMS or len(witnesses) < MIN_WITNESSES:
        return False
    data_centres = {witness.progress.data_centre for witness in witnesses}
    if data_centre not in data_centres and len(data_centres) < MIN_WITNESSES:
        return False
    return all(witness.progress.event_age_s >= limit_s for witness in witnesses)


class SilenceTable:
    """Own the silence of all servers, by name."""

    def __init__(self) -> None:
        self._servers: dict[str, ServerSilence] = {}

    def of_server(self, server: str, *, born_ms: int = 0) -> ServerSilence:
        """Return what is known of a server; nothing of a new instance."""
        silence = self._servers.get(server)
        if silence is None or born_ms > silence.born_ms:
            silence = self._servers[server] = ServerSilence(born_ms=born_ms)
        return silence

    def apply_progress(
        self, reports: Iterable[ServerProgress], *, now_s: float
    ) -> None:
        """Apply what an entry VM reports of its streams."""
        for progress in reports:
            silence = self.of_server(progress.server, born_ms=progress.born_ms)
            if progress.born_ms == silence.born_ms:
                silence.note_progress(progress, now_s=now_s)

    def apply_run(self, report: RunReport, *, now_s: float) -> None:
        """Apply what the report of a run shows of its server's instance."""
        silence = self.of_server(report.server, born_ms=report.born_ms)
        if silence.born_ms != report.born_ms:
            return
        if report.event_gap_s is not None:
            silence.event_gap_s = report.event_gap_s
        if report.refused:
            silence.note_refused(now_s=now_s)

    def check(self, work: WorkTable, fleet: Fleet, *, now_s: float) -> list[str]:
        """Suspect the servers that are silent; return those that just became so."""
        for name in self._servers.keys() - fleet.servers.keys():
            self.drop_server(name)
        found: list[str] = []
        for name, silence in self._servers.items():
            server = fleet.servers[name]
            if server.entry.born_ms != silence.born_ms:
                continue
            of_server = work.of_server(name, born_ms=silence.born_ms)
            data_centre = server.entry.data_centre
            if silence.check(of_server, data_centre=data_centre, now_s=now_s):
                found.append(name)
        return found

    def is_silent(self, server: str, *, now_s: float) -> bool:
        """Return whether a server gets no new request now."""
        silence = self._servers.get(server)
        return silence is not None and silence.is_avoided(now_s)

    def note_assigned(self, server: str, *, now_s: float) -> None:
        """Record that a request goes to a server."""
        silence = self._servers.get(server)
        if silence is not None:
            silence.note_assigned(now_s=now_s)

    def suspects(self, *, now_s: float) -> list[SilentServer]:
        """Return the servers that fell silent, for the entry VMs."""
        return [
            SilentServer(
                server=name,
                born_ms=silence.born_ms,
                silent_s=now_s - suspicion.since_s,
            )
            for name, silence in self._servers.items()
            if (suspicion := silence.suspicion) is not None
        ]

    def drop_server(self, server: str) -> None:
        """Forget a server that is gone."""
        self._servers.pop(server, None)
