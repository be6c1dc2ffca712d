"""Whom a VM tells its state, among few VMs and in a crowd."""

import random

from entry_builders import a_peer_state

from rosepath.clock import ManualClock
from rosepath.peer_table import FEW_VMS, SAMPLED_VMS, PeerTable

CROWD = 3 * FEW_VMS


def a_table(count: int) -> PeerTable:
    table = PeerTable("me", clock=ManualClock())
    for number in range(count):
        table.learn(f"vm-{number}", f"127.0.0.1:{number + 1}")
    return table


def told(table: PeerTable, *, holding: bool = False) -> set[str]:
    return {peer.name for peer in table.told(holding=holding, rng=random.Random(1))}


def test_among_few_all_are_told() -> None:
    assert len(told(a_table(6))) == 6


def test_in_a_crowd_the_holder_and_a_few_are_told() -> None:
    # Each telling each is a square: at 91 VMs, 7,400 datagrams a second.
    table = a_table(CROWD)
    table.take(a_peer_state("vm-7", term=3))
    names = told(table)
    assert "vm-7" in names
    assert len(names) <= SAMPLED_VMS + 1


def test_the_holder_that_the_lease_names_is_told_before_it_was_heard() -> None:
    # At the start the holder knows only who joined before it; told by nobody,
    # it tells nobody, and every VM went on asking the store for the lease.
    table = a_table(CROWD)
    table.named_holder = "vm-40"
    assert "vm-40" in told(table)


def test_the_holder_tells_all() -> None:
    assert len(told(a_table(CROWD), holding=True)) == CROWD
