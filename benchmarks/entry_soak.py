"""A soak of real entry VMs under a seeded schedule of overlapping faults.

    SOAK_SEED=3 SOAK_S=60 python -m benchmarks entry_soak

What the callers got and what reached the servers is checked at the end, rule by rule;
a failure is printed with its seed, and the VMs' logs are kept.
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

from benchmarks.entry_checks import WAIT_S, Answered, EntryChecks
from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool, Request
from rosepath_standins.entry_fleet import (
    CRASHING,
    DRAIN_S,
    GRACE_S,
    HOST,
    EntryFleet,
    EntryVm,
    caller_headers,
)

VMS = 4
SERVERS = 6
CALLERS = 12
CALL_EACH_S = 0.02
FAULT_EACH_S = (0.4, 1.6)
# A request that crashes servers comes again more often than other faults do.
CRASHING_WEIGHT = 3
KINDS = ("look", "file", "draft")
CHANGES_WEIGHT = 2
# The latest of the routes that were added, those dropped since among them.
PROBED = 6
PROBE_EACH_S = 0.1
SLOW_ANSWER_S = 0.7
STALL_S = 0.5
LOW_RATE_BYTES_PER_S = (10_000.0, 100_000.0)

Fault = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class EntrySoak:
    """Hold one run."""

    fleet: EntryFleet
    # Draws the faults; callers and the store draw from their own, so that faults come
    # as before.
    rng: random.Random
    call_rng: random.Random
    store_rng: random.Random
    until_s: float
    answered: list[Answered] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)
    number: int = 0

    async def run(self) -> None:
        tasks = [self._call() for _ in range(CALLERS)]
        tasks += [self._probe(vm) for vm in self.fleet.vms.values()]
        tasks.append(self._strike(self.rng, self._kinds()))
        tasks.append(self._strike(self.store_rng, self._store_kinds()))
        await asyncio.gather(*tasks, self._note_stalls())

    async def _note_stalls(self) -> None:
        """Note when this process stood still, and the store with it."""
        while time.monotonic() < self.until_s:
            from_s = time.monotonic()
            await asyncio.sleep(0.1)
            if time.monotonic() - from_s > STALL_S:
                self.fleet.stalls_s.append((from_s, time.monotonic()))

    async def _strike(self, rng: random.Random, kinds: list[Fault]) -> None:
        running: list[asyncio.Task[None]] = []
        while time.monotonic() < self.until_s:
            await asyncio.sleep(rng.uniform(*FAULT_EACH_S))
            fault = rng.choice(kinds)
            self.faults[fault.__name__] += 1
            running.append(asyncio.create_task(fault()))
        await asyncio.gather(*running)

    def _kinds(self) -> list[Fault]:
        return [
            self.kill_vm,
            self.stop_vm,
            self.pause_vm,
            self.reload_vm,
            self.cut_from_store,
            self.reset_store,
            self.crash_server,
            self.leave_by_answers,
            self.leave_unsaid,
            self.shed_load,
            *[self.send_crashing] * CRASHING_WEIGHT,
        ]

    def _store_kinds(self) -> list[Fault]:
        return [*[self.change_routes] * CHANGES_WEIGHT, self.slow_store, self.slow_link]

    # Callers

    async def _call(self) -> None:
        pool = HttpPool()
        while time.monotonic() < self.until_s:
            vm = self.call_rng.choice(list(self.fleet.vms.values()))
            kind = self.call_rng.choice(KINDS)
            await self._ask(pool, vm, f"/{kind}/{self.number}")
            await asyncio.sleep(CALL_EACH_S)
        pool.close()

    async def _probe(self, vm: EntryVm) -> None:
        """Ask one VM for routes that were added and dropped lately."""
        pool = HttpPool()
        while time.monotonic() < self.until_s:
            name = self.call_rng.choice(list(self.fleet.added)[-PROBED:] or KINDS)
            await self._ask(pool, vm, f"/{name}/{self.number}")
            await asyncio.sleep(PROBE_EACH_S)
        pool.close()

    async def _ask(self, pool: HttpPool, vm: EntryVm, path: str) -> None:
        self.number += 1
        request_id = f"q{self.number}"
        self.fleet.witness.vm_of[request_id] = vm.name
        request = Request(
            address=vm.address,
            host=HOST,
            method="POST",
            path=path,
            headers=caller_headers(request_id, wait_s=WAIT_S),
            body=b"x" * 10,
            progress_timeout_s=WAIT_S + 2.0,
        )
        sent_s = time.monotonic()
        status, body = 0, b""
        try:
            head, body = await pool.fetch(request)
            status = head.status
        except ExchangeError as error:
            if not error.sent:
                return
        self.answered.append(
            Answered(request_id, vm.name, path, sent_s, time.monotonic(), status, body)
        )

    # Faults

    def _vm(self) -> EntryVm:
        return self.rng.choice(list(self.fleet.vms.values()))

    async def kill_vm(self) -> None:
        vm = self._vm()
        vm.note_disturbed()
        vm.send(signal.SIGKILL)
        await self._start_again(vm)

    async def stop_vm(self) -> None:
        vm = self._vm()
        now_s = time.monotonic()
        if vm.stopped_s and now_s - vm.stopped_s[-1] < GRACE_S + 1.0:
            return
        vm.stopped_s.append(now_s)
        vm.send(signal.SIGTERM)
        await self._start_again(vm)
        vm.stops_s.append((now_s, time.monotonic()))

    async def _start_again(self, vm: EntryVm) -> None:
        process = vm.process
        if process is None:
            return
        await asyncio.to_thread(process.wait)
        if vm.process is not process:
            return
        await asyncio.sleep(0.3)
        if vm.process is process:
            vm.start()

    async def pause_vm(self) -> None:
        vm = self._vm()
        vm.note_disturbed()
        vm.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        vm.send(signal.SIGCONT)
        vm.note_disturbed()

    async def reload_vm(self) -> None:
        vm = self._vm()
        vm.write_settings(slack=self.rng.uniform(20.0, 80.0))
        vm.send(signal.SIGHUP)

    async def cut_from_store(self) -> None:
        vm, from_s = self._vm(), time.monotonic()
        vm.store.faults.refuse = True
        vm.store.reset_all()
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        vm.store.faults.refuse = False
        vm.parted_s.append((from_s, time.monotonic()))

    async def reset_store(self) -> None:
        for vm in self.fleet.vms.values():
            vm.store.reset_all()

    async def change_routes(self) -> None:
        await self.fleet.change_routes(self.store_rng)

    async def slow_store(self) -> None:
        assert self.fleet.state is not None
        vm = self.store_rng.choice(list(self.fleet.vms.values()))
        fault = self.store_rng.choice(("slow", f"slow {vm.store.address}"))
        faults = self.fleet.state.faults
        faults.arm(fault, count=-1, value=SLOW_ANSWER_S)
        await asyncio.sleep(self.store_rng.uniform(1.0, 5.0))
        faults.arm(fault, count=0, value=0.0)

    async def slow_link(self) -> None:
        vm = self.store_rng.choice(list(self.fleet.vms.values()))
        from_s = time.monotonic()
        vm.store.faults.bytes_per_s = self.store_rng.uniform(*LOW_RATE_BYTES_PER_S)
        await asyncio.sleep(self.store_rng.uniform(1.0, 5.0))
        vm.store.faults.bytes_per_s = None
        vm.parted_s.append((from_s, time.monotonic()))

    async def crash_server(self) -> None:
        server = self.rng.choice(list(self.fleet.servers.values()))
        if server.up:
            server.crash()

    async def leave_by_answers(self) -> None:
        await self._leave(says_so=True)

    async def leave_unsaid(self) -> None:
        await self._leave(says_so=False)

    async def _leave(self, *, says_so: bool) -> None:
        """Let a server leave: by its answers first, or by its entry alone."""
        staying = [one for one in self.fleet.servers.values() if not one.leaving]
        if len(staying) <= 2:
            return
        server = self.rng.choice(staying)
        server.leaving = says_so
        if says_so:
            await asyncio.sleep(self.rng.uniform(1.0, 5.0))
        await self.fleet.remove(server)
        await self.fleet.add_server()
        await asyncio.sleep(DRAIN_S + 1.0)
        server.crash()

    async def shed_load(self) -> None:
        server = self.rng.choice(list(self.fleet.servers.values()))
        server.shedding = True
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        server.shedding = False

    async def send_crashing(self) -> None:
        path = f"{CRASHING}/{self.rng.randrange(2)}"
        pool = HttpPool()
        for vm in self.rng.sample(list(self.fleet.vms.values()), 2):
            await self._ask(pool, vm, path)
        pool.close()

    async def keep_servers_up(self) -> None:
        """Let crashed servers come back at their address, in another life."""
        while True:
            for server in list(self.fleet.servers.values()):
                if not server.up:
                    await asyncio.sleep(1.0)
                    await self.fleet.remove(server)
                    await self.fleet.add_server()
            await asyncio.sleep(0.2)

    def failures(self, *, timed: bool = True) -> dict[str, list[str]]:
        """Return what broke, by the rule that it broke."""
        return EntryChecks(self.fleet, self.answered).failures(timed=timed)


async def soak(
    seed: int, *, lasts_s: float, vms: int = VMS, directory: Path
) -> EntrySoak:
    """Play one seed."""
    fleet = EntryFleet(directory)
    await fleet.start(vms=vms, servers=SERVERS)
    run = EntrySoak(
        fleet,
        random.Random(seed),
        random.Random(-seed),
        random.Random(f"store {seed}"),
        time.monotonic() + lasts_s,
    )
    keeper = asyncio.create_task(run.keep_servers_up())
    try:
        await run.run()
    finally:
        keeper.cancel()
        await fleet.stop()
    return run


def main() -> None:
    """Play the seeds asked for and print what broke."""
    first = int(os.environ.get("SOAK_SEED", "1"))
    seeds = range(first, first + int(os.environ.get("SOAK_SEEDS", "1")))
    lasts_s = float(os.environ.get("SOAK_S", "20"))
    for seed in seeds:
        directory = Path(tempfile.mkdtemp(prefix="entry-soak-"))
        vms = int(os.environ.get("SOAK_VMS", str(VMS)))
        run = asyncio.run(soak(seed, lasts_s=lasts_s, vms=vms, directory=directory))
        failures = run.failures()
        statuses = Counter(one.status for one in run.answered)
        print(
            f"seed {seed}: {len(run.answered)} requests {dict(statuses)}, faults"
            f" {dict(run.faults)}, broken {sum(map(len, failures.values()))},"
            f" stood still {len(run.fleet.stalls_s)} times"
        )
        for rule, found in failures.items():
            print(f"  {rule}: {len(found)}, first {found[:3]}; logs in {directory}")
        if not failures:
            shutil.rmtree(directory)
