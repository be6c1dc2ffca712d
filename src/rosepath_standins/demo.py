"""End-to-end demo with simulated components, two daemons and a caller."""

import asyncio
import json
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from rosepath_standins.cluster import Cluster, caller_declaration
from rosepath_standins.tokens import response_text

KEY = "demo-key"
SPLIT_REQUESTS = 100
DECLARATIONS = """
[model.court-rules]
memory_bytes = 20000
[model.claim-drafts]
memory_bytes = 30000
[version.v2]
model = "claim-drafts"
memory_bytes = 30000
[adapter.casablanca]
model = "court-rules"
memory_bytes = 500
[route.drafts]
name = "drafts"
variants = [
  { target = "claim-drafts", share = 0.9 },
  { target = "claim-drafts@v2", share = 0.1 },
]
"""


def run_demo(*, keep: Path | None = None) -> int:
    """Run the demo and return 0 if every step succeeded."""
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return asyncio.run(_demo(keep))
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_demo(Path(folder)))


async def _demo(folder: Path) -> int:
    cluster = Cluster(folder)
    codes: dict[str, int] = {}
    try:
        await _start(cluster)
        await _apply_declarations(cluster)
        await _call(cluster)
        _show_trace(folder)
        print("\n$ rosepath status\n" + cluster.cli("status").stdout)
    finally:
        codes = cluster.stop()
    print("daemons' exit codes:", codes)
    return 0 if codes and not any(codes.values()) else 1


async def _start(cluster: Cluster) -> None:
    platform = cluster.start_platform(weight_loads_per_s=20.0)
    for name in ("engine-1", "engine-2"):
        cluster.start_engine(
            name, memory_bytes=100_000, load_s_per_byte=1e-5, weights=platform.address
        )
    cluster.start_service("greffe-1")
    await cluster.wait_listening()
    for name, data_centre in (("entry-1", "casa-a"), ("entry-2", "casa-b")):
        trace_file = str(cluster.folder / f"trace-{name}.jsonl")
        cluster.start_daemon(
            name,
            data_centre,
            settings={
                "telemetry": {"exporter": "file", "trace_file": trace_file},
                "placement": {"loads_per_s": 20.0},
            },
        )
    await cluster.wait_live()


async def _apply_declarations(cluster: Cluster) -> None:
    data_centres = {"engine-1": "casa-a", "engine-2": "casa-b", "greffe-1": "casa-a"}
    declarations = (
        DECLARATIONS
        + caller_declaration("clerks", KEY)
        + cluster.engine_declarations(data_centres, 100_000)
        + cluster.service_declarations("greffe-api", data_centres)
    )
    version = cluster.declare(declarations)
    waited = cluster.cli("wait", str(version))
    print("$ rosepath wait", version, "\n" + waited.stdout + waited.stderr)
    expected = {"court-rules", "court-rules:casablanca", "claim-drafts"}
    await cluster.until(lambda: expected <= _resident(cluster))
    await cluster.until(lambda: "claim-drafts@v2" in _resident(cluster))


def _resident(cluster: Cluster) -> set[str]:
    loaded: set[str] = set()
    for daemon in cluster.daemons:
        status = json.loads(
            cluster.cli("status", "--output", "json", daemon=daemon).stdout
        )
        seen: set[str] = set()
        for server in status.get("backend_servers", ()):
            seen |= set(server.get("resident", ()))
        loaded = seen if not loaded else loaded & seen
    return loaded


def _headers() -> dict[str, str]:
    return {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}


async def _call(cluster: Cluster) -> None:
    daemons = list(cluster.daemons.values())
    await _stream_once(cluster, daemons[0].callers, "court-rules:casablanca")
    counts: Counter[str] = Counter()
    for number in range(SPLIT_REQUESTS):
        daemon = daemons[number % len(daemons)]
        prompt = f"draft {number}"
        body = {"model": "drafts", "prompt": prompt, "max_tokens": 4}
        response = await _post(cluster, daemon.callers, "/v1/completions", body)
        text = response["choices"][0]["text"]
        for target in ("claim-drafts", "claim-drafts@v2"):
            counts[target] += text == response_text(target, prompt, 4)
    if sum(counts.values()) != SPLIT_REQUESTS:
        raise RuntimeError(f"some responses are incomplete or wrong: {counts}")
    print(f"split over {SPLIT_REQUESTS} requests: {dict(counts)}")
    _, receipt = await cluster.request(
        daemons[1].callers,
        "POST",
        "/services/greffe-api/receipts",
        body=b"claim 17",
        headers=_headers(),
    )
    print("receipt:", receipt.decode())


async def _post(
    cluster: Cluster, address: str, path: str, body: dict[str, Any]
) -> dict[str, Any]:
    head, response = await cluster.request(
        address, "POST", path, body=json.dumps(body).encode(), headers=_headers()
    )
    if head.status != 200:
        raise RuntimeError(f"{head.status}: {response.decode()}")
    return dict(json.loads(response))


async def _stream_once(cluster: Cluster, address: str, model: str) -> None:
    body = {
        "model": model,
        "stream": True,
        "max_tokens": 8,
        "messages": [{"role": "user", "content": "Which form do I file?"}],
    }
    head, response = await cluster.request(
        address,
        "POST",
        "/v1/chat/completions",
        body=json.dumps(body).encode(),
        headers={**_headers(), "traceparent": f"00-{'a' * 32}-{'b' * 16}-01"},
    )
    if head.status != 200 or not response.endswith(b"data: [DONE]\n\n"):
        raise RuntimeError(f"{head.status}: {response.decode()}")
    words = [
        json.loads(line[6:])["choices"][0]["delta"].get("content", "")
        for line in response.split(b"\n")
        if line.startswith(b"data: {")
    ]
    print(f"{model} streamed: {''.join(words)}")


def _show_trace(folder: Path) -> None:
    spans = [
        json.loads(line)
        for file in sorted(folder.glob("trace-*.jsonl"))
        for line in file.read_text(encoding="utf-8").splitlines()
    ]
    print("\nhops of the streamed request:")
    for span in spans:
        if span["trace_id"] == "a" * 32:
            duration_ms = (span["end_ns"] - span["start_ns"]) / 1e6
            peer = span["attributes"].get("peer", "caller")
            print(f"  {span['name']:<18} {peer:<10} {duration_ms:6.1f} ms")
