"""Compare ways for entry VMs to know which software version began a stream.

Simulated without a network: each stream begins at a random VM, some VMs are killed or
a data centre is cut off, and the caller comes back at another VM that is left. For
each way, it shows the part of the streams whose origin is found, what each VM sends,
and, for the way that is built, the processor time of a stream.
"""

import random
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from benchmarks._private import write_table
from rosepath.clock import SystemClock
from rosepath.peer_messages import encode
from rosepath.peer_table import PeerTable
from rosepath.stream_origin_exchange import (
    StreamOriginExchange,
    choose_asked,
    choose_told,
)
from rosepath.stream_origin_messages import OriginMessage, OriginNotice
from rosepath.stream_origins import StreamOrigin, origin_key

STREAMS = 2_000
TIMED_STREAMS = 500
LOST_SHARE = 0.01
# A state message of a large fleet follows the last one after this; until then it
# has not told of a stream.
STATE_INTERVAL_S = {True: 0.15, False: 0.8}
SMALL_FLEET = 24
# From a stream's first event until it breaks off and its VM is gone.
BREAKS_AFTER_S = 1.0
ORIGIN = StreamOrigin(service="assistant-models", software_version="v1.2")


@dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """A fleet's size and the streams that begin each second in all of it."""

    vms: int
    data_centres: int
    streams_per_s: float

    @property
    def by_data_centre(self) -> dict[str, list[str]]:
        found: dict[str, list[str]] = {}
        for number in range(self.vms):
            place = f"dc-{number % self.data_centres}"
            found.setdefault(place, []).append(f"vm-{number}")
        return found


FLEETS = (
    Fleet(vms=7, data_centres=4, streams_per_s=17.0),
    Fleet(vms=91, data_centres=6, streams_per_s=180.0),
    Fleet(vms=770, data_centres=11, streams_per_s=10_000.0),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """What happens between the begin of streams and their callers' return."""

    name: str
    killed: int = 0
    cut: bool = False


SCENARIOS = (
    Scenario(name="first VM killed", killed=1),
    Scenario(name="it and two others", killed=3),
    Scenario(name="first VM killed, its data centre cut off", killed=1, cut=True),
)
# Who knows the origin of a stream, beside the VM at which it began.
Members = dict[str, list[str]]
Way = Callable[[str, str, str, Members, random.Random], Collection[str]]


def without(vm: str, members: Members) -> Members:
    """Return the VMs that one VM knows: all others."""
    return {
        place: [name for name in names if name != vm]
        for place, names in members.items()
    }


def told(count: int) -> Way:
    """Tell VMs chosen by rendezvous hashing."""

    def know(
        key: str, first: str, place: str, members: Members, rng: random.Random
    ) -> set[str]:
        chosen = choose_told(key, without(first, members), own=place, count=count)
        return {name for name in chosen if rng.random() > LOST_SHARE}

    return know


def told_to_all(
    _: str, __: str, ___: str, members: Members, rng: random.Random
) -> set[str]:
    """Tell all VMs in the next state message."""
    names = {name for group in members.values() for name in group}
    interval_s = STATE_INTERVAL_S[len(names) <= SMALL_FLEET]
    too_late = rng.uniform(0.0, interval_s) > rng.uniform(0.0, BREAKS_AFTER_S)
    return set() if too_late else names


def asked_of_all(
    _: str, first: str, __: str, ___: Members, ____: random.Random
) -> set[str]:
    """Tell nobody, and ask all VMs."""
    return {first}


WAYS: dict[str, tuple[Way, Callable[[Fleet], float]]] = {
    "asked_of_all": (asked_of_all, lambda _: 0.0),
    "told_to_1": (told(1), lambda _: 1.0),
    "told_to_2": (told(2), lambda _: 2.0),
    "told_to_3": (told(3), lambda _: 3.0),
    "told_to_all": (told_to_all, lambda fleet: fleet.vms - 1.0),
}


def share_found(fleet: Fleet, way: Way, scenario: Scenario, *, seed: int) -> float:
    """Return the part of the streams whose origin is found, of those taken up."""
    rng, found, taken_up = random.Random(seed), 0, 0
    members = fleet.by_data_centre
    places = {name: place for place, names in members.items() for name in names}
    names = list(places)
    for number in range(STREAMS):
        key, first = origin_key(str(number)), rng.choice(names)
        killed = {first, *rng.sample(names, scenario.killed - 1)}
        reached = members[places[first]] if scenario.cut else names
        left = [name for name in reached if name not in killed]
        if not left:
            continue
        taken_up += 1
        asker = rng.choice(left)
        chosen = choose_asked(key, without(asker, members), own=places[asker])
        asked = set(left) if way is asked_of_all else {asker, *chosen}
        knowing = set(way(key, first, places[first], members, rng))
        found += bool(knowing & asked & set(left))
    return found / taken_up


def time_of_a_stream(fleet: Fleet) -> float:
    """Return the processor time of a VM to begin a stream, in microseconds."""
    peers = PeerTable("vm-0", clock=SystemClock())
    for place, names in fleet.by_data_centre.items():
        for name in names:
            peers.note_address(name, "127.0.0.1:9", place)

    def send(message: OriginMessage, _: str) -> None:
        encode(message)

    exchange = StreamOriginExchange(
        "vm-0", "dc-0", "127.0.0.1:9", clock=SystemClock(), peers=peers, send=send
    )
    started_s = time.process_time()
    for number in range(TIMED_STREAMS):
        exchange.note_began(f"q{number}", ORIGIN)
    return (time.process_time() - started_s) / TIMED_STREAMS * 1e6


def main() -> None:
    """Print what is found, sent and used by each way."""
    size = len(encode(OriginNotice(key=origin_key("q"), origin=ORIGIN)))
    rows = []
    for fleet in FLEETS:
        for name, (way, recipients) in WAYS.items():
            shares = [
                f"{share_found(fleet, way, scenario, seed=7):.3f}"
                for scenario in SCENARIOS
            ]
            streams_per_s = fleet.streams_per_s / fleet.vms
            messages_per_s = recipients(fleet) * streams_per_s
            sent = f"{messages_per_s:.1f} / {messages_per_s * size / 1000:.2f}"
            rows.append([str(fleet.vms), name, *shares, sent])
    names = [scenario.name for scenario in SCENARIOS]
    header = ["VMs", "way", *names, "messages / KB sent a second by a VM"]
    write_table("Origins of streams that are found", header, rows)
    for fleet in FLEETS:
        used_us = time_of_a_stream(fleet)
        share = used_us * 1e-6 * fleet.streams_per_s / fleet.vms
        print(f"{fleet.vms} VMs: {used_us:.0f} us a stream, {share:.2%} of a core")
