"""From a request's id to what it met, by the logs of several VMs."""

import json
from pathlib import Path
from typing import Any

import pytest

from rosepath.cli_logs import explain
from rosepath.explain import configurations_of, course_of, read_lines


def line(at: int, vm: str, event: str, **details: Any) -> str:
    raw = {"timestamp": f"T{at:02}", "entry_vm": vm, "event": event, **details}
    return f"  {at}.1 {vm} {json.dumps(raw)}\n"


def test_a_course_shows_tries_and_the_beliefs_they_rest_on() -> None:
    lines = [
        line(5, "vm-1", "try_failed", request_id="q1", peer="e1", why="refused"),
        line(6, "vm-1", "request_refused", request_id="q1", peer="e1"),
        line(1, "vm-1", "configuration_in_force", version=3),
        line(2, "vm-1", "configuration_in_force", version=5),
        line(3, "vm-2", "order", peer="e1", model="m0", outcome="accepted"),
        line(4, "vm-2", "configuration_in_force", version=4),
        line(9, "vm-1", "store_lost"),
        line(4, "vm-1", "try_failed", request_id="q2", peer="e2"),
        "Traceback of something\n",
        '{"not": "ours"}\n',
        "{broken\n",
    ]
    shown = [
        (entry.event, entry.details.get("version"))
        for entry in course_of("q1", read_lines(lines))
    ]
    assert shown == [
        ("configuration_in_force", 5),
        ("order", None),
        ("try_failed", None),
        ("request_refused", None),
    ]


def test_a_quarantined_retry_is_shown_with_the_crashes_of_its_repeats() -> None:
    lines = [
        line(1, "vm-1", "crash_reported", request_id="q1", content="c", peer="e1"),
        line(2, "vm-2", "crash_reported", request_id="q2", content="c", peer="e2"),
        line(2, "vm-2", "crash_reported", request_id="q3", content="d", peer="e2"),
        line(4, "vm-3", "request_quarantined", request_id="q4", content="c"),
    ]
    course = course_of("q4", read_lines(lines))
    assert [entry.request_id for entry in course] == ["q1", "q2", "q4"]


def test_an_id_that_no_log_knows_has_no_course() -> None:
    assert course_of("q9", read_lines([line(1, "vm-1", "started")])) == []


def refused(at: int, vm: str, version: int, **details: Any) -> str:
    return line(
        at, vm, "request_unrouted", request_id="q1", configuration=version, **details
    )


def test_a_request_that_met_an_old_configuration_is_told_so() -> None:
    # A 404 by a version that 79 other VMs had replaced looked like any other 404.
    lines = [
        line(1, "vm-1", "configuration_in_force", version=4),
        line(2, "vm-2", "configuration_in_force", version=5),
        line(3, "vm-2", "configuration_in_force", version=6),
        line(3, "vm-3", "configuration_in_force", version=4),
        refused(4, "vm-1", 4, configuration_age_s=1.25, configuration_behind=True),
        line(5, "vm-4", "configuration_in_force", version=6),
    ]
    assert configurations_of("q1", read_lines(lines)) == [
        "vm-1: configuration version 4, known to be current 1.25 s before, a newer"
        " one was known to exist, a newer one was in force elsewhere (VMs: 1,"
        " first: vm-2 at T02)"
    ]


def test_a_vm_that_knew_no_configuration_is_not_told_to_have_had_one() -> None:
    lines = [refused(4, "vm-1", 0, configuration_age_s=1e6, configuration_behind=False)]
    assert configurations_of("q1", read_lines(lines)) == [
        "vm-1: configuration none, never known to be current, no newer one was known"
    ]


def test_lines_without_a_configuration_tell_of_none() -> None:
    # Logs of older releases have no such fields.
    lines = [line(4, "vm-1", "request_refused", request_id="q1")]
    assert configurations_of("q1", read_lines(lines)) == []


def test_a_lost_configuration_is_not_hidden_by_later_losses_of_other_kinds() -> None:
    # The store is lost to each kind apart; the last line of any kind stood for all.
    lines = [
        line(1, "vm-1", "store_lost", kind="config"),
        line(2, "vm-1", "store_lost", kind="servers"),
        line(2, "vm-1", "store_call_failed", kind="config"),
        line(3, "vm-1", "watch_doubted", kind="config"),
        line(4, "vm-1", "request_refused", request_id="q1"),
    ]
    course = course_of("q1", read_lines(lines))
    assert [(entry.event, entry.details.get("kind")) for entry in course] == [
        ("store_lost", "config"),
        ("store_lost", "servers"),
        ("store_call_failed", "config"),
        ("watch_doubted", "config"),
        ("request_refused", None),
    ]


def test_the_command_ends_with_the_configuration(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # The fields stand in one of many lines, where they are easily overlooked.
    log = tmp_path / "vm-1.jsonl"
    log.write_text(
        refused(4, "vm-1", 3, configuration_age_s=0.5, configuration_behind=False)
    )
    assert explain("q1", log) == 0
    shown = capsys.readouterr().out.splitlines()
    assert shown[-1].startswith("vm-1: configuration version 3, known to be current")
