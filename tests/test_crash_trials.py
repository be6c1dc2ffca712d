"""One suspect at a time, wherever its repeats come."""

from rosepath.crash_trials import CLAIM_S, HEARD_S, CrashTrials

NOW_S = 1000.0


def may_begin(
    trials: CrashTrials,
    *,
    me: str = "vm-2",
    request_id: str = "q1",
    now_s: float = NOW_S,
    claims: bool = False,
) -> bool:
    return trials.may_begin(
        "bad", me=me, request_id=request_id, now_s=now_s, claims=claims
    )


def test_a_repeat_waits_while_another_is_tried() -> None:
    trials = CrashTrials()
    assert may_begin(trials)
    trials.begin("bad", request_id="q1", server="s1")
    assert not may_begin(trials, request_id="q2")
    trials.end("bad", request_id="q2")
    assert not may_begin(trials, request_id="q2")
    trials.end("bad", request_id="q1")
    assert may_begin(trials, request_id="q2")


def test_a_repeat_waits_while_another_vm_tries_one() -> None:
    trials = CrashTrials()
    assert trials.hear("vm-1", {"bad": "s1"}, now_s=NOW_S)
    assert not trials.hear("vm-1", {"bad": "s1"}, now_s=NOW_S)
    assert not may_begin(trials)
    assert trials.servers(now_s=NOW_S) == {"s1"}
    trials.hear("vm-1", {}, now_s=NOW_S)
    assert may_begin(trials)


# Guards against a request waiting for ever for the trial of a VM that died.
def test_the_trial_of_a_vm_that_fell_silent_is_forgotten() -> None:
    trials = CrashTrials()
    trials.hear("vm-1", {"bad": "s1"}, now_s=NOW_S)
    assert may_begin(trials, now_s=NOW_S + HEARD_S + 0.1)


# Guards against repeats that come to all VMs at once being tried by all of them.
def test_of_vms_that_claim_a_trial_at_once_the_first_by_name_has_it() -> None:
    told: dict[str, CrashTrials] = {"vm-1": CrashTrials(), "vm-2": CrashTrials()}
    for me, trials in told.items():
        assert not may_begin(trials, me=me, request_id=me, claims=True)
    for me, other in (("vm-1", "vm-2"), ("vm-2", "vm-1")):
        words = told[other].told(merged=False, now_s=NOW_S)
        told[me].hear(other, words, now_s=NOW_S)
    later_s = NOW_S + CLAIM_S + 0.01
    begins = {
        me: may_begin(trials, me=me, request_id=me, now_s=later_s, claims=True)
        for me, trials in told.items()
    }
    assert begins == {"vm-1": True, "vm-2": False}


def test_a_claim_yields_to_a_trial_that_runs_already() -> None:
    trials = CrashTrials()
    assert not may_begin(trials, me="vm-1", claims=True)
    trials.hear("vm-2", {"bad": "s1"}, now_s=NOW_S)
    later_s = NOW_S + CLAIM_S + 0.01
    assert not may_begin(trials, me="vm-1", now_s=later_s, claims=True)
