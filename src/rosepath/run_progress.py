"""Follow one attempt at a backend server and report it to the scheduler."""

from collections.abc import Callable
from dataclasses import dataclass

from rosepath.assignment import RunOutcome, RunReport
from rosepath.response_metadata import ServerLoad


@dataclass(slots=True, kw_only=True)
class RunProgress:
    """Hold how far a run has come; `run_id` is empty if nobody schedules."""

    run_id: str
    server: str
    sent_s: float
    report: Callable[[RunReport], None]
    load: ServerLoad | None = None
    load_stated_s: float = 0.0
    first_event_s: float | None = None
    last_event_s: float = 0.0
    event_count: int = 0
    longest_gap_s: float = 0.0

    def note_load(self, load: ServerLoad | None, *, now_s: float) -> None:
        """Record the load that the head of the response states."""
        self.load, self.load_stated_s = load, now_s

    def note_events(self, count: int, *, now_s: float) -> None:
        """Record the arrival of events; report the first one."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self.last_event_s)
        self.last_event_s = now_s
        begins = self.event_count == 0 and count > 0
        self.event_count += count
        if begins:
            self._send_report(now_s=now_s)

    def end(self, outcome: RunOutcome, *, now_s: float) -> None:
        """Report the end of the run."""
        if outcome is RunOutcome.COMPLETED and self.first_event_s is None:
            self.first_event_s = now_s
        self._send_report(outcome, now_s=now_s)

    @property
    def event_gap_s(self) -> float | None:
        """Return the mean time between events, None if there were too few."""
        if self.first_event_s is None or self.event_count < 2:
            return None
        return (self.last_event_s - self.first_event_s) / (self.event_count - 1)

    def _send_report(self, outcome: RunOutcome | None = None, *, now_s: float) -> None:
        if not self.run_id:
            return
        began_s = self.first_event_s
        self.report(
            RunReport(
                request_id=self.run_id,
                server=self.server,
                began_after_s=None if began_s is None else began_s - self.sent_s,
                outcome=outcome,
                event_gap_s=self.event_gap_s,
                longest_gap_s=self.longest_gap_s,
                events=self.event_count or None,
                ran_s=None if outcome is None else now_s - self.sent_s,
                load=self.load,
                load_age_s=now_s - self.load_stated_s if self.load else 0.0,
            )
        )
