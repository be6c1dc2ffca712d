"""Acquire and release this VM's share units as the fleet changes.

Share units divide the limits of the deployment among its entry VMs; the
store's ledger records the holder of each, see `rosepath.shares`.
"""

from collections.abc import Callable

from expression import Result

from rosepath.object_store import ConflictError, PlatformPort, StoreError
from rosepath.shares import (
    UNASSIGNED,
    ShareLedger,
    decode_ledger,
    encode_ledger,
    units_to_acquire,
    units_to_release,
    with_holder,
)

LEDGER_NAME = "shares/deployment"


class ShareKeeper:
    """Own the ledger as last read and the units in effect on this VM.

    The units in effect are reduced before a write that releases some, and
    increased only after a write that acquires some has succeeded.
    """

    def __init__(self, platform: PlatformPort, *, me: str) -> None:
        self._platform = platform
        self._me = me
        self._version = 0
        self._ledger = ShareLedger()
        self.units: frozenset[int] = frozenset()

    @property
    def holders(self) -> frozenset[str]:
        """Return the holders of units, as last read."""
        return frozenset(self._ledger.holders) - {UNASSIGNED}

    async def refresh(self) -> None:
        """Read the ledger; raise StoreError if the read fails."""
        stored = await self._platform.get(LEDGER_NAME)
        if stored is None:
            self._version, self._ledger = 0, ShareLedger()
        else:
            match decode_ledger(stored.value):
                case Result(tag="ok", ok=ledger):
                    self._version, self._ledger = stored.version, ledger
                case _:
                    return
        self.units = self._ledger.units_of(self._me)

    async def step(
        self,
        *,
        live: frozenset[str],
        removed: frozenset[str],
        apply_reduced: Callable[[frozenset[int]], bool],
    ) -> bool:
        """Release or acquire units with at most one write.

        Returns whether a write succeeded or conflicted.
        `apply_reduced` applies fewer units and returns whether the requests in
        flight fit them; until they do, the surplus is not released.
        """
        surplus = units_to_release(self._ledger, me=self._me, live=live)
        if surplus:
            self.units -= surplus
            if not apply_reduced(self.units):
                return False
            return await self._write(with_holder(self._ledger, surplus, UNASSIGNED))
        acquired = units_to_acquire(
            self._ledger, me=self._me, live=live, removed=removed
        )
        if acquired:
            return await self._write(with_holder(self._ledger, acquired, self._me))
        return False

    async def release_all(self) -> None:
        """Release every unit on a planned stop."""
        own_units = self._ledger.units_of(self._me)
        self.units = frozenset()
        if own_units:
            await self._write(with_holder(self._ledger, own_units, UNASSIGNED))

    async def _write(self, ledger: ShareLedger) -> bool:
        try:
            self._version = await self._platform.put(
                LEDGER_NAME, encode_ledger(ledger), expected_version=self._version
            )
        except ConflictError:
            await self._reread()
            return True
        except StoreError as error:
            # Whether the write succeeded is unknown: until the ledger is read
            # again, only units held both before and after it are in effect.
            if error.unknown:
                self.units &= ledger.units_of(self._me)
                await self._reread()
            return False
        self._ledger = ledger
        self.units = ledger.units_of(self._me)
        return True

    async def _reread(self) -> None:
        try:
            await self.refresh()
        except StoreError:
            return
