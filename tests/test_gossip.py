"""Rows reach every VM, the newest wins, and only missing rows are sent."""

import random

from hypothesis import given, settings, strategies as st

from rosepath.gossip import (
    GossipState,
    Row,
    RowKey,
    RowKind,
    finger_neighbours,
)
from rosepath.membership import decode_member, member_version
from rosepath.tables import MemberState


def row(name: str, version: int, kind: RowKind = RowKind.MEMBER) -> Row:
    return Row(RowKey(kind, name), version, b"%d" % version)


def exchange(states: dict[str, GossipState], a: str, b: str) -> int:
    """Send the rows that b lacks from a to b; return how many were sent."""
    batch = states[a].batch_for(b, now_s=0.0)
    for item in batch.rows:
        states[b].merge(item, source=a)
    states[a].acknowledge(b, batch.sequence)
    return len(batch.rows)


@settings(deadline=None)
@given(
    st.integers(2, 24), st.integers(0, 2**31), st.lists(st.integers(1, 50), max_size=20)
)
def test_an_update_reaches_every_entry_vm_within_six_rounds(
    count: int, seed: int, versions: list[int]
) -> None:
    rng = random.Random(seed)
    names = [f"n{n:02d}" for n in range(count)]
    states = {name: GossipState() for name in names}
    for version in versions:
        states[rng.choice(names)].merge(row("x", version))
    for _ in range(6):
        for name in names:
            for other in finger_neighbours(name, names):
                exchange(states, name, other)
    stored = {state.get(RowKey(RowKind.MEMBER, "x")) for state in states.values()}
    assert stored == {row("x", max(versions)) if versions else None}


def test_a_row_is_not_sent_twice_or_back_to_its_source() -> None:
    states = {"a": GossipState(), "b": GossipState()}
    states["a"].merge(row("x", 1))
    assert exchange(states, "a", "b") == 1
    assert exchange(states, "a", "b") == 0
    assert exchange(states, "b", "a") == 0


def test_a_neighbour_that_restarted_is_sent_everything_again() -> None:
    states = {"a": GossipState(), "b": GossipState()}
    states["a"].merge(row("x", 1))
    states["a"].note_epoch("b", 1)
    exchange(states, "a", "b")
    states["b"] = GossipState()
    states["a"].note_epoch("b", 2)
    assert exchange(states, "a", "b") == 1


def test_load_rows_to_a_remote_neighbour_are_throttled_but_not_lost() -> None:
    state = GossipState()
    sent = []
    for tick in range(10):
        state.merge(row("r", tick + 1, RowKind.LOAD))
        batch = state.batch_for("far", now_s=float(tick), load_interval_s=4.0)
        state.acknowledge("far", batch.sequence)
        sent += [(tick, item.version) for item in batch.rows]
    assert sent == [(0, 1), (4, 5), (8, 9)]
    remaining = state.batch_for("far", now_s=20.0, load_interval_s=4.0)
    assert [item.version for item in remaining.rows] == [10]


@given(st.sets(st.text("abc", min_size=1, max_size=3), min_size=2))
def test_neighbour_count_is_logarithmic_and_every_member_is_monitored(
    names: set,
) -> None:
    ring = sorted(names)
    monitored = set()
    for name in ring:
        chosen = finger_neighbours(name, ring)
        assert len(chosen) <= len(ring).bit_length()
        # An entry VM monitors its first two neighbours only.
        monitored.update(chosen[:2])
    assert monitored == names


def test_dead_overrides_heartbeats_and_a_new_incarnation_overrides_dead() -> None:
    alive = member_version(5, MemberState.ALIVE, 999)
    dead = member_version(5, MemberState.DEAD, 0)
    restarted = member_version(6, MemberState.ALIVE, 0)
    assert alive < dead < restarted
    assert restarted < 2**64


@given(st.binary(max_size=100))
def test_the_member_decoder_accepts_any_bytes(data: bytes) -> None:
    decode_member("x", data)
