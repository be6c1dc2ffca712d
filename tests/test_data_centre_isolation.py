"""Tests of when a data centre is considered cut off."""

import asyncio
from dataclasses import replace

from entry_builders import a_peer_state
from fakes import FakePlatform

from rosepath.clock import ManualClock
from rosepath.data_centre_isolation import DataCentreIsolation
from rosepath.peer_table import PeerTable


def receive_states(peers: PeerTable, *centres: str, number: int = 1) -> None:
    for centre in centres:
        state = a_peer_state(f"vm-{centre}", number=number, data_centre=centre)
        assert peers.apply_state(state)


def test_data_centre_without_state_messages_or_store_is_cut_off() -> None:
    # Guards against VMs that report ready while they refuse callers for models
    # that are resident only in other data centres.
    async def run() -> None:
        clock, store = ManualClock(), FakePlatform()
        peers = PeerTable("vm-x", clock=clock)
        isolation = DataCentreIsolation("a", peers=peers, store=store, probe="vms/vm-x")
        receive_states(peers, "b", "c")
        store.down = True
        await isolation.step()
        assert not isolation.cut_off
        clock.advance(1.0)
        await isolation.step()
        assert isolation.cut_off
        receive_states(peers, "b", number=2)
        await isolation.step()
        assert not isolation.cut_off

    asyncio.run(run())


def test_data_centre_that_reaches_the_store_is_not_cut_off() -> None:
    # Guards against all VMs being unready at once when three data centres lose
    # their links to each other, as no VM would be left for callers.
    async def run() -> None:
        clock, store = ManualClock(), FakePlatform()
        peers = PeerTable("vm-x", clock=clock)
        isolation = DataCentreIsolation("a", peers=peers, store=store, probe="vms/vm-x")
        receive_states(peers, "b", "c")
        clock.advance(1.0)
        await isolation.step()
        assert not isolation.cut_off

    asyncio.run(run())


def test_neither_of_two_data_centres_is_considered_cut_off() -> None:
    async def run() -> None:
        clock, store = ManualClock(), FakePlatform()
        store.down = True
        peers = PeerTable("vm-x", clock=clock)
        isolation = DataCentreIsolation("a", peers=peers, store=store, probe="vms/vm-x")
        receive_states(peers, "b")
        # A stopping VM of a third data centre does not count.
        state = a_peer_state("vm-c", data_centre="c")
        assert peers.apply_state(replace(state, stopping=True))
        clock.advance(1.0)
        await isolation.step()
        assert not isolation.cut_off

    asyncio.run(run())
