"""Which members take which part: chosen by hashing, none set aside."""

from collections.abc import Mapping

from rosepath.membership import alive
from rosepath.rendezvous import top
from rosepath.tables import EntryVm

RELAYS = 2
LEASE_CANDIDATES = 2


def local_members(members: Mapping[str, EntryVm], data_centre: str) -> list[str]:
    """Return the live members of a data centre."""
    return [name for name in alive(members) if members[name].data_centre == data_centre]


def relays(members: Mapping[str, EntryVm], data_centre: str) -> list[str]:
    """Return the members that watch the store for a data centre."""
    local = local_members(members, data_centre)
    return top(f"relay/{data_centre}", local, RELAYS)


def all_relays(members: Mapping[str, EntryVm]) -> list[str]:
    """Return the relays of every data centre."""
    homes = {row.data_centre for row in members.values()}
    return [name for home in sorted(homes) for name in relays(members, home)]


def lease_candidates(members: Mapping[str, EntryVm], data_centre: str) -> list[str]:
    """Return who tries for the placement lease: two, so one death leaves one."""
    local = local_members(members, data_centre)
    return top(f"place/{data_centre}", local, LEASE_CANDIDATES)
