"""A planned stop waits for pending requests, within its grace period."""

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


class FakeCallerConnection:
    """Stand in for a caller's connection that stays open."""

    def __init__(self) -> None:
        self.stream = self
        self.oldest_byte_s = self.unread_s = 0.0
        self.cut_s: float | None = None

    def closed(self) -> bool:
        return self.cut_s is not None

    def close(self) -> None:
        self.cut_s = asyncio.get_running_loop().time()

    def set_close_callback(self, _: Callable[[], None]) -> None:
        return


def stop(
    monkeypatch: pytest.MonkeyPatch, scenario: Callable[[EntryNode], None] | None = None
) -> float:
    """Stop an entry VM; return the duration of the stop in seconds."""
    monkeypatch.setattr(entry_node, "SystemClock", LoopClock)
    took_s: list[float] = []

    async def run() -> None:
        node = EntryNode(entry_settings("vm"))
        node.coordinator.leases.release = _release_nothing  # type: ignore[method-assign]
        if scenario is not None:
            scenario(node)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await node.stop()
        took_s.append(loop.time() - started_s)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
    return took_s[0]


async def _release_nothing(_: str) -> int:
    return 0


def test_a_stop_waits_for_a_request_that_is_being_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A body can take seconds over a slow link. A stop that waits only for
    # requests that were read completely exits while another one is still being
    # read, although most of the grace period is left.
    served: list[CallerExchange] = []
    connection = FakeCallerConnection()

    def scenario(node: EntryNode) -> None:
        async def serve(exchange: CallerExchange) -> None:
            served.append(exchange)
            exchange.done = True

        node.gateway._serve = serve
        exchange = CallerExchange(node.gateway, cast(Any, connection))
        node.gateway.idle[exchange] = None
        connection.oldest_byte_s = asyncio.get_running_loop().time()
        line = RequestStartLine("POST", "/drafts/1", "HTTP/1.1")
        exchange.headers_received(line, HTTPHeaders({"Content-Length": "4"}))
        asyncio.get_running_loop().call_later(4.0, exchange.finish)

    took_s = stop(monkeypatch, scenario)
    assert served and connection.cut_s is None
    assert took_s < 4.2


def test_a_stop_that_cannot_release_the_lease_ends_within_its_grace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The store responds slowly, but does respond. A stop that waits for it
    # before closing anything exceeds the grace period with all connections
    # open.
    def scenario(node: EntryNode) -> None:
        async def slowly(_: str) -> int:
            await asyncio.sleep(60.0)
            return 0

        node.coordinator.leases.release = slowly  # type: ignore[method-assign]

    grace_s = entry_settings("vm").stop.grace_s
    assert stop(monkeypatch, scenario) < grace_s


def test_idle_connections_are_closed_in_time_while_the_lease_is_released(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Finishing the last swaps, awaiting the response to the last order and
    # releasing the lease happen in sequence, which may take longer than the
    # load balancer needs to detect the stop. Idle connections must not wait
    # for that.
    closed_s: list[float] = []

    def scenario(node: EntryNode) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()

        async def release() -> None:
            await asyncio.sleep(entry_node.BALANCER_DETECTION_S + 1.0)

        node.coordinator.release = release  # type: ignore[method-assign]
        node.gateway.close_idle = lambda: closed_s.append(  # type: ignore[method-assign]
            loop.time() - started_s
        )

    took_s = stop(monkeypatch, scenario)
    assert closed_s == [pytest.approx(entry_node.BALANCER_DETECTION_S)]
    assert took_s >= entry_node.BALANCER_DETECTION_S + 1.0


def test_a_stop_without_requests_ends_once_the_balancer_has_detected_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Any further wait would prolong a restart of all VMs by that much each.
    assert stop(monkeypatch) < entry_node.BALANCER_DETECTION_S + 0.2
