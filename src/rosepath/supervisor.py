"""Run the loops of an entry VM and restart those that fail."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from rosepath.logs import get_logger

RESTART_PAUSE_S = 0.5

_log = get_logger()


class Supervisor:
    """Own the tasks of an entry VM's loops.

    A failed loop is logged under the `__name__` of its function, so renaming
    a function that runs here changes the `step` of that log line.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def every(self, interval_s: float, step: Callable[[], Awaitable[None]]) -> None:
        """Run a step periodically; log a failure and continue."""
        self._spawn(self._repeat(interval_s, step))

    def forever(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a loop and restart it if it ends or fails.

        If a loop ended for good, the VM would continue to serve callers with
        gossip or the configuration no longer updated.
        """
        self._spawn(self._restart(run))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _repeat(
        self, interval_s: float, step: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await step()
            except Exception:
                _log.exception("step_failed", step=getattr(step, "__name__", ""))
            await asyncio.sleep(interval_s * random.uniform(0.9, 1.1))

    async def _restart(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        while True:
            try:
                await run()
            except Exception:
                _log.exception("loop_failed", step=getattr(run, "__name__", ""))
            await asyncio.sleep(RESTART_PAUSE_S * random.uniform(0.5, 1.0))

    async def stop(self) -> None:
        """Cancel every loop."""
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=1)
