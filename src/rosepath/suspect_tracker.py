"""Decide whether and where requests that may crash servers are sent."""

from collections.abc import Collection
from typing import Any

from rosepath.attempt import AttemptError, ServerResponse
from rosepath.clock import Clock
from rosepath.crash_records import Suspicion
from rosepath.crash_report import Exposure
from rosepath.crash_watch import ACTIVE_WITHIN_S, CrashWatch, LostRun
from rosepath.fleet import BackendServer, InFlightRequest
from rosepath.isolated_runs import ISOLATION_S
from rosepath.logs import get_logger
from rosepath.request_context import RequestContext
from rosepath.retries import Evidence

_log = get_logger()


class SuspectTracker:
    """Look up requests in the crash records and report the outcome of runs.

    The server picker uses it to choose servers, the relay to report outcomes.
    """

    def __init__(self, crashes: CrashWatch, *, clock: Clock) -> None:
        self._crashes = crashes
        self._clock = clock

    def suspicion(self, context: RequestContext) -> Suspicion:
        """Return how a request may be sent, by its content and its parts."""
        if not self._crashes.suspects_any:
            # The request body need not be hashed.
            return Suspicion.CLEAR
        return self._crashes.suspicion(context.content_key, context.part_keys)

    def suspected_key(self, context: RequestContext) -> str:
        """Return the content or part for which a request is suspected.

        A part goes first, as only one run with it may be in progress.
        """
        crashes = self._crashes
        if cause := crashes.records.cause_among(context.part_keys):
            return cause
        suspicion = self.suspicion(context)
        parts = [
            key
            for key in context.part_keys
            if crashes.parts_suspicion((key,)) is suspicion
        ]
        return max(parts, key=crashes.records.open_crashes, default=context.content_key)

    def _isolate(self, context: RequestContext) -> str:
        """Return the key under which a suspect runs, and give up any other."""
        key = self.suspected_key(context)
        if context.isolation_key not in ("", key):
            self._crashes.isolated.end(
                context.isolation_key, request_id=context.call.request_id
            )
        context.isolation_key = key
        return key

    def may_be_sent(self, context: RequestContext) -> bool:
        """Return whether a request is not considered the cause of crashes."""
        return self.suspicion(context) < Suspicion.HELD

    def avoided_servers(
        self, context: RequestContext, servers: Collection[str]
    ) -> frozenset[str] | None:
        """Return which of `servers` a request must avoid; None if it must wait.

        A suspect that has reserved a server must avoid all others.
        """
        suspicion = self.suspicion(context)
        if suspicion is Suspicion.CLEAR:
            return frozenset()
        if suspicion is not Suspicion.SUSPECT:
            return None
        isolated, key = self._crashes.isolated, self._isolate(context)
        request_id, now_s = context.call.request_id, self._clock.monotonic_s()
        if not isolated.may_run(key, request_id=request_id, now_s=now_s):
            return None
        taken = isolated.taken_servers(key, now_s=now_s)
        reserved = isolated.reserved_server(key, request_id=request_id)
        if reserved is None or reserved in taken:
            return taken
        return frozenset(servers) - {reserved}

    def may_send_to(self, context: RequestContext, server: BackendServer) -> bool:
        """Return whether a request may be sent now to the server chosen for it.

        A suspect reserves the server first.
        """
        suspicion = self.suspicion(context)
        if suspicion is not Suspicion.SUSPECT:
            return suspicion is Suspicion.CLEAR
        return self._crashes.reserve(
            self._isolate(context),
            request_id=context.call.request_id,
            server=server.name,
        )

    def start(
        self, context: RequestContext, server: BackendServer, in_flight: InFlightRequest
    ) -> None:
        """Record that a request is sent to a server."""
        in_flight.sent_s = self._clock.monotonic_s()
        in_flight.isolated = self.suspicion(context) is Suspicion.SUSPECT
        if in_flight.isolated:
            key = self._isolate(context)
            _log.info(
                "suspect_sent",
                request_id=context.call.request_id,
                content=context.content_key,
                suspected=key,
                peer=server.name,
                open_crashes=self._crashes.records.open_crashes(key),
            )
            self._crashes.isolated.start(
                key,
                request_id=context.call.request_id,
                server=server.name,
            )

    def note_events(
        self, context: RequestContext, server: BackendServer, in_flight: InFlightRequest
    ) -> None:
        """Record that events arrived, and end the isolation of a long run.

        Isolation ends once more than `ISOLATION_S` have passed since the first
        event from this server.
        """
        now_s = self._clock.monotonic_s()
        in_flight.last_event_s = now_s
        if in_flight.silent:
            in_flight.silent = False
            self._crashes.note_progress(server, context.call.request_id)
        if in_flight.first_event_s is None:
            in_flight.first_event_s = now_s
        elif now_s - in_flight.first_event_s > ISOLATION_S:
            if not in_flight.survived:
                in_flight.survived = True
                self._crashes.note_survived(context.part_keys)
            if in_flight.isolated:
                ended = self._crashes.end_isolation(
                    context.isolation_key, request_id=context.call.request_id
                )
                in_flight.isolated = not ended

    def end(self, context: RequestContext) -> None:
        """Record that a request is no longer at a server."""
        if context.isolation_key:
            self._crashes.isolated.end(
                context.isolation_key, request_id=context.call.request_id
            )

    def clear(
        self,
        context: RequestContext,
        server: BackendServer,
        in_flight: InFlightRequest,
        response: ServerResponse,
    ) -> None:
        """Record a completed run, which clears the request of earlier crashes.

        A response that is delimited only by the end of its connection proves
        nothing: a crash may have truncated it.
        """
        if not response.delimited:
            return
        self._crashes.note_progress(server, context.call.request_id)
        if response.success and not in_flight.survived:
            # Of a long run, only its start shows that its parts were harmless then.
            self._crashes.note_survived(context.part_keys)
        if self._crashes.suspects_any:
            self._crashes.clear(context.content_key)

    async def note_failed(
        self,
        context: RequestContext,
        server: BackendServer,
        in_flight: InFlightRequest,
        error: AttemptError,
    ) -> None:
        """Check for a crash of the server if a run was lost or timed out."""
        if error.evidence is Evidence.NOT_SENT:
            return
        run = self._make_lost_run(context, in_flight, answered=error.answered)
        if error.lost:
            await self._crashes.note_lost(server, run)
        elif error.timed_out and self._crashes.may_become_suspect(run):
            await self._crashes.note_silent(server, run)
        elif error.timed_out:
            self._crashes.note_silent_soon(server, run)

    def note_silent(
        self,
        context: RequestContext,
        server: BackendServer,
        in_flight: InFlightRequest,
        *,
        answered: bool,
    ) -> None:
        """Check for a crash of the server of a run without progress.

        The run stays there, or its caller left; one that had events a moment ago
        makes progress. `answered` tells whether the head of its response arrived.
        """
        if self._clock.monotonic_s() < in_flight.last_event_s + ACTIVE_WITHIN_S:
            return
        in_flight.silent = True
        run = self._make_lost_run(context, in_flight, answered=answered)
        self._crashes.note_silent_soon(server, run)

    def _make_lost_run(
        self, context: RequestContext, in_flight: InFlightRequest, *, answered: bool
    ) -> LostRun:
        now_s = self._clock.monotonic_s()
        ran_long = (
            in_flight.first_event_s is not None
            and now_s - in_flight.first_event_s > ISOLATION_S
        )
        starting = answered and not ran_long
        exposure = Exposure.STARTING if starting else Exposure.PRESENT
        begun = starting or in_flight.isolated
        return LostRun(
            request_id=context.call.request_id,
            content_key=context.content_key,
            exposure=Exposure.ISOLATED if in_flight.isolated else exposure,
            lost_s=now_s,
            sent_s=in_flight.sent_s,
            part_keys=context.part_keys if begun else (),
        )


def lost_run_fields(
    context: RequestContext, server: BackendServer, error: AttemptError
) -> dict[str, Any]:
    """Return the log fields that relate a run without a response to its retries.

    Empty unless the run was lost or timed out.
    """
    if not (error.lost or error.timed_out):
        return {}
    return {
        "content": context.content_key,
        "born_ms": server.entry.born_ms,
        "answered": error.answered,
        "timed_out": error.timed_out,
    }
