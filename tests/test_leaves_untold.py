"""No server that left is used because a VM vouches for what it never learned."""

import asyncio

import pytest
from fleet_world import World
from test_leaving_servers import Size, entries, latest, sizes

from rosepath.clock import ManualClock
from rosepath.departure_log import RETENTION_S, DepartureLog
from rosepath.fleet import LeavingServer


@entries
@sizes
def test_a_server_leaves_while_the_holder_starts_again(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    # Guards against a holder that vouches for leaves from before its own start:
    # its first list lacks the server, so that it names no leave to the others.
    async def course(world: World) -> None:
        holder = world.holder
        for number in range(3):
            world.kill(holder)
            await asyncio.sleep(0.2)
            world.leave(f"i-{number}")
            await asyncio.sleep(0.5)
            world.holder_term += 1
            world.holder = holder
            world.start_again(holder, monkeypatch)
            await asyncio.sleep(14.0)

    assert latest(monkeypatch, size, course, busy=busy) == []


@entries
@sizes
def test_a_server_leaves_as_the_store_cuts_all_watches(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    # Guards against a single watch that was cut counting as an outage: a server
    # that the list right after it lacks was kept as one whose entry had lapsed.
    async def course(world: World) -> None:
        # At other times since the last look each time.
        for number in range(10):
            world.cut_watches()
            world.leave(f"i-{number}")
            await asyncio.sleep(5.0 + 0.07 * number)

    assert latest(monkeypatch, size, course, servers=14, busy=busy) == []


def test_a_log_that_has_just_begun_reaches_back_to_nothing() -> None:
    # Guards against a VM that started a moment ago and says that its leaves are
    # all of the last seconds.
    clock = ManualClock()
    clock.advance(100.0)
    _, complete_ago_s = DepartureLog(clock=clock).told()
    assert complete_ago_s < RETENTION_S
    log = DepartureLog(clock=clock)
    clock.advance(0.5)
    log.note(LeavingServer("i-0", gone_at=7))
    leaves, complete_ago_s = log.told()
    assert [leave.name for leave in leaves] == ["i-0"]
    assert complete_ago_s <= 0.5
