"""Check a lease holder's orders by what the engines received."""

from collections import defaultdict
from dataclasses import dataclass

from rosepath_standins.entry_fleet import EntryVm
from rosepath_standins.ordered_engine import LOADS_PER_S, EngineFleet, ReceivedOrder

# Holders that take turns at one engine within this time count as two
# concurrent ones.
TURN_S = 3.0
# Orders may arrive for this long after their sender was resumed.
RESUMED_S = 0.3
# In any window of this length, loads from the weight store may exceed its rate
# by a tenth and a few more.
LOAD_WINDOW_S = 5.0
LOAD_SHARE = 1.1
LOAD_EXTRA = 3


@dataclass(slots=True)
class OrderChecks:
    """Rules that bind the orders of all entry VMs together."""

    fleet: EngineFleet

    def failures(self) -> dict[str, list[str]]:
        """Return the violations found, by rule."""
        checks = {
            "no engine exceeds its memory": self._exceeded_memory(),
            "one holder orders": self._concurrent_holders(),
            "rate of loads from the weight store": self._over_load_rate(),
        }
        return {rule: found for rule, found in checks.items() if found}

    def _exceeded_memory(self) -> list[str]:
        return [_described(order) for order in self.fleet.orders if not order.fits]

    def _concurrent_holders(self) -> list[str]:
        found = []
        by_engine: dict[str, list[ReceivedOrder]] = defaultdict(list)
        for order in self.fleet.orders:
            if not _just_resumed(self.fleet.vms[order.holder], order.received_s):
                by_engine[order.engine].append(order)
        for orders in by_engine.values():
            found += _out_of_turn(orders)
        return found

    def _over_load_rate(self) -> list[str]:
        allowed = LOADS_PER_S * LOAD_WINDOW_S * LOAD_SHARE + LOAD_EXTRA
        started_s = sorted(
            order.executed_s
            for order in self.fleet.orders
            if order.from_store and order.executed_s is not None
        )
        most = max(
            (
                sum(from_s <= at_s <= from_s + LOAD_WINDOW_S for at_s in started_s)
                for from_s in started_s
            ),
            default=0,
        )
        return [f"{most} of {allowed:.2f}"] if most > allowed else []


def _just_resumed(vm: EntryVm, at_s: float) -> bool:
    return any(0 <= at_s - resumed_s < RESUMED_S for resumed_s in vm.disturbances_s)


def _out_of_turn(orders: list[ReceivedOrder]) -> list[str]:
    """Return the orders to one engine that show two concurrent holders."""
    found = []
    holders: dict[int, str] = {}
    last_s: dict[str, float] = {}
    highest = 0
    previous: ReceivedOrder | None = None
    for order in orders:
        changed = previous is not None and previous.holder != order.holder
        since_s = order.received_s - last_s.get(order.holder, -1e9)
        if (
            order.fence < highest
            or holders.setdefault(order.fence, order.holder) != order.holder
            or (changed and since_s < TURN_S)
        ):
            found.append(_described(order))
        highest = max(highest, order.fence)
        last_s[order.holder] = order.received_s
        previous = order
    return found


def _described(order: ReceivedOrder) -> str:
    target = f"{order.model}/{order.adapter}" if order.adapter else order.model
    late_s = None if order.executed_s is None else order.executed_s - order.received_s
    return (
        f"{order.operation} {target} to {order.engine} by {order.holder},"
        f" fence {order.fence}, expected {order.expected},"
        f" other instance {order.executed_by_ms not in (0, order.born_ms)},"
        f" executed after {late_s}"
    )
