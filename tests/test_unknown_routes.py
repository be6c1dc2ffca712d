"""Requests without a route while a newer configuration is known to exist.

The route may be part of the newer configuration, so a 404 would be wrong.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import cast

import pytest
from fleet_world import FleetSimulation, SimulatedExchange, run_in_virtual_time
from tornado.httputil import HTTPHeaders
from virtual_time import now_s

from rosepath.entry_node import EntryNode
from rosepath.gateway import CallerExchange

VM = "vm-0"
NEW = "/new/1"
PATHS = ("/drafts/", "/new/")
SIZE = 100_000
# The longest time that a request waits for a configuration being fetched.
WAIT_S = 0.3
SLACK_S = 0.2


class RecordingExchange(SimulatedExchange):
    """Hold one caller's request for a path and record the response."""

    def __init__(self, path: str, simulation: FleetSimulation) -> None:
        super().__init__(f"asked-{path}", simulation)
        self.path = path
        self.status = 0
        self.took_s = 0.0
        self.response_headers = HTTPHeaders()

    def respond(self, status: int, headers: HTTPHeaders, _: bytes) -> None:
        assert not self.status
        self.status, self.response_headers = status, headers
        self.took_s = now_s() - self.arrived_s


Scenario = Callable[[FleetSimulation, EntryNode], Awaitable[RecordingExchange]]


async def send_request(simulation: FleetSimulation, path: str) -> RecordingExchange:
    """Send a request; return it with its response."""
    exchange = RecordingExchange(path, simulation)
    await simulation.nodes[VM].relay.serve(cast(CallerExchange, exchange))
    return exchange


def send_in_scenario(
    monkeypatch: pytest.MonkeyPatch, scenario: Scenario
) -> RecordingExchange:
    """Run a scenario on a single VM; return its request."""
    exchanges: list[RecordingExchange] = []

    async def run() -> None:
        simulation = FleetSimulation(rng=random.Random(7))
        await simulation.start(1, monkeypatch)
        await asyncio.sleep(2.0)
        simulation.configure(2)
        await asyncio.sleep(2.0)
        assert simulation.vms_without_version(2) == []
        exchanges.append(await scenario(simulation, simulation.nodes[VM]))
        await simulation.close()

    run_in_virtual_time(run)
    return exchanges[0]


def test_a_request_waits_for_a_configuration_being_fetched(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The operator's change is accepted and other VMs already serve the route,
    # so a 404 here would wrongly report that it does not exist.
    async def scenario(
        simulation: FleetSimulation, node: EntryNode
    ) -> RecordingExchange:
        simulation.bytes_per_s[VM] = SIZE / (0.6 * WAIT_S)
        simulation.configure(3, paths=PATHS, size=SIZE)
        node.tables.catalog_watcher.note_peer_revision(simulation.revision)
        return await send_request(simulation, NEW)

    exchange = send_in_scenario(monkeypatch, scenario)
    assert exchange.status == 200
    assert exchange.took_s <= WAIT_S


def test_a_request_for_a_route_that_may_exist_gets_a_503(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Another VM announced the revision and stopped sending, and the store
    # rejects this VM: whether the route exists is unknown for now.
    async def scenario(
        simulation: FleetSimulation, node: EntryNode
    ) -> RecordingExchange:
        simulation.block(VM)
        simulation.configure(3, paths=PATHS)
        node.tables.catalog_watcher.note_peer_revision(simulation.revision)
        return await send_request(simulation, NEW)

    exchange = send_in_scenario(monkeypatch, scenario)
    assert exchange.status == 503
    assert float(exchange.response_headers["Retry-After"]) > 0
    assert exchange.took_s <= WAIT_S + SLACK_S


def test_a_known_route_is_served_while_a_newer_configuration_exists(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Most changes do not affect most routes, so their requests must not wait.
    async def scenario(
        simulation: FleetSimulation, node: EntryNode
    ) -> RecordingExchange:
        simulation.block(VM)
        simulation.configure(3, paths=PATHS)
        node.tables.catalog_watcher.note_peer_revision(simulation.revision)
        return await send_request(simulation, "/drafts/1")

    exchange = send_in_scenario(monkeypatch, scenario)
    assert exchange.status == 200
    assert exchange.took_s <= 0.01


def test_a_current_configuration_without_the_route_gives_a_404_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The configuration is current, so there is nothing to wait for. A peer's
    # report of the revision in force does not make it outdated.
    async def scenario(
        simulation: FleetSimulation, node: EntryNode
    ) -> RecordingExchange:
        node.tables.catalog_watcher.note_peer_revision(
            node.tables.catalog_watcher.changed_revision
        )
        return await send_request(simulation, NEW)

    exchange = send_in_scenario(monkeypatch, scenario)
    assert exchange.status == 404
    assert exchange.took_s <= 0.01


def test_a_newer_configuration_without_the_route_gives_a_404(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A 503 here would make the caller retry without any chance of success.
    async def scenario(
        simulation: FleetSimulation, node: EntryNode
    ) -> RecordingExchange:
        simulation.bytes_per_s[VM] = SIZE / (0.6 * WAIT_S)
        simulation.configure(3, size=SIZE)
        node.tables.catalog_watcher.note_peer_revision(simulation.revision)
        return await send_request(simulation, NEW)

    exchange = send_in_scenario(monkeypatch, scenario)
    assert exchange.status == 404
    assert exchange.took_s <= WAIT_S
