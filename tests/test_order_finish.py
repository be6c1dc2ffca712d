"""A stopping lease holder finishes its swaps before it releases the lease."""

import asyncio
import json
from collections.abc import Awaitable, Callable

from entry_builders import a_catalog, an_engine_spec, an_entry, entry_settings
from fakes import FakePlatform
from test_order_dispatcher import FakeEngine, until
from virtual_time import LoopClock, VirtualLoop

from rosepath.caller_request import Prompt
from rosepath.engine_orders import EngineReport, Order, OrderReply
from rosepath.entry_node import BALANCER_DETECTION_S, EntryNode
from rosepath.fleet import Fleet
from rosepath.peer_table import PeerTable
from rosepath.placement_coordinator import PlacementCoordinator
from rosepath.prompt_caches import PromptCaches

# How long an engine takes to respond to an order.
ORDER_RESPONSE_S = 0.1


class LeaseRecordingEngine(FakeEngine):
    """Record the lease holder at each order; be busy after an unload."""

    def __init__(self, *models: str, busy_s: float) -> None:
        super().__init__(*models)
        self.platform = FakePlatform()
        self.busy_s = busy_s
        self.received: list[tuple[float, str, OrderReply]] = []
        self.other_engine = FakeEngine("m0")

    async def order(
        self, address: str, order: Order, *, still_wanted: Callable[[], bool]
    ) -> OrderReply:
        if order.server == "e2":
            return await self.other_engine.order(
                address, order, still_wanted=still_wanted
            )
        reply = await super().order(address, order, still_wanted=still_wanted)
        loop = asyncio.get_running_loop()
        lease = json.loads(self.platform.objects["leases/placement"].value)
        self.received.append((loop.time(), lease["holder"], reply))
        if reply is OrderReply.ACCEPTED and order.model not in self.models:
            self.busy = True
            loop.call_later(self.busy_s, setattr, self, "busy", False)
        await asyncio.sleep(ORDER_RESPONSE_S)
        return reply

    async def report(self, address: str, server: str) -> EngineReport:
        if server == "e2":
            return await self.other_engine.report(address, server)
        return await super().report(address, server)

    @property
    def holder(self) -> str:
        return str(
            json.loads(self.platform.objects["leases/placement"].value)["holder"]
        )


def run_scenario(
    engine: LeaseRecordingEngine,
    scenario: Callable[[PlacementCoordinator], Awaitable[None]],
) -> None:
    """Run a scenario with a holder that has just planned a swap to m1."""

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
        await coordinator.renew_or_acquire_lease()

        async def renew() -> None:
            while True:
                await asyncio.sleep(0.2)
                await coordinator.renew_or_acquire_lease()

        renewing = asyncio.ensure_future(renew())
        await coordinator.orders.tick()
        assert coordinator.orders._swaps
        await scenario(coordinator)
        renewing.cancel()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


async def release_after_unload(
    engine: LeaseRecordingEngine, coordinator: PlacementCoordinator
) -> float:
    """Release the lease between unload and load; return how long it took."""
    await until(lambda: bool(engine.received))
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    await coordinator.release()
    assert engine.holder == ""
    took_s = loop.time() - started_s
    await asyncio.sleep(20)
    return took_s


def test_stopping_holder_finishes_started_swap() -> None:
    # The holder is stopped while an unload waits for its model's running
    # requests. If it releases the lease before it orders the load, the engine
    # is left with one model of two, and callers wait for the next holder.
    # Every order must arrive while the lease still names its sender.
    engine = LeaseRecordingEngine("m0", "m2", busy_s=1.2)

    async def scenario(coordinator: PlacementCoordinator) -> None:
        assert await release_after_unload(engine, coordinator) < 2.0
        assert len(engine.models) == 2 and "m1" in engine.models
        assert {holder for _, holder, _ in engine.received} == {"vm-a"}

    run_scenario(engine, scenario)


def test_stopping_holder_does_not_wait_for_long_requests() -> None:
    # Some requests run longer than a stop may take. The next holder must be
    # able to send orders while this VM still drains, with none of this VM's
    # orders arriving meanwhile.
    engine = LeaseRecordingEngine("m0", "m2", busy_s=60.0)

    async def scenario(coordinator: PlacementCoordinator) -> None:
        assert await release_after_unload(engine, coordinator) < BALANCER_DETECTION_S
        assert {holder for _, holder, _ in engine.received} == {"vm-a"}

    run_scenario(engine, scenario)


def test_holder_stopping_before_unload_starts_no_swap() -> None:
    engine = LeaseRecordingEngine("m0", "m2", busy_s=0.0)

    async def scenario(coordinator: PlacementCoordinator) -> None:
        await coordinator.release()
        await asyncio.sleep(5)
        assert engine.received == []
        assert set(engine.models) == {"m0", "m2"}

    run_scenario(engine, scenario)


def test_lease_is_released_after_last_order_is_answered() -> None:
    # A load without an eviction is in flight. It is not retried, but no other
    # VM may take the lease until it is confirmed.
    engine = LeaseRecordingEngine("m0", busy_s=0.0)

    async def scenario(coordinator: PlacementCoordinator) -> None:
        await until(lambda: bool(engine.received))
        sent_s = engine.received[0][0]
        await coordinator.release()
        assert asyncio.get_running_loop().time() >= sent_s + ORDER_RESPONSE_S
        assert engine.holder == ""

    run_scenario(engine, scenario)


def test_holder_finishing_swap_still_loads_adapters() -> None:
    # Adapter requests go to the holder, and no other VM holds the lease yet.
    engine = LeaseRecordingEngine("m0", "m2", busy_s=1.2)

    async def scenario(coordinator: PlacementCoordinator) -> None:
        fleet = coordinator.orders._ports.fleet
        fleet.put(an_entry("e2", models={"m0": frozenset()}))
        await until(lambda: bool(engine.received))
        giving_up = asyncio.ensure_future(coordinator.release())
        await asyncio.sleep(0.3)
        assert coordinator.holds_lease
        assert await coordinator.orders.ensure_adapter("llm", "e2", "m0", "a1")
        await giving_up

    run_scenario(engine, scenario)


def test_finishing_swaps_does_not_prolong_stop() -> None:
    # The wait for the balancer to notice the stop runs in parallel with the
    # finishing of swaps.
    async def run() -> None:
        node = EntryNode(entry_settings("vm-a"))
        node.clock = LoopClock()  # type: ignore[assignment]

        async def release() -> None:
            await asyncio.sleep(2.0)

        node.coordinator.release = release  # type: ignore[method-assign]
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await node.stop()
        assert loop.time() - started_s < BALANCER_DETECTION_S + 0.1

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
