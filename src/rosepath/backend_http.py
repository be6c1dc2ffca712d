"""HTTP client of backend servers.

The wire format, JSON and server-sent events, is defined in this module only.
"""

import json
from typing import Any

from rosepath.backend import (
    Generation,
    LoadReport,
    NotRunError,
    OnBytes,
    Order,
    SendPolicy,
    StaleFenceError,
)
from rosepath.errors import ExchangeError, Step
from rosepath.http_client import HttpPool, Request, ResponseHead
from rosepath.ledger import EngineReport

CONTROL_TIMEOUT_S = 2.0
_JSON = {"Content-Type": "application/json"}


class HttpBackend:
    """Implement `BackendPort` over pooled HTTP connections."""

    def __init__(self, pool: HttpPool) -> None:
        self.pool = pool

    async def report(self, address: str) -> LoadReport:
        """Fetch a load report; raise ExchangeError on failure."""
        _, body = await self.pool.fetch(_control("GET", address, "/report"))
        try:
            return _decode_report(json.loads(body))
        except (ValueError, KeyError, TypeError) as error:
            raise _exchange_error(address, str(error)) from error

    async def order(self, address: str, order: Order) -> None:
        """Send an order; raise ExchangeError or StaleFenceError on failure."""
        body = json.dumps(
            {
                "order_id": order.order_id,
                "fence": order.fence,
                "action": order.action,
                "target": order.target,
                "memory_bytes": order.memory_bytes,
            }
        ).encode()
        head, _ = await self.pool.fetch(_control("POST", address, "/orders", body))
        if head.status == 412:
            raise StaleFenceError(
                f"fencing token {order.fence} is outdated", step=Step.SEND, peer=address
            )
        if head.status >= 400:
            raise _exchange_error(address, f"order answered {head.status}")

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel a request whose caller has disconnected; ignore failures."""
        body = json.dumps({"request_id": request_id}).encode()
        try:
            await self.pool.fetch(_control("POST", address, "/v1/cancel", body))
        except ExchangeError:
            return

    async def generate(
        self,
        address: str,
        generation: Generation,
        on_bytes: OnBytes,
        policy: SendPolicy,
    ) -> None:
        """Stream a response; raise ExchangeError or NotRunError on failure."""
        refusal: list[bytes] = []
        status = 0

        def on_head(head: ResponseHead) -> None:
            nonlocal status
            status = head.status

        def on_data(chunk: bytes) -> Any:
            if status == 200:
                return on_bytes(chunk)
            refusal.append(chunk)
            return None

        headers = dict(_JSON)
        if generation.traceparent:
            headers["traceparent"] = generation.traceparent
        request = Request(
            address=address,
            method="POST",
            path="/v1/generate",
            headers=headers,
            body=_encode_generation(generation),
            connect_timeout_s=policy.connect_timeout_s,
            progress_timeout_s=policy.progress_timeout_s,
            proven_live_within_s=policy.proven_live_within_s,
            may_abort=policy.may_abort,
        )
        await self.pool.exchange(request, on_head=on_head, on_data=on_data)
        if status != 200:
            raise _refusal_error(address, status, b"".join(refusal))


def _encode_generation(generation: Generation) -> bytes:
    return json.dumps(
        {
            "request_id": generation.request_id,
            "target": generation.target,
            "prompt": generation.prompt,
            "max_tokens": generation.max_tokens,
            "shape": generation.shape,
            "served_as": generation.served_as,
            "include_usage": generation.include_usage,
            "priority": generation.priority,
            "created": generation.created,
            "offset": generation.offset,
        }
    ).encode()


def _control(method: str, address: str, path: str, body: bytes = b"") -> Request:
    return Request(
        address=address,
        method=method,
        path=path,
        headers=_JSON if body else {},
        body=body,
        progress_timeout_s=CONTROL_TIMEOUT_S,
        total_timeout_s=CONTROL_TIMEOUT_S,
    )


def _decode_report(raw: dict[str, Any]) -> LoadReport:
    return LoadReport(
        at_s=float(raw["at_s"]),
        running=int(raw["running"]),
        queued=int(raw["queued"]),
        slots=int(raw["slots"]),
        running_by_target={str(k): int(v) for k, v in raw["running_by_target"].items()},
        closing=frozenset(raw.get("closing", ())),
        engine=EngineReport(
            memory_bytes=int(raw["memory_bytes"]),
            resident={str(k): int(v) for k, v in raw["resident"].items()},
            loading={str(k): int(v) for k, v in raw["loading"].items()},
            fence=int(raw["fence"]),
            orders={str(k): str(v) for k, v in raw["orders"].items()},
            leaving=bool(raw["leaving"]),
        ),
    )


def _refusal_error(address: str, status: int, body: bytes) -> Exception:
    try:
        raw = json.loads(body)
        if raw["ran"] is False:
            code = str(raw.get("code", "refused"))
            return NotRunError(
                f"refused: {code}", step=Step.RESPONSE, peer=address, code=code
            )
    except (ValueError, KeyError, TypeError):
        pass
    return _exchange_error(address, f"answered {status}")


def _exchange_error(address: str, message: str) -> ExchangeError:
    return ExchangeError(
        message, step=Step.RESPONSE, peer=address, sent=True, answered=False
    )
