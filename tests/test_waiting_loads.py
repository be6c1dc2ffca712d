"""Tests of loads with too little room, beside the order of arrival."""

import random
from collections.abc import Sequence
from dataclasses import replace

import pytest

from benchmarks.queue_load import (
    ArrivalOrder,
    Served,
    Traffic,
    chats,
    documents,
    drafts,
    plain_requests,
    play,
)
from rosepath.assignment_queue import AssignmentQueue
from rosepath.service_floors import FLOOR_SHARE

SEEDS = (1, 2, 3, 4)


@pytest.fixture(params=SEEDS)
def seed(request: pytest.FixtureRequest) -> int:
    return int(request.param)


def play_in_order(load: Sequence[Traffic], **options: object) -> dict[str, Served]:
    queue = AssignmentQueue(rng=random.Random(1))
    return play(queue, load, **options)  # type: ignore[arg-type]


def share_in_time(counts: dict[str, Served]) -> float:
    total = sum(served.total for served in counts.values())
    return sum(served.in_time for served in counts.values()) / total


def hot_workspace(factor: float) -> list[Traffic]:
    """Build a load that one engine can just serve, with one workspace multiplied."""
    load = []
    for number in range(6):
        times = factor if number == 0 else 1.0
        label = "hot" if number == 0 else "others"
        workspace = f"w{number}"
        load += [
            chats(label=f"{label}-chats", per_s=2.4 * times, workspace=workspace),
            documents(label=f"{label}-docs", per_s=0.25 * times, workspace=workspace),
        ]
    return load


def test_enough_room_serves_all_in_time(seed: int) -> None:
    """Guards against an order that costs callers something where room is left."""
    load = [chats(per_s=12), documents(per_s=0.3), drafts(per_s=0.3)]
    counts = play_in_order(load, servers=3, seed=seed)
    assert share_in_time(counts) >= 0.99


def test_long_prompts_among_short_ones(seed: int) -> None:
    """Guards against chats that are late behind documents while both fit."""
    load = [chats(per_s=12), documents(per_s=1.0), drafts(per_s=0.6)]
    counts = play_in_order(load, seed=seed)
    by_arrival = play(ArrivalOrder(), load, seed=seed)
    assert counts["chat"].share_in_time >= 0.95
    assert by_arrival["chat"].share_in_time < counts["chat"].share_in_time
    assert share_in_time(counts) > share_in_time(by_arrival)


def test_a_burst_of_documents(seed: int) -> None:
    """Guards against a burst of one kind that makes all others late."""
    load = [
        chats(per_s=12),
        documents(label="burst", per_s=6, starts_s=5.0, ends_s=8.0),
    ]
    counts = play_in_order(load, seed=seed)
    by_arrival = play(ArrivalOrder(), load, seed=seed)
    assert counts["chat"].share_in_time >= 0.9
    assert counts["burst"].share_served >= FLOOR_SHARE
    assert share_in_time(counts) > share_in_time(by_arrival)


def test_a_burst_of_chats_does_not_starve_the_longest_prompts(seed: int) -> None:
    """Guards against the longest tenth of prompts never getting a server."""
    load = [chats(per_s=60), documents(per_s=1.5, priority=0)]
    counts = play_in_order(load, seed=seed)
    assert counts["document"].share_served >= FLOOR_SHARE * counts["chat"].share_in_time


@pytest.mark.parametrize("low", [1, 2, 7])
def test_a_lower_rank_under_overload(seed: int, low: int) -> None:
    """Guards against ranks that are served less than a third as often, or alike."""
    load = [
        chats(label="high", per_s=60),
        chats(label="low", per_s=10, priority=low),
    ]
    counts = play_in_order(load, seed=seed)
    high, low_counts = counts["high"], counts["low"]
    assert low_counts.share_served >= FLOOR_SHARE * high.share_served
    assert low_counts.share_in_time < high.share_in_time


def test_a_flood_of_a_lower_rank(seed: int) -> None:
    """Guards against a low rank that takes the higher one's room by its numbers."""
    load = [
        chats(label="high", per_s=15),
        chats(label="low", per_s=120, priority=1),
    ]
    counts = play_in_order(load, seed=seed)
    assert counts["high"].share_in_time >= 0.95
    assert counts["low"].in_time > 0


@pytest.mark.parametrize("servers", [1, 3])
def test_a_hot_workspace_does_not_make_others_late(seed: int, servers: int) -> None:
    """Guards against a workspace at seven times its load that takes all room."""

    def scaled(factor: float) -> list[Traffic]:
        return [
            replace(traffic, per_s=traffic.per_s * servers)
            for traffic in hot_workspace(factor)
        ]

    usual = play_in_order(scaled(1.0), servers=servers, seed=seed)
    counts = play_in_order(scaled(7.0), servers=servers, seed=seed)
    by_arrival = play(ArrivalOrder(), scaled(7.0), servers=servers, seed=seed)
    for label in ("others-chats", "others-docs"):
        assert counts[label].share_in_time >= usual[label].share_in_time - 0.1
        assert counts[label].share_in_time > by_arrival[label].share_in_time
    assert counts["others-chats"].share_in_time >= 0.95
    # It gets what the others leave, for each of its kinds.
    chats_served, docs_served = counts["hot-chats"], counts["hot-docs"]
    assert chats_served.in_time >= 0.9 * usual["hot-chats"].in_time
    assert docs_served.share_served >= FLOOR_SHARE * chats_served.share_in_time


def test_a_hot_workspace_of_a_high_rank(seed: int) -> None:
    """Guards against a rank that lets one workspace make all others late."""
    load = [
        chats(label="hot", per_s=21, workspace="w0"),
        *(
            chats(label="others", per_s=3, workspace=f"w{number}", priority=1)
            for number in range(1, 8)
        ),
    ]
    counts = play_in_order(load, seed=seed)
    assert counts["others"].share_in_time >= 0.95


def test_callers_without_workspaces_are_served_alike(seed: int) -> None:
    """Guards against an order by data centre where nobody has a workspace."""
    load = [
        chats(label="busy", per_s=35, data_centre="a"),
        chats(label="calm", per_s=10, data_centre="b"),
    ]
    counts = play_in_order(load, seed=seed)
    assert counts["calm"].share_served >= 0.8 * counts["busy"].share_served
    assert counts["busy"].share_served >= 0.8 * counts["calm"].share_served


def test_adapters_of_a_model_are_served_alike(seed: int) -> None:
    """Guards against a rare adapter that starves beside a busy one."""
    load = [
        chats(label="busy", per_s=42, adapter="a1"),
        chats(label="rare", per_s=3, adapter="a2"),
    ]
    counts = play_in_order(load, seed=seed)
    assert counts["rare"].share_served >= 0.7 * counts["busy"].share_served


def test_a_hot_model_does_not_starve_one_on_the_same_engine(seed: int) -> None:
    """Guards against a rare model whose engine reads for a busy model only."""
    load = [
        chats(label="hot", per_s=60, model="m0"),
        documents(label="cold", per_s=0.5, model="m1"),
    ]
    counts = play_in_order(load, seed=seed)
    assert counts["cold"].share_served >= FLOOR_SHARE * counts["hot"].share_served


def test_a_hot_model_does_not_hold_up_others_elsewhere(seed: int) -> None:
    """Guards against a queue for one model that others wait behind."""
    load = [chats(label="hot", per_s=60), chats(label="other", per_s=10, model="m1")]
    models_of = {"s0": frozenset({"m0"}), "s1": frozenset({"m1"})}
    counts = play_in_order(load, models_of=models_of, seed=seed)
    assert counts["other"].share_in_time >= 0.99


def test_a_shift_of_demand(seed: int) -> None:
    """Guards against what was learned of one load misjudging the next."""
    load = [
        chats(label="chats-before", per_s=45, ends_s=10.0),
        documents(label="documents-before", per_s=0.5, ends_s=10.0),
        documents(label="documents-after", per_s=3, starts_s=10.0, priority=1),
        chats(label="chats-after", per_s=8, starts_s=10.0),
    ]
    counts = play_in_order(load, seed=seed)
    by_arrival = play(ArrivalOrder(), load, seed=seed)
    assert counts["chats-after"].share_in_time >= 0.9
    assert counts["documents-after"].share_served >= FLOOR_SHARE
    assert share_in_time(counts) > share_in_time(by_arrival)


def test_callers_that_come_back_at_once_gain_nothing(seed: int) -> None:
    """Guards against callers that ignore Retry-After and displace patient ones."""
    load = [
        plain_requests(label="insistent", per_s=70, insistent=True),
        plain_requests(label="patient", per_s=70),
    ]
    counts = play_in_order(load, seed=seed)
    by_arrival = play(ArrivalOrder(), load, seed=seed)
    assert counts["patient"].share_in_time >= 0.8 * counts["insistent"].share_in_time
    assert counts["patient"].share_in_time > by_arrival["patient"].share_in_time


def test_a_workspace_that_comes_back_at_once_gains_nothing(seed: int) -> None:
    """Guards against a workspace that gets more by retrying more often."""
    load = [
        chats(label="insistent", per_s=70, workspace="w0", insistent=True, wait_s=4),
        chats(label="patient", per_s=8, workspace="w1", wait_s=4),
    ]
    counts = play_in_order(load, seed=seed)
    assert counts["patient"].share_in_time >= 0.95


def test_plain_requests_beyond_what_the_servers_can_take(seed: int) -> None:
    """Guards against a small service that serves all callers late."""
    load = [plain_requests(per_s=130)]
    counts = play_in_order(load, seed=seed)
    by_arrival = play(ArrivalOrder(), load, seed=seed)
    # The server can take 100 a second.
    assert counts["plain"].share_in_time >= 0.9 * 100 / 130
    assert by_arrival["plain"].share_in_time < counts["plain"].share_in_time
