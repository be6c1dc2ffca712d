"""Bring a caller's request to a backend server and the answer back."""

import asyncio
import json
from collections.abc import Awaitable
from contextlib import suppress

from tornado.httputil import HTTPHeaders

from rosepath.attempt import Answer, AttemptError, Sending
from rosepath.caller_call import BadRequestError, CallerCall
from rosepath.catalog import HostRoute, RouteKind
from rosepath.crash_watch import life_of
from rosepath.errors import Refusal, RefusalError, Run, Step, refuse
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
    note_backoff,
    note_error,
    note_failure,
    note_success,
    note_unreached,
)
from rosepath.server_notice import ServerNotice
from rosepath.server_picker import ServerPicker
from rosepath.suspects import Suspects, lost_run_fields

# A caller's clock runs three milliseconds ahead of ours; what comes later
# than that before its deadline reaches nobody.
ANSWER_MARGIN_S = 0.02
# How long a request without a route waits for a newer configuration that is known
# to exist.
ROUTE_WAIT_S = 0.4
# Of a host or path as its caller sent it.
MAX_LOGGED_CHARS = 200
_log = get_logger()


class Relay:
    """Answer callers' requests."""

    def __init__(self, ports: RelayPorts) -> None:
        self._ports = ports
        self._suspects = Suspects(ports.crashes, clock=ports.clock)
        self._picker = ServerPicker(ports, self._suspects)
        self._next = NextTry(ports, self._picker)

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
            context = await self._begin(call, exchange)
        except BadRequestError as error:
            refusal = Refusal(400, "bad_request", str(error), Run.NO, error.step)
            self._refuse_unrouted(exchange, request_id, refusal)
            return
        except RefusalError as error:
            self._refuse_unrouted(exchange, request_id, error.refusal)
            return
        try:
            await self._run(context)
        except RefusalError as error:
            self._give_up(context, error)
        finally:
            self._next.release(context)
            self._suspects.end(context)

    async def _begin(
        self, call: CallerCall, exchange: CallerExchange
    ) -> RequestContext:
        if self._find(call) is None and self._ports.configuration().behind:
            await self._wait_for_route(call)
        catalog = self._ports.catalog()
        if catalog is None:
            raise refuse(
                503,
                "no_configuration",
                "no configuration is known yet",
                step=Step.ROUTE,
                retry_after_s=RETRY_AFTER_S,
            )
        route = self._find(call)
        if route is None:
            raise self._unrouted()
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
            configuration=self._ports.configuration(),
            order=EventOrder(last_id=call.last_event_id) if streams else None,
        )

    def _find(self, call: CallerCall) -> HostRoute | None:
        catalog = self._ports.catalog()
        if catalog is None:
            return None
        return catalog.find(call.host, call.path.partition("?")[0])

    async def _wait_for_route(self, call: CallerCall) -> None:
        """Wait a moment for a newer configuration that may have a request's route."""
        with suppress(TimeoutError):
            async with (
                asyncio.timeout(min(ROUTE_WAIT_S, call.wait_s or ROUTE_WAIT_S)),
                self._ports.fleet_changed,
            ):
                while self._find(call) is None and self._ports.configuration().behind:
                    await self._ports.fleet_changed.wait()

    def _unrouted(self) -> RefusalError:
        if self._ports.configuration().behind:
            return refuse(
                503,
                "configuration_outdated",
                "no route leads there yet; a newer configuration is on its way",
                step=Step.ROUTE,
                retry_after_s=RETRY_AFTER_S,
            )
        return refuse(404, "no_route", "no route leads there", step=Step.ROUTE)

    async def _run(self, context: RequestContext) -> None:
        while True:
            server, flight = await self._picker.choose(context)
            sent_s = self._now_s()
            try:
                answer = await self._try(context, server, flight)
            except AttemptError as error:
                context.seen.append(error.evidence)
                self._note_failed(context, server, error)
                await self._suspects.note_failed(context, server, flight, error)
                await self._next.go_on(context, error)
                continue
            server.moved_s = self._now_s()
            failed = not answer.success
            if failed and await self._try_again_after(context, server, answer):
                continue
            note_success(server, took_s=self._now_s() - sent_s)
            self._suspects.clear(context, answer)
            self._finish(context, server, answer)
            return

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
            server.moved_s = self._now_s()
            context.note_events(now_s=server.moved_s)
            flight.unread_tokens = 0
            self._suspects.note_events(context, flight)
            if not context.exchange.begun:
                context.exchange.begin(head.status, answer_headers(head.headers))
            return context.exchange.write(events)

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
                and not server.in_backoff(self._now_s())
                and self._ports.fleet_sound()
                and self._suspects.may_be_sent(context)
            ),
            may_break_off=lambda: self._next.leaves(context, server),
            on_notice=lambda notice: self._heed(server, notice),
        )
        self._next.note_sent(context)
        server.flights[context.call.request_id] = flight
        if server.half_open:
            server.probed_s = self._now_s()
        self._suspects.start(context, server, flight)
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
            self._suspects.end(context)

    def _heed(self, server: BackendServer, notice: ServerNotice) -> None:
        """Heed what the head of an answer says of its server."""
        now_s = self._now_s()
        if notice.retry_after_s:
            if not server.in_backoff(now_s):
                _log.info(
                    "server_backoff",
                    peer=server.name,
                    retry_after_s=notice.retry_after_s,
                )
            note_backoff(server, retry_after_s=notice.retry_after_s, now_s=now_s)
        else:
            note_answer(server, now_s=now_s)
        if notice.leaving:
            self._ports.on_leaving(server)

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
            **lost_run_fields(context, server, error),
        )
        if error.withdrawn:
            # The server did nothing wrong; if it left, the fleet says so.
            return
        context.tried.add(server.name)
        now_s = self._now_s()
        if error.evidence is Evidence.NOT_SENT:
            note_unreached(server, now_s=now_s)
            if error.step is Step.CONNECT and not error.timed_out:
                self._ports.crashes.note_crashed(life_of(server))
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
            **context.configuration.log_fields,
        )

    def _refuse_unrouted(
        self, exchange: CallerExchange, request_id: str, refusal: Refusal
    ) -> None:
        """Refuse what was not understood, or has no route or service here."""
        self._refuse(
            exchange,
            request_id,
            refusal.status,
            refusal.code,
            refusal.message,
            refusal.retry_after_s,
        )
        # A kind of line of its own: many of these, which anybody can cause, leave
        # the lines of other refusals their share of the log.
        _log.info(
            "request_unrouted",
            request_id=request_id,
            status=refusal.status,
            code=refusal.code,
            why=refusal.message,
            step=refusal.step.value,
            host=exchange.headers.get("Host", "")[:MAX_LOGGED_CHARS],
            path=exchange.path.partition("?")[0][:MAX_LOGGED_CHARS],
            **self._ports.configuration().log_fields,
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
