"""Builders of test data for requests that wait for a server."""

import random
from collections.abc import Iterable

from rosepath.assignment import Assignment, AssignmentRequest
from rosepath.assignment_queue import AssignmentQueue
from rosepath.caller_request import Prompt


def a_request(
    request_id: str = "q1",
    *,
    arrived_s: float = 0.0,
    due_in_s: float = 0.5,
    wait_s: float = 15.0,
    tokens: int = 500,
    model: str = "m0",
    priority: int = 0,
    workspace: str = "",
    tried: Iterable[str] = (),
) -> AssignmentRequest:
    """Build a waiting request; without tokens it is one of a plain service."""
    return AssignmentRequest(
        request_id=request_id,
        service="llm" if tokens else "desk",
        entry_vm="vm-1",
        data_centre="a",
        arrived_s=arrived_s,
        due_s=arrived_s + due_in_s,
        wait_until_s=arrived_s + wait_s,
        deadline_s=arrived_s + wait_s + 1.0,
        priority=priority,
        workspace=workspace,
        prompt=Prompt(model=model, input_tokens=tokens, output_tokens=100)
        if tokens
        else None,
        tried=frozenset(tried),
    )


def an_assignment(request: AssignmentRequest) -> Assignment:
    tokens = request.prompt.input_tokens if request.prompt else 0
    return Assignment(
        request=request,
        server="e1",
        unread_tokens=tokens,
        first_event_s=tokens / 30_000,
    )


def a_queue(*requests: AssignmentRequest, now_s: float = 0.0) -> AssignmentQueue:
    queue = AssignmentQueue(rng=random.Random(1))
    for request in requests:
        queue.add(request, now_s=now_s)
    return queue


def order_of(queue: AssignmentQueue, *, now_s: float = 0.0) -> list[str]:
    """Assign all waiting requests; return their ids in order."""
    order = []
    for request in queue.in_order(now_s=now_s):
        queue.take(an_assignment(request), now_s=now_s)
        order.append(request.request_id)
    return order
