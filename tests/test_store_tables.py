"""What a VM believes of servers and configuration as the store comes and goes."""

import asyncio
import json
from typing import Any

import pytest
from entry_builders import a_server_document

from rosepath.clock import ManualClock
from rosepath.feed import Pace
from rosepath.object_store import Change, Listing, StoredObject
from rosepath.store_tables import ENTRY_RETURN_S, StoreTables


class NoStore:
    """Answer nothing: the tests hand in what was read."""

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
        servers_pace=Pace,
        catalog_pace=Pace,
        on_catalog=lambda _: None,
        **options,
    )


def server(name: str, *, state: str = "ready", version: int = 3) -> StoredObject:
    value = json.dumps(a_server_document(state=state)).encode()
    return StoredObject(f"servers/{name}", version, value)


def gone(held: StoreTables) -> list[str]:
    """Return the servers of which others are told that they are gone."""
    return [server.name for server in held.leaves.told()[0] if server.gone_at]


def listing(*objects: StoredObject, revision: int = 5) -> Listing:
    return Listing(revision=revision, objects={o.name: o for o in objects})


def configuration(version: int) -> StoredObject:
    raw: dict[str, Any] = {"version": version, "routes": [], "services": []}
    return StoredObject("config/main", version, json.dumps(raw).encode())


def test_entries_that_lapsed_in_an_outage_are_waited_for() -> None:
    # The store was away and ran out all entries. Dropped at once, every
    # request would be refused until the servers had written theirs again.
    async def run() -> None:
        clock = ManualClock()
        held = tables(clock)
        held._servers_listed(listing(server("i-1"), server("i-2")))
        held.servers_feed.store_unavailable = True
        held._servers_listed(listing())
        assert set(held.fleet.servers) == {"i-1", "i-2"}
        held._servers_changed(
            Change(
                revision=7,
                written={"servers/i-1": server("i-1")},
                removed=frozenset(),
            )
        )
        held._remove_if_absent("i-1")
        held._remove_if_absent("i-2")
        assert set(held.fleet.servers) == {"i-1"}
        assert gone(held) == ["i-2"]

    asyncio.run(run())


def test_a_server_that_is_removed_while_the_store_is_well_goes_at_once() -> None:
    async def run() -> None:
        clock = ManualClock()
        held = tables(clock)
        held._servers_listed(listing(server("i-1")))
        clock.advance(ENTRY_RETURN_S + 1)
        removed = frozenset({"servers/i-1"})
        held._servers_changed(Change(revision=6, written={}, removed=removed))
        assert held.fleet.servers == {}

    asyncio.run(run())


def test_a_server_that_said_it_leaves_stays_left() -> None:
    # An older entry, read after the newer one, must bring no new work there.
    async def run() -> None:
        held = tables(ManualClock())
        held._servers_listed(listing(server("i-1", state="draining")))
        held._servers_listed(listing(server("i-1")))
        assert not held.fleet.servers["i-1"].usable

    asyncio.run(run())


def test_a_configuration_does_not_go_back() -> None:
    async def run() -> None:
        held = tables(ManualClock())
        for version in (3, 5, 4):
            stored = configuration(version)
            held._apply_catalog({stored.name: stored})
        assert held.catalog is not None
        assert held.catalog.version == 5

    asyncio.run(run())


def test_an_outage_that_only_the_holder_noticed_counts() -> None:
    # This VM's watch waited through the outage and ended well, with the
    # removal of every server whose entry had run out meanwhile.
    async def run() -> None:
        held = tables(ManualClock())
        held._servers_listed(listing(server("i-1")))
        held.note_trouble()
        removed = frozenset({"servers/i-1"})
        held._servers_changed(Change(revision=6, written={}, removed=removed))
        assert set(held.fleet.servers) == {"i-1"}
        assert gone(held) == []

    asyncio.run(run())


def test_an_entry_of_another_writer_names_no_server() -> None:
    # Another program writes under a server's name: bytes that are no document,
    # or an address that is none. Requests went there, or the whole table stood
    # still. The good entries hold, and the server itself comes back with its
    # next heartbeat.
    async def run() -> None:
        held = tables(ManualClock())
        held._servers_listed(listing(server("i-1"), server("i-2")))
        for value in (b"\xff\xfe", b"", b"{", b"[" * 100_000, b"[]", b'"x"'):
            written = {"servers/i-1": StoredObject("servers/i-1", 9, value)}
            held._servers_changed(
                Change(revision=9, written=written, removed=frozenset())
            )
            assert set(held.fleet.servers) == {"i-2"}
            again = {"servers/i-1": server("i-1", version=10)}
            held._servers_changed(
                Change(revision=10, written=again, removed=frozenset())
            )
            assert set(held.fleet.servers) == {"i-1", "i-2"}

    asyncio.run(run())


def test_a_server_that_started_again_is_told_of_once() -> None:
    # Behind a cut an engine crashes and starts again under its name. What was
    # believed of its prompts belongs to the life before.
    async def run() -> None:
        reborn: list[str] = []
        held = tables(ManualClock())
        held._on_reborn = reborn.append
        for born in (100, 200, 200, 100):
            raw = json.dumps(a_server_document(born=born)).encode()
            stored = StoredObject("servers/i-1", 3, raw)
            held._servers_listed(listing(stored))
        assert reborn == ["i-1"]
        assert held.fleet.servers["i-1"].entry.born_ms == 200

    asyncio.run(run())


def test_a_server_that_left_while_only_the_holder_lost_the_store_drains() -> None:
    # The store turns the holder alone away. A server leaves at that time by the
    # removal of its entry, and every VM took that for a lapse in an outage: it
    # got requests for 2.2 s, longer than its drain time of 2 s.
    async def run() -> None:
        clock = ManualClock()
        held = tables(clock, drain_s=2.0)
        held._servers_listed(listing(server("i-1")))
        held.servers_feed.age.note_look(clock.now_s)
        held.note_trouble()
        waits_s: list[float] = []
        loop = asyncio.get_running_loop()
        loop.call_later = lambda wait_s, *_: waits_s.append(wait_s)  # type: ignore
        removed = frozenset({"servers/i-1"})
        held._servers_changed(Change(revision=6, written={}, removed=removed))
        assert waits_s and waits_s[0] < 1.8

    asyncio.run(run())


@pytest.mark.parametrize("own_outage", [False, True])
def test_a_lapse_is_waited_for_from_when_the_entry_was_last_there(
    own_outage: bool,
) -> None:
    # The removal is read 1.5 s after the last look. It may be as old as that:
    # waited for 1.65 s more, its server got requests after its drain time.
    async def run() -> None:
        clock = ManualClock()
        held = tables(clock, drain_s=2.0, settle_s=3.0)
        held._servers_listed(listing(server("i-1")))
        held.servers_feed.age.note_look(clock.now_s)
        if own_outage:
            # The call that failed was asked 1.2 s ago: settled in 1.8 s.
            clock.advance(0.3)
            held.servers_feed._last_failure_s = clock.now_s
            held.servers_feed.store_unavailable = True
            clock.advance(1.2)
        else:
            clock.advance(1.5)
            held.note_trouble()
        waits_s: list[float] = []
        loop = asyncio.get_running_loop()
        loop.call_later = lambda wait_s, *_: waits_s.append(wait_s)  # type: ignore
        removed = frozenset({"servers/i-1"})
        held._servers_changed(Change(revision=6, written={}, removed=removed))
        assert len(waits_s) == 1
        assert waits_s[0] <= (1.8 if own_outage else 0.5) - 0.2
        # Nor do others hear meanwhile that this VM knows who left: they would
        # use the server on until it is told of, an interval of words later.
        held.servers_feed.age.note_look(clock.now_s)
        assert held.vouched_age_s == 1.5
        held._remove_if_absent("i-1")
        assert held.vouched_age_s == 0.0

    asyncio.run(run())
