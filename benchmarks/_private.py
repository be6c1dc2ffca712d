"""Helpers shared by the benchmarks."""

import asyncio
import json
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import psutil

from rosepath_standins.cluster import Cluster, caller_declaration
from rosepath_standins.load import LoadResult, LoadShape, decode_result, encode_shape

KEY = "bench-key"
OUT = Path("out") / "bench"


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold the processor time and memory of a process."""

    cpu_s: float
    memory_bytes: int


def usage(pid: int) -> Usage:
    """Read a process's processor time and resident memory."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    return Usage(times.user + times.system, process.memory_info().rss)


def run_cluster(work: Callable[[Cluster], Awaitable[Any]]) -> Any:
    """Run work over a cluster in a folder of its own, then stop it."""

    async def run(folder: Path) -> Any:
        cluster = Cluster(folder, deployment="bench")
        try:
            return await work(cluster)
        finally:
            cluster.stop()

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(Path(folder)))


async def run_loads(shape: LoadShape, processes: int) -> LoadResult:
    """Run a load split over processes and merge what they saw."""
    share = replace(
        shape,
        streams=max(1, shape.streams // processes),
        rate_per_s=shape.rate_per_s / processes,
    )
    results = await asyncio.gather(
        *(_run_load(replace(share, seed=shape.seed + n)) for n in range(processes))
    )
    merged = LoadResult()
    for result in results:
        merged.merge(result)
    return merged


async def _run_load(shape: LoadShape) -> LoadResult:
    words = ["load", "--address", "-", "--key", "-", "--model", "-", "--raw"]
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "rosepath_standins", *words),
        *("--shape", encode_shape(shape)),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return decode_result(output.decode())


def caller() -> str:
    """Return the declaration of the benchmarks' caller."""
    return caller_declaration("bench", KEY)


async def wait_serving(cluster: Cluster, models: Sequence[str]) -> None:
    """Wait until every daemon answers for every model."""
    for daemon in cluster.daemons.values():
        for model in models:
            body = {"model": model, "prompt": "ping", "max_tokens": 1}

            async def serves(body: Any = body, address: str = daemon.callers) -> bool:
                head, _ = await cluster.request(
                    address,
                    "POST",
                    "/v1/completions",
                    body=json.dumps(body).encode(),
                    headers={"Authorization": f"Bearer {KEY}"},
                )
                return head.status == 200

            await cluster.until(serves, timeout_s=60)


def show(title: str, header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table and keep it as Markdown."""
    text = [f"### {title}", "", "| " + " | ".join(header) + " |"]
    text.append("|" + " --- |" * len(header))
    text += ["| " + " | ".join(_cell(cell) for cell in row) + " |" for row in rows]
    block = "\n".join(text) + "\n"
    print(block, flush=True)
    OUT.mkdir(parents=True, exist_ok=True)
    with (OUT / "report.md").open("a", encoding="utf-8") as file:
        file.write(block + "\n")


def _cell(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
