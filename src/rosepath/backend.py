"""The interface to backend servers, independent of the wire protocol."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from rosepath.errors import RosepathError, Step
from rosepath.ledger import EngineReport


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load and resident models of a backend server at one time.

    `at_s` is read from the backend server's own wall clock.
    """

    at_s: float
    engine: EngineReport
    running: int
    queued: int
    slots: int
    running_by_target: Mapping[str, int]
    closing: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class Generation:
    """A generation request; `offset` is the token at which to resume."""

    request_id: str
    target: str
    prompt: str
    max_tokens: int
    shape: str
    served_as: str
    include_usage: bool = False
    priority: int = 0
    created: int = 0
    offset: int = 0
    traceparent: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An order to an engine: load, unload, or record a fencing token.

    The engine rejects orders with a lower fencing token than it has seen.
    """

    order_id: str
    fence: int
    action: str
    target: str
    memory_bytes: int


class NotRunError(RosepathError):
    """The backend server reports that it ran no part of the request."""

    def __init__(self, message: str, *, step: Step, peer: str, code: str) -> None:
        super().__init__(message, step=step, peer=peer)
        self.code = code


class StaleFenceError(RosepathError):
    """The engine has already seen a higher fencing token."""


OnBytes = Callable[[bytes], Awaitable[None] | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class SendPolicy:
    """Timeouts and connection requirements of one exchange.

    A pooled connection is used only if it received a response within
    `proven_live_within_s`; None means the pool's own idle limit. When the
    progress timeout expires, `may_abort` returns whether to abort.
    """

    connect_timeout_s: float = 1.0
    progress_timeout_s: float = 10.0
    proven_live_within_s: float | None = None
    may_abort: Callable[[], bool] = lambda: True


class BackendPort(Protocol):
    """Send reports, orders and generation requests to an address."""

    async def report(self, address: str) -> LoadReport: ...

    async def order(self, address: str, order: Order) -> None: ...

    async def cancel(self, address: str, request_id: str) -> None: ...

    async def generate(
        self,
        address: str,
        generation: Generation,
        on_bytes: OnBytes,
        policy: SendPolicy,
    ) -> None: ...
