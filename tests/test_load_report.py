"""The report on late and failed requests, built from logs."""

import json
from pathlib import Path
from typing import Any

import pytest

from rosepath.cli_logs import report
from rosepath.explain import parse_log_lines
from rosepath.load_report import Cause, LoadReport, cause_of, cause_rows


def ended(**details: Any) -> dict[str, Any]:
    return {
        "event": "request_ended",
        "status": 200,
        "target_s": 0.3,
        "waited_s": 0.0,
        "first_s": 0.1,
        "took_s": 1.0,
        "gap_s": 0.15,
        "longest_pause_s": 0.05,
        "route": "drafts",
        "target": "m0/a1",
        "peer": "e1",
        **details,
    }


@pytest.mark.parametrize(
    ("details", "cause"),
    [
        ({}, Cause.IN_TIME),
        ({"first_s": 0.9, "waited_s": 0.7}, Cause.WAITED_FOR_MODEL),
        ({"first_s": 0.9, "waited_s": 0.01}, Cause.QUEUED),
        ({"longest_pause_s": 0.2}, Cause.PAUSED),
        ({"longest_pause_s": 0.2, "gap_s": 0.0}, Cause.IN_TIME),
        ({"first_s": None, "took_s": 0.9}, Cause.SLOW),
        ({"first_s": None, "took_s": 0.1}, Cause.IN_TIME),
        ({"status": 503, "first_s": None}, Cause.REFUSED),
        ({"status": 504, "first_s": None}, Cause.FAILED),
        ({"status": 503, "code": "crashes_servers"}, Cause.QUARANTINED),
    ],
)
def test_each_request_has_one_cause(details: dict[str, Any], cause: Cause) -> None:
    assert cause_of(ended(**details)) is cause


def lines() -> list[str]:
    raw = [
        {"timestamp": "2026-03-25T09:00:00Z", **ended()},
        {"timestamp": "2026-03-25T09:00:01Z", **ended(peer="e2", target="m1")},
        {"timestamp": "2026-03-25T09:00:03Z", **ended(status=503, target="m1")},
        {"timestamp": "2026-03-25T09:00:03Z", "event": "swap_planned"},
        {"timestamp": "2026-03-25T09:00:04Z", "event": "try_failed"},
        {"timestamp": "no time", **ended()},
    ]
    return [json.dumps(line) for line in raw]


def test_requests_are_counted_by_window_model_and_server() -> None:
    counted = LoadReport.from_lines(parse_log_lines(lines()), window_s=2.0)
    assert counted.causes == {Cause.IN_TIME: 2, Cause.REFUSED: 1}
    assert counted.worst_models()[0][0] == "m1"
    assert counted.peak_to_mean == pytest.approx(4 / 3)
    assert [window.swaps for window in counted.windows.values()] == [0, 1, 0]
    assert cause_rows({"all": counted.causes})[0][:3] == ["all", "3", "2"]


def test_the_command_prints_tables_and_writes_the_plot(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log, plot = tmp_path / "vm-1.jsonl", tmp_path / "plot.svg"
    log.write_text("\n".join(lines()))
    assert report(log, plot=plot) == 0
    assert "refused unrun" in capsys.readouterr().out
    assert plot.read_text().lstrip().startswith("<?xml")
    log.write_text("")
    assert report(log) != 0
