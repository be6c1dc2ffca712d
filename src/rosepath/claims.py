"""Claims on idempotency keys, created in the store before a request is sent.

A retry by the caller or its load balancer may arrive at another entry VM.
Only the attempt that creates the claim sends the request. Any other attempt
gets the recorded outcome, or a refusal if the outcome is not known.
"""

import base64
import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from expression import Error, Ok, Result

from rosepath.errors import Run, Step, refuse
from rosepath.object_store import ConflictError, PlatformPort, StoreError

MAX_RECORDED_BYTES = 256 * 1024


class ClaimState(StrEnum):
    """Progress of the request that holds a claim."""

    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The response to a claimed request, as recorded for its retries."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """A claim as stored; `attempt` identifies the attempt that created it."""

    attempt: str
    request_digest: str
    state: ClaimState
    outcome: Outcome | None = None


class HeldClaim:
    """A claim that the current request created, with its object version.

    Records the request's outcome in the store. A failed write is ignored: the
    claim stays as started, and retries are refused with an unknown outcome.
    """

    def __init__(
        self, platform: PlatformPort, name: str, version: int, claim: Claim
    ) -> None:
        self._platform = platform
        self._name = name
        self._version = version
        self._claim = claim

    async def record(self, outcome: Outcome) -> None:
        """Record the response, or an unknown outcome if it is too large."""
        if len(outcome.body) > MAX_RECORDED_BYTES:
            await self._store(ClaimState.UNKNOWN, None)
        else:
            await self._store(ClaimState.DONE, outcome)

    async def record_unknown(self) -> None:
        """Record that the request may have run with an unknown response."""
        await self._store(ClaimState.UNKNOWN, None)

    async def withdraw(self) -> None:
        """Delete the claim of a request that is known not to have run."""
        try:
            await self._platform.delete(self._name, expected_version=self._version)
        except (StoreError, ConflictError):
            # The claim stays as started, so a retry is refused with an unknown
            # outcome. That is stricter than necessary, but it never runs the
            # request twice.
            return

    async def _store(self, state: ClaimState, outcome: Outcome | None) -> None:
        claim = Claim(
            attempt=self._claim.attempt,
            request_digest=self._claim.request_digest,
            state=state,
            outcome=outcome,
        )
        try:
            await self._platform.put(
                self._name, encode_claim(claim), expected_version=self._version
            )
        except (StoreError, ConflictError):
            return


def claim_name(caller: str, key: str) -> str:
    """Return the name of the object that stores a caller's claim on a key."""
    identity = hashlib.sha256(f"{caller}\0{key}".encode()).hexdigest()
    return f"claims/{identity}"


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return a digest that detects reuse of a key for another request."""
    return hashlib.sha256(
        b"\0".join([method.encode(), path.encode(), body])
    ).hexdigest()


def encode_claim(claim: Claim) -> bytes:
    """Encode a claim for the store."""
    raw: dict[str, object] = {
        "attempt": claim.attempt,
        "request": claim.request_digest,
        "state": claim.state,
    }
    if claim.outcome is not None:
        raw["status"] = claim.outcome.status
        raw["headers"] = dict(claim.outcome.headers)
        raw["body"] = base64.b64encode(claim.outcome.body).decode()
    return json.dumps(raw).encode()


def decode_claim(data: bytes) -> Result[Claim, str]:
    """Decode a claim from the store."""
    try:
        raw = json.loads(data)
        outcome = None
        if "status" in raw:
            outcome = Outcome(
                status=int(raw["status"]),
                headers={str(k): str(v) for k, v in raw["headers"].items()},
                body=base64.b64decode(raw["body"], validate=True),
            )
        return Ok(
            Claim(
                attempt=str(raw["attempt"]),
                request_digest=str(raw["request"]),
                state=ClaimState(raw["state"]),
                outcome=outcome,
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Error(f"claim cannot be read: {error}")


async def make_claim(
    platform: PlatformPort, *, name: str, attempt: str, digest: str
) -> HeldClaim | Outcome:
    """Claim a key, or return the outcome recorded under an existing claim.

    Raises RefusalError: `run: no` if the store is unavailable (nothing was
    sent), `run: unknown` if the first request's outcome is not known.
    """
    claim = Claim(attempt=attempt, request_digest=digest, state=ClaimState.STARTED)
    try:
        version = await platform.put(name, encode_claim(claim), expected_version=0)
        return HeldClaim(platform, name, version, claim)
    except ConflictError:
        pass
    except StoreError as error:
        # A write of unknown outcome may have created the claim: read it back.
        if not error.unknown:
            raise _store_unavailable(error) from error
    try:
        stored = await platform.get(name)
    except StoreError as error:
        raise _store_unavailable(error) from error
    if stored is None:
        # The conflicting claim was withdrawn meanwhile, or a write of unknown
        # outcome did not take effect.
        raise refuse(
            503,
            "claim_lost",
            "the idempotency key could not be claimed",
            step=Step.CLAIM,
            retry_after_s=1.0,
        )
    match decode_claim(stored.value):
        case Result(tag="ok", ok=found):
            if found.attempt == attempt:
                return HeldClaim(platform, name, stored.version, found)
            return _recorded_outcome(found, digest)
        case Result(error=problem):
            raise refuse(409, "claim_unreadable", problem, step=Step.CLAIM)


def _store_unavailable(error: StoreError) -> Exception:
    return refuse(
        503,
        "store_unavailable",
        "idempotency keys cannot be claimed while the store is unavailable",
        step=Step.CLAIM,
        peer=error.peer,
        retry_after_s=2.0,
    )


def _recorded_outcome(claim: Claim, digest: str) -> Outcome:
    if claim.request_digest != digest:
        raise refuse(
            422,
            "idempotency_key_reused",
            "this idempotency key was used for another request",
            step=Step.CLAIM,
        )
    if claim.state is ClaimState.DONE and claim.outcome is not None:
        return claim.outcome
    raise refuse(
        409,
        "outcome_unknown",
        "a request with this idempotency key was sent; its outcome is not known",
        step=Step.CLAIM,
        run=Run.UNKNOWN,
        retry_after_s=1.0 if claim.state is ClaimState.STARTED else None,
    )
