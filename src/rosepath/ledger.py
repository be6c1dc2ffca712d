"""Reservations of a backend server's memory, kept in the store.

Memory is reserved before an order is sent and released only once no order
can use it any more. A target that is not known to be unloaded counts as
resident.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from expression import Error, Ok, Result

from rosepath.tables import MoveAction


@dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """Reserve memory for one target on one backend server."""

    memory_bytes: int
    order_id: str
    action: MoveAction
    ordered_at_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Ledger:
    """Hold a backend server's reservations and its current fencing token."""

    fence: int = 0
    holder: str = ""
    reservations: Mapping[str, Reservation] = field(default_factory=dict)

    @property
    def reserved_bytes(self) -> int:
        return sum(
            reservation.memory_bytes for reservation in self.reservations.values()
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """Hold the memory, orders and fencing token that an engine reports.

    `resident` and `loading` map targets to bytes, `orders` maps order ids to
    states.
    """

    memory_bytes: int
    resident: Mapping[str, int]
    loading: Mapping[str, int]
    fence: int
    orders: Mapping[str, str]
    leaving: bool = False

    @property
    def memory_by_target(self) -> Mapping[str, int]:
        """Return the bytes of every loading or resident target."""
        return {**self.loading, **self.resident}


def committed_bytes(ledger: Ledger, report: EngineReport | None) -> int:
    """Return the bytes that may be in use, whether reserved or reported."""
    reported = dict(report.memory_by_target) if report else {}
    total = 0
    for target in {*ledger.reservations, *reported}:
        reserved = ledger.reservations.get(target)
        total += max(
            reserved.memory_bytes if reserved else 0, int(reported.get(target, 0))
        )
    return total


def claim(ledger: Ledger, report: EngineReport, *, holder: str) -> Ledger:
    """Take a ledger over under a fencing token higher than any before."""
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
    """Reserve memory for a load; an error if it does not fit."""
    if target in ledger.reservations:
        return Error(f"{target} already has a reservation")
    missing_bytes = committed_bytes(ledger, report) + memory_bytes - report.memory_bytes
    if target in report.memory_by_target:
        missing_bytes -= int(report.memory_by_target[target])
    if missing_bytes > 0:
        return Error(f"{target} needs {missing_bytes} more bytes of free memory")
    reservation = Reservation(
        memory_bytes=memory_bytes,
        order_id=order_id,
        action=MoveAction.LOAD,
        ordered_at_s=at_s,
    )
    return Ok(
        replace(ledger, reservations={**ledger.reservations, target: reservation})
    )


def adopt(ledger: Ledger, report: EngineReport, *, at_s: float) -> Ledger:
    """Add reservations for reported targets that the ledger lacks."""
    missing = {
        target: Reservation(
            memory_bytes=int(size),
            order_id="",
            action=MoveAction.LOAD,
            ordered_at_s=at_s,
        )
        for target, size in report.memory_by_target.items()
        if target not in ledger.reservations
    }
    if not missing:
        return ledger
    return replace(ledger, reservations={**ledger.reservations, **missing})


def mark_unloading(
    ledger: Ledger, *, target: str, order_id: str, at_s: float
) -> Ledger:
    """Mark a target for unloading; its memory stays reserved."""
    reservation = ledger.reservations[target]
    marked = replace(
        reservation, action=MoveAction.UNLOAD, order_id=order_id, ordered_at_s=at_s
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
    """Return the targets whose memory no pending order can use any more.

    An engine that checks fencing tokens and has this ledger's token rejects
    orders with older ones; orders with the current token must be reported as
    ended. An engine that does not check tokens may still execute an order
    without a reported state until `late_order_bound_s`, the longest delay of
    the network, has passed.
    """
    ended = set()
    for target, reservation in ledger.reservations.items():
        if target in report.memory_by_target:
            continue
        state = report.orders.get(reservation.order_id, "")
        if state in ("done", "failed"):
            ended.add(target)
        elif fences and report.fence >= ledger.fence > _fence_of(reservation.order_id):
            ended.add(target)
        elif not fences and now_s - reservation.ordered_at_s > late_order_bound_s:
            ended.add(target)
    return frozenset(ended)


def release(ledger: Ledger, targets: frozenset[str]) -> Ledger:
    """Return the ledger without the reservations of some targets."""
    kept = {
        t: reservation
        for t, reservation in ledger.reservations.items()
        if t not in targets
    }
    return replace(ledger, reservations=kept)


def format_order_id(*, fence: int, number: int, target: str) -> str:
    """Return an order id that begins with the order's fencing token."""
    return f"{fence}.{number}.{target}"


def _fence_of(order_id: str) -> int:
    head = order_id.partition(".")[0]
    return int(head) if head.isdigit() else 0


def encode_ledger(ledger: Ledger) -> bytes:
    """Encode a ledger for the store."""
    return json.dumps(
        {
            "fence": ledger.fence,
            "holder": ledger.holder,
            "reservations": {
                target: [
                    reservation.memory_bytes,
                    reservation.order_id,
                    reservation.action,
                    reservation.ordered_at_s,
                ]
                for target, reservation in ledger.reservations.items()
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
                order_id=str(order_id),
                action=MoveAction(action),
                ordered_at_s=float(at_s),
            )
            for target, (size, order_id, action, at_s) in raw["reservations"].items()
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
