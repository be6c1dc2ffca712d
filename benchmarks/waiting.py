"""Compare the order of waiting requests with that of arrival, and time walks."""

import random
import time
from collections.abc import Callable, Sequence

from benchmarks._private import write_table
from benchmarks.queue_load import (
    ArrivalOrder,
    Queue,
    Served,
    Traffic,
    chats,
    documents,
    drafts,
    plain_requests,
    play,
)
from rosepath.assignment import Assignment, AssignmentRequest
from rosepath.assignment_queue import AssignmentQueue
from rosepath.waiting_request import LineKey

SEEDS = (1, 2, 3)
WAITING = 2_000
MODELS = 50
WALKS = 200


def _mixed(factor: float) -> list[Traffic]:
    return [
        chats(per_s=12 * factor),
        documents(per_s=1.2 * factor),
        drafts(per_s=0.8 * factor),
    ]


def _hot_workspace() -> list[Traffic]:
    return [
        chats(
            label="hot" if number == 0 else "others",
            per_s=28 if number == 0 else 4,
            workspace=f"w{number}",
        )
        for number in range(6)
    ]


LOADS: dict[str, Sequence[Traffic]] = {
    "chats, documents and drafts at 0.9 of the room": _mixed(0.98),
    "the same at 1.3": _mixed(1.4),
    "the same at 1.8": _mixed(1.95),
    "a burst of chats": [chats(per_s=60), documents(per_s=1)],
    "two ranks": [
        chats(label="rank 0", per_s=25),
        chats(label="rank 1", per_s=35, priority=1),
    ],
    "a workspace at seven times its load": _hot_workspace(),
    "a hot model beside a rare one": [
        chats(label="hot", per_s=60),
        documents(label="rare", per_s=0.5, model="m1"),
    ],
    "plain requests at 1.3": [plain_requests(per_s=130)],
}
ORDERS: dict[str, Callable[[], Queue]] = {
    "arrival": ArrivalOrder,
    "rosepath": lambda: AssignmentQueue(rng=random.Random(1)),
}


def _play_all(order: Callable[[], Queue], load: Sequence[Traffic]) -> list[str]:
    """Return shares in time, served and lost, of each sort over all seeds."""
    total: dict[str, Served] = {}
    for seed in SEEDS:
        for label, served in play(order(), load, seed=seed).items():
            kept = total.setdefault(label, Served())
            kept.in_time += served.in_time
            kept.late += served.late
            kept.lost += served.lost
    return [
        f"{label} {served.share_in_time:.2f}/{served.late / served.total:.2f}"
        f"/{served.lost / served.total:.2f}"
        for label, served in sorted(total.items())
    ]


def _full_queue(*, late_share: float) -> AssignmentQueue:
    rng = random.Random(1)
    queue = AssignmentQueue(rng=rng)
    for number in range(WAITING):
        traffic = rng.choice([chats, documents, drafts])(
            per_s=1.0, model=f"m{number % MODELS}", workspace=f"w{rng.randrange(8)}"
        )
        arrived_s = -1.6 if rng.random() < late_share else 0.0
        queue.add(traffic.request(f"q{number}", now_s=arrived_s), now_s=0.0)
    return queue


def _assign(queue: AssignmentQueue, request: AssignmentRequest, now_s: float) -> None:
    tokens = request.prompt.input_tokens if request.prompt else 0
    assignment = Assignment(
        request=request, server="e1", unread_tokens=tokens, first_event_s=0.1
    )
    queue.take(assignment, now_s=now_s)


def _time_walks(*, late_share: float, keys: Sequence[LineKey] | None) -> list[float]:
    """Return the processor time, in ms, of events that free an engine for one."""
    queue = _full_queue(late_share=late_share)
    took_ms = []
    for number in range(WALKS):
        now_s = number * 1e-4
        started_s = time.process_time()
        walk = queue.in_order(now_s=now_s, keys=keys)
        request = next(walk, None)
        if request is not None:
            _assign(queue, request, now_s)
        for _ in walk:
            # Nothing else finds room.
            pass
        queue.take_rejected(now_s=now_s)
        took_ms.append((time.process_time() - started_s) * 1e3)
    return sorted(took_ms)


def main() -> None:
    """Report both orders on each load, and the time that a walk takes."""
    write_table(
        "Waiting requests: shares in time / late / lost, one engine at a time",
        ("load", *ORDERS),
        [
            (name, *("; ".join(_play_all(order, load)) for order in ORDERS.values()))
            for name, load in LOADS.items()
        ],
    )
    one_engine = [LineKey("llm", f"m{number}") for number in range(3)]
    write_table(
        f"Walks of {WAITING} waiting requests for {MODELS} models, ms",
        ("event", "late share", "median", "p99"),
        [
            (name, late_share, took_ms[WALKS // 2], took_ms[WALKS * 99 // 100])
            for name, keys in (
                ("engine with 3 models", one_engine),
                ("all engines", None),
            )
            for late_share in (0.0, 0.5)
            for took_ms in (_time_walks(late_share=late_share, keys=keys),)
        ],
    )
