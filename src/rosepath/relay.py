"""Bring a caller's request to a backend server and the answer back."""

import json
from collections.abc import Awaitable
from typing import Any

from tornado.httputil import HTTPHeaders

from rosepath.attempt import Answer, AttemptError, Sending
from rosepath.caller_call import BadRequestError, CallerCall
from rosepath.catalog import HostRoute, RouteKind
from rosepath.crash_records import Blame
from rosepath.crash_trials import TRIAL_S
from rosepath.crash_watch import LostRun, life_of
from rosepath.errors import RefusalError, Step, refuse
from rosepath.event_order import EventOrder
from rosepath.fleet import BackendServer, Flight
from rosepath.gateway import CallerExchange
from rosepath.http_client import ResponseHead
from rosepath.logs import get_logger
from rosepath.next_try import NextTry
from rosepath.platform.calls import answer_headers, decode_call, refusal_headers
from rosepath.request_context import RETRY_AFTER_S, RelayPorts, RequestContext
from rosepath.retries import Evidence
from rosepath.server_choice import (
    note_answer,
    note_error,
    note_failure,
    note_rest,
    note_success,
    note_unreached,
)
from rosepath.server_notice import ServerNotice
from rosepath.server_picker import ServerPicker

# A caller's clock runs three milliseconds ahead of ours; what comes later
# than that before its deadline reaches nobody.
ANSWER_MARGIN_S = 0.02
_log = get_logger()


class Relay:
    """Answer callers' requests."""

    def __init__(self, ports: RelayPorts) -> None:
        self._ports = ports
        self._picker = ServerPicker(ports)
        self._next = NextTry(ports, self._picker)
        self._crashes = ports.crashes

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
            context = self._begin(call, exchange)
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
            await self._run(context)
        except RefusalError as error:
            self._give_up(context, error)
        finally:
            self._next.release(context)
            self._end_trial(context)

    def _begin(self, call: CallerCall, exchange: CallerExchange) -> RequestContext:
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
        return RequestContext(
            call=call,
            route=route,
            service=service,
            exchange=exchange,
            deadline_s=call.arrived_s + limit_s - ANSWER_MARGIN_S,
            order=EventOrder(last_id=call.last_event_id) if streams else None,
        )

    async def _run(self, context: RequestContext) -> None:
        while True:
            server, flight = await self._picker.choose(context)
            sent_s = self._now_s()
            try:
                answer = await self._try(context, server, flight)
            except AttemptError as error:
                context.seen.append(error.evidence)
                self._note_failed(context, server, error)
                silent = error.timed_out and error.evidence is not Evidence.NOT_SENT
                if error.lost or silent:
                    await self._note_lost(context, server, flight, error)
                await self._next.go_on(context, error)
                continue
            server.moved_s = self._now_s()
            failed = not answer.success
            if failed and await self._try_again_after(context, server, answer):
                continue
            note_success(server, took_s=self._now_s() - sent_s)
            self._excuse(context, answer)
            self._finish(context, server, answer)
            return

    def _end_trial(self, context: RequestContext) -> None:
        if self._crashes.trials.any_own:
            self._crashes.trials.end(
                context.content_key, request_id=context.call.request_id
            )

    def _excuse(self, context: RequestContext, answer: Answer) -> None:
        """Note that a run was whole, so that no server's end was its doing.

        An answer that its connection ends may be cut by the end of its server.
        """
        if self._crashes.records and answer.delimited:
            self._crashes.excuse(context.content_key)

    async def _try_again_after(
        self, context: RequestContext, server: BackendServer, answer: Answer
    ) -> bool:
        """Tell whether a request whose server failed goes on elsewhere.

        Raises RefusalError if it neither can nor has an answer to pass on.
        """
        if answer.head.status < 500 and not context.exchange.begun:
            return False
        context.tried.add(server.name)
        context.seen.append(Evidence.SENT)
        note_error(server)
        error = AttemptError(
            f"the server answered {answer.head.status}",
            step=Step.ANSWER,
            peer=server.name,
            evidence=Evidence.SENT,
        )
        if context.exchange.begun:
            # Part of a stream is at its caller already: this answer can't be
            # passed on, and to end the stream would make it look whole.
            await self._next.go_on(context, error)
            return True
        if not self._picker.has_untried(context):
            return False
        context.obstacle = self._next.obstacle(context, error)
        return context.obstacle is None

    async def _try(
        self, context: RequestContext, server: BackendServer, flight: Flight
    ) -> Answer:
        def on_events(head: ResponseHead, events: bytes) -> Awaitable[None] | None:
            now_s = server.moved_s = self._now_s()
            context.note_events(now_s=now_s)
            flight.unread_tokens = 0
            if flight.begun_s is None:
                flight.begun_s = now_s
            elif flight.on_trial and now_s - flight.begun_s > TRIAL_S:
                flight.on_trial = not self._crashes.pass_trial(
                    context.content_key, request_id=context.call.request_id
                )
            if not context.exchange.begun:
                context.exchange.begin(head.status, answer_headers(head.headers))
            return context.exchange.write(events)

        flight.on_trial = self._picker.is_suspect(context)
        order = context.order
        if order is not None:
            order.restart()
        begun = order is not None and order.events > 0
        sending = Sending(
            deadline_s=context.deadline_s,
            patience_s=self._next.patience_s(context, server),
            pause_s=self._next.pause_s(context),
            repeatable=context.route.repeatable,
            priority=None if context.service.engine is None else _rank(context.route),
            last_event_id=order.last_id if order is not None and begun else None,
            # An adapter and a connection take time, in which a server may leave.
            still_wanted=lambda: (
                server.usable
                and not server.rests(self._now_s())
                and self._ports.fleet_sound()
                and self._picker.may_be_sent(context)
            ),
            may_break_off=lambda: self._next.leaves(context, server),
            on_notice=lambda notice: self._heed(server, notice),
        )
        self._next.note_sent(context)
        server.flights[context.call.request_id] = flight
        if server.rested:
            server.found_out_s = self._now_s()
        if flight.on_trial:
            self._crashes.trials.begin(
                context.content_key,
                request_id=context.call.request_id,
                server=server.name,
            )
        try:
            return await self._ports.attempts.send(
                context.call,
                server,
                sending,
                order=order,
                on_events=on_events if order is not None else None,
            )
        finally:
            server.flights.pop(context.call.request_id, None)
            self._end_trial(context)

    def _heed(self, server: BackendServer, notice: ServerNotice) -> None:
        """Heed what the head of an answer says of its server."""
        now_s = self._now_s()
        if notice.rest_s:
            if not server.rests(now_s):
                _log.info("server_rests", peer=server.name, rest_s=notice.rest_s)
            note_rest(server, rest_s=notice.rest_s, now_s=now_s)
        else:
            note_answer(server, now_s=now_s)
        if notice.leaving:
            self._ports.on_leaving(server)

    async def _note_lost(
        self,
        context: RequestContext,
        server: BackendServer,
        flight: Flight,
        error: AttemptError,
    ) -> None:
        """Find out whether the server ended, and charge the request with it."""
        now_s = self._now_s()
        ran_long = flight.begun_s is not None and now_s - flight.begun_s > TRIAL_S
        blame = Blame.STRONG if error.answered and not ran_long else Blame.WEAK
        if flight.on_trial:
            blame = Blame.ALONE
        run = LostRun(
            request_id=context.call.request_id,
            content=context.content_key,
            blame=blame,
            lost_s=now_s,
        )
        if error.lost:
            await self._crashes.note_lost(server, run)
        else:
            self._crashes.note_silent(server, run)

    def _note_failed(
        self, context: RequestContext, server: BackendServer, error: AttemptError
    ) -> None:
        _log.info(
            "try_failed",
            request_id=context.call.request_id,
            step=error.step.value,
            peer=server.name,
            why=error.message,
            evidence=error.evidence.value,
            tries=len(context.seen),
            moved_ago_s=server.moved_ago_s(self._now_s()),
            **_run_lost(context, server, error),
        )
        if error.withdrawn:
            # The server did nothing wrong; if it left, the fleet says so.
            return
        context.tried.add(server.name)
        now_s = self._now_s()
        if error.evidence is Evidence.NOT_SENT:
            note_unreached(server, now_s=now_s)
            if error.step is Step.CONNECT and not error.timed_out:
                self._crashes.note_ended(life_of(server))
        if error.evidence is not Evidence.REFUSED:
            silent = error.timed_out or error.evidence is Evidence.NOT_SENT
            note_failure(server, now_s=now_s, silent=silent)
        elif error.status == 421 and context.call.prompt is not None:
            # It does not hold what we thought it does.
            prompt = context.call.prompt
            if prompt.adapter and prompt.model in server.held:
                server.held[prompt.model].discard(prompt.adapter)
            else:
                server.held.pop(prompt.model, None)

    def _finish(
        self, context: RequestContext, server: BackendServer, answer: Answer
    ) -> None:
        context.answered_by = server.name
        exchange = context.exchange
        if exchange.begun:
            exchange.end()
        else:
            exchange.answer(
                answer.head.status, answer_headers(answer.head.headers), answer.body
            )
        self._ports.on_outcome(context, answer.head.status, "")

    def _give_up(self, context: RequestContext, error: RefusalError) -> None:
        refusal = error.refusal
        cut = context.exchange.begun
        if cut:
            context.exchange.abort()
        else:
            self._refuse(
                context.exchange,
                context.call.request_id,
                refusal.status,
                refusal.code,
                refusal.message,
                refusal.retry_after_s,
            )
        self._ports.on_outcome(context, refusal.status, refusal.code)
        _log.info(
            "request_refused",
            request_id=context.call.request_id,
            route=context.route.name,
            service=context.service.name,
            status=refusal.status,
            code=refusal.code,
            why=refusal.message,
            step=refusal.step.value,
            peer=refusal.peer,
            tries=len(context.seen),
            age_s=round(self._now_s() - context.call.arrived_s, 3),
            cut=cut,
            obstacle=context.obstacle,
            repeats_left=self._next.repeats_left(context),
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


def _run_lost(
    context: RequestContext, server: BackendServer, error: AttemptError
) -> dict[str, Any]:
    """Describe a run whose connection was lost, so that its repeats are found."""
    if not error.lost:
        return {}
    return {
        "content": context.content_key,
        "born_ms": server.entry.born_ms,
        "answered": error.answered,
    }


def _rank(route: HostRoute) -> int:
    """Return how urgent a generation is to an engine, 0 first of 9."""
    patient = 3 if route.target_latency_s > 2.0 else 0
    return min(9, 1 + 2 * route.priority + patient)
