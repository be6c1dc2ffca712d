"""Callers receive each event of a stream once and in order across attempts."""

from itertools import pairwise

import pytest
from hypothesis import given, strategies as st

from rosepath.event_sequence import EventSequence, EventSequenceError


def events(first: int, last: int) -> bytes:
    return b"".join(
        b"id: %d\ndata: x%d\n\n" % (number, number) for number in range(first, last + 1)
    )


@given(st.lists(st.integers(1, 60), max_size=12))
def test_events_are_complete_however_the_data_is_split(cuts: list[int]) -> None:
    data, sequence, passed = events(1, 5), EventSequence(), b""
    marks = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    for start, end in pairwise(marks):
        passed += sequence.feed(data[start:end])
    assert passed == data
    assert not sequence.has_partial_event


def test_a_resumed_attempt_repeats_no_event_and_drops_the_partial_one() -> None:
    # The engine dies within event 3 and the next attempt starts at event 2.
    # The caller must receive neither a partial event nor event 2 twice.
    sequence = EventSequence()
    passed = sequence.feed(events(1, 2) + b"id: 3\nda")
    assert sequence.has_partial_event
    sequence.discard_partial_event()
    passed += sequence.feed(events(2, 4))
    assert passed == events(1, 4)


def test_a_gap_ends_the_attempt() -> None:
    sequence = EventSequence(last_id=4)
    with pytest.raises(EventSequenceError, match="5 to 6"):
        sequence.feed(events(6, 6))


# Guards against going on after events that were taken and not passed on.
def test_rejected_events_are_asked_for_again() -> None:
    sequence = EventSequence()
    sequence.feed(b"id: 1\n\nid: 2\n\n")
    sequence.feed(b"id: 3\n\nid: 4\n\nid")
    sequence.reject_latest()
    assert (sequence.last_id, sequence.event_count) == (2, 2)
    assert not sequence.has_partial_event
    assert sequence.feed(b"id: 3\n\n") == b"id: 3\n\n"
