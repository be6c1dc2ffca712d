"""How often addresses that refuse connections are tried again."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from entry_builders import a_peer_state
from virtual_time import START_S, LoopClock, VirtualLoop, now_s

from rosepath.errors import ExchangeError, Step
from rosepath.http_exchange import Connection
from rosepath.peer_table import PeerTable
from rosepath.refused_addresses import MAX_BACKOFF_S, RefusedAddresses
from rosepath.server_paths import MAX_FORWARDERS, ServerPaths

VMS = 12
ENGINE = "engine:1"
CRASH_S = 5.0
# In the first moment no VM knows, and each asks up to MAX_FORWARDERS others. After
# two short intervals, a server that is back has to be found within a second.
CONNECTS_PER_VM = 1 + MAX_FORWARDERS + 2 + CRASH_S / MAX_BACKOFF_S


class CrashedEngine:
    """Count the connections to one engine that refuses them for a while."""

    def __init__(self, *, down_s: float = CRASH_S) -> None:
        self.back_s = START_S + down_s
        self.connects: Counter[str] = Counter()

    def dial_from(self, vm: str) -> Callable[..., Awaitable[Connection]]:
        async def dial(address: str, *, timeout_s: float) -> Connection:
            assert address == ENGINE and timeout_s > 0
            self.connects[vm] += 1
            await asyncio.sleep(0.001)
            if now_s() >= self.back_s:
                return Connection()
            raise ExchangeError(
                "refused", step=Step.CONNECT, peer=address, sent=False, refused=True
            )

        return dial


class LargeFleet:
    """Own the paths of some entry VMs that forward for each other."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, engine: CrashedEngine, *, applies: bool
    ) -> None:
        names = [f"vm-{number}" for number in range(VMS)]
        self.refused = {
            name: RefusedAddresses(
                clock=LoopClock(),
                connect=engine.dial_from(name),
                applies=lambda: applies,
            )
            for name in names
        }
        self.peers = {name: PeerTable(name, clock=LoopClock()) for name in names}
        self.paths = {
            name: ServerPaths(
                "a",
                clock=LoopClock(),
                dial=self.refused[name].dial,
                peers=self.peers[name],
            )
            for name in names
        }
        monkeypatch.setattr("rosepath.server_paths.open_tunnel", self._open_tunnel)
        self.connected_s: dict[str, float] = {}

    async def _open_tunnel(
        self, forwarder: str, address: str, *, timeout_s: float
    ) -> Connection:
        return await self.refused[forwarder].dial(address, timeout_s=timeout_s)

    def _exchange_states(self, number: int) -> None:
        for receiver, table in self.peers.items():
            for sender in self.peers:
                if sender != receiver:
                    state = a_peer_state(sender, number=number)
                    table.apply_state(replace(state, address=sender))

    async def play(self) -> None:
        """Let each VM have a request that tries the engine until it connects."""

        async def wait_for_engine(vm: str) -> None:
            while vm not in self.connected_s:
                try:
                    await self.paths[vm].dial(ENGINE, timeout_s=0.4)
                    self.connected_s[vm] = now_s()
                except ExchangeError:
                    await asyncio.sleep(0.1)

        async def exchange_states() -> None:
            for number in range(1, 1000):
                self._exchange_states(number)
                await asyncio.sleep(0.15)

        states = asyncio.ensure_future(exchange_states())
        await asyncio.gather(*map(wait_for_engine, self.peers))
        states.cancel()


def play(
    monkeypatch: pytest.MonkeyPatch, engine: CrashedEngine, *, applies: bool = True
) -> LargeFleet:
    fleet = LargeFleet(monkeypatch, engine, applies=applies)
    loop = VirtualLoop()
    try:
        loop.run_until_complete(fleet.play())
    finally:
        loop.close()
    return fleet


# Guards against thousands of connections to crashed engines: a request of each VM
# waits for a model that only the crashed engine has.
def test_a_crashed_engine_is_tried_about_once_a_second_by_each_vm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engine = CrashedEngine()
    play(monkeypatch, engine)
    assert engine.connects.total() <= CONNECTS_PER_VM * VMS


# Guards against an engine that is back being left unused.
def test_an_engine_that_is_back_is_used_within_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engine = CrashedEngine(down_s=3.3)
    fleet = play(monkeypatch, engine)
    latest_s = max(fleet.connected_s.values())
    assert latest_s - engine.back_s <= MAX_BACKOFF_S + 0.15


# Guards against other behaviour where it isn't asked for.
def test_without_it_each_request_connects(monkeypatch: pytest.MonkeyPatch) -> None:
    engine = CrashedEngine(down_s=1.0)
    play(monkeypatch, engine, applies=False)
    assert engine.connects.total() > CONNECTS_PER_VM * VMS


def outcomes(*steps_s: float, kind: str) -> list[bool]:
    """Dial an address that fails so; return whether each call reached it."""

    async def run() -> list[bool]:
        reached: list[bool] = []

        async def dial(address: str, *, timeout_s: float) -> Connection:
            reached[-1] = True
            raise ExchangeError(
                kind,
                step=Step.CONNECT,
                peer=address,
                sent=False,
                refused=kind == "refused",
                timed_out=kind == "timed out",
            )

        addresses = RefusedAddresses(clock=LoopClock(), connect=dial)
        for step_s in steps_s:
            await asyncio.sleep(step_s)
            reached.append(False)
            with pytest.raises(ExchangeError) as caught:
                await addresses.dial(ENGINE, timeout_s=0.4)
            assert caught.value.refused == (kind == "refused")
            assert not caught.value.sent
        return reached

    loop = VirtualLoop()
    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


# Guards against a lost packet or a slow link counting as a refusal.
def test_a_connection_that_hangs_is_tried_again_at_once() -> None:
    assert outcomes(0.0, 0.01, 0.01, kind="timed out") == [True, True, True]


# Guards against a backoff that grows without bound, and against one that is never
# forgotten.
def test_the_backoff_grows_to_a_second_at_most() -> None:
    assert outcomes(0.0, 0.1, 0.2, 0.3, 0.3, kind="refused") == [
        True,
        False,
        True,
        False,
        True,
    ]
    assert all(outcomes(*[MAX_BACKOFF_S + 0.01] * 10, kind="refused"))


# Guards against a new process at the same address waiting for the backoff of the
# earlier one.
def test_a_restarted_server_is_tried_at_once() -> None:
    async def run() -> None:
        engine = CrashedEngine(down_s=0.01)
        addresses = RefusedAddresses(clock=LoopClock(), connect=engine.dial_from("vm"))
        with pytest.raises(ExchangeError):
            await addresses.dial(ENGINE, timeout_s=0.4)
        await asyncio.sleep(0.02)
        addresses.forget(ENGINE)
        assert await addresses.dial(ENGINE, timeout_s=0.4)

    loop = VirtualLoop()
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
