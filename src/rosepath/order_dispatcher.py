"""Plan and send load and unload orders as the placement lease holder."""

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from rosepath.catalog import Catalog, EngineSpec, Objectives
from rosepath.clock import Clock
from rosepath.demand import ModelDemand
from rosepath.demand_history import DemandHistory
from rosepath.engine_orders import (
    EnginePort,
    EngineRecord,
    LoadRateLimit,
    OrderAction,
    OrderReply,
    UnansweredLoad,
)
from rosepath.engine_overload import EngineLimits
from rosepath.engine_plan import plan_swaps
from rosepath.engine_views import (
    adapters_to_evict,
    basis_for_adapter,
    engine_view,
    swap_duration_s,
)
from rosepath.errors import ExchangeError
from rosepath.fleet import BackendServer, Fleet
from rosepath.late_orders import LATE_ORDER_LIMIT_S, InstanceSightings
from rosepath.logs import get_logger
from rosepath.model_arrivals import ModelArrival
from rosepath.model_versions import ModelVersions
from rosepath.order_sender import OrderSender
from rosepath.swap_executor import REPORT_INTERVAL_S, SwapExecutor

# An adapter takes 5 to 10 ms to load. A request that reaches the engine
# earlier than this is rejected because the adapter is not loaded yet.
ADAPTER_LOAD_WAIT_S = 0.015
# A load whose expected time has passed is seen as finished by one of the next
# two report reads.
MIN_REMAINING_LOAD_S = 0.2
# An adapter loaded for a request stays until that request has been sent and
# other VMs have published it as in use: two peer update intervals, plus
# network latency.
ADAPTER_KEEP_INTERVALS = 2.0
ADAPTER_KEEP_MIN_S = 0.2

_log = get_logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatcherPorts:
    """Hold the dispatcher's dependencies."""

    me: str
    clock: Clock
    engines: EnginePort
    fleet: Fleet
    catalog: Callable[[], Catalog | None]
    may_order: Callable[[], bool]
    fence: Callable[[], int]
    # Whether another term of the lease came before the one held, and how many
    # of them ended within some seconds.
    follows_term: Callable[[], bool]
    terms_ended_within: Callable[[float], int]
    demand: Callable[[str], Mapping[str, ModelDemand]]
    # Bounds the age of what other VMs report as running on an engine.
    peer_update_interval_s: Callable[[], float]
    # Called with engine, model, adapter and whether it is now loaded.
    on_residency_change: Callable[[str, str, str, bool], None]


class OrderDispatcher:
    """Own the records of all engines and the swaps in progress.

    Orders are sent only while `may_order` is true, that is, while this entry
    VM holds the placement lease. Records and the executor of swaps belong to one
    term of the lease: the VM may get it back after it has finished a term.
    """

    def __init__(self, ports: DispatcherPorts) -> None:
        self._ports = ports
        self._records: dict[str, EngineRecord] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._unanswered_loads: dict[str, list[UnansweredLoad]] = {}
        self._load_rate_limit = LoadRateLimit()
        self._histories: dict[str, DemandHistory] = {}
        self._versions: dict[str, ModelVersions] = {}
        self._fence = 0
        # Until when orders of earlier terms may be executed, on the clock of
        # the sender.
        self._earlier_orders_until_s = -math.inf
        self._instances = InstanceSightings()
        self.sender = OrderSender(
            me=ports.me,
            engines=ports.engines,
            may_order=ports.may_order,
            fence=ports.fence,
        )
        self._executor = self._create_executor()
        self._swaps: set[asyncio.Task[None]] = set()

    # Planning

    async def tick(self) -> None:
        """Read outdated engine reports and start the next planned swaps."""
        self._instances.update(
            self._ports.fleet.servers.values(), now_s=self.sender.clock.monotonic_s()
        )
        catalog = self._ports.catalog()
        if catalog is None or not self.sender.may_order():
            return
        self._reset_on_new_term()
        if self._executor.closing:
            return
        for service in catalog.services.values():
            if service.engine is not None:
                await self._plan(service.name, service.engine, catalog)

    async def finish(self, limit_s: float) -> None:
        """Finish started swaps within `limit_s`, then end the orders of the term.

        Adapters are still ordered meanwhile, because no other VM holds the
        lease yet.
        """
        self._reset_on_new_term()
        await self._executor.finish(limit_s)
        await self.sender.end_term()

    def _reset_on_new_term(self) -> None:
        """Clear all records on a new fence, and allow swaps again.

        Another holder may have sent orders in between.
        """
        if self._ports.fence() != self._fence:
            self._records.clear()
            self._executor = self._create_executor()
            self._fence = self._ports.fence()
            if self._ports.follows_term():
                # The previous holder had stopped before this term could act.
                self._earlier_orders_until_s = (
                    self.sender.clock.monotonic_s() + LATE_ORDER_LIMIT_S
                )
                window_s = self._load_rate_limit.window_s
                self._load_rate_limit.begin_term(
                    self._ports.clock.monotonic_s(),
                    earlier_terms=self._ports.terms_ended_within(window_s),
                )

    def _create_executor(self) -> SwapExecutor:
        """Return the executor of one term's swaps."""
        return SwapExecutor(
            clock=self._ports.clock,
            engines=self._ports.engines,
            sender=self.sender,
            read_report=self._read_report,
            lock=self._lock,
            on_residency_change=self._ports.on_residency_change,
        )

    async def _plan(self, service: str, spec: EngineSpec, catalog: Catalog) -> None:
        # The models of an engine that is down are unavailable until it
        # returns.
        now_s = self._ports.clock.monotonic_s()
        servers = [
            server
            for server in self._ports.fleet.of_service(service)
            if server.usable and server.down_until_s <= now_s
        ]
        await asyncio.gather(*(self._read_report_if_due(server) for server in servers))
        # A server may have left or started draining while reports were read.
        servers = [server for server in servers if server.usable]
        views = []
        for server in servers:
            record = self._records.get(server.name)
            if record is None or not record.has_report:
                continue
            record.mark_adapters_used(server.targets_in_use, now_s=now_s)
            views.append(engine_view(server, record, spec, now_s=now_s))
        now_s = self._ports.clock.monotonic_s()
        demands = self._ports.demand(service)
        service_objectives = catalog.objectives.get(service, Objectives())
        history = self._histories.setdefault(service, DemandHistory())
        resident_models = {
            model for view in views for model in (*view.age_s, view.loading_model)
        }
        history.update(demands, resident_models=resident_models, now_s=now_s)
        versions = self._versions.setdefault(service, ModelVersions())
        versions.update(views, now_s=now_s)
        swaps = plan_swaps(
            views,
            spec.models,
            demands,
            limits=EngineLimits(
                slots=spec.slots,
                adapter_slots=spec.adapter_slots,
                first_s=service_objectives.first_s,
                gap_s=service_objectives.gap_s,
            ),
            store_room=self._load_rate_limit.allows(now_s, per_s=spec.loads_per_s),
            unserved_requests=history.unserved_requests,
            last_versions=versions.recent(views, now_s=now_s),
        )
        for swap in swaps:
            server = self._ports.fleet.servers[swap.engine]
            record = self._records[swap.engine]
            record.swap_in_progress = True
            record.loading = swap.model
            record.load_due_s = now_s + swap_duration_s(swap, server, spec)
            if swap.from_store:
                self._load_rate_limit.record(now_s)
            _log.info(
                "swap_planned",
                step="plan",
                peer=swap.engine,
                model=swap.model,
                victims=swap.evicted_models,
                gain=round(swap.gain, 3),
                from_store=swap.from_store,
                demand=_load_and_waiting(demands.get(swap.model)),
                victims_demand=[
                    _load_and_waiting(demands.get(name)) for name in swap.evicted_models
                ],
            )
            execution = self._executor.execute(swap, server, record, spec)
            task = asyncio.ensure_future(execution)
            self._swaps.add(task)
            task.add_done_callback(self._swaps.discard)

    def _current_record(self, server: BackendServer) -> EngineRecord:
        """Return the record of the engine's current instance."""
        record = self._records.get(server.name)
        if record is None or record.born_ms < server.entry.born_ms:
            # A swap on the previous instance keeps that instance's record.
            record = EngineRecord(
                server=server.name,
                fence=self._fence,
                born_ms=server.entry.born_ms,
                unanswered_loads=self._unanswered_loads.setdefault(server.name, []),
            )
            self._records[server.name] = record
        now_s = self.sender.clock.monotonic_s()
        record.forget_unanswered(now_s=now_s)
        record.earlier_holders = max(
            self._ports.terms_ended_within(LATE_ORDER_LIMIT_S),
            # One at least has ended, whatever was recorded of it.
            int(now_s < self._earlier_orders_until_s),
        )
        if not record.contents_certain and not record.late_orders_possible:
            # Nothing is reserved any more for what it may have executed.
            record.is_current = False
        record.instance_settled = (
            record.born_ms == server.entry.born_ms
            and self._instances.settled(
                server, now_s=now_s, wall_s=self._ports.clock.wall_s()
            )
        )
        return record

    async def _read_report_if_due(self, server: BackendServer) -> None:
        record = self._current_record(server)
        now_s = self._ports.clock.monotonic_s()
        # An engine that reports an order in progress (an adapter, or an order
        # of a previous holder) is polled until it is idle, and one that may
        # have executed a late order until a report shows its contents. Swaps
        # poll by themselves.
        due = not record.swap_in_progress and (
            record.engine_busy or not record.is_current or not record.contents_certain
        )
        if (
            due
            and not server.in_backoff(now_s)
            and now_s - record.last_read_s >= REPORT_INTERVAL_S
        ):
            await self._read_report(server, record)

    async def _read_report(self, server: BackendServer, record: EngineRecord) -> bool:
        """Read an engine's report and apply it to the record."""
        record.last_read_s = self._ports.clock.monotonic_s()
        try:
            report = await self._ports.engines.report(server.address, server.name)
        except ExchangeError as error:
            _log.info("report_unread", peer=server.name, why=error.message)
            return False
        if server.left:
            # Another engine may have started at its address.
            return False
        recorded, recorded_models = record.basis, set(record.models)
        first_report = not record.has_report
        if not record.apply_report(report, now_s=self._ports.clock.monotonic_s()):
            return False
        record.reported_s = self.sender.clock.monotonic_s()
        same_instance = not first_report and record.born_ms == recorded.born_ms
        if same_instance and record.sequence > recorded.sequence:
            # The engine has accepted an order that was never confirmed here, of
            # this holder or of an earlier one.
            _log.info(
                "unconfirmed_orders_executed",
                step="report",
                peer=server.name,
                fence=record.fence,
                born_ms=record.born_ms,
                recorded_sequence=recorded.sequence,
                sequence=record.sequence,
                models_added=sorted(record.models - recorded_models),
                models_removed=sorted(recorded_models - record.models),
            )
        return True

    # Adapters

    async def ensure_adapter(
        self, service: str, server_name: str, model: str, adapter: str
    ) -> bool:
        """Load an adapter onto an engine; False if it cannot be loaded now."""
        catalog = self._ports.catalog()
        server = self._ports.fleet.servers.get(server_name)
        if catalog is None or server is None or not self.sender.may_order():
            return False
        declared_service = catalog.services.get(service)
        if declared_service is None or declared_service.engine is None:
            return False
        spec = declared_service.engine
        name = f"{model}/{adapter}"
        self._reset_on_new_term()
        async with self._lock(server_name):
            record = self._current_record(server)
            if server.in_backoff(self._ports.clock.monotonic_s()):
                return name in record.adapters
            if not record.is_current:
                await self._read_report(server, record)
            now_s = self._ports.clock.monotonic_s()
            if not record.is_current or model not in record.models:
                return False
            if name in record.adapters:
                record.adapters[name] = now_s
                return True
            if record.occupied:
                # The engine takes one order at a time; another engine is
                # faster.
                return False
            if not await self._evict_for_adapter(server, record, spec, model):
                return False
            basis = basis_for_adapter(record, spec, model)
            if basis is None:
                return False
            reply = await self.sender.send(
                server, record, OrderAction.LOAD, model, adapter, basis=basis
            )
            if reply not in (OrderReply.ACCEPTED, OrderReply.HOLDS):
                return False
            record.adapters[name] = now_s
        await asyncio.sleep(ADAPTER_LOAD_WAIT_S)
        self._ports.on_residency_change(server_name, model, adapter, True)
        return True

    async def _evict_for_adapter(
        self, server: BackendServer, record: EngineRecord, spec: EngineSpec, model: str
    ) -> bool:
        """Unload idle adapters until one of a model fits; False if none help."""
        # An unused adapter is unloaded immediately. For one in use the engine
        # waits until its requests end, which takes seconds, and accepts no
        # other order meanwhile: requests for other adapters there would wait
        # as long.
        keep_s = (
            ADAPTER_KEEP_MIN_S
            + ADAPTER_KEEP_INTERVALS * self._ports.peer_update_interval_s()
        )
        idle_since_s = self._ports.clock.monotonic_s() - keep_s
        in_use = server.targets_in_use
        idle = sorted(
            (used_s, name)
            for name, used_s in record.adapters.items()
            if used_s < idle_since_s and not in_use[name]
        )
        evicted_adapters = adapters_to_evict(
            record, spec, model, [name for _, name in idle]
        )
        if evicted_adapters is None:
            return False
        for evicted in evicted_adapters:
            if not await self._unload_adapter(server, record, evicted):
                return False
        return True

    async def _unload_adapter(
        self, server: BackendServer, record: EngineRecord, name: str
    ) -> bool:
        model, _, adapter = name.partition("/")
        reply = await self.sender.send(
            server, record, OrderAction.UNLOAD, model, adapter, basis=record.basis
        )
        if reply not in (OrderReply.ACCEPTED, OrderReply.HOLDS):
            return False
        record.adapters.pop(name, None)
        self._ports.on_residency_change(server.name, model, adapter, False)
        return True

    @property
    def occupied(self) -> list[str]:
        """Return the engines that are busy with an order or a swap."""
        return [record.server for record in self._records.values() if record.occupied]

    @property
    def arrivals(self) -> list[ModelArrival]:
        """Return the models being loaded, with the time each still takes."""
        now_s = self._ports.clock.monotonic_s()
        return [
            ModelArrival(
                record.server,
                record.loading,
                max(MIN_REMAINING_LOAD_S, record.load_due_s - now_s),
            )
            for record in self._records.values()
            if record.loading
        ]

    def _lock(self, server: str) -> asyncio.Lock:
        return self._locks.setdefault(server, asyncio.Lock())


def _load_and_waiting(demand: ModelDemand | None) -> tuple[float, int] | None:
    return None if demand is None else (round(demand.load, 3), demand.waiting)
