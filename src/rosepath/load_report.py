"""Report late and failed requests by cause and time, from entry VMs' logs."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum
from pathlib import Path
from typing import Any

from rosepath.explain import LogLine
from rosepath.quota_pool import EXCEEDED_CODE
from rosepath.server_picker import QUARANTINED_CODE

# A request is late because of its wait for a model if that wait exceeds this
# share of its latency target.
WAITED_SHARE = 0.5
MAX_WORST_MODELS = 5


class Cause(StrEnum):
    """Classify the outcome of a request and the cause of a late one."""

    IN_TIME = "in time"
    WAITED_FOR_MODEL = "late: waited for its model or adapter"
    QUEUED = "late: queued at its server"
    PAUSED = "late: a pause in its stream"
    SLOW = "late: answered slowly"
    REFUSED = "refused unrun"
    QUARANTINED = "refused: crashes its servers"
    OVER_QUOTA = "refused: over its quota"
    FAILED = "failed"


@dataclass(slots=True, kw_only=True)
class Window:
    """Count the requests, swaps and failed attempts of one time window."""

    causes: Counter[Cause] = field(default_factory=Counter)
    swaps: int = 0
    failed_attempts: int = 0
    waited_s: float = 0.0

    @property
    def requests(self) -> int:
        return sum(self.causes.values())


@dataclass(slots=True, kw_only=True)
class LoadReport:
    """Count requests by cause, route, model, server and time window."""

    window_s: float
    causes: Counter[Cause] = field(default_factory=Counter)
    by_route: dict[str, Counter[Cause]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    by_model: dict[str, Counter[Cause]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    by_server: Counter[str] = field(default_factory=Counter)
    windows: dict[int, Window] = field(default_factory=lambda: defaultdict(Window))

    @classmethod
    def from_lines(cls, lines: Iterable[LogLine], *, window_s: float) -> "LoadReport":
        """Count the log lines of several VMs, sorted by time."""
        report = cls(window_s=window_s)
        start_s: float | None = None
        for line in lines:
            at_s = _seconds(line.at)
            if at_s is None:
                continue
            start_s = at_s if start_s is None else start_s
            window = report.windows[int((at_s - start_s) / window_s)]
            if line.event == "swap_planned":
                window.swaps += 1
            elif line.event == "try_failed":
                window.failed_attempts += 1
            elif line.event == "request_ended":
                report._count(line.details, window)
        return report

    def _count(self, details: Mapping[str, Any], window: Window) -> None:
        cause = cause_of(details)
        window.causes[cause] += 1
        window.waited_s += float(details.get("waited_s") or 0.0)
        self.causes[cause] += 1
        self.by_route[str(details.get("route", ""))][cause] += 1
        model = str(details.get("target", "")).partition("/")[0]
        if model:
            self.by_model[model][cause] += 1
        if details.get("peer"):
            self.by_server[str(details["peer"])] += 1

    @property
    def peak_to_mean(self) -> float:
        """Return the ratio of the busiest server's requests to the mean."""
        if not self.by_server:
            return 0.0
        mean = sum(self.by_server.values()) / len(self.by_server)
        return max(self.by_server.values()) / mean

    def worst_models(self) -> list[tuple[str, Counter[Cause]]]:
        """Return the models with the most requests that were not in time."""
        ranked = sorted(
            self.by_model.items(),
            key=lambda item: item[1][Cause.IN_TIME] - sum(item[1].values()),
        )
        return ranked[:MAX_WORST_MODELS]


def cause_of(details: Mapping[str, Any]) -> Cause:
    """Return the cause for the details of a `request_ended` line."""
    status = int(details.get("status") or 0)
    if details.get("code") == QUARANTINED_CODE:
        return Cause.QUARANTINED
    if details.get("code") == EXCEEDED_CODE:
        return Cause.OVER_QUOTA
    if status == 503:
        return Cause.REFUSED
    if not 200 <= status < 300:
        return Cause.FAILED
    target_s = float(details.get("target_s") or 0.0)
    first_s = details.get("first_s")
    responded_s = float(first_s if first_s is not None else details.get("took_s") or 0)
    if not target_s or responded_s <= target_s:
        gap_s = float(details.get("gap_s") or 0.0)
        paused = gap_s and float(details.get("longest_pause_s") or 0.0) > gap_s
        return Cause.PAUSED if paused else Cause.IN_TIME
    if float(details.get("waited_s") or 0.0) > WAITED_SHARE * target_s:
        return Cause.WAITED_FOR_MODEL
    return Cause.QUEUED if first_s is not None else Cause.SLOW


def cause_rows(counts: Mapping[str, Counter[Cause]]) -> Sequence[Sequence[str]]:
    """Return a row per name: its total, then its count for each cause."""
    return [
        [name, str(sum(causes.values())), *(str(causes[cause]) for cause in Cause)]
        for name, causes in counts.items()
    ]


def draw_report(report: LoadReport, file: Path) -> None:
    """Draw causes, swaps and failed attempts by time window."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    numbers = sorted(report.windows)
    at_s = [number * report.window_s for number in numbers]
    windows = [report.windows[number] for number in numbers]
    figure, (requests, orders) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 6))
    requests.stackplot(
        at_s,
        [[window.causes[cause] for window in windows] for cause in Cause],
        labels=list(Cause),
    )
    requests.set_ylabel("requests")
    requests.legend(fontsize=7, loc="upper left")
    orders.plot(at_s, [window.swaps for window in windows], label="swaps")
    orders.plot(
        at_s, [window.failed_attempts for window in windows], label="tries failed"
    )
    orders.set_xlabel("s")
    orders.legend(fontsize=7)
    figure.savefig(file, format="svg")
    pyplot.close(figure)


def _seconds(at: str) -> float | None:
    try:
        return datetime.fromisoformat(at).timestamp()
    except ValueError:
        return None
