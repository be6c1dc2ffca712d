"""Detect which lost connections were crashes, and what was in flight."""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, replace

from rosepath.clock import Clock
from rosepath.content_key import is_part_key
from rosepath.crash_records import CRASHES_TO_QUARANTINE, CrashRecords, Suspicion
from rosepath.crash_report import (
    SETTLE_S,
    Cleared,
    CrashReport,
    Exposure,
    ServerInstance,
)
from rosepath.fleet import BackendServer
from rosepath.isolated_runs import IsolatedRuns
from rosepath.logs import get_logger
from rosepath.part_causes import PartCause
from rosepath.server_probe import ServerContact, ServerProbe
from rosepath.undecided_runs import UndecidedRuns

# A running machine refuses a connection within milliseconds, and a server with
# free capacity answers as quickly.
PROBE_TIMEOUT_S = 0.2
# Between two probes of a server that does not answer.
PROBE_INTERVAL_S = 0.5
# A server that did something so recently is not asked whether it lives.
ACTIVE_WITHIN_S = 0.2
# By then the store entry of a crashed server is known to be removed or
# replaced: this covers three heartbeats and one read of the store.
LOST_RUN_TTL_S = 8.0

_log = get_logger()


async def _confirm_nothing() -> None:
    return


@dataclass(frozen=True, slots=True, kw_only=True)
class LostRun:
    """A run whose connection was lost, or whose server has fallen silent.

    `part_keys` has the shared parts of its prompt, if it had just begun.
    `answered_wall_s` is when its server answered a probe after that, and
    `cleared` whether another run of the request completed.
    """

    request_id: str
    content_key: str
    exposure: Exposure
    lost_s: float
    sent_s: float = -1e9
    part_keys: tuple[str, ...] = ()
    answered_wall_s: float | None = None
    cleared: bool = False

    @property
    def undecided(self) -> bool:
        """Return whether it may have crashed a server that does not answer."""
        return self.answered_wall_s is None and not self.cleared

    def merged_with(self, earlier: "LostRun") -> "LostRun":
        """Return this run with what an earlier record of it says of its start."""
        return replace(
            self,
            exposure=max(self.exposure, earlier.exposure),
            part_keys=self.part_keys or earlier.part_keys,
        )

    def outlived_by_server(self, successor_born_ms: int | None) -> bool:
        """Return whether the server still ran after the run was lost.

        The next process at its address may have answered in its place.
        """
        if self.answered_wall_s is None:
            return False
        return (
            successor_born_ms is None or successor_born_ms > self.answered_wall_s * 1000
        )


class CrashWatch:
    """Own the crash records, the isolated and undecided runs, and the lost ones.

    It reports which requests were in flight at a server that crashed.
    A connection reset alone does not count as a crash, as a middlebox may have
    caused it. A server has crashed if it then refuses connections, or if its
    entry is removed or replaced by that of a new instance. It has not if it
    answers. One that does neither is undecided, whether its connections were
    reset or it has fallen silent: its lost runs are kept, and the requests that
    may have crashed it are sent like suspects.
    """

    def __init__(
        self,
        me: str,
        *,
        clock: Clock,
        probe: ServerProbe,
        on_change: Callable[[], None],
        confirm_instances: Callable[[], Awaitable[None]] = _confirm_nothing,
        latest_start_ms: Callable[[str], int] = lambda _: 0,
    ) -> None:
        self.records = CrashRecords(clock=clock)
        self.isolated = IsolatedRuns(me, on_change=on_change)
        self.undecided = UndecidedRuns(me)
        self._clock = clock
        self._probe = probe
        self._on_change = on_change
        # Learns which servers have restarted.
        self._confirm_instances = confirm_instances
        # When the latest known process of a server started, by its name.
        self._latest_start_ms = latest_start_ms
        self._lost_runs: dict[ServerInstance, list[LostRun]] = {}
        self._probes: dict[ServerInstance, asyncio.Task[None]] = {}
        self._followed: dict[ServerInstance, asyncio.Task[None]] = {}
        self._logged_causes: frozenset[PartCause] = frozenset()
        self._silence_checks: set[asyncio.Task[None]] = set()

    async def note_silent(self, server: BackendServer, run: LostRun) -> None:
        """Record a run without progress and wait for the result of a probe.

        The machine of its server may have vanished, which closes no connection.
        One that does something for another run has not, and a run that was only
        just sent tells nothing: neither is probed. Nor is one that answered since
        the run fell silent, as requests crash servers as they start.
        """
        if not self._may_have_crashed(server, run) or self._was_outlived(server, run):
            return
        self._record_lost(instance_of(server), run)
        if self._report_if_restarted(server):
            return
        just_sent = run.sent_s > self._clock.monotonic_s() - ACTIVE_WITHIN_S
        if just_sent or self._is_active(server) or self._answered_recently(server):
            return
        await self._ask(server)

    def note_silent_soon(self, server: BackendServer, run: LostRun) -> None:
        """Record a run without progress, and probe its server in the background."""
        task = asyncio.ensure_future(self.note_silent(server, run))
        self._silence_checks.add(task)
        task.add_done_callback(self._silence_checks.discard)

    def may_become_suspect(self, run: LostRun) -> bool:
        """Return whether a crash of its server would make a run's request a suspect."""
        if run.exposure > Exposure.PRESENT:
            return True
        now_s = self._clock.monotonic_s()
        known = self.records.open_crashes(run.content_key)
        return known > 0 or bool(self.undecided.reports_with(run.content_key, now_s))

    async def note_lost(self, server: BackendServer, run: LostRun) -> None:
        """Record a lost run and wait for the result of a probe of its server.

        A request that crashes servers must not be retried before that, or it
        crashes the next server. Runs lost at a draining server are ignored, as
        it ends connections without a crash. Those lost at one without an entry
        stay undecided until that of its next process appears.
        """
        if not self._may_have_crashed(server, run):
            return
        self._record_lost(instance_of(server), run)
        if not self._report_if_restarted(server):
            await self._ask(server)

    def _was_outlived(self, server: BackendServer, run: LostRun) -> bool:
        """Return whether the server answered after the run had fallen silent."""
        return any(
            known.request_id == run.request_id and known.answered_wall_s is not None
            for known in self._lost_runs.get(instance_of(server), ())
        )

    def _may_have_crashed(self, server: BackendServer, run: LostRun) -> bool:
        """Return whether a server may have crashed: it did not say that it leaves."""
        if server.entry.draining:
            _log.info(
                "lost_run_dropped",
                request_id=run.request_id,
                content=run.content_key,
                peer=server.name,
                born_ms=server.entry.born_ms,
            )
        return not server.entry.draining

    def _report_if_restarted(self, server: BackendServer) -> bool:
        """Report the runs of a server of which a later process is known.

        Return whether one is. Its crash was noted before these runs ended.
        """
        born_ms = self._latest_start_ms(server.name)
        if born_ms <= server.entry.born_ms:
            return False
        self.note_crashed(instance_of(server), successor_born_ms=born_ms)
        return True

    def _is_active(self, server: BackendServer) -> bool:
        """Return whether the server did something for a run a moment ago."""
        idle_s = server.idle_s(self._clock.monotonic_s())
        return idle_s is not None and idle_s < ACTIVE_WITHIN_S

    def _answered_recently(self, server: BackendServer) -> bool:
        """Return whether another probe so soon would tell nothing new."""
        now_s = self._clock.monotonic_s()
        return now_s < server.last_health_answer_s + PROBE_INTERVAL_S

    async def _ask(self, server: BackendServer) -> None:
        """Probe a server, unless it is known to be undecided."""
        instance = instance_of(server)
        if instance in self.undecided:
            self._note_undecided(instance)
            return
        probe = self._probes.get(instance)
        if probe is None:
            probe = asyncio.ensure_future(self._probe_server(server))
            self._probes[instance] = probe
        # Several requests may share the probe; one that is cancelled because
        # its caller disconnected must not cancel the probe.
        await asyncio.shield(probe)

    async def _probe_server(self, server: BackendServer) -> None:
        instance, started_s = instance_of(server), self._clock.monotonic_s()
        try:
            contact = await self._probe_process(server)
        finally:
            del self._probes[instance]
        self._note_contact(instance, contact, asked_s=started_s)
        if instance in self.undecided and instance not in self._followed:
            task = asyncio.ensure_future(self._follow(server))
            self._followed[instance] = task
            task.add_done_callback(lambda _: self._followed.pop(instance, None))

    async def _probe_process(self, server: BackendServer) -> ServerContact:
        if server.in_backoff(self._clock.monotonic_s()):
            # It asked for no requests, which health checks are as well.
            return ServerContact.UNKNOWN
        contact = await self._probe(server, limit_s=PROBE_TIMEOUT_S)
        if contact is ServerContact.GONE and server.left:
            # A server without an entry may have left in order, and closed its port.
            return ServerContact.UNKNOWN
        if contact is ServerContact.ANSWERED:
            server.last_health_answer_s = self._clock.monotonic_s()
        return contact

    async def _follow(self, server: BackendServer) -> None:
        """Probe a server until it is known whether it crashed."""
        instance = instance_of(server)
        while instance in self.undecided:
            await asyncio.sleep(PROBE_INTERVAL_S)
            self._drop_expired()
            started_s = self._clock.monotonic_s()
            contact = ServerContact.ANSWERED
            if not self._is_active(server):
                contact = await self._probe_process(server)
            if contact is ServerContact.ANSWERED:
                # It may be the next process that answers now.
                await self._confirm_instances()
            self._note_contact(instance, contact, asked_s=started_s)

    def _note_contact(
        self, instance: ServerInstance, contact: ServerContact, *, asked_s: float
    ) -> None:
        """Apply what a probe found to the runs that a server lost before it."""
        runs = self._lost_runs.get(instance, [])
        _log.info(
            "server_probed",
            step="probe",
            peer=instance.server,
            born_ms=instance.born_ms,
            contact=contact.value,
            lost_runs=len(runs),
        )
        match contact:
            case ServerContact.GONE:
                self.note_crashed(instance)
            case ServerContact.ANSWERED:
                self._note_answered(instance, asked_s=asked_s)
            case ServerContact.ACCEPTED | ServerContact.UNKNOWN:
                self._note_undecided(instance)

    def _note_answered(self, instance: ServerInstance, *, asked_s: float) -> None:
        wall_s = self._clock.wall_s()
        self.undecided.decide(instance)
        self._lost_runs[instance] = [
            replace(run, answered_wall_s=wall_s) if run.lost_s <= asked_s else run
            for run in self._lost_runs.get(instance, ())
        ]

    def _note_undecided(self, instance: ServerInstance) -> None:
        """Record the undecided runs of a server, and tell the other VMs.

        Those that make no suspect so far go with the next state message: a dark
        server of a large fleet has hundreds.
        """
        found = self.undecided.replace(
            instance,
            (
                self._report_undecided(run, instance)
                for run in self._lost_runs.get(instance, ())
                if run.undecided
            ),
        )
        if any(map(self._has_suspect, found)):
            self._on_change()

    def _has_suspect(self, report: CrashReport) -> bool:
        """Return whether the request of a report or one of its parts is a suspect."""
        suspicion = self.suspicion(report.content_key, report.part_keys)
        return suspicion > Suspicion.CLEAR

    def _report_undecided(self, run: LostRun, instance: ServerInstance) -> CrashReport:
        """Return what a run would report, without parts that survived recently."""
        return _report_of(run, instance, self.records.without_survived(run.part_keys))

    def _report_crashed(self, run: LostRun, instance: ServerInstance) -> CrashReport:
        """Return the report of a run, without the parts that survived since."""
        since_s = self._clock.monotonic_s() - run.lost_s + SETTLE_S
        parts = self.records.without_survived(run.part_keys, within_s=since_s)
        return _report_of(run, instance, parts)

    def note_crashed(
        self, instance: ServerInstance, *, successor_born_ms: int | None = None
    ) -> None:
        """Report the runs that a crashed server lost recently.

        `successor_born_ms` is the start of the next process under its name, if
        that is known.
        """
        self._drop_expired()
        self.undecided.decide(instance)
        for run in self._lost_runs.pop(instance, ()):
            if not run.outlived_by_server(successor_born_ms):
                self._report_crash(self._report_crashed(run, instance), run)

    def note_restarted(self, name: str) -> None:
        """Report the runs that earlier processes of a server lost recently."""
        born_ms = self._latest_start_ms(name)
        for instance in list(self._lost_runs):
            if instance.server == name and instance.born_ms < born_ms:
                self.note_crashed(instance, successor_born_ms=born_ms)

    def suspicion(self, content_key: str, part_keys: tuple[str, ...] = ()) -> Suspicion:
        """Return how a request may be sent, by its content and its parts."""
        return max(self.content_suspicion(content_key), self.parts_suspicion(part_keys))

    def content_suspicion(self, content_key: str) -> Suspicion:
        """Return how a request may be sent, by its content."""
        undecided = self._undecided_with(content_key)
        if not undecided:
            return self.records.suspicion(content_key)
        return self.records.suspicion_with(content_key, undecided)

    def parts_suspicion(self, part_keys: tuple[str, ...]) -> Suspicion:
        """Return how a request may be sent, by the parts of its prompt."""
        undecided = {
            report for key in part_keys for report in self._undecided_with(key)
        }
        return self.records.parts_suspicion(part_keys, undecided)

    def _undecided_with(self, key: str) -> list[CrashReport]:
        return self.undecided.reports_with(key, now_s=self._clock.monotonic_s())

    @property
    def suspects_any(self) -> bool:
        """Return whether any request may be suspected."""
        return bool(self.records) or self.undecided.has_any(self._clock.monotonic_s())

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

    def note_progress(self, server: BackendServer, request_id: str) -> None:
        """Forget that a run was silent, as its response goes on or is complete."""
        runs = self._lost_runs.get(instance_of(server), [])
        runs[:] = [run for run in runs if run.request_id != request_id]

    def clear(self, content_key: str) -> None:
        """Record that a run of a request completed."""
        if self._clear_content(Cleared(content_key)):
            self._on_change()

    def apply_cleared(self, cleared: Collection[Cleared]) -> bool:
        """Apply that requests, and runs with parts of prompts, survived elsewhere.

        Return whether that changed how any may be sent.
        """
        contents = [one for one in cleared if not is_part_key(one.key)]
        # A list, as all are to be cleared.
        changed = any([self._clear_content(one) for one in contents])
        parts = {one.key: one.ago_s for one in cleared if is_part_key(one.key)}
        # One call for those of one run: together they may be a whole cause.
        for ago_s in set(parts.values()):
            keys = [key for key, its_ago_s in parts.items() if its_ago_s == ago_s]
            changed |= self.records.note_survived(keys, ago_s=ago_s)
        return changed

    def _clear_content(self, cleared: Cleared) -> bool:
        """Apply that a run of a request completed, here or at another VM.

        Return whether that changed how it may be sent.
        """
        key, ago_s = cleared
        had_undecided = self.undecided.clear(key)
        if had_undecided:
            self._mark_cleared(key)
            self.records.clear_undecided(key, ago_s=ago_s)
        return self.records.clear(key, ago_s=ago_s) or had_undecided

    def _mark_cleared(self, content_key: str) -> None:
        """Let the lost runs of a request not become undecided again."""
        for instance, runs in self._lost_runs.items():
            self._lost_runs[instance] = [
                replace(run, cleared=run.cleared or run.content_key == content_key)
                for run in runs
            ]

    def _report_crash(self, report: CrashReport, run: LostRun) -> None:
        if self.records.add(report):
            self._on_change()
        _log.info(
            "crash_reported",
            request_id=run.request_id,
            content=report.content_key,
            parts=run.part_keys,
            counted=report.part_keys,
            peer=report.instance.server,
            born_ms=report.instance.born_ms,
            exposure=report.exposure.name.lower(),
            suspicion=self.suspicion(report.content_key, report.part_keys).name.lower(),
        )

    def log_causes(self) -> None:
        """Log which parts of prompts have become causes, or no longer are."""
        causes = frozenset(self.records.part_causes.causes)
        for cause in causes - self._logged_causes:
            _log.info(
                "part_cause_found",
                suspected=cause.key,
                crashed=sorted(crash.server for crash in cause.crashes),
                rivals=sorted(cause.rivals),
                certain=cause.certain,
            )
        for cause in self._logged_causes - causes:
            _log.info("part_cause_replaced", suspected=cause.key)
        self._logged_causes = causes

    def _record_lost(self, instance: ServerInstance, run: LostRun) -> None:
        """Record a run; one that was silent before may be lost later."""
        self._drop_expired()
        runs = self._lost_runs.setdefault(instance, [])
        for known in runs:
            if known.request_id == run.request_id:
                runs.remove(known)
                run = run.merged_with(known)
                break
        runs.append(run)

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
        else:
            self.undecided.decide(instance)


def _report_of(
    run: LostRun, instance: ServerInstance, part_keys: tuple[str, ...]
) -> CrashReport:
    return CrashReport(run.content_key, instance, run.exposure, part_keys)


def instance_of(server: BackendServer) -> ServerInstance:
    """Return the instance that a server's entry describes."""
    return ServerInstance(server.name, server.entry.born_ms)
