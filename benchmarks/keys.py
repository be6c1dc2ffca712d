"""Time the check of API keys, and putting many of them in force."""

import time
from collections.abc import Callable

from benchmarks._private import write_table
from rosepath.api_keys import key_digest
from rosepath.platform.documents import decode_catalog, without_keys
from rosepath_standins.workspace_documents import configuration_with_keys

KEY_COUNTS = (10, 1_000, 100_000)
CHECKS = 20_000


def _seconds(work: Callable[[], object], times: int) -> float:
    """Return the least time of three rounds, for one call."""
    rounds = []
    for _ in range(3):
        started_s = time.perf_counter()
        for _ in range(times):
            work()
        rounds.append((time.perf_counter() - started_s) / times)
    return min(rounds)


def main() -> None:
    """Print a table by the number of keys."""
    rows: list[list[object]] = []
    for keys in KEY_COUNTS:
        stored = configuration_with_keys(keys)
        catalog = decode_catalog(stored)
        assert catalog is not None
        find, name = catalog.workspace, f"key-{keys // 2:08d}"
        check_s = _seconds(lambda: find(key_digest(name)), CHECKS)  # noqa: B023
        decode_s = _seconds(lambda: decode_catalog(stored), 1)  # noqa: B023
        redact_s = _seconds(lambda: without_keys(stored), 1)  # noqa: B023
        rows.append(
            [
                keys,
                f"{check_s * 1e6:.2f}",
                f"{decode_s * 1e3:.1f}",
                f"{redact_s * 1e3:.1f}",
            ]
        )
    write_table(
        "API keys",
        ["keys", "one check, µs", "decoding, ms", "replacing them by digests, ms"],
        rows,
    )
