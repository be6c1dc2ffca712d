"""Measure the control plane's cost per node by nodes, replicas and models."""

import asyncio
import json
import re
import time
from datetime import datetime
from typing import Any, NamedTuple

import psutil

from benchmarks._private import (
    benchmark_caller,
    process_usage,
    run_cluster,
    write_table,
)
from rosepath_standins.cluster import Cluster

DATA_CENTRES = ("dc-a", "dc-b", "dc-c", "dc-d")
FLEETS = (8, 24, 64)
REPLICAS = (8, 48, 144)
MODELS = (20, 860)
CHANGES = 8
MEASURED_S = 8.0


class Cost(NamedTuple):
    """Control plane cost of one idle fleet.

    CPU, wire and memory figures are per node; store calls are of the whole
    fleet.
    """

    nodes: int
    replicas: int
    models: int
    cpu_percent: float
    wire_kb_per_s: float
    memory_mb: float
    store_calls_per_s: float
    in_force_median_s: float
    in_force_worst_s: float
    calls_per_change: float


async def _start(cluster: Cluster, nodes: int, replicas: int, models: int) -> None:
    cluster.start_platform(weight_loads_per_s=1000.0, weight_parallel=1000)
    for start in range(0, replicas, 24):
        cluster.start_engines(min(24, replicas - start), memory_bytes=1_000_000)
    await cluster.wait_listening()
    for number in range(nodes):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        cluster.start_daemon(f"entry-{number:03d}", data_centre)
        if number % 8 == 7:
            await cluster.wait_live()
    await cluster.wait_live()
    data_centres = {
        name: DATA_CENTRES[n % len(DATA_CENTRES)]
        for n, name in enumerate(cluster.engines)
    }
    declarations = "".join(
        f"[model.m{n}]\nmemory_bytes = 1000\n" for n in range(models)
    )
    cluster.declare(
        declarations
        + benchmark_caller()
        + cluster.engine_declarations(data_centres, 1_000_000)
    )
    await cluster.wait_ready()


async def _store_calls(cluster: Cluster) -> int:
    assert cluster.platform is not None
    counts = await cluster.json(cluster.platform.address, "/admin/calls")
    return int(sum(counts["calls"].values()))


async def _measure(cluster: Cluster, nodes: int, replicas: int, models: int) -> Cost:
    await _start(cluster, nodes, replicas, models)
    await asyncio.sleep(8.0)
    pids = [daemon.process.pid for daemon in cluster.daemons.values()]
    cpu = sum(process_usage(pid).cpu_s for pid in pids)
    wire = psutil.net_io_counters(pernic=True)["lo"].bytes_sent
    calls = await _store_calls(cluster)
    started_s = time.perf_counter()
    await asyncio.sleep(MEASURED_S)
    elapsed_s = time.perf_counter() - started_s
    cpu = sum(process_usage(pid).cpu_s for pid in pids) - cpu
    wire = psutil.net_io_counters(pernic=True)["lo"].bytes_sent - wire
    idle_calls = (await _store_calls(cluster) - calls) / elapsed_s
    memory = sum(process_usage(pid).memory_bytes for pid in pids) / nodes
    propagation_s, per_change = await _measure_changes(cluster, idle_calls)
    return Cost(
        nodes,
        replicas,
        models,
        100 * cpu / elapsed_s / nodes,
        wire / elapsed_s / nodes / 1e3,
        memory / 1e6,
        idle_calls,
        sorted(propagation_s)[len(propagation_s) // 2],
        max(propagation_s),
        per_change,
    )


async def _measure_changes(
    cluster: Cluster, idle_calls: float
) -> tuple[list[float], float]:
    """Apply changes one after another.

    Return the time each takes to reach every node, and store calls per change.
    """
    calls = await _store_calls(cluster)
    started_s = time.perf_counter()
    accepted: dict[int, float] = {}
    for number in range(CHANGES):
        declaration = json.dumps({"concurrency": 100 + number})
        result = await asyncio.to_thread(
            cluster.cli, "declare", "limit", "l", declaration, "--output", "json"
        )
        accepted[int(json.loads(result.stdout)["version"])] = time.time()
    await cluster.until(lambda: _all_applied(cluster, max(accepted)), timeout_s=60)
    elapsed_s = time.perf_counter() - started_s
    change_calls = await _store_calls(cluster) - calls - idle_calls * elapsed_s
    return _propagation_times_s(cluster, list(accepted)), max(
        0.0, change_calls
    ) / CHANGES


def _applied_times(cluster: Cluster, name: str) -> dict[int, float]:
    times: dict[int, float] = {}
    for line in (cluster.folder / f"{name}.log").read_text().splitlines():
        if '"configuration_in_force"' in line:
            event: dict[str, Any] = json.loads(line)
            at = datetime.fromisoformat(event["timestamp"]).timestamp()
            times[int(event["version"])] = at
    return times


def _all_applied(cluster: Cluster, version: int) -> bool:
    return all(
        max(_applied_times(cluster, n), default=0) >= version for n in cluster.daemons
    )


def _propagation_times_s(cluster: Cluster, versions: list[int]) -> list[float]:
    """Return the time from the first node to apply a version to the last.

    The node that accepts a change applies it at once, so the first time is the
    acceptance. A node may skip a version and apply a newer one.
    """
    logs = [_applied_times(cluster, name) for name in cluster.daemons]
    propagation_s = []
    for version in versions:
        applied_s = [min(at for v, at in log.items() if v >= version) for log in logs]
        propagation_s.append(max(applied_s) - min(applied_s))
    return propagation_s


def _slope(costs: list[Cost], x: str, y: str) -> float:
    """Return the least-squares slope of one figure over another."""
    xs = [float(getattr(cost, x)) for cost in costs]
    ys = [float(getattr(cost, y)) for cost in costs]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    covariance = sum((a - mean_x) * (b - mean_y) for a, b in zip(xs, ys, strict=True))
    return covariance / sum((a - mean_x) ** 2 for a in xs)


def _run(nodes: int, replicas: int, models: int) -> Cost:
    cost: Cost = run_cluster(lambda c: _measure(c, nodes, replicas, models))
    print(cost, flush=True)
    return cost


def main() -> None:
    """Measure idle fleets and print costs and slopes."""
    header = tuple(re.sub("_", " ", name) for name in Cost._fields)
    by_nodes = [_run(nodes, 8, 20) for nodes in FLEETS]
    by_replicas = [by_nodes[0], *(_run(8, count, 20) for count in REPLICAS[1:])]
    by_models = [by_nodes[0], *(_run(8, 8, count) for count in MODELS[1:])]
    write_table(
        "Control: quiet fleets", header, [*by_nodes, *by_replicas[1:], *by_models[1:]]
    )
    rows = []
    for name, costs in (
        ("nodes", by_nodes),
        ("replicas", by_replicas),
        ("models", by_models),
    ):
        rows.append(
            [
                f"a {name[:-1]}",
                _slope(costs, name, "cpu_percent"),
                1000 * _slope(costs, name, "wire_kb_per_s"),
                1000 * _slope(costs, name, "memory_mb"),
                _slope(costs, name, "store_calls_per_s"),
            ]
        )
    write_table(
        "Control: slopes, what one more costs each node (store calls: the fleet)",
        ("one more", "CPU %", "wire B/s", "memory KB", "store calls/s"),
        rows,
    )
