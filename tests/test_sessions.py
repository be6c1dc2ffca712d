"""Golden-file tests of sessions: requests, responses, log events, spans."""

import json
import os
import re
from pathlib import Path
from typing import Any

import pytest
from conftest import KEY, Deployment

GOLDEN = Path(__file__).parent / "golden"
AUTHORIZED = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
LOGGED = frozenset({"refused", "attempt_failed"})

SESSIONS: dict[str, list[tuple[str, str, str, dict[str, str]]]] = {
    "completion": [
        (
            "POST",
            "/v1/completions",
            '{"model": "court-rules", "prompt": "p", "max_tokens": 2}',
            AUTHORIZED,
        ),
        (
            "POST",
            "/v1/completions",
            '{"model": "court-rules", "prompt": "p", "max_tokens": 2, "stream": true}',
            AUTHORIZED,
        ),
    ],
    "refusals": [
        ("GET", "/v1/models", "", {}),
        ("POST", "/v1/completions", "{", AUTHORIZED),
        ("POST", "/v1/completions", '{"model": "x", "prompt": "p"}', AUTHORIZED),
        ("POST", "/services/none/a", "", AUTHORIZED),
    ],
    "broken_stream": [
        ("FAULT", "cut_stream", "2", {}),
        (
            "POST",
            "/v1/completions",
            '{"model": "claim-drafts", "prompt": "p", "max_tokens": 4, "stream": true}',
            AUTHORIZED,
        ),
    ],
    "filing": [
        (
            "POST",
            "/services/greffe-api/claims",
            "claim",
            {**AUTHORIZED, "Idempotency-Key": "k1"},
        ),
        (
            "POST",
            "/services/greffe-api/claims",
            "claim",
            {**AUTHORIZED, "Idempotency-Key": "k1"},
        ),
        (
            "POST",
            "/services/greffe-api/claims",
            "another claim",
            {**AUTHORIZED, "Idempotency-Key": "k1"},
        ),
    ],
}


def normalised(text: str) -> str:
    """Replace values that differ from run to run."""
    text = re.sub(r"[0-9a-f]{32}", "ID", text)
    text = re.sub(r'"created": \d+', '"created": TIME', text)
    text = re.sub(r"engine-\d|greffe-\d", "SERVER", text)
    return re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", text)


async def play(deployment: Deployment, name: str) -> list[dict[str, Any]]:
    """Run a session; return its requests and responses."""
    steps = []
    for method, path, body, headers in SESSIONS[name]:
        if method == "FAULT":
            for engine in deployment.engines.values():
                await deployment.fault(engine, path, value=float(body))
            continue
        head, response_body = await deployment.request(
            deployment.daemons["entry-1"].callers,
            method,
            path,
            body=body.encode(),
            headers=headers,
        )
        kept = ("Content-Type", "Rosepath-Run", "Rosepath-Replayed", "Retry-After")
        steps.append(
            {
                "request": f"{method} {path} {body}",
                "status": head.status,
                "headers": {k: head.headers[k] for k in kept if k in head.headers},
                "answer": normalised(response_body.decode()).split("\n"),
            }
        )
    return steps


def log_events(deployment: Deployment, after: int) -> list[str]:
    lines = (deployment.folder / "entry-1.log").read_text().splitlines()[after:]
    events = [json.loads(line) for line in lines if line.startswith("{")]
    keys = ("event", "code", "run", "step", "evidence", "verdict")
    return [
        " ".join(f"{key}={event[key]}" for key in keys if key in event)
        for event in events
        if event["event"] in LOGGED
    ]


async def settled_spans(
    deployment: Deployment, after: int, steps: list[dict[str, Any]]
) -> list[str]:
    """Return the span names once every traced request has its span.

    A request's span ends after its response is sent, so it is written later.
    """
    wanted = sum(step["status"] in (200, 409, 422) for step in steps)

    def names() -> list[str]:
        lines = (deployment.folder / "trace-entry-1.jsonl").read_text().splitlines()
        return sorted(json.loads(line)["name"] for line in lines[after:])

    def complete() -> bool:
        return sum(name.startswith("caller.") for name in names()) >= wanted

    await deployment.until(complete)
    return names()


def line_count(file: Path) -> int:
    return len(file.read_text().splitlines())


@pytest.mark.parametrize("name", SESSIONS)
def test_a_session_matches_its_golden_file(deployment: Deployment, name: str) -> None:
    # Run with UPDATE_GOLDEN=1 to rewrite the files, then review the diff.
    logged = line_count(deployment.folder / "entry-1.log")
    traced = line_count(deployment.folder / "trace-entry-1.jsonl")
    steps = deployment.background.run(play(deployment, name))
    spans = deployment.background.run(settled_spans(deployment, traced, steps))
    session = {
        "steps": steps,
        "log": log_events(deployment, logged),
        "spans": spans,
    }
    file = GOLDEN / f"{name}.json"
    text = json.dumps(session, indent=2) + "\n"
    if os.environ.get("UPDATE_GOLDEN"):
        GOLDEN.mkdir(exist_ok=True)
        file.write_text(text)
    assert text == file.read_text()
