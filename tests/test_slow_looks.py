"""What becomes of requests while a look at the store takes long."""

import asyncio
import json
from typing import Any

from entry_builders import a_server_document
from virtual_time import LoopClock, VirtualLoop

from rosepath.feed import Pace
from rosepath.object_store import Change, Listing, StoredObject
from rosepath.store_tables import REFRESH_TIMEOUT_S, StoreTables

DRAIN_S = 3.0


class SlowStore:
    """Answer quickly at first, and each look after some seconds from then on."""

    def __init__(self) -> None:
        self.takes_s = 0.0
        self.looks = 0

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
        self.looks += 1
        await asyncio.sleep(wait_s + self.takes_s)
        return Change(revision=3, written={}, removed=frozenset())


def test_requests_go_on_while_a_look_takes_long() -> None:
    # The table of servers is too old to go by, and the look that is to renew it
    # is under way, but slow. Each request waited for it, was then found not to
    # be wanted any more as the table was still old, and waited again: all of a
    # VM's requests stood still until the look was answered.
    async def run() -> None:
        store = SlowStore()
        tables = StoreTables(
            store,
            clock=LoopClock(),
            servers_pace=lambda: Pace(wait_s=0.5),
            catalog_pace=Pace,
            on_catalog=lambda _: None,
            drain_s=DRAIN_S,
        )
        following = asyncio.ensure_future(tables.servers_feed.run())
        await asyncio.sleep(1.0)
        store.takes_s = 30.0
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + 2 * DRAIN_S
        while loop.time() < ends_s:
            begun_s = loop.time()
            await tables.make_sure()
            assert loop.time() - begun_s <= REFRESH_TIMEOUT_S + 0.01
            assert tables.sound
            await asyncio.sleep(0.1)
        following.cancel()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
