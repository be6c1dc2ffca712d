"""Idempotency keys: claimed in the store before a request is sent.

A balancer's or caller's repeat may come through another entry VM. Whoever
creates the claim sends the request; everyone else gets its recorded outcome,
or is told that it can't be known yet.
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
    """Say how far a claimed request came."""

    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Hold the answer that a claimed request got."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Hold a claim as stored; `attempt` tells whose it is."""

    attempt: str
    request_digest: str
    state: ClaimState
    outcome: Outcome | None = None


class HeldClaim:
    """Hold a claim that this request made, and record how it ended."""

    def __init__(
        self, platform: PlatformPort, name: str, version: int, claim: Claim
    ) -> None:
        self._platform = platform
        self._name = name
        self._version = version
        self._claim = claim

    async def record(self, outcome: Outcome) -> None:
        """Record the answer, or, if it is too large, that it is unknown."""
        if len(outcome.body) > MAX_RECORDED_BYTES:
            await self._store(ClaimState.UNKNOWN, None)
        else:
            await self._store(ClaimState.DONE, outcome)

    async def record_unknown(self) -> None:
        """Record that the request may have run and nobody knows the answer."""
        await self._store(ClaimState.UNKNOWN, None)

    async def withdraw(self) -> None:
        """Remove the claim of a request that was proven not to have run."""
        try:
            await self._platform.delete(self._name, expected_version=self._version)
        except (StoreError, ConflictError):
            # The claim stays as started: a repeat is told `unknown`, which
            # is stricter than true and never runs the request twice.
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
    """Return the object that holds a caller's key."""
    identity = hashlib.sha256(f"{caller}\0{key}".encode()).hexdigest()
    return f"claims/{identity}"


def request_digest(method: str, path: str, body: bytes) -> str:
    """Tell two requests under one key apart."""
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
    """Claim a key, or return the recorded outcome of whoever did.

    Raises RefusalError: `run: no` if the store can't say (nothing was sent),
    `run: unknown` if the first request's outcome is not known.
    """
    claim = Claim(attempt=attempt, request_digest=digest, state=ClaimState.STARTED)
    try:
        version = await platform.put(name, encode_claim(claim), expected_version=0)
        return HeldClaim(platform, name, version, claim)
    except ConflictError:
        pass
    except StoreError as error:
        if not error.unknown:
            raise _store_down(error) from error
    try:
        stored = await platform.get(name)
    except StoreError as error:
        raise _store_down(error) from error
    if stored is None:
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
            return _others_outcome(found, digest)
        case Result(error=problem):
            raise refuse(409, "claim_unreadable", problem, step=Step.CLAIM)


def _store_down(error: StoreError) -> Exception:
    return refuse(
        503,
        "store_unavailable",
        "idempotency keys cannot be claimed while the store is unavailable",
        step=Step.CLAIM,
        peer=error.peer,
        retry_after_s=2.0,
    )


def _others_outcome(claim: Claim, digest: str) -> Outcome:
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
