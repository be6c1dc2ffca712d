"""Notices about a backend server in the headers of its responses."""

from typing import NamedTuple


class ServerNotice(NamedTuple):
    """State whether a server is leaving, and how long to back off from it."""

    leaving: bool = False
    retry_after_s: float = 0.0


NO_NOTICE = ServerNotice()
