"""Replicas are chosen by load, the VM's own requests and prefix affinity."""

import random

from builders import replica
from hypothesis import given, strategies as st

from rosepath.prefixes import BLOCK_CHARS, PrefixIndex, prefix_keys
from rosepath.routing import (
    RoutingPolicy,
    RoutingRequest,
    choose_replica,
    note_failure,
)
from rosepath.tables import Replica


def choose(replicas: list[Replica], **fields: object) -> str:
    request_fields: dict = {"target": "m", "data_centre": "casa-a", **fields}
    chosen = choose_replica(
        replicas,
        RoutingRequest(**request_fields),
        RoutingPolicy(),
        now_s=10.0,
        rng=random.Random(1),
    )
    return chosen.name if chosen else ""


def test_unusable_replicas_are_never_chosen() -> None:
    assert choose([replica("a", leaving=True), replica("b", reachable=False)]) == ""
    assert choose([replica("a", resident=frozenset({"n"}))]) == ""


def test_own_requests_are_added_to_a_stale_report() -> None:
    busy = replica("a", own_start_times={str(n): 5.0 for n in range(6)})
    assert choose([busy, replica("b", running=2)]) == "b"


def test_own_requests_in_the_report_are_counted_once() -> None:
    reported = replica("a", own_start_times={"x": -1.0}, reported_at_s=None)
    for second in range(40):
        reported.note_report(running=3, queued=0, at_s=float(second))
    assert round(reported.load(), 3) == 3


def test_the_local_data_centre_is_preferred_until_overloaded() -> None:
    local, remote = replica("a"), replica("b", data_centre="casa-b")
    assert choose([local, remote]) == "a"
    local.other_vms_load = 12.0
    assert choose([local, remote]) == "b"


def test_a_failed_replica_is_chosen_only_if_no_other_is_left() -> None:
    failed = replica("a")
    note_failure(failed, now_s=10.0)
    assert choose([failed, replica("b", running=9)]) == "b"
    assert choose([failed]) == "a"


def test_a_draining_replica_is_chosen_only_if_no_other_is_left() -> None:
    # Draining means that the configuration declares a drain of the server. A
    # server that announced its own departure is `leaving`, and never chosen.
    drained = replica("a", draining=True)
    assert choose([drained, replica("b", running=9)]) == "b"
    assert choose([drained]) == "a"


def test_prefix_affinity_yields_to_high_load() -> None:
    preferred, other = replica("a", running=1), replica("b")
    assert choose([preferred, other], prefix_home="a") == "a"
    preferred.other_vms_load = 3.0
    assert choose([preferred, other], prefix_home="a") == "b"


def test_prefix_affinity_yields_to_many_own_requests() -> None:
    # All entry VMs choose the same replica for a prefix, so each limits its
    # own requests, of which it has an exact count.
    preferred, other = replica("a"), replica("b")
    preferred.own_start_times = {"x": 0.0, "y": 0.0}
    assert choose([preferred, other], prefix_home="a") == "b"


@given(st.text(min_size=BLOCK_CHARS, max_size=4 * BLOCK_CHARS), st.text(max_size=50))
def test_a_longer_prompt_matches_its_indexed_prefix(prompt: str, more: str) -> None:
    index = PrefixIndex()
    index.record(prefix_keys("m", prompt), "a")
    assert index.find(prefix_keys("m", prompt + more)) == "a"
    assert index.find(prefix_keys("n", prompt + more)) is None


def test_the_prefix_index_is_bounded() -> None:
    index = PrefixIndex(max_entries=10)
    index.record(list(range(100)), "a")
    assert len(index) == 10
