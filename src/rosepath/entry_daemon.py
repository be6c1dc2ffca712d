"""Entry point of the entry VM daemon, which handles signals before long imports."""

import signal


def main() -> None:
    """Run the command line."""
    # By default the signal ends the process. Until its handler is installed, the
    # settings are read later than any signal that comes here.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports take some tenths of a second.
    from rosepath.entry_process import main as run_command_line

    run_command_line()


if __name__ == "__main__":
    main()
