"""Speak the platform's object store: conditional writes, lists, watches."""

import asyncio
import json
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from rosepath.call_deadline import CallDeadline
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


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreAccess:
    """Tell where the store is and how long a call may take.

    A write, or a read of one object, is answered within `call_timeout_s`. Reads of
    many objects may be large: they begin within `read_patience_s`, and go on as long
    as no pause in them is longer than `call_timeout_s`.
    """

    address: str
    call_timeout_s: float
    read_patience_s: float


class PlatformStore:
    """Implement the ports to objects and their changes; names are `kind/name`."""

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
        return None if head.status == 404 else _stored(name, raw)

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        kind, _, own = name.partition("/")
        metadata: dict[str, Any] = {"name": own}
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
        """Read every object of a kind, page by page."""
        objects: dict[str, StoredObject] = {}
        after = ""
        revision: int | None = None
        while True:
            query = f"?{urlencode({'after': after})}" if after else ""
            path = f"{_PATH}{kind}{query}"
            _, raw = await self._read(
                "list", path, fresh=fresh, on_response_start=on_response_start
            )
            for item in raw["items"]:
                after = item["metadata"]["name"]
                name = f"{kind}/{after}"
                objects[name] = _stored(name, item)
            # The first page's revision: what changes while later pages are
            # read comes once more with the watch that starts there.
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
        """Wait for changes of a kind; raises HistoryGoneError or StoreError.

        A relaxed watch may be told of them seconds late. It costs a tenth of
        another, and is not counted towards the rate of calls.
        """
        asked = {"watch": after, "waitMs": int(wait_s * 1000)}
        if relaxed:
            asked["isStale"] = 1
        path = f"{_PATH}{kind}?{urlencode(asked)}"
        what = "relaxed_watch" if relaxed else "watch"
        head, raw = await self._read(
            what, path, wait_s=wait_s, on_response_start=on_response_start
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
                written[name] = _stored(name, event["object"])
        return Change(
            revision=int(raw["atRevision"]),
            written=written,
            removed=frozenset(removed),
        )

    async def _call(
        self, what: str, method: str, path: str, body: bytes = b""
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
        return await self._fetch(what, request, limit_s=limit_s)

    async def _read(
        self,
        what: str,
        path: str,
        *,
        wait_s: float = 0.0,
        fresh: bool = False,
        on_response_start: OnResponseStart,
    ) -> tuple[ResponseHead, Any]:
        """Read what may be large, for as long as it keeps arriving."""
        patience_s = self._access.read_patience_s
        request = Request(
            address=self._access.address,
            method="GET",
            path=path,
            connect_timeout_s=patience_s,
            progress_timeout_s=patience_s + wait_s,
            proven_live_within_s=0.0 if fresh else None,
        )
        return await self._fetch(
            what,
            request,
            limit_s=patience_s + wait_s,
            pause_s=self._access.call_timeout_s,
            on_response_start=on_response_start,
        )

    async def _fetch(
        self,
        what: str,
        request: Request,
        *,
        limit_s: float,
        pause_s: float | None = None,
        on_response_start: OnResponseStart = ignore_response_start,
    ) -> tuple[ResponseHead, Any]:
        """Make a call and read its answer; raises StoreError or ConflictError."""
        self.calls[what] += 1
        method, path = request.method, request.path
        try:
            head, answer = await self._exchange(
                request,
                limit_s=limit_s,
                pause_s=pause_s,
                on_response_start=on_response_start,
            )
            if head.status == 409:
                raise ConflictError(path, step=Step.STORE, peer=self._access.address)
            if head.status >= 400 and head.status not in (404, 410):
                raise self._failed(f"{method} {path}: {head.status}", unknown=False)
            # Other writers' objects may hold bytes that are no text at all.
            raw = json.loads(answer.decode(errors="replace")) if answer else {}
        except (ExchangeError, TimeoutError, ValueError, RecursionError) as error:
            never_sent = isinstance(error, ExchangeError) and not error.sent
            unknown = method != "GET" and not never_sent
            why = str(error) or "no answer in time"
            raise self._failed(f"{method} {path}: {why}", unknown=unknown) from error
        if head.status == 404 and what == "replace":
            raise ConflictError(path, step=Step.STORE, peer=self._access.address)
        self.last_success_s = self._clock.monotonic_s()
        return head, raw

    async def _exchange(
        self,
        request: Request,
        *,
        limit_s: float,
        pause_s: float | None,
        on_response_start: OnResponseStart,
    ) -> tuple[ResponseHead, bytes]:
        """Send a request and return its answer, or raise TimeoutError.

        With `pause_s` each part that arrives gives the answer that much longer.
        """
        parts: list[bytes] = []

        def note_head(_: ResponseHead) -> None:
            note_arrival()
            on_response_start()

        def note_part(part: bytes) -> None:
            note_arrival()
            parts.append(part)

        def note_arrival() -> None:
            if pause_s is not None:
                deadline.extend(pause_s)

        exchanging = asyncio.ensure_future(
            self._pool.exchange(request, on_head=note_head, on_data=note_part)
        )
        deadline = CallDeadline(exchanging, limit_s=limit_s)
        try:
            await asyncio.wait([exchanging])
            if exchanging.cancelled():
                raise TimeoutError
            return exchanging.result(), b"".join(parts)
        finally:
            deadline.disable()
            exchanging.cancel()
            await asyncio.wait([exchanging])

    def _failed(self, message: str, *, unknown: bool) -> StoreError:
        failure = StoreError(message, step=Step.STORE, peer=self._access.address)
        failure.unknown = unknown
        return failure


def _path(name: str) -> str:
    kind, _, own = name.partition("/")
    return f"{_PATH}{kind}/{quote(own, safe='')}"


def _stored(name: str, raw: Mapping[str, Any]) -> StoredObject:
    spec = raw.get("spec")
    # Own objects hold text, byte for byte; the operator's hold documents.
    text = spec if isinstance(spec, str) else json.dumps(spec)
    value = text.encode(errors="replace")
    return StoredObject(name, int(raw["metadata"]["revision"]), value)
