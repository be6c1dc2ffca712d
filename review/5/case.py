"""A replica spoils one report: its body has no end."""

import asyncio
import itertools
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
from review_support.peers import Exchange, Server, call

# `memoryMb` of the sheet; the platform kills a process that exceeds it.
MEMORY_MB = 300
PAGE_MB = 4096 / 1e6
RESIDENT, ASKED = "m0", "m1"
LOAD_S = 1.0
WATCHED_S = 12.0
LOOK_S = 0.05
# Clients that send one request after the other on a connection that they keep.
CLIENTS = 8
WORK_S = 0.4
ALLOWED_LOST = 3


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


async def serve(exchange: Exchange) -> None:
    """Work on a receipt and answer it, as a sound replica of another service."""
    await asyncio.sleep(WORK_S)
    exchange.respond(200, b"receipt")


async def keep_sending(vm: Vm, client: int, record: Record) -> str:
    """Send requests on one connection; return the id of the one it ended on."""
    reader, writer = await asyncio.open_connection("127.0.0.1", vm.port)
    for number in itertools.count():
        request_id = f"receipt-{client}-{number}"
        writer.write(
            f"POST /receipt/{client} HTTP/1.1\r\nHost: court.example\r\n"
            f"Request-Id: {request_id}\r\nRequest-Deadline-Ms: 3000\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError):
            record.note(f"the connection of {request_id} ended without an answer")
            # The first request on a connection doesn't come on a kept one.
            return request_id if number else ""
        length = head.lower().partition(b"content-length:")[2].split(b"\r\n")[0]
        await reader.readexactly(int(length or 0))
    return ""


async def run(deployment: Deployment, record: Record) -> int:
    engine = Engine("e-1", {RESIDENT}, LOAD_S, record)
    await engine.server.listen()
    more = {"targetGapMs": 250, "resumable": True, "sessionAffinity": True}
    await deployment.write(
        "config/main",
        {
            "version": 1,
            "routes": [
                route("draft", "streaming", "llm", **more),
                route("receipt", "non_idempotent", "desk", maxAttempts=1),
            ],
            "services": [
                {"name": "llm", "healthPath": "/health", "engine": engine_document()},
                {"name": "desk", "healthPath": "/health"},
            ],
            "limits": {},
        },
    )
    await deployment.write_server(
        "e-1", "llm", engine.server.address, slots=64, models=engine.documents()
    )
    ran: set[str] = set()

    async def serve_and_note(exchange: Exchange) -> None:
        ran.add(exchange.request_id)
        await serve(exchange)

    desk = Server("i-1", record, serve_and_note)
    await desk.listen()
    await deployment.write_server("i-1", "desk", desk.address)
    vm = deployment.add_vm("vm-1")
    vm.start()
    if not await deployment.wait_ready([vm]):
        return COULD_NOT_RUN
    await asyncio.sleep(1.0)
    record.note(f"vm-1 holds {memory_mb(vm):.0f} MB")
    clients = [
        asyncio.ensure_future(keep_sending(vm, number, record))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(1.0)
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
    record.note(f"most memory of vm-1: {most:.0f} MB of {MEMORY_MB}")
    await asked
    if most <= MEMORY_MB:
        for task in clients:
            task.cancel()
        return HELD
    ended = [request_id for request_id in await asyncio.gather(*clients) if request_id]
    lost = [request_id for request_id in ended if request_id in ran]
    record.note(
        f"{len(lost)} requests of kept connections were passed on to a sound replica "
        f"and ended without an answer; {ALLOWED_LOST} may: {lost}"
    )
    return BROKEN if len(lost) > ALLOWED_LOST else HELD


async def watch(vm: Vm, record: Record) -> float:
    """Watch a VM's memory; kill it over the limit, as the platform does."""
    most = 0.0
    until_s = time.monotonic() + WATCHED_S
    while time.monotonic() < until_s:
        most = max(most, memory_mb(vm))
        if most > MEMORY_MB:
            record.note(f"vm-1 holds {most:.0f} MB; the platform kills it")
            vm.end()
            break
        await asyncio.sleep(LOOK_S)
    return most


if __name__ == "__main__":
    run_case(run, Path(__file__).parent)
