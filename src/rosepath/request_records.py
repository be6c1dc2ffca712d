"""Record each finished request in the metrics and the log."""

from typing import Any

from rosepath.clock import Clock
from rosepath.entry_metrics import EntryMetrics
from rosepath.logs import get_logger
from rosepath.request_context import RequestContext

# Further workspaces share one label, as each label is kept for good.
MAX_WORKSPACE_LABELS = 200
OTHER_WORKSPACES = "(others)"

_log = get_logger()


class RequestRecorder:
    """Write the log line and the metrics of each finished request."""

    def __init__(self, metrics: EntryMetrics, *, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._labelled: set[str] = set()

    def record(self, context: RequestContext, status: int, code: str) -> None:
        """Count a finished request and log how it was routed."""
        kind = context.route.kind.value
        self._metrics.count("requests", kind=kind, status=str(status), code=code)
        if context.attempt_evidence:
            self._metrics.count(
                "tries_failed", kind=kind, last=context.attempt_evidence[-1].value
            )
        call, arrived_s = context.call, context.call.arrived_s
        first_s = context.first_event_s
        took_s = self._clock.monotonic_s() - arrived_s
        self._metrics.record("request_time", took_s, kind=kind)
        self._metrics.record("queue_wait", context.waited_s, kind=kind)
        if first_s is not None:
            self._metrics.record("first_event", first_s - arrived_s, kind=kind)
        if call.continues_stream:
            self._metrics.count("streams_taken_up", outcome=code or str(status))
        decision = context.quota_decision
        if decision is not None and context.workspace is not None:
            self._metrics.count(
                "quota_requests",
                workspace=self._workspace_label(context.workspace.name),
                granted=str(decision.granted).lower(),
            )
        _log.info(
            "request_ended",
            request_id=call.request_id,
            route=context.route.name,
            status=status,
            code=code,
            peer=context.responded_by,
            target=call.prompt.target if call.prompt else "",
            tries=len(context.attempt_evidence),
            unread_s=context.exchange.unread_s,
            wait_s=call.wait_s,
            waited_s=round(context.waited_s, 3),
            unread_tokens=context.unread_tokens,
            predicted_s=round(context.predicted_s, 3),
            **_scheduling_fields(context),
            first_s=round(first_s - arrived_s, 3) if first_s else None,
            took_s=round(took_s, 3),
            longest_pause_s=round(context.longest_pause_s, 3),
            gap_s=context.route.target_gap_s,
            target_s=context.route.target_latency_s,
            **_stream_fields(context),
            **_quota_fields(context),
            **context.configuration.log_fields,
        )

    def _workspace_label(self, name: str) -> str:
        """Return the metrics label of a workspace, bounded in number."""
        if name not in self._labelled and len(self._labelled) >= MAX_WORKSPACE_LABELS:
            return OTHER_WORKSPACES
        self._labelled.add(name)
        return name


def _scheduling_fields(context: RequestContext) -> dict[str, Any]:
    """Return the log fields of a request that asked a scheduler."""
    if not context.scheduler:
        return {}
    return {
        "scheduler": context.scheduler,
        "scheduler_wait_s": round(context.scheduler_wait_s, 3),
    }


def _stream_fields(context: RequestContext) -> dict[str, Any]:
    """Return the log fields of a stream: what began it, and what it takes up."""
    if context.event_sequence is None:
        return {}
    fields: dict[str, Any] = {"software_version": context.software_version}
    if context.call.resumed_request_id:
        fields["resumes"] = context.call.resumed_request_id
    return fields


def _quota_fields(context: RequestContext) -> dict[str, Any]:
    """Return the log fields of a request under a quota."""
    workspace = context.workspace
    if workspace is None:
        return {}
    if workspace.quota is None:
        return {"workspace": workspace.name}
    cost = workspace.quota.cost(context.call.tokens)
    return {"workspace": workspace.name, "quota_cost": cost}
