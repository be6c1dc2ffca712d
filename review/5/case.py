"""A replica spoils one report: its body has no end."""

import asyncio
import time
from pathlib import Path

from review_support.deployment import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Deployment,
    Record,
    Vm,
    route,
    run_case,
    troubled,
)
from review_support.engine import Engine
from review_support.peers import call

# `memoryMb` of the sheet; the platform kills a process that exceeds it.
MEMORY_MB = 300
PAGE_MB = 4096 / 1e6
RESIDENT, ASKED = "m0", "m1"
LOAD_S = 1.0
WATCHED_S = 12.0
LOOK_S = 0.05


def engine_document() -> dict[str, object]:
    return {
        "slots": 64,
        "kvCapacityTokens": 269_258,
        "mb": 200_000.0,
        "adapterSlots": 8,
        "loadsPerS": 1.1,
        "models": [
            {"name": name, "mb": 42_700.0, "loadTimeS": LOAD_S, "adapters": 0}
            for name in (RESIDENT, ASKED)
        ],
    }


def memory_mb(vm: Vm) -> float:
    """Return the resident memory of a VM's process; 0 once it has ended."""
    assert vm.process is not None
    try:
        text = Path(f"/proc/{vm.process.pid}/statm").read_text()
    except OSError:
        return 0.0
    return int(text.split()[1]) * PAGE_MB


async def run(deployment: Deployment, record: Record) -> int:
    engine = Engine("e-1", {RESIDENT}, LOAD_S, record)
    await engine.server.listen()
    more = {"targetGapMs": 250, "resumable": True, "sessionAffinity": True}
    await deployment.write(
        "config/main",
        {
            "version": 1,
            "routes": [route("draft", "streaming", "llm", **more)],
            "services": [
                {"name": "llm", "healthPath": "/health", "engine": engine_document()}
            ],
            "limits": {},
        },
    )
    await deployment.write_server(
        "e-1", "llm", engine.server.address, slots=64, models=engine.documents()
    )
    vm = deployment.add_vm("vm-1")
    vm.start()
    if not await deployment.wait_ready([vm]):
        return COULD_NOT_RUN
    await asyncio.sleep(1.0)
    record.note(f"vm-1 holds {memory_mb(vm):.0f} MB")
    if troubled():
        engine.endless_reports = 1
    # A model that is not loaded: the holder orders it, and reads reports.
    asked = asyncio.ensure_future(
        call(
            "127.0.0.1",
            vm.port,
            "/draft/1",
            "draft-1",
            record=record,
            method="POST",
            wait_s=5.0,
            headers={
                "Model": ASKED,
                "Token-Usage": "60,20",
                "Prompt-Prefix": "aa:40,bb:20",
            },
        )
    )
    most = await watch(vm, record)
    answer = await asked
    record.note(f"most memory of vm-1: {most:.0f} MB of {MEMORY_MB}")
    if most > MEMORY_MB:
        return BROKEN
    return HELD if answer.success or troubled() else COULD_NOT_RUN


async def watch(vm: Vm, record: Record) -> float:
    """Watch a VM's memory; kill it over the limit, as the platform does."""
    most = 0.0
    until_s = time.monotonic() + WATCHED_S
    while time.monotonic() < until_s:
        most = max(most, memory_mb(vm))
        if most > MEMORY_MB:
            record.note(f"BROKEN: vm-1 holds {most:.0f} MB; the platform kills it")
            vm.end()
            break
        await asyncio.sleep(LOOK_S)
    return most


if __name__ == "__main__":
    run_case(run, Path(__file__).parent)
