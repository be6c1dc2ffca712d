"""The callers of a soak of entry VMs."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial

from benchmarks.entry_checks import (
    REQUEST_DEADLINE_S,
    CallerResponse,
    StreamAttemptRecord,
    TakenUpStream,
)
from rosepath.catalog import CallerLimits
from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool, Request
from rosepath_standins.entry_fleet import HOST, EntryFleet, EntryVm, caller_headers
from rosepath_standins.misbehaving_clients import MisbehavingClients, Upload
from rosepath_standins.raw_caller import request_bytes, send_in_pieces
from rosepath_standins.stream_caller import CallerStream

CALL_INTERVAL_S = 0.02
REQUEST_KINDS = ("look", "file", "draft")
LEAVING_INTERVAL_S = 0.1
PATIENCE_S = (0.01, 0.5)
# Between the two pieces of a head.
HEAD_PAUSE_S = (0.1, 1.2)
# Of clients that do not behave: their number, and how long they stay.
CROWD = 12
CROWD_STAYS_S = (0.5, 4.0)
CROWD_HEADERS = "Request-Id: crowd\r\n"
MAX_BODY_BYTES = CallerLimits().max_body_bytes
MISBEHAVING_UPLOADS = (
    Upload.stopping_short(MAX_BODY_BYTES),
    Upload.stopping_short(20_000),
    Upload.stopping_short(MAX_BODY_BYTES, chunk_bytes=256 * 1024),
    Upload.stopping_short(100_000, chunk_bytes=10),
    Upload(sent_bytes=2 * MAX_BODY_BYTES, length=1 << 30),
    Upload(sent_bytes=2 * MAX_BODY_BYTES, chunk_bytes=64 * 1024),
)
MAX_STREAM_ATTEMPTS = 4
MAX_STREAM_PAUSE_S = 1.0
# Probes cover the routes added last, including those dropped since.
PROBED_ROUTES = 6
PROBE_INTERVAL_S = 0.1


@dataclass(slots=True, kw_only=True)
class SoakCallers:
    """Send requests until the soak ends, and own what came of them.

    Each kind of caller draws from a generator of its own, or from that of the
    faults that it goes with.
    """

    fleet: EntryFleet
    ends_s: float
    call_rng: random.Random
    version_rng: random.Random
    caller_rng: random.Random
    pause_rng: random.Random
    client_rng: random.Random
    streams: list[TakenUpStream] = field(default_factory=list)
    responses: list[CallerResponse] = field(default_factory=list)
    sent_in_pieces: set[str] = field(default_factory=set)
    # Of requests that share parts of their prompts with those that crash servers.
    prompt_headers: Mapping[str, str] = field(default_factory=dict)
    with_prompts: set[str] = field(default_factory=set)
    request_count: int = 0

    async def run_caller(
        self, rng: random.Random, kinds: tuple[str, ...] = REQUEST_KINDS
    ) -> None:
        pool = HttpPool()
        while time.monotonic() < self.ends_s:
            vm = rng.choice(list(self.fleet.vms.values()))
            path = f"/{rng.choice(kinds)}/{self.request_count}"
            await self.send(pool, vm, path, headers=self.prompt_headers)
            await asyncio.sleep(CALL_INTERVAL_S)
        pool.close()

    async def run_leaving_caller(self) -> None:
        """Send requests and leave before most of them are answered."""
        rng, pool = self.caller_rng, HttpPool()
        while time.monotonic() < self.ends_s:
            vm = rng.choice(list(self.fleet.vms.values()))
            path = f"/{rng.choice(REQUEST_KINDS)}/{self.request_count}"
            with suppress(TimeoutError):
                async with asyncio.timeout(rng.uniform(*PATIENCE_S)):
                    await self.send(pool, vm, path)
            await asyncio.sleep(LEAVING_INTERVAL_S)
        pool.close()

    async def probe_routes(self, vm: EntryVm) -> None:
        """Send one VM requests for recently added or dropped routes."""
        pool = HttpPool()
        while time.monotonic() < self.ends_s:
            name = self.call_rng.choice(
                list(self.fleet.added_routes)[-PROBED_ROUTES:] or REQUEST_KINDS
            )
            await self.send(pool, vm, f"/{name}/{self.request_count}")
            await asyncio.sleep(PROBE_INTERVAL_S)
        pool.close()

    async def send(
        self,
        pool: HttpPool,
        vm: EntryVm,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body_chunks: AsyncIterator[bytes] | None = None,
        whole_s: float = 0.0,
    ) -> None:
        request_id = self._next_request_id(vm)
        if headers and headers == self.prompt_headers:
            self.with_prompts.add(request_id)
        request = Request(
            address=vm.address,
            host=HOST,
            method="POST",
            path=path,
            headers=caller_headers(request_id, wait_s=REQUEST_DEADLINE_S)
            | dict(headers or {}),
            late_headers=lambda: self._note_sending(request_id, vm),
            body=b"x" * 10 if body_chunks is None else b"",
            body_chunks=body_chunks,
            progress_timeout_s=REQUEST_DEADLINE_S + 2.0,
        )
        sent_s = time.monotonic()
        status, body = 0, b""
        try:
            head, body = await pool.fetch(request)
            status = head.status
        except ExchangeError as error:
            if not error.sent:
                return
        now_s = time.monotonic()
        self.responses.append(
            CallerResponse(
                request_id, vm.name, path, sent_s, now_s, status, body, whole_s
            )
        )

    def _next_request_id(self, vm: EntryVm) -> str:
        self.request_count += 1
        request_id = f"q{self.request_count}"
        self.fleet.request_log.vm_by_request[request_id] = vm.name
        return request_id

    def _note_sending(self, request_id: str, vm: EntryVm) -> dict[str, str]:
        """Record that the first byte of a request is sent; add no header."""
        self.fleet.request_log.note_sending(
            request_id, vm.name, wait_s=REQUEST_DEADLINE_S
        )
        return {}

    async def run_slow_caller(self) -> None:
        """Send requests whose heads come in two pieces."""
        while time.monotonic() < self.ends_s:
            vm = self.pause_rng.choice(list(self.fleet.vms.values()))
            await self._send_in_pieces(vm)
            await asyncio.sleep(CALL_INTERVAL_S)

    async def _send_in_pieces(self, vm: EntryVm) -> None:
        request_id = self._next_request_id(vm)
        path = f"/look/{request_id}"
        whole = request_bytes(request_id, path, wait_s=REQUEST_DEADLINE_S)
        pause_s = self.pause_rng.uniform(*HEAD_PAUSE_S)
        sent_s, status, body = time.monotonic(), 0, b""
        with suppress(OSError, asyncio.IncompleteReadError):
            status, body = await send_in_pieces(
                vm.address,
                whole,
                first_bytes=self.pause_rng.randrange(1, len(whole)),
                pause_s=pause_s,
                on_sending=partial(self._note_sending, request_id, vm),
            )
        if request_id not in self.fleet.request_log.caller_deadlines_s:
            # The connection was refused.
            return
        self.sent_in_pieces.add(request_id)
        now_s, whole_s = time.monotonic(), sent_s + pause_s
        self.responses.append(
            CallerResponse(
                request_id, vm.name, path, sent_s, now_s, status, body, whole_s
            )
        )

    async def run_misbehaving_clients(self) -> None:
        """Send bodies that stop short or go beyond the limit, and stay for a while."""
        rng = self.client_rng
        while time.monotonic() < self.ends_s:
            vm = rng.choice(list(self.fleet.vms.values()))
            port = rng.choice([vm.port, vm.port, vm.port, vm.ready_port])
            crowd = MisbehavingClients("127.0.0.1", port)
            upload = rng.choice(MISBEHAVING_UPLOADS)
            sending = (
                crowd.send(f"/look/crowd-{number}", upload, headers=CROWD_HEADERS)
                for number in range(CROWD)
            )
            await asyncio.gather(*sending)
            await asyncio.sleep(rng.uniform(*CROWD_STAYS_S))
            crowd.close()

    async def run_stream_caller(self) -> None:
        """Begin streams, break them off and take them up at other VMs."""
        rng, pool = self.version_rng, HttpPool()
        while time.monotonic() < self.ends_s:
            stream = TakenUpStream(CallerStream(path="/draft/taken-up", host=HOST))
            for _ in range(MAX_STREAM_ATTEMPTS):
                if stream.caller.complete:
                    break
                await self._attempt_stream(pool, stream)
                await asyncio.sleep(rng.uniform(0.0, MAX_STREAM_PAUSE_S))
            self.streams.append(stream)
        pool.close()

    async def _attempt_stream(self, pool: HttpPool, stream: TakenUpStream) -> None:
        vm = self.version_rng.choice(list(self.fleet.vms.values()))
        break_after = self.version_rng.choice((1, 3, 6, None))
        request_id = self._next_request_id(vm)
        versions = stream.caller.software_versions
        servers = sum(
            server.software_version in versions and not server.draining
            for server in self.fleet.servers.values()
            if server.listening
        )
        sent_s = time.monotonic()
        attempt = await stream.caller.attempt(
            pool, vm.address, request_id, break_after=break_after
        )
        stream.attempts.append(
            StreamAttemptRecord(
                vm=vm.name,
                sent_s=sent_s,
                ended_s=time.monotonic(),
                continues=bool(versions),
                servers=servers,
                went_on=bool(attempt.events),
            )
        )
