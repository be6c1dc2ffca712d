"""Tests of which lost connections count as crashes of servers."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from entry_builders import a_crash_watch, a_server

from rosepath.clock import ManualClock
from rosepath.crash_records import Exposure, Suspicion
from rosepath.crash_watch import LOST_RUN_TTL_S, CrashWatch, LostRun, instance_of
from rosepath.fleet import BackendServer
from rosepath.http_client import ProbeResult

AfterLoss = Callable[[CrashWatch, BackendServer, ManualClock], None]


def suspicion_after(
    contact: ProbeResult,
    *,
    after_loss: AfterLoss = lambda *_: None,
    draining: bool = False,
) -> Suspicion:
    """Return the suspicion of a request whose run was lost as it started."""
    clock = ManualClock()
    server = a_server("s1", draining=draining)

    async def run() -> Suspicion:
        watch = a_crash_watch(clock, contact=contact)
        await watch.note_lost(server, a_run(clock))
        after_loss(watch, server, clock)
        return watch.records.suspicion("bad")

    return asyncio.run(run())


def a_run(clock: ManualClock, *, request_id: str = "q1") -> LostRun:
    return LostRun(
        request_id=request_id,
        content_key="bad",
        exposure=Exposure.STARTING,
        lost_s=clock.monotonic_s(),
    )


# Guards against reports that other VMs need a message more to refute.
def test_a_crash_report_leaves_out_parts_with_which_runs_survive() -> None:
    async def run() -> None:
        clock, server = ManualClock(), a_server("s1")
        watch = a_crash_watch(clock, contact=ProbeResult.REFUSED)
        watch.note_survived(("part:first",))
        await watch.note_lost(
            server, replace(a_run(clock), part_keys=("part:first", "part:x"))
        )
        (report,) = watch.records.recent_reports()
        assert report.part_keys == ("part:x",)

    asyncio.run(run())


def crashed(watch: CrashWatch, server: BackendServer, _: ManualClock) -> None:
    watch.note_crashed(instance_of(server))


def crashed_much_later(
    watch: CrashWatch, server: BackendServer, clock: ManualClock
) -> None:
    clock.advance(LOST_RUN_TTL_S + 0.1)
    crashed(watch, server, clock)


def test_server_that_refuses_connections_after_a_lost_run_crashed() -> None:
    assert suspicion_after(ProbeResult.REFUSED) is Suspicion.SUSPECT


# Guards against suspecting requests whose connections a middlebox reset.
def test_connection_reset_by_a_listening_server_is_no_crash() -> None:
    assert suspicion_after(ProbeResult.ACCEPTED) is Suspicion.CLEAR
    assert suspicion_after(ProbeResult.ACCEPTED, after_loss=crashed) is Suspicion.CLEAR


def test_unresponsive_server_crashed_once_its_entry_is_removed() -> None:
    assert suspicion_after(ProbeResult.UNKNOWN) is Suspicion.CLEAR
    assert suspicion_after(ProbeResult.UNKNOWN, after_loss=crashed) is Suspicion.SUSPECT


def test_crash_long_after_a_lost_run_is_not_related_to_it() -> None:
    later = suspicion_after(ProbeResult.UNKNOWN, after_loss=crashed_much_later)
    assert later is Suspicion.CLEAR


def test_timed_out_run_is_reported_once_the_entry_is_removed() -> None:
    async def run() -> Suspicion:
        clock, server = ManualClock(), a_server("s1")
        watch = a_crash_watch(clock)
        watch.note_timeout(server, a_run(clock))
        assert watch.records.suspicion("bad") is Suspicion.CLEAR
        crashed(watch, server, clock)
        return watch.records.suspicion("bad")

    assert asyncio.run(run()) is Suspicion.SUSPECT


# Guards against suspecting requests at the end of a planned departure.
def test_departure_of_a_draining_server_is_no_crash() -> None:
    assert suspicion_after(ProbeResult.REFUSED, draining=True) is Suspicion.CLEAR


# Guards against a burst of connections to a server that just lost many runs.
def test_many_lost_runs_of_a_server_share_one_probe() -> None:
    async def run() -> int:
        clock, server, probes = ManualClock(), a_server("s1"), 0

        async def probe(address: str, *, limit_s: float) -> ProbeResult:
            nonlocal probes
            probes += 1
            await asyncio.sleep(0)
            return ProbeResult.REFUSED

        watch = CrashWatch("vm-1", clock=clock, probe=probe, on_change=lambda: None)
        lost = [a_run(clock, request_id=f"q{number}") for number in range(20)]
        await asyncio.gather(*(watch.note_lost(server, one) for one in lost))
        return probes

    assert asyncio.run(run()) == 1
