"""Counters and latency histograms of an entry VM, shown as text."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rosepath.telemetry import Telemetry

# Kept until the library is loaded, which a start does not wait for.
MAX_EARLY = 2000
LATENCY_BOUNDS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 4, 6, 10, 15)

Labels = Mapping[str, str]


class EntryMetrics:
    """Take counts and times from the first moment, export them once loaded."""

    def __init__(self) -> None:
        self._early: deque[tuple[str, float, Labels, bool]] = deque(maxlen=MAX_EARLY)
        self._observed: dict[str, Callable[[], Mapping[str, float]]] = {}
        self._telemetry: Telemetry | None = None
        self._instruments: dict[str, Callable[[float, Labels], None]] = {}

    def count(self, name: str, **labels: str) -> None:
        """Count one event."""
        self._take(name, 1, labels, counts=True)

    def record(self, name: str, value_s: float, **labels: str) -> None:
        """Record a time."""
        self._take(name, value_s, labels, counts=False)

    def observe(self, name: str, read: Callable[[], Mapping[str, float]]) -> None:
        """Export values, by kind, that are read only when asked for."""
        self._observed[name] = read
        if self._telemetry is not None:
            self._telemetry.observe(name, read)

    def load(self) -> None:
        """Load the library and hand it what came before."""
        if self._telemetry is not None:
            return
        from opentelemetry import trace
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.metrics.export import InMemoryMetricReader

        from rosepath.telemetry import Telemetry

        reader = InMemoryMetricReader()
        meter = MeterProvider(metric_readers=[reader]).get_meter("rosepath")
        self._telemetry = Telemetry(trace.NoOpTracer(), meter, reader)
        for name, read in self._observed.items():
            self._telemetry.observe(name, read)
        while self._early:
            self._give(*self._early.popleft())

    def text(self) -> str:
        """Render everything in the text format."""
        self.load()
        return self._telemetry.metrics_text() if self._telemetry else ""

    def _take(self, name: str, value: float, labels: Labels, *, counts: bool) -> None:
        if self._telemetry is None:
            self._early.append((name, value, labels, counts))
        else:
            self._give(name, value, labels, counts)

    def _give(self, name: str, value: float, labels: Labels, counts: bool) -> None:
        give = self._instruments.get(name)
        if give is None:
            assert self._telemetry is not None
            give = self._instruments[name] = self._telemetry.instrument(
                name, counts=counts, bounds_s=LATENCY_BOUNDS_S
            )
        give(value, labels)
