"""Rate limits that backend servers state in their responses.

The VM that reads a limit tells the others, which would otherwise learn of it only
from a response to a request too many.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from rosepath.fleet import BackendServer, Fleet
from rosepath.logs import get_logger
from rosepath.server_notice import ServerNotice

# How long a state message repeats that a limit has ended: long enough for
# every VM to get one, through a forwarding VM, though several are lost.
ENDED_LIMIT_SENT_S = 5.0

_log = get_logger()


class ServerLimit(NamedTuple):
    """Tell another VM the limit of a server, or that it has none.

    `born_ms` identifies the instance of the server, `stated_ago_s` is the age of
    the response.
    """

    server: str
    born_ms: int
    limit_per_s: float | None
    stated_ago_s: float


def apply_limit_notice(
    server: BackendServer, notice: ServerNotice, *, now_s: float
) -> bool:
    """Apply the limit in a server's response; return whether it changed."""
    if notice.limit_per_s is None and not notice.unlimited:
        return False
    server.limit_stated_s = now_s
    return _apply(server, notice.limit_per_s, told_by="")


def apply_peer_limits(
    fleet: Fleet, limits: Iterable[ServerLimit], *, entry_vm: str, now_s: float
) -> bool:
    """Apply what another VM read in later responses; return whether it changed."""
    changed = False
    for limit in limits:
        server = fleet.servers.get(limit.server)
        if server is None or server.entry.born_ms != limit.born_ms:
            continue
        stated_s = now_s - limit.stated_ago_s
        if stated_s > server.limit_stated_s:
            server.limit_stated_s = stated_s
            changed |= _apply(server, limit.limit_per_s, told_by=entry_vm)
    return changed


def known_limits(fleet: Fleet, *, now_s: float) -> tuple[ServerLimit, ...]:
    """Return the limits in force, and those that have just ended."""
    return tuple(
        ServerLimit(
            server.name,
            server.entry.born_ms,
            server.limit_per_s,
            now_s - server.limit_stated_s,
        )
        for server in fleet.servers.values()
        if server.limit_per_s is not None
        or now_s - server.limit_ended_s < ENDED_LIMIT_SENT_S
    )


def limited_servers(fleet: Fleet) -> int:
    """Return how many servers state a rate limit."""
    return sum(server.limit_per_s is not None for server in fleet.servers.values())


def _apply(server: BackendServer, limit_per_s: float | None, *, told_by: str) -> bool:
    if limit_per_s == server.limit_per_s:
        return False
    _log.info(
        "server_limit",
        peer=server.name,
        limit_per_s=limit_per_s,
        previous_per_s=server.limit_per_s,
        told_by=told_by,
    )
    server.limit_per_s = limit_per_s
    if limit_per_s is None:
        server.limit_ended_s = server.limit_stated_s
        server.limit_wait_until_s = -math.inf
    return True
