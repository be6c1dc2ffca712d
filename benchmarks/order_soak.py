"""A soak of the lease holder's orders, with real entry VMs and engines.

    SOAK_SEED=3 SOAK_S=30 python -m benchmarks order_soak

Orders are executed late, engines restart under their names, and holders are
killed, paused, stopped and cut off, in series and overlapping. What the engines
received is checked against each rule over all entry VMs.
"""

import asyncio
import os
import random
import shutil
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks._private import inject_faults
from benchmarks.order_checks import OrderChecks
from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool, Request
from rosepath_standins.entry_fleet import HOST, EntryVm, caller_headers
from rosepath_standins.ordered_engine import (
    ADAPTERS_PER_MODEL,
    MODELS,
    EngineFleet,
    OrderedEngine,
    prompt_headers,
)

VMS = 3
ENGINES = 6
CALLERS = 8
CALL_INTERVAL_S = 0.05
REQUEST_DEADLINE_S = 4.0
ADAPTER_SHARE = 0.1
# Demand moves to other models this often, so that models are loaded.
DEMAND_LASTS_S = 2.0
MODELS_IN_DEMAND = 3
FAULT_INTERVAL_S = (0.3, 2.0)
LATE_SHARE = 0.7
LATE_LASTS_S = (3.0, 8.0)
HEARTBEAT_S = 0.3
RESTART_PAUSE_S = (0.2, 1.0)
MAX_EXTENSION_S = 60.0

Fault = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class OrderSoak:
    """One soak run: its fleet, its callers and the faults injected."""

    fleet: EngineFleet
    rng: random.Random
    call_rng: random.Random
    ends_s: float
    # A run goes on for up to MAX_EXTENSION_S until as many lease terms ordered.
    min_terms: int = 1
    faults: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    in_demand: list[str] = field(default_factory=list)
    request_count: int = 0

    async def run(self) -> None:
        await asyncio.gather(
            *(self._run_caller() for _ in range(CALLERS)),
            self._move_demand(),
            self._beat(),
            self._restart_crashed_engines(),
            self._inject_faults(),
        )

    @property
    def running(self) -> bool:
        over_s = time.monotonic() - self.ends_s
        if over_s < 0:
            return True
        terms = len({order.fence for order in self.fleet.orders})
        return terms < self.min_terms and over_s < MAX_EXTENSION_S

    # Load

    async def _move_demand(self) -> None:
        while self.running:
            self.in_demand = self.call_rng.sample(MODELS, MODELS_IN_DEMAND)
            await asyncio.sleep(DEMAND_LASTS_S)

    async def _run_caller(self) -> None:
        pool = HttpPool()
        while self.running:
            await asyncio.sleep(CALL_INTERVAL_S)
            vm = self.call_rng.choice(list(self.fleet.vms.values()))
            model = self.call_rng.choice(self.in_demand or MODELS)
            adapter = ""
            if self.call_rng.random() < ADAPTER_SHARE:
                adapter = f"a{self.call_rng.randint(1, ADAPTERS_PER_MODEL)}"
            self.request_count += 1
            await self._send(pool, vm, model, adapter, f"q{self.request_count}")
        pool.close()

    async def _send(
        self, pool: HttpPool, vm: EntryVm, model: str, adapter: str, request_id: str
    ) -> None:
        self.fleet.request_log.vm_by_request[request_id] = vm.name
        request = Request(
            address=vm.address,
            host=HOST,
            method="POST",
            path=f"/gen/{request_id}",
            headers=caller_headers(request_id, wait_s=REQUEST_DEADLINE_S)
            | prompt_headers(model, adapter, request_id),
            body=b"x" * 10,
            progress_timeout_s=REQUEST_DEADLINE_S + 2.0,
        )
        try:
            head, _ = await pool.fetch(request)
            self.statuses[head.status] += 1
        except ExchangeError:
            self.statuses[0] += 1

    async def _beat(self) -> None:
        """Write the engines' entries as their heartbeats do."""
        while self.running:
            for engine in self.fleet.engines.values():
                if engine.listening:
                    await self.fleet.write_engine_entry(engine)
            await asyncio.sleep(HEARTBEAT_S)

    async def _restart_crashed_engines(self) -> None:
        while self.running:
            for engine in self.fleet.engines.values():
                if not engine.listening and not engine.restarting:
                    await engine.start_again()
            await asyncio.sleep(0.1)

    # Faults

    async def _inject_faults(self) -> None:
        choices: list[Fault] = [
            self.execute_late,
            self.restart_engines,
            self.kill_holder,
            self.kill_holder_and_restart_engines,
            self.pause_holder,
            self.stop_holder,
            self.cut_holder_from_store,
        ]
        await inject_faults(
            choices,
            self.rng,
            interval_s=FAULT_INTERVAL_S,
            running=lambda: self.running,
            counts=self.faults,
        )

    def _holder(self) -> EntryVm:
        """Return the VM that sent the last order, or the first one."""
        name = self.fleet.orders[-1].holder if self.fleet.orders else "vm-0"
        return self.fleet.vms[name]

    def _some_engines(self) -> list[OrderedEngine]:
        engines = list(self.fleet.engines.values())
        return self.rng.sample(engines, self.rng.randint(1, len(engines)))

    async def execute_late(self) -> None:
        engines = self._some_engines()
        for engine in engines:
            engine.late_share = LATE_SHARE
        await asyncio.sleep(self.rng.uniform(*LATE_LASTS_S))
        for engine in engines:
            engine.late_share = 0.0

    async def restart_engines(self) -> None:
        await asyncio.gather(*(engine.restart() for engine in self._some_engines()))

    async def kill_holder(self) -> None:
        vm = self._holder()
        vm.note_disturbance()
        vm.send(signal.SIGKILL)
        await vm.restart_when_exited(pause_s=self.rng.uniform(*RESTART_PAUSE_S))

    async def kill_holder_and_restart_engines(self) -> None:
        await asyncio.gather(
            self.execute_late(), self._restart_after_pause(), self._kill_after_pause()
        )

    async def _restart_after_pause(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        await self.restart_engines()

    async def _kill_after_pause(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        await self.kill_holder()

    async def pause_holder(self) -> None:
        vm = self._holder()
        vm.note_disturbance()
        vm.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        vm.send(signal.SIGCONT)
        vm.note_disturbance()

    async def stop_holder(self) -> None:
        vm = self._holder()
        vm.send(signal.SIGTERM)
        await vm.restart_when_exited(pause_s=self.rng.uniform(*RESTART_PAUSE_S))

    async def cut_holder_from_store(self) -> None:
        vm = self._holder()
        vm.store.faults.refuse = True
        vm.store.reset_all()
        await asyncio.sleep(self.rng.uniform(1.0, 5.0))
        vm.store.faults.refuse = False

    def failures(self) -> dict[str, list[str]]:
        """Return the violations found, by rule."""
        return OrderChecks(self.fleet).failures()


async def soak(
    seed: int,
    *,
    duration_s: float,
    directory: Path,
    vms: int = VMS,
    min_terms: int = 1,
) -> OrderSoak:
    """Run one seed on a new fleet."""
    fleet = EngineFleet(directory)
    await fleet.start(vms=vms, servers=1)
    await fleet.add_engines(ENGINES, random.Random(f"orders {seed}"))
    run = OrderSoak(
        fleet,
        random.Random(seed),
        random.Random(-seed),
        time.monotonic() + duration_s,
        min_terms,
    )
    try:
        await run.run()
    finally:
        await fleet.stop()
        for engine in fleet.engines.values():
            engine.crash()
    return run


def main() -> None:
    """Run the seeds set in the environment and print the violations."""
    first = int(os.environ.get("SOAK_SEED", "1"))
    seeds = range(first, first + int(os.environ.get("SOAK_SEEDS", "1")))
    duration_s = float(os.environ.get("SOAK_S", "30"))
    vms = int(os.environ.get("SOAK_VMS", str(VMS)))
    for seed in seeds:
        directory = Path(tempfile.mkdtemp(prefix="order-soak-"))
        run = asyncio.run(
            soak(seed, duration_s=duration_s, vms=vms, directory=directory)
        )
        failures = run.failures()
        orders = run.fleet.orders
        late = sum(order.executed_by_ms not in (0, order.born_ms) for order in orders)
        print(
            f"seed {seed}: {sum(run.statuses.values())} requests"
            f" {dict(run.statuses)}, {len(orders)} orders by"
            f" {len({order.fence for order in orders})} terms, {late} executed by"
            f" another instance, faults {dict(run.faults)},"
            f" broken {sum(map(len, failures.values()))}"
        )
        for rule, found in failures.items():
            print(f"  {rule}: {len(found)}, first {found[:3]}; logs in {directory}")
        if not failures:
            shutil.rmtree(directory)
