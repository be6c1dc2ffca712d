"""Keep this node's share units in step with the fleet."""

from collections.abc import Callable

from expression import Result

from rosepath.object_store import ConflictError, PlatformPort, StoreError
from rosepath.shares import (
    FREE,
    ShareLedger,
    decode_ledger,
    encode_ledger,
    units_to_give_up,
    units_to_take,
    with_holder,
)

LEDGER_NAME = "shares/deployment"


class ShareKeeper:
    """Hold the ledger as last read and the units in force here.

    The units in force are lowered before a write that gives some up, and
    raised only after a write that took some is known to have taken effect.
    """

    def __init__(self, platform: PlatformPort, *, me: str) -> None:
        self._platform = platform
        self._me = me
        self._version = 0
        self._ledger = ShareLedger()
        self.units: frozenset[int] = frozenset()

    @property
    def holders(self) -> frozenset[str]:
        """Return everyone who holds units, as last read."""
        return frozenset(self._ledger.holders) - {FREE}

    async def refresh(self) -> None:
        """Read the ledger; raises StoreError."""
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
        gone: frozenset[str],
        lowered: Callable[[frozenset[int]], bool],
    ) -> bool:
        """Give up or take units, one write at most; return whether it wrote.

        `lowered` puts fewer units in force and tells whether what still runs
        fits them; until it does, the units are not handed on.
        """
        surplus = units_to_give_up(self._ledger, me=self._me, live=live)
        if surplus:
            self.units -= surplus
            if not lowered(self.units):
                return False
            return await self._write(with_holder(self._ledger, surplus, FREE))
        taken = units_to_take(self._ledger, me=self._me, live=live, gone=gone)
        if taken:
            return await self._write(with_holder(self._ledger, taken, self._me))
        return False

    async def give_up_all(self) -> None:
        """Hand every unit back on a planned stop."""
        mine = self._ledger.units_of(self._me)
        self.units = frozenset()
        if mine:
            await self._write(with_holder(self._ledger, mine, FREE))

    async def _write(self, ledger: ShareLedger) -> bool:
        try:
            self._version = await self._platform.put(
                LEDGER_NAME, encode_ledger(ledger), expected_version=self._version
            )
        except ConflictError:
            await self._reread()
            return True
        except StoreError as error:
            # Whether the write took effect is unknown: until the ledger is
            # read again, only units held both before and after count.
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
