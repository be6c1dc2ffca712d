"""What is reported of a server that crashed, and of the requests in flight there."""

from enum import IntEnum
from typing import NamedTuple

# Reports of a crash arrive from all entry VMs, in any order, and one of two
# datagrams may be lost. Until all are in, an unrelated request may look like
# the cause.
SETTLE_S = 0.3


class ServerInstance(NamedTuple):
    """Identify one instance of a server, from its start to its end."""

    server: str
    born_ms: int = 0


class Exposure(IntEnum):
    """State of a request at a server that crashed, the likeliest cause last.

    A `PRESENT` request was queued or had run for long, a `STARTING` one had
    just begun to run, which is when requests crash servers. An `ISOLATED` one
    was the only suspect at that server.
    """

    PRESENT = 1
    STARTING = 2
    ISOLATED = 3


class CrashReport(NamedTuple):
    """Report that a server crashed while a request was in flight there.

    `part_keys` has the shared parts of its prompt, if it had just begun.
    """

    content_key: str
    instance: ServerInstance
    exposure: Exposure
    part_keys: tuple[str, ...] = ()
