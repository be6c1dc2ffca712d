"""How long a peer that turns requests away asks to be left alone."""

import math

from tornado.httputil import HTTPHeaders

# A peer that asks for more gives a broken answer.
BACKOFF_MAX_S = 600.0


def read_retry_after_s(headers: HTTPHeaders) -> float:
    """Return the Retry-After of an answer in seconds, 0 if there is none."""
    try:
        given_s = float(headers.get("Retry-After", ""))
    except ValueError:
        return 0.0
    return (
        min(given_s, BACKOFF_MAX_S) if math.isfinite(given_s) and given_s > 0 else 0.0
    )
