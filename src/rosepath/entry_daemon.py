"""The daemon of an entry VM on the users' platform."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from expression import Result

from rosepath.entry_settings import EntrySettings
from rosepath.logs import configure_bounded_logs, get_logger
from rosepath.settings import load_settings_as

SETTINGS_VARIABLE = "ROSEPATH_SETTINGS"
EXIT_USAGE = 2


def main() -> None:
    """Serve as one entry VM until a signal asks to stop."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    match load_settings_as(EntrySettings, path):
        case Result(tag="ok", ok=settings):
            raise SystemExit(asyncio.run(run_entry(settings)))
        case Result(error=problem):
            print(f"rosepathd: {problem}", file=sys.stderr)
            raise SystemExit(EXIT_USAGE)


async def run_entry(settings: EntrySettings) -> int:
    """Serve until a signal asks to stop; return the exit code."""
    from rosepath.entry_node import EntryNode

    sink = configure_bounded_logs(
        level=settings.log_level,
        entry_vm=settings.entry_vm,
        data_centre=settings.data_centre,
    )
    node = EntryNode(settings)
    node.metrics.observe("log_lines_dropped", lambda: {"buffer": sink.dropped})
    await node.start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: get_logger().info("reload_asked"))
    await stop.wait()
    await node.stop()
    return 0


if __name__ == "__main__":
    main()
