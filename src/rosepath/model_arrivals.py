"""When models that nobody holds will be there, and who may wait for that."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

# Word of a load is renewed with each of the holder's datagrams; without it,
# the load has ended, or its holder has.
ARRIVALS_TTL_S = 1.0
# Callers that are told to come back for the same load return spread over this,
# or the first engine that has the model meets all of them at once.
RETRY_JITTER_S = 0.5


class ModelArrival(NamedTuple):
    """Tell that an engine will have a model in so many seconds."""

    server: str
    model: str
    in_s: float


class WaitDecision(StrEnum):
    """Say what a request for a model that nobody holds does."""

    KEEP_WAITING = "on"
    REFUSE = "refused"


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitChoice:
    """Hold whether a request waits on, and else when its caller may be back."""

    decision: WaitDecision
    retry_after_s: float = 0.0


@dataclass(slots=True)
class ModelArrivals:
    """Hold which models are on their way, by the holder's latest word."""

    _due_s: dict[str, float] = field(default_factory=dict)
    _updated_s: float = -1e9

    def hear(self, arrivals: Iterable[ModelArrival], *, now_s: float) -> None:
        """Take in the holder's word, which replaces the one before."""
        self._updated_s = now_s
        self._due_s.clear()
        for arrival in arrivals:
            due_s = now_s + arrival.in_s
            known_s = self._due_s.get(arrival.model, due_s)
            self._due_s[arrival.model] = min(due_s, known_s)

    def due_s(self, model: str, *, now_s: float) -> float | None:
        """Return when a model will be on some engine, if that is known."""
        if now_s - self._updated_s > ARRIVALS_TTL_S:
            return None
        return self._due_s.get(model)


def choose_wait(
    *,
    due_s: float | None,
    wait_until_s: float,
    now_s: float,
    rng: random.Random,
) -> WaitChoice:
    """Decide whether a request waits for a model that nobody holds.

    One whose model can't be there before its caller's patience ends is told so
    at once, with the time at which it will be: held back until then, it would
    be refused all the same, with less time left to come back. Without word of a
    load it waits on: that it waits is what brings the load about.
    """
    if due_s is None or due_s <= wait_until_s:
        return WaitChoice(decision=WaitDecision.KEEP_WAITING)
    retry_after_s = max(0.0, due_s - now_s) + rng.uniform(0.0, RETRY_JITTER_S)
    return WaitChoice(decision=WaitDecision.REFUSE, retry_after_s=retry_after_s)
