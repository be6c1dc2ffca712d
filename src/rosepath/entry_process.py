"""Command line and process lifecycle of the entry VM daemon."""

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

from expression import Result

from rosepath.entry_settings import EntrySettings
from rosepath.logs import configure_rate_limited_logs, get_logger
from rosepath.settings import load_settings_as

if TYPE_CHECKING:
    from rosepath.entry_node import EntryNode

SETTINGS_VARIABLE = "ROSEPATH_SETTINGS"
EXIT_USAGE = 2
# The settings file may change without a signal, so it is polled.
SETTINGS_POLL_S = 5.0


def serve(settings_file: Path | None = None, *, check_config: bool = False) -> int:
    """Run the daemon of one entry VM.

    :param settings_file: TOML file; default: the path in ROSEPATH_SETTINGS
    :param check_config: only validate the settings
    """
    path = settings_file or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    # Read first, so that a change during the start is found as one.
    known = path.read_bytes() if path.is_file() else b""
    match load_settings_as(EntrySettings, path):
        case Result(tag="ok", ok=settings):
            if check_config:
                print(f"{path}: ok")
                return 0
            return asyncio.run(run_entry(settings, path, known))
        case Result(error=problem):
            print(f"rosepathd: {problem}", file=sys.stderr)
            return EXIT_USAGE


def main() -> None:
    """Run the command line."""
    if len(sys.argv) == 1:
        # Importing defopt adds 0.1 s to the start.
        raise SystemExit(serve())
    import defopt

    raise SystemExit(defopt.run(serve))


async def run_entry(settings: EntrySettings, path: Path, known: bytes) -> int:
    """Serve until SIGTERM or SIGINT, then stop; return the exit code.

    `known` is the content of the settings file that `settings` were read from.
    """
    entry_node_class = _import_entry_node()
    sink = configure_rate_limited_logs(
        level=settings.log_level,
        entry_vm=settings.entry_vm,
        data_centre=settings.data_centre,
    )
    node = entry_node_class(settings)
    node.metrics.observe("log_lines_dropped", lambda: {"buffer": sink.dropped})
    await node.start()
    stop, look = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, look.set)
    settings_task = asyncio.ensure_future(
        follow_settings(node.reload, path, look, known)
    )
    await stop.wait()
    settings_task.cancel()
    await node.stop()
    return 0


def _import_entry_node() -> "type[EntryNode]":
    """Import the modules of the entry VM, and exempt them from garbage collection.

    They live as long as the process, so that collections find nothing among them and
    only slow the start.
    """
    gc.disable()
    try:
        from rosepath.entry_node import EntryNode
    finally:
        gc.freeze()
        gc.enable()
    return EntryNode


async def follow_settings(
    take: Callable[[EntrySettings], None],
    path: Path,
    look: asyncio.Event,
    known: bytes,
) -> None:
    """Apply a changed settings file, on a signal or found by polling.

    An invalid file is rejected as a whole and the previous settings stay in
    force.
    """
    while True:
        with suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_POLL_S):
                await look.wait()
        look.clear()
        try:
            text = path.read_bytes()  # noqa: ASYNC240
        except OSError as error:
            get_logger().warning("reload_refused", why=str(error))
            continue
        if text == known:
            continue
        known = text
        match load_settings_as(EntrySettings, path):
            case Result(tag="ok", ok=settings):
                take(settings)
            case Result(error=problem):
                get_logger().warning("reload_refused", why=problem)
