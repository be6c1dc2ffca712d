"""As of when a table is known: by own looks at the store, or by another's word."""

from rosepath.clock import Clock

NEVER_S = -1e9
# A machine that was suspended for longer finds words that queued meanwhile;
# clocks drift apart by far less.
SUSPENSION_TOLERANCE_S = 0.1


class TableAge:
    """Hold the latest moment up to which every change of a table is known.

    Counted on the boot clock: a table grows old while its machine is suspended.
    """

    def __init__(self, *, clock: Clock, boot_clock: Clock) -> None:
        self._clock = clock
        self._boot = boot_clock
        self._suspended_s = self._suspension_s()
        self.last_read_s = NEVER_S
        self._told_s = NEVER_S

    def now_s(self) -> float:
        """Return the time by which looks are noted."""
        return self._boot.monotonic_s()

    @property
    def known_s(self) -> float:
        """Return as of when the table is known."""
        return max(self.last_read_s, self._told_s)

    @property
    def age_s(self) -> float:
        """Return for how long changes may have gone unnoticed."""
        return self.now_s() - self.known_s

    @property
    def told_age_s(self) -> float:
        """Return the same by others' word alone."""
        return self.now_s() - self._told_s

    def note_look(self, known_s: float) -> None:
        """Note an answered look: the store told all that was true by then."""
        self.last_read_s = max(self.last_read_s, known_s)

    def hear(self, *, known_ago_s: float, complete_ago_s: float) -> None:
        """Take another's word for what changed between two moments.

        It helps only who knows all that changed before the first of them.
        """
        now_s = self.now_s()
        if self._suspension_s() > self._suspended_s + SUSPENSION_TOLERANCE_S:
            # Words that queued in a sleep are older than they look.
            self._suspended_s = self._suspension_s()
            self.last_read_s = self._told_s = NEVER_S
        if self.known_s > now_s - complete_ago_s:
            self._told_s = max(self._told_s, now_s - known_ago_s)

    def _suspension_s(self) -> float:
        return self._boot.monotonic_s() - self._clock.monotonic_s()
