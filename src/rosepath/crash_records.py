"""Which requests crash the servers that run them; pure.

A server that ends takes every request that it ran with it, and all of them are
asked for again elsewhere. One that was there at one end after the other is the
cause, whichever entry VM its repeats come to.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from rosepath.clock import Clock

# Servers fail on their own, too: a request that has nothing to do with it may be
# at one such end or at two, hardly at three while none of its runs is whole.
ENDS_TO_BAR = 3
# The reports of one end come from all entry VMs, in any order, and of two words one
# may be lost. Until they are in, the wrong request may look like the cause.
SETTLE_S = 0.3
# A report is told again for so long: words are lost, and a restarted VM misses some.
TOLD_S = 3.0
# As many as leave a datagram room for what it tells besides.
REPORTS_TOLD = 16
BARRED_TOLD = 8
# A request that repeats at all comes again within minutes.
SUSPECT_KEPT_S = 600.0
# What a barred request costs is a line in a table; let in again, it costs servers.
BARRED_KEPT_S = 86_400.0
RECORDS_KEPT = 500


class ServerLife(NamedTuple):
    """Name one life of a server, from its start to its end."""

    server: str
    born_ms: int = 0


class Blame(IntEnum):
    """Say how likely a request is the cause of an end at which it was.

    What crashes a server does so as it begins to run: hardly what was still
    waiting there, or had run for long. `ALONE` is a suspect that had its server
    for itself, as far as suspects go.
    """

    WEAK = 1
    STRONG = 2
    ALONE = 3


class CrashReport(NamedTuple):
    """Tell that a server ended while a request was there."""

    content: str
    life: ServerLife
    blame: Blame


class Standing(IntEnum):
    """Say how a request may be sent on.

    A suspect, with one strong blame or two weak ones, goes to servers at which there
    is no other suspect, so that the next end tells which of them is the cause. What
    looks like the cause is held until all reports are in, then refused.
    """

    CLEAR = 0
    SUSPECT = 1
    HELD = 2
    BARRED = 3


@dataclass(slots=True)
class _Record:
    """Hold at which ends a request was, and those that its whole runs excuse."""

    blames: dict[ServerLife, Blame] = field(default_factory=dict)
    excused: set[ServerLife] = field(default_factory=set)
    changed_s: float = 0.0
    # When it was found to be the cause, as far as is known until now.
    found_s: float | None = None
    confirmed: bool = False

    def open_ends(self, explained: set[ServerLife]) -> set[ServerLife]:
        """Return the ends of which nothing else is known to be the cause."""
        return self.blames.keys() - self.excused - explained

    @property
    def was_alone(self) -> bool:
        """Tell whether a server ended while no other suspect was there."""
        alone = (life for life, blame in self.blames.items() if blame is Blame.ALONE)
        return any(life not in self.excused for life in alone)

    @property
    def weight(self) -> tuple[int, int]:
        """Return by what it is compared with others that were at the same ends."""
        blames = [
            blame for life, blame in self.blames.items() if life not in self.excused
        ]
        return len(blames), sum(blames)


class CrashRecords:
    """Hold what is known of requests that were at the ends of servers.

    Reports may come twice and in any order: what follows from them is the same.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._explained: set[ServerLife] = set()
        self._learned: OrderedDict[CrashReport, float] = OrderedDict()
        self._excused: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    def add(self, report: CrashReport) -> bool:
        """Take in a report; return whether it is news."""
        record = self._records.get(report.content) or self._make(report.content)
        if record.blames.get(report.life, 0) >= report.blame:
            return False
        record.blames[report.life] = report.blame
        record.changed_s = self._clock.monotonic_s()
        self._records.move_to_end(report.content)
        self._learned[report] = record.changed_s
        self._judge()
        return True

    def bar(self, content: str) -> bool:
        """Take another VM's word that a request is the cause; return if it is news."""
        record = self._records.get(content) or self._make(content)
        if record.confirmed:
            return False
        record.changed_s = self._clock.monotonic_s()
        record.found_s = record.changed_s
        record.confirmed = True
        self._judge()
        return True

    def excuse(self, content: str) -> bool:
        """Note that a run of a request was whole: no end before was its doing.

        Return whether that is news.
        """
        record = self._records.get(content)
        if record is None or record.confirmed:
            return False
        if record.blames.keys() - record.excused:
            record.excused.update(record.blames)
            self._excused[content] = self._clock.monotonic_s()
            self._judge()
            return True
        return False

    def standing(self, content: str) -> Standing:
        """Tell how a request may be sent on."""
        record = self._records.get(content)
        if record is None:
            return Standing.CLEAR
        if record.found_s is not None:
            # Asked for all the time, it is not forgotten.
            record.changed_s = self._clock.monotonic_s()
            self._records.move_to_end(content)
            self._confirm()
            return Standing.BARRED if record.confirmed else Standing.HELD
        ends = record.open_ends(self._explained)
        strong = any(record.blames[life] >= Blame.STRONG for life in ends)
        suspect = strong or len(ends) > 1
        return Standing.SUSPECT if suspect else Standing.CLEAR

    def open_ends(self, content: str) -> int:
        """Count the ends that a request may be the cause of."""
        record = self._records.get(content)
        return 0 if record is None else len(record.open_ends(self._explained))

    def ends(self, content: str) -> list[str]:
        """Return the names of the servers at whose ends a request was."""
        record = self._records.get(content)
        return [] if record is None else [life.server for life in record.blames]

    def told(self) -> tuple[CrashReport, ...]:
        """Return the reports that other VMs may not have heard of."""
        limit_s = self._clock.monotonic_s() - TOLD_S
        while self._learned and next(iter(self._learned.values())) < limit_s:
            self._learned.popitem(last=False)
        # Dozens of requests may have waited where one ended its server.
        weighed = sorted(self._learned, key=lambda report: report.blame)
        return tuple(weighed[-REPORTS_TOLD:])

    @property
    def excused(self) -> tuple[str, ...]:
        """Return the requests that had a whole run lately, the latest last."""
        limit_s = self._clock.monotonic_s() - TOLD_S
        self._excused = {
            content: whole_s
            for content, whole_s in self._excused.items()
            if whole_s > limit_s
        }
        return tuple(self._excused)[-REPORTS_TOLD:]

    @property
    def barred(self) -> tuple[str, ...]:
        """Return the requests that are certainly barred, the latest last."""
        self._confirm()
        return tuple(
            content for content, record in self._records.items() if record.confirmed
        )[-BARRED_TOLD:]

    def _make(self, content: str) -> _Record:
        self._forget_old()
        record = self._records[content] = _Record()
        return record

    def _judge(self) -> None:
        """Find the requests that explain most ends.

        Once the cause of an end is known, all others that were there are free of
        it. Only one that ended a server while no other suspect was there can be
        told from requests that are simply everywhere.
        """
        self._confirm()
        explained: set[ServerLife] = set()
        for record in self._records.values():
            if record.confirmed:
                explained.update(record.blames)
        found: set[str] = set()
        for content, record in self._doubtful():
            if len(record.open_ends(explained)) >= ENDS_TO_BAR:
                found.add(content)
                explained.update(record.blames)
        self._explained = explained
        now_s = self._clock.monotonic_s()
        for content, record in self._records.items():
            if content not in found and not record.confirmed:
                record.found_s = None
            elif record.found_s is None:
                record.found_s = now_s

    def _doubtful(self) -> list[tuple[str, _Record]]:
        """Return the requests that may be causes, those at most ends first."""
        doubtful = [
            (content, record)
            for content, record in self._records.items()
            if not record.confirmed and record.was_alone
        ]
        return sorted(doubtful, key=lambda item: item[1].weight, reverse=True)

    def _confirm(self) -> None:
        settled_s = self._clock.monotonic_s() - SETTLE_S
        for record in self._records.values():
            if record.found_s is not None and record.found_s <= settled_s:
                record.confirmed = True

    def _forget_old(self) -> None:
        """Drop what is old, and of too much what was told of longest ago."""
        now_s = self._clock.monotonic_s()
        for content, record in list(self._records.items()):
            kept_s = SUSPECT_KEPT_S if record.found_s is None else BARRED_KEPT_S
            if record.changed_s < now_s - kept_s:
                del self._records[content]
        suspects = (
            content
            for content, record in list(self._records.items())
            if record.found_s is None
        )
        while len(self._records) >= RECORDS_KEPT:
            oldest = next(suspects, None) or next(iter(self._records))
            del self._records[oldest]
