"""Compare routing policies over real engines with delayed load reports."""

import asyncio
import random
import time
import uuid
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from benchmarks._private import run_cluster, write_table
from rosepath.backend import Generation, SendPolicy
from rosepath.backend_http import HttpBackend
from rosepath.errors import RosepathError
from rosepath.http_client import HttpPool
from rosepath.prefixes import PrefixIndex, prefix_keys
from rosepath.routing import RoutingPolicy, RoutingRequest, choose_replica
from rosepath.tables import Replica
from rosepath_standins.cluster import Cluster
from rosepath_standins.load import percentile

ENGINES = 6
SLOTS = 8
ROUTERS = 4
TOKENS = 10
RATE_PER_S = 135.0
DURATION_S = 4.0
TARGET_S = 0.39
LAGS_S = (0.1, 1.0, 2.0)
PREFIX_CHARS = 768
PREFIX_GROUPS = 48

RoutingFunction = Callable[["Router", list[int]], Replica]


@dataclass(slots=True)
class Router:
    """One router and its own view of the engines."""

    replicas: list[Replica]
    rng: random.Random
    index: PrefixIndex = field(default_factory=PrefixIndex)
    turn: int = 0


def at_random(router: Router, _: list[int]) -> Replica:
    return router.rng.choice(router.replicas)


def round_robin(router: Router, _: list[int]) -> Replica:
    router.turn += 1
    return router.replicas[router.turn % len(router.replicas)]


def least_outstanding(router: Router, _: list[int]) -> Replica:
    return min(router.replicas, key=lambda r: (r.own_in_flight, router.rng.random()))


def rosepath(router: Router, keys: list[int]) -> Replica:
    request = RoutingRequest(
        target="m",
        data_centre="dc",
        prefix_home=router.index.find(keys),
        prefix_key=str(keys[0]) if keys else "",
    )
    chosen = choose_replica(
        router.replicas,
        request,
        RoutingPolicy(),
        now_s=time.monotonic(),
        rng=router.rng,
    )
    assert chosen is not None
    router.index.record(keys, chosen.name)
    return chosen


POLICIES: dict[str, RoutingFunction] = {
    "random": at_random,
    "round robin": round_robin,
    "least outstanding": least_outstanding,
    "rosepath": rosepath,
}


def _prompt_maker(skewed: bool, rng: random.Random) -> Callable[[], str]:
    weights = [1.0 / (n + 1) if skewed else 1.0 for n in range(PREFIX_GROUPS)]
    salt = uuid.uuid4().hex

    def make() -> str:
        group = rng.choices(range(PREFIX_GROUPS), weights)[0]
        prefix = f"{salt}{group:04d}" * (PREFIX_CHARS // 36 + 1)
        return prefix[:PREFIX_CHARS] + uuid.uuid4().hex

    return make


async def _poll_reports(cluster: Cluster, router: Router, lag_s: float) -> None:
    """Poll the engines' reports every `lag_s` seconds."""
    backend = HttpBackend(HttpPool())
    while True:
        for replica in router.replicas:
            try:
                report = await backend.report(replica.address)
            except RosepathError:
                continue
            replica.note_report(
                running=report.running,
                queued=report.queued,
                at_s=time.monotonic() - 0.05,
            )
        await asyncio.sleep(lag_s)


async def _send_request(
    router: Router, backend: HttpBackend, choose: RoutingFunction, prompt: str
) -> float | None:
    keys = prefix_keys("m", prompt)
    replica = choose(router, keys)
    request_id = uuid.uuid4().hex
    started_s = time.monotonic()
    first_s: list[float] = []
    replica.own_start_times[request_id] = started_s

    def on_bytes(_: bytes) -> None:
        if not first_s:
            first_s.append(time.monotonic() - started_s)

    generation = Generation(
        request_id=request_id,
        target="m",
        prompt=prompt,
        max_tokens=TOKENS,
        shape="completion",
        served_as="m",
    )
    try:
        await backend.generate(replica.address, generation, on_bytes, SendPolicy())
    except RosepathError:
        return None
    finally:
        held_s = time.monotonic() - started_s
        replica.mean_hold_s += 0.1 * (held_s - replica.mean_hold_s)
        replica.own_start_times.pop(request_id, None)
    return first_s[0] if first_s else None


async def _cache_hits(cluster: Cluster) -> Counter[str]:
    total: Counter[str] = Counter()
    for process in cluster.engines.values():
        record = await cluster.record(process)
        total["hits"] += record["cache_hits"]
        total["lookups"] += record["cache_lookups"]
    return total


async def _run_policy(
    cluster: Cluster, choose: RoutingFunction, *, skewed: bool, lag_s: float
) -> tuple[float, float, float]:
    routers = [
        Router(
            [
                Replica(
                    name=name,
                    data_centre="dc",
                    address=process.address,
                    slots=SLOTS,
                    resident=frozenset({"m"}),
                    mean_hold_s=0.3,
                )
                for name, process in cluster.engines.items()
            ],
            random.Random(seed),
        )
        for seed in range(ROUTERS)
    ]
    pollers = [
        asyncio.ensure_future(_poll_reports(cluster, router, lag_s))
        for router in routers
    ]
    backend = HttpBackend(HttpPool())
    rng = random.Random(7)
    prompt = _prompt_maker(skewed, rng)
    before = await _cache_hits(cluster)
    sent: list[asyncio.Future[float | None]] = []
    ends_s = time.monotonic() + DURATION_S
    next_s = time.monotonic()
    while next_s < ends_s:
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))
        router = rng.choice(routers)
        sent.append(
            asyncio.ensure_future(_send_request(router, backend, choose, prompt()))
        )
        next_s += rng.expovariate(RATE_PER_S)
    results = await asyncio.gather(*sent)
    for task in pollers:
        task.cancel()
    after = await _cache_hits(cluster)
    first_token_s = [value for value in results if value is not None]
    share_within_target = sum(value <= TARGET_S for value in first_token_s) / len(
        results
    )
    hits = (after["hits"] - before["hits"]) / (after["lookups"] - before["lookups"])
    return share_within_target, percentile(first_token_s, 0.99), hits


async def _compare(cluster: Cluster) -> Sequence[Sequence[object]]:
    for number in range(ENGINES):
        cluster.start_engine(
            f"engine-{number}",
            slots=SLOTS,
            token_interval_s=0.02,
            prefill_s_per_block=0.012,
            resident="m",
        )
    cluster.platform = None
    await cluster.wait_listening()
    rows = []
    for skewed in (False, True):
        for lag_s in LAGS_S:
            for name, choose in POLICIES.items():
                share_within_target, p99_s, hits = await _run_policy(
                    cluster, choose, skewed=skewed, lag_s=lag_s
                )
                shape = "skewed" if skewed else "uniform"
                rows.append([shape, lag_s, name, share_within_target, p99_s, hits])
    return rows


def main() -> None:
    """Compare the policies under uniform and skewed load and report lags."""
    write_table(
        f"Routing: {ENGINES} engines of {SLOTS} slots, {ROUTERS} routers, "
        f"{RATE_PER_S:g} requests/s",
        ("load", "report lag s", "policy", f"within {TARGET_S} s", "p99 s", "hit rate"),
        run_cluster(_compare),
    )
