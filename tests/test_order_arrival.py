"""From the last check of a lease to an order's arrival at the engine.

The next holder waits for `handover_s` from the last act of the one before. Each
test here is a course in which an older order arrives after that.
"""

import asyncio
import socket
from dataclasses import dataclass, field

from entry_builders import an_entry
from fakes import FakePlatform
from test_lease_backing import NAMES, Node, play, three_nodes
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
# Beyond what the kernel takes for a connection that nobody reads from.
MUCH = b"x" * 16_000_000


def test_what_is_given_up_is_not_delivered_afterwards() -> None:
    # An order was given up after a silence and its connection closed. The kernel
    # went on sending what it still held, and the engine took it a second later.
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
                        body=MUCH,
                        progress_timeout_s=0.001,
                    )
                )
            )
            await asyncio.wait([given_up])
            assert given_up.exception() is not None
            accepted, _ = listening.accept()
            with accepted:
                accepted.settimeout(10)
                ended = await loop.run_in_executor(None, how_it_ends, accepted)
        assert ended == "reset"

    asyncio.run(run())


def how_it_ends(connection: socket.socket) -> str:
    """Read a connection to its end."""
    try:
        while connection.recv(65536):
            pass
    except ConnectionResetError:
        return "reset"
    return "closed"


@dataclass
class Term:
    """The fence of a lease that changes while an order's connection is made."""

    fence: int = 7000
    dispatched: list[int] = field(default_factory=list)


def test_an_order_does_not_go_out_under_an_earlier_fence() -> None:
    # A holder lost its lease while it connected, and held it again, under the
    # next fence, as the connection was there: the order went out under the old.
    async def run() -> None:
        engine, clock, term = FakeEngine("m0"), ManualClock(), Term()
        dispatcher = a_dispatcher(engine, clock)
        dispatcher.sender = OrderSender(
            me="vm-1",
            engines=engine,
            may_order=lambda: True,
            fence=lambda: term.fence,
        )
        engine.connecting = lambda: setattr(term, "fence", 8000)
        await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert [order.fence for order in engine.orders] in ([], [8000])

    asyncio.run(run())


def test_an_order_is_an_act_until_its_fate_is_known() -> None:
    # An order was still on its way over a full link, half a second after it went
    # out, as its holder resigned. The next one counted its wait from the sending,
    # and ordered 0.15 s after the first had given the order up.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        dispatcher = a_dispatcher(engine, clock)
        dispatcher.sender.clock = clock
        given_up_s: list[float] = []

        def stay_silent(order: Order) -> OrderReply:
            clock.advance(ORDER_TIMEOUT_S)
            given_up_s.append(clock.monotonic_s())
            raise ExchangeError("silent", step=Step.SEND, peer="e1", sent=True)

        engine.execute = stay_silent  # type: ignore[method-assign]
        assert not await dispatcher.ensure_adapter("llm", "e1", "m0", "a1")
        assert dispatcher.sender.acted_s >= given_up_s[-1]

    asyncio.run(run())


def test_an_act_goes_on_while_an_order_is_on_its_way() -> None:
    # A holder that resigned told how long ago it had sent its last order, though
    # that order was still on its way; once it is answered, the time runs.
    async def run() -> None:
        engine, clock = FakeEngine("m0"), ManualClock()
        sender = a_dispatcher(engine, clock).sender
        sender.clock = clock
        told_ago_s: list[float] = []

        def answer_late(_: Order) -> OrderReply:
            clock.advance(0.5)
            told_ago_s.append(sender.acted_ago_s)
            return OrderReply.ACCEPTED

        engine.execute = answer_late  # type: ignore[method-assign]
        server = BackendServer(entry=an_entry("e1"))
        record = EngineRecord(server="e1")
        await sender.send(server, record, OrderAction.LOAD, "m1")
        clock.advance(0.25)
        assert told_ago_s == [0.0]
        assert sender.acted_ago_s == 0.25

    asyncio.run(run())


class SlowToTell(FakePlatform):
    """Carry out a write whose answer is lost, as is the next read's."""

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


async def acts_after(platform: SlowToTell, *, turn: bool) -> float:
    """Return how long after the last act of one holder the next may act.

    The first resigns right after an act. With `turn`, the next one held the lease
    before it.
    """
    clock = ManualClock()
    first, second = (
        LeaseKeeper(platform, me=name, policy=POLICY, clock=clock) for name in "ab"
    )
    if turn:
        await second.step("l", wanted=True)
        await second.give_up("l")
        clock.advance(10.0)
    while not first.valid("l"):
        await first.step("l", wanted=True)
        clock.advance(TICK_S)
    await second.step("l", wanted=True)
    clock.advance(1.0)
    acted_s = clock.monotonic_s()
    version = first.resign("l")
    second.hear_resigned("l", version=version, acted_ago_s=0.0)
    platform.lose_both = True
    while not second.valid("l"):
        await second.step("l", wanted=True)
        if not second.valid("l"):
            clock.advance(TICK_S)
    return clock.monotonic_s() - acted_s


def test_who_finds_its_own_unanswered_write_waits_for_the_holder_before() -> None:
    # The next holder's write and the read after it got no answer. It then found
    # itself named in the lease, took that for its own earlier one, and acted
    # without the wait for what the holder before had sent.
    after_s = asyncio.run(acts_after(SlowToTell(), turn=False))
    assert after_s >= LEASE.handover_s - 1e-6


def test_who_finds_its_own_unanswered_write_takes_no_turns() -> None:
    # The same for a VM that held the lease before: engines took its orders in
    # turns with the other's.
    after_s = asyncio.run(acts_after(SlowToTell(), turn=True))
    assert after_s >= LEASE.turn_s - 1e-6


def test_who_follows_a_backed_holder_waits_for_its_last_order() -> None:
    # In an outage of the store a holder went on by the others' word. Its lease had
    # long stood unchanged, so that who stopped hearing it ordered at once as the
    # store came back, 0.3 s after an order of the first may have gone out.
    async def run() -> None:
        nodes, store, clock = three_nodes()
        await play(nodes, clock, 3.0)
        holder = next(node for node in nodes if node.coordinator.holds)
        others = [node for node in nodes if node is not holder]
        store.unreached_by = set(NAMES)
        await play(nodes, clock, 4.0)
        assert holder.coordinator.holds
        acted_s = clock.monotonic_s()
        store.unreached_by = {holder.name}

        def nobody(_: Node) -> bool:
            return False

        while not any(node.coordinator.holds for node in others):
            if holder.coordinator.holds:
                acted_s = clock.monotonic_s()
            await play(nodes, clock, TICK_S, speaking=nobody)
        assert clock.monotonic_s() - acted_s >= LEASE.handover_s - 1e-6

    asyncio.run(run())
