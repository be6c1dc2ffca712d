"""Helpers shared by the benchmarks."""

import asyncio
import json
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import psutil

from rosepath_standins.cluster import Cluster, caller_declaration
from rosepath_standins.load import LoadResult, LoadShape, decode_result, encode_shape

KEY = "bench-key"
OUTPUT_DIR = Path("out") / "bench"


@dataclass(frozen=True, slots=True)
class Usage:
    """CPU time and resident memory of a process."""

    cpu_s: float
    memory_bytes: int


def process_usage(pid: int) -> Usage:
    """Read the CPU time and resident memory of a process."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    return Usage(times.user + times.system, process.memory_info().rss)


def run_cluster(work: Callable[[Cluster], Awaitable[Any]]) -> Any:
    """Run `work` with a cluster in a temporary folder, then stop it."""

    async def run(folder: Path) -> Any:
        cluster = Cluster(folder, deployment="bench")
        try:
            return await work(cluster)
        finally:
            cluster.stop()

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(Path(folder)))


async def run_loads(shape: LoadShape, processes: int) -> LoadResult:
    """Split a load over several processes and merge their results."""
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
    arguments = ["load", "--address", "-", "--key", "-", "--model", "-", "--raw"]
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "rosepath_standins", *arguments),
        *("--shape", encode_shape(shape)),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return decode_result(output.decode())


async def inject_faults(
    choices: Sequence[Callable[[], Awaitable[None]]],
    rng: random.Random,
    *,
    interval_s: tuple[float, float],
    running: Callable[[], bool],
    counts: Counter[str],
) -> None:
    """Inject random faults at random intervals, and wait until all have ended.

    Faults may overlap; `counts` counts them by name.
    """
    started: list[asyncio.Future[None]] = []
    while running():
        await asyncio.sleep(rng.uniform(*interval_s))
        fault = rng.choice(choices)
        counts[fault.__name__] += 1
        started.append(asyncio.ensure_future(fault()))
    await asyncio.gather(*started)


def benchmark_caller() -> str:
    """Return the declaration of the caller that the benchmarks use."""
    return caller_declaration("bench", KEY)


async def wait_serving(cluster: Cluster, models: Sequence[str]) -> None:
    """Wait until every daemon serves requests for every model."""
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


def write_table(
    title: str, header: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Print a Markdown table and append it to the report file."""
    text = [f"### {title}", "", "| " + " | ".join(header) + " |"]
    text.append("|" + " --- |" * len(header))
    text += ["| " + " | ".join(_cell(cell) for cell in row) + " |" for row in rows]
    block = "\n".join(text) + "\n"
    print(block, flush=True)
    OUTPUT_DIR.mkdir(parents=True, exist_ok=True)
    with (OUTPUT_DIR / "report.md").open("a", encoding="utf-8") as file:
        file.write(block + "\n")


def _cell(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
