"""Tests of hedged calls: slow calls continue while further ones are made."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest
from fleet_world import run_in_virtual_time

from rosepath.hedged_calls import OnResponseStart, first_response

SLOW_AFTER_S = 0.5
HEDGE_INTERVAL_S = 1.0
T = TypeVar("T")


async def call_hedged(
    call: Callable[[OnResponseStart], Awaitable[T]], *, max_concurrent: int = 2
) -> T:
    return await first_response(
        call,
        slow_after_s=SLOW_AFTER_S,
        hedge_interval_s=HEDGE_INTERVAL_S,
        max_concurrent=max_concurrent,
    )


def test_a_response_slower_than_the_limit_is_still_used() -> None:
    # If each call were cancelled after `slow_after_s`, no response of a slow
    # store would ever be received.
    async def run() -> None:
        slow_at_s: list[float] = []

        async def call(_: OnResponseStart) -> str:
            await asyncio.sleep(0.7)
            return "response"

        loop = asyncio.get_running_loop()
        started_s = loop.time()
        response = await first_response(
            call,
            slow_after_s=SLOW_AFTER_S,
            hedge_interval_s=HEDGE_INTERVAL_S,
            max_concurrent=2,
            on_slow=lambda: slow_at_s.append(loop.time() - started_s),
        )
        assert response == "response"
        assert loop.time() - started_s == pytest.approx(0.7)
        assert slow_at_s == [pytest.approx(SLOW_AFTER_S)]

    run_in_virtual_time(run)


def test_a_dead_connection_does_not_delay_the_response_over_another() -> None:
    # Without a second call over another connection, a connection that died
    # unnoticed would make a healthy store unreachable.
    async def run() -> None:
        calls: list[int] = []

        async def call(_: OnResponseStart) -> int:
            calls.append(len(calls))
            if len(calls) == 1:
                await asyncio.Event().wait()
            return calls[-1]

        started_s = asyncio.get_running_loop().time()
        assert await call_hedged(call) == 1
        took_s = asyncio.get_running_loop().time() - started_s
        assert took_s == pytest.approx(SLOW_AFTER_S)

    run_in_virtual_time(run)


def test_no_further_call_is_made_while_a_response_arrives() -> None:
    # A second response over the same slow link would delay both.
    async def run() -> None:
        calls: list[int] = []

        async def call(on_response_start: OnResponseStart) -> str:
            calls.append(1)
            on_response_start()
            await asyncio.sleep(4 * SLOW_AFTER_S)
            return "large response"

        assert await call_hedged(call)
        assert len(calls) == 1

    run_in_virtual_time(run)


def test_a_failed_call_does_not_cancel_the_other() -> None:
    # The failure of a further call would otherwise end the first one, whose
    # response is about to arrive.
    async def run() -> None:
        calls: list[int] = []

        async def call(_: OnResponseStart) -> str:
            calls.append(1)
            if len(calls) == 2:
                raise ConnectionError
            await asyncio.sleep(0.9)
            return "first"

        assert await call_hedged(call) == "first"

    run_in_virtual_time(run)


def test_the_failure_of_the_last_call_is_raised() -> None:
    # A store that rejects calls must be detected at once. If the exception
    # were suppressed, the caller would keep waiting.
    async def run() -> None:
        async def call(_: OnResponseStart) -> str:
            raise ConnectionError

        with pytest.raises(ConnectionError):
            await call_hedged(call)

    run_in_virtual_time(run)


def test_an_unresponsive_store_is_called_until_it_responds() -> None:
    # Only a new call detects that the store has recovered.
    async def run() -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        called_at_s: list[float] = []

        async def call(_: OnResponseStart) -> str:
            called_at_s.append(loop.time() - started_s)
            if loop.time() < started_s + 10.0:
                await asyncio.sleep(4.0)
                raise TimeoutError
            return "back"

        assert await call_hedged(call, max_concurrent=4) == "back"
        assert loop.time() - started_s <= 10.0 + HEDGE_INTERVAL_S + 0.01
        assert len(called_at_s) <= 12

    run_in_virtual_time(run)


def test_further_calls_follow_a_response_that_fails_midway() -> None:
    # No further call is made while a response arrives. If it fails, further
    # calls must be made; otherwise only the unresponsive first call would
    # remain.
    async def run() -> None:
        calls: list[int] = []

        async def call(on_response_start: OnResponseStart) -> str:
            calls.append(1)
            if len(calls) == 1:
                await asyncio.sleep(4.0)
            if len(calls) == 2:
                on_response_start()
                await asyncio.sleep(0.5)
                raise TimeoutError
            return "response"

        assert await call_hedged(call) == "response"
        assert len(calls) == 3

    run_in_virtual_time(run)


def test_rejected_calls_are_not_retried_in_a_busy_loop() -> None:
    # A rejection is immediate. While another call is still without response,
    # the next call must wait for the interval, to avoid a busy loop.
    async def run() -> None:
        calls: list[int] = []

        async def call(_: OnResponseStart) -> str:
            calls.append(1)
            if len(calls) == 1:
                await asyncio.sleep(4.0)
                return "late"
            raise ConnectionError

        assert await call_hedged(call, max_concurrent=4) == "late"
        assert len(calls) <= 6

    run_in_virtual_time(run)
