"""Bring a caller's request to a backend server and the answer back."""

import json
from collections.abc import Awaitable

from tornado.httputil import HTTPHeaders

from rosepath.attempt import Answer, AttemptError, Sending
from rosepath.caller_call import BadRequestError, CallerCall
from rosepath.catalog import HostRoute, RouteKind
from rosepath.course import RETRY_AFTER_S, Course, RelayPorts
from rosepath.errors import RefusalError, Run, Step, refuse
from rosepath.event_order import EventOrder
from rosepath.fleet import BackendServer, Flight
from rosepath.gateway import CallerExchange
from rosepath.http_client import ResponseHead
from rosepath.logs import get_logger
from rosepath.platform.calls import answer_headers, decode_call, refusal_headers
from rosepath.retries import Attempt, Evidence, Verdict, judge
from rosepath.retry_window import RetryWindow
from rosepath.server_choice import (
    note_error,
    note_failure,
    note_success,
    note_unreached,
)
from rosepath.server_picker import ServerPicker

# A caller's clock runs three milliseconds ahead of ours; what comes later
# than that before its deadline reaches nobody.
ANSWER_MARGIN_S = 0.02
# A request that so many servers refused unrun meets a want of room, not bad
# luck; each further try would use up what others may repeat.
MAX_TRIES = 6
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


class Relay:
    """Answer callers' requests."""

    def __init__(self, ports: RelayPorts) -> None:
        self._ports = ports
        self._picker = ServerPicker(ports)

    async def serve(self, exchange: CallerExchange) -> None:
        """Answer one request, whatever happens to it."""
        request_id = ""
        try:
            call = decode_call(
                method=exchange.method,
                path=exchange.path,
                headers=exchange.headers,
                body=exchange.body,
                arrived_s=exchange.arrived_s,
            )
            request_id = call.request_id
            course = self._begin(call, exchange)
        except BadRequestError as error:
            self._refuse(exchange, request_id, 400, "bad_request", str(error))
            return
        except RefusalError as error:
            refusal = error.refusal
            self._refuse(
                exchange,
                request_id,
                refusal.status,
                refusal.code,
                refusal.message,
                refusal.retry_after_s,
            )
            return
        try:
            await self._run(course)
        except RefusalError as error:
            self._give_up(course, error)

    def _begin(self, call: CallerCall, exchange: CallerExchange) -> Course:
        catalog = self._ports.catalog()
        if catalog is None:
            raise refuse(
                503,
                "no_configuration",
                "no configuration is known yet",
                step=Step.ROUTE,
                retry_after_s=RETRY_AFTER_S,
            )
        path = call.path.partition("?")[0]
        route = catalog.find(call.host, path)
        if route is None:
            raise refuse(404, "no_route", "no route leads there", step=Step.ROUTE)
        service = catalog.services.get(route.service_for(call.request_id))
        if service is None:
            raise refuse(
                503,
                "no_service",
                "the route's service is not declared",
                step=Step.ROUTE,
                retry_after_s=RETRY_AFTER_S,
            )
        limit_s = min(route.timeout_s, call.wait_s or route.timeout_s)
        self._ports.budget(service.name).note_request()
        streams = route.kind is RouteKind.STREAMING
        return Course(
            call=call,
            route=route,
            service=service,
            exchange=exchange,
            deadline_s=call.arrived_s + limit_s - ANSWER_MARGIN_S,
            order=EventOrder(last_id=call.last_event_id) if streams else None,
        )

    async def _run(self, course: Course) -> None:
        while True:
            server, flight = await self._picker.choose(course)
            sent_s = self._now_s()
            server.flights[course.call.request_id] = flight
            try:
                answer = await self._try(course, server, flight)
            except AttemptError as error:
                course.seen.append(error.evidence)
                self._note_failed(course, server, error)
                self._judge(course, error)
                continue
            finally:
                server.flights.pop(course.call.request_id, None)
            failed = not answer.success
            if failed and self._try_again_after(course, server, answer):
                continue
            note_success(server, took_s=self._now_s() - sent_s)
            self._finish(course, server, answer)
            return

    def _try_again_after(
        self, course: Course, server: BackendServer, answer: Answer
    ) -> bool:
        """Tell whether an idempotent request that failed goes on elsewhere."""
        if answer.head.status < 500 or course.exchange.begun:
            return False
        course.tried.add(server.name)
        course.seen.append(Evidence.SENT)
        note_error(server)
        error = AttemptError(
            f"the server answered {answer.head.status}",
            step=Step.ANSWER,
            peer=server.name,
            evidence=Evidence.SENT,
        )
        again = judge(self._as_attempt(course, error), self._budget(course))
        return again is not Verdict.GIVE_UP

    async def _try(
        self, course: Course, server: BackendServer, flight: Flight
    ) -> Answer:
        def on_events(head: ResponseHead, events: bytes) -> Awaitable[None] | None:
            if course.first_event_s is None:
                course.first_event_s = self._now_s()
            flight.unread_tokens = 0
            if not course.exchange.begun:
                course.exchange.begin(head.status, answer_headers(head.headers))
            return course.exchange.write(events)

        order = course.order
        if order is not None:
            order.restart()
        begun = order is not None and order.events > 0
        sending = Sending(
            deadline_s=course.deadline_s,
            patience_s=self._patience_s(course, server),
            pause_s=self._pause_s(course),
            repeatable=course.route.repeatable,
            priority=None if course.service.engine is None else _rank(course.route),
            last_event_id=order.last_id if order is not None and begun else None,
        )
        return await self._ports.attempts.send(
            course.call,
            server,
            sending,
            order=order,
            on_events=on_events if order is not None else None,
        )

    def _patience_s(self, course: Course, server: BackendServer) -> float:
        """Return how long an answer may be in coming before another is asked."""
        left_s = max(0.01, course.deadline_s - self._now_s())
        last = course.may_have_run + 1 >= course.route.max_attempts
        if last or not course.route.repeatable:
            # Waiting costs nothing that giving up would save.
            return left_s + 1.0
        if course.order is None:
            usual_s = max(PATIENCE_MIN_S, PATIENCE_TIMES * server.latency_s)
            return min(left_s + 1.0, usual_s)
        usual_s = FIRST_EVENT_MIN_S + FIRST_EVENT_TIMES * course.predicted_s
        return min(left_s + 1.0, max(usual_s, course.route.target_latency_s))

    def _pause_s(self, course: Course) -> float:
        """Return how long a stream may stand still before it goes on elsewhere."""
        if not course.route.repeatable or course.order is None:
            return max(0.01, course.deadline_s - self._now_s()) + 1.0
        return max(PAUSE_MIN_S, PAUSE_GAPS * course.route.target_gap_s)

    def _note_failed(
        self, course: Course, server: BackendServer, error: AttemptError
    ) -> None:
        course.tried.add(server.name)
        now_s = self._now_s()
        if error.evidence is Evidence.NOT_SENT:
            note_unreached(server, now_s=now_s)
        if error.evidence is not Evidence.REFUSED:
            silent = error.timed_out or error.evidence is Evidence.NOT_SENT
            note_failure(server, now_s=now_s, silent=silent)
        elif error.status == 421 and course.call.prompt is not None:
            # It does not hold what we thought it does.
            prompt = course.call.prompt
            if prompt.adapter and prompt.model in server.held:
                server.held[prompt.model].discard(prompt.adapter)
            else:
                server.held.pop(prompt.model, None)
        _log.info(
            "try_failed",
            request_id=course.call.request_id,
            step=error.step.value,
            peer=server.name,
            why=error.message,
            evidence=error.evidence.value,
            tries=len(course.seen),
        )

    def _as_attempt(self, course: Course, error: AttemptError) -> Attempt:
        return Attempt(
            evidence=error.evidence,
            idempotent=course.route.repeatable,
            resumable=course.route.resumable,
            attempts=course.may_have_run,
            max_attempts=course.route.max_attempts,
            left_s=course.deadline_s - self._now_s(),
        )

    def _judge(self, course: Course, error: AttemptError) -> None:
        """Return if the request may be tried again; raises RefusalError."""
        verdict = judge(self._as_attempt(course, error), self._budget(course))
        if verdict is not Verdict.GIVE_UP and course.arrivals < MAX_TRIES:
            return
        if course.not_run:
            raise refuse(
                503,
                "not_run",
                error.message,
                step=error.step,
                peer=error.peer,
                retry_after_s=RETRY_AFTER_S,
            )
        out_of_time = self._now_s() >= course.deadline_s
        raise refuse(
            504 if out_of_time else 502,
            "timeout" if out_of_time else "server_failed",
            error.message,
            step=error.step,
            peer=error.peer,
            run=Run.UNKNOWN,
        )

    def _budget(self, course: Course) -> RetryWindow:
        return self._ports.budget(course.service.name)

    def _finish(self, course: Course, server: BackendServer, answer: Answer) -> None:
        course.answered_by = server.name
        exchange = course.exchange
        if exchange.begun:
            exchange.end()
        else:
            exchange.answer(
                answer.head.status, answer_headers(answer.head.headers), answer.body
            )
        self._ports.on_outcome(course, answer.head.status, "")

    def _give_up(self, course: Course, error: RefusalError) -> None:
        refusal = error.refusal
        cut = course.exchange.begun
        if cut:
            course.exchange.abort()
        else:
            self._refuse(
                course.exchange,
                course.call.request_id,
                refusal.status,
                refusal.code,
                refusal.message,
                refusal.retry_after_s,
            )
        self._ports.on_outcome(course, refusal.status, refusal.code)
        _log.info(
            "request_refused",
            request_id=course.call.request_id,
            route=course.route.name,
            service=course.service.name,
            status=refusal.status,
            code=refusal.code,
            why=refusal.message,
            step=refusal.step.value,
            peer=refusal.peer,
            tries=len(course.seen),
            age_s=round(self._now_s() - course.call.arrived_s, 3),
            cut=cut,
        )

    @staticmethod
    def _refuse(
        exchange: CallerExchange,
        request_id: str,
        status: int,
        code: str,
        message: str,
        retry_after_s: float | None = None,
    ) -> None:
        body = json.dumps({"error": {"code": code, "message": message}}).encode()
        headers: HTTPHeaders = refusal_headers(request_id, retry_after_s=retry_after_s)
        exchange.answer(status, headers, body)

    def _now_s(self) -> float:
        return self._ports.clock.monotonic_s()


def _rank(route: HostRoute) -> int:
    """Return how urgent a generation is to an engine, 0 first of 9."""
    patient = 3 if route.target_latency_s > 2.0 else 0
    return min(9, 1 + 2 * route.priority + patient)
