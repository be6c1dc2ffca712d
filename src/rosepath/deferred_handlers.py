"""HTTP handlers that accept deferred requests and return their status."""

import json
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, ValidationError

from rosepath.caller_handler import Handler
from rosepath.deferred import MAX_BODY_BYTES, DeferredRequest, DeferredState
from rosepath.deferred_runner import read_status, store_request
from rosepath.errors import Run, Step, refuse
from rosepath.object_store import StoreError
from rosepath.openai_api import parse_body
from rosepath.settings import first_problem


class DeferHandler(Handler):
    """Store a request to be run later, then accept it."""

    async def post(self) -> None:
        await self.run(self._accept)

    async def _accept(self) -> None:
        self.check_ready()
        caller = self.authenticate()
        raw = _parse_deferral(self.request.body)
        body = json.dumps(raw.body)
        parsed = parse_body(raw.shape, body.encode())
        if parsed.is_error():
            raise refuse(400, "invalid_body", parsed.error, step=Step.PARSE)
        if len(body) > MAX_BODY_BYTES:
            raise refuse(413, "too_large", "the body is too large", step=Step.PARSE)
        if not self.may_reach(caller, parsed.ok.model):
            raise refuse(
                404, "model_not_found", "no such model for this caller", step=Step.ROUTE
            )
        request = DeferredRequest(
            request_id=self.request_id,
            caller=caller,
            shape=raw.shape,
            body=body,
            idempotent=self.marked_idempotent(),
            not_before_s=raw.not_before_s,
        )
        await self._store(request)
        self.set_status(202)
        await self.finish({"id": self.request_id, "status": DeferredState.QUEUED})

    async def _store(self, request: DeferredRequest) -> None:
        try:
            await store_request(self.ports.platform, request)
        except StoreError as error:
            # If the store's response was lost, the request may have been
            # stored and may run. Only a write known to have failed means
            # "not run".
            raise refuse(
                503,
                "store_unavailable",
                "the request could not be stored",
                step=Step.DEFER,
                run=Run.UNKNOWN if error.unknown else Run.NO,
                peer=error.peer,
                retry_after_s=2.0,
            ) from error


class DeferredStatusHandler(Handler):
    """Return the state of a deferred request, and its result if stored."""

    async def get(self, request_id: str) -> None:
        self.deferred_id = request_id
        await self.run(self._show)

    async def _show(self) -> None:
        self.check_ready()
        caller = self.authenticate()
        try:
            found = await read_status(self.ports.platform, self.deferred_id, caller)
        except StoreError as error:
            raise refuse(
                503,
                "store_unavailable",
                "the result cannot be read now",
                step=Step.STORE,
                peer=error.peer,
                retry_after_s=2.0,
            ) from error
        if found is None:
            raise refuse(404, "not_found", "no such deferred request", step=Step.DEFER)
        state, body = found
        response: dict[str, Any] = {"id": self.deferred_id, "status": state}
        if body:
            response["result"] = _as_json(body)
        await self.finish(response)


class _Deferral(BaseModel):
    model_config = ConfigDict(extra="forbid")

    shape: Literal["chat", "completion"] = "chat"
    not_before_s: float = 0.0
    body: dict[str, Any]


def _parse_deferral(body: bytes) -> _Deferral:
    try:
        return _Deferral.model_validate_json(body)
    except ValidationError as error:
        raise refuse(
            400, "invalid_body", first_problem(error), step=Step.PARSE
        ) from error


def _as_json(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text
