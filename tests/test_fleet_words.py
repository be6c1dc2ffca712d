"""What a crowd of VMs asks of the store and of the holder's link.

On a fleet of 195 VMs each one watched the store for itself, as the holder's words,
sent to each of them, filled its link and came too late: calls to the store were the
largest price of the day. Both must hardly grow with the number of VMs.
"""

import asyncio
from dataclasses import dataclass

import pytest
from fleet_world import World, play

SETTLED_S = 6.0
WATCHED_S = 10.0
DATA_CENTRES = 6
WORDS_PER_S = 1 / 0.8


@dataclass(frozen=True, slots=True, kw_only=True)
class Seen:
    """Hold what a fleet did in a while, and the oldest table of all its VMs."""

    full_watches: int
    holder_sent: int
    oldest_s: float


def a_calm_while(vms: int, monkeypatch: pytest.MonkeyPatch) -> Seen:
    """Let a fleet be for a while in which servers' entries change all the time."""
    seen: list[Seen] = []

    async def run() -> None:
        world = World(
            drain_s=3.0, contact_s=4.0, data_centres=DATA_CENTRES, lost_share=0.02
        )
        await world.start(vms, monkeypatch, servers=8)
        for node in world.nodes.values():
            node.settings = node.settings.model_copy(update={"apply_ms": 3000.0})
        names = [f"i-{number}" for number in range(8)]
        world.tasks.append(asyncio.create_task(world.keep_busy(names)))
        await asyncio.sleep(SETTLED_S)
        for node in world.nodes.values():
            node.store.calls.clear()
        world.sent.clear()
        await asyncio.sleep(WATCHED_S)
        seen.append(
            Seen(
                full_watches=sum(
                    node.store.calls["watch"] for node in world.nodes.values()
                ),
                holder_sent=world.sent[world.holder],
                oldest_s=max(
                    node.tables.servers_feed.age.age_s for node in world.nodes.values()
                ),
            )
        )
        await world.close()

    play(run)
    return seen[0]


def test_calls_and_words_hardly_grow_with_the_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    small = a_calm_while(30, monkeypatch)
    large = a_calm_while(90, monkeypatch)
    # The holder's own watches, and those of VMs that missed two words in a row.
    assert large.full_watches < small.full_watches + 60
    assert large.oldest_s < 3.0
    # One word a turn to each VM of the holder's data centre and to each other one.
    in_a_turn = 90 / DATA_CENTRES + DATA_CENTRES
    assert large.holder_sent <= 1.1 * in_a_turn * WORDS_PER_S * WATCHED_S
