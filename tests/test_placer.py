"""Engine memory is never overcommitted and every model keeps a copy."""

import asyncio
from dataclasses import dataclass, field

import pytest
from builders import configuration, engine_operation, operation
from fakes import FakeBackend, FakeEngine, FakePlatform
from hypothesis import given, settings, strategies as st

from rosepath.clock import ManualClock
from rosepath.configuration import Configuration, Operation
from rosepath.engine_keeper import PlacerPorts
from rosepath.placer import Placer
from rosepath.poller import sync_replicas
from rosepath.settings import PlacementSettings
from rosepath.tables import Tables

LATE_ORDER_BOUND_S = 20.0
ENGINES = ("e1", "e2", "e3")


def declare_engines_and_models(*, fences: bool, models: int = 5) -> Configuration:
    """Declare three engines of 100 bytes and models of 30 with an adapter."""
    return configuration(
        *(
            engine_operation(
                name, memory_bytes=100, address=f"127.0.0.1:{n}", fences=fences
            )
            for n, name in enumerate(ENGINES, start=1)
        ),
        *(operation("model", f"m{n}", memory_bytes=30) for n in range(models)),
        operation("adapter", "a", model="m0", memory_bytes=5),
    )


@dataclass
class PlacementCluster:
    """Run two placers, "a" and "b", over the same engines and store.

    `holder` has the placement lease. With `two_holders`, the other placer
    also acts as the holder, as a VM does that was paused past its lease.
    """

    fences: bool
    clock: ManualClock = field(default_factory=ManualClock)
    platform: FakePlatform = field(default_factory=FakePlatform)
    holder: str = "a"
    two_holders: bool = False

    def __post_init__(self) -> None:
        self.configuration = declare_engines_and_models(fences=self.fences)
        self.engines = {name: FakeEngine(fences=self.fences) for name in ENGINES}
        by_address = {
            self.configuration.engines[name].address: engine
            for name, engine in self.engines.items()
        }
        self.backend = FakeBackend(by_address)
        self.tables = {name: Tables() for name in "ab"}
        for tables in self.tables.values():
            sync_replicas(tables, self.configuration, now_s=self.clock.now_s)
        self.placers = {name: self._placer(name) for name in "ab"}

    def _placer(self, name: str) -> Placer:
        return Placer(
            PlacerPorts(
                settings=PlacementSettings(
                    late_order_bound_s=LATE_ORDER_BOUND_S,
                    loads_per_s=100.0,
                    parallel_loads=10,
                ),
                data_centre="casa-a",
                me=name,
                tables=self.tables[name],
                configuration=lambda: self.configuration,
                platform=self.platform,
                backend=self.backend,
                clock=self.clock,
                holds_lease=lambda: (
                    (self.holder == name or self.two_holders) and not self.platform.down
                ),
                store_reachable=lambda: not self.platform.down,
            )
        )

    def tick(self, name: str) -> None:
        """Run one round of a placer."""
        asyncio.run(self.placers[name].tick())

    def toggle_drain(self, name: str) -> None:
        """Declare the drain of an engine, or delete it if it is declared."""
        drained = name in self.configuration.table("drain")
        put = operation("drain", name)
        change = Operation("drain", name, None) if drained else put
        self.configuration = self.configuration.with_operations([change], version=1)

    def run_rounds(self, *, rounds: int = 30) -> None:
        """Run rounds of the holder; pending loads end before each round."""
        for _ in range(rounds):
            self.clock.advance(1.0)
            for engine in self.engines.values():
                engine.finish_loading()
            self.tick(self.holder)
        for engine in self.engines.values():
            engine.finish_loading()

    def check_memory(self) -> None:
        """Check that no engine uses more memory than it has."""
        for name, engine in self.engines.items():
            assert engine.used_bytes <= engine.memory_bytes, name

    def missing(self) -> set[str]:
        """Return the declared targets that are resident on no engine."""
        resident = {
            target for engine in self.engines.values() for target in engine.resident
        }
        declared = {*self.configuration.artifacts, *self.configuration.adapter_targets}
        return declared - resident


@pytest.mark.parametrize("fences", [True, False])
def test_every_declared_model_is_loaded(fences: bool) -> None:
    cluster = PlacementCluster(fences)
    cluster.run_rounds()
    assert cluster.missing() == set()
    cluster.check_memory()


EVENTS = (
    *("swap", "lose", "late", "double", "heal", "land", "load", "late", "drain"),
    *("store", "reply", "wait", "kill", "drain", "demand", "crash", "both"),
)
event = st.tuples(st.sampled_from(EVENTS), st.sampled_from(ENGINES), st.integers(0, 4))


def apply_event(cluster: PlacementCluster, kind: str, engine_name: str) -> None:
    """Apply one event to the cluster or to one engine."""
    engine = cluster.engines[engine_name]
    if kind in ("swap", "both"):
        cluster.holder = "b" if cluster.holder == "a" else "a"
        cluster.two_holders = kind == "both" and cluster.fences
    elif kind in ("lose", "late", "double"):
        engine.fault = kind
    elif kind == "heal":
        engine.fault = ""
    elif kind == "land":
        engine.execute_delayed()
    elif kind == "load":
        engine.finish_loading()
    elif kind == "store":
        cluster.platform.down = not cluster.platform.down
    elif kind == "reply":
        cluster.platform.lose_replies(f"ledger/{engine_name}", 1)
    elif kind == "wait":
        for other in cluster.engines.values():
            other.execute_delayed()
        cluster.clock.advance(LATE_ORDER_BOUND_S + 1)
    elif kind == "kill":
        engine.alive = not engine.alive
    elif kind == "crash":
        engine.resident, engine.loading = {}, {}
    elif kind == "drain":
        cluster.toggle_drain(engine_name)
    elif kind == "demand":
        overloaded = f"m{ENGINES.index(engine_name) + 1}"
        for tables in cluster.tables.values():
            tables.demand = {overloaded: 40.0}


@settings(max_examples=300, deadline=None)
@given(st.booleans(), st.lists(event, max_size=25))
def test_memory_is_never_overcommitted_under_any_faults(
    fences: bool, events: list[tuple[str, str, int]]
) -> None:
    # Orders are lost, delayed or duplicated; the lease changes hands at any
    # point and the placers have stale ledgers; the store is down or loses
    # responses; engines fail and return. No engine may use more memory than
    # it has at any step.
    cluster = PlacementCluster(fences)
    cluster.configuration = declare_engines_and_models(fences=fences, models=8)
    for kind, engine_name, ticks in events:
        apply_event(cluster, kind, engine_name)
        for _ in range(ticks):
            cluster.clock.advance(0.5)
            for name in "ab" if cluster.two_holders else cluster.holder:
                cluster.tick(name)
            cluster.check_memory()
    cluster.two_holders = cluster.platform.down = False
    for engine in cluster.engines.values():
        engine.alive, engine.fault = True, ""
        engine.execute_delayed()
    cluster.check_memory()
    cluster.configuration = declare_engines_and_models(fences=fences, models=8)
    cluster.clock.advance(LATE_ORDER_BOUND_S * 2)
    cluster.run_rounds()
    cluster.check_memory()
    assert cluster.missing() == set()


def test_base_model_stays_loaded_while_a_version_is_added() -> None:
    # Loading a new version must not evict the model that it is a version of,
    # which is still declared.
    cluster = PlacementCluster(True)
    cluster.run_rounds()
    cluster.configuration = cluster.configuration.with_operations(
        [operation("version", "v2", model="m1", memory_bytes=30)], version=2
    )
    for _ in range(20):
        cluster.run_rounds(rounds=1)
        assert "m1" not in cluster.missing()
        cluster.check_memory()
    assert cluster.missing() == set()


def test_placement_continues_during_store_outage_if_engines_check_fences() -> None:
    # The store goes down, then an engine loses its models. The holder may
    # load them again, since the engine rejects orders of a previous holder.
    cluster = PlacementCluster(True)
    cluster.run_rounds()
    cluster.platform.down = True
    cluster.tick("a")
    lost = dict(cluster.engines["e1"].resident)
    assert lost
    cluster.engines["e1"].resident.clear()
    cluster.clock.advance(5.0)
    cluster.run_rounds()
    cluster.check_memory()
    cluster.platform.down = False
    cluster.run_rounds()
    assert cluster.missing() == set()


def test_placement_stops_during_store_outage_if_engines_ignore_fences() -> None:
    cluster = PlacementCluster(False)
    cluster.run_rounds()
    orders = {name: len(engine.orders) for name, engine in cluster.engines.items()}
    cluster.platform.down = True
    cluster.engines["e1"].resident.clear()
    cluster.run_rounds()
    assert orders == {name: len(e.orders) for name, e in cluster.engines.items()}


def test_drained_engine_is_emptied_once_its_models_are_loaded_elsewhere() -> None:
    cluster = PlacementCluster(True)
    cluster.configuration = declare_engines_and_models(fences=True, models=4)
    cluster.run_rounds()
    full = max(cluster.engines, key=lambda name: len(cluster.engines[name].resident))
    cluster.configuration = cluster.configuration.with_operations(
        [operation("drain", full)], version=2
    )
    for _ in range(40):
        cluster.run_rounds(rounds=1)
        assert cluster.missing() == set()
        cluster.check_memory()
    assert cluster.engines[full].resident == {}
