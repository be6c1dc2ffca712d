"""Requests that may wait: stored before they are accepted, run under a lease.

A request is one object, `deferred/ID`, until its result stands in
`results/ID`. Whoever runs it first marks it as running by a conditional
update; what was marked by a runner that is gone is run again only if it is
idempotent, and ends as unknown otherwise.
"""

import json
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from expression import Error, Ok, Result

MAX_BODY_BYTES = 512 * 1024
MAX_RESULT_BYTES = 900 * 1024
MAX_RUNS = 5
# The next try of a run that may be repeated; one that is refused unrun waits longer
# each time, up to a minute, as each try costs two writes to the store.
REQUEUE_PAUSE_S = 2.0
REFUSED_PAUSE_GROWTH = 1.5
MAX_REFUSED_PAUSE_S = 60.0


class DeferredState(StrEnum):
    """Say how far a deferred request came."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class DeferredRequest:
    """Hold a request that waits, and who runs it.

    `runs` counts those that may have run, the present one included, `refusals`
    those that are proven not to have.
    """

    request_id: str
    caller: str
    shape: str
    body: str
    idempotent: bool
    not_before_s: float = 0.0
    state: DeferredState = DeferredState.QUEUED
    runner: str = ""
    runs: int = 0
    refusals: int = 0

    @property
    def run_name(self) -> str:
        """Name the present run as no other of this request is named."""
        return f"{self.request_id}.{self.runs + self.refusals}"


@dataclass(frozen=True, slots=True, kw_only=True)
class DeferredResult:
    """Hold how a deferred request ended."""

    state: DeferredState
    caller: str
    body: str


class NextStep(StrEnum):
    """Say what to do about a deferred request now."""

    WAIT = "wait"
    RUN = "run"
    END_UNKNOWN = "end_unknown"
    END_FAILED = "end_failed"


def next_step(
    request: DeferredRequest,
    *,
    now_s: float,
    unchanged_s: float,
    lease_s: float,
    runner_alive: bool,
) -> NextStep:
    """Decide about a request that was seen unchanged for a while.

    A runner renews its mark; one that did not for the length of a lease has
    stopped, or will find its conditional update refused.
    """
    if request.state is DeferredState.QUEUED:
        if request.runs >= MAX_RUNS:
            return NextStep.END_FAILED
        return NextStep.RUN if now_s >= request.not_before_s else NextStep.WAIT
    if request.state is not DeferredState.RUNNING:
        return NextStep.WAIT
    if unchanged_s <= lease_s or (runner_alive and unchanged_s <= 2 * lease_s):
        return NextStep.WAIT
    if not request.idempotent:
        return NextStep.END_UNKNOWN
    return NextStep.END_FAILED if request.runs >= MAX_RUNS else NextStep.RUN


def start_run(request: DeferredRequest, *, runner: str) -> DeferredRequest:
    """Return the request as marked by its runner."""
    return replace(
        request, state=DeferredState.RUNNING, runner=runner, runs=request.runs + 1
    )


def requeue(
    request: DeferredRequest, *, now_s: float, pause_s: float = REQUEUE_PAUSE_S
) -> DeferredRequest:
    """Return the request as put back after a run that may be repeated."""
    return replace(
        request,
        state=DeferredState.QUEUED,
        runner="",
        not_before_s=now_s + pause_s,
    )


def requeue_unrun(request: DeferredRequest, *, now_s: float) -> DeferredRequest:
    """Return the request as put back after a run that is proven not to have been.

    It takes its run back, so that no count ends it; it waits longer each time
    instead, as a try costs two writes to the store.
    """
    growth = REFUSED_PAUSE_GROWTH ** min(request.refusals, 10)
    pause_s = min(REQUEUE_PAUSE_S * growth, MAX_REFUSED_PAUSE_S)
    return replace(
        requeue(request, now_s=now_s, pause_s=pause_s),
        runs=request.runs - 1,
        refusals=request.refusals + 1,
    )


def encode_request(request: DeferredRequest) -> bytes:
    """Encode a request for the store."""
    return json.dumps(
        {
            "id": request.request_id,
            "caller": request.caller,
            "shape": request.shape,
            "body": request.body,
            "idempotent": request.idempotent,
            "not_before_s": request.not_before_s,
            "state": request.state,
            "runner": request.runner,
            "runs": request.runs,
            "refusals": request.refusals,
        }
    ).encode()


def decode_request(data: bytes) -> Result[DeferredRequest, str]:
    """Decode a request from the store."""
    try:
        raw: dict[str, Any] = json.loads(data)
        return Ok(
            DeferredRequest(
                request_id=str(raw["id"]),
                caller=str(raw["caller"]),
                shape=str(raw["shape"]),
                body=str(raw["body"]),
                idempotent=bool(raw["idempotent"]),
                not_before_s=float(raw["not_before_s"]),
                state=DeferredState(raw["state"]),
                runner=str(raw["runner"]),
                runs=int(raw["runs"]),
                # Records written by the previous release lack it.
                refusals=int(raw.get("refusals", 0)),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Error(f"deferred request cannot be read: {error}")


def encode_result(result: DeferredResult) -> bytes:
    """Encode a result for the store."""
    raw = {"state": result.state, "caller": result.caller, "body": result.body}
    return json.dumps(raw).encode()


def decode_result(data: bytes) -> Result[DeferredResult, str]:
    """Decode a result from the store."""
    try:
        raw: dict[str, Any] = json.loads(data)
        return Ok(
            DeferredResult(
                state=DeferredState(raw["state"]),
                caller=str(raw["caller"]),
                body=str(raw["body"]),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Error(f"deferred result cannot be read: {error}")
