"""A request's context so far, and what those who carry it work with."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field
from functools import cached_property
from typing import Protocol

from rosepath.attempt import Attempts
from rosepath.caller_call import CallerCall, Prompt
from rosepath.catalog import Catalog, HostRoute, ServiceSpec
from rosepath.clock import Clock
from rosepath.configuration_view import UNKNOWN_CONFIGURATION, ConfigurationView
from rosepath.content_key import content_key
from rosepath.crash_watch import CrashWatch
from rosepath.event_order import EventOrder
from rosepath.fleet import BackendServer, Fleet
from rosepath.gateway import CallerExchange
from rosepath.prompt_caches import PromptCaches
from rosepath.retries import Evidence, Obstacle
from rosepath.retry_window import RetryWindow
from rosepath.silence import Stay

# When a caller may come back after a refusal: swaps and restarts are over by
# then more often than not, and most deadlines leave room for a second try.
RETRY_AFTER_S = 0.5


async def _look_nowhere() -> None:
    return


class ModelPort(Protocol):
    """Tell of demand, and get adapters onto engines."""

    def note_asked(self, service: str, prompt: Prompt) -> None: ...

    def note_request(
        self, service: str, prompt: Prompt, *, unread_tokens: int
    ) -> None: ...

    def note_waiting(self, service: str, prompt: Prompt, *, step: int) -> None: ...

    def model_due_s(self, model: str) -> float | None: ...

    async def ensure_adapter(
        self, service: str, server: BackendServer, prompt: Prompt, *, limit_s: float
    ) -> bool: ...


@dataclass(slots=True, kw_only=True)
class RelayPorts:
    """Hold what a relay works with."""

    data_centre: str
    clock: Clock
    fleet: Fleet
    caches: PromptCaches
    attempts: Attempts
    catalog: Callable[[], Catalog | None]
    budget: Callable[[str], RetryWindow]
    models: ModelPort
    fleet_changed: asyncio.Condition
    cut_off: Callable[[], Collection[str]]
    # Until when a request may wait unsent: a planned stop sets an end to it.
    wait_limit_s: Callable[[], float]
    on_outcome: Callable[["RequestContext", int, str], None]
    crashes: CrashWatch
    # Told of each answer that says that its server leaves.
    on_leaving: Callable[[BackendServer], None] = lambda _: None
    # Whether the fleet is known well enough to send work by it, and a look that
    # makes it so.
    fleet_sound: Callable[[], bool] = lambda: True
    make_sure: Callable[[], Awaitable[None]] = _look_nowhere
    # How current the catalog is.
    configuration: Callable[[], ConfigurationView] = lambda: UNKNOWN_CONFIGURATION
    rng: random.Random = field(default_factory=random.Random)


@dataclass(kw_only=True)
class RequestContext:
    """Hold how a request has fared so far."""

    call: CallerCall
    route: HostRoute
    service: ServiceSpec
    exchange: CallerExchange
    deadline_s: float
    # As it was when the request was routed.
    configuration: ConfigurationView = UNKNOWN_CONFIGURATION
    order: EventOrder | None = None
    tried: set[str] = field(default_factory=set)
    seen: list[Evidence] = field(default_factory=list)
    first_event_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0
    waited_s: float = 0.0
    unread_tokens: int = 0
    predicted_s: float = 0.0
    answered_by: str = ""
    # Whether a repeat in the budget is held for its next try.
    holds_repeat: bool = False
    # Why it stays with a silent server, if it was last seen with one.
    stays: Stay | None = None
    # What stood against another try, once one was wanted.
    obstacle: Obstacle | None = None

    @cached_property
    def content_key(self) -> str:
        """Return what the request shares with its repeats."""
        return content_key(self.call)

    def note_events(self, *, now_s: float) -> None:
        """Note that events came, and how long the stream stood still before."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            pause_s = now_s - self.last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_s = now_s

    @property
    def may_have_run(self) -> int:
        """Return the tries that may have run."""
        harmless = (Evidence.NOT_SENT, Evidence.REFUSED)
        return sum(evidence not in harmless for evidence in self.seen)

    @property
    def arrivals(self) -> int:
        """Return the tries that reached a server."""
        return sum(evidence is not Evidence.NOT_SENT for evidence in self.seen)

    @property
    def not_run(self) -> bool:
        return self.may_have_run == 0

    @property
    def lost_if_refused(self) -> bool:
        """Tell whether its caller has no way back if it is given up.

        What is refused unrun is asked for again, and so is an idempotent request of
        a plain service; a stream that has begun, or may have, is not.
        """
        if self.exchange.begun:
            return True
        return self.order is not None and not self.not_run
