"""Headers of callers and backend servers, and the numbers in them."""

import math
from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

# Headers that concern one connection only and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    )
)


# Far beyond any number of tokens, events or milliseconds.
MAX_COUNT = 10**15


def agreed_value(headers: HTTPHeaders, name: str) -> str | None:
    """Return the value of a header that may come twice; None if values differ."""
    values = set(headers.get_list(name))
    return values.pop() if len(values) == 1 else None


def host_name(headers: HTTPHeaders) -> str:
    """Return the host that a request is for, without its port."""
    return headers.get("Host", "").partition(":")[0].lower()


def parse_int(raw: str | None) -> int | None:
    """Return an integer from 0 to `MAX_COUNT`; None if absent or invalid."""
    digits = (raw or "").strip()
    if not (digits.isascii() and digits.isdigit()):
        return None
    digits = digits.lstrip("0") or "0"
    if len(digits) > len(str(MAX_COUNT)):
        return None
    count = int(digits)
    return count if count <= MAX_COUNT else None


def parse_count(raw: str) -> int:
    """Return a number from 0 to `MAX_COUNT`, rounded up; raise ValueError."""
    count = parse_decimal(raw)
    if count is None or not 0 <= count <= MAX_COUNT:
        raise ValueError(f"no count: {raw[:40]!r}")
    return math.ceil(count)


def list_items(values: Iterable[str]) -> list[str]:
    """Return the items of lists in a header, without their parameters."""
    items = (item for raw in values for item in raw.split(","))
    stripped = (item.partition(";")[0].strip() for item in items)
    return [item for item in stripped if item]


def lowest_limit_s(values: Iterable[str]) -> float | None:
    """Return the lowest of several limits in milliseconds, in seconds.

    0 if the lowest is below 0, None if there is none. Raises ValueError if no limit
    that is stated can be read.
    """
    items = list_items(values)
    stated_ms = [ms for ms in map(parse_decimal, items) if ms is not None]
    if items and not stated_ms:
        raise ValueError(f"no time in milliseconds: {', '.join(items)[:40]!r}")
    lowest_ms = min(stated_ms, default=math.inf)
    return None if lowest_ms == math.inf else max(0.0, lowest_ms / 1000)


def parse_number(raw: str) -> float | None:
    """Return a finite number of 0 or more; None if invalid."""
    number = parse_decimal(raw)
    return number if number is not None and 0 <= number < math.inf else None


def parse_decimal(raw: str) -> float | None:
    """Return a number, which may be infinite; None if invalid."""
    # Python allows underscores and the digits of all scripts.
    if "_" in raw or not raw.isascii():
        return None
    try:
        number = float(raw)
    except ValueError:
        return None
    return None if math.isnan(number) else number


def states_one(values: Iterable[str]) -> bool:
    """Return whether an item of a list is 1, which states that something is so."""
    return 1.0 in map(parse_decimal, list_items(values))


def lowest_rate(values: Iterable[str]) -> float | None:
    """Return the lowest of the valid rates, None if there is none."""
    rates = map(parse_number, list_items(values))
    return min((rate for rate in rates if rate is not None), default=None)


def sum_counts(raw: str) -> int | None:
    """Return the sum of a list of counts; None unless all are stated."""
    try:
        counts = [parse_count(item) for item in list_items([raw])]
    except ValueError:
        return None
    return sum(counts) if counts else None
