"""Record the outcome of a request in its idempotency key's claim."""

import asyncio
from collections.abc import Mapping
from typing import Any

from rosepath.claims import HeldClaim, Outcome
from rosepath.errors import RefusalError, Run


class ClaimOutcome:
    """Async context manager that updates a claim when its request ends.

    Records the response if one was set, deletes the claim if the request is
    known not to have run, and records an unknown outcome otherwise. Does
    nothing for a request without a claim.
    """

    def __init__(self, held: HeldClaim | None) -> None:
        self._claim = held
        self._outcome: Outcome | None = None

    @property
    def must_record(self) -> bool:
        """Whether the response must be buffered for recording."""
        return self._claim is not None

    def set(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Set the complete response."""
        self._outcome = Outcome(status=status, headers=headers, body=body)

    async def __aenter__(self) -> "ClaimOutcome":
        return self

    async def __aexit__(self, kind: Any, error: BaseException | None, _: Any) -> None:
        if self._claim is None:
            return
        if self._outcome is not None:
            await self._claim.record(self._outcome)
        elif isinstance(error, RefusalError) and error.refusal.run is Run.NO:
            await self._claim.withdraw()
        else:
            await asyncio.shield(self._claim.record_unknown())


def settle_claim(claimed: HeldClaim | None) -> ClaimOutcome:
    """Return a context manager that updates a claim on the request's end."""
    return ClaimOutcome(claimed)
