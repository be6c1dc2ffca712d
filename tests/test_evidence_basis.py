"""Log lines that tell on which response an attempt's evidence rests."""

import asyncio
from typing import Any

from entry_builders import a_route
from entry_harness import (
    ReceivedRequest,
    ScriptedServer,
    answer,
    running_gateway,
)
from structlog.testing import capture_logs

from rosepath.catalog import RouteKind

FILE = "POST /drafts/1 HTTP/1.1\r\nRequest-Id: q1"


def logs_of(
    server: ScriptedServer, *more: ScriptedServer, wait_ms: int = 5000
) -> list[dict[str, Any]]:
    """Send a non-idempotent request to the servers and return the log lines."""

    async def run() -> None:
        route = a_route(kind=RouteKind.NON_IDEMPOTENT, service="desk")
        async with running_gateway(server, *more, route=route) as node:
            head = f"{FILE}\r\nRequest-Deadline-Ms: {wait_ms}"
            await node.send_request(head, b"claim")

    with capture_logs() as logs:
        asyncio.run(run())
    return [dict(line) for line in logs]


async def rejects(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(received, 503, b"", "Not-Executed: 1\r\n"))


async def answers_after_another_response(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    other = ReceivedRequest(received.line, {"request-id": "other"}, b"")
    writer.write(answer(other, 503, b"") + answer(received, 200, b"whole"))


# Guards against evidence that can't be traced to the response it rests on.
def test_the_log_of_a_failed_attempt_names_the_response() -> None:
    lines = logs_of(ScriptedServer("s1", rejects))
    failed = next(line for line in lines if line["event"] == "try_failed")
    assert failed["evidence"] == "refused"
    assert failed["response_status"] == 503
    assert failed["response_after_s"] >= 0.0
    assert failed["earlier_exchanges"] == 0
    assert failed["skipped_responses"] == 0


# Guards against responses to other requests being dropped without a trace.
def test_the_log_names_each_skipped_response() -> None:
    lines = logs_of(ScriptedServer("s1", answers_after_another_response))
    skipped = next(line for line in lines if line["event"] == "response_skipped")
    assert skipped["request_id"] == "q1"
    assert (skipped["status"], skipped["named"]) == (503, "other")


# Guards against retries that only the servers know of.
def test_the_log_names_each_retry_and_the_size_of_the_fleet() -> None:
    servers = ScriptedServer("s1", rejects), ScriptedServer("s2", rejects)
    sent = [line for line in logs_of(*servers) if line["event"] == "retry_sent"]
    assert [line["service"] for line in sent] == ["desk"]
    assert sent[0]["fleet_size"] == 1


async def begins_and_stops(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    head = answer(received, 200, b"").partition(b"Content-Length")[0]
    writer.write(head + b"Content-Length: 9\r\n\r\n")


# Guards against charging crashes to a run as if it had waited, although its
# response had begun when its deadline ended it.
def test_the_log_tells_that_a_response_had_begun_before_the_deadline() -> None:
    lines = logs_of(ScriptedServer("s1", begins_and_stops), wait_ms=300)
    failed = next(line for line in lines if line["event"] == "try_failed")
    assert (failed["timed_out"], failed["answered"]) == (True, True)
