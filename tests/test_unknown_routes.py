"""A path without a route is no 404 while a newer configuration is known to exist."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import cast

import pytest
from fleet_world import Exchange, World, play
from tornado.httputil import HTTPHeaders
from virtual_time import now_s

from rosepath.entry_node import EntryNode
from rosepath.gateway import CallerExchange

VM = "vm-0"
NEW = "/new/1"
PATHS = ("/drafts/", "/new/")
SIZE = 100_000
# A caller waits so long at most for a configuration that is on its way.
WAIT_S = 0.3
SLACK_S = 0.2


class Asked(Exchange):
    """Hold one caller's request for a path, and its answer."""

    def __init__(self, path: str, world: World) -> None:
        super().__init__(f"asked-{path}", world)
        self.path = path
        self.status = 0
        self.took_s = 0.0
        self.answered = HTTPHeaders()

    def answer(self, status: int, headers: HTTPHeaders, _: bytes) -> None:
        assert not self.status
        self.status, self.answered = status, headers
        self.took_s = now_s() - self.arrived_s


Course = Callable[[World, EntryNode], Awaitable[Asked]]


async def ask(world: World, path: str) -> Asked:
    """Send a request; return it with its answer."""
    asked = Asked(path, world)
    await world.nodes[VM].relay.serve(cast(CallerExchange, asked))
    return asked


def ask_in(monkeypatch: pytest.MonkeyPatch, course: Course) -> Asked:
    """Play a course before a VM that is alone; return its request."""
    answers: list[Asked] = []

    async def run() -> None:
        world = World(rng=random.Random(7))
        await world.start(1, monkeypatch)
        await asyncio.sleep(2.0)
        world.configure(2)
        await asyncio.sleep(2.0)
        assert world.without(2) == []
        answers.append(await course(world, world.nodes[VM]))
        await world.close()

    play(run)
    return answers[0]


def test_a_route_that_is_on_its_way_is_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The operator's change was accepted, and others serve the route: a 404
    # here tells the caller that it doesn't exist.
    async def course(world: World, node: EntryNode) -> Asked:
        world.bytes_per_s[VM] = SIZE / (0.6 * WAIT_S)
        world.configure(3, paths=PATHS, size=SIZE)
        node.tables.catalog_feed.hear(world.revision)
        return await ask(world, NEW)

    asked = ask_in(monkeypatch, course)
    assert asked.status == 200
    assert asked.took_s <= WAIT_S


def test_a_route_that_may_exist_is_refused_for_now(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Another VM told of the revision and fell silent, and the store turns this
    # one away: whether there is a route is not known, and may be soon.
    async def course(world: World, node: EntryNode) -> Asked:
        world.turn_away(VM)
        world.configure(3, paths=PATHS)
        node.tables.catalog_feed.hear(world.revision)
        return await ask(world, NEW)

    asked = ask_in(monkeypatch, course)
    assert asked.status == 503
    assert float(asked.answered["Retry-After"]) > 0
    assert asked.took_s <= WAIT_S + SLACK_S


def test_a_known_route_is_served_while_a_newer_configuration_exists(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Most changes leave most routes alone: no reason to keep their callers.
    async def course(world: World, node: EntryNode) -> Asked:
        world.turn_away(VM)
        world.configure(3, paths=PATHS)
        node.tables.catalog_feed.hear(world.revision)
        return await ask(world, "/drafts/1")

    asked = ask_in(monkeypatch, course)
    assert asked.status == 200
    assert asked.took_s <= 0.01


def test_a_path_without_a_route_is_a_404_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # With a configuration that is current there is nothing to wait for, and
    # word of the revision that is in force is no news.
    async def course(world: World, node: EntryNode) -> Asked:
        node.tables.catalog_feed.hear(node.tables.catalog_feed.changed_revision)
        return await ask(world, NEW)

    asked = ask_in(monkeypatch, course)
    assert asked.status == 404
    assert asked.took_s <= 0.01


def test_a_route_that_a_newer_configuration_lacks_too_is_a_404(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Refused for now, its caller would come back again and again for nothing.
    async def course(world: World, node: EntryNode) -> Asked:
        world.bytes_per_s[VM] = SIZE / (0.6 * WAIT_S)
        world.configure(3, size=SIZE)
        node.tables.catalog_feed.hear(world.revision)
        return await ask(world, NEW)

    asked = ask_in(monkeypatch, course)
    assert asked.status == 404
    assert asked.took_s <= WAIT_S
