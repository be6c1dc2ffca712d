"""Shared fixtures: a background event loop and a deployment of processes."""

import asyncio
import json
import os
import threading
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any, TypeVar

import pytest
from hypothesis import settings

from rosepath_standins.cluster import Cluster, caller_declaration

# By default, Hypothesis generates the same examples in every run, so that
# results depend on the code alone. `HYPOTHESIS_PROFILE=fresh` draws new ones. An
# example has no time limit, as a busy machine would exceed it.
settings.register_profile("steady", derandomize=True, deadline=None)
settings.register_profile("fresh", deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "steady"))

T = TypeVar("T")
KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
KEY = "test-key"
DATA_CENTRES = ("casa-a", "casa-b")


def _known_red() -> dict[str, str]:
    """Return the entries of the list of known failures by test id."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return {line.split(" | ")[0]: line for line in lines}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed known failures, and nothing else, as strict xfail.

    A listed test that passes fails the run and must be taken off the list.
    """
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(strict=True, reason=known[item.nodeid]))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Print the list of known failures."""
    for line in _known_red().values():
        terminalreporter.write_line(f"KNOWN RED: {line}")


class BackgroundLoop:
    """Run coroutines on an event loop in a background thread.

    The loop keeps running between the steps of a test.
    """

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, T], *, timeout_s: float = 90.0) -> T:
        """Run a coroutine and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(timeout_s)

    def start(self, work: Coroutine[Any, Any, T]) -> "Any":
        """Start a coroutine and return its future."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    def stop(self) -> None:
        """Stop the loop."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)


class Deployment(Cluster):
    """Run two data centres, three engines, two service servers, three VMs."""

    background: BackgroundLoop

    @classmethod
    def started(cls, folder: Path, background: BackgroundLoop) -> "Deployment":
        deployment = cls(folder, deployment="mahkama")
        deployment.background = background
        background.run(deployment.start())
        return deployment

    async def start(self) -> None:
        platform = self.start_platform(weight_loads_per_s=50.0, vm_list_lag_s=0.2)
        for name in ("engine-1", "engine-2", "engine-3"):
            self.start_engine(
                name,
                memory_bytes=100_000,
                token_interval_s=0.005,
                load_s_per_byte=2e-6,
                weights=platform.address,
            )
        for name in ("greffe-1", "greffe-2"):
            self.start_service(name)
        await self.wait_listening()
        for number in (1, 2, 3):
            self.start_entry_vm(f"entry-{number}")
        await self.wait_live()
        await asyncio.to_thread(self.declare, self.declarations())
        await self.wait_ready()
        await self.until(self.all_loaded)
        for name in self.daemons:
            await self.wait_serving(name)

    async def wait_serving(self, name: str) -> None:
        """Wait until an entry VM serves each model."""
        for model in ("court-rules:casablanca", "claim-drafts"):
            body = {"model": model, "prompt": "ping", "max_tokens": 1}
            await self.until(lambda body=body: self._serves(name, body))

    async def _serves(self, name: str, body: dict[str, Any]) -> bool:
        head, _ = await self.request(
            self.daemons[name].callers,
            "POST",
            "/v1/completions",
            body=json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {KEY}"},
        )
        return head.status == 200

    def start_entry_vm(self, name: str, **options: Any) -> Any:
        """Start an entry VM with short timeouts."""
        number = int(name.rpartition("-")[2])
        settings = {
            "routing": {"progress_timeout_s": 1.0, "report_interval_s": 0.1},
            "placement": {
                "loads_per_s": 50.0,
                "lease_s": 2.0,
                "lease_margin_s": 0.4,
                "tick_s": 0.1,
                "late_order_bound_s": 3.0,
            },
            "telemetry": {
                "exporter": "file",
                "trace_file": str(self.folder / f"trace-{name}.jsonl"),
            },
            "platform": {"calls_per_s": 100.0, "call_timeout_s": 1.0},
            "callers": {"idle_timeout_s": 5.0},
        }
        for section, values in options.pop("settings", {}).items():
            settings.setdefault(section, {}).update(values)
        data_centre = DATA_CENTRES[number % 2]
        return self.start_daemon(name, data_centre, settings=settings, **options)

    def data_centre_by_server(self) -> dict[str, str]:
        names = [*self.engines, *self.services]
        return {n: DATA_CENTRES[int(n[-1]) % 2] for n in names}

    def declarations(self) -> str:
        return (
            "[model.court-rules]\nmemory_bytes = 20000\n"
            "[model.claim-drafts]\nmemory_bytes = 30000\n"
            '[adapter.casablanca]\nmodel = "court-rules"\nmemory_bytes = 500\n'
            + caller_declaration("clerks", KEY)
            + self.engine_declarations(self.data_centre_by_server(), 100_000)
            + self.service_declarations("greffe-api", self.data_centre_by_server())
        )

    async def engines_with(self, target: str) -> list[str]:
        """Return the engines that report a target as resident."""
        return [
            name
            for name, process in self.engines.items()
            if process.popen is not None
            and process.popen.poll() is None
            and target in (await self.record(process))["resident"]
        ]

    async def all_loaded(self) -> bool:
        """Return whether each model and adapter is on some engine."""
        targets = ("court-rules", "claim-drafts", "court-rules:casablanca")
        return all([await self.engines_with(target) for target in targets])


@pytest.fixture(scope="session")
def background() -> Iterator[BackgroundLoop]:
    runner = BackgroundLoop()
    yield runner
    runner.stop()


@pytest.fixture
def deployment(tmp_path: Path, background: BackgroundLoop) -> Iterator[Deployment]:
    started = Deployment.started(tmp_path, background)
    yield started
    started.stop()
