"""Play the scheduler beside the choice of each entry VM, with modelled engines."""

from collections import Counter

from benchmarks._engine_model import (
    ENGINE_PACE,
    ENTRY_VMS,
    KINDS,
    MESSAGE_S,
    MODELS,
    REPLICAS,
    SECONDS,
    Play,
    Run,
)
from benchmarks._private import write_table
from rosepath.assignment import Assignment, Decision, RunOutcome, RunReport
from rosepath.catalog import CallerLimits, Catalog, EngineSpec, ServiceSpec
from rosepath.engine_choice import choose_engine
from rosepath.fleet import Fleet, InFlightRequest, PeerLoad, ServerEntry, own_load
from rosepath.prompt_caches import PromptCaches
from rosepath.response_metadata import ServerLoad
from rosepath.scheduler import Scheduler

SLOTS = 64
TICK_S = 0.02
REPORT_AGE_S = 0.8
SEEDS = 3
COLUMNS = ("all", "first event", "pause", "not begun")
SPEC = EngineSpec(
    slots=SLOTS,
    kv_capacity_tokens=0,
    memory_mb=0.0,
    adapter_slots=8,
    loads_per_s=1.0,
    models={},
)
SERVICE = ServiceSpec(name="llm", health_path="/", max_connections=1, engine=SPEC)
CATALOG = Catalog(
    version=1, routes=(), services={"llm": SERVICE}, limits=CallerLimits()
)


def a_fleet() -> Fleet:
    fleet = Fleet()
    for number, name in enumerate(ENGINE_PACE):
        entry = ServerEntry(
            name=name,
            service="llm",
            address="",
            data_centre="a",
            slots=SLOTS,
            draining=False,
            models={MODELS[number // REPLICAS]: frozenset()},
        )
        fleet.put(entry)
    return fleet


class StandingPlay(Play):
    """Let each entry VM choose, by the others' loads of 0.8 to 1.6 s ago."""

    def start(self) -> None:
        self.vms = [(a_fleet(), PromptCaches()) for _ in range(ENTRY_VMS)]
        self.loads: dict[str, list[PeerLoad]] = {}
        self.at(0.0, self.exchange)

    def exchange(self, now_s: float) -> None:
        """Give each entry VM the loads of the last exchange, and sum them anew."""
        for vm, (fleet, _) in enumerate(self.vms):
            for name, loads in self.loads.items():
                others = [load for other, load in enumerate(loads) if other != vm]
                fleet.servers[name].peers["others"] = PeerLoad(
                    requests=sum(load.requests for load in others),
                    unread_tokens=sum(load.unread_tokens for load in others),
                )
        self.loads = {
            name: [own_load(fleet.servers[name]) for fleet, _ in self.vms]
            for name in ENGINE_PACE
        }
        if now_s < SECONDS:
            self.at(now_s + REPORT_AGE_S, self.exchange)

    def arrived(self, run: Run, now_s: float) -> None:
        fleet, caches = self.vms[run.vm]
        choice = choose_engine(
            fleet.servers.values(),
            run.prompt,
            adapter_slots=SPEC.adapter_slots,
            data_centre="a",
            tried=(),
            cut_off=(),
            now_s=now_s,
            cached_tokens=caches.cached_tokens,
            rng=self.rng,
        )
        assert choice is not None
        caches.note_read(choice.server, run.prompt)
        run.in_flight = InFlightRequest(unread_tokens=choice.unread_tokens)
        choice.server.in_flight_requests[run.request.request_id] = run.in_flight
        self.send(run, choice.server.name, now_s)

    def begun(self, run: Run, now_s: float) -> None:
        run.in_flight.unread_tokens = 0

    def ended(self, run: Run, now_s: float) -> None:
        server = self.vms[run.vm][0].servers[run.server]
        del server.in_flight_requests[run.request.request_id]


class ScheduledPlay(Play):
    """Let one entry VM assign all requests."""

    def start(self) -> None:
        self.scheduler = Scheduler(
            fleet=a_fleet(), caches=PromptCaches(), catalog=lambda: CATALOG
        )
        self.by_id = {run.request.request_id: run for run in self.runs}
        self.at(0.0, self.tick)

    def tick(self, now_s: float) -> None:
        self.apply(self.scheduler.step(now_s=now_s), now_s)
        if now_s < SECONDS or len(self.scheduler.queue):
            self.at(now_s + TICK_S, self.tick)

    def arrived(self, run: Run, now_s: float) -> None:
        def submit(now_s: float) -> None:
            self.apply(self.scheduler.submit(run.request, now_s=now_s), now_s)

        self.at(now_s + MESSAGE_S, submit)

    def apply(self, decisions: list[Decision], now_s: float) -> None:
        for decision in decisions:
            if isinstance(decision, Assignment):
                run = self.by_id[decision.request.request_id]
                self.send(run, decision.server, now_s + MESSAGE_S)

    def report(self, run: Run, outcome: RunOutcome | None, now_s: float) -> None:
        slowdown = self.engines[run.server].slowdown(now_s)
        report = RunReport(
            request_id=run.request.request_id,
            server=run.server,
            began_after_s=now_s - run.sent_s,
            outcome=outcome,
            longest_gap_s=run.longest_gap_s,
            load=ServerLoad(running=0, waiting=0, slots=SLOTS, slowdown=slowdown),
        )

        def deliver(now_s: float) -> None:
            self.apply(self.scheduler.report([report], now_s=now_s), now_s)

        self.at(now_s + MESSAGE_S, deliver)

    def begun(self, run: Run, now_s: float) -> None:
        self.report(run, None, now_s)

    def ended(self, run: Run, now_s: float) -> None:
        self.report(run, RunOutcome.COMPLETED, now_s)


def main() -> None:
    """Print late requests by kind, for chunks of both sizes and slowed machines."""
    rows: list[list[object]] = []
    for chunk, slowed in ((1_024, False), (2_048, False), (2_048, True)):
        for name, choice in (("each VM", StandingPlay), ("scheduler", ScheduledPlay)):
            counts: Counter[tuple[str, str]] = Counter()
            for seed in range(SEEDS):
                counts += choice(seed=seed, chunk=chunk, slowed=slowed).play()
            for kind in KINDS:
                machines = "slowed at times" if slowed else "usual"
                row = [chunk, machines, name, kind]
                rows.append([*row, *(counts[kind, column] for column in COLUMNS)])
    write_table(
        f"Assignment: {len(ENGINE_PACE)} engines, {SECONDS:g} s, {SEEDS} seeds",
        ("chunk", "machines", "choice", "kind", *COLUMNS),
        rows,
    )


if __name__ == "__main__":
    main()
