"""Divide declared limits over entry VMs so that the sum never exceeds them.

The store keeps one ledger of share units. A unit has one holder or none; a
limit of C allows a holder, for each of its units u, the slots between
floor(C*u/UNITS) and floor(C*(u+1)/UNITS). Over all units that is exactly C,
whoever holds them. A unit changes hands only by being given up first, by its
holder or, once the platform says that VM is gone, on its behalf; so a
partition can freeze units but never double them.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

UNITS = 840
FREE = ""
POOR = 2.0


@dataclass(frozen=True, slots=True)
class ShareLedger:
    """Name the holder of each unit."""

    holders: tuple[str, ...] = (FREE,) * UNITS

    def units_of(self, name: str) -> frozenset[int]:
        """Return the units that a node holds."""
        return frozenset(u for u, holder in enumerate(self.holders) if holder == name)

    def counts(self) -> Mapping[str, int]:
        """Return how many units each holder has."""
        counts: dict[str, int] = {}
        for holder in self.holders:
            counts[holder] = counts.get(holder, 0) + 1
        return counts


def allowance(limit: int, units: Iterable[int]) -> int:
    """Return the slots of a limit that some units carry."""
    return sum(limit * (u + 1) // UNITS - limit * u // UNITS for u in units)


def fair_units(live: int) -> int:
    """Return the units that each of some nodes can have."""
    return max(1, UNITS // max(1, live))


def units_to_give_up(
    ledger: ShareLedger, *, me: str, live: frozenset[str]
) -> frozenset[int]:
    """Return the own units beyond the fair share while another node is poor.

    They are picked evenly, so that small limits, whose slots sit on few
    units, are spread over the nodes as well. Small differences are left
    alone, or a join in a large fleet would make every node write.
    """
    counts = ledger.counts()
    mine = sorted(ledger.units_of(me))
    fair = fair_units(len(live))
    poor = any(counts.get(name, 0) < fair / POOR for name in live)
    enough_free = counts.get(FREE, 0) >= fair
    if not poor or enough_free or len(mine) <= fair:
        return frozenset()
    return spread(mine, len(mine) - fair)


def units_to_take(
    ledger: ShareLedger, *, me: str, live: frozenset[str], gone: frozenset[str]
) -> frozenset[int]:
    """Return free units, and those of gone VMs, up to the fair share.

    What is left once nobody is poor goes to whoever comes first.
    """
    fair = fair_units(len(live))
    counts = ledger.counts()
    free = [
        u for u, holder in enumerate(ledger.holders) if holder == FREE or holder in gone
    ]
    wanted = fair - counts.get(me, 0)
    if wanted <= 0 and all(counts.get(name, 0) >= fair for name in live):
        wanted = 1
    return spread(free, wanted) if wanted > 0 and free else frozenset()


def spread(units: list[int], count: int) -> frozenset[int]:
    """Pick some units evenly, or all if there are no more than that."""
    if count >= len(units):
        return frozenset(units)
    return frozenset(units[n * len(units) // count] for n in range(count))


def with_holder(ledger: ShareLedger, units: frozenset[int], name: str) -> ShareLedger:
    """Return the ledger after some units changed hands."""
    return ShareLedger(
        tuple(name if u in units else holder for u, holder in enumerate(ledger.holders))
    )


def encode_ledger(ledger: ShareLedger) -> bytes:
    """Encode a ledger as runs of holders."""
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
