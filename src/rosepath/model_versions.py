"""Remember at which software version each model of a service was last resident."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from rosepath.engine_plan_state import NO_VERSIONS, EngineView

# Callers whose stream broke off wait for a few seconds for it to go on.
STREAM_PATIENCE_S = 5.0


@dataclass(slots=True)
class ModelVersions:
    """Own the version of the engine that had each model last, and when."""

    _last: dict[str, tuple[str, float]] = field(default_factory=dict)

    def update(self, engines: Sequence[EngineView], *, now_s: float) -> None:
        """Record the models that engines have."""
        for engine in engines:
            for model in engine.age_s:
                self._last[model] = engine.software_version, now_s

    def recent(
        self, engines: Sequence[EngineView], *, now_s: float
    ) -> Mapping[str, str]:
        """Return where models were while their streams may still go on.

        While all engines run one version, it makes no difference and none is named.
        """
        if len({engine.software_version for engine in engines}) < 2:
            return NO_VERSIONS
        return {
            model: version
            for model, (version, last_s) in self._last.items()
            if now_s - last_s <= STREAM_PATIENCE_S
        }
