"""Builders of reports of streams at one server, from several entry VMs."""

import math
from collections.abc import Collection
from dataclasses import replace

from entry_builders import an_entry
from virtual_time import START_S

from rosepath.assignment import (
    Assignment,
    AssignmentRequest,
    RunOutcome,
    RunReport,
    ServerProgress,
)
from rosepath.fleet import Fleet
from rosepath.server_silence import SilenceTable
from rosepath.server_work import WorkTable

REPORT_INTERVAL_S = 0.5
VMS = ("vm-1", "vm-2", "vm-3")


def a_progress(
    entry_vm: str = "vm-1",
    *,
    event_age_s: float,
    streams: int = 2,
    born_ms: int = 1,
    data_centre: str = "a",
) -> ServerProgress:
    return ServerProgress(
        server="e1",
        born_ms=born_ms,
        entry_vm=entry_vm,
        data_centre=data_centre,
        streams=streams,
        event_age_s=event_age_s,
    )


class SilentFleet:
    """Play the reports of entry VMs with streams at engine `e1`."""

    def __init__(self, *vms: str, data_centre: str = "a", streams: int = 2) -> None:
        self.now_s = START_S
        self.work = WorkTable()
        self.silence = SilenceTable()
        self.fleet = Fleet()
        self.born_ms = 0
        self.last_event_s = dict.fromkeys(vms or VMS, -math.inf)
        self._data_centre = data_centre
        self._streams = streams
        self.start(born_ms=1)

    def start(self, *, born_ms: int) -> None:
        """Start the engine under its id, with no streams yet."""
        self.born_ms = born_ms
        self.fleet.put(replace(an_entry("e1"), born_ms=born_ms))
        self.last_event_s = dict.fromkeys(self.last_event_s, -math.inf)

    def step(self, *, events_at: Collection[str] = (), lost: str = "") -> list[str]:
        """Let a report interval pass; return who fell silent.

        The streams of the VMs in `events_at` get events until its end; the report
        of `lost` does not arrive.
        """
        self.now_s += REPORT_INTERVAL_S
        for name in events_at:
            self.last_event_s[name] = self.now_s - 0.05
        self.silence.apply_progress(
            [
                a_progress(
                    name,
                    event_age_s=self.now_s - event_s,
                    streams=self._streams,
                    born_ms=self.born_ms,
                    data_centre=self._data_centre,
                )
                for name, event_s in self.last_event_s.items()
                if name != lost
            ],
            now_s=self.now_s,
        )
        return self.silence.check(self.work, self.fleet, now_s=self.now_s)

    def steps(self, count: int, *, events_at: Collection[str] = ()) -> list[str]:
        """Let some report intervals pass; return who fell silent."""
        return [name for _ in range(count) for name in self.step(events_at=events_at)]

    def assign(self, *, unread_tokens: int) -> None:
        """Assign a prompt that the engine has not read."""
        request = AssignmentRequest(
            request_id="q1",
            service="llm",
            entry_vm="vm-1",
            data_centre="a",
            arrived_s=self.now_s,
            due_s=self.now_s + 1.0,
            wait_until_s=self.now_s + 5.0,
            deadline_s=self.now_s + 20.0,
        )
        assignment = Assignment(
            request=request, server="e1", unread_tokens=unread_tokens
        )
        self.work.of_server("e1", born_ms=self.born_ms)
        self.work.assign(assignment, now_s=self.now_s)

    def note_gap(self, event_gap_s: float) -> None:
        """Report the time between the events of a run that ended."""
        report = RunReport(
            request_id="q0",
            server="e1",
            event_gap_s=event_gap_s,
            born_ms=self.born_ms,
        )
        self.silence.apply_run(report, now_s=self.now_s)

    def refuse(self, *, born_ms: int | None = None) -> None:
        """Report that the engine refused a connection from every VM that tried."""
        report = RunReport(
            request_id="q0",
            server="e1",
            outcome=RunOutcome.NOT_RUN,
            refused=True,
            born_ms=self.born_ms if born_ms is None else born_ms,
        )
        self.silence.apply_run(report, now_s=self.now_s)

    @property
    def is_silent(self) -> bool:
        return self.silence.is_silent("e1", now_s=self.now_s)
