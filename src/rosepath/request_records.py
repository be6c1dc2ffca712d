"""What is counted and logged of each request that was answered."""

from rosepath.clock import Clock
from rosepath.course import Course
from rosepath.entry_metrics import EntryMetrics
from rosepath.logs import get_logger

_log = get_logger()


class RequestRecords:
    """Write a line and the metrics of each request."""

    def __init__(self, metrics: EntryMetrics, *, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock

    def note(self, course: Course, status: int, code: str) -> None:
        """Count a request that was answered, and log what decided its course."""
        kind = course.route.kind.value
        self._metrics.count("requests", kind=kind, status=str(status), code=code)
        if course.seen:
            self._metrics.count("tries_failed", kind=kind, last=course.seen[-1].value)
        call, arrived_s = course.call, course.call.arrived_s
        first_s = course.first_event_s
        took_s = self._clock.monotonic_s() - arrived_s
        self._metrics.record("request_time", took_s, kind=kind)
        self._metrics.record("queue_wait", course.waited_s, kind=kind)
        if first_s is not None:
            self._metrics.record("first_event", first_s - arrived_s, kind=kind)
        _log.info(
            "request_ended",
            request_id=call.request_id,
            route=course.route.name,
            status=status,
            code=code,
            peer=course.answered_by,
            target=call.prompt.target if call.prompt else "",
            tries=len(course.seen),
            waited_s=round(course.waited_s, 3),
            unread_tokens=course.unread_tokens,
            predicted_s=round(course.predicted_s, 3),
            first_s=round(first_s - arrived_s, 3) if first_s else None,
            took_s=round(took_s, 3),
            target_s=course.route.target_latency_s,
        )
