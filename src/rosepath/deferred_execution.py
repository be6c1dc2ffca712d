"""Run a deferred request the way its caller's own request would have run."""

from collections.abc import Callable

from opentelemetry import trace

from rosepath.admission import Admission
from rosepath.clock import Clock
from rosepath.configuration import Configuration
from rosepath.deferred import DeferredRequest
from rosepath.dispatch import Dispatcher, Terms
from rosepath.errors import Step, refuse
from rosepath.openai_api import collect_answer, make_generation, parse_body
from rosepath.settings import Settings
from rosepath.tables import Tables
from rosepath.variants import resolve_target

PRIORITY = -50
SHARE_OF_SLOTS = 0.7


class DeferredExecution:
    """Hold what running a deferred request takes."""

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
        """Return the whole answer; raises RefusalError."""
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
            request_id=request.run_name,
            target=target,
            priority=PRIORITY,
        )
        events: list[bytes] = []
        async with self._admission.admit(
            caller=request.caller, target=model, request_id=generation.request_id
        ):
            await self._dispatcher.generate(
                generation, self._terms(request), events.append
            )
        return collect_answer(b"".join(events), generation)

    def _terms(self, request: DeferredRequest) -> Terms:
        timeout_s = self._settings.routing.request_timeout_s
        return Terms(
            idempotent=request.idempotent,
            deadline_s=self._clock.monotonic_s() + timeout_s,
            data_centre=self._settings.data_centre,
            span=trace.INVALID_SPAN,
        )


def has_room(tables: Tables) -> bool:
    """Tell whether engines have slots to spare for what may wait."""
    return any(
        replica.load() < replica.slots * SHARE_OF_SLOTS
        for replica in tables.replicas.values()
        if not replica.service and replica.reachable and not replica.leaving
    )
