"""A VM that is behind gets the configuration from one that has it."""

import asyncio
import random
import zlib
from dataclasses import replace

import pytest
from entry_builders import a_peer_state
from fleet_world import play
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler
from virtual_time import LoopClock

from rosepath.clock import SystemClock
from rosepath.configuration_copies import (
    HOLDER_AFTER_S,
    MAX_COPY_BYTES,
    NAME_HEADER,
    PATH,
    REVISION_HEADER,
    SERVED_AT_ONCE,
    ConfigurationCopies,
    copies_application,
    fetch_over,
)
from rosepath.errors import ExchangeError, Step
from rosepath.feed import Feed
from rosepath.http_client import HttpPool
from rosepath.object_store import Change, Listing, StoredObject, StoreError
from rosepath.peer_table import FEW_VMS, PeerTable

NEWER = StoredObject("config/main", 9, b"{}")


class FailingStore:
    """Answer nothing."""

    async def list(self, *_: object, **__: object) -> Listing:
        raise StoreError("turned away", step=Step.STORE)

    async def changes(self, *_: object, **__: object) -> Change:
        raise StoreError("turned away", step=Step.STORE)


class Behind:
    """Hold a VM that its store fails, and note whom it asks."""

    def __init__(self, *, crowd: int = 0) -> None:
        clock = LoopClock()
        self.peers = PeerTable("me", clock=clock)
        for number in range(crowd):
            self.peers.learn(f"other-{number}", f"10.0.0.2:{number + 1}")
        self.feed = Feed(
            FailingStore(),
            "config",
            clock=clock,
            on_listing=lambda _: None,
            on_change=lambda _: None,
            urgent=True,
        )
        self.asked: list[str] = []
        self.gone: set[str] = set()
        self.stuck: set[str] = set()
        self.given = NEWER
        self.copies = ConfigurationCopies(
            "a",
            self.feed,
            clock=clock,
            peers=self.peers,
            fetch=self._fetch,
            rng=random.Random(7),
        )

    async def _fetch(self, address: str, newer_than: int) -> StoredObject | None:
        self.asked.append(address)
        if address in self.gone:
            raise ExchangeError(
                "cannot connect", step=Step.CONNECT, peer=address, sent=False
            )
        if address in self.stuck:
            await asyncio.Event().wait()
        return self.given

    def hear(self, name: str, *, data_centre: str, term: int = 0) -> None:
        state = a_peer_state(name, data_centre=data_centre, term=term)
        self.peers.take(replace(state, address=name, configuration_revision=9))

    async def catch_up(self, *, limit_s: float) -> float:
        """Return how long it takes until this VM is no longer behind."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        self.feed.hear(9)
        running = asyncio.ensure_future(self.copies.run())
        async with asyncio.timeout(limit_s):
            while self.feed.behind:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        running.cancel()
        return loop.time() - begun_s


def test_a_vm_that_the_store_turns_away_has_the_version_that_others_have() -> None:
    # Only the store was asked: a VM that it turned away served callers by an
    # old version for as long as that lasted, next to VMs that had the new one.
    async def run() -> None:
        behind = Behind()
        behind.hear("far", data_centre="b")
        behind.hear("near", data_centre="a")
        await behind.catch_up(limit_s=1.0)
        assert behind.asked == ["near"]

    play(run)


def test_a_vm_that_is_gone_does_not_keep_others_from_being_asked() -> None:
    # A VM that has just died still counts as one that has the version: chosen
    # each time as the nearest, it would keep this one behind.
    async def run() -> None:
        behind = Behind()
        behind.gone = {"gone"}
        behind.hear("gone", data_centre="a")
        behind.hear("near", data_centre="a")
        await behind.catch_up(limit_s=3.0)
        assert behind.asked[-1] == "near"

    play(run)


def test_a_vm_that_never_ends_its_answer_does_not_keep_others_from_being_asked() -> (
    None
):
    # Over a full link an answer may stop halfway: waited for without a bound,
    # it keeps this VM behind while others could answer.
    async def run() -> None:
        behind = Behind()
        behind.stuck = {"stuck"}
        behind.hear("stuck", data_centre="a")
        behind.hear("far", data_centre="b")
        behind.peers._live = lambda _: True  # type: ignore[method-assign]
        await behind.catch_up(limit_s=3.0)
        assert behind.asked == ["stuck", "far"]

    play(run)


def test_a_vm_that_gives_an_old_copy_is_not_asked_all_the_time() -> None:
    # What a VM says that it has and what it gives may differ. Asked again at
    # once, it would be sent requests in a loop without a pause.
    async def run() -> None:
        behind = Behind()
        behind.given = StoredObject("config/main", 0, b"{}")
        behind.hear("old", data_centre="a")
        behind.peers._live = lambda _: True  # type: ignore[method-assign]
        with pytest.raises(TimeoutError):
            await behind.catch_up(limit_s=10.0)
        assert len(behind.asked) <= 30

    play(run)


def test_a_crowd_does_not_fall_upon_the_holder() -> None:
    # All learn of a change by the holder's word, at the same moment.
    async def run() -> None:
        behind = Behind(crowd=FEW_VMS)
        behind.hear("holder", data_centre="a", term=3)
        took_s = await behind.catch_up(limit_s=4.0)
        assert took_s >= HOLDER_AFTER_S
        assert behind.asked == ["holder"]

    play(run)


def test_nobody_is_asked_while_nothing_newer_is_known() -> None:
    # Each VM would otherwise load the others' links for what it has already.
    async def run() -> None:
        behind = Behind()
        behind.hear("near", data_centre="a")
        running = asyncio.ensure_future(behind.copies.run())
        await asyncio.sleep(5.0)
        assert behind.asked == []
        running.cancel()

    play(run)


@pytest.mark.parametrize("size_bytes", [2, 300_000])
def test_a_copy_is_what_the_other_vm_read(size_bytes: int) -> None:
    # A copy that is changed on its way, or an old one that is sent all the
    # same, would go into force here; a VM that gives many at once fills its
    # own link.
    async def run() -> None:
        held = StoredObject("config/main", 9, b"x" * size_bytes)
        slots = asyncio.Semaphore(SERVED_AT_ONCE)
        application = copies_application(lambda: held, slots=slots)
        socket, port = bind_unused_port()
        server = HTTPServer(application)
        server.add_socket(socket)
        pool = HttpPool(clock=SystemClock())
        fetch = fetch_over(pool)
        address = f"127.0.0.1:{port}"
        assert await fetch(address, 8) == held
        assert await fetch(address, 9) is None
        for _ in range(SERVED_AT_ONCE):
            await slots.acquire()
        assert await fetch(address, 8) is None
        slots.release()
        assert await fetch(address, 8) == held
        pool.close()
        server.stop()

    asyncio.run(run())


@pytest.mark.parametrize(
    "body",
    [b"hello", zlib.compress(b"half")[:-6], zlib.compress(bytes(2 * MAX_COPY_BYTES))],
    ids=["other", "cut", "huge"],
)
def test_bytes_that_are_no_copy_are_a_failure_and_not_a_configuration(
    body: bytes,
) -> None:
    # What is cut short, or unpacks to more than any configuration, must
    # neither go into force nor fill the memory.
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
            await fetch_over(pool)(f"127.0.0.1:{port}", 8)
        pool.close()
        server.stop()

    asyncio.run(run())
