"""Seeded daily demand: tenfold bursts within an hour, low demand at night."""

import math
import random
from dataclasses import dataclass

DAY_S = 86_400


@dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentShape:
    """Describe the properties of a deployment that placement depends on."""

    name: str
    models: int
    adapters: int
    engines: int
    slots: int
    engine_bytes: int
    loads_per_s: float
    parallel_loads: int
    load_s: float
    hold_s: float
    busy_share: float
    day_hours: tuple[int, int]
    night_share: float
    quiet_hours: tuple[int, int] | None


MAHKAMA = DeploymentShape(
    name="Mahkama",
    models=13,
    adapters=60,
    engines=5,
    slots=32,
    engine_bytes=80_000,
    loads_per_s=1.0,
    parallel_loads=4,
    load_s=30.0,
    hold_s=4.0,
    busy_share=0.6,
    day_hours=(8, 17),
    night_share=0.15,
    quiet_hours=None,
)
ZAGORKA = DeploymentShape(
    name="Zagorka",
    models=20,
    adapters=70,
    engines=6,
    slots=32,
    engine_bytes=80_000,
    loads_per_s=1.5,
    parallel_loads=2,
    load_s=30.0,
    hold_s=4.0,
    busy_share=0.6,
    day_hours=(7, 19),
    night_share=0.1,
    quiet_hours=(20, 6),
)


@dataclass(frozen=True, slots=True)
class Burst:
    """Raise one model's demand by a factor for a limited time."""

    start_s: float
    length_s: float
    factor: float

    def factor_at(self, now_s: float) -> float:
        """Return the factor; it ramps over the first and last sixth."""
        progress = (now_s - self.start_s) / self.length_s
        if not 0 <= progress <= 1:
            return 1.0
        return 1.0 + (self.factor - 1.0) * min(1.0, 6 * progress, 6 * (1 - progress))


class Day:
    """Arrival rates of every model over one seeded day."""

    def __init__(self, shape: DeploymentShape, seed: int) -> None:
        rng = random.Random(seed)
        self.shape = shape
        self.models = [f"m{n:02d}" for n in range(shape.models)]
        weights = [1.0 / (rank + 1) ** 0.8 for rank in range(shape.models)]
        rng.shuffle(weights)
        capacity = shape.engines * shape.slots / shape.hold_s
        total = sum(weights)
        self._base = {
            model: capacity * shape.busy_share * weight / total / 1.6
            for model, weight in zip(self.models, weights, strict=True)
        }
        self._bursts = {
            model: [
                Burst(rng.uniform(0, DAY_S), rng.uniform(1800, 7200), 10.0)
                for _ in range(rng.choice((1, 2, 2, 3)))
            ]
            for model in self.models
        }

    def rate_per_s(self, model: str, now_s: float) -> float:
        """Return a model's arrivals per second at a time of the day."""
        hour = now_s / 3600 % 24
        start, end = self.shape.day_hours
        middle, half = (start + end) / 2, (end - start) / 2
        bell = math.exp(-(((hour - middle) / half) ** 4))
        night = self.shape.night_share
        factor = max(burst.factor_at(now_s) for burst in self._bursts[model])
        return self._base[model] * (night + (1 - night) * bell) * factor
