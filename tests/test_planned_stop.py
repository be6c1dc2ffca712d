"""What a planned stop waits for, and what it does not."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import pytest
from entry_builders import entry_settings
from tornado.httputil import HTTPHeaders, RequestStartLine
from virtual_time import LoopClock, VirtualLoop

from rosepath import entry_node
from rosepath.entry_node import EntryNode
from rosepath.gateway import CallerExchange


class CallersConnection:
    """Be a caller's connection that stays open."""

    def __init__(self) -> None:
        self.stream = self
        self.cut_s: float | None = None

    def closed(self) -> bool:
        return self.cut_s is not None

    def close(self) -> None:
        self.cut_s = asyncio.get_running_loop().time()

    def set_close_callback(self, _: Callable[[], None]) -> None:
        return


def stop(
    monkeypatch: pytest.MonkeyPatch, course: Callable[[EntryNode], None] | None = None
) -> float:
    """Stop an entry VM; return how long that took."""
    monkeypatch.setattr(entry_node, "SystemClock", LoopClock)
    took_s: list[float] = []

    async def run() -> None:
        node = EntryNode(entry_settings("vm"))
        node.coordinator.leases.give_up = _nothing_held  # type: ignore[method-assign]
        if course is not None:
            course(node)
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        await node.stop()
        took_s.append(loop.time() - begun_s)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
    return took_s[0]


async def _nothing_held(_: str) -> int:
    return 0


def test_a_stop_waits_for_a_request_that_is_being_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A body takes seconds over a slow link. The stop waited only for requests
    # that had been read whole: the process ended under one that was arriving,
    # although most of the grace was left.
    served: list[CallerExchange] = []
    connection = CallersConnection()

    def course(node: EntryNode) -> None:
        async def serve(exchange: CallerExchange) -> None:
            served.append(exchange)
            exchange.done = True

        node.gateway._serve = serve
        exchange = CallerExchange(node.gateway, cast(Any, connection))
        node.gateway.idle.add(exchange)
        line = RequestStartLine("POST", "/drafts/1", "HTTP/1.1")
        exchange.headers_received(line, HTTPHeaders({"Content-Length": "4"}))
        asyncio.get_running_loop().call_later(4.0, exchange.finish)

    took_s = stop(monkeypatch, course)
    assert served and connection.cut_s is None
    assert took_s < 4.2


def test_a_stop_that_can_not_hand_the_lease_back_ends_in_its_grace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The store answers slowly, but goes on answering. The stop waited for it
    # before it closed anything, and the grace ended under all that was open.
    def course(node: EntryNode) -> None:
        async def slowly(_: str) -> int:
            await asyncio.sleep(60.0)
            return 0

        node.coordinator.leases.give_up = slowly  # type: ignore[method-assign]

    grace_s = entry_settings("vm").stop.grace_s
    assert stop(monkeypatch, course) < grace_s


def test_idle_connections_are_closed_in_time_while_the_lease_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The last swaps, the answer to the last order and the lease stand in a
    # row, and may take longer than the balancer takes to notice. Callers' idle
    # connections were closed only after that.
    closed_s: list[float] = []

    def course(node: EntryNode) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()

        async def give_up() -> None:
            await asyncio.sleep(entry_node.BALANCER_NOTICES_S + 1.0)

        node.coordinator.give_up = give_up  # type: ignore[method-assign]
        node.gateway.close_idle = lambda: closed_s.append(  # type: ignore[method-assign]
            loop.time() - begun_s
        )

    took_s = stop(monkeypatch, course)
    assert closed_s == [pytest.approx(entry_node.BALANCER_NOTICES_S)]
    assert took_s >= entry_node.BALANCER_NOTICES_S + 1.0


def test_a_stop_without_requests_ends_when_the_balancer_has_noticed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A stop that waits for nothing makes a restart of all VMs that much
    # longer.
    assert stop(monkeypatch) < entry_node.BALANCER_NOTICES_S + 0.2
