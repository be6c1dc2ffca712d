"""Messages about the scheduling of requests survive their encoding."""

import json

import pytest
from entry_builders import a_prompt

from rosepath.assignment import RunOutcome, RunReport
from rosepath.peer_messages import COMPRESSION_THRESHOLD_BYTES, decode, encode
from rosepath.response_metadata import ServerLoad
from rosepath.scheduler_client import MAX_LISTED_RUNS, MAX_PER_DATAGRAM
from rosepath.scheduling_messages import (
    AssignmentQuery,
    AssignmentReply,
    AssignmentStatus,
    RunInProgress,
    RunListRequest,
    RunReports,
    SchedulingMessage,
    Withdrawal,
)

MAX_DATAGRAM_BYTES = 8_000

QUERY = AssignmentQuery(
    request_id="vm-1.0a.7",
    entry_vm="vm-1",
    reply_to="10.0.0.1:7",
    data_centre="a",
    service="llm",
    age_s=0.012,
    due_in_s=0.388,
    wait_s=1.7,
    left_s=5.98,
    gap_s=0.3,
    priority=1,
    workspace="court",
    prompt=a_prompt(adapter="a1"),
    tried=frozenset(("e1", "e2")),
)
RUN = RunInProgress(
    request_id="vm-1.0a.7",
    server="e1",
    service="llm",
    begun=False,
    left_s=3.5,
    unread_tokens=900,
    target="m0/a1",
    gap_s=0.3,
    priority=1,
    workspace="court",
)
REPORT = RunReport(
    request_id="vm-1.0a.7",
    server="e1",
    began_after_s=0.21,
    outcome=RunOutcome.COMPLETED,
    event_gap_s=0.031,
    longest_gap_s=0.24,
    load=ServerLoad(3, 1, 6, 2.5),
    load_age_s=0.4,
)
MESSAGES: list[SchedulingMessage] = [
    QUERY,
    AssignmentReply(
        request_id="vm-1.0a.7",
        scheduler="vm-2",
        status=AssignmentStatus.ASSIGNED,
        server="e1",
        unread_tokens=900,
        first_event_s=0.12,
    ),
    AssignmentReply(
        request_id="vm-1.0a.7",
        scheduler="vm-2",
        status=AssignmentStatus.REJECTED,
        code="no_server",
        retry_after_s=0.5,
    ),
    RunReports(entry_vm="vm-1", runs=(RUN,), reports=(REPORT,), complete=True),
    RunReports(entry_vm="vm-1", reports=(RunReport(request_id="q", server="e1"),)),
    RunListRequest(scheduler="vm-2", reply_to="10.0.0.2:7"),
    Withdrawal(request_id="vm-1.0a.7", entry_vm="vm-1"),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda found: type(found).__name__)
def test_a_message_is_read_as_it_was_written(message: SchedulingMessage) -> None:
    """A field that is lost on the way would change what is assigned."""
    assert decode(encode(message)) == message


@pytest.mark.parametrize("message", MESSAGES, ids=lambda found: type(found).__name__)
def test_unknown_fields_are_skipped(message: SchedulingMessage) -> None:
    """VMs of a later version send fields that this one does not know."""
    data = encode(message)
    if data[:1] == b"{":
        raw = {**json.loads(data), "new": 1}
        assert decode(json.dumps(raw).encode()) == message


def test_a_load_with_further_figures_is_read() -> None:
    """A server of a later version states more of its load."""
    raw = json.loads(encode(RunReports(entry_vm="vm-1", reports=(REPORT,))))
    raw["reports"][0]["l"].append(7)
    decoded = decode(json.dumps(raw).encode())
    assert isinstance(decoded, RunReports) and decoded.reports == (REPORT,)


@pytest.mark.parametrize(
    "data",
    [
        b'{"t":"sched-query","id":"1"}',
        b'{"t":"sched-reply","id":"1","vm":"v","st":"odd","s":"","u":0,"f":0,"c":"","r":0}',
        b'{"t":"sched-runs","vm":"v","runs":[["1"]],"reports":[],"all":0}',
        b'{"t":"sched-runs","vm":"v","runs":[],"reports":[{"id":"1"}],"all":0}',
        b'{"t":"sched-runs","vm":"v","runs":3,"reports":[],"all":0}',
        b'{"t":"sched-unknown"}',
    ],
)
def test_an_unreadable_message_is_dropped(data: bytes) -> None:
    """A damaged datagram must not end the loop that reads the socket."""
    assert decode(data) is None


def test_full_messages_fit_a_datagram() -> None:
    """A busy VM's reports and lists of runs are sent in one datagram each."""
    runs = tuple(
        RunInProgress(
            request_id=f"vm-{number}.0a1b2c3d.{number}",
            server=f"i-{number * 7919:010x}",
            service="llm",
            begun=number % 2 == 0,
            left_s=number / 7,
            unread_tokens=number * 91,
            target=f"m{number % 9}",
        )
        for number in range(MAX_LISTED_RUNS)
    )
    listed = encode(RunReports(entry_vm="vm-1", runs=runs, complete=True))
    reported = encode(RunReports(entry_vm="vm-1", reports=(REPORT,) * MAX_PER_DATAGRAM))
    assert COMPRESSION_THRESHOLD_BYTES < len(listed) < MAX_DATAGRAM_BYTES
    assert len(reported) < MAX_DATAGRAM_BYTES
