"""Recipients of state messages in small and large fleets."""

import random
from dataclasses import replace

from entry_builders import a_peer_state

from rosepath.clock import ManualClock
from rosepath.peer_table import (
    FORGET_AFTER_S,
    SAMPLED_VMS,
    SMALL_FLEET_VMS,
    Hop,
    PeerTable,
)

LARGE_FLEET_VMS = 3 * SMALL_FLEET_VMS


def a_table(count: int) -> PeerTable:
    table = PeerTable("me", clock=ManualClock())
    for number in range(count):
        table.note_address(f"vm-{number}", f"127.0.0.1:{number + 1}")
    return table


def recipients(table: PeerTable, *, holding: bool = False) -> set[str]:
    return {
        peer.name
        for peer in table.state_recipients(holding=holding, rng=random.Random(1))
    }


def test_in_a_small_fleet_all_vms_receive_the_state() -> None:
    assert len(recipients(a_table(6))) == 6


def test_in_a_large_fleet_the_holder_and_a_sample_receive_the_state() -> None:
    # All-to-all messages grow with the square of the fleet: 7,400 datagrams
    # per second at 91 VMs.
    table = a_table(LARGE_FLEET_VMS)
    table.apply_state(a_peer_state("vm-7", term=3))
    names = recipients(table)
    assert "vm-7" in names
    assert len(names) <= SAMPLED_VMS + 1


def test_the_holder_named_by_the_lease_receives_the_state_before_it_sent_any() -> None:
    # At startup the holder knows only the VMs that joined before it. If the
    # others sent it no state, it would send them none, and each of them would
    # keep polling the store for the lease.
    table = a_table(LARGE_FLEET_VMS)
    table.named_holder = "vm-40"
    assert "vm-40" in recipients(table)


def test_the_holder_sends_its_state_to_all() -> None:
    assert len(recipients(a_table(LARGE_FLEET_VMS), holding=True)) == LARGE_FLEET_VMS


def a_table_of_three_data_centres(clock: ManualClock) -> PeerTable:
    """Return a large fleet divided equally among data centres a, b and c."""
    table = PeerTable("me", clock=clock)
    for number in range(LARGE_FLEET_VMS):
        name, data_centre = f"vm-{number}", "abc"[number % 3]
        state = replace(
            a_peer_state(name, data_centre=data_centre), address=f"10.0.0.1:{number}"
        )
        table.apply_state(state)
    return table


def addresses_of(hops: list[Hop]) -> list[str]:
    """Return the addresses that receive a message, with repetitions."""
    return [address for hop in hops for address in (hop.peer.address, *hop.forward_to)]


def test_the_holder_sends_one_message_to_each_other_data_centre() -> None:
    # Messages to each of 195 VMs needed 20 Mbit/s on a holder's link of
    # 10 Mbit/s. Messages were lost, and all VMs kept watching the store.
    table = a_table_of_three_data_centres(ManualClock())
    hops = table.hops("a", rng=random.Random(1))
    assert len(hops) == LARGE_FLEET_VMS / 3 + 2
    assert sorted(addresses_of(hops)) == sorted(
        peer.address for peer in table.peers.values()
    )


def test_the_forwarder_varies_between_messages() -> None:
    # A failed or frozen VM must not deprive its data centre of every message.
    table, rng = a_table_of_three_data_centres(ManualClock()), random.Random(1)
    forwarders = {hop.peer.name for _ in range(20) for hop in table.hops("a", rng=rng)}
    assert len(forwarders) > LARGE_FLEET_VMS / 3 + 10


def test_only_a_recently_active_vm_forwards_messages() -> None:
    clock = ManualClock()
    table = a_table_of_three_data_centres(clock)
    clock.advance(2.0)
    state = replace(a_peer_state("vm-1", number=2, data_centre="b"), address="new:1")
    table.apply_state(state)
    hops = [hop for hop in table.hops("a", rng=random.Random(1)) if hop.forward_to]
    # No VM of the third data centre is active: each gets its own message.
    assert [hop.peer.name for hop in hops] == ["vm-1"]
    assert len(addresses_of(table.hops("a", rng=random.Random(1)))) == LARGE_FLEET_VMS


def test_the_order_of_live_vms_does_not_follow_their_messages() -> None:
    # Summed in the order of messages, the same demand differed in its last
    # bits from plan to plan, and these decided between equal swaps.
    table = a_table_of_three_data_centres(ManualClock())
    before = [peer.name for peer in table.live()]
    table.apply_state(a_peer_state("vm-5", number=2, data_centre="c"))
    assert [peer.name for peer in table.live()] == before


# Guards against refusing tunnels in a large fleet, where each VM hears of most
# others only now and then.
def test_an_entry_vm_is_known_by_its_address_however_long_it_is_silent() -> None:
    clock = ManualClock()
    table = PeerTable("vm-0", clock=clock)
    table.note_address("vm-1", "10.0.0.1:7380")
    clock.advance(2 * FORGET_AFTER_S)
    assert table.is_peer_ip("10.0.0.1")
    assert not table.is_peer_ip("10.0.0.2")
