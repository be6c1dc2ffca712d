"""Calls that are late: left to run beside a further one, the first answer wins.

A call that was ended as its answer took long begins again at the first byte; where
each answer takes longer than the limit, none is ever read.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

T = TypeVar("T")
OnBegun = Callable[[], None]


async def first_answer(
    call: Callable[[OnBegun], Awaitable[T]],
    *,
    late_after_s: float,
    most: int,
    on_late: Callable[[], None] = lambda: None,
) -> T:
    """Return the first answer; start another call while none has begun to arrive.

    `most` calls are made in all, each told whom to tell that its answer begins.
    Raises what the last of them raised once none of them is left.
    """
    running: set[asyncio.Future[T]] = set()
    begun = asyncio.Event()
    made = 0
    try:
        while True:
            if made < most and not begun.is_set():
                running.add(asyncio.ensure_future(call(begun.set)))
                made += 1
            may_be_late = made < most and not begun.is_set()
            done, _ = await asyncio.wait(
                running,
                timeout=late_after_s if may_be_late else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for ended in done:
                running.discard(ended)
                if ended.exception() is None or not running:
                    return ended.result()
            if not done and not begun.is_set():
                on_late()
    finally:
        for left in running:
            left.cancel()
        if running:
            await asyncio.wait(running)
