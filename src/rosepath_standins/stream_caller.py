"""Callers of streams that break off and are taken up at other entry VMs."""

import re
from dataclasses import dataclass, field
from typing import NamedTuple

from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool, Request, ResponseHead

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+)\n\n")


class StreamEvent(NamedTuple):
    """Hold the number of an event, and what wrote it."""

    number: int
    request_id: str
    software_version: str


def encode_event(event: StreamEvent) -> bytes:
    """Return an event as a server writes it."""
    text = f"{event.request_id} {event.software_version}"
    return f"id: {event.number}\ndata: {text}\n\n".encode()


def decode_events(data: bytes | bytearray) -> list[StreamEvent]:
    """Return the whole events of a stream."""
    return [
        StreamEvent(int(number), request_id.decode(), version.decode())
        for number, request_id, version in _EVENT.findall(data)
    ]


class _BrokenOffError(Exception):
    """The caller has as many events as it wanted."""


@dataclass(slots=True, kw_only=True)
class StreamAttempt:
    """Hold what one request of a caller brought; status 0 is no response."""

    request_id: str
    status: int = 0
    retry_after_s: float | None = None
    events: list[StreamEvent] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class CallerStream:
    """Own a stream of a caller over all its attempts."""

    path: str
    host: str
    wait_s: float = 4.0
    attempts: list[StreamAttempt] = field(default_factory=list)
    complete: bool = False

    @property
    def events(self) -> list[StreamEvent]:
        return [event for attempt in self.attempts for event in attempt.events]

    @property
    def software_versions(self) -> set[str]:
        """Return the versions that wrote the events of the stream."""
        return {event.software_version for event in self.events}

    async def attempt(
        self,
        pool: HttpPool,
        address: str,
        request_id: str,
        *,
        break_after: int | None = None,
    ) -> StreamAttempt:
        """Begin the stream or take it up; break it off after so many events."""
        attempt = StreamAttempt(request_id=request_id)
        headers = self._headers(request_id)
        self.attempts.append(attempt)
        received = bytearray()

        def on_head(head: ResponseHead) -> None:
            attempt.status = head.status
            stated = head.headers.get("Retry-After")
            attempt.retry_after_s = float(stated) if stated is not None else None

        def on_data(data: bytes) -> None:
            received.extend(data)
            attempt.events = decode_events(received)
            if break_after is not None and len(attempt.events) >= break_after:
                raise _BrokenOffError

        request = Request(
            address=address,
            host=self.host,
            method="POST",
            path=self.path,
            headers=headers,
            body=b"x",
            progress_timeout_s=self.wait_s + 1.0,
        )
        try:
            await pool.exchange(request, on_head=on_head, on_data=on_data)
            self.complete = attempt.status == 200
        except (_BrokenOffError, ExchangeError):
            pass
        return attempt

    def _headers(self, request_id: str) -> dict[str, str]:
        headers = {
            "Request-Id": request_id,
            "Request-Deadline-Ms": f"{self.wait_s * 1000:.0f}",
        }
        began = next((attempt for attempt in self.attempts if attempt.events), None)
        if began is not None:
            headers["Resumes"] = began.request_id
            headers["Last-Event-Id"] = str(self.events[-1].number)
        return headers
