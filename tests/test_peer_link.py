"""How a holder's word is forwarded inside a data centre."""

from dataclasses import replace
from typing import Any, cast

import pytest
from entry_builders import a_peer_state
from test_peer_exchange import an_exchange

from rosepath.clock import ManualClock
from rosepath.peer_exchange import PeerExchange
from rosepath.peer_link import ASLEEP_S
from rosepath.peer_messages import Forwarded, Message, PeerState, decode, encode


class Sent:
    """Keep what is sent, by address."""

    def __init__(self) -> None:
        self.messages: list[tuple[Message | None, tuple[str, int]]] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.messages.append((decode(data), address))

    def is_closing(self) -> bool:
        return False


def a_word() -> bytes:
    state = a_peer_state("holder", data_centre="b", term=3)
    return encode(
        replace(
            state, known_ago_s=0.2, complete_ago_s=5.0, configuration_known_ago_s=0.3
        )
    )


def a_link(
    clock: ManualClock, monkeypatch: pytest.MonkeyPatch
) -> tuple[PeerExchange, Sent]:
    exchange, sent = an_exchange("vm", clock, monkeypatch), Sent()
    exchange.link.connection_made(cast(Any, sent))
    return exchange, sent


def test_a_word_is_forwarded_with_how_long_it_may_have_lain_here(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = ManualClock()
    exchange, sent = a_link(clock, monkeypatch)
    exchange.link.note_awake()
    clock.advance(0.15)
    forwarded = Forwarded(word=a_word(), forward_to=("10.0.0.1:7", "10.0.0.2:7"))
    exchange.link.datagram_received(encode(forwarded), ("", 0))
    expected = Forwarded(word=a_word(), late_s=0.15)
    assert sent.messages == [
        (expected, ("10.0.0.1", 7)),
        (expected, ("10.0.0.2", 7)),
    ]
    # It is this VM's, too.
    assert exchange.peers.heard_holder() == ("s1", 1)


def test_a_word_that_was_forwarded_vouches_for_no_more_than_it_may(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    exchange, sent = a_link(ManualClock(), monkeypatch)
    exchange._tables.servers_feed.age.note_look(999.0)
    exchange.link.datagram_received(
        encode(Forwarded(word=a_word(), late_s=0.4)), ("", 0)
    )
    assert sent.messages == []
    assert exchange._tables.servers_feed.age.told_age_s == pytest.approx(0.6)
    assert exchange._tables.catalog_feed.age.told_age_s == pytest.approx(0.7)


def test_a_vm_that_was_frozen_forwards_no_word(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # It wakes and finds a word that lay in its socket for seconds. Forwarded as it
    # is, a data centre would go by a table for which nobody vouches, and send
    # requests to a server that left meanwhile.
    clock = ManualClock()
    exchange, sent = a_link(clock, monkeypatch)
    exchange.link.note_awake()
    clock.advance(ASLEEP_S + 2.0)
    forwarded = Forwarded(word=a_word(), forward_to=("10.0.0.1:7",))
    exchange.link.datagram_received(encode(forwarded), ("", 0))
    assert sent.messages == []


def test_a_vm_whose_machine_was_suspended_forwards_no_word(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The steady clock stands still meanwhile: by it the VM never slept.
    boot_clock = ManualClock()
    exchange, sent = a_link(ManualClock(), monkeypatch)
    exchange.link._boot = boot_clock
    exchange.link.note_awake()
    boot_clock.advance(5.0)
    forwarded = Forwarded(word=a_word(), forward_to=("10.0.0.1:7",))
    exchange.link.datagram_received(encode(forwarded), ("", 0))
    assert sent.messages == []


def test_no_word_inside_a_word_is_forwarded(monkeypatch: pytest.MonkeyPatch) -> None:
    exchange, sent = a_link(ManualClock(), monkeypatch)
    exchange.link.note_awake()
    inner = encode(Forwarded(word=a_word(), forward_to=("10.0.0.1:7",)))
    exchange.link.datagram_received(encode(Forwarded(word=inner)), ("", 0))
    assert sent.messages == [] and not exchange.peers.heard_holder()[0]


@pytest.mark.parametrize("head", [b"", b"{", b"[]", b'{"to":1,"l":0}', b'{"to":[]}'])
def test_a_spoilt_word_is_no_message(head: bytes) -> None:
    assert decode(b"\x01" + head + b"\n" + a_word()) is None


def test_a_word_and_its_way_survive_the_wire() -> None:
    forwarded = Forwarded(word=a_word(), forward_to=("10.0.0.1:7",), late_s=0.25)
    assert decode(encode(forwarded)) == forwarded
    assert isinstance(decode(forwarded.word), PeerState)
