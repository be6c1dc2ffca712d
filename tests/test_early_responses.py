"""Responses that come before the request was read, and odd statuses."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from test_tunnels import ForwardedServer, forwarded_server

from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool, Request
from rosepath.http_exchange import disable_linger

UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
PART = b"a part of the body"
# More than a server's kernel takes while the server does not read.
UPLOAD_BYTES = 3_500_000
RESET_AFTER_S = 0.05

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def respond_early(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, response: bytes
) -> None:
    """Read the head only, respond, end in order, and reset the connection later."""
    await reader.readuntil(b"\r\n\r\n")
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    writer.write(response)
    writer.write_eof()
    await asyncio.sleep(RESET_AFTER_S)
    disable_linger(writer.get_extra_info("socket"))
    writer.transport.abort()


async def respond_in_part(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await respond_early(reader, writer, UNFRAMED + PART)


async def respond_with_a_length(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(PART)}\r\n\r\n".encode()
    await respond_early(reader, writer, head + PART)


async def respond_after_the_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(UPLOAD_BYTES)
    writer.write(UNFRAMED + PART)


@asynccontextmanager
async def pool_and_server(
    serve: Serve, *, forwarded: bool
) -> AsyncIterator[tuple[HttpPool, ForwardedServer]]:
    """Run a server that is reached directly or through another entry VM."""
    async with forwarded_server(serve) as server:
        yield (server.pool() if forwarded else HttpPool()), server


async def upload(pool: HttpPool, server: ForwardedServer) -> bytes:
    request = server.request(method="POST", body=b"x" * UPLOAD_BYTES)
    _, body = await pool.fetch(request)
    return body


async def upload_in_chunks(pool: HttpPool, server: ForwardedServer) -> bytes:
    async def chunks() -> AsyncIterator[bytes]:
        for _ in range(70):
            yield b"x" * (UPLOAD_BYTES // 70)

    _, body = await pool.fetch(server.request(method="POST", body_chunks=chunks()))
    return body


both_ways = pytest.mark.parametrize(
    "forwarded", [False, True], ids=["direct", "tunnel"]
)


# Guards against a part of a response that is passed on as a whole one: the server
# ended the connection before it had the request.
@both_ways
@pytest.mark.parametrize("send", [upload, upload_in_chunks])
def test_a_response_that_ends_amid_the_upload_is_not_complete(
    forwarded: bool, send: Callable[..., Awaitable[bytes]]
) -> None:
    async def run() -> None:
        async with pool_and_server(respond_in_part, forwarded=forwarded) as ends:
            with pytest.raises(ExchangeError) as caught:
                await send(*ends)
            assert caught.value.lost and caught.value.answered

    asyncio.run(run())


# Guards against refusing what a server says that need not read the whole upload.
@both_ways
def test_a_response_with_a_length_may_come_before_the_upload_ends(
    forwarded: bool,
) -> None:
    async def run() -> None:
        serve = respond_with_a_length
        async with pool_and_server(serve, forwarded=forwarded) as ends:
            assert await upload(*ends) == PART

    asyncio.run(run())


# Guards against refusing a response that ends with its connection.
@both_ways
def test_a_response_that_ends_after_the_upload_is_complete(forwarded: bool) -> None:
    async def run() -> None:
        serve = respond_after_the_request
        async with pool_and_server(serve, forwarded=forwarded) as ends:
            assert await upload(*ends) == PART

    asyncio.run(run())


# Guards against passing on a response whose status the protocol does not have.
@both_ways
@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
def test_a_response_of_an_unknown_class_cannot_be_read(
    forwarded: bool, status: str
) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\nok".encode())

    async def run() -> None:
        async with pool_and_server(serve, forwarded=forwarded) as (pool, server):
            with pytest.raises(ExchangeError):
                await pool.fetch(
                    Request(address=server.address, method="GET", path="/")
                )

    asyncio.run(run())
