"""Which request is found to crash its servers."""

import random
from itertools import permutations

from rosepath.clock import ManualClock
from rosepath.crash_records import (
    RECORDS_KEPT,
    REPORTS_TOLD,
    SETTLE_S,
    SUSPECT_KEPT_S,
    TOLD_S,
    CrashRecords,
    CrashReport,
    Exposure,
    ServerLife,
    Suspicion,
)


def report(
    content: str,
    server: str,
    *,
    exposure: Exposure = Exposure.STARTING,
    born_ms: int = 1,
) -> CrashReport:
    return CrashReport(content, ServerLife(server, born_ms), exposure)


def records_of(*reports: CrashReport, clock: ManualClock | None = None) -> CrashRecords:
    records = CrashRecords(clock=clock or ManualClock())
    for one in reports:
        records.add(one)
    return records


def at_crashes(
    content: str, *servers: str, exposure: Exposure = Exposure.STARTING
) -> list[CrashReport]:
    return [report(content, server, exposure=exposure) for server in servers]


def causes(content: str, *servers: str) -> list[CrashReport]:
    """Report a request at crashes, and isolated at the last of them."""
    last = report(content, servers[-1], exposure=Exposure.ISOLATED)
    return [*at_crashes(content, *servers[:-1]), last]


def is_cause(records: CrashRecords, content: str) -> bool:
    return records.suspicion(content) >= Suspicion.HELD


def test_a_request_at_three_crashes_is_quarantined() -> None:
    records = records_of(*at_crashes("bad", "s1", "s2"))
    assert records.suspicion("bad") is Suspicion.SUSPECT
    records.add(report("bad", "s3", exposure=Exposure.ISOLATED))
    assert is_cause(records, "bad")


# Guards against requests that are simply everywhere, such as a look-up that all make,
# being quarantined when several servers crash at once.
def test_a_request_is_not_quarantined_before_it_ran_isolated() -> None:
    records = records_of(*at_crashes("good", "s1", "s2", "s3", "s4", "s5", "s6"))
    assert records.suspicion("good") is Suspicion.SUSPECT
    assert records.clear("good")
    assert records.suspicion("good") is Suspicion.CLEAR


def test_a_request_that_was_only_queued_at_one_crash_is_clear() -> None:
    records = records_of(report("good", "s1", exposure=Exposure.PRESENT))
    assert records.suspicion("good") is Suspicion.CLEAR


def test_reports_that_come_twice_count_once() -> None:
    twice = at_crashes("good", "s1", "s2") * 3
    assert records_of(*twice).suspicion("good") is Suspicion.SUSPECT


def test_another_life_of_the_same_server_is_another_crash() -> None:
    crashes = [
        report("bad", "s1", born_ms=born_ms, exposure=Exposure.ISOLATED)
        for born_ms in (1, 2, 3)
    ]
    assert is_cause(records_of(*crashes), "bad")


# Guards against unrelated requests being refused with the one that crashed theirs.
def test_what_was_queued_at_the_same_crashes_is_clear_once_the_cause_is_known() -> None:
    bad = causes("bad", "s1", "s2", "s3")
    good = at_crashes("good", "s1", "s2", "s3", exposure=Exposure.PRESENT)
    for order in (bad + good, good + bad):
        records = records_of(*order)
        assert is_cause(records, "bad")
        assert records.suspicion("good") is Suspicion.CLEAR


def test_what_was_at_fewer_crashes_is_clear_once_the_cause_is_known() -> None:
    records = records_of(
        *causes("bad", "s1", "s2", "s3", "s4"), *at_crashes("good", "s2", "s3", "s4")
    )
    assert is_cause(records, "bad")
    assert records.suspicion("good") is Suspicion.CLEAR


# Guards against an unrelated request, at just the same crashes, being refused for good.
def test_requests_at_just_the_same_crashes_go_on_until_the_next_tells() -> None:
    records = records_of(
        *at_crashes("bad", "s1", "s2", "s3"), *at_crashes("good", "s1", "s2", "s3")
    )
    assert records.suspicion("bad") is Suspicion.SUSPECT
    assert records.suspicion("good") is Suspicion.SUSPECT
    records.add(report("bad", "s4", exposure=Exposure.ISOLATED))
    assert is_cause(records, "bad")
    assert records.suspicion("good") is Suspicion.CLEAR


def test_two_causes_of_different_crashes_are_both_quarantined() -> None:
    records = records_of(
        *causes("bad", "s1", "s2", "s3"), *causes("worse", "s4", "s5", "s6")
    )
    assert is_cause(records, "bad")
    assert is_cause(records, "worse")


def test_a_completed_run_clears_of_all_crashes_before() -> None:
    records = records_of(*at_crashes("good", "s1", "s2"))
    assert records.clear("good")
    assert records.cleared == ("good",)
    assert records.suspicion("good") is Suspicion.CLEAR
    # Other VMs tell of the same crashes again.
    records.add(report("good", "s1"))
    records.add(report("good", "s3"))
    assert not is_cause(records, "good")


def test_the_order_of_reports_decides_nothing() -> None:
    reports = [
        *causes("bad", "s1", "s2", "s3"),
        *at_crashes("good", "s1", "s2", exposure=Exposure.PRESENT),
    ]
    found = {
        tuple(records_of(*order).suspicion(content) for content in ("bad", "good"))
        for order in permutations(reports)
    }
    assert found == {(Suspicion.HELD, Suspicion.CLEAR)}


# Guards against a request that looks like the cause before all reports are in being
# told to other VMs as the cause, and refused there for good.
def test_the_cause_is_told_only_once_the_reports_are_in() -> None:
    clock = ManualClock()
    records = records_of(*causes("good", "s1", "s2", "s3"), clock=clock)
    assert records.suspicion("good") is Suspicion.HELD
    assert records.quarantined == ()
    for one in causes("bad", "s1", "s2", "s3", "s4"):
        records.add(one)
    clock.advance(SETTLE_S + 0.1)
    assert records.quarantined == ("bad",)


def test_a_vm_that_missed_the_reports_takes_the_others_word() -> None:
    records = records_of()
    assert records.quarantine("bad")
    assert not records.quarantine("bad")
    assert records.suspicion("bad") is Suspicion.QUARANTINED


def test_a_completed_run_does_not_end_a_quarantine() -> None:
    clock = ManualClock()
    records = records_of(*causes("bad", "s1", "s2", "s3"), clock=clock)
    clock.advance(SETTLE_S + 0.1)
    assert records.quarantined == ("bad",)
    records.clear("bad")
    assert records.suspicion("bad") is Suspicion.QUARANTINED


def test_suspects_are_forgotten_and_quarantined_requests_kept() -> None:
    clock = ManualClock()
    records = records_of(
        *causes("bad", "s1", "s2", "s3"), *at_crashes("good", "s9"), clock=clock
    )
    clock.advance(SUSPECT_KEPT_S + 1.0)
    records.add(report("other", "s8"))
    assert is_cause(records, "bad")
    assert records.suspicion("good") is Suspicion.CLEAR


def test_the_table_is_bounded_and_keeps_the_cause() -> None:
    records = records_of(*causes("bad", "s1", "s2", "s3"))
    for number in range(2 * RECORDS_KEPT):
        records.add(report(f"good-{number}", f"t{number}"))
    assert len(records) <= RECORDS_KEPT
    assert is_cause(records, "bad")


def test_reports_are_told_for_a_while() -> None:
    clock = ManualClock()
    records = records_of(report("bad", "s1"), clock=clock)
    assert records.told() == (report("bad", "s1"),)
    clock.advance(TOLD_S + 0.1)
    assert records.told() == ()


# Guards against what was queued at a crash crowding out what had begun to run.
def test_the_strongest_reports_are_told_first() -> None:
    queued = [
        report(f"good-{number}", "s1", exposure=Exposure.PRESENT)
        for number in range(3 * REPORTS_TOLD)
    ]
    records = records_of(*queued[:20], report("bad", "s1"), *queued[20:])
    assert report("bad", "s1") in records.told()
    assert len(records.told()) == REPORTS_TOLD


def test_of_many_requests_at_three_crashes_the_one_that_began_is_found() -> None:
    rng = random.Random(5)
    for _ in range(50):
        reports = causes("bad", "s1", "s2", "s3")
        for number in range(30):
            seen = rng.sample(["s1", "s2", "s3"], rng.randint(1, 3))
            reports += at_crashes(f"good-{number}", *seen, exposure=Exposure.PRESENT)
        rng.shuffle(reports)
        records = records_of(*reports)
        assert is_cause(records, "bad")
        suspicions = {records.suspicion(f"good-{number}") for number in range(30)}
        assert suspicions == {Suspicion.CLEAR}
