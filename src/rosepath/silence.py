"""Whether a request leaves a server that stands still; pure.

A full server sets requests aside for seconds and goes on with them later; a dead
one never does. What is broken off while another server neither may nor can take
it is lost to its caller, so both are found out before.
"""

from dataclasses import dataclass
from enum import StrEnum

from rosepath.retries import Budget


class Stay(StrEnum):
    """Say why a request stays with a silent server."""

    SERVER_MOVES = "server_moves"
    NO_ROOM_ELSEWHERE = "no_room_elsewhere"
    BUDGET_SPENT = "budget_spent"


@dataclass(frozen=True, slots=True, kw_only=True)
class Silence:
    """Describe a silence as far as it decides whether a request stays.

    `others_moved_ago_s` is how long ago the server last did something for other
    requests of this VM, None if it is not known to.
    """

    begun: bool
    lasts_s: float
    others_moved_ago_s: float | None
    room_elsewhere: bool


def reason_to_stay(silence: Silence, budget: Budget) -> Stay | None:
    """Return why a request stays, or None if it leaves; spends a repeat then."""
    moved_ago_s = silence.others_moved_ago_s
    if silence.begun and moved_ago_s is not None and moved_ago_s < silence.lasts_s:
        # The server is alive and set this stream aside. Were it the connection
        # that died, the kernel's probes would say so.
        return Stay.SERVER_MOVES
    if not silence.room_elsewhere:
        return Stay.NO_ROOM_ELSEWHERE
    if not budget.spend():
        return Stay.BUDGET_SPENT
    return None
