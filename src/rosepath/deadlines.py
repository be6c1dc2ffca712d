"""Time limit of HTTP exchanges with backend servers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from rosepath.errors import ExchangeError, Step


@asynccontextmanager
async def exchange_timeout(left_s: float, peer: str) -> AsyncIterator[None]:
    """Cancel an exchange after `left_s`; raises ExchangeError.

    The stall checks alone run too rarely to end an exchange with a silent
    server at its deadline.
    """
    try:
        async with asyncio.timeout(left_s):
            yield
    except TimeoutError as error:
        raise ExchangeError(
            "no whole answer in time",
            step=Step.RESPONSE,
            peer=peer,
            sent=True,
            timed_out=True,
        ) from error
