"""Messages between entry VMs about the quotas of workspaces."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaClaim:
    """State by which quota a request needs to be admitted, and its cost.

    It is the quota of a `workspace`, or the rate limit of a `server` as its
    responses state it.
    """

    workspace: str = ""
    server: str = ""
    limit_per_s: float = 0.0
    cost: float = 1.0


NO_CLAIM = QuotaClaim(cost=0.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaRequest:
    """Ask a coordinator to admit a request, and lend it the sender's share.

    Without a `claim` it only lends the share, and as a `probe` it only finds
    out whether the receiver responds. `fleet_size` is the number of entry VMs
    that the sender knows, itself included.
    """

    quota_request_id: str
    entry_vm: str
    reply_to: str
    fleet_size: int
    probe: bool = False
    claim: QuotaClaim | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaReply:
    """Reply of a coordinator.

    `left` is what could still be used of the quota at once, `share` the part of
    it that the coordinator has been lent. A coordinator that is
    `leaving` has admitted nothing.
    """

    quota_request_id: str
    granted: bool = True
    retry_after_s: float = 0.0
    left: float = 0.0
    share: float = 0.0
    leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaReturn:
    """Give back what was granted for a request that did not run.

    Without a `quota_request_id`, the sender withdraws the share that it lent.
    """

    entry_vm: str
    quota_request_id: str = ""


QuotaMessage = QuotaRequest | QuotaReply | QuotaReturn


def encode_quota_fields(message: QuotaMessage) -> dict[str, Any]:
    """Return the fields of a message, with its type as `t`."""
    match message:
        case QuotaRequest():
            return {
                "t": "quota",
                "id": message.quota_request_id,
                "vm": message.entry_vm,
                "to": message.reply_to,
                "n": message.fleet_size,
                "p": int(message.probe),
                **_encode_claim(message.claim or NO_CLAIM),
            }
        case QuotaReply():
            return {
                "t": "quota-reply",
                "id": message.quota_request_id,
                "ok": int(message.granted),
                "r": round(message.retry_after_s, 3),
                "l": round(message.left, 1),
                "s": round(message.share, 4),
                "x": int(message.leaving),
            }
        case QuotaReturn():
            return {
                "t": "quota-return",
                "id": message.quota_request_id,
                "vm": message.entry_vm,
            }


def decode_quota_fields(raw: Mapping[str, Any]) -> QuotaMessage | None:
    """Decode the fields of a message; raise ValueError, KeyError or TypeError."""
    match raw["t"]:
        case "quota":
            return QuotaRequest(
                quota_request_id=str(raw["id"]),
                entry_vm=str(raw["vm"]),
                reply_to=str(raw["to"]),
                fleet_size=int(raw["n"]),
                probe=bool(raw["p"]),
                claim=_decode_claim(raw),
            )
        case "quota-reply":
            return QuotaReply(
                quota_request_id=str(raw["id"]),
                granted=bool(raw["ok"]),
                retry_after_s=float(raw["r"]),
                left=float(raw["l"]),
                share=float(raw["s"]),
                leaving=bool(raw["x"]),
            )
        case "quota-return":
            return QuotaReturn(entry_vm=str(raw["vm"]), quota_request_id=str(raw["id"]))
    return None


def _encode_claim(claim: QuotaClaim) -> dict[str, Any]:
    return {
        "w": claim.workspace,
        "c": claim.cost,
        "s": claim.server,
        "r": claim.limit_per_s,
    }


def _decode_claim(raw: Mapping[str, Any]) -> QuotaClaim | None:
    claim = QuotaClaim(
        workspace=str(raw["w"]),
        cost=float(raw["c"]),
        # VMs of an earlier version don't know of servers' limits.
        server=str(raw.get("s", "")),
        limit_per_s=float(raw.get("r", 0.0)),
    )
    return claim if claim.workspace or claim.server else None
