"""The wire to the platform's object API: HTTP with entity tags, in this module only."""

import asyncio
import json
import random
from collections import Counter
from collections.abc import AsyncIterator
from urllib.parse import quote

from rosepath.clock import Clock
from rosepath.errors import ExchangeError, Step
from rosepath.http_client import HttpPool, Request, ResponseHead
from rosepath.object_store import (
    ConflictError,
    ObjectEvent,
    StoredObject,
    StoreError,
    VmState,
)
from rosepath.rates import TokenBucket
from rosepath.settings import PlatformSettings

WATCH_BACKOFF_MAX_S = 2.0


class HttpPlatform:
    """Call the platform within a local budget and a deadline a call."""

    def __init__(self, settings: PlatformSettings, *, clock: Clock) -> None:
        self._settings = settings
        self._pool = HttpPool(clock=clock)
        self._clock = clock
        self._budget = TokenBucket(
            rate_per_s=settings.calls_per_s, burst=settings.calls_per_s * 2
        )
        self.calls: Counter[str] = Counter()
        self.last_success_s = -1e9

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    @property
    def reachable(self) -> bool:
        """Tell whether a call succeeded within the silence bound."""
        age_s = self._clock.monotonic_s() - self.last_success_s
        return age_s < self._settings.watch_silence_s

    async def get(self, name: str) -> StoredObject | None:
        head, body = await self._call("get", "GET", _path(name))
        if head.status == 404:
            return None
        return StoredObject(name, _version(head), body)

    async def put(
        self, name: str, value: bytes, *, expected_version: int | None
    ) -> int:
        headers = {}
        if expected_version == 0:
            headers["If-None-Match"] = "*"
        elif expected_version is not None:
            headers["If-Match"] = f'"{expected_version}"'
        head, _ = await self._call("put", "PUT", _path(name), value, headers)
        return _version(head)

    async def delete(self, name: str, *, expected_version: int) -> None:
        headers = {"If-Match": f'"{expected_version}"'}
        await self._call("delete", "DELETE", _path(name), b"", headers)

    async def list_names(self, prefix: str) -> list[str]:
        _, body = await self._call("list", "GET", f"/objects?prefix={quote(prefix)}")
        return [str(name) for name in json.loads(body)]

    async def vms(self) -> dict[str, VmState]:
        _, body = await self._call("vms", "GET", "/vms")
        return {name: VmState(state) for name, state in json.loads(body).items()}

    async def watch(self, prefix: str) -> AsyncIterator[ObjectEvent]:
        """Yield changes for ever, reopening a watch that fails or goes silent.

        Each (re)opening first yields a nameless event, so that the reader
        reads the present state and misses nothing that happened between.
        """
        backoff_s = 0.05
        while True:
            events: asyncio.Queue[ObjectEvent | None] = asyncio.Queue()
            reading = asyncio.ensure_future(self._read_watch(prefix, events))
            try:
                while (event := await events.get()) is not None:
                    backoff_s = 0.05
                    yield event
            finally:
                reading.cancel()
            await asyncio.sleep(random.uniform(0.5, 1.0) * backoff_s)
            backoff_s = min(backoff_s * 2, WATCH_BACKOFF_MAX_S)

    async def _read_watch(
        self, prefix: str, events: asyncio.Queue[ObjectEvent | None]
    ) -> None:
        pending = b""

        def on_data(chunk: bytes) -> None:
            nonlocal pending
            *lines, pending = (pending + chunk).split(b"\n")
            self.last_success_s = self._clock.monotonic_s()
            for line in lines:
                raw = json.loads(line)
                events.put_nowait(ObjectEvent(raw.get("name", ""), raw["version"]))

        try:
            await self._take_budget()
            self.calls["watch"] += 1
            # Bookmarks come more often than the silence bound; a watch that
            # brings none is dead though its connection still looks open.
            await self._pool.exchange(
                Request(
                    address=self._settings.address,
                    method="GET",
                    path=f"/watch?prefix={quote(prefix)}",
                    progress_timeout_s=self._settings.watch_silence_s / 2,
                    proven_live_within_s=0,
                ),
                on_head=lambda _: None,
                on_data=on_data,
            )
        except (ExchangeError, ValueError, KeyError):
            pass
        finally:
            events.put_nowait(None)

    async def _take_budget(self) -> None:
        while (wait_s := self._budget.take(self._clock.monotonic_s())) > 0:  # noqa: ASYNC110
            await asyncio.sleep(wait_s * random.uniform(1.0, 1.5))

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> tuple[ResponseHead, bytes]:
        await self._take_budget()
        self.calls[kind] += 1
        request = Request(
            address=self._settings.address,
            method=method,
            path=path,
            headers=headers or {},
            body=body,
            connect_timeout_s=self._settings.call_timeout_s,
            progress_timeout_s=self._settings.call_timeout_s,
        )
        try:
            async with asyncio.timeout(self._settings.call_timeout_s):
                head, answer = await self._pool.fetch(request)
        except (ExchangeError, TimeoutError) as error:
            raise self._failed(str(error) or "no answer", error, method) from error
        if head.status == 412:
            raise ConflictError(
                f"{path} changed", step=Step.STORE, peer=self._settings.address
            )
        if head.status >= 400 and head.status != 404:
            failure = self._failed(f"{method} {path}: {head.status}", None, method)
            failure.unknown = False
            raise failure
        self.last_success_s = self._clock.monotonic_s()
        return head, answer

    def _failed(self, message: str, error: Exception | None, method: str) -> StoreError:
        failure = StoreError(message, step=Step.STORE, peer=self._settings.address)
        never_sent = isinstance(error, ExchangeError) and not error.sent
        failure.unknown = method != "GET" and not never_sent
        return failure


def _path(name: str) -> str:
    return "/objects/" + quote(name)


def _version(head: ResponseHead) -> int:
    return int(head.headers.get("Etag", '"0"').strip('"'))
