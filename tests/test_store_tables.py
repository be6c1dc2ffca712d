"""Tests of the server table and the configuration across store outages."""

import asyncio
import json
from typing import Any

import pytest
from entry_builders import a_server_document

from rosepath.clock import ManualClock
from rosepath.fleet import LeavingServer
from rosepath.object_store import Change, Listing, StoredObject
from rosepath.store_tables import ENTRY_RETURN_S, StoreTables
from rosepath.store_watcher import WatchPolicy


class NoStore:
    """Reject all calls: the tests pass in listings and changes directly."""

    async def list(self, kind: str, **_options: Any) -> Listing:
        raise NotImplementedError(kind)

    async def changes(
        self,
        kind: str,
        *,
        after: int,
        wait_s: float,
        relaxed: bool = False,
        **_options: Any,
    ) -> Change:
        raise NotImplementedError(kind)


def tables(clock: ManualClock, **options: Any) -> StoreTables:
    return StoreTables(
        NoStore(),
        clock=clock,
        servers_watch_policy=WatchPolicy,
        catalog_watch_policy=WatchPolicy,
        on_catalog=lambda _: None,
        **options,
    )


def server(name: str, *, state: str = "ready", version: int = 3) -> StoredObject:
    value = json.dumps(a_server_document(state=state)).encode()
    return StoredObject(f"servers/{name}", version, value)


def reported_removed(store_tables: StoreTables) -> list[str]:
    """Return the servers that are reported to other VMs as removed."""
    return [
        server.name for server in store_tables.departures.recent()[0] if server.gone_at
    ]


def listing(*objects: StoredObject, revision: int = 5) -> Listing:
    return Listing(revision=revision, objects={o.name: o for o in objects})


def configuration(version: int) -> StoredObject:
    raw: dict[str, Any] = {"version": version, "routes": [], "services": []}
    return StoredObject("config/main", version, json.dumps(raw).encode())


def test_entries_that_expired_in_an_outage_get_a_grace_period() -> None:
    # All entries expired during an outage of the store. Removed at once, they
    # would leave every request rejected until the servers had written their
    # entries again.
    async def run() -> None:
        clock = ManualClock()
        store_tables = tables(clock)
        store_tables._servers_listed(listing(server("i-1"), server("i-2")))
        store_tables.servers_watcher.store_unavailable = True
        store_tables._servers_listed(listing())
        assert set(store_tables.fleet.servers) == {"i-1", "i-2"}
        store_tables._servers_changed(
            Change(
                revision=7,
                written={"servers/i-1": server("i-1")},
                removed=frozenset(),
            )
        )
        store_tables._remove_if_absent("i-1")
        store_tables._remove_if_absent("i-2")
        assert set(store_tables.fleet.servers) == {"i-1"}
        assert reported_removed(store_tables) == ["i-2"]

    asyncio.run(run())


def test_a_server_removed_without_an_outage_is_dropped_at_once() -> None:
    async def run() -> None:
        clock = ManualClock()
        store_tables = tables(clock)
        store_tables._servers_listed(listing(server("i-1")))
        clock.advance(ENTRY_RETURN_S + 1)
        removed = frozenset({"servers/i-1"})
        store_tables._servers_changed(Change(revision=6, written={}, removed=removed))
        assert store_tables.fleet.servers == {}

    asyncio.run(run())


def test_an_older_entry_does_not_revert_a_departure() -> None:
    # An older entry that is read after the newer one must not bring new
    # requests to a leaving server.
    async def run() -> None:
        store_tables = tables(ManualClock())
        store_tables._servers_listed(listing(server("i-1", state="draining")))
        store_tables._servers_listed(listing(server("i-1")))
        assert not store_tables.fleet.servers["i-1"].usable

    asyncio.run(run())


def test_a_configuration_is_never_replaced_by_an_older_version() -> None:
    async def run() -> None:
        store_tables = tables(ManualClock())
        for version in (3, 5, 4):
            stored = configuration(version)
            store_tables._apply_catalog({stored.name: stored})
        assert store_tables.catalog is not None
        assert store_tables.catalog.version == 5

    asyncio.run(run())


def test_an_outage_seen_only_by_the_lease_holder_counts() -> None:
    # This VM's watch spans the whole outage and ends without an error, with
    # the removal of every server whose entry expired meanwhile.
    async def run() -> None:
        store_tables = tables(ManualClock())
        store_tables._servers_listed(listing(server("i-1")))
        store_tables.note_store_failure()
        removed = frozenset({"servers/i-1"})
        store_tables._servers_changed(Change(revision=6, written={}, removed=removed))
        assert set(store_tables.fleet.servers) == {"i-1"}
        assert reported_removed(store_tables) == []

    asyncio.run(run())


def test_an_unreadable_entry_removes_only_its_server() -> None:
    # Another program overwrites the entry of a server with bytes that are no
    # document or hold no address. Requests went to that address, or the whole
    # table stopped updating. The valid entries stay in use, and the server
    # returns with its next heartbeat.
    async def run() -> None:
        store_tables = tables(ManualClock())
        store_tables._servers_listed(listing(server("i-1"), server("i-2")))
        for value in (b"\xff\xfe", b"", b"{", b"[" * 100_000, b"[]", b'"x"'):
            written = {"servers/i-1": StoredObject("servers/i-1", 9, value)}
            store_tables._servers_changed(
                Change(revision=9, written=written, removed=frozenset())
            )
            assert set(store_tables.fleet.servers) == {"i-2"}
            again = {"servers/i-1": server("i-1", version=10)}
            store_tables._servers_changed(
                Change(revision=10, written=again, removed=frozenset())
            )
            assert set(store_tables.fleet.servers) == {"i-1", "i-2"}

    asyncio.run(run())


def test_a_restarted_server_is_reported_once() -> None:
    # During a network partition, an engine crashes and restarts under its
    # name. What is known of its prompt cache belongs to the earlier process.
    async def run() -> None:
        restarted: list[str] = []
        store_tables = tables(ManualClock())
        store_tables._on_restarted = restarted.append
        for born in (100, 200, 200, 100):
            raw = json.dumps(a_server_document(born=born)).encode()
            stored = StoredObject("servers/i-1", 3, raw)
            store_tables._servers_listed(listing(stored))
        assert restarted == ["i-1"]
        assert store_tables.fleet.servers["i-1"].entry.born_ms == 200

    asyncio.run(run())


def test_a_departure_meets_the_drain_time_while_only_the_holder_lost_the_store() -> (
    None
):
    # The store rejects only the lease holder. A server then leaves by the
    # removal of its entry, and every VM took that for an entry that expired in
    # an outage: the server got requests for 2.2 s, longer than its drain time
    # of 2 s.
    async def run() -> None:
        clock = ManualClock()
        store_tables = tables(clock, drain_s=2.0)
        store_tables._servers_listed(listing(server("i-1")))
        store_tables.servers_watcher.age.note_store_read(clock.now_s)
        store_tables.note_store_failure()
        waits_s: list[float] = []
        loop = asyncio.get_running_loop()
        loop.call_later = lambda wait_s, *_: waits_s.append(wait_s)  # type: ignore
        removed = frozenset({"servers/i-1"})
        store_tables._servers_changed(Change(revision=6, written={}, removed=removed))
        assert waits_s and waits_s[0] < 1.8

    asyncio.run(run())


@pytest.mark.parametrize("own_outage", [False, True])
def test_the_grace_period_counts_from_when_the_entry_was_last_confirmed(
    own_outage: bool,
) -> None:
    # The removal is read 1.5 s after the last store read, and may be as old as
    # that. With a further 1.65 s of grace, the server got requests after its
    # drain time.
    async def run() -> None:
        clock = ManualClock()
        store_tables = tables(clock, drain_s=2.0, settle_s=3.0)
        store_tables._servers_listed(listing(server("i-1")))
        store_tables.servers_watcher.age.note_store_read(clock.now_s)
        if own_outage:
            # The failed call was sent 1.2 s ago: the VM settles in 1.8 s.
            clock.advance(0.3)
            store_tables.servers_watcher._last_failure_s = clock.now_s
            store_tables.servers_watcher.store_unavailable = True
            clock.advance(1.2)
        else:
            clock.advance(1.5)
            store_tables.note_store_failure()
        waits_s: list[float] = []
        loop = asyncio.get_running_loop()
        loop.call_later = lambda wait_s, *_: waits_s.append(wait_s)  # type: ignore
        removed = frozenset({"servers/i-1"})
        store_tables._servers_changed(Change(revision=6, written={}, removed=removed))
        assert len(waits_s) == 1
        assert waits_s[0] <= (1.8 if own_outage else 0.5) - 0.2
        # Nor does this VM report a current table meanwhile: other VMs would
        # use the server until its departure is reported, one message interval
        # later.
        store_tables.servers_watcher.age.note_store_read(clock.now_s)
        assert store_tables.reported_age_s == 1.5
        store_tables._remove_if_absent("i-1")
        assert store_tables.reported_age_s == 0.0

    asyncio.run(run())


# Guards against runs at a server that is gone, or started again, being followed
# only where the store's watch tells: in a large fleet most VMs hear it of a peer.
@pytest.mark.parametrize("told_by", ["store", "peer", "restart"])
def test_each_instance_that_is_gone_is_reported_once(told_by: str) -> None:
    async def run() -> list[int]:
        departed: list[int] = []
        store_tables = tables(
            ManualClock(),
            on_departed=lambda server: departed.append(server.entry.born_ms),
        )
        store_tables._servers_listed(listing(server("s1")))
        if told_by == "store":
            store_tables._servers_changed(
                Change(revision=9, written={}, removed=frozenset({"servers/s1"}))
            )
        elif told_by == "peer":
            gone = LeavingServer("s1", gone_at=9)
            store_tables.apply_peer_departure(gone)
            store_tables.apply_peer_departure(gone)
        else:
            raw = json.dumps(a_server_document(born=2)).encode()
            written = {"servers/s1": StoredObject("servers/s1", 9, raw)}
            changed = Change(revision=9, written=written, removed=frozenset())
            store_tables._servers_changed(changed)
        return departed

    assert asyncio.run(run()) == [0]


# Guards against crashes that show only where the store's watch tells of the entry,
# which may lapse before the server starts again.
@pytest.mark.parametrize("told_by", ["store", "peer"])
def test_a_removed_entry_and_a_restart_after_it_are_reported(told_by: str) -> None:
    def written(born: int, *, version: int) -> StoredObject:
        raw = json.dumps(a_server_document(born=born)).encode()
        return StoredObject("servers/s1", version, raw)

    async def run() -> list[str]:
        events: list[str] = []
        store_tables = tables(
            ManualClock(),
            on_removed=lambda server: events.append(f"removed {server.entry.born_ms}"),
            on_restarted=lambda name: events.append(f"restarted {name}"),
        )
        store_tables._servers_listed(listing(written(1, version=3)))
        if told_by == "store":
            store_tables._servers_changed(
                Change(revision=9, written={}, removed=frozenset({"servers/s1"}))
            )
        else:
            store_tables.apply_peer_departure(LeavingServer("s1", gone_at=9))
        again = {"servers/s1": written(2, version=10)}
        store_tables._servers_changed(
            Change(revision=10, written=again, removed=frozenset())
        )
        return events

    assert asyncio.run(run()) == ["removed 1", "restarted s1"]
