"""What follows a try: how long it may stand still, and whether another comes."""

import asyncio

from rosepath.attempt import AttemptError
from rosepath.errors import RefusalError, Run, refuse
from rosepath.fleet import BackendServer
from rosepath.logs import get_logger
from rosepath.request_context import RETRY_AFTER_S, RelayPorts, RequestContext
from rosepath.retries import Attempt, Obstacle, find_obstacle
from rosepath.retry_window import RetryWindow
from rosepath.server_picker import ServerPicker
from rosepath.silence import Silence, reason_to_stay

# A request that so many servers refused unrun meets a want of room, not bad
# luck; each further try would use up what others may repeat.
MAX_TRIES = 6
# A stream that has begun and that as many turned away, or for which no repeat is
# left, asks again after this; places come free as shorter answers end.
CROWDED_PAUSE_S = 0.5
# An idempotent request of a plain service is tried elsewhere after so many
# usual answer times, and no sooner than this.
PATIENCE_TIMES = 5.0
PATIENCE_MIN_S = 0.2
# A resumable stream goes on elsewhere after standing still for so many times its
# route's longest good pause; callers leave at eight times that pause.
PAUSE_GAPS = 3.0
PAUSE_MIN_S = 0.7
# The same before its first event, by the time that was predicted for it: more
# than this is no queue but an engine that will not answer.
FIRST_EVENT_MIN_S = 0.6
FIRST_EVENT_TIMES = 3.0

_log = get_logger()


class NextTry:
    """Decide whether requests leave their servers, and what becomes of them then."""

    def __init__(self, ports: RelayPorts, picker: ServerPicker) -> None:
        self._ports = ports
        self._picker = picker

    def patience_s(self, context: RequestContext, server: BackendServer) -> float:
        """Return how long an answer may be in coming before another is asked."""
        left_s = max(0.01, context.deadline_s - self._now_s())
        if self._last_try(context):
            return left_s + 1.0
        if context.order is None:
            usual_s = max(PATIENCE_MIN_S, PATIENCE_TIMES * server.latency_s)
            return min(left_s + 1.0, usual_s)
        usual_s = FIRST_EVENT_MIN_S + FIRST_EVENT_TIMES * context.predicted_s
        return min(left_s + 1.0, max(usual_s, context.route.target_latency_s))

    @staticmethod
    def _last_try(context: RequestContext) -> bool:
        """Tell whether a request can't go on elsewhere if this try is given up.

        Then waiting costs nothing that giving up would save; a stream that is
        broken off for its silence would be lost to its caller.
        """
        if not context.route.repeatable:
            return True
        if context.may_have_run + 1 >= context.route.max_attempts:
            return True
        # Streams go on asking, with pauses, once something may have run.
        return context.order is None and context.arrivals + 1 >= MAX_TRIES

    def pause_s(self, context: RequestContext) -> float:
        """Return how long a stream may stand still before it goes on elsewhere."""
        if self._last_try(context) or context.order is None:
            return max(0.01, context.deadline_s - self._now_s()) + 1.0
        return max(PAUSE_MIN_S, PAUSE_GAPS * context.route.target_gap_s)

    def leaves(self, context: RequestContext, server: BackendServer) -> bool:
        """Tell whether a request leaves a silent server, with a repeat in hand then."""
        now_s, route = self._now_s(), context.route
        stays = reason_to_stay(
            Silence(
                begun=context.exchange.begun,
                look_s=self.pause_s(context),
                lasts_s=now_s - context.last_event_s,
                patience_s=route.event_patience_s,
                moved_ago_s=server.moved_ago_s(now_s),
                room_elsewhere=self._picker.has_room_besides(context, server),
            ),
            lambda: self._hold(context),
        )
        if stays is not None and stays is not context.stays:
            _log.info(
                "silent_server_kept",
                request_id=context.call.request_id,
                peer=server.name,
                why=stays.value,
                moved_ago_s=server.moved_ago_s(now_s),
                repeats_left=self.repeats_left(context),
            )
        context.stays = stays
        return stays is None

    def _hold(self, context: RequestContext) -> bool:
        context.holds_repeat = self._budget(context).hold()
        return context.holds_repeat

    def note_sent(self, context: RequestContext) -> None:
        """Count the repeat that was held for a try as it goes out."""
        context.stays = None
        if context.holds_repeat:
            context.holds_repeat = False
            self._budget(context).send()

    def release(self, context: RequestContext) -> None:
        """Give back the repeat that a request holds as it ends."""
        if context.holds_repeat:
            context.holds_repeat = False
            self._budget(context).release()

    def _as_attempt(self, context: RequestContext, error: AttemptError) -> Attempt:
        return Attempt(
            evidence=error.evidence,
            idempotent=context.route.repeatable,
            resumable=context.route.resumable,
            attempts=context.may_have_run,
            max_attempts=context.route.max_attempts,
            left_s=context.deadline_s - self._now_s(),
            paid=context.holds_repeat,
        )

    def obstacle(self, context: RequestContext, error: AttemptError) -> Obstacle | None:
        """Return what stands against another try; holds a repeat if nothing does."""
        if context.arrivals >= MAX_TRIES and not context.lost_if_refused:
            return Obstacle.TOO_MANY_REFUSALS
        return find_obstacle(
            self._as_attempt(context, error), lambda: self._hold(context)
        )

    async def go_on(self, context: RequestContext, error: AttemptError) -> None:
        """Return once the request may be tried again; raises RefusalError.

        What has no way back is lost to its caller if it is given up here: it waits
        for room, and for a repeat in the budget, as long as it has time.
        """
        waits = context.lost_if_refused
        if waits and context.arrivals >= MAX_TRIES:
            await self._pause(context)
        while (obstacle := self.obstacle(context, error)) is not None:
            if not waits or obstacle is not Obstacle.BUDGET_SPENT:
                raise self._given_up(context, error, obstacle)
            await self._pause(context)

    async def _pause(self, context: RequestContext) -> None:
        """Wait a little, and no longer than the request has time."""
        left_s = context.deadline_s - self._now_s()
        await asyncio.sleep(max(0.0, min(CROWDED_PAUSE_S, left_s)))

    def _given_up(
        self, context: RequestContext, error: AttemptError, obstacle: Obstacle
    ) -> RefusalError:
        """Build the answer to a request that nobody is asked for again."""
        context.obstacle = obstacle
        if context.not_run:
            return refuse(
                503,
                "not_run",
                error.message,
                step=error.step,
                peer=error.peer,
                retry_after_s=RETRY_AFTER_S,
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

    def repeats_left(self, context: RequestContext) -> float:
        """Return what is left of this VM's part of the retry budget."""
        return round(self._budget(context).left, 1)

    def _budget(self, context: RequestContext) -> RetryWindow:
        return self._ports.budget(context.service.name)

    def _now_s(self) -> float:
        return self._ports.clock.monotonic_s()
