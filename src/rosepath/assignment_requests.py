"""Describe the requests and runs of this entry VM to the scheduler."""

from rosepath.assignment import Assignment, AssignmentRequest
from rosepath.request_context import RequestContext


def build_assignment_request(
    context: RequestContext,
    run_id: str,
    *,
    entry_vm: str,
    data_centre: str,
    tried: frozenset[str],
    wait_until_s: float,
    now_s: float,
) -> AssignmentRequest:
    """Return the request for a server for the next attempt of a request."""
    route = context.route
    # What is due next of a stream that has begun is its next event.
    begun = context.exchange.response_started
    due_from_s = now_s if begun else context.call.arrived_s
    return AssignmentRequest(
        request_id=run_id,
        service=context.service.name,
        entry_vm=entry_vm,
        data_centre=data_centre,
        arrived_s=context.call.arrived_s,
        due_s=due_from_s + route.target_latency_s,
        wait_until_s=wait_until_s,
        deadline_s=context.deadline_s,
        gap_s=route.target_gap_s if context.event_sequence is not None else 0.0,
        priority=context.priority,
        workspace=context.workspace.name if context.workspace is not None else "",
        route=route.name,
        prompt=context.call.prompt if context.service.engine is not None else None,
        tried=tried,
    )


def build_own_assignment(
    context: RequestContext,
    run_id: str,
    server: str,
    *,
    entry_vm: str,
    data_centre: str,
    unread_tokens: int,
    now_s: float,
) -> Assignment:
    """Return the assignment of a request for which this VM chose the server."""
    request = build_assignment_request(
        context,
        run_id,
        entry_vm=entry_vm,
        data_centre=data_centre,
        tried=frozenset(),
        wait_until_s=now_s,
        now_s=now_s,
    )
    return Assignment(request=request, server=server, unread_tokens=unread_tokens)
