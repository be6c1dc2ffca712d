"""Typed failures, each with the step and the peer at which it arose."""

from dataclasses import dataclass
from enum import StrEnum


class Run(StrEnum):
    """Tell how much of a refused request was run."""

    NO = "no"
    PARTIAL = "partial"
    UNKNOWN = "unknown"


class Step(StrEnum):
    """Name the part of the path at which a failure arose."""

    PARSE = "parse"
    AUTHENTICATE = "authenticate"
    ROUTE = "route"
    LIMIT = "limit"
    CLAIM = "claim"
    CONNECT = "connect"
    SEND = "send"
    ANSWER = "answer"
    STREAM = "stream"
    STORE = "store"
    DEFER = "defer"


class RosepathError(Exception):
    """Carry what went wrong, where, and with whom."""

    def __init__(self, message: str, *, step: Step, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer


class ExchangeError(RosepathError):
    """Report an HTTP exchange that did not complete.

    `sent` is False only if no byte of the request was handed to the socket;
    `withdrawn` is True if that is because it was no longer wanted; `answered` is
    True once the head of the answer arrived; `lost` is True if the peer closed or
    reset the connection before the answer was whole.
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
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.lost = lost
        self.sent = sent
        self.withdrawn = withdrawn
        self.answered = answered
        self.timed_out = timed_out


@dataclass(frozen=True, slots=True)
class Refusal:
    """Answer a caller that its request fails, and whether any of it ran."""

    status: int
    code: str
    message: str
    run: Run
    step: Step
    peer: str = ""
    retry_after_s: float | None = None


class RefusalError(Exception):
    """Unwind a request to the handler, which sends the refusal."""

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
