"""Hedge slow calls: let them run beside new ones; the first response wins.

A call that is cancelled because it is slow begins again at the first byte.
Where every response takes longer than the limit, none would ever be read.
"""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

T = TypeVar("T")
# Called when the first byte of a response arrives.
OnResponseStart = Callable[[], None]


async def first_response(
    call: Callable[[OnResponseStart], Awaitable[T]],
    *,
    slow_after_s: float,
    hedge_interval_s: float,
    max_concurrent: int,
    on_slow: Callable[[], None] = lambda: None,
) -> T:
    """Return the first response; add calls while none has begun to arrive.

    The first call is slow after `slow_after_s`; further calls follow at
    intervals of `hedge_interval_s`, with at most `max_concurrent` running.
    Each call is passed a callback for the first byte of its response. Raise
    the exception of the last running call if all fail.
    """
    running: dict[asyncio.Future[T], int] = {}
    arriving: set[int] = set()
    made = 0
    loop = asyncio.get_running_loop()
    next_s = loop.time()
    try:
        while True:
            if not arriving and len(running) < max_concurrent and loop.time() >= next_s:
                next_s = loop.time() + (hedge_interval_s if made else slow_after_s)
                made += 1
                on_response_start = partial(arriving.add, made)
                running[asyncio.ensure_future(call(on_response_start))] = made
            full = bool(arriving) or len(running) >= max_concurrent
            done, _ = await asyncio.wait(
                running,
                timeout=None if full else max(0.0, next_s - loop.time()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for ended in done:
                arriving.discard(running.pop(ended))
            if answered := [ended for ended in done if ended.exception() is None]:
                return answered[0].result()
            if done and not running:
                return done.pop().result()
            if not done and not arriving:
                on_slow()
    finally:
        for left in running:
            left.cancel()
        if running:
            await asyncio.wait(running)
            for left in running:
                left.cancelled() or left.exception()
