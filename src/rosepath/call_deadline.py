"""A call timeout that can be extended while the response arrives."""

import asyncio
from collections.abc import Callable
from typing import Any

from rosepath.http_client import BoundedBody, HttpPool, Request, ResponseHead


class CallDeadline:
    """Cancel a call that has neither ended nor been extended in time."""

    def __init__(self, call: asyncio.Future[Any], *, limit_s: float) -> None:
        self._call = call
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(limit_s, self._expire)

    def extend(self, limit_s: float) -> None:
        """Restart the timer with a new limit."""
        self._timer.cancel()
        self._timer = self._loop.call_later(limit_s, self._expire)

    def disable(self) -> None:
        """Stop the timer, so that the call has no time limit."""
        self._timer.cancel()

    def _expire(self) -> None:
        # If the VM was paused, data that arrived meanwhile is read in the same
        # loop iteration in which the timer fires. Cancelling one iteration
        # later lets that data count.
        self._loop.call_soon(self._call.cancel)


async def fetch_with_deadline(
    pool: HttpPool,
    request: Request,
    *,
    limit_s: float,
    pause_s: float | None,
    max_bytes: int,
    on_response_start: Callable[[], None],
) -> tuple[ResponseHead, bytes]:
    """Send a request and return its response, or raise TimeoutError.

    If `pause_s` is given, each received part extends the deadline by it; the
    limit of the body then bounds the whole. Raise ExchangeError beyond it.
    """
    body = BoundedBody(request.address, max_bytes)

    def handle_head(_: ResponseHead) -> None:
        extend_deadline()
        on_response_start()

    def handle_data(part: bytes) -> None:
        extend_deadline()
        body.append(part)

    def extend_deadline() -> None:
        if pause_s is not None:
            deadline.extend(pause_s)

    task = asyncio.ensure_future(
        pool.exchange(request, on_head=handle_head, on_data=handle_data)
    )
    deadline = CallDeadline(task, limit_s=limit_s)
    try:
        await asyncio.wait([task])
        if task.cancelled():
            raise TimeoutError
        return task.result(), bytes(body.data)
    finally:
        deadline.disable()
        task.cancel()
        await asyncio.wait([task])
