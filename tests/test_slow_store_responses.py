"""Test of requests while each response of the store is slow."""

import asyncio

import pytest
from entry_builders import a_server_document
from store_wire import (
    Pieces,
    a_store,
    an_empty_watch_response,
    response_bytes,
    run_in_virtual_time,
)
from virtual_time import LoopClock, now_s

from rosepath.store_tables import StoreTables
from rosepath.store_watcher import WatchPolicy

DRAIN_S = 2.0
SETTLE_S = 4.0
WAIT_S = 0.4 * DRAIN_S
QUICK_S = 0.004
# An eighth of the latency up to which the routes' responses have their full
# value.
HELD_S = 0.6 / 8


class SlowServers:
    """Return one server; from `slow_from_s` on, each response is slow."""

    def __init__(self, slow_s: float) -> None:
        self.slow_s = slow_s
        self.slow_from_s = float("inf")

    def __call__(self, path: str) -> Pieces:
        late_s = self.slow_s if now_s() >= self.slow_from_s else QUICK_S
        if "watch" not in path:
            metadata = {"name": "i-1", "revision": 3}
            item = {"metadata": metadata, "spec": a_server_document()}
            return [(late_s, response_bytes({"items": [item], "atRevision": 3}))]
        wait_s = int(path.split("waitMs=")[1].split("&")[0]) / 1000
        return [(wait_s + late_s, response_bytes(an_empty_watch_response(3)))]


def the_tables() -> StoreTables:
    return StoreTables(
        a_store(),
        clock=LoopClock(),
        servers_watch_policy=lambda: WatchPolicy(wait_s=WAIT_S),
        catalog_watch_policy=WatchPolicy,
        on_catalog=lambda _: None,
        drain_s=DRAIN_S,
        settle_s=SETTLE_S,
    )


@pytest.mark.parametrize("slow_s", [0.3, 0.6, 0.8, 1.0, 1.2, 1.4])
def test_requests_are_not_delayed_by_slow_store_responses(slow_s: float) -> None:
    # Between two responses, the table repeatedly becomes too old to route by,
    # and requests wait for the next one although no server has left.
    store = SlowServers(slow_s)

    async def run() -> None:
        tables = the_tables()
        following = asyncio.ensure_future(tables.servers_watcher.run())
        await asyncio.sleep(5.0)
        store.slow_from_s = now_s()
        held_s: list[float] = []

        async def ask() -> None:
            started_s = now_s()
            while True:
                await tables.ensure_fresh()
                if tables.fresh_enough:
                    break
            held_s.append(now_s() - started_s)

        asking = []
        for _ in range(1000):
            asking.append(asyncio.ensure_future(ask()))
            await asyncio.sleep(0.02)
        await asyncio.wait(asking, timeout=3.0)
        following.cancel()
        assert len(held_s) == len(asking)
        assert max(held_s) <= HELD_S

    run_in_virtual_time(store, run)
