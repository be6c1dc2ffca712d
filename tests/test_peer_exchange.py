"""Effects of the holder's state messages: departures and crash records."""

import asyncio
from typing import Any, cast

import pytest
from entry_builders import a_crash_watch, an_entry, entry_settings
from test_store_tables import NoStore, listing, server, tables

from rosepath.clock import ManualClock
from rosepath.crash_records import CrashReport, Exposure, ServerInstance, Suspicion
from rosepath.object_store import Change
from rosepath.peer_exchange import PeerExchange
from rosepath.peer_table import PeerTable
from rosepath.placement_coordinator import PlacementCoordinator
from rosepath.prompt_caches import PromptCaches


class DirectTransport:
    """A transport that delivers each datagram to the other VM at once."""

    def __init__(self, other: PeerExchange) -> None:
        self._other = other

    def sendto(self, data: bytes, _: tuple[str, int]) -> None:
        self._other.link.datagram_received(data, ("", 0))

    def is_closing(self) -> bool:
        return False


def an_exchange(
    name: str, clock: ManualClock, monkeypatch: pytest.MonkeyPatch, *, term: int = 0
) -> PeerExchange:
    store_tables, peers = tables(clock), PeerTable(name, clock=clock)
    coordinator = PlacementCoordinator(
        entry_settings(name),
        clock=clock,
        store=cast(Any, NoStore()),
        engines=cast(Any, None),
        fleet=store_tables.fleet,
        caches=PromptCaches(),
        catalog=lambda: None,
        peers=peers,
        stopping=lambda: False,
        cut_off=lambda: False,
        changed=lambda: None,
        boot_clock=clock,
    )
    monkeypatch.setattr(coordinator.leases, "valid", lambda *_, **__: term > 0)
    monkeypatch.setattr(coordinator.leases, "fence", lambda _: term)
    return PeerExchange(
        name,
        "a",
        "127.0.0.1:9",
        clock=clock,
        store=cast(Any, StoreState()),
        tables=store_tables,
        peers=peers,
        coordinator=coordinator,
        stopping=lambda: False,
        crashes=a_crash_watch(clock, entry_vm=name),
    )


class StoreState:
    last_success_s = 0.0


def connected(
    monkeypatch: pytest.MonkeyPatch,
) -> tuple[PeerExchange, PeerExchange]:
    clock = ManualClock()
    holder = an_exchange("vm-a", clock, monkeypatch, term=3)
    other = an_exchange("vm-b", clock, monkeypatch)
    holder.peers.note_address("vm-b", "127.0.0.1:9")
    holder.link.connection_made(cast(Any, DirectTransport(other)))
    for exchange in (holder, other):
        exchange._tables.fleet.put(an_entry("i-1"))
        exchange._tables.fleet.put(an_entry("i-2"))
    return holder, other


def test_the_holder_reports_a_server_whose_entry_was_removed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A departing server may only remove its entry, without draining first. The
    # holder reported draining servers but not removed ones, and VMs that leave
    # reads of the store to the holder for three seconds sent requests there
    # too long.
    async def run() -> None:
        holder, other = connected(monkeypatch)
        change = Change(revision=9, written={}, removed=frozenset({"servers/i-1"}))
        holder._tables._servers_changed(change)
        holder.link.send_state()
        assert set(other._tables.fleet.servers) == {"i-2"}

    asyncio.run(run())


def test_an_older_departure_does_not_remove_a_server_that_came_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        holder, other = connected(monkeypatch)
        change = Change(revision=9, written={}, removed=frozenset({"servers/i-1"}))
        holder._tables._servers_changed(change)
        back = Change(
            revision=12,
            written={"servers/i-1": server("i-1", version=12)},
            removed=frozenset(),
        )
        other._tables._servers_changed(back)
        holder.link.send_state()
        assert other._tables.fleet.servers["i-1"].usable
        # Nor after the holder has read the new entry.
        holder._tables._servers_changed(back)
        holder.link.send_state()
        assert other._tables.fleet.servers["i-1"].usable

    asyncio.run(run())


def test_an_older_listing_does_not_restore_a_removed_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A VM lists all entries; meanwhile a server's entry is removed and the
    # holder reports it; the late response still contains the entry. The server
    # was restored as usable and received requests until the next change was
    # read.
    async def run() -> None:
        holder, other = connected(monkeypatch)
        change = Change(revision=9, written={}, removed=frozenset({"servers/i-1"}))
        holder._tables._servers_changed(change)
        holder.link.send_state()
        other._tables._servers_listed(listing(server("i-1"), server("i-2")))
        assert set(other._tables.fleet.servers) == {"i-2"}

    asyncio.run(run())


def test_one_message_conveys_all_crash_records(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Otherwise a VM that has just started, or was cut off, would learn of a
    # request that crashes servers only from further crashes.
    async def run() -> None:
        holder, other = connected(monkeypatch)
        sent, received = holder._crashes, other._crashes
        now_s = other._clock.monotonic_s()
        for name in ("s1", "s2"):
            report = CrashReport("suspect", ServerInstance(name, 5), Exposure.STARTING)
            sent.records.add(report)
        sent.records.quarantine("quarantined")
        sent.isolated.start("suspect", request_id="q1", server="i-2")
        holder.link.send_state()
        assert received.records.suspicion("quarantined") is Suspicion.QUARANTINED
        assert received.records.suspicion("suspect") is Suspicion.SUSPECT
        isolated = received.isolated
        assert not isolated.may_run("suspect", request_id="q2", now_s=now_s)
        assert isolated.taken_servers("other", now_s=now_s) == {"i-2"}
        sent.isolated.end("suspect", request_id="q1")
        holder.link.send_state()
        assert isolated.may_run("suspect", request_id="q2", now_s=now_s)

    asyncio.run(run())
