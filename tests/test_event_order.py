"""A caller gets each event of a stream once, in order, over all attempts."""

from itertools import pairwise

import pytest
from hypothesis import given, strategies as st

from rosepath.event_order import EventOrder, EventOrderError


def events(first: int, last: int) -> bytes:
    return b"".join(
        b"id: %d\ndata: x%d\n\n" % (number, number) for number in range(first, last + 1)
    )


@given(st.lists(st.integers(1, 60), max_size=12))
def test_events_pass_whole_however_they_are_cut(cuts: list[int]) -> None:
    data, order, passed = events(1, 5), EventOrder(), b""
    marks = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    for start, end in pairwise(marks):
        passed += order.feed(data[start:end])
    assert passed == data
    assert not order.unfinished


def test_an_attempt_that_broke_within_an_event_goes_on_without_a_trace() -> None:
    # The engine dies in the middle of event 3; the next attempt begins at 2.
    # The caller must get neither half an event nor event 2 twice.
    order = EventOrder()
    passed = order.feed(events(1, 2) + b"id: 3\nda")
    assert order.unfinished
    order.restart()
    passed += order.feed(events(2, 4))
    assert passed == events(1, 4)


def test_a_gap_ends_the_attempt() -> None:
    order = EventOrder(last_id=4)
    with pytest.raises(EventOrderError, match="5 to 6"):
        order.feed(events(6, 6))
