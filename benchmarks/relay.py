"""What a daemon adds to a stream: latency, processor time, memory, start."""

import time
from dataclasses import replace

from benchmarks._private import (
    KEY,
    caller,
    run_cluster,
    run_loads,
    show,
    usage,
    wait_serving,
)
from rosepath_standins.cluster import Cluster
from rosepath_standins.load import LoadShape, percentile

MODEL = "court-rules"
STREAMS = (1, 32, 256)
FLEET = 8


async def _one_daemon(cluster: Cluster, *, tokens_per_event: int = 1) -> None:
    cluster.start_platform(weight_loads_per_s=100.0)
    cluster.start_engine(
        "engine-1",
        slots=1000,
        token_interval_s=0.02,
        tokens_per_event=tokens_per_event,
        prefill_s_per_block=0.0,
    )
    await cluster.wait_listening()
    cluster.start_daemon("entry-1", "dc")
    await cluster.wait_live()
    declarations = f"[model.{MODEL}]\nmemory_bytes = 1000\n" + caller()
    cluster.declare(
        declarations + cluster.engine_declarations({"engine-1": "dc"}, 80_000)
    )
    await wait_serving(cluster, [MODEL])


async def _relay(cluster: Cluster) -> list[list[object]]:
    await _one_daemon(cluster)
    daemon = cluster.daemons["entry-1"]
    rows = []
    for streams in STREAMS:
        shape = LoadShape(
            addresses=(daemon.callers,),
            key=KEY,
            models=(MODEL,),
            streams=streams,
            tokens=50,
            duration_s=5.0,
            check=False,
        )
        before = usage(daemon.process.pid)
        through = await run_loads(shape, min(4, streams))
        after = usage(daemon.process.pid)
        direct = await _direct(cluster, streams)
        cpu_s = after.cpu_s - before.cpu_s
        rows.append(
            [
                streams,
                1000 * (percentile(through.first_token_s, 0.5) - direct[0]),
                1000 * (percentile(through.first_token_s, 0.99) - direct[1]),
                1e6 * cpu_s / max(1, through.tokens),
                1000 * cpu_s / max(1, through.whole),
                through.tokens / max(1e-9, cpu_s),
                through.wrong + through.broken + sum(through.refused.values()),
            ]
        )
    return rows


async def _direct(cluster: Cluster, streams: int) -> tuple[float, float]:
    """Measure first tokens straight from the engine, in this same run."""
    import asyncio
    import json

    from rosepath.http_client import HttpPool, Request

    firsts: list[float] = []
    ends_s = time.perf_counter() + 3.0

    async def loop(number: int) -> None:
        pool = HttpPool()
        count = 0
        while time.perf_counter() < ends_s:
            count += 1
            body = {
                "request_id": f"d{number}-{count}",
                "target": MODEL,
                "prompt": f"p{number}-{count}",
                "max_tokens": 50,
            }
            seen: list[float] = []
            started_s = time.perf_counter()
            await pool.exchange(
                Request(
                    address=cluster.engines["engine-1"].address,
                    method="POST",
                    path="/v1/generate",
                    body=json.dumps(body).encode(),
                ),
                on_head=lambda _: None,
                on_data=lambda _, seen=seen: seen.append(time.perf_counter()),
            )
            firsts.append(seen[0] - started_s)
        pool.close()

    await asyncio.gather(*(loop(number) for number in range(min(streams, 64))))
    return percentile(firsts, 0.5), percentile(firsts, 0.99)


async def _slopes(cluster: Cluster) -> list[list[object]]:
    """Tell the cost of a token from that of a request and of idling."""
    import asyncio

    await _one_daemon(cluster)
    daemon = cluster.daemons["entry-1"]
    before = usage(daemon.process.pid).cpu_s
    await asyncio.sleep(5.0)
    idle = (usage(daemon.process.pid).cpu_s - before) / 5.0
    samples = []
    for tokens in (10, 200):
        shape = LoadShape(
            addresses=(daemon.callers,),
            key=KEY,
            models=(MODEL,),
            streams=32,
            tokens=tokens,
            duration_s=6.0,
            check=False,
        )
        before = usage(daemon.process.pid).cpu_s
        result = await run_loads(shape, 4)
        cpu_s = usage(daemon.process.pid).cpu_s - before - idle * result.elapsed_s
        samples.append((result.whole, result.tokens, cpu_s))
    (r1, t1, c1), (r2, t2, c2) = samples
    per_token_s = (c2 * r1 - c1 * r2) / (t2 * r1 - t1 * r2)
    per_request_s = (c1 - t1 * per_token_s) / r1
    return [[100 * idle, 1e6 * per_token_s, 1e3 * per_request_s]]


async def _coalesced(cluster: Cluster) -> list[list[object]]:
    await _one_daemon(cluster, tokens_per_event=4)
    daemon = cluster.daemons["entry-1"]
    shape = LoadShape(
        addresses=(daemon.callers,),
        key=KEY,
        models=(MODEL,),
        streams=128,
        tokens=64,
        duration_s=5.0,
        check=False,
    )
    before = usage(daemon.process.pid)
    through = await run_loads(shape, 4)
    cpu_s = usage(daemon.process.pid).cpu_s - before.cpu_s
    return [[4, 1e6 * cpu_s / max(1, through.tokens)]]


async def _memory_and_start(cluster: Cluster) -> list[list[object]]:
    await _one_daemon(cluster)
    daemon = cluster.daemons["entry-1"]
    idle = usage(daemon.process.pid).memory_bytes
    import asyncio

    shape = LoadShape(
        addresses=(daemon.callers,),
        key=KEY,
        models=(MODEL,),
        streams=400,
        tokens=200,
        duration_s=1.0,
        check=False,
    )
    running = asyncio.ensure_future(run_loads(shape, 4))
    peak = idle
    while not running.done():
        peak = max(peak, usage(daemon.process.pid).memory_bytes)
        await asyncio.sleep(0.1)
    started_s = time.perf_counter()
    second = cluster.start_daemon("entry-2", "dc")
    await cluster.until(lambda: cluster._answers(second.callers, "/readyz"))
    ready_s = time.perf_counter() - started_s
    return [[idle / 1e6, (peak - idle) / 400 / 1e3, ready_s]]


async def _fleet(cluster: Cluster) -> list[list[object]]:
    """Serve short requests through a fleet; all of it shares this machine."""
    cluster.start_platform(weight_loads_per_s=100.0)
    for number in range(2):
        cluster.start_engine(
            f"engine-{number}", slots=1000, token_interval_s=0.0, tokens_per_event=8
        )
    await cluster.wait_listening()
    for number in range(FLEET):
        cluster.start_daemon(f"entry-{number}", "dc")
    await cluster.wait_live()
    homes = dict.fromkeys(cluster.engines, "dc")
    models = "".join(f"[model.m{n}]\nmemory_bytes = 1000\n" for n in range(4))
    cluster.declare(models + caller() + cluster.engine_declarations(homes, 80_000))
    names = tuple(f"m{n}" for n in range(4))
    await wait_serving(cluster, names)
    shape = LoadShape(
        addresses=tuple(daemon.callers for daemon in cluster.daemons.values()),
        key=KEY,
        models=names,
        streams=64,
        tokens=8,
        duration_s=6.0,
        check=False,
    )
    pids = [daemon.process.pid for daemon in cluster.daemons.values()]
    before = sum(usage(pid).cpu_s for pid in pids)
    result = await run_loads(replace(shape), 4)
    cpu_s = sum(usage(pid).cpu_s for pid in pids) - before
    rate = result.started / result.elapsed_s
    per_core = result.whole / max(1e-9, cpu_s)
    return [[rate, per_core, 1000 * cpu_s / max(1, result.whole), per_core * FLEET]]


def main() -> None:
    """Run every measurement of the relay."""
    show(
        "Relay: through one daemon against straight to the engine",
        (
            "streams",
            "added first token p50 ms",
            "added p99 ms",
            "CPU us/token",
            "CPU ms/request",
            "tokens/s per core",
            "failed",
        ),
        run_cluster(_relay),
    )
    show(
        "Relay: slopes at 32 streams",
        ("idle % of a core", "CPU us/token", "CPU ms/request"),
        run_cluster(_slopes),
    )
    show(
        "Relay: several tokens an event",
        ("tokens an event", "CPU us/token"),
        run_cluster(_coalesced),
    )
    show(
        "Memory and start",
        ("idle MB", "KB per open stream", "start to ready s"),
        run_cluster(_memory_and_start),
    )
    show(
        f"Fleet of {FLEET}: short requests, clients and engines on the same cores",
        (
            "requests/s",
            "requests/s per daemon core",
            "CPU ms/request",
            "fleet on 8 cores",
        ),
        run_cluster(_fleet),
    )
