"""Whether requests are assigned by the scheduler."""

from enum import StrEnum

from rosepath.catalog import Catalog, RouteKind


class SchedulingMode(StrEnum):
    """State when entry VMs ask the scheduler for servers."""

    AUTO = "auto"
    ALWAYS = "always"
    NEVER = "never"


def uses_scheduler(
    mode: SchedulingMode, *, large_fleet: bool, urgent_streams_fragile: bool
) -> bool:
    """Return whether a fleet's requests are assigned by the scheduler.

    Small fleets exchange their loads often enough to do without it.
    """
    if mode is SchedulingMode.AUTO:
        return large_fleet and urgent_streams_fragile
    return mode is SchedulingMode.ALWAYS


def has_fragile_urgent_streams(catalog: Catalog) -> bool:
    """Return whether streams of the highest rank are lost if their server fails.

    Such a stream can't go on at another server, so that its first server must be
    the right one.
    """
    streaming = [route for route in catalog.routes if route.kind is RouteKind.STREAMING]
    highest = min((route.priority for route in streaming), default=0)
    return any(route.priority == highest and not route.resumable for route in streaming)
