"""Messages between entry VMs about the scheduling of requests.

Clocks differ, so that messages state times as durations from their sending.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from rosepath.assignment import RunOutcome, RunReport
from rosepath.caller_request import Prompt, PromptPart
from rosepath.response_metadata import ServerLoad

TYPE_PREFIX = "sched"


@dataclass(frozen=True, slots=True, kw_only=True)
class AssignmentQuery:
    """Ask the scheduler for a server; sent again, it is answered alike.

    `due_in_s`, `wait_s` and `left_s` are the times until the first byte is due,
    until the request is rejected if it has no server, and until its deadline.
    """

    request_id: str
    entry_vm: str
    reply_to: str
    data_centre: str
    service: str
    age_s: float
    due_in_s: float
    wait_s: float
    left_s: float
    gap_s: float = 0.0
    priority: int = 0
    workspace: str = ""
    route: str = ""
    prompt: Prompt | None = None
    tried: frozenset[str] = frozenset()


class AssignmentStatus(StrEnum):
    """State what a scheduler replies to a query."""

    ASSIGNED = "assigned"
    REJECTED = "rejected"
    # The decision follows in a later reply.
    WAITING = "waiting"
    # The scheduler does not know the runs in progress yet.
    SETTLING = "settling"
    # The scheduler stops.
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class AssignmentReply:
    """Reply of a scheduler to a query.

    `server`, `unread_tokens` and `first_event_s` are set if it is assigned, `code`
    if it is rejected. `retry_after_s` is when to return after a rejection, or when
    to ask again while the scheduler settles.
    """

    request_id: str
    scheduler: str
    status: AssignmentStatus
    server: str = ""
    unread_tokens: int = 0
    first_event_s: float = 0.0
    code: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RunInProgress:
    """Describe a run that the scheduler may not know.

    `unread_tokens` count only until it has begun to answer; `left_s` is the time
    until its deadline.
    """

    request_id: str
    server: str
    service: str
    begun: bool
    left_s: float
    unread_tokens: int = 0
    target: str = ""
    gap_s: float = 0.0
    priority: int = 0
    workspace: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunReports:
    """Report runs of an entry VM to the scheduler.

    `runs` are those that it may not know. If they are `complete`, they are all
    that the sender has in progress.
    """

    entry_vm: str
    runs: tuple[RunInProgress, ...] = ()
    reports: tuple[RunReport, ...] = ()
    complete: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RunListRequest:
    """Ask an entry VM for all its runs in progress, as the sender schedules now."""

    scheduler: str
    reply_to: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawal:
    """Withdraw a request that will not run, whether it waits or has a server."""

    request_id: str
    entry_vm: str


SchedulingMessage = (
    AssignmentQuery | AssignmentReply | RunListRequest | RunReports | Withdrawal
)


def encode_scheduling_fields(message: SchedulingMessage) -> dict[str, Any]:
    """Return the fields of a message, with its type as `t`."""
    match message:
        case AssignmentQuery():
            return {
                "t": "sched-query",
                "id": message.request_id,
                "vm": message.entry_vm,
                "to": message.reply_to,
                "dc": message.data_centre,
                "v": message.service,
                "a": round(message.age_s, 4),
                "d": round(message.due_in_s, 4),
                "w": round(message.wait_s, 4),
                "l": round(message.left_s, 4),
                "g": message.gap_s,
                "p": message.priority,
                "ws": message.workspace,
                "rt": message.route,
                "q": _encode_prompt(message.prompt),
                "x": sorted(message.tried),
            }
        case AssignmentReply():
            return {
                "t": "sched-reply",
                "id": message.request_id,
                "vm": message.scheduler,
                "st": message.status.value,
                "s": message.server,
                "u": message.unread_tokens,
                "f": round(message.first_event_s, 4),
                "c": message.code,
                "r": round(message.retry_after_s, 3),
            }
        case RunReports():
            return {
                "t": "sched-runs",
                "vm": message.entry_vm,
                "runs": [_encode_run(run) for run in message.runs],
                "reports": [_encode_report(report) for report in message.reports],
                "all": int(message.complete),
            }
        case RunListRequest():
            return {
                "t": "sched-list",
                "vm": message.scheduler,
                "to": message.reply_to,
            }
        case Withdrawal():
            return {
                "t": "sched-withdraw",
                "id": message.request_id,
                "vm": message.entry_vm,
            }


def decode_scheduling_fields(raw: Mapping[str, Any]) -> SchedulingMessage | None:
    """Decode the fields of a message; raise ValueError, KeyError or TypeError."""
    match raw["t"]:
        case "sched-query":
            return AssignmentQuery(
                request_id=str(raw["id"]),
                entry_vm=str(raw["vm"]),
                reply_to=str(raw["to"]),
                data_centre=str(raw["dc"]),
                service=str(raw["v"]),
                age_s=float(raw["a"]),
                due_in_s=float(raw["d"]),
                wait_s=float(raw["w"]),
                left_s=float(raw["l"]),
                gap_s=float(raw["g"]),
                priority=int(raw["p"]),
                workspace=str(raw["ws"]),
                route=str(raw.get("rt", "")),
                prompt=_decode_prompt(raw["q"]),
                tried=frozenset(map(str, raw["x"])),
            )
        case "sched-reply":
            return AssignmentReply(
                request_id=str(raw["id"]),
                scheduler=str(raw["vm"]),
                status=AssignmentStatus(raw["st"]),
                server=str(raw["s"]),
                unread_tokens=int(raw["u"]),
                first_event_s=float(raw["f"]),
                code=str(raw["c"]),
                retry_after_s=float(raw["r"]),
            )
        case "sched-runs":
            return RunReports(
                entry_vm=str(raw["vm"]),
                runs=tuple(_decode_run(run) for run in raw["runs"]),
                reports=tuple(_decode_report(report) for report in raw["reports"]),
                complete=bool(raw["all"]),
            )
        case "sched-list":
            return RunListRequest(scheduler=str(raw["vm"]), reply_to=str(raw["to"]))
        case "sched-withdraw":
            return Withdrawal(request_id=str(raw["id"]), entry_vm=str(raw["vm"]))
    return None


def _encode_prompt(prompt: Prompt | None) -> list[Any] | None:
    if prompt is None:
        return None
    parts = [[part.part_id, part.tokens] for part in prompt.parts]
    return [
        prompt.model,
        prompt.adapter,
        prompt.input_tokens,
        prompt.output_tokens,
        parts,
    ]


def _decode_prompt(raw: Any) -> Prompt | None:
    if raw is None:
        return None
    return Prompt(
        model=str(raw[0]),
        adapter=str(raw[1]),
        input_tokens=int(raw[2]),
        output_tokens=int(raw[3]),
        parts=tuple(PromptPart(str(part[0]), int(part[1])) for part in raw[4]),
    )


def _encode_run(run: RunInProgress) -> list[Any]:
    return [
        run.request_id,
        run.server,
        run.service,
        int(run.begun),
        round(run.left_s, 3),
        run.unread_tokens,
        run.target,
        run.gap_s,
        run.priority,
        run.workspace,
    ]


def _decode_run(raw: Any) -> RunInProgress:
    return RunInProgress(
        request_id=str(raw[0]),
        server=str(raw[1]),
        service=str(raw[2]),
        begun=bool(raw[3]),
        left_s=float(raw[4]),
        unread_tokens=int(raw[5]),
        target=str(raw[6]),
        gap_s=float(raw[7]),
        priority=int(raw[8]),
        workspace=str(raw[9]),
    )


def _encode_report(report: RunReport) -> dict[str, Any]:
    fields: dict[str, Any] = {"id": report.request_id, "s": report.server}
    if report.began_after_s is not None:
        fields["b"] = round(report.began_after_s, 4)
    if report.outcome is not None:
        fields["o"] = report.outcome.value
    if report.event_gap_s is not None:
        fields["g"] = round(report.event_gap_s, 4)
    if report.longest_gap_s:
        fields["m"] = round(report.longest_gap_s, 4)
    if report.events is not None:
        fields["n"] = report.events
    if report.ran_s is not None:
        fields["t"] = round(report.ran_s, 4)
    if report.load is not None:
        fields["l"] = list(report.load)
        fields["a"] = round(report.load_age_s, 4)
    return fields


def _decode_report(raw: Mapping[str, Any]) -> RunReport:
    return RunReport(
        request_id=str(raw["id"]),
        server=str(raw["s"]),
        began_after_s=_optional_float(raw.get("b")),
        outcome=RunOutcome(raw["o"]) if "o" in raw else None,
        event_gap_s=_optional_float(raw.get("g")),
        longest_gap_s=float(raw.get("m", 0.0)),
        events=_optional_int(raw.get("n")),
        ran_s=_optional_float(raw.get("t")),
        load=_decode_load(raw["l"]) if "l" in raw else None,
        load_age_s=float(raw.get("a", 0.0)),
    )


def _decode_load(raw: Any) -> ServerLoad:
    running, waiting, slots, slowdown = raw[:4]
    return ServerLoad(int(running), int(waiting), int(slots), float(slowdown))


def _optional_int(raw: Any) -> int | None:
    return None if raw is None else int(raw)


def _optional_float(raw: Any) -> float | None:
    return None if raw is None else float(raw)
