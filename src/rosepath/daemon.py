"""The command line of the daemon: `rosepathd SETTINGS.toml`."""

import asyncio
import signal
import sys
from pathlib import Path

import defopt
from expression import Result

from rosepath.logs import configure_logs, get_logger
from rosepath.settings import Settings, load_settings

EXIT_USAGE = 2
EXIT_REQUESTS_CUT = 3


def serve(
    settings_file: Path | None = None,
    *,
    check_config: bool = False,
    standalone: bool = False,
) -> int:
    """Serve callers as one entry VM.

    :param settings_file: TOML file with the settings
    :param check_config: only check the settings
    :param standalone: run with stand-ins for the platform and backend servers
    """
    if standalone:
        from rosepath_standins.standalone import run_standalone

        return run_standalone()
    if settings_file is None:
        print("rosepathd: a settings file is needed", file=sys.stderr)
        return EXIT_USAGE
    match load_settings(settings_file):
        case Result(tag="ok", ok=settings):
            if check_config:
                print(f"{settings_file}: ok")
                return 0
            return asyncio.run(run_daemon(settings))
        case Result(error=problem):
            print(f"rosepathd: {problem}", file=sys.stderr)
            return EXIT_USAGE


async def run_daemon(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT; return the exit code.

    A second signal stops the daemon without draining requests. SIGHUP reloads
    the certificates of the caller and peer listeners.
    """
    from rosepath.node import Node
    from rosepath.tls import load_certificate

    configure_logs(
        level=settings.telemetry.log_level,
        entry_vm=settings.entry_vm,
        data_centre=settings.data_centre,
    )
    node = Node(settings)
    await node.start()
    stop_requested, force_stop = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()

    def on_stop() -> None:
        (force_stop if stop_requested.is_set() else stop_requested).set()

    def on_reload() -> None:
        for context, tls in (
            (node.caller_tls, settings.callers.tls),
            (node.peer_tls, settings.peers.tls),
        ):
            if context is not None and tls is not None:
                load_certificate(context, tls)
        get_logger().info("certificates_reloaded")

    loop.add_signal_handler(signal.SIGTERM, on_stop)
    loop.add_signal_handler(signal.SIGINT, on_stop)
    loop.add_signal_handler(signal.SIGHUP, on_reload)
    await stop_requested.wait()
    stopping = asyncio.ensure_future(node.stop())
    forced = asyncio.ensure_future(force_stop.wait())
    await asyncio.wait({stopping, forced}, return_when=asyncio.FIRST_COMPLETED)
    if stopping.done():
        return 0
    get_logger().warning("stopped_at_once", cut=sorted(node.in_flight))
    return EXIT_REQUESTS_CUT


def main() -> None:
    """Run the command line."""
    raise SystemExit(defopt.run(serve))


if __name__ == "__main__":
    main()
