"""Timeouts of attempts, and the decision to retry failed ones."""

import asyncio

from rosepath.attempt import AttemptError
from rosepath.errors import RefusalError, Run, refuse
from rosepath.fleet import BackendServer
from rosepath.logs import get_logger
from rosepath.request_context import RelayPorts, RequestContext
from rosepath.retries import Attempt, Obstacle, find_obstacle
from rosepath.retry_window import RetryWindow
from rosepath.server_picker import ServerPicker
from rosepath.silence import Silence, reason_to_stay

# After this many refusals the cause is a lack of capacity rather than chance,
# and further attempts would only use up the retry budget of other requests.
MAX_SENT_ATTEMPTS = 6
# Pause before a begun stream is sent again after MAX_SENT_ATTEMPTS attempts,
# or while the retry budget is spent. Slots become free as shorter streams end.
RETRY_PAUSE_S = 0.5
# An idempotent request of a plain service goes to another server after this
# multiple of the server's usual latency, but not before the minimum.
LATENCY_FACTOR = 5.0
MIN_RESPONSE_TIMEOUT_S = 0.2
# A resumable stream moves to another server after a silence of this multiple
# of the route's target gap between events, but not before the minimum. Callers
# leave after eight times the target gap.
GAP_FACTOR = 3.0
MIN_STALL_TIMEOUT_S = 0.7
# The same before the first event, relative to the predicted time to it. A
# longer wait indicates an engine that does not respond rather than a queue.
MIN_FIRST_EVENT_TIMEOUT_S = 0.6
FIRST_EVENT_FACTOR = 3.0

_log = get_logger()


class RetryPolicy:
    """Decide when attempts time out and whether requests are retried.

    Reserves retries in the budget of the request's service. Used by `Relay`.
    """

    def __init__(self, ports: RelayPorts, picker: ServerPicker) -> None:
        self._ports = ports
        self._picker = picker

    def response_timeout_s(
        self, context: RequestContext, server: BackendServer
    ) -> float:
        """Return after which silence a server should have begun its response."""
        left_s = max(0.01, context.deadline_s - self._now_s())
        if context.event_sequence is None:
            return min(left_s + 1.0, _plain_response_s(server))
        usual_s = MIN_FIRST_EVENT_TIMEOUT_S + FIRST_EVENT_FACTOR * context.predicted_s
        return min(left_s + 1.0, max(usual_s, context.route.target_latency_s))

    @staticmethod
    def expected_response_s(context: RequestContext, server: BackendServer) -> float:
        """Return when a server that is not overloaded has begun its response."""
        if context.event_sequence is None:
            return _plain_response_s(server)
        return max(MIN_RESPONSE_TIMEOUT_S, context.predicted_s)

    @staticmethod
    def _is_last_attempt(context: RequestContext) -> bool:
        """Return whether no other attempt could follow this one.

        Such an attempt is not ended for silence: nothing would be gained, and
        a stream would be lost to its caller.
        """
        if not context.route.retryable:
            return True
        if context.possibly_run_count + 1 >= context.route.max_attempts:
            return True
        # A stream that may have run is retried, with pauses, beyond this
        # limit.
        return (
            context.event_sequence is None
            and context.sent_count + 1 >= MAX_SENT_ATTEMPTS
        )

    def stall_timeout_s(self, context: RequestContext, server: BackendServer) -> float:
        """Return after which silence a server should have gone on."""
        if context.event_sequence is None:
            return _plain_response_s(server)
        return max(MIN_STALL_TIMEOUT_S, GAP_FACTOR * context.route.target_gap_s)

    def should_leave(self, context: RequestContext, server: BackendServer) -> bool:
        """Return whether to leave a silent server; reserve a retry if so."""
        if self._is_last_attempt(context):
            return False
        now_s, route = self._now_s(), context.route
        stay_reason = reason_to_stay(
            Silence(
                response_started=context.exchange.response_started,
                check_after_s=self.stall_timeout_s(context, server),
                duration_s=now_s - context.last_event_s,
                caller_timeout_s=route.event_timeout_s,
                server_idle_s=server.idle_s(now_s),
                capacity_elsewhere=self._picker.has_capacity_elsewhere(context, server),
                known_silent=server.silent_until_s > now_s,
            ),
            lambda: self._reserve_retry(context),
        )
        if stay_reason is not None and stay_reason is not context.stay_reason:
            _log.info(
                "silent_server_kept",
                request_id=context.call.request_id,
                peer=server.name,
                why=stay_reason.value,
                moved_ago_s=server.idle_s(now_s),
                repeats_left=self.retries_left(context),
            )
        context.stay_reason = stay_reason
        return stay_reason is None

    def should_leave_suspect(
        self, context: RequestContext, server: BackendServer
    ) -> bool:
        """Return whether to leave a server that fell silent towards all VMs.

        A request that may not be sent again stays up to its own limits, as does
        one for which the server just did something.
        """
        if context.exchange.response_started and not context.route.resumable:
            return False
        idle_s = server.idle_s(self._now_s())
        if idle_s is not None and idle_s < MIN_STALL_TIMEOUT_S:
            return False
        return self.should_leave(context, server)

    def _reserve_retry(self, context: RequestContext) -> bool:
        context.retry_reserved = self._budget(context).reserve()
        if context.retry_reserved:
            context.retry_reserved_s = self._now_s()
        return context.retry_reserved

    def claim_attempt(self, context: RequestContext) -> bool:
        """Count an attempt as it is sent; return False if the budget forbids it.

        The first attempt to reach a server is no retry.
        """
        if not context.sent_count:
            return True
        if not context.retry_reserved:
            return False
        context.retry_reserved = False
        budget = self._budget(context)
        allowed = budget.consume()
        _log.info(
            "retry_sent" if allowed else "retry_withheld",
            request_id=context.call.request_id,
            service=context.service.name,
            reserved_ago_s=round(self._now_s() - context.retry_reserved_s, 3),
            repeats_left=self.retries_left(context),
            fleet_size=budget.vms,
        )
        return allowed

    def release_retry(self, context: RequestContext) -> None:
        """Return the reserved retry, if any, as a request ends."""
        if context.retry_reserved:
            context.retry_reserved = False
            self._budget(context).release()

    def _as_attempt(self, context: RequestContext, error: AttemptError) -> Attempt:
        return Attempt(
            evidence=error.evidence,
            idempotent=context.route.retryable,
            resumable=context.route.resumable,
            attempts=context.possibly_run_count,
            max_attempts=context.route.max_attempts,
            left_s=context.deadline_s - self._now_s(),
            retry_reserved=context.retry_reserved,
            sent_before=context.sent_count > 0,
        )

    def obstacle(self, context: RequestContext, error: AttemptError) -> Obstacle | None:
        """Return what prevents a retry; if nothing does, reserve one."""
        if context.sent_count >= MAX_SENT_ATTEMPTS and not context.caller_cannot_retry:
            return Obstacle.TOO_MANY_REFUSALS
        return find_obstacle(
            self._as_attempt(context, error), lambda: self._reserve_retry(context)
        )

    async def wait_to_retry(self, context: RequestContext, error: AttemptError) -> None:
        """Return once the request may be retried; raises RefusalError.

        A request that its caller cannot retry waits until its deadline for
        capacity and for a retry in the budget.
        """
        must_wait = context.caller_cannot_retry
        if must_wait and context.sent_count >= MAX_SENT_ATTEMPTS:
            await self._pause(context)
        while (obstacle := self.obstacle(context, error)) is not None:
            if not must_wait or obstacle is not Obstacle.BUDGET_SPENT:
                raise self._build_refusal(context, error, obstacle)
            await self._pause(context)

    async def _pause(self, context: RequestContext) -> None:
        """Wait RETRY_PAUSE_S, but not beyond the request's deadline."""
        left_s = context.deadline_s - self._now_s()
        await asyncio.sleep(max(0.0, min(RETRY_PAUSE_S, left_s)))

    def _build_refusal(
        self, context: RequestContext, error: AttemptError, obstacle: Obstacle
    ) -> RefusalError:
        """Build the refusal for a request that is not retried."""
        context.obstacle = obstacle
        if context.not_run:
            return refuse(
                503,
                "not_run",
                error.message,
                step=error.step,
                peer=error.peer,
                retry_after_s=self._picker.retry_after_s(context),
            )
        out_of_time = self._now_s() >= context.deadline_s
        return refuse(
            504 if out_of_time else 502,
            "timeout" if out_of_time else "server_failed",
            error.message,
            step=error.step,
            peer=error.peer,
            run=Run.UNKNOWN,
        )

    def retries_left(self, context: RequestContext) -> float:
        """Return the retries that this VM may still send now."""
        return round(self._budget(context).available, 1)

    def _budget(self, context: RequestContext) -> RetryWindow:
        return self._ports.budget(context.service.name)

    def _now_s(self) -> float:
        return self._ports.clock.monotonic_s()


def _plain_response_s(server: BackendServer) -> float:
    """Return the time in which a server usually completes a plain response."""
    return max(MIN_RESPONSE_TIMEOUT_S, LATENCY_FACTOR * server.latency_s)
