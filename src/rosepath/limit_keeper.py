"""Apply the declared limits according to this VM's share units."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from rosepath.admission import Admission
from rosepath.backend_watch import BackendWatch
from rosepath.configuration import ConfigurationState
from rosepath.limits import apply_limits, reclaim_lent
from rosepath.membership import alive, removed_entry_vms
from rosepath.object_store import StoreError
from rosepath.share_keeper import ShareKeeper
from rosepath.shares import fair_units
from rosepath.tables import Tables

REBALANCE_INTERVAL_S = 1.0
IDLE_INTERVAL_S = 120.0
JOIN_SPREAD_S = 0.02


class LimitKeeper:
    """Rebalance the share units and apply the limits that they allow.

    Read the share ledger every REBALANCE_INTERVAL_S while it is out of
    balance, and every IDLE_INTERVAL_S otherwise.
    """

    def __init__(
        self,
        tables: Tables,
        state: ConfigurationState,
        admission: Admission,
        shares: ShareKeeper,
        watch: BackendWatch,
        *,
        members_changed: asyncio.Event,
        stopping: Callable[[], bool],
    ) -> None:
        self._tables = tables
        self._state = state
        self._admission = admission
        self._shares = shares
        self._watch = watch
        self._members_changed = members_changed
        self._stopping = stopping

    def apply(self) -> None:
        """Apply the declared limits in proportion to the units held."""
        declared = self._state.configuration.limits
        apply_limits(self._admission.rows, declared, self._shares.units)

    async def run(self) -> None:
        """Rebalance until cancelled, at once when a member joins or leaves."""
        while True:
            interval_s = IDLE_INTERVAL_S
            try:
                if await self._step():
                    interval_s = REBALANCE_INTERVAL_S
            except StoreError:
                interval_s = REBALANCE_INTERVAL_S
            self.apply()
            with suppress(TimeoutError):
                async with asyncio.timeout(interval_s * random.uniform(0.5, 1.0)):
                    await self._members_changed.wait()
            self._members_changed.clear()
            # Every VM notices a join at about the same time; without a
            # delay spread over the fleet, all of them would read the ledger
            # at once, a burst on the store that grows with the fleet.
            count = len(self._tables.entry_vms)
            await asyncio.sleep(random.uniform(0, JOIN_SPREAD_S * count))

    async def _step(self) -> bool:
        """Rebalance once; return whether to repeat it soon."""
        if self._stopping() or self._state.head.version == 0:
            return True
        await self._shares.refresh()
        members = self._tables.entry_vms
        removed = removed_entry_vms(
            self._shares.holders, members, self._watch.vms, self._watch.ever_listed
        )
        for row in self._admission.rows.values():
            reclaim_lent(row, removed)
        live = frozenset(alive(members))
        wrote = await self._shares.step(
            live=live, removed=removed, apply_reduced=self._apply_reduced
        )
        return wrote or len(self._shares.units) < fair_units(len(live)) / 2

    def _apply_reduced(self, units: frozenset[int]) -> bool:
        """Apply fewer units; return whether requests in flight fit them."""
        rows = self._admission.rows
        apply_limits(rows, self._state.configuration.limits, units)
        return all(
            row.limit.concurrency is None or row.in_use <= row.slots
            for row in rows.values()
        )
