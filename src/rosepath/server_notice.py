"""Notices about a backend server in the headers of its responses."""

from typing import NamedTuple


class ServerNotice(NamedTuple):
    """State whether a server is leaving, how long to back off, and its limit.

    `limit_per_s` is the rate of requests that it accepts from all entry VMs
    together, None if the response states none. Only a response to a request
    that states none means that there is no limit: `unlimited` is then set.
    """

    leaving: bool = False
    retry_after_s: float = 0.0
    limit_per_s: float | None = None
    unlimited: bool = False


NO_NOTICE = ServerNotice()
