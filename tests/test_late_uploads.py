"""Requests that are read late in a planned stop, and those still open at its end."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from partitioned_fleet import PartitionedFleet, partitioned_fleet

from rosepath.entry_node import BALANCER_DETECTION_S
from rosepath_standins.entry_fleet import HOST

GRACE_S = 4.0
# How long after the stop began the body of a late request is complete, and how
# long its run takes: too long for the rest of the grace period.
BODY_AFTER_S = 2.4
RUN_S = 2.0
kinds = pytest.mark.parametrize("kind", ["look", "file"])


@asynccontextmanager
async def stopping_fleet(
    directory: Path, *, run_s: float
) -> AsyncIterator[PartitionedFleet]:
    """Run an entry VM with a short grace period in front of a slow server."""
    async with partitioned_fleet(directory, "a", servers=1) as fleet:
        node = fleet.nodes["vm-0"]
        stop = node.settings.stop.model_copy(update={"grace_s": GRACE_S})
        node.settings = node.settings.model_copy(update={"stop": stop})
        for server in fleet.backend.servers.values():
            server.response_delay_s = run_s
        yield fleet


async def open_request(
    fleet: PartitionedFleet, kind: str, body: bytes
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send the head of a request."""
    fleet.request_count += 1
    request_id = f"late-{fleet.request_count}"
    fleet.backend.request_log.vm_by_request[request_id] = "vm-0"
    address = fleet.nodes["vm-0"].settings.callers.listen
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST /{kind}/{request_id} HTTP/1.1\r\nHost: {HOST}"
    writer.write(
        f"{head}\r\nRequest-Id: {request_id}\r\nRequest-Deadline-Ms: 5000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
    )
    return reader, writer


# Guards against passing on what the rest of the grace period can't finish, so
# that its caller gets no answer and can't send it again.
@kinds
def test_a_request_that_the_grace_period_cannot_finish_is_refused_as_not_run(
    tmp_path: Path, kind: str
) -> None:
    async def run() -> None:
        async with stopping_fleet(tmp_path, run_s=RUN_S) as fleet:
            reader, writer = await open_request(fleet, kind, b"body")
            stopping = asyncio.ensure_future(fleet.nodes["vm-0"].stop())
            await asyncio.sleep(BODY_AFTER_S)
            writer.write(b"body")
            response = await reader.read()
            writer.close()
            await stopping
            assert response.startswith(b"HTTP/1.1 503 ")
            assert not fleet.backend.request_log.arrivals

    asyncio.run(run())


# Guards against refusing what there is time for.
@kinds
def test_a_short_request_is_served_late_in_the_grace_period(
    tmp_path: Path, kind: str
) -> None:
    async def run() -> None:
        async with stopping_fleet(tmp_path, run_s=0.05) as fleet:
            assert await fleet.send("vm-0", kind) == 200
            reader, writer = await open_request(fleet, kind, b"body")
            stopping = asyncio.ensure_future(fleet.nodes["vm-0"].stop())
            await asyncio.sleep(BALANCER_DETECTION_S + 0.1)
            writer.write(b"body")
            response = await reader.read()
            writer.close()
            await stopping
            assert response.startswith(b"HTTP/1.1 200 ")

    asyncio.run(run())


# Guards against ending a request with a closed connection, which tells its caller
# nothing.
@kinds
def test_a_request_that_is_open_at_the_end_of_a_stop_gets_an_answer(
    tmp_path: Path, kind: str
) -> None:
    async def run() -> None:
        async with stopping_fleet(tmp_path, run_s=60.0) as fleet:
            reader, writer = await open_request(fleet, kind, b"body")
            writer.write(b"body")
            async with asyncio.timeout(5.0):
                while not fleet.backend.request_log.arrivals:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            stopping = asyncio.ensure_future(fleet.nodes["vm-0"].stop())
            response = await reader.read()
            writer.close()
            await stopping
            assert response.startswith(b"HTTP/1.1 502 ")

    asyncio.run(run())
