"""Clients that send bodies which never end, and keep their connections open."""

import asyncio
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

# How long a client waits for a peer that does not read before it stops sending.
SEND_LIMIT_S = 2.0
READ_LIMIT_S = 5.0
PIECE_BYTES = 64 * 1024
# Of the kernel's table of connections.
ESTABLISHED = "01"


@dataclass(frozen=True, slots=True, kw_only=True)
class Upload:
    """Describe a body: what is stated of it, and what is sent.

    With `chunk_bytes` it is sent in chunks, otherwise `length` is announced. The
    last of the `sent_bytes` are followed by the end of the body if it is `whole`.
    """

    sent_bytes: int
    length: int = 0
    chunk_bytes: int = 0
    whole: bool = False

    @classmethod
    def stopping_short(cls, size: int, *, chunk_bytes: int = 0) -> "Upload":
        """Build a body of which the last byte, or the last chunk, is missing."""
        return cls(
            sent_bytes=size if chunk_bytes else size - 1,
            length=size,
            chunk_bytes=chunk_bytes,
        )

    @property
    def framing(self) -> str:
        """Return the header that states how the body ends."""
        if self.chunk_bytes:
            return "Transfer-Encoding: chunked"
        return f"Content-Length: {self.length}"

    def pieces(self) -> Iterator[bytes]:
        """Return what is sent of the body."""
        step = self.chunk_bytes or PIECE_BYTES
        for start in range(0, self.sent_bytes, step):
            piece = b"x" * min(step, self.sent_bytes - start)
            if self.chunk_bytes:
                piece = b"%x\r\n%s\r\n" % (len(piece), piece)
            yield piece
        if self.whole and self.chunk_bytes:
            yield b"0\r\n\r\n"


@dataclass(slots=True)
class MisbehavingClients:
    """Own the connections of a crowd, which stay open."""

    host: str
    port: int
    _writers: list[asyncio.StreamWriter] = field(default_factory=list)

    @classmethod
    def of_address(cls, address: str) -> "MisbehavingClients":
        host, _, port = address.rpartition(":")
        return cls(host, int(port))

    async def send(self, path: str, upload: Upload, *, headers: str = "") -> None:
        """Send a request with a body on a connection of its own."""
        head = f"POST {path} HTTP/1.1\r\nHost: court.example\r\n{headers}"
        await self.send_bytes(f"{head}{upload.framing}\r\n\r\n".encode(), upload)

    async def send_bytes(self, head: bytes, upload: Upload | None = None) -> None:
        """Send a head, and a body if there is one."""
        with suppress(OSError, TimeoutError):
            _, writer = await asyncio.open_connection(self.host, self.port)
            self._writers.append(writer)
            async with asyncio.timeout(SEND_LIMIT_S):
                writer.write(head)
                for piece in upload.pieces() if upload is not None else ():
                    writer.write(piece)
                    if writer.transport.get_write_buffer_size() > PIECE_BYTES:
                        await writer.drain()
                await writer.drain()

    async def wait_until_read(self) -> None:
        """Wait until the peer has read what was sent, or does not go on."""
        with suppress(TimeoutError):
            async with asyncio.timeout(READ_LIMIT_S):
                while unread_bytes(self.port):  # noqa: ASYNC110
                    await asyncio.sleep(0.005)

    def close(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()


def unread_bytes(port: int) -> int:
    """Return what lies unread on the connections to a port of this machine."""
    table = Path("/proc/net/tcp").read_text().splitlines()[1:]
    rows = (row.split() for row in table)
    return sum(
        int(row[4].partition(":")[2], 16)
        for row in rows
        if int(row[1].partition(":")[2], 16) == port and row[3] == ESTABLISHED
    )
