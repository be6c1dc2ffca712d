"""Report the progress of this VM's streams, and apply which servers fell silent."""

import math
from collections.abc import Iterable

from rosepath.assignment import ServerProgress, SilentServer
from rosepath.fleet import BackendServer, Fleet
from rosepath.logs import get_logger

# Until when a server counts as silent after the scheduler last said so: longer
# than the interval between its messages, shorter than a caller waits for one
# event.
SILENT_TTL_S = 1.2

_log = get_logger()


def server_progress(
    fleet: Fleet, *, entry_vm: str, data_centre: str, now_s: float, since_s: float
) -> list[ServerProgress]:
    """Return the progress at each server with streams of this VM.

    Also that at servers which did something since the last report at `since_s`:
    their streams may have ended meanwhile.
    """
    return [
        ServerProgress(
            server=server.name,
            born_ms=server.entry.born_ms,
            entry_vm=entry_vm,
            data_centre=data_centre,
            streams=streams,
            event_age_s=max(0.0, now_s - activity_s),
        )
        for server in fleet.servers.values()
        if (activity_s := _activity_s(server)) > -math.inf
        and ((streams := _begun_streams(server)) or activity_s >= since_s)
    ]


def apply_silent_servers(
    fleet: Fleet, silent: Iterable[SilentServer], *, now_s: float
) -> None:
    """Apply which servers are silent towards all VMs; the others are not.

    Requests at a server that just became silent are asked once whether to leave.
    One that is sent there later is a probe, and waits for its usual time.
    """
    silent_s = {(found.server, found.born_ms): found.silent_s for found in silent}
    for server in fleet.servers.values():
        key = server.name, server.entry.born_ms
        if key not in silent_s:
            server.silent_until_s = -1e9
            continue
        is_new = server.silent_until_s <= now_s
        server.silent_until_s = now_s + SILENT_TTL_S
        if is_new:
            _log.info(
                "server_silent",
                peer=server.name,
                silent_s=round(silent_s[key], 3),
                moved_ago_s=server.idle_s(now_s),
                in_flight=len(server.in_flight_requests),
            )
            for request in list(server.in_flight_requests.values()):
                request.leave_silent()


def end_lost_runs(server: BackendServer, *, why: str) -> None:
    """End the runs at a server instance that is gone, so that callers learn of it."""
    if not server.in_flight_requests:
        return
    _log.info(
        "server_runs_lost",
        peer=server.name,
        born_ms=server.entry.born_ms,
        why=why,
        in_flight=len(server.in_flight_requests),
    )
    for request in list(server.in_flight_requests.values()):
        request.end_lost()


def _activity_s(server: BackendServer) -> float:
    return -math.inf if server.last_activity_s is None else server.last_activity_s


def _begun_streams(server: BackendServer) -> int:
    return sum(
        request.first_event_s is not None
        for request in server.in_flight_requests.values()
    )
