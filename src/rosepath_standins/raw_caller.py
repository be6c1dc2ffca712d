"""Callers that write the bytes of their requests themselves."""

import asyncio
from collections.abc import Callable

from rosepath_standins.entry_fleet import HOST, caller_headers


def request_bytes(request_id: str, path: str, *, wait_s: float) -> bytes:
    """Return a request without a body."""
    headers = {"Host": HOST} | caller_headers(request_id, wait_s=wait_s)
    lines = [f"GET {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read a response that states its length; return its status and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, *rest = head.strip().split("\r\n")
    headers = dict(entry.lower().split(": ", 1) for entry in rest)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(line.split(" ")[1]), body


async def send_in_pieces(
    address: str,
    request: bytes,
    *,
    first_bytes: int,
    pause_s: float,
    on_sending: Callable[[], None],
) -> tuple[int, bytes]:
    """Send a request whose first bytes go ahead of the rest by `pause_s`."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        on_sending()
        writer.write(request[:first_bytes])
        await asyncio.sleep(pause_s)
        writer.write(request[first_bytes:])
        return await read_response(reader)
    finally:
        writer.close()
