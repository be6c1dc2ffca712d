"""The retries of all VMs together stay within the retry budget."""

import math
from bisect import bisect_left
from typing import NamedTuple

from hypothesis import given, settings, strategies as st

from rosepath.clock import ManualClock
from rosepath.retry_window import RetryWindow


def send_retry(window: RetryWindow) -> bool:
    """Reserve and send a retry, if one is available."""
    return window.reserve() and window.consume()


def a_window(clock: ManualClock, *, vms: int = 4) -> RetryWindow:
    return RetryWindow(clock=clock, ratio=0.2, slack=50.0, window_s=10.0, vms=vms)


@given(st.lists(st.integers(0, 40), min_size=4, max_size=4))
def test_all_vms_together_stay_within_the_budget(requests: list[int]) -> None:
    # The service fails for all VMs at once, and each sends all allowed
    # retries.
    clock = ManualClock()
    sent = 0
    for count in requests:
        window = a_window(clock)
        for _ in range(count):
            window.note_request()
        sent += sum(send_retry(window) for _ in range(500))
    assert sent <= 0.2 * sum(requests) + 50.0


def test_sent_retries_are_available_again_after_the_window() -> None:
    clock = ManualClock()
    window = a_window(clock)
    while send_retry(window):
        pass
    clock.advance(10.5)
    assert send_retry(window)


RATIO, SLACK, WINDOW_S = 0.2, 58.0, 10.0
STEP_S = 0.25


class TrafficPhase(NamedTuple):
    """Describe a phase of traffic, and whether servers reject its requests.

    The requests reach `vms` of the entry VMs, starting with number `first_vm`.
    The first `restarted` VMs start again as the phase begins. With `waits`, the
    retries are reserved, and sent in later phases.
    """

    duration_s: float
    rate_per_s: float
    rejected: bool
    first_vm: int = 0
    vms: int = 9
    restarted: int = 0
    waits: bool = False


def max_excess(phases: list[TrafficPhase], *, vms: int) -> float:
    """Return by how much retries exceed the budget in the worst window.

    In rejected phases, every VM sends all allowed retries. The budget of
    a window depends on the most requests in any of three windows: itself, the
    one half a window earlier and the previous one.
    """
    clock = ManualClock()

    def start(*, slack_from_s: float = -math.inf) -> RetryWindow:
        return RetryWindow(
            clock=clock,
            ratio=RATIO,
            slack=SLACK,
            window_s=WINDOW_S,
            vms=vms,
            slack_from_s=slack_from_s,
        )

    windows = [start() for _ in range(vms)]
    requests: list[float] = []
    retries: list[float] = []
    # Of each reserved retry that waits for a server.
    waiting: list[RetryWindow] = []
    fractional_requests = 0.0
    for phase in phases:
        for number in range(min(phase.restarted, vms)):
            windows[number] = start(slack_from_s=clock.monotonic_s() + WINDOW_S)
        for _ in range(int(phase.duration_s / STEP_S)):
            clock.advance(STEP_S)
            fractional_requests += phase.rate_per_s * STEP_S
            while fractional_requests >= 1.0:
                fractional_requests -= 1.0
                vm_index = phase.first_vm + len(requests) % min(vms, phase.vms)
                windows[vm_index % vms].note_request()
                requests.append(clock.monotonic_s())
            for window in windows if phase.rejected else ():
                if phase.waits:
                    while window.reserve():
                        waiting.append(window)
                    continue
                while send_retry(window):
                    retries.append(clock.monotonic_s())
            for window in waiting if not phase.waits else ():
                if window.consume():
                    retries.append(clock.monotonic_s())
            if not phase.waits:
                waiting.clear()

    return excess(requests, retries)


def excess(requests: list[float], retries: list[float]) -> float:
    """Return by how much retries exceed the budget in the worst window."""

    def count(times: list[float], start_s: float) -> int:
        return bisect_left(times, start_s + WINDOW_S) - bisect_left(times, start_s)

    def budget(start_s: float) -> float:
        starts = (start_s, start_s - WINDOW_S / 2, start_s - WINDOW_S)
        return RATIO * max(count(requests, start) for start in starts) + SLACK

    return max(
        (count(retries, start_s) - budget(start_s) for start_s in sorted(set(retries))),
        default=0.0,
    )


def test_retries_stay_within_the_budget_as_a_burst_ends() -> None:
    # Traffic doubles for ten seconds, and at its end all servers reject
    # requests. If the allowance depended on the previous ten seconds only, it
    # would be computed from the burst alone. The retries, however, are judged
    # by windows that also contain the lower traffic before or after the burst,
    # and would exceed their budget.
    phases = [
        TrafficPhase(12.0, 97.0, False),
        TrafficPhase(9.0, 214.0, False),
        TrafficPhase(1.0, 214.0, True),
        TrafficPhase(20.0, 97.0, True),
    ]
    for vms in (1, 9):
        assert max_excess(phases, vms=vms) <= 0


def test_retries_stay_within_the_budget_as_callers_move_to_other_vms() -> None:
    # Callers move from some VMs to others, and all are rejected. If each VM
    # used its own requests of the last ten seconds, a window that spans the
    # move could contain retries for twice the requests received.
    phases = [
        TrafficPhase(12.0, 200.0, False, first_vm=0, vms=4),
        TrafficPhase(2.0, 200.0, True, first_vm=0, vms=4),
        TrafficPhase(8.0, 200.0, False, first_vm=4, vms=4),
        TrafficPhase(2.0, 200.0, True, first_vm=4, vms=4),
    ]
    assert max_excess(phases, vms=9) <= 0


# Guards against sending retries that were reserved during a load after its end.
def test_retries_stay_within_the_budget_as_they_wait_for_servers() -> None:
    phases = [
        TrafficPhase(12.0, 180.0, False),
        TrafficPhase(6.0, 180.0, True, waits=True),
        TrafficPhase(8.0, 2.0, False, waits=True),
        TrafficPhase(2.0, 2.0, False),
    ]
    for vms in (1, 9):
        assert max_excess(phases, vms=vms) <= 0


def max_excess_after_pause(*, paused_vms: int, pause_s: float, delay_s: float) -> float:
    """Return by how much retries exceed the budget after some of 9 VMs stood still.

    Callers send on for 4 s of the pause, and little after that. The VMs read what
    arrived as they go on; `delay_s` later all requests are rejected.
    """
    clock, vms = ManualClock(), 9
    windows = [
        RetryWindow(clock=clock, ratio=RATIO, slack=SLACK, window_s=WINDOW_S, vms=vms)
        for _ in range(vms)
    ]
    calm_s, sending_s, ends_s = 12.0, 16.0, 12.0 + pause_s + delay_s + 12.0
    start_s = clock.monotonic_s()
    requests: list[float] = []
    retries: list[float] = []
    unread: list[tuple[RetryWindow, float]] = []
    fractional_requests = 0.0
    while (passed_s := clock.monotonic_s() - start_s) < ends_s:
        clock.advance(STEP_S)
        now_s = clock.monotonic_s()
        paused = calm_s < passed_s <= calm_s + pause_s
        fractional_requests += (180.0 if passed_s <= sending_s else 2.0) * STEP_S
        while fractional_requests >= 1.0:
            fractional_requests -= 1.0
            number = len(requests) % vms
            requests.append(now_s)
            if paused and number < paused_vms:
                unread.append((windows[number], now_s))
            else:
                windows[number].note_request()
        if not paused:
            for window, arrived_s in unread:
                window.note_request(age_s=now_s - arrived_s)
            unread.clear()
        for window in windows if passed_s > calm_s + pause_s + delay_s else ():
            while send_retry(window):
                retries.append(now_s)
    return excess(requests, retries)


# Guards against retries for requests that were read late, in windows in which nobody
# sent them.
def test_retries_stay_within_the_budget_after_vms_stood_still() -> None:
    for paused_vms in (3, 6, 9):
        for pause_s in (5.5, 7.0, 9.0, 12.0):
            for delay_s in (0.0, 1.0, 2.0, 3.0, 4.0, 4.75, 5.0, 6.0):
                assert (
                    max_excess_after_pause(
                        paused_vms=paused_vms, pause_s=pause_s, delay_s=delay_s
                    )
                    <= 0
                )


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
            st.integers(0, 9),
            st.booleans(),
        ),
        max_size=6,
    ),
    st.sampled_from((1, 9)),
)
def test_retries_stay_within_the_budget_for_any_traffic_restarts_and_waits(
    phases: list[TrafficPhase], vms: int
) -> None:
    assert max_excess(phases, vms=vms) <= 0


def test_the_budget_is_fully_available_under_steady_traffic() -> None:
    # A limit that is too strict would leave unused a part of the budget of one
    # retry per five requests.
    clock = ManualClock()
    window = RetryWindow(clock=clock, ratio=RATIO, slack=0.0, window_s=WINDOW_S)
    sent = 0
    for second in range(40):
        clock.advance(1.0)
        for _ in range(50):
            window.note_request()
        while send_retry(window):
            sent += second >= 20
    assert sent >= 0.95 * RATIO * 50 * 20
