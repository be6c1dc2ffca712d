"""Runs at servers of which it is unknown whether they crashed; no I/O."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from rosepath.crash_records import MAX_REPORTS_SENT
from rosepath.crash_report import CrashReport, ServerInstance
from rosepath.peer_statements import PeerStatements

# Each request is looked up by its content and its parts, and in a large fleet a
# cut makes thousands of runs undecided.
INDEX_TTL_S = 0.1


class UndecidedRun(NamedTuple):
    """What an entry VM will report if the server of a run has crashed."""

    entry_vm: str
    report: CrashReport


class UndecidedRuns:
    """Own the undecided runs of this entry VM and those of its peers.

    Nothing answers at the address of such a server. That it accepts connections
    shows no more than that something listens there; that it does not may be the
    fault of a link.
    """

    def __init__(self, me: str) -> None:
        self._me = me
        self._own: dict[ServerInstance, frozenset[CrashReport]] = {}
        self._peer_runs = PeerStatements[UndecidedRun](me)
        # By content or part, and until when it holds: what peers stated expires.
        self._by_key: dict[str, list[CrashReport]] = {}
        self._indexed_until_s = -math.inf

    def __contains__(self, instance: ServerInstance) -> bool:
        return instance in self._own

    def has_any(self, now_s: float) -> bool:
        """Return whether any entry VM has undecided runs."""
        return bool(self._own) or bool(self._peer_runs.recent(now_s))

    def replace(
        self, instance: ServerInstance, reports: Iterable[CrashReport]
    ) -> frozenset[CrashReport]:
        """Replace the runs of this VM at a server; return those that are new."""
        known = self._own.pop(instance, frozenset())
        if found := frozenset(reports):
            self._own[instance] = found
        self._indexed_until_s = -math.inf
        return found - known

    def decide(self, instance: ServerInstance) -> None:
        """Drop the runs of this VM at a server, as its state is known."""
        if self._own.pop(instance, None):
            self._indexed_until_s = -math.inf

    def clear(self, content_key: str) -> bool:
        """Drop the runs of a request, as another of its runs completed.

        Return whether there were any.
        """
        count = self._count()
        if not count:
            return False
        self._peer_runs.drop(lambda run: run.report.content_key == content_key)
        for instance, reports in list(self._own.items()):
            self.replace(
                instance, (one for one in reports if one.content_key != content_key)
            )
        self._indexed_until_s = -math.inf
        return self._count() < count

    def _count(self) -> int:
        return len(self._reports()) + self._peer_runs.count

    def _reports(self) -> list[CrashReport]:
        return [report for reports in self._own.values() for report in reports]

    def reports_with(self, key: str, now_s: float) -> list[CrashReport]:
        """Return the possible reports on a request or on a part of prompts."""
        if now_s >= self._indexed_until_s:
            self._index(now_s)
        return self._by_key.get(key, [])

    def _index(self, now_s: float) -> None:
        self._by_key = {}
        self._indexed_until_s = now_s + INDEX_TTL_S
        reports = self._reports()
        reports += [run.report for run in self._peer_runs.recent(now_s)]
        for report in reports:
            for key in (report.content_key, *report.part_keys):
                self._by_key.setdefault(key, []).append(report)

    def apply_peer_runs(
        self, sender: str, runs: Iterable[UndecidedRun], *, now_s: float
    ) -> bool:
        """Apply the undecided runs that a peer sent; return whether any are new."""
        are_new = self._peer_runs.apply(sender, runs, now_s=now_s)
        if are_new:
            self._indexed_until_s = -math.inf
        return are_new

    def runs(self, *, merged: bool, now_s: float) -> frozenset[UndecidedRun]:
        """Return the runs of this VM, the likeliest causes of crashes.

        With `merged`, include the runs received from other VMs.
        """
        found = {
            UndecidedRun(self._me, report)
            for reports in self._own.values()
            for report in reports
        }
        if merged:
            found |= self._peer_runs.recent(now_s)
        by_exposure = sorted(found, key=lambda run: run.report.exposure)
        return frozenset(by_exposure[-MAX_REPORTS_SENT:])
