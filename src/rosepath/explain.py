"""Build the timeline of a request from the logs of several entry VMs."""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from rosepath.peer_messages import NEVER_S

# Events that change the state by which a VM routes, or report why that state
# is not updated. The latest of each before a request's lines is the state in
# which the request was handled.
STATE_EVENTS = (
    "configuration_in_force",
    "servers_listed",
    "store_lost",
    "store_call_failed",
    "store_regained",
    "watch_doubted",
    "lease_taken",
    "lease_lost",
    "stopping",
)
# Reports that a request, or a retry of it, was in flight when a server
# crashed.
_CRASH_EVENT = "crash_reported"
_COMMON = frozenset(
    ("event", "entry_vm", "data_centre", "level", "timestamp", "request_id")
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """Hold one parsed line of an entry VM's log."""

    at: str
    entry_vm: str
    event: str
    request_id: str
    details: dict[str, Any]

    @property
    def formatted(self) -> str:
        """Return the line formatted for the terminal."""
        details = " ".join(
            f"{name}={value}" for name, value in self.details.items() if value != ""
        )
        return f"{self.at}  {self.entry_vm:16} {self.event:22} {details}"


def parse_log_lines(lines: Iterable[str]) -> list[LogLine]:
    """Parse JSON log lines and sort them by time; skip all other lines."""
    read = []
    for line in lines:
        start = line.find("{")
        try:
            raw = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            continue
        if not isinstance(raw, dict) or "event" not in raw:
            continue
        read.append(
            LogLine(
                at=str(raw.get("timestamp", "")),
                entry_vm=str(raw.get("entry_vm", "")),
                event=str(raw["event"]),
                request_id=str(raw.get("request_id", "")),
                details={k: v for k, v in raw.items() if k not in _COMMON},
            )
        )
    return sorted(read, key=lambda line: line.at)


def request_timeline(request_id: str, lines: Sequence[LogLine]) -> list[LogLine]:
    """Return a request's lines with the state in which it was handled.

    This includes the latest state events of its VMs, the last orders to its
    servers and the crashes attributed to requests of the same content.
    """
    own = [line for line in lines if line.request_id == request_id]
    if not own:
        return []
    # The request that began the stream which this one takes up.
    resumed = {line.details.get("resumes") for line in own} - {None, ""}
    own = [line for line in lines if line.request_id in {request_id, *resumed}]
    vms = {line.entry_vm for line in own}
    # The store may fail for one kind of objects and respond for another.
    latest: dict[tuple[str, str, str], LogLine] = {}
    for line in lines:
        if line.at > own[-1].at:
            break
        if line.event in STATE_EVENTS and line.entry_vm in vms:
            kind = str(line.details.get("kind", ""))
            latest[line.entry_vm, line.event, kind] = line
    peers = {line.details.get("peer") for line in own} - {None, ""}
    orders = [
        line
        for line in lines
        if line.event in ("order", "swap_planned")
        and line.details.get("peer") in peers
        and line.at <= own[-1].at
    ]
    contents = {line.details.get("content") for line in own} - {None}
    crashes = [
        line
        for line in lines
        if line.event == _CRASH_EVENT
        and line.request_id != request_id
        and line.details.get("content") in contents
        and line.at <= own[-1].at
    ]
    timeline = [*latest.values(), *orders[-5:], *crashes, *own]
    return sorted(timeline, key=lambda line: line.at)


def describe_configurations(request_id: str, lines: Sequence[LogLine]) -> list[str]:
    """Describe the configuration by which each VM handled a request.

    A newer version on another VM is mentioned if it was in force there by the
    time of the VM's last line for the request.
    """
    last: dict[str, LogLine] = {}
    for line in lines:
        if line.request_id == request_id and "configuration" in line.details:
            last[line.entry_vm] = line
    return [_describe_configuration(line, lines) for line in last.values()]


def _describe_configuration(handled: LogLine, lines: Sequence[LogLine]) -> str:
    version = handled.details["configuration"]
    age_s = handled.details.get("configuration_age_s", NEVER_S)
    behind = handled.details.get("configuration_behind", False)
    described = [
        f"version {version}" if version else "none",
        "never known to be current"
        if age_s >= NEVER_S
        else f"known to be current {age_s} s before",
        "a newer one was known to exist" if behind else "no newer one was known",
    ]
    newer = {
        line.entry_vm: line
        for line in reversed(lines)
        if line.event == "configuration_in_force"
        and line.entry_vm != handled.entry_vm
        and line.at <= handled.at
        and line.details.get("version", 0) > version
    }
    if newer:
        first = min(newer.values(), key=lambda line: line.at)
        described.append(
            f"a newer one was in force elsewhere (VMs: {len(newer)},"
            f" first: {first.entry_vm} at {first.at})"
        )
    return f"{handled.entry_vm}: configuration {', '.join(described)}"
