"""Admit requests under the declared limits, with slots borrowed from peers."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from rosepath.clock import Clock
from rosepath.errors import Step, refuse
from rosepath.limits import LimitRow, matching_limits, take_rate_tokens

BorrowSlot = Callable[[str, str], Awaitable[str | None]]
ReturnSlot = Callable[[str, str, str], Awaitable[None]]

FULL_RETRY_AFTER_S = 1.0


class Admission:
    """Admit requests within this entry VM's part of the declared limits.

    Owns the rows of the limits. When the local slots of a limit are used up,
    it borrows a slot from another entry VM and returns it after the request.
    """

    def __init__(
        self, *, clock: Clock, borrow: BorrowSlot, return_slot: ReturnSlot
    ) -> None:
        self.rows: dict[str, LimitRow] = {}
        self._clock = clock
        self._borrow = borrow
        self._return_slot = return_slot

    @asynccontextmanager
    async def admit(
        self, *, caller: str, target: str, request_id: str
    ) -> AsyncIterator[None]:
        """Hold a slot of each applicable limit while the request runs."""
        rows = matching_limits(self.rows.values(), caller, target)
        slots_taken: list[LimitRow] = []
        try:
            for row in rows:
                if row.limit.concurrency is not None:
                    await self._take_slot(row, request_id)
                    slots_taken.append(row)
            self._take_rates(rows)
            yield
        finally:
            for row in slots_taken:
                self._release_slot(row, request_id)

    async def _take_slot(self, row: LimitRow, request_id: str) -> None:
        if not row.full:
            row.own_requests.add(request_id)
            return
        lender = await self._borrow(row.name, request_id)
        if lender is not None:
            row.borrowed[request_id] = lender
            return
        raise refuse(
            429,
            "concurrency_limit",
            f"limit {row.name} is used up",
            step=Step.LIMIT,
            retry_after_s=FULL_RETRY_AFTER_S,
        )

    def _take_rates(self, rows: list[LimitRow]) -> None:
        refusal = take_rate_tokens(rows, now_s=self._clock.monotonic_s())
        if refusal is not None:
            raise refuse(
                429,
                "rate_limit",
                f"limit {refusal.limit} is used up",
                step=Step.LIMIT,
                retry_after_s=refusal.retry_after_s,
            )

    def _release_slot(self, row: LimitRow, request_id: str) -> None:
        row.own_requests.discard(request_id)
        lender = row.borrowed.pop(request_id, None)
        if lender is not None:
            asyncio.ensure_future(self._return_slot(lender, row.name, request_id))
