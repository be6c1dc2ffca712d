"""Messages between entry VMs about where streams began."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from rosepath.stream_origins import StreamOrigin

TYPE_PREFIX = "origin"


@dataclass(frozen=True, slots=True, kw_only=True)
class OriginNotice:
    """State where a stream began."""

    key: str
    origin: StreamOrigin


@dataclass(frozen=True, slots=True, kw_only=True)
class OriginQuery:
    """Ask where a stream began; sent again, it is answered alike."""

    query_id: str
    key: str
    reply_to: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OriginReply:
    """Reply to a query; without an origin, the sender does not know it."""

    query_id: str
    entry_vm: str
    origin: StreamOrigin | None


OriginMessage = OriginNotice | OriginQuery | OriginReply


def encode_origin_fields(message: OriginMessage) -> dict[str, Any]:
    """Return the fields of a message, with its type as `t`."""
    match message:
        case OriginNotice():
            return {
                "t": "origin",
                "k": message.key,
                "o": _encode_origin(message.origin),
            }
        case OriginQuery():
            return {
                "t": "origin-query",
                "id": message.query_id,
                "k": message.key,
                "to": message.reply_to,
            }
        case OriginReply():
            return {
                "t": "origin-reply",
                "id": message.query_id,
                "vm": message.entry_vm,
                "o": _encode_origin(message.origin),
            }


def decode_origin_fields(raw: Mapping[str, Any]) -> OriginMessage | None:
    """Decode the fields of a message; raise ValueError, KeyError or TypeError."""
    match raw["t"]:
        case "origin":
            origin = _decode_origin(raw["o"])
            return OriginNotice(key=str(raw["k"]), origin=origin) if origin else None
        case "origin-query":
            return OriginQuery(
                query_id=str(raw["id"]), key=str(raw["k"]), reply_to=str(raw["to"])
            )
        case "origin-reply":
            return OriginReply(
                query_id=str(raw["id"]),
                entry_vm=str(raw["vm"]),
                origin=_decode_origin(raw["o"]),
            )
    return None


def _encode_origin(origin: StreamOrigin | None) -> list[str]:
    return [] if origin is None else [origin.service, origin.software_version]


def _decode_origin(raw: Any) -> StreamOrigin | None:
    if not raw:
        return None
    service, software_version = raw
    return StreamOrigin(service=str(service), software_version=str(software_version))
