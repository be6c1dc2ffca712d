"""Requests of many entry VMs are assigned by one that knows all their runs."""

from collections import Counter

from scheduling_builders import (
    a_long_prompt,
    a_run_report,
    a_scheduler,
    an_assignment_request,
)

from rosepath.assignment import (
    Assignment,
    AssignmentRejection,
    AssignmentRequest,
    Decision,
    RunOutcome,
)
from rosepath.scheduler import Scheduler


def assigned(decisions: list[Decision]) -> dict[str, str]:
    return {
        decision.request.request_id: decision.server
        for decision in decisions
        if isinstance(decision, Assignment)
    }


def a_document(request_id: str, **options: object) -> AssignmentRequest:
    prompt = a_long_prompt(own=request_id)
    return an_assignment_request(request_id, prompt=prompt, **options)  # type: ignore[arg-type]


def submit_all(
    scheduler: Scheduler, count: int, *, now_s: float = 0.0
) -> dict[str, str]:
    """Submit documents of as many VMs; return those assigned, with their servers."""
    found: dict[str, str] = {}
    for number in range(count):
        request = a_document(f"q{number}", entry_vm=f"vm-{number}")
        found |= assigned(scheduler.submit(request, now_s=now_s))
    return found


def test_requests_of_many_vms_at_once_do_not_meet_at_one_engine() -> None:
    """Load: each of several VMs sends a document within one instant."""
    found = submit_all(a_scheduler(["e1", "e2", "e3"]), 3)
    assert Counter(found.values()) == {"e1": 1, "e2": 1, "e3": 1}


def test_documents_wait_while_the_engines_prefill_others() -> None:
    """Load: a burst of documents for a model with two replicas."""
    scheduler = a_scheduler(["e1", "e2"])
    found = submit_all(scheduler, 10)
    assert len(found) < 6
    assert len(scheduler.queue) == 10 - len(found)


def test_a_waiting_request_is_assigned_as_an_engine_begins_to_answer() -> None:
    """Load: more documents than the engines can prefill at once."""
    scheduler = a_scheduler(["e1"])
    found = submit_all(scheduler, 6)
    first, server = next(iter(found.items()))
    begun = a_run_report(first, server, began_after_s=0.3)
    assert assigned(scheduler.report([begun], now_s=0.3))


def test_a_request_that_is_sent_again_gets_the_same_server() -> None:
    """Failure: the reply to an entry VM is lost."""
    scheduler = a_scheduler(["e1", "e2"])
    request = a_document("q1")
    first = assigned(scheduler.submit(request, now_s=0.0))
    assert assigned(scheduler.submit(request, now_s=0.08)) == first
    assert sum(len(work.runs) for work in scheduler.work.servers.values()) == 1


def test_a_request_that_was_not_run_is_assigned_elsewhere() -> None:
    """Failure: the assigned server refuses the connection."""
    scheduler = a_scheduler(["e1", "e2"])
    server = assigned(scheduler.submit(a_document("q1"), now_s=0.0))["q1"]
    not_run = a_run_report("q1", server, outcome=RunOutcome.NOT_RUN)
    scheduler.report([not_run], now_s=0.01)
    again = assigned(scheduler.submit(a_document("q1", tried=[server]), now_s=0.01))
    assert again["q1"] != server
    assert not scheduler.work.servers[server].runs


def test_the_run_of_a_killed_vm_ends_with_its_deadline() -> None:
    """Failure: an entry VM is killed and reports nothing of its runs any more."""
    scheduler = a_scheduler(["e1"])
    assigned_to = assigned(scheduler.submit(a_document("q1"), now_s=0.0))
    assert assigned_to
    scheduler.drop_expired(now_s=20.0)
    assert not scheduler.work.servers["e1"].runs


def test_a_request_that_finds_no_room_in_time_is_rejected() -> None:
    """Load: a model whose only engine stays full."""
    scheduler = a_scheduler(["e1"])
    submit_all(scheduler, 12)
    decisions = scheduler.step(now_s=2.5)
    rejected = [d for d in decisions if isinstance(d, AssignmentRejection)]
    assert rejected
    assert all(rejection.retry_after_s > 0 for rejection in rejected)
    assert not scheduler.queue


def test_a_withdrawn_request_is_not_assigned() -> None:
    """Failure: a caller leaves while its request waits."""
    scheduler = a_scheduler(["e1"])
    found = submit_all(scheduler, 8)
    waiting = next(f"q{n}" for n in range(8) if f"q{n}" not in found)
    scheduler.withdraw(waiting)
    for request_id, server in found.items():
        ended = a_run_report(request_id, server, outcome=RunOutcome.COMPLETED)
        scheduler.report([ended], now_s=0.5)
    assert scheduler.work.server_of(waiting) is None
