"""Cost of applying a state message as the fleet grows.

Each VM receives messages from all others. When each message caused a scan of
all peers, the work of the fleet grew with the cube of its size: at a few dozen
VMs it took a third of a VM's processor time and delayed requests.
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

# Allows for the occasional resizing of a dict; a scan of the peers shows as a
# factor of four or more.
COST_TOLERANCE = 1.2


def count_instructions(call: Callable[[], None]) -> int:
    """Return the number of bytecode instructions that a call executes."""
    instructions = 0

    def trace(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal instructions
        frame.f_trace_opcodes = True
        instructions += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return instructions


def receive_state(exchange: PeerExchange, peer: str, number: int) -> None:
    state = a_peer_state(peer, number=number, data_centre="b")
    exchange.link.datagram_received(encode(state), ("", 0))


def message_cost(exchange: PeerExchange, peers: int) -> int:
    for peer in range(peers):
        receive_state(exchange, f"vm-{peer}", 1)
    return count_instructions(lambda: receive_state(exchange, "vm-3", 2))


@pytest.mark.parametrize("term", [0, 1])
@pytest.mark.parametrize(("few", "many"), [(5, 20), (20, 200), (40, 400)])
def test_message_cost_does_not_depend_on_the_number_of_peers(
    few: int, many: int, term: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    small = an_exchange("small", ManualClock(), monkeypatch, term=term)
    large = an_exchange("large", ManualClock(), monkeypatch, term=term)
    assert message_cost(large, many) <= COST_TOLERANCE * message_cost(small, few)


def test_message_cost_does_not_depend_on_servers_without_load(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    instructions = []
    for servers in (10, 100):
        exchange = an_exchange("vm", ManualClock(), monkeypatch)
        for number in range(servers):
            exchange._tables.fleet.put(an_entry(f"i-{number}"))
        instructions.append(message_cost(exchange, 20))
    assert instructions[1] <= COST_TOLERANCE * instructions[0]


def test_load_missing_from_the_next_message_is_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Only the servers of the previous message are visited again. Load that is
    # missing from the new one must be dropped, or the servers would count as
    # busy indefinitely.
    exchange = an_exchange("vm", ManualClock(), monkeypatch)
    servers = exchange._tables.fleet.servers
    for name in ("i-1", "i-2"):
        exchange._tables.fleet.put(an_entry(name))
    for number, loaded in enumerate((("i-1", "i-2"), ("i-2",), ()), 1):
        state = a_peer_state("vm-3", number=number)
        load = {name: PeerLoad(requests=number) for name in loaded}
        exchange._apply_load(replace(state, load=load))
        counted = {name: server.requests for name, server in servers.items()}
        assert counted == {
            name: number if name in loaded else 0 for name in ("i-1", "i-2")
        }
