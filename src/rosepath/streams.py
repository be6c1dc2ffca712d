"""Check that a stream's events belong to one request and are complete.

The first line of an engine's event has the id `REQUEST/FROM-TO`, where FROM
and TO are token offsets; the first of the end events has `REQUEST/AT-end`.
Only the ids are parsed: accepted events are forwarded unchanged.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

_SEPARATOR = b"\n\n"
_DONE = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 1 << 20


class DropReason(StrEnum):
    """Reason why an event was not forwarded."""

    OTHER_REQUEST = "other_request"
    DUPLICATE = "duplicate"
    GAP = "gap"
    UNREADABLE = "unreadable"


class StreamBrokenError(Exception):
    """The stream cannot continue: events are missing or unreadable."""


@dataclass(slots=True)
class StreamChecker:
    """Filter one request's stream, over all its attempts.

    Forwards each token exactly once and in order. `offset` is the number of
    tokens forwarded so far, at which a further attempt resumes.
    """

    request_id: str
    offset: int = 0
    complete: bool = False
    dropped: dict[DropReason, int] = field(default_factory=dict)
    _pending: bytes = b""
    _prefix: bytes = b""

    def __post_init__(self) -> None:
        self._prefix = f"id: {self.request_id}/".encode()

    def discard_partial_event(self) -> None:
        """Discard the partial event that a failed attempt left."""
        self._pending = b""

    def feed(self, data: bytes) -> bytes:
        """Parse received bytes; return the events to forward.

        Raise StreamBrokenError if tokens are missing or an event is too large.
        """
        if self.complete:
            self._drop(DropReason.DUPLICATE)
            return b""
        self._pending += data
        forwarded = b"".join(self._take_events())
        if len(self._pending) > MAX_EVENT_BYTES:
            raise StreamBrokenError("an event is too large")
        return forwarded

    def _take_events(self) -> Iterator[bytes]:
        while (at := self._pending.find(_SEPARATOR)) >= 0:
            event = self._pending[: at + 2]
            if event.startswith(self._prefix) and self._is_end(event):
                end_events = self._take_end()
                if end_events is None:
                    return
                yield end_events
                return
            self._pending = self._pending[at + 2 :]
            if self._accept(event):
                yield event

    def _is_end(self, event: bytes) -> bool:
        return event[: event.find(b"\n")].endswith(b"-end")

    def _take_end(self) -> bytes | None:
        """Return the end events as one block once all have arrived."""
        at = self._pending.find(_DONE)
        if at < 0:
            return None
        end_events = self._pending[: at + len(_DONE)]
        self._pending = self._pending[at + len(_DONE) :]
        line = end_events[len(self._prefix) : end_events.find(b"\n")]
        if not line[:-4].isdigit() or int(line[:-4]) != self.offset:
            self._drop(DropReason.GAP)
            raise StreamBrokenError("the end does not follow the last token")
        self.complete = True
        return end_events

    def _accept(self, event: bytes) -> bool:
        line = event[: event.find(b"\n")]
        if not line.startswith(self._prefix):
            self._drop(DropReason.OTHER_REQUEST)
            return False
        start, separator, end = line[len(self._prefix) :].partition(b"-")
        if not (separator and start.isdigit() and end.isdigit()):
            self._drop(DropReason.UNREADABLE)
            return False
        if int(start) == self.offset and int(end) > self.offset:
            self.offset = int(end)
            return True
        if int(start) < self.offset:
            self._drop(DropReason.DUPLICATE)
            return False
        self._drop(DropReason.GAP)
        raise StreamBrokenError(f"tokens {self.offset} to {int(start)} are missing")

    def _drop(self, reason: DropReason) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
