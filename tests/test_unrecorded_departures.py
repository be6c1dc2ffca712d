"""Tests that no VM reports departures as complete that it never recorded."""

import asyncio

import pytest
from fleet_world import FleetSimulation
from test_leaving_servers import Size, entries, late_requests, sizes

from rosepath.clock import ManualClock
from rosepath.departure_log import RETENTION_S, DepartureLog
from rosepath.fleet import LeavingServer


@entries
@sizes
def test_a_server_leaves_while_the_lease_holder_restarts(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    # A restarted lease holder must not report its departures as complete for
    # the time before its start: its first listing already lacks the server, so
    # it never reports that departure to the other VMs.
    async def scenario(simulation: FleetSimulation) -> None:
        holder = simulation.holder
        for number in range(3):
            simulation.kill(holder)
            await asyncio.sleep(0.2)
            simulation.start_departure(f"i-{number}")
            await asyncio.sleep(0.5)
            simulation.holder_term += 1
            simulation.holder = holder
            simulation.restart(holder, monkeypatch)
            await asyncio.sleep(14.0)

    assert late_requests(monkeypatch, size, scenario, busy=busy) == []


@entries
@sizes
def test_a_server_leaves_as_the_store_closes_all_watches(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    # A single closed watch must not count as an outage: a server missing from
    # the listing right after it was kept as if its entry had expired.
    async def scenario(simulation: FleetSimulation) -> None:
        # Vary the time since the last store read.
        for number in range(10):
            simulation.cut_watches()
            simulation.start_departure(f"i-{number}")
            await asyncio.sleep(5.0 + 0.07 * number)

    assert late_requests(monkeypatch, size, scenario, servers=14, busy=busy) == []


def test_a_new_departure_log_covers_no_time_before_its_start() -> None:
    # A VM that has just started must not report its departures as complete for
    # the last seconds.
    clock = ManualClock()
    clock.advance(100.0)
    _, complete_ago_s = DepartureLog(clock=clock).recent()
    assert complete_ago_s < RETENTION_S
    log = DepartureLog(clock=clock)
    clock.advance(0.5)
    log.record(LeavingServer("i-0", gone_at=7))
    leaves, complete_ago_s = log.recent()
    assert [leave.name for leave in leaves] == ["i-0"]
    assert complete_ago_s <= 0.5
