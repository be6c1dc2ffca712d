"""Access the platform's object store: conditional writes, lists, watches."""

import json
from collections import Counter
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote, urlencode

from rosepath.call_deadline import fetch_with_deadline
from rosepath.clock import Clock
from rosepath.errors import ExchangeError, Step
from rosepath.hedged_calls import OnResponseStart
from rosepath.http_client import HttpPool, Request, ResponseHead
from rosepath.json_decoding import (
    DocumentError,
    decode_json_leniently,
    encode_json_leniently,
)
from rosepath.object_store import (
    Change,
    ConflictError,
    HistoryGoneError,
    Listing,
    StoreAccess,
    StoredObject,
    StoreError,
    ignore_response_start,
    malformed_as_error,
)

_PATH = "/v1/objects/"
# A page of a list or a watch has about a megabyte of values, which JSON escapes.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class PlatformStore:
    """Own the connections to the store; objects are named `kind/name`."""

    def __init__(self, access: StoreAccess, *, clock: Clock) -> None:
        self._access = access
        self._clock = clock
        self._pool = HttpPool(clock=clock)
        self.calls: Counter[str] = Counter()
        self.last_success_s = -1e9

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def get(self, name: str) -> StoredObject | None:
        head, raw = await self._call("get", "GET", _path(name))
        if head.status == 404:
            return None
        with malformed_as_error(name, peer=self._access.address):
            return _parse_object(name.partition("/")[0], raw)

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        kind, _, object_name = name.partition("/")
        metadata: dict[str, Any] = {"name": object_name}
        if expected_version:
            metadata["revision"] = expected_version
        body = json.dumps({"metadata": metadata, "spec": value.decode()}).encode()
        if expected_version == 0:
            _, raw = await self._call("create", "POST", _PATH + kind, body)
        else:
            _, raw = await self._call("replace", "PUT", _path(name), body)
        with malformed_as_error(name, peer=self._access.address):
            return int(raw["metadata"]["revision"])

    async def delete(self, name: str, *, expected_version: int) -> None:
        await self._call(
            "delete", "DELETE", f"{_path(name)}?revision={expected_version}"
        )

    async def list(
        self,
        kind: str,
        *,
        fresh: bool = False,
        on_response_start: OnResponseStart = ignore_response_start,
    ) -> Listing:
        """Read all objects of a kind page by page."""
        objects: dict[str, StoredObject] = {}
        after = ""
        revision: int | None = None
        while True:
            query = f"?{urlencode({'after': after})}" if after else ""
            path = f"{_PATH}{kind}{query}"
            _, raw = await self._read_list(
                "list", path, fresh=fresh, on_response_start=on_response_start
            )
            with malformed_as_error(path, peer=self._access.address):
                items = [_parse_object(kind, item) for item in raw["items"]]
                # A watch from the first page's revision includes all changes
                # made while later pages are read.
                revision = int(raw["atRevision"]) if revision is None else revision
                has_more = bool(raw.get("hasMore"))
                if has_more and not items:
                    raise ValueError("an empty page is followed by another one")
            objects.update((item.name, item) for item in items)
            if not has_more:
                return Listing(revision=revision, objects=objects)
            after = items[-1].name.partition("/")[2]

    async def changes(
        self,
        kind: str,
        *,
        after: int,
        wait_s: float,
        relaxed: bool = False,
        on_response_start: OnResponseStart = ignore_response_start,
    ) -> Change:
        """Wait for changes of a kind; raise HistoryGoneError or StoreError.

        A relaxed watch may receive changes seconds late. It costs a tenth of
        a regular watch and does not count towards the rate of calls.
        """
        params = {"watch": after, "waitMs": int(wait_s * 1000)}
        if relaxed:
            params["isStale"] = 1
        path = f"{_PATH}{kind}?{urlencode(params)}"
        operation = "relaxed_watch" if relaxed else "watch"
        head, raw = await self._read_list(
            operation, path, wait_s=wait_s, on_response_start=on_response_start
        )
        if head.status == 410:
            raise HistoryGoneError(kind, step=Step.STORE, peer=self._access.address)
        with malformed_as_error(path, peer=self._access.address):
            return _parse_change(kind, raw)

    async def _call(
        self, operation: str, method: str, path: str, body: bytes = b""
    ) -> tuple[ResponseHead, Any]:
        limit_s = self._access.call_timeout_s
        request = Request(
            address=self._access.address,
            method=method,
            path=path,
            headers={"Content-Type": "application/json"} if body else {},
            body=body,
            connect_timeout_s=limit_s,
            progress_timeout_s=limit_s,
        )
        return await self._fetch(operation, request, limit_s=limit_s)

    async def _read_list(
        self,
        operation: str,
        path: str,
        *,
        wait_s: float = 0.0,
        fresh: bool = False,
        on_response_start: OnResponseStart,
    ) -> tuple[ResponseHead, Any]:
        """List or watch objects; once the response starts, limit pauses."""
        start_timeout_s = self._access.read_patience_s
        request = Request(
            address=self._access.address,
            method="GET",
            path=path,
            connect_timeout_s=start_timeout_s,
            progress_timeout_s=start_timeout_s + wait_s,
            proven_live_within_s=0.0 if fresh else None,
        )
        return await self._fetch(
            operation,
            request,
            limit_s=start_timeout_s + wait_s,
            pause_s=self._access.call_timeout_s,
            on_response_start=on_response_start,
        )

    async def _fetch(
        self,
        operation: str,
        request: Request,
        *,
        limit_s: float,
        pause_s: float | None = None,
        on_response_start: OnResponseStart = ignore_response_start,
    ) -> tuple[ResponseHead, Any]:
        """Make a call, decode its response; raise StoreError or ConflictError."""
        self.calls[operation] += 1
        method, path = request.method, request.path
        try:
            head, body = await fetch_with_deadline(
                self._pool,
                request,
                limit_s=limit_s,
                pause_s=pause_s,
                max_bytes=MAX_RESPONSE_BYTES,
                on_response_start=on_response_start,
            )
            if head.status == 409:
                raise ConflictError(path, step=Step.STORE, peer=self._access.address)
            if head.status >= 400 and head.status not in (404, 410):
                raise self._error(f"{method} {path}: {head.status}", unknown=False)
            raw = decode_json_leniently(body or b"{}")
        except (ExchangeError, TimeoutError, DocumentError) as error:
            unsent = isinstance(error, ExchangeError) and not error.sent
            unknown = method != "GET" and not unsent
            why = str(error) or "no answer in time"
            raise self._error(f"{method} {path}: {why}", unknown=unknown) from error
        if head.status == 404 and operation == "replace":
            raise ConflictError(path, step=Step.STORE, peer=self._access.address)
        self.last_success_s = self._clock.monotonic_s()
        return head, raw

    def _error(self, message: str, *, unknown: bool) -> StoreError:
        failure = StoreError(message, step=Step.STORE, peer=self._access.address)
        failure.unknown = unknown
        return failure


def _path(name: str) -> str:
    kind, _, object_name = name.partition("/")
    return f"{_PATH}{kind}/{quote(object_name, safe='')}"


def _parse_change(kind: str, raw: Mapping[str, Any]) -> Change:
    written: dict[str, StoredObject] = {}
    removed: set[str] = set()
    for event in raw["events"]:
        name = f"{kind}/{event['object']['metadata']['name']}"
        if event.get("deleted"):
            written.pop(name, None)
            removed.add(name)
        else:
            removed.discard(name)
            written[name] = _parse_object(kind, event["object"])
    return Change(
        revision=int(raw["atRevision"]), written=written, removed=frozenset(removed)
    )


def _parse_object(kind: str, raw: Mapping[str, Any]) -> StoredObject:
    metadata, spec = raw["metadata"], raw.get("spec")
    # The spec of rosepath's own objects is a string, kept byte for byte; that
    # of operators' objects is a document.
    encoded = spec if isinstance(spec, str) else encode_json_leniently(spec)
    value = encoded.encode(errors="replace")
    return StoredObject(f"{kind}/{metadata['name']}", int(metadata["revision"]), value)
