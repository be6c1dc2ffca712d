"""Deferred requests are run, at most once where they must, and end."""

import asyncio

from fakes import FakePlatform
from hypothesis import given, strategies as st

from rosepath.clock import ManualClock
from rosepath.deferred import (
    DeferredRequest,
    DeferredState,
    NextStep,
    decode_request,
    decode_result,
    next_step,
    start_run,
)
from rosepath.deferred_runner import (
    LEASE_S,
    DeferredRunner,
    RunnerPorts,
    read_status,
    store_request,
)


def deferred(**fields: object) -> DeferredRequest:
    given_: dict = {
        "request_id": "r",
        "caller": "c",
        "shape": "chat",
        "body": "{}",
        "idempotent": True,
        **fields,
    }
    return DeferredRequest(**given_)


def decide(request: DeferredRequest, unchanged_s: float) -> NextStep:
    return next_step(
        request,
        now_s=0.0,
        unchanged_s=unchanged_s,
        lease_s=LEASE_S,
        runner_alive=False,
    )


def test_a_lost_runners_request_is_run_again_only_if_idempotent() -> None:
    marked = start_run(deferred(), runner="x")
    once = start_run(deferred(idempotent=False), runner="x")
    assert decide(marked, LEASE_S - 1) is NextStep.WAIT
    assert decide(marked, LEASE_S + 1) is NextStep.RUN
    assert decide(once, LEASE_S + 1) is NextStep.END_UNKNOWN


def test_a_request_waits_for_its_time() -> None:
    assert decide(deferred(not_before_s=9.0), 0.0) is NextStep.WAIT


@given(st.binary(max_size=100))
def test_the_decoders_take_any_bytes(data: bytes) -> None:
    decode_request(data)
    decode_result(data)


class Fleet:
    """Hold runners over one store, and what they executed."""

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.clock = ManualClock()
        self.executed: list[str] = []
        self.hang = asyncio.Event()
        self.runners = {name: self._runner(name) for name in "ab"}

    def _runner(self, name: str) -> DeferredRunner:
        async def execute(request: DeferredRequest) -> bytes:
            self.executed.append(name)
            if name == "a":
                await self.hang.wait()
            return b'"answer"'

        return DeferredRunner(
            RunnerPorts(
                me=name,
                platform=self.platform,
                clock=self.clock,
                execute=execute,
                mine=lambda _: True,
                is_alive=lambda _: False,
                has_room=lambda: True,
            )
        )

    async def outcome(self) -> DeferredState | None:
        found = await read_status(self.platform, "r", "c")
        return found[0] if found else None


async def replace_runner(fleet: Fleet) -> None:
    """Let a mark and start, then vanish; let b scan until its lease is over."""
    await fleet.runners["a"].scan()
    await asyncio.sleep(0)
    for task in fleet.runners["a"].running.values():
        task.cancel()
    await fleet.runners["b"].scan()
    fleet.clock.advance(LEASE_S + 1)
    await fleet.runners["b"].scan()
    await fleet.runners["b"].drain()


def test_a_non_idempotent_request_of_a_lost_runner_ends_as_unknown() -> None:
    async def run() -> None:
        fleet = Fleet()
        await store_request(fleet.platform, deferred(idempotent=False))
        await replace_runner(fleet)
        assert fleet.executed == ["a"]
        assert await fleet.outcome() is DeferredState.UNKNOWN

    asyncio.run(run())


def test_an_idempotent_request_of_a_lost_runner_is_answered() -> None:
    async def run() -> None:
        fleet = Fleet()
        await store_request(fleet.platform, deferred())
        await replace_runner(fleet)
        assert fleet.executed == ["a", "b"]
        assert await fleet.outcome() is DeferredState.DONE

    asyncio.run(run())


def test_two_runners_that_see_a_request_run_it_once() -> None:
    async def run() -> None:
        fleet = Fleet()
        fleet.hang.set()
        await store_request(fleet.platform, deferred(idempotent=False))
        await asyncio.gather(*(runner.scan() for runner in fleet.runners.values()))
        for runner in fleet.runners.values():
            await runner.drain()
        assert len(fleet.executed) == 1
        assert await fleet.outcome() is DeferredState.DONE

    asyncio.run(run())


def test_a_stranger_sees_nothing_of_a_request() -> None:
    async def run() -> None:
        fleet = Fleet()
        await store_request(fleet.platform, deferred())
        assert await read_status(fleet.platform, "r", "someone") is None

    asyncio.run(run())
