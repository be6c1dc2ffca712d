"""Entry VMs that ask a scheduler for servers over a simulated network."""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field, replace

from entry_builders import a_catalog, a_peer_state, a_prompt, an_entry
from virtual_time import LoopClock, VirtualLoop, now_s

from rosepath.assignment import (
    Assignment,
    AssignmentRequest,
    Decision,
    RunOutcome,
    RunReport,
)
from rosepath.clock import Clock
from rosepath.fleet import Fleet
from rosepath.peer_messages import Message, PeerState, decode, encode
from rosepath.peer_table import PeerTable
from rosepath.prompt_caches import PromptCaches
from rosepath.quota_client import QuotaClient
from rosepath.quota_messages import QuotaMessage
from rosepath.quota_pool import QuotaTolerance
from rosepath.scheduler import Scheduler
from rosepath.scheduler_client import SchedulerClient
from rosepath.scheduler_host import SchedulerHost
from rosepath.scheduling_messages import SchedulingMessage

ONE_WAY_S = 0.002
SERVERS = ("e1", "e2", "e3")


@dataclass(slots=True)
class SchedulingVM:
    """Hold the parts of one start of an entry VM, and its background tasks."""

    quotas: QuotaClient
    host: SchedulerHost
    client: SchedulerClient
    tasks: list[asyncio.Future[None]] = field(default_factory=list)


@dataclass(slots=True)
class SchedulingFleet:
    """Own the VMs and the network between them."""

    data_centres: int = 1
    lost_share: float = 0.0
    in_use: bool = True
    # Bandwidth of each VM's link, if not the same for all.
    links_mbps: dict[str, float] = field(default_factory=dict)
    # Whether the first VM has received a state message of the second.
    has_heard: Callable[[str, str], bool] = lambda receiver, name: True
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    vms: dict[str, SchedulingVM] = field(default_factory=dict)
    stopping: set[str] = field(default_factory=set)
    # VMs that neither send nor receive; what they are sent waits for them.
    frozen: dict[str, list[Callable[[], None]]] = field(default_factory=dict)
    # The side of a partition on which a VM is; messages stay on their side.
    sides: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    sent: Counter[str] = field(default_factory=Counter)
    counted: Counter[str] = field(default_factory=Counter)

    def start(self, names: Iterable[str]) -> None:
        """Start VMs that know all others."""
        for name in names:
            self.vms[name] = self._build(name)
        for receiver, vm in self.vms.items():
            for name in self.vms:
                if self.has_heard(receiver, name):
                    vm.quotas._peers.apply_state(self.state(name))
                else:
                    vm.quotas._peers.note_address(name, name)

    def state(self, name: str) -> PeerState:
        """Return the first state message of a VM."""
        state = a_peer_state(name, data_centre=self.data_centre(name))
        return replace(
            state, address=name, link_mbps=self.link_mbps(name), start=f"{now_s()}"
        )

    def link_mbps(self, name: str) -> float:
        return self.links_mbps.get(name, 10.0)

    def announce_coordinator(self, holder: str) -> None:
        """Send a state message of a lease holder that has heard from all VMs."""
        link = self.vms[holder].quotas.coordinator_link
        state = replace(self.state(holder), term=1, coordinator=link)
        for vm in self.vms.values():
            decoded = decode(encode(state))
            assert isinstance(decoded, PeerState)
            vm.quotas._peers.apply_state(decoded)

    def _build(self, name: str) -> SchedulingVM:
        clock: Clock = LoopClock()
        catalog, fleet = a_catalog(), Fleet()
        for server in SERVERS:
            fleet.put(an_entry(server))
        peers = PeerTable(name, clock=clock)

        def send(message: Message, address: str) -> None:
            self._deliver(name, message, address)

        quotas = QuotaClient(
            name,
            self.data_centre(name),
            name,
            clock=clock,
            peers=peers,
            tolerance=QuotaTolerance(window_s=8.0, overage=0.0, slack=0.0),
            catalog=lambda: catalog,
            send=send,
            stopping=lambda: name in self.stopping,
            schedules_requests=lambda: self.in_use,
            on_coordinator_changed=lambda: client.note_scheduler_changed(),
            link_mbps=self.link_mbps(name),
            rng=self.rng,
        )
        host = SchedulerHost(
            name,
            Scheduler(
                fleet=fleet,
                caches=PromptCaches(),
                catalog=lambda: catalog,
            ),
            clock=clock,
            send=send,
            available=lambda: name not in self.stopping,
        )
        client = SchedulerClient(
            name,
            name,
            clock=clock,
            peers=peers,
            host=host,
            scheduler=lambda: quotas.chosen_coordinator,
            choose_other=quotas.choose_other,
            send=send,
            in_use=lambda: self.in_use,
            count=self._count,
        )
        vm = SchedulingVM(quotas, host, client)
        vm.tasks = [
            asyncio.ensure_future(work)
            for work in (quotas.run(), client.run(), host.run_steps())
        ]
        return vm

    def _count(self, outcome: str) -> None:
        self.counted[outcome] += 1

    def data_centre(self, name: str) -> str:
        return "abcdef"[int(name.rpartition("-")[2]) % self.data_centres]

    def kill(self, name: str) -> None:
        for task in self.vms.pop(name).tasks:
            task.cancel()

    def freeze(self, name: str) -> None:
        self.frozen[name] = []

    def thaw(self, name: str) -> None:
        for deliver in self.frozen.pop(name):
            deliver()

    def _deliver(self, sender: str, message: Message, address: str) -> None:
        if sender in self.frozen:
            return
        self.sent[type(message).__name__] += 1
        reached = self.sides[sender] == self.sides[address]
        if not reached or self.rng.random() < self.lost_share:
            return
        data = encode(message)
        asyncio.get_running_loop().call_later(
            ONE_WAY_S, lambda: self._receive(address, data)
        )

    def _receive(self, address: str, data: bytes) -> None:
        if address in self.frozen:
            self.frozen[address].append(lambda: self._receive(address, data))
            return
        vm, message = self.vms.get(address), decode(data)
        if vm is None:
            return
        if isinstance(message, QuotaMessage):
            vm.quotas.handle(message)
        elif isinstance(message, SchedulingMessage):
            vm.client.handle(message)

    @property
    def scheduler(self) -> str:
        """Return the VM that most VMs ask."""
        chosen = Counter(vm.quotas.chosen_coordinator or "" for vm in self.vms.values())
        return chosen.most_common(1)[0][0]

    def runs_at(self, vm: str) -> set[str]:
        """Return the ids of the runs that a VM's scheduler knows."""
        work = self.vms[vm].host.scheduler.work
        return {run for server in work.servers.values() for run in server.runs}

    def other_than(self, *names: str) -> str:
        return next(name for name in sorted(self.vms) if name not in names)

    async def ask(
        self,
        name: str,
        *,
        wait_s: float = 2.0,
        lasts_s: float = 5.0,
        on_waiting: Callable[[], None] = lambda: None,
        tried: frozenset[str] = frozenset(),
    ) -> tuple[Decision | None, str, float]:
        """Ask for a server; return the decision, who made it and how long it took."""
        client, started_s = self.vms[name].client, now_s()
        request = AssignmentRequest(
            request_id=client.next_id(),
            service="llm",
            entry_vm=name,
            data_centre=self.data_centre(name),
            arrived_s=started_s,
            due_s=started_s + 0.4,
            wait_until_s=started_s + wait_s,
            deadline_s=started_s + lasts_s,
            gap_s=0.3,
            prompt=a_prompt(),
            tried=tried,
        )
        decision, scheduler = await client.assign(request, on_waiting=on_waiting)
        if isinstance(decision, Assignment):
            # Engines that don't begin to answer would get no further prompts.
            client.report(
                RunReport(
                    request_id=decision.request.request_id,
                    server=decision.server,
                    began_after_s=0.01,
                )
            )
        return decision, scheduler, now_s() - started_s

    def end(self, name: str, assignment: Assignment) -> None:
        """Report the end of a run."""
        self.vms[name].client.report(
            RunReport(
                request_id=assignment.request.request_id,
                server=assignment.server,
                began_after_s=0.1,
                outcome=RunOutcome.COMPLETED,
            )
        )

    async def run_request(self, name: str, *, for_s: float) -> None:
        """Ask for a server, run there and report the end."""
        decision, _, _ = await self.ask(name)
        if isinstance(decision, Assignment):
            await asyncio.sleep(for_s)
            self.end(name, decision)

    async def close(self) -> None:
        tasks = [task for vm in self.vms.values() for task in vm.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def play(
    scenario: Callable[[SchedulingFleet], Awaitable[None]],
    *,
    vms: int = 8,
    data_centres: int = 1,
    lost_share: float = 0.0,
    in_use: bool = True,
    links_mbps: dict[str, float] | None = None,
    has_heard: Callable[[str, str], bool] = lambda receiver, name: True,
) -> SchedulingFleet:
    """Run a scenario in virtual time on a fleet that has settled."""
    fleet = SchedulingFleet(
        data_centres=data_centres,
        lost_share=lost_share,
        in_use=in_use,
        links_mbps=links_mbps or {},
        has_heard=has_heard,
    )

    async def run() -> None:
        fleet.start(f"vm-{number}" for number in range(vms))
        await asyncio.sleep(4.0)
        await scenario(fleet)
        await fleet.close()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
    return fleet
