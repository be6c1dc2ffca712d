"""One attempt of a request at one backend server, and its outcome."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from rosepath.caller_request import CallerRequest
from rosepath.clock import Clock
from rosepath.errors import ExchangeError, RosepathError, Step
from rosepath.event_sequence import EventSequence, EventSequenceError
from rosepath.evidence_basis import NO_BASIS, EvidenceBasis, ResponseTracker
from rosepath.fleet import BackendServer
from rosepath.held_bytes import HeldBytes, Hold
from rosepath.http_client import HttpPool, Request, ResponseHead
from rosepath.http_exchange import Connection, Watchdog, is_self_delimited
from rosepath.platform.calls import (
    deadline_headers,
    encode_headers,
    read_response_metadata,
)
from rosepath.response_metadata import (
    NOT_RUN_STATUSES,
    ResponseMetadata,
    ServerLoad,
)
from rosepath.retries import Evidence
from rosepath.server_notice import ServerNotice

# Connecting takes about 1 ms within a data centre and a few ms between two.
CONNECT_TIMEOUT_S = 0.4
# Responses are held until complete, so that a failed attempt can be repeated.
MAX_BODY_BYTES = 16 * 1024 * 1024
# A non-idempotent request must not be lost on a dead connection. The kernel's
# keepalive probes detect one within three seconds, so a connection that
# received data this recently, or survived the probes, is live.
PROVEN_LIVE_WITHIN_S = 3.0


class AttemptError(RosepathError):
    """An attempt ended without a valid response.

    `lost` means that the server's end of the connection closed while the
    request ran, `answered` that the server had started its response before,
    `refused` that the server is known to accept no connections, `oversized` that
    its response was too large to hold. `basis` tells on which response the
    evidence rests.
    """

    def __init__(
        self,
        message: str,
        *,
        step: Step,
        peer: str,
        evidence: Evidence,
        timed_out: bool = False,
        withdrawn: bool = False,
        status: int = 0,
        lost: bool = False,
        answered: bool = False,
        refused: bool = False,
        oversized: bool = False,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.oversized = oversized
        self.refused = refused
        self.withdrawn = withdrawn
        self.evidence = evidence
        self.timed_out = timed_out
        self.status = status
        self.lost = lost
        self.answered = answered
        self.basis: EvidenceBasis = NO_BASIS


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerResponse:
    """Hold a backend server's response; `body` omits events of a stream."""

    head: ResponseHead
    facts: ResponseMetadata
    body: bytes = b""

    @property
    def delimited(self) -> bool:
        """Return whether the headers, not the close, delimit the body."""
        return is_self_delimited(self.head.headers)

    @property
    def success(self) -> bool:
        return 200 <= self.head.status < 300


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptOptions:
    """Set the limits, added headers and callbacks of one attempt.

    `response_timeout_s` limits the silence before the response begins,
    `stall_timeout_s` the silence after. `still_wanted` is called right before
    the first byte is sent, and `may_abort` before an exchange with a
    silent server is ended. `on_watched` receives the watchdog, by which it may be
    ended earlier, `on_notice` the notice in the response's headers, `on_load` the
    server's load. `connections` are those of the request's earlier attempts; that
    of this one is added, and given to `on_connected`. `hold` counts what is held
    of the response.
    """

    deadline_s: float
    response_timeout_s: float
    stall_timeout_s: float
    retryable: bool
    priority: int | None = None
    workspace: str | None = None
    last_event_id: int | None = None
    still_wanted: Callable[[], bool] = lambda: True
    may_abort: Callable[[], bool] = lambda: True
    on_watched: Callable[[Watchdog], None] = lambda _: None
    on_notice: Callable[[ServerNotice], None] = lambda _: None
    on_load: Callable[[ServerLoad | None], None] = lambda _: None
    connections: set[Connection] = field(default_factory=set)
    on_connected: Callable[[Connection], None] = lambda _: None
    hold: Hold = field(default_factory=lambda: HeldBytes.of_memory().open())


OnEvents = Callable[[ResponseHead, bytes], Awaitable[None] | None]


class AttemptSender:
    """Send attempts over pooled connections."""

    def __init__(self, pool: HttpPool, *, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock

    async def send(
        self,
        call: CallerRequest,
        server: BackendServer,
        options: AttemptOptions,
        *,
        event_sequence: EventSequence | None = None,
        on_events: OnEvents | None = None,
    ) -> ServerResponse:
        """Run one attempt; raises AttemptError.

        With `on_events`, the events of a successful response are passed on as
        they arrive, each once and in order.
        """
        tracker = ResponseTracker(call, server, clock=self._clock)
        try:
            return await self._send(
                call,
                server,
                options,
                tracker,
                event_sequence=event_sequence,
                on_events=on_events,
            )
        except AttemptError as error:
            error.basis = tracker.basis
            raise

    async def _send(
        self,
        call: CallerRequest,
        server: BackendServer,
        options: AttemptOptions,
        tracker: ResponseTracker,
        *,
        event_sequence: EventSequence | None,
        on_events: OnEvents | None,
    ) -> ServerResponse:
        body: list[bytes] = []
        hold = options.hold
        hold.release()
        watchdogs: list[Watchdog] = []
        oversized = False
        # A late copy of the response to an earlier attempt bears the same id. It
        # can only arrive on that attempt's connection.
        earlier_connections = frozenset(options.connections)
        heads: list[tuple[ResponseHead, ResponseMetadata]] = []

        def evidence() -> Evidence:
            if not tracker.sent:
                return Evidence.NOT_SENT
            if heads and heads[0][1].not_run:
                return Evidence.REFUSED
            return _evidence_of(event_sequence)

        def on_sending(connection: Connection) -> None:
            tracker.note_sending(connection)
            options.connections.add(connection)
            options.on_connected(connection)

        def on_head(head: ResponseHead) -> None:
            facts = read_response_metadata(head.status, head.headers)
            heads.append((head, facts))
            options.on_notice(facts.notice)
            options.on_load(facts.load)

        def oversized_error() -> AttemptError:
            body.clear()
            hold.release()
            return AttemptError(
                "the response is too large",
                step=Step.RESPONSE,
                peer=server.name,
                evidence=evidence(),
                status=heads[0][0].status,
                oversized=True,
            )

        def break_off() -> None:
            nonlocal oversized
            oversized = True
            body.clear()
            watchdogs[0].close_lost()

        def on_watched(watchdog: Watchdog) -> None:
            watchdogs.append(watchdog)
            hold.break_off = break_off
            options.on_watched(watchdog)

        def on_data(data: bytes) -> Awaitable[None] | None:
            head, facts = heads[0]
            streams = head.status == 200 and facts.signed and not facts.encoded
            if on_events is None or event_sequence is None or not streams:
                too_large = hold.size_bytes + len(data) > MAX_BODY_BYTES
                if oversized or too_large or not hold.grow(len(data)):
                    raise oversized_error()
                body.append(data)
                return None
            events = event_sequence.feed(data)
            return on_events(head, events) if events else None

        now_s = self._clock.monotonic_s()
        request = Request(
            address=server.address,
            method=call.method,
            path=call.path,
            host=call.headers["Host"],
            headers=encode_headers(
                call,
                server=server.name,
                priority=options.priority,
                workspace=options.workspace,
                last_event_id=options.last_event_id,
            ),
            late_headers=lambda: deadline_headers(
                options.deadline_s - self._clock.monotonic_s()
            ),
            body=call.body,
            connect_timeout_s=min(CONNECT_TIMEOUT_S, options.deadline_s - now_s),
            progress_timeout_s=options.response_timeout_s,
            pause_timeout_s=options.stall_timeout_s,
            proven_live_within_s=None if options.retryable else PROVEN_LIVE_WITHIN_S,
            accepts=tracker.accepts,
            still_wanted=options.still_wanted,
            on_sending=on_sending,
            avoided_connections=earlier_connections,
            may_abort=options.may_abort,
            on_watched=on_watched,
        )
        try:
            async with asyncio.timeout(options.deadline_s - now_s):
                head = await self._pool.exchange(
                    request, on_head=on_head, on_data=on_data
                )
        except ExchangeError as error:
            if oversized:
                raise oversized_error() from error
            raise self._attempt_error(error, event_sequence, heads) from error
        except TimeoutError as error:
            raise AttemptError(
                "no whole answer in time" if tracker.sent else "no connection in time",
                step=Step.RESPONSE if tracker.sent else Step.CONNECT,
                peer=server.name,
                evidence=evidence(),
                timed_out=tracker.sent,
                answered=bool(heads),
                # The server was given less than the time to connect.
                withdrawn=not tracker.sent,
                status=heads[0][0].status if heads else 0,
            ) from error
        except EventSequenceError as error:
            raise AttemptError(
                str(error),
                step=Step.STREAM,
                peer=server.name,
                evidence=_evidence_of(event_sequence),
            ) from error
        finally:
            hold.break_off = None
        facts = heads[0][1]
        if facts.not_run:
            raise AttemptError(
                f"refused with {head.status}",
                step=Step.RESPONSE,
                peer=server.name,
                evidence=Evidence.REFUSED,
                status=head.status,
            )
        if not facts.signed or facts.encoded:
            raise AttemptError(
                f"an answer of {head.status} that is not the server's",
                step=Step.RESPONSE,
                peer=server.name,
                evidence=_evidence_of(event_sequence),
                status=head.status,
            )
        if head.status in NOT_RUN_STATUSES and not options.retryable:
            # The status would promise the caller what the server did not state.
            raise AttemptError(
                f"an answer of {head.status} without proof that it did not run",
                step=Step.RESPONSE,
                peer=server.name,
                evidence=_evidence_of(event_sequence),
                status=head.status,
            )
        if event_sequence is not None and event_sequence.has_partial_event:
            raise AttemptError(
                "the stream ended within an event",
                step=Step.STREAM,
                peer=server.name,
                evidence=_evidence_of(event_sequence),
                lost=True,
                answered=True,
            )
        return ServerResponse(head=head, facts=facts, body=b"".join(body))

    def _attempt_error(
        self,
        error: ExchangeError,
        event_sequence: EventSequence | None,
        heads: list[tuple[ResponseHead, ResponseMetadata]],
    ) -> AttemptError:
        evidence = _evidence_of(event_sequence)
        if not error.sent:
            evidence = Evidence.NOT_SENT
        elif heads and heads[0][1].not_run:
            evidence = Evidence.REFUSED
        return AttemptError(
            error.message,
            step=error.step,
            peer=error.peer,
            evidence=evidence,
            timed_out=error.timed_out,
            withdrawn=error.withdrawn,
            lost=error.lost,
            answered=error.answered,
            refused=error.refused,
        )


def _evidence_of(event_sequence: EventSequence | None) -> Evidence:
    if event_sequence is not None and event_sequence.event_count:
        return Evidence.ANSWER_BEGUN
    return Evidence.SENT
