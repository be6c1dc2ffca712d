"""Open connections to peers, and detect peers that acknowledge nothing."""

import asyncio
import socket
from typing import Protocol

from rosepath.errors import ExchangeError, Step
from rosepath.http_exchange import Connection

# A host that lost power or is behind a network partition acknowledges nothing.
# By default, the kernel retransmits for many minutes before it gives up.
TCP_USER_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 1


class Dial(Protocol):
    """Open a connection to an address; raises ExchangeError."""

    async def __call__(self, address: str, *, timeout_s: float) -> Connection: ...


async def dial_directly(address: str, *, timeout_s: float) -> Connection:
    """Open a TCP connection to an address; raises ExchangeError."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(Connection, host, int(port))
    except (OSError, TimeoutError) as error:
        raise ExchangeError(
            f"cannot connect: {error or type(error).__name__}",
            step=Step.CONNECT,
            peer=address,
            sent=False,
            timed_out=isinstance(error, TimeoutError),
            refused=not isinstance(error, TimeoutError),
        ) from error
    assert connection.transport is not None
    set_keepalive(connection.transport.get_extra_info("socket"))
    return connection


def set_keepalive(sock: socket.socket) -> None:
    """Make the kernel close a connection whose peer acknowledges nothing."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
