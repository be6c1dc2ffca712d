"""Learn how fast a backend server works, from what its runs show."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count
from statistics import median
from typing import NamedTuple

# Until runs show otherwise, and where nothing is learned.
PRIOR_PREFILL_TOKENS_PER_S = 30_000.0
PRIOR_EVENT_GAP_S = 0.03
# Shorter prefills are dominated by the steps of other requests.
MIN_LEARNED_TOKENS = 250
# The prior counts as this many measurements: a pace that differs shows after a
# few more runs than that, while fewer outliers show nothing.
PRIOR_COUNT = 4
# Measurements kept for each server, for each model and length, and for all.
SERVER_WINDOW = 15
FACTOR_WINDOW = 40
COMMON_WINDOW = 100
# Models and lengths, and servers, whose factors are kept.
MAX_FACTORS = 500
MAX_SERVERS = 200
# Once its window is full, a factor is estimated anew when so large a share of it
# is new: fewer measurements move a median little, and take processor time.
ESTIMATE_SHARE = 0.1
# After so many measurements at any server, the others are compared anew.
COMPARE_AFTER = 10
# A stated slowdown holds for about this long.
SLOWDOWN_LASTS_S = 0.6


def shrunk_median(values: Iterable[float], *, prior: float = 0.0) -> float:
    """Return the median of values and of `PRIOR_COUNT` times the prior."""
    return median([*values, *([prior] * PRIOR_COUNT)])


class Measurement(NamedTuple):
    """Hold the logarithm of a measured time, its server and its keys."""

    value: float
    server: int
    keys: tuple[str, ...]


class Window:
    """Own the latest measurements of a factor, and when to estimate it anew."""

    def __init__(self, size: int) -> None:
        self.measured: deque[Measurement] = deque(maxlen=size)
        self._since_estimate = 0

    def add(self, measurement: Measurement) -> bool:
        """Add a measurement; return whether an estimate is due."""
        self.measured.append(measurement)
        self._since_estimate += 1
        full = len(self.measured) == self.measured.maxlen
        if full and self._since_estimate < ESTIMATE_SHARE * len(self.measured):
            return False
        self._since_estimate = 0
        return True


class CommonPace:
    """Own the pace of all servers: a common one, and factors by model and length.

    Values are natural logarithms of seconds, so that factors add up.
    """

    def __init__(self, *, prior_s: float) -> None:
        self._prior = math.log(prior_s)
        self._common = self._prior
        self._factors: dict[str, float] = {}
        self._window = Window(COMMON_WINDOW)
        self._windows: OrderedDict[str, Window] = OrderedDict()
        # The latest factor of each server, by its number, and their median.
        self._server_factors: OrderedDict[int, float] = OrderedDict()
        self._usual_server = 0.0
        self._numbers = count()
        self.measurements = 0

    def new_number(self) -> int:
        """Return a number for a server."""
        return next(self._numbers)

    def expected(self, *keys: str) -> float:
        """Return the logarithm of the time that is usual for these keys."""
        return self._common + sum(self._factors.get(key, 0.0) for key in keys)

    def add(self, measurement: Measurement) -> None:
        """Learn from a measurement."""
        self.measurements += 1
        if self._window.add(measurement):
            common = map(self._without_server, self._window.measured)
            self._common = shrunk_median(common, prior=self._prior)
        for position, key in enumerate(measurement.keys):
            window = self._windows.setdefault(key, Window(FACTOR_WINDOW))
            self._windows.move_to_end(key)
            if not window.add(measurement):
                continue
            # A factor is compared to those before it only, so that two of them
            # can't drift apart.
            self._factors[key] = shrunk_median(
                self._without_server(measured)
                - self.expected(*measured.keys[:position])
                for measured in window.measured
            )
        while len(self._windows) > MAX_FACTORS:
            key, _ = self._windows.popitem(last=False)
            self._factors.pop(key, None)

    def _without_server(self, measured: Measurement) -> float:
        """Return what a measurement would be at a usual server."""
        factor = self._server_factors.get(measured.server, self._usual_server)
        return measured.value - factor + self._usual_server

    def note_server_factor(self, server: int, factor: float) -> None:
        """Record the factor of a server, to which the others are compared."""
        self._server_factors[server] = factor
        self._server_factors.move_to_end(server)
        while len(self._server_factors) > MAX_SERVERS:
            self._server_factors.popitem(last=False)
        self._usual_server = median(self._server_factors.values())


class ServerFactor:
    """Own a server's factor of a common pace."""

    def __init__(self, common: CommonPace) -> None:
        self._common = common
        self._number = common.new_number()
        self._measured: deque[Measurement] = deque(maxlen=SERVER_WINDOW)
        # Set by a statement, until runs show otherwise.
        self._prior = 0.0
        self._factor = 0.0
        self._compared = 0

    @property
    def factor(self) -> float:
        """Return the logarithm of the server's time in relation to the others'."""
        if self._common.measurements - self._compared >= COMPARE_AFTER:
            self._compare()
        return self._factor

    def _compare(self) -> None:
        """Compare all measurements anew, as the common pace may have changed."""
        self._compared = self._common.measurements
        own = [
            measured.value - self._common.expected(*measured.keys)
            for measured in self._measured
        ]
        self._factor = shrunk_median(own, prior=self._prior)
        self._common.note_server_factor(self._number, self._factor)

    def time_s(self, *keys: str) -> float:
        """Return the time that the server takes."""
        return math.exp(self._common.expected(*keys) + self.factor)

    def add(self, time_s: float, *keys: str) -> None:
        """Learn from a measurement."""
        measurement = Measurement(math.log(time_s), self._number, keys)
        self._measured.append(measurement)
        self._common.add(measurement)
        self._compare()

    def state(self, time_s: float) -> None:
        """Set the time that the server takes until runs show otherwise."""
        self._prior = math.log(time_s) - self._common.expected()
        self._compare()


def _new_prefill() -> CommonPace:
    return CommonPace(prior_s=1.0 / PRIOR_PREFILL_TOKENS_PER_S)


def _new_event_gap() -> CommonPace:
    return CommonPace(prior_s=PRIOR_EVENT_GAP_S)


@dataclass(slots=True, kw_only=True)
class CommonPaces:
    """Own what servers have in common: prefill of a token, gap between events."""

    prefill: CommonPace = field(default_factory=_new_prefill)
    event_gap: CommonPace = field(default_factory=_new_event_gap)


class ServerPace:
    """Own the learned pace of one instance of a server.

    Without runs of its own it has the pace of the others, which share `common`.
    """

    def __init__(
        self,
        *,
        common: CommonPaces | None = None,
        prefill_tokens_per_s: float | None = None,
    ) -> None:
        self.common = common or CommonPaces()
        self._prefill = ServerFactor(self.common.prefill)
        self._event_gap = ServerFactor(self.common.event_gap)
        self.slowdown = 1.0
        self.slowdown_stated_s = -math.inf
        # Slowdowns stated in different periods, and the usual one.
        self._stated: deque[float] = deque(maxlen=SERVER_WINDOW)
        self.usual_slowdown = 1.0
        self._sampled_s = -math.inf
        if prefill_tokens_per_s is not None:
            self.prefill_tokens_per_s = prefill_tokens_per_s

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the rate at which it prefills prompts of any model."""
        return 1.0 / self._prefill.time_s()

    @prefill_tokens_per_s.setter
    def prefill_tokens_per_s(self, rate: float) -> None:
        self._prefill.state(1.0 / rate)

    def note_prefill(
        self, tokens: int, took_s: float, *, model: str = "", slowdown: float = 1.0
    ) -> None:
        """Learn from a prompt that was prefilled in a known time."""
        if tokens < MIN_LEARNED_TOKENS or took_s <= 0:
            return
        self._prefill.add(took_s / tokens / slowdown, *_prefill_keys(model, tokens))

    def note_event_gap(self, gap_s: float, *, model: str = "") -> None:
        """Learn from the mean time between the events of a run."""
        if gap_s > 0:
            self._event_gap.add(gap_s, _model_key(model))

    def event_gap_s(self, *, model: str = "") -> float:
        """Return the expected time between two events of a run."""
        return self._event_gap.time_s(_model_key(model))

    def note_slowdown(self, slowdown: float, *, now_s: float) -> None:
        """Record how long work takes at the server's machine, 1.0 as usual.

        `now_s` is when the server stated it; statements may arrive out of order.
        """
        if slowdown <= 0 or now_s < self.slowdown_stated_s:
            return
        self.slowdown = slowdown
        self.slowdown_stated_s = now_s
        if now_s - self._sampled_s >= SLOWDOWN_LASTS_S:
            self._sampled_s = now_s
            self._stated.append(slowdown)
            self.usual_slowdown = shrunk_median(self._stated, prior=1.0)

    def current_slowdown(self, now_s: float) -> float:
        """Return the slowdown, the usual one once it was stated too long ago."""
        recent = now_s - self.slowdown_stated_s < SLOWDOWN_LASTS_S
        return self.slowdown if recent else self.usual_slowdown

    def prefill_s(self, tokens: int, *, now_s: float, model: str = "") -> float:
        """Return how long the server takes to prefill so many tokens now."""
        if tokens <= 0:
            return 0.0
        token_s = self._prefill.time_s(*_prefill_keys(model, tokens))
        return self.slowed_s(tokens * token_s, now_s=now_s)

    def slowed_s(self, work_s: float, *, now_s: float) -> float:
        """Return how long work takes that would take `work_s` at full speed."""
        slowdown = self.current_slowdown(now_s)
        lasts_s = max(0.0, self.slowdown_stated_s + SLOWDOWN_LASTS_S - now_s)
        if work_s * slowdown <= lasts_s:
            return work_s * slowdown
        # The rest is done after the slowdown has ended.
        return lasts_s + (work_s - lasts_s / slowdown) * self.usual_slowdown


def _model_key(model: str) -> str:
    return f"model {model}"


def _prefill_keys(model: str, tokens: int) -> tuple[str, str]:
    return _model_key(model), f"length {tokens.bit_length()}"
