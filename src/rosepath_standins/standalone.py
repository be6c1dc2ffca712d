"""`rosepathd --standalone`: entry VM and simulated components combined."""

import asyncio
import hashlib
import signal
import time

from rosepath.configuration import Operation
from rosepath.configuration_store import ProposedChange
from rosepath.declarations import parse_declaration
from rosepath.logs import configure_logs
from rosepath.node import Node
from rosepath.settings import Settings
from rosepath_standins.__main__ import serve
from rosepath_standins.engine import make_engine, refresh_reports
from rosepath_standins.engine_state import EngineOptions
from rosepath_standins.platform import PlatformOptions, make_platform
from rosepath_standins.service import make_service

PLATFORM = "127.0.0.1:8090"
ENGINE = "127.0.0.1:8100"
SERVICE = "127.0.0.1:8200"
KEY = "demo-key"
KEY_SHA256 = hashlib.sha256(KEY.encode()).hexdigest()


def run_standalone() -> int:
    """Serve until SIGTERM or SIGINT and return the exit code."""
    return asyncio.run(_run())


async def _run() -> int:
    configure_logs(level="info", entry_vm="entry-1", data_centre="local")
    platform, _ = make_platform(PlatformOptions(weight_loads_per_s=20.0))
    engine, engine_state = make_engine(EngineOptions(memory_bytes=100_000))
    service, _ = make_service("echo-1")
    servers = [
        serve(platform, PLATFORM),
        serve(engine, ENGINE),
        serve(service, SERVICE),
    ]
    reporting = asyncio.ensure_future(refresh_reports(engine_state))
    settings = Settings(deployment="local", entry_vm="entry-1", data_centre="local")
    node = Node(settings)
    await node.start()
    await _declare(node)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    print(f"serving on http://{settings.callers.listen} with the key {KEY!r}")
    await stop.wait()
    await node.stop()
    reporting.cancel()
    for server in servers:
        server.stop()
    return 0


async def _declare(node: Node) -> None:
    raw: list[tuple[str, str, dict[str, object]]] = [
        ("model", "court-rules", {"memory_bytes": 20_000}),
        ("adapter", "casablanca", {"model": "court-rules", "memory_bytes": 500}),
        ("service", "echo", {}),
        ("caller", "you", {"key_sha256": KEY_SHA256}),
        (
            "backend_server",
            "engine-1",
            {
                "data_centre": "local",
                "address": ENGINE,
                "memory_bytes": 100_000,
                "fences": True,
            },
        ),
        (
            "backend_server",
            "echo-1",
            {"data_centre": "local", "address": SERVICE, "service": "echo"},
        ),
    ]
    operations = [
        Operation(kind, name, parse_declaration(kind, fields).ok)
        for kind, name, fields in raw
    ]
    change = ProposedChange(
        change_id="standalone",
        expected_version=0,
        operator="standalone",
        at_s=time.time(),
        operations=operations,
    )
    outcome = await node.store.commit(change)
    if outcome.is_error():
        raise RuntimeError(outcome.error)
