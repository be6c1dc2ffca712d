"""Tests that suspects neither run twice nor share a server, over all entry VMs."""

from rosepath.isolated_runs import (
    ANNOUNCEMENT_S,
    IsolatedRun,
    IsolatedRuns,
)
from rosepath.peer_statements import STATEMENT_TTL_S

NOW_S = 1000.0
LATER_S = NOW_S + ANNOUNCEMENT_S + 0.01


def may_run(
    runs: IsolatedRuns, *, request_id: str = "q1", now_s: float = NOW_S
) -> bool:
    return runs.may_run("bad", request_id=request_id, now_s=now_s)


def reserve(
    runs: IsolatedRuns,
    *,
    content: str = "bad",
    request_id: str = "q1",
    server: str = "s1",
    now_s: float = NOW_S,
) -> bool:
    return runs.reserve(content, request_id=request_id, server=server, now_s=now_s)


def a_run(
    vm: str, server: str = "s1", *, content: str = "bad", sent: bool = True
) -> IsolatedRun:
    return IsolatedRun(vm, content, server, sent)


def exchange_runs(*all_runs: IsolatedRuns) -> None:
    """Deliver each VM's own runs to the others."""
    sent = {vm: vm.runs(merged=False, now_s=NOW_S) for vm in all_runs}
    for receiver in all_runs:
        for number, sender in enumerate(all_runs):
            if sender is not receiver:
                receiver.apply_peer_runs(f"{number}", sent[sender], now_s=NOW_S)


def test_retry_waits_while_another_runs_isolated() -> None:
    runs = IsolatedRuns("vm-2")
    assert may_run(runs)
    runs.start("bad", request_id="q1", server="s1")
    assert not may_run(runs, request_id="q2")
    runs.end("bad", request_id="q2")
    assert not may_run(runs, request_id="q2")
    runs.end("bad", request_id="q1")
    assert may_run(runs, request_id="q2")


def test_retry_waits_while_another_vm_runs_one_isolated() -> None:
    runs = IsolatedRuns("vm-2")
    assert runs.apply_peer_runs("vm-1", [a_run("vm-1")], now_s=NOW_S)
    assert not runs.apply_peer_runs("vm-1", [a_run("vm-1")], now_s=NOW_S)
    assert not may_run(runs)
    assert not reserve(runs, server="s2")
    assert runs.taken_servers("other", now_s=NOW_S) == {"s1"}
    runs.apply_peer_runs("vm-1", [], now_s=NOW_S)
    assert may_run(runs)


# Guards against a request waiting forever for the isolated run of a failed VM.
def test_run_of_a_vm_that_stopped_sending_state_expires() -> None:
    runs = IsolatedRuns("vm-2")
    runs.apply_peer_runs("vm-1", [a_run("vm-1")], now_s=NOW_S)
    assert may_run(runs, now_s=NOW_S + STATEMENT_TTL_S + 0.1)


def test_suspect_is_sent_once_its_server_was_announced() -> None:
    changes: list[bool] = []
    runs = IsolatedRuns("vm-1", on_change=lambda: changes.append(True))
    assert not reserve(runs)
    assert len(changes) == 1
    assert runs.reserved_server("bad", request_id="q1") == "s1"
    assert reserve(runs, now_s=LATER_S)
    runs.start("bad", request_id="q1", server="s1")
    assert runs.reserved_server("bad", request_id="q1") is None
    assert runs.runs(merged=False, now_s=NOW_S) == {a_run("vm-1")}


# Guards against all VMs running retries that arrive at them at the same time.
def test_first_vm_by_name_runs_what_several_announce_at_once() -> None:
    first, second = IsolatedRuns("vm-1"), IsolatedRuns("vm-2")
    assert not reserve(first, request_id="q1", server="s1")
    assert not reserve(second, request_id="q2", server="s2")
    exchange_runs(first, second)
    assert reserve(first, request_id="q1", server="s1", now_s=LATER_S)
    assert not reserve(second, request_id="q2", server="s2", now_s=LATER_S)
    assert second.runs(merged=False, now_s=NOW_S) == frozenset()


def test_announced_run_is_withdrawn_if_another_vm_already_runs_it() -> None:
    runs = IsolatedRuns("vm-1")
    assert not reserve(runs)
    runs.apply_peer_runs("vm-2", [a_run("vm-2")], now_s=NOW_S)
    assert not reserve(runs, now_s=LATER_S)


# Guards against an unrelated request that is blamed for a crash, as two suspects
# were sent to the same server at the same moment.
def test_first_vm_by_name_uses_a_server_that_several_reserve_at_once() -> None:
    first, second = IsolatedRuns("vm-1"), IsolatedRuns("vm-2")
    assert not reserve(first, content="bad")
    assert not reserve(second, content="good")
    exchange_runs(first, second)
    assert reserve(first, content="bad", now_s=LATER_S)
    assert second.taken_servers("good", now_s=LATER_S) == {"s1"}
    assert not reserve(second, content="good", now_s=LATER_S)
    assert second.reserved_server("good", request_id="q1") is None
    assert not reserve(second, content="good", server="s2", now_s=LATER_S)
    assert reserve(
        second, content="good", server="s2", now_s=LATER_S + ANNOUNCEMENT_S + 0.01
    )


def test_server_of_a_run_in_progress_is_taken() -> None:
    runs = IsolatedRuns("vm-1")
    assert not reserve(runs, content="good")
    runs.apply_peer_runs("vm-2", [a_run("vm-2")], now_s=NOW_S)
    assert runs.taken_servers("good", now_s=NOW_S) == {"s1"}
    assert not reserve(runs, content="good", now_s=LATER_S)


def test_two_suspects_of_one_vm_use_different_servers() -> None:
    runs = IsolatedRuns("vm-1")
    assert not reserve(runs, content="bad")
    assert runs.taken_servers("good", now_s=NOW_S) == {"s1"}
    assert not reserve(runs, content="good")
    assert reserve(runs, content="bad", now_s=LATER_S)
    assert runs.reserved_server("good", request_id="q1") is None


# Guards against an announcement that is withdrawn each time, and a request that
# is held until it is refused, as the lease holder of a large fleet forwards it.
def test_forwarded_own_announcement_does_not_compete() -> None:
    holder, runs = IsolatedRuns("vm-1"), IsolatedRuns("vm-2")
    assert not reserve(runs)
    holder.apply_peer_runs("vm-2", runs.runs(merged=False, now_s=NOW_S), now_s=NOW_S)
    forwarded = holder.runs(merged=True, now_s=NOW_S)
    assert forwarded == {a_run("vm-2", sent=False)}
    assert not runs.apply_peer_runs("vm-1", forwarded, now_s=NOW_S)
    assert reserve(runs, now_s=LATER_S)
