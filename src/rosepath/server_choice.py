"""Choose a backend server for a request to a service without engines."""

import random
from collections.abc import Collection, Iterable

from rosepath.fleet import BackendServer

# A request to another data centre takes a millisecond longer each way. A local
# server with this many more requests per slot is slower than that.
REMOTE_PENALTY = 0.1

# A server that responds to every other request with an error is chosen after
# any server with a free slot.
ERROR_PENALTY = 2.0
ERROR_RATE_SMOOTHING = 0.15

# A server that refuses connections is tried again after this time; its entry
# stays in the store for three heartbeats after the server ends.
CONNECT_RETRY_DELAY_S = 0.7
SUSPECT_INITIAL_S = 0.5
SUSPECT_MAX_S = 4.0
# Healthy servers fail occasionally, but not this many times in a row.
TOLERATED_FAILURES = 3


def healthy_servers(
    servers: Iterable[BackendServer], *, cut_off: Collection[str], now_s: float
) -> list[BackendServer]:
    """Return the reachable servers without a recent failure."""
    return [
        server
        for server in servers
        if server.suspect_until_s <= now_s
        and server.silent_until_s <= now_s
        and server.entry.data_centre not in cut_off
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
    """Choose the least busy server, preferring healthy ones."""
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
    """Clear the failure state and update error rate and mean latency."""
    server.failures = 0
    server.suspect_until_s = 0.0
    server.error_rate -= ERROR_RATE_SMOOTHING * server.error_rate
    server.latency_s += 0.2 * (took_s - server.latency_s)


def note_backoff(server: BackendServer, *, retry_after_s: float, now_s: float) -> None:
    """Record that a server sheds load, and when requests to it may resume."""
    until_s = now_s + retry_after_s
    server.backoff_until_s = max(server.backoff_until_s, until_s)
    server.half_open = True
    _note_heard(server, now_s=now_s)


def note_response(server: BackendServer, *, now_s: float) -> None:
    """Record a response without load shedding; it ends the half-open state."""
    _note_heard(server, now_s=now_s)
    if not server.in_backoff(now_s):
        server.half_open = False


def _note_heard(server: BackendServer, *, now_s: float) -> None:
    server.heard_s = now_s
    server.unanswered = 0


def note_unanswered(server: BackendServer, *, sent_s: float) -> bool:
    """Record that a request was given up before its server answered at all.

    The server may shed load and have asked for a backoff that reached nobody, so
    that it is probed with one request at a time until it is heard again. Return
    whether that begins now.
    """
    heard_s = max(server.heard_s, server.last_activity_s or 0.0)
    if heard_s > sent_s or server.unheard:
        return False
    server.half_open = True
    server.unanswered = 1
    return True


def note_sent(server: BackendServer) -> None:
    """Record that a request is sent, as a further probe if the server is unheard."""
    if server.unheard:
        server.unanswered += 1


def note_connect_failure(server: BackendServer, *, now_s: float) -> None:
    """Record a failed connection attempt."""
    server.connect_failed_s = now_s
    server.down_until_s = now_s + CONNECT_RETRY_DELAY_S


def note_error(server: BackendServer) -> None:
    """Raise the error rate after an error response from the server itself."""
    server.error_rate += ERROR_RATE_SMOOTHING * (1.0 - server.error_rate)


def note_failure(server: BackendServer, *, now_s: float, silent: bool) -> None:
    """Record a failure and suspect the server, longer after each in a row."""
    server.failures += 1
    note_error(server)
    if not silent and server.failures < TOLERATED_FAILURES:
        return
    pause_s = SUSPECT_INITIAL_S * 2 ** min(server.failures, 4)
    server.suspect_until_s = now_s + min(pause_s, SUSPECT_MAX_S)
