"""Estimate how many requests an engine serves late for a given workload.

The functions have no side effects. An engine interleaves prefill with decoding
for all running requests, so a burst of prompts pauses every stream; the more
requests are running, the fewer slots are left for new ones.
"""

import math
from dataclasses import dataclass

# Mean squared prompt length divided by the squared mean: lengths scatter about
# as widely as their mean.
PROMPT_LENGTH_DISPERSION = 2.0
# Share of the longest acceptable pause available for prefill; the rest is
# spent on the decoding steps that produce the next event.
PREFILL_SHARE_OF_PAUSE = 0.8
# Decoding continues between the chunks of a prompt, so an engine spends at
# most this share of its time on prefill.
MAX_PREFILL_SHARE = 0.9
# Share of slots in use from which random peaks occasionally fill an engine,
# and share at which all its requests queue.
SLOTS_QUEUEING_FROM = 0.7
SLOTS_QUEUEING_ALL = 1.1
# Share of late requests that random bursts cause on a well-used engine. Adding
# replicas to avoid these would split the cached shared prefixes, which are
# then prefilled again: with long prompts this made more requests late than it
# saved.
TOLERATED_LATE_SHARE = 0.25
# Below this shape the probability of a burst is less than a float can
# represent; even smaller shapes round to zero and cause a division by zero.
MIN_GAMMA_SHAPE = 1e-6
# Upper bound of the late share up to full load.
MAX_LATE_SHARE = 1.5
# What a lost request counts beyond a late one. Above full load an engine serves
# what it has the capacity for, late, and the rest is lost.
LOST_REQUEST_WEIGHT = 1.0
# Late requests per second for each adapter in excess of the adapter slots.
LATE_PER_S_PER_EXCESS_ADAPTER = 0.4


@dataclass(frozen=True, slots=True, kw_only=True)
class Workload:
    """Describe the load per second on an engine or for a model.

    `prefill_share` is the share of an engine's time spent on prefill,
    `running` the number of requests in progress, `adapters` the number of
    requested adapters.
    """

    prefill_share: float = 0.0
    requests_per_s: float = 0.0
    running: float = 0.0
    adapters: float = 0.0

    def plus(self, other: "Workload", *, times: float = 1.0) -> "Workload":
        """Return the sum of this workload and a multiple of another."""
        return Workload(
            prefill_share=max(0.0, self.prefill_share + times * other.prefill_share),
            requests_per_s=max(0.0, self.requests_per_s + times * other.requests_per_s),
            running=max(0.0, self.running + times * other.running),
            adapters=max(0.0, self.adapters + times * other.adapters),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineLimits:
    """Hold the capacity of an engine and the latency targets of its callers.

    `first_s` is the longest acceptable time to the first token, `gap_s` the
    longest acceptable pause after it.
    """

    slots: int
    adapter_slots: int
    first_s: float
    gap_s: float


def late_per_s(workload: Workload, limits: EngineLimits) -> float:
    """Return the number of requests per second that an engine serves late."""
    excess_adapters = max(0.0, workload.adapters - limits.adapter_slots)
    late = 0.0
    filled = workload.running / limits.slots
    load = max(workload.prefill_share / MAX_PREFILL_SHARE, filled / SLOTS_QUEUEING_ALL)
    if workload.requests_per_s > 0 and load > 1.0:
        # Falls with each part of the workload that moves to another engine, so
        # that a model in demand at several times an engine's capacity gets more
        # replicas one by one.
        late = MAX_LATE_SHARE + LOST_REQUEST_WEIGHT * (1.0 - 1.0 / load)
    elif workload.requests_per_s > 0:
        in_time = 1.0 - stalled_stream_share(workload, limits)
        queueing = max(
            0.0,
            (filled - SLOTS_QUEUEING_FROM) / (SLOTS_QUEUEING_ALL - SLOTS_QUEUEING_FROM),
        )
        late = 1.0 - in_time + queueing + in_time * late_prefill_share(workload, limits)
        late = max(0.0, late - TOLERATED_LATE_SHARE) / (1.0 - TOLERATED_LATE_SHARE)
        late = min(MAX_LATE_SHARE, late)
    return (
        workload.requests_per_s * late + LATE_PER_S_PER_EXCESS_ADAPTER * excess_adapters
    )


def late_prefill_share(workload: Workload, limits: EngineLimits) -> float:
    """Return the share of requests that wait too long for prefill.

    This uses the waiting time of a queue with exponential service times. The
    result is 1 or more if the queue grows without bound.
    """
    busy = workload.prefill_share / MAX_PREFILL_SHARE
    if busy >= 1.0 or workload.requests_per_s <= 0:
        return busy
    mean_read_s = workload.prefill_share / workload.requests_per_s
    if mean_read_s <= 0:
        return 0.0
    return busy * math.exp(-limits.first_s * (1.0 - busy) / mean_read_s)


def stalled_stream_share(workload: Workload, limits: EngineLimits) -> float:
    """Return the share of streams that a burst of prompts pauses for too long.

    The prefill work that arrives within the longest acceptable pause is the
    sum of a random number of prompts, approximately gamma distributed. A
    stream spans as many such windows as fit into its duration, and each may
    contain a burst.
    """
    shape = workload.requests_per_s * limits.gap_s / PROMPT_LENGTH_DISPERSION
    if workload.prefill_share <= 0 or shape < MIN_GAMMA_SHAPE:
        return 0.0
    risk = _gamma_tail(PREFILL_SHARE_OF_PAUSE / workload.prefill_share, shape)
    mean_duration_s = workload.running / workload.requests_per_s
    windows = max(1.0, mean_duration_s / limits.gap_s)
    return 1.0 - (1.0 - risk) ** windows


def _gamma_tail(times_mean: float, shape: float) -> float:
    """Return the probability of a gamma variable above a multiple of its mean.

    The Wilson-Hilferty approximation treats its cube root as normal.
    """
    spread = 1.0 / (9.0 * shape)
    deviations = (times_mean ** (1 / 3) - (1.0 - spread)) / math.sqrt(spread)
    return 0.5 * math.erfc(deviations / math.sqrt(2.0))
