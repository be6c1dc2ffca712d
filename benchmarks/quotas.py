"""Compare ways to keep to a quota or a rate limit over many entry VMs.

Simulated without a network: callers stay with a VM, state takes its time from
one VM to another, and a third of the VMs may be cut off. For each way, it shows
the part of the use that was refused although the quota allowed it, and the
largest window over what the quota and its tolerance allow.
"""

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks._private import write_table
from rosepath.quota_coordinator import SERVER_LIMIT_TOLERANCE
from rosepath.quota_pool import QuotaPool, QuotaTolerance
from rosepath.token_bucket import TokenBucket
from rosepath.workspaces import Quota

CALLERS = 20
# From a VM's use until the shares or counts that follow from it are known, up
# to this fleet size and beyond.
SMALL_FLEET = 20
SMALL_FLEET_LAG_S, LARGE_FLEET_LAG_S = 0.3, 1.6
LENGTH_S, CHANGE_S, RESTORE_S = 40.0, 15.0, 25.0
# Before this, accounts that start empty fill up.
SETTLED_S = 5.0
RESTART_S = 1.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """What happens from CHANGE_S to RESTORE_S."""

    name: str
    demand: float = 1.0
    cut: bool = False
    killed: bool = False


SCENARIOS = (
    Scenario(name="calm"),
    Scenario(name="7.5 times the demand", demand=7.5),
    Scenario(name="a third cut off", cut=True),
    Scenario(name="both", demand=7.5, cut=True),
    Scenario(name="all killed", killed=True),
    Scenario(name="all killed under 7.5 times", demand=7.5, killed=True),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Subject:
    """What is limited: its tolerance, the cost of a request, and the runs."""

    name: str
    tolerance: QuotaTolerance
    rates_per_s: tuple[float, ...]
    fleet_sizes: tuple[int, ...]
    seeds: int
    # The burst of the quota, in seconds of its rate.
    burst_s: float = 0.0
    mean_cost: float = 1.0
    max_cost: float = 1.0

    def cost(self, rng: random.Random) -> float:
        if self.max_cost == self.mean_cost:
            return self.mean_cost
        mean = math.log(self.mean_cost)
        return min(self.max_cost, rng.lognormvariate(mean - 0.32, 0.8))


WORKSPACE = Subject(
    name="workspace, tokens/s",
    tolerance=QuotaTolerance(window_s=8.0, overage=0.1, slack=110_000.0),
    rates_per_s=(410_000.0, 29_000.0),
    fleet_sizes=(87, 300),
    seeds=3,
    burst_s=1.0,
    mean_cost=9_200.0,
    max_cost=57_000.0,
)
SERVER = Subject(
    name="server, requests/s",
    tolerance=SERVER_LIMIT_TOLERANCE,
    rates_per_s=(1.0, 5.0),
    fleet_sizes=(7, 87, 300),
    seeds=10,
)


@dataclass(slots=True)
class World:
    """Hold the clock, the fleet, what is limited and the scenario of one run."""

    subject: Subject
    vms: int
    rate_per_s: float
    scenario: Scenario
    now_s: float = 0.0

    @property
    def lag_s(self) -> float:
        return SMALL_FLEET_LAG_S if self.vms <= SMALL_FLEET else LARGE_FLEET_LAG_S

    @property
    def quota(self) -> Quota:
        burst = self.rate_per_s * self.subject.burst_s
        return Quota(rate_per_s=self.rate_per_s, burst=burst)

    @property
    def allowed_per_window(self) -> float:
        """Return what the quota allows in a window, without its tolerance."""
        return self.rate_per_s * self.subject.tolerance.window_s + self.quota.burst

    @property
    def changed(self) -> bool:
        return CHANGE_S <= self.now_s < RESTORE_S

    def side(self, vm: int) -> int:
        return int(self.scenario.cut and self.changed and vm % 3 == 0)

    def side_size(self, vm: int) -> int:
        return sum(self.side(other) == self.side(vm) for other in range(self.vms))


Admit = Callable[[int, float], bool]


def equal_parts(world: World) -> Admit:
    """Give each VM the same part of the quota."""
    part = world.rate_per_s / world.vms
    buckets = [
        TokenBucket(rate_per_s=part, burst=part, level=0.0) for _ in range(world.vms)
    ]
    return lambda vm, cost: buckets[vm].take(world.now_s, cost) == 0.0


def shares_by_demand(world: World) -> Admit:
    """Move shares to where the demand was, within the lag of state messages."""
    shares = [world.rate_per_s / world.vms] * world.vms
    buckets = [
        TokenBucket(rate_per_s=share, burst=share, level=0.0) for share in shares
    ]
    demand: deque[tuple[float, int, float]] = deque()
    planned_s = 0.0

    def admit(vm: int, cost: float) -> bool:
        nonlocal planned_s
        demand.append((world.now_s, vm, cost))
        if world.now_s - planned_s > world.lag_s / 2:
            planned_s = world.now_s
            _plan_shares(world, shares, buckets, demand)
        return buckets[vm].take(world.now_s, cost) == 0.0

    return admit


def _plan_shares(
    world: World,
    shares: list[float],
    buckets: list[TokenBucket],
    demand: deque[tuple[float, int, float]],
) -> None:
    """Divide nine tenths by recent demand, the rest equally."""
    while demand and demand[0][0] < world.now_s - 4.0 - world.lag_s:
        demand.popleft()
    wanted = [0.0] * world.vms
    for at_s, vm, cost in demand:
        if at_s < world.now_s - world.lag_s and not world.side(vm):
            wanted[vm] += cost
    reachable = [vm for vm in range(world.vms) if not world.side(vm)]
    free = world.rate_per_s - sum(
        shares[vm] for vm in range(world.vms) if world.side(vm)
    )
    total = sum(wanted) or 1.0
    for vm in reachable:
        shares[vm] = free * (0.9 * wanted[vm] / total + 0.1 / len(reachable))
        buckets[vm].resize(world.now_s, rate_per_s=shares[vm], burst=shares[vm])


def counts_by_gossip(world: World) -> Admit:
    """Count all use, known late from the others; repay what was too much."""
    counts: deque[tuple[float, int, float]] = deque()

    def admit(vm: int, cost: float) -> bool:
        old_s = world.now_s - world.subject.tolerance.window_s
        while counts and counts[0][0] < old_s:
            counts.popleft()
        used = sum(
            spent
            for at_s, other, spent in counts
            if other == vm
            or (
                at_s < world.now_s - world.lag_s and world.side(other) == world.side(vm)
            )
        )
        part = world.side_size(vm) / world.vms if world.scenario.cut else 1.0
        allowed = part * world.allowed_per_window
        if used + min(cost, allowed) > allowed:
            return False
        counts.append((world.now_s, vm, cost))
        return True

    return admit


def one_coordinator(world: World) -> Admit:
    """Ask a coordinator that was lent the shares of the VMs that reach it."""
    pools: dict[tuple[int, bool], QuotaPool] = {}
    number = 0

    def admit(vm: int, cost: float) -> bool:
        nonlocal number
        number += 1
        restarted = world.scenario.killed and world.now_s >= CHANGE_S
        key = (world.side(vm), restarted)
        pool = pools.get(key)
        if pool is None:
            pool = pools[key] = QuotaPool(world.subject.tolerance)
            pool.apply({"w": world.quota}, now_s=world.now_s)
        for lender in range(world.vms):
            if world.side(lender) == key[0]:
                pool.lend(str(lender), fleet_size=world.vms, now_s=world.now_s)
        return pool.admit(str(number), "w", cost, now_s=world.now_s).granted

    return admit


@dataclass(slots=True)
class Result:
    """Hold the tokens of one run."""

    owed: float = 0.0
    refused: float = 0.0
    runs: list[tuple[float, float]] = field(default_factory=list)

    def largest_window(self, world: World) -> float:
        tolerance = world.subject.tolerance
        allowed = world.allowed_per_window * (1 + tolerance.overage) + tolerance.slack
        largest = used = 0.0
        first = 0
        for at_s, cost in self.runs:
            used += cost
            while self.runs[first][0] < at_s - tolerance.window_s:
                used -= self.runs[first][1]
                first += 1
            largest = max(largest, used)
        return largest / allowed


def play(way: Callable[[World], Admit], world: World, seed: int) -> Result:
    """Play one scenario."""
    rng, result = random.Random(seed), Result()
    homes = [rng.randrange(world.vms) for _ in range(CALLERS)]
    # What a single place that sees all requests at once would admit.
    ideal = TokenBucket(rate_per_s=world.rate_per_s, burst=max(1.0, world.quota.burst))
    admit = way(world)
    while world.now_s < LENGTH_S:
        times = world.scenario.demand if world.changed else 1.0
        per_s = 0.55 * times * world.rate_per_s / world.subject.mean_cost
        world.now_s += rng.expovariate(per_s)
        cost = world.subject.cost(rng)
        if world.scenario.killed and CHANGE_S <= world.now_s < CHANGE_S + RESTART_S:
            continue
        allowed = ideal.take(world.now_s, cost) == 0.0
        admitted = admit(rng.choice(homes), cost)
        if admitted:
            result.runs.append((world.now_s, cost))
        if allowed and world.now_s > SETTLED_S:
            result.owed += cost
            result.refused += 0.0 if admitted else cost
    return result


def compare(subject: Subject) -> None:
    """Print a table of all ways and scenarios for what is limited."""
    ways = (equal_parts, shares_by_demand, counts_by_gossip, one_coordinator)
    rows: list[list[object]] = []
    for vms in subject.fleet_sizes:
        for rate_per_s in subject.rates_per_s:
            for scenario in SCENARIOS:
                row: list[object] = [vms, f"{rate_per_s:.0f}", scenario.name]
                for way in ways:
                    worlds = [
                        World(subject, vms, rate_per_s, scenario)
                        for _ in range(subject.seeds)
                    ]
                    results = [
                        play(way, world, seed) for seed, world in enumerate(worlds, 1)
                    ]
                    refused = sum(result.refused for result in results)
                    owed = sum(result.owed for result in results)
                    window = max(r.largest_window(worlds[0]) for r in results)
                    row.append(f"{refused / owed:.3f} / {window:.2f}")
                rows.append(row)
    write_table(
        f"{subject.name}: refused below the limit / largest window over what is"
        " allowed",
        ["VMs", "rate", "scenario", *(way.__name__ for way in ways)],
        rows,
    )


def main() -> None:
    """Print the tables for a workspace's quota and a server's rate limit."""
    compare(WORKSPACE)
    compare(SERVER)
