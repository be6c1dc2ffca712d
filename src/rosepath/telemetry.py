"""OpenTelemetry traces, with a span for each hop, and metrics."""

import json
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from opentelemetry import metrics, trace
from opentelemetry.propagate import extract, inject
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    HistogramDataPoint,
    InMemoryMetricReader,
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)

from rosepath.settings import Settings

FIRST_TOKEN_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.39, 0.6, 1, 2, 5, 10)
BETWEEN_TOKENS_BOUNDS_S = (0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.25, 1)


class FileSpanExporter(SpanExporter):
    """Append spans to a file, one JSON object per line."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        with self._path.open("a", encoding="utf-8") as file:
            for span in spans:
                file.write(json.dumps(_plain_span(span)) + "\n")
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Do nothing; the file is opened for each export only."""


def _plain_span(span: ReadableSpan) -> dict[str, Any]:
    context = span.get_span_context()
    return {
        "name": span.name,
        "trace_id": f"{context.trace_id:032x}" if context else "",
        "span_id": f"{context.span_id:016x}" if context else "",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
        "status": span.status.status_code.name,
    }


class Telemetry:
    """Own the tracer and the metric instruments of an entry VM."""

    def __init__(
        self,
        tracer: trace.Tracer,
        meter: metrics.Meter,
        reader: MetricReader | None,
    ) -> None:
        self.tracer = tracer
        self._reader = reader
        self._meter = meter
        self.requests = meter.create_counter("rosepath.requests")
        self.refusals = meter.create_counter("rosepath.refusals")
        self.dropped_chunks = meter.create_counter("rosepath.dropped_chunks")
        self.retries = meter.create_counter("rosepath.retries")
        self.moves = meter.create_counter("rosepath.moves")
        self.in_flight = meter.create_up_down_counter("rosepath.requests_in_flight")
        self.first_token = meter.create_histogram(
            "rosepath.first_token",
            unit="s",
            explicit_bucket_boundaries_advisory=FIRST_TOKEN_BOUNDS_S,
        )
        self.between_tokens = meter.create_histogram(
            "rosepath.between_tokens",
            unit="s",
            explicit_bucket_boundaries_advisory=BETWEEN_TOKENS_BOUNDS_S,
        )

    @classmethod
    def from_settings(cls, settings: Settings) -> "Telemetry":
        """Set up the exporters chosen in the settings."""
        telemetry_settings = settings.telemetry
        resource = Resource.create(
            {
                "service.name": "rosepathd",
                "rosepath.entry_vm": settings.entry_vm,
                "rosepath.data_centre": settings.data_centre,
            }
        )
        readers: list[MetricReader] = []
        if telemetry_settings.metrics_endpoint:
            readers.append(InMemoryMetricReader())
        tracer: trace.Tracer = trace.NoOpTracer()
        if telemetry_settings.exporter == "otlp":
            tracer = _otlp_tracer(resource, telemetry_settings.otlp_endpoint)
            readers.append(_otlp_reader(telemetry_settings.otlp_endpoint))
        elif telemetry_settings.exporter == "file":
            path = telemetry_settings.trace_file or Path(
                f"traces-{settings.entry_vm}.jsonl"
            )
            provider = TracerProvider(resource=resource)
            provider.add_span_processor(SimpleSpanProcessor(FileSpanExporter(path)))
            tracer = provider.get_tracer("rosepath")
        meters = MeterProvider(metric_readers=readers, resource=resource)
        meter = meters.get_meter("rosepath")
        return cls(
            tracer, meter, readers[0] if telemetry_settings.metrics_endpoint else None
        )

    def observe(self, name: str, read: Callable[[], Mapping[str, float]]) -> None:
        """Register a gauge that reads its values, by kind, at each export."""

        def callback(_: metrics.CallbackOptions) -> list[metrics.Observation]:
            return [
                metrics.Observation(value, {"kind": kind})
                for kind, value in read().items()
            ]

        self._meter.create_observable_gauge(f"rosepath.{name}", callbacks=[callback])

    def instrument(
        self, name: str, *, counts: bool, bounds_s: Sequence[float]
    ) -> Callable[[float, Mapping[str, str]], None]:
        """Return a function that records to a new counter or histogram."""
        if counts:
            counter = self._meter.create_counter(f"rosepath.{name}")
            return lambda value, labels: counter.add(value, dict(labels))
        histogram = self._meter.create_histogram(
            f"rosepath.{name}", unit="s", explicit_bucket_boundaries_advisory=bounds_s
        )
        return lambda value, labels: histogram.record(value, dict(labels))

    def metrics_text(self) -> str:
        """Render the metrics in the Prometheus text format."""
        if not isinstance(self._reader, InMemoryMetricReader):
            return ""
        data = self._reader.get_metrics_data()
        lines: list[str] = []
        for resource in data.resource_metrics if data else ():
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    for point in metric.data.data_points:
                        lines += _metric_lines(metric.name, point)
        return "\n".join(lines) + "\n"


def _otlp_tracer(resource: Resource, endpoint: str) -> trace.Tracer:
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter

    provider = TracerProvider(resource=resource)
    exporter = OTLPSpanExporter(endpoint=f"{endpoint}/v1/traces")
    provider.add_span_processor(BatchSpanProcessor(exporter))
    return provider.get_tracer("rosepath")


def _otlp_reader(endpoint: str) -> MetricReader:
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )

    exporter = OTLPMetricExporter(endpoint=f"{endpoint}/v1/metrics")
    return PeriodicExportingMetricReader(exporter)


def _metric_lines(name: str, point: Any) -> list[str]:
    name = name.replace(".", "_")
    labels = ",".join(
        f'{key.replace(".", "_")}="{value}"'
        for key, value in sorted((point.attributes or {}).items())
    )
    if not isinstance(point, HistogramDataPoint):
        return [f"{name}{{{labels}}} {point.value}"]
    lines = [
        f"{name}_count{{{labels}}} {point.count}",
        f"{name}_sum{{{labels}}} {point.sum}",
    ]
    cumulative_count = 0
    bounds = [*point.explicit_bounds, "+Inf"]
    for bound, count in zip(bounds, point.bucket_counts, strict=False):
        cumulative_count += count
        separator = "," if labels else ""
        bucket = f'{labels}{separator}le="{bound}"'
        lines.append(f"{name}_bucket{{{bucket}}} {cumulative_count}")
    return lines


def context_from_headers(headers: dict[str, str]) -> Any:
    """Return the trace context that a caller sent."""
    return extract(headers)


def traceparent_of(span: trace.Span) -> str:
    """Return the traceparent header for a span, or an empty string."""
    carrier: dict[str, str] = {}
    with suppress(Exception):
        inject(carrier, context=trace.set_span_in_context(span))
    return carrier.get("traceparent", "")
