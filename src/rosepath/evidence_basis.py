"""Record the response and the connection on which an attempt's evidence rests."""

from dataclasses import dataclass
from typing import Any

from rosepath.caller_request import CallerRequest
from rosepath.clock import Clock
from rosepath.fleet import BackendServer
from rosepath.http_exchange import Connection, ResponseHead
from rosepath.logs import get_logger
from rosepath.platform.calls import echoed_request_id

# Length limit of logged request ids, which backend servers choose.
MAX_LOGGED_ID_CHARS = 64

_log = get_logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class EvidenceBasis:
    """Describe the response that decided an attempt, and its connection.

    `status` is 0 without a response. `after_s` counts from the first byte sent,
    `earlier_exchanges` are those of the same connection. `skipped_responses`
    came before it and were taken for those of other requests.
    """

    status: int = 0
    after_s: float | None = None
    earlier_exchanges: int = 0
    skipped_responses: int = 0

    @property
    def log_fields(self) -> dict[str, Any]:
        """Return the fields by which a log line tells what the evidence is."""
        return {
            "response_status": self.status,
            "response_after_s": self.after_s,
            "earlier_exchanges": self.earlier_exchanges,
            "skipped_responses": self.skipped_responses,
        }


NO_BASIS = EvidenceBasis()


class ResponseTracker:
    """Follow the responses that arrive for one attempt."""

    def __init__(
        self, call: CallerRequest, server: BackendServer, *, clock: Clock
    ) -> None:
        self._call = call
        self._server = server
        self._clock = clock
        # Whether the first byte may have been sent.
        self.sent = False
        self._sent_s = 0.0
        self._earlier_exchanges = 0
        self._skipped = 0
        self._head: ResponseHead | None = None
        self._after_s: float | None = None

    def note_sending(self, connection: Connection) -> None:
        """Record the connection, right before the first byte is sent."""
        self.sent = True
        self._sent_s = self._clock.monotonic_s()
        self._earlier_exchanges = connection.exchange_count

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether a response is this request's; log it if not.

        Servers echo the id. A response without one belongs to no request, and
        its status says nothing of this one, whose own response may follow.
        """
        echoed = echoed_request_id(head.headers)
        if echoed == self._call.request_id:
            self._head = head
            self._after_s = self._elapsed_s()
            return True
        self._skipped += 1
        _log.info(
            "response_skipped",
            request_id=self._call.request_id,
            peer=self._server.name,
            status=head.status,
            named=(echoed or "")[:MAX_LOGGED_ID_CHARS],
            response_after_s=self._elapsed_s(),
            earlier_exchanges=self._earlier_exchanges,
        )
        return False

    @property
    def basis(self) -> EvidenceBasis:
        """Return what is known of the response so far."""
        head = self._head
        return EvidenceBasis(
            status=head.status if head else 0,
            after_s=self._after_s,
            earlier_exchanges=self._earlier_exchanges,
            skipped_responses=self._skipped,
        )

    def _elapsed_s(self) -> float:
        return round(self._clock.monotonic_s() - self._sent_s, 3)
