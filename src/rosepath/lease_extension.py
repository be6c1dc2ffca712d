"""Extend a lease that cannot be renewed by acknowledgements of peers.

No VM takes the lease over within a set time after it received a state message
from the holder. A holder whose messages all others have acknowledged therefore
knows that none of them acts as the holder until then, even while no VM reaches
the store. Each VM acknowledges, in its own state messages, the last message
that it received from the holder; the time counts from when that message was
sent.
"""

from collections import deque
from collections.abc import Iterable

# Sent messages whose time is kept: about three seconds of them.
MAX_SENT_MESSAGES = 20


class LeaseExtension:
    """Own the times of sent state messages and the peers' acknowledgements."""

    def __init__(self, *, silence_s: float) -> None:
        # After this long without a message, others may take the lease over.
        self._silence_s = silence_s
        self._sent_s: dict[int, float] = {}
        self._numbers: deque[int] = deque()
        self._acked: dict[str, int] = {}

    def note_sent(self, number: int, *, now_s: float) -> None:
        """Record that a numbered state message is sent."""
        self._sent_s[number] = now_s
        self._numbers.append(number)
        if len(self._numbers) > MAX_SENT_MESSAGES:
            del self._sent_s[self._numbers.popleft()]

    def note_ack(self, name: str, number: int) -> None:
        """Record that another VM acknowledged a message of this one."""
        self._acked[name] = max(number, self._acked.get(name, 0))

    def extended_until_s(self, names: Iterable[str]) -> float:
        """Return until when no given VM takes over; far past if unknown."""
        known = [self._sent_s.get(self._acked.get(name, 0), -1e9) for name in names]
        return min(known, default=-1e9) + self._silence_s
