"""Encoding of messages between entry VMs, and what their order implies."""

import json
import zlib
from dataclasses import replace

import pytest
from entry_builders import a_peer_state
from hypothesis import given, strategies as st

from rosepath.clock import ManualClock
from rosepath.demand import ModelDemand
from rosepath.fleet import LeavingServer, PeerLoad
from rosepath.model_arrivals import ModelArrival
from rosepath.peer_messages import (
    MAX_MESSAGE_BYTES,
    AdapterReply,
    AdapterRequest,
    LeaseHandover,
    PeerState,
    ResidencyChange,
    decode,
    encode,
)
from rosepath.peer_table import PeerTable


def test_decoded_messages_equal_the_encoded_ones() -> None:
    state = PeerState(
        entry_vm="vm-1",
        data_centre="a",
        address="127.0.0.1:7",
        start="x",
        number=3,
        term=2,
        lease_version=9,
        holder_ack=("y", 4),
        store_ago_s=0.25,
        resigned_version=8,
        last_action_age_s=1.5,
        handover=LeaseHandover("vm-2", 9, 2),
        load={"e1": PeerLoad(requests=2, unread_tokens=5, targets={"m/a1": 2})},
        demand={"llm": {"m": ModelDemand(0.5, 1, frozenset(["a1"]), 0.75, 2.5)}},
        known_ago_s=0.125,
        complete_ago_s=5.0,
        configuration_known_ago_s=0.5,
        leaving=(LeavingServer("e9", 17), LeavingServer("e8", 0, 41)),
        occupied=("e2",),
        arrivals=(ModelArrival("e3", "m2", 1.25),),
        residency_changes=(ResidencyChange(1, "e1", "m", "a1", True),),
    )
    ask = AdapterRequest(
        adapter_request_id="1",
        reply_to="h:1",
        server="e",
        service="s",
        model="m",
        adapter="a",
    )
    for message in (state, ask, AdapterReply(adapter_request_id="1", ready=True)):
        assert decode(encode(message)) == message


def test_a_large_message_is_compressed_to_one_packet() -> None:
    # Uncompressed, messages to ninety VMs would saturate the holder's link.
    totals = {
        f"i-{number:010x}": PeerLoad(requests=number, unread_tokens=9)
        for number in range(70)
    }
    state = replace(a_peer_state("vm-1", term=1), totals=totals)
    data = encode(state)
    assert len(data) < 1400
    assert decode(data) == state


@given(st.binary(max_size=200) | st.text(max_size=80).map(str.encode))
def test_invalid_datagrams_are_dropped(data: bytes) -> None:
    assert decode(data) is None


def test_a_reordered_older_message_is_not_applied() -> None:
    table = PeerTable("me", clock=ManualClock())
    assert table.apply_state(a_peer_state("vm-1", number=5))
    assert not table.apply_state(a_peer_state("vm-1", number=4))


def test_a_data_centre_is_cut_off_while_its_vms_send_nothing() -> None:
    # Requests sent to a partitioned data centre hang until the inactivity
    # timeout. Missing messages of its VMs reveal the partition earlier.
    clock = ManualClock()
    table = PeerTable("me", clock=clock)
    table.apply_state(a_peer_state("vm-1", number=1, data_centre="b"))
    table.apply_state(a_peer_state("vm-2", number=1, data_centre="c"))
    clock.advance(0.6)
    table.apply_state(a_peer_state("vm-2", number=2, data_centre="c"))
    assert table.cut_off("a") == {"b"}
    table.apply_state(a_peer_state("vm-1", number=2, data_centre="b"))
    assert table.cut_off("a") == set()


def test_the_holder_is_the_live_claimant_with_the_highest_term() -> None:
    clock = ManualClock()
    table = PeerTable("me", clock=clock)
    table.apply_state(a_peer_state("vm-1", term=3))
    table.apply_state(a_peer_state("vm-2", term=4))
    holder = table.holder()
    assert holder is not None and holder.name == "vm-2"
    clock.advance(1.0)
    assert table.holder() is None


# Guards against an entry VM that a datagram of some kilobytes takes over its memory.
def test_a_message_that_unpacks_to_more_than_the_limit_is_dropped() -> None:
    message = {"t": "reply", "id": "x" * MAX_MESSAGE_BYTES, "ok": True}
    assert decode(zlib.compress(json.dumps(message).encode())) is None


# Guards against errors of the parser in the loop that receives all messages.
@pytest.mark.parametrize(
    "data",
    [
        b'{"t": "reply", "id": ' + b"[" * 50_000,
        b'{"t": "reply", "id": ' + b"7" * 5_000 + b', "ok": true}',
        b"\xff\xfe",
        zlib.compress(b'{"t": "reply"}')[:-4],
        b'{"t": 7}',
        b"[]",
    ],
)
def test_a_message_that_cannot_be_read_is_dropped(data: bytes) -> None:
    assert decode(data) is None
