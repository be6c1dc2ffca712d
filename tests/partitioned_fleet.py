"""Entry VMs in this process whose links to backend servers can be cut.

The store, the servers and all connections are real and on loopback.
"""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

from rosepath.dialing import dial_directly
from rosepath.entry_node import EntryNode
from rosepath.entry_settings import EntrySettings
from rosepath.errors import ExchangeError, Step
from rosepath.http_client import HttpPool, Request
from rosepath.http_exchange import Connection
from rosepath_standins.cluster import free_port
from rosepath_standins.entry_fleet import (
    HOST,
    EntryFleet,
    caller_headers,
)

WAIT_S = 4.0


class Cut(StrEnum):
    """Enumerate how the links of a partitioned entry VM fail."""

    # Connections are reset and new ones refused.
    RESET = "reset"
    # Open connections live on while new ones are refused.
    REFUSED = "refused"
    # Connections end unnoticed by the server, and new ones hang.
    SILENT = "silent"


@dataclass(slots=True)
class ServerLinks:
    """Own one entry VM's links to the backend servers."""

    cut: Cut | None = None
    connections: list[Connection] = field(default_factory=list)
    failed_dials: int = 0

    async def dial(self, address: str, *, timeout_s: float) -> Connection:
        """Connect to a server unless the links are cut."""
        if self.cut is not None:
            self.failed_dials += 1
        if self.cut is Cut.SILENT:
            await asyncio.sleep(timeout_s)
        elif self.cut is None:
            connection = await dial_directly(address, timeout_s=timeout_s)
            self.connections.append(connection)
            return connection
        raise ExchangeError(
            "cannot connect",
            step=Step.CONNECT,
            peer=address,
            sent=False,
            timed_out=self.cut is Cut.SILENT,
            refused=self.cut is not Cut.SILENT,
        )

    def fail(self, cut: Cut) -> None:
        """Cut the links."""
        self.cut = cut
        if cut is not Cut.REFUSED:
            for connection in self.connections:
                if connection.transport is not None:
                    connection.transport.abort()


@dataclass(slots=True)
class PartitionedFleet:
    """Own the store, the servers, the entry VMs and their links."""

    backend: EntryFleet
    nodes: dict[str, EntryNode] = field(default_factory=dict)
    links: dict[str, ServerLinks] = field(default_factory=dict)
    pool: HttpPool = field(default_factory=HttpPool)
    request_count: int = 0

    async def add_vm(self, name: str, *, data_centre: str = "a") -> None:
        """Start an entry VM."""
        links = self.links[name] = ServerLinks()
        settings = EntrySettings.model_validate(
            {
                "entry_vm": name,
                "data_centre": data_centre,
                "callers": {
                    "listen": f"127.0.0.1:{free_port()}",
                    "ready_listen": f"127.0.0.1:{free_port()}",
                },
                "peers": {"listen": f"127.0.0.1:{free_port()}"},
                "store": {"address": self.backend.store_address},
            }
        )
        node = self.nodes[name] = EntryNode(settings, dial_server=links.dial)
        await node.start()

    async def wait_until_joined(self) -> None:
        """Wait until each VM is ready and has heard of all others."""
        async with asyncio.timeout(10.0):
            while not all(  # noqa: ASYNC110
                node.ready and len(node.peers.live()) == len(self.nodes) - 1
                for node in self.nodes.values()
            ):
                await asyncio.sleep(0.01)

    async def wait_for_lease_holder(self) -> str:
        """Wait until an entry VM holds the placement lease; return its name."""
        while True:
            for name, node in self.nodes.items():
                if node.coordinator.holds_lease:
                    return name
            await asyncio.sleep(0.01)

    async def send(
        self,
        vm: str,
        kind: str,
        *,
        path: str = "",
        headers: Mapping[str, str] | None = None,
    ) -> int:
        """Send a caller's request to an entry VM; return the status, 0 if none.

        Each has a path of its own unless `path` is given.
        """
        self.request_count += 1
        request_id = f"q{self.request_count}"
        self.backend.request_log.vm_by_request[request_id] = vm
        request = Request(
            address=self.nodes[vm].settings.callers.listen,
            host=HOST,
            method="POST",
            path=path or f"/{kind}/{self.request_count}",
            headers=caller_headers(request_id, wait_s=WAIT_S) | dict(headers or {}),
            body=b"x",
            progress_timeout_s=WAIT_S + 1.0,
        )
        try:
            head, _ = await self.pool.fetch(request)
        except ExchangeError:
            return 0
        return head.status

    async def send_all(self, vm: str, *, rounds: int) -> Counter[int]:
        """Send requests of each kind, a few at a time; count the statuses."""
        statuses: Counter[int] = Counter()
        for _ in range(rounds):
            kinds = ("look", "file", "draft")
            statuses.update(
                await asyncio.gather(*(self.send(vm, kind) for kind in kinds))
            )
        return statuses

    async def stop(self) -> None:
        """Stop the entry VMs at once, then the servers and the store."""
        self.pool.close()
        for node in self.nodes.values():
            await node.close()
            node.gateway.server.stop()
            node.ready_server.stop()
        await self.backend.stop()


@asynccontextmanager
async def partitioned_fleet(
    directory: Path, *data_centres: str, servers: int = 3
) -> AsyncIterator[PartitionedFleet]:
    """Run entry VMs, one for each data centre named, and backend servers."""
    backend = EntryFleet(directory)
    await backend.start(vms=0, servers=servers)
    fleet = PartitionedFleet(backend)
    try:
        for number, data_centre in enumerate(data_centres):
            await fleet.add_vm(f"vm-{number}", data_centre=data_centre)
        await fleet.wait_until_joined()
        yield fleet
    finally:
        await fleet.stop()
