"""Test of requests while a read of the store is slow."""

import asyncio
import json
from typing import Any

from entry_builders import a_server_document
from virtual_time import LoopClock, VirtualLoop

from rosepath.object_store import Change, Listing, StoredObject
from rosepath.store_tables import REFRESH_TIMEOUT_S, StoreTables
from rosepath.store_watcher import WatchPolicy

DRAIN_S = 3.0


class SlowStore:
    """Respond after `takes_s`, at first at once."""

    def __init__(self) -> None:
        self.takes_s = 0.0
        self.reads = 0

    async def list(self, kind: str, **_options: Any) -> Listing:
        await asyncio.sleep(self.takes_s)
        stored = StoredObject(
            "servers/i-1", 3, json.dumps(a_server_document()).encode()
        )
        return Listing(revision=3, objects={stored.name: stored})

    async def changes(
        self,
        kind: str,
        *,
        after: int,
        wait_s: float,
        relaxed: bool = False,
        **_options: Any,
    ) -> Change:
        self.reads += 1
        await asyncio.sleep(wait_s + self.takes_s)
        return Change(revision=3, written={}, removed=frozenset())


def test_requests_continue_while_a_store_read_is_slow() -> None:
    # The server table is too old to route by, and the read that refreshes it
    # is slow. Each request waited for it, found the table still too old, and
    # waited again: all requests of the VM stalled until the read ended.
    async def run() -> None:
        store = SlowStore()
        tables = StoreTables(
            store,
            clock=LoopClock(),
            servers_watch_policy=lambda: WatchPolicy(wait_s=0.5),
            catalog_watch_policy=WatchPolicy,
            on_catalog=lambda _: None,
            drain_s=DRAIN_S,
        )
        following = asyncio.ensure_future(tables.servers_watcher.run())
        await asyncio.sleep(1.0)
        store.takes_s = 30.0
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + 2 * DRAIN_S
        while loop.time() < ends_s:
            started_s = loop.time()
            await tables.ensure_fresh()
            assert loop.time() - started_s <= REFRESH_TIMEOUT_S + 0.01
            assert tables.fresh_enough
            await asyncio.sleep(0.1)
        following.cancel()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
