"""What a word of another VM costs to take in, as the fleet grows.

Each VM hears a word of all others. When each word had all peers looked through,
the work of a fleet grew with the cube of its size: at a few dozen VMs a third of
a VM's processor went to that, and requests waited behind it.
"""

import sys
from collections.abc import Callable
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest
from entry_builders import a_peer_state, an_entry
from test_peer_exchange import an_exchange

from rosepath.clock import ManualClock
from rosepath.fleet import PeerLoad
from rosepath.peer_exchange import PeerExchange
from rosepath.peer_messages import encode

# Tables double their room now and then; a scan of the peers shows as four and more.
ROOM = 1.2


def steps_of(work: Callable[[], None]) -> int:
    """Count the steps of the interpreter that some work takes."""
    steps = 0

    def trace(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal steps
        frame.f_trace_opcodes = True
        steps += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return steps


def a_word(exchange: PeerExchange, peer: str, number: int) -> None:
    state = a_peer_state(peer, number=number, data_centre="b")
    exchange.link.datagram_received(encode(state), ("", 0))


def steps_a_word(exchange: PeerExchange, peers: int) -> int:
    for peer in range(peers):
        a_word(exchange, f"vm-{peer}", 1)
    return steps_of(lambda: a_word(exchange, "vm-3", 2))


@pytest.mark.parametrize("term", [0, 1])
@pytest.mark.parametrize(("few", "many"), [(5, 20), (20, 200), (40, 400)])
def test_a_word_costs_the_same_among_more_peers(
    few: int, many: int, term: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    small = an_exchange("small", ManualClock(), monkeypatch, term=term)
    large = an_exchange("large", ManualClock(), monkeypatch, term=term)
    assert steps_a_word(large, many) <= ROOM * steps_a_word(small, few)


def test_a_word_costs_the_same_however_many_servers_it_does_not_name(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    steps = []
    for servers in (10, 100):
        exchange = an_exchange("vm", ManualClock(), monkeypatch)
        for number in range(servers):
            exchange._tables.fleet.put(an_entry(f"i-{number}"))
        steps.append(steps_a_word(exchange, 20))
    assert steps[1] <= ROOM * steps[0]


def test_work_that_a_vm_tells_of_no_more_is_no_longer_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Only what a VM told of before is looked at again; what it leaves out then
    # must go, or its engines would look busy for ever.
    exchange = an_exchange("vm", ManualClock(), monkeypatch)
    servers = exchange._tables.fleet.servers
    for name in ("i-1", "i-2"):
        exchange._tables.fleet.put(an_entry(name))
    for number, loaded in enumerate((("i-1", "i-2"), ("i-2",), ()), 1):
        state = a_peer_state("vm-3", number=number)
        load = {name: PeerLoad(requests=number) for name in loaded}
        exchange._take_load(replace(state, load=load))
        told = {name: server.requests for name, server in servers.items()}
        assert told == {
            name: number if name in loaded else 0 for name in ("i-1", "i-2")
        }
