"""What the headers of a backend server's response state."""

from dataclasses import dataclass
from typing import NamedTuple

from rosepath.server_notice import ServerNotice

# Callers take these statuses as a promise that a request did not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class ServerLoad(NamedTuple):
    """Hold the load that a backend server reports.

    `slowdown` is how long work takes on its machine at the moment, 1.0 as usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseMetadata:
    """Hold what the headers of a backend server's response state.

    `signed` is True if the backend server ran the request and signed the
    response; `not_run` is True if it states that it did not run the request.
    """

    signed: bool
    not_run: bool
    encoded: bool
    load: ServerLoad | None
    notice: ServerNotice
