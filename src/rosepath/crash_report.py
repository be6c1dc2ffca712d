"""What is reported of a server that crashed, and of the requests in flight there."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

# Reports of a crash arrive from all entry VMs, in any order, and one of two
# datagrams may be lost. Until all are in, an unrelated request may look like
# the cause.
SETTLE_S = 0.3


class ServerInstance(NamedTuple):
    """Identify one instance of a server, from its start to its end."""

    server: str
    born_ms: int = 0


class Exposure(IntEnum):
    """State of a request at a server that crashed, the likeliest cause last.

    A `PRESENT` request was queued or had run for long, a `STARTING` one had
    just begun to run, which is when requests crash servers. An `ISOLATED` one
    was the only suspect at that server.
    """

    PRESENT = 1
    STARTING = 2
    ISOLATED = 3


class CrashReport(NamedTuple):
    """Report that a server crashed while a request was in flight there.

    `part_keys` has the shared parts of its prompt, if it had just begun.
    """

    content_key: str
    instance: ServerInstance
    exposure: Exposure
    part_keys: tuple[str, ...] = ()


class Cleared(NamedTuple):
    """A request of which a run completed, or a part with which one survived.

    It clears the key of the crashes before that, `ago_s` before it is told.
    """

    key: str
    ago_s: float = 0.0


class RecordedCrash(NamedTuple):
    """A report as the store keeps it, and its age when it was written."""

    report: CrashReport
    ago_s: float


@dataclass(frozen=True, slots=True)
class CrashKnowledge:
    """What entry VMs that start must know of earlier crashes.

    `quarantined` names the requests and parts that crash servers, `crashes` are
    those whose cause is not known yet.
    """

    quarantined: tuple[str, ...] = ()
    crashes: tuple[RecordedCrash, ...] = ()

    @property
    def items(self) -> frozenset[str | CrashReport]:
        """Return the causes and the crashes, without their age."""
        return frozenset((*self.quarantined, *(crash.report for crash in self.crashes)))


def encode_report(report: CrashReport) -> list[Any]:
    """Encode a report as a row of JSON."""
    return [
        report.content_key,
        *report.instance,
        int(report.exposure),
        *report.part_keys,
    ]


def decode_report(row: Sequence[Any]) -> CrashReport:
    """Decode a report; raise an error of the values' conversions if it is invalid."""
    return CrashReport(
        str(row[0]),
        ServerInstance(str(row[1]), int(row[2])),
        Exposure(int(row[3])),
        tuple(map(str, row[4:])),
    )
