"""Servers and callers that speak the published protocol."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from review_support.deployment import Record

SIGNED = "Response-Signature: 3e1b.07.5a2\r\n"


@dataclass(slots=True)
class Exchange:
    """One request at a server, and the connection on which it came."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def request_id(self) -> str:
        return self.headers.get("request-id", "")

    def head(self, status: int, *lines: str) -> None:
        """Write the head of a response; each line is a header."""
        text = f"HTTP/1.1 {status} X\r\nRequest-Id: {self.request_id}\r\n"
        text += "".join(f"{line}\r\n" for line in lines)
        if status == 200:
            text += SIGNED
        self.writer.write(f"{text}\r\n".encode())

    def respond(self, status: int, body: bytes = b"", *lines: str) -> None:
        """Write a response with a length."""
        self.head(status, *lines, f"Content-Length: {len(body)}")
        self.writer.write(body)


Serve = Callable[[Exchange], Awaitable[None]]


class Server:
    """A sound server: it checks `Target-Instance` and records what it runs."""

    def __init__(self, name: str, record: Record, serve: Serve) -> None:
        self.name = name
        self.address = ""
        self._record = record
        self._serve = serve
        self._server: asyncio.Server | None = None

    async def listen(self, *, host: str = "127.0.0.1", port: int = 0) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self.serve_connection, host, port)
        found, number = self._server.sockets[0].getsockname()[:2]
        self.address = f"{found}:{number}"

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection, one at a time."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                raw = await reader.readuntil(b"\r\n\r\n")
                start, *lines = raw.decode("latin1").strip().split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines)
                }
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, path, _ = start.split(" ")
                exchange = Exchange(method, path, headers, body, writer)
                if headers.get("target-instance", self.name) != self.name:
                    exchange.respond(421, b"", "Not-Executed: 1")
                    continue
                if exchange.request_id:
                    self._record.note(f"{self.name} runs {exchange.request_id} {path}")
                await self._serve(exchange)
                await writer.drain()
        writer.close()

    def close(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()


@dataclass(slots=True)
class Answer:
    """What a caller got: no status without a response."""

    request_id: str
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    # Whether the response came to its end as its framing says.
    whole: bool = False

    @property
    def success(self) -> bool:
        return self.whole and 200 <= self.status < 300


async def call(
    host: str,
    port: int,
    path: str,
    request_id: str,
    *,
    record: Record,
    wait_s: float = 5.0,
    method: str = "GET",
    headers: Mapping[str, str] | None = None,
) -> Answer:
    """Send one request over a new connection and read its response."""
    answer = Answer(request_id)
    lines = {
        "Host": "court.example",
        "Request-Id": request_id,
        "Request-Deadline-Ms": str(int(wait_s * 1000)),
        "Content-Length": "0",
        **(headers or {}),
    }
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    record.note(f"caller sends {request_id} {method} {path} to {host}:{port}")
    started_s = time.monotonic()
    writer: asyncio.StreamWriter | None = None
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(wait_s + 1.0):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode())
            await _read_answer(reader, answer)
    if writer is not None:
        writer.close()
    took_s = time.monotonic() - started_s
    record.note(
        f"caller of {request_id} got {answer.status or 'no status'}, "
        f"{len(answer.body)} bytes, {'whole' if answer.whole else 'broken off'}, "
        f"after {took_s:.3f} s"
    )
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    raw = await reader.readuntil(b"\r\n\r\n")
    start, *lines = raw.decode("latin1").strip().split("\r\n")
    answer.status = int(start.split(" ")[1])
    headers = answer.headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    if "content-length" in headers:
        left = int(headers["content-length"])
        while left:
            data = await reader.read(left)
            if not data:
                return
            answer.body += data
            left -= len(data)
        answer.whole = True
        return
    while size := int(await reader.readuntil(b"\r\n"), 16):
        answer.body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    answer.whole = True
