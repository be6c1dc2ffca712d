"""Builders of test data for entry VMs."""

import json
import math
from collections.abc import Mapping
from typing import Any

from rosepath.api_keys import key_digest
from rosepath.caller_request import CallerRequest, Prompt, PromptPart
from rosepath.catalog import (
    CallerLimits,
    Catalog,
    EngineSpec,
    HostRoute,
    ModelSpec,
    RouteKind,
    ServiceShare,
    ServiceSpec,
)
from rosepath.clock import Clock
from rosepath.crash_watch import CrashWatch
from rosepath.engine_plan_state import EngineView
from rosepath.entry_settings import EntrySettings
from rosepath.fleet import BackendServer, ServerEntry
from rosepath.object_store import StoredObject
from rosepath.peer_messages import PeerState
from rosepath.platform.documents import decode_server
from rosepath.request_context import RelayPorts
from rosepath.server_picker import ServerPicker
from rosepath.server_probe import ServerContact
from rosepath.suspect_tracker import SuspectTracker
from rosepath.workspaces import Quota, QuotaUnit, Workspace


def a_model(name: str, *, size_mb: float = 70_000.0) -> ModelSpec:
    return ModelSpec(
        name=name,
        size_mb=size_mb,
        load_s=4.0,
        warm_load_s=0.5,
        disk_load_s=0.8,
        adapter_mb=66.0,
        adapters=8,
    )


def an_engine_spec(*names: str, adapter_slots: int = 2) -> EngineSpec:
    return EngineSpec(
        slots=64,
        kv_capacity_tokens=250_000,
        memory_mb=200_000.0,
        adapter_slots=adapter_slots,
        loads_per_s=1.0,
        models={name: a_model(name) for name in names},
    )


def a_route(
    *,
    kind: RouteKind = RouteKind.STREAMING,
    service: str = "llm",
    resumable: bool = True,
    max_attempts: int = 2,
    timeout_s: float = 6.0,
    path_prefix: str = "/drafts/",
    anonymous: bool = False,
    priority: int = 0,
) -> HostRoute:
    return HostRoute(
        name="r-1",
        host="court.example",
        path_prefix=path_prefix,
        kind=kind,
        shares=(ServiceShare(service=service, weight=1.0),),
        timeout_s=timeout_s,
        target_latency_s=0.6,
        target_gap_s=0.25,
        max_attempts=max_attempts,
        resumable=resumable,
        anonymous=anonymous,
        priority=priority,
    )


def a_quota(
    *,
    rate_per_s: float = 1000.0,
    burst: float = 1000.0,
    unit: QuotaUnit = QuotaUnit.TOKENS,
) -> Quota:
    return Quota(rate_per_s=rate_per_s, burst=burst, unit=unit, plain_tokens=200.0)


def a_workspace(
    name: str = "court", *, priority: int | None = None, quota: Quota | None = None
) -> Workspace:
    return Workspace(name=name, priority=priority, quota=quota)


def a_catalog(
    *routes: HostRoute,
    engine: EngineSpec | None = None,
    version: int = 1,
    workspaces: Mapping[str, Workspace] | None = None,
) -> Catalog:
    """Build a catalog; `workspaces` is by API key."""
    return Catalog(
        version=version,
        routes=routes,
        services={
            "llm": ServiceSpec(
                name="llm",
                health_path="/health",
                max_connections=100,
                engine=engine or an_engine_spec("m0", "m1"),
            ),
            "desk": ServiceSpec(
                name="desk", health_path="/health", max_connections=100
            ),
        },
        limits=CallerLimits(),
        workspaces=None
        if workspaces is None
        else {key_digest(key): found for key, found in workspaces.items()},
    )


def an_entry(
    name: str,
    *,
    service: str = "llm",
    address: str = "127.0.0.1:1",
    data_centre: str = "a",
    models: Mapping[str, frozenset[str]] | None = None,
    draining: bool = False,
) -> ServerEntry:
    return ServerEntry(
        name=name,
        service=service,
        address=address,
        data_centre=data_centre,
        slots=6,
        draining=draining,
        models={"m0": frozenset()} if models is None else models,
        on_disk=frozenset(("m0", "m1")),
    )


def a_server_document(*, state: str = "ready", **fields: Any) -> dict[str, Any]:
    """Return the document that a backend server writes to the store."""
    return {
        "service": "llm",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": state,
        "sequence": 1,
        **fields,
    }


def a_decoded_entry(name: str, **fields: Any) -> ServerEntry:
    """Return the entry that a server's document in the store decodes to."""
    document = json.dumps(a_server_document(**fields)).encode()
    entry = decode_server(StoredObject(f"servers/{name}", 1, document))
    assert entry is not None
    return entry


def a_server(name: str, **options: object) -> BackendServer:
    entry = an_entry(name, **options)  # type: ignore[arg-type]
    server = BackendServer(entry=entry)
    server.resident_models = {
        model: set(adapters) for model, adapters in entry.models.items()
    }
    return server


def a_prompt(model: str = "m0", *, adapter: str = "", shared: str = "s1") -> Prompt:
    return Prompt(
        model=model,
        adapter=adapter,
        input_tokens=3000,
        output_tokens=100,
        parts=(PromptPart(shared, 2000), PromptPart("own", 1000)),
    )


def a_call(
    *,
    request_id: str = "q1",
    method: str = "POST",
    path: str = "/drafts/1",
    body: bytes = b"",
    arrived_s: float = 0.0,
    wait_s: float | None = 5.0,
    prompt: Prompt | None = None,
) -> CallerRequest:
    return CallerRequest(
        request_id=request_id,
        method=method,
        path=path,
        host="court.example",
        headers={"Host": "court.example", "Request-Id": request_id},
        body=body,
        arrived_s=arrived_s,
        wait_s=wait_s,
        prompt=prompt,
    )


def an_engine_view(
    name: str,
    *models: str,
    in_use: Mapping[str, int] | None = None,
    accepts_orders: bool = True,
    local_load_s: Mapping[str, float] | None = None,
    size_mb: float = 70_000.0,
    data_centre: str = "a",
    loading_model: str = "",
    limit_per_s: float = math.inf,
    software_version: str = "v1",
) -> EngineView:
    return EngineView(
        name=name,
        data_centre=data_centre,
        loading_model=loading_model,
        limit_per_s=limit_per_s,
        software_version=software_version,
        memory_mb=200_000.0,
        used_mb=size_mb * len(models),
        age_s=dict.fromkeys(models, 100.0),
        in_use=in_use or {},
        accepts_orders=accepts_orders,
        local_load_s={"m0": 0.8, "m1": 0.8, "m2": 0.8, "m3": 0.8}
        if local_load_s is None
        else local_load_s,
    )


def a_crash_watch(
    clock: Clock,
    *,
    entry_vm: str = "vm-1",
    contact: ServerContact = ServerContact.ANSWERED,
    starts_ms: Mapping[str, int] | None = None,
) -> CrashWatch:
    """Build a crash watch whose probes all return `contact`.

    `starts_ms` has the latest known start of servers by name.
    """

    async def probe(server: BackendServer, *, limit_s: float) -> ServerContact:
        return contact

    return CrashWatch(
        entry_vm,
        clock=clock,
        probe=probe,
        on_change=lambda: None,
        latest_start_ms=lambda name: (starts_ms or {}).get(name, 0),
    )


def a_picker(ports: RelayPorts) -> ServerPicker:
    return ServerPicker(ports, SuspectTracker(ports.crashes, clock=ports.clock))


def a_peer_state(
    name: str, *, number: int = 1, data_centre: str = "a", term: int = 0
) -> PeerState:
    return PeerState(
        entry_vm=name,
        data_centre=data_centre,
        address="127.0.0.1:9",
        start="s1",
        number=number,
        term=term,
    )


def entry_settings(name: str, *, data_centre: str = "a") -> EntrySettings:
    address = "127.0.0.1:9"
    return EntrySettings.model_validate(
        {
            "entry_vm": name,
            "data_centre": data_centre,
            "callers": {"listen": address, "ready_listen": address},
            "peers": {"listen": address},
            "store": {"address": address},
        }
    )
