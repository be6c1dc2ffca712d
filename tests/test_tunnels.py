"""Forwarding of connections between entry VMs and backend servers."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import partial

import pytest
from tornado.httpserver import HTTPServer
from tornado.web import Application

from rosepath.dialing import dial_directly
from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool, Request
from rosepath.http_exchange import Connection, disable_linger
from rosepath.tunnels import (
    MAX_TUNNELS,
    TUNNEL_PATH,
    TunnelGate,
    TunnelHandler,
    TunnelStatus,
    open_tunnel,
)
from rosepath_standins.cluster import free_port

TIMEOUT_S = 2.0
LARGE_BYTES = 8 * 1024 * 1024

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def a_gate(
    *, peer: bool = True, server: bool = True, direct: bool = True
) -> TunnelGate:
    return TunnelGate(
        dial=dial_directly,
        is_peer=lambda _: peer,
        is_open_server=lambda _: server,
        has_direct_path=lambda _: direct,
        stopping=lambda: False,
    )


@dataclass(slots=True)
class ForwardedServer:
    """A server, and an entry VM that forwards connections to it."""

    address: str
    forwarder: str
    gate: TunnelGate
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    async def dial(self, address: str, *, timeout_s: float) -> Connection:
        return await open_tunnel(self.forwarder, address, timeout_s=timeout_s)

    def pool(self) -> HttpPool:
        return HttpPool(dial=self.dial)

    def request(self, **fields: object) -> Request:
        given: dict = {"method": "GET", "path": "/", "progress_timeout_s": TIMEOUT_S}
        return Request(address=self.address, **{**given, **fields})

    async def wait_until_closed(self) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while self.gate.open_count:  # noqa: ASYNC110
                await asyncio.sleep(0)


@asynccontextmanager
async def forwarded_server(
    serve: Serve, gate: TunnelGate | None = None
) -> AsyncIterator[ForwardedServer]:
    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            forwarded.ended.set()

    listener = await asyncio.start_server(accept, "127.0.0.1", 0)
    gate = gate or a_gate()
    application = Application([(TUNNEL_PATH, TunnelHandler, {"gate": gate})])
    server = HTTPServer(application)
    port = free_port()
    server.listen(port, address="127.0.0.1")
    forwarded = ForwardedServer(
        f"127.0.0.1:{listener.sockets[0].getsockname()[1]}", f"127.0.0.1:{port}", gate
    )
    try:
        yield forwarded
    finally:
        server.stop()
        listener.close()


async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while True:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def respond_until_close(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * LARGE_BYTES)
    await writer.drain()


async def respond_and_reset(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    await writer.drain()
    await reader.readuntil(b"never")


async def respond_in_part(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    await writer.drain()
    await reader.read()


async def wait_for_close(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(1)


@dataclass(slots=True)
class MortalForwarder:
    """A forwarding entry VM whose process can end."""

    address: str
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    def die(self) -> None:
        """Close all connections as the kernel does for a killed process."""
        for writer in self.writers:
            writer.close()


@asynccontextmanager
async def mortal_forwarder(forwarder: str) -> AsyncIterator[MortalForwarder]:
    """Relay connections to a forwarder."""

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(*forwarder.split(":"))
        mortal.writers += [writer, far_writer]
        await asyncio.gather(_copy(reader, far_writer), _copy(far_reader, writer))

    listener = await asyncio.start_server(accept, "127.0.0.1", 0)
    mortal = MortalForwarder(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
    try:
        yield mortal
    finally:
        mortal.die()
        listener.close()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with suppress(OSError):
        while data := await reader.read(LARGE_BYTES):
            writer.write(data)
    writer.close()


@asynccontextmanager
async def unframed_forwarder(response: bytes) -> AsyncIterator[str]:
    """Run a forwarder that copies bytes unframed, before a server's response."""

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 Connection established\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(accept, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    finally:
        listener.close()


async def _dial_through(
    forwarder: str, address: str, *, timeout_s: float
) -> Connection:
    return await open_tunnel(forwarder, address, timeout_s=timeout_s)


async def status_of(forwarded: ForwardedServer) -> int:
    """Return the status with which a tunnel is refused."""
    reader, writer = await asyncio.open_connection(*forwarded.forwarder.split(":"))
    writer.write(f"CONNECT {forwarded.address} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    line = await reader.readline()
    writer.close()
    return int(line.split()[1])


def test_a_request_is_answered_through_another_vm() -> None:
    async def run() -> None:
        async with forwarded_server(respond) as forwarded:
            pool = forwarded.pool()
            for _ in range(2):
                head, body = await pool.fetch(forwarded.request())
                assert (head.status, body) == (200, b"ok")
            await forwarded.wait_until_closed()

    asyncio.run(run())


# Guards against an open proxy: to other targets, or for anybody.
@pytest.mark.parametrize(
    ("gate", "status"),
    [
        (a_gate(peer=False), TunnelStatus.FORBIDDEN),
        (a_gate(server=False), TunnelStatus.FORBIDDEN),
        # Guards against tunnels in a circle.
        (a_gate(direct=False), TunnelStatus.UNAVAILABLE),
    ],
)
def test_tunnels_that_are_not_allowed_are_refused(
    gate: TunnelGate, status: TunnelStatus
) -> None:
    async def run() -> None:
        async with forwarded_server(respond, gate) as forwarded:
            assert await status_of(forwarded) == status

    asyncio.run(run())


# Guards against tunnels that take the descriptors callers need.
def test_the_number_of_tunnels_is_limited() -> None:
    gate = a_gate()
    gate.open_count = MAX_TUNNELS
    assert gate.check("127.0.0.1", "127.0.0.1:1") is TunnelStatus.UNAVAILABLE


def test_a_server_that_refuses_the_forwarder_is_told_from_one_that_hangs() -> None:
    async def run() -> None:
        async with forwarded_server(respond) as forwarded:
            closed = f"127.0.0.1:{free_port()}"
            with pytest.raises(ExchangeError) as caught:
                await open_tunnel(forwarded.forwarder, closed, timeout_s=TIMEOUT_S)
            assert caught.value.refused
            gone = f"127.0.0.1:{free_port()}"
            with pytest.raises(ExchangeError) as caught:
                await open_tunnel(gone, forwarded.address, timeout_s=TIMEOUT_S)
            assert not caught.value.refused

    asyncio.run(run())


# Guards against a response without a length that loses its last bytes.
def test_a_response_that_ends_with_its_connection_arrives_whole() -> None:
    async def run() -> None:
        async with forwarded_server(respond_until_close) as forwarded:
            _, body = await forwarded.pool().fetch(
                forwarded.request(), max_bytes=LARGE_BYTES
            )
            assert len(body) == LARGE_BYTES

    asyncio.run(run())


# Guards against a truncated response that looks whole.
def test_a_reset_of_the_server_is_passed_on_as_a_reset() -> None:
    async def run() -> None:
        resets: list[asyncio.StreamWriter] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            resets.append(writer)
            await respond_and_reset(reader, writer)

        async with forwarded_server(serve) as forwarded:
            received: list[bytes] = []

            def on_data(data: bytes) -> None:
                received.append(data)
                disable_linger(resets[0].get_extra_info("socket"))
                resets[0].transport.abort()

            with pytest.raises(ExchangeError):
                await forwarded.pool().exchange(
                    forwarded.request(), on_head=lambda _: None, on_data=on_data
                )
            assert received == [b"half"]

    asyncio.run(run())


# Guards against a truncated response that looks whole when a forwarder is killed:
# the kernel closes a killed process's connections in order.
def test_the_end_of_a_forwarder_does_not_end_a_response() -> None:
    async def run() -> None:
        async with forwarded_server(respond_in_part) as forwarded:
            async with mortal_forwarder(forwarded.forwarder) as forwarder:
                pool = HttpPool(dial=partial(_dial_through, forwarder.address))
                received: list[bytes] = []

                def on_data(data: bytes) -> None:
                    received.append(data)
                    forwarder.die()

                with pytest.raises(ExchangeError) as caught:
                    await pool.exchange(
                        forwarded.request(), on_head=lambda _: None, on_data=on_data
                    )
                assert caught.value.lost
                assert received == [b"half"]

    asyncio.run(run())


# Guards against a truncated response that looks whole behind a forwarder of an
# earlier build, which does not tell how the server's connection ended.
def test_an_unframed_tunnel_does_not_end_a_response() -> None:
    async def run() -> None:
        async with unframed_forwarder(b"HTTP/1.1 200 OK\r\n\r\nhalf") as address:
            pool = HttpPool(dial=partial(_dial_through, address))
            with pytest.raises(ExchangeError):
                await pool.fetch(Request(address="server:1", method="GET", path="/"))

    asyncio.run(run())


def test_an_unframed_tunnel_carries_a_response_with_a_length() -> None:
    async def run() -> None:
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        async with unframed_forwarder(response) as address:
            pool = HttpPool(dial=partial(_dial_through, address))
            _, body = await pool.fetch(
                Request(address="server:1", method="GET", path="/")
            )
            assert body == b"ok"

    asyncio.run(run())


# Guards against a tunnel that an entry VM of an earlier build cannot read.
def test_a_tunnel_is_framed_only_for_those_who_ask_for_it() -> None:
    async def run() -> None:
        async with forwarded_server(respond) as forwarded:
            reader, writer = await asyncio.open_connection(
                *forwarded.forwarder.split(":")
            )
            target = forwarded.address
            writer.write(f"CONNECT {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            assert await reader.readuntil(b"ok") == (
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            )
            writer.close()

    asyncio.run(run())


# Guards against frames that are lost when they arrive with the tunnel's response.
def test_data_that_arrives_with_the_response_to_connect_is_decoded() -> None:
    async def run() -> None:
        async def close_at_once(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nRosepath-Tunnel: chunked\r\n\r\n0\r\n\r\n"
            )
            writer.close()

        listener = await asyncio.start_server(close_at_once, "127.0.0.1", 0)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        connection = await open_tunnel(address, "server:1", timeout_s=TIMEOUT_S)
        assert connection.decoder is not None
        assert connection.decoder.ended
        listener.close()

    asyncio.run(run())


# Guards against servers that work on for callers that have left, and against an
# error in the log of the other VM for each of them.
def test_a_cancelled_request_ends_at_the_server(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def run() -> None:
        async with forwarded_server(wait_for_close) as forwarded:
            fetching = asyncio.ensure_future(
                forwarded.pool().fetch(forwarded.request())
            )
            async with asyncio.timeout(TIMEOUT_S):
                while not forwarded.gate.open_count:  # noqa: ASYNC110
                    await asyncio.sleep(0)
            fetching.cancel()
            async with asyncio.timeout(TIMEOUT_S):
                await forwarded.ended.wait()
            await forwarded.wait_until_closed()

    asyncio.run(run())
    assert "Uncaught exception" not in caplog.text


# Guards against tunnels that stay open for ever behind an entry VM that lost
# its power, and hold a planned stop up.
def test_the_connection_of_the_other_vm_is_probed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    probed: list[int] = []

    def set_keepalive(sock: socket.socket) -> None:
        probed.append(sock.getsockname()[1])

    monkeypatch.setattr("rosepath.tunnels.set_keepalive", set_keepalive)

    async def run() -> None:
        async with forwarded_server(respond) as forwarded:
            await forwarded.pool().fetch(forwarded.request())
            assert probed == [int(forwarded.forwarder.rpartition(":")[2])]

    asyncio.run(run())
