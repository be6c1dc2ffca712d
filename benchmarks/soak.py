"""Run a deployment of Mahkama's size under a seeded schedule of faults.

Mahkama is one of the deployments that `benchmarks.demand` describes.

The checks use only what the simulated engines, services and platform record,
never the logs or metrics of rosepath itself.
"""

import asyncio
import json
import os
import random
import signal
import time
import uuid
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from benchmarks._private import (
    KEY,
    benchmark_caller,
    run_cluster,
    wait_serving,
    write_table,
)
from rosepath.errors import ExchangeError
from rosepath.http_client import HttpPool, Request
from rosepath_standins.cluster import Cluster, Daemon, Process
from rosepath_standins.tokens import response_text

DATA_CENTRES = ("casa-a", "casa-b", "casa-c", "casa-d")
ENTRY_VMS = 8
ENGINES = 5
SERVERS = 4
MODELS = tuple(f"m{n}" for n in range(8))
STREAMS = 24
FAULT_INTERVAL_S = (1.5, 4.0)
SEED = 4
MEMORY_BYTES = 100_000


@dataclass(slots=True)
class SoakResults:
    """What callers received and what the simulated servers recorded.

    `starts` counts the runs that engines started by request id, and `run_keys`
    the runs of services by key. `disturbed_at_s` has the time when each entry
    VM was last killed, or resumed after a pause. `runs_after_departure` counts
    the runs that engines started more than 3 s after they began to drain.
    """

    counts: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    not_run_ids: set[str] = field(default_factory=set)
    posts: Counter[str] = field(default_factory=Counter)
    posts_refused_as_not_run: set[str] = field(default_factory=set)
    starts: Counter[str] = field(default_factory=Counter)
    run_keys: Counter[str] = field(default_factory=Counter)
    overcommitted: int = 0
    disturbed_at_s: dict[str, float] = field(default_factory=dict)
    runs_after_departure: int = 0
    exit_codes: Counter[int] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    messages: list[str] = field(default_factory=list)
    unreachable: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Soak:
    """One soak run: its callers, its faults and its results."""

    cluster: Cluster
    duration_s: float
    rng: random.Random = field(default_factory=lambda: random.Random(SEED))
    results: SoakResults = field(default_factory=SoakResults)
    # Entry VMs under a fault, and "engine" while any engine is under one.
    down: set[str] = field(default_factory=set)
    ends_s: float = 0.0
    next_name: int = ENTRY_VMS

    # Callers, which choose entry VMs as the platform's balancer does

    async def call(self) -> None:
        """Send requests until the end, one after another."""
        pool = HttpPool()
        while time.time() < self.ends_s:
            if self.rng.random() < 0.8:
                await self._stream(pool)
            else:
                await self._post(pool)
        pool.close()

    async def _send(
        self, pool: HttpPool, method: str, path: str, body: bytes, **headers: str
    ) -> tuple[str, int, bytes]:
        """Send a request through any entry VM that accepts connections."""
        extra_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        while True:
            daemon = self.rng.choice(list(self.cluster.daemons.values()))
            request = Request(
                address=daemon.callers,
                method=method,
                path=path,
                body=body,
                headers={"Authorization": f"Bearer {KEY}", **extra_headers},
                progress_timeout_s=20.0,
            )
            started_s = time.time()
            try:
                head, response = await pool.fetch(request)
                return daemon.name, head.status, response
            except ExchangeError as error:
                if not error.sent:
                    await asyncio.sleep(0.05)
                    continue
                disturbed = self._was_killed_or_paused(daemon.name, started_s)
                self.results.counts["broken by a kill" if disturbed else "cut"] += 1
                if not disturbed:
                    self.results.messages.append(f"{daemon.name} {path}: {error}")
                return daemon.name, 0, b""

    def _was_killed_or_paused(self, name: str, since_s: float) -> bool:
        return self.results.disturbed_at_s.get(name, 0.0) >= since_s - 1.0

    async def _stream(self, pool: HttpPool) -> None:
        model, prompt = self.rng.choice(MODELS), uuid.uuid4().hex
        tokens = self.rng.choice((5, 20, 60))
        body = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": True}
        self.results.counts["requests"] += 1
        _, status, response = await self._send(
            pool, "POST", "/v1/completions", json.dumps(body).encode()
        )
        if status == 200:
            self._check_stream(response, model, prompt, tokens)
        elif status:
            self._note_refusal(response)

    def _check_stream(
        self, response: bytes, model: str, prompt: str, tokens: int
    ) -> None:
        events = [
            json.loads(line[6:])
            for line in response.split(b"\n")
            if line.startswith(b"data: {")
        ]
        text = "".join(c["text"] for e in events for c in e.get("choices", ()))
        expected = response_text(model, prompt, tokens)
        if response.endswith(b"data: [DONE]\n\n") and text == expected:
            self.results.counts["complete responses"] += 1
        elif events and "error" in events[-1] and expected.startswith(text):
            self._note_error(events[-1]["error"])
        else:
            self.results.counts["wrong or mixed responses"] += 1
            self.results.messages.append(f"wrong: {response[-300:]!r}")

    async def _post(self, pool: HttpPool) -> None:
        key = uuid.uuid4().hex
        self.results.counts["requests"] += 1
        self.results.posts[key] += 1
        _, status, response = await self._send(
            pool, "POST", "/services/greffe-api/claims", b"claim", X_Run_Key=key
        )
        if status == 200:
            matches = json.loads(response)["run_key"] == key
            name = "complete responses" if matches else "wrong or mixed responses"
            self.results.counts[name] += 1
        elif status:
            error = self._note_refusal(response)
            if error["run"] == "no":
                self.results.posts_refused_as_not_run.add(key)

    def _note_refusal(self, response: bytes) -> dict[str, Any]:
        error: dict[str, Any] = json.loads(response)["error"]
        self._note_error(error)
        return error

    def _note_error(self, error: dict[str, Any]) -> None:
        self.results.refused[f"{error['run']}: {error['code']}"] += 1
        if error["run"] == "no":
            self.results.not_run_ids.add(error["request_id"])

    # Faults

    async def inject_faults(self) -> None:
        """Inject one or two faults at a time until shortly before the end."""
        faults: tuple[Callable[[], Awaitable[None]], ...] = (
            self._kill_entry_vm,
            self._stop_entry_vm,
            self._pause_entry_vm,
            self._kill_engine,
            self._platform_down,
            self._platform_loses,
            self._engine_streams,
            self._services,
            self._leaving_engine,
        )
        while time.time() < self.ends_s - 8:
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_S))
            for fault in self.rng.sample(faults, self.rng.choice((1, 1, 2))):
                self.results.faults[fault.__name__.strip("_")] += 1
                asyncio.ensure_future(fault())

    def _choose_daemon(self) -> Daemon | None:
        """Choose an entry VM to inject a fault into, and mark it as down.

        Return None if three are down already.
        """
        names = [n for n in self.cluster.daemons if n not in self.down]
        if len(names) <= ENTRY_VMS - 3:
            return None
        name = self.rng.choice(names)
        self.down.add(name)
        return self.cluster.daemons[name]

    async def _kill_entry_vm(self) -> None:
        daemon = self._choose_daemon()
        if daemon is not None:
            self.results.disturbed_at_s[daemon.name] = time.time()
            daemon.process.kill()
            await asyncio.sleep(2.0)
            await self._restart(daemon)

    async def _restart(self, daemon: Daemon) -> None:
        daemon.process.start()
        await self.cluster.until(lambda: self._ready(daemon), timeout_s=30)
        self.down.discard(daemon.name)

    async def _ready(self, daemon: Daemon) -> bool:
        head, _ = await self.cluster.request(daemon.callers, "GET", "/readyz")
        return head.status == 200

    async def _stop_entry_vm(self) -> None:
        daemon = self._choose_daemon()
        if daemon is not None:
            daemon.process.signal(signal.SIGTERM)
            code = await asyncio.to_thread(daemon.process.wait, 60)
            self.results.exit_codes[code] += 1
            await self._restart(daemon)

    async def _pause_entry_vm(self) -> None:
        daemon = self._choose_daemon()
        if daemon is not None:
            daemon.process.signal(signal.SIGSTOP)
            await asyncio.sleep(7.0)
            self.results.disturbed_at_s[daemon.name] = time.time()
            daemon.process.signal(signal.SIGCONT)
            self.down.discard(daemon.name)

    async def _kill_engine(self) -> None:
        if "engine" in self.down:
            return
        self.down.add("engine")
        process = self.rng.choice(list(self.cluster.engines.values()))
        await self._collect_engine_record(process)
        process.kill()
        await asyncio.sleep(4.0)
        process.start()
        await asyncio.sleep(6.0)
        self.down.discard("engine")

    async def _leaving_engine(self) -> None:
        """Drain an engine, count the runs it still starts, then restart it."""
        if "engine" in self.down:
            return
        self.down.add("engine")
        process = self.rng.choice(list(self.cluster.engines.values()))
        await self.cluster.json(process.address, "/admin/leave", method="POST")
        drain_start_s = time.time()
        await asyncio.sleep(6.0)
        record = await self.cluster.record(process)
        started_late = [
            at for at in record["started_at"].values() if at > drain_start_s + 3
        ]
        self.results.runs_after_departure += len(started_late)
        await self._collect_engine_record(process)
        process.kill()
        process.start()
        await asyncio.sleep(6.0)
        self.down.discard("engine")

    async def _platform_down(self) -> None:
        assert self.cluster.platform is not None
        await self.cluster.fault(self.cluster.platform, "down", count=-1)
        await asyncio.sleep(self.rng.uniform(2, 8))
        await self.cluster.fault(self.cluster.platform, "down", count=0)

    async def _platform_loses(self) -> None:
        """Make the platform lose its next responses."""
        assert self.cluster.platform is not None
        await self.cluster.fault(self.cluster.platform, "lose_reply", count=5)

    async def _engine_streams(self) -> None:
        """Make an engine break streams, and sometimes lose or delay orders."""
        process = self.rng.choice(list(self.cluster.engines.values()))
        name = self.rng.choice(
            ("cut_stream", "silent_stream", "wrong_id", "duplicate_chunk", "lose_end")
        )
        for order_fault in ("lose_order", "delay_order"):
            if self.rng.random() < 0.3:
                await self._arm_fault(process, order_fault, value=2.0)
        await self._arm_fault(process, name, count=4, value=2)

    async def _services(self) -> None:
        """Make a service lose its next replies or refuse its next requests."""
        process = self.rng.choice(list(self.cluster.services.values()))
        name = self.rng.choice(("lose_reply", "refuse"))
        await self._arm_fault(process, name, count=4)

    async def _arm_fault(
        self, process: Process, name: str, *, count: int = 1, value: float = 0
    ) -> None:
        try:
            await self.cluster.fault(process, name, count=count, value=value)
        except ExchangeError:
            return

    # Records of the simulated servers

    async def _collect_engine_record(self, process: Process) -> None:
        try:
            record = await self.cluster.record(process)
        except ExchangeError:
            return
        self.results.overcommitted += record["overcommitted"]
        self.results.starts.update(record["started"])

    async def collect_records(self) -> None:
        """Add the records of all engines and services to the results."""
        for process in self.cluster.engines.values():
            await self._collect_engine_record(process)
        for process in self.cluster.services.values():
            record = await self.cluster.record(process)
            self.results.run_keys.update(record["runs"])


async def _start(cluster: Cluster) -> None:
    cluster.start_platform(weight_loads_per_s=20.0, vm_list_lag_s=0.5)
    for number in range(ENGINES):
        cluster.start_engine(
            f"engine-{number}",
            memory_bytes=MEMORY_BYTES,
            token_interval_s=0.01,
            load_s_per_byte=2e-5,
        )
    for number in range(SERVERS):
        cluster.start_service(f"greffe-{number}")
    await cluster.wait_listening()
    settings = {
        "routing": {"progress_timeout_s": 2.0, "report_interval_s": 0.25},
        "placement": {"loads_per_s": 20.0, "late_order_bound_s": 5.0},
        "platform": {"call_timeout_s": 1.0, "calls_per_s": 50.0},
        "stop": {"balancer_wait_s": 0.5},
    }
    for number in range(ENTRY_VMS):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        cluster.start_daemon(f"entry-{number}", data_centre, settings=settings)
    await cluster.wait_live()
    names = [*cluster.engines, *cluster.services]
    data_centres = {n: DATA_CENTRES[int(n[-1]) % len(DATA_CENTRES)] for n in names}
    models = "".join(f"[model.{m}]\nmemory_bytes = 30000\n" for m in MODELS)
    declarations = (
        models
        + benchmark_caller()
        + cluster.engine_declarations(data_centres, MEMORY_BYTES)
        + cluster.service_declarations("greffe-api", data_centres)
    )
    await asyncio.to_thread(cluster.declare, declarations)
    await wait_serving(cluster, MODELS)


async def _soak(cluster: Cluster, duration_s: float) -> SoakResults:
    await _start(cluster)
    run = Soak(cluster, duration_s, ends_s=time.time() + duration_s)
    injecting = asyncio.ensure_future(run.inject_faults())
    await asyncio.gather(*(run.call() for _ in range(STREAMS)))
    await injecting
    await asyncio.sleep(8.0)
    for daemon in cluster.daemons.values():
        daemon.process.signal(signal.SIGCONT)
    for model in MODELS:
        try:
            await wait_serving(cluster, [model])
        except TimeoutError:
            run.results.unreachable.append(model)
    await run.collect_records()
    return run.results


def _rows(results: SoakResults) -> list[list[object]]:
    ran_despite_refusal = [
        request_id
        for request_id in results.not_run_ids
        if results.starts.get(request_id, 0)
    ]
    ran_despite_refusal += [
        key for key in results.posts_refused_as_not_run if results.run_keys.get(key, 0)
    ]
    counts = results.counts
    bad_stops = sum(n for code, n in results.exit_codes.items() if code != 0)
    return [
        ["requests", counts["requests"]],
        ["complete responses", counts["complete responses"]],
        ["refusals and errors by run", dict(results.refused)],
        ["broken with a killed or paused entry VM", counts["broken by a kill"]],
        ["planned stops by exit code", dict(results.exit_codes)],
        ["faults", dict(results.faults)],
        ["VIOLATIONS: wrong or mixed responses", counts["wrong or mixed responses"]],
        [
            "VIOLATIONS: non-idempotent runs above one",
            sum(n > 1 for key, n in results.run_keys.items() if key in results.posts),
        ],
        ["VIOLATIONS: refused as not run, but ran", len(ran_despite_refusal)],
        ["VIOLATIONS: requests cut without a kill or pause", counts["cut"]],
        ["VIOLATIONS: planned stops that did not exit 0", bad_stops],
        [
            "VIOLATIONS: runs started 3 s after an engine began to drain",
            results.runs_after_departure,
        ],
        ["VIOLATIONS: overcommitted memory", results.overcommitted],
        ["VIOLATIONS: models unreachable at the end", len(results.unreachable)],
    ]


def main() -> None:
    """Soak for SOAK_S seconds (default 60) and print the violations."""
    duration_s = float(os.environ.get("SOAK_S", "60"))
    results: SoakResults = run_cluster(lambda cluster: _soak(cluster, duration_s))
    write_table(
        f"Soak: {ENTRY_VMS} entry VMs, {ENGINES} engines, {SERVERS} servers, "
        f"{duration_s:g} s of faults",
        ("what", "count"),
        _rows(results),
    )
    for message in results.messages[:10]:
        print("  ", message)
