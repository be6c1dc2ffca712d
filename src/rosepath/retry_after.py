"""Parse the Retry-After header of peers that reject requests."""

import math
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

from tornado.httputil import HTTPHeaders

from rosepath.header_values import list_items, parse_decimal
from rosepath.logs import get_logger

# By which a server rejects requests for a while.
REJECTION_STATUSES = (429, 503)
# A longer backoff is taken for a faulty response and capped.
BACKOFF_MAX_S = 600.0
# Of a peer that asks to be left alone for a time that can't be read.
UNREADABLE_BACKOFF_S = 1.0
MAX_LOGGED_CHARS = 64

_log = get_logger()


def read_retry_after_s(headers: HTTPHeaders) -> float:
    """Return Retry-After in seconds, 0 if absent.

    Of several values the longest holds: a shorter one would end the rest early.
    A date counts from that of the response, if it has one: clocks may differ.
    """
    answered = _parse_date(headers.get("Date", "")) or datetime.now(UTC)
    return max(
        (_parse_s(stated, answered) for stated in headers.get_list("Retry-After")),
        default=0.0,
    )


def _parse_s(stated: str, answered: datetime) -> float:
    until = _parse_date(stated)
    if until is not None:
        return _bounded_s((until - answered).total_seconds())
    return max(map(_parse_delay_s, list_items([stated])), default=0.0)


def _parse_delay_s(stated: str) -> float:
    delay_s = parse_decimal(stated)
    if delay_s is None or delay_s == math.inf:
        _log.info("retry_after_unreadable", stated=stated[:MAX_LOGGED_CHARS])
        return UNREADABLE_BACKOFF_S
    return _bounded_s(delay_s)


def _bounded_s(delay_s: float) -> float:
    return max(0.0, min(delay_s, BACKOFF_MAX_S))


def _parse_date(stated: str) -> datetime | None:
    """Return an HTTP date, which is always in UTC; None if it is none."""
    try:
        return parsedate_to_datetime(stated).replace(tzinfo=UTC)
    except (ValueError, OverflowError):
        return None
