"""The daemon's settings, read from TOML and validated before startup."""

import tomllib
from pathlib import Path
from typing import Annotated, Literal, TypeVar

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from rosepath.held_bytes import DEFAULT_MEMORY_MB

Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0)]
_Model = TypeVar("_Model", bound=BaseModel)
Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:]+:\d+$")]


class Section(BaseModel):
    """Base of the settings sections; unknown keys are an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TlsSettings(Section):
    """Name the PEM files of a listener.

    On SIGHUP the certificates of the caller and peer listeners are reloaded.
    """

    certificate_file: Path
    key_file: Path
    client_ca_file: Path | None = None


class CallerSettings(Section):
    """Configure the listener for callers."""

    listen: Address = "127.0.0.1:8080"
    tls: TlsSettings | None = None
    max_body_bytes: Annotated[int, Field(gt=0)] = 16 * 1024 * 1024
    idle_timeout_s: Seconds = 60.0
    body_timeout_s: Seconds = 300.0


class PeerSettings(Section):
    """Configure the peer listener, gossip and failure detection."""

    listen: Address = "127.0.0.1:8081"
    tls: TlsSettings | None = None
    gossip_interval_s: Seconds = 0.25
    heartbeat_interval_s: Seconds = 0.75
    suspect_after_s: Seconds = 2.0
    remote_load_interval_s: Seconds = 2.0
    advertise: Address | None = None


class OperatorSettings(Section):
    """Configure the listener for operators."""

    listen: Address = "127.0.0.1:8082"
    tls: TlsSettings | None = None


class PlatformSettings(Section):
    """Configure access to the platform's object API."""

    address: Address = "127.0.0.1:8090"
    call_timeout_s: Seconds = 3.0
    watch_silence_s: Seconds = 5.0
    calls_per_s: Seconds = 20.0


class RoutingSettings(Section):
    """Configure the choice of replicas, timeouts and retries."""

    connect_timeout_s: Seconds = 1.0
    progress_timeout_s: Seconds = 10.0
    proven_live_within_s: Seconds = 1.0
    retry_budget_share: Annotated[float, Field(ge=0, le=1)] = 0.1
    affinity_slack: Annotated[float, Field(ge=0)] = 1.25
    request_timeout_s: Seconds = 600.0
    report_interval_s: Seconds = 1.0


class PlacementSettings(Section):
    """Configure the placement lease and the placement of models.

    The settings weigh goal attainment against the cost of moves and bound the
    load on the weight store.
    """

    lease_s: Seconds = 5.0
    lease_margin_s: Seconds = 1.0
    tick_s: Seconds = 0.25
    loads_per_s: Seconds = 1.0
    parallel_loads: Annotated[int, Field(gt=0)] = 4
    move_cost_s: Seconds = 20.0
    horizon_s: Seconds = 300.0
    late_order_bound_s: Seconds = 60.0


class TelemetrySettings(Section):
    """Configure the log level and the export of traces and metrics."""

    exporter: Literal["none", "file", "otlp"] = "none"
    trace_file: Path | None = None
    otlp_endpoint: str = "http://127.0.0.1:4318"
    metrics_endpoint: bool = True
    log_level: Literal["debug", "info", "warning", "error"] = "info"


class StopSettings(Section):
    """Configure a planned stop."""

    balancer_wait_s: Annotated[float, Field(ge=0)] = 2.0
    drain_timeout_s: Seconds = 3600.0


class Settings(Section):
    """Hold all settings of a daemon, read from one TOML file."""

    deployment: Annotated[str, Field(min_length=1)]
    entry_vm: Annotated[str, Field(min_length=1, pattern=r"^[\w.-]+$")]
    data_centre: Annotated[str, Field(min_length=1, pattern=r"^[\w.-]+$")]
    seeds: tuple[Address, ...] = ()
    # Of the machine, for this process.
    memory_mb: Annotated[float, Field(gt=0)] = DEFAULT_MEMORY_MB
    callers: CallerSettings = CallerSettings()
    peers: PeerSettings = PeerSettings()
    operators: OperatorSettings = OperatorSettings()
    platform: PlatformSettings = PlatformSettings()
    routing: RoutingSettings = RoutingSettings()
    placement: PlacementSettings = PlacementSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    stop: StopSettings = StopSettings()


def load_settings(path: Path) -> Result[Settings, str]:
    """Read a settings file, or return its first error in one line."""
    return load_settings_as(Settings, path)


def load_settings_as(model: type[_Model], path: Path) -> Result[_Model, str]:
    """Read a settings file as `model`, or return its first error."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Error(f"{path}: cannot be read: {error.strerror}")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Error(f"{path}: not TOML: {error}")
    try:
        return Ok(model.model_validate(raw))
    except ValidationError as error:
        return Error(f"{path}: {first_problem(error)}")


def first_problem(error: ValidationError) -> str:
    """Format the first validation error with its key and the given value."""
    problem = error.errors(include_url=False)[0]
    key = ".".join(str(part) for part in problem["loc"]) or "(top)"
    if problem["type"] == "extra_forbidden":
        return f"{key}: unknown key"
    if problem["type"] == "missing":
        return f"{key}: missing"
    return f"{key}: {problem['msg']} (got {problem['input']!r})"


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)
