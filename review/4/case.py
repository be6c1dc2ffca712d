"""Another writer's entry makes all entries of servers unreadable."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from review_support.deployment import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    RECOVERY_S,
    Deployment,
    Record,
    Vm,
    route,
    run_case,
    troubled,
)
from review_support.peers import Answer, Exchange, Server, call

# The store takes values of 1 MiB; this is well below.
DIGITS = 5_000
PROBES = 20
PROBE_PAUSE_S = 0.1
# Of the requests after `RECOVERY_S`, a quarter has to be served.
SERVED_SHARE = 0.25


async def serve(exchange: Exchange) -> None:
    await asyncio.sleep(0.02)
    exchange.respond(200, b"receipt")


async def serve_clients(vms: list[Vm], record: Record, name: str) -> float:
    """Send requests to the VMs in turn; return the share that was served."""
    calls: list[asyncio.Task[Answer]] = []
    for number in range(PROBES):
        vm = vms[number % len(vms)]
        calls.append(
            asyncio.ensure_future(
                call(
                    "127.0.0.1",
                    vm.port,
                    f"/receipt/{number}",
                    f"{name}-{number}",
                    record=record,
                    method="POST",
                    wait_s=1.0,
                )
            )
        )
        await asyncio.sleep(PROBE_PAUSE_S)
    answers = await asyncio.gather(*calls)
    share = sum(answer.success for answer in answers) / len(answers)
    record.note(f"{name}: {share:.2f} of the requests were served")
    return share


def foreign_entry() -> dict[str, object]:
    """Return an entry of another writer: `version` is a number, much is missing."""
    return {"service": "desk", "version": int("7" * DIGITS)}


async def run(deployment: Deployment, record: Record) -> int:
    # The stand-in of the store may write any whole number.
    sys.set_int_max_str_digits(0)
    server = Server("i-1", record, serve)
    await server.listen()
    await deployment.write(
        "config/main",
        {
            "version": 1,
            "routes": [route("receipt", "non_idempotent", "desk")],
            "services": [{"name": "desk", "healthPath": "/health"}],
            "limits": {},
        },
    )
    await deployment.write_server("i-1", "desk", server.address)
    vms = [deployment.add_vm(f"vm-{number}") for number in (1, 2, 3)]
    for vm in vms:
        vm.start()
    if not await deployment.wait_ready(vms):
        return COULD_NOT_RUN
    if await serve_clients(vms, record, "before") < SERVED_SHARE:
        return COULD_NOT_RUN
    # With TROUBLE=kill, only the final fault comes, without the entry.
    if troubled() and os.environ.get("TROUBLE") != "kill":
        await deployment.write("servers/other-1", foreign_entry())
    if troubled():
        # The final fault: all processes are killed and start again.
        for vm in vms:
            vm.send(signal.SIGKILL)
        for vm in vms:
            await vm.wait_ended()
        await asyncio.sleep(0.6)
        for vm in vms:
            vm.start()
    back_s = time.monotonic()
    await asyncio.sleep(RECOVERY_S)
    record.note(f"{time.monotonic() - back_s:.1f} s after the machines are back")
    share = await serve_clients(vms, record, "after")
    for vm in vms:
        ready = await vm.ready()
        record.note(f"{vm.name} is {'ready' if ready else 'not ready'}")
        lines = [line for line in vm.log.splitlines() if '"kind": "servers"' in line]
        for line in lines[-2:]:
            record.note(f"log of {vm.name}: {line[:300]}")
    return BROKEN if share < SERVED_SHARE else HELD


if __name__ == "__main__":
    run_case(run, Path(__file__).parent)
