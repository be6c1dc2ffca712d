"""Run a simulated component as a process, send a load or run the demo."""

import asyncio
import json
from pathlib import Path
from typing import Literal

import defopt
from tornado.httpserver import HTTPServer
from tornado.web import Application

from rosepath.settings import split_address
from rosepath_standins.engine import make_engine, refresh_reports
from rosepath_standins.engine_state import EngineOptions
from rosepath_standins.load import (
    LoadShape,
    decode_shape,
    encode_result,
    run_load,
    summary,
)
from rosepath_standins.platform import PlatformOptions, make_platform
from rosepath_standins.service import make_service

MAX_BODY_BYTES = 1 << 30


def serve(app: Application, address: str) -> HTTPServer:
    """Start an HTTP server for an application on an address."""
    server = HTTPServer(app, max_body_size=MAX_BODY_BYTES, idle_connection_timeout=600)
    host, port = split_address(address)
    server.listen(port, address=host)
    return server


async def _run_forever() -> None:
    await asyncio.Event().wait()


def platform(
    *,
    listen: str = "127.0.0.1:8090",
    vm_list_lag_s: float = 1.0,
    weight_loads_per_s: float = 1.0,
    weight_parallel: int = 4,
) -> None:
    """Run a simulated platform."""

    async def run() -> None:
        app, _ = make_platform(
            PlatformOptions(
                vm_list_lag_s=vm_list_lag_s,
                weight_loads_per_s=weight_loads_per_s,
                weight_parallel=weight_parallel,
            )
        )
        serve(app, listen)
        await _run_forever()

    asyncio.run(run())


def engine(
    *,
    listen: str = "127.0.0.1:8100",
    name: str = "engine",
    memory_bytes: int = 80_000,
    slots: int = 16,
    token_interval_s: float = 0.01,
    tokens_per_event: int = 1,
    prefill_s_per_block: float = 0.002,
    load_s_per_byte: float = 0.0,
    report_lag_s: float = 0.1,
    fences: bool = True,
    weights: str = "",
    resident: str = "",
) -> None:
    """Run a simulated model engine."""

    async def run() -> None:
        app, state = make_engine(
            EngineOptions(
                name=name,
                memory_bytes=memory_bytes,
                slots=slots,
                token_interval_s=token_interval_s,
                tokens_per_event=tokens_per_event,
                prefill_s_per_block=prefill_s_per_block,
                load_s_per_byte=load_s_per_byte,
                report_lag_s=report_lag_s,
                fences=fences,
                weights_address=weights,
            )
        )
        for target in filter(None, resident.split(",")):
            state.resident[target] = 1
        serve(app, listen)
        await refresh_reports(state)

    asyncio.run(run())


def engines(
    *,
    listen: list[str],
    memory_bytes: int = 80_000,
    slots: int = 16,
    token_interval_s: float = 0.01,
    prefill_s_per_block: float = 0.002,
    report_lag_s: float = 0.1,
) -> None:
    """Run several simulated model engines in one process."""

    async def run() -> None:
        reporting = []
        for address in listen:
            app, state = make_engine(
                EngineOptions(
                    name=address,
                    memory_bytes=memory_bytes,
                    slots=slots,
                    token_interval_s=token_interval_s,
                    prefill_s_per_block=prefill_s_per_block,
                    report_lag_s=report_lag_s,
                )
            )
            serve(app, address)
            reporting.append(refresh_reports(state))
        await asyncio.gather(*reporting)

    asyncio.run(run())


def service(
    *, listen: str = "127.0.0.1:8200", name: str = "service", delay_s: float = 0.0
) -> None:
    """Run a simulated server of a plain service."""

    async def run() -> None:
        app, _ = make_service(name, delay_s=delay_s)
        serve(app, listen)
        await _run_forever()

    asyncio.run(run())


def load(
    *,
    address: list[str],
    key: str,
    model: list[str],
    streams: int = 1,
    tokens: int = 20,
    duration_s: float = 5.0,
    rate_per_s: float = 0.0,
    raw: bool = False,
    shape: str = "",
) -> None:
    """Send a bounded load to daemons and check every response."""
    chosen = (
        decode_shape(shape)
        if shape
        else LoadShape(
            addresses=tuple(address),
            key=key,
            models=tuple(model),
            streams=streams,
            tokens=tokens,
            duration_s=duration_s,
            rate_per_s=rate_per_s,
        )
    )
    result = asyncio.run(run_load(chosen))
    print(encode_result(result) if raw else json.dumps(summary(result), indent=2))


def demo(*, keep: Path | None = None, mode: Literal["quick"] = "quick") -> int:
    """Run an end-to-end demo with real processes."""
    from rosepath_standins.demo import run_demo

    return run_demo(keep=keep)


def main() -> None:
    """Run the subcommand given on the command line."""
    result = defopt.run([platform, engine, engines, service, load, demo])
    raise SystemExit(result or 0)


if __name__ == "__main__":
    main()
