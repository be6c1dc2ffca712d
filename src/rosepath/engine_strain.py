"""How many requests an engine makes late, by what is asked of it.

Pure. An engine reads prompts between the tokens that it writes for all running
requests, so a burst of prompts is a pause in every stream; the more requests
run, the fewer slots are left for those that come.
"""

import math
from dataclasses import dataclass

# Lengths of prompts scatter about as widely as their mean: the square of a
# length is twice the square of the mean length.
READ_SPREAD = 2.0
# Of a pause that is still good, this much may be spent reading; the rest goes
# into the steps that write the next event.
READ_SHARE_OF_PAUSE = 0.8
# Steps that write go on between the pieces of a prompt, so that no engine reads
# for more than this share of its time.
READ_CAPACITY = 0.9
# From this share of its slots in use, chance fills an engine now and then, and
# at the second one its requests queue.
SLOTS_EASED = 0.7
SLOTS_FULL = 1.1
# Chance makes so many late on an engine that is well used. To spread its models
# for these splits what engines keep of shared prompts, which are then read
# again: where prompts are long, that made more late than it spared.
LATE_BORNE = 0.25
# So few prompts come within a pause that the chance of a burst is below what a
# float holds; smaller figures still would round to nothing and divide by it.
SHAPE_MIN = 1e-6
# Beyond that the queue grows, and with it what is lost; up to this.
LATE_MAX = 1.5
# Requests a second that wait too long for each adapter beyond the places.
CROWDED_OUT_PER_S = 0.4


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """Hold what is asked of an engine, or of a model, in every second.

    `read` is the share of an engine's time that it takes to read the prompts,
    `running` the requests in progress, `adapters` those asked for.
    """

    read: float = 0.0
    asked_per_s: float = 0.0
    running: float = 0.0
    adapters: float = 0.0

    def plus(self, other: "Work", *, times: float = 1.0) -> "Work":
        """Return this work and so many times another."""
        return Work(
            read=max(0.0, self.read + times * other.read),
            asked_per_s=max(0.0, self.asked_per_s + times * other.asked_per_s),
            running=max(0.0, self.running + times * other.running),
            adapters=max(0.0, self.adapters + times * other.adapters),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineLimits:
    """Hold what an engine offers, and what its callers find good.

    `first_s` is the longest good wait for a first token, `gap_s` the longest
    good pause after it.
    """

    slots: int
    adapter_slots: int
    first_s: float
    gap_s: float


def late_per_s(work: Work, limits: EngineLimits) -> float:
    """Return the requests a second that an engine makes late."""
    crowded_out = max(0.0, work.adapters - limits.adapter_slots)
    late = 0.0
    if work.asked_per_s > 0:
        in_time = 1.0 - paused_share(work, limits)
        filled = work.running / limits.slots
        crowded = max(0.0, (filled - SLOTS_EASED) / (SLOTS_FULL - SLOTS_EASED))
        late = 1.0 - in_time + crowded + in_time * waiting_share(work, limits)
        late = max(0.0, late - LATE_BORNE) / (1.0 - LATE_BORNE)
        late = min(LATE_MAX, late)
    return work.asked_per_s * late + CROWDED_OUT_PER_S * crowded_out


def waiting_share(work: Work, limits: EngineLimits) -> float:
    """Return the share of requests whose prompts wait too long to be read.

    As in a queue with exponential service; more than 1 if it only grows.
    """
    busy = work.read / READ_CAPACITY
    if busy >= 1.0 or work.asked_per_s <= 0:
        return busy
    mean_read_s = work.read / work.asked_per_s
    if mean_read_s <= 0:
        return 0.0
    return busy * math.exp(-limits.first_s * (1.0 - busy) / mean_read_s)


def paused_share(work: Work, limits: EngineLimits) -> float:
    """Return the share of streams in which a burst of prompts is a late pause.

    What is read within the length of a pause is a sum of so many prompts as
    come by chance, about gamma distributed. A stream meets as many such
    windows as fit into its life; each may be the bad one.
    """
    shape = work.asked_per_s * limits.gap_s / READ_SPREAD
    if work.read <= 0 or shape < SHAPE_MIN:
        return 0.0
    risk = _gamma_tail(READ_SHARE_OF_PAUSE / work.read, shape)
    life_s = work.running / work.asked_per_s
    windows = max(1.0, life_s / limits.gap_s)
    return 1.0 - (1.0 - risk) ** windows


def _gamma_tail(times_mean: float, shape: float) -> float:
    """Return the chance that a gamma variable exceeds a multiple of its mean.

    By the approximation of Wilson and Hilferty: its cube root is about normal.
    """
    spread = 1.0 / (9.0 * shape)
    deviations = (times_mean ** (1 / 3) - (1.0 - spread)) / math.sqrt(spread)
    return 0.5 * math.erfc(deviations / math.sqrt(2.0))
