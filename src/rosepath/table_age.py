"""Track how current a table is, by store reads and peers' messages."""

from rosepath.clock import Clock

NEVER_S = -1e9
# Messages may have queued while the machine was suspended for longer than
# this. The drift between the two clocks is far smaller.
SUSPENSION_TOLERANCE_S = 0.1


class TableAge:
    """Hold the latest time up to which every change of a table is known.

    It is measured on the boot clock, so a table also ages while its machine is
    suspended.
    """

    def __init__(self, *, clock: Clock, boot_clock: Clock) -> None:
        self._clock = clock
        self._boot_clock = boot_clock
        self._suspended_s = self._suspension_s()
        self.last_read_s = NEVER_S
        self._reported_s = NEVER_S

    def now_s(self) -> float:
        """Return the time on the clock that the age is measured by."""
        return self._boot_clock.monotonic_s()

    @property
    def known_s(self) -> float:
        """Return the time up to which all changes are known."""
        return max(self.last_read_s, self._reported_s)

    @property
    def age_s(self) -> float:
        """Return the time for which changes may have been missed."""
        return self.now_s() - self.known_s

    @property
    def reported_age_s(self) -> float:
        """Return the age by the lease holder's messages alone."""
        return self.now_s() - self._reported_s

    def note_store_read(self, known_s: float) -> None:
        """Note a store read that returned every change up to `known_s`."""
        self.last_read_s = max(self.last_read_s, known_s)

    def note_peer_age(self, *, known_ago_s: float, complete_ago_s: float) -> None:
        """Apply a message that covers all changes between two times.

        It applies only if all changes before the first of them are known
        already.
        """
        now_s = self.now_s()
        if self._suspension_s() > self._suspended_s + SUSPENSION_TOLERANCE_S:
            # Messages that queued during a suspension are older than they
            # appear.
            self._suspended_s = self._suspension_s()
            self.last_read_s = self._reported_s = NEVER_S
        if self.known_s > now_s - complete_ago_s:
            self._reported_s = max(self._reported_s, now_s - known_ago_s)

    def _suspension_s(self) -> float:
        return self._boot_clock.monotonic_s() - self._clock.monotonic_s()
