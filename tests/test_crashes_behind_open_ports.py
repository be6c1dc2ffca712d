"""Servers that crash while something still accepts connections at their address."""

import asyncio
import time
from collections.abc import Mapping
from pathlib import Path

import pytest
from partitioned_fleet import PartitionedFleet, partitioned_fleet

from rosepath_standins.entry_fleet import (
    CRASHING_PART,
    CRASHING_PATH,
    SETTLE_S,
    PortAfterCrash,
    Server,
)

SERVERS = 6
SEND_INTERVAL_S = 0.25
SENDING_S = 9.0
RESTART_AFTER_S = 2.0
# The same under a supervisor that starts the next process at once.
QUICK_RESTART_AFTER_S = 0.1
# How often a cause of crashes may still reach servers once it is known.
MAX_LATE_SENDS = 3
ports = pytest.mark.parametrize("port", list(PortAfterCrash))


async def restart_crashed_servers(fleet: PartitionedFleet, *, after_s: float) -> None:
    """Start each crashed server again under its name."""
    restarting: set[asyncio.Task[None]] = set()

    async def restart(server: Server) -> None:
        await asyncio.sleep(after_s)
        await server.restart()
        await fleet.backend.write_entry(server)
        server.restarting = False

    while True:
        for server in fleet.backend.servers.values():
            if not (server.listening or server.restarting):
                server.restarting = True
                restarting.add(asyncio.ensure_future(restart(server)))
        await asyncio.sleep(0.01)


async def late_sends(
    directory: Path,
    port: PortAfterCrash,
    *,
    cause: str,
    known_after: int,
    headers: Mapping[str, str] | None = None,
    restart_after_s: float = RESTART_AFTER_S,
) -> int:
    """Send a cause of crashes again and again; return how often it came late.

    Late is what reaches servers `SETTLE_S` after the crash number `known_after`.
    """
    async with partitioned_fleet(directory, "a", "a", servers=SERVERS) as fleet:
        for server in fleet.backend.servers.values():
            server.port_after_crash = port
        restarting = asyncio.ensure_future(
            restart_crashed_servers(fleet, after_s=restart_after_s)
        )
        sending: list[asyncio.Future[int]] = []
        ends_s = time.monotonic() + SENDING_S
        path = cause if cause == CRASHING_PATH else ""
        while time.monotonic() < ends_s:
            vm = f"vm-{len(sending) % 2}"
            sending.append(
                asyncio.ensure_future(
                    fleet.send(vm, "draft", path=path, headers=headers)
                )
            )
            await asyncio.sleep(SEND_INTERVAL_S)
        await asyncio.gather(*sending)
        restarting.cancel()
        log = fleet.backend.request_log
        crashes_s = log.crash_times_s[cause]
        if len(crashes_s) < known_after:
            return 0
        known_s = crashes_s[known_after - 1] + SETTLE_S
        return sum(at_s > known_s for _, _, at_s in log.crashing_requests)


# Guards against taking an accepted connection for proof that a server did not
# crash, so that a request goes on to crash one server after the other.
@ports
def test_a_request_that_crashes_servers_is_known_whatever_their_ports_do(
    tmp_path: Path, port: PortAfterCrash
) -> None:
    late = asyncio.run(late_sends(tmp_path, port, cause=CRASHING_PATH, known_after=3))
    assert late <= MAX_LATE_SENDS


# Guards against taking the answer of the next process for that of the one that
# crashed.
def test_a_request_that_crashes_servers_is_known_as_they_start_again_at_once(
    tmp_path: Path,
) -> None:
    late = asyncio.run(
        late_sends(
            tmp_path,
            PortAfterCrash.HANGS,
            cause=CRASHING_PATH,
            known_after=3,
            restart_after_s=QUICK_RESTART_AFTER_S,
        )
    )
    assert late <= MAX_LATE_SENDS


# Guards against the same for a part of prompts, each time in another request.
@ports
def test_a_part_of_prompts_that_crashes_servers_is_known_whatever_their_ports_do(
    tmp_path: Path, port: PortAfterCrash
) -> None:
    headers = {
        "Model": "m0",
        "Token-Usage": "300,20",
        "Prompt-Prefix": f"aa:100,{CRASHING_PART}:100,bb:100",
    }
    late = asyncio.run(
        late_sends(tmp_path, port, cause=CRASHING_PART, known_after=5, headers=headers)
    )
    assert late <= MAX_LATE_SENDS
