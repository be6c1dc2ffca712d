"""Check that a stream delivers each event to its caller once and in order."""

from dataclasses import dataclass

_SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1 << 20


class EventSequenceError(Exception):
    """An event is missing or too large; the attempt cannot continue."""


@dataclass(slots=True)
class EventSequence:
    """Hold the position of a caller's stream across its attempts."""

    last_id: int | None = None
    event_count: int = 0
    _pending: bytes = b""
    # The position before the latest data.
    _before: tuple[int | None, int] = (None, 0)

    def reject_latest(self) -> None:
        """Return to the position before the latest data, which is not passed on."""
        self.last_id, self.event_count = self._before
        self._pending = b""

    def discard_partial_event(self) -> None:
        """Drop the partial event of an attempt that was interrupted."""
        self._pending = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether the data received so far ends within an event."""
        return bool(self._pending.strip())

    def feed(self, data: bytes) -> bytes:
        """Take the bytes of an attempt; return the complete new events."""
        self._before = self.last_id, self.event_count
        whole, separator, self._pending = (self._pending + data).rpartition(_SEPARATOR)
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventSequenceError("an event is too large")
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
            # A resumed attempt may begin before the requested event.
            return False
        if self.last_id is not None and event_id != self.last_id + 1:
            raise EventSequenceError(f"events {self.last_id + 1} to {event_id} missing")
        self.last_id = event_id
        self.event_count += 1
        return True


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
