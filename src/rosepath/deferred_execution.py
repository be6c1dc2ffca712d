"""Run deferred requests with the admission and dispatch of direct ones."""

from collections.abc import Callable

from opentelemetry import trace

from rosepath.admission import Admission
from rosepath.clock import Clock
from rosepath.configuration import Configuration
from rosepath.deferred import DeferredRequest
from rosepath.dispatch import Dispatcher, RequestOptions
from rosepath.errors import Step, refuse
from rosepath.openai_api import collect_response, make_generation, parse_body
from rosepath.settings import Settings
from rosepath.tables import Tables
from rosepath.variants import resolve_target

DEFERRED_PRIORITY = -50
MAX_SLOT_UTILIZATION = 0.7


class DeferredExecution:
    """Execute deferred requests; used by the deferred runner."""

    def __init__(
        self,
        settings: Settings,
        dispatcher: Dispatcher,
        admission: Admission,
        *,
        configuration: Callable[[], Configuration],
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._dispatcher = dispatcher
        self._admission = admission
        self._configuration = configuration
        self._clock = clock

    async def execute(self, request: DeferredRequest) -> bytes:
        """Return a request's complete response; raises RefusalError."""
        parsed = parse_body(request.shape, request.body.encode())
        if parsed.is_error():
            raise refuse(400, "invalid_body", parsed.error, step=Step.DEFER)
        model = parsed.ok.model
        target = resolve_target(
            self._configuration(), model, request.caller, request.request_id
        )
        if target is None:
            raise refuse(404, "model_not_found", model, step=Step.ROUTE)
        generation = make_generation(
            parsed.ok,
            request_id=request.run_id,
            target=target,
            priority=DEFERRED_PRIORITY,
        )
        events: list[bytes] = []
        async with self._admission.admit(
            caller=request.caller, target=model, request_id=generation.request_id
        ):
            await self._dispatcher.generate(
                generation, self._terms(request), events.append
            )
        return collect_response(b"".join(events), generation)

    def _terms(self, request: DeferredRequest) -> RequestOptions:
        timeout_s = self._settings.routing.request_timeout_s
        return RequestOptions(
            idempotent=request.idempotent,
            deadline_s=self._clock.monotonic_s() + timeout_s,
            data_centre=self._settings.data_centre,
            span=trace.INVALID_SPAN,
        )


def has_spare_slots(tables: Tables) -> bool:
    """Return whether an engine has spare slots for deferred requests."""
    return any(
        replica.load() < replica.slots * MAX_SLOT_UTILIZATION
        for replica in tables.replicas.values()
        if not replica.service and replica.reachable and not replica.leaving
    )
