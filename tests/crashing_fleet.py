"""Causes of crashes that are sent again and again to a fleet with real connections."""

import asyncio
import time
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from partitioned_fleet import PartitionedFleet, partitioned_fleet

from rosepath_standins.entry_fleet import (
    CRASHING_PATH,
    SETTLE_S,
    PortAfterCrash,
    Server,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashScenario:
    """Describe a cause of crashes, and what becomes of the servers.

    `known_after` is the number of crashes after which the cause is to be known,
    `lapse_after_s` when the entry of a crashed server is removed, if it is,
    `leave_after_s` when its callers leave, if they do, and `entry_after_s` how long
    a server that is back serves before it writes its entry.
    """

    port: PortAfterCrash
    cause: str = CRASHING_PATH
    kind: str = "draft"
    known_after: int = 3
    headers: Mapping[str, str] = field(default_factory=dict)
    vms: int = 2
    servers: int = 6
    send_interval_s: float = 0.25
    sending_s: float = 9.0
    restart_after_s: float = 2.0
    lapse_after_s: float | None = None
    leave_after_s: float | None = None
    entry_after_s: float = 0.0

    async def late_sends(self, directory: Path) -> int:
        """Send the cause again and again; return how often it came late.

        Late is what reaches servers `SETTLE_S` after the crash `known_after`.
        """
        data_centres = ["a"] * self.vms
        async with partitioned_fleet(
            directory, *data_centres, servers=self.servers
        ) as fleet:
            for server in fleet.backend.servers.values():
                server.port_after_crash = self.port
            restarting = asyncio.ensure_future(self._restart_servers(fleet))
            await self._send_cause(fleet)
            restarting.cancel()
            log = fleet.backend.request_log
            crashes_s = log.crash_times_s[self.cause]
            if len(crashes_s) < self.known_after:
                return 0
            known_s = crashes_s[self.known_after - 1] + SETTLE_S
            return sum(at_s > known_s for _, _, at_s in log.crashing_requests)

    async def _send_cause(self, fleet: PartitionedFleet) -> None:
        sending: list[asyncio.Future[int]] = []
        ends_s = time.monotonic() + self.sending_s
        while time.monotonic() < ends_s:
            vm = f"vm-{len(sending) % self.vms}"
            sending.append(asyncio.ensure_future(self._send(fleet, vm)))
            await asyncio.sleep(self.send_interval_s)
        await asyncio.gather(*sending)

    async def _send(self, fleet: PartitionedFleet, vm: str) -> int:
        path = self.cause if self.cause == CRASHING_PATH else ""
        with suppress(TimeoutError):
            async with asyncio.timeout(self.leave_after_s):
                return await fleet.send(vm, self.kind, path=path, headers=self.headers)
        return 0

    async def _restart_servers(self, fleet: PartitionedFleet) -> None:
        """Start each crashed server again under its name."""
        restarting: set[asyncio.Task[None]] = set()
        while True:
            for server in fleet.backend.servers.values():
                if not (server.listening or server.restarting):
                    restarting.add(asyncio.ensure_future(self._restart(fleet, server)))
                    server.restarting = True
            await asyncio.sleep(0.01)

    async def _restart(self, fleet: PartitionedFleet, server: Server) -> None:
        away_s = self.restart_after_s
        if self.lapse_after_s is not None:
            await asyncio.sleep(self.lapse_after_s)
            await fleet.backend.write(f"servers/{server.name}", None)
            away_s -= self.lapse_after_s
        await asyncio.sleep(away_s)
        await server.restart()
        await asyncio.sleep(self.entry_after_s)
        await fleet.backend.write_entry(server)
        server.restarting = False
