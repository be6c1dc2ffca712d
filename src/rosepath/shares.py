"""Divide declared limits over entry VMs so that the sum never exceeds them.

The store keeps one ledger of share units. A unit has one holder or none; a
limit of C allows a holder, for each of its units u, the slots between
floor(C*u/UNITS) and floor(C*(u+1)/UNITS). Over all units that is exactly C,
whoever holds them. A unit gets a new holder only after its holder has released
it, or after the platform has removed the holder's VM; so a partition can make
units unavailable, but no unit ever counts twice.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

UNITS = 840
UNASSIGNED = ""
UNDERSERVED_DIVISOR = 2.0


@dataclass(frozen=True, slots=True)
class ShareLedger:
    """Record the holder of each unit, as stored."""

    holders: tuple[str, ...] = (UNASSIGNED,) * UNITS

    def units_of(self, name: str) -> frozenset[int]:
        """Return the units held by a VM."""
        return frozenset(u for u, holder in enumerate(self.holders) if holder == name)

    def counts(self) -> Mapping[str, int]:
        """Return the number of units of each holder."""
        counts: dict[str, int] = {}
        for holder in self.holders:
            counts[holder] = counts.get(holder, 0) + 1
        return counts


def allowance(limit: int, units: Iterable[int]) -> int:
    """Return the slots of a limit that the units allow."""
    return sum(limit * (u + 1) // UNITS - limit * u // UNITS for u in units)


def fair_units(live: int) -> int:
    """Return the fair share of units among a number of live VMs."""
    return max(1, UNITS // max(1, live))


def units_to_release(
    ledger: ShareLedger, *, me: str, live: frozenset[str]
) -> frozenset[int]:
    """Return the own units beyond the fair share while a VM is underserved.

    A VM is underserved if it holds less than half the fair share. Smaller
    differences are tolerated, as otherwise a join in a large fleet would make
    every VM write. Units are picked evenly, so that the slots of small
    limits, which belong to few units, are spread over the VMs as well.
    """
    counts = ledger.counts()
    own_units = sorted(ledger.units_of(me))
    fair_share = fair_units(len(live))
    any_underserved = any(
        counts.get(name, 0) < fair_share / UNDERSERVED_DIVISOR for name in live
    )
    enough_unassigned = counts.get(UNASSIGNED, 0) >= fair_share
    if not any_underserved or enough_unassigned or len(own_units) <= fair_share:
        return frozenset()
    return pick_evenly(own_units, len(own_units) - fair_share)


def units_to_acquire(
    ledger: ShareLedger, *, me: str, live: frozenset[str], removed: frozenset[str]
) -> frozenset[int]:
    """Return unassigned units and those of removed VMs, up to the fair share.

    Once every live VM has its fair share, remaining units are acquired one
    at a time by whichever VM writes first.
    """
    fair_share = fair_units(len(live))
    counts = ledger.counts()
    available = [
        u
        for u, holder in enumerate(ledger.holders)
        if holder == UNASSIGNED or holder in removed
    ]
    wanted = fair_share - counts.get(me, 0)
    if wanted <= 0 and all(counts.get(name, 0) >= fair_share for name in live):
        wanted = 1
    return pick_evenly(available, wanted) if wanted > 0 and available else frozenset()


def pick_evenly(units: list[int], count: int) -> frozenset[int]:
    """Return `count` evenly spaced units, or all if there are no more."""
    if count >= len(units):
        return frozenset(units)
    return frozenset(units[n * len(units) // count] for n in range(count))


def with_holder(ledger: ShareLedger, units: frozenset[int], name: str) -> ShareLedger:
    """Return a ledger with another holder for some units."""
    return ShareLedger(
        tuple(name if u in units else holder for u, holder in enumerate(ledger.holders))
    )


def encode_ledger(ledger: ShareLedger) -> bytes:
    """Encode a ledger for the store, run-length encoded."""
    runs: list[list[str | int]] = []
    for holder in ledger.holders:
        if runs and runs[-1][0] == holder:
            runs[-1][1] = int(runs[-1][1]) + 1
        else:
            runs.append([holder, 1])
    return json.dumps(runs, separators=(",", ":")).encode()


def decode_ledger(data: bytes) -> Result[ShareLedger, str]:
    """Decode a ledger from the store."""
    try:
        holders: list[str] = []
        for holder, count in json.loads(data):
            holders += [str(holder)] * int(count)
    except (ValueError, TypeError) as error:
        return Error(f"share ledger cannot be read: {error}")
    if len(holders) != UNITS:
        return Error(f"share ledger has {len(holders)} units, not {UNITS}")
    return Ok(ShareLedger(tuple(holders)))
