"""How long the other entry VMs keep off a lease that can't be renewed.

Nobody takes a lease over while its holder is heard. So a holder whose word all
others have heard knows that none of them acts for it in the next moment, even
if the store that keeps the lease answers nobody. Each VM says in its own word
whose it heard last; a word is proof from the time at which it was sent.
"""

from collections import deque
from collections.abc import Iterable

# Words remembered by when they were sent: some three seconds of them.
WORDS_KEPT = 20


class LeaseBacking:
    """Hold when this VM spoke, and which of its words each other VM heard."""

    def __init__(self, *, silent_s: float) -> None:
        # After so long without a word, others may take the lease over.
        self._silent_s = silent_s
        self._sent_s: dict[int, float] = {}
        self._numbers: deque[int] = deque()
        self._heard: dict[str, int] = {}

    def note_sent(self, number: int, *, now_s: float) -> None:
        """Note that a numbered word goes out."""
        self._sent_s[number] = now_s
        self._numbers.append(number)
        if len(self._numbers) > WORDS_KEPT:
            del self._sent_s[self._numbers.popleft()]

    def note_heard(self, name: str, number: int) -> None:
        """Note that another VM heard a word of this one."""
        self._heard[name] = max(number, self._heard.get(name, 0))

    def until_s(self, names: Iterable[str]) -> float:
        """Return until when none of some VMs takes over; far past if unknown."""
        known = [self._sent_s.get(self._heard.get(name, 0), -1e9) for name in names]
        return min(known, default=-1e9) + self._silent_s
