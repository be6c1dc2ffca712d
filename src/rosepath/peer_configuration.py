"""Fetch the configuration from other entry VMs and serve it to them.

Each entry VM watches the store over its own link, which may be slow or cut
off. A VM that knows of a newer revision than its own also fetches it from a VM
that has it, so one VM that reaches the store is enough for all VMs that reach
that VM.
"""

import asyncio
import random
import zlib
from collections.abc import Awaitable, Callable

from tornado.web import Application, RequestHandler

from rosepath.clock import Clock
from rosepath.decompression import decompress
from rosepath.errors import ExchangeError, Step
from rosepath.http_client import HttpPool, Request
from rosepath.logs import get_logger
from rosepath.object_store import StoredObject
from rosepath.peer_table import Peer, PeerTable
from rosepath.store_watcher import StoreWatcher

PATH = "/configuration"
REVISION_HEADER = "Rosepath-Revision"
NAME_HEADER = "Rosepath-Object"
# Wait before a fetch; the VM's own watch delivers most changes sooner.
FETCH_DELAY_S = 0.3
# The compressed configuration is small. A VM that takes longer to send it has
# a congested link, and another one is tried.
FETCH_TIMEOUT_S = 1.0
# A client that stops reading must not occupy a response slot for longer.
SEND_TIMEOUT_S = 3.0
# Several times the store's limit for one object.
MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024
# Delay after a failed fetch, doubled after each further failure.
RETRY_DELAY_S = 0.1
RETRY_DELAY_MAX_S = 0.8
# In a large fleet all VMs learn of a change from the holder's message at once,
# and their fetches would overload its link. Within this time after a newer
# revision becomes known, they fetch from other VMs only.
HOLDER_EXCLUDED_S = 1.0
# Leaves most of the bandwidth of a slow link to callers.
MAX_CONCURRENT_RESPONSES = 4

Fetch = Callable[[str, int], Awaitable[StoredObject | None]]

_log = get_logger()


class PeerConfigurationFetcher:
    """Fetch newer configurations from other entry VMs.

    Pass them to the store watcher of the configuration, which applies them.
    """

    def __init__(
        self,
        data_centre: str,
        watcher: StoreWatcher,
        *,
        clock: Clock,
        peers: PeerTable,
        fetch: Fetch,
        rng: random.Random | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._watcher = watcher
        self._clock = clock
        self._peers = peers
        self.fetch = fetch
        self._rng = rng or random.Random()
        # VMs already tried since a newer revision became known.
        self._tried_peers: set[str] = set()

    async def run(self) -> None:
        """Fetch the configuration whenever a newer revision is known."""
        while True:
            await self._watcher.behind_event.wait()
            outdated_since_s = self._clock.monotonic_s()
            self._tried_peers.clear()
            await self._pause(FETCH_DELAY_S)
            pause_s = RETRY_DELAY_S
            while self._watcher.behind:
                behind_s = self._clock.monotonic_s() - outdated_since_s
                peer = self._choose_peer(behind_s)
                if peer is None:
                    # A state message may soon name a VM that has it.
                    await self._pause(RETRY_DELAY_S)
                elif not await self._fetch_from(peer, behind_s):
                    await self._pause(pause_s)
                    pause_s = min(2 * pause_s, RETRY_DELAY_MAX_S)

    async def _pause(self, pause_s: float) -> None:
        await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.5))

    async def _fetch_from(self, peer: Peer, behind_s: float) -> bool:
        """Fetch a newer configuration from a VM; return whether applied."""
        self._tried_peers.add(peer.name)
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                stored = await self.fetch(peer.address, self._watcher.changed_revision)
        except (ExchangeError, TimeoutError) as error:
            why = str(error) or "no complete response in time"
            _log.info("configuration_not_copied", step="peers", by=peer.name, why=why)
            return False
        if stored is None or not self._watcher.apply_copy(stored):
            return False
        _log.info(
            "configuration_copied",
            step="peers",
            by=peer.name,
            revision=stored.version,
            behind_s=round(behind_s, 3),
        )
        return True

    def _choose_peer(self, behind_s: float) -> Peer | None:
        """Return a VM with a newer revision, preferring this data centre."""
        holder = self._peers.holder()
        excluded = (
            holder if self._peers.large_fleet and behind_s < HOLDER_EXCLUDED_S else None
        )
        candidates = [
            peer
            for peer in self._peers.live()
            if peer.state is not None
            and peer.state.configuration_revision > self._watcher.changed_revision
            and peer is not excluded
        ]
        if self._tried_peers.issuperset(peer.name for peer in candidates):
            self._tried_peers.clear()
        untried = [peer for peer in candidates if peer.name not in self._tried_peers]
        local = [
            peer
            for peer in untried
            if peer.state and peer.state.data_centre == self._data_centre
        ]
        return self._rng.choice(local or untried) if candidates else None


def http_fetcher(pool: HttpPool) -> Fetch:
    """Return a function that fetches over HTTP and raises ExchangeError."""

    async def fetch(address: str, newer_than: int) -> StoredObject | None:
        request = Request(
            address=address,
            method="GET",
            path=f"{PATH}?newer_than={newer_than}",
            connect_timeout_s=FETCH_TIMEOUT_S,
            progress_timeout_s=FETCH_TIMEOUT_S,
        )
        head, body = await pool.fetch(request, max_bytes=MAX_CONFIGURATION_BYTES)
        if head.status != 200:
            return None
        try:
            return StoredObject(
                head.headers[NAME_HEADER],
                int(head.headers[REVISION_HEADER]),
                decompress(body, max_bytes=MAX_CONFIGURATION_BYTES),
            )
        except (KeyError, ValueError) as error:
            raise ExchangeError(
                f"not a configuration: {error}",
                step=Step.RESPONSE,
                peer=address,
                sent=True,
                answered=True,
            ) from error

    return fetch


def configuration_application(
    configuration: Callable[[], StoredObject | None],
    *,
    slots: asyncio.Semaphore | None = None,
) -> Application:
    """Build the application that serves this VM's configuration to others."""
    options = {
        "configuration": configuration,
        "slots": slots or asyncio.Semaphore(MAX_CONCURRENT_RESPONSES),
    }
    return Application(
        [(PATH, ConfigurationHandler, options)], log_function=lambda _: None
    )


class ConfigurationHandler(RequestHandler):
    """Serve the configuration in force to another entry VM."""

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
                await self._send_configuration(stored)

    async def _send_configuration(self, stored: StoredObject) -> None:
        self.set_header(REVISION_HEADER, str(stored.version))
        self.set_header(NAME_HEADER, stored.name)
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await self.finish(zlib.compress(stored.value))
        except TimeoutError:
            self.request.connection.stream.close()  # type: ignore[union-attr]
