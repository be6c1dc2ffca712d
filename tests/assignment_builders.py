"""Builders of test data for the assignment of requests to servers."""

from dataclasses import replace

from entry_builders import a_server

from rosepath.assignment import Assignment, AssignmentRequest
from rosepath.assignment_choice import Candidate
from rosepath.caller_request import Prompt, PromptPart
from rosepath.server_pace import ServerPace
from rosepath.server_work import AssignedRun, ServerWork

NOW_S = 1000.0


def a_chat(request_id: str = "chat", *, adapter: str = "") -> AssignmentRequest:
    """Build a chat: a short prompt, due soon, whose stream may not pause long."""
    part = PromptPart(f"own-{request_id}", 600)
    prompt = Prompt(
        model="m0", adapter=adapter, input_tokens=600, output_tokens=290, parts=(part,)
    )
    return _a_request(request_id, prompt, due_in_s=0.4, gap_s=0.3)


def a_document(
    request_id: str = "document", *, shared: str = "s1", due_in_s: float = 0.8
) -> AssignmentRequest:
    """Build a document: a long prompt of which other requests share the most."""
    parts = (PromptPart(shared, 6_300), PromptPart(f"own-{request_id}", 2_900))
    prompt = Prompt(model="m0", input_tokens=9_200, output_tokens=50, parts=parts)
    return _a_request(request_id, prompt, due_in_s=due_in_s, gap_s=0.4)


def an_order(request_id: str = "order", *, data_centre: str = "a") -> AssignmentRequest:
    """Build a request to a service without engines."""
    request = _a_request(request_id, None, due_in_s=0.3, gap_s=0.0)
    return replace(request, service="desk", data_centre=data_centre)


def _a_request(
    request_id: str, prompt: Prompt | None, *, due_in_s: float, gap_s: float
) -> AssignmentRequest:
    return AssignmentRequest(
        request_id=request_id,
        service="llm",
        entry_vm="vm-1",
        data_centre="a",
        arrived_s=NOW_S,
        due_s=NOW_S + due_in_s,
        wait_until_s=NOW_S + 4 * due_in_s,
        deadline_s=NOW_S + 20.0,
        gap_s=gap_s,
        prompt=prompt,
    )


def an_engine(
    name: str,
    *,
    streams: int = 0,
    prefill_left_s: float = 0.0,
    unread_tokens: int = 9_200,
    tokens_per_s: float = 38_000.0,
    slowdown: float = 1.0,
    adapter_s: float = 0.0,
    slots: int = 64,
) -> Candidate:
    """Build an engine beside whose chats a request is to be assigned."""
    server = a_server(name)
    server.entry = replace(server.entry, slots=slots)
    work = ServerWork(pace=ServerPace(prefill_tokens_per_s=tokens_per_s))
    work.pace.note_slowdown(slowdown, now_s=NOW_S)
    work.prefill_ends_s = NOW_S + prefill_left_s
    add_runs(work, server.name, *(a_chat(f"{name}-{n}") for n in range(streams)))
    return Candidate(
        server=server, work=work, unread_tokens=unread_tokens, adapter_s=adapter_s
    )


def a_place_server(
    name: str,
    *,
    running: int = 0,
    others: int = 0,
    data_centre: str = "a",
    latency_s: float = 0.075,
    slowdown: float = 1.0,
    error_rate: float = 0.0,
) -> Candidate:
    """Build a server of six places of a service without engines."""
    server = a_server(name, service="desk", data_centre=data_centre)
    server.latency_s, server.error_rate = latency_s, error_rate
    work = ServerWork()
    work.pace.note_slowdown(slowdown, now_s=NOW_S)
    add_runs(work, name, *(an_order(f"{name}-{n}") for n in range(running)))
    return Candidate(server=server, work=work, others=others)


def add_runs(work: ServerWork, server: str, *requests: AssignmentRequest) -> None:
    """Add runs that have begun to a server's work."""
    for request in requests:
        assignment = Assignment(request=request, server=server)
        work.runs[request.request_id] = AssignedRun(
            assignment=assignment, assigned_s=NOW_S - 1.0, begun_s=NOW_S - 0.5
        )
