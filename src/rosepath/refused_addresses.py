"""Remember which addresses refused connections, and try them again with backoff."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rosepath.clock import Clock
from rosepath.dialing import Dial
from rosepath.errors import ExchangeError, Step
from rosepath.http_exchange import Connection

# How long an address that refused a connection is not tried again, and the
# longest that this grows to: a server that is back is used within a second.
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 1.0
# Refusals longer ago are unrelated to the next one.
FORGET_AFTER_S = 10.0


@dataclass(slots=True, kw_only=True)
class _Refusals:
    """Hold how often in a row an address refused, and when it is tried again."""

    count: int = 0
    retry_s: float = 0.0

    def back_off(self, now_s: float) -> None:
        """Put the next attempt off, longer each time."""
        self.retry_s = now_s + min(FIRST_BACKOFF_S * 2**self.count, MAX_BACKOFF_S)
        self.count += 1


@dataclass(slots=True, kw_only=True)
class RefusedAddresses:
    """Open connections, except to addresses that refused one a moment ago.

    Requests of this VM and tunnels for other VMs share one refusal. Only what this
    VM was told by the address itself counts, so that a forwarder's answer remains
    an opinion of its own.
    """

    clock: Clock
    connect: Dial
    # Whether refusals are remembered; if not, each call connects.
    applies: Callable[[], bool] = lambda: True
    _refusals: dict[str, _Refusals] = field(default_factory=dict)

    async def dial(self, address: str, *, timeout_s: float) -> Connection:
        """Connect to an address; raises ExchangeError."""
        if not self.applies():
            return await self.connect(address, timeout_s=timeout_s)
        known = self._refusals.get(address)
        if known is not None:
            now_s = self.clock.monotonic_s()
            if now_s < known.retry_s:
                raise ExchangeError(
                    "cannot connect: refused a moment ago",
                    step=Step.CONNECT,
                    peer=address,
                    sent=False,
                    refused=True,
                )
            # Others wait for the result of this attempt.
            known.back_off(now_s)
        try:
            connection = await self.connect(address, timeout_s=timeout_s)
        except ExchangeError as error:
            if error.refused:
                self._note_refused(address)
            else:
                self.forget(address)
            raise
        self.forget(address)
        return connection

    def forget(self, address: str) -> None:
        """Try an address again at once, as another process listens there."""
        self._refusals.pop(address, None)

    def _note_refused(self, address: str) -> None:
        now_s = self.clock.monotonic_s()
        self._drop_old(now_s)
        if address not in self._refusals:
            known = self._refusals[address] = _Refusals()
            known.back_off(now_s)

    def _drop_old(self, now_s: float) -> None:
        self._refusals = {
            address: known
            for address, known in self._refusals.items()
            if now_s < known.retry_s + FORGET_AFTER_S
        }
