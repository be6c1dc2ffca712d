"""Tests that one retry of a suspect runs at a time across all entry VMs."""

from rosepath.isolated_runs import (
    ANNOUNCEMENT_S,
    PEER_RUNS_TTL_S,
    IsolatedRun,
    IsolatedRuns,
)

NOW_S = 1000.0


def may_start(
    runs: IsolatedRuns,
    *,
    request_id: str = "q1",
    now_s: float = NOW_S,
    announces: bool = False,
) -> bool:
    return runs.may_start(
        "bad", request_id=request_id, now_s=now_s, announces=announces
    )


def a_run(vm: str, server: str = "") -> IsolatedRun:
    return IsolatedRun(vm, "bad", server)


def test_retry_waits_while_another_runs_isolated() -> None:
    runs = IsolatedRuns("vm-2")
    assert may_start(runs)
    runs.start("bad", request_id="q1", server="s1")
    assert not may_start(runs, request_id="q2")
    runs.end("bad", request_id="q2")
    assert not may_start(runs, request_id="q2")
    runs.end("bad", request_id="q1")
    assert may_start(runs, request_id="q2")


def test_retry_waits_while_another_vm_runs_one_isolated() -> None:
    runs = IsolatedRuns("vm-2")
    assert runs.apply_peer_runs("vm-1", [a_run("vm-1", "s1")], now_s=NOW_S)
    assert not runs.apply_peer_runs("vm-1", [a_run("vm-1", "s1")], now_s=NOW_S)
    assert not may_start(runs)
    assert runs.servers(now_s=NOW_S) == {"s1"}
    runs.apply_peer_runs("vm-1", [], now_s=NOW_S)
    assert may_start(runs)


# Guards against a request waiting forever for the isolated run of a failed VM.
def test_run_of_a_vm_that_stopped_sending_state_expires() -> None:
    runs = IsolatedRuns("vm-2")
    runs.apply_peer_runs("vm-1", [a_run("vm-1", "s1")], now_s=NOW_S)
    assert may_start(runs, now_s=NOW_S + PEER_RUNS_TTL_S + 0.1)


# Guards against all VMs running retries that arrive at them at the same time.
def test_first_vm_by_name_runs_what_several_announce_at_once() -> None:
    runs_by_vm: dict[str, IsolatedRuns] = {
        "vm-1": IsolatedRuns("vm-1"),
        "vm-2": IsolatedRuns("vm-2"),
    }
    for me, runs in runs_by_vm.items():
        assert not may_start(runs, request_id=me, announces=True)
    for me, other in (("vm-1", "vm-2"), ("vm-2", "vm-1")):
        sent_runs = runs_by_vm[other].runs(merged=False, now_s=NOW_S)
        runs_by_vm[me].apply_peer_runs(other, sent_runs, now_s=NOW_S)
    later_s = NOW_S + ANNOUNCEMENT_S + 0.01
    starts = {
        me: may_start(runs, request_id=me, now_s=later_s, announces=True)
        for me, runs in runs_by_vm.items()
    }
    assert starts == {"vm-1": True, "vm-2": False}


def test_announced_run_is_withdrawn_if_another_vm_already_runs_it() -> None:
    runs = IsolatedRuns("vm-1")
    assert not may_start(runs, announces=True)
    runs.apply_peer_runs("vm-2", [a_run("vm-2", "s1")], now_s=NOW_S)
    later_s = NOW_S + ANNOUNCEMENT_S + 0.01
    assert not may_start(runs, now_s=later_s, announces=True)


# Guards against an announcement that is withdrawn each time, and a request that
# is held until it is refused, as the lease holder of a large fleet forwards it.
def test_forwarded_own_announcement_does_not_compete() -> None:
    holder, runs = IsolatedRuns("vm-1"), IsolatedRuns("vm-2")
    assert not may_start(runs, announces=True)
    holder.apply_peer_runs("vm-2", runs.runs(merged=False, now_s=NOW_S), now_s=NOW_S)
    forwarded = holder.runs(merged=True, now_s=NOW_S)
    assert forwarded == {a_run("vm-2")}
    assert not runs.apply_peer_runs("vm-1", forwarded, now_s=NOW_S)
    later_s = NOW_S + ANNOUNCEMENT_S + 0.01
    assert may_start(runs, now_s=later_s, announces=True)
