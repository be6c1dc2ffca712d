"""Run deferred requests when engines have spare slots, each under a lease."""

import asyncio
import json
import uuid
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

from expression import Result

from rosepath.clock import Clock
from rosepath.deferred import (
    MAX_RESULT_BYTES,
    DeferredRequest,
    DeferredResult,
    DeferredState,
    NextStep,
    decode_request,
    decode_result,
    encode_request,
    encode_result,
    next_step,
    requeue,
    requeue_not_run,
    start_run,
)
from rosepath.errors import RefusalError, Run
from rosepath.logs import get_logger
from rosepath.object_store import ConflictError, PlatformPort, StoreError

REQUEST_PREFIX = "deferred/"
RESULT_PREFIX = "results/"
LEASE_S = 10.0
RENEW_S = 3.0
MAX_PARALLEL = 8
MAX_READS_PER_SCAN = 32

Execute = Callable[[DeferredRequest], Awaitable[bytes]]

_log = get_logger()


@dataclass(slots=True)
class _ObservedRequest:
    """A request as last read, and the time since which it is unchanged."""

    version: int
    since_s: float
    request: DeferredRequest


@dataclass(slots=True, kw_only=True)
class RunnerPorts:
    """What the runner depends on.

    The predicates return whether a stored request is assigned to this VM,
    whether the VM of another runner is alive, and whether engines have spare
    slots.
    """

    me: str
    platform: PlatformPort
    clock: Clock
    execute: Execute
    is_assigned: Callable[[str], bool]
    is_alive: Callable[[str], bool]
    has_spare_slots: Callable[[], bool]


async def store_request(platform: PlatformPort, request: DeferredRequest) -> None:
    """Store a request; raises StoreError unless it is known to be stored."""
    name = REQUEST_PREFIX + request.request_id
    value = encode_request(request)
    try:
        await platform.put(name, value, expected_version=0)
    except StoreError as error:
        if not error.unknown:
            raise
        stored = await platform.get(name)
        if stored is None or stored.value != value:
            raise


async def read_status(
    platform: PlatformPort, request_id: str, caller: str
) -> tuple[DeferredState, str] | None:
    """Return the state and result of a caller's request; raises StoreError.

    Returns None if there is no such request or it is another caller's.
    """
    stored = await platform.get(RESULT_PREFIX + request_id)
    if stored is not None:
        match decode_result(stored.value):
            case Result(tag="ok", ok=result) if result.caller == caller:
                return result.state, result.body
        return None
    waiting = await platform.get(REQUEST_PREFIX + request_id)
    if waiting is None:
        return None
    match decode_request(waiting.value):
        case Result(tag="ok", ok=request) if request.caller == caller:
            return request.state, ""
    return None


@dataclass(slots=True)
class DeferredRunner:
    """Run the stored requests that are assigned to this VM and due."""

    ports: RunnerPorts
    observed: dict[str, _ObservedRequest] = field(default_factory=dict)
    running: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    async def scan(self) -> None:
        """Process the stored requests that are assigned to this VM."""
        try:
            names = await self.ports.platform.list_names(REQUEST_PREFIX)
        except StoreError:
            return
        for name in self.observed.keys() - set(names):
            del self.observed[name]
        assigned = [
            n for n in names if self.ports.is_assigned(n) and n not in self.running
        ]
        # Requests scheduled for later are not read. Otherwise, enough of them
        # at the head of the list would use up every scan's reads and starve
        # the rest.
        due = [name for name in assigned if not self._is_scheduled_later(name)]
        for name in due[:MAX_READS_PER_SCAN]:
            if len(self.running) >= MAX_PARALLEL:
                return
            with suppress(StoreError, ConflictError):
                await self._process(name)

    def _is_scheduled_later(self, name: str) -> bool:
        row = self.observed.get(name)
        if row is None or row.request.state is not DeferredState.QUEUED:
            return False
        return row.request.not_before_s > self.ports.clock.wall_s()

    async def _process(self, name: str) -> None:
        stored = await self.ports.platform.get(name)
        if stored is None:
            return
        decoded = decode_request(stored.value)
        if decoded.is_error():
            _log.error("deferred_unreadable", name=name, error=decoded.error)
            return
        request = decoded.ok
        now_s = self.ports.clock.monotonic_s()
        row = self.observed.get(name)
        if row is None or row.version != stored.version:
            row = _ObservedRequest(stored.version, now_s, request)
            self.observed[name] = row
        step = next_step(
            request,
            now_s=self.ports.clock.wall_s(),
            unchanged_s=now_s - row.since_s,
            lease_s=LEASE_S,
            runner_alive=self.ports.is_alive(request.runner),
        )
        if step is NextStep.RUN and self.ports.has_spare_slots():
            await self._start(name, row)
        elif step is NextStep.END_UNKNOWN:
            await self._finish(name, row, DeferredState.UNKNOWN, "")
        elif step is NextStep.END_FAILED:
            await self._finish(name, row, DeferredState.FAILED, "")

    async def _start(self, name: str, row: _ObservedRequest) -> None:
        """Mark a request as running on this VM, then run it."""
        done = await self.ports.platform.get(RESULT_PREFIX + row.request.request_id)
        if done is not None:
            await self.ports.platform.delete(name, expected_version=row.version)
            return
        # Unique for each attempt, so that after a lost reply the stored
        # request shows whether this attempt marked it.
        attempt = f"{self.ports.me}#{uuid.uuid4().hex[:8]}"
        marked = start_run(row.request, runner=attempt)
        if not await self._update(name, row, marked):
            return
        task = asyncio.ensure_future(self._run(name, row))
        self.running[name] = task
        task.add_done_callback(lambda _: self.running.pop(name, None))

    async def _update(
        self, name: str, row: _ObservedRequest, request: DeferredRequest
    ) -> bool:
        value = encode_request(request)
        try:
            version = await self.ports.platform.put(
                name, value, expected_version=row.version
            )
        except ConflictError:
            return False
        except StoreError as error:
            if not error.unknown:
                return False
            stored = await self.ports.platform.get(name)
            if stored is None or stored.value != value:
                return False
            version = stored.version
        row.version, row.request = version, request
        row.since_s = self.ports.clock.monotonic_s()
        return True

    async def _run(self, name: str, row: _ObservedRequest) -> None:
        renewing = asyncio.ensure_future(self._renew(name, row))
        try:
            body = await self.ports.execute(row.request)
            state, text = DeferredState.DONE, body.decode()
            if len(body) > MAX_RESULT_BYTES:
                state, text = DeferredState.FAILED, "the answer is too large"
        except RefusalError as error:
            await self._after_refusal(name, row, error)
            return
        finally:
            renewing.cancel()
        await self._finish_with_retries(name, row, state, text)

    async def _renew(self, name: str, row: _ObservedRequest) -> None:
        while True:
            await asyncio.sleep(RENEW_S)
            with suppress(StoreError):
                await self._update(name, row, row.request)

    async def _after_refusal(
        self, name: str, row: _ObservedRequest, error: RefusalError
    ) -> None:
        refusal, now_s = error.refusal, self.ports.clock.wall_s()
        requeued: DeferredRequest | None = None
        if refusal.run is Run.NO and refusal.status >= 429:
            requeued = requeue_not_run(row.request, now_s=now_s)
        elif row.request.idempotent and refusal.status >= 500:
            requeued = requeue(row.request, now_s=now_s)
        if requeued is not None:
            with suppress(StoreError, ConflictError):
                await self._update(name, row, requeued)
            return
        state = DeferredState.FAILED if refusal.run is Run.NO else DeferredState.UNKNOWN
        text = json.dumps({"code": refusal.code, "message": refusal.message})
        await self._finish_with_retries(name, row, state, text)

    async def _finish_with_retries(
        self, name: str, row: _ObservedRequest, state: DeferredState, body: str
    ) -> None:
        """Store a result, retrying until the store is available."""
        delay_s = 0.2
        while True:
            try:
                await self._finish(name, row, state, body)
                return
            except StoreError:
                await asyncio.sleep(delay_s)
                delay_s = min(delay_s * 2, 5.0)

    async def _finish(
        self, name: str, row: _ObservedRequest, state: DeferredState, body: str
    ) -> None:
        result = DeferredResult(state=state, caller=row.request.caller, body=body)
        result_name = RESULT_PREFIX + row.request.request_id
        with suppress(ConflictError):
            await self.ports.platform.put(
                result_name, encode_result(result), expected_version=0
            )
        with suppress(ConflictError):
            await self.ports.platform.delete(name, expected_version=row.version)
        self.observed.pop(name, None)

    async def drain(self) -> None:
        """Wait for the requests that are running on this VM."""
        if self.running:
            await asyncio.wait(list(self.running.values()))
