"""The version and age of the configuration that an entry VM applies."""

from dataclasses import dataclass
from typing import Any

from rosepath.peer_messages import NEVER_S


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationView:
    """The configuration in force at one moment, and how current it was.

    Changes made within the last `age_s` may be missing. `behind` is set if a
    newer revision was known to exist. Version 0 means no configuration.
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
