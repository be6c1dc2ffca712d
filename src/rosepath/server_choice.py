"""Which server of a plain service takes a request."""

import random
from collections.abc import Collection, Iterable

from rosepath.fleet import BackendServer

# Between data centres a request takes a millisecond more both ways; a server
# with as many requests more than this per slot is slower than that.
REMOTE_PENALTY = 0.1

# A server that answers every other request with an error is passed over for
# any that has a free slot.
ERROR_PENALTY = 2.0
ERROR_RATE_SMOOTHING = 0.15

# A server that takes no connection is tried again after this; its entry stays
# for three heartbeats after its end.
DOWN_S = 0.7
SUSPECT_FIRST_S = 0.5
SUSPECT_MAX_S = 4.0
# Plain failures happen to good servers, too; this many in a row do not.
TOLERATED_FAILURES = 3


def healthy_servers(
    servers: Iterable[BackendServer], *, cut_off: Collection[str], now_s: float
) -> list[BackendServer]:
    """Return the servers that did not fail lately and can be reached."""
    return [
        server
        for server in servers
        if server.suspect_until_s <= now_s and server.entry.data_centre not in cut_off
    ]


def choose_server(
    servers: Iterable[BackendServer],
    *,
    data_centre: str,
    tried: Collection[str],
    cut_off: Collection[str],
    now_s: float,
    rng: random.Random,
) -> BackendServer | None:
    """Choose the least busy server; one that failed lately goes behind."""
    eligible = [
        server
        for server in servers
        if server.accepts_requests(now_s) and server.name not in tried
    ]
    return min(
        healthy_servers(eligible, cut_off=cut_off, now_s=now_s) or eligible,
        key=lambda server: (
            server.requests / max(1, server.entry.slots)
            + ERROR_PENALTY * server.error_rate
            + (REMOTE_PENALTY if server.entry.data_centre != data_centre else 0.0),
            rng.random(),
        ),
        default=None,
    )


def note_success(server: BackendServer, *, took_s: float) -> None:
    """Restore trust and learn how long an answer takes."""
    server.failures = 0
    server.suspect_until_s = 0.0
    server.error_rate -= ERROR_RATE_SMOOTHING * server.error_rate
    server.latency_s += 0.2 * (took_s - server.latency_s)


def note_backoff(server: BackendServer, *, retry_after_s: float, now_s: float) -> None:
    """Note that a server sheds load, and after how long to come back."""
    until_s = now_s + retry_after_s
    server.backoff_until_s = max(server.backoff_until_s, until_s)
    server.half_open = True


def note_answer(server: BackendServer, *, now_s: float) -> None:
    """Note that a server answers without shedding load."""
    if not server.in_backoff(now_s):
        server.half_open = False


def note_unreached(server: BackendServer, *, now_s: float) -> None:
    """Note that no connection to a server came about."""
    server.unreached_s = now_s
    server.down_until_s = now_s + DOWN_S


def note_error(server: BackendServer) -> None:
    """Learn that a server answered with an error of its own."""
    server.error_rate += ERROR_RATE_SMOOTHING * (1.0 - server.error_rate)


def note_failure(server: BackendServer, *, now_s: float, silent: bool) -> None:
    """Put a server behind the others for a while, longer each time."""
    server.failures += 1
    note_error(server)
    if not silent and server.failures < TOLERATED_FAILURES:
        return
    pause_s = SUSPECT_FIRST_S * 2 ** min(server.failures, 4)
    server.suspect_until_s = now_s + min(pause_s, SUSPECT_MAX_S)
