"""Tests of the predicted time at which waiting requests find room."""

import random

import pytest
from queue_builders import a_request

from rosepath.room_prediction import (
    MIN_RATE_SAMPLES,
    RETRY_SPREAD,
    UNKNOWN_RETRY_AFTER_S,
    RoomPrediction,
)


def a_prediction(*, per_s: float, assigned: int = 32) -> RoomPrediction:
    """Build a prediction after steady assignments, the last one at 0."""
    room = RoomPrediction()
    for number in range(assigned):
        room.note_assigned(left_waiting=10, now_s=(number + 1 - assigned) / per_s)
    return room


def test_a_few_assignments_tell_no_rate() -> None:
    """Guards against rejections by chance."""
    room = a_prediction(per_s=5.0, assigned=MIN_RATE_SAMPLES - 1)
    assert room.rate_per_s(now_s=0.0) is None


def test_a_burst_of_assignments_tells_no_rate() -> None:
    """Guards against a rate by the moment in which many servers became free."""
    assert a_prediction(per_s=1_000.0).rate_per_s(now_s=0.0) is None


def test_the_rate_of_steady_assignments_is_learned() -> None:
    """Guards against predictions that are off under a steady overload."""
    rate_per_s = a_prediction(per_s=20.0).rate_per_s(now_s=0.0)
    assert rate_per_s == pytest.approx(20.0, rel=0.1)


def test_the_rate_falls_while_no_server_has_room() -> None:
    """Guards against promises of room after servers have crashed."""
    rate_per_s = a_prediction(per_s=20.0).rate_per_s(now_s=10.0)
    assert rate_per_s is not None
    assert rate_per_s < 5.0


def test_assignments_that_leave_nobody_waiting_tell_no_rate() -> None:
    """Guards against taking the rate of arrivals for that of room."""
    room = a_prediction(per_s=20.0)
    room.note_assigned(left_waiting=0, now_s=0.1)
    assert room.rate_per_s(now_s=1.0) is None


def test_rejected_callers_return_at_the_rate_of_room() -> None:
    """Guards against callers that meet when they come back."""
    room = a_prediction(per_s=20.0)
    request = a_request(wait_s=60.0)
    rng = random.Random(1)
    waits_s = [
        room.retry_after_s(request, waiting=40, now_s=0.0, rng=rng) for _ in range(60)
    ]
    assert 1.5 <= min(waits_s) <= 3.0
    assert max(waits_s) >= 4.0
    in_half_s = [sum(int(wait_s * 2) == n for wait_s in waits_s) for n in range(20)]
    assert max(in_half_s) <= 2 * 20 * 0.5


def test_a_caller_returns_while_there_is_time_to_serve_it() -> None:
    """Guards against a Retry-After beyond a third of the time left."""
    room = a_prediction(per_s=1.0)
    request = a_request(wait_s=5.0)
    for _ in range(100):
        wait_s = room.retry_after_s(
            request, waiting=500, now_s=0.0, rng=random.Random(1)
        )
        assert 0.0 < wait_s <= request.deadline_s / 3


def test_an_unknown_rate_has_a_fixed_wait() -> None:
    """Guards against callers sent away for long on no ground."""
    wait_s = RoomPrediction().retry_after_s(
        a_request(), waiting=500, now_s=0.0, rng=random.Random(1)
    )
    assert UNKNOWN_RETRY_AFTER_S <= wait_s
    assert wait_s <= UNKNOWN_RETRY_AFTER_S * (1 + RETRY_SPREAD)
