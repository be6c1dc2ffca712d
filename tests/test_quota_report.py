"""The report on the use of quotas, and the log lines that it is built from."""

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from entry_builders import a_quota, a_route, a_workspace
from entry_harness import ReceivedRequest, ScriptedServer, answer, running_gateway
from structlog.testing import capture_logs

from rosepath.catalog import RouteKind
from rosepath.cli_logs import quotas
from rosepath.clock import SystemClock
from rosepath.entry_metrics import EntryMetrics
from rosepath.quota_pool import QuotaDecision
from rosepath.request_records import (
    MAX_WORKSPACE_LABELS,
    OTHER_WORKSPACES,
    RequestRecorder,
)

KEY = "k-1"
HEAD = f"POST /drafts/1 HTTP/1.1\r\nRequest-Id: q1\r\nApi-Key: {KEY}"


class ScriptedQuotas:
    """Grant or refuse every request, and record what is given back."""

    def __init__(self, *, granted: bool) -> None:
        self.granted = granted
        self.asked: list[tuple[str, float]] = []
        self.given_back = 0

    async def admit(self, workspace: str, cost: float) -> QuotaDecision:
        self.asked.append((workspace, cost))
        return QuotaDecision(granted=self.granted, retry_after_s=1.25, left=-10.0)

    def give_back(self, decision: QuotaDecision) -> None:
        self.given_back += 1


def send(scripted: ScriptedQuotas, *, status: int = 200, head: str = HEAD) -> bytes:
    """Send a request to a server that answers with a status."""

    async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        extra = "" if status == 200 else "Not-Executed: 1\r\n"
        signed = "Response-Signature: s\r\n" if status == 200 else extra
        writer.write(answer(received, status, b"x", signed))

    async def run() -> bytes:
        server = ScriptedServer("i-1", respond)
        recorder = RequestRecorder(EntryMetrics(), clock=SystemClock())
        async with running_gateway(
            server,
            route=a_route(kind=RouteKind.NON_IDEMPOTENT, service="desk", timeout_s=1.0),
            workspaces={KEY: a_workspace("court", quota=a_quota())},
            on_outcome=recorder.record,
            quotas=scripted,
        ) as running:
            return await running.send_request(head)

    return asyncio.run(run())


def test_a_request_over_the_quota_gets_429_and_when_to_retry() -> None:
    scripted = ScriptedQuotas(granted=False)
    response = send(scripted)
    assert b" 429 " in response and b"Retry-After: 1.25" in response
    assert b"quota_exceeded" in response and scripted.given_back == 0


@pytest.mark.parametrize(
    ("header", "cost"),
    [
        ("Token-Usage: 1000,200", 1200),
        ("Token-Usage: 0,0", 0),
        ("X: y", 200),
        ("Token-Usage: many", 200),
        ("Token-Usage: -5,7", 200),
    ],
)
def test_a_request_costs_its_tokens(header: str, cost: float) -> None:
    scripted = ScriptedQuotas(granted=True)
    assert b" 200 " in send(scripted, head=f"{HEAD}\r\n{header}")
    assert scripted.asked == [("court", cost)] and scripted.given_back == 0


def test_the_quota_of_a_request_that_did_not_run_is_given_back() -> None:
    scripted = ScriptedQuotas(granted=True)
    assert b" 503 " in send(scripted, status=503)
    assert scripted.given_back == 1


def test_the_report_shows_use_and_refusals_of_workspaces(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with capture_logs() as logs:
        send(ScriptedQuotas(granted=True))
        send(ScriptedQuotas(granted=False))
    lines: list[dict[str, Any]] = [*logs]
    lines.append(
        {
            "event": "quota_usage",
            "share": 1.0,
            "lenders": 2,
            "workspaces": {"court": [800, 1000]},
        }
    )
    file = tmp_path / "vm-1.jsonl"
    file.write_text(
        "\n".join(
            json.dumps(
                {**line, "entry_vm": "vm-1", "timestamp": "2026-01-01T00:00:00Z"}
            )
            for line in lines
        )
    )
    assert quotas(file, by_vm=True) == 0
    printed = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert ["court", "1000", "0.80", "1", "200", "1", "200"] in printed
    assert ["court", "vm-1", "1", "200", "1", "200"] in printed


def test_the_number_of_labelled_workspaces_is_bounded() -> None:
    recorder = RequestRecorder(EntryMetrics(), clock=SystemClock())
    labels = [recorder._workspace_label(f"w-{number}") for number in range(1000)]
    assert len(set(labels)) == MAX_WORKSPACE_LABELS + 1
    assert labels[-1] == OTHER_WORKSPACES and labels[0] == "w-0"
