"""Timeline and configuration of a request from the logs of several VMs."""

import json
from pathlib import Path
from typing import Any

import pytest

from rosepath.cli_logs import explain
from rosepath.explain import describe_configurations, parse_log_lines, request_timeline


def line(at: int, vm: str, event: str, **details: Any) -> str:
    raw = {"timestamp": f"T{at:02}", "entry_vm": vm, "event": event, **details}
    return f"  {at}.1 {vm} {json.dumps(raw)}\n"


def test_a_timeline_shows_attempts_and_the_state_they_were_made_in() -> None:
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
        for entry in request_timeline("q1", parse_log_lines(lines))
    ]
    assert shown == [
        ("configuration_in_force", 5),
        ("order", None),
        ("try_failed", None),
        ("request_refused", None),
    ]


def test_a_quarantined_retry_is_shown_with_crashes_of_the_same_content() -> None:
    lines = [
        line(1, "vm-1", "crash_reported", request_id="q1", content="c", peer="e1"),
        line(2, "vm-2", "crash_reported", request_id="q2", content="c", peer="e2"),
        line(2, "vm-2", "crash_reported", request_id="q3", content="d", peer="e2"),
        line(4, "vm-3", "request_quarantined", request_id="q4", content="c"),
    ]
    timeline = request_timeline("q4", parse_log_lines(lines))
    assert [entry.request_id for entry in timeline] == ["q1", "q2", "q4"]


def test_an_unknown_request_id_has_an_empty_timeline() -> None:
    assert request_timeline("q9", parse_log_lines([line(1, "vm-1", "started")])) == []


def refused(at: int, vm: str, version: int, **details: Any) -> str:
    return line(
        at, vm, "request_unrouted", request_id="q1", configuration=version, **details
    )


def test_an_outdated_configuration_is_described() -> None:
    # A 404 from a VM whose configuration 79 other VMs had already replaced
    # must be distinguishable from any other 404.
    lines = [
        line(1, "vm-1", "configuration_in_force", version=4),
        line(2, "vm-2", "configuration_in_force", version=5),
        line(3, "vm-2", "configuration_in_force", version=6),
        line(3, "vm-3", "configuration_in_force", version=4),
        refused(4, "vm-1", 4, configuration_age_s=1.25, configuration_behind=True),
        line(5, "vm-4", "configuration_in_force", version=6),
    ]
    assert describe_configurations("q1", parse_log_lines(lines)) == [
        "vm-1: configuration version 4, known to be current 1.25 s before, a newer"
        " one was known to exist, a newer one was in force elsewhere (VMs: 1,"
        " first: vm-2 at T02)"
    ]


def test_a_missing_configuration_is_described_as_none() -> None:
    lines = [refused(4, "vm-1", 0, configuration_age_s=1e6, configuration_behind=False)]
    assert describe_configurations("q1", parse_log_lines(lines)) == [
        "vm-1: configuration none, never known to be current, no newer one was known"
    ]


def test_lines_without_a_configuration_are_not_described() -> None:
    # Logs of older releases do not have these fields.
    lines = [line(4, "vm-1", "request_refused", request_id="q1")]
    assert describe_configurations("q1", parse_log_lines(lines)) == []


def test_store_failures_of_different_kinds_are_all_shown() -> None:
    # The store fails separately for each kind of objects. A later failure of
    # another kind must not replace the line of the configuration.
    lines = [
        line(1, "vm-1", "store_lost", kind="config"),
        line(2, "vm-1", "store_lost", kind="servers"),
        line(2, "vm-1", "store_call_failed", kind="config"),
        line(3, "vm-1", "watch_doubted", kind="config"),
        line(4, "vm-1", "request_refused", request_id="q1"),
    ]
    timeline = request_timeline("q1", parse_log_lines(lines))
    assert [(entry.event, entry.details.get("kind")) for entry in timeline] == [
        ("store_lost", "config"),
        ("store_lost", "servers"),
        ("store_call_failed", "config"),
        ("watch_doubted", "config"),
        ("request_refused", None),
    ]


def test_the_command_prints_the_configuration_last(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Within the many lines of the timeline, these fields are easily
    # overlooked.
    log = tmp_path / "vm-1.jsonl"
    log.write_text(
        refused(4, "vm-1", 3, configuration_age_s=0.5, configuration_behind=False)
    )
    assert explain("q1", log) == 0
    shown = capsys.readouterr().out.splitlines()
    assert shown[-1].startswith("vm-1: configuration version 3, known to be current")


def test_a_resumed_stream_is_shown_with_the_request_that_began_it() -> None:
    lines = [
        line(1, "vm-1", "try_failed", request_id="q1", peer="e1"),
        line(2, "vm-2", "request_ended", request_id="q2", peer="e2", resumes="q1"),
        line(2, "vm-2", "request_ended", request_id="q3", peer="e2"),
    ]
    timeline = request_timeline("q2", parse_log_lines(lines))
    assert [entry.request_id for entry in timeline] == ["q1", "q2"]
