"""Access the platform's object store: conditional writes, lists, watches."""

import json
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from rosepath.call_deadline import fetch_with_deadline
from rosepath.clock import Clock
from rosepath.errors import ExchangeError, Step
from rosepath.hedged_calls import OnResponseStart
from rosepath.http_client import HttpPool, Request, ResponseHead
from rosepath.object_store import (
    Change,
    ConflictError,
    HistoryGoneError,
    Listing,
    StoredObject,
    StoreError,
    ignore_response_start,
)

_PATH = "/v1/objects/"
# A page of a list or a watch has about a megabyte of values, which JSON escapes.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreAccess:
    """Hold the store's address and the timeouts of calls to it.

    `call_timeout_s` limits writes and reads of a single object. Responses to
    lists and watches may be large: they must start within `read_patience_s`,
    and then `call_timeout_s` limits each pause in them.
    """

    address: str
    call_timeout_s: float
    read_patience_s: float


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
        return None if head.status == 404 else _parse_object(name, raw)

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
            for item in raw["items"]:
                after = item["metadata"]["name"]
                name = f"{kind}/{after}"
                objects[name] = _parse_object(name, item)
            # A watch from the first page's revision includes all changes made
            # while later pages are read.
            revision = int(raw["atRevision"]) if revision is None else revision
            if not raw.get("hasMore"):
                return Listing(revision=revision, objects=objects)

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
        written: dict[str, StoredObject] = {}
        removed: set[str] = set()
        for event in raw["events"]:
            name = f"{kind}/{event['object']['metadata']['name']}"
            if event.get("deleted"):
                written.pop(name, None)
                removed.add(name)
            else:
                removed.discard(name)
                written[name] = _parse_object(name, event["object"])
        return Change(
            revision=int(raw["atRevision"]),
            written=written,
            removed=frozenset(removed),
        )

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
            # Other writers' objects may contain invalid UTF-8.
            raw = json.loads(body.decode(errors="replace")) if body else {}
        except (ExchangeError, TimeoutError, ValueError, RecursionError) as error:
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


def _parse_object(name: str, raw: Mapping[str, Any]) -> StoredObject:
    spec = raw.get("spec")
    # The spec of rosepath's own objects is a string, kept byte for byte; that
    # of operators' objects is a document.
    encoded = spec if isinstance(spec, str) else json.dumps(spec)
    value = encoded.encode(errors="replace")
    return StoredObject(name, int(raw["metadata"]["revision"]), value)
