"""Whom a VM tells its state, among few VMs and in a crowd."""

import random
from dataclasses import replace

from entry_builders import a_peer_state

from rosepath.clock import ManualClock
from rosepath.peer_table import FEW_VMS, SAMPLED_VMS, Hop, PeerTable

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


def a_spread_table(clock: ManualClock) -> PeerTable:
    """Return a crowd of which a third each is in data centres a, b and c."""
    table = PeerTable("me", clock=clock)
    for number in range(CROWD):
        name, data_centre = f"vm-{number}", "abc"[number % 3]
        state = replace(
            a_peer_state(name, data_centre=data_centre), address=f"10.0.0.1:{number}"
        )
        table.take(state)
    return table


def reached(hops: list[Hop]) -> list[str]:
    """Return the addresses that hear a word, each as often as it does."""
    return [address for hop in hops for address in (hop.peer.address, *hop.forward_to)]


def test_a_holders_word_goes_to_each_other_data_centre_once() -> None:
    # Told one by one, 195 VMs were 20 Mbit/s on a holder's link of 10: words were
    # lost, and all VMs went on watching the store for themselves.
    table = a_spread_table(ManualClock())
    hops = table.hops("a", rng=random.Random(1))
    assert len(hops) == CROWD / 3 + 2
    assert sorted(reached(hops)) == sorted(
        peer.address for peer in table.peers.values()
    )


def test_each_word_takes_another_way() -> None:
    # A VM that is dead or frozen must not keep a data centre from every word.
    table, rng = a_spread_table(ManualClock()), random.Random(1)
    firsts = {hop.peer.name for _ in range(20) for hop in table.hops("a", rng=rng)}
    assert len(firsts) > CROWD / 3 + 10


def test_a_word_goes_by_way_of_a_vm_that_spoke_lately() -> None:
    clock = ManualClock()
    table = a_spread_table(clock)
    clock.advance(2.0)
    state = replace(a_peer_state("vm-1", number=2, data_centre="b"), address="new:1")
    table.take(state)
    hops = [hop for hop in table.hops("a", rng=random.Random(1)) if hop.forward_to]
    # All of the third data centre are silent: each of them is told by itself.
    assert [hop.peer.name for hop in hops] == ["vm-1"]
    assert len(reached(table.hops("a", rng=random.Random(1)))) == CROWD


def test_live_vms_stay_in_one_order_whoever_spoke_last() -> None:
    # Added up in the order heard, the same demand came to other last bits at each
    # plan, which chose among like swaps by them.
    table = a_spread_table(ManualClock())
    before = [peer.name for peer in table.live()]
    table.take(a_peer_state("vm-5", number=2, data_centre="c"))
    assert [peer.name for peer in table.live()] == before
