"""No request reaches a server after its drain time, whoever fails meanwhile.

Seen: on days with trouble a request reached a server 3.4 s after it had left,
where 3 s are allowed. Each wait on the way was sound alone; in a row they were
too long, and nothing added them up: a VM did not know as of when its table of
servers was true.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from fleet_world import World, play

# VMs, drain time, and how long after a cut a VM is held to it again.
Size = tuple[int, float, float]
FEW = pytest.param((5, 2.0, 3.0), id="few")
CROWD = pytest.param((26, 3.0, 4.0), id="crowd")
sizes = pytest.mark.parametrize("size", [FEW, CROWD])
# Whether the entries of other servers change all the time.
entries = pytest.mark.parametrize("busy", [False, True], ids=["quiet", "busy"])

Course = Callable[[World], Awaitable[None]]


def latest(
    monkeypatch: pytest.MonkeyPatch,
    size: Size,
    course: Course,
    *,
    servers: int = 8,
    connect_s: float = 0.0,
    busy: bool = False,
    seed: int = 7,
    data_centres: int = 1,
) -> list[tuple[float, str, str]]:
    """Return the requests that reached servers latest after their drain time."""
    vms, drain_s, contact_s = size
    world = World(
        drain_s=drain_s,
        contact_s=contact_s,
        connect_s=connect_s,
        data_centres=data_centres,
        rng=random.Random(seed),
    )

    async def run() -> None:
        await world.start(vms, monkeypatch, servers=servers)
        if busy:
            stay = [f"i-{number}" for number in range(servers - 2, servers)]
            world.tasks.append(asyncio.create_task(world.keep_busy(stay)))
        await asyncio.sleep(10.0)
        await course(world)
        await world.close()

    play(run)
    assert world.answered > 500
    return sorted(world.late_s, reverse=True)[:5]


@entries
@sizes
def test_a_server_leaves_while_the_holder_is_cut_off(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    # The holder misses the store and says so. A server's entry is removed; the
    # others learn of it up to 1 s later, as they gather changes, and take it
    # for a lapse in an outage: they wait another 2.2 s for it to come back.
    # Proved by the lines of the late VMs: the look before was asked for 1.0 s
    # before, and 2.2 s were waited out.
    async def course(world: World) -> None:
        for number, cut_s in enumerate((0.7, 1.7, 2.5)):
            world.turn_away(world.holder)
            await asyncio.sleep(cut_s)
            world.leave(f"i-{number}")
            await asyncio.sleep(5.0)
            world.take_back()
            await asyncio.sleep(6.0)

    assert latest(monkeypatch, size, course, busy=busy) == []


@entries
@sizes
def test_a_server_leaves_as_the_holder_dies(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    async def course(world: World) -> None:
        for number in range(3):
            await asyncio.sleep(3.0 + 0.3 * number)
            world.kill(world.holder)
            world.leave(f"i-{number}")
            await asyncio.sleep(4.0)
            world.holder_term += 1
            world.holder = f"vm-{number + 1}"
            await asyncio.sleep(5.0)

    assert latest(monkeypatch, size, course, busy=busy, connect_s=0.3) == []


@entries
@sizes
def test_many_servers_leave_at_once(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    # 24 servers say that they leave. The holder told of the sixteen that came
    # last into its table; of the others the VMs of a crowd learned after 8 s,
    # for which they leave new entries to gather as long as the holder speaks.
    async def course(world: World) -> None:
        await asyncio.sleep(0.2)
        for number in range(24):
            world.leave(f"i-{number}", says_so=True)
        await asyncio.sleep(10.0)

    assert latest(monkeypatch, size, course, servers=30, busy=busy) == []


@entries
@sizes
def test_a_server_leaves_of_which_the_holder_has_not_heard(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    # The holder's watch has gone silent; a server leaves; two seconds later
    # the holder dies. Until then it renewed its lease over other connections,
    # and by the age of such calls its word stood for a look at the servers, of
    # which it knew nothing: the others began to look two seconds after the
    # last word. Proved by the lines of a play: the holder's word was 36 ms old
    # and its last call 0.15 s, while its look at the servers was 2.4 s old.
    async def course(world: World) -> None:
        for number in range(3):
            holder = world.holder
            world.silence(holder)
            await asyncio.sleep(0.3)
            world.leave(f"i-{number}")
            await asyncio.sleep(2.0)
            world.kill(holder)
            await asyncio.sleep(4.0)
            world.holder_term += 1
            world.holder = f"vm-{number + 1}"
            await asyncio.sleep(5.0)

    assert latest(monkeypatch, size, course, busy=busy) == []


@entries
@sizes
def test_a_server_leaves_as_connections_fall_silent(
    monkeypatch: pytest.MonkeyPatch, size: Size, busy: bool
) -> None:
    # All connections to the store that wait fall silent for good. The holder
    # renews its lease over new ones, and by that its word counted for fresh
    # though it heard of no change: its watch was found dead after 2.5 s, and
    # those of the others half a second after it told of what it then knew.
    async def course(world: World) -> None:
        for number in range(4):
            world.silence(*world.nodes)
            await asyncio.sleep(1.2)
            world.leave(f"i-{number}")
            await asyncio.sleep(7.3)

    assert latest(monkeypatch, size, course, busy=busy) == []


def test_a_server_leaves_while_a_connection_to_it_comes_about(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The server is chosen, then leaves, of which the VM hears at once; the
    # connection takes another 0.38 s. Nothing was looked at again before the
    # request went out, so that this time (and that for an adapter) came on top
    # of all the others. Here it alone is longer than the drain time.
    async def course(world: World) -> None:
        for number in range(5):
            world.leave(f"i-{number}", says_so=number % 2 == 0)
            await asyncio.sleep(2.0)

    size = (4, 0.3, 3.0)
    assert latest(monkeypatch, size, course, connect_s=0.38) == []


async def at_random(world: World) -> None:
    """Let servers leave, and all the rest fail, in turns and at the same time."""
    rng, names, dead = world.rng, list(world.nodes), 0
    leaving = iter(range(40))
    for _ in range(45):
        await asyncio.sleep(rng.uniform(0.1, 1.2))
        what = rng.choice(["leave"] * 5 + ["away"] * 2 + ["silence", "kill", "core"])
        some = rng.sample(names, rng.randint(1, max(1, len(names) // 2)))
        if what == "leave":
            for _ in range(rng.choice([1, 1, 2, 6])):
                world.leave(f"i-{next(leaving, 0)}", says_so=rng.random() < 0.5)
        elif what == "away" and world.turned_away == set(names[:dead]):
            world.turn_away(*some, *rng.choice([[], [world.holder]]))
        elif what == "away":
            world.take_back(but=names[:dead])
        elif what == "silence":
            world.silence(*some, *rng.choice([[], [world.holder]]))
        elif what == "kill" and dead < len(names) - 2:
            dead += 1
            world.kill(world.holder)
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            world.holder_term += 1
            world.holder = names[dead]
        elif what == "core":
            # Who leaves just then is not acknowledged by a store that is well.
            if rng.random() < 0.5:
                await world.forget_history()
            else:
                stay = rng.sample(["i-44", "i-45", "i-46", "i-47"], 3)
                await world.go_down(for_s=rng.uniform(0.5, 6.0), lapse=stay)
        world.lost_share = rng.choice([0.0, 0.0, 0.1, 0.3])


@sizes
# 52: a connection goes silent while it is idle; the call that meets it a
# second later counted as the moment of the outage, and the VM for settled that
# much later: a removal was waited out as a lapse for 2.6 s where 2 s are
# allowed.
@pytest.mark.parametrize("seed", [1, 52])
def test_servers_leave_whatever_else_fails(
    monkeypatch: pytest.MonkeyPatch, size: Size, seed: int
) -> None:
    course = at_random
    late = latest(
        monkeypatch, size, course, servers=48, busy=True, connect_s=0.1, seed=seed
    )
    assert late == []


@pytest.mark.parametrize("seed", [1, 2, 52])
def test_servers_leave_while_words_go_by_way_of_others(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    # In a crowd the holder's word reaches most VMs by way of another one of
    # their data centre, which may be dead, cut off or lose it.
    late = latest(
        monkeypatch,
        (26, 3.0, 4.0),
        at_random,
        servers=48,
        busy=True,
        connect_s=0.1,
        seed=seed,
        data_centres=3,
    )
    assert late == []
