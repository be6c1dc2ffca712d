"""Calls that are late are left to run beside a further one."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest
from fleet_world import play

from rosepath.late_calls import OnBegun, first_response

LATE_AFTER_S = 0.5
AGAIN_AFTER_S = 1.0
T = TypeVar("T")


async def ask(call: Callable[[OnBegun], Awaitable[T]], *, max_concurrent: int = 2) -> T:
    return await first_response(
        call,
        slow_after_s=LATE_AFTER_S,
        hedge_interval_s=AGAIN_AFTER_S,
        max_concurrent=max_concurrent,
    )


def test_an_answer_that_always_takes_longer_than_the_limit_is_still_taken() -> None:
    # Each call ended at the limit: nothing was ever read from a slow store.
    async def run() -> None:
        late: list[float] = []

        async def call(_: OnBegun) -> str:
            await asyncio.sleep(0.7)
            return "answer"

        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        answer = await first_response(
            call,
            slow_after_s=LATE_AFTER_S,
            hedge_interval_s=AGAIN_AFTER_S,
            max_concurrent=2,
            on_slow=lambda: late.append(loop.time() - begun_s),
        )
        assert answer == "answer"
        assert loop.time() - begun_s == pytest.approx(0.7)
        assert late == [pytest.approx(LATE_AFTER_S)]

    play(run)


def test_a_silent_connection_does_not_hold_up_the_answer_over_another() -> None:
    # A connection that died unnoticed answers nothing: waited for alone, it
    # hides a store that is well.
    async def run() -> None:
        calls: list[int] = []

        async def call(_: OnBegun) -> int:
            calls.append(len(calls))
            if len(calls) == 1:
                await asyncio.Event().wait()
            return calls[-1]

        begun_s = asyncio.get_running_loop().time()
        assert await ask(call) == 1
        took_s = asyncio.get_running_loop().time() - begun_s
        assert took_s == pytest.approx(LATE_AFTER_S)

    play(run)


def test_an_answer_that_arrives_is_not_asked_for_a_second_time() -> None:
    # A second copy over the same slow link would delay both.
    async def run() -> None:
        calls: list[int] = []

        async def call(on_begun: OnBegun) -> str:
            calls.append(1)
            on_begun()
            await asyncio.sleep(4 * LATE_AFTER_S)
            return "large answer"

        assert await ask(call)
        assert len(calls) == 1

    play(run)


def test_a_call_that_fails_leaves_the_other_to_answer() -> None:
    # The failure of a further call would otherwise end the first one, which is
    # about to be answered.
    async def run() -> None:
        made: list[int] = []

        async def call(_: OnBegun) -> str:
            made.append(1)
            if len(made) == 2:
                raise ConnectionError
            await asyncio.sleep(0.9)
            return "first"

        assert await ask(call) == "first"

    play(run)


def test_the_failure_of_the_last_call_is_raised() -> None:
    # A store that refuses is to be known at once: swallowed, its refusal would
    # look like a wait.
    async def run() -> None:
        async def call(_: OnBegun) -> str:
            raise ConnectionError

        with pytest.raises(ConnectionError):
            await ask(call)

    play(run)


def test_a_silent_store_is_asked_again_for_as_long_as_it_is_silent() -> None:
    # Whether it is back is found out by the next call alone.
    async def run() -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        made_s: list[float] = []

        async def call(_: OnBegun) -> str:
            made_s.append(loop.time() - begun_s)
            if loop.time() < begun_s + 10.0:
                await asyncio.sleep(4.0)
                raise TimeoutError
            return "back"

        assert await ask(call, max_concurrent=4) == "back"
        assert loop.time() - begun_s <= 10.0 + AGAIN_AFTER_S + 0.01
        assert len(made_s) <= 12

    play(run)


def test_an_answer_that_stops_halfway_does_not_end_the_asking() -> None:
    # No further call is made while an answer arrives. If it stops, calls go
    # on, or the silent one would be all that is left.
    async def run() -> None:
        made: list[int] = []

        async def call(on_begun: OnBegun) -> str:
            made.append(1)
            if len(made) == 1:
                await asyncio.sleep(4.0)
            if len(made) == 2:
                on_begun()
                await asyncio.sleep(0.5)
                raise TimeoutError
            return "answer"

        assert await ask(call) == "answer"
        assert len(made) == 3

    play(run)


def test_a_store_that_refuses_is_not_asked_at_once_again_beside_a_silent_call() -> None:
    # A refusal takes no time: followed at once by the next call, it would
    # become a loop without a pause.
    async def run() -> None:
        made: list[int] = []

        async def call(_: OnBegun) -> str:
            made.append(1)
            if len(made) == 1:
                await asyncio.sleep(4.0)
                return "late"
            raise ConnectionError

        assert await ask(call, max_concurrent=4) == "late"
        assert len(made) <= 6

    play(run)
