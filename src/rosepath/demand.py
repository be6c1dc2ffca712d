"""How much each model is asked for, here and at other entry VMs."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rosepath.caller_call import Prompt

# Demand moves within seconds; a window much shorter than this sees no rare
# model, a longer one lags.
WINDOW_S = 5.0
# Where demand moves to, a shorter window shows it sooner; it is discounted, as
# a few requests more in it may be chance.
RECENT_WINDOW_S = 2.0
RECENT_LOAD_DISCOUNT = 0.8
# Of those who wait, nobody knows yet what an engine will have to read.
WAITING_REQUEST_PREFILL_S = 0.12
# Requests a second behind each engine-second of reading a second, where a VM
# tells of no requests.
REQUESTS_PER_LOAD = 8.0
# Tokens are written for all running requests at once; prompts are read one
# after the other.
PREFILL_S_PER_TOKEN = 1 / 38_000


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Hold a model's load in engine-seconds a second, and who waits for it.

    `adapters` names the adapters of it that were asked for lately, and
    `fresh_load` is the load by a shorter window. `asked_per_s` counts every
    request for it, whether an engine could take it or not.
    """

    load: float
    waiting: int
    adapters: frozenset[str] = frozenset()
    fresh_load: float = 0.0
    asked_per_s: float = 0.0

    @property
    def expected_load(self) -> float:
        """Return the load to plan for, of those who wait too."""
        waiting = self.waiting * WAITING_REQUEST_PREFILL_S / RECENT_WINDOW_S
        return max(self.load, RECENT_LOAD_DISCOUNT * (self.fresh_load + waiting))

    @property
    def expected_requests_per_s(self) -> float:
        """Return the requests a second to plan for."""
        if self.asked_per_s <= 0 or self.load <= 0:
            return max(self.asked_per_s, REQUESTS_PER_LOAD * self.expected_load)
        return self.asked_per_s * self.expected_load / self.load


@dataclass(slots=True, kw_only=True)
class _Window:
    work: deque[tuple[float, float, str]] = field(default_factory=deque)
    asked_s: deque[float] = field(default_factory=deque)
    waiting: int = 0


class Demand:
    """Count the requests of this entry VM, model by model."""

    def __init__(self) -> None:
        self._windows: dict[tuple[str, str], _Window] = {}

    def ask(self, service: str, prompt: Prompt, *, now_s: float) -> None:
        """Count a request that came, whatever becomes of it."""
        window = self._windows.setdefault((service, prompt.model), _Window())
        window.asked_s.append(now_s)

    def note(
        self, service: str, prompt: Prompt, *, unread_tokens: int, now_s: float
    ) -> None:
        """Note a request and what of its prompt an engine has to read."""
        work_s = unread_tokens * PREFILL_S_PER_TOKEN
        window = self._windows.setdefault((service, prompt.model), _Window())
        window.work.append((now_s, work_s, prompt.adapter))

    def wait(self, service: str, prompt: Prompt, *, step: int, now_s: float) -> None:
        """Count a request that begins (1) or ends (-1) waiting for a model.

        It shows at once which adapter it needs; what it reads is noted later.
        """
        window = self._windows.setdefault((service, prompt.model), _Window())
        window.waiting += step
        if step > 0 and prompt.adapter:
            window.work.append((now_s, 0.0, prompt.adapter))

    def now(self, service: str, *, now_s: float) -> dict[str, ModelDemand]:
        """Return the demand for each model of a service."""
        demands = {}
        for (name, model), window in self._windows.items():
            while window.work and window.work[0][0] < now_s - WINDOW_S:
                window.work.popleft()
            while window.asked_s and window.asked_s[0] < now_s - WINDOW_S:
                window.asked_s.popleft()
            if name == service and (window.work or window.waiting or window.asked_s):
                recent_from_s = now_s - RECENT_WINDOW_S
                recent = sum(
                    work_s for at_s, work_s, _ in window.work if at_s > recent_from_s
                )
                demands[model] = ModelDemand(
                    sum(work_s for _, work_s, _ in window.work) / WINDOW_S,
                    window.waiting,
                    frozenset(adapter for _, _, adapter in window.work if adapter),
                    recent / RECENT_WINDOW_S,
                    len(window.asked_s) / WINDOW_S,
                )
        return demands

    @property
    def services(self) -> set[str]:
        return {service for service, _ in self._windows}


def total_demand(parts: Iterable[Mapping[str, ModelDemand]]) -> dict[str, ModelDemand]:
    """Add up the demand that several entry VMs see."""
    total: dict[str, ModelDemand] = {}
    for part in parts:
        for model, demand in part.items():
            known = total.get(model, ModelDemand(0.0, 0))
            total[model] = ModelDemand(
                known.load + demand.load,
                known.waiting + demand.waiting,
                known.adapters | demand.adapters,
                known.fresh_load + demand.fresh_load,
                known.asked_per_s + demand.asked_per_s,
            )
    return total
