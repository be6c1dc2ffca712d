"""Send load and unload orders to engines and read their reports."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from rosepath.document_fields import Count, Document, Text
from rosepath.engine_orders import EngineReport, Order, OrderAction, OrderReply
from rosepath.errors import ExchangeError, Step
from rosepath.http_client import HttpPool, Request, ResponseHead
from rosepath.json_decoding import decode_json
from rosepath.platform.calls import echoed_request_id, read_notice
from rosepath.server_notice import NO_NOTICE, ServerNotice

ORDER_TIMEOUT_S = 0.6

_OPERATIONS: Mapping[OrderAction, str] = {
    OrderAction.LOAD: "model_load",
    OrderAction.UNLOAD: "model_unload",
}
_REPLIES: Mapping[int, OrderReply] = {
    200: OrderReply.HOLDS,
    202: OrderReply.ACCEPTED,
    409: OrderReply.CONFLICT,
    412: OrderReply.STALE_FENCE,
    421: OrderReply.OTHER_INSTANCE,
}


class _ReportedAdapter(Document):
    name: Text


class _ReportedModel(Document):
    name: Text
    adapters: tuple[Text | _ReportedAdapter, ...]


class _Report(Document):
    sequence: Count
    busy: Any
    born: Count = 0
    models: tuple[_ReportedModel, ...]
    pending: tuple[Text, ...] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineClient:
    """Implement the engine interface over pooled connections."""

    pool: HttpPool
    # Called with a server's name and the notice in its response.
    on_notice: Callable[[str, ServerNotice], None] = lambda _, __: None

    async def order(
        self, address: str, order: Order, *, still_wanted: Callable[[], bool]
    ) -> OrderReply:
        """Send an order; raise ExchangeError if its outcome is unknown."""
        body = {
            "operation": _OPERATIONS[order.action],
            "model": order.model,
            "expected": order.expected_sequence,
            "holder": order.holder,
            "fencingToken": order.fence,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        head, _ = await self.pool.fetch(
            _request(
                "POST",
                "/v1/order",
                address=address,
                server=order.server,
                body=json.dumps(body).encode(),
                still_wanted=still_wanted,
            )
        )
        self._forward_notice(order.server, head)
        return _REPLIES.get(head.status, OrderReply.REFUSED)

    async def report(self, address: str, server: str) -> EngineReport:
        """Read an engine's report; raise ExchangeError if that fails."""
        head, body = await self.pool.fetch(
            _request("GET", "/v1/report", address=address, server=server)
        )
        self._forward_notice(server, head)
        try:
            if head.status != 200:
                raise ValueError(f"status {head.status}")
            report = _Report.model_validate(decode_json(body))
        except ValueError as error:
            raise ExchangeError(
                f"report cannot be read: {error}",
                step=Step.RESPONSE,
                peer=address,
                sent=True,
            ) from error
        return EngineReport(
            sequence=report.sequence,
            busy=bool(report.busy),
            born_ms=report.born,
            models={
                model.name: frozenset(map(_adapter_name, model.adapters))
                for model in report.models
            },
            # Each name has the form model/name@version.
            pending=frozenset(name.partition("@")[0] for name in report.pending or ()),
        )

    def _forward_notice(self, server: str, head: ResponseHead) -> None:
        notice = read_notice(head.status, head.headers)
        if notice != NO_NOTICE:
            self.on_notice(server, notice)


def _request(method: str, path: str, *, server: str, **fields: Any) -> Request:
    return Request(
        method=method,
        path=path,
        headers={"Content-Type": "application/json", "Target-Instance": server},
        connect_timeout_s=ORDER_TIMEOUT_S,
        progress_timeout_s=ORDER_TIMEOUT_S,
        total_timeout_s=ORDER_TIMEOUT_S,
        # Late responses to callers' requests on the same connections bear an id.
        accepts=lambda head: not echoed_request_id(head.headers),
        **fields,
    )


def _adapter_name(adapter: _ReportedAdapter | str) -> str:
    return adapter.partition("@")[0] if isinstance(adapter, str) else adapter.name
