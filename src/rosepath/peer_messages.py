"""Messages between entry VMs and their encoding as datagrams."""

import json
import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from rosepath.crash_report import (
    Cleared,
    CrashReport,
    decode_report,
    encode_report,
)
from rosepath.decompression import decompress
from rosepath.demand import ModelDemand
from rosepath.fleet import LeavingServer, PeerLoad
from rosepath.isolated_runs import IsolatedRun
from rosepath.json_decoding import decode_json
from rosepath.model_arrivals import ModelArrival
from rosepath.quota_messages import (
    QuotaMessage,
    decode_quota_fields,
    encode_quota_fields,
)
from rosepath.scheduling_messages import (
    TYPE_PREFIX as SCHEDULING_TYPE_PREFIX,
    SchedulingMessage,
    decode_scheduling_fields,
    encode_scheduling_fields,
)
from rosepath.server_limits import ServerLimit
from rosepath.stream_origin_messages import (
    TYPE_PREFIX as ORIGIN_TYPE_PREFIX,
    OriginMessage,
    decode_origin_fields,
    encode_origin_fields,
)
from rosepath.undecided_runs import UndecidedRun

# In a large fleet the holder of the placement lease sends the load of all
# engines to every entry VM: below 1,400 bytes for 70 engines once compressed.
# Messages up to this size are sent uncompressed.
COMPRESSION_THRESHOLD_BYTES = 600
# Reported as the time since an event that has not happened yet.
NEVER_S = 1e6
ZLIB_MARK = b"\x78"
# The limit of an unpacked message. A datagram of 64 kB may unpack to 64 MB.
MAX_MESSAGE_BYTES = 1024 * 1024
FORWARDED_MARK = b"\x01"


class LeaseHandover(NamedTuple):
    """Direct handover of a lease to a successor.

    A stopping holder sends it when the store is unreachable and the lease
    cannot be released there. It names the lease's version and the holder's
    fencing token.
    """

    successor: str = ""
    version: int = 0
    fence: int = 0


NO_HANDOVER = LeaseHandover()


class CoordinatorLink(NamedTuple):
    """Name the coordinator of the quotas and the bandwidth of its link."""

    entry_vm: str = ""
    link_mbps: float = 0.0


NO_COORDINATOR = CoordinatorLink()


class ResidencyChange(NamedTuple):
    """A model, or one of its adapters, loaded onto or unloaded from an engine.

    The number lets receivers apply it once however often it is sent.
    """

    number: int
    server: str
    model: str
    adapter: str
    present: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerState:
    """State message of one entry VM: its load, demand and known revisions.

    `start` identifies the sender's process and `number` the message within it;
    a message whose number is not higher than the last one applied is dropped.
    `term` is above zero while the sender holds the placement lease.
    `holder_ack` is the start and number of the last message that it applied
    from the holder.

    `load` is the sender's own. In a large fleet the holder sends `totals`, the
    load of all VMs, instead. `down` lists servers to which the sender
    failed to connect. The holder also sends `occupied`, the engines that are
    executing an order, and `arrivals`, the models that are being loaded.

    `leaving` lists departures that the sender knows of. From the holder it is
    the complete list of departures between `complete_ago_s` and `known_ago_s`
    ago. The holder's table of servers was current `known_ago_s` ago, its
    configuration `configuration_known_ago_s` ago.

    `crashes` lists the requests that were running when a server crashed,
    `cleared` those that have completed since, `quarantined` those that cause
    crashes. `isolated` lists the isolated runs of crash suspects, `undecided`
    the runs lost at servers that may have crashed.
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
    holder_ack: tuple[str, int] = ("", 0)
    store_ago_s: float = NEVER_S
    known_ago_s: float = NEVER_S
    complete_ago_s: float = 0.0
    configuration_known_ago_s: float = NEVER_S
    resigned_version: int = 0
    last_action_age_s: float = 0.0
    handover: LeaseHandover = NO_HANDOVER
    load: Mapping[str, PeerLoad] = field(default_factory=dict)
    demand: Mapping[str, Mapping[str, ModelDemand]] = field(default_factory=dict)
    leaving: tuple[LeavingServer, ...] = ()
    down: tuple[str, ...] = ()
    occupied: tuple[str, ...] = ()
    residency_changes: tuple[ResidencyChange, ...] = ()
    totals: Mapping[str, PeerLoad] = field(default_factory=dict)
    arrivals: tuple[ModelArrival, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    cleared: tuple[Cleared, ...] = ()
    quarantined: tuple[str, ...] = ()
    isolated: frozenset[IsolatedRun] = frozenset()
    undecided: frozenset[UndecidedRun] = frozenset()
    # Rate limits that servers have stated, and those that have just ended.
    limits: tuple[ServerLimit, ...] = ()
    # Bandwidth of the sender's network link.
    link_mbps: float = 0.0
    # The holder's coordinator of the quotas. In a large fleet only the holder
    # hears soon from all VMs, of which the others need to choose the same one.
    coordinator: CoordinatorLink = NO_COORDINATOR
    # Whether the sender reaches servers only through other entry VMs.
    partitioned: bool = False

    def delayed_by(self, delay_s: float) -> "PeerState":
        """Return this message with its reported ages increased by a delay."""
        return replace(
            self,
            known_ago_s=self.known_ago_s + delay_s,
            configuration_known_ago_s=self.configuration_known_ago_s + delay_s,
            cleared=tuple(Cleared(key, ago_s + delay_s) for key, ago_s in self.cleared),
            limits=tuple(
                limit._replace(stated_ago_s=limit.stated_ago_s + delay_s)
                for limit in self.limits
            ),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class AdapterRequest:
    """Request to the lease holder to load an adapter onto an engine."""

    adapter_request_id: str
    reply_to: str
    server: str
    service: str
    model: str
    adapter: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AdapterReply:
    """Reply to an adapter request; `ready` if the adapter is loaded."""

    adapter_request_id: str
    ready: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedState:
    """Another VM's encoded state message, sent through a forwarding VM.

    `forward_to` lists the addresses to which the receiver forwards it.
    `delay_s` is an upper bound on the time it waited at the forwarding VM.
    """

    payload: bytes
    forward_to: tuple[str, ...] = ()
    delay_s: float = 0.0


Message = (
    PeerState
    | AdapterRequest
    | AdapterReply
    | ForwardedState
    | QuotaMessage
    | SchedulingMessage
    | OriginMessage
)


# An infinite number has no integer.
_UNREADABLE = (
    ValueError,
    KeyError,
    TypeError,
    IndexError,
    AttributeError,
    OverflowError,
)


def encode(message: Message) -> bytes:
    """Encode a message for one datagram."""
    if isinstance(message, ForwardedState):
        head = {"to": message.forward_to, "l": round(message.delay_s, 3)}
        return FORWARDED_MARK + json.dumps(head).encode() + b"\n" + message.payload
    data = json.dumps(_encode_fields(message), separators=(",", ":")).encode()
    return zlib.compress(data) if len(data) > COMPRESSION_THRESHOLD_BYTES else data


def decode(data: bytes) -> Message | None:
    """Decode a datagram; None if it is not a valid message."""
    try:
        if data[:1] == FORWARDED_MARK:
            head, _, payload = data[1:].partition(b"\n")
            raw = decode_json(head)
            to = tuple(map(str, raw["to"]))
            return ForwardedState(
                payload=payload, forward_to=to, delay_s=float(raw["l"])
            )
        if data[:1] == ZLIB_MARK:
            data = decompress(data, max_bytes=MAX_MESSAGE_BYTES)
        raw = decode_json(data)
        if raw["t"].startswith("quota"):
            return decode_quota_fields(raw)
        if raw["t"].startswith(SCHEDULING_TYPE_PREFIX):
            return decode_scheduling_fields(raw)
        if raw["t"].startswith(ORIGIN_TYPE_PREFIX):
            return decode_origin_fields(raw)
        match raw["t"]:
            case "state":
                return _decode_state(raw)
            case "ask":
                return AdapterRequest(
                    adapter_request_id=str(raw["id"]),
                    reply_to=str(raw["to"]),
                    server=str(raw["s"]),
                    service=str(raw["v"]),
                    model=str(raw["m"]),
                    adapter=str(raw["a"]),
                )
            case "reply":
                return AdapterReply(
                    adapter_request_id=str(raw["id"]), ready=bool(raw["ok"])
                )
    except _UNREADABLE:
        return None
    return None


def _encode_fields(
    message: PeerState
    | AdapterRequest
    | AdapterReply
    | QuotaMessage
    | SchedulingMessage
    | OriginMessage,
) -> dict[str, Any]:
    if isinstance(message, QuotaMessage):
        return encode_quota_fields(message)
    if isinstance(message, SchedulingMessage):
        return encode_scheduling_fields(message)
    if isinstance(message, OriginMessage):
        return encode_origin_fields(message)
    if isinstance(message, AdapterRequest):
        return {
            "t": "ask",
            "id": message.adapter_request_id,
            "to": message.reply_to,
            "s": message.server,
            "v": message.service,
            "m": message.model,
            "a": message.adapter,
        }
    if isinstance(message, AdapterReply):
        return {"t": "reply", "id": message.adapter_request_id, "ok": message.ready}
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
        "b": list(message.holder_ack),
        "k": round(min(message.store_ago_s, NEVER_S), 2),
        "v": [
            round(min(message.known_ago_s, NEVER_S), 3),
            round(message.complete_ago_s, 3),
            round(min(message.configuration_known_ago_s, NEVER_S), 3),
        ],
        "q": [message.resigned_version, round(message.last_action_age_s, 3)],
        "i": list(message.handover),
        "l": _encode_loads(message.load),
        "s": _encode_loads(message.totals),
        "w": {
            service: {
                model: [
                    round(demand.load, 4),
                    demand.waiting,
                    sorted(demand.adapters),
                    round(demand.recent_load, 4),
                    round(demand.requests_per_s, 2),
                ]
                for model, demand in models.items()
            }
            for service, models in message.demand.items()
        },
        "a": [
            [*arrival[:2], round(arrival.arrives_in_s, 2)]
            for arrival in message.arrivals
        ],
        "g": [list(server) for server in message.leaving],
        "d": list(message.down),
        "u": list(message.occupied),
        "m": [
            [move.number, move.server, move.model, move.adapter, int(move.present)]
            for move in message.residency_changes
        ],
        "cr": [encode_report(report) for report in message.crashes],
        # Read by builds that do not know "ca".
        "cl": [cleared.key for cleared in message.cleared],
        "ca": [round(cleared.ago_s, 3) for cleared in message.cleared],
        "qu": list(message.quarantined),
        # Read by builds that do not know "ir".
        "is": {
            run.content_key: run.server if run.sent else "" for run in message.isolated
        },
        "ir": [list(run) for run in message.isolated],
        **(
            {
                "un": [
                    [run.entry_vm, *encode_report(run.report)]
                    for run in message.undecided
                ]
            }
            if message.undecided
            else {}
        ),
        "li": [[*limit[:3], round(limit.stated_ago_s, 3)] for limit in message.limits],
        "bw": message.link_mbps,
        **({"co": list(message.coordinator)} if message.coordinator.entry_vm else {}),
        "pt": int(message.partitioned),
    }


def _decode_state(raw: dict[str, Any]) -> PeerState:
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
        holder_ack=(str(raw["b"][0]), int(raw["b"][1])),
        store_ago_s=float(raw["k"]),
        known_ago_s=float(raw["v"][0]),
        complete_ago_s=float(raw["v"][1]),
        configuration_known_ago_s=float(raw["v"][2]),
        resigned_version=int(raw["q"][0]),
        last_action_age_s=float(raw["q"][1]),
        handover=LeaseHandover(str(raw["i"][0]), int(raw["i"][1]), int(raw["i"][2])),
        load=_decode_loads(raw["l"]),
        totals=_decode_loads(raw["s"]),
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
        residency_changes=tuple(
            ResidencyChange(
                int(row[0]), str(row[1]), str(row[2]), str(row[3]), bool(row[4])
            )
            for row in raw["m"]
        ),
        crashes=tuple(decode_report(row) for row in raw["cr"]),
        cleared=_decode_cleared(raw),
        quarantined=tuple(map(str, raw["qu"])),
        isolated=_decode_isolated(raw),
        undecided=frozenset(
            UndecidedRun(str(row[0]), decode_report(row[1:]))
            for row in raw.get("un", ())
        ),
        limits=tuple(_decode_limit(row) for row in raw.get("li", ())),
        link_mbps=float(raw.get("bw", 0.0)),
        coordinator=_decode_coordinator(raw.get("co", NO_COORDINATOR)),
        partitioned=bool(raw.get("pt", 0)),
    )


def _decode_cleared(raw: dict[str, Any]) -> tuple[Cleared, ...]:
    """Return what was cleared; earlier builds do not tell how long ago."""
    keys = list(map(str, raw["cl"]))
    ages_s = map(float, raw.get("ca", [0.0] * len(keys)))
    return tuple(map(Cleared, keys, ages_s))


def _decode_coordinator(raw: Sequence[Any]) -> CoordinatorLink:
    return CoordinatorLink(str(raw[0]), float(raw[1]))


def _decode_isolated(raw: dict[str, Any]) -> frozenset[IsolatedRun]:
    """Return the isolated runs; earlier builds do not name the VM of each."""
    rows = raw.get("ir")
    if rows is None:
        rows = [
            (raw["vm"], key, server, bool(server)) for key, server in raw["is"].items()
        ]
    return frozenset(
        IsolatedRun(str(entry_vm), str(key), str(server), bool(sent))
        for entry_vm, key, server, sent in rows
    )


def _decode_limit(row: list[Any]) -> ServerLimit:
    server, born_ms, limit_per_s, stated_ago_s = row
    return ServerLimit(
        str(server),
        int(born_ms),
        None if limit_per_s is None else float(limit_per_s),
        float(stated_ago_s),
    )


def _encode_loads(loads: Mapping[str, PeerLoad]) -> dict[str, list[Any]]:
    return {
        name: [load.requests, load.unread_tokens, dict(load.targets)]
        for name, load in loads.items()
    }


def _decode_loads(raw: Mapping[str, list[Any]]) -> dict[str, PeerLoad]:
    return {
        str(name): PeerLoad(
            requests=int(row[0]),
            unread_tokens=int(row[1]),
            targets={str(target): int(runs) for target, runs in row[2].items()},
        )
        for name, row in raw.items()
    }
