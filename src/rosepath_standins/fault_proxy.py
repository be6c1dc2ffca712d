"""TCP proxy that delays, truncates, resets or drops forwarded data."""

import asyncio
import random
import socket
import struct
from dataclasses import dataclass, field

READ_BYTES = 64 * 1024
# Under a rate limit, data is forwarded in pieces of this transmission time.
PIECE_DURATION_S = 0.05


@dataclass(slots=True, kw_only=True)
class LinkFaults:
    """Configure the faults of a link; `up` is the direction to the target."""

    delay_s: float = 0.0
    blackhole_up: bool = False
    blackhole_down: bool = False
    refuse: bool = False
    cut_down_after_bytes: int | None = None
    cut_up_after_bytes: int | None = None
    loss: float = 0.0
    # Shared by all connections, separately for each direction.
    bytes_per_s: float | None = None


@dataclass(slots=True)
class FaultProxy:
    """Forward connections to one target with the configured faults."""

    target: str
    faults: LinkFaults = field(default_factory=LinkFaults)
    address: str = ""
    seed: int = 1
    accepted: int = 0
    _busy_until_s: dict[bool, float] = field(default_factory=dict)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _random: random.Random = field(default_factory=lambda: random.Random(1))

    async def start(self, *, port: int = 0) -> str:
        """Listen on loopback and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, chosen = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{chosen}"
        return self.address

    def start_in_background(self) -> str:
        """Bind to an address now and start to serve from a background task."""
        listener = socket.create_server(("127.0.0.1", 0))
        host, chosen = listener.getsockname()[:2]
        self.address = f"{host}:{chosen}"
        asyncio.ensure_future(self._serve_on(listener))
        return self.address

    async def _serve_on(self, listener: socket.socket) -> None:
        self._server = await asyncio.start_server(self._serve, sock=listener)

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        if self.faults.refuse:
            _reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, up_writer}
        try:
            await asyncio.gather(
                self._pump(reader, up_writer, up=True),
                self._pump(up_reader, writer, up=False),
            )
        finally:
            self._writers -= {writer, up_writer}
            for end in (writer, up_writer):
                end.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, up: bool
    ) -> None:
        passed = 0
        try:
            while data := await reader.read(READ_BYTES):
                faults = self.faults
                if faults.delay_s:
                    await asyncio.sleep(faults.delay_s)
                if faults.loss and self._random.random() < faults.loss:
                    # TCP retransmits a lost segment: it arrives late.
                    await asyncio.sleep(0.2)
                if faults.blackhole_up if up else faults.blackhole_down:
                    continue
                limit = faults.cut_up_after_bytes if up else faults.cut_down_after_bytes
                if limit is not None and passed + len(data) > limit:
                    writer.write(data[: max(0, limit - passed)])
                    await writer.drain()
                    self.reset_pair(writer)
                    return
                await self._pass(data, writer, up=up)
                passed += len(data)
            if not writer.is_closing():
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.close()

    async def _pass(
        self, data: bytes, writer: asyncio.StreamWriter, *, up: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        while data:
            rate = self.faults.bytes_per_s
            size = max(1, int(rate * PIECE_DURATION_S)) if rate else len(data)
            piece, data = data[:size], data[size:]
            if rate:
                start_s = max(loop.time(), self._busy_until_s.get(up, 0.0))
                self._busy_until_s[up] = start_s + len(piece) / rate
                await asyncio.sleep(self._busy_until_s[up] - loop.time())
            writer.write(piece)
            await writer.drain()

    def reset_pair(self, writer: asyncio.StreamWriter) -> None:
        """Reset the connection of a writer."""
        _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    # The socket of a connection that was lost is closed before its pumps end.
    if raw is not None and raw.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
