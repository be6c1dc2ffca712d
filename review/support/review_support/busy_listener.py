"""A server's socket whose queue of new connections may be full."""

import asyncio
import socket

from review_support.peers import Server


class BusyListener:
    """Own the socket of a server.

    While its queue is full, the opening packet of a connection is dropped and is
    sent again after a second.
    """

    def __init__(self, server: Server) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        host, port = self._listener.getsockname()
        self._address = (host, port)
        server.address = f"{host}:{port}"
        self._server = server
        self._accepting: asyncio.Server | None = None
        self._fillers: list[socket.socket] = []

    async def open(self) -> None:
        """Accept what waits, and all that comes."""
        self._accepting = await asyncio.start_server(
            self._server.serve_connection, sock=self._listener.dup()
        )

    def fill(self) -> None:
        """Stop accepting and fill the queue."""
        if self._accepting is not None:
            self._accepting.close()
            self._accepting = None
        self._listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._address)
            self._fillers.append(filler)

    def drop_fillers(self) -> None:
        """Close the connections that filled the queue."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
