"""Commands that analyse entry VMs' logs without a running daemon."""

import sys
from pathlib import Path

from rosepath.cli_calls import EXIT_INVALID, print_table
from rosepath.explain import describe_configurations, parse_log_lines, request_timeline
from rosepath.load_report import Cause, LoadReport, cause_rows, draw_report
from rosepath.quota_report import QuotaReport


def explain(request_id: str, *files: Path) -> int:
    """Show a request's timeline from the logs of one or more entry VMs.

    :param request_id: the request id that the caller sent
    :param files: log files; without any, standard input is read
    """
    lines = [text for file in files for text in file.read_text().splitlines()]
    read = parse_log_lines(lines if files else sys.stdin)
    timeline = request_timeline(request_id, read)
    if not timeline:
        print(f"rosepath: no line names {request_id}", file=sys.stderr)
        return EXIT_INVALID
    for line in timeline:
        print(line.formatted)
    for described in describe_configurations(request_id, read):
        print(described)
    return 0


def report(*files: Path, window_s: float = 2.0, plot: Path | None = None) -> int:
    """Show where requests were late or failed, from entry VMs' logs.

    :param files: log files; without any, standard input is read
    :param window_s: length of a time window in seconds
    :param plot: also plot the windows to this SVG file (needs matplotlib)
    """
    lines = [text for file in files for text in file.read_text().splitlines()]
    counted = LoadReport.from_lines(
        parse_log_lines(lines if files else sys.stdin), window_s=window_s
    )
    if not counted.causes:
        print("rosepath: no request ended in these logs", file=sys.stderr)
        return EXIT_INVALID
    header = ["", "requests", *Cause]
    rows = {"all": counted.causes, **counted.by_route}
    print_table(header, cause_rows(rows))
    print("\nmodels with most requests not in time")
    print_table(header, cause_rows(dict(counted.worst_models())))
    print(f"\nbusiest server by the mean of all: {counted.peak_to_mean:.2f}\n")
    windows = {
        f"{number * window_s:g} s": window
        for number, window in sorted(counted.windows.items())
    }
    print_table(
        ["from", "requests", *Cause, "swaps", "tries failed"],
        [
            [*row, str(window.swaps), str(window.failed_attempts)]
            for row, window in zip(
                cause_rows({at: window.causes for at, window in windows.items()}),
                windows.values(),
                strict=True,
            )
        ],
    )
    if plot is not None:
        draw_report(counted, plot)
    return 0


def quotas(*files: Path, by_vm: bool = False) -> int:
    """Show what workspaces used and were refused, from entry VMs' logs.

    :param files: log files; without any, standard input is read
    :param by_vm: also show each entry VM
    """
    lines = [text for file in files for text in file.read_text().splitlines()]
    counted = QuotaReport.from_lines(parse_log_lines(lines if files else sys.stdin))
    if not counted.use:
        print("rosepath: no request under a quota in these logs", file=sys.stderr)
        return EXIT_INVALID
    used = ["requests", "served", "refusals", "refused"]
    print_table(["workspace", "limit a second", "peak", *used], counted.workspace_rows)
    if by_vm:
        print()
        print_table(["workspace", "entry VM", *used], counted.vm_rows)
    print("\ncoordinators and the share of the quotas lent to them")
    print_table(
        ["entry VM", "share"],
        [[name, f"{share:.2f}"] for name, share in sorted(counted.shares.items())],
    )
    return 0
