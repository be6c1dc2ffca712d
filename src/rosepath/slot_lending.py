"""Borrow slots of a limit from peers and lend them free slots."""

import asyncio
import random
from collections.abc import Callable, Mapping

from rosepath.limits import LimitRow, lend
from rosepath.membership import alive
from rosepath.peer_channels import CALL_FAILURES, CALL_TIMEOUT_S, PeerChannels
from rosepath.proto.rosepath_pb2 import BorrowRequest, ReturnRequest
from rosepath.tables import MemberState, Tables

BORROW_PEERS = 8


class SlotLending:
    """Borrow and lend limit slots between entry VMs, one per request."""

    def __init__(
        self,
        me: str,
        tables: Tables,
        channels: PeerChannels,
        *,
        rows: Callable[[], Mapping[str, LimitRow]],
    ) -> None:
        self._me = me
        self._tables = tables
        self._channels = channels
        self._rows = rows

    async def borrow(self, limit: str, request_id: str) -> str | None:
        """Request a slot from peers; return the lender's name, or None."""
        names = [n for n in alive(self._tables.entry_vms) if n != self._me]
        random.shuffle(names)
        for name in names[:BORROW_PEERS]:
            request = BorrowRequest(
                limit=limit, borrower=self._me, request_id=request_id
            )
            address = self._tables.entry_vms[name].address
            try:
                reply = await self._channels.stub(address).Borrow(
                    request, timeout=CALL_TIMEOUT_S
                )
            except CALL_FAILURES:
                # The lender may have granted the slot and the reply was lost.
                asyncio.ensure_future(self.return_slot(name, limit, request_id))
                continue
            if reply.granted:
                return name
        return None

    async def return_slot(self, lender: str, limit: str, request_id: str) -> None:
        """Return a slot, retrying until the lender confirms or is dead."""
        while (member := self._tables.entry_vms.get(lender)) is not None:
            if member.state is MemberState.DEAD:
                return
            request = ReturnRequest(limit=limit, request_id=request_id)
            try:
                await self._channels.stub(member.address).Return(
                    request, timeout=CALL_TIMEOUT_S
                )
                return
            except CALL_FAILURES:
                await asyncio.sleep(random.uniform(0.2, 0.5))

    def handle_borrow(self, request: BorrowRequest) -> bool:
        """Lend a slot if one is free on this VM; return whether it was."""
        row = self._rows().get(request.limit)
        return row is not None and lend(
            row, borrower=request.borrower, request_id=request.request_id
        )

    def handle_return(self, request: ReturnRequest) -> None:
        """Reclaim a lent slot that its borrower returned."""
        row = self._rows().get(request.limit)
        if row is not None:
            row.lent.pop(request.request_id, None)
