"""A scheduler that decides by a script and records what it is told."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from rosepath.assignment import (
    Assignment,
    AssignmentRejection,
    AssignmentRequest,
    Decision,
    RunOutcome,
    RunReport,
)


@dataclass(slots=True)
class ScriptedScheduler:
    """Assign the given servers in turn, the last one again and again."""

    decide: Callable[[AssignmentRequest, int], Decision | None]
    in_use: bool = True
    requests: list[AssignmentRequest] = field(default_factory=list)
    placed: list[Assignment] = field(default_factory=list)
    reports: list[RunReport] = field(default_factory=list)
    waits_s: float = 0.0
    ids: int = 0

    def next_id(self) -> str:
        self.ids += 1
        return f"run-{self.ids}"

    async def assign(
        self, request: AssignmentRequest, *, on_waiting: Callable[[], None]
    ) -> tuple[Decision | None, str]:
        self.requests.append(request)
        waited_s = 0.0
        while waited_s < self.waits_s:
            on_waiting()
            await asyncio.sleep(0.1)
            waited_s += 0.1
        decision = self.decide(request, len(self.requests) - 1)
        return decision, "vm-2" if decision else ""

    def note_placed(self, assignment: Assignment) -> None:
        self.placed.append(assignment)

    def report(self, report: RunReport) -> None:
        self.reports.append(report)

    @property
    def outcomes(self) -> list[tuple[str, RunOutcome]]:
        """Return the ends of runs that were reported, in order."""
        return [
            (report.server, report.outcome)
            for report in self.reports
            if report.outcome is not None
        ]


def assigning(*servers: str) -> Callable[[AssignmentRequest, int], Decision | None]:
    def decide(request: AssignmentRequest, number: int) -> Decision | None:
        server = servers[min(number, len(servers) - 1)]
        return Assignment(
            request=request, server=server, unread_tokens=300, first_event_s=0.1
        )

    return decide


def no_scheduler(_: AssignmentRequest, __: int) -> Decision | None:
    return None


def rejecting(request: AssignmentRequest, _: int) -> Decision | None:
    return AssignmentRejection(request=request, code="no_server", retry_after_s=1.5)
