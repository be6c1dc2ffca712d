"""One try of a request at one backend server, and what is known afterwards."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from rosepath.caller_call import CallerCall
from rosepath.clock import Clock
from rosepath.errors import ExchangeError, RosepathError, Step
from rosepath.event_order import EventOrder, EventOrderError
from rosepath.fleet import BackendServer
from rosepath.http_client import HttpPool, Request, ResponseHead
from rosepath.http_exchange import says_its_end
from rosepath.platform.calls import (
    AnswerFacts,
    belongs_to,
    encode_headers,
    read_answer,
)
from rosepath.retries import Evidence
from rosepath.server_notice import ServerNotice

# Within one data centre a connection takes a millisecond, between two a few.
CONNECT_TIMEOUT_S = 0.4
# A non-idempotent request must not be spent on a connection that has gone
# silent. The kernel's probes of idle connections find that out within three
# seconds, so one that answered this recently, or outlived them, is live.
PROVEN_LIVE_WITHIN_S = 3.0


class AttemptError(RosepathError):
    """A try ended without an answer that counts.

    `lost` says that the server's end of the connection went away during the
    run, `answered` that the server had begun to answer before.
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
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.withdrawn = withdrawn
        self.evidence = evidence
        self.timed_out = timed_out
        self.status = status
        self.lost = lost
        self.answered = answered


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Hold a backend server's own answer; a stream's body is passed on already."""

    head: ResponseHead
    facts: AnswerFacts
    body: bytes = b""

    @property
    def delimited(self) -> bool:
        """Tell whether the answer itself says where it ends."""
        return says_its_end(self.head.headers)

    @property
    def success(self) -> bool:
        return 200 <= self.head.status < 300


@dataclass(frozen=True, slots=True, kw_only=True)
class Sending:
    """Say how a request goes to a server: until when, and what is added.

    `patience_s` bounds the silence before its answer begins, `pause_s` after.
    `still_wanted` is asked right before the first byte goes out, `may_break_off`
    before a silent server is left. `on_notice` is told what the head of an answer
    says of the server.
    """

    deadline_s: float
    patience_s: float
    pause_s: float
    repeatable: bool
    priority: int | None = None
    last_event_id: int | None = None
    still_wanted: Callable[[], bool] = lambda: True
    may_break_off: Callable[[], bool] = lambda: True
    on_notice: Callable[[ServerNotice], None] = lambda _: None


OnStream = Callable[[ResponseHead, bytes], Awaitable[None] | None]


class Attempts:
    """Run tries over pooled connections."""

    def __init__(self, pool: HttpPool, *, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock

    async def send(
        self,
        call: CallerCall,
        server: BackendServer,
        sending: Sending,
        *,
        order: EventOrder | None = None,
        on_events: OnStream | None = None,
    ) -> Answer:
        """Run one try; raises AttemptError.

        With `on_events`, the events of a successful answer are passed on as
        they arrive, each once and in order.
        """
        body: list[bytes] = []
        heads: list[tuple[ResponseHead, AnswerFacts]] = []

        def on_head(head: ResponseHead) -> None:
            facts = read_answer(head.status, head.headers)
            heads.append((head, facts))
            sending.on_notice(facts.notice)

        def on_data(data: bytes) -> Awaitable[None] | None:
            head, facts = heads[0]
            streams = head.status == 200 and facts.signed and not facts.encoded
            if on_events is None or order is None or not streams:
                body.append(data)
                return None
            events = order.feed(data)
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
                left_s=sending.deadline_s - now_s,
                priority=sending.priority,
                last_event_id=sending.last_event_id,
            ),
            body=call.body,
            connect_timeout_s=min(CONNECT_TIMEOUT_S, sending.deadline_s - now_s),
            progress_timeout_s=sending.patience_s,
            pause_timeout_s=sending.pause_s,
            proven_live_within_s=None if sending.repeatable else PROVEN_LIVE_WITHIN_S,
            accepts=lambda head: belongs_to(call, head.headers),
            still_wanted=sending.still_wanted,
            may_break_off=sending.may_break_off,
        )
        try:
            async with asyncio.timeout(sending.deadline_s - now_s):
                head = await self._pool.exchange(
                    request, on_head=on_head, on_data=on_data
                )
        except ExchangeError as error:
            raise self._broken(error, order, heads) from error
        except TimeoutError as error:
            raise AttemptError(
                "no whole answer in time",
                step=Step.ANSWER,
                peer=server.name,
                evidence=_begun(order),
                timed_out=True,
            ) from error
        except EventOrderError as error:
            raise AttemptError(
                str(error), step=Step.STREAM, peer=server.name, evidence=_begun(order)
            ) from error
        facts = heads[0][1]
        if facts.not_run:
            raise AttemptError(
                f"refused with {head.status}",
                step=Step.ANSWER,
                peer=server.name,
                evidence=Evidence.REFUSED,
                status=head.status,
            )
        if not facts.signed or facts.encoded:
            raise AttemptError(
                f"an answer of {head.status} that is not the server's",
                step=Step.ANSWER,
                peer=server.name,
                evidence=_begun(order),
                status=head.status,
            )
        if order is not None and order.unfinished:
            raise AttemptError(
                "the stream ended within an event",
                step=Step.STREAM,
                peer=server.name,
                evidence=_begun(order),
                lost=True,
                answered=True,
            )
        return Answer(head=head, facts=facts, body=b"".join(body))

    def _broken(
        self,
        error: ExchangeError,
        order: EventOrder | None,
        heads: list[tuple[ResponseHead, AnswerFacts]],
    ) -> AttemptError:
        evidence = _begun(order)
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
        )


def _begun(order: EventOrder | None) -> Evidence:
    if order is not None and order.events:
        return Evidence.ANSWER_BEGUN
    return Evidence.SENT
