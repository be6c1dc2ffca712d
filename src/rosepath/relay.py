"""Forward callers' requests to backend servers and their responses back."""

import asyncio
import json
from collections.abc import Awaitable
from contextlib import suppress
from functools import partial

from tornado.httputil import HTTPHeaders

from rosepath.api_keys import logged_digest
from rosepath.assignment import RunOutcome
from rosepath.attempt import AttemptError, AttemptOptions, ServerResponse
from rosepath.caller_request import BadRequestError, CallerRequest
from rosepath.catalog import HostRoute, RouteKind
from rosepath.crash_watch import instance_of
from rosepath.errors import Refusal, RefusalError, Run, Step, refuse
from rosepath.event_sequence import EventSequence
from rosepath.fleet import BackendServer, InFlightRequest
from rosepath.gateway import UPLOAD_TIME_S, CallerExchange
from rosepath.header_values import host_name
from rosepath.http_client import ResponseHead
from rosepath.http_exchange import Connection, Watchdog
from rosepath.logs import get_logger
from rosepath.platform.calls import (
    caller_wait_s,
    decode_caller_request,
    echoed_request_id,
    forwarded_headers,
    refusal_headers,
)
from rosepath.quota_pool import EXCEEDED_CODE
from rosepath.request_context import RETRY_AFTER_S, RelayPorts, RequestContext
from rosepath.retries import Evidence
from rosepath.retry_policy import RetryPolicy
from rosepath.run_progress import RunProgress
from rosepath.server_choice import (
    note_backoff,
    note_connect_failure,
    note_error,
    note_failure,
    note_response,
    note_sent,
    note_success,
    note_unanswered,
)
from rosepath.server_limits import apply_limit_notice
from rosepath.server_notice import ServerNotice
from rosepath.server_picker import STOPPING_CODE, ServerPicker
from rosepath.stream_origins import StreamOrigin
from rosepath.suspect_tracker import SuspectTracker, lost_run_fields

# Subtracted from each deadline: the caller's clock may run 3 ms ahead of this
# VM's, and a response that arrives after the caller's deadline is discarded.
RESPONSE_MARGIN_S = 0.02
# How long a request without a route waits for a newer configuration that is
# known to exist.
ROUTE_WAIT_S = 0.4
# Length limit of logged hosts and paths, which callers choose.
MAX_LOGGED_CHARS = 200
EVENT_END = b"\n\n"
# How long the first events of a stream are held until its software version is
# recorded. Callers notice a longer pause.
RECORD_WAIT_S = 0.08
# Of a stream whose server restarted as it began; no server runs it.
UNKNOWN_VERSION = "\0unknown"

EXPIRED = Refusal(
    503,
    "expired",
    "the request's time was over before it was read",
    Run.NO,
    Step.PARSE,
    retry_after_s=RETRY_AFTER_S,
)

_log = get_logger()


def _pass_on(
    exchange: CallerExchange, head: ResponseHead, events: bytes
) -> Awaitable[None] | None:
    """Pass events on to the caller, after the head of the response."""
    if not exchange.response_started:
        exchange.start_response(head.status, forwarded_headers(head.headers))
    return exchange.write(events)


async def _pass_on_after(
    noting: Awaitable[None],
    exchange: CallerExchange,
    head: ResponseHead,
    events: bytes,
) -> None:
    """Pass events on once they are noted; raises AttemptError if they may not be."""
    await noting
    written = _pass_on(exchange, head, events)
    if written is not None:
        await written


async def _wait_briefly(task: asyncio.Future[None]) -> None:
    """Wait for a task as long as events may be held."""
    await asyncio.wait([task], timeout=RECORD_WAIT_S)


class Relay:
    """Route callers' requests, run their attempts and send the responses.

    Every request ends in a response, a refusal or a closed connection. Used by
    the gateway of the entry VM.
    """

    def __init__(self, ports: RelayPorts) -> None:
        self._ports = ports
        self._suspects = SuspectTracker(ports.crashes, clock=ports.clock)
        self._picker = ServerPicker(ports, self._suspects)
        self._retry_policy = RetryPolicy(ports, self._picker)

    async def serve(self, exchange: CallerExchange) -> None:
        """Answer one request with a server's response or with a refusal."""
        request_id, key_digest = "", None
        try:
            call = decode_caller_request(
                method=exchange.method,
                path=exchange.path,
                headers=exchange.headers,
                body=exchange.body,
                arrived_s=exchange.arrived_s,
            )
            request_id, key_digest = call.request_id, call.api_key_digest
            context = await self._create_context(call, exchange)
        except BadRequestError as error:
            refusal = Refusal(400, "bad_request", str(error), Run.NO, error.step)
            self._refuse_unrouted(exchange, request_id, refusal)
            return
        except RefusalError as error:
            self._refuse_unrouted(
                exchange, request_id, error.refusal, key_digest=key_digest
            )
            return
        except Exception as error:
            _log_own_failure(exchange, request_id, error)
            refusal = _own_failure(not_run=True).refusal
            self._refuse_unrouted(exchange, request_id, refusal)
            return
        try:
            self._refuse_if_expired(context)
            await self._admit(context)
            await self._run_attempts(context)
        except RefusalError as error:
            self._give_up(context, error)
        except asyncio.CancelledError:
            if self._now_s() < self._ports.runs_end_s() or exchange.disconnected:
                raise
            self._give_up(context, _unfinished_error(context))
        except Exception as error:
            _log_own_failure(exchange, request_id, error)
            self._give_up(context, _own_failure(not_run=context.certainly_not_run))
        finally:
            context.hold.release()
            self._retry_policy.release_retry(context)
            self._suspects.end(context)
            if not context.attempt_open:
                # The caller left before the attempt was made.
                self._picker.give_back_admission(context)
            decision = context.quota_decision
            if decision and decision.granted and context.certainly_not_run:
                self._ports.quotas.give_back(decision)

    def refuse_body(self, exchange: CallerExchange) -> None:
        """Refuse a request for whose body this entry VM has no memory."""
        refusal = Refusal(
            503,
            "no_memory",
            "the entry VM has no memory for the request's body",
            Run.NO,
            Step.PARSE,
            retry_after_s=RETRY_AFTER_S,
        )
        request_id = echoed_request_id(exchange.headers) or ""
        self._refuse_unrouted(exchange, request_id, refusal)

    def upload_time_s(self, exchange: CallerExchange) -> float:
        """Return how long the body of a request may take until nobody waits for it."""
        catalog = self._ports.catalog()
        host, path = host_name(exchange.headers), exchange.path.partition("?")[0]
        route = catalog.find(host, path) if catalog is not None else None
        limit_s = UPLOAD_TIME_S if route is None else route.timeout_s
        with suppress(BadRequestError):
            # A limit that can't be read is rejected once the request is complete.
            wait_s = caller_wait_s(exchange.headers)
            limit_s = limit_s if wait_s is None else min(wait_s, limit_s)
        ends_s = exchange.arrived_s + limit_s - RESPONSE_MARGIN_S
        return max(0.0, ends_s - self._now_s())

    def refuse_late_upload(self, exchange: CallerExchange) -> None:
        """Refuse a request whose body was not complete before its time ended."""
        request_id = echoed_request_id(exchange.headers) or ""
        self._refuse_unrouted(exchange, request_id, EXPIRED)

    def _refuse_if_expired(self, context: RequestContext) -> None:
        """Refuse a request whose time was over before it was read."""
        if self._now_s() >= context.deadline_s:
            raise RefusalError(EXPIRED)

    async def _admit(self, context: RequestContext) -> None:
        """Raise RefusalError if the workspace's quota does not allow a request."""
        workspace = context.workspace
        if workspace is None or workspace.quota is None:
            return
        cost = workspace.quota.cost(context.call.tokens)
        decision = await self._ports.quotas.admit(workspace.name, cost)
        context.quota_decision = decision
        if decision.granted:
            return
        _log.info(
            "quota_exceeded",
            request_id=context.call.request_id,
            workspace=workspace.name,
            cost=cost,
            left=round(decision.left),
            rate_per_s=workspace.quota.rate_per_s,
            share=round(decision.share, 3),
            peer=decision.coordinator,
            retry_after_s=round(decision.retry_after_s, 2),
        )
        raise refuse(
            429,
            EXCEEDED_CODE,
            "the workspace's quota is used up",
            step=Step.LIMIT,
            retry_after_s=decision.retry_after_s,
        )

    async def _create_context(
        self, call: CallerRequest, exchange: CallerExchange
    ) -> RequestContext:
        if not self._recognizes(call) and self._ports.configuration().behind:
            await self._wait_for_configuration(call)
        catalog = self._ports.catalog()
        if catalog is None:
            raise refuse(
                503,
                "no_configuration",
                "no configuration is known yet",
                step=Step.ROUTE,
                retry_after_s=RETRY_AFTER_S,
            )
        route = self._find_route(call)
        if route is None:
            raise self._unrecognized_error(
                404, "no_route", "no route leads there", step=Step.ROUTE
            )
        workspace = None
        if catalog.requires_key(route):
            workspace = catalog.workspace(call.api_key_digest)
            if workspace is None:
                raise self._unrecognized_error(
                    401,
                    "invalid_api_key",
                    "the API key is missing or unknown",
                    step=Step.AUTHENTICATE,
                )
        origin = None
        if route.resumable and call.continues_stream:
            origin = await self._find_origin(call, route)
        name = origin.service if origin else route.service_for(call.request_id)
        service = catalog.services.get(name)
        if service is None:
            raise refuse(
                503,
                "no_service",
                "the route's service is not declared",
                step=Step.ROUTE,
                retry_after_s=RETRY_AFTER_S,
            )
        limit_s = call.limit_s(route.timeout_s)
        budget = self._ports.budget(service.name)
        budget.note_request(age_s=self._now_s() - call.arrived_s)
        streams = route.kind is RouteKind.STREAMING
        return RequestContext(
            call=call,
            route=route,
            service=service,
            workspace=workspace,
            exchange=exchange,
            deadline_s=call.arrived_s + limit_s - RESPONSE_MARGIN_S,
            configuration=self._ports.configuration(),
            event_sequence=EventSequence(last_id=call.last_event_id)
            if streams
            else None,
            software_version=origin.software_version if origin else None,
            hold=self._ports.held.open(),
        )

    async def _find_origin(self, call: CallerRequest, route: HostRoute) -> StreamOrigin:
        """Return where the stream that a request takes up began.

        Raises RefusalError if that is unknown, or a service to which the route does
        not lead any more: events of other software would not fit those that the
        caller has.
        """
        services = {share.service for share in route.shares}
        origin = await self._ports.origins.find(call.resumed_request_id)
        known_by = "entry_vms" if origin is not None else "nobody"
        if origin is None and len(services) == 1:
            (service,) = services
            version = await self._ports.sole_version(service)
            if version is not None:
                origin = StreamOrigin(service=service, software_version=version)
                known_by = "only_version"
        _log.info(
            "stream_taken_up",
            request_id=call.request_id,
            resumes=call.resumed_request_id[:MAX_LOGGED_CHARS],
            after_event=call.last_event_id,
            known_by=known_by,
            service=origin.service if origin else "",
            software_version=origin.software_version if origin else "",
        )
        if origin is None:
            raise refuse(
                503,
                "stream_origin_unknown",
                "it is not known which software began the stream",
                step=Step.ROUTE,
                retry_after_s=RETRY_AFTER_S,
            )
        if origin.service not in services:
            raise refuse(
                503,
                "stream_service_gone",
                "the route does not lead to the service that began the stream",
                step=Step.ROUTE,
                retry_after_s=RETRY_AFTER_S,
            )
        return origin

    def _find_route(self, call: CallerRequest) -> HostRoute | None:
        catalog = self._ports.catalog()
        if catalog is None:
            return None
        return catalog.find(call.host, call.path.partition("?")[0])

    def _recognizes(self, call: CallerRequest) -> bool:
        """Return whether the request's route and any key it needs are known."""
        catalog, route = self._ports.catalog(), self._find_route(call)
        if catalog is None or route is None:
            return False
        return (
            not catalog.requires_key(route)
            or catalog.workspace(call.api_key_digest) is not None
        )

    async def _wait_for_configuration(self, call: CallerRequest) -> None:
        """Wait briefly for a configuration with the request's route and key."""
        with suppress(TimeoutError):
            async with (
                asyncio.timeout(call.limit_s(ROUTE_WAIT_S)),
                self._ports.fleet_changed,
            ):
                while not self._recognizes(call) and self._ports.configuration().behind:
                    await self._ports.fleet_changed.wait()

    def _unrecognized_error(
        self, status: int, code: str, message: str, *, step: Step
    ) -> RefusalError:
        """Refuse an unknown route or key, unless they may be too new."""
        if self._ports.configuration().behind:
            return refuse(
                503,
                "configuration_outdated",
                f"{message} yet; a newer configuration is on its way",
                step=step,
                retry_after_s=RETRY_AFTER_S,
            )
        return refuse(status, code, message, step=step)

    async def _run_attempts(self, context: RequestContext) -> None:
        while True:
            server, in_flight = await self._picker.choose(context)
            sent_s = self._now_s()
            try:
                context.attempt_open = True
                response = await self._attempt(context, server, in_flight)
            except AttemptError as error:
                context.attempt_open = False
                context.attempt_evidence.append(error.evidence)
                if error.evidence is Evidence.NOT_SENT:
                    self._picker.give_back_admission(context)
                context.server_admission = None
                self._note_failed(context, server, error)
                if error.timed_out and error.evidence is not Evidence.NOT_SENT:
                    self._note_unanswered(context, server, sent_s=sent_s)
                await self._suspects.note_failed(context, server, in_flight, error)
                await self._retry_policy.wait_to_retry(context, error)
                continue
            context.attempt_open = False
            context.server_admission = None
            server.last_activity_s = self._now_s()
            failed = not response.success
            if failed and await self._retry_error_response(context, server, response):
                continue
            took_s = self._now_s() - sent_s
            note_success(server, took_s=took_s)
            if response.success:
                self._ports.durations.note_completed(context.route.name, took_s=took_s)
            self._suspects.clear(context, server, in_flight, response)
            self._finish(context, server, response)
            return

    async def _retry_error_response(
        self, context: RequestContext, server: BackendServer, response: ServerResponse
    ) -> bool:
        """Return whether to retry a request that got an error response.

        Raises RefusalError if the request can neither be retried nor the
        response be passed on.
        """
        if response.head.status < 500 and not context.exchange.response_started:
            return False
        context.tried.add(server.name)
        context.attempt_evidence.append(Evidence.SENT)
        note_error(server)
        error = AttemptError(
            f"the server answered {response.head.status}",
            step=Step.RESPONSE,
            peer=server.name,
            evidence=Evidence.SENT,
        )
        if context.exchange.response_started:
            # The caller has received part of a stream. This response can't be
            # passed on, and ending the stream would make it look complete.
            await self._retry_policy.wait_to_retry(context, error)
            return True
        if not self._picker.has_untried_server(context):
            return False
        context.obstacle = self._retry_policy.obstacle(context, error)
        return context.obstacle is None

    async def _attempt(
        self, context: RequestContext, server: BackendServer, in_flight: InFlightRequest
    ) -> ServerResponse:
        progress = RunProgress(
            run_id=in_flight.run_id,
            server=server.name,
            sent_s=self._now_s(),
            report=self._ports.scheduling.report,
        )

        connected: list[Connection] = []
        notices: list[ServerNotice] = []

        def on_connected(connection: Connection) -> None:
            connected.append(connection)
            note_sent(server)

        def on_events(head: ResponseHead, events: bytes) -> Awaitable[None] | None:
            server.last_activity_s = self._now_s()
            noting = None
            if progress.event_count == 0:
                noting = self._note_first_events(context, server, connected[0])
            progress.note_events(events.count(EVENT_END), now_s=server.last_activity_s)
            context.note_events(now_s=server.last_activity_s)
            in_flight.unread_tokens = 0
            self._suspects.note_events(context, server, in_flight)
            if noting is not None:
                return _pass_on_after(noting, context.exchange, head, events)
            return _pass_on(context.exchange, head, events)

        def on_watched(watchdog: Watchdog) -> None:
            in_flight.end_lost = watchdog.close_lost
            in_flight.leave_silent = partial(
                watchdog.close_if,
                partial(self._retry_policy.should_leave_suspect, context, server),
            )

        def should_leave() -> bool:
            # A silent server may be gone, also if the request stays there.
            answered = bool(notices)
            self._suspects.note_silent(context, server, in_flight, answered=answered)
            if answered and context.event_sequence is None:
                # The rest of a plain response is waited for.
                return False
            return self._retry_policy.should_leave(context, server)

        def on_notice(notice: ServerNotice) -> None:
            notices.append(notice)
            self._apply_notice(server, notice)

        event_sequence = context.event_sequence
        if event_sequence is not None:
            event_sequence.discard_partial_event()
        begun = event_sequence is not None and event_sequence.event_count > 0
        options = AttemptOptions(
            deadline_s=context.deadline_s,
            response_timeout_s=self._retry_policy.response_timeout_s(context, server),
            stall_timeout_s=self._retry_policy.stall_timeout_s(context, server),
            retryable=context.route.retryable,
            connections=context.connections,
            hold=context.hold,
            priority=None
            if context.service.engine is None
            else _engine_priority(context),
            workspace=context.workspace.name if context.workspace else None,
            last_event_id=event_sequence.last_id
            if event_sequence is not None and begun
            else None,
            # The server may leave while an adapter loads or a connection is
            # made.
            still_wanted=lambda: (
                server.usable
                and context.may_run_at(server)
                and not server.in_backoff(self._now_s())
                and self._ports.fleet_fresh_enough()
                and self._suspects.may_be_sent(context)
                and self._picker.fits_before_stop(context)
                and self._retry_policy.claim_attempt(context)
            ),
            may_abort=should_leave,
            on_watched=on_watched,
            on_connected=on_connected,
            on_notice=on_notice,
            on_load=lambda load: progress.note_load(load, now_s=self._now_s()),
        )
        context.stay_reason = None
        server.in_flight_requests[context.call.request_id] = in_flight
        if server.half_open:
            server.probed_s = self._now_s()
        self._suspects.start(context, server, in_flight)
        outcome = RunOutcome.FAILED
        try:
            response = await self._ports.attempts.send(
                context.call,
                server,
                options,
                event_sequence=event_sequence,
                on_events=on_events if event_sequence is not None else None,
            )
            if response.head.status < 500:
                outcome = RunOutcome.COMPLETED
            return response
        except AttemptError as error:
            if error.evidence in (Evidence.NOT_SENT, Evidence.REFUSED):
                outcome = RunOutcome.NOT_RUN
            raise
        except asyncio.CancelledError:
            if connected:
                self._note_abandoned(context, server, in_flight, answered=bool(notices))
            _log.info(
                "run_abandoned",
                request_id=context.call.request_id,
                sent=bool(connected),
                content=context.content_key,
                peer=server.name,
                born_ms=server.entry.born_ms,
                after_s=round(self._now_s() - progress.sent_s, 3),
                moved_ago_s=server.idle_s(self._now_s()),
            )
            raise
        except Exception:
            # Of an unexpected failure, only this tells whether a server has it.
            context.attempt_open = bool(connected)
            raise
        finally:
            progress.end(outcome, now_s=self._now_s())
            server.in_flight_requests.pop(context.call.request_id, None)
            self._suspects.end(context)

    def _note_abandoned(
        self,
        context: RequestContext,
        server: BackendServer,
        in_flight: InFlightRequest,
        *,
        answered: bool,
    ) -> None:
        """Note a request whose caller left while it was at a server.

        A server that did nothing for as long as it usually needs has failed it:
        what it says later, such as a rejection with a backoff, reaches nobody.
        """
        self._suspects.note_silent(context, server, in_flight, answered=answered)
        now_s = self._now_s()
        waited_s = now_s - in_flight.sent_s
        if waited_s >= self._retry_policy.expected_response_s(context, server):
            self._note_unanswered(context, server, sent_s=in_flight.sent_s)
        active = (server.last_activity_s or 0.0) > in_flight.sent_s
        usual_s = self._retry_policy.response_timeout_s(context, server)
        if not (answered or active) and waited_s >= usual_s:
            note_failure(server, now_s=now_s, silent=True)

    def _note_unanswered(
        self, context: RequestContext, server: BackendServer, *, sent_s: float
    ) -> None:
        """Note a request that was given up, unless its server was heard since."""
        now_s = self._now_s()
        if note_unanswered(server, sent_s=sent_s):
            _log.info(
                "server_unheard",
                request_id=context.call.request_id,
                peer=server.name,
                after_s=round(now_s - sent_s, 3),
                moved_ago_s=server.idle_s(now_s),
            )

    def _note_first_events(
        self, context: RequestContext, server: BackendServer, connection: Connection
    ) -> Awaitable[None] | None:
        """Note the first events of an attempt: they begin a stream or continue it.

        Return what must end before they are passed on, if anything. Raises
        AttemptError if they may be of another software version than those before:
        the server restarted since it was chosen.
        """
        confirming = None
        if context.route.resumable:
            connected_ago_s = asyncio.get_running_loop().time() - connection.opened_s
            confirming = self._ports.confirm_process(connected_ago_s)
        if confirming is not None:
            return self._confirm_software(context, server, confirming)
        recording = self._note_software(context, server)
        return None if recording is None else _wait_briefly(recording)

    async def _confirm_software(
        self,
        context: RequestContext,
        server: BackendServer,
        confirming: Awaitable[None],
    ) -> None:
        """Note the first events once it is known which process sent them.

        If that takes too long, no server can continue a stream that begins. The
        caller of one that goes on waits for it anyway.
        """
        if context.software_version is not None:
            await confirming
        else:
            reading = asyncio.ensure_future(confirming)
            await _wait_briefly(reading)
            if not reading.done():
                context.software_version = UNKNOWN_VERSION
                return
        recording = self._note_software(context, server)
        if recording is not None:
            await _wait_briefly(recording)

    def _note_software(
        self, context: RequestContext, server: BackendServer
    ) -> asyncio.Future[None] | None:
        """Note which software version a stream begins or goes on at."""
        version = server.entry.software_version
        if context.event_sequence is None:
            return None
        current = self._ports.fleet.servers.get(server.name, server)
        if not current.has_software_of(server.entry):
            if context.software_version is not None:
                context.event_sequence.reject_latest()
                raise AttemptError(
                    "the server restarted with another software version",
                    step=Step.STREAM,
                    peer=server.name,
                    evidence=Evidence.ANSWER_BEGUN
                    if context.exchange.response_started
                    else Evidence.SENT,
                )
            # Either version may have written the events, so that none can
            # continue the stream.
            context.software_version = UNKNOWN_VERSION
            return None
        if context.call.resumed_request_id or context.software_version is not None:
            _log.info(
                "stream_continued",
                request_id=context.call.request_id,
                resumes=context.call.resumed_request_id,
                peer=server.name,
                software_version=version,
                began_at_version=context.software_version,
            )
        if context.software_version is None:
            context.software_version = version
            if context.route.resumable:
                origin = StreamOrigin(
                    service=context.service.name, software_version=version
                )
                self._ports.origins.note_began(context.call.request_id, origin)
                return self._ports.record_version(context.service.name, version)
        return None

    def _apply_notice(self, server: BackendServer, notice: ServerNotice) -> None:
        """Apply the notice in a response's headers to its server."""
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
            note_response(server, now_s=now_s)
        if apply_limit_notice(server, notice, now_s=now_s):
            self._ports.on_limit_change()
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
            tries=len(context.attempt_evidence),
            moved_ago_s=server.idle_s(self._now_s()),
            **error.basis.log_fields,
            **lost_run_fields(context, server, error),
        )
        if error.withdrawn:
            # Not a fault of the server; if it left, the fleet shows it.
            return
        context.tried.add(server.name)
        now_s = self._now_s()
        if error.evidence is Evidence.NOT_SENT:
            note_connect_failure(server, now_s=now_s)
            if error.refused:
                self._ports.crashes.note_crashed(instance_of(server))
        if error.evidence is not Evidence.REFUSED:
            silent = error.timed_out or error.evidence is Evidence.NOT_SENT
            silent = silent or error.oversized
            note_failure(server, now_s=now_s, silent=silent)
        elif error.status == 421 and context.call.prompt is not None:
            # The server no longer holds the model or adapter that it was
            # listed with.
            prompt = context.call.prompt
            if prompt.adapter and prompt.model in server.resident_models:
                server.resident_models[prompt.model].discard(prompt.adapter)
            else:
                server.resident_models.pop(prompt.model, None)

    def _finish(
        self, context: RequestContext, server: BackendServer, response: ServerResponse
    ) -> None:
        context.responded_by = server.name
        exchange = context.exchange
        if exchange.response_started:
            exchange.end()
        else:
            # From here on, the caller's exchange holds the body.
            context.hold.release()
            exchange.respond(
                response.head.status,
                forwarded_headers(response.head.headers),
                response.body,
            )
        self._ports.on_outcome(context, response.head.status, "")

    def _give_up(self, context: RequestContext, error: RefusalError) -> None:
        refusal = error.refusal
        cut = context.exchange.response_started
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
            tries=len(context.attempt_evidence),
            age_s=round(self._now_s() - context.call.arrived_s, 3),
            unread_s=context.exchange.unread_s,
            wait_s=context.call.wait_s,
            cut=cut,
            obstacle=context.obstacle,
            repeats_left=self._retry_policy.retries_left(context),
            **context.configuration.log_fields,
        )

    def _refuse_unrouted(
        self,
        exchange: CallerExchange,
        request_id: str,
        refusal: Refusal,
        *,
        key_digest: str | None = None,
    ) -> None:
        """Refuse a request that is malformed, or has no route, service or key."""
        self._refuse(
            exchange,
            request_id,
            refusal.status,
            refusal.code,
            refusal.message,
            refusal.retry_after_s,
        )
        # A separate event name, so that a flood of such requests, which any
        # client can cause, does not use up the log quota of other refusals.
        _log.info(
            "request_unrouted",
            request_id=request_id,
            status=refusal.status,
            code=refusal.code,
            why=refusal.message,
            step=refusal.step.value,
            host=exchange.headers.get("Host", "")[:MAX_LOGGED_CHARS],
            path=exchange.path.partition("?")[0][:MAX_LOGGED_CHARS],
            key_digest=logged_digest(key_digest),
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
        exchange.respond(status, headers, body)

    def _now_s(self) -> float:
        return self._ports.clock.monotonic_s()


def _log_own_failure(
    exchange: CallerExchange, request_id: str, error: Exception
) -> None:
    """Log an exception that this VM raised as it served a request."""
    _log.error(
        "serving_failed",
        request_id=request_id,
        path=exchange.path.partition("?")[0][:MAX_LOGGED_CHARS],
        why=repr(error),
        exc_info=error,
    )


def _own_failure(*, not_run: bool) -> RefusalError:
    """Build the refusal of a request that this VM failed to serve."""
    message = "this entry VM failed to serve the request"
    if not_run:
        return refuse(
            503,
            "internal_error",
            message,
            step=Step.ROUTE,
            retry_after_s=RETRY_AFTER_S,
        )
    return refuse(502, "internal_error", message, step=Step.RESPONSE, run=Run.UNKNOWN)


def _unfinished_error(context: RequestContext) -> RefusalError:
    """Build the refusal of a request that a planned stop ends."""
    if context.certainly_not_run:
        return refuse(
            503,
            STOPPING_CODE,
            "this entry VM stops",
            step=Step.ROUTE,
            retry_after_s=0.0,
        )
    return refuse(
        502,
        STOPPING_CODE,
        "this entry VM stops before the response is complete",
        step=Step.RESPONSE,
        run=Run.UNKNOWN,
    )


def _engine_priority(context: RequestContext) -> int:
    """Return the priority sent to the engine, from 0 (first) to 9."""
    latency_offset = 3 if context.route.target_latency_s > 2.0 else 0
    return max(0, min(9, 1 + 2 * context.priority + latency_offset))
