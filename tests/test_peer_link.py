"""Forwarding of the holder's state messages within a data centre."""

from dataclasses import replace
from typing import Any, cast

import pytest
from entry_builders import a_peer_state
from test_peer_exchange import an_exchange

from rosepath.clock import ManualClock
from rosepath.peer_exchange import PeerExchange
from rosepath.peer_link import MAX_PAUSE_S
from rosepath.peer_messages import ForwardedState, Message, PeerState, decode, encode


class RecordingTransport:
    """A transport that records the decoded messages and their addresses."""

    def __init__(self) -> None:
        self.messages: list[tuple[Message | None, tuple[str, int]]] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.messages.append((decode(data), address))

    def is_closing(self) -> bool:
        return False


def encoded_state() -> bytes:
    state = a_peer_state("holder", data_centre="b", term=3)
    return encode(
        replace(
            state, known_ago_s=0.2, complete_ago_s=5.0, configuration_known_ago_s=0.3
        )
    )


def a_link(
    clock: ManualClock, monkeypatch: pytest.MonkeyPatch
) -> tuple[PeerExchange, RecordingTransport]:
    exchange, sent = an_exchange("vm", clock, monkeypatch), RecordingTransport()
    exchange.link.connection_made(cast(Any, sent))
    return exchange, sent


def test_a_forwarded_message_carries_its_longest_possible_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = ManualClock()
    exchange, sent = a_link(clock, monkeypatch)
    exchange.link.note_running()
    clock.advance(0.15)
    forwarded = ForwardedState(
        payload=encoded_state(), forward_to=("10.0.0.1:7", "10.0.0.2:7")
    )
    exchange.link.datagram_received(encode(forwarded), ("", 0))
    expected = ForwardedState(payload=encoded_state(), delay_s=0.15)
    assert sent.messages == [
        (expected, ("10.0.0.1", 7)),
        (expected, ("10.0.0.2", 7)),
    ]
    # This VM has applied it as well.
    assert exchange.peers.last_holder_message() == ("s1", 1)


def test_the_forwarding_delay_is_added_to_reported_ages(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    exchange, sent = a_link(ManualClock(), monkeypatch)
    exchange._tables.servers_watcher.age.note_store_read(999.0)
    exchange.link.datagram_received(
        encode(ForwardedState(payload=encoded_state(), delay_s=0.4)), ("", 0)
    )
    assert sent.messages == []
    assert exchange._tables.servers_watcher.age.reported_age_s == pytest.approx(0.6)
    assert exchange._tables.catalog_watcher.age.reported_age_s == pytest.approx(0.7)


def test_a_vm_that_was_frozen_forwards_no_message(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # When it resumes, it finds a message that waited in its socket for
    # seconds. Forwarded unchanged, its reported age would be too low, and the
    # data centre would send requests to a server that has departed meanwhile.
    clock = ManualClock()
    exchange, sent = a_link(clock, monkeypatch)
    exchange.link.note_running()
    clock.advance(MAX_PAUSE_S + 2.0)
    forwarded = ForwardedState(payload=encoded_state(), forward_to=("10.0.0.1:7",))
    exchange.link.datagram_received(encode(forwarded), ("", 0))
    assert sent.messages == []


def test_a_vm_whose_machine_was_suspended_forwards_no_message(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The monotonic clock stops during suspension and does not show the pause.
    boot_clock = ManualClock()
    exchange, sent = a_link(ManualClock(), monkeypatch)
    exchange.link._boot_clock = boot_clock
    exchange.link.note_running()
    boot_clock.advance(5.0)
    forwarded = ForwardedState(payload=encoded_state(), forward_to=("10.0.0.1:7",))
    exchange.link.datagram_received(encode(forwarded), ("", 0))
    assert sent.messages == []


def test_a_nested_forwarded_message_is_neither_forwarded_nor_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    exchange, sent = a_link(ManualClock(), monkeypatch)
    exchange.link.note_running()
    inner = encode(ForwardedState(payload=encoded_state(), forward_to=("10.0.0.1:7",)))
    exchange.link.datagram_received(encode(ForwardedState(payload=inner)), ("", 0))
    assert sent.messages == [] and not exchange.peers.last_holder_message()[0]


@pytest.mark.parametrize("head", [b"", b"{", b"[]", b'{"to":1,"l":0}', b'{"to":[]}'])
def test_a_malformed_forwarding_header_is_rejected(head: bytes) -> None:
    assert decode(b"\x01" + head + b"\n" + encoded_state()) is None


def test_a_forwarded_message_is_decoded_as_it_was_encoded() -> None:
    forwarded = ForwardedState(
        payload=encoded_state(), forward_to=("10.0.0.1:7",), delay_s=0.25
    )
    assert decode(encode(forwarded)) == forwarded
    assert isinstance(decode(forwarded.payload), PeerState)
