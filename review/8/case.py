"""A request of one tenant crashes replicas; another tenant sends the same path."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support2"))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    UNUSABLE,
    Fleet,
    HttpMessage,
    Record,
    Replica,
    call,
    configuration,
    now_s,
    route,
    run_case,
    seeded,
)

SERVICE = "greffe-api"
ZONES = ["casa-a", "casa-a", "casa-b", "casa-b", "casa-c", "casa-c", "casa-d"]
CONTACT_S = 3.0
REPLICAS = 4
BACK_AFTER_S = 3.0
CRASH_AFTER_S = 0.02
# The same question, asked by two tenants about their own data.
PATH = "/status/summary"
REPEAT_S = 2.0
SOUND_PER_S = 8.0
OTHER_PER_S = 12.0
PLAY_S = 50.0
# For comparison only: the other tenant asks something else.
APART = os.environ.get("APART") == "1"
TENANTS = [
    {"name": "hall-1", "apiKeys": ["key-of-hall-1"]},
    {"name": "hall-2", "apiKeys": ["key-of-hall-2"]},
]


class Crashing(Replica):
    """A replica that the summary of one tenant crashes as it begins to run it."""

    arrivals_s: list[float]
    crashes_s: list[float]

    async def answer(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        path = request.line.split(" ")[1]
        if path == PATH and request.headers.get("tenant") == "hall-1":
            request_id = request.headers["request-id"]
            self.arrivals_s.append(now_s())
            self.record.note(f"{request_id} of hall-1 reaches {self.name}")
            if TROUBLE:
                await asyncio.sleep(CRASH_AFTER_S)
                if self.up:
                    self.crashes_s.append(now_s())
                    await self.crash()
                    asyncio.ensure_future(self._back())
                raise ConnectionResetError
        await super().answer(request, writer)

    async def _back(self) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        await self.start_again()


async def play(folder: Path) -> int:
    record, rng = Record(folder), seeded()
    fleet = Fleet(record)
    limits = {"timeoutMs": 1000, "targetLatencyMs": 125}
    routes = [
        route("status", "idempotent", SERVICE) | limits,
        route("receipt", "non_idempotent", SERVICE, maxAttempts=1) | limits,
    ]
    services = [{"name": SERVICE, "healthPath": "/health", "maxConnections": 100}]
    await fleet.open_store(configuration(routes, services, tenants=TENANTS))
    arrivals_s: list[float] = []
    crashes_s: list[float] = []
    for number in range(REPLICAS):
        replica = Crashing(
            fleet.store,
            record,
            name=f"i-{number + 1}",
            service=SERVICE,
            slots=6,
            zone=ZONES[number * 2],
            work_s=0.0225,
        )
        replica.queue = 24
        replica.arrivals_s, replica.crashes_s = arrivals_s, crashes_s
        fleet.replicas.append(replica)
        await replica.start()
    ends: dict[str, dict[str, int]] = {}

    async def ask(who: str, method: str, path: str, key: str, number: int) -> None:
        vm = rng.choice(fleet.vms)
        request_id = f"{who}-{number:05}"
        answer = await call(
            vm, method, path, request_id, wait_s=1.0, headers={"Api-Key": key}
        )
        record.note(f"{request_id} at {vm.name} answered {answer.status}")
        count = ends.setdefault(who, {})
        count[str(answer.status)] = count.get(str(answer.status), 0) + 1

    async def send(
        who: str, method: str, path: str, key: str, per_s: float
    ) -> list[asyncio.Task[None]]:
        tasks: list[asyncio.Task[None]] = []
        until_s = now_s() + PLAY_S
        while now_s() < until_s:
            place = path if path == PATH else f"{path}{len(tasks)}"
            tasks.append(
                asyncio.ensure_future(ask(who, method, place, key, len(tasks)))
            )
            even = who == "crashing"
            await asyncio.sleep(1 / per_s if even else rng.expovariate(per_s))
        return tasks

    sound = "/status/of/" if APART else PATH
    try:
        await fleet.start_vms(ZONES)
        await asyncio.sleep(1.0)
        sent = await asyncio.gather(
            send("sound", "GET", sound, "key-of-hall-2", SOUND_PER_S),
            send("other", "POST", "/receipt/", "key-of-hall-2", OTHER_PER_S),
            send("crashing", "GET", PATH, "key-of-hall-1", 1 / REPEAT_S),
        )
        for tasks in sent:
            await asyncio.gather(*tasks)
    finally:
        await fleet.end()
    third_s = crashes_s[2] if len(crashes_s) > 2 else None
    late = 0 if third_s is None else sum(at > third_s + CONTACT_S for at in arrivals_s)
    record.say(f"answers {ends}")
    record.say(f"{len(crashes_s)} crashes; {late} reached replicas 3 s after the third")
    if sum(count.get("200", 0) for count in ends.values()) < 100:
        return UNUSABLE
    return BROKEN if late > 3 else HELD


run_case(play, FOLDER)
