"""Lease holders keep an engine's limits while faults overlap."""

import asyncio
from pathlib import Path

from benchmarks.order_soak import soak

LASTS_S = 10.0


# Guards against orders that only real processes, sockets and signals bring to
# an engine at the wrong time.
def test_short_soak_exceeds_no_engine(tmp_path: Path) -> None:
    run = asyncio.run(soak(1, duration_s=LASTS_S, directory=tmp_path))
    assert run.failures() == {}
    assert len({order.fence for order in run.fleet.orders}) > 1
    assert any(order.executed_s is not None for order in run.fleet.orders)
