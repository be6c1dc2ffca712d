"""The replicas of a service are brittle while their usual requests come."""

import asyncio
import sys
from collections import deque
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support2"))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    UNUSABLE,
    Fleet,
    Record,
    Replica,
    call,
    configuration,
    now_s,
    route,
    run_case,
    seeded,
)

SERVICE = "order-desk"
ZONES = ["casa-a", "casa-a", "casa-b", "casa-b", "casa-c", "casa-c", "casa-d"]
CONTACT_S = 3.0
REPLICAS, SLOTS, WORK_S = 3, 6, 0.09
USUAL_QUEUE, BRITTLE_QUEUE = 24, 2
# What a replica that is brittle states, and may reject in a second.
BRITTLE = 8
BACK_AFTER_S = 3.0
# Of each of the two kinds of request.
USUAL_PER_S = 65.0
BRITTLE_AT_S, PLAY_S = 4.0, 20.0


class Brittle:
    """Let replicas fall over as the contract says of those that are brittle."""

    def __init__(self, record: Record, replicas: list[Replica]) -> None:
        self.record, self.replicas = record, replicas
        self.since_s: float | None = None
        self.falls: list[str] = []
        self.rejected = 0
        for replica in replicas:
            self._watch(replica)

    def begin(self) -> None:
        self.since_s = now_s()
        self.record.note(f"replicas say that they are brittle: {BRITTLE}")
        for replica in self.replicas:
            replica.headers["Server-Brittle"] = str(BRITTLE)

    def limit(self) -> None:
        for replica in self.replicas:
            replica.queue = BRITTLE_QUEUE

    def _watch(self, replica: Replica) -> None:
        recent: deque[float] = deque()

        def on_rejected(request_id: str) -> None:
            self.rejected += 1
            self.record.note(f"{replica.name} rejects {request_id}")
            recent.append(now_s())
            while recent[0] < now_s() - 1.0:
                recent.popleft()
            if self.since_s is not None and len(recent) > BRITTLE and replica.up:
                recent.clear()
                self.falls.append(replica.name)
                self.record.say(f"{replica.name} falls over")
                asyncio.ensure_future(self._fall(replica))

        replica.on_rejected = on_rejected

    @staticmethod
    async def _fall(replica: Replica) -> None:
        await replica.crash()
        await asyncio.sleep(BACK_AFTER_S)
        await replica.start_again()


async def play(folder: Path) -> int:
    record, rng = Record(folder), seeded()
    fleet = Fleet(record)
    limits = {"timeoutMs": 1557, "targetLatencyMs": 415}
    routes = [
        route("lot-confirm", "non_idempotent", SERVICE, maxAttempts=1, **limits),
        route("lot-lookup", "idempotent", SERVICE, **limits),
    ]
    services = [{"name": SERVICE, "healthPath": "/health", "maxConnections": 110}]
    for part in routes:
        part["timeoutMs"], part["targetLatencyMs"] = 1557, 415
    await fleet.open_store(configuration(routes, services))
    for number in range(REPLICAS):
        replica = Replica(
            fleet.store,
            record,
            name=f"i-{number + 1}",
            service=SERVICE,
            slots=SLOTS,
            zone=ZONES[number * 2],
            work_s=WORK_S,
        )
        replica.queue = USUAL_QUEUE
        fleet.replicas.append(replica)
        await replica.start()
    brittle = Brittle(record, fleet.replicas)
    ends: dict[str, int] = {}

    async def ask(number: int, kind: str) -> None:
        vm = rng.choice(fleet.vms)
        method = "POST" if kind == "lot-confirm" else "GET"
        request_id = f"{kind}-{number:05}"
        answer = await call(vm, method, f"/{kind}/{number}", request_id, wait_s=1.557)
        record.note(f"{request_id} at {vm.name} answered {answer.status}")
        ends[str(answer.status)] = ends.get(str(answer.status), 0) + 1

    async def send(kind: str, start_s: float) -> list[asyncio.Task[None]]:
        tasks: list[asyncio.Task[None]] = []
        while now_s() < start_s + PLAY_S:
            tasks.append(asyncio.ensure_future(ask(len(tasks), kind)))
            await asyncio.sleep(rng.expovariate(USUAL_PER_S))
        return tasks

    try:
        await fleet.start_vms(ZONES)
        await asyncio.sleep(1.0)
        if TROUBLE:
            loop = asyncio.get_running_loop()
            loop.call_later(BRITTLE_AT_S, brittle.begin)
            loop.call_later(BRITTLE_AT_S + CONTACT_S, brittle.limit)
        start_s = now_s()
        sent = await asyncio.gather(
            send("lot-confirm", start_s), send("lot-lookup", start_s)
        )
        for tasks in sent:
            await asyncio.gather(*tasks)
    finally:
        await fleet.end()
    falls = len(brittle.falls)
    record.say(f"answers {ends}; {brittle.rejected} rejected; {falls} falls")
    if ends.get("200", 0) < 500:
        return UNUSABLE
    return BROKEN if falls > 2 + REPLICAS / 10 else HELD


run_case(play, FOLDER)
