"""Ask a backend server whether the process that its entry describes lives."""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from rosepath.errors import ExchangeError
from rosepath.fleet import BackendServer
from rosepath.http_client import HttpPool, Request
from rosepath.platform.calls import (
    answering_server,
    echoed_request_id,
    read_notice,
)
from rosepath.server_notice import ServerNotice


class ServerContact(StrEnum):
    """Enumerate the results of asking a server whether it lives."""

    # The server itself answered.
    ANSWERED = "answered"
    # Its address refuses connections, or another server answers there.
    GONE = "gone"
    # Something accepted the connection and gave no answer. The kernel accepts
    # for whatever listens: a process that writes its memory to disk, a
    # supervisor that holds the port, a forwarder.
    ACCEPTED = "accepted"
    # No connection was made in time.
    UNKNOWN = "unknown"


class ServerProbe(Protocol):
    """Ask a server whether it lives."""

    async def __call__(
        self, server: BackendServer, *, limit_s: float
    ) -> ServerContact: ...


def health_probe(
    pool: HttpPool,
    health_path: Callable[[str], str],
    *,
    on_notice: Callable[[str, ServerNotice], None] = lambda *_: None,
) -> ServerProbe:
    """Build a probe that uses the health check of the server's service.

    `health_path` returns a service's path for it. `on_notice` is called with a
    server's name and the notice in its answer.
    """

    async def probe(server: BackendServer, *, limit_s: float) -> ServerContact:
        request = Request(
            method="GET",
            path=health_path(server.entry.service),
            address=server.address,
            connect_timeout_s=limit_s,
            progress_timeout_s=limit_s,
            total_timeout_s=limit_s,
            # A connection from before may lead to a process that is gone.
            proven_live_within_s=0.0,
            accepts=lambda head: not echoed_request_id(head.headers),
        )
        try:
            head, _ = await pool.fetch(request)
        except ExchangeError as error:
            if error.sent:
                return ServerContact.ACCEPTED
            return ServerContact.GONE if error.refused else ServerContact.UNKNOWN
        answered_by = answering_server(head.headers)
        if answered_by is None:
            return ServerContact.ACCEPTED
        if answered_by != server.name:
            return ServerContact.GONE
        on_notice(server.name, read_notice(head.status, head.headers))
        return ServerContact.ANSWERED

    return probe
