"""Tests of the order of waiting requests, and of their rejections."""

import itertools
import math
import random
from collections import Counter

import pytest
from queue_builders import a_queue, a_request, an_assignment, order_of

from rosepath.assignment_queue import (
    MAX_WAITING,
    NO_SERVER_CODE,
    QUEUE_FULL_CODE,
    AssignmentQueue,
)
from rosepath.waiting_request import LineKey


def assign_steadily(
    queue: AssignmentQueue, *, per_s: float, from_s: float, until_s: float
) -> list[str]:
    """Assign the next request at a fixed rate; return those rejected."""
    rejected: list[str] = []
    for number in itertools.count(1):
        now_s = from_s + number / per_s
        if now_s > until_s:
            return rejected
        request = next(queue.in_order(now_s=now_s), None)
        if request is not None:
            queue.take(an_assignment(request), now_s=now_s)
        rejected += [
            rejection.request.request_id
            for rejection in queue.take_rejected(now_s=now_s)
        ]


def test_a_long_prompt_among_short_ones_waits_its_turn() -> None:
    """Guards against chats that wait behind a long prompt that arrived first."""
    queue = a_queue(
        a_request("document", due_in_s=0.8, tokens=8_000),
        a_request("chat-1", due_in_s=0.45),
        a_request("chat-2", due_in_s=0.40),
    )
    assert order_of(queue) == ["chat-2", "chat-1", "document"]


def test_requests_that_can_not_be_in_time_follow_those_that_can() -> None:
    """Guards against a backlog of late requests that makes all others late."""
    queue = a_queue(
        a_request("late", due_in_s=0.4),
        a_request("late-impatient", due_in_s=0.4, wait_s=3.0),
        a_request("in-time", arrived_s=0.5, due_in_s=0.8),
    )
    assert order_of(queue, now_s=0.5) == ["in-time", "late-impatient", "late"]


def test_a_long_prompt_is_late_before_it_is_due() -> None:
    """Guards against a server's time spent on a prompt that misses its target."""
    queue = a_queue(
        a_request("document", due_in_s=0.8, tokens=8_000),
        a_request("chat", due_in_s=0.9),
    )
    assert order_of(queue, now_s=0.6) == ["chat", "document"]


def test_a_lower_rank_gives_way_only_to_requests_of_like_urgency() -> None:
    """Guards against a rank that holds urgent requests up behind any other."""
    queue = a_queue(
        a_request("low", due_in_s=0.5, priority=1),
        a_request("high", due_in_s=0.6),
        a_request("high-distant", due_in_s=0.9),
    )
    assert order_of(queue) == ["high", "low", "high-distant"]


def test_a_request_without_room_ends_the_turn_of_its_model_only() -> None:
    """Guards against a full model that holds up requests for another one."""
    queue = a_queue(
        a_request("full-1", due_in_s=0.3),
        a_request("full-2", due_in_s=0.4),
        a_request("other", due_in_s=0.5, model="m1"),
    )
    assert [request.request_id for request in queue.in_order(now_s=0.0)] == [
        "full-1",
        "other",
    ]


def test_a_short_prompt_is_tried_where_a_long_one_found_no_room() -> None:
    """Guards against chats held up by a long prompt that no server can take."""
    queue = a_queue(
        a_request("document-1", due_in_s=0.4, tokens=8_000),
        a_request("document-2", due_in_s=0.5, tokens=8_000),
        a_request("chat", due_in_s=0.6),
    )
    assert [request.request_id for request in queue.in_order(now_s=0.0)] == [
        "document-1",
        "chat",
    ]


def test_a_request_that_was_tried_elsewhere_does_not_hold_up_others() -> None:
    """Guards against a retry whose last server is full blocking its model."""
    queue = a_queue(
        a_request("retried", due_in_s=0.3, tried=["e1"]),
        a_request("new", due_in_s=0.4),
    )
    assert [request.request_id for request in queue.in_order(now_s=0.0)] == [
        "retried",
        "new",
    ]


def test_a_request_that_is_sent_again_keeps_its_place() -> None:
    """Guards against a lost reply that counts a request twice."""
    queue = a_queue(a_request("q1"), a_request("q2"))
    queue.add(a_request("q1", arrived_s=0.2), now_s=0.2)
    assert len(queue) == 2
    assert order_of(queue, now_s=0.2) == ["q1", "q2"]
    assert len(queue) == 0


def test_a_retry_that_tried_a_server_replaces_the_first_attempt() -> None:
    """Guards against a request that is assigned twice after it was refused."""
    queue = a_queue(a_request("q1"))
    queue.add(a_request("q1", tried=["e1"]), now_s=0.1)
    [request] = list(queue.in_order(now_s=0.1))
    assert request.tried == {"e1"}
    assert len(queue) == 1


def test_only_requests_for_a_freed_server_are_walked() -> None:
    """Guards against a walk through all models on each event of one server."""
    queue = a_queue(a_request("q1"), a_request("q2", model="m1"))
    walked = queue.in_order(now_s=0.0, keys=[LineKey("llm", "m1"), LineKey("x", "")])
    assert [request.request_id for request in walked] == ["q2"]


def test_a_request_whose_caller_left_is_not_served() -> None:
    """Guards against a server that reads prompts for nobody."""
    queue = a_queue(a_request("q1"), a_request("q2"))
    assert queue.remove("q1") is not None
    assert queue.remove("q1") is None
    assert "q1" not in queue
    assert order_of(queue) == ["q2"]
    assert queue.take_rejected(now_s=60.0) == []


def test_a_request_is_rejected_before_its_prompt_can_not_be_read_in_time() -> None:
    """Guards against a long prompt that is read after its caller has left."""
    request = a_request("document", wait_s=6.0, tokens=30_000)
    queue = a_queue(request)
    assert queue.take_rejected(now_s=5.9) == []
    [rejection] = queue.take_rejected(now_s=request.deadline_s - 1.0)
    assert rejection.request.request_id == "document"
    assert rejection.code == NO_SERVER_CODE
    assert len(queue) == 0


def test_nothing_is_rejected_early_while_no_rate_is_known() -> None:
    """Guards against refusals by a guess, as for a model that is being loaded."""
    queue = a_queue(*(a_request(f"q{n}", wait_s=15.0) for n in range(500)))
    assert [queue.take_rejected(now_s=step / 10) for step in range(100)] == [[]] * 100


def test_nothing_is_rejected_that_is_reached_late() -> None:
    """Guards against refusing patient callers in a burst that can be served late."""
    queue = a_queue(*(a_request(f"q{n}", wait_s=15.0) for n in range(300)))
    assert assign_steadily(queue, per_s=25.0, from_s=0.0, until_s=14.0) == []
    assert len(queue) == 0


def test_requests_behind_a_hopeless_queue_are_rejected_at_once() -> None:
    """Guards against holding until their deadline what servers can't reach."""
    queue = a_queue(*(a_request(f"q{n}", wait_s=4.0) for n in range(400)))
    rejected = assign_steadily(queue, per_s=20.0, from_s=0.0, until_s=1.5)
    # 80 can be served while their callers wait.
    assert 100 < len(rejected) <= 400 - 2 * 80
    assert not set(rejected) & {f"q{n}" for n in range(80)}


def test_late_requests_that_others_leave_no_room_for_are_rejected() -> None:
    """Guards against holding late requests behind a steady flow of new ones."""
    queue = a_queue(*(a_request(f"late{n}", due_in_s=-0.1) for n in range(200)))
    rejected: list[str] = []
    for number in range(400):
        now_s = number / 50
        # Nine of ten turns go to new requests, which are in time.
        if number % 10:
            request_id = f"new{number}"
            queue.add(a_request(request_id, arrived_s=now_s), now_s=now_s)
        request = next(queue.in_order(now_s=now_s))
        queue.take(an_assignment(request), now_s=now_s)
        rejected += [
            rejection.request.request_id
            for rejection in queue.take_rejected(now_s=now_s)
        ]
    # Of 200, five a second are assigned late, 75 while their callers wait.
    assert 50 <= len(rejected) <= 200 - 75
    assert all(request_id.startswith("late") for request_id in rejected)


def test_rejected_callers_come_back_spread_over_time() -> None:
    """Guards against a burst whose rejected callers all return together."""
    queue = a_queue(*(a_request(f"q{n}", wait_s=4.0) for n in range(400)))
    returns_s = []
    for number in range(1, 31):
        now_s = number / 20.0
        queue.take(an_assignment(next(queue.in_order(now_s=now_s))), now_s=now_s)
        for rejection in queue.take_rejected(now_s=now_s):
            assert 0.0 < rejection.retry_after_s <= 5.0 / 3
            returns_s.append(now_s + rejection.retry_after_s)
    per_tenth_s = [
        sum(int(time_s * 10) == tenth for time_s in returns_s) for tenth in range(40)
    ]
    assert len(returns_s) > 100
    assert max(per_tenth_s) < 0.4 * len(returns_s)


def test_a_full_queue_rejects_the_least_urgent_of_the_longest_line() -> None:
    """Guards against a flood for one model that uses up memory or others' places."""
    queue = a_queue(*(a_request(f"other{n}", model="m1") for n in range(10)))
    for number in range(2 * MAX_WAITING):
        queue.add(a_request(f"q{number}", due_in_s=1.0 + number / 1e4), now_s=0.0)
        assert len(queue) <= MAX_WAITING
    rejections = queue.take_rejected(now_s=0.0)
    rejected = {rejection.request.request_id for rejection in rejections}
    assert {rejection.code for rejection in rejections} == {QUEUE_FULL_CODE}
    assert len(rejected) + len(queue) == 2 * MAX_WAITING + 10
    assert all(f"other{n}" in queue for n in range(10))
    assert all(f"q{n}" in queue for n in range(MAX_WAITING // 2))


def test_removed_requests_don_t_stay_in_memory() -> None:
    """Guards against growth while many callers ask and leave."""
    queue = a_queue()
    for number in range(20_000):
        now_s = number / 1_000
        queue.add(a_request(f"q{number}", arrived_s=now_s), now_s=now_s)
        queue.remove(f"q{number}")
        queue.take_rejected(now_s=now_s)
    assert len(queue._by_end) < 1_000
    assert not any(model.lines for model in queue._models.values())


def test_rejected_late_requests_don_t_stay_in_memory() -> None:
    """Guards against growth under an overload that leaves no turn to late ones."""
    queue = a_queue()
    for number in range(10_000):
        now_s = number / 500
        queue.add(
            a_request(f"q{number}", arrived_s=now_s, due_in_s=0.1, wait_s=0.5),
            now_s=now_s,
        )
        next(queue.in_order(now_s=now_s))
        queue.take_rejected(now_s=now_s)
    [line] = queue._models[LineKey("llm", "m0")].lines.values()
    held = [len(flow.in_time) + len(flow.late) for flow in line._flows.values()]
    assert sum(held) < 3 * len(queue) + 200


@pytest.mark.parametrize("seed", range(5))
def test_each_request_leaves_the_queue_once(seed: int) -> None:
    """Guards against requests lost or assigned twice in a mix of all events."""
    rng = random.Random(seed)
    queue = a_queue()
    ended: Counter[str] = Counter()
    added = 0
    for step in range(3_000):
        now_s = step / 100
        if rng.random() < 0.7:
            request = a_request(
                f"q{added}",
                arrived_s=now_s,
                due_in_s=rng.choice([0.1, 0.5, 2.0]),
                wait_s=rng.choice([0.5, 2.0, 8.0]),
                tokens=rng.choice([0, 500, 2_000, 8_000]),
                model=rng.choice(["m0", "m1"]),
                priority=rng.randrange(3),
                workspace=rng.choice(["", "w0", "w0", "w0", "w1"]),
                tried=rng.choice([(), (), ("e1",)]),
            )
            queue.add(request, now_s=now_s)
            added += 1
        if rng.random() < 0.1:
            request_id = f"q{rng.randrange(max(1, added))}"
            ended[request_id] += queue.remove(request_id) is not None
        for request in queue.in_order(now_s=now_s):
            assert request.request_id in queue
            if rng.random() < 0.2:
                queue.take(an_assignment(request), now_s=now_s)
                ended[request.request_id] += 1
        for rejection in queue.take_rejected(now_s=now_s):
            ended[rejection.request.request_id] += 1
        assert len(queue) + sum(ended.values()) == added
    for rejection in queue.take_rejected(now_s=1e3):
        ended[rejection.request.request_id] += 1
    assert len(queue) == 0
    assert set(ended.values()) <= {0, 1}
    assert sum(ended.values()) == added


@pytest.mark.parametrize("seed", range(5))
def test_kept_places_are_those_of_a_new_walk(seed: int) -> None:
    """Guards against an order kept from before a request came, left or was late."""
    rng = random.Random(seed)
    queue = a_queue()
    for step in range(1_000):
        now_s = step / 50
        request = a_request(
            f"q{step}",
            arrived_s=now_s,
            due_in_s=rng.choice([0.05, 0.3, 1.0]),
            wait_s=2.0,
            tokens=rng.choice([500, 8_000]),
            priority=rng.randrange(2),
            workspace=rng.choice(["w0", "w0", "w0", "w1"]),
        )
        if rng.random() < 0.6:
            queue.add(request, now_s=now_s)
        kept = [request.request_id for request in queue.in_order(now_s=now_s)]
        for model in queue._models.values():
            for line in model.lines.values():
                line._fronts_until_s = -math.inf
        new = [request.request_id for request in queue.in_order(now_s=now_s)]
        assert kept == new
        first = next(queue.in_order(now_s=now_s), None)
        if first is not None and rng.random() < 0.3:
            queue.take(an_assignment(first), now_s=now_s)
        queue.take_rejected(now_s=now_s)
