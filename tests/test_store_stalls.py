"""What a call to the store makes of a moment in which its VM stood still."""

import asyncio

from entry_harness import answer
from timed_engines import Engine, TimedPool
from virtual_time import LoopClock, VirtualLoop

from rosepath.platform.store import PlatformStore, StoreAccess

LIMIT_S = 0.5


class StallingLoop(VirtualLoop):
    """Run on virtual time, and stand still when told so."""

    def stand_still(self, for_s: float) -> None:
        self._jumping.now_s += for_s


def test_an_answer_that_came_while_the_vm_stood_still_counts() -> None:
    # Its processor was taken from a VM for 0.7 s. The store's answer had arrived
    # 0.3 s after the call, and was dropped as late: the call was made again, and
    # the store taken for lost.
    async def run() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, StallingLoop)
        server = Engine("store", lambda asked: [(0.3, answer(asked, 404, b""))])
        access = StoreAccess(
            address=server.address, call_timeout_s=LIMIT_S, read_patience_s=LIMIT_S
        )
        store = PlatformStore(access, clock=LoopClock())
        store._pool = TimedPool({server.address: server})
        loop.call_later(0.1, loop.stand_still, 0.7)
        assert await store.get("leases/placement") is None

    with asyncio.Runner(loop_factory=StallingLoop) as runner:
        runner.run(run())
