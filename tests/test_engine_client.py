"""Replies to orders and reports on connections that callers' requests use."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest
from entry_harness import ReceivedRequest, ScriptedServer, answer

from rosepath.engine_orders import EngineReport, Order, OrderAction, OrderReply
from rosepath.http_client import HttpPool
from rosepath.platform.engines import EngineClient

# Long enough for a response to arrive in a segment of its own.
SEGMENT_GAP_S = 0.05
REPORT = b'{"sequence": 3, "busy": false, "models": []}'
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
    order = Order(
        action=OrderAction.LOAD,
        server="i-1",
        model="m0",
        adapter="",
        holder="vm",
        fence=1,
        expected_sequence=2,
    )

    async def ask(client: EngineClient, address: str) -> OrderReply:
        return await client.order(address, order, still_wanted=lambda: True)

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
