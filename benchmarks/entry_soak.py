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

from benchmarks.entry_fleet import (
    CRASHING,
    DRAIN_S,
    EVENTS,
    GRACE_S,
    HOST,
    RETRY_AFTER_S,
    EntryFleet,
    EntryVm,
)
from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool, Request

VMS = 4
SERVERS = 6
CALLERS = 12
CALL_EACH_S = 0.02
WAIT_S = 4.0
FAULT_EACH_S = (0.4, 1.6)
# After so long without trouble a VM is held to its bounds again.
CONTACT_S = 3.0
# What may reach a server in its backoff, and once a request crashed three.
SENDS_IN_BACKOFF = 2
SENDS_AFTER_THIRD = 3
# A request that crashes servers comes again more often than other faults do.
CRASHING_WEIGHT = 3
KINDS = ("look", "file", "draft")


@dataclass(slots=True)
class Answered:
    """Hold what a caller got: no status is a connection that closed."""

    request_id: str
    vm: str
    path: str
    sent_s: float
    ended_s: float
    status: int
    body: bytes


@dataclass(slots=True)
class EntrySoak:
    """Hold one run."""

    fleet: EntryFleet
    # Draws the faults; callers draw from their own, so that faults come as before.
    rng: random.Random
    call_rng: random.Random
    until_s: float
    answered: list[Answered] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)
    cut_by_stop: list[str] = field(default_factory=list)
    bad_exits: list[int] = field(default_factory=list)
    number: int = 0

    async def run(self) -> None:
        tasks = [asyncio.create_task(self._call()) for _ in range(CALLERS)]
        running: list[asyncio.Task[None]] = []
        while time.monotonic() < self.until_s:
            await asyncio.sleep(self.rng.uniform(*FAULT_EACH_S))
            fault = self.rng.choice(self._kinds())
            self.faults[fault.__name__] += 1
            running.append(asyncio.create_task(fault()))
        await asyncio.gather(*running)
        await asyncio.gather(*tasks)

    def _kinds(self) -> list[Callable[[], Awaitable[None]]]:
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

    # Callers

    async def _call(self) -> None:
        pool = HttpPool()
        while time.monotonic() < self.until_s:
            vm = self.call_rng.choice(list(self.fleet.vms.values()))
            kind = self.call_rng.choice(KINDS)
            await self._ask(pool, vm, f"/{kind}/{self.number}")
            await asyncio.sleep(CALL_EACH_S)
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
            headers={
                "Request-Id": request_id,
                "Request-Deadline-Ms": f"{WAIT_S * 1000:.0f}",
            },
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
        if time.monotonic() - vm.stopping_s < GRACE_S + 1.0:
            return
        vm.stopping_s = time.monotonic()
        vm.send(signal.SIGTERM)
        await self._start_again(vm)

    async def _start_again(self, vm: EntryVm) -> None:
        process = vm.process
        if process is None:
            return
        await asyncio.to_thread(process.wait)
        if vm.process is not process:
            return
        vm.exit_codes.append(process.returncode)
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
        vm = self._vm()
        vm.store.faults.refuse = True
        vm.store.reset_all()
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        vm.store.faults.refuse = False

    async def reset_store(self) -> None:
        for vm in self.fleet.vms.values():
            vm.store.reset_all()

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

    # Checks

    def failures(self, *, timed: bool = True) -> dict[str, list[str]]:
        """Return what broke, by the rule that it broke.

        Without `timed` only rules count that hold on a machine that stands still for
        seconds, too.
        """
        checks: dict[str, Callable[[], list[str]]] = {
            "whole answers": self._not_whole,
            "at most once": self._run_twice,
            "true refusals": self._refused_and_run,
            "nothing else is quarantined": self._quarantined,
        }
        timed_checks: dict[str, Callable[[], list[str]]] = {
            "no work for a server that said it leaves": self._sent_to_leaving,
            "no work in a backoff": self._sent_in_backoff,
            "three crashes are enough": self._crashed_on,
            "answers in time": self._late,
            "planned stops cut nothing": self._cut,
        }
        if timed:
            checks |= timed_checks
        return {rule: found for rule, check in checks.items() if (found := check())}

    def _not_whole(self) -> list[str]:
        return [
            f"{one.request_id} {one.path} {one.body[:60]!r}"
            for one in self.answered
            if one.status == 200 and one.body != _whole(one)
        ]

    def _run_twice(self) -> list[str]:
        runs = self.fleet.witness.runs
        return [
            one.request_id
            for one in self.answered
            if one.path.startswith("/file/") and runs[one.request_id] > 1
        ]

    def _refused_and_run(self) -> list[str]:
        runs = self.fleet.witness.runs
        return [
            f"{one.request_id} {one.path} {one.status}"
            for one in self.answered
            if one.status in (408, 421, 429, 503) and runs[one.request_id]
        ]

    def _sent_to_leaving(self) -> list[str]:
        told = self.fleet.witness.told_leaving_s
        return [
            f"{server} from {vm} {at_s - told[server, vm]:.2f} s after"
            for server, vm, at_s in self.fleet.witness.reached
            if at_s - told.get((server, vm), at_s) > DRAIN_S
            and self.fleet.vms[vm].undisturbed_since(told[server, vm])
        ]

    def _sent_in_backoff(self) -> list[str]:
        found = []
        for server, vm, shed_s in self.fleet.witness.sheds:
            sent = [
                at_s
                for name, by, at_s in self.fleet.witness.reached
                if (name, by) == (server, vm)
                and shed_s + 0.5 < at_s < shed_s + RETRY_AFTER_S
            ]
            calm = self.fleet.vms[vm].undisturbed_since(shed_s)
            if calm and len(sent) > SENDS_IN_BACKOFF:
                found.append(f"{server} from {vm}: {len(sent)}")
        return found

    def _crashed_on(self) -> list[str]:
        found = []
        for path, crashes_s in self.fleet.witness.crashes_s.items():
            if len(crashes_s) < 3:
                continue
            known_s = crashes_s[2] + CONTACT_S
            sent = sum(
                at_s > known_s
                and self.fleet.vms[vm].undisturbed_since(at_s - CONTACT_S)
                for sent_path, vm, at_s in self.fleet.witness.crashing
                if sent_path == path
            )
            if sent > SENDS_AFTER_THIRD:
                found.append(
                    f"{path}: sent {sent} times more, {len(crashes_s)} crashes"
                )
        return found

    def _quarantined(self) -> list[str]:
        return [
            f"{one.request_id} {one.path}"
            for one in self.answered
            if b"crashes_servers" in one.body and not one.path.startswith(CRASHING)
        ]

    def _late(self) -> list[str]:
        return [
            f"{one.request_id} {one.path} {one.ended_s - one.sent_s:.2f} s"
            for one in self.answered
            if one.ended_s - one.sent_s > WAIT_S + 0.5
            and self.fleet.vms[one.vm].undisturbed_since(one.sent_s - CONTACT_S)
        ]

    def _cut(self) -> list[str]:
        arrivals = self.fleet.witness.arrivals
        found = []
        for one in self.answered:
            vm = self.fleet.vms[one.vm]
            stopping = one.sent_s < vm.stopping_s < one.ended_s
            calm = not one.sent_s - CONTACT_S < vm.disturbed_s < one.ended_s + 0.1
            safe = one.path.startswith("/file/") and arrivals[one.request_id]
            if one.status == 0 and stopping and calm and safe:
                found.append(f"{one.request_id} {one.path}")
        return found


def _whole(one: Answered) -> bytes:
    if one.path.startswith("/draft/"):
        events = range(1, EVENTS + 1)
        return b"".join(
            f"id: {number}\ndata: {one.request_id}\n\n".encode() for number in events
        )
    return f"{one.path} {one.request_id}".encode()


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
            f" {dict(run.faults)}, broken {sum(map(len, failures.values()))}"
        )
        for rule, found in failures.items():
            print(f"  {rule}: {len(found)}, first {found[:3]}; logs in {directory}")
        if not failures:
            shutil.rmtree(directory)
