"""Orders in flight while the placement lease changes hands.

The next holder waits for `handover_s` after the previous holder's last order.
Each test covers a way in which an older order could arrive after that wait.
"""

import asyncio
import socket
from dataclasses import dataclass, field

from entry_builders import an_entry
from fakes import FakePlatform
from test_lease_extension import NAMES, Node, run_nodes, three_nodes
from test_order_dispatcher import FakeEngine, a_dispatcher

from rosepath.clock import ManualClock
from rosepath.engine_orders import EngineRecord, Order, OrderAction, OrderReply
from rosepath.entry_settings import LeaseSettings
from rosepath.errors import ExchangeError, Step
from rosepath.fleet import BackendServer
from rosepath.http_client import HttpPool, Request
from rosepath.lease_keeper import LeaseKeeper
from rosepath.leases import LeasePolicy
from rosepath.object_store import StoredObject, StoreError
from rosepath.order_sender import OrderSender
from rosepath.platform.engines import ORDER_TIMEOUT_S

LEASE = LeaseSettings()
POLICY = LeasePolicy(
    duration_s=LEASE.duration_s,
    margin_s=LEASE.margin_s,
    renew_s=LEASE.renew_s,
    look_s=LEASE.look_s,
    handover_s=LEASE.handover_s,
    turn_s=LEASE.turn_s,
)
TICK_S = 0.05
# More than the kernel buffers for a connection that is not read from.
LARGE_BODY = b"x" * 16_000_000


def test_timed_out_request_is_not_delivered_afterwards() -> None:
    # An order times out and its connection is closed. Without a reset, the
    # kernel keeps sending the buffered data, and the engine receives the order
    # a second later.
    async def run() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listening:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            host, port = listening.getsockname()
            given_up = asyncio.ensure_future(
                HttpPool().fetch(
                    Request(
                        address=f"{host}:{port}",
                        method="POST",
                        path="/",
                        body=LARGE_BODY,
                        progress_timeout_s=0.001,
                    )
                )
            )
            await asyncio.wait([given_up])
            assert given_up.exception() is not None
            accepted, _ = listening.accept()
            with accepted:
                accepted.settimeout(10)
                ended = await loop.run_in_executor(None, read_until_end, accepted)
        assert ended == "reset"

    asyncio.run(run())


def read_until_end(connection: socket.socket) -> str:
    """Read a connection until it ends, and return how it ended."""
    try:
        while connection.recv(65536):
            pass
    except ConnectionResetError:
        return "reset"
    return "closed"


@dataclass
class FenceState:
    """Hold the fence of a lease that changes while an order is connecting."""

    fence: int = 7000
    dispatched: list[int] = field(default_factory=list)


def test_order_is_not_sent_with_outdated_fence() -> None:
    # While connecting, a holder loses its lease and acquires it again under
    # the next fence. The order must not be sent with the old fence.
    async def run() -> None:
        engine, clock, term = FakeEngine("m0"), ManualClock(), FenceState()
        dispatcher = a_dispatcher(engine, clock)
        dispatcher.sender = OrderSender(
            me="vm-1",
            engines=engine,
            may_order=lambda: True,
            fence=lambda: term.fence,
        )
        engine.on_connect = lambda: setattr(term, "fence", 8000)
        await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert [order.fence for order in engine.orders] in ([], [8000])

    asyncio.run(run())


def test_last_order_time_is_when_it_was_abandoned() -> None:
    # A holder resigns while its order has been in flight for 0.5 s on a
    # saturated link. If the next holder's wait starts at the sending, its
    # orders may follow 0.15 s after the first holder abandoned its own.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        dispatcher = a_dispatcher(engine, clock)
        dispatcher.sender.clock = clock
        given_up_s: list[float] = []

        def time_out(order: Order) -> OrderReply:
            clock.advance(ORDER_TIMEOUT_S)
            given_up_s.append(clock.monotonic_s())
            raise ExchangeError("silent", step=Step.SEND, peer="e1", sent=True)

        engine.execute = time_out  # type: ignore[method-assign]
        assert not await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert dispatcher.sender.last_action_s >= given_up_s[-1]

    asyncio.run(run())


def test_last_order_age_is_zero_while_in_flight() -> None:
    # A resigning holder must report an age of 0 while its last order is in
    # flight, instead of the time since sending. The age grows only after the
    # response.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        sender = a_dispatcher(engine, clock).sender
        sender.clock = clock
        reported_ages_s: list[float] = []

        def respond_late(_: Order) -> OrderReply:
            clock.advance(0.5)
            reported_ages_s.append(sender.last_action_age_s)
            return OrderReply.ACCEPTED

        engine.execute = respond_late  # type: ignore[method-assign]
        server = BackendServer(entry=an_entry("e1"))
        record = EngineRecord(server="e1", fence=7)
        await sender.send(server, record, OrderAction.LOAD, "m1", basis=record.basis)
        clock.advance(0.25)
        assert reported_ages_s == [0.0]
        assert sender.last_action_age_s == 0.25

    asyncio.run(run())


class AnswerLosingPlatform(FakePlatform):
    """Execute a write, but lose its response and that of the next read."""

    lose_both = False
    lose_read = False

    async def get(self, name: str) -> StoredObject | None:
        if self.lose_read:
            self.lose_read = False
            raise StoreError("no answer in time", step=Step.STORE)
        return await super().get(name)

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        if self.lose_both:
            self.lose_both, self.lose_read = False, True
            self.lose_replies(name, 1)
        return await super().put(name, value, expected_version=expected_version)


async def wait_until_next_order(
    platform: AnswerLosingPlatform, *, next_held_before: bool
) -> float:
    """Return the time from one holder's last order until the next may order.

    The first resigns right after an order. With `next_held_before`, the next
    one has held the lease earlier.
    """
    clock = ManualClock()
    first, second = (
        LeaseKeeper(platform, me=name, policy=POLICY, clock=clock) for name in "ab"
    )
    if next_held_before:
        await second.step("l", wanted=True)
        await second.release("l")
        clock.advance(10.0)
    while not first.valid("l"):
        await first.step("l", wanted=True)
        clock.advance(TICK_S)
    await second.step("l", wanted=True)
    clock.advance(1.0)
    last_action_s = clock.monotonic_s()
    version = first.resign("l")
    second.note_resignation("l", version=version, last_action_age_s=0.0)
    platform.lose_both = True
    while not second.valid("l"):
        await second.step("l", wanted=True)
        if not second.valid("l"):
            clock.advance(TICK_S)
    return clock.monotonic_s() - last_action_s


def test_own_unanswered_write_does_not_skip_wait_for_previous_holder() -> None:
    # The next holder's write and the following read get no response. It then
    # finds itself named in the lease. If it takes that for a lease of its own
    # from earlier, it skips the wait for the previous holder's orders.
    wait_s = asyncio.run(
        wait_until_next_order(AnswerLosingPlatform(), next_held_before=False)
    )
    assert wait_s >= LEASE.handover_s - 1e-6


def test_own_unanswered_write_does_not_skip_wait_of_earlier_holder() -> None:
    # The same for a VM that held the lease earlier: without the wait, engines
    # accept its orders interleaved with the other holder's.
    wait_s = asyncio.run(
        wait_until_next_order(AnswerLosingPlatform(), next_held_before=True)
    )
    assert wait_s >= LEASE.turn_s - 1e-6


def test_successor_of_backed_holder_waits_for_its_last_order() -> None:
    # During a store outage a holder continues because its peers back it, while
    # its stored lease stays unchanged. If the wait counts from that lease, a
    # VM that no longer receives from the holder sends orders as soon as the
    # store is back, 0.3 s after the holder's last possible order.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await run_nodes(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds_lease)
        others = [node for node in nodes if node is not holder]
        store.unreachable_from = set(NAMES)
        await run_nodes(nodes, clock, 4.0)
        assert holder.coordinator.holds_lease
        last_action_s = clock.monotonic_s()
        store.unreachable_from = {holder.name}

        def no_node(_: Node) -> bool:
            return False

        while not any(node.coordinator.holds_lease for node in others):
            if holder.coordinator.holds_lease:
                last_action_s = clock.monotonic_s()
            await run_nodes(nodes, clock, TICK_S, sends_state=no_node)
        assert clock.monotonic_s() - last_action_s >= LEASE.handover_s - 1e-6

    asyncio.run(run())
