"""Order models and adapters onto engines, as the holder of the lease."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from rosepath.catalog import Catalog, EngineSpec, Objectives
from rosepath.clock import Clock
from rosepath.demand import ModelDemand
from rosepath.demand_history import DemandHistory
from rosepath.engine_orders import (
    EnginePort,
    EngineRecord,
    LoadCeiling,
    OrderAction,
    OrderReply,
)
from rosepath.engine_plan import plan_swaps
from rosepath.engine_strain import EngineLimits
from rosepath.engine_views import engine_view, swap_s, used_mb
from rosepath.errors import ExchangeError
from rosepath.fleet import BackendServer, Fleet
from rosepath.logs import get_logger
from rosepath.model_arrivals import ModelArrival
from rosepath.order_sender import OrderSender
from rosepath.swap_carrier import LOOK_INTERVAL_S, SwapCarrier

# An adapter takes 5 to 10 ms to load; asked for earlier than this, an engine
# answers that it is not there yet.
ADAPTER_SETTLES_S = 0.015
# A load that should be over is found to be so by the next look or two.
SETTLING_S = 0.2
# An adapter that was got for a request stays for that request to be sent and
# told of: two turns of what VMs tell each other, and the way.
ADAPTER_KEPT_TURNS = 2.0
ADAPTER_KEPT_MIN_S = 0.2

_log = get_logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatcherPorts:
    """Hold what orders are made from."""

    me: str
    clock: Clock
    engines: EnginePort
    fleet: Fleet
    catalog: Callable[[], Catalog | None]
    may_order: Callable[[], bool]
    fence: Callable[[], int]
    demand: Callable[[str], Mapping[str, ModelDemand]]
    # How old what other VMs have at an engine may be.
    told_every_s: Callable[[], float]
    on_held: Callable[[str, str, str, bool], None]


class OrderDispatcher:
    """Keep a record of every engine and order what the plan says."""

    def __init__(self, ports: DispatcherPorts) -> None:
        self._ports = ports
        self._records: dict[str, EngineRecord] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._ceiling = LoadCeiling()
        self._histories: dict[str, DemandHistory] = {}
        self._fence = 0
        self.sender = OrderSender(
            me=ports.me,
            engines=ports.engines,
            may_order=ports.may_order,
            fence=ports.fence,
        )
        self._carrier = SwapCarrier(
            clock=ports.clock,
            engines=ports.engines,
            sender=self.sender,
            look=self._look,
            lock=self._lock,
            on_held=ports.on_held,
        )
        self._swaps: set[asyncio.Task[None]] = set()

    # The plan

    async def tick(self) -> None:
        """Read what is not known yet and begin the next swaps."""
        catalog = self._ports.catalog()
        if catalog is None or self._carrier.closing or not self.sender.may_order():
            return
        self._begin_term()
        for service in catalog.services.values():
            if service.engine is not None:
                await self._plan(service.name, service.engine, catalog)

    async def finish(self, limit_s: float) -> None:
        """End what is halfway, if that does not take long; then order no more.

        Adapters are ordered meanwhile: nobody else may do so yet.
        """
        await self._carrier.finish(limit_s)
        await self.sender.close()

    def _begin_term(self) -> None:
        """Forget, once a term, what was known: another holder ordered since."""
        if self._ports.fence() != self._fence:
            self._records.clear()
            self._fence = self._ports.fence()

    async def _plan(self, service: str, spec: EngineSpec, catalog: Catalog) -> None:
        # What an engine that is down held is nowhere until it is back.
        now_s = self._ports.clock.monotonic_s()
        servers = [
            server
            for server in self._ports.fleet.of_service(service)
            if server.usable and server.down_until_s <= now_s
        ]
        await asyncio.gather(*(self._look_if_due(server) for server in servers))
        # One may have left, or begun to, while reports were read.
        servers = [server for server in servers if server.usable]
        views = []
        for server in servers:
            record = self._records.get(server.name)
            if record is None or not record.read:
                continue
            record.note_used(server.targets_in_use, now_s=now_s)
            views.append(engine_view(server, record, spec, now_s=now_s))
        now_s = self._ports.clock.monotonic_s()
        demands = self._ports.demand(service)
        good = catalog.objectives.get(service, Objectives())
        history = self._histories.setdefault(service, DemandHistory())
        held = {model for view in views for model in (*view.age_s, view.coming)}
        history.note(demands, held=held, now_s=now_s)
        swaps = plan_swaps(
            views,
            spec.models,
            demands,
            limits=EngineLimits(
                slots=spec.slots,
                adapter_slots=spec.adapter_slots,
                first_s=good.first_s,
                gap_s=good.gap_s,
            ),
            store_room=self._ceiling.room(now_s, per_s=spec.loads_per_s),
            owed=history.owed,
        )
        for swap in swaps:
            server = self._ports.fleet.servers[swap.engine]
            record = self._records[swap.engine]
            record.busy = True
            record.loading = swap.model
            record.due_s = now_s + swap_s(swap, server, spec)
            if swap.from_store:
                self._ceiling.note(now_s)
            _log.info(
                "swap_planned",
                step="plan",
                peer=swap.engine,
                model=swap.model,
                victims=swap.victims,
                gain=round(swap.gain, 3),
                from_store=swap.from_store,
                demand=_shown(demands.get(swap.model)),
                victims_demand=[_shown(demands.get(name)) for name in swap.victims],
            )
            carried = self._carrier.carry_out(swap, server, record, spec)
            task = asyncio.ensure_future(carried)
            self._swaps.add(task)
            task.add_done_callback(self._swaps.discard)

    def _record(self, server: BackendServer) -> EngineRecord:
        """Return the record of an engine in its present life."""
        record = self._records.get(server.name)
        if record is None or record.born_ms < server.entry.born_ms:
            # A swap of the former life keeps the record that it began with.
            record = EngineRecord(server=server.name, born_ms=server.entry.born_ms)
            self._records[server.name] = record
        return record

    async def _look_if_due(self, server: BackendServer) -> None:
        record = self._record(server)
        now_s = self._ports.clock.monotonic_s()
        # An engine that says it is busy, with an adapter or with what a holder
        # before ordered, is looked at until it is not; swaps look themselves.
        due = not record.busy and (record.engine_busy or not record.known)
        if (
            due
            and not server.in_backoff(now_s)
            and now_s - record.looked_s >= LOOK_INTERVAL_S
        ):
            await self._look(server, record)

    async def _look(self, server: BackendServer, record: EngineRecord) -> bool:
        """Read an engine's report into its record."""
        record.looked_s = self._ports.clock.monotonic_s()
        try:
            report = await self._ports.engines.report(server.address, server.name)
        except ExchangeError as error:
            _log.info("report_unread", peer=server.name, why=error.message)
            return False
        return record.take(report, now_s=self._ports.clock.monotonic_s())

    # Adapters

    async def ensure_adapter(
        self, service: str, server_name: str, model: str, adapter: str
    ) -> bool:
        """Get an adapter onto an engine; False if it can't be there now."""
        catalog = self._ports.catalog()
        server = self._ports.fleet.servers.get(server_name)
        if catalog is None or server is None or not self.sender.may_order():
            return False
        found = catalog.services.get(service)
        if found is None or found.engine is None:
            return False
        spec = found.engine
        name = f"{model}/{adapter}"
        self._begin_term()
        async with self._lock(server_name):
            record = self._record(server)
            if server.in_backoff(self._ports.clock.monotonic_s()):
                return name in record.adapters
            if not record.known:
                await self._look(server, record)
            now_s = self._ports.clock.monotonic_s()
            if not record.known or model not in record.models:
                return False
            if name in record.adapters:
                record.adapters[name] = now_s
                return True
            if record.occupied:
                # It takes one order at a time; another engine is quicker.
                return False
            if not await self._make_adapter_room(server, record, spec, model):
                return False
            reply = await self.sender.send(
                server, record, OrderAction.LOAD, model, adapter
            )
            if reply not in (OrderReply.ACCEPTED, OrderReply.HOLDS):
                return False
            record.adapters[name] = now_s
        await asyncio.sleep(ADAPTER_SETTLES_S)
        self._ports.on_held(server_name, model, adapter, True)
        return True

    async def _make_adapter_room(
        self, server: BackendServer, record: EngineRecord, spec: EngineSpec, model: str
    ) -> bool:
        now_s = self._ports.clock.monotonic_s()
        free_mb = spec.memory_mb - used_mb(record, spec)
        size_mb = spec.models[model].adapter_mb if model in spec.models else 0.0
        if len(record.adapters) < spec.adapter_slots and size_mb <= free_mb:
            return True
        # An adapter that no request uses is gone at once. For one in use the
        # engine would wait until its requests are done, for seconds, and take
        # no order meanwhile: whoever needs another adapter there would stand
        # still for that long.
        kept_s = ADAPTER_KEPT_MIN_S + ADAPTER_KEPT_TURNS * self._ports.told_every_s()
        in_use = server.targets_in_use
        idle = [
            (used_s, name)
            for name, used_s in record.adapters.items()
            if used_s < now_s - kept_s and not in_use[name]
        ]
        if not idle:
            return False
        victim = min(idle)[1]
        victim_model, _, adapter = victim.partition("/")
        reply = await self.sender.send(
            server, record, OrderAction.UNLOAD, victim_model, adapter
        )
        if reply not in (OrderReply.ACCEPTED, OrderReply.HOLDS):
            return False
        del record.adapters[victim]
        self._ports.on_held(server.name, victim_model, adapter, False)
        return True

    @property
    def occupied(self) -> list[str]:
        """Return the engines that an order keeps busy."""
        return [record.server for record in self._records.values() if record.occupied]

    @property
    def arrivals(self) -> list[ModelArrival]:
        """Return the models on their way to engines, and when they are there."""
        now_s = self._ports.clock.monotonic_s()
        return [
            ModelArrival(
                record.server, record.loading, max(SETTLING_S, record.due_s - now_s)
            )
            for record in self._records.values()
            if record.loading
        ]

    def _lock(self, server: str) -> asyncio.Lock:
        return self._locks.setdefault(server, asyncio.Lock())


def _shown(demand: ModelDemand | None) -> tuple[float, int] | None:
    return None if demand is None else (round(demand.load, 3), demand.waiting)
