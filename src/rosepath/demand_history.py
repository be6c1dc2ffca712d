"""Demand that accumulates from one plan to the next."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from rosepath.demand import ModelDemand

# After a longer gap between two plans the counts restart, as another VM held
# the placement lease in the meantime.
MAX_UPDATE_GAP_S = 2.0


@dataclass(slots=True, kw_only=True)
class DemandHistory:
    """Count the unserved requests for models that no engine holds.

    The count of a model grows with each request that can't be served, so that
    loading it eventually outweighs any other use of the memory, however long
    the load takes.
    """

    unserved_requests: dict[str, float] = field(default_factory=dict)
    _updated_s: float | None = None

    def update(
        self,
        demands: Mapping[str, ModelDemand],
        *,
        resident_models: Collection[str],
        now_s: float,
    ) -> None:
        """Update the counts from the demand and the models with a replica."""
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        self._updated_s = now_s
        if elapsed_s > MAX_UPDATE_GAP_S:
            self.unserved_requests.clear()
            return
        for model in list(self.unserved_requests):
            if model in resident_models:
                del self.unserved_requests[model]
        for model, demand in demands.items():
            if model not in resident_models:
                more = demand.requests_per_s * elapsed_s
                self.unserved_requests[model] = (
                    self.unserved_requests.get(model, 0.0) + more
                )
