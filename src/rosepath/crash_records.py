"""Identify requests that crash the servers that run them; no I/O.

When a server crashes, all requests in flight there are lost and their callers
retry them, possibly at other entry VMs. A request that was in flight at
several crashes is the likely cause. So is a part of prompts on which several
requests had just begun to run at crashes, if no run with it has survived.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from rosepath.clock import Clock
from rosepath.content_key import is_part_key
from rosepath.crash_report import (
    SETTLE_S,
    Cleared,
    CrashKnowledge,
    CrashReport,
    Exposure,
    RecordedCrash,
    ServerInstance,
)
from rosepath.known_part_causes import KnownPartCauses
from rosepath.part_causes import (
    PartCause,
    PartEvidence,
    find_part_causes,
    is_identifiable,
    parts_of_key,
)

# Servers also crash for other reasons. An unrelated request may be in flight
# at one or two such crashes, hardly at three while none of its runs completes.
CRASHES_TO_QUARANTINE = 3
# How long a part of prompts is not suspected for runs at servers of which it is not
# known whether they crashed, after another run with it survived. Parts that most
# requests share are in flight at all servers.
SURVIVED_TTL_S = 30.0
MAX_SURVIVED_PARTS = 5_000
# Reports are included in state messages for this long, as datagrams are lost
# and VMs restart.
REPORT_TTL_S = 3.0
# Limits per state message, to leave room in the datagram for its other
# content. Each message includes the quarantined requests that callers sent
# most recently.
MAX_REPORTS_SENT = 16
MAX_QUARANTINED_SENT = 8
# Limits of the lease, which the store keeps and its holder writes each second.
MAX_QUARANTINED_KEPT = 100
MAX_REPORTS_KEPT = 32
# Callers retry within minutes, scheduled jobs within the hour.
SUSPECT_TTL_S = 3_700.0
# Keeping a quarantined request costs one record; admitting it costs servers.
QUARANTINE_TTL_S = 86_400.0
MAX_RECORDS = 500


class Suspicion(IntEnum):
    """How a request may be sent.

    A suspect runs isolated: at a server without other suspects, so that a
    further crash identifies the cause. A request that looks like the cause is
    held back until all reports are in. If it still does then, it is
    quarantined: refused without running.
    """

    CLEAR = 0
    SUSPECT = 1
    HELD = 2
    QUARANTINED = 3


@dataclass(slots=True)
class _Record:
    """Crashes at which a request, or one with a part of prompts, was in flight.

    `cleared` are those before its last completed run, `known_s` is when each became
    known. `contents` has the requests with the part by crash.
    """

    exposures: dict[ServerInstance, Exposure] = field(default_factory=dict)
    known_s: dict[ServerInstance, float] = field(default_factory=dict)
    cleared: set[ServerInstance] = field(default_factory=set)
    contents: dict[ServerInstance, set[str]] = field(default_factory=dict)
    changed_s: float = 0.0
    # When it was identified as the cause; provisional until `confirmed`.
    identified_s: float | None = None
    confirmed: bool = False

    def open_crashes(self, explained: set[ServerInstance]) -> set[ServerInstance]:
        """Return the crashes not cleared nor explained by another request."""
        return self.exposures.keys() - self.cleared - explained

    def clear(self, *, until_s: float) -> bool:
        """Clear the crashes known until a time; return whether there were any."""
        found = {one for one, known_s in self.known_s.items() if known_s <= until_s}
        changed = not found <= self.cleared
        self.cleared |= found
        return changed

    @property
    def weight(self) -> tuple[int, int]:
        """Return the sort key: number of crashes, then sum of exposures."""
        exposures = [
            exposure
            for instance, exposure in self.exposures.items()
            if instance not in self.cleared
        ]
        return len(exposures), sum(exposures)


class CrashRecords:
    """Own the records of requests that were in flight when servers crashed.

    The result does not depend on the order of reports, nor on duplicates.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self.part_causes = KnownPartCauses(clock=clock)
        self._explained: set[ServerInstance] = set()
        # When each report was last to be told to other VMs, the latest last.
        self._told_s: OrderedDict[CrashReport, float] = OrderedDict()
        # When each report was first made, here or at an earlier entry VM.
        self._reported_s: dict[CrashReport, float] = {}
        # When a run last survived, of what is told to other VMs.
        self._cleared: dict[str, float] = {}
        # When a run with a part of prompts last survived, or a run of a request
        # that may have crashed servers, the latest last.
        self._survived_s: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records) + len(self.part_causes)

    def add(self, report: CrashReport) -> bool:
        """Add a report; return whether it changed the records."""
        changed = self._add_exposure(report.content_key, report)
        for key in report.part_keys:
            if self.has_survived(key, within_s=SETTLE_S):
                # Tells VMs that have not seen such a run.
                self.announce_cleared(key, at_s=self._survived_s[key])
                continue
            changed |= self._add_exposure(key, report)
            record = self._records[key]
            contents = record.contents.setdefault(report.instance, set())
            changed |= report.content_key not in contents
            contents.add(report.content_key)
        if changed:
            self._tell(report)
            self._find_causes()
        return changed

    def _add_exposure(self, key: str, report: CrashReport) -> bool:
        record = self._records.get(key) or self._create(key)
        if record.exposures.get(report.instance, 0) >= report.exposure:
            return False
        record.exposures[report.instance] = report.exposure
        record.changed_s = self._clock.monotonic_s()
        record.known_s.setdefault(report.instance, record.changed_s)
        self._records.move_to_end(key)
        return True

    def note_survived(self, part_keys: Collection[str], *, ago_s: float = 0.0) -> bool:
        """Record that runs with parts of prompts went on after their start.

        `ago_s` is how long ago they did. Return whether that changed the records.
        """
        at_s = self._clock.monotonic_s() - ago_s
        innocent = self.part_causes.innocent_parts(part_keys)
        # A list, as all parts are to be cleared.
        changed = any([self._clear_part(key, at_s=at_s) for key in sorted(innocent)])
        changed |= self.part_causes.remove_parts(innocent, at_s=at_s)
        if changed:
            self._find_causes()
        return changed

    def _clear_part(self, key: str, *, at_s: float) -> bool:
        """Clear a part of the crashes until a time; return whether it had any."""
        self._note_survived(key, at_s=at_s)
        record = self._records.get(key)
        changed = record is not None and record.clear(until_s=at_s + SETTLE_S)
        if changed or key in self.part_causes.parts:
            self.announce_cleared(key, at_s=at_s)
        return changed

    def without_survived(
        self, part_keys: Iterable[str], *, within_s: float = SURVIVED_TTL_S
    ) -> tuple[str, ...]:
        """Return the parts with which no run survived recently."""
        return tuple(
            key for key in part_keys if not self.has_survived(key, within_s=within_s)
        )

    def has_survived(self, key: str, *, within_s: float = SURVIVED_TTL_S) -> bool:
        """Return whether a run of a request, or with a part, survived recently."""
        survived_s = self._survived_s.get(key, -1e9)
        return self._clock.monotonic_s() < survived_s + within_s

    def quarantine(self, content_key: str) -> bool:
        """Quarantine a request that another entry VM identified as the cause.

        Return whether that changed the records.
        """
        if is_part_key(content_key):
            parts = parts_of_key(content_key)
            unknown = self.without_survived(parts, within_s=SETTLE_S)
            changed = self.part_causes.add_told(
                parts, survived=parts.difference(unknown)
            )
            if changed:
                self._find_causes()
            return changed
        record = self._records.get(content_key) or self._create(content_key)
        if record.confirmed:
            return False
        record.changed_s = self._clock.monotonic_s()
        record.identified_s = record.changed_s
        record.confirmed = True
        self._find_causes()
        return True

    def clear(self, content_key: str, *, ago_s: float = 0.0) -> bool:
        """Clear a request of its crashes so far, as one of its runs completed.

        Return whether that changed the records.
        """
        at_s = self._clock.monotonic_s() - ago_s
        record = self._records.get(content_key)
        if record is None or record.confirmed:
            return False
        if not record.clear(until_s=at_s + SETTLE_S):
            return False
        self.announce_cleared(content_key, at_s=at_s)
        self._find_causes()
        return True

    def announce_cleared(self, key: str, *, at_s: float) -> None:
        """Tell other VMs that a run of a request, or with a part, survived."""
        self._cleared[key] = max(at_s, self._cleared.get(key, at_s))

    def clear_undecided(self, content_key: str, *, ago_s: float = 0.0) -> None:
        """Clear a request of what may have been crashes, as a run completed."""
        at_s = self._clock.monotonic_s() - ago_s
        self._note_survived(content_key, at_s=at_s)
        self.announce_cleared(content_key, at_s=at_s)

    def _note_survived(self, key: str, *, at_s: float) -> None:
        self._survived_s[key] = max(at_s, self._survived_s.get(key, at_s))
        self._survived_s.move_to_end(key)
        if len(self._survived_s) > MAX_SURVIVED_PARTS:
            self._survived_s.popitem(last=False)

    def suspicion(self, key: str) -> Suspicion:
        """Return how a request may be sent, by its content or a part of its prompt."""
        if is_part_key(key):
            return self.parts_suspicion((key,))
        record = self._records.get(key)
        if record is None:
            return Suspicion.CLEAR
        if record.identified_s is not None:
            # The record is kept for as long as callers send the request.
            record.changed_s = self._clock.monotonic_s()
            self._records.move_to_end(key)
            self._confirm()
            return Suspicion.QUARANTINED if record.confirmed else Suspicion.HELD
        crashes = record.open_crashes(self._explained)
        return _judge({instance: record.exposures[instance] for instance in crashes})

    def parts_suspicion(
        self, part_keys: Collection[str], undecided: Iterable[CrashReport] = ()
    ) -> Suspicion:
        """Return how a request may be sent, by the parts of its prompt.

        `undecided` are runs with some of them that may have ended in crashes. A
        request that would be refused if they did is held until they are decided.
        """
        cause = self.part_causes.find(part_keys)
        if cause is not None:
            confirmed = self.part_causes.is_confirmed(cause)
            return Suspicion.QUARANTINED if confirmed else Suspicion.HELD
        evidence = {key: self._part_evidence(key, self._explained) for key in part_keys}
        possible = [report for report in undecided if self._may_count(report)]
        if possible:
            self._add_undecided(evidence, possible)
            if any(map(is_identifiable, evidence.values())) and any(
                one.condemns(part_keys) for one in self._causes_with(possible)
            ):
                return Suspicion.HELD
        # Unrelated parts are in flight at single crashes all the time.
        several = any(len(one.exposures) > 1 for one in evidence.values())
        suspect = several or self.part_causes.any_concerns(part_keys)
        return Suspicion.SUSPECT if suspect else Suspicion.CLEAR

    def _may_count(self, report: CrashReport) -> bool:
        return report.instance not in self._explained

    def _add_undecided(
        self, evidence: dict[str, PartEvidence], undecided: Iterable[CrashReport]
    ) -> None:
        """Add runs that may have ended in crashes to the evidence on some parts.

        They say nothing of parts that were harmless a moment ago.
        """
        for report in undecided:
            for key in evidence.keys() & set(self.without_survived(report.part_keys)):
                record = self._records.get(key)
                if record is None or report.instance not in record.cleared:
                    evidence[key].add(
                        report.instance, report.exposure, report.content_key
                    )

    def _causes_with(self, undecided: list[CrashReport]) -> Iterable[PartCause]:
        """Return the causes if undecided runs ended in crashes."""
        keys = set().union(*(report.part_keys for report in undecided))
        keys |= set(filter(is_part_key, self._records))
        evidence = {key: self._part_evidence(key, self._explained) for key in keys}
        self._add_undecided(evidence, undecided)
        return find_part_causes(evidence, ())

    def _part_evidence(self, key: str, explained: set[ServerInstance]) -> PartEvidence:
        """Return the evidence on a part by the crashes that nothing else explains."""
        record = self._records.get(key)
        if record is None:
            return PartEvidence()
        crashes = record.open_crashes(explained)
        evidence = PartEvidence()
        for instance in crashes:
            exposure = record.exposures[instance]
            if exposure is Exposure.ISOLATED and not self._stands_out(
                record, instance, crashes, explained
            ):
                exposure = Exposure.STARTING
            for content in record.contents.get(instance, ()):
                evidence.add(instance, exposure, content)
        return evidence

    def suspicion_with(self, key: str, undecided: Iterable[CrashReport]) -> Suspicion:
        """Return how a request may be sent if its undecided runs ended in crashes.

        One that would be identified as the cause is held until they are decided.
        """
        known = self.suspicion(key)
        if known >= Suspicion.HELD or self.has_survived(key):
            return known
        record = self._records.get(key) or _Record()
        crashes = record.open_crashes(self._explained)
        exposures = {instance: record.exposures[instance] for instance in crashes}
        for report in undecided:
            instance = report.instance
            if instance in record.cleared | self._explained:
                continue
            known_exposure = exposures.get(instance, Exposure.PRESENT)
            exposures[instance] = max(known_exposure, report.exposure)
        identifiable = (
            len(exposures) >= CRASHES_TO_QUARANTINE
            and Exposure.ISOLATED in exposures.values()
        )
        return Suspicion.HELD if identifiable else _judge(exposures)

    def open_crashes(self, content_key: str) -> int:
        """Return the number of crashes that a request may have caused."""
        record = self._records.get(content_key)
        return 0 if record is None else len(record.open_crashes(self._explained))

    def crashed_servers(self, content_key: str) -> list[str]:
        """Return the servers that crashed with a request in flight."""
        record = self._records.get(content_key)
        return (
            [] if record is None else [instance.server for instance in record.exposures]
        )

    def cause_among(self, part_keys: Collection[str]) -> str:
        """Return the key of the parts for which a request is not sent, if any."""
        cause = self.part_causes.find(part_keys)
        return "" if cause is None else cause.key

    def recent_reports(self) -> tuple[CrashReport, ...]:
        """Return the reports that other VMs may not have received yet."""
        limit_s = self._clock.monotonic_s() - REPORT_TTL_S
        recent = (
            report for report, told_s in self._told_s.items() if told_s >= limit_s
        )
        # Dozens of requests may have been queued at a server that one crashed.
        by_exposure = sorted(recent, key=lambda report: report.exposure)
        return tuple(by_exposure[-MAX_REPORTS_SENT:])

    def tell_open_crashes(self) -> bool:
        """Tell the crashes that are not explained yet to a VM that has just started.

        Return whether there are any.
        """
        found = [report for report in self._told_s if self._is_open(report)]
        for report in found:
            self._tell(report)
        return bool(found)

    def knowledge(self) -> CrashKnowledge:
        """Return what entry VMs that start must know, bounded in size."""
        now_s = self._clock.monotonic_s()
        found = [
            RecordedCrash(report, now_s - self._reported_s.get(report, now_s))
            for report in self._told_s
            if self._is_open(report)
        ]
        # Dozens of requests may have been queued at a server that one crashed.
        found.sort(key=lambda crash: crash.report.exposure)
        return CrashKnowledge(
            self._quarantined(MAX_QUARANTINED_KEPT), tuple(found[-MAX_REPORTS_KEPT:])
        )

    def add_knowledge(self, knowledge: CrashKnowledge) -> None:
        """Add what earlier entry VMs knew."""
        for key in knowledge.quarantined:
            self.quarantine(key)
        for report, ago_s in knowledge.crashes:
            if ago_s < SUSPECT_TTL_S and report not in self._told_s:
                self.add(report)
                self._reported_s[report] = self._clock.monotonic_s() - ago_s

    def _is_open(self, report: CrashReport) -> bool:
        """Return whether a request or part of a report may have caused its crash.

        That of a cause which is not certain is open, too.
        """
        if report.instance in self.part_causes.uncertain_crashes:
            return True
        records = map(self._records.get, (report.content_key, *report.part_keys))
        return any(
            report.instance in record.open_crashes(self._explained)
            for record in records
            if record is not None
        )

    def _tell(self, report: CrashReport) -> None:
        now_s = self._clock.monotonic_s()
        self._reported_s.setdefault(report, now_s)
        self._told_s[report] = now_s
        self._told_s.move_to_end(report)
        if len(self._told_s) > MAX_RECORDS:
            dropped, _ = self._told_s.popitem(last=False)
            self._reported_s.pop(dropped, None)

    @property
    def cleared(self) -> tuple[Cleared, ...]:
        """Return what was cleared recently, the latest last.

        Other VMs that tell it on add to its age, so that it does not stay new.
        """
        now_s = self._clock.monotonic_s()
        self._cleared = {
            key: at_s
            for key, at_s in self._cleared.items()
            if at_s > now_s - REPORT_TTL_S
        }
        latest = sorted(self._cleared.items(), key=lambda item: item[1])
        return tuple(
            Cleared(key, now_s - at_s) for key, at_s in latest[-MAX_REPORTS_SENT:]
        )

    @property
    def quarantined(self) -> tuple[str, ...]:
        """Return the quarantined requests and parts that callers sent most recently."""
        return self._quarantined(MAX_QUARANTINED_SENT)

    def _quarantined(self, most: int) -> tuple[str, ...]:
        """Return so many quarantined requests, and parts, the last sent last."""
        self._confirm()
        contents = tuple(
            content_key
            for content_key, record in self._records.items()
            if record.confirmed
        )
        return contents[-most:] + self.part_causes.confirmed_keys[-most:]

    def _create(self, content_key: str) -> _Record:
        self._evict_old()
        record = self._records[content_key] = _Record()
        return record

    def _find_causes(self) -> None:
        """Identify the requests that explain most crashes.

        Once the cause of a crash is known, the other requests in flight there
        no longer count it. Only a request that ran isolated at a crash can be
        distinguished from requests that are in flight everywhere.
        """
        self._confirm()
        explained: set[ServerInstance] = set()
        for record in self._records.values():
            if record.confirmed:
                explained.update(record.exposures)
        found: set[str] = set()
        evidence = {
            key: self._part_evidence(key, explained)
            for key in filter(is_part_key, self._records)
        }
        self.part_causes.replace_found(find_part_causes(evidence, explained))
        explained |= self.part_causes.explained
        for content_key, record in self._by_weight():
            crashes = record.open_crashes(explained)
            if len(crashes) >= CRASHES_TO_QUARANTINE and any(
                record.exposures[instance] is Exposure.ISOLATED
                and self._stands_out(record, instance, crashes, explained)
                for instance in crashes
            ):
                found.add(content_key)
                explained |= crashes
        self._explained = explained
        now_s = self._clock.monotonic_s()
        for content_key, record in self._records.items():
            if content_key not in found and not record.confirmed:
                record.identified_s = None
            elif record.identified_s is None:
                record.identified_s = now_s

    def _stands_out(
        self,
        record: _Record,
        instance: ServerInstance,
        crashes: set[ServerInstance],
        explained: set[ServerInstance],
    ) -> bool:
        """Return whether a request is the likeliest suspect at a crash.

        Entry VMs that don't hear each other may isolate several suspects at
        one server. A crash there only tells them apart if one of them has been
        at more crashes.
        """
        return not any(
            other is not record
            and not is_part_key(key)
            and other.exposures.get(instance) is Exposure.ISOLATED
            and len(other.open_crashes(explained)) >= len(crashes)
            for key, other in self._records.items()
        )

    def _by_weight(self) -> list[tuple[str, _Record]]:
        """Return the unconfirmed requests, those at the most crashes first."""
        open_records = [
            (content_key, record)
            for content_key, record in self._records.items()
            if not record.confirmed and not is_part_key(content_key)
        ]
        return sorted(open_records, key=lambda item: item[1].weight, reverse=True)

    def _confirm(self) -> None:
        settled_s = self._clock.monotonic_s() - SETTLE_S
        for record in self._records.values():
            if record.identified_s is not None and record.identified_s <= settled_s:
                record.confirmed = True
        self.part_causes.confirm()

    def _evict_old(self) -> None:
        """Remove expired records, then the oldest ones above `MAX_RECORDS`.

        Records of requests not identified as a cause are removed first.
        """
        now_s = self._clock.monotonic_s()
        self.part_causes.drop_unused(for_s=QUARANTINE_TTL_S)
        for content_key, record in list(self._records.items()):
            kept_s = SUSPECT_TTL_S if record.identified_s is None else QUARANTINE_TTL_S
            if record.changed_s < now_s - kept_s:
                del self._records[content_key]
        suspects = (
            content_key
            for content_key, record in list(self._records.items())
            if record.identified_s is None
        )
        while len(self._records) >= MAX_RECORDS:
            oldest = next(suspects, None) or next(iter(self._records))
            del self._records[oldest]


def _judge(exposures: Mapping[ServerInstance, Exposure]) -> Suspicion:
    """Return how a request may be sent that was in flight at some crashes."""
    was_starting = any(exposure >= Exposure.STARTING for exposure in exposures.values())
    suspect = was_starting or len(exposures) > 1
    return Suspicion.SUSPECT if suspect else Suspicion.CLEAR
