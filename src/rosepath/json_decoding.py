"""Decode JSON documents that other programs have written.

One odd value must neither raise an unexpected error nor make the documents beside
it unreadable.
"""

import json
import math
import re
from typing import Any

# The limits of numbers that are kept as they are: 64 bits, as in the formats to
# which they are passed on.
MAX_INTEGER = 2**63 - 1
# Of nested values. The parser fails at about a thousand levels, and so does what
# encodes the document again.
MAX_DEPTH = 64

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


class DocumentError(ValueError):
    """A document is not JSON, or has values that cannot be decoded."""


def decode_json(data: bytes | str) -> Any:
    """Decode a document; raise DocumentError."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError(str(error)) from error


def decode_json_leniently(data: bytes | str) -> Any:
    """Decode a document, without its odd values; raise DocumentError.

    A number beyond 64 bits becomes NaN, which no field accepts, what is nested too
    deeply becomes null, and bytes that are no UTF-8 are replaced.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        text = data.decode(errors="replace") if isinstance(data, bytes) else data
    try:
        return json.loads(_cut_deep_values(text), parse_int=_parse_integer)
    except (ValueError, RecursionError) as error:
        raise DocumentError(str(error)) from error


def encode_json_leniently(raw: Any) -> str:
    """Encode a value; return an empty text, which is no document, if that fails."""
    try:
        return json.dumps(raw)
    except (ValueError, RecursionError):
        return ""


def _parse_integer(digits: str) -> int | float:
    """Return an integer of 64 bits, or NaN."""
    if len(digits) > len(str(-MAX_INTEGER)):
        return math.nan
    number = int(digits)
    return number if abs(number) <= MAX_INTEGER else math.nan


def _cut_deep_values(text: str) -> str:
    """Replace each list or object below `MAX_DEPTH` levels by null."""
    kept: list[str] = []
    depth = kept_to = 0
    for token in _TOKEN.finditer(text):
        bracket = token.group()
        if bracket in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept += text[kept_to : token.start()], "null"
        elif bracket in "]}":
            if depth == MAX_DEPTH + 1:
                kept_to = token.end()
            depth -= 1
    # A value that is still open makes the document malformed.
    rest = text[kept_to:] if depth <= MAX_DEPTH else ""
    return "".join((*kept, rest))
