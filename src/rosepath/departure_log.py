"""Record recent departures of backend servers for other entry VMs."""

import math
from collections.abc import Iterable

from rosepath.clock import Clock
from rosepath.fleet import LeavingServer

# Longer than any gap in the messages of a running lease holder: five lost
# messages in a row at the widest interval.
RETENTION_S = 5.0
# As many as a compressed datagram holds, at about 25 bytes each.
MAX_REPORTED = 40


class DepartureLog:
    """Hold the departures that this VM learned of, each with the time."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # Servers that left before this VM first listed them are not recorded.
        self._complete_since_s = math.inf
        # In the order in which this VM learned of them.
        self._learned: dict[str, tuple[float, LeavingServer]] = {}

    def start_listing(self) -> None:
        """Note that every departure is recorded from now on."""
        self._complete_since_s = min(self._complete_since_s, self._clock.monotonic_s())

    def record(self, server: LeavingServer) -> None:
        """Record a departure that was not known before."""
        self._drop_expired()
        self._learned.pop(server.name, None)
        self._learned[server.name] = (self._clock.monotonic_s(), server)

    def recent(self) -> tuple[tuple[LeavingServer, ...], float]:
        """Return the latest departures and how far back they are complete."""
        self._drop_expired()
        learned = list(self._learned.values())
        omitted, reported = learned[:-MAX_REPORTED], learned[-MAX_REPORTED:]
        now_s = self._clock.monotonic_s()
        since_s = omitted[-1][0] if omitted else min(self._complete_since_s, now_s)
        complete_ago_s = min(RETENTION_S, now_s - since_s)
        return _servers(reported), complete_ago_s

    def _drop_expired(self) -> None:
        limit_s = self._clock.monotonic_s() - RETENTION_S
        while self._learned:
            name, (learned_s, _) = next(iter(self._learned.items()))
            if learned_s >= limit_s:
                return
            del self._learned[name]


def _servers(
    learned: Iterable[tuple[float, LeavingServer]],
) -> tuple[LeavingServer, ...]:
    return tuple(server for _, server in learned)
