"""Test of a store call during which its VM is paused."""

import asyncio

from entry_harness import answer
from timed_engines import ScriptedEngine, TimedPool
from virtual_time import LoopClock, VirtualLoop

from rosepath.object_store import StoreAccess
from rosepath.platform.store import PlatformStore

LIMIT_S = 0.5


class StallingLoop(VirtualLoop):
    """Run on virtual time, with pauses on request."""

    def pause(self, for_s: float) -> None:
        self._jumping.now_s += for_s


def test_a_response_received_while_the_vm_is_paused_counts() -> None:
    # The VM gets no processor time for 0.7 s. The response arrived 0.3 s after
    # the call, but was dropped as late: the call was repeated, and the store
    # considered unavailable.
    async def run() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, StallingLoop)
        server = ScriptedEngine(
            "store", lambda received: [(0.3, answer(received, 404, b""))]
        )
        access = StoreAccess(
            address=server.address, call_timeout_s=LIMIT_S, read_patience_s=LIMIT_S
        )
        store = PlatformStore(access, clock=LoopClock())
        store._pool = TimedPool({server.address: server})
        loop.call_later(0.1, loop.pause, 0.7)
        assert await store.get("leases/placement") is None

    with asyncio.Runner(loop_factory=StallingLoop) as runner:
        runner.run(run())
