"""When requests are assigned by the scheduler."""

import pytest
from entry_builders import a_catalog, a_route

from rosepath.catalog import HostRoute, RouteKind
from rosepath.scheduling_mode import (
    SchedulingMode,
    has_fragile_urgent_streams,
    uses_scheduler,
)


@pytest.mark.parametrize(
    ("mode", "large_fleet", "fragile", "expected"),
    [
        (SchedulingMode.AUTO, True, True, True),
        (SchedulingMode.AUTO, False, True, False),
        (SchedulingMode.AUTO, True, False, False),
        (SchedulingMode.ALWAYS, False, False, True),
        (SchedulingMode.NEVER, True, True, False),
    ],
)
def test_the_mode_decides_with_the_fleet_and_its_routes(
    mode: SchedulingMode, large_fleet: bool, fragile: bool, expected: bool
) -> None:
    """Fleets that do without a scheduler must not pay for its messages."""
    found = uses_scheduler(
        mode, large_fleet=large_fleet, urgent_streams_fragile=fragile
    )
    assert found is expected


@pytest.mark.parametrize(
    ("routes", "expected"),
    [
        ([], False),
        ([a_route(resumable=False)], True),
        ([a_route(resumable=True)], False),
        # Only the streams of the highest rank count.
        ([a_route(resumable=True), a_route(resumable=False, priority=1)], False),
        ([a_route(resumable=True), a_route(resumable=False, priority=0)], True),
        # A plain request outranks them, but is no stream.
        (
            [
                a_route(kind=RouteKind.IDEMPOTENT, service="desk"),
                a_route(resumable=False, priority=2),
            ],
            True,
        ),
    ],
)
def test_fragile_urgent_streams_are_recognized(
    routes: list[HostRoute], expected: bool
) -> None:
    """A stream that can't be resumed is lost if its server was the wrong one."""
    assert has_fragile_urgent_streams(a_catalog(*routes)) is expected
