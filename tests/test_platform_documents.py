"""Test that only the invalid entries of a document are skipped."""

import json
from typing import Any

import pytest
from hypothesis import given, strategies as st

from rosepath.catalog import RouteKind
from rosepath.leases import decode_lease
from rosepath.object_store import StoredObject
from rosepath.platform.documents import decode_catalog, decode_server

ROUTE: dict[str, Any] = {
    "name": "r-1",
    "host": "court.example",
    "pathPrefix": "/drafts/",
    "routeType": "streaming",
    "timeoutMs": 6000,
    "targetLatencyMs": 600,
    "targetGapMs": 250,
    "priority": 1,
    "service": "llm",
    "maxAttempts": 2,
    "sessionAffinity": True,
    "resumable": True,
    "somethingNew": {"x": 1},
}
SERVER: dict[str, Any] = {
    "service": "llm",
    "address": "10.1.0.9:8080",
    "zone": "casa-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "sequence": 4,
    "models": [{"name": "m", "version": 1, "adapters": ["a1"]}],
    "available": {"inMemory": ["n"], "onDisk": ["m", "n"]},
}


def stored(raw: Any, name: str = "config/main") -> StoredObject:
    return StoredObject(name, 5, json.dumps(raw).encode())


def document(*routes: Any) -> StoredObject:
    return stored(
        {
            "version": 7,
            "routes": list(routes),
            "services": [{"name": "llm", "healthPath": "/health"}],
            "limits": {"idleTimeoutMs": 9000},
        }
    )


def test_a_configuration_is_decoded_with_units() -> None:
    catalog = decode_catalog(document(ROUTE))
    assert catalog is not None
    route = catalog.find("court.example", "/drafts/7")
    assert route is not None and route.kind is RouteKind.STREAMING
    assert (route.timeout_s, route.target_gap_s) == (6.0, 0.25)
    assert catalog.limits.idle_timeout_s == 9.0


def test_the_longest_prefix_wins() -> None:
    longer = {**ROUTE, "name": "r-2", "pathPrefix": "/drafts/new/"}
    catalog = decode_catalog(document(ROUTE, longer))
    assert catalog is not None
    found = catalog.find("court.example", "/drafts/new/1")
    assert found is not None and found.name == "r-2"
    assert catalog.find("court.example", "/draft") is None


def test_a_route_splits_traffic_by_the_services_weights() -> None:
    shares = [{"service": "llm", "weight": 90}, {"service": "new", "weight": 10}]
    split = {**ROUTE, "service": None, "trafficSplit": shares}
    catalog = decode_catalog(document(split))
    assert catalog is not None
    route = catalog.routes[0]
    drawn = [route.service_for(f"q{number}") for number in range(2000)]
    assert 120 < drawn.count("new") < 280


def test_invalid_entries_are_skipped() -> None:
    bad = [{**ROUTE, "timeoutMs": "soon"}, {"name": "r-3"}, 5, None]
    catalog = decode_catalog(document(*bad, ROUTE))
    assert catalog is not None
    assert [route.name for route in catalog.routes] == ["r-1"]


def test_a_server_without_an_address_is_skipped() -> None:
    missing = {key: value for key, value in SERVER.items() if key != "address"}
    assert decode_server(stored(missing, "servers/i-1")) is None
    entry = decode_server(stored(SERVER, "servers/i-2"))
    assert entry is not None
    assert entry.models == {"m": frozenset({"a1"})}
    assert entry.on_disk == {"m", "n"}


@pytest.mark.parametrize(
    "invalid_fields",
    [
        {"address": "999.2.3.4:8080"},
        {"address": "10.1.0.9:599999"},
        {"address": "10.1.0.9:0"},
        {"address": 5},
        {"service": None},
        {"service": ""},
        {"zone": 7},
        {"slots": "64"},
        {"slots": True},
        {"slots": 0},
        {"state": "asleep"},
        {"sequence": 1.5},
        {"sequence": "4"},
        {"born": 17.5},
        {"born": "17"},
        {"born": True},
        {"models": {"name": "m"}},
        {"models": [{"name": 5}]},
        {"available": []},
    ],
)
def test_a_server_with_an_invalid_field_is_skipped(
    invalid_fields: dict[str, Any],
) -> None:
    assert decode_server(stored({**SERVER, **invalid_fields}, "servers/i-1")) is None


@pytest.mark.parametrize("missing", ["service", "zone", "version", "slots", "state"])
def test_a_server_without_a_required_field_is_skipped(missing: str) -> None:
    raw = {key: value for key, value in SERVER.items() if key != missing}
    assert decode_server(stored(raw, "servers/i-1")) is None


def test_the_start_time_of_a_servers_instance_is_decoded() -> None:
    entry = decode_server(stored({**SERVER, "born": 1_790_000_000_123}, "servers/i-1"))
    assert entry is not None and entry.born_ms == 1_790_000_000_123


@given(st.binary(max_size=40))
def test_arbitrary_bytes_in_a_document_raise_nothing(value: bytes) -> None:
    decode_catalog(StoredObject("config/main", 5, value))
    decode_server(StoredObject("servers/i-1", 5, value))
    decode_lease(StoredObject("leases/placement", 5, value))


values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*ROUTE, *SERVER]), inner, max_size=4)
    ),
    max_leaves=12,
)


@given(values)
def test_arbitrary_json_in_a_document_raises_nothing(raw: Any) -> None:
    decode_catalog(stored(raw))
    decode_server(stored(raw, "servers/i-1"))
    decode_lease(stored(raw, "leases/placement"))
    decode_catalog(stored({"version": 1, "routes": raw, "services": raw}))


def test_a_services_objectives_are_the_strictest_of_its_routes() -> None:
    lenient = {**ROUTE, "name": "r-2", "targetLatencyMs": 4000, "targetGapMs": None}
    strict = {**ROUTE, "name": "r-3", "targetLatencyMs": 900, "targetGapMs": 150}
    catalog = decode_catalog(document(ROUTE, lenient, strict))
    assert catalog is not None
    strictest = catalog.objectives["llm"]
    assert (strictest.first_s, strictest.gap_s) == (0.6, 0.15)
    assert "other" not in catalog.objectives
