"""What the lease's holder remembers of demand from one plan to the next."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from rosepath.demand import ModelDemand

# A plan that comes later than this after the one before begins anew: the
# lease was elsewhere meanwhile.
MAX_UPDATE_GAP_S = 2.0


@dataclass(slots=True, kw_only=True)
class DemandHistory:
    """Count what is owed to models that are asked for while nobody holds them.

    What a model is owed grows with each request that comes in vain, so that its
    load comes to outweigh any other use of the room, however long it takes.
    """

    owed: dict[str, float] = field(default_factory=dict)
    _updated_s: float | None = None

    def note(
        self,
        demands: Mapping[str, ModelDemand],
        *,
        held: Collection[str],
        now_s: float,
    ) -> None:
        """Take in the demand of this moment, and which models have a copy."""
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        self._updated_s = now_s
        if elapsed_s > MAX_UPDATE_GAP_S:
            self.owed.clear()
            return
        for model in list(self.owed):
            if model in held:
                del self.owed[model]
        for model, demand in demands.items():
            if model not in held:
                more = demand.asked_per_s * elapsed_s
                self.owed[model] = self.owed.get(model, 0.0) + more
