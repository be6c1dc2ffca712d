"""Whether a request leaves a server that stands still; pure.

A full server sets requests aside for seconds and goes on with them later; a dead
one never does. What is broken off while another server neither may nor can take
it is lost to its caller, so both are found out before.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

# Of the time for which callers bear no event, a stream may be set aside for so much
# by a server that moves others: as long again is left for another to read its prompt.
SET_ASIDE_SHARE = 0.5


class Stay(StrEnum):
    """Say why a request stays with a silent server."""

    SERVER_MOVES = "server_moves"
    NO_ROOM_ELSEWHERE = "no_room_elsewhere"
    BUDGET_SPENT = "budget_spent"


@dataclass(frozen=True, slots=True, kw_only=True)
class Silence:
    """Describe a silence as far as it decides whether a request stays.

    `look_s` is how long a silence is before it is looked at, `lasts_s` how long it
    is by now, `patience_s` how long the caller bears it. `moved_ago_s` is how long
    ago the server last did something for any request of this VM, None if never.
    """

    begun: bool
    look_s: float
    lasts_s: float
    patience_s: float
    moved_ago_s: float | None
    room_elsewhere: bool

    @property
    def set_aside(self) -> bool:
        """Tell whether the server is alive and goes on with others meanwhile.

        Were it the connection that died, the kernel's probes would say so.
        """
        if not self.begun or self.moved_ago_s is None:
            return False
        moves = self.moved_ago_s < self.look_s
        return moves and self.lasts_s < SET_ASIDE_SHARE * self.patience_s


def reason_to_stay(silence: Silence, take_repeat: Callable[[], bool]) -> Stay | None:
    """Return why a request stays, or None if it leaves; takes a repeat then."""
    if silence.set_aside:
        return Stay.SERVER_MOVES
    if not silence.room_elsewhere:
        return Stay.NO_ROOM_ELSEWHERE
    return None if take_repeat() else Stay.BUDGET_SPENT
