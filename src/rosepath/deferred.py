"""Deferred requests: stored before they are accepted, run under a lease.

A request is stored as one object, `deferred/ID`, until its result is stored
in `results/ID`. A runner marks a request as running by a conditional update
before it runs it. If that runner is lost, an idempotent request is run again,
and any other ends as unknown.
"""

import json
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from expression import Error, Ok, Result

MAX_BODY_BYTES = 512 * 1024
MAX_RESULT_BYTES = 900 * 1024
MAX_RUNS = 5
# Delay before a request is run again. The delay grows with each refusal that
# did not run the request, as each attempt costs two writes to the store.
REQUEUE_DELAY_S = 2.0
REFUSAL_DELAY_GROWTH = 1.5
MAX_REFUSAL_DELAY_S = 60.0


class DeferredState(StrEnum):
    """Progress of a deferred request."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class DeferredRequest:
    """A deferred request as stored, with the runner that executes it.

    `runs` counts the runs that may have executed the request, including the
    current one. `refusals` counts the runs known not to have executed it.
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
    def run_id(self) -> str:
        """Id of the current run, unique among the runs of this request."""
        return f"{self.request_id}.{self.runs + self.refusals}"


@dataclass(frozen=True, slots=True, kw_only=True)
class DeferredResult:
    """The result of a deferred request as stored."""

    state: DeferredState
    caller: str
    body: str


class NextStep(StrEnum):
    """Next action on a deferred request."""

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
    """Decide what to do with a request unchanged for `unchanged_s`.

    A runner renews its lease on a request by updating the stored object. A
    runner that has not done so for `lease_s` has stopped, or its next
    conditional update is refused. A runner on a live entry VM gets twice that
    time.
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
    """Return the request marked as running."""
    return replace(
        request, state=DeferredState.RUNNING, runner=runner, runs=request.runs + 1
    )


def requeue(
    request: DeferredRequest, *, now_s: float, delay_s: float = REQUEUE_DELAY_S
) -> DeferredRequest:
    """Return the request queued again after a run that can be retried."""
    return replace(
        request,
        state=DeferredState.QUEUED,
        runner="",
        not_before_s=now_s + delay_s,
    )


def requeue_not_run(request: DeferredRequest, *, now_s: float) -> DeferredRequest:
    """Return the request queued again after a run that did not execute it.

    The run does not count towards `MAX_RUNS`. Instead, the delay grows with
    each refusal, as each attempt costs two writes to the store.
    """
    growth = REFUSAL_DELAY_GROWTH ** min(request.refusals, 10)
    delay_s = min(REQUEUE_DELAY_S * growth, MAX_REFUSAL_DELAY_S)
    return replace(
        requeue(request, now_s=now_s, delay_s=delay_s),
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
                # Absent in records written by the previous release.
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
