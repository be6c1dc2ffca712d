"""Exchanges that end with the time of their request."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from rosepath.errors import ExchangeError, Step


@asynccontextmanager
async def ended_in_time(left_s: float, peer: str) -> AsyncIterator[None]:
    """End an exchange as its time is over; raises ExchangeError.

    A request that stays with a silent server is only looked at now and then.
    """
    try:
        async with asyncio.timeout(left_s):
            yield
    except TimeoutError as error:
        raise ExchangeError(
            "no whole answer in time",
            step=Step.ANSWER,
            peer=peer,
            sent=True,
            timed_out=True,
        ) from error
