"""An entry VM that forwards for another one is killed during responses."""

import asyncio
import signal
from pathlib import Path

from review_support.busy_listener import BusyListener
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
from review_support.peers import Answer, Exchange, Server, call

# A receipt is written in two parts, a draft as events.
PARTS = (b"receipt 4711: lodged ", b"and sealed")
PART_PAUSE_S = 1.2
EVENTS = 12
EVENT_PAUSE_S = 0.15
KILL_AFTER_S = 0.6
# An entry VM opens a tunnel beside a connection that takes over 50 ms.
OPENED_AFTER_S = 0.035
ROUNDS = 8

RECEIPT = b"".join(PARTS)


def event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


DRAFT = b"".join(map(event, range(1, EVENTS + 1)))


async def serve(exchange: Exchange) -> None:
    """Respond without a length, and end with the connection, as pages allow."""
    writer = exchange.writer
    if exchange.path.startswith("/warm/"):
        exchange.respond(200, b"ok")
        return
    streams = exchange.path.startswith("/draft/")
    kind = "text/event-stream" if streams else "text/plain"
    exchange.head(200, f"Content-Type: {kind}", "Connection: close")
    pieces = [*map(event, range(1, EVENTS + 1))] if streams else PARTS
    pause_s = EVENT_PAUSE_S if streams else PART_PAUSE_S
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(pause_s)
    writer.close()


async def lose_path(
    listener: BusyListener, vm: Vm, record: Record, number: int
) -> bool:
    """Let the VM's own connection to the server hang; return if it uses a tunnel."""
    before = await vm.metric("tunnels_opened")
    listener.fill()
    await asyncio.sleep(0.01)
    warm = asyncio.ensure_future(
        call("127.0.0.1", vm.port, "/warm/1", f"warm-{number}", record=record)
    )
    await asyncio.sleep(OPENED_AFTER_S)
    await listener.open()
    answer = await warm
    listener.drop_fillers()
    after = await vm.metric("tunnels_opened")
    record.note(f"tunnels opened by {vm.name}: {before:.0f}, then {after:.0f}")
    return answer.success and after > before


def judge(answers: list[Answer], record: Record) -> int:
    """Return whether a response that ended early looked complete."""
    broken = 0
    for answer in answers:
        whole = DRAFT if answer.request_id.startswith("draft") else RECEIPT
        if answer.success and answer.body != whole:
            broken += 1
            record.note(
                f"BROKEN: {answer.request_id} got a complete {answer.status} of "
                f"{len(answer.body)} bytes; the server's body has {len(whole)}"
            )
    return BROKEN if broken else HELD


async def run(deployment: Deployment, record: Record) -> int:
    server = Server("i-1", record, serve)
    listener = BusyListener(server)
    await listener.open()
    await deployment.write(
        "config/main",
        {
            "version": 1,
            "routes": [
                route("warm", "idempotent", "desk"),
                route("receipt", "non_idempotent", "desk", maxAttempts=1),
                route("status", "idempotent", "desk"),
                route("draft", "streaming", "desk", targetGapMs=500),
            ],
            "services": [{"name": "desk", "healthPath": "/health"}],
            "limits": {},
        },
    )
    await deployment.write_server("i-1", "desk", server.address)
    first, second = deployment.add_vm("vm-1"), deployment.add_vm("vm-2")
    first.start()
    second.start()
    if not await deployment.wait_ready([first, second]):
        return COULD_NOT_RUN
    # They hear each other's state messages.
    await asyncio.sleep(1.0)
    for number in range(ROUNDS):
        if await lose_path(listener, first, record, number):
            break
        await asyncio.sleep(1.0)
    else:
        record.note("no tunnel was used")
        return COULD_NOT_RUN
    # For a second after that, the VM sends new connections through the other VM.
    kinds = ("receipt", "status", "draft", "draft")
    calls = [
        asyncio.ensure_future(
            call(
                "127.0.0.1",
                first.port,
                f"/{kind}/1",
                f"{kind}-{number}",
                record=record,
                method="GET" if kind == "status" else "POST",
            )
        )
        for number, kind in enumerate(kinds)
    ]
    await asyncio.sleep(KILL_AFTER_S)
    record.note(f"tunnels open at vm-2: {await second.metric('tunnels_forwarded'):.0f}")
    if troubled():
        second.send(signal.SIGKILL)
    return judge(await asyncio.gather(*calls), record)


if __name__ == "__main__":
    run_case(run, Path(__file__).parent)
