"""Roles of members, assigned by rendezvous hashing; no VM is dedicated."""

from collections.abc import Mapping

from rosepath.membership import alive
from rosepath.rendezvous import top
from rosepath.tables import EntryVm

RELAYS_PER_DATA_CENTRE = 2
LEASE_CANDIDATES = 2


def local_members(members: Mapping[str, EntryVm], data_centre: str) -> list[str]:
    """Return the live members of a data centre."""
    return [name for name in alive(members) if members[name].data_centre == data_centre]


def relays(members: Mapping[str, EntryVm], data_centre: str) -> list[str]:
    """Return the members that watch the store on behalf of a data centre."""
    local = local_members(members, data_centre)
    return top(f"relay/{data_centre}", local, RELAYS_PER_DATA_CENTRE)


def all_relays(members: Mapping[str, EntryVm]) -> list[str]:
    """Return the relays of every data centre."""
    data_centres = {row.data_centre for row in members.values()}
    return [
        name
        for data_centre in sorted(data_centres)
        for name in relays(members, data_centre)
    ]


def lease_candidates(members: Mapping[str, EntryVm], data_centre: str) -> list[str]:
    """Return the members that may acquire the placement lease.

    There are two, so that one remains if the other fails.
    """
    local = local_members(members, data_centre)
    return top(f"place/{data_centre}", local, LEASE_CANDIDATES)
