"""Run the benchmarks named as arguments, or `DEFAULT_BENCHMARKS`."""

import importlib
import sys
import time

DEFAULT_BENCHMARKS = (
    "relay",
    "routing",
    "retries",
    "placement",
    "capacity",
    "control",
    "soak",
)


def main() -> None:
    """Run each benchmark and print its duration."""
    for name in sys.argv[1:] or DEFAULT_BENCHMARKS:
        started_s = time.perf_counter()
        importlib.import_module(f"benchmarks.{name}").main()
        print(f"({name}: {time.perf_counter() - started_s:.0f} s)\n", flush=True)


if __name__ == "__main__":
    main()
