"""API keys of workspaces: who is served, and that no key leaves the process."""

import asyncio
import json
from dataclasses import replace
from typing import Any

import pytest
from entry_builders import a_route, a_workspace
from entry_harness import ReceivedRequest, ScriptedServer, answer, running_gateway
from hypothesis import given, settings, strategies as st
from structlog.testing import capture_logs

from rosepath.api_keys import key_digest
from rosepath.catalog import Catalog, RouteKind
from rosepath.configuration_view import ConfigurationView
from rosepath.object_store import StoredObject
from rosepath.platform.documents import decode_catalog, without_keys
from rosepath.request_context import RequestContext

KEY = "k-3f9a1c77"
ROUTE = a_route(kind=RouteKind.IDEMPOTENT, service="desk")


def a_request(*headers: str) -> str:
    return "\r\n".join(("POST /drafts/1 HTTP/1.1", "Request-Id: q1", *headers))


async def _respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(received, 200, b"done"))


def send(
    head: str, *, anonymous: bool = False, behind: bool = False
) -> tuple[bytes, list[ReceivedRequest]]:
    """Send a request; return its response and what the server received."""

    async def run() -> tuple[bytes, list[ReceivedRequest]]:
        server = ScriptedServer("i-1", _respond)
        async with running_gateway(
            server,
            route=replace(ROUTE, anonymous=anonymous),
            workspaces={KEY: a_workspace("court")},
            configuration=lambda: ConfigurationView(version=1, behind=behind),
        ) as running:
            return await running.send_request(head), server.requests

    return asyncio.run(run())


def test_a_known_key_is_replaced_by_its_workspaces_name() -> None:
    response, received = send(a_request(f"api-key: {KEY}", "Tenant: another"))
    assert b" 200 " in response
    assert received[0].headers["tenant"] == "court"
    assert "api-key" not in received[0].headers


@pytest.mark.parametrize(
    "headers",
    [
        (),
        ("Api-Key: k-unknown",),
        ("Api-Key:",),
        (f"Api-Key: {KEY}", "Api-Key: k-unknown"),
        ("Api-Key: " + "x" * 10_000,),
        (f"Authorization: Bearer {KEY}",),
    ],
)
def test_a_missing_or_unknown_key_is_refused_unsent(headers: tuple[str, ...]) -> None:
    response, received = send(a_request(*headers))
    assert b" 401 " in response and b"invalid_api_key" in response
    assert b"Retry-After" not in response
    assert received == []


def test_an_anonymous_route_needs_no_key_and_forwards_none() -> None:
    response, received = send(
        a_request(f"Api-Key: {KEY}", "Tenant: another"), anonymous=True
    )
    assert b" 200 " in response
    assert not {"api-key", "tenant"} & received[0].headers.keys()


def test_an_unknown_key_is_no_401_while_a_newer_configuration_is_known() -> None:
    # Callers do not retry a 401, and the key may be part of the newer version.
    response, received = send(a_request("Api-Key: k-new"), behind=True)
    assert b" 503 " in response and b"Retry-After" in response
    assert received == []


def test_no_key_is_logged() -> None:
    with capture_logs() as logs:
        send(a_request(f"Api-Key: {KEY}"))
        send(a_request(f"Api-Key: {KEY}x"))
    assert logs and KEY not in json.dumps(logs, default=str)
    refused = next(line for line in logs if line["event"] == "request_unrouted")
    assert refused["key_digest"] == key_digest(KEY + "x")[:8]


def test_a_workspaces_priority_goes_before_its_routes() -> None:
    contexts: list[RequestContext] = []

    async def run(priority: int | None) -> int:
        server = ScriptedServer("i-1", _respond)
        async with running_gateway(
            server,
            route=replace(ROUTE, priority=2),
            workspaces={KEY: a_workspace("court", priority=priority)},
            on_outcome=lambda context, *_: contexts.append(context),
        ) as running:
            await running.send_request(a_request(f"Api-Key: {KEY}"))
        return contexts[-1].priority

    assert asyncio.run(run(0)) == 0
    assert asyncio.run(run(None)) == 2


# Decoding


def decode(*workspaces: Any) -> Catalog:
    raw = {"version": 1, "routes": [], "services": [], "tenants": list(workspaces)}
    catalog = decode_catalog(StoredObject("config/main", 1, json.dumps(raw).encode()))
    assert catalog is not None
    return catalog


def names(catalog: Catalog, *keys: str) -> list[str | None]:
    found = [catalog.workspace(key_digest(key)) for key in keys]
    return [workspace.name if workspace else None for workspace in found]


def test_a_configuration_without_workspaces_requires_no_key() -> None:
    raw = {"version": 1, "routes": [], "services": []}
    catalog = decode_catalog(StoredObject("config/main", 1, json.dumps(raw).encode()))
    assert catalog is not None and not catalog.requires_key(ROUTE)
    assert decode().requires_key(ROUTE)


def test_invalid_workspaces_leave_the_others_in_force() -> None:
    catalog = decode(
        {"name": "a", "apiKeys": ["k-a", "", 7, None]},
        {"name": "", "apiKeys": ["k-none"]},
        {"apiKeys": ["k-none"]},
        {"name": "a", "apiKeys": ["k-second"]},
        {"name": "b", "apiKeys": ["k-a", "k-b"], "priority": "high"},
        {"name": "c", "apiKeys": "k-c"},
        {"name": "d", "apiKeys": ["k-a", "k-d"]},
        5,
    )
    assert names(catalog, "k-a", "k-d") == ["a", "d"]
    assert names(catalog, "", "k-none", "k-second", "k-b", "k-c") == [None] * 5


@pytest.mark.parametrize("rate", [-1, "fast", None, [], 1e400])
def test_an_invalid_rate_leaves_the_keys_in_force(rate: Any) -> None:
    catalog = decode({"name": "a", "apiKeys": ["k"], "ratePerS": rate, "burst": 3})
    workspace = catalog.workspace(key_digest("k"))
    assert workspace is not None and workspace.quota is None


def test_a_request_costs_its_tokens_or_the_plain_cost() -> None:
    catalog = decode(
        {
            "name": "a",
            "apiKeys": ["k"],
            "ratePerS": 10.5,
            "burst": 20,
            "unit": "token_stream",
            "plainTokens": 200,
        }
    )
    workspace = catalog.workspace(key_digest("k"))
    assert workspace is not None and workspace.quota is not None
    assert [workspace.quota.cost(tokens) for tokens in (None, 0, 57_000)] == [
        200,
        0,
        57_000,
    ]


def test_a_copy_for_other_vms_holds_digests_only() -> None:
    raw = {"version": 1, "tenants": [{"name": "a", "apiKeys": [KEY], "priority": 1}]}
    stored = StoredObject("config/main", 4, json.dumps(raw).encode())
    copy = without_keys(stored)
    assert KEY.encode() not in copy.value and copy.version == 4
    catalog = decode_catalog(copy)
    assert catalog is not None and names(catalog, KEY) == ["a"]
    assert without_keys(copy) == copy


_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=6,
)
_entries = st.fixed_dictionaries(
    {},
    optional=dict.fromkeys(
        ("name", "apiKeys", "apiKeyDigests", "priority", "ratePerS", "burst", "unit"),
        _values,
    ),
)


@given(st.lists(_entries | _values, max_size=3) | _values)
@settings(derandomize=True, max_examples=200)
def test_no_workspace_entry_breaks_the_configuration(entries: Any) -> None:
    good = {"name": "good", "apiKeys": ["k-good"]}
    workspaces = [good, *entries] if isinstance(entries, list) else entries
    raw = {"version": 1, "routes": [], "services": [], "tenants": workspaces}
    stored = StoredObject("config/main", 1, json.dumps(raw).encode())
    for version in (stored, without_keys(stored)):
        catalog = decode_catalog(version)
        assert catalog is not None
        if isinstance(entries, list):
            assert names(catalog, "k-good") == ["good"]
