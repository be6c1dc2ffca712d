"""Tests of hedged calls: slow calls continue beside further ones."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest
from fleet_world import run_in_virtual_time

from rosepath.hedged_calls import OnResponseStart, first_response

SLOW_AFTER_S = 0.5
HEDGE_INTERVAL_S = 1.0
T = TypeVar("T")


async def ask(
    call: Callable[[OnResponseStart], Awaitable[T]], *, max_concurrent: int = 2
) -> T:
    return await first_response(
        call,
        slow_after_s=SLOW_AFTER_S,
        hedge_interval_s=HEDGE_INTERVAL_S,
        max_concurrent=max_concurrent,
    )


def test_a_response_slower_than_the_limit_is_still_used() -> None:
    # When each call was cancelled at the limit, nothing was ever read from a
    # slow store.
    async def run() -> None:
        late: list[float] = []

        async def call(_: OnResponseStart) -> str:
            await asyncio.sleep(0.7)
            return "answer"

        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await first_response(
            call,
            slow_after_s=SLOW_AFTER_S,
            hedge_interval_s=HEDGE_INTERVAL_S,
            max_concurrent=2,
            on_slow=lambda: late.append(loop.time() - started_s),
        )
        assert answer == "answer"
        assert loop.time() - started_s == pytest.approx(0.7)
        assert late == [pytest.approx(SLOW_AFTER_S)]

    run_in_virtual_time(run)


def test_a_dead_connection_does_not_delay_the_response_over_another() -> None:
    # Without a second call, a connection that died unnoticed hides a healthy
    # store.
    async def run() -> None:
        calls: list[int] = []

        async def call(_: OnResponseStart) -> int:
            calls.append(len(calls))
            if len(calls) == 1:
                await asyncio.Event().wait()
            return calls[-1]

        started_s = asyncio.get_running_loop().time()
        assert await ask(call) == 1
        took_s = asyncio.get_running_loop().time() - started_s
        assert took_s == pytest.approx(SLOW_AFTER_S)

    run_in_virtual_time(run)


def test_no_further_call_is_made_while_a_response_arrives() -> None:
    # A second copy over the same slow link would delay both.
    async def run() -> None:
        calls: list[int] = []

        async def call(on_response_start: OnResponseStart) -> str:
            calls.append(1)
            on_response_start()
            await asyncio.sleep(4 * SLOW_AFTER_S)
            return "large answer"

        assert await ask(call)
        assert len(calls) == 1

    run_in_virtual_time(run)


def test_a_failed_call_does_not_cancel_the_other() -> None:
    # The failure of a further call would otherwise end the first one, whose
    # response is about to arrive.
    async def run() -> None:
        made: list[int] = []

        async def call(_: OnResponseStart) -> str:
            made.append(1)
            if len(made) == 2:
                raise ConnectionError
            await asyncio.sleep(0.9)
            return "first"

        assert await ask(call) == "first"

    run_in_virtual_time(run)


def test_the_failure_of_the_last_call_is_raised() -> None:
    # A store that rejects calls must be detected at once. If the exception
    # were suppressed, the rejection would look like a wait.
    async def run() -> None:
        async def call(_: OnResponseStart) -> str:
            raise ConnectionError

        with pytest.raises(ConnectionError):
            await ask(call)

    run_in_virtual_time(run)


def test_a_silent_store_is_called_until_it_responds() -> None:
    # Only the next call detects that the store has recovered.
    async def run() -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        made_s: list[float] = []

        async def call(_: OnResponseStart) -> str:
            made_s.append(loop.time() - started_s)
            if loop.time() < started_s + 10.0:
                await asyncio.sleep(4.0)
                raise TimeoutError
            return "back"

        assert await ask(call, max_concurrent=4) == "back"
        assert loop.time() - started_s <= 10.0 + HEDGE_INTERVAL_S + 0.01
        assert len(made_s) <= 12

    run_in_virtual_time(run)


def test_further_calls_follow_a_response_that_fails_midway() -> None:
    # No further call is made while a response arrives. If it fails, calls must
    # continue, or only the silent one would be left.
    async def run() -> None:
        made: list[int] = []

        async def call(on_response_start: OnResponseStart) -> str:
            made.append(1)
            if len(made) == 1:
                await asyncio.sleep(4.0)
            if len(made) == 2:
                on_response_start()
                await asyncio.sleep(0.5)
                raise TimeoutError
            return "answer"

        assert await ask(call) == "answer"
        assert len(made) == 3

    run_in_virtual_time(run)


def test_rejected_calls_are_paced_beside_a_silent_call() -> None:
    # A rejection is immediate. Followed at once by the next call, it would
    # become a busy loop.
    async def run() -> None:
        made: list[int] = []

        async def call(_: OnResponseStart) -> str:
            made.append(1)
            if len(made) == 1:
                await asyncio.sleep(4.0)
                return "late"
            raise ConnectionError

        assert await ask(call, max_concurrent=4) == "late"
        assert len(made) <= 6

    run_in_virtual_time(run)
