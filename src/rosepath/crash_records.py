"""Which requests crash the servers that run them; pure.

A server that crashes takes all requests in flight there with it, and their callers
retry them elsewhere. The one that was in flight at one crash after the other is the
cause, whichever entry VM its retries reach.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from rosepath.clock import Clock

# Servers crash for other reasons, too: an unrelated request may be in flight at one
# such crash or two, hardly at three while none of its runs completes.
CRASHES_TO_QUARANTINE = 3
# The reports of one crash come from all entry VMs, in any order, and of two datagrams
# one may be lost. Until they are in, the wrong request may look like the cause.
SETTLE_S = 0.3
# A report is told again for so long: datagrams are lost, and VMs restart.
TOLD_S = 3.0
# As many as leave a datagram room for what it tells besides; those in quarantine go
# into each, the ones that were asked for last.
REPORTS_TOLD = 16
QUARANTINED_TOLD = 8
# Callers retry within minutes, jobs by a timetable within the hour.
SUSPECT_KEPT_S = 3_700.0
# What a quarantined request costs is a row in a table; let in again, it costs servers.
QUARANTINE_S = 86_400.0
RECORDS_KEPT = 500


class ServerLife(NamedTuple):
    """Name one life of a server, from its start to its end."""

    server: str
    born_ms: int = 0


class Exposure(IntEnum):
    """Say what a request was doing at a server that crashed, the likelier cause last.

    `PRESENT` was queued there or had run for long, `STARTING` had just begun to run,
    as what crashes servers has. `ISOLATED` was the only suspect at that server.
    """

    PRESENT = 1
    STARTING = 2
    ISOLATED = 3


class CrashReport(NamedTuple):
    """Tell that a server crashed while a request was in flight there."""

    content_key: str
    life: ServerLife
    exposure: Exposure


class Suspicion(IntEnum):
    """Say how a request may be sent on.

    A suspect runs isolated: at a server where no other suspect is, so that the next
    crash tells which of them is the cause. What looks like the cause is held until
    all reports are in; if it still does, it is quarantined: refused unrun.
    """

    CLEAR = 0
    SUSPECT = 1
    HELD = 2
    QUARANTINED = 3


@dataclass(slots=True)
class _Record:
    """Hold at which crashes a request was, and those before its last completed run."""

    exposures: dict[ServerLife, Exposure] = field(default_factory=dict)
    cleared: set[ServerLife] = field(default_factory=set)
    changed_s: float = 0.0
    # When it was found to be the cause, as far as is known until now.
    found_s: float | None = None
    confirmed: bool = False

    def open_crashes(self, explained: set[ServerLife]) -> set[ServerLife]:
        """Return the crashes of which nothing else is known to be the cause."""
        return self.exposures.keys() - self.cleared - explained

    def was_isolated(self, explained: set[ServerLife]) -> bool:
        """Tell whether a server crashed while this was the only suspect there."""
        return any(
            self.exposures[life] is Exposure.ISOLATED
            for life in self.open_crashes(explained)
        )

    @property
    def weight(self) -> tuple[int, int]:
        """Return by what it is compared with others that were at the same crashes."""
        exposures = [
            exposure
            for life, exposure in self.exposures.items()
            if life not in self.cleared
        ]
        return len(exposures), sum(exposures)


class CrashRecords:
    """Hold what is known of requests that were in flight at crashes of servers.

    Reports may come twice and in any order: what follows from them is the same.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._explained: set[ServerLife] = set()
        self._learned: OrderedDict[CrashReport, float] = OrderedDict()
        self._cleared: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    def add(self, report: CrashReport) -> bool:
        """Take in a report; return whether it is news."""
        record = self._records.get(report.content_key) or self._make(report.content_key)
        if record.exposures.get(report.life, 0) >= report.exposure:
            return False
        record.exposures[report.life] = report.exposure
        record.changed_s = self._clock.monotonic_s()
        self._records.move_to_end(report.content_key)
        self._learned[report] = record.changed_s
        self._find_causes()
        return True

    def quarantine(self, content_key: str) -> bool:
        """Take another VM's word that a request is the cause; return if it is news."""
        record = self._records.get(content_key) or self._make(content_key)
        if record.confirmed:
            return False
        record.changed_s = self._clock.monotonic_s()
        record.found_s = record.changed_s
        record.confirmed = True
        self._find_causes()
        return True

    def clear(self, content_key: str) -> bool:
        """Note that a run of a request completed: it caused no crash before.

        Return whether that is news.
        """
        record = self._records.get(content_key)
        if record is None or record.confirmed:
            return False
        if not record.exposures.keys() - record.cleared:
            return False
        record.cleared.update(record.exposures)
        self._cleared[content_key] = self._clock.monotonic_s()
        self._find_causes()
        return True

    def suspicion(self, content_key: str) -> Suspicion:
        """Tell how a request may be sent on."""
        record = self._records.get(content_key)
        if record is None:
            return Suspicion.CLEAR
        if record.found_s is not None:
            # Asked for all the time, it is not forgotten.
            record.changed_s = self._clock.monotonic_s()
            self._records.move_to_end(content_key)
            self._confirm()
            return Suspicion.QUARANTINED if record.confirmed else Suspicion.HELD
        ends = record.open_crashes(self._explained)
        strong = any(record.exposures[life] >= Exposure.STARTING for life in ends)
        suspect = strong or len(ends) > 1
        return Suspicion.SUSPECT if suspect else Suspicion.CLEAR

    def open_crashes(self, content_key: str) -> int:
        """Count the crashes that a request may be the cause of."""
        record = self._records.get(content_key)
        return 0 if record is None else len(record.open_crashes(self._explained))

    def crashed(self, content_key: str) -> list[str]:
        """Return the names of the servers that crashed with a request in flight."""
        record = self._records.get(content_key)
        return [] if record is None else [life.server for life in record.exposures]

    def told(self) -> tuple[CrashReport, ...]:
        """Return the reports that other VMs may not have heard of."""
        limit_s = self._clock.monotonic_s() - TOLD_S
        while self._learned and next(iter(self._learned.values())) < limit_s:
            self._learned.popitem(last=False)
        # Dozens of requests may have been queued where one crashed its server.
        weighed = sorted(self._learned, key=lambda report: report.exposure)
        return tuple(weighed[-REPORTS_TOLD:])

    @property
    def cleared(self) -> tuple[str, ...]:
        """Return the requests that completed a run lately, the latest last."""
        limit_s = self._clock.monotonic_s() - TOLD_S
        self._cleared = {
            content_key: completed_s
            for content_key, completed_s in self._cleared.items()
            if completed_s > limit_s
        }
        return tuple(self._cleared)[-REPORTS_TOLD:]

    @property
    def quarantined(self) -> tuple[str, ...]:
        """Return the requests in quarantine, the latest last."""
        self._confirm()
        return tuple(
            content_key
            for content_key, record in self._records.items()
            if record.confirmed
        )[-QUARANTINED_TOLD:]

    def _make(self, content_key: str) -> _Record:
        self._forget_old()
        record = self._records[content_key] = _Record()
        return record

    def _find_causes(self) -> None:
        """Find the requests that explain most crashes.

        Once the cause of a crash is known, all others that were there are clear of
        it. Only one that was isolated at a crash can be told from requests that are
        in flight everywhere.
        """
        self._confirm()
        explained: set[ServerLife] = set()
        for record in self._records.values():
            if record.confirmed:
                explained.update(record.exposures)
        found: set[str] = set()
        for content_key, record in self._by_weight():
            crashes = record.open_crashes(explained)
            if len(crashes) >= CRASHES_TO_QUARANTINE and record.was_isolated(explained):
                found.add(content_key)
                explained |= crashes
        self._explained = explained
        now_s = self._clock.monotonic_s()
        for content_key, record in self._records.items():
            if content_key not in found and not record.confirmed:
                record.found_s = None
            elif record.found_s is None:
                record.found_s = now_s

    def _by_weight(self) -> list[tuple[str, _Record]]:
        """Return the requests that may be causes, those at most crashes first."""
        open_records = [
            (content_key, record)
            for content_key, record in self._records.items()
            if not record.confirmed
        ]
        return sorted(open_records, key=lambda item: item[1].weight, reverse=True)

    def _confirm(self) -> None:
        settled_s = self._clock.monotonic_s() - SETTLE_S
        for record in self._records.values():
            if record.found_s is not None and record.found_s <= settled_s:
                record.confirmed = True

    def _forget_old(self) -> None:
        """Drop what is old, and of too much what was told of longest ago."""
        now_s = self._clock.monotonic_s()
        for content_key, record in list(self._records.items()):
            kept_s = SUSPECT_KEPT_S if record.found_s is None else QUARANTINE_S
            if record.changed_s < now_s - kept_s:
                del self._records[content_key]
        suspects = (
            content_key
            for content_key, record in list(self._records.items())
            if record.found_s is None
        )
        while len(self._records) >= RECORDS_KEPT:
            oldest = next(suspects, None) or next(iter(self._records))
            del self._records[oldest]
