"""Entry VMs in front of servers of two software versions."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from partitioned_fleet import PartitionedFleet, partitioned_fleet

from rosepath.http_client import HttpPool
from rosepath_standins.entry_fleet import HOST
from rosepath_standins.stream_caller import CallerStream, StreamAttempt


@dataclass(slots=True)
class VersionedFleet:
    """Own the entry VMs and send them streams that may break off."""

    fleet: PartitionedFleet
    pool: HttpPool = field(default_factory=HttpPool)
    request_count: int = 0
    # The callers' addresses of VMs, also of those killed since.
    addresses: dict[str, str] = field(default_factory=dict)

    @property
    def names(self) -> list[str]:
        return list(self.fleet.nodes)

    async def send(
        self, stream: CallerStream, vm: str, *, break_after: int | None = None
    ) -> StreamAttempt:
        """Begin a stream at a VM or take it up there."""
        self.request_count += 1
        request_id = f"s{self.request_count}"
        self.fleet.backend.request_log.vm_by_request[request_id] = vm
        address = self.fleet.nodes[vm].settings.callers.listen
        return await stream.attempt(
            self.pool, address, request_id, break_after=break_after
        )

    async def begin(self, vm: str, *, break_after: int = 3) -> CallerStream:
        """Begin a stream and break it off after some events."""
        stream = CallerStream(path=f"/draft/{self.request_count}", host=HOST)
        await self.send(stream, vm, break_after=break_after)
        return stream

    async def begin_at_each_version(
        self, *versions: str, vm: str
    ) -> dict[str, CallerStream]:
        """Begin streams until each version began one; return one of each."""
        found: dict[str, CallerStream] = {}
        async with asyncio.timeout(10.0):
            while set(versions) - found.keys():
                stream = await self.begin(vm)
                found.update(dict.fromkeys(stream.software_versions, stream))
        return found

    async def kill(self, vm: str) -> None:
        """End a VM without a planned stop."""
        node = self.fleet.nodes.pop(vm)
        node.gateway.server.stop()
        node.ready_server.stop()
        await node.gateway.server.close_all_connections()
        await node.close()

    async def remove_version(self, version: str) -> None:
        """Remove all servers of a software version, without waiting for VMs."""
        for server in list(self.fleet.backend.servers.values()):
            if server.software_version == version:
                await self.fleet.backend.remove(server)

    async def wait_for_versions(self, versions: Sequence[str]) -> None:
        """Wait until each VM knows servers of just these versions."""
        async with asyncio.timeout(10.0):
            while any(  # noqa: ASYNC110
                {
                    server.entry.software_version
                    for server in node.tables.fleet.servers.values()
                }
                != set(versions)
                for node in self.fleet.nodes.values()
            ):
                await asyncio.sleep(0.01)


@asynccontextmanager
async def versioned_fleet(
    directory: Path, *data_centres: str, versions: Sequence[str] = ("v1", "v2")
) -> AsyncIterator[VersionedFleet]:
    """Run entry VMs, and two servers of each software version."""
    async with partitioned_fleet(directory, *data_centres, servers=0) as fleet:
        for version in (*versions, *versions):
            await fleet.backend.add_server(software_version=version)
        versioned = VersionedFleet(fleet)
        await versioned.wait_for_versions(versions)
        try:
            yield versioned
        finally:
            versioned.pool.close()
