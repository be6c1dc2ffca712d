"""Define typed errors with the step and the peer at which they occurred."""

from dataclasses import dataclass
from enum import StrEnum


class Run(StrEnum):
    """Enumerate how much of a refused request was run."""

    NO = "no"
    PARTIAL = "partial"
    UNKNOWN = "unknown"


class Step(StrEnum):
    """Enumerate the steps of a request at which an error can occur."""

    PARSE = "parse"
    AUTHENTICATE = "authenticate"
    ROUTE = "route"
    LIMIT = "limit"
    CLAIM = "claim"
    CONNECT = "connect"
    SEND = "send"
    RESPONSE = "answer"
    STREAM = "stream"
    STORE = "store"
    DEFER = "defer"


class RosepathError(Exception):
    """Base class of errors with a message, a step and a peer."""

    def __init__(self, message: str, *, step: Step, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer


class ExchangeError(RosepathError):
    """Report an HTTP exchange that did not complete.

    `sent` is False only if no byte of the request was written to the socket;
    `withdrawn` is True if that is because the request was cancelled;
    `answered` is True once the head of the response arrived; `lost` is True if
    the peer closed or reset the connection before the response was complete;
    `refused` is True if the peer is known to accept no connections.
    """

    def __init__(
        self,
        message: str,
        *,
        step: Step,
        peer: str,
        sent: bool,
        answered: bool = False,
        timed_out: bool = False,
        withdrawn: bool = False,
        lost: bool = False,
        refused: bool = False,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.lost = lost
        self.refused = refused
        self.sent = sent
        self.withdrawn = withdrawn
        self.answered = answered
        self.timed_out = timed_out


@dataclass(frozen=True, slots=True)
class Refusal:
    """Hold the error response to a caller, including how much was run."""

    status: int
    code: str
    message: str
    run: Run
    step: Step
    peer: str = ""
    retry_after_s: float | None = None


class RefusalError(Exception):
    """Propagate a refusal to the handler, which sends it to the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


def refuse(
    status: int,
    code: str,
    message: str,
    *,
    step: Step,
    run: Run = Run.NO,
    peer: str = "",
    retry_after_s: float | None = None,
) -> RefusalError:
    """Build the exception that carries a refusal."""
    return RefusalError(Refusal(status, code, message, run, step, peer, retry_after_s))
