"""Parse the Retry-After header of peers that reject requests."""

import math

from tornado.httputil import HTTPHeaders

# A longer backoff is taken for a faulty response and capped.
BACKOFF_MAX_S = 600.0


def read_retry_after_s(headers: HTTPHeaders) -> float:
    """Return Retry-After in seconds, 0 if absent or invalid."""
    try:
        given_s = float(headers.get("Retry-After", ""))
    except ValueError:
        return 0.0
    return (
        min(given_s, BACKOFF_MAX_S) if math.isfinite(given_s) and given_s > 0 else 0.0
    )
