"""Send requests on by what is known of those that crash servers."""

from typing import Any

from rosepath.attempt import ServerResponse, AttemptError
from rosepath.clock import Clock
from rosepath.crash_records import Exposure, Suspicion
from rosepath.crash_watch import CrashWatch, LostRun
from rosepath.fleet import BackendServer, InFlightRequest
from rosepath.isolated_runs import ISOLATED_S
from rosepath.request_context import RequestContext
from rosepath.retries import Evidence


class Suspects:
    """Look up requests among the suspects, and note what becomes of their runs."""

    def __init__(self, crashes: CrashWatch, *, clock: Clock) -> None:
        self._crashes = crashes
        self._clock = clock

    def suspicion(self, context: RequestContext) -> Suspicion:
        """Tell how a request may be sent on."""
        records = self._crashes.records
        # Without records, nobody pays for a key of what each request holds.
        return records.suspicion(context.content_key) if records else Suspicion.CLEAR

    def may_be_sent(self, context: RequestContext) -> bool:
        """Tell whether a request does not look like one that crashes its servers."""
        return self.suspicion(context) < Suspicion.HELD

    def avoided_servers(self, context: RequestContext) -> frozenset[str] | None:
        """Return the servers that a request keeps off; None if it must wait."""
        suspicion = self.suspicion(context)
        if suspicion is Suspicion.CLEAR:
            return frozenset()
        if suspicion is not Suspicion.SUSPECT:
            return None
        request_id = context.call.request_id
        if not self._crashes.may_go(context.content_key, request_id=request_id):
            return None
        return self._crashes.isolated.servers(now_s=self._clock.monotonic_s())

    def start(
        self, context: RequestContext, server: BackendServer, flight: InFlightRequest
    ) -> None:
        """Note that a request is sent to a server."""
        flight.isolated = self.suspicion(context) is Suspicion.SUSPECT
        if flight.isolated:
            self._crashes.isolated.start(
                context.content_key,
                request_id=context.call.request_id,
                server=server.name,
            )

    def note_events(self, context: RequestContext, flight: InFlightRequest) -> None:
        """Note that events came; what runs for long need not stay isolated."""
        now_s = self._clock.monotonic_s()
        if flight.begun_s is None:
            flight.begun_s = now_s
        elif flight.isolated and now_s - flight.begun_s > ISOLATED_S:
            over = self._crashes.end_isolation(
                context.content_key, request_id=context.call.request_id
            )
            flight.isolated = not over

    def end(self, context: RequestContext) -> None:
        """Note that a request is at no server any more."""
        if self._crashes.isolated.any_own:
            self._crashes.isolated.end(
                context.content_key, request_id=context.call.request_id
            )

    def clear(self, context: RequestContext, answer: ServerResponse) -> None:
        """Note that a run completed, so that the request crashes no servers.

        An answer that ends with its connection may have been cut by a crash.
        """
        if self._crashes.records and answer.delimited:
            self._crashes.clear(context.content_key)

    async def note_failed(
        self,
        context: RequestContext,
        server: BackendServer,
        flight: InFlightRequest,
        error: AttemptError,
    ) -> None:
        """Find out whether a server crashed, if a run was lost or silent there."""
        if error.evidence is Evidence.NOT_SENT:
            return
        if error.lost:
            run = self._lost_run(context, flight, error)
            await self._crashes.note_lost(server, run)
        elif error.timed_out:
            run = self._lost_run(context, flight, error)
            self._crashes.note_silent(server, run)

    def _lost_run(
        self, context: RequestContext, flight: InFlightRequest, error: AttemptError
    ) -> LostRun:
        now_s = self._clock.monotonic_s()
        ran_long = flight.begun_s is not None and now_s - flight.begun_s > ISOLATED_S
        starting = error.answered and not ran_long
        exposure = Exposure.STARTING if starting else Exposure.PRESENT
        return LostRun(
            request_id=context.call.request_id,
            content_key=context.content_key,
            exposure=Exposure.ISOLATED if flight.isolated else exposure,
            lost_s=now_s,
        )


def lost_run_fields(
    context: RequestContext, server: BackendServer, error: AttemptError
) -> dict[str, Any]:
    """Return log fields of a lost run by which its retries are found, if it was."""
    if not error.lost:
        return {}
    return {
        "content": context.content_key,
        "born_ms": server.entry.born_ms,
        "answered": error.answered,
    }
