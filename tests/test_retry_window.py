"""The parts of the retry budget add up to no more than the whole."""

from hypothesis import given, strategies as st

from rosepath.clock import ManualClock
from rosepath.retry_window import RetryWindow


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
        spent += sum(window.spend() for _ in range(500))
    assert spent <= 0.2 * sum(requests) + 50.0


def test_what_was_spent_comes_back_after_the_window() -> None:
    clock = ManualClock()
    window = a_window(clock)
    while window.spend():
        pass
    clock.advance(10.5)
    assert window.spend()
