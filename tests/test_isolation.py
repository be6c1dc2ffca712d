"""When the VMs of a data centre send callers elsewhere."""

import asyncio
from dataclasses import replace

from entry_builders import a_peer_state
from fakes import FakePlatform

from rosepath.clock import ManualClock
from rosepath.isolation import Isolation
from rosepath.peer_table import PeerTable


def heard(peers: PeerTable, *centres: str, number: int = 1) -> None:
    for centre in centres:
        state = a_peer_state(f"vm-{centre}", number=number, data_centre=centre)
        assert peers.apply_state(state)


def test_a_data_centre_that_hears_nobody_and_no_store_is_cut_off() -> None:
    # Its callers were refused for want of models that others hold, while the
    # platform took its VMs for ready.
    async def run() -> None:
        clock, store = ManualClock(), FakePlatform()
        peers = PeerTable("vm-x", clock=clock)
        isolation = Isolation("a", peers=peers, store=store, probe="vms/vm-x")
        heard(peers, "b", "c")
        store.down = True
        await isolation.step()
        assert not isolation.cut_off
        clock.advance(1.0)
        await isolation.step()
        assert isolation.cut_off
        heard(peers, "b", number=2)
        await isolation.step()
        assert not isolation.cut_off

    asyncio.run(run())


def test_a_data_centre_that_reaches_the_store_stays_ready() -> None:
    # Three data centres may lose each other at once; unready in all of them,
    # the VMs would leave callers nobody.
    async def run() -> None:
        clock, store = ManualClock(), FakePlatform()
        peers = PeerTable("vm-x", clock=clock)
        isolation = Isolation("a", peers=peers, store=store, probe="vms/vm-x")
        heard(peers, "b", "c")
        clock.advance(1.0)
        await isolation.step()
        assert not isolation.cut_off

    asyncio.run(run())


def test_of_two_data_centres_neither_is_taken_for_cut_off() -> None:
    async def run() -> None:
        clock, store = ManualClock(), FakePlatform()
        store.down = True
        peers = PeerTable("vm-x", clock=clock)
        isolation = Isolation("a", peers=peers, store=store, probe="vms/vm-x")
        heard(peers, "b")
        # A stopping VM of a third does not make one more.
        state = a_peer_state("vm-c", data_centre="c")
        assert peers.apply_state(replace(state, stopping=True))
        clock.advance(1.0)
        await isolation.step()
        assert not isolation.cut_off

    asyncio.run(run())
