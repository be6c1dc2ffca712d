"""Faults that a test asks a stand-in for by an admin call."""

import json
from typing import Any

from tornado.web import RequestHandler


class Faults:
    """Hold armed faults: a value, and how many times it still strikes."""

    def __init__(self) -> None:
        self._armed: dict[str, tuple[int, float]] = {}

    def arm(self, name: str, *, count: int, value: float) -> None:
        """Arm a fault for `count` strikes; 0 disarms it, -1 lasts."""
        if count == 0:
            self._armed.pop(name, None)
        else:
            self._armed[name] = (count, value)

    def take(self, name: str) -> float | None:
        """Strike if armed: use up one strike and return the value."""
        if name not in self._armed:
            return None
        count, value = self._armed[name]
        if count > 0:
            self.arm(name, count=count - 1, value=value)
        return value

    def active(self, name: str) -> bool:
        """Tell whether a fault is armed, without using it up."""
        return name in self._armed


class FaultsHandler(RequestHandler):
    """Arm faults: `{"name": ..., "count": 1, "value": 0}`."""

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
