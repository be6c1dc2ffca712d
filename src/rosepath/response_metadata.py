"""What the headers of a backend server's response state."""

from dataclasses import dataclass
from typing import NamedTuple

from rosepath.header_values import parse_number
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


def parse_load(raw: str) -> ServerLoad | None:
    """Return a stated load; None without its first three figures.

    A fourth figure is the slowdown, in percent; further ones are ignored.
    """
    figures = [parse_number(figure) for figure in raw.split(",")]
    running, waiting, slots, percent, *_ = [*figures, None, None, None, None]
    if running is None or waiting is None or slots is None:
        return None
    load = ServerLoad(int(running), int(waiting), int(slots))
    return load._replace(slowdown=percent / 100) if percent else load


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
