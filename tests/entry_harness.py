"""A gateway and relay on loopback in front of scripted backend servers."""

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from entry_builders import a_catalog, a_crash_watch, a_route, an_entry

from rosepath.attempt import AttemptSender
from rosepath.catalog import Catalog, HostRoute
from rosepath.clock import Clock, SystemClock
from rosepath.configuration_view import UNKNOWN_CONFIGURATION, ConfigurationView
from rosepath.fleet import Fleet
from rosepath.gateway import CallerExchange, Gateway
from rosepath.http_client import HttpPool
from rosepath.prompt_caches import PromptCaches
from rosepath.quota_client import Unlimited
from rosepath.relay import Relay
from rosepath.request_context import QuotaPort, RelayPorts, RequestContext
from rosepath.retry_window import RetryWindow
from rosepath.workspaces import Workspace

Script = Callable[["ReceivedRequest", asyncio.StreamWriter], Awaitable[None]]
SIGNATURE_HEADER = "Response-Signature: s\r\n"


@dataclass(slots=True)
class ReceivedRequest:
    """Hold a request as received by a backend server."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("request-id", "")


@dataclass(slots=True)
class ScriptedServer:
    """Run a script for each request of a backend server and record them."""

    name: str
    script: Script
    requests: list[ReceivedRequest] = field(default_factory=list)
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)
    address: str = ""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                received = await read_request(reader)
                self.requests.append(received)
                await self.script(received, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.disconnected.set()
        finally:
            writer.close()


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *rest = head.strip().split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (header.partition(":") for header in rest)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(line, headers, body)


def answer(
    received: ReceivedRequest, status: int, body: bytes, extra: str = SIGNATURE_HEADER
) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nRequest-Id: {received.request_id}\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream_head(received: ReceivedRequest) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {received.request_id}\r\n{SIGNATURE_HEADER}"
    return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()


class NoModelOrders:
    """Ignore demand and never order a model."""

    def note_request_received(self, *_: Any) -> None:
        pass

    def note_prefill_work(self, *_: Any, **__: Any) -> None:
        return

    def note_waiting(self, *_: Any, **__: Any) -> None:
        return

    def model_due_s(self, _: str, **__: Any) -> float | None:
        return None

    async def ensure_adapter(self, *_: Any, **__: Any) -> bool:
        return False


@dataclass(slots=True)
class RunningGateway:
    """Hold a listening gateway and the outcomes of its requests."""

    gateway: Gateway
    port: int
    catalog: Catalog
    outcomes: list[tuple[int, str]] = field(default_factory=list)
    fleet: Fleet = field(default_factory=Fleet)
    wait_limit_s: float = math.inf
    listening: dict[str, asyncio.Server] = field(default_factory=dict)

    async def close_server(self, name: str) -> None:
        """Close the listening socket of a backend server."""
        self.listening[name].close()
        await self.listening[name].wait_closed()

    async def wait_connect_failure(self, name: str) -> None:
        """Wait until a connection to a backend server has failed."""
        while self.fleet.servers[name].connect_failed_s < 0:  # noqa: ASYNC110
            await asyncio.sleep(0)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def send_request(self, head: str, body: bytes = b"") -> bytes:
        """Send one request on its own connection and return the raw response."""
        reader, writer = await self.connect()
        writer.write(request(head, body, close=True))
        async with asyncio.timeout(10):
            data = await reader.read()
        writer.close()
        return data


def request(head: str, body: bytes = b"", *, close: bool = False) -> bytes:
    lines = [head, "Host: court.example"]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@asynccontextmanager
async def running_gateway(
    *servers: ScriptedServer,
    route: HostRoute | None = None,
    workspaces: Mapping[str, Workspace] | None = None,
    slack: float = 50.0,
    configuration: Callable[[], ConfigurationView] = lambda: UNKNOWN_CONFIGURATION,
    on_outcome: Callable[[RequestContext, int, str], None] = lambda *_: None,
    quotas: QuotaPort | None = None,
    clock: Clock | None = None,
) -> AsyncIterator[RunningGateway]:
    """Run a gateway in front of scripted backend servers."""
    clock, fleet, pool = clock or SystemClock(), Fleet(), HttpPool()
    chosen = route or a_route()
    catalog = a_catalog(chosen, workspaces=workspaces)
    listening: dict[str, asyncio.Server] = {}
    for server in servers:
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        listening[server.name] = listener
        port = listener.sockets[0].getsockname()[1]
        server.address = f"127.0.0.1:{port}"
        service = chosen.shares[0].service
        fleet.put(an_entry(server.name, service=service, address=server.address))
    window = RetryWindow(clock=clock, ratio=0.2, slack=slack, window_s=10.0)
    made: list[RunningGateway] = []

    def note_outcome(context: RequestContext, status: int, code: str) -> None:
        made[0].outcomes.append((status, code))
        on_outcome(context, status, code)

    def on_failure(_: CallerExchange, error: BaseException | None) -> None:
        made[0].outcomes.append((0, repr(error)))

    relay = Relay(
        RelayPorts(
            data_centre="a",
            clock=clock,
            fleet=fleet,
            caches=PromptCaches(),
            attempts=AttemptSender(pool, clock=clock),
            catalog=lambda: catalog,
            budget=lambda _: window,
            models=NoModelOrders(),
            fleet_changed=asyncio.Condition(),
            cut_off=set,
            wait_limit_s=lambda: made[0].wait_limit_s,
            on_outcome=note_outcome,
            crashes=a_crash_watch(clock),
            configuration=configuration,
            quotas=quotas or Unlimited(),
        )
    )
    gateway = Gateway(
        relay.serve,
        clock=clock,
        on_failure=on_failure,
        on_no_room=relay.refuse_body,
        on_expired=relay.refuse_late_upload,
        upload_time_s=relay.upload_time_s,
        held_responses=relay._ports.held,
    )
    gateway.server.listen(0, address="127.0.0.1")
    port = next(iter(gateway.server._sockets.values())).getsockname()[1]
    made.append(
        RunningGateway(gateway, port, catalog, fleet=fleet, listening=listening)
    )
    try:
        yield made[0]
    finally:
        gateway.server.stop()
        await gateway.server.close_all_connections()
        pool.close()
        for listener in listening.values():
            listener.close()
