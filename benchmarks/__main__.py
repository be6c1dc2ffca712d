"""Run the benchmarks: all, or those named."""

import importlib
import sys
import time

ALL = (
    "relay",
    "routing",
    "retries",
    "placement",
    "capacity",
    "control",
    "soak",
)


def main() -> None:
    """Run each benchmark and say how long it took."""
    for name in sys.argv[1:] or ALL:
        started_s = time.perf_counter()
        importlib.import_module(f"benchmarks.{name}").main()
        print(f"({name}: {time.perf_counter() - started_s:.0f} s)\n", flush=True)


if __name__ == "__main__":
    main()
