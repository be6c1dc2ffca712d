"""Membership: member rows, inactivity, and VMs removed by the platform."""

from collections.abc import Iterable, Mapping

from google.protobuf.message import DecodeError

from rosepath.object_store import VmState
from rosepath.proto.rosepath_pb2 import MemberPayload
from rosepath.tables import EntryVm, MemberState

_STATE_COUNT = len(MemberState)
_REVISION_BITS = 30
_INCARNATION_EPOCH_S = 1_704_067_200


def first_incarnation(wall_s: float) -> int:
    """Return an incarnation above those of earlier processes of this VM."""
    return max(1, int(wall_s) - _INCARNATION_EPOCH_S)


def member_version(incarnation: int, state: MemberState, revision: int) -> int:
    """Return a version that orders member rows by incarnation, then by state.

    A DEAD row overrides every row of that incarnation with a better state; a
    member that is alive overrides it with a new incarnation.
    """
    rank = incarnation * _STATE_COUNT + state
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
    """Decode a member row; return None if it is invalid."""
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
    """Return the members that accept work."""
    return [n for n, row in members.items() if row.state is MemberState.ALIVE]


def reachable(members: Mapping[str, EntryVm]) -> list[str]:
    """Return the members not declared dead, leaving ones included."""
    return [n for n, row in members.items() if row.state is not MemberState.DEAD]


def inactive_members(
    monitored: Iterable[str],
    last_received_s: Mapping[str, float],
    *,
    now_s: float,
    suspect_after_s: float,
) -> list[str]:
    """Return the monitored members without a frame for `suspect_after_s`.

    A lost packet is retransmitted and does not lose the heartbeat, and a
    heartbeat in either direction counts; so a loss of 20% of the packets does
    not make a member inactive.
    """
    return [
        name
        for name in monitored
        if now_s - last_received_s.get(name, now_s) > suspect_after_s
    ]


def removed_entry_vms(
    holders: Iterable[str],
    members: Mapping[str, EntryVm],
    vms: Mapping[str, VmState] | None,
    ever_listed: frozenset[str],
) -> frozenset[str]:
    """Return the holders that the platform once listed and no longer lists.

    The list lags and may lack a new VM, so only VMs in `ever_listed` count.
    A VM that is a member and not dead is not removed.
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
