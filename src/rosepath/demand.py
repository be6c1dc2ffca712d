"""Measure the demand for each model at this and other entry VMs."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rosepath.caller_request import Prompt

# Demand shifts within seconds: a much shorter window misses rarely used
# models, a longer one lags behind.
WINDOW_S = 5.0
# A shorter window shows rising demand sooner. It is discounted, as a few more
# requests in it may be random.
RECENT_WINDOW_S = 2.0
RECENT_LOAD_DISCOUNT = 0.8
# Assumed prefill time of a waiting request, which is not known until an engine
# is chosen.
WAITING_REQUEST_PREFILL_S = 0.12
# Assumed requests per second for each engine-second of prefill per second, for
# VMs that report no request rate.
REQUESTS_PER_LOAD = 8.0
# Decoding runs for all requests at once, prefill for one prompt after the
# other, so only prefill counts as load.
PREFILL_S_PER_TOKEN = 1 / 38_000


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Hold a model's prefill load and the requests that wait for it."""

    # Prefill load, in engine-seconds per second.
    load: float
    waiting: int
    # The model's adapters that were requested lately.
    adapters: frozenset[str] = frozenset()
    # The load over a shorter window.
    recent_load: float = 0.0
    # All requests for the model, whether or not an engine could accept them.
    requests_per_s: float = 0.0

    @property
    def expected_load(self) -> float:
        """Return the load to plan for, including waiting requests."""
        waiting = self.waiting * WAITING_REQUEST_PREFILL_S / RECENT_WINDOW_S
        return max(self.load, RECENT_LOAD_DISCOUNT * (self.recent_load + waiting))

    @property
    def expected_requests_per_s(self) -> float:
        """Return the requests per second to plan for."""
        if self.requests_per_s <= 0 or self.load <= 0:
            return max(self.requests_per_s, REQUESTS_PER_LOAD * self.expected_load)
        return self.requests_per_s * self.expected_load / self.load


@dataclass(slots=True, kw_only=True)
class _Window:
    prefills: deque[tuple[float, float, str]] = field(default_factory=deque)
    requested_s: deque[float] = field(default_factory=deque)
    waiting: int = 0


class DemandTracker:
    """Count the requests that this entry VM receives, by service and model."""

    def __init__(self) -> None:
        self._windows: dict[tuple[str, str], _Window] = {}

    def count_request(self, service: str, prompt: Prompt, *, now_s: float) -> None:
        """Count an incoming request, whatever its outcome."""
        window = self._windows.setdefault((service, prompt.model), _Window())
        window.requested_s.append(now_s)

    def record_prefill(
        self, service: str, prompt: Prompt, *, unread_tokens: int, now_s: float
    ) -> None:
        """Record the prompt tokens that an engine prefills for a request."""
        prefill_s = unread_tokens * PREFILL_S_PER_TOKEN
        window = self._windows.setdefault((service, prompt.model), _Window())
        window.prefills.append((now_s, prefill_s, prompt.adapter))

    def count_waiting(
        self, service: str, prompt: Prompt, *, step: int, now_s: float
    ) -> None:
        """Count a request that starts (1) or stops (-1) waiting for a model.

        The adapter counts as requested at once; the prefill load is recorded
        when an engine is chosen.
        """
        window = self._windows.setdefault((service, prompt.model), _Window())
        window.waiting += step
        if step > 0 and prompt.adapter:
            window.prefills.append((now_s, 0.0, prompt.adapter))

    def current(self, service: str, *, now_s: float) -> dict[str, ModelDemand]:
        """Return the current demand for each model of a service."""
        demands = {}
        for (name, model), window in self._windows.items():
            while window.prefills and window.prefills[0][0] < now_s - WINDOW_S:
                window.prefills.popleft()
            while window.requested_s and window.requested_s[0] < now_s - WINDOW_S:
                window.requested_s.popleft()
            if name == service and (
                window.prefills or window.waiting or window.requested_s
            ):
                recent_from_s = now_s - RECENT_WINDOW_S
                recent = sum(
                    prefill_s
                    for at_s, prefill_s, _ in window.prefills
                    if at_s > recent_from_s
                )
                demands[model] = ModelDemand(
                    sum(prefill_s for _, prefill_s, _ in window.prefills) / WINDOW_S,
                    window.waiting,
                    frozenset(adapter for _, _, adapter in window.prefills if adapter),
                    recent / RECENT_WINDOW_S,
                    len(window.requested_s) / WINDOW_S,
                )
        return demands

    @property
    def services(self) -> set[str]:
        return {service for service, _ in self._windows}


def total_demand(parts: Iterable[Mapping[str, ModelDemand]]) -> dict[str, ModelDemand]:
    """Return the sum of the demand at several entry VMs."""
    total: dict[str, ModelDemand] = {}
    for part in parts:
        for model, demand in part.items():
            known = total.get(model, ModelDemand(0.0, 0))
            total[model] = ModelDemand(
                known.load + demand.load,
                known.waiting + demand.waiting,
                known.adapters | demand.adapters,
                known.recent_load + demand.recent_load,
                known.requests_per_s + demand.requests_per_s,
            )
    return total
