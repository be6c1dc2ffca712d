"""Measure the extra runs caused by retries if a third of replicas fail."""

import asyncio

from benchmarks._private import (
    KEY,
    benchmark_caller,
    run_cluster,
    run_loads,
    wait_serving,
    write_table,
)
from rosepath_standins.cluster import Cluster
from rosepath_standins.load import LoadShape

ENGINES = 6
MODEL = "court-rules"


async def _measure(cluster: Cluster) -> list[list[object]]:
    cluster.start_platform(weight_loads_per_s=100.0)
    for number in range(ENGINES):
        cluster.start_engine(
            f"engine-{number}",
            slots=64,
            token_interval_s=0.01,
            resident=MODEL,
            memory_bytes=80_000,
        )
    await cluster.wait_listening()
    for number in range(2):
        cluster.start_daemon(f"entry-{number}", "dc")
    await cluster.wait_live()
    data_centres = dict.fromkeys(cluster.engines, "dc")
    cluster.declare(
        f"[model.{MODEL}]\nmemory_bytes = 1\n"
        + benchmark_caller()
        + cluster.engine_declarations(data_centres, 80_000)
    )
    await wait_serving(cluster, [MODEL])
    rows = []
    for kind in ("refuse", "cut_stream", "killed"):
        rows.append(await _fail_a_third(cluster, kind))
    return rows


async def _count_started(cluster: Cluster) -> int:
    total = 0
    for process in cluster.engines.values():
        if process.popen is not None and process.popen.poll() is None:
            record = await cluster.record(process)
            total += sum(record["started"].values())
    return total


async def _fail_a_third(cluster: Cluster, kind: str) -> list[object]:
    shape = LoadShape(
        addresses=tuple(daemon.callers for daemon in cluster.daemons.values()),
        key=KEY,
        models=(MODEL,),
        streams=16,
        tokens=10,
        duration_s=6.0,
    )
    failing = list(cluster.engines.values())[: ENGINES // 3]
    before = await _count_started(cluster)
    load_task = asyncio.ensure_future(run_loads(shape, 2))
    await asyncio.sleep(1.0)
    for process in failing:
        if kind == "killed":
            record = await cluster.record(process)
            before -= sum(record["started"].values())
            process.kill()
        else:
            await cluster.fault(process, kind, count=100_000, value=3)
    result = await load_task
    extra = await _count_started(cluster) - before - result.started
    for process in failing if kind != "killed" else []:
        await cluster.fault(process, kind, count=0)
    return [
        kind,
        result.started,
        result.whole,
        dict(result.refused),
        result.wrong + result.broken,
        max(0, extra) / result.started,
    ]


def main() -> None:
    """Fail a third of the replicas with each of three faults."""
    write_table(
        "Retries: a third of the replicas fail",
        (
            "fault",
            "requests",
            "whole",
            "refused by run",
            "wrong or broken",
            "extra runs",
        ),
        run_cluster(_measure),
    )
