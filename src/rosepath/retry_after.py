"""Parse the Retry-After header of peers that reject requests."""

import math

from tornado.httputil import HTTPHeaders

from rosepath.logs import get_logger

# A longer backoff is taken for a faulty response and capped.
BACKOFF_MAX_S = 600.0
MAX_LOGGED_CHARS = 64

_log = get_logger()


def read_retry_after_s(headers: HTTPHeaders) -> float:
    """Return Retry-After in seconds, 0 if absent or invalid.

    Of several values the longest holds: a shorter one would end the rest early.
    """
    return max(map(_parse_s, headers.get_list("Retry-After")), default=0.0)


def _parse_s(stated: str) -> float:
    try:
        given_s = float(stated)
    except ValueError:
        given_s = math.nan
    if math.isfinite(given_s) and given_s > 0:
        return min(given_s, BACKOFF_MAX_S)
    _log.info("retry_after_unreadable", stated=stated[:MAX_LOGGED_CHARS])
    return 0.0
