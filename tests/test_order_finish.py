"""A holder that stops ends its swaps before it gives up the lease."""

import asyncio
import json
from collections.abc import Awaitable, Callable

from entry_builders import a_catalog, an_engine_spec, an_entry, entry_settings
from fakes import FakePlatform
from test_order_dispatcher import FakeEngine, until
from virtual_time import LoopClock, VirtualLoop

from rosepath.caller_call import Prompt
from rosepath.engine_orders import EngineReport, Order, OrderReply
from rosepath.entry_node import BALANCER_NOTICES_S, EntryNode
from rosepath.fleet import Fleet
from rosepath.peer_table import PeerTable
from rosepath.placement_coordinator import PlacementCoordinator
from rosepath.prompt_caches import PromptCaches

# So long an order takes to be answered.
ORDER_S = 0.1


class StoppedEngine(FakeEngine):
    """Note who holds the lease as orders come; be busy after an unload."""

    def __init__(self, *models: str, busy_s: float) -> None:
        super().__init__(*models)
        self.platform = FakePlatform()
        self.busy_s = busy_s
        self.came: list[tuple[float, str, OrderReply]] = []
        self.beside = FakeEngine("m0")

    async def order(
        self, address: str, order: Order, *, still_wanted: Callable[[], bool]
    ) -> OrderReply:
        if order.server == "e2":
            return await self.beside.order(address, order, still_wanted=still_wanted)
        reply = await super().order(address, order, still_wanted=still_wanted)
        loop = asyncio.get_running_loop()
        lease = json.loads(self.platform.objects["leases/placement"].value)
        self.came.append((loop.time(), lease["holder"], reply))
        if reply is OrderReply.ACCEPTED and order.model not in self.models:
            self.busy = True
            loop.call_later(self.busy_s, setattr, self, "busy", False)
        await asyncio.sleep(ORDER_S)
        return reply

    async def report(self, address: str, server: str) -> EngineReport:
        if server == "e2":
            return await self.beside.report(address, server)
        return await super().report(address, server)

    @property
    def holder(self) -> str:
        return str(
            json.loads(self.platform.objects["leases/placement"].value)["holder"]
        )


def play(
    engine: StoppedEngine, scene: Callable[[PlacementCoordinator], Awaitable[None]]
) -> None:
    """Run a scene with a holder that just planned a swap to m1."""

    async def run() -> None:
        clock, fleet, stopping = LoopClock(), Fleet(), list[bool]()
        fleet.put(an_entry("e1", models=dict.fromkeys(engine.models, frozenset())))
        catalog = a_catalog(engine=an_engine_spec("m0", "m1", "m2"))
        coordinator = PlacementCoordinator(
            entry_settings("vm-a"),
            clock=clock,
            store=engine.platform,
            engines=engine,
            fleet=fleet,
            caches=PromptCaches(),
            catalog=lambda: catalog,
            peers=PeerTable("vm-a", clock=clock),
            stopping=lambda: bool(stopping),
            cut_off=lambda: False,
            changed=lambda: None,
            boot_clock=clock,
        )
        for _ in range(9):
            coordinator.note_waiting("llm", Prompt(model="m1"), step=1)
        await coordinator.step_lease()

        async def renew() -> None:
            while True:
                await asyncio.sleep(0.2)
                await coordinator.step_lease()

        renewing = asyncio.ensure_future(renew())
        await coordinator.orders.tick()
        assert coordinator.orders._swaps
        await scene(coordinator)
        renewing.cancel()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


async def stop_after_an_unload(
    engine: StoppedEngine, coordinator: PlacementCoordinator
) -> float:
    """Give up the lease between unload and load; return how long that took."""
    await until(lambda: bool(engine.came))
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    await coordinator.give_up()
    assert engine.holder == ""
    took_s = loop.time() - begun_s
    await asyncio.sleep(20)
    return took_s


def test_a_holder_that_stops_ends_the_swap_that_it_began() -> None:
    # The holder was stopped while the unload waited for the runs of its model.
    # The lease was gone before the load could be ordered: the engine was left
    # with one model where two were, and callers of both waited for the next
    # holder. Every order must come while the lease still names who sends it.
    engine = StoppedEngine("m0", "m2", busy_s=1.2)

    async def scene(coordinator: PlacementCoordinator) -> None:
        assert await stop_after_an_unload(engine, coordinator) < 2.0
        assert len(engine.models) == 2 and "m1" in engine.models
        assert {holder for _, holder, _ in engine.came} == {"vm-a"}

    play(engine, scene)


def test_a_holder_that_stops_does_not_wait_for_long_runs() -> None:
    # Some runs last longer than a stop may. The next holder has to be able to
    # order while this VM still drains, and must not meet orders of this one.
    engine = StoppedEngine("m0", "m2", busy_s=60.0)

    async def scene(coordinator: PlacementCoordinator) -> None:
        assert await stop_after_an_unload(engine, coordinator) < BALANCER_NOTICES_S
        assert {holder for _, holder, _ in engine.came} == {"vm-a"}

    play(engine, scene)


def test_a_holder_that_stops_before_an_unload_begins_no_swap() -> None:
    engine = StoppedEngine("m0", "m2", busy_s=0.0)

    async def scene(coordinator: PlacementCoordinator) -> None:
        await coordinator.give_up()
        await asyncio.sleep(5)
        assert engine.came == []
        assert set(engine.models) == {"m0", "m2"}

    play(engine, scene)


def test_a_lease_is_given_up_after_the_last_order_is_answered() -> None:
    # A load without a victim is on its way: it is not sent again, but until its
    # answer is there nobody else may take the lease.
    engine = StoppedEngine("m0", busy_s=0.0)

    async def scene(coordinator: PlacementCoordinator) -> None:
        await until(lambda: bool(engine.came))
        sent_s = engine.came[0][0]
        await coordinator.give_up()
        assert asyncio.get_running_loop().time() >= sent_s + ORDER_S
        assert engine.holder == ""

    play(engine, scene)


def test_a_holder_that_ends_its_swap_gets_adapters_meanwhile() -> None:
    # Whoever needs an adapter asks the holder, and no other VM is that yet.
    engine = StoppedEngine("m0", "m2", busy_s=1.2)

    async def scene(coordinator: PlacementCoordinator) -> None:
        fleet = coordinator.orders._ports.fleet
        fleet.put(an_entry("e2", models={"m0": frozenset()}))
        await until(lambda: bool(engine.came))
        giving_up = asyncio.ensure_future(coordinator.give_up())
        await asyncio.sleep(0.3)
        assert coordinator.holds
        assert await coordinator.orders.ensure_adapter("llm", "e2", "m0", "a1")
        await giving_up

    play(engine, scene)


def test_a_stop_takes_no_longer_for_the_swaps_that_it_ends() -> None:
    # The balancer notices that a VM stops while that VM ends its swaps.
    async def run() -> None:
        node = EntryNode(entry_settings("vm-a"))
        node.clock = LoopClock()  # type: ignore[assignment]

        async def give_up() -> None:
            await asyncio.sleep(2.0)

        node.coordinator.give_up = give_up  # type: ignore[method-assign]
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        await node.stop()
        assert loop.time() - begun_s < BALANCER_NOTICES_S + 0.1

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
