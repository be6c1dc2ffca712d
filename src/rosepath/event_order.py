"""Check that a caller's stream has each event once and in order."""

from dataclasses import dataclass

_SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1 << 20


class EventOrderError(Exception):
    """An event is missing, or cannot be read: the stream can't go on."""


@dataclass(slots=True)
class EventOrder:
    """Hold how far a caller's stream has come, over all its attempts."""

    last_id: int | None = None
    events: int = 0
    _pending: bytes = b""

    def restart(self) -> None:
        """Forget the unfinished event of the attempt that broke."""
        self._pending = b""

    @property
    def unfinished(self) -> bool:
        """Tell whether the stream stands in the middle of an event."""
        return bool(self._pending.strip())

    def feed(self, data: bytes) -> bytes:
        """Take bytes of an attempt; return the whole events to pass on."""
        whole, separator, self._pending = (self._pending + data).rpartition(_SEPARATOR)
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventOrderError("an event is too large")
        if not separator:
            return b""
        passed = [
            event + _SEPARATOR
            for event in whole.split(_SEPARATOR)
            if self._accept(event)
        ]
        return b"".join(passed)

    def _accept(self, event: bytes) -> bool:
        event_id = _event_id(event)
        if event_id is None:
            return True
        if self.last_id is not None and event_id <= self.last_id:
            # A resumed attempt may begin before the point that was asked for.
            return False
        if self.last_id is not None and event_id != self.last_id + 1:
            raise EventOrderError(f"events {self.last_id + 1} to {event_id} missing")
        self.last_id = event_id
        self.events += 1
        return True


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
