"""Who is alive: heartbeats between neighbours, the VM list, direct evidence."""

from collections.abc import Iterable, Mapping

from google.protobuf.message import DecodeError

from rosepath.object_store import VmState
from rosepath.proto.rosepath_pb2 import MemberPayload
from rosepath.tables import EntryVm, MemberState

_STATES = len(MemberState)
_REVISION_BITS = 30
_FIRST_SECOND = 1_704_067_200


def first_incarnation(wall_s: float) -> int:
    """Return an incarnation above every earlier process of the same name."""
    return max(1, int(wall_s) - _FIRST_SECOND)


def member_version(incarnation: int, state: MemberState, revision: int) -> int:
    """Order member rows: a newer incarnation wins, then the worse state.

    So news of a death beats every heartbeat of that incarnation, and the
    member itself, if it lives, beats the news by a new incarnation.
    """
    rank = incarnation * _STATES + state
    return (rank << _REVISION_BITS) | (revision & ((1 << _REVISION_BITS) - 1))


def encode_member(member: EntryVm, *, peer_port: int = 0) -> bytes:
    """Encode a member for gossip."""
    return MemberPayload(
        data_centre=member.data_centre,
        address=member.address,
        peer_port=peer_port,
        incarnation=member.incarnation,
        state=int(member.state),
        configuration_version=member.configuration_version,
    ).SerializeToString()


def decode_member(name: str, payload: bytes) -> EntryVm | None:
    """Decode a member row, or None if it can't be one."""
    message = MemberPayload()
    try:
        message.ParseFromString(payload)
        state = MemberState(message.state)
    except (DecodeError, ValueError):
        return None
    if not message.address or not message.data_centre:
        return None
    return EntryVm(
        name=name,
        data_centre=message.data_centre,
        address=message.address,
        incarnation=message.incarnation,
        state=state,
        configuration_version=message.configuration_version,
    )


def alive(members: Mapping[str, EntryVm]) -> list[str]:
    """Return the members that take work."""
    return [n for n, row in members.items() if row.state is MemberState.ALIVE]


def present(members: Mapping[str, EntryVm]) -> list[str]:
    """Return the members that still answer, leaving ones included."""
    return [n for n, row in members.items() if row.state is not MemberState.DEAD]


def silent_members(
    watched: Iterable[str],
    heard_at_s: Mapping[str, float],
    *,
    now_s: float,
    suspect_after_s: float,
) -> list[str]:
    """Return the watched members not heard from for too long.

    A lost packet costs a retransmission, not a heartbeat, and a heartbeat
    in either direction counts; so a fifth of packets lost is not a death.
    """
    return [
        name
        for name in watched
        if now_s - heard_at_s.get(name, now_s) > suspect_after_s
    ]


def gone_entry_vms(
    holders: Iterable[str],
    members: Mapping[str, EntryVm],
    vms: Mapping[str, VmState] | None,
    ever_listed: frozenset[str],
) -> frozenset[str]:
    """Return those that the platform no longer lists though it once did.

    The list lags: a newborn VM may be missing from it, hence `ever_listed`.
    """
    if vms is None:
        return frozenset()
    return frozenset(
        name
        for name in holders
        if name not in vms
        and name in ever_listed
        and (name not in members or members[name].state is MemberState.DEAD)
    )
