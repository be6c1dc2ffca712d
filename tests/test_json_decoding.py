"""Documents of other programs with odd values."""

import json
import math
from typing import Any

import pytest
from hypothesis import given, strategies as st

from rosepath.json_decoding import (
    MAX_DEPTH,
    MAX_INTEGER,
    DocumentError,
    decode_json,
    decode_json_leniently,
)

DEEP = 100_000
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
)


def beside(value: str) -> str:
    """Return a list of documents, one with an odd value."""
    return f'[{{"name": "a]\\"["}}, {{"odd": {value}}}, {{"name": "b"}}]'


# Guards against one odd value that makes all documents beside it unreadable.
@pytest.mark.parametrize(
    "value",
    [
        "7" * 5_000,
        "-" + "7" * 5_000,
        "[" * DEEP + "]" * DEEP,
        '{"a":' * DEEP + "1" + "}" * DEEP,
        "[" * DEEP + '"]"' + "]" * DEEP,
    ],
)
def test_an_odd_value_leaves_the_documents_beside_it_readable(value: str) -> None:
    first, _, last = decode_json_leniently(beside(value))
    assert (first, last) == ({"name": 'a]"['}, {"name": "b"})


def test_a_number_beyond_64_bits_is_no_number_beside_an_unreadable_one() -> None:
    numbers = f"[{MAX_INTEGER}, {MAX_INTEGER + 1}, {'7' * 5_000}]"
    kept, large, unreadable = decode_json_leniently(numbers)
    assert kept == MAX_INTEGER
    assert math.isnan(large) and math.isnan(unreadable)


def test_values_up_to_the_limit_of_depth_are_kept() -> None:
    text = "[" * (MAX_DEPTH - 1) + "7" + "]" * (MAX_DEPTH - 1)
    kept, _ = decode_json_leniently(f"[{text}, {'[' * DEEP}{']' * DEEP}]")
    assert json.dumps(kept) == text


@pytest.mark.parametrize("data", [b"", b"{", b"[" * DEEP, b"\xff", b"7" * 5_000])
def test_a_malformed_document_raises_one_error(data: bytes) -> None:
    with pytest.raises(DocumentError):
        decode_json(data)


@given(JSON)
def test_documents_without_odd_values_are_decoded_as_they_are(raw: Any) -> None:
    assert decode_json_leniently(json.dumps(raw)) == raw
    assert decode_json(json.dumps(raw).encode()) == raw


@given(st.text(alphabet='[]{}":,1 \\'))
def test_arbitrary_text_raises_nothing_else(text: str) -> None:
    for decode in (decode_json, decode_json_leniently):
        try:
            decode(text)
        except DocumentError:
            continue
