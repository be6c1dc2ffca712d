"""Parse the Retry-After header of peers that reject requests."""

import math
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

from tornado.httputil import HTTPHeaders

from rosepath.logs import get_logger

# By which a server rejects requests for a while.
REJECTION_STATUSES = (429, 503)
# A longer backoff is taken for a faulty response and capped.
BACKOFF_MAX_S = 600.0
MAX_LOGGED_CHARS = 64

_log = get_logger()


def read_retry_after_s(headers: HTTPHeaders) -> float:
    """Return Retry-After in seconds, 0 if absent or invalid.

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
    if until is None:
        given_s = _parse_number(stated)
    else:
        given_s = (until - answered).total_seconds()
    if math.isfinite(given_s) and given_s > 0:
        return min(given_s, BACKOFF_MAX_S)
    _log.info("retry_after_unreadable", stated=stated[:MAX_LOGGED_CHARS])
    return 0.0


def _parse_number(stated: str) -> float:
    try:
        return float(stated)
    except ValueError:
        return math.nan


def _parse_date(stated: str) -> datetime | None:
    """Return an HTTP date, which is always in UTC; None if it is none."""
    try:
        return parsedate_to_datetime(stated).replace(tzinfo=UTC)
    except (ValueError, OverflowError):
        return None
