"""Check that a stream's chunks belong to one request, in order, to the end.

An engine's event carries the id `REQUEST/FROM-TO` in its first line, counted
in tokens, and the closing events `REQUEST/AT-end`. The events pass on as they
came; only the ids are looked at.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

_SEPARATOR = b"\n\n"
_DONE = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 1 << 20


class Dropped(StrEnum):
    """Say why an event was not passed on."""

    OTHER_REQUEST = "other_request"
    DUPLICATE = "duplicate"
    GAP = "gap"
    UNREADABLE = "unreadable"


class StreamBrokenError(Exception):
    """The stream can't go on: something is missing or unreadable."""


@dataclass(slots=True)
class StreamChecker:
    """Hold how far a request's stream has come, over all its attempts."""

    request_id: str
    offset: int = 0
    complete: bool = False
    dropped: dict[Dropped, int] = field(default_factory=dict)
    _pending: bytes = b""
    _prefix: bytes = b""

    def __post_init__(self) -> None:
        self._prefix = f"id: {self.request_id}/".encode()

    def restart(self) -> None:
        """Forget an unfinished event of the attempt that broke."""
        self._pending = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes of the stream; return the events to pass on."""
        if self.complete:
            self._drop(Dropped.DUPLICATE)
            return b""
        self._pending += data
        passed = b"".join(self._take_events())
        if len(self._pending) > MAX_EVENT_BYTES:
            raise StreamBrokenError("an event is too large")
        return passed

    def _take_events(self) -> Iterator[bytes]:
        while (at := self._pending.find(_SEPARATOR)) >= 0:
            event = self._pending[: at + 2]
            if event.startswith(self._prefix) and self._is_end(event):
                closing = self._take_closing()
                if closing is None:
                    return
                yield closing
                return
            self._pending = self._pending[at + 2 :]
            if self._accept(event):
                yield event

    def _is_end(self, event: bytes) -> bool:
        return event[: event.find(b"\n")].endswith(b"-end")

    def _take_closing(self) -> bytes | None:
        """Take the closing events once all are there; they pass as one."""
        at = self._pending.find(_DONE)
        if at < 0:
            return None
        closing = self._pending[: at + len(_DONE)]
        self._pending = self._pending[at + len(_DONE) :]
        line = closing[len(self._prefix) : closing.find(b"\n")]
        if not line[:-4].isdigit() or int(line[:-4]) != self.offset:
            self._drop(Dropped.GAP)
            raise StreamBrokenError("the end does not follow the last token")
        self.complete = True
        return closing

    def _accept(self, event: bytes) -> bool:
        line = event[: event.find(b"\n")]
        if not line.startswith(self._prefix):
            self._drop(Dropped.OTHER_REQUEST)
            return False
        start, separator, end = line[len(self._prefix) :].partition(b"-")
        if not (separator and start.isdigit() and end.isdigit()):
            self._drop(Dropped.UNREADABLE)
            return False
        if int(start) == self.offset and int(end) > self.offset:
            self.offset = int(end)
            return True
        if int(start) < self.offset:
            self._drop(Dropped.DUPLICATE)
            return False
        self._drop(Dropped.GAP)
        raise StreamBrokenError(f"tokens {self.offset} to {int(start)} are missing")

    def _drop(self, reason: Dropped) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
