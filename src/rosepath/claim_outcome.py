"""Settle an idempotency key's claim by how its request ended."""

import asyncio
from collections.abc import Mapping
from typing import Any

from rosepath.claims import HeldClaim, Outcome
from rosepath.errors import RefusalError, Run


class ClaimOutcome:
    """Settle a claim by how its request ended."""

    def __init__(self, held: HeldClaim | None) -> None:
        self._held = held
        self._outcome: Outcome | None = None

    @property
    def wanted(self) -> bool:
        """Tell whether the answer has to be kept."""
        return self._held is not None

    def set(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Set the whole answer."""
        self._outcome = Outcome(status=status, headers=headers, body=body)

    async def __aenter__(self) -> "ClaimOutcome":
        return self

    async def __aexit__(self, kind: Any, error: BaseException | None, _: Any) -> None:
        if self._held is None:
            return
        if self._outcome is not None:
            await self._held.record(self._outcome)
        elif isinstance(error, RefusalError) and error.refusal.run is Run.NO:
            await self._held.withdraw()
        else:
            await asyncio.shield(self._held.record_unknown())


def settled(claimed: HeldClaim | None) -> ClaimOutcome:
    """Return the context that settles a claim when its request ends."""
    return ClaimOutcome(claimed)
