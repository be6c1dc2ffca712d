"""A scripted store on simulated connections in virtual time.

Its responses may arrive in pieces.
"""

import asyncio
import json
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import parse_qs, urlsplit

from virtual_time import LoopClock, VirtualLoop, now_s

from rosepath.object_store import StoreAccess
from rosepath.platform.store import PlatformStore

CALL_TIMEOUT_S = 0.5
READ_INACTIVITY_TIMEOUT_S = 4.0

# The pieces of a response with their delays in seconds after the request.
Pieces = Sequence[tuple[float, bytes]]
Script = Callable[[str], Pieces]


class _Socket:
    """Accept and ignore socket options."""

    def setsockopt(self, *_: int) -> None:
        pass


class _Transport(asyncio.Transport):
    """Pass requests to a script and its response to a connection."""

    def __init__(self, connection: asyncio.Protocol, script: Script) -> None:
        super().__init__({"socket": _Socket()})
        self._connection = connection
        self._script = script
        self._timers: list[asyncio.TimerHandle] = []
        self._closed = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        _, path, _ = bytes(data).split(b"\r\n", 1)[0].decode().split(" ")
        loop = asyncio.get_running_loop()
        for at_s, piece in self._script(path):
            timer = loop.call_later(at_s, self._connection.data_received, piece)
            self._timers.append(timer)

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def abort(self) -> None:
        if not self._closed:
            self._closed = True
            for timer in self._timers:
                timer.cancel()
            loop = asyncio.get_running_loop()
            loop.call_soon(self._connection.connection_lost, None)

    def close(self) -> None:
        self.abort()

    def is_closing(self) -> bool:
        return self._closed


class WireLoop(VirtualLoop):
    """Connect every address to one script."""

    def __init__(self, script: Script) -> None:
        super().__init__()
        self._script = script

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.Protocol], *_: Any, **__: Any
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        connection = protocol_factory()
        transport = _Transport(connection, self._script)
        connection.connection_made(transport)
        return transport, connection


def a_store() -> PlatformStore:
    """Build a client of the scripted store."""
    access = StoreAccess(
        address="10.0.0.9:80",
        call_timeout_s=CALL_TIMEOUT_S,
        read_patience_s=READ_INACTIVITY_TIMEOUT_S,
    )
    return PlatformStore(access, clock=LoopClock())


def run_in_virtual_time(script: Script, work: Callable[[], Any]) -> None:
    """Run a coroutine function in virtual time against a scripted store."""
    with asyncio.Runner(loop_factory=lambda: WireLoop(script)) as runner:
        runner.run(work())


def response_bytes(raw: Any, *, status: int = 200) -> bytes:
    """Return the bytes of a JSON response."""
    body = json.dumps(raw).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def in_pieces(data: bytes, count: int, *, first_s: float, gap_s: float) -> Pieces:
    """Split a response into pieces that arrive at even intervals."""
    size = -(-len(data) // count)
    return [
        (first_s + number * gap_s, data[number * size : (number + 1) * size])
        for number in range(count)
    ]


def a_configuration(revision: int, *, size: int = 300_000) -> dict[str, Any]:
    """Return the operator's configuration as the store sends it."""
    spec = {"version": revision, "routes": [], "note": "x" * size}
    return {"metadata": {"name": "main", "revision": revision}, "spec": spec}


def a_list_response(revision: int) -> dict[str, Any]:
    """Return a list response with the configuration."""
    return {"items": [a_configuration(revision)], "atRevision": revision}


def a_watch_response(revision: int) -> dict[str, Any]:
    """Return the response to a watch that reports a new configuration."""
    event = {"object": a_configuration(revision)}
    return {"events": [event], "atRevision": revision}


def an_empty_watch_response(revision: int) -> dict[str, Any]:
    """Return the response to a watch that timed out without a change."""
    return {"events": [], "atRevision": revision}


class SlowStore:
    """Respond correctly, each time `slow_s` later."""

    def __init__(self, *, slow_s: float, revision: int = 5) -> None:
        self.slow_s = slow_s
        self.revision = revision
        # When the next revision is written.
        self.changes_at_s = float("inf")
        self.requested_paths: list[str] = []

    def __call__(self, path: str) -> Pieces:
        asked_s = now_s()
        self.requested_paths.append(path)
        query = parse_qs(urlsplit(path).query)
        newest = self.revision + (asked_s >= self.changes_at_s)
        if "watch" not in query:
            return [(self.slow_s, response_bytes(a_list_response(newest)))]
        after = int(query["watch"][0])
        until_s = asked_s + int(query["waitMs"][0]) / 1000
        if newest > after:
            return [(self.slow_s, response_bytes(a_watch_response(newest)))]
        if self.changes_at_s <= until_s:
            due_s = self.changes_at_s - asked_s + self.slow_s
            return [(due_s, response_bytes(a_watch_response(self.revision + 1)))]
        return [
            (
                until_s - asked_s + self.slow_s,
                response_bytes(an_empty_watch_response(newest)),
            )
        ]
