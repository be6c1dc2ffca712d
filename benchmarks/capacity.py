"""Measure memory and time per step with tables of the target size."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace

from benchmarks._private import write_table
from benchmarks.placement import large_view
from rosepath.backend_http import HttpBackend
from rosepath.clock import ManualClock
from rosepath.configuration import (
    Configuration,
    ConfigurationState,
    Head,
    Operation,
    digest,
    encode_shards,
)
from rosepath.configuration_store import ProposedChange, next_head
from rosepath.declarations import Adapter, BackendServer, Caller, Limit, Model
from rosepath.gossip import GossipState, Row, RowKey, RowKind
from rosepath.http_client import HttpPool
from rosepath.membership import encode_member, member_version
from rosepath.placement import plan
from rosepath.placement_types import PlacementPolicy
from rosepath.poller import Poller, smooth_demand, sync_replicas
from rosepath.routing import RoutingPolicy, RoutingRequest, choose_replica
from rosepath.tables import EntryVm, MemberState, Tables
from rosepath.validation import validate

ENTRY_VMS, REPLICAS, MODELS, ADAPTERS, CALLERS = 770, 2500, 860, 4000, 500
DATA_CENTRES = tuple(f"dc-{n:02d}" for n in range(11))
RNG = random.Random(1)


def _allocated_mb() -> float:
    gc.collect()
    return tracemalloc.get_traced_memory()[0] / 1e6


def _time_ms(step: Callable[[], object], *, min_duration_s: float = 0.3) -> float:
    tracemalloc.stop()
    rounds, started_s = 0, time.perf_counter()
    while time.perf_counter() - started_s < min_duration_s:
        step()
        rounds += 1
    took_ms = 1000 * (time.perf_counter() - started_s) / rounds
    tracemalloc.start()
    return took_ms


def _operations() -> list[Operation]:
    operations = [
        Operation("model", f"m{n}", Model(memory_bytes=10)) for n in range(MODELS)
    ]
    operations += [
        Operation("adapter", f"a{n}", Adapter(model=f"m{n % MODELS}", memory_bytes=1))
        for n in range(ADAPTERS)
    ]
    operations += [
        Operation(
            "backend_server",
            f"engine-{n}",
            BackendServer(
                data_centre=DATA_CENTRES[n % 11],
                address=f"127.0.0.1:{n + 1}",
                memory_bytes=100,
                fences=True,
            ),
        )
        for n in range(REPLICAS)
    ]
    operations += [
        Operation("caller", f"c{n}", Caller(key_sha256=digest(b"%d" % n)))
        for n in range(CALLERS)
    ]
    return operations


def _change(operations: list[Operation]) -> ProposedChange:
    return ProposedChange(
        change_id="c", expected_version=0, operator="o", at_s=0, operations=operations
    )


def _configuration_rows() -> tuple[list[list[object]], ConfigurationState]:
    before = _allocated_mb()
    operations = _operations()
    current = Configuration().with_operations(operations, version=1)
    head, _ = next_head(Head(), current, _change(operations), ())
    shards = {digest(data): data for data in encode_shards(current).values()}
    state = ConfigurationState()
    state.apply(head, shards)
    allocated_mb = _allocated_mb() - before
    whole_ms = _time_ms(lambda: ConfigurationState().apply(head, shards))
    change = [Operation("limit", "l", Limit(concurrency=5))]

    def one_change() -> None:
        changed = state.configuration.with_operations(change, version=2)
        new_head, new_shards = next_head(head, changed, _change(change), ())
        next_state = ConfigurationState()
        next_state.head, next_state.shards = head, state.shards
        next_state._decoded = state._decoded
        next_state.apply(new_head, new_shards)

    return [
        ["memory of the configuration", "MB", allocated_mb],
        ["configuration encoded", "MB", sum(map(len, shards.values())) / 1e6],
        ["largest shard", "KB", max(map(len, shards.values())) / 1e3],
        ["head", "KB", len(str(head.shards)) / 1e3],
        ["whole configuration applied", "ms", whole_ms],
        ["one change applied", "ms", _time_ms(one_change)],
        ["one change validated", "ms", _time_ms(lambda: validate(current))],
    ], state


def _table_rows(state: ConfigurationState) -> list[list[object]]:
    before = _allocated_mb()
    tables = Tables()
    for number in range(ENTRY_VMS):
        name = f"entry-{number:03d}"
        tables.entry_vms[name] = EntryVm(
            name=name,
            data_centre=DATA_CENTRES[number % 11],
            address=f"127.0.0.1:{number + 1}",
            incarnation=1,
            state=MemberState.ALIVE,
        )
    sync_replicas(tables, state.configuration, now_s=0.0)
    for replica in tables.replicas.values():
        replica.slots, replica.reported_at_s = 32, 0.0
        targets = [f"m{RNG.randrange(MODELS)}" for _ in range(4)]
        replica.resident = frozenset(targets)
        replica.running_by_target = dict.fromkeys(targets, 4)
    allocated_mb = _allocated_mb() - before
    request = RoutingRequest(target="m1", data_centre="dc-01")
    poller = Poller(
        tables, HttpBackend(HttpPool()), me="entry-001", clock=ManualClock()
    )
    demand: dict[str, float] = {}
    view = large_view(MODELS, REPLICAS)
    return [
        ["memory of the tables", "MB", allocated_mb],
        [
            "one replica chosen",
            "ms",
            _time_ms(
                lambda: choose_replica(
                    tables.replicas.values(),
                    request,
                    RoutingPolicy(),
                    now_s=1.0,
                    rng=RNG,
                )
            ),
        ],
        [
            "due polls selected",
            "ms",
            _time_ms(lambda: poller.due("dc-01")),
        ],
        [
            "demand smoothed once",
            "ms",
            _time_ms(
                lambda: smooth_demand(demand, tables.replicas.values(), weight=0.1)
            ),
        ],
        [
            "placement planned once",
            "ms",
            _time_ms(lambda: plan(replace(view), PlacementPolicy())),
        ],
    ]


def _gossip_rows() -> list[list[object]]:
    before = _allocated_mb()
    state = GossipState()
    member = EntryVm(
        name="x",
        data_centre="dc-01",
        address="127.0.0.1:1",
        incarnation=1,
        state=MemberState.ALIVE,
    )
    version = member_version(1, MemberState.ALIVE, 0)
    for number in range(ENTRY_VMS):
        key = RowKey(RowKind.MEMBER, f"entry-{number}")
        state.merge(Row(key, version, encode_member(member)))
    load_row = b"x" * 90
    for number in range(REPLICAS):
        key = RowKey(RowKind.LOAD, f"engine-{number}")
        state.merge(Row(key, 1, load_row))
    allocated_mb = _allocated_mb() - before
    round_number = 1

    def gossip_for_one_second() -> None:
        """Merge a data centre's load rows; batch them for three peers."""
        nonlocal round_number
        round_number += 1
        for number in range(REPLICAS // 11):
            key = RowKey(RowKind.LOAD, f"engine-{number}")
            state.merge(Row(key, round_number, load_row), source="other")
        for name in ("a", "b", "c"):
            batch = state.batch_for(name, now_s=float(round_number))
            state.acknowledge(name, batch.sequence)

    return [
        ["memory of the gossip state", "MB", allocated_mb],
        [
            "a second's load rows of a data centre",
            "ms",
            _time_ms(gossip_for_one_second),
        ],
    ]


def main() -> None:
    """Fill one process with tables of the target size and time each step."""
    tracemalloc.start()
    rows, state = _configuration_rows()
    rows += _table_rows(state)
    rows += _gossip_rows()
    write_table(
        f"Tables of full size: {ENTRY_VMS} entry VMs, {REPLICAS} replicas, "
        f"{MODELS} models, {ADAPTERS} adapters, {CALLERS} callers",
        ("what", "unit", "value"),
        rows,
    )
