"""The caller receives each token of its own request exactly once."""

import pytest
from builders import end_events, token_event
from hypothesis import given, strategies as st

from rosepath.streams import DropReason, StreamBrokenError, StreamChecker

WHOLE = b"".join(token_event("r", n, n + 1, f"t{n}") for n in range(5))
CLOSING = end_events("r", 5)


@given(st.lists(st.integers(1, 60), max_size=30))
def test_chunk_boundaries_do_not_change_the_forwarded_bytes(cuts: list[int]) -> None:
    checker = StreamChecker("r")
    data, passed = WHOLE + CLOSING, b""
    for size in [*cuts, len(data)]:
        passed += checker.feed(data[:size])
        data = data[size:]
    assert passed == WHOLE + CLOSING
    assert checker.complete


def test_an_event_of_another_request_is_dropped_and_counted() -> None:
    checker = StreamChecker("r")
    mixed = token_event("r", 0, 1) + token_event("other", 1, 2) + token_event("r", 1, 2)
    assert checker.feed(mixed) == token_event("r", 0, 1) + token_event("r", 1, 2)
    assert checker.dropped == {DropReason.OTHER_REQUEST: 1}


def test_a_duplicate_event_is_dropped() -> None:
    checker = StreamChecker("r")
    assert checker.feed(token_event("r", 0, 1) * 2) == token_event("r", 0, 1)
    assert checker.dropped == {DropReason.DUPLICATE: 1}


def test_a_missing_event_breaks_the_stream() -> None:
    checker = StreamChecker("r")
    with pytest.raises(StreamBrokenError):
        checker.feed(token_event("r", 0, 1) + token_event("r", 2, 3))
    assert checker.offset == 1


def test_an_end_before_the_last_token_breaks_the_stream() -> None:
    checker = StreamChecker("r")
    with pytest.raises(StreamBrokenError):
        checker.feed(token_event("r", 0, 1) + end_events("r", 2))


def test_incomplete_end_events_are_not_forwarded() -> None:
    # The engine fails while it sends its end events. The resumed attempt sends
    # them again, and the caller must receive them once.
    checker = StreamChecker("r")
    checker.feed(WHOLE)
    assert checker.feed(CLOSING[:-4]) == b""
    checker.discard_partial_event()
    assert checker.feed(CLOSING) == CLOSING


@given(st.binary(max_size=300))
def test_arbitrary_bytes_forward_only_events_of_the_request(data: bytes) -> None:
    checker = StreamChecker("r")
    try:
        passed = checker.feed(data)
    except StreamBrokenError:
        return
    assert passed == b"" or passed.startswith(b"id: r/")
