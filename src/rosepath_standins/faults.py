"""Faults of a simulated component, armed by tests with an admin request."""

import json
from typing import Any

from tornado.web import RequestHandler


class Faults:
    """Hold the armed faults, each with its value and remaining count."""

    def __init__(self) -> None:
        self._armed: dict[str, tuple[int, float]] = {}

    def arm(self, name: str, *, count: int, value: float) -> None:
        """Arm a fault that triggers `count` times.

        A count of 0 disarms it; with a count of -1 it stays armed.
        """
        if count == 0:
            self._armed.pop(name, None)
        else:
            self._armed[name] = (count, value)

    def take(self, name: str) -> float | None:
        """Trigger a fault: return its value and decrement its count.

        Return None if it is not armed.
        """
        if name not in self._armed:
            return None
        count, value = self._armed[name]
        if count > 0:
            self.arm(name, count=count - 1, value=value)
        return value

    def active(self, name: str) -> bool:
        """Return whether a fault is armed, without triggering it."""
        return name in self._armed


class FaultsHandler(RequestHandler):
    """Arm a fault given as `{"name": ..., "count": 1, "value": 0}`."""

    def initialize(self, faults: Faults) -> None:
        self.faults = faults

    def post(self) -> None:
        raw: dict[str, Any] = json.loads(self.request.body)
        self.faults.arm(
            str(raw["name"]),
            count=int(raw.get("count", 1)),
            value=float(raw.get("value", 0)),
        )
        self.write({"armed": raw["name"]})
