"""Models and adapters loaded or unloaded by orders, shared with peers."""

from collections import deque
from collections.abc import Callable

from rosepath.clock import Clock
from rosepath.fleet import Fleet
from rosepath.peer_messages import PeerState, ResidencyChange
from rosepath.prompt_caches import PromptCaches

# How long a change is sent to peers; by then the engine's own entry shows it.
CHANGES_PUBLISHED_S = 2.0
# The holder lists the occupied engines in each datagram; the mark expires
# after this.
OCCUPIED_TTL_S = 0.5


class ResidencyChanges:
    """Own the recent changes by this VM's orders; apply all VMs' to the fleet.

    Each VM numbers its changes from its start, so that a change received in
    several datagrams is applied once.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        fleet: Fleet,
        caches: PromptCaches,
        changed: Callable[[], None],
        send_state: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._caches = caches
        self._changed = changed
        self._announce = send_state
        self._recent: deque[tuple[float, ResidencyChange]] = deque()
        self._last_number = 0
        self._last_applied: dict[tuple[str, str], int] = {}

    def record(self, name: str, model: str, adapter: str, present: bool) -> None:
        """Apply and publish a change made by this VM's own order."""
        self._last_number += 1
        change = ResidencyChange(self._last_number, name, model, adapter, present)
        self._recent.append((self._clock.monotonic_s(), change))
        self._apply(change)
        if not adapter:
            # VMs with requests waiting for the model, or about to send to an
            # unloaded one, need this at once; the next regular datagram may be
            # 0.15 s away.
            self._announce()

    def recent(self) -> list[ResidencyChange]:
        """Return the recent changes made by this VM's own orders."""
        limit_s = self._clock.monotonic_s() - CHANGES_PUBLISHED_S
        while self._recent and self._recent[0][0] < limit_s:
            self._recent.popleft()
        return [change for _, change in self._recent]

    def apply_peer_state(self, state: PeerState) -> None:
        """Apply another VM's new changes, and mark the occupied engines."""
        key = (state.entry_vm, state.start)
        last_applied = self._last_applied.get(key, 0)
        for change in state.residency_changes:
            if change.number > last_applied:
                self._apply(change)
                self._last_applied[key] = change.number
        until_s = self._clock.monotonic_s() + OCCUPIED_TTL_S
        for name in state.occupied:
            if name in self._fleet.servers:
                self._fleet.servers[name].order_busy_until_s = until_s

    def _apply(self, change: ResidencyChange) -> None:
        server = self._fleet.servers.get(change.server)
        if server is None:
            return
        if change.adapter:
            adapters = server.resident_models.get(change.model, set())
            (adapters.add if change.present else adapters.discard)(change.adapter)
        elif change.present:
            server.resident_models.setdefault(change.model, set())
        else:
            server.resident_models.pop(change.model, None)
            self._caches.forget_model(change.server, change.model)
        self._changed()
