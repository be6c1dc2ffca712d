"""Parse numbers in headers of callers and backend servers."""

import math
from collections.abc import Iterable


def parse_int(raw: str | None) -> int | None:
    """Return a non-negative integer; None if absent or invalid."""
    return int(raw) if raw is not None and raw.strip().isdigit() else None


def parse_ms(raw: str | None) -> float | None:
    """Return milliseconds in seconds; None if absent or invalid."""
    milliseconds = parse_int(raw)
    return None if milliseconds is None else milliseconds / 1000


def lowest_rate(values: Iterable[str]) -> float | None:
    """Return the lowest of the valid rates, None if there is none."""
    rates: list[float] = []
    for raw in values:
        try:
            rate = float(raw)
        except ValueError:
            continue
        if math.isfinite(rate) and rate >= 0:
            rates.append(rate)
    return min(rates, default=None)
