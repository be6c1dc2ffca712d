"""Tests of which request is identified as the cause of crashes."""

import random
from itertools import permutations

from rosepath.clock import ManualClock
from rosepath.crash_records import (
    MAX_RECORDS,
    MAX_REPORTS_SENT,
    REPORT_TTL_S,
    SETTLE_S,
    SURVIVED_TTL_S,
    SUSPECT_TTL_S,
    CrashRecords,
    CrashReport,
    Exposure,
    ServerInstance,
    Suspicion,
)


def report(
    content: str,
    server: str,
    *,
    exposure: Exposure = Exposure.STARTING,
    born_ms: int = 1,
) -> CrashReport:
    return CrashReport(content, ServerInstance(server, born_ms), exposure)


def records_of(*reports: CrashReport, clock: ManualClock | None = None) -> CrashRecords:
    records = CrashRecords(clock=clock or ManualClock())
    for one in reports:
        records.add(one)
    return records


def reports_at(
    content: str, *servers: str, exposure: Exposure = Exposure.STARTING
) -> list[CrashReport]:
    return [report(content, server, exposure=exposure) for server in servers]


def reports_of_cause(content: str, *servers: str) -> list[CrashReport]:
    """Return reports of a request at crashes, isolated at the last of them."""
    last = report(content, servers[-1], exposure=Exposure.ISOLATED)
    return [*reports_at(content, *servers[:-1]), last]


def is_cause(records: CrashRecords, content: str) -> bool:
    return records.suspicion(content) >= Suspicion.HELD


def test_request_isolated_at_its_third_crash_is_the_cause() -> None:
    records = records_of(*reports_at("bad", "s1", "s2"))
    assert records.suspicion("bad") is Suspicion.SUSPECT
    records.add(report("bad", "s3", exposure=Exposure.ISOLATED))
    assert is_cause(records, "bad")


# Guards against quarantine of requests that are in flight everywhere, such as
# a common idempotent request, when several servers crash at once.
def test_request_is_not_held_before_it_ran_isolated() -> None:
    records = records_of(*reports_at("good", "s1", "s2", "s3", "s4", "s5", "s6"))
    assert records.suspicion("good") is Suspicion.SUSPECT
    assert records.clear("good")
    assert records.suspicion("good") is Suspicion.CLEAR


def test_request_only_queued_at_one_crash_is_clear() -> None:
    records = records_of(report("good", "s1", exposure=Exposure.PRESENT))
    assert records.suspicion("good") is Suspicion.CLEAR


def test_duplicate_reports_count_once() -> None:
    twice = reports_at("good", "s1", "s2") * 3
    assert records_of(*twice).suspicion("good") is Suspicion.SUSPECT


def test_each_instance_of_a_server_counts_as_another_crash() -> None:
    crashes = [
        report("bad", "s1", born_ms=born_ms, exposure=Exposure.ISOLATED)
        for born_ms in (1, 2, 3)
    ]
    assert is_cause(records_of(*crashes), "bad")


# Guards against refusal of unrelated requests that were queued at the crashes.
def test_queued_requests_are_clear_once_the_cause_is_known() -> None:
    bad = reports_of_cause("bad", "s1", "s2", "s3")
    good = reports_at("good", "s1", "s2", "s3", exposure=Exposure.PRESENT)
    for order in (bad + good, good + bad):
        records = records_of(*order)
        assert is_cause(records, "bad")
        assert records.suspicion("good") is Suspicion.CLEAR


def test_request_at_fewer_crashes_is_clear_once_the_cause_is_known() -> None:
    records = records_of(
        *reports_of_cause("bad", "s1", "s2", "s3", "s4"),
        *reports_at("good", "s2", "s3", "s4"),
    )
    assert is_cause(records, "bad")
    assert records.suspicion("good") is Suspicion.CLEAR


# Guards against quarantine of an unrelated request that was at the same
# crashes.
def test_requests_at_the_same_crashes_are_suspects_until_one_is_isolated() -> None:
    records = records_of(
        *reports_at("bad", "s1", "s2", "s3"), *reports_at("good", "s1", "s2", "s3")
    )
    assert records.suspicion("bad") is Suspicion.SUSPECT
    assert records.suspicion("good") is Suspicion.SUSPECT
    records.add(report("bad", "s4", exposure=Exposure.ISOLATED))
    assert is_cause(records, "bad")
    assert records.suspicion("good") is Suspicion.CLEAR


# Guards against quarantine of an unrelated request that VMs which don't hear each
# other isolated at the same servers as the cause.
def test_suspects_isolated_together_are_told_apart_by_the_next_crash() -> None:
    together = [
        *reports_of_cause("bad", "s1", "s2", "s3"),
        *reports_of_cause("good", "s1", "s2", "s3"),
    ]
    for order in (together, together[::-1]):
        records = records_of(*order)
        assert records.suspicion("bad") is Suspicion.SUSPECT
        assert records.suspicion("good") is Suspicion.SUSPECT
        records.add(report("bad", "s4"))
        assert is_cause(records, "bad")
        assert records.suspicion("good") is Suspicion.CLEAR


def test_two_causes_of_different_crashes_are_both_quarantined() -> None:
    records = records_of(
        *reports_of_cause("bad", "s1", "s2", "s3"),
        *reports_of_cause("worse", "s4", "s5", "s6"),
    )
    assert is_cause(records, "bad")
    assert is_cause(records, "worse")


def test_completed_run_clears_a_request_of_earlier_crashes() -> None:
    records = records_of(*reports_at("good", "s1", "s2"))
    assert records.clear("good")
    assert [one.key for one in records.cleared] == ["good"]
    assert records.suspicion("good") is Suspicion.CLEAR
    # Other VMs send reports of the same crashes again.
    records.add(report("good", "s1"))
    records.add(report("good", "s3"))
    assert not is_cause(records, "good")


def test_result_does_not_depend_on_report_order() -> None:
    reports = [
        *reports_of_cause("bad", "s1", "s2", "s3"),
        *reports_at("good", "s1", "s2", exposure=Exposure.PRESENT),
    ]
    found = {
        tuple(records_of(*order).suspicion(content) for content in ("bad", "good"))
        for order in permutations(reports)
    }
    assert found == {(Suspicion.HELD, Suspicion.CLEAR)}


# Until all reports are in, an unrelated request may look like the cause.
# Guards against sending it to other VMs as quarantined: they would refuse it
# for good.
def test_cause_is_sent_to_peers_only_after_the_settle_time() -> None:
    clock = ManualClock()
    records = records_of(*reports_of_cause("good", "s1", "s2", "s3"), clock=clock)
    assert records.suspicion("good") is Suspicion.HELD
    assert records.quarantined == ()
    for one in reports_of_cause("bad", "s1", "s2", "s3", "s4"):
        records.add(one)
    clock.advance(SETTLE_S + 0.1)
    assert records.quarantined == ("bad",)


def test_quarantine_by_another_vm_applies_without_reports() -> None:
    records = records_of()
    assert records.quarantine("bad")
    assert not records.quarantine("bad")
    assert records.suspicion("bad") is Suspicion.QUARANTINED


def test_a_completed_run_does_not_end_a_quarantine() -> None:
    clock = ManualClock()
    records = records_of(*reports_of_cause("bad", "s1", "s2", "s3"), clock=clock)
    clock.advance(SETTLE_S + 0.1)
    assert records.quarantined == ("bad",)
    records.clear("bad")
    assert records.suspicion("bad") is Suspicion.QUARANTINED


def test_suspects_are_forgotten_and_quarantined_requests_kept() -> None:
    clock = ManualClock()
    records = records_of(
        *reports_of_cause("bad", "s1", "s2", "s3"),
        *reports_at("good", "s9"),
        clock=clock,
    )
    clock.advance(SUSPECT_TTL_S + 1.0)
    records.add(report("other", "s8"))
    assert is_cause(records, "bad")
    assert records.suspicion("good") is Suspicion.CLEAR


def test_the_table_is_bounded_and_keeps_the_cause() -> None:
    records = records_of(*reports_of_cause("bad", "s1", "s2", "s3"))
    for number in range(2 * MAX_RECORDS):
        records.add(report(f"good-{number}", f"t{number}"))
    assert len(records) <= MAX_RECORDS
    assert is_cause(records, "bad")


def test_reports_are_sent_until_they_expire() -> None:
    clock = ManualClock()
    records = records_of(report("bad", "s1"), clock=clock)
    assert records.recent_reports() == (report("bad", "s1"),)
    clock.advance(REPORT_TTL_S + 0.1)
    assert records.recent_reports() == ()


# Guards against reports of queued requests displacing that of one that had
# started.
def test_reports_with_the_strongest_exposure_are_sent_first() -> None:
    queued = [
        report(f"good-{number}", "s1", exposure=Exposure.PRESENT)
        for number in range(3 * MAX_REPORTS_SENT)
    ]
    records = records_of(*queued[:20], report("bad", "s1"), *queued[20:])
    assert report("bad", "s1") in records.recent_reports()
    assert len(records.recent_reports()) == MAX_REPORTS_SENT


def test_cause_is_identified_among_many_queued_requests() -> None:
    rng = random.Random(5)
    for _ in range(50):
        reports = reports_of_cause("bad", "s1", "s2", "s3")
        for number in range(30):
            seen = rng.sample(["s1", "s2", "s3"], rng.randint(1, 3))
            reports += reports_at(f"good-{number}", *seen, exposure=Exposure.PRESENT)
        rng.shuffle(reports)
        records = records_of(*reports)
        assert is_cause(records, "bad")
        suspicions = {records.suspicion(f"good-{number}") for number in range(30)}
        assert suspicions == {Suspicion.CLEAR}


def part_reports(*parts: str, contents: int = 3, servers: int = 3) -> list[CrashReport]:
    """Return reports of requests with parts, isolated at the last crash."""
    return [
        CrashReport(
            f"c{min(number, contents - 1)}",
            ServerInstance(f"s{number}", 1),
            Exposure.ISOLATED if number == servers - 1 else Exposure.STARTING,
            parts,
        )
        for number in range(servers)
    ]


def test_a_part_at_three_crashes_of_three_requests_is_the_cause() -> None:
    records = records_of(*part_reports("part:x"))
    assert is_cause(records, "part:x")


def test_a_part_at_two_crashes_is_a_suspect() -> None:
    first, second, _ = part_reports("part:x")
    records = records_of(first)
    assert records.suspicion("part:x") is Suspicion.CLEAR
    records.add(second)
    assert records.suspicion("part:x") is Suspicion.SUSPECT


# Guards against blaming the parts of a request that crashes servers by itself.
def test_a_part_of_one_retried_request_is_not_the_cause() -> None:
    records = records_of(*part_reports("part:x", contents=1))
    assert is_cause(records, "c0")
    assert not is_cause(records, "part:x")


# Guards against refusing all requests for the part that each of them has.
def test_a_part_with_which_runs_survive_is_not_the_cause() -> None:
    clock = ManualClock()
    records = CrashRecords(clock=clock)
    records.note_survived(("part:first",))
    for one in part_reports("part:first", "part:x"):
        records.add(one)
    assert records.suspicion("part:first") is Suspicion.CLEAR
    assert is_cause(records, "part:x")
    assert "part:first" in {one.key for one in records.cleared}


# Guards against refusing sound requests for a part that they share with those that
# crash servers, where no run has survived yet.
def test_only_requests_with_all_parts_at_the_same_crashes_are_refused() -> None:
    records = records_of(*part_reports("part:first", "part:x"))
    assert records.parts_suspicion(("part:first", "part:x")) >= Suspicion.HELD
    for part in ("part:first", "part:x"):
        assert records.parts_suspicion((part, "part:other")) is Suspicion.SUSPECT


# Guards against leaving the cause together with parts that are innocent.
def test_a_run_with_some_parts_of_a_cause_narrows_it_down() -> None:
    clock = ManualClock()
    records = records_of(*part_reports("part:first", "part:x"), clock=clock)
    clock.advance(SETTLE_S)
    assert records.note_survived(("part:first", "part:other"))
    assert records.parts_suspicion(("part:first",)) is Suspicion.CLEAR
    assert records.parts_suspicion(("part:x",)) is Suspicion.QUARANTINED
    assert records.quarantined == ("part:x",)


# Guards against a crash for each combination of the guilty part with others.
def test_crashes_with_some_parts_of_a_cause_narrow_it_down() -> None:
    records = records_of(*part_reports("part:first", "part:x"))
    for number in range(4, 6):
        parts = ("part:x", f"part:other{number}")
        instance = ServerInstance(f"s{number}")
        records.add(CrashReport(f"c{number}", instance, Exposure.ISOLATED, parts))
    assert records.parts_suspicion(("part:x", "part:new")) >= Suspicion.HELD
    assert records.parts_suspicion(("part:first", "part:new")) < Suspicion.HELD


def two_causes() -> CrashRecords:
    """Return records of two guilty parts that share the part before them."""
    records = CrashRecords(clock=ManualClock())
    for guilty in ("x", "y"):
        for number, exposure in enumerate(
            [Exposure.STARTING] * 2 + [Exposure.ISOLATED]
        ):
            name = f"{guilty}{number}"
            parts = ("part:first", f"part:{guilty}")
            records.add(CrashReport(name, ServerInstance(name), exposure, parts))
    return records


# Guards against condemning the part that two guilty ones have in common.
def test_a_part_that_several_causes_share_is_tested_alone() -> None:
    records = two_causes()
    for guilty in ("part:x", "part:y"):
        assert records.parts_suspicion(("part:first", guilty)) >= Suspicion.HELD
    sound = ("part:first", "part:other")
    assert records.parts_suspicion(sound) is Suspicion.SUSPECT
    records.note_survived(sound)
    assert records.parts_suspicion(sound) is Suspicion.CLEAR
    for guilty in ("part:x", "part:y"):
        assert records.parts_suspicion(("part:first", guilty)) >= Suspicion.HELD


# Guards against tests without end where the shared part is the guilty one.
def test_a_part_that_crashes_without_its_rivals_is_the_cause() -> None:
    records = two_causes()
    for number in range(2):
        name = f"alone{number}"
        report = CrashReport(
            name, ServerInstance(name), Exposure.ISOLATED, ("part:first",)
        )
        records.add(report)
    assert is_cause(records, "part:first")


# Guards against a cause that another VM told and that keeps its innocent parts.
def test_parts_that_survived_are_left_out_of_causes_of_other_vms() -> None:
    records = CrashRecords(clock=ManualClock())
    records.note_survived(("part:first",))
    assert records.quarantine("part:first+part:x")
    assert records.quarantined == ("part:x",)
    assert not records.quarantine("part:first+part:x")


# Guards against crashes without end while VMs tell each other of a run that survived
# before them.
def test_a_run_that_survived_elsewhere_clears_earlier_crashes_only() -> None:
    clock = ManualClock()
    vms = [CrashRecords(clock=clock) for _ in range(2)]
    *earlier, last = part_reports("part:x", servers=7, contents=7)
    for records in vms:
        records.add(earlier[0])
    vms[0].note_survived(("part:x",))
    for one in (*earlier[1:], last):
        for records, other in (vms, vms[::-1]):
            records.add(one)
            for cleared in other.cleared:
                records.note_survived((cleared.key,), ago_s=cleared.ago_s)
        clock.advance(2 * SETTLE_S)
    for records in vms:
        assert records.suspicion("part:x") is Suspicion.QUARANTINED


def test_a_part_is_cleared_by_a_run_at_another_vm() -> None:
    records = records_of(*part_reports("part:x", servers=2))
    assert records.note_survived(("part:x",))
    assert records.suspicion("part:x") is Suspicion.CLEAR


def test_a_part_that_crashes_servers_later_is_found_once_runs_no_longer_survive() -> (
    None
):
    clock = ManualClock()
    records = CrashRecords(clock=clock)
    records.note_survived(("part:x",))
    clock.advance(SURVIVED_TTL_S + 1.0)
    for one in part_reports("part:x"):
        records.add(one)
    assert is_cause(records, "part:x")
