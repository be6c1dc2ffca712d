"""Decide which engines may still execute loads of earlier lease holders.

Within one instance of an engine, each sequence number is accepted once, so an
order that is executed late can't follow one that it was not checked against. A
restarted engine counts from zero, and an order that its previous instance left
unexecuted may fit again. Its sender reserves memory for it, but the next lease
holder does not know of it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rosepath.fleet import BackendServer

# An order without a response is executed within this time or never.
LATE_ORDER_LIMIT_S = 15.0
# A holder may send orders for the previous instance of an engine for as long as
# it has not heard of the restart.
RESTART_UNKNOWN_S = 5.0
# Orders for an earlier instance are no longer executed once an instance is
# older than this.
INSTANCE_SETTLED_S = LATE_ORDER_LIMIT_S + RESTART_UNKNOWN_S
# The clocks of engines and entry VMs differ by seconds, and may be set.
CLOCK_TOLERANCE_S = 10.0


@dataclass(slots=True)
class InstanceSightings:
    """Record since when this VM has seen the current instance of each engine."""

    _first_seen_s: dict[tuple[str, int], float] = field(default_factory=dict)

    def update(self, servers: Iterable[BackendServer], *, now_s: float) -> None:
        """Note the instances in the table of servers, and forget all others."""
        instances = [(server.name, server.entry.born_ms) for server in servers]
        self._first_seen_s = {
            instance: self._first_seen_s.get(instance, now_s) for instance in instances
        }

    def settled(self, server: BackendServer, *, now_s: float, wall_s: float) -> bool:
        """Return whether no order for an earlier instance is executed any more.

        Either this VM has seen the instance for long enough, or the instance
        is old enough by the wall clock. An engine that does not state its start
        has another name after a restart.
        """
        born_ms = server.entry.born_ms
        if not born_ms:
            return True
        seen_s = now_s - self._first_seen_s.get((server.name, born_ms), now_s)
        age_s = wall_s - born_ms / 1000
        return (
            seen_s > INSTANCE_SETTLED_S
            or age_s > INSTANCE_SETTLED_S + CLOCK_TOLERANCE_S
        )
