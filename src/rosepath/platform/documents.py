"""Decode the stored configuration and the backend servers' entries."""

import json
from typing import Annotated, Any, Literal

from pydantic import Field

from rosepath.api_keys import key_digest
from rosepath.catalog import (
    DEFAULT_HEALTH_PATH,
    CallerLimits,
    Catalog,
    EngineSpec,
    HostRoute,
    ModelSpec,
    RouteKind,
    ServiceShare,
    ServiceSpec,
)
from rosepath.document_fields import (
    Address,
    Amount,
    Count,
    Document,
    DurationMs,
    Integer,
    StrictText,
    Text,
)
from rosepath.document_parsing import (
    parse_entries,
    parse_object,
    validate,
)
from rosepath.fleet import ServerEntry
from rosepath.logs import get_logger
from rosepath.object_store import StoredObject
from rosepath.workspaces import Quota, QuotaUnit, Workspace

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "config/main"
SERVER_KIND = "servers"

_log = get_logger()


class _Share(Document):
    service: Text
    weight: Amount


class _Route(Document):
    name: Text
    host: Text
    path_prefix: Text
    route_type: Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: Annotated[DurationMs, Field(gt=0)]
    target_latency_ms: DurationMs = 0.0
    target_gap_ms: DurationMs | None = None
    priority: Integer = 0
    service: Text | None = None
    traffic_split: tuple[_Share, ...] | None = None
    max_attempts: Integer = 1
    resumable: bool = False
    anonymous: bool = False

    def decoded(self) -> HostRoute:
        shares = tuple(
            ServiceShare(service=share.service, weight=share.weight)
            for share in self.traffic_split or ()
            if share.weight > 0
        )
        if not shares and self.service:
            shares = (ServiceShare(service=self.service, weight=1.0),)
        if not shares:
            raise ValueError("the route names no service")
        return HostRoute(
            name=self.name,
            host=self.host,
            path_prefix=self.path_prefix,
            kind=RouteKind(self.route_type),
            shares=shares,
            timeout_s=self.timeout_ms / 1000,
            target_latency_s=self.target_latency_ms / 1000,
            target_gap_s=(self.target_gap_ms or 0.0) / 1000,
            priority=self.priority,
            max_attempts=self.max_attempts,
            resumable=self.resumable,
            anonymous=self.anonymous,
        )


class _Model(Document):
    name: Text
    mb: Amount
    load_time_s: Amount
    warm_s: Amount | None = None
    disk_load_s: Amount | None = None
    adapters: Integer = 0
    adapter_mb: Amount = 0.0


class _Engine(Document):
    slots: Integer
    kv_capacity_tokens: Integer
    mb: Amount
    adapter_slots: Integer = 0
    loads_per_s: Amount = 1.0
    models: tuple[_Model, ...] = ()

    def decoded(self) -> EngineSpec:
        return EngineSpec(
            slots=self.slots,
            kv_capacity_tokens=self.kv_capacity_tokens,
            memory_mb=self.mb,
            adapter_slots=self.adapter_slots,
            loads_per_s=self.loads_per_s,
            models={
                model.name: ModelSpec(
                    name=model.name,
                    size_mb=model.mb,
                    load_s=model.load_time_s,
                    warm_load_s=model.warm_s or model.load_time_s,
                    disk_load_s=model.disk_load_s or model.load_time_s,
                    adapter_mb=model.adapter_mb,
                    adapters=model.adapters,
                )
                for model in self.models
            },
        )


class _Service(Document):
    name: Text
    health_path: Text = DEFAULT_HEALTH_PATH
    max_connections: Integer = 100
    engine: _Engine | None = None

    def decoded(self) -> ServiceSpec:
        return ServiceSpec(
            name=self.name,
            health_path=self.health_path,
            max_connections=self.max_connections,
            engine=self.engine.decoded() if self.engine else None,
        )


class _Workspace(Document):
    name: Annotated[StrictText, Field(min_length=1)]
    # Entries of another type are skipped, so that they don't invalidate the
    # workspace's other keys.
    api_keys: tuple[Any, ...] = ()
    api_key_digests: tuple[Any, ...] = ()
    priority: Integer | None = None

    @property
    def digests(self) -> list[str]:
        keys = [key for key in self.api_keys if isinstance(key, str) and key]
        digests = [raw for raw in self.api_key_digests if isinstance(raw, str)]
        return [*map(key_digest, keys), *digests]


class _Quota(Document):
    rate_per_s: Amount = 0.0
    burst: Amount = 0.0
    unit: str = "request"
    plain_tokens: Amount = 1.0

    def decoded(self) -> Quota | None:
        if not self.rate_per_s:
            return None
        if self.unit not in ("request", "token_stream"):
            _log.warning("quota_unit_unknown", unit=self.unit[:40])
        # Counting tokens is stricter than counting requests.
        unit = QuotaUnit.REQUESTS if self.unit == "request" else QuotaUnit.TOKENS
        return Quota(
            rate_per_s=self.rate_per_s,
            burst=self.burst,
            unit=unit,
            plain_tokens=self.plain_tokens,
        )


class _Limits(Document):
    max_header_bytes: Integer = 16384
    max_body_bytes: Integer = 4194304
    header_timeout_ms: DurationMs = 3000
    idle_timeout_ms: DurationMs = 15000


class _ResidentModel(Document):
    name: StrictText
    adapters: tuple[StrictText, ...] = ()


class _Available(Document):
    in_memory: frozenset[StrictText] = frozenset()
    on_disk: frozenset[StrictText] = frozenset()


class _Server(Document):
    """Validate a server's entry without type conversion.

    Other writers store entries of the same kind. If missing or converted
    fields were accepted, requests could be sent to invalid addresses.
    """

    service: Annotated[StrictText, Field(min_length=1)]
    address: Address
    zone: StrictText
    # Of the server's software; the weights' versions are in its responses.
    version: StrictText
    slots: Annotated[Count, Field(ge=1)]
    state: Literal["ready", "draining"]
    sequence: Count
    # Start of this instance of the server, in Unix milliseconds. An entry
    # without it is older than any entry with it.
    born: Count = 0
    models: tuple[_ResidentModel, ...] = ()
    available: _Available = _Available()
    remaining_ms: Amount | None = None


def decode_catalog(stored: StoredObject) -> Catalog | None:
    """Decode a configuration and skip invalid entries."""
    raw = parse_object(stored)
    version = raw.get("version") if raw else None
    if raw is None or not isinstance(version, int):
        _log.warning("configuration_unreadable", revision=stored.version)
        return None
    services = [s.decoded() for s in parse_entries(raw, "services", _Service)]
    routes: list[HostRoute] = []
    for route in parse_entries(raw, "routes", _Route):
        try:
            routes.append(route.decoded())
        except ValueError as error:
            _log.warning("configuration_entry_skipped", name=route.name, why=str(error))
    limits = validate(_Limits, raw.get("limits") or {}, "limits") or _Limits()
    return Catalog(
        version=version,
        routes=routes,
        services={service.name: service for service in services},
        limits=CallerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
        workspaces=_decode_workspaces(raw) if "tenants" in raw else None,
    )


def _decode_workspaces(raw: dict[str, Any]) -> dict[str, Workspace]:
    """Return the workspaces by the digests of their keys.

    A name or key that is declared twice belongs to the first entry.
    """
    by_digest: dict[str, Workspace] = {}
    names: set[str] = set()
    entries = raw["tenants"] if isinstance(raw["tenants"], list) else []
    for entry in entries:
        declared = validate(_Workspace, entry, "tenants")
        if declared is None or declared.name in names:
            _log.warning("workspace_skipped", name=declared.name if declared else "")
            continue
        names.add(declared.name)
        quota = validate(_Quota, entry, f"tenants.{declared.name}")
        workspace = Workspace(
            name=declared.name,
            priority=declared.priority,
            quota=quota.decoded() if quota else None,
        )
        for digest in declared.digests:
            by_digest.setdefault(digest, workspace)
    return by_digest


def without_keys(stored: StoredObject) -> StoredObject:
    """Return a configuration with the digests of API keys in their place."""
    raw = parse_object(stored) if b'"apiKeys"' in stored.value else None
    if raw is None or not isinstance(raw.get("tenants"), list):
        return stored
    for entry in raw["tenants"]:
        declared = validate(_Workspace, entry, "tenants")
        if isinstance(entry, dict):
            entry.pop("apiKeys", None)
            entry["apiKeyDigests"] = declared.digests if declared else []
    return stored._replace(value=json.dumps(raw).encode())


def decode_server(stored: StoredObject) -> ServerEntry | None:
    """Decode a backend server's entry, or log why it is invalid."""
    raw = parse_object(stored)
    entry = validate(_Server, raw, stored.name) if raw is not None else None
    if entry is None:
        return None
    return ServerEntry(
        name=stored.name.partition("/")[2],
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        slots=entry.slots,
        draining=entry.state != "ready",
        sequence=entry.sequence,
        born_ms=entry.born,
        revision=stored.version,
        software_version=entry.version,
        models={model.name: frozenset(model.adapters) for model in entry.models},
        in_memory=entry.available.in_memory,
        on_disk=entry.available.on_disk,
        remaining_s=None if entry.remaining_ms is None else entry.remaining_ms / 1000,
    )
