"""Tests of the scheduler with requests that wait for room."""

import random
from collections.abc import Mapping

from entry_builders import a_catalog, an_entry
from queue_builders import a_request

from rosepath.assignment import Assignment, Decision, RunOutcome, RunReport
from rosepath.assignment_queue import AssignmentQueue
from rosepath.fleet import Fleet
from rosepath.prompt_caches import PromptCaches
from rosepath.scheduler import Scheduler

SLOTS = 6


def a_scheduler(models: Mapping[str, str]) -> Scheduler:
    """Build a scheduler of engines, with the model of each."""
    fleet = Fleet()
    for name, model in models.items():
        fleet.put(an_entry(name, models={model: frozenset()}))
    catalog = a_catalog()
    return Scheduler(
        fleet=fleet,
        caches=PromptCaches(),
        catalog=lambda: catalog,
        queue=AssignmentQueue(rng=random.Random(1)),
    )


def fill(scheduler: Scheduler, *, model: str) -> list[str]:
    """Assign short prompts until one waits; return the ids of the assigned."""
    assigned: list[str] = []
    while True:
        request = a_request(f"{model}-{len(assigned)}", tokens=1, model=model)
        if not scheduler.submit(request, now_s=0.0):
            scheduler.withdraw(request.request_id)
            return assigned
        assigned.append(request.request_id)


def end(scheduler: Scheduler, request_id: str, *, now_s: float) -> list[Decision]:
    server = scheduler.work.server_of(request_id) or ""
    report = RunReport(
        request_id=request_id, server=server, outcome=RunOutcome.COMPLETED
    )
    return scheduler.report([report], now_s=now_s)


def begin(scheduler: Scheduler, request_id: str, *, now_s: float) -> None:
    server = scheduler.work.server_of(request_id) or ""
    report = RunReport(request_id=request_id, server=server, began_after_s=0.05)
    scheduler.report([report], now_s=now_s)


def assigned_ids(decisions: list[Decision]) -> list[str]:
    return [
        decision.request.request_id
        for decision in decisions
        if isinstance(decision, Assignment)
    ]


def test_a_slot_that_becomes_free_goes_to_the_most_urgent() -> None:
    """Guards against slots given in the order of arrival."""
    scheduler = a_scheduler({"e1": "m0"})
    running = fill(scheduler, model="m0")
    assert len(running) == SLOTS
    for request_id, due_in_s in (("distant", 0.9), ("urgent", 0.4)):
        request = a_request(request_id, due_in_s=due_in_s)
        assert scheduler.submit(request, now_s=0.0) == []
    assert assigned_ids(end(scheduler, running[0], now_s=0.1)) == ["urgent"]
    begin(scheduler, "urgent", now_s=0.2)
    assert assigned_ids(end(scheduler, running[1], now_s=0.3)) == ["distant"]


def test_a_full_engine_does_not_hold_up_requests_for_another() -> None:
    """Guards against a hot model that others wait behind."""
    scheduler = a_scheduler({"e1": "m0", "e2": "m1"})
    fill(scheduler, model="m0")
    assert scheduler.submit(a_request("hot", due_in_s=0.1), now_s=0.0) == []
    decisions = scheduler.submit(a_request("other", model="m1"), now_s=0.0)
    assert assigned_ids(decisions) == ["other"]


def test_a_request_that_waits_and_is_sent_again_is_assigned_once() -> None:
    """Guards against lost messages that use up two slots."""
    scheduler = a_scheduler({"e1": "m0"})
    running = fill(scheduler, model="m0")
    for now_s in (0.0, 0.1):
        assert scheduler.submit(a_request("q1"), now_s=now_s) == []
    assert assigned_ids(end(scheduler, running[0], now_s=0.2)) == ["q1"]
    assert end(scheduler, running[1], now_s=0.2) == []


def test_a_request_without_room_is_rejected_before_its_caller_leaves() -> None:
    """Guards against requests held in silence until their deadline."""
    scheduler = a_scheduler({"e1": "m0"})
    fill(scheduler, model="m0")
    request = a_request("q1", wait_s=5.0)
    assert scheduler.submit(request, now_s=0.0) == []
    assert scheduler.step(now_s=4.9) == []
    [rejection] = scheduler.step(now_s=request.wait_until_s)
    assert not isinstance(rejection, Assignment)
    assert 0.0 < rejection.retry_after_s
