"""Replies to orders and reports on connections that callers' requests use."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest
from entry_harness import ReceivedRequest, ScriptedServer, answer

from rosepath.engine_orders import EngineReport, Order, OrderAction, OrderReply
from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool
from rosepath.platform.engines import EngineClient

# Long enough for a response to arrive in a segment of its own.
SEGMENT_GAP_S = 0.05
REPORT = b'{"sequence": 3, "busy": false, "models": []}'
# Far more than a report has.
ENDLESS_BYTES = 64 * 1024 * 1024
# Many times the limit on a call.
WAIT_S = 5.0
AN_ORDER = Order(
    action=OrderAction.LOAD,
    server="i-1",
    model="m0",
    adapter="",
    holder="vm",
    fence=1,
    expected_sequence=2,
)
T = TypeVar("T")


def ask_engine(
    status: int,
    body: bytes,
    ask: Callable[[EngineClient, str], Awaitable[T]],
    *,
    extra: str = "",
) -> T:
    """Ask an engine that first repeats its response to a caller's request."""

    async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        caller = ReceivedRequest("", {"request-id": "q1"}, b"")
        writer.write(answer(caller, 421, b""))
        await writer.drain()
        await asyncio.sleep(SEGMENT_GAP_S)
        head = f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def run() -> T:
        scripted = ScriptedServer("i-1", respond)
        listener = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
        pool = HttpPool()
        host, port = listener.sockets[0].getsockname()
        result = await ask(EngineClient(pool=pool), f"{host}:{port}")
        pool.close()
        listener.close()
        return result

    return asyncio.run(run())


# Guards against a holder that takes an accepted order for a rejected one, by the
# late copy of a response to a caller, and orders a model anew.
@pytest.mark.parametrize(
    ("status", "reply"), [(202, OrderReply.ACCEPTED), (409, OrderReply.CONFLICT)]
)
def test_a_callers_response_is_not_the_reply_to_an_order(
    status: int, reply: OrderReply
) -> None:
    async def ask(client: EngineClient, address: str) -> OrderReply:
        return await client.order(address, AN_ORDER, still_wanted=lambda: True)

    assert ask_engine(status, b"", ask) is reply


# Guards against a report that is lost to such a copy.
def test_a_callers_response_is_not_an_engines_report() -> None:
    async def ask(client: EngineClient, address: str) -> EngineReport:
        return await client.report(address, "i-1")

    assert ask_engine(200, REPORT, ask).sequence == 3


# Guards against reports of engines that echo the id of a request without one being
# dropped, so that no model is ever ordered.
def test_a_report_may_bear_an_empty_id() -> None:
    async def ask(client: EngineClient, address: str) -> EngineReport:
        return await client.report(address, "i-1")

    assert ask_engine(200, REPORT, ask, extra="Request-Id: \r\n").sequence == 3


class EndlessEngine:
    """Send a response that does not end, until the connection closes."""

    def __init__(self, head: bytes, part: bytes, *, pause_s: float = 0.0) -> None:
        self._head, self._part, self._pause_s = head, part, pause_s
        self.sent_bytes = 0
        self.disconnected = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._head)
            # Bounds the memory of a client without a limit.
            while self.sent_bytes < ENDLESS_BYTES:
                writer.write(self._part)
                self.sent_bytes += len(self._part)
                await writer.drain()
                await asyncio.sleep(self._pause_s)
        except OSError:
            pass
        finally:
            self.disconnected.set()
            writer.close()


HEAD = b"HTTP/1.1 200 OK\r\n"
KILOBYTES = b" " * 64 * 1024
ENDLESS = [
    pytest.param(HEAD + b"\r\n", KILOBYTES, 0.0, id="body"),
    pytest.param(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + KILOBYTES + b"\r\n",
        0.0,
        id="chunks",
    ),
    pytest.param(HEAD, b"Padding: " + b"x" * 1000 + b"\r\n", 0.0, id="head"),
    pytest.param(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", 0.01, id="interim heads"),
    pytest.param(HEAD + b"\r\n", b" ", 0.01, id="slow body"),
]


# Guards against a lease holder that keeps all of a response without end, exceeds its
# memory and is killed, or waits for it and plans nothing meanwhile.
@pytest.mark.parametrize(("head", "part", "pause_s"), ENDLESS)
@pytest.mark.parametrize("call", ["report", "order"])
def test_a_response_without_end_is_broken_off(
    head: bytes, part: bytes, pause_s: float, call: str
) -> None:
    async def run() -> None:
        engine = EndlessEngine(head, part, pause_s=pause_s)
        listener = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        address = f"{host}:{port}"
        pool = HttpPool()
        client = EngineClient(pool=pool)
        with pytest.raises(ExchangeError) as caught:
            async with asyncio.timeout(WAIT_S):
                if call == "report":
                    await client.report(address, "i-1")
                else:
                    await client.order(address, AN_ORDER, still_wanted=lambda: True)
        assert (caught.value.peer, caught.value.sent) == (address, True)
        assert engine.sent_bytes < ENDLESS_BYTES
        async with asyncio.timeout(WAIT_S):
            await engine.disconnected.wait()
        pool.close()
        listener.close()

    asyncio.run(run())
