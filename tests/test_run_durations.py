"""What is known of how long runs take."""

from rosepath.run_durations import RunDurations


def test_runs_of_an_unknown_route_may_take_any_time() -> None:
    durations = RunDurations()
    durations.note_completed("other", took_s=1.0)
    assert durations.longest_s("drafts") is None


def test_steady_runs_are_expected_to_take_what_they_took() -> None:
    durations = RunDurations()
    for _ in range(50):
        durations.note_completed("drafts", took_s=2.0)
    longest_s = durations.longest_s("drafts")
    assert longest_s is not None and 2.0 <= longest_s < 2.1


def test_hardly_a_run_takes_longer_than_expected() -> None:
    durations = RunDurations()
    longer = 0
    for number in range(500):
        took_s = 1.0 + (number * 7 % 10) / 10
        longest_s = durations.longest_s("drafts")
        longer += longest_s is not None and took_s > longest_s
        durations.note_completed("drafts", took_s=took_s)
    assert longer <= 5
