"""Track the use of this VM's share of the declared limits."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rosepath.declarations import Limit, matches
from rosepath.shares import UNITS, allowance
from rosepath.token_bucket import TokenBucket

RATE_WINDOW_S = 1.0


@dataclass(slots=True)
class LimitRow:
    """Hold the use of one limit on this entry VM.

    `own_requests` are the requests in the VM's own slots, `lent` maps requests
    to the borrowers of this VM's slots and `borrowed` maps them to the lenders.
    """

    name: str
    limit: Limit
    units: int = 0
    slots: int = 0
    own_requests: set[str] = field(default_factory=set)
    lent: dict[str, str] = field(default_factory=dict)
    borrowed: dict[str, str] = field(default_factory=dict)
    bucket: TokenBucket | None = None

    @property
    def in_use(self) -> int:
        return len(self.own_requests) + len(self.lent)

    @property
    def full(self) -> bool:
        return self.limit.concurrency is not None and self.in_use >= self.slots


def apply_limits(
    rows: dict[str, LimitRow], declared: Mapping[str, Limit], units: frozenset[int]
) -> None:
    """Update the rows to the declared limits and the share units held."""
    for name in rows.keys() - declared.keys():
        del rows[name]
    for name, limit in declared.items():
        row = rows.get(name)
        if row is None or row.limit != limit:
            old = row
            row = LimitRow(name, limit)
            if old is not None:
                row.own_requests, row.lent, row.borrowed = (
                    old.own_requests,
                    old.lent,
                    old.borrowed,
                )
            rows[name] = row
        row.units = len(units)
        if limit.concurrency is not None:
            row.slots = allowance(limit.concurrency, units)
        if limit.rate_per_s is not None:
            rate_per_s = limit.rate_per_s * len(units) / UNITS
            _set_rate(row, rate_per_s)


def _set_rate(row: LimitRow, rate_per_s: float) -> None:
    if rate_per_s <= 0:
        row.bucket = None
    elif row.bucket is None:
        burst = max(1.0, rate_per_s * RATE_WINDOW_S)
        row.bucket = TokenBucket(rate_per_s=rate_per_s, burst=burst, level=0.0)
    else:
        row.bucket.rate_per_s = rate_per_s
        row.bucket.burst = max(1.0, rate_per_s * RATE_WINDOW_S)


def matching_limits(
    rows: Iterable[LimitRow], caller: str, target: str
) -> list[LimitRow]:
    """Return the limits that apply to a request."""
    return [
        row
        for row in rows
        if matches(caller, row.limit.callers) and matches(target, row.limit.targets)
    ]


@dataclass(frozen=True, slots=True, kw_only=True)
class RateRefusal:
    """Name the limit whose rate is exhausted and when to retry."""

    limit: str
    retry_after_s: float


def take_rate_tokens(rows: Iterable[LimitRow], *, now_s: float) -> RateRefusal | None:
    """Take one token of each rate limit, or return the limit that has none."""
    for row in rows:
        if row.limit.rate_per_s is None:
            continue
        if row.bucket is None:
            return RateRefusal(limit=row.name, retry_after_s=1.0)
        wait_s = row.bucket.take(now_s)
        if wait_s > 0:
            return RateRefusal(limit=row.name, retry_after_s=wait_s)
    return None


def lend(row: LimitRow, *, borrower: str, request_id: str) -> bool:
    """Lend a slot to another entry VM if one is free on this VM."""
    if request_id in row.lent:
        return True
    if row.full or row.limit.concurrency is None:
        return False
    row.lent[request_id] = borrower
    return True


def reclaim_lent(row: LimitRow, removed: frozenset[str]) -> None:
    """Reclaim slots lent to entry VMs that the platform has removed.

    Inactivity is not enough: a partitioned borrower may still be running the
    request, and lending its slot again would exceed the limit.
    """
    for request_id, borrower in list(row.lent.items()):
        if borrower in removed:
            del row.lent[request_id]
