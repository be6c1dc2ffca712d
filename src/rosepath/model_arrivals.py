"""Track models being loaded and decide which requests wait for them."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

# Every datagram of the placement lease holder repeats the loads in progress.
# If none arrives for this long, the loads or the holder are taken to have
# ended.
ARRIVALS_TTL_S = 1.0
# Jitter on the retry time of callers that wait for the same load, so that they
# don't all reach the first engine with the model at once.
RETRY_JITTER_S = 0.5


class ModelArrival(NamedTuple):
    """Announce that an engine will have a model in this many seconds."""

    server: str
    model: str
    arrives_in_s: float


class WaitDecision(StrEnum):
    """Enumerate what to do with a request whose model no engine holds."""

    KEEP_WAITING = "on"
    REFUSE = "refused"


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitChoice:
    """Hold whether a request keeps waiting, or when its caller may retry."""

    decision: WaitDecision
    retry_after_s: float = 0.0


@dataclass(slots=True)
class ModelArrivals:
    """Own the loads announced by the holder of the placement lease."""

    # By model and engine.
    _due_s: dict[str, dict[str, float]] = field(default_factory=dict)
    _updated_s: float = -1e9

    def replace_announced(
        self, arrivals: Iterable[ModelArrival], *, now_s: float
    ) -> None:
        """Replace the announced loads with those of a new message."""
        self._updated_s = now_s
        self._due_s.clear()
        for arrival in arrivals:
            due_s = now_s + arrival.arrives_in_s
            at_engines = self._due_s.setdefault(arrival.model, {})
            known_s = at_engines.get(arrival.server, due_s)
            at_engines[arrival.server] = min(due_s, known_s)

    def due_s(
        self, model: str, *, now_s: float, servers: Collection[str] | None = None
    ) -> float | None:
        """Return when a model will be on some engine, None if unknown.

        With `servers`, on one of them.
        """
        if now_s - self._updated_s > ARRIVALS_TTL_S:
            return None
        return min(
            (
                due_s
                for server, due_s in self._due_s.get(model, {}).items()
                if servers is None or server in servers
            ),
            default=None,
        )


def choose_wait(
    *,
    due_s: float | None,
    wait_until_s: float,
    now_s: float,
    rng: random.Random,
    shortest_load_s: float = 0.0,
) -> WaitChoice:
    """Decide whether a request waits for a model that no engine holds.

    If the model can't be loaded before the request's wait limit, the request
    is refused at once with the time at which the model will be available.
    Holding it until the limit would only leave its caller less time for a
    retry. If no load is announced the request keeps waiting, because waiting
    requests count as demand and cause the load, until even the shortest load
    would end too late.
    """
    if due_s is None:
        due_s = now_s + shortest_load_s
    if due_s <= wait_until_s:
        return WaitChoice(decision=WaitDecision.KEEP_WAITING)
    retry_after_s = max(0.0, due_s - now_s) + rng.uniform(0.0, RETRY_JITTER_S)
    return WaitChoice(decision=WaitDecision.REFUSE, retry_after_s=retry_after_s)
