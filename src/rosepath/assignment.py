"""Requests that ask the scheduler for a server, and its decisions."""

from dataclasses import dataclass
from enum import StrEnum

from rosepath.caller_request import Prompt
from rosepath.response_metadata import ServerLoad


@dataclass(frozen=True, slots=True, kw_only=True)
class AssignmentRequest:
    """Describe a request that waits for a server.

    Times are on the scheduler's clock. The first byte of the response is due at
    `due_s`; a request that has no server at `wait_until_s` is rejected; at
    `deadline_s` it has ended at any rate. `gap_s` is the longest acceptable pause
    of its stream, 0 if it is none. `tried` names servers that it may not go to;
    `route` is the name of its host route.
    """

    request_id: str
    service: str
    entry_vm: str
    data_centre: str
    arrived_s: float
    due_s: float
    wait_until_s: float
    deadline_s: float
    gap_s: float = 0.0
    priority: int = 0
    workspace: str = ""
    route: str = ""
    prompt: Prompt | None = None
    tried: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """Hold the server of a request, and what is predicted for it there.

    `born_ms` is the start of the server instance, 0 if not known.
    """

    request: AssignmentRequest
    server: str
    unread_tokens: int = 0
    first_event_s: float = 0.0
    born_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class AssignmentRejection:
    """Reject a request that can't be served in time, and say when to return."""

    request: AssignmentRequest
    code: str
    retry_after_s: float


Decision = Assignment | AssignmentRejection


class RunOutcome(StrEnum):
    """State how an assigned run ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"


@dataclass(frozen=True, slots=True, kw_only=True)
class RunReport:
    """Report the progress of an assigned run at its server.

    `began_after_s` is the time from its sending to its first event or, without
    a stream, to its response; `event_gap_s` the mean time between its events and
    `longest_gap_s` the longest. `events` counts the events so far, and `ran_s` is
    the time since its sending. `load` is what the server stated
    `load_age_s` ago. `assignment` is set for a run that the entry VM placed by
    itself or that the scheduler may not know. `refused` means that the server
    accepted a connection from no VM that tried. `born_ms` names the instance of
    the server, 0 if it is not known.
    """

    request_id: str
    server: str
    began_after_s: float | None = None
    outcome: RunOutcome | None = None
    event_gap_s: float | None = None
    longest_gap_s: float = 0.0
    events: int | None = None
    ran_s: float | None = None
    load: ServerLoad | None = None
    load_age_s: float = 0.0
    assignment: Assignment | None = None
    refused: bool = False
    born_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerProgress:
    """Report how the streams of one entry VM at a server go on.

    `streams` have begun and are not complete; the youngest event of any stream
    of this VM from the server came `event_age_s` ago, infinity if none ever did.
    """

    server: str
    born_ms: int
    entry_vm: str
    data_centre: str
    streams: int
    event_age_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SilentServer:
    """State that a server fell silent towards all entry VMs `silent_s` ago."""

    server: str
    born_ms: int
    silent_s: float
