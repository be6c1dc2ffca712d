"""Choose between direct connections to backend servers and tunnels."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, field
from functools import partial

from rosepath.clock import Clock
from rosepath.dialing import Dial
from rosepath.errors import ExchangeError, Step
from rosepath.hedged_calls import OnResponseStart, first_response
from rosepath.http_exchange import Connection
from rosepath.logs import get_logger
from rosepath.peer_table import Peer, PeerTable
from rosepath.tunnels import open_tunnel

# Connecting directly takes a few milliseconds. After this time a tunnel is
# opened beside it, as nothing has been sent yet.
SLOW_CONNECT_S = 0.05
# A tunnel takes two hops and the other entry VM's connection to the server.
SLOW_TUNNEL_S = 0.1
# How long the direct path to a server is not tried first after it failed while
# a tunnel worked.
DIRECT_RETRY_S = 1.0
# How long an entry VM through which no tunnel could be opened is avoided.
FORWARDER_RETRY_S = 1.0
# Forwarders tried for one connection. They include one of another data centre,
# as the VMs of a data centre may have lost their links together.
MAX_FORWARDERS = 3
# How long a server that refused this VM and its forwarders is not asked for
# through them again.
DOWN_TTL_S = 0.3
# A VM is partitioned if its direct paths to so many servers failed in a row.
PARTITIONED_PATHS = 2
# A refused connection means that the server is down only if another entry VM
# was refused as well.
MIN_OPINIONS = 2
PATH_TTL_S = 60.0
# The time of what has not happened.
NEVER_S = -1e9

_log = get_logger()

OpenPath = Callable[[], Awaitable[Connection]]


@dataclass(slots=True)
class ServerPath:
    """State of the paths to one server.

    `direct_failed_s` is when the direct path last failed or hung while a
    tunnel worked, `refused_s` when every path was refused.
    """

    direct_failed_s: float = NEVER_S
    refused_s: float = NEVER_S

    def avoids_direct(self, now_s: float) -> bool:
        """Return whether a tunnel is tried before the direct path."""
        return now_s < self.direct_failed_s + DIRECT_RETRY_S

    @property
    def was_lost(self) -> bool:
        """Return whether a tunnel worked where the direct path did not."""
        return self.direct_failed_s > NEVER_S

    def is_down(self, now_s: float) -> bool:
        """Return whether the server refused all VMs a moment ago."""
        return now_s < self.refused_s + DOWN_TTL_S


def choose_forwarders(
    peers: Iterable[Peer],
    *,
    data_centre: str,
    tunnels: Callable[[str], int],
    avoided: Collection[str],
    rng: random.Random,
) -> list[Peer]:
    """Return the entry VMs to try in turn as forwarders.

    Each is the one with fewer tunnels among two drawn at random, the first of
    this data centre and the second of others as far as they have any.
    """
    reaching = [
        peer
        for peer in peers
        if peer.state is not None
        and not peer.state.stopping
        and not peer.state.partitioned
        and peer.name not in avoided
    ]
    local = [
        peer
        for peer in reaching
        if peer.state is not None and peer.state.data_centre == data_centre
    ]
    remote = [peer for peer in reaching if peer not in local]
    chosen: list[Peer] = []
    for pool in (local, remote, local + remote):
        left = [peer for peer in pool if peer not in chosen]
        drawn = rng.sample(left, min(2, len(left)))
        if drawn and len(chosen) < MAX_FORWARDERS:
            chosen.append(min(drawn, key=lambda peer: tunnels(peer.name)))
    return chosen


class ServerPaths:
    """Own the state of the paths to each server, and open connections.

    Only the connection differs: nothing is sent before it is chosen, so that
    trying several paths at once runs no request twice.
    """

    def __init__(
        self,
        data_centre: str,
        *,
        clock: Clock,
        dial: Dial,
        peers: PeerTable,
        rng: random.Random | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._clock = clock
        self._dial_directly = dial
        self._peers = peers
        self._rng = rng or random.Random()
        self._paths: dict[str, ServerPath] = {}
        # By entry VM, the open tunnels through it.
        self._tunnels: dict[str, list[Connection]] = defaultdict(list)
        self._forwarder_failed_s: dict[str, float] = {}
        # By address, when the direct path failed while a tunnel worked, since
        # the last direct connection to any server.
        self._failures_in_a_row: dict[str, float] = {}
        self.tunnel_count = 0

    def has_direct_path(self, address: str) -> bool:
        """Return whether the direct path to a server has not just failed."""
        path = self._paths.get(address)
        return path is None or not path.avoids_direct(self._clock.monotonic_s())

    @property
    def failed_direct_paths(self) -> int:
        """Return the number of servers reached only through other VMs."""
        # Traffic tries the direct path again once in DIRECT_RETRY_S.
        since_s = self._clock.monotonic_s() - 2 * DIRECT_RETRY_S
        return sum(path.direct_failed_s > since_s for path in self._paths.values())

    @property
    def partitioned(self) -> bool:
        """Return whether this VM has lost its links to the servers.

        Single connections also fail when packets are lost.
        """
        since_s = self._clock.monotonic_s() - 2 * DIRECT_RETRY_S
        recent = sum(at_s > since_s for at_s in self._failures_in_a_row.values())
        return recent >= PARTITIONED_PATHS

    async def dial(self, address: str, *, timeout_s: float) -> Connection:
        """Connect to a server directly or through another entry VM.

        Raise ExchangeError; `refused` if the server refused every path.
        """
        path = self._paths.get(address) or ServerPath()
        search = _Search(address, timeout_s)
        avoids_direct = path.avoids_direct(self._clock.monotonic_s())
        slow_s = SLOW_TUNNEL_S if avoids_direct else SLOW_CONNECT_S
        steps = self._steps(search, path)

        async def open_next(_: OnResponseStart) -> Connection:
            for step in steps:
                try:
                    return await step()
                except ExchangeError as error:
                    search.errors.append(error)
            raise _connect_error(search.address, "no other path")

        chosen: Connection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                chosen = await first_response(
                    open_next,
                    slow_after_s=slow_s,
                    hedge_interval_s=SLOW_TUNNEL_S,
                    max_concurrent=MAX_FORWARDERS + 1,
                )
        except (ExchangeError, TimeoutError) as error:
            raise self._conclude(search) from error
        finally:
            for connection in search.opened:
                if connection is not chosen:
                    connection.close()
        self._note_connected(search, chosen)
        return chosen

    def _steps(self, search: "_Search", path: ServerPath) -> Iterator[OpenPath]:
        """Yield the ways to connect in the order in which they are tried.

        Forwarders are chosen only if needed.
        """
        now_s = self._clock.monotonic_s()
        direct = partial(self._open_directly, search)
        if path.is_down(now_s):
            yield direct
            return
        avoids_direct = path.avoids_direct(now_s)
        if not avoids_direct:
            yield direct
        for peer in self._choose_forwarders():
            yield partial(self._open_tunnel, search, peer)
        if avoids_direct:
            yield direct

    async def _open_directly(self, search: "_Search") -> Connection:
        search.tried_directly = True
        connection = await self._dial_directly(
            search.address, timeout_s=search.timeout_s
        )
        search.opened[connection] = ""
        return connection

    async def _open_tunnel(self, search: "_Search", peer: Peer) -> Connection:
        search.forwarders.append(peer.name)
        try:
            connection = await open_tunnel(
                peer.address, search.address, timeout_s=search.timeout_s
            )
        except ExchangeError as error:
            if not error.refused:
                self._forwarder_failed_s[peer.name] = self._clock.monotonic_s()
            raise
        search.opened[connection] = peer.name
        self._tunnels[peer.name].append(connection)
        return connection

    def _choose_forwarders(self) -> list[Peer]:
        limit_s = self._clock.monotonic_s() - FORWARDER_RETRY_S
        failed = {
            name
            for name, failed_s in self._forwarder_failed_s.items()
            if failed_s > limit_s
        }
        live = self._peers.live()
        for avoided in (failed, frozenset[str]()):
            chosen = choose_forwarders(
                live,
                data_centre=self._data_centre,
                tunnels=self._open_tunnels,
                avoided=avoided,
                rng=self._rng,
            )
            if chosen:
                return chosen
        return []

    def _open_tunnels(self, forwarder: str) -> int:
        """Return the number of open tunnels through an entry VM."""
        self._tunnels[forwarder] = [
            connection
            for connection in self._tunnels[forwarder]
            if not connection.closed
        ]
        return len(self._tunnels[forwarder])

    def _note_connected(self, search: "_Search", connection: Connection) -> None:
        """Record which path worked, and that those tried before did not."""
        now_s = self._clock.monotonic_s()
        path = self._paths.get(search.address)
        if not connection.single_use:
            self._failures_in_a_row.clear()
            if path is not None:
                del self._paths[search.address]
                if path.was_lost:
                    _log.info("server_path_direct", peer=search.address)
            return
        self.tunnel_count += 1
        forwarder = search.opened[connection]
        failed = [name for name in search.forwarders if name != forwarder]
        self._forwarder_failed_s.update(dict.fromkeys(failed, now_s))
        if path is None:
            self._drop_old_paths(now_s)
            path = self._paths[search.address] = ServerPath()
        if not path.was_lost:
            _log.info(
                "server_path_lost",
                step=Step.CONNECT.value,
                peer=search.address,
                by=forwarder,
                why=search.errors[0].message if search.errors else "slow",
            )
        if search.tried_directly:
            path.direct_failed_s = self._failures_in_a_row[search.address] = now_s

    def _conclude(self, search: "_Search") -> ExchangeError:
        """Build the error of a connection for which no path worked."""
        # A forwarder that has no path itself says nothing of the server.
        opinions = [
            error for error in search.errors if error.refused or error.timed_out
        ]
        enough = not search.forwarders or len(opinions) >= MIN_OPINIONS
        refused = enough and bool(opinions) and all(e.refused for e in opinions)
        if refused and search.forwarders:
            now_s = self._clock.monotonic_s()
            self._drop_old_paths(now_s)
            self._paths.setdefault(search.address, ServerPath()).refused_s = now_s
        why = search.errors[0].message if search.errors else "no path in time"
        return _connect_error(search.address, why, refused=refused)

    def _drop_old_paths(self, now_s: float) -> None:
        """Forget servers to which nothing was sent lately."""
        since_s = now_s - PATH_TTL_S
        for address, path in list(self._paths.items()):
            if max(path.direct_failed_s, path.refused_s) < since_s:
                del self._paths[address]


@dataclass(slots=True)
class _Search:
    """Hold what was tried for one connection."""

    address: str
    timeout_s: float
    tried_directly: bool = False
    # The forwarder of each connection that was opened; empty if it is direct.
    opened: dict[Connection, str] = field(default_factory=dict)
    errors: list[ExchangeError] = field(default_factory=list)
    # The entry VMs through which it was tried, in order.
    forwarders: list[str] = field(default_factory=list)


def _connect_error(address: str, why: str, *, refused: bool = False) -> ExchangeError:
    return ExchangeError(
        why,
        step=Step.CONNECT,
        peer=address,
        sent=False,
        refused=refused,
        timed_out=not refused,
    )
