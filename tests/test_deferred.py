"""Deferred requests run to an end, non-idempotent ones at most once."""

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
    requeue_not_run,
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
    kwargs: dict = {
        "request_id": "r",
        "caller": "c",
        "shape": "chat",
        "body": "{}",
        "idempotent": True,
        **fields,
    }
    return DeferredRequest(**kwargs)


def decide(request: DeferredRequest, unchanged_s: float) -> NextStep:
    return next_step(
        request,
        now_s=0.0,
        unchanged_s=unchanged_s,
        lease_s=LEASE_S,
        runner_alive=False,
    )


def test_request_of_lost_runner_is_run_again_only_if_idempotent() -> None:
    marked = start_run(deferred(), runner="x")
    non_idempotent = start_run(deferred(idempotent=False), runner="x")
    assert decide(marked, LEASE_S - 1) is NextStep.WAIT
    assert decide(marked, LEASE_S + 1) is NextStep.RUN
    assert decide(non_idempotent, LEASE_S + 1) is NextStep.END_UNKNOWN


def test_request_waits_until_not_before() -> None:
    assert decide(deferred(not_before_s=9.0), 0.0) is NextStep.WAIT


@given(st.binary(max_size=100))
def test_decoders_accept_any_bytes(data: bytes) -> None:
    decode_request(data)
    decode_result(data)


class Fleet:
    """Two runners on one store, and the names of those that executed."""

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.clock = ManualClock()
        self.executed: list[str] = []
        self.release = asyncio.Event()
        self.runners = {name: self._runner(name) for name in "ab"}

    def _runner(self, name: str) -> DeferredRunner:
        async def execute(request: DeferredRequest) -> bytes:
            self.executed.append(name)
            if name == "a":
                await self.release.wait()
            return b'"answer"'

        return DeferredRunner(
            RunnerPorts(
                me=name,
                platform=self.platform,
                clock=self.clock,
                execute=execute,
                is_assigned=lambda _: True,
                is_alive=lambda _: False,
                has_spare_slots=lambda: True,
            )
        )

    async def outcome(self) -> DeferredState | None:
        found = await read_status(self.platform, "r", "c")
        return found[0] if found else None


async def lose_runner(fleet: Fleet) -> None:
    """Stop runner a after it starts a run; scan with b past a's lease."""
    await fleet.runners["a"].scan()
    await asyncio.sleep(0)
    for task in fleet.runners["a"].running.values():
        task.cancel()
    await fleet.runners["b"].scan()
    fleet.clock.advance(LEASE_S + 1)
    await fleet.runners["b"].scan()
    await fleet.runners["b"].drain()


def test_non_idempotent_request_of_lost_runner_ends_as_unknown() -> None:
    async def run() -> None:
        fleet = Fleet()
        await store_request(fleet.platform, deferred(idempotent=False))
        await lose_runner(fleet)
        assert fleet.executed == ["a"]
        assert await fleet.outcome() is DeferredState.UNKNOWN

    asyncio.run(run())


def test_idempotent_request_of_lost_runner_is_completed() -> None:
    async def run() -> None:
        fleet = Fleet()
        await store_request(fleet.platform, deferred())
        await lose_runner(fleet)
        assert fleet.executed == ["a", "b"]
        assert await fleet.outcome() is DeferredState.DONE

    asyncio.run(run())


def test_concurrent_runners_run_a_request_once() -> None:
    async def run() -> None:
        fleet = Fleet()
        fleet.release.set()
        await store_request(fleet.platform, deferred(idempotent=False))
        await asyncio.gather(*(runner.scan() for runner in fleet.runners.values()))
        for runner in fleet.runners.values():
            await runner.drain()
        assert len(fleet.executed) == 1
        assert await fleet.outcome() is DeferredState.DONE

    asyncio.run(run())


def test_status_is_hidden_from_other_callers() -> None:
    async def run() -> None:
        fleet = Fleet()
        await store_request(fleet.platform, deferred())
        assert await read_status(fleet.platform, "r", "someone") is None

    asyncio.run(run())


Execute = Callable[[DeferredRequest], Awaitable[bytes]]


@dataclass(slots=True)
class SingleRunner:
    """One runner that scans every second on a manual clock."""

    execute: Execute
    platform: FakePlatform = field(default_factory=FakePlatform)
    clock: ManualClock = field(default_factory=lambda: ManualClock(start_s=0.0))

    async def run_for(self, *requests: DeferredRequest, duration_s: int) -> None:
        """Store requests and run the scans of `duration_s` seconds."""
        runner = DeferredRunner(
            RunnerPorts(
                me="a",
                platform=self.platform,
                clock=self.clock,
                execute=self.execute,
                is_assigned=lambda _: True,
                is_alive=lambda _: True,
                has_spare_slots=lambda: True,
            )
        )
        for request in requests:
            await store_request(self.platform, request)
        for _ in range(duration_s):
            await runner.scan()
            await runner.drain()
            await asyncio.sleep(0)
            self.clock.advance(1.0)


async def attempts_of(
    refusal_at: Callable[[int], RefusalError | None], *, duration_s: int
) -> tuple[list[float], tuple[DeferredState, str] | None]:
    """Run a request refused at some attempts; return their times and status."""
    attempts: list[float] = []

    async def execute(_: DeferredRequest) -> bytes:
        attempts.append(single.clock.now_s)
        refusal = refusal_at(len(attempts))
        if refusal is not None:
            raise refusal
        return b"answer"

    single = SingleRunner(execute)
    await single.run_for(deferred(), duration_s=duration_s)
    return attempts, await read_status(single.platform, "r", "c")


def concurrency_refusal() -> RefusalError:
    return refuse(429, "concurrency_limit", "used up", step=Step.LIMIT)


def test_refusals_without_a_run_do_not_end_a_request() -> None:
    # Guards against counting refusals with run=no as runs: a caller at its
    # concurrency limit for a minute had its request marked as failed after
    # five refusals, ten seconds, without a reason, though it had never run.
    attempts, status = asyncio.run(
        attempts_of(
            lambda number: concurrency_refusal() if number <= 8 else None,
            duration_s=200,
        )
    )
    assert status == (DeferredState.DONE, "answer")
    assert len(attempts) == 9


def test_delay_grows_with_each_refusal() -> None:
    # Refusals never end the request, and each attempt writes to the store, so
    # attempts must become rare.
    attempts, status = asyncio.run(
        attempts_of(lambda _: concurrency_refusal(), duration_s=1000)
    )
    pauses_s = [after - before for before, after in pairwise(attempts)]
    assert status == (DeferredState.QUEUED, "")
    assert pauses_s[0] == 2.0 and pauses_s == sorted(pauses_s)
    assert max(pauses_s) == 60.0
    assert len(attempts) < 30


def test_refused_requests_do_not_starve_other_requests() -> None:
    # A scan reads at most 32 requests. More than that from one caller, all
    # refused and queued again, stayed first in the list and blocked the rest.
    async def run() -> None:
        async def execute(request: DeferredRequest) -> bytes:
            if request.caller == "c":
                raise concurrency_refusal()
            return b"answer"

        single = SingleRunner(execute)
        refused_requests = [deferred(request_id=f"r{number}") for number in range(60)]
        await single.run_for(
            *refused_requests, deferred(request_id="z", caller="d"), duration_s=60
        )
        found = await read_status(single.platform, "z", "d")
        assert found == (DeferredState.DONE, "answer")

    asyncio.run(run())


def test_request_that_may_have_run_ends_after_max_runs() -> None:
    # Without the limit, a request that crashes its server would be sent
    # forever. A refusal in between takes back only its own run.
    def refusal_at(number: int) -> RefusalError:
        if number % 2:
            return concurrency_refusal()
        return refuse(502, "backend_failed", "lost", step=Step.SEND, run=Run.UNKNOWN)

    async def run() -> None:
        attempts, status = await attempts_of(refusal_at, duration_s=1000)
        assert len(attempts) == 10
        assert status == (DeferredState.FAILED, "")

    asyncio.run(run())


def test_each_run_has_a_unique_id() -> None:
    # Engines and the entry VMs that lend slots track a run by its id: a
    # delayed message about a refused run must not affect the next run.
    names = [start_run(deferred(), runner="x").run_id]
    refused = requeue_not_run(start_run(deferred(), runner="x"), now_s=0.0)
    names.append(start_run(refused, runner="x").run_id)
    names.append(start_run(start_run(refused, runner="x"), runner="y").run_id)
    assert len(set(names)) == 3


def test_record_without_refusals_is_decoded() -> None:
    # Entry VMs of the previous release store such records.
    raw = json.loads(encode_request(deferred()))
    del raw["refusals"]
    assert decode_request(json.dumps(raw).encode()).ok == deferred()


def test_refusals_are_stored() -> None:
    request = replace(deferred(), refusals=3)
    assert decode_request(encode_request(request)).ok == request
