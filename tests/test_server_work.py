"""What each server still has to do is known to the run, and heals by itself."""

import random

import pytest
from work_builders import (
    a_begin,
    a_stated_slowdown,
    an_assignment,
    an_assignment_request,
    an_end,
    run_once,
)

from rosepath.assignment import RunOutcome, RunReport
from rosepath.server_pace import SLOWDOWN_LASTS_S
from rosepath.server_work import (
    ARRIVAL_DELAY_S,
    REPORT_DELAY_S,
    SILENT_ENTRY_VM_S,
    UNREPORTED_S,
    ServerWork,
    WorkTable,
)

PREFILL_S = 0.1  # of 3,000 tokens, by the prior


def test_prompts_are_read_one_after_the_other() -> None:
    """Load: a long prompt among short ones. Those behind it wait for it."""
    table = WorkTable()
    table.assign(an_assignment("long", unread_tokens=15_000), now_s=10.0)
    for number in range(3):
        short = an_assignment(f"short-{number}", unread_tokens=600)
        table.assign(short, now_s=10.01)
    work = table.of_server("e1")
    assert work.prefill_left_s(10.01) == pytest.approx(0.56 + ARRIVAL_DELAY_S - 0.01)
    assert work.unread_tokens == 16_800

    table.apply(a_begin("long", began_after_s=0.5), now_s=10.51)

    assert work.prefill_left_s(10.51) == pytest.approx(0.06, abs=0.01)
    assert work.streams == 1


def test_a_begun_run_has_nothing_unread() -> None:
    """Load: long streams. They take places, but no time of the prefill queue."""
    table = WorkTable()
    table.assign(an_assignment(), now_s=0.0)
    table.apply(a_begin(), now_s=0.11)
    work = table.of_server("e1")
    assert work.prefill_left_s(0.2) == 0.0
    assert work.unread_tokens == 0
    assert (work.streams, work.free_slots(6)) == (1, 5)


def test_a_request_on_its_way_counts_as_a_whole() -> None:
    """Load: requests of many entry VMs within milliseconds at one idle server."""
    table = WorkTable()
    for number in range(4):
        table.assign(an_assignment(f"q{number}"), now_s=number * 0.001)
    left_s = table.of_server("e1").prefill_left_s(0.003)
    assert left_s == pytest.approx(4 * PREFILL_S, abs=0.005)


def test_a_stalled_server_does_not_look_idle() -> None:
    """Failure: a server stops working on its prompts. Its queue isn't over."""
    table = WorkTable()
    table.assign(an_assignment(first_event_s=PREFILL_S), now_s=0.0)
    work = table.of_server("e1")
    assert work.prefill_left_s(0.15) == 0.0
    late_s = 0.8 - PREFILL_S - ARRIVAL_DELAY_S - REPORT_DELAY_S
    assert work.prefill_left_s(0.8) == pytest.approx(late_s)

    table.assign(an_assignment("q2"), now_s=0.8)

    assert work.prefill_left_s(0.8) == pytest.approx(late_s + PREFILL_S)


def test_a_stalled_server_is_tried_by_one_prompt_at_a_time() -> None:
    """Failure: a server stops working for 8 s. It doesn't gather prompts."""
    table = WorkTable()
    sent = 0
    for step in range(160):
        now_s = step * 0.05
        table.heard_from("vm-1", now_s=now_s)
        table.drop_expired(now_s=now_s)
        if table.of_server("e1").prefill_left_s(now_s) > 0.1:
            continue
        sent += 1
        request = an_assignment_request(f"q{sent}", input_tokens=9_000)
        assignment = an_assignment(request=request, first_event_s=0.3)
        table.assign(assignment, now_s=now_s)
    assert sent <= 3 * 8.0 / (0.3 + UNREPORTED_S)


@pytest.mark.parametrize("model", ["m0", ""])
def test_work_without_unread_tokens_is_never_overdue(model: str) -> None:
    """Load: prompts that are cached as a whole, and requests to plain services."""
    table = WorkTable()
    request = an_assignment_request(model=model)
    table.assign(an_assignment(request=request, unread_tokens=0), now_s=0.0)
    assert table.of_server("e1").prefill_left_s(1.0) == 0.0


def test_a_lost_report_is_made_up_for_by_the_next_one() -> None:
    """Failure: reports lost. A later prompt was read, so the earlier one was too."""
    table = WorkTable()
    table.assign(an_assignment("q1"), now_s=0.0)
    table.assign(an_assignment("q2"), now_s=0.05)
    table.apply(a_begin("q2", began_after_s=0.15), now_s=0.21)
    work = table.of_server("e1")
    assert (work.unread_tokens, work.streams) == (0, 2)
    assert work.prefill_left_s(0.5) == 0.0


def test_a_run_that_nobody_reports_counts_as_unreported() -> None:
    """Failure: reports lost, or a run that never was. It holds no place for long."""
    table = WorkTable()
    table.assign(an_assignment(first_event_s=PREFILL_S), now_s=0.0)
    expires_s = PREFILL_S + UNREPORTED_S
    work = table.of_server("e1")

    table.drop_expired(now_s=expires_s - 0.1)
    assert len(work.runs) == 1

    table.heard_from("vm-1", now_s=expires_s)
    table.drop_expired(now_s=expires_s + 0.1)
    assert (len(work.runs), len(work.unreported)) == (0, 1)
    assert work.prefill_left_s(expires_s + 0.1) == 0.0


def test_a_report_brings_an_unreported_run_back() -> None:
    """Failure: an entry VM was frozen. Its runs count again once it goes on."""
    table = WorkTable()
    table.assign(an_assignment(), now_s=0.0)
    table.drop_expired(now_s=SILENT_ENTRY_VM_S + 0.1)
    work = table.of_server("e1")
    assert table.server_of("q1") is None

    table.apply(a_begin(began_after_s=0.1), now_s=3.5)

    assert work.streams == 1
    assert table.server_of("q1") == "e1"
    table.apply(an_end(), now_s=4.0)
    assert not work.runs and not work.unreported


def test_the_runs_of_a_killed_entry_vm_are_not_counted() -> None:
    """Failure: an entry VM killed with runs in progress. Those of others stay."""
    table = WorkTable()
    for vm in ("vm-1", "vm-2"):
        request = an_assignment_request(f"{vm}-q", entry_vm=vm)
        table.assign(an_assignment(request=request), now_s=0.0)
        table.apply(a_begin(f"{vm}-q"), now_s=0.11)
    table.heard_from("vm-2", now_s=3.0)

    table.drop_expired(now_s=0.11 + SILENT_ENTRY_VM_S + 0.1)

    assert list(table.of_server("e1").runs) == ["vm-2-q"]


def test_a_run_that_ended_unreported_is_forgotten_after_its_deadline() -> None:
    """Failure: an entry VM killed with runs in progress. Its state is bounded."""
    table = WorkTable()
    request = an_assignment_request(deadline_s=5.0)
    table.assign(an_assignment(request=request), now_s=0.0)
    table.drop_expired(now_s=4.0)
    table.drop_expired(now_s=6.1)
    work = table.of_server("e1")
    assert not work.runs and not work.unreported


def test_a_run_that_an_entry_vm_placed_by_itself_counts() -> None:
    """Failure: the scheduler was killed. The next one learns the runs in progress."""
    table = WorkTable()
    assignment = an_assignment(server="e2")
    table.apply(a_begin(server="e2", assignment=assignment), now_s=7.0)
    work = table.of_server("e2")
    assert (work.streams, work.prefill_left_s(7.0)) == (1, 0.0)
    assert table.server_of("q1") == "e2"

    table.apply(an_end(server="e2", assignment=assignment), now_s=8.0)

    assert not work.runs


def test_a_placed_run_that_has_not_begun_counts_as_unread() -> None:
    """Failure: the scheduler can't be reached. Entry VMs place runs meanwhile."""
    table = WorkTable()
    report = RunReport(request_id="q1", server="e1", assignment=an_assignment())
    table.apply(report, now_s=7.0)
    assert table.of_server("e1").prefill_left_s(7.0) == pytest.approx(PREFILL_S)


def test_a_report_that_arrives_again_brings_no_ended_run_back() -> None:
    """Failure: messages sent again or out of order, after the run's end."""
    table = WorkTable()
    table.assign(an_assignment(), now_s=0.0)
    table.apply(an_end(), now_s=1.0)
    table.apply(a_begin(assignment=an_assignment()), now_s=1.1)
    assert not table.of_server("e1").runs


def test_an_entry_vm_that_went_elsewhere_moves_its_run() -> None:
    """Failure: the reply with an assignment was lost. The run counts once."""
    table = WorkTable()
    table.assign(an_assignment(server="e1"), now_s=0.0)
    elsewhere = an_assignment(server="e2")
    table.apply(a_begin(server="e2", assignment=elsewhere), now_s=0.4)
    assert not table.of_server("e1").runs
    assert table.of_server("e2").streams == 1
    assert table.server_of("q1") == "e2"


def test_a_second_assignment_ends_the_run_of_the_first() -> None:
    """Load: a request that its server did not run goes to another server."""
    table = WorkTable()
    table.assign(an_assignment(server="e1"), now_s=0.0)
    table.assign(an_assignment(server="e2"), now_s=0.3)
    assert not table.of_server("e1").runs
    assert table.of_server("e1").prefill_left_s(0.3) == 0.0
    assert list(table.of_server("e2").runs) == ["q1"]


def test_a_server_born_again_has_no_work() -> None:
    """Failure: a server born again. Reports of the earlier instance don't count."""
    table = WorkTable()
    table.assign(an_assignment(born_ms=1_000), now_s=0.0)
    work = table.of_server("e1", born_ms=2_000)
    assert not work.runs
    assert table.server_of("q1") is None

    table.apply(a_begin(assignment=an_assignment(born_ms=1_000)), now_s=0.2)

    assert not table.of_server("e1").runs


def test_a_server_born_again_has_the_pace_of_the_others() -> None:
    """Failure: a slow server born again. Its earlier pace is not its own now."""
    table = WorkTable()
    for server, prefill_s in (("e1", 0.22), ("e2", 0.1), ("e3", 0.1)):
        table.of_server(server, born_ms=1_000)
        for number in range(10):
            request = an_assignment_request(f"{server}-{number}")
            at_s = number * 2.0
            run_once(table, request, server=server, now_s=at_s, prefill_s=prefill_s)
    before = table.of_server("e1").pace
    assert before.prefill_s(3000, now_s=50.0, model="m0") == pytest.approx(
        0.22, rel=0.05
    )
    after = table.of_server("e1", born_ms=2_000).pace
    assert after.prefill_s(3000, now_s=50.0, model="m0") == pytest.approx(0.1, rel=0.05)


def test_one_slow_server_in_four_has_more_left_after_ten_runs() -> None:
    """Load: one slow server in four. Alike prompts keep it twice as long."""
    table = WorkTable()
    rng = random.Random(1)
    for number in range(10):
        for server in ("e1", "e2", "e3", "e4"):
            pace = 0.46 if server == "e1" else 1.0
            request = an_assignment_request(f"{server}-{number}")
            prefill_s = PREFILL_S / pace * rng.uniform(0.9, 1.1)
            at_s = number * 2.0
            run_once(table, request, server=server, now_s=at_s, prefill_s=prefill_s)
    left_s = {}
    for server in ("e1", "e2"):
        table.assign(an_assignment(f"last-{server}", server=server), now_s=50.0)
        left_s[server] = table.of_server(server).prefill_left_s(50.0)
    assert left_s["e1"] / left_s["e2"] == pytest.approx(1 / 0.46, rel=0.15)


def test_late_reports_of_a_frozen_entry_vm_do_not_change_the_pace() -> None:
    """Failure: reports delayed by a frozen VM. What it measured counts."""
    table = WorkTable()
    for number in range(10):
        request = an_assignment_request(f"q{number}")
        run_once(table, request, now_s=number * 10.0, report_delay_s=3.0)
    pace = table.of_server("e1").pace
    assert pace.prefill_s(3000, now_s=100.0, model="m0") == pytest.approx(
        PREFILL_S, rel=0.05
    )


def test_a_stated_slowdown_lengthens_the_queue_for_its_time() -> None:
    """Load: a server slowed for 0.6 s. Its queue is longer now, and not later."""
    table = WorkTable()
    table.assign(an_assignment("q1"), now_s=0.0)
    table.apply(a_stated_slowdown(2.5), now_s=0.0)
    work = table.of_server("e1")
    assert work.prefill_left_s(0.0) == pytest.approx(2.5 * PREFILL_S, abs=0.005)
    table.apply(a_begin(began_after_s=0.25), now_s=0.26)

    table.assign(an_assignment("q2"), now_s=SLOWDOWN_LASTS_S + 0.1)

    left_s = work.prefill_left_s(SLOWDOWN_LASTS_S + 0.1)
    assert left_s == pytest.approx(PREFILL_S, abs=0.005)


def learned_table(*, events: int = 30, event_gap_s: float = 0.02) -> WorkTable:
    table = WorkTable()
    for number in range(60):
        request = an_assignment_request(f"learned-{number}")
        run_once(
            table,
            request,
            now_s=number * 2.0 - 200.0,
            events=events,
            event_gap_s=event_gap_s,
        )
    return table


def test_work_left_shrinks_with_the_events_that_were_sent() -> None:
    """Load: alike prompts. What runs longest is done first."""
    table = learned_table()
    table.assign(an_assignment("q1"), now_s=0.0)
    table.apply(a_begin("q1", began_after_s=0.1), now_s=0.11)
    work = table.of_server("e1")
    assert work.work_left_s(0.11) == pytest.approx(0.6, rel=0.25)
    later = RunReport(request_id="q1", server="e1", began_after_s=0.1, events=20)
    table.apply(later, now_s=0.5)
    assert work.work_left_s(0.5) == pytest.approx(0.2, rel=0.4)
    table.apply(an_end("q1", events=30), now_s=0.7)
    assert work.work_left_s(0.7) == 0.0


def test_a_place_is_free_when_the_first_run_ends() -> None:
    """Load: a server with all places taken. The wait is that for its first end."""
    table = learned_table()
    for number in range(3):
        request_id, at_s = f"q{number}", number * 0.2
        table.assign(an_assignment(request_id), now_s=at_s)
        table.apply(a_begin(request_id, began_after_s=0.1), now_s=at_s + 0.105)
    work = table.of_server("e1")
    now_s = 0.51
    assert work.next_free_s(now_s, slots=4) == 0.0
    ends_s = sorted(work.runs_left_s(now_s))
    assert work.next_free_s(now_s, slots=3) == ends_s[0]
    assert work.next_free_s(now_s, slots=2) == ends_s[1]
    assert 0 < ends_s[0] < ends_s[2]


def test_a_busy_prefill_queue_is_not_free() -> None:
    """Load: a long prompt among short ones. A free place alone doesn't help."""
    table = WorkTable()
    table.assign(an_assignment(unread_tokens=15_000), now_s=0.0)
    assert table.of_server("e1").next_free_s(0.0, slots=6) == pytest.approx(
        0.5, abs=0.01
    )


def test_memory_counts_prompts_and_predicted_outputs() -> None:
    """Load: long prompts with long outputs that don't fit the memory together."""
    table = learned_table()
    for number in range(3):
        table.assign(an_assignment(f"q{number}", unread_tokens=0), now_s=0.0)
    work = table.of_server("e1")
    assert work.kv_tokens == pytest.approx(3 * 3030, abs=60)
    assert work.free_kv_tokens(10_000) == 10_000 - work.kv_tokens
    assert work.free_kv_tokens(5_000) == 0


def test_a_failed_run_teaches_no_cost() -> None:
    """Failure: runs that failed after one event. Others aren't taken for short."""
    table = learned_table(events=30)
    for number in range(30):
        table.assign(an_assignment(f"q{number}"), now_s=float(number))
        failed = an_end(f"q{number}", outcome=RunOutcome.FAILED, events=1)
        table.apply(failed, now_s=number + 0.5)
    cost = table.costs.predict(an_assignment_request())
    assert cost.events.median == pytest.approx(30, rel=0.15)


def test_a_plain_service_is_free_when_its_first_run_has_ended() -> None:
    """Load: a plain service with six places, all taken by work of 0.2 s."""
    table = WorkTable()
    for number in range(50):
        request = an_assignment_request(f"learned-{number}", model="")
        table.assign(an_assignment(request=request), now_s=-20.0)
        table.apply(an_end(f"learned-{number}", ran_s=0.2, events=None), now_s=-19.0)
    for number in range(6):
        request = an_assignment_request(f"q{number}", model="")
        table.assign(an_assignment(request=request), now_s=number * 0.02)
    work = table.of_server("e1")
    assert work.next_free_s(0.1, slots=6) == pytest.approx(0.1, rel=0.35)
    assert work.free_slots(6) == 0


def test_no_report_is_lost_on_a_server_without_work() -> None:
    """Failure: a report for a server that the scheduler doesn't know."""
    table = WorkTable()
    table.apply(a_begin(server="unknown"), now_s=1.0)
    assert "unknown" not in table.servers
    assert ServerWork().prefill_left_s(1.0) == 0.0


def test_the_count_of_runs_heals_after_lost_reports_and_a_killed_entry_vm() -> None:
    """Failure: a fifth of the reports lost, and an entry VM killed at 5 s."""
    rng = random.Random(2)
    table = WorkTable()
    at_s = 0.0
    for number in range(400):
        at_s = number * 0.025
        vm = f"vm-{number % 4}"
        if vm == "vm-1" and at_s > 5.0:
            continue
        server = f"e{rng.randrange(3)}"
        request = an_assignment_request(
            f"q{number}", entry_vm=vm, arrived_s=at_s, deadline_s=at_s + 60.0
        )
        table.assign(an_assignment(request=request, server=server), now_s=at_s)
        killed = vm == "vm-1" and at_s > 4.5
        for report in (
            a_begin(request.request_id, server=server),
            an_end(request.request_id, server=server),
        ):
            if not killed and rng.random() > 0.2:
                table.apply(report, now_s=at_s + 0.02)
    for vm in ("vm-0", "vm-2", "vm-3"):
        table.heard_from(vm, now_s=at_s)
    begun = sum(work.streams for work in table.servers.values())

    table.drop_expired(now_s=at_s + UNREPORTED_S + 0.5)

    # Only runs whose end alone was lost are left, as long as they may take.
    left = [run for work in table.servers.values() for run in work.runs.values()]
    assert all(run.reported for run in left)
    assert len(left) <= begun < 80
    for vm in ("vm-0", "vm-2", "vm-3"):
        table.heard_from(vm, now_s=at_s + 5.0)
    table.drop_expired(now_s=at_s + 5.0)
    assert not any(work.runs for work in table.servers.values())
    table.drop_expired(now_s=at_s + 62.0)
    assert not any(work.unreported for work in table.servers.values())


def test_a_run_whose_end_was_not_reported_holds_its_place_for_a_short_time() -> None:
    """Failure: reports lost. The deadline of the run is a minute away."""
    table = learned_table(events=30, event_gap_s=0.02)
    table.assign(an_assignment("q1"), now_s=0.0)
    table.apply(a_begin("q1", began_after_s=0.1), now_s=0.11)
    work = table.of_server("e1")
    for now_s, places_taken in ((2.0, 1), (4.0, 0)):
        table.heard_from("vm-1", now_s=now_s)
        table.drop_expired(now_s=now_s)
        assert len(work.runs) == places_taken


def test_a_long_run_whose_entry_vm_reports_it_stays() -> None:
    """Load: a long answer among short ones, whose events are reported."""
    table = learned_table(events=30, event_gap_s=0.02)
    table.assign(an_assignment("q1"), now_s=0.0)
    for number in range(20):
        report = RunReport(
            request_id="q1", server="e1", began_after_s=0.1, events=1 + 50 * number
        )
        table.apply(report, now_s=0.2 + number)
        table.drop_expired(now_s=0.9 + number)
        assert table.of_server("e1").streams == 1


def test_an_order_sent_to_a_plain_service_holds_its_place_for_a_short_time() -> None:
    """Failure: reports lost. Six places of a small service are not lost with them."""
    table = WorkTable()
    for number in range(50):
        request = an_assignment_request(f"learned-{number}", model="")
        table.assign(an_assignment(request=request), now_s=-20.0)
        table.apply(an_end(f"learned-{number}", ran_s=0.2, events=None), now_s=-19.0)
    request = an_assignment_request("q1", model="")
    table.assign(an_assignment(request=request), now_s=0.0)
    work = table.of_server("e1")
    for now_s, places_taken in ((1.5, 1), (2.5, 0)):
        table.heard_from("vm-1", now_s=now_s)
        table.drop_expired(now_s=now_s)
        assert len(work.runs) == places_taken
