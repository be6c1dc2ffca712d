"""Memory is never promised twice and no model is unloaded to nothing."""

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

LATE_BOUND_S = 20.0
ENGINES = ("e1", "e2", "e3")


def declared(*, fences: bool, models: int = 5) -> Configuration:
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
class World:
    """Hold two placers over the same engines and store."""

    fences: bool
    clock: ManualClock = field(default_factory=ManualClock)
    platform: FakePlatform = field(default_factory=FakePlatform)
    holder: str = "a"
    paused_acts: bool = False

    def __post_init__(self) -> None:
        self.configuration = declared(fences=self.fences)
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
                    late_order_bound_s=LATE_BOUND_S,
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
                    (self.holder == name or self.paused_acts) and not self.platform.down
                ),
                store_reachable=lambda: not self.platform.down,
            )
        )

    def tick(self, name: str) -> None:
        """Let one placer take a round."""
        asyncio.run(self.placers[name].tick())

    def toggle_drain(self, name: str) -> None:
        """Declare or delete the drain of an engine."""
        drained = name in self.configuration.table("drain")
        put = operation("drain", name)
        change = Operation("drain", name, None) if drained else put
        self.configuration = self.configuration.with_operations([change], version=1)

    def settle(self, *, rounds: int = 30) -> None:
        """Let the holder work in peace until all is loaded."""
        for _ in range(rounds):
            self.clock.advance(1.0)
            for engine in self.engines.values():
                engine.finish_loading()
            self.tick(self.holder)
        for engine in self.engines.values():
            engine.finish_loading()

    def check_memory(self) -> None:
        """Check the engines' own truth."""
        for name, engine in self.engines.items():
            assert engine.used_bytes <= engine.memory_bytes, name

    def missing(self) -> set[str]:
        """Return the declared targets that no engine holds."""
        held = {
            target for engine in self.engines.values() for target in engine.resident
        }
        wanted = {*self.configuration.artifacts, *self.configuration.adapter_targets}
        return wanted - held


@pytest.mark.parametrize("fences", [True, False])
def test_every_declared_model_is_loaded(fences: bool) -> None:
    world = World(fences)
    world.settle()
    assert world.missing() == set()
    world.check_memory()


HAPPENINGS = (
    *("swap", "lose", "late", "double", "heal", "land", "load", "late", "drain"),
    *("store", "reply", "wait", "kill", "drain", "demand", "crash", "both"),
)
event = st.tuples(
    st.sampled_from(HAPPENINGS), st.sampled_from(ENGINES), st.integers(0, 4)
)


def play(world: World, what: str, engine_name: str) -> None:
    """Let one thing happen."""
    engine = world.engines[engine_name]
    if what in ("swap", "both"):
        world.holder = "b" if world.holder == "a" else "a"
        world.paused_acts = what == "both" and world.fences
    elif what in ("lose", "late", "double"):
        engine.fault = what
    elif what == "heal":
        engine.fault = ""
    elif what == "land":
        engine.land_late()
    elif what == "load":
        engine.finish_loading()
    elif what == "store":
        world.platform.down = not world.platform.down
    elif what == "reply":
        world.platform.lose_replies(f"ledger/{engine_name}", 1)
    elif what == "wait":
        for other in world.engines.values():
            other.land_late()
        world.clock.advance(LATE_BOUND_S + 1)
    elif what == "kill":
        engine.alive = not engine.alive
    elif what == "crash":
        engine.resident, engine.loading = {}, {}
    elif what == "drain":
        world.toggle_drain(engine_name)
    elif what == "demand":
        crowded = f"m{ENGINES.index(engine_name) + 1}"
        for tables in world.tables.values():
            tables.demand = {crowded: 40.0}


@settings(max_examples=300, deadline=None)
@given(st.booleans(), st.lists(event, max_size=25))
def test_no_interleaving_overcommits_memory(
    fences: bool, events: list[tuple[str, str, int]]
) -> None:
    # Orders are lost, land late or twice; holders swap at any point, each
    # with its own stale ledger; the store is down or loses replies; engines
    # vanish and return. At no step does an engine hold more than it has.
    world = World(fences)
    world.configuration = declared(fences=fences, models=8)
    for what, engine_name, ticks in events:
        play(world, what, engine_name)
        for _ in range(ticks):
            world.clock.advance(0.5)
            for name in "ab" if world.paused_acts else world.holder:
                world.tick(name)
            world.check_memory()
    world.paused_acts = world.platform.down = False
    for engine in world.engines.values():
        engine.alive, engine.fault = True, ""
        engine.land_late()
    world.check_memory()
    world.configuration = declared(fences=fences, models=8)
    world.clock.advance(LATE_BOUND_S * 2)
    world.settle()
    world.check_memory()
    assert world.missing() == set()


def test_no_model_goes_missing_while_a_version_replaces_another() -> None:
    # A new version is declared beside the old, then the old one is deleted.
    # The old copy goes only after its declaration is gone.
    world = World(True)
    world.settle()
    world.configuration = world.configuration.with_operations(
        [operation("version", "v2", model="m1", memory_bytes=30)], version=2
    )
    for _ in range(20):
        world.settle(rounds=1)
        assert "m1" not in world.missing()
        world.check_memory()
    assert world.missing() == set()


def test_placement_goes_on_without_the_store_where_engines_fence() -> None:
    # The store goes down, then an engine loses its models. The holder may
    # reload them, since the engine itself orders its writers.
    world = World(True)
    world.settle()
    world.platform.down = True
    world.tick("a")
    lost = dict(world.engines["e1"].resident)
    assert lost
    world.engines["e1"].resident.clear()
    world.clock.advance(5.0)
    world.settle()
    world.check_memory()
    world.platform.down = False
    world.settle()
    assert world.missing() == set()


def test_placement_freezes_without_the_store_where_engines_do_not_fence() -> None:
    world = World(False)
    world.settle()
    orders = {name: len(engine.orders) for name, engine in world.engines.items()}
    world.platform.down = True
    world.engines["e1"].resident.clear()
    world.settle()
    assert orders == {name: len(e.orders) for name, e in world.engines.items()}


def test_a_drained_engine_is_emptied_after_its_models_stand_elsewhere() -> None:
    world = World(True)
    world.configuration = declared(fences=True, models=4)
    world.settle()
    full = max(world.engines, key=lambda name: len(world.engines[name].resident))
    world.configuration = world.configuration.with_operations(
        [operation("drain", full)], version=2
    )
    for _ in range(40):
        world.settle(rounds=1)
        assert world.missing() == set()
        world.check_memory()
    assert world.engines[full].resident == {}
