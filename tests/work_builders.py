"""Builders of test data for request costs and the work of servers."""

from rosepath.assignment import Assignment, AssignmentRequest, RunOutcome, RunReport
from rosepath.caller_request import Prompt
from rosepath.response_metadata import ServerLoad
from rosepath.server_work import WorkTable


def an_assignment_request(
    request_id: str = "q1",
    *,
    service: str = "llm",
    route: str = "chat",
    model: str = "m0",
    input_tokens: int = 3000,
    output_tokens: int = 100,
    entry_vm: str = "vm-1",
    arrived_s: float = 0.0,
    deadline_s: float = 60.0,
    priority: int = 0,
) -> AssignmentRequest:
    """Build a request; one without a model goes to a plain service."""
    prompt = Prompt(model=model, input_tokens=input_tokens, output_tokens=output_tokens)
    return AssignmentRequest(
        request_id=request_id,
        service=service,
        entry_vm=entry_vm,
        data_centre="a",
        arrived_s=arrived_s,
        due_s=arrived_s + 0.6,
        wait_until_s=arrived_s + 2.0,
        deadline_s=deadline_s,
        priority=priority,
        route=route,
        prompt=prompt if model else None,
    )


def an_assignment(
    request_id: str = "q1",
    *,
    server: str = "e1",
    unread_tokens: int | None = None,
    first_event_s: float = 0.0,
    born_ms: int = 0,
    request: AssignmentRequest | None = None,
) -> Assignment:
    request = request or an_assignment_request(request_id)
    if unread_tokens is None:
        unread_tokens = request.prompt.input_tokens if request.prompt else 0
    return Assignment(
        request=request,
        server=server,
        unread_tokens=unread_tokens,
        first_event_s=first_event_s,
        born_ms=born_ms,
    )


def a_begin(
    request_id: str = "q1",
    *,
    server: str = "e1",
    began_after_s: float = 0.1,
    assignment: Assignment | None = None,
) -> RunReport:
    return RunReport(
        request_id=request_id,
        server=server,
        began_after_s=began_after_s,
        events=1,
        assignment=assignment,
    )


def an_end(
    request_id: str = "q1",
    *,
    server: str = "e1",
    outcome: RunOutcome = RunOutcome.COMPLETED,
    events: int | None = 20,
    ran_s: float | None = 1.0,
    event_gap_s: float | None = None,
    assignment: Assignment | None = None,
) -> RunReport:
    return RunReport(
        request_id=request_id,
        server=server,
        outcome=outcome,
        events=events,
        ran_s=ran_s,
        event_gap_s=event_gap_s,
        assignment=assignment,
    )


def a_stated_slowdown(slowdown: float, *, server: str = "e1") -> RunReport:
    load = ServerLoad(running=1, waiting=0, slots=8, slowdown=slowdown)
    return RunReport(request_id="other", server=server, load=load)


def run_once(
    table: WorkTable,
    request: AssignmentRequest,
    *,
    server: str = "e1",
    now_s: float,
    prefill_s: float = 0.1,
    report_delay_s: float = 0.002,
    events: int = 20,
    event_gap_s: float = 0.03,
) -> float:
    """Play a run that has the server to itself; return when it has ended."""
    request_id = request.request_id
    table.assign(an_assignment(request=request, server=server), now_s=now_s)
    begun_s = now_s + 0.004 + prefill_s
    begin = a_begin(request_id, server=server, began_after_s=prefill_s)
    table.apply(begin, now_s=begun_s + report_delay_s)
    ran_s = prefill_s + (events - 1) * event_gap_s
    end = an_end(
        request_id,
        server=server,
        events=events,
        ran_s=ran_s,
        event_gap_s=event_gap_s,
    )
    ended_s = now_s + 0.004 + ran_s
    table.apply(end, now_s=ended_s + report_delay_s)
    return ended_s
