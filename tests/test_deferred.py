"""Deferred requests are run, at most once where they must, and end."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from itertools import pairwise

from fakes import FakePlatform
from hypothesis import given, strategies as st

from rosepath.clock import ManualClock
from rosepath.deferred import (
    DeferredRequest,
    DeferredState,
    NextStep,
    decode_request,
    decode_result,
    encode_request,
    next_step,
    requeue_unrun,
    start_run,
)
from rosepath.deferred_runner import (
    LEASE_S,
    DeferredRunner,
    RunnerPorts,
    read_status,
    store_request,
)
from rosepath.errors import RefusalError, Run, Step, refuse


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


Execute = Callable[[DeferredRequest], Awaitable[bytes]]


@dataclass(slots=True)
class Alone:
    """Hold a runner that scans each second."""

    execute: Execute
    platform: FakePlatform = field(default_factory=FakePlatform)
    clock: ManualClock = field(default_factory=lambda: ManualClock(start_s=0.0))

    async def scans(self, *requests: DeferredRequest, for_s: int) -> None:
        """Run stored requests for some seconds."""
        runner = DeferredRunner(
            RunnerPorts(
                me="a",
                platform=self.platform,
                clock=self.clock,
                execute=self.execute,
                mine=lambda _: True,
                is_alive=lambda _: True,
                has_room=lambda: True,
            )
        )
        for request in requests:
            await store_request(self.platform, request)
        for _ in range(for_s):
            await runner.scan()
            await runner.drain()
            await asyncio.sleep(0)
            self.clock.advance(1.0)


async def tries_of(
    refusal_at: Callable[[int], RefusalError | None], *, for_s: int
) -> tuple[list[float], tuple[DeferredState, str] | None]:
    """Run a request that is refused at some tries; return when it was tried."""
    tries: list[float] = []

    async def execute(_: DeferredRequest) -> bytes:
        tries.append(alone.clock.now_s)
        refusal = refusal_at(len(tries))
        if refusal is not None:
            raise refusal
        return b"answer"

    alone = Alone(execute)
    await alone.scans(deferred(), for_s=for_s)
    return tries, await read_status(alone.platform, "r", "c")


def used_up() -> RefusalError:
    return refuse(429, "concurrency_limit", "used up", step=Step.LIMIT)


def test_a_request_that_never_ran_is_not_ended_by_refusals() -> None:
    # Its caller's own limit was used up for a minute. Each refusal said "not
    # run" and used up a run nevertheless; after five of them, ten seconds, the
    # request was "failed" without a word why, though it had never run.
    tries, status = asyncio.run(
        tries_of(lambda number: used_up() if number <= 8 else None, for_s=200)
    )
    assert status == (DeferredState.DONE, "answer")
    assert len(tries) == 9


def test_a_request_that_is_refused_waits_longer_each_time() -> None:
    # Nothing ends it now, so it must not spin: each try writes to the store.
    tries, status = asyncio.run(tries_of(lambda _: used_up(), for_s=1000))
    pauses_s = [after - before for before, after in pairwise(tries)]
    assert status == (DeferredState.QUEUED, "")
    assert pauses_s[0] == 2.0 and pauses_s == sorted(pauses_s)
    assert max(pauses_s) == 60.0
    assert len(tries) < 30


def test_requests_that_are_refused_keep_no_other_from_being_run() -> None:
    # A scan reads 32 requests. More than that of one caller, all refused and none
    # of them ended any more, stood before everybody else's for good.
    async def run() -> None:
        async def execute(request: DeferredRequest) -> bytes:
            if request.caller == "c":
                raise used_up()
            return b"answer"

        alone = Alone(execute)
        crowd = [deferred(request_id=f"r{number}") for number in range(60)]
        await alone.scans(*crowd, deferred(request_id="z", caller="d"), for_s=60)
        found = await read_status(alone.platform, "z", "d")
        assert found == (DeferredState.DONE, "answer")

    asyncio.run(run())


def test_a_request_that_may_have_run_still_uses_up_its_runs() -> None:
    # A server that dies of it would otherwise be asked for ever; refusals in
    # between give back no more than their own.
    def refusal_at(number: int) -> RefusalError:
        if number % 2:
            return used_up()
        return refuse(502, "backend_failed", "lost", step=Step.SEND, run=Run.UNKNOWN)

    async def run() -> None:
        tries, status = await tries_of(refusal_at, for_s=1000)
        assert len(tries) == 10
        assert status == (DeferredState.FAILED, "")

    asyncio.run(run())


def test_each_run_has_a_name_of_its_own() -> None:
    # A run's name goes to engines and lenders of slots: what they are told late
    # of a refused run must not meet the next.
    names = [start_run(deferred(), runner="x").run_name]
    refused = requeue_unrun(start_run(deferred(), runner="x"), now_s=0.0)
    names.append(start_run(refused, runner="x").run_name)
    names.append(start_run(start_run(refused, runner="x"), runner="y").run_name)
    assert len(set(names)) == 3


def test_a_stored_request_without_a_count_of_refusals_can_be_read() -> None:
    # It was stored by an entry VM of the version before.
    raw = json.loads(encode_request(deferred()))
    del raw["refusals"]
    assert decode_request(json.dumps(raw).encode()).ok == deferred()


def test_a_count_of_refusals_is_stored() -> None:
    request = replace(deferred(), refusals=3)
    assert decode_request(encode_request(request)).ok == request
