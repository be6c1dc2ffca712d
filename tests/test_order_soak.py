"""Lease holders keep an engine's limits while faults overlap."""

import asyncio
import itertools
import random
import signal
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.order_checks import OrderChecks
from benchmarks.order_soak import soak
from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool, Request
from rosepath_standins.entry_fleet import HOST, caller_headers
from rosepath_standins.ordered_engine import EngineFleet, prompt_headers

LASTS_S = 10.0
# How long a model or an adapter that does not fit is asked for.
ASK_LIMIT_S = 3.0


# Guards against orders that only real processes, sockets and signals bring to
# an engine at the wrong time.
def test_short_soak_exceeds_no_engine(tmp_path: Path) -> None:
    run = asyncio.run(soak(1, duration_s=LASTS_S, directory=tmp_path, min_terms=2))
    assert run.failures() == {}
    assert len({order.fence for order in run.fleet.orders}) > 1
    assert any(order.executed_s is not None for order in run.fleet.orders)


class Callers:
    """Ask the running entry VMs for models."""

    def __init__(self, fleet: EngineFleet) -> None:
        self.fleet = fleet
        self._pool = HttpPool()
        self._numbers = itertools.count()

    async def ask_until(
        self, model: str, done: Callable[[], bool], *, limit_s: float, adapter: str = ""
    ) -> bool:
        """Ask for a model until a condition holds; False at the time limit."""
        asked = set[asyncio.Task[None]]()
        until_s = time.monotonic() + limit_s
        while not done() and time.monotonic() < until_s:
            for engine in self.fleet.engines.values():
                await self.fleet.write_engine_entry(engine)
            asked.add(asyncio.create_task(self._ask(model, adapter)))
            await asyncio.sleep(0.05)
        for task in asked:
            task.cancel()
        await asyncio.gather(*asked, return_exceptions=True)
        return done()

    async def _ask(self, model: str, adapter: str) -> None:
        request_id = f"q{next(self._numbers)}"
        running = [vm for vm in self.fleet.vms.values() if vm.running]
        try:
            await self._pool.fetch(
                Request(
                    address=running[-1].address,
                    host=HOST,
                    method="POST",
                    path=f"/gen/{request_id}",
                    headers=caller_headers(request_id, wait_s=2.0)
                    | prompt_headers(model, adapter, request_id),
                    body=b"x",
                    progress_timeout_s=2.0,
                )
            )
        except ExchangeError:
            return


# Guards against an engine that is ordered to hold three models where two fit: a
# load of a holder that was killed is executed under the next one.
def test_late_load_of_a_killed_holder_fits(tmp_path: Path) -> None:
    async def run() -> dict[str, list[str]]:
        fleet = EngineFleet(tmp_path)
        await fleet.start(vms=2, servers=1)
        await fleet.add_engines(1, random.Random(1))
        engine, callers = fleet.engines["e-0"], Callers(fleet)
        try:
            loaded = await callers.ask_until(
                "m2", lambda: "m2" in engine.models, limit_s=30.0
            )
            assert loaded
            # The next load is left unanswered, with the number 3.
            engine.holds = lambda order: order.loads and not order.adapter
            assert await callers.ask_until(
                "m3", lambda: bool(engine.held_orders), limit_s=30.0
            )
            engine.holds = lambda _: False
            late = engine.held_orders[0]
            assert late.expected == 3
            holder = fleet.vms[late.holder]
            holder.send(signal.SIGKILL)
            await engine.restart()
            # Two loads and an adapter bring the next holder to that number.
            await callers.ask_until("m4", lambda: "m4" in engine.models, limit_s=30.0)
            await callers.ask_until(
                "m5", lambda: "m5" in engine.models, limit_s=ASK_LIMIT_S
            )
            await callers.ask_until(
                "m4", lambda: engine.sequence == 3, limit_s=ASK_LIMIT_S, adapter="a1"
            )
            engine.execute_held_orders()
            return OrderChecks(fleet).failures()
        finally:
            await fleet.stop()
            engine.crash()

    assert asyncio.run(run()) == {}
