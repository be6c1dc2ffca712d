"""How current the configuration is that an entry VM goes by."""

from dataclasses import dataclass
from typing import Any

from rosepath.peer_messages import NEVER_S


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationView:
    """Hold a version, and what its VM knew of newer ones at that moment.

    Changes of the last `age_s` may have gone unnoticed; `behind` tells that a newer
    revision was known to exist. Version 0 stands for none.
    """

    version: int = 0
    age_s: float = NEVER_S
    behind: bool = False

    @property
    def log_fields(self) -> dict[str, Any]:
        """Return the fields of a log line."""
        return {
            "configuration": self.version,
            "configuration_age_s": round(min(self.age_s, NEVER_S), 3),
            "configuration_behind": self.behind,
        }


UNKNOWN_CONFIGURATION = ConfigurationView()
