"""What came to engines or went by orders: told to other VMs, and heard of them."""

from collections import deque
from collections.abc import Callable

from rosepath.clock import Clock
from rosepath.fleet import Fleet
from rosepath.peer_messages import HeldMove, PeerState
from rosepath.prompt_caches import PromptCaches

# What came or went is told for so long; then the engines' own entries say it.
MOVES_TOLD_S = 2.0
# The holder says which engines are occupied with each datagram.
OCCUPIED_HOLDS_S = 0.5


class HeldMoves:
    """Apply to the fleet what own orders and those of other VMs moved."""

    def __init__(
        self,
        *,
        clock: Clock,
        fleet: Fleet,
        caches: PromptCaches,
        changed: Callable[[], None],
        tell: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._caches = caches
        self._changed = changed
        self._tell = tell
        self._moves: deque[tuple[float, HeldMove]] = deque()
        self._move_number = 0
        self._heeded: dict[tuple[str, str], int] = {}

    def note(self, name: str, model: str, adapter: str, there: bool) -> None:
        """Note what came to an engine or went by an own order."""
        self._move_number += 1
        move = HeldMove(self._move_number, name, model, adapter, there)
        self._moves.append((self._clock.monotonic_s(), move))
        self._apply(move)
        if not adapter:
            # Whoever waits for a model, or would send to one that goes, acts on
            # this at once; the next turn to speak may be 0.15 s away.
            self._tell()

    def recent(self) -> list[HeldMove]:
        """Return what came to engines or went lately, by own orders."""
        limit_s = self._clock.monotonic_s() - MOVES_TOLD_S
        while self._moves and self._moves[0][0] < limit_s:
            self._moves.popleft()
        return [move for _, move in self._moves]

    def hear(self, state: PeerState) -> None:
        """Take in what another VM's orders moved, and keep busy."""
        key = (state.entry_vm, state.start)
        heeded = self._heeded.get(key, 0)
        for move in state.moves:
            if move.number > heeded:
                self._apply(move)
                self._heeded[key] = move.number
        until_s = self._clock.monotonic_s() + OCCUPIED_HOLDS_S
        for name in state.occupied:
            if name in self._fleet.servers:
                self._fleet.servers[name].ordering_until_s = until_s

    def _apply(self, move: HeldMove) -> None:
        server = self._fleet.servers.get(move.server)
        if server is None:
            return
        if move.adapter:
            adapters = server.held.get(move.model, set())
            (adapters.add if move.there else adapters.discard)(move.adapter)
        elif move.there:
            server.held.setdefault(move.model, set())
        else:
            server.held.pop(move.model, None)
            self._caches.forget_model(move.server, move.model)
        self._changed()
