"""Fetching a newer configuration from another entry VM."""

import asyncio
import random
import zlib
from dataclasses import replace

import pytest
from entry_builders import a_peer_state
from fleet_world import run_in_virtual_time
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler
from virtual_time import LoopClock

from rosepath.clock import SystemClock
from rosepath.errors import ExchangeError, Step
from rosepath.http_client import HttpPool
from rosepath.object_store import Change, Listing, StoredObject, StoreError
from rosepath.peer_configuration import (
    HOLDER_EXCLUDED_S,
    MAX_CONCURRENT_RESPONSES,
    MAX_CONFIGURATION_BYTES,
    NAME_HEADER,
    PATH,
    REVISION_HEADER,
    PeerConfigurationFetcher,
    configuration_application,
    http_fetcher,
)
from rosepath.peer_table import SMALL_FLEET_VMS, PeerTable
from rosepath.store_watcher import StoreWatcher

NEWER = StoredObject("config/main", 9, b"{}")


class FailingStore:
    """A store that refuses every call."""

    async def list(self, *_: object, **__: object) -> Listing:
        raise StoreError("refused", step=Step.STORE)

    async def changes(self, *_: object, **__: object) -> Change:
        raise StoreError("refused", step=Step.STORE)


class OutdatedVM:
    """A VM whose store fails; records the peers from which it fetches."""

    def __init__(self, *, peers: int = 0) -> None:
        clock = LoopClock()
        self.peers = PeerTable("me", clock=clock)
        for number in range(peers):
            self.peers.note_address(f"other-{number}", f"10.0.0.2:{number + 1}")
        self.watcher = StoreWatcher(
            FailingStore(),
            "config",
            clock=clock,
            on_listing=lambda _: None,
            on_change=lambda _: None,
            urgent=True,
        )
        self.fetched_from: list[str] = []
        self.failed: set[str] = set()
        self.stalled: set[str] = set()
        self.served = NEWER
        self.fetcher = PeerConfigurationFetcher(
            "a",
            self.watcher,
            clock=clock,
            peers=self.peers,
            fetch=self._fetch,
            rng=random.Random(7),
        )

    async def _fetch(self, address: str, newer_than: int) -> StoredObject | None:
        self.fetched_from.append(address)
        if address in self.failed:
            raise ExchangeError(
                "cannot connect", step=Step.CONNECT, peer=address, sent=False
            )
        if address in self.stalled:
            await asyncio.Event().wait()
        return self.served

    def receive_state(self, name: str, *, data_centre: str, term: int = 0) -> None:
        state = a_peer_state(name, data_centre=data_centre, term=term)
        self.peers.apply_state(replace(state, address=name, configuration_revision=9))

    async def catch_up(self, *, limit_s: float) -> float:
        """Announce a newer revision; return the time until it is applied."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self.watcher.note_peer_revision(9)
        running = asyncio.ensure_future(self.fetcher.run())
        async with asyncio.timeout(limit_s):
            while self.watcher.behind:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        running.cancel()
        return loop.time() - started_s


def test_a_vm_without_the_store_fetches_from_its_own_data_centre() -> None:
    # When the configuration came from the store only, a VM that the store
    # refused applied an old version until it recovered, although other VMs had
    # the new one.
    async def run() -> None:
        vm = OutdatedVM()
        vm.receive_state("far", data_centre="b")
        vm.receive_state("near", data_centre="a")
        await vm.catch_up(limit_s=1.0)
        assert vm.fetched_from == ["near"]

    run_in_virtual_time(run)


def test_a_failed_peer_does_not_prevent_fetches_from_others() -> None:
    # A VM that has just failed still counts as having the version. If it were
    # chosen each time as the nearest, this VM would stay outdated.
    async def run() -> None:
        vm = OutdatedVM()
        vm.failed = {"gone"}
        vm.receive_state("gone", data_centre="a")
        vm.receive_state("near", data_centre="a")
        await vm.catch_up(limit_s=3.0)
        assert vm.fetched_from[-1] == "near"

    run_in_virtual_time(run)


def test_an_incomplete_response_does_not_prevent_fetches_from_others() -> None:
    # Over a congested link a response may stop halfway. Without a timeout this
    # VM would stay outdated although others could respond.
    async def run() -> None:
        vm = OutdatedVM()
        vm.stalled = {"stuck"}
        vm.receive_state("stuck", data_centre="a")
        vm.receive_state("far", data_centre="b")
        vm.peers._live = lambda _: True  # type: ignore[method-assign]
        await vm.catch_up(limit_s=3.0)
        assert vm.fetched_from == ["stuck", "far"]

    run_in_virtual_time(run)


def test_fetches_of_an_old_version_are_repeated_only_after_a_delay() -> None:
    # The revision that a VM reports and the one that it serves may differ.
    # Without a delay the fetch would be repeated in a tight loop.
    async def run() -> None:
        vm = OutdatedVM()
        vm.served = StoredObject("config/main", 0, b"{}")
        vm.receive_state("old", data_centre="a")
        vm.peers._live = lambda _: True  # type: ignore[method-assign]
        with pytest.raises(TimeoutError):
            await vm.catch_up(limit_s=10.0)
        assert len(vm.fetched_from) <= 30

    run_in_virtual_time(run)


def test_a_large_fleet_does_not_fetch_from_the_holder_at_once() -> None:
    # All VMs learn of a change from the holder's message, at the same moment.
    async def run() -> None:
        vm = OutdatedVM(peers=SMALL_FLEET_VMS)
        vm.receive_state("holder", data_centre="a", term=3)
        took_s = await vm.catch_up(limit_s=4.0)
        assert took_s >= HOLDER_EXCLUDED_S
        assert vm.fetched_from == ["holder"]

    run_in_virtual_time(run)


def test_nothing_is_fetched_while_no_newer_revision_is_known() -> None:
    # Otherwise each VM would load the others' links for a version it has
    # already.
    async def run() -> None:
        vm = OutdatedVM()
        vm.receive_state("near", data_centre="a")
        running = asyncio.ensure_future(vm.fetcher.run())
        await asyncio.sleep(5.0)
        assert vm.fetched_from == []
        running.cancel()

    run_in_virtual_time(run)


@pytest.mark.parametrize("size_bytes", [2, 300_000])
def test_a_fetched_configuration_equals_the_one_served(size_bytes: int) -> None:
    # A corrupted configuration, or one that is not newer, would go into force
    # here. Too many concurrent responses would saturate the serving VM's link.
    async def run() -> None:
        served = StoredObject("config/main", 9, b"x" * size_bytes)
        slots = asyncio.Semaphore(MAX_CONCURRENT_RESPONSES)
        application = configuration_application(lambda: served, slots=slots)
        socket, port = bind_unused_port()
        server = HTTPServer(application)
        server.add_socket(socket)
        pool = HttpPool(clock=SystemClock())
        fetch = http_fetcher(pool)
        address = f"127.0.0.1:{port}"
        assert await fetch(address, 8) == served
        assert await fetch(address, 9) is None
        for _ in range(MAX_CONCURRENT_RESPONSES):
            await slots.acquire()
        assert await fetch(address, 8) is None
        slots.release()
        assert await fetch(address, 8) == served
        pool.close()
        server.stop()

    asyncio.run(run())


@pytest.mark.parametrize(
    "body",
    [
        b"hello",
        zlib.compress(b"half")[:-6],
        zlib.compress(bytes(2 * MAX_CONFIGURATION_BYTES)),
    ],
    ids=["other", "cut", "huge"],
)
def test_an_invalid_response_body_fails_the_fetch(
    body: bytes,
) -> None:
    # A response that is truncated, or decompresses to more than the limit,
    # must neither go into force nor exhaust the memory.
    async def run() -> None:
        class Other(RequestHandler):
            async def get(self) -> None:
                self.set_header(REVISION_HEADER, "9")
                self.set_header(NAME_HEADER, "config/main")
                await self.finish(body)

        application = Application([(PATH, Other)])
        socket, port = bind_unused_port()
        server = HTTPServer(application)
        server.add_socket(socket)
        pool = HttpPool(clock=SystemClock())
        with pytest.raises(ExchangeError):
            await http_fetcher(pool)(f"127.0.0.1:{port}", 8)
        pool.close()
        server.stop()

    asyncio.run(run())
