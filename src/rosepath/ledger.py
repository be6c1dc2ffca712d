"""What a backend server's memory is promised to, kept in the store.

Memory is reserved here before an order is sent and released only when no
order can fill it any more. A reservation is a promise, not a fact: what is
not known to be unloaded counts as resident.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from expression import Error, Ok, Result

from rosepath.tables import MoveAction


@dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """Hold memory for one target on one backend server."""

    memory_bytes: int
    order_id: str
    action: MoveAction
    ordered_at_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Ledger:
    """Hold a backend server's reservations and its fencing number."""

    fence: int = 0
    holder: str = ""
    reservations: Mapping[str, Reservation] = field(default_factory=dict)

    @property
    def reserved_bytes(self) -> int:
        return sum(row.memory_bytes for row in self.reservations.values())


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """Hold what an engine says of itself."""

    memory_bytes: int
    resident: Mapping[str, int]
    loading: Mapping[str, int]
    fence: int
    orders: Mapping[str, str]
    leaving: bool = False

    @property
    def held(self) -> Mapping[str, int]:
        """Return everything that takes memory."""
        return {**self.loading, **self.resident}


def promised_bytes(ledger: Ledger, report: EngineReport | None) -> int:
    """Return the memory that may be in use: what is promised or reported."""
    held = dict(report.held) if report else {}
    total = 0
    for target in {*ledger.reservations, *held}:
        reserved = ledger.reservations.get(target)
        total += max(reserved.memory_bytes if reserved else 0, int(held.get(target, 0)))
    return total


def claim(ledger: Ledger, report: EngineReport, *, holder: str) -> Ledger:
    """Return the ledger as taken over, with a fencing number above all seen."""
    fence = max(ledger.fence, report.fence) + 1
    return replace(ledger, fence=fence, holder=holder)


def reserve(
    ledger: Ledger,
    report: EngineReport,
    *,
    target: str,
    memory_bytes: int,
    order_id: str,
    at_s: float,
) -> Result[Ledger, str]:
    """Reserve memory for a load, or say how much is missing."""
    if target in ledger.reservations:
        return Error(f"{target} is reserved already")
    short = promised_bytes(ledger, report) + memory_bytes - report.memory_bytes
    if target in report.held:
        short -= int(report.held[target])
    if short > 0:
        return Error(f"{target}: {short} bytes short")
    row = Reservation(
        memory_bytes=memory_bytes,
        order_id=order_id,
        action=MoveAction.LOAD,
        ordered_at_s=at_s,
    )
    return Ok(replace(ledger, reservations={**ledger.reservations, target: row}))


def adopt(ledger: Ledger, report: EngineReport, *, at_s: float) -> Ledger:
    """Add reservations for what the engine holds and the ledger lacks."""
    missing = {
        target: Reservation(
            memory_bytes=int(size),
            order_id="",
            action=MoveAction.LOAD,
            ordered_at_s=at_s,
        )
        for target, size in report.held.items()
        if target not in ledger.reservations
    }
    if not missing:
        return ledger
    return replace(ledger, reservations={**ledger.reservations, **missing})


def mark_unloading(
    ledger: Ledger, *, target: str, order_id: str, at_s: float
) -> Ledger:
    """Note that an unload is about to be ordered; the memory stays promised."""
    row = ledger.reservations[target]
    marked = replace(
        row, action=MoveAction.UNLOAD, order_id=order_id, ordered_at_s=at_s
    )
    return replace(ledger, reservations={**ledger.reservations, target: marked})


def releasable(
    ledger: Ledger,
    report: EngineReport,
    *,
    fences: bool,
    now_s: float,
    late_order_bound_s: float,
) -> frozenset[str]:
    """Return the targets whose memory can no longer be filled.

    An engine that checks fencing numbers and has seen this ledger's refuses
    every older order; for this number's own orders its word is needed. For
    an engine that checks nothing, an order that got no word may still land
    until the longest time that the network can hold it has passed.
    """
    free = set()
    for target, row in ledger.reservations.items():
        if target in report.held:
            continue
        state = report.orders.get(row.order_id, "")
        if state in ("done", "failed"):
            free.add(target)
        elif fences and report.fence >= ledger.fence > _fence_of(row.order_id):
            free.add(target)
        elif not fences and now_s - row.ordered_at_s > late_order_bound_s:
            free.add(target)
    return frozenset(free)


def release(ledger: Ledger, targets: frozenset[str]) -> Ledger:
    """Return the ledger without some reservations."""
    kept = {t: row for t, row in ledger.reservations.items() if t not in targets}
    return replace(ledger, reservations=kept)


def order_id(*, fence: int, number: int, target: str) -> str:
    """Name an order; the fencing number that it was given under leads."""
    return f"{fence}.{number}.{target}"


def _fence_of(identity: str) -> int:
    head = identity.partition(".")[0]
    return int(head) if head.isdigit() else 0


def encode_ledger(ledger: Ledger) -> bytes:
    """Encode a ledger for the store."""
    return json.dumps(
        {
            "fence": ledger.fence,
            "holder": ledger.holder,
            "reservations": {
                target: [row.memory_bytes, row.order_id, row.action, row.ordered_at_s]
                for target, row in ledger.reservations.items()
            },
        },
        separators=(",", ":"),
    ).encode()


def decode_ledger(data: bytes) -> Result[Ledger, str]:
    """Decode a ledger from the store."""
    try:
        raw = json.loads(data)
        reservations = {
            str(target): Reservation(
                memory_bytes=int(size),
                order_id=str(identity),
                action=MoveAction(action),
                ordered_at_s=float(at_s),
            )
            for target, (size, identity, action, at_s) in raw["reservations"].items()
        }
        return Ok(
            Ledger(
                fence=int(raw["fence"]),
                holder=str(raw["holder"]),
                reservations=reservations,
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Error(f"ledger cannot be read: {error}")
