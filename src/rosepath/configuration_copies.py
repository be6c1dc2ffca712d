"""Copies of the configuration from entry VM to entry VM.

Each VM follows the store by itself, over a link that may be slow or cut. One that
knows of a newer configuration than its own fetches it from a VM that has it: one
VM that reaches the store is enough for all that reach that VM.
"""

import asyncio
import random
import zlib
from collections.abc import Awaitable, Callable

from tornado.web import Application, RequestHandler

from rosepath.clock import Clock
from rosepath.errors import ExchangeError, Step
from rosepath.feed import Feed
from rosepath.http_client import HttpPool, Request
from rosepath.logs import get_logger
from rosepath.object_store import StoredObject
from rosepath.peer_table import Peer, PeerTable

PATH = "/configuration"
REVISION_HEADER = "Rosepath-Revision"
NAME_HEADER = "Rosepath-Object"
# A VM's own watch brings most changes sooner than this.
SEEK_AFTER_S = 0.3
# A copy is small once compressed; a VM that takes longer has a full link itself, and
# another may be asked.
FETCH_LIMIT_S = 1.0
# A VM that stops reading must not keep others from being served.
SERVE_LIMIT_S = 3.0
# Several times what the store takes for one object.
MAX_COPY_BYTES = 4 * 1024 * 1024
# From one VM that gave no copy to the next that is asked; doubled each time.
ASK_AGAIN_S = 0.1
ASK_AGAIN_MAX_S = 0.8
# In a crowd all learn of a change by the holder's word at once: asked by all of
# them, it could tell none. Only those that find nobody else ask it.
HOLDER_AFTER_S = 1.0
# So many copies at once leave most of a slow link to callers.
SERVED_AT_ONCE = 4

Fetch = Callable[[str, int], Awaitable[StoredObject | None]]

_log = get_logger()


class ConfigurationCopies:
    """Fetch newer configurations from other entry VMs."""

    def __init__(
        self,
        data_centre: str,
        feed: Feed,
        *,
        clock: Clock,
        peers: PeerTable,
        fetch: Fetch,
        rng: random.Random | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._feed = feed
        self._clock = clock
        self._peers = peers
        self.fetch = fetch
        self._rng = rng or random.Random()
        # Who was asked in vain since this VM fell behind.
        self._in_vain: set[str] = set()

    async def run(self) -> None:
        """Fetch a copy each time that this VM falls behind, for ever."""
        while True:
            await self._feed.wanted.wait()
            since_s = self._clock.monotonic_s()
            self._in_vain.clear()
            await self._pause(SEEK_AFTER_S)
            pause_s = ASK_AGAIN_S
            while self._feed.behind:
                behind_s = self._clock.monotonic_s() - since_s
                peer = self._choose(behind_s)
                if peer is None:
                    # Word of somebody who has it may come with the next datagram.
                    await self._pause(ASK_AGAIN_S)
                elif not await self._ask(peer, behind_s):
                    await self._pause(pause_s)
                    pause_s = min(2 * pause_s, ASK_AGAIN_MAX_S)

    async def _pause(self, pause_s: float) -> None:
        await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.5))

    async def _ask(self, peer: Peer, behind_s: float) -> bool:
        """Ask a VM that has a newer configuration; tell whether it gave it."""
        self._in_vain.add(peer.name)
        try:
            async with asyncio.timeout(FETCH_LIMIT_S):
                stored = await self.fetch(peer.address, self._feed.changed_revision)
        except (ExchangeError, TimeoutError) as error:
            why = str(error) or "no whole answer in time"
            _log.info("configuration_not_copied", step="peers", by=peer.name, why=why)
            return False
        if stored is None or not self._feed.take_copy(stored):
            return False
        _log.info(
            "configuration_copied",
            step="peers",
            by=peer.name,
            revision=stored.version,
            behind_s=round(behind_s, 3),
        )
        return True

    def _choose(self, behind_s: float) -> Peer | None:
        """Return a VM that has a newer one, of this data centre if there is any."""
        holder = self._peers.holder()
        spared = holder if self._peers.crowded and behind_s < HOLDER_AFTER_S else None
        able = [
            peer
            for peer in self._peers.live()
            if peer.state is not None
            and peer.state.configuration_revision > self._feed.changed_revision
            and peer is not spared
        ]
        if self._in_vain.issuperset(peer.name for peer in able):
            self._in_vain.clear()
        untried = [peer for peer in able if peer.name not in self._in_vain]
        near = [
            peer
            for peer in untried
            if peer.state and peer.state.data_centre == self._data_centre
        ]
        return self._rng.choice(near or untried) if able else None


def fetch_over(pool: HttpPool) -> Fetch:
    """Return how a copy is fetched over HTTP; raises ExchangeError."""

    async def fetch(address: str, newer_than: int) -> StoredObject | None:
        request = Request(
            address=address,
            method="GET",
            path=f"{PATH}?newer_than={newer_than}",
            connect_timeout_s=FETCH_LIMIT_S,
            progress_timeout_s=FETCH_LIMIT_S,
        )
        head, body = await pool.fetch(request)
        if head.status != 200:
            return None
        try:
            return StoredObject(
                head.headers[NAME_HEADER],
                int(head.headers[REVISION_HEADER]),
                _unpack(body),
            )
        except (KeyError, ValueError, zlib.error) as error:
            raise ExchangeError(
                f"not a configuration: {error}",
                step=Step.ANSWER,
                peer=address,
                sent=True,
                answered=True,
            ) from error

    return fetch


def _unpack(body: bytes) -> bytes:
    """Decompress a copy; raises ValueError if it is larger than any can be."""
    unpacking = zlib.decompressobj()
    unpacked = unpacking.decompress(body, MAX_COPY_BYTES)
    if not unpacking.eof:
        raise ValueError("not whole, or too large")
    return unpacked


def copies_application(
    configuration: Callable[[], StoredObject | None],
    *,
    slots: asyncio.Semaphore | None = None,
) -> Application:
    """Build what gives other entry VMs the configuration in force here."""
    options = {
        "configuration": configuration,
        "slots": slots or asyncio.Semaphore(SERVED_AT_ONCE),
    }
    return Application([(PATH, CopyHandler, options)], log_function=lambda _: None)


class CopyHandler(RequestHandler):
    """Answer one entry VM that asks for a copy."""

    def initialize(
        self,
        configuration: Callable[[], StoredObject | None],
        slots: asyncio.Semaphore,
    ) -> None:
        self._configuration = configuration
        self._slots = slots

    def compute_etag(self) -> str | None:
        return None

    async def get(self) -> None:
        stored = self._configuration()
        newer_than = self.get_query_argument("newer_than", "0")
        if not newer_than.isdigit():
            self.set_status(400)
        elif stored is None or stored.version <= int(newer_than):
            self.set_status(404)
        elif self._slots.locked():
            self.set_status(503)
        else:
            async with self._slots:
                await self._give(stored)

    async def _give(self, stored: StoredObject) -> None:
        self.set_header(REVISION_HEADER, str(stored.version))
        self.set_header(NAME_HEADER, stored.name)
        try:
            async with asyncio.timeout(SERVE_LIMIT_S):
                await self.finish(zlib.compress(stored.value))
        except TimeoutError:
            self.request.connection.stream.close()  # type: ignore[union-attr]
