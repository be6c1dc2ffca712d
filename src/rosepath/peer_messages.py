"""What entry VMs tell each other in datagrams."""

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from rosepath.crash_records import CrashReport, Exposure, ServerLife
from rosepath.demand import ModelDemand
from rosepath.fleet import LeavingServer, PeerLoad
from rosepath.model_arrivals import ModelArrival

# A holder tells every VM of a crowd the load of all engines: below 1,400 bytes
# for 70 of them once compressed. Small messages are sent as they are.
COMPRESS_OVER_BYTES = 600
# Stands for "not yet" where the time since something is told.
NEVER_S = 1e6
ZLIB_MARK = b"\x78"
FORWARDED_MARK = b"\x01"


class Bequest(NamedTuple):
    """Name who holds a lease on from a version, after its holder's fence.

    The word of a holder that stops while the store can't take the lease back.
    """

    heir: str = ""
    version: int = 0
    fence: int = 0


NO_BEQUEST = Bequest()


class HeldMove(NamedTuple):
    """Tell that a model, or an adapter of it, came to an engine or went.

    Numbered, so that the word of it is heeded once however often it is heard.
    """

    number: int
    server: str
    model: str
    adapter: str
    there: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerState:
    """Tell what one entry VM has in flight, believes, and is asked for.

    `start` differs each time its process starts; `term` is set while it holds
    the placement lease; `heard` is the start and the number of the word that it
    last heard of the holder. `leaving` names servers that it saw leave: if it
    speaks as the holder, all that left from `complete_ago_s` to `known_ago_s`
    ago; the latter is as of when it knows the servers, and the like of
    `configuration_known_ago_s`. `crashes` tells which requests were at crashes of
    servers, `cleared` which of them completed a run since, `quarantined` which cause
    crashes, and `isolated` maps those that may to the servers at which they run.
    """

    entry_vm: str
    data_centre: str
    address: str
    start: str
    number: int
    stopping: bool = False
    servers_revision: int = 0
    configuration_revision: int = 0
    term: int = 0
    lease_version: int = 0
    heard: tuple[str, int] = ("", 0)
    store_ago_s: float = NEVER_S
    known_ago_s: float = NEVER_S
    complete_ago_s: float = 0.0
    configuration_known_ago_s: float = NEVER_S
    resigned_version: int = 0
    acted_ago_s: float = 0.0
    bequest: Bequest = NO_BEQUEST
    load: Mapping[str, PeerLoad] = field(default_factory=dict)
    demand: Mapping[str, Mapping[str, ModelDemand]] = field(default_factory=dict)
    leaving: tuple[LeavingServer, ...] = ()
    down: tuple[str, ...] = ()
    occupied: tuple[str, ...] = ()
    moves: tuple[HeldMove, ...] = ()
    totals: Mapping[str, PeerLoad] = field(default_factory=dict)
    arrivals: tuple[ModelArrival, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    cleared: tuple[str, ...] = ()
    quarantined: tuple[str, ...] = ()
    isolated: Mapping[str, str] = field(default_factory=dict)

    def late_by(self, late_s: float) -> "PeerState":
        """Return this word as it vouches if it was on its way for longer."""
        return replace(
            self,
            known_ago_s=self.known_ago_s + late_s,
            configuration_known_ago_s=self.configuration_known_ago_s + late_s,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class AdapterAsk:
    """Ask the lease's holder to get an adapter onto an engine."""

    ask_id: str
    reply_to: str
    server: str
    service: str
    model: str
    adapter: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AdapterReply:
    """Tell whether the adapter is there."""

    ask_id: str
    ready: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Forwarded:
    """Carry another VM's word by way of a VM that forwards it.

    `forward_to` are the addresses to which its receiver forwards it; `late_s` is
    how long, at most, the word lay with the VM that forwarded it.
    """

    word: bytes
    forward_to: tuple[str, ...] = ()
    late_s: float = 0.0


Message = PeerState | AdapterAsk | AdapterReply | Forwarded


def encode(message: Message) -> bytes:
    """Encode a message for one datagram."""
    if isinstance(message, Forwarded):
        head = {"to": message.forward_to, "l": round(message.late_s, 3)}
        return FORWARDED_MARK + json.dumps(head).encode() + b"\n" + message.word
    data = json.dumps(_raw(message), separators=(",", ":")).encode()
    return zlib.compress(data) if len(data) > COMPRESS_OVER_BYTES else data


def decode(data: bytes) -> Message | None:
    """Decode a datagram; None if it is not one of ours."""
    try:
        if data[:1] == FORWARDED_MARK:
            head, _, word = data[1:].partition(b"\n")
            raw = json.loads(head)
            to = tuple(map(str, raw["to"]))
            return Forwarded(word=word, forward_to=to, late_s=float(raw["l"]))
        if data[:1] == ZLIB_MARK:
            data = zlib.decompress(data)
        raw = json.loads(data)
        match raw["t"]:
            case "state":
                return _state(raw)
            case "ask":
                return AdapterAsk(
                    ask_id=str(raw["id"]),
                    reply_to=str(raw["to"]),
                    server=str(raw["s"]),
                    service=str(raw["v"]),
                    model=str(raw["m"]),
                    adapter=str(raw["a"]),
                )
            case "reply":
                return AdapterReply(ask_id=str(raw["id"]), ready=bool(raw["ok"]))
    except (ValueError, KeyError, TypeError, IndexError, zlib.error):
        return None
    return None


def _raw(message: PeerState | AdapterAsk | AdapterReply) -> dict[str, Any]:
    if isinstance(message, AdapterAsk):
        return {
            "t": "ask",
            "id": message.ask_id,
            "to": message.reply_to,
            "s": message.server,
            "v": message.service,
            "m": message.model,
            "a": message.adapter,
        }
    if isinstance(message, AdapterReply):
        return {"t": "reply", "id": message.ask_id, "ok": message.ready}
    return {
        "t": "state",
        "vm": message.entry_vm,
        "dc": message.data_centre,
        "at": message.address,
        "st": message.start,
        "n": message.number,
        "x": int(message.stopping),
        "r": message.servers_revision,
        "c": message.configuration_revision,
        "h": message.term,
        "e": message.lease_version,
        "b": list(message.heard),
        "k": round(min(message.store_ago_s, NEVER_S), 2),
        "v": [
            round(min(message.known_ago_s, NEVER_S), 3),
            round(message.complete_ago_s, 3),
            round(min(message.configuration_known_ago_s, NEVER_S), 3),
        ],
        "q": [message.resigned_version, round(message.acted_ago_s, 3)],
        "i": list(message.bequest),
        "l": _raw_loads(message.load),
        "s": _raw_loads(message.totals),
        "w": {
            service: {
                model: [
                    round(demand.load, 4),
                    demand.waiting,
                    sorted(demand.adapters),
                    round(demand.fresh_load, 4),
                    round(demand.asked_per_s, 2),
                ]
                for model, demand in models.items()
            }
            for service, models in message.demand.items()
        },
        "a": [[*arrival[:2], round(arrival.in_s, 2)] for arrival in message.arrivals],
        "g": [list(server) for server in message.leaving],
        "d": list(message.down),
        "u": list(message.occupied),
        "m": [
            [move.number, move.server, move.model, move.adapter, int(move.there)]
            for move in message.moves
        ],
        "cr": [
            [report.content_key, *report.life, int(report.exposure)]
            for report in message.crashes
        ],
        "cl": list(message.cleared),
        "qu": list(message.quarantined),
        "is": dict(message.isolated),
    }


def _state(raw: dict[str, Any]) -> PeerState:
    return PeerState(
        entry_vm=str(raw["vm"]),
        data_centre=str(raw["dc"]),
        address=str(raw["at"]),
        start=str(raw["st"]),
        number=int(raw["n"]),
        stopping=bool(raw["x"]),
        servers_revision=int(raw["r"]),
        configuration_revision=int(raw["c"]),
        term=int(raw["h"]),
        lease_version=int(raw["e"]),
        heard=(str(raw["b"][0]), int(raw["b"][1])),
        store_ago_s=float(raw["k"]),
        known_ago_s=float(raw["v"][0]),
        complete_ago_s=float(raw["v"][1]),
        configuration_known_ago_s=float(raw["v"][2]),
        resigned_version=int(raw["q"][0]),
        acted_ago_s=float(raw["q"][1]),
        bequest=Bequest(str(raw["i"][0]), int(raw["i"][1]), int(raw["i"][2])),
        load=_loads(raw["l"]),
        totals=_loads(raw["s"]),
        demand={
            str(service): {
                str(model): ModelDemand(
                    float(row[0]),
                    int(row[1]),
                    frozenset(map(str, row[2])),
                    float(row[3]),
                    float(row[4]),
                )
                for model, row in models.items()
            }
            for service, models in raw["w"].items()
        },
        arrivals=tuple(
            ModelArrival(str(row[0]), str(row[1]), float(row[2])) for row in raw["a"]
        ),
        leaving=tuple(
            LeavingServer(str(row[0]), int(row[1]), int(row[2])) for row in raw["g"]
        ),
        down=tuple(map(str, raw["d"])),
        occupied=tuple(map(str, raw["u"])),
        moves=tuple(
            HeldMove(int(row[0]), str(row[1]), str(row[2]), str(row[3]), bool(row[4]))
            for row in raw["m"]
        ),
        crashes=tuple(
            CrashReport(
                str(row[0]), ServerLife(str(row[1]), int(row[2])), Exposure(int(row[3]))
            )
            for row in raw["cr"]
        ),
        cleared=tuple(map(str, raw["cl"])),
        quarantined=tuple(map(str, raw["qu"])),
        isolated={str(key): str(server) for key, server in raw["is"].items()},
    )


def _raw_loads(loads: Mapping[str, PeerLoad]) -> dict[str, list[Any]]:
    return {
        name: [load.requests, load.unread_tokens, dict(load.targets)]
        for name, load in loads.items()
    }


def _loads(raw: Mapping[str, list[Any]]) -> dict[str, PeerLoad]:
    return {
        str(name): PeerLoad(
            requests=int(row[0]),
            unread_tokens=int(row[1]),
            targets={str(target): int(runs) for target, runs in row[2].items()},
        )
        for name, row in raw.items()
    }
