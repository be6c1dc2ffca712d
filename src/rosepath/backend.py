"""The port to backend servers: what the system asks of them."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from rosepath.errors import RosepathError, Step
from rosepath.ledger import EngineReport


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Hold one report; `at_s` is the backend server's own wall clock."""

    at_s: float
    engine: EngineReport
    running: int
    queued: int
    slots: int
    running_by_target: Mapping[str, int]
    closing: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class Generation:
    """Ask an engine for an answer, from an offset in tokens onwards."""

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
    """Order an engine to load or unload, or to note a fencing number."""

    order_id: str
    fence: int
    action: str
    target: str
    memory_bytes: int


class NotRunError(RosepathError):
    """The backend server itself says that it ran nothing."""

    def __init__(self, message: str, *, step: Step, peer: str, code: str) -> None:
        super().__init__(message, step=step, peer=peer)
        self.code = code


class StaleFenceError(RosepathError):
    """The engine has seen a higher fencing number."""


OnBytes = Callable[[bytes], Awaitable[None] | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class SendPolicy:
    """Bound the waits of one exchange; a fresh connection if it must be."""

    connect_timeout_s: float = 1.0
    progress_timeout_s: float = 10.0
    proven_live_within_s: float | None = None
    may_break_off: Callable[[], bool] = lambda: True


class BackendPort(Protocol):
    """Reach backend servers by address."""

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
