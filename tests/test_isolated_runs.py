"""One retry of a suspect at a time, whichever VMs they reach."""

from rosepath.isolated_runs import ANNOUNCED_S, HEARD_S, IsolatedRuns

NOW_S = 1000.0


def may_start(
    runs: IsolatedRuns,
    *,
    me: str = "vm-2",
    request_id: str = "q1",
    now_s: float = NOW_S,
    announces: bool = False,
) -> bool:
    return runs.may_start(
        "bad", me=me, request_id=request_id, now_s=now_s, announces=announces
    )


def test_a_retry_waits_while_another_runs_isolated() -> None:
    runs = IsolatedRuns()
    assert may_start(runs)
    runs.start("bad", request_id="q1", server="s1")
    assert not may_start(runs, request_id="q2")
    runs.end("bad", request_id="q2")
    assert not may_start(runs, request_id="q2")
    runs.end("bad", request_id="q1")
    assert may_start(runs, request_id="q2")


def test_a_retry_waits_while_another_vm_runs_one_isolated() -> None:
    runs = IsolatedRuns()
    assert runs.hear("vm-1", {"bad": "s1"}, now_s=NOW_S)
    assert not runs.hear("vm-1", {"bad": "s1"}, now_s=NOW_S)
    assert not may_start(runs)
    assert runs.servers(now_s=NOW_S) == {"s1"}
    runs.hear("vm-1", {}, now_s=NOW_S)
    assert may_start(runs)


# Guards against a request waiting for ever for the isolated run of a VM that died.
def test_the_run_of_a_vm_that_fell_silent_is_forgotten() -> None:
    runs = IsolatedRuns()
    runs.hear("vm-1", {"bad": "s1"}, now_s=NOW_S)
    assert may_start(runs, now_s=NOW_S + HEARD_S + 0.1)


# Guards against repeats that come to all VMs at once being run by all of them.
def test_of_vms_that_announce_a_run_at_once_the_first_by_name_has_it() -> None:
    told: dict[str, IsolatedRuns] = {"vm-1": IsolatedRuns(), "vm-2": IsolatedRuns()}
    for me, runs in told.items():
        assert not may_start(runs, me=me, request_id=me, announces=True)
    for me, other in (("vm-1", "vm-2"), ("vm-2", "vm-1")):
        words = told[other].told(merged=False, now_s=NOW_S)
        told[me].hear(other, words, now_s=NOW_S)
    later_s = NOW_S + ANNOUNCED_S + 0.01
    begins = {
        me: may_start(runs, me=me, request_id=me, now_s=later_s, announces=True)
        for me, runs in told.items()
    }
    assert begins == {"vm-1": True, "vm-2": False}


def test_an_announced_run_yields_to_one_that_was_sent_already() -> None:
    runs = IsolatedRuns()
    assert not may_start(runs, me="vm-1", announces=True)
    runs.hear("vm-2", {"bad": "s1"}, now_s=NOW_S)
    later_s = NOW_S + ANNOUNCED_S + 0.01
    assert not may_start(runs, me="vm-1", now_s=later_s, announces=True)
