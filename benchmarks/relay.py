"""Measure what a daemon adds to a stream, and its memory and start time."""

import time
from dataclasses import replace

from benchmarks._private import (
    KEY,
    benchmark_caller,
    process_usage,
    run_cluster,
    run_loads,
    wait_serving,
    write_table,
)
from rosepath_standins.cluster import Cluster
from rosepath_standins.load import LoadShape, percentile

MODEL = "court-rules"
STREAMS = (1, 32, 256)
FLEET_SIZE = 8


async def _start_one_daemon(cluster: Cluster, *, tokens_per_event: int = 1) -> None:
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
    declarations = f"[model.{MODEL}]\nmemory_bytes = 1000\n" + benchmark_caller()
    cluster.declare(
        declarations + cluster.engine_declarations({"engine-1": "dc"}, 80_000)
    )
    await wait_serving(cluster, [MODEL])


async def _relay_overhead(cluster: Cluster) -> list[list[object]]:
    await _start_one_daemon(cluster)
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
        before = process_usage(daemon.process.pid)
        relayed = await run_loads(shape, min(4, streams))
        after = process_usage(daemon.process.pid)
        direct = await _direct(cluster, streams)
        cpu_s = after.cpu_s - before.cpu_s
        rows.append(
            [
                streams,
                1000 * (percentile(relayed.first_token_s, 0.5) - direct[0]),
                1000 * (percentile(relayed.first_token_s, 0.99) - direct[1]),
                1e6 * cpu_s / max(1, relayed.tokens),
                1000 * cpu_s / max(1, relayed.whole),
                relayed.tokens / max(1e-9, cpu_s),
                relayed.wrong + relayed.broken + sum(relayed.refused.values()),
            ]
        )
    return rows


async def _direct(cluster: Cluster, streams: int) -> tuple[float, float]:
    """Measure the time to first token straight from the engine.

    Both figures come from the same run, so that they can be compared.
    """
    import asyncio
    import json

    from rosepath.http_client import HttpPool, Request

    first_chunk_s: list[float] = []
    ends_s = time.perf_counter() + 3.0

    async def send_requests(number: int) -> None:
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
            chunk_times: list[float] = []
            started_s = time.perf_counter()
            await pool.exchange(
                Request(
                    address=cluster.engines["engine-1"].address,
                    method="POST",
                    path="/v1/generate",
                    body=json.dumps(body).encode(),
                ),
                on_head=lambda _: None,
                on_data=lambda _, chunk_times=chunk_times: chunk_times.append(
                    time.perf_counter()
                ),
            )
            first_chunk_s.append(chunk_times[0] - started_s)
        pool.close()

    await asyncio.gather(*(send_requests(number) for number in range(min(streams, 64))))
    return percentile(first_chunk_s, 0.5), percentile(first_chunk_s, 0.99)


async def _marginal_costs(cluster: Cluster) -> list[list[object]]:
    """Separate the CPU cost of a token, of a request and of an idle daemon."""
    import asyncio

    await _start_one_daemon(cluster)
    daemon = cluster.daemons["entry-1"]
    before = process_usage(daemon.process.pid).cpu_s
    await asyncio.sleep(5.0)
    idle = (process_usage(daemon.process.pid).cpu_s - before) / 5.0
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
        before = process_usage(daemon.process.pid).cpu_s
        result = await run_loads(shape, 4)
        cpu_s = (
            process_usage(daemon.process.pid).cpu_s - before - idle * result.elapsed_s
        )
        samples.append((result.whole, result.tokens, cpu_s))
    (r1, t1, c1), (r2, t2, c2) = samples
    per_token_s = (c2 * r1 - c1 * r2) / (t2 * r1 - t1 * r2)
    per_request_s = (c1 - t1 * per_token_s) / r1
    return [[100 * idle, 1e6 * per_token_s, 1e3 * per_request_s]]


async def _coalesced(cluster: Cluster) -> list[list[object]]:
    await _start_one_daemon(cluster, tokens_per_event=4)
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
    before = process_usage(daemon.process.pid)
    relayed = await run_loads(shape, 4)
    cpu_s = process_usage(daemon.process.pid).cpu_s - before.cpu_s
    return [[4, 1e6 * cpu_s / max(1, relayed.tokens)]]


async def _memory_and_start(cluster: Cluster) -> list[list[object]]:
    await _start_one_daemon(cluster)
    daemon = cluster.daemons["entry-1"]
    idle = process_usage(daemon.process.pid).memory_bytes
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
        peak = max(peak, process_usage(daemon.process.pid).memory_bytes)
        await asyncio.sleep(0.1)
    started_s = time.perf_counter()
    second = cluster.start_daemon("entry-2", "dc")
    await cluster.until(lambda: cluster.responds_ok(second.callers, "/readyz"))
    ready_s = time.perf_counter() - started_s
    return [[idle / 1e6, (peak - idle) / 400 / 1e3, ready_s]]


async def _fleet(cluster: Cluster) -> list[list[object]]:
    """Measure short requests through a fleet that shares this machine."""
    cluster.start_platform(weight_loads_per_s=100.0)
    for number in range(2):
        cluster.start_engine(
            f"engine-{number}", slots=1000, token_interval_s=0.0, tokens_per_event=8
        )
    await cluster.wait_listening()
    for number in range(FLEET_SIZE):
        cluster.start_daemon(f"entry-{number}", "dc")
    await cluster.wait_live()
    data_centres = dict.fromkeys(cluster.engines, "dc")
    models = "".join(f"[model.m{n}]\nmemory_bytes = 1000\n" for n in range(4))
    cluster.declare(
        models + benchmark_caller() + cluster.engine_declarations(data_centres, 80_000)
    )
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
    before = sum(process_usage(pid).cpu_s for pid in pids)
    result = await run_loads(replace(shape), 4)
    cpu_s = sum(process_usage(pid).cpu_s for pid in pids) - before
    rate = result.started / result.elapsed_s
    per_core = result.whole / max(1e-9, cpu_s)
    return [
        [rate, per_core, 1000 * cpu_s / max(1, result.whole), per_core * FLEET_SIZE]
    ]


def main() -> None:
    """Run all relay measurements."""
    write_table(
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
        run_cluster(_relay_overhead),
    )
    write_table(
        "Relay: slopes at 32 streams",
        ("idle % of a core", "CPU us/token", "CPU ms/request"),
        run_cluster(_marginal_costs),
    )
    write_table(
        "Relay: several tokens an event",
        ("tokens an event", "CPU us/token"),
        run_cluster(_coalesced),
    )
    write_table(
        "Memory and start",
        ("idle MB", "KB per open stream", "start to ready s"),
        run_cluster(_memory_and_start),
    )
    write_table(
        f"Fleet of {FLEET_SIZE}: short requests, clients and engines on the same cores",
        (
            "requests/s",
            "requests/s per daemon core",
            "CPU ms/request",
            "fleet on 8 cores",
        ),
        run_cluster(_fleet),
    )
