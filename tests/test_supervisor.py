"""A loop that fails is restarted."""

import asyncio

from rosepath.supervisor import Supervisor


def test_a_failing_loop_is_restarted() -> None:
    # A loop such as gossip that ended at its first exception would leave the
    # VM serving callers with a view that is never updated again.
    async def run() -> None:
        runs = 0
        restarted = asyncio.Event()

        async def fail_once() -> None:
            nonlocal runs
            runs += 1
            if runs == 1:
                raise RuntimeError("once")
            restarted.set()
            await asyncio.Event().wait()

        loops = Supervisor()
        loops.forever(fail_once)
        await asyncio.wait_for(restarted.wait(), 30)
        await loops.stop()

    asyncio.run(run())


def test_a_failing_step_is_run_again() -> None:
    async def run() -> None:
        steps = 0
        enough = asyncio.Event()

        async def step() -> None:
            nonlocal steps
            steps += 1
            if steps < 3:
                raise RuntimeError("twice")
            enough.set()

        loops = Supervisor()
        loops.every(0.001, step)
        await asyncio.wait_for(enough.wait(), 30)
        await loops.stop()

    asyncio.run(run())
