"""Entries that another writer left in the store, and odd answers of engines."""

import asyncio
import json
from typing import Any

import pytest
from entry_harness import ReceivedRequest, ScriptedServer
from hypothesis import given, strategies as st
from store_wire import a_store, in_pieces, run_in_virtual_time
from test_platform_documents import ROUTE, SERVER, document, stored

from rosepath.api_keys import key_digest
from rosepath.engine_orders import EngineReport
from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool
from rosepath.object_store import StoredObject, StoreError
from rosepath.peer_exchange import decode_member
from rosepath.platform.documents import decode_catalog, decode_server
from rosepath.platform.engines import EngineClient
from rosepath.software_versions import decode_versions

DEEP = 100_000
# JSON texts that a parser, an encoder or a later computation fails on.
ODD_VALUES = {
    "digits": "7" * 5_000,
    "deep list": "[" * DEEP + "]" * DEEP,
    "deep object": '{"a":' * DEEP + "1" + "}" * DEEP,
    # Near the limits of parsers and encoders.
    "limit of depth": "[" * 985 + "]" * 985,
    "beyond 64 bits": str(2**64),
    "beyond floats": "7" * 400,
    "infinity": "1e999",
    "not a number": "NaN",
    "negative": "-1",
    "fraction": "1.5",
    "surrogate": '"\\ud800"',
    "port": '"10.1.0.9:99999999"',
    "null": "null",
}
SERVER_FIELDS = sorted({*SERVER, "born", "remainingMs"})
odd_values = pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES)


def with_odd_field(raw: dict[str, Any], field: str, odd: str) -> str:
    """Return a document as JSON with an odd value in one field."""
    return json.dumps({**raw, field: "ODD"}).replace('"ODD"', odd)


def response(body: str) -> bytes:
    data = body.encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


def listing_beside(spec: str) -> bytes:
    """Return a list of two entries, the first one with the given content."""
    odd = '{"metadata": {"name": "i-odd", "revision": 6}, "spec": ' + spec + "}"
    sound = {"metadata": {"name": "i-sound", "revision": 5}, "spec": SERVER}
    return response(f'{{"items": [{odd}, {json.dumps(sound)}], "atRevision": 7}}')


def change_beside(spec: str) -> bytes:
    """Return the response to a watch for the same two entries."""
    odd = '{"metadata": {"name": "i-odd", "revision": 6}, "spec": ' + spec + "}"
    sound = {"metadata": {"name": "i-sound", "revision": 5}, "spec": SERVER}
    events = f'[{{"object": {odd}}}, {{"object": {json.dumps(sound)}}}]'
    return response(f'{{"events": {events}, "atRevision": 7}}')


# Guards against entry VMs that follow no server any more, and never become ready
# after a restart, because of one entry.
@odd_values
@pytest.mark.parametrize("call", ["list", "watch"])
def test_an_odd_entry_leaves_the_others_readable(odd: str, call: str) -> None:
    async def run() -> None:
        if call == "list":
            objects = (await a_store().list("servers")).objects
        else:
            change = await a_store().changes("servers", after=4, wait_s=1.0)
            objects = dict(change.written)
        sound = decode_server(objects["servers/i-sound"])
        assert sound is not None and sound.slots == SERVER["slots"]
        # Not even a server whose every field can be used.
        decode_server(objects["servers/i-odd"])

    for field in ("version", "note"):
        spec = with_odd_field(SERVER, field, odd)
        raw = listing_beside(spec) if call == "list" else change_beside(spec)
        pieces = in_pieces(raw, 10, first_s=0.01, gap_s=0.01)
        run_in_virtual_time(lambda _, pieces=pieces: pieces, run)


# Guards against a number or name that breaks a message, a header or a computation
# far from the entry that it came from.
@odd_values
@pytest.mark.parametrize("field", SERVER_FIELDS)
def test_a_server_with_an_odd_field_is_usable_or_skipped(odd: str, field: str) -> None:
    text = with_odd_field(SERVER, field, odd)
    entry = decode_server(StoredObject("servers/i-1", 5, text.encode()))
    if entry is None:
        return
    for name in (entry.service, entry.data_centre, entry.software_version):
        name.encode()
    for number in (entry.slots, entry.sequence, entry.born_ms):
        assert 0 <= number < 2**63
    assert entry.remaining_s is None or 0 <= entry.remaining_s < 1e12
    assert entry.address == SERVER["address"]


# Guards against a configuration that is not in force because of one odd route.
@odd_values
@pytest.mark.parametrize("field", sorted(ROUTE))
def test_an_odd_route_leaves_the_others_in_force(odd: str, field: str) -> None:
    text = document(ROUTE, "ODD").value.decode()
    odd_route = with_odd_field({**ROUTE, "host": "odd.example"}, field, odd)
    catalog = decode_catalog(
        StoredObject("config/main", 5, text.replace('"ODD"', odd_route).encode())
    )
    assert catalog is not None
    assert catalog.find("court.example", "/drafts/7") is not None
    for route in catalog.routes:
        assert 0 < route.timeout_s < 1e12
        assert 0 <= route.target_latency_s < 1e12
        assert 0 <= route.target_gap_s < 1e12


# Guards against a configuration that is not in force because of one API key.
@odd_values
def test_an_odd_key_leaves_the_others_in_force(odd: str) -> None:
    tenants = f'[{{"name": "clerks", "apiKeys": [{odd}, "sound-key"]}}]'
    text = (
        document(ROUTE).value.decode().removesuffix("}") + f', "tenants": {tenants}}}'
    )
    catalog = decode_catalog(StoredObject("config/main", 5, text.encode()))
    assert catalog is not None
    assert catalog.workspace(key_digest("sound-key")) is not None


# Guards against an entry VM whose socket for state messages ends with the first one
# to a port that does not exist.
@pytest.mark.parametrize(
    "address", ["10.0.0.1:99999999", "10.0.0.1:-1", "10.0.0.1:٣", "vm.example:7", "x"]
)
def test_a_member_with_an_invalid_address_is_skipped(address: str) -> None:
    assert decode_member(stored({"address": address}, "rosepath-entry-vms/a")) is None


@odd_values
@pytest.mark.parametrize("field", ["address", "data_centre"])
def test_an_odd_member_raises_nothing(odd: str, field: str) -> None:
    text = with_odd_field({"address": "10.0.0.1:7"}, field, odd)
    member = decode_member(StoredObject("rosepath-entry-vms/a", 5, text.encode()))
    assert member is None or member.address == "10.0.0.1:7"
    assert member is None or member.data_centre.encode() is not None


# Guards against a record of software versions that stops the loop which reads it.
@odd_values
def test_an_odd_record_of_versions_raises_nothing(odd: str) -> None:
    text = f'{{"llm": {odd}}}'
    decode_versions(StoredObject("rosepath-versions/main", 5, text.encode()))


REPORT: dict[str, Any] = {
    "sequence": 3,
    "busy": False,
    "born": 5,
    "models": [{"name": "m", "adapters": ["a@1"]}],
    "pending": [],
}


# Guards against one engine's report that stops the planning of all.
@odd_values
@pytest.mark.parametrize("field", sorted(REPORT))
def test_an_odd_report_is_usable_or_an_error_of_its_engine(
    odd: str, field: str
) -> None:
    async def respond(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(response(with_odd_field(REPORT, field, odd)))

    async def run() -> EngineReport:
        scripted = ScriptedServer("i-1", respond)
        listener = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
        pool = HttpPool()
        host, port = listener.sockets[0].getsockname()
        try:
            return await EngineClient(pool=pool).report(f"{host}:{port}", "i-1")
        finally:
            pool.close()
            listener.close()

    try:
        report = asyncio.run(run())
    except ExchangeError as error:
        assert error.peer
        return
    assert 0 <= report.sequence < 2**63
    assert 0 <= report.born_ms < 2**63


# Guards against a page without names or revisions that is taken for the end of a
# loop of the entry VM.
@pytest.mark.parametrize(
    "body",
    [
        "[]",
        "{}",
        '{"items": 5, "atRevision": 1}',
        '{"items": [{}], "atRevision": 1}',
        '{"items": [{"metadata": {"name": "a"}}], "atRevision": 1}',
        '{"items": [], "atRevision": "x"}',
        '{"items": [], "atRevision": 1, "hasMore": true}',
    ],
)
def test_a_malformed_page_is_an_error_of_the_store(body: str) -> None:
    async def run() -> None:
        with pytest.raises(StoreError):
            await a_store().list("servers")

    run_in_virtual_time(lambda _: [(0.01, response(body))], run)


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists))
def test_arbitrary_values_in_a_server_raise_nothing(value: Any) -> None:
    for field in SERVER_FIELDS:
        decode_server(stored({**SERVER, field: value}, "servers/i-1"))
