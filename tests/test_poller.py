"""Assignment of polls, decoding of load reports, smoothing of demand."""

from builders import configuration, engine_operation, operation, replica
from hypothesis import given, strategies as st

from rosepath.poller import (
    apply_load,
    polled_by,
    reported_leaving,
    smooth_demand,
    sync_replicas,
    unreachable_row,
)
from rosepath.proto.rosepath_pb2 import LoadPayload
from rosepath.tables import Tables

MEMBERS = [f"entry-{n}" for n in range(8)]


def test_each_replica_is_polled_by_two_entry_vms() -> None:
    for name in ("a", "b", "c"):
        assert sum(polled_by(me, name, MEMBERS) for me in MEMBERS) == 2


def test_removing_an_entry_vm_reassigns_only_its_polls() -> None:
    names = [f"r{n}" for n in range(50)]
    before = {n: {m for m in MEMBERS if polled_by(m, n, MEMBERS)} for n in names}
    fewer = MEMBERS[1:]
    after = {n: {m for m in fewer if polled_by(m, n, fewer)} for n in names}
    assert all(before[n] - {MEMBERS[0]} <= after[n] for n in names)


@given(st.binary(max_size=100))
def test_arbitrary_bytes_do_not_raise(payload: bytes) -> None:
    apply_load(replica("a"), payload, now_s=0.0)


def test_an_unreachable_row_keeps_the_last_reported_load() -> None:
    row = replica("a", running=3)
    apply_load(row, unreachable_row("a", version=1).payload, now_s=0.0)
    assert (row.reachable, row.running) == (False, 3)
    assert reported_leaving(unreachable_row("a", version=1).payload) is None


def test_report_time_is_corrected_by_the_report_lag() -> None:
    row = replica("a")
    payload = LoadPayload(reachable=True, report_lag_ms=500, resident=["m"])
    apply_load(row, payload.SerializeToString(), now_s=10.0)
    assert row.reported_at_s == 9.5


def test_sync_removes_undeclared_and_marks_draining_replicas() -> None:
    tables = Tables()
    both = configuration(engine_operation("a"), engine_operation("b"))
    sync_replicas(tables, both, now_s=0.0)
    drained = configuration(engine_operation("a"), operation("drain", "a"))
    sync_replicas(tables, drained, now_s=1.0)
    assert {n: row.draining for n, row in tables.replicas.items()} == {"a": True}


def test_demand_converges_to_the_load_and_decays_without_it() -> None:
    demand: dict[str, float] = {}
    busy = replica("a", running_by_target={"m": 4, "m:x": 2}, queued=6)
    for _ in range(60):
        smooth_demand(demand, [busy], weight=0.2)
    assert round(demand["m"]) == 12
    for _ in range(60):
        smooth_demand(demand, [], weight=0.2)
    assert demand == {}
