"""Limit what all strangers together make an entry VM hold in memory; no I/O."""

from collections.abc import Callable
from dataclasses import dataclass, field

# Of a VM's memory, for the bodies of callers and as much for responses. Each is
# held twice for a moment, as it is joined or copied to be sent; the rest is for
# the process itself.
HELD_SHARE = 0.125
DEFAULT_MEMORY_MB = 300.0
# A hold is broken off for another one only if it weighs more by this factor.
# Sound exchanges that grow together would otherwise end each other.
BREAK_OFF_FACTOR = 4
# An upload is late if it takes longer than this and its bytes at this pace. It counts
# only where room is short, so that callers on thin links may be slower otherwise.
UPLOAD_PAUSE_S = 0.5
UPLOAD_BYTES_PER_S = 64 * 1024
LATE_WEIGHT_PER_S = 4.0


def upload_weight(*, age_s: float, received_bytes: int) -> float:
    """Return by how much more than its size an upload weighs.

    One that makes no progress weighs as much more as it is late, so that it goes
    before sound ones of its size.
    """
    usual_s = UPLOAD_PAUSE_S + received_bytes / UPLOAD_BYTES_PER_S
    return 1.0 + LATE_WEIGHT_PER_S * max(0.0, age_s - usual_s)


def _weigh_size_only() -> float:
    return 1.0


@dataclass(slots=True, eq=False, kw_only=True)
class Hold:
    """Own what one exchange holds.

    `break_off` ends the exchange, None if that would harm a request in progress.
    `weight` is by how much more than its size the hold counts as the one to end.
    """

    budget: "HeldBytes"
    break_off: Callable[[], None] | None = None
    weight: Callable[[], float] = _weigh_size_only
    size_bytes: int = 0

    def grow(self, added_bytes: int) -> bool:
        """Hold more; return False if there is no room.

        Much larger holds are broken off first, so that an exchange without end
        ends before it harms others.
        """
        if not self.budget.make_room(self, added_bytes):
            return False
        self.resize(self.size_bytes + added_bytes)
        return True

    def resize(self, size_bytes: int) -> None:
        """Hold so much, room or not."""
        self.budget.count(self, size_bytes)
        self.size_bytes = size_bytes

    def release(self) -> None:
        """Hold nothing, and be broken off no more."""
        self.resize(0)
        self.break_off = None
        self.weight = _weigh_size_only


@dataclass(slots=True, kw_only=True)
class HeldBytes:
    """Own the sum of all holds, which stays below a limit."""

    limit_bytes: int
    used_bytes: int = 0
    broken_off: int = 0
    _holds: set[Hold] = field(default_factory=set)

    @classmethod
    def of_memory(cls, memory_mb: float = DEFAULT_MEMORY_MB) -> "HeldBytes":
        """Build the limit of a VM with so much memory."""
        return cls(limit_bytes=int(HELD_SHARE * memory_mb * 1024 * 1024))

    def open(self) -> Hold:
        """Return a hold of nothing yet."""
        return Hold(budget=self)

    @property
    def scarce(self) -> bool:
        """Return whether more than half of the limit is used."""
        return 2 * self.used_bytes > self.limit_bytes

    def make_room(self, hold: Hold, added_bytes: int) -> bool:
        """Break off holds that weigh much more; return whether there is room."""
        needed = (hold.size_bytes + added_bytes) * hold.weight()
        while self.used_bytes + added_bytes > self.limit_bytes:
            heaviest = max(
                (one for one in self._holds if one.break_off is not None),
                key=_weigh,
                default=hold,
            )
            self.broken_off += 1
            if _weigh(heaviest) < BREAK_OFF_FACTOR * needed:
                return False
            break_off = heaviest.break_off
            heaviest.release()
            if break_off is not None:
                break_off()
        return True

    def count(self, hold: Hold, size_bytes: int) -> None:
        """Count the next size of a hold."""
        self.used_bytes += size_bytes - hold.size_bytes
        if size_bytes:
            self._holds.add(hold)
        else:
            self._holds.discard(hold)


def _weigh(hold: Hold) -> float:
    return hold.size_bytes * hold.weight()
