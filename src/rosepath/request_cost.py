"""Predict what a request costs from runs that ended; no I/O."""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property
from itertools import accumulate
from operator import mul

from rosepath.assignment import AssignmentRequest

BUCKETS_PER_OCTAVE = 4
# Runs after which a sample counts e times less: enough for a high quantile, and
# few enough to follow a shift of demand within seconds.
MEMORY_RUNS = 50
# So many runs of a key weigh as much as the level above it.
PRIOR_RUNS = 5.0
# Keys remembered; the least recently used are dropped.
MAX_KEYS = 2_000
# The quantile that stands for a long run.
HIGH_QUANTILE = 0.9
# Weights are divided by their unit before they lose precision.
MAX_UNIT = 1e9
# A run that is longer than all others is expected to go on for this share.
TAIL_SHARE = 0.5
# Fewer runs than this share are taken for none.
NEGLIGIBLE_SHARE = 1e-6


class Scale:
    """Divide the range from `lowest` to `highest` into log-spaced buckets.

    Values up to `expected` are taken for equally likely until runs have ended.
    """

    def __init__(self, *, lowest: float, expected: float, highest: float) -> None:
        self.lowest = lowest
        self.expected = expected
        octaves = math.log2(highest / lowest)
        buckets = math.ceil(octaves * BUCKETS_PER_OCTAVE) + 1
        # The value that stands for each bucket.
        self.values = tuple(
            lowest * 2 ** (bucket / BUCKETS_PER_OCTAVE) for bucket in range(buckets)
        )

    def bucket(self, value: float) -> int:
        """Return the bucket of a value; the outermost take what is beyond."""
        if value <= self.lowest:
            return 0
        bucket = round(math.log2(value / self.lowest) * BUCKETS_PER_OCTAVE)
        return min(bucket, len(self.values) - 1)


OUTPUT_EVENTS = Scale(lowest=1.0, expected=512.0, highest=16_384.0)
RUN_TIME_S = Scale(lowest=0.001, expected=4.0, highest=128.0)


class Distribution:
    """Hold the predicted distribution of a cost.

    `shares` has the share of the runs for each bucket of the scale.
    """

    def __init__(
        self, scale: Scale, shares: Sequence[float], *, limit: float = math.inf
    ) -> None:
        self._scale = scale
        self._shares = shares
        self._limit = limit

    @cached_property
    def _above(self) -> list[float]:
        """Return the share of runs in each bucket and those after it."""
        return list(accumulate(reversed(self._shares), initial=0.0))[::-1]

    @cached_property
    def _sum_above(self) -> list[float]:
        """Return the costs of these runs, added up."""
        costs = map(mul, reversed(self._shares), reversed(self._scale.values))
        return list(accumulate(costs, initial=0.0))[::-1]

    @cached_property
    def mean(self) -> float:
        return min(self._sum_above[0] / self._above[0], self._limit)

    @property
    def median(self) -> float:
        return self.quantile(0.5)

    @property
    def high(self) -> float:
        return self.quantile(HIGH_QUANTILE)

    def quantile(self, share: float) -> float:
        """Return the value that this share of the runs doesn't exceed."""
        beyond = (1.0 - share) * self._above[0]
        last = len(self._shares) - 1
        bucket = next((n for n in range(last) if self._above[n + 1] <= beyond), last)
        return min(self._scale.values[bucket], self._limit)

    def left(self, done: float) -> float:
        """Return the expected rest of a run that has come so far."""
        bucket = self._scale.bucket(done) + 1 if done > 0 else 0
        if self._above[bucket] > NEGLIGIBLE_SHARE:
            left = self._sum_above[bucket] / self._above[bucket] - done
        else:
            left = TAIL_SHARE * done
        return max(0.0, min(left, self._limit - done))


class DecayedHistogram:
    """Own the costs of recent runs; earlier ones count less and less."""

    __slots__ = ("_total", "_unit", "_weights")

    def __init__(self, buckets: int) -> None:
        self._weights = [0.0] * buckets
        self._total = 0.0
        # The weight of the next run; it grows, so that others needn't shrink.
        self._unit = 1.0

    def add(self, bucket: int) -> None:
        """Add a run."""
        self._unit /= 1.0 - 1.0 / MEMORY_RUNS
        if self._unit > MAX_UNIT:
            self._weights = [weight / self._unit for weight in self._weights]
            self._total /= self._unit
            self._unit = 1.0
        self._weights[bucket] += self._unit
        self._total += self._unit

    def blend(self, prior: Sequence[float], *, prior_runs: float) -> list[float]:
        """Return the share of each bucket, if the prior counts as so many runs."""
        prior_weight = prior_runs * self._unit
        total = self._total + prior_weight
        return [
            (own + prior_weight * share) / total
            for own, share in zip(self._weights, prior, strict=True)
        ]


class CostTable:
    """Own the distributions of one cost by key, each the prior of the next."""

    def __init__(self, scale: Scale) -> None:
        self._scale = scale
        self._histograms: OrderedDict[tuple[str, ...], DecayedHistogram] = OrderedDict()

    def __len__(self) -> int:
        return len(self._histograms)

    def record(self, keys: Sequence[tuple[str, ...]], value: float) -> None:
        """Learn from a run; `keys` go from the widest to the narrowest."""
        bucket = self._scale.bucket(value)
        # The widest is marked as used last, so that it outlives the narrower.
        for key in reversed(keys):
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = DecayedHistogram(len(self._scale.values))
                self._histograms[key] = histogram
            histogram.add(bucket)
            self._histograms.move_to_end(key)
        while len(self._histograms) > MAX_KEYS:
            self._histograms.popitem(last=False)

    def predict(
        self, keys: Sequence[tuple[str, ...]], *, limit: float = math.inf
    ) -> Distribution:
        """Return the distribution for the narrowest key."""
        expected = limit if limit < math.inf else self._scale.expected
        buckets = self._scale.bucket(expected) + 1
        shares = [1.0 / buckets] * buckets
        shares += [0.0] * (len(self._scale.values) - buckets)
        for key in keys:
            histogram = self._histograms.get(key)
            if histogram is not None:
                shares = histogram.blend(shares, prior_runs=PRIOR_RUNS)
        return Distribution(self._scale, shares, limit=limit)


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestCost:
    """Hold what a request is predicted to cost.

    `events` are those of its output; `run_time_s` is the time from its sending to
    its end, which stands for the work at a plain service.
    """

    events: Distribution
    run_time_s: Distribution


class RequestCosts:
    """Own what requests cost lately, by service, route and model."""

    def __init__(self) -> None:
        self._events = CostTable(OUTPUT_EVENTS)
        self._run_time_s = CostTable(RUN_TIME_S)

    def predict(self, request: AssignmentRequest) -> RequestCost:
        """Return what a request is predicted to cost."""
        keys = cost_keys(request)
        prompt = request.prompt
        limit = prompt.output_tokens if prompt is not None else 0
        return RequestCost(
            events=self._events.predict(keys, limit=limit or math.inf),
            run_time_s=self._run_time_s.predict(keys),
        )

    def record(
        self,
        request: AssignmentRequest,
        *,
        events: int | None = None,
        ran_s: float | None = None,
    ) -> None:
        """Learn from a run that was completed, as far as it was reported."""
        keys = cost_keys(request)
        if events is not None and events > 0:
            self._events.record(keys, events)
        if ran_s is not None and ran_s > 0:
            self._run_time_s.record(keys, ran_s)


def cost_keys(request: AssignmentRequest) -> list[tuple[str, ...]]:
    """Return the keys that a request is learned by, the widest first."""
    prompt = request.prompt
    route = (request.service, request.route, str(request.priority))
    keys: list[tuple[str, ...]] = [(request.service,), route]
    if prompt is not None:
        octave = str(prompt.output_tokens.bit_length())
        keys.append((*route, prompt.model, octave))
    return keys
