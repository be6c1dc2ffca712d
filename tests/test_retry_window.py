"""The parts of the retry budget add up to no more than the whole."""

from bisect import bisect_left
from typing import NamedTuple

from hypothesis import given, settings, strategies as st

from rosepath.clock import ManualClock
from rosepath.retry_window import RetryWindow


def spend(window: RetryWindow) -> bool:
    """Make a repeat at once, if one is left."""
    reserved = window.reserve()
    if reserved:
        window.consume()
    return reserved


def a_window(clock: ManualClock, *, vms: int = 4) -> RetryWindow:
    return RetryWindow(clock=clock, ratio=0.2, slack=50.0, window_s=10.0, vms=vms)


@given(st.lists(st.integers(0, 40), min_size=4, max_size=4))
def test_all_parts_together_keep_to_the_budget(requests: list[int]) -> None:
    # Every VM meets a failing service at once and repeats all that it may.
    clock = ManualClock()
    spent = 0
    for count in requests:
        window = a_window(clock)
        for _ in range(count):
            window.note_request()
        spent += sum(spend(window) for _ in range(500))
    assert spent <= 0.2 * sum(requests) + 50.0


def test_what_was_spent_comes_back_after_the_window() -> None:
    clock = ManualClock()
    window = a_window(clock)
    while spend(window):
        pass
    clock.advance(10.5)
    assert spend(window)


RATIO, SLACK, WINDOW_S = 0.2, 58.0, 10.0
STEP_S = 0.25


class TrafficPhase(NamedTuple):
    """Hold a part of a day: its requests, and whether they are turned away.

    They come to `vms` of the entry VMs, from the number `first` on.
    """

    duration_s: float
    rate_per_s: float
    rejected: bool
    first: int = 0
    vms: int = 9


def max_overspend(phases: list[TrafficPhase], *, vms: int) -> float:
    """Return by how much repeats exceed the budget in the worst window.

    Where requests are turned away, every VM repeats all that it may. A window's
    requests are those in it, in the one before, or in the one half a window
    before, whichever are most.
    """
    clock = ManualClock()
    windows = [
        RetryWindow(clock=clock, ratio=RATIO, slack=SLACK, window_s=WINDOW_S, vms=vms)
        for _ in range(vms)
    ]
    requests: list[float] = []
    repeats: list[float] = []
    fractional_requests = 0.0
    for phase in phases:
        for _ in range(int(phase.duration_s / STEP_S)):
            clock.advance(STEP_S)
            fractional_requests += phase.rate_per_s * STEP_S
            while fractional_requests >= 1.0:
                fractional_requests -= 1.0
                place = phase.first + len(requests) % min(vms, phase.vms)
                windows[place % vms].note_request()
                requests.append(clock.monotonic_s())
            for window in windows if phase.rejected else ():
                while spend(window):
                    repeats.append(clock.monotonic_s())

    def count(times: list[float], start_s: float) -> int:
        return bisect_left(times, start_s + WINDOW_S) - bisect_left(times, start_s)

    def budget(start_s: float) -> float:
        starts = (start_s, start_s - WINDOW_S / 2, start_s - WINDOW_S)
        return RATIO * max(count(requests, start) for start in starts) + SLACK

    return max(
        (count(repeats, start_s) - budget(start_s) for start_s in sorted(set(repeats))),
        default=0.0,
    )


def test_repeats_keep_to_the_budget_as_a_burst_ends() -> None:
    # Twice the traffic for ten seconds; at its end all servers are full and turn
    # requests away. Repeats that go by the requests of the ten seconds before go by
    # the burst alone; a window that begins with them reaches beyond it, and so does
    # each by which its budget may be counted: the service gets too many.
    phases = [
        TrafficPhase(12.0, 97.0, False),
        TrafficPhase(9.0, 214.0, False),
        TrafficPhase(1.0, 214.0, True),
        TrafficPhase(20.0, 97.0, True),
    ]
    for vms in (1, 9):
        assert max_overspend(phases, vms=vms) <= 0


def test_repeats_keep_to_the_budget_as_callers_move_to_other_vms() -> None:
    # Callers of some VMs come to others, and all are turned away. Where each VM
    # counts the requests of its own last ten seconds, a window over both sees the
    # repeats of twice the requests that came.
    phases = [
        TrafficPhase(12.0, 200.0, False, first=0, vms=4),
        TrafficPhase(2.0, 200.0, True, first=0, vms=4),
        TrafficPhase(8.0, 200.0, False, first=4, vms=4),
        TrafficPhase(2.0, 200.0, True, first=4, vms=4),
    ]
    assert max_overspend(phases, vms=9) <= 0


@settings(deadline=None)
@given(
    st.lists(
        st.builds(
            TrafficPhase,
            st.floats(0.5, 12.0),
            st.floats(0.0, 300.0),
            st.booleans(),
            st.integers(0, 8),
            st.integers(1, 9),
        ),
        max_size=6,
    ),
    st.sampled_from((1, 9)),
)
def test_repeats_keep_to_the_budget_whatever_comes(
    phases: list[TrafficPhase], vms: int
) -> None:
    assert max_overspend(phases, vms=vms) <= 0


def test_the_budget_is_used_in_full_while_traffic_is_steady() -> None:
    # What is not spent serves nobody: a fifth of the requests may be repeated.
    clock = ManualClock()
    window = RetryWindow(clock=clock, ratio=RATIO, slack=0.0, window_s=WINDOW_S)
    spent = 0
    for second in range(40):
        clock.advance(1.0)
        for _ in range(50):
            window.note_request()
        while spend(window):
            spent += second >= 20
    assert spent >= 0.95 * RATIO * 50 * 20
