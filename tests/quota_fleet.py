"""Entry VMs that admit requests by quotas over a simulated network."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from entry_builders import a_catalog, a_peer_state, a_workspace
from virtual_time import LoopClock, VirtualLoop, now_s

from rosepath.clock import Clock
from rosepath.peer_messages import decode, encode
from rosepath.peer_table import PeerTable
from rosepath.quota_client import QuotaClient
from rosepath.quota_messages import QuotaMessage
from rosepath.quota_pool import QuotaDecision, QuotaTolerance
from rosepath.workspaces import Quota

WORKSPACE = "court"
ONE_WAY_S = 0.002


@dataclass(slots=True)
class QuotaFleet:
    """Own the VMs, the network between them and the record of what ran."""

    quota: Quota
    tolerance: QuotaTolerance
    data_centres: int = 1
    lost_share: float = 0.0
    # Bandwidth of each VM's link, if not the same for all.
    links_mbps: dict[str, float] = field(default_factory=dict)
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    clients: dict[str, QuotaClient] = field(default_factory=dict)
    tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    stopping: set[str] = field(default_factory=set)
    # The side of a partition on which a VM is; messages stay on their side.
    sides: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    # Time and cost of each request that was admitted and ran.
    runs: list[tuple[float, float]] = field(default_factory=list)
    refused: list[QuotaDecision] = field(default_factory=list)
    messages: int = 0

    def start(self, names: Iterable[str]) -> None:
        """Start VMs that know all others."""
        started = list(names)
        for name in started:
            self._build(name)
        for client in self.clients.values():
            for name in self.clients:
                state = a_peer_state(name, data_centre=self.data_centre(name))
                client._peers.apply_state(
                    replace(state, address=name, link_mbps=self.link_mbps(name))
                )
        for name in started:
            run = asyncio.ensure_future(self.clients[name].run())
            self.tasks[name] = run

    def _build(self, name: str) -> None:
        clock: Clock = LoopClock()
        catalog = a_catalog(workspaces={"k": a_workspace(WORKSPACE, quota=self.quota)})
        client = self.clients[name] = QuotaClient(
            name,
            self.data_centre(name),
            name,
            clock=clock,
            peers=PeerTable(name, clock=clock),
            tolerance=self.tolerance,
            catalog=lambda: catalog,
            send=lambda message, address: self._deliver(name, message, address),
            stopping=lambda: name in self.stopping,
            link_mbps=self.link_mbps(name),
            rng=self.rng,
        )
        client.apply(catalog)

    def data_centre(self, name: str) -> str:
        return "abcdef"[int(name.rpartition("-")[2]) % self.data_centres]

    def link_mbps(self, name: str) -> float:
        return self.links_mbps.get(name, 10.0)

    def kill(self, *names: str) -> None:
        for name in names:
            self.tasks.pop(name).cancel()
            del self.clients[name]

    def _deliver(self, sender: str, message: QuotaMessage, address: str) -> None:
        self.messages += 1
        receiver = self.clients.get(address)
        reached = self.sides[sender] == self.sides[address]
        if receiver is None or not reached or self.rng.random() < self.lost_share:
            return
        decoded = decode(encode(message))
        assert isinstance(decoded, QuotaMessage)
        asyncio.get_running_loop().call_later(ONE_WAY_S, receiver.handle, decoded)

    async def request(self, vm: str, cost: float) -> QuotaDecision:
        """Send one request to a VM and run it if admitted."""
        client = self.clients[vm]
        decision = await client.admit(WORKSPACE, cost)
        if decision.granted:
            self.runs.append((now_s(), cost))
        else:
            self.refused.append(decision)
        return decision

    async def send(
        self, per_s: float, *, for_s: float, cost: Callable[[], float]
    ) -> None:
        """Send requests to random VMs at a rate."""
        until_s = now_s() + for_s
        while now_s() < until_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            if self.clients:
                vm = self.rng.choice(sorted(self.clients))
                asyncio.ensure_future(self.request(vm, cost()))

    @property
    def largest_window(self) -> float:
        """Return the most that ran within any window, over what is allowed."""
        window_s, quota = self.tolerance.window_s, self.quota
        allowed = quota.rate_per_s * window_s + quota.burst
        allowed = allowed * (1 + self.tolerance.overage) + self.tolerance.slack
        largest = used = 0.0
        first = 0
        for at_s, cost in self.runs:
            used += cost
            while self.runs[first][0] < at_s - window_s:
                used -= self.runs[first][1]
                first += 1
            largest = max(largest, used)
        return largest / allowed

    async def close(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)


def run_fleet(work: Callable[[], object]) -> None:
    """Run a coroutine function in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(work())  # type: ignore[arg-type]
