"""Counters and latency histograms of an entry VM, exported as text."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rosepath.telemetry import Telemetry

# Measurements buffered until OpenTelemetry is loaded; the start of a VM does
# not wait for that.
MAX_BUFFERED = 2000
LATENCY_BOUNDS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 4, 6, 10, 15)

Labels = Mapping[str, str]


class EntryMetrics:
    """Own the metrics of one entry VM.

    Measurements are buffered until the first export loads OpenTelemetry.
    """

    def __init__(self) -> None:
        self._buffered: deque[tuple[str, float, Labels, bool]] = deque(
            maxlen=MAX_BUFFERED
        )
        self._callbacks: dict[str, Callable[[], Mapping[str, float]]] = {}
        self._telemetry: Telemetry | None = None
        self._instruments: dict[str, Callable[[float, Labels], None]] = {}

    def count(self, name: str, **labels: str) -> None:
        """Count one event."""
        self._submit(name, 1, labels, counts=True)

    def record(self, name: str, value_s: float, **labels: str) -> None:
        """Record a duration in a histogram."""
        self._submit(name, value_s, labels, counts=False)

    def observe(self, name: str, read: Callable[[], Mapping[str, float]]) -> None:
        """Export values by kind, read by a callback at export time."""
        self._callbacks[name] = read
        if self._telemetry is not None:
            self._telemetry.observe(name, read)

    def load(self) -> None:
        """Load OpenTelemetry and pass on the buffered measurements."""
        if self._telemetry is not None:
            return
        from opentelemetry import trace
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.metrics.export import InMemoryMetricReader

        from rosepath.telemetry import Telemetry

        reader = InMemoryMetricReader()
        meter = MeterProvider(metric_readers=[reader]).get_meter("rosepath")
        self._telemetry = Telemetry(trace.NoOpTracer(), meter, reader)
        for name, read in self._callbacks.items():
            self._telemetry.observe(name, read)
        while self._buffered:
            self._emit(*self._buffered.popleft())

    def text(self) -> str:
        """Render all metrics in the Prometheus text format."""
        self.load()
        return self._telemetry.metrics_text() if self._telemetry else ""

    def _submit(self, name: str, value: float, labels: Labels, *, counts: bool) -> None:
        if self._telemetry is None:
            self._buffered.append((name, value, labels, counts))
        else:
            self._emit(name, value, labels, counts)

    def _emit(self, name: str, value: float, labels: Labels, counts: bool) -> None:
        record_value = self._instruments.get(name)
        if record_value is None:
            assert self._telemetry is not None
            record_value = self._instruments[name] = self._telemetry.instrument(
                name, counts=counts, bounds_s=LATENCY_BOUNDS_S
            )
        record_value(value, labels)
