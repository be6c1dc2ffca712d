"""Keep the limits in force in step with the declarations and the shares."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from rosepath.admission import Admission
from rosepath.backend_watch import BackendWatch
from rosepath.configuration import ConfigurationState
from rosepath.limits import apply_limits, reclaim_lent
from rosepath.membership import alive, gone_entry_vms
from rosepath.object_store import StoreError
from rosepath.share_keeper import ShareKeeper
from rosepath.shares import fair_units
from rosepath.tables import Tables

BUSY_INTERVAL_S = 1.0
IDLE_INTERVAL_S = 120.0
JOIN_SPREAD_S = 0.02


class LimitKeeper:
    """Follow the share ledger, often only while it is out of balance."""

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
        """Put the declared limits in force, by the units held."""
        declared = self._state.configuration.limits
        apply_limits(self._admission.rows, declared, self._shares.units)

    async def run(self) -> None:
        """Step until cancelled, at once when a member comes or goes."""
        while True:
            interval_s = IDLE_INTERVAL_S
            try:
                if await self._step():
                    interval_s = BUSY_INTERVAL_S
            except StoreError:
                interval_s = BUSY_INTERVAL_S
            self.apply()
            with suppress(TimeoutError):
                async with asyncio.timeout(interval_s * random.uniform(0.5, 1.0)):
                    await self._members_changed.wait()
            self._members_changed.clear()
            # A join is seen by all at once; reading the ledger together
            # would be a burst on the store that grows with the fleet.
            count = len(self._tables.entry_vms)
            await asyncio.sleep(random.uniform(0, JOIN_SPREAD_S * count))

    async def _step(self) -> bool:
        """Take one step; return whether another is due soon."""
        if self._stopping() or self._state.head.version == 0:
            return True
        await self._shares.refresh()
        members = self._tables.entry_vms
        gone = gone_entry_vms(
            self._shares.holders, members, self._watch.vms, self._watch.ever_listed
        )
        for row in self._admission.rows.values():
            reclaim_lent(row, gone)
        live = frozenset(alive(members))
        wrote = await self._shares.step(live=live, gone=gone, lowered=self._lower)
        return wrote or len(self._shares.units) < fair_units(len(live)) / 2

    def _lower(self, units: frozenset[int]) -> bool:
        """Put fewer units in force; tell whether what runs fits them."""
        rows = self._admission.rows
        apply_limits(rows, self._state.configuration.limits, units)
        return all(
            row.limit.concurrency is None or row.in_use <= row.slots
            for row in rows.values()
        )
