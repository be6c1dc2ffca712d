"""Rate limits that backend servers state in their responses."""

from rosepath.fleet import BackendServer
from rosepath.logs import get_logger
from rosepath.server_notice import ServerNotice

_log = get_logger()


def apply_limit_notice(
    server: BackendServer, notice: ServerNotice, *, now_s: float
) -> bool:
    """Apply the limit in a server's response; return whether it changed."""
    if notice.limit_per_s is None and not notice.unlimited:
        return False
    server.limit_stated_s = now_s
    if notice.limit_per_s == server.limit_per_s:
        return False
    _log.info(
        "server_limit",
        peer=server.name,
        limit_per_s=notice.limit_per_s,
        previous_per_s=server.limit_per_s,
    )
    server.limit_per_s = notice.limit_per_s
    return True
