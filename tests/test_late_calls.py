"""Calls that are late are left to run beside a further one."""

import asyncio

import pytest
from fleet_world import play

from rosepath.late_calls import OnBegun, first_answer

LATE_AFTER_S = 0.5


def test_an_answer_that_always_takes_longer_than_the_limit_is_still_taken() -> None:
    # Each call ended at the limit: nothing was ever read from a slow store.
    async def run() -> None:
        late: list[float] = []

        async def call(_: OnBegun) -> str:
            await asyncio.sleep(0.7)
            return "answer"

        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        answer = await first_answer(
            call,
            late_after_s=LATE_AFTER_S,
            most=2,
            on_late=lambda: late.append(loop.time() - begun_s),
        )
        assert answer == "answer"
        assert loop.time() - begun_s == pytest.approx(0.7)
        assert late == [pytest.approx(LATE_AFTER_S)]

    play(run)


def test_a_silent_connection_does_not_hold_up_the_answer_over_another() -> None:
    async def run() -> None:
        calls: list[int] = []

        async def call(_: OnBegun) -> int:
            calls.append(len(calls))
            if len(calls) == 1:
                await asyncio.Event().wait()
            return calls[-1]

        begun_s = asyncio.get_running_loop().time()
        assert await first_answer(call, late_after_s=LATE_AFTER_S, most=2) == 1
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

        assert await first_answer(call, late_after_s=LATE_AFTER_S, most=2)
        assert len(calls) == 1

    play(run)


def test_a_call_that_fails_leaves_the_other_to_answer() -> None:
    async def run() -> None:
        made: list[int] = []

        async def call(_: OnBegun) -> str:
            made.append(1)
            if len(made) == 2:
                raise ConnectionError
            await asyncio.sleep(0.9)
            return "first"

        assert await first_answer(call, late_after_s=LATE_AFTER_S, most=2) == "first"

    play(run)


def test_the_failure_of_the_last_call_is_raised() -> None:
    async def run() -> None:
        async def call(_: OnBegun) -> str:
            raise ConnectionError

        with pytest.raises(ConnectionError):
            await first_answer(call, late_after_s=LATE_AFTER_S, most=2)

    play(run)
