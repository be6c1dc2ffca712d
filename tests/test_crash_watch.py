"""Tests of which lost connections count as crashes of servers."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest
from entry_builders import a_crash_watch, a_server
from structlog.testing import capture_logs
from virtual_time import LoopClock, VirtualLoop

from rosepath.clock import ManualClock
from rosepath.crash_records import SURVIVED_TTL_S, Exposure, Suspicion
from rosepath.crash_watch import (
    ACTIVE_WITHIN_S,
    LOST_RUN_TTL_S,
    PROBE_INTERVAL_S,
    CrashWatch,
    LostRun,
    instance_of,
)
from rosepath.fleet import BackendServer
from rosepath.server_choice import note_backoff
from rosepath.server_probe import ServerContact

AfterLoss = Callable[[CrashWatch, BackendServer, ManualClock], None]


def suspicion_after(
    contact: ServerContact,
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
        return watch.suspicion("bad")

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
        watch = a_crash_watch(clock, contact=ServerContact.GONE)
        watch.note_survived(("part:first",))
        await watch.note_lost(
            server, replace(a_run(clock), part_keys=("part:first", "part:x"))
        )
        (report,) = watch.records.recent_reports()
        assert report.part_keys == ("part:x",)

    asyncio.run(run())


# Guards against VMs that suspect sound requests for a part that survived elsewhere
# shortly before servers stopped answering.
def test_undecided_runs_leave_out_parts_with_which_runs_survived_before() -> None:
    async def run() -> None:
        clock, server = ManualClock(), a_server("s1")
        watch = a_crash_watch(clock, contact=ServerContact.ACCEPTED)
        watch.note_survived(("part:first",))
        clock.advance(SURVIVED_TTL_S / 2)
        await watch.note_lost(
            server, replace(a_run(clock), part_keys=("part:first", "part:x"))
        )
        runs = watch.undecided.runs(merged=False, now_s=clock.monotonic_s())
        assert [run.report.part_keys for run in runs] == [("part:x",)]
        watch.undecided.replace(instance_of(server), ())
        watch._followed[instance_of(server)].cancel()

    asyncio.run(run())


def crashed(watch: CrashWatch, server: BackendServer, _: ManualClock) -> None:
    watch.note_crashed(instance_of(server))


def restarted_later(
    watch: CrashWatch, server: BackendServer, clock: ManualClock
) -> None:
    clock.advance(1.0)
    born_ms = int(clock.wall_s() * 1000)
    watch.note_crashed(instance_of(server), successor_born_ms=born_ms)


def restarted_before_the_answer(
    watch: CrashWatch, server: BackendServer, clock: ManualClock
) -> None:
    born_ms = int(clock.wall_s() * 1000) - 100
    watch.note_crashed(instance_of(server), successor_born_ms=born_ms)


def expired(watch: CrashWatch, server: BackendServer, clock: ManualClock) -> None:
    clock.advance(LOST_RUN_TTL_S + 0.1)
    watch.note_crashed(instance_of(server))


def completed(watch: CrashWatch, _: BackendServer, __: ManualClock) -> None:
    watch.clear("bad")


def crashed_much_later(
    watch: CrashWatch, server: BackendServer, clock: ManualClock
) -> None:
    clock.advance(LOST_RUN_TTL_S + 0.1)
    crashed(watch, server, clock)


def test_server_that_refuses_connections_after_a_lost_run_crashed() -> None:
    assert suspicion_after(ServerContact.GONE) is Suspicion.SUSPECT


# Guards against suspecting requests whose connections a middlebox reset.
def test_connection_reset_by_a_server_that_answers_is_no_crash() -> None:
    answered = ServerContact.ANSWERED
    assert suspicion_after(answered) is Suspicion.CLEAR
    assert suspicion_after(answered, after_loss=crashed) is Suspicion.CLEAR
    assert suspicion_after(answered, after_loss=restarted_later) is Suspicion.CLEAR


# Guards against taking the answer of the next process for that of the server.
def test_answer_of_a_restarted_server_does_not_hide_its_crash() -> None:
    after_restart = suspicion_after(
        ServerContact.ANSWERED, after_loss=restarted_before_the_answer
    )
    assert after_restart is Suspicion.SUSPECT


# Guards against taking an accepted connection for an answer.
def test_server_that_accepts_without_an_answer_is_undecided() -> None:
    accepted = ServerContact.ACCEPTED
    assert suspicion_after(accepted) is Suspicion.SUSPECT
    assert suspicion_after(accepted, after_loss=crashed) is Suspicion.SUSPECT
    assert suspicion_after(accepted, after_loss=expired) is Suspicion.CLEAR
    assert suspicion_after(accepted, after_loss=completed) is Suspicion.CLEAR


# Guards against sending a likely cause to a fourth server before it is known
# whether the first three crashed.
def test_request_lost_at_three_undecided_servers_is_held() -> None:
    async def run() -> None:
        clock = ManualClock()
        watch = a_crash_watch(clock, contact=ServerContact.ACCEPTED)
        peer = a_crash_watch(clock, entry_vm="vm-2", contact=ServerContact.ACCEPTED)
        exposures = (Exposure.STARTING, Exposure.ISOLATED, Exposure.ISOLATED)
        for number, exposure in enumerate(exposures):
            assert watch.suspicion("bad") < Suspicion.HELD
            lost = replace(a_run(clock), exposure=exposure)
            await watch.note_lost(a_server(f"s{number}"), lost)
        assert watch.suspicion("bad") is Suspicion.HELD
        now_s = clock.monotonic_s()
        told = watch.undecided.runs(merged=False, now_s=now_s)
        peer.undecided.apply_peer_runs("vm-1", told, now_s=now_s)
        assert peer.suspicion("bad") is Suspicion.HELD
        assert watch.suspicion("other") is Suspicion.CLEAR
        clock.advance(LOST_RUN_TTL_S + 0.1)
        assert peer.suspicion("bad") is Suspicion.CLEAR

    asyncio.run(run())


# Guards against isolating a request that busy servers lost although others run it.
def test_request_that_completes_elsewhere_is_not_suspected_for_undecided_runs() -> None:
    async def run() -> None:
        clock = ManualClock()
        watch = a_crash_watch(clock, contact=ServerContact.ACCEPTED)
        peer = a_crash_watch(clock, entry_vm="vm-2")
        await watch.note_lost(a_server("s1"), a_run(clock))
        told = watch.undecided.runs(merged=False, now_s=clock.monotonic_s())
        peer.undecided.apply_peer_runs("vm-1", told, now_s=clock.monotonic_s())
        peer.clear("bad")
        assert peer.suspicion("bad") is Suspicion.CLEAR
        assert watch.apply_cleared(peer.records.cleared)
        clock.advance(1.0)
        await watch.note_lost(a_server("s2"), a_run(clock))
        await watch.note_lost(a_server("s1"), a_run(clock))
        assert watch.suspicion("bad") is Suspicion.CLEAR

    asyncio.run(run())


# Guards against holding what a busy server lost once it answers again.
def test_undecided_server_that_answers_later_has_not_crashed() -> None:
    contacts = [ServerContact.ACCEPTED, ServerContact.ACCEPTED, ServerContact.ANSWERED]

    async def play() -> None:
        async def probe(_: BackendServer, *, limit_s: float) -> ServerContact:
            return contacts.pop(0)

        watch = CrashWatch(
            "vm-1", clock=LoopClock(), probe=probe, on_change=lambda: None
        )
        now_s = asyncio.get_running_loop().time()
        await watch.note_lost(a_server("s1"), replace(a_run(clock), lost_s=now_s))
        assert watch.suspicion("bad") is Suspicion.SUSPECT
        await asyncio.sleep(2.5 * PROBE_INTERVAL_S)
        assert watch.suspicion("bad") is Suspicion.CLEAR
        assert not contacts

    clock = ManualClock()
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(play())


# Guards against taking a machine that vanished for one that lost nothing.
def test_server_that_accepts_no_connection_is_undecided_until_its_entry_tells() -> None:
    unknown = ServerContact.UNKNOWN
    assert suspicion_after(unknown) is Suspicion.SUSPECT
    assert suspicion_after(unknown, after_loss=crashed) is Suspicion.SUSPECT
    assert suspicion_after(unknown, after_loss=expired) is Suspicion.CLEAR
    assert suspicion_after(unknown, after_loss=completed) is Suspicion.CLEAR


def test_crash_long_after_a_lost_run_is_not_related_to_it() -> None:
    later = suspicion_after(ServerContact.UNKNOWN, after_loss=crashed_much_later)
    assert later is Suspicion.CLEAR


async def suspicion_after_silence(
    clock: ManualClock, server: BackendServer, contact: ServerContact
) -> tuple[CrashWatch, Suspicion]:
    watch = a_crash_watch(clock, contact=contact)
    await watch.note_silent(server, a_run(clock))
    return watch, watch.suspicion("bad")


# Guards against sending a request to one server after the other while those that
# it crashed only fall silent.
@pytest.mark.parametrize("contact", [ServerContact.UNKNOWN, ServerContact.ACCEPTED])
def test_run_at_a_silent_server_is_undecided_and_reported_once_its_entry_is_removed(
    contact: ServerContact,
) -> None:
    async def run() -> None:
        clock, server = ManualClock(), a_server("s1")
        watch, suspicion = await suspicion_after_silence(clock, server, contact)
        assert suspicion is Suspicion.SUSPECT
        assert watch.records.suspicion("bad") is Suspicion.CLEAR
        crashed(watch, server, clock)
        assert watch.records.suspicion("bad") is Suspicion.SUSPECT

    asyncio.run(run())


# Guards against suspecting requests that a slow server has not begun to answer.
def test_run_at_a_server_that_answers_or_serves_others_is_not_undecided() -> None:
    async def run() -> None:
        clock, server = ManualClock(), a_server("s1")
        _, suspicion = await suspicion_after_silence(
            clock, server, ServerContact.ANSWERED
        )
        assert suspicion is Suspicion.CLEAR
        server.last_activity_s = clock.monotonic_s() - ACTIVE_WITHIN_S / 2
        _, suspicion = await suspicion_after_silence(
            clock, server, ServerContact.UNKNOWN
        )
        assert suspicion is Suspicion.CLEAR

    asyncio.run(run())


# Guards against a probe for each caller that leaves at once, and against forgetting
# what its request may have crashed.
def test_run_that_its_caller_left_at_once_is_reported_if_the_server_crashed() -> None:
    async def run() -> None:
        clock, server = ManualClock(), a_server("s1")
        watch = a_crash_watch(clock, contact=ServerContact.UNKNOWN)
        sent_s = clock.monotonic_s() - ACTIVE_WITHIN_S / 2
        await watch.note_silent(server, replace(a_run(clock), sent_s=sent_s))
        assert watch.suspicion("bad") is Suspicion.CLEAR
        crashed(watch, server, clock)
        assert watch.suspicion("bad") is Suspicion.SUSPECT

    asyncio.run(run())


# Guards against forgetting that a run had begun as its deadline ends it.
def test_run_that_was_silent_and_is_lost_later_is_reported_once_as_it_began() -> None:
    async def run() -> None:
        clock, server = ManualClock(), a_server("s1")
        watch = a_crash_watch(clock, contact=ServerContact.UNKNOWN)
        begun = replace(a_run(clock), part_keys=("part:x",))
        await watch.note_silent(server, begun)
        await watch.note_lost(server, replace(a_run(clock), exposure=Exposure.PRESENT))
        crashed(watch, server, clock)
        (report,) = watch.records.recent_reports()
        assert (report.exposure, report.part_keys) == (Exposure.STARTING, ("part:x",))

    asyncio.run(run())


# Guards against charging nothing to runs that end after the crash was noted: those
# that may not be repeated stay until then.
def test_run_lost_after_its_server_restarted_is_reported() -> None:
    async def run() -> None:
        clock, server = ManualClock(), a_server("s1")
        watch = a_crash_watch(clock, starts_ms={"s1": server.entry.born_ms + 1})
        server.left = True
        await watch.note_lost(server, a_run(clock))
        assert watch.records.suspicion("bad") is Suspicion.SUSPECT

    asyncio.run(run())


# Guards against the same where the entry lapsed before the server was back, and
# against taking the end of a server that left without a word for a crash.
@pytest.mark.parametrize("contact", [ServerContact.UNKNOWN, ServerContact.GONE])
def test_run_lost_at_a_server_without_an_entry_is_undecided_until_it_restarts(
    contact: ServerContact,
) -> None:
    async def run() -> None:
        clock, server = ManualClock(), a_server("s1")
        starts_ms = {"s1": server.entry.born_ms}
        watch = a_crash_watch(clock, contact=contact, starts_ms=starts_ms)
        server.left = True
        await watch.note_lost(server, a_run(clock))
        assert watch.suspicion("bad") is Suspicion.SUSPECT
        assert watch.records.suspicion("bad") is Suspicion.CLEAR
        watch.note_restarted("s1")
        assert watch.records.suspicion("bad") is Suspicion.CLEAR
        starts_ms["s1"] += 1
        watch.note_restarted("s1")
        assert watch.records.suspicion("bad") is Suspicion.SUSPECT

    asyncio.run(run())


# Guards against charging a later crash to a run that was slow and completed.
def test_silent_run_that_completes_is_not_reported_later() -> None:
    async def run() -> None:
        clock, server = ManualClock(), a_server("s1")
        watch = a_crash_watch(clock, contact=ServerContact.UNKNOWN)
        await watch.note_silent(server, a_run(clock))
        watch.note_progress(server, "q1")
        crashed(watch, server, clock)
        assert watch.suspicion("bad") is Suspicion.CLEAR

    asyncio.run(run())


# Guards against suspecting requests at the end of a planned departure.
def test_departure_of_a_draining_server_is_no_crash() -> None:
    assert suspicion_after(ServerContact.GONE, draining=True) is Suspicion.CLEAR


# Guards against a connection for each look at each run of a slow server.
def test_silent_runs_of_a_server_that_answered_a_moment_ago_cause_no_probe() -> None:
    async def run() -> list[int]:
        clock, server, counts = ManualClock(), a_server("s1"), []

        async def probe(_: BackendServer, *, limit_s: float) -> ServerContact:
            counts.append(len(counts) + 1)
            return ServerContact.ANSWERED

        watch = CrashWatch("vm-1", clock=clock, probe=probe, on_change=lambda: None)
        for number in range(10):
            await watch.note_silent(server, a_run(clock, request_id=f"q{number}"))
            clock.advance(PROBE_INTERVAL_S / 5)
        return counts

    assert asyncio.run(run()) == [1, 2]


# Guards against probing a server again and again for one slow run.
def test_slow_run_causes_one_probe_of_a_server_that_answers() -> None:
    async def run() -> list[int]:
        clock, server, counts = ManualClock(), a_server("s1"), []

        async def probe(_: BackendServer, *, limit_s: float) -> ServerContact:
            counts.append(len(counts) + 1)
            return ServerContact.ANSWERED

        watch = CrashWatch("vm-1", clock=clock, probe=probe, on_change=lambda: None)
        for _ in range(10):
            await watch.note_silent(server, a_run(clock))
            clock.advance(2 * PROBE_INTERVAL_S)
        return counts

    assert asyncio.run(run()) == [1]


# Guards against a state message for each of hundreds of runs at a dark server.
def test_only_undecided_runs_that_make_suspects_are_told_at_once() -> None:
    async def run() -> list[int]:
        clock, told, counts = ManualClock(), 0, []

        def tell() -> None:
            nonlocal told
            told += 1

        async def probe(_: BackendServer, *, limit_s: float) -> ServerContact:
            return ServerContact.UNKNOWN

        watch = CrashWatch("vm-1", clock=clock, probe=probe, on_change=tell)
        for server in (a_server("s1"), a_server("s2")):
            for number in range(20):
                waiting = replace(
                    a_run(clock, request_id=f"q{number}"),
                    content_key=f"c{number}",
                    exposure=Exposure.PRESENT,
                )
                await watch.note_silent(server, waiting)
            counts.append(told)
        return counts

    # At the second server each is a suspect.
    assert asyncio.run(run()) == [0, 20]


# Guards against health checks at a server that asked for no requests.
def test_server_that_asked_for_rest_is_not_probed_until_its_end() -> None:
    async def run() -> None:
        clock, server, probed_s = ManualClock(), a_server("s1"), []

        async def probe(_: BackendServer, *, limit_s: float) -> ServerContact:
            probed_s.append(clock.monotonic_s())
            return ServerContact.GONE

        watch = CrashWatch("vm-1", clock=clock, probe=probe, on_change=lambda: None)
        note_backoff(server, retry_after_s=3.0, now_s=clock.monotonic_s())
        await watch.note_lost(server, a_run(clock))
        assert (probed_s, watch.suspicion("bad")) == ([], Suspicion.SUSPECT)
        assert watch.records.suspicion("bad") is Suspicion.CLEAR
        clock.advance(3.1)
        watch.undecided.decide(instance_of(server))
        await watch.note_lost(server, a_run(clock))
        assert len(probed_s) == 1

    asyncio.run(run())


# Guards against a burst of connections to a server that just lost many runs.
def test_many_lost_runs_of_a_server_share_one_probe() -> None:
    async def run() -> int:
        clock, server, probes = ManualClock(), a_server("s1"), 0

        async def probe(_: BackendServer, *, limit_s: float) -> ServerContact:
            nonlocal probes
            probes += 1
            await asyncio.sleep(0)
            return ServerContact.GONE

        watch = CrashWatch("vm-1", clock=clock, probe=probe, on_change=lambda: None)
        lost = [a_run(clock, request_id=f"q{number}") for number in range(20)]
        await asyncio.gather(*(watch.note_lost(server, one) for one in lost))
        return probes

    assert asyncio.run(run()) == 1


def test_causes_that_are_parts_of_prompts_are_logged_once() -> None:
    async def run() -> None:
        clock = ManualClock()
        watch = a_crash_watch(clock, contact=ServerContact.GONE)
        watch.records.quarantine("part:first+part:x")
        with capture_logs() as lines:
            watch.log_causes()
            watch.log_causes()
            watch.note_survived(("part:first",))
            watch.log_causes()
        found = [(line["event"], line["suspected"]) for line in lines]
        assert found == [
            ("part_cause_found", "part:first+part:x"),
            ("part_cause_found", "part:x"),
            ("part_cause_replaced", "part:first+part:x"),
        ]

    asyncio.run(run())
