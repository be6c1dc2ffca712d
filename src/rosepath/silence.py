"""Decide whether a request leaves a server that sends nothing; no I/O.

A full server may preempt a request for seconds and resume it later; a dead
server never does. A request that leaves while no retry or no capacity
elsewhere is available is lost to its caller, so both are checked first.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

# Share of the caller's event timeout for which a server that serves others may
# preempt a stream. The rest is left for another server to prefill the prompt.
PREEMPTED_SHARE = 0.5


class StayReason(StrEnum):
    """State why a request stays with a silent server."""

    SERVER_ACTIVE = "server_moves"
    NO_ROOM_ELSEWHERE = "no_room_elsewhere"
    BUDGET_SPENT = "budget_spent"


@dataclass(frozen=True, slots=True, kw_only=True)
class Silence:
    """Describe a server's silence towards a request, as input to the decision.

    `check_after_s` is the silence after which the decision is first made,
    `duration_s` the silence so far, `caller_timeout_s` the silence after which
    the caller leaves. `server_idle_s` is the time since the server last sent
    anything for any request of this VM, None if it never did. `known_silent`
    tells that it sends nothing to any VM.
    """

    response_started: bool
    check_after_s: float
    duration_s: float
    caller_timeout_s: float
    server_idle_s: float | None
    capacity_elsewhere: bool
    known_silent: bool = False

    @property
    def preempted(self) -> bool:
        """Return whether the server has paused this request and serves others.

        A dead connection is ruled out: the kernel's keepalive probes detect
        it.
        """
        if not self.response_started or self.server_idle_s is None:
            return False
        if self.known_silent:
            return False
        server_active = self.server_idle_s < self.check_after_s
        return (
            server_active and self.duration_s < PREEMPTED_SHARE * self.caller_timeout_s
        )


def reason_to_stay(
    silence: Silence, reserve_retry: Callable[[], bool]
) -> StayReason | None:
    """Return why a request stays; reserve a retry and return None if not."""
    if silence.preempted:
        return StayReason.SERVER_ACTIVE
    if not silence.capacity_elsewhere:
        return StayReason.NO_ROOM_ELSEWHERE
    return None if reserve_retry() else StayReason.BUDGET_SPENT
