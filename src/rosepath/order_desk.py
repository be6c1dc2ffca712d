"""Order models and adapters onto engines, as the holder of the lease."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from rosepath.catalog import Catalog, EngineSpec
from rosepath.clock import BootClock, Clock
from rosepath.demand import ModelDemand
from rosepath.engine_orders import (
    EngineBook,
    EnginePort,
    LoadCeiling,
    Order,
    OrderAction,
    OrderReply,
)
from rosepath.engine_plan import EngineView, Step, plan_steps
from rosepath.errors import ExchangeError
from rosepath.fleet import BackendServer, Fleet
from rosepath.logs import get_logger

# An adapter takes 5 to 10 ms to load; asked for earlier than this, an engine
# answers that it is not there yet.
ADAPTER_SETTLES_S = 0.015
# While an order is in progress, its end is looked for this often.
LOOK_INTERVAL_S = 0.25
# What an engine reports is up to so old; a report read sooner after an own
# order may still tell of before.
REPORT_LAG_S = 0.35
# An adapter that was used this recently is not taken away for another.
ADAPTER_KEPT_S = 0.5
ORDER_TRIES = 3
# An unload waits for the runs of its model; no run lasts longer than this.
DROPPING_MAX_S = 15.0

_log = get_logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class DeskPorts:
    """Hold what orders are made from."""

    me: str
    clock: Clock
    engines: EnginePort
    fleet: Fleet
    catalog: Callable[[], Catalog | None]
    may_order: Callable[[], bool]
    fence: Callable[[], int]
    demand: Callable[[str], Mapping[str, ModelDemand]]
    on_held: Callable[[str, str, str, bool], None]


class OrderDesk:
    """Keep a book of every engine and order what the plan says."""

    def __init__(self, ports: DeskPorts) -> None:
        self._ports = ports
        self._books: dict[str, EngineBook] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._ceiling = LoadCeiling()
        self._fence = 0
        self._boot = BootClock()
        self.outcomes: dict[str, int] = {}
        self.acted_s = -1e9

    # The plan

    async def tick(self) -> None:
        """Look at what is in progress and order the next steps."""
        ports = self._ports
        catalog = ports.catalog()
        if catalog is None or not ports.may_order():
            return
        if ports.fence() != self._fence:
            # What another holder ordered meanwhile is not in these books.
            self._books.clear()
            self._fence = ports.fence()
        steps = []
        for service in catalog.services.values():
            if service.engine is not None:
                steps += await self._plan(service.name, service.engine)
        await asyncio.gather(*(self._take_step(step, spec) for step, spec in steps))

    async def _plan(
        self, service: str, spec: EngineSpec
    ) -> list[tuple[Step, EngineSpec]]:
        servers = [s for s in self._ports.fleet.of_service(service) if s.usable]
        await asyncio.gather(*(self._look(server) for server in servers))
        views = []
        loading: dict[str, int] = {}
        for server in servers:
            book = self._books.get(server.name)
            if book is None or not book.known:
                continue
            if book.loading:
                loading[book.loading] = loading.get(book.loading, 0) + 1
            views.append(self._view(server, book, spec))
        now_s = self._ports.clock.monotonic_s()
        steps = plan_steps(
            views,
            spec.models,
            self._ports.demand(service),
            loading=loading,
            store_room=self._ceiling.room(now_s, per_s=spec.loads_per_s),
        )
        return [(step, spec) for step in steps]

    def _view(
        self, server: BackendServer, book: EngineBook, spec: EngineSpec
    ) -> EngineView:
        near = dict.fromkeys(server.entry.on_disk, 0.0)
        for name in near:
            near[name] = spec.models[name].disk_load_s if name in spec.models else 1.0
        for name in server.entry.in_memory:
            if name in spec.models:
                near[name] = spec.models[name].warm_load_s
        in_use: dict[str, int] = {}
        for flight in server.flights.values():
            in_use[flight.model] = in_use.get(flight.model, 0) + 1
        return EngineView(
            name=server.name,
            memory_mb=spec.memory_mb,
            used_mb=self._used_mb(book, spec),
            models=frozenset(book.models - {book.unloading}),
            settled=not book.busy and server.entry.remaining_s is None,
            in_use=in_use,
            near=near,
            load=server.unread_tokens / 30_000,
        )

    @staticmethod
    def _used_mb(book: EngineBook, spec: EngineSpec) -> float:
        return book.used_mb(
            {name: model.size_mb for name, model in spec.models.items()},
            {name: model.adapter_mb for name, model in spec.models.items()},
        )

    async def _look(self, server: BackendServer) -> None:
        """Read an engine's report where the book may be behind."""
        book = self._books.setdefault(server.name, EngineBook(server=server.name))
        now_s = self._ports.clock.monotonic_s()
        due = not book.known or (
            book.busy
            and now_s - book.looked_s >= LOOK_INTERVAL_S
            and now_s - book.ordered_s >= REPORT_LAG_S
        )
        if not due:
            return
        book.looked_s = now_s
        try:
            report = await self._ports.engines.report(server.address, server.name)
        except ExchangeError as error:
            _log.info("report_unread", peer=server.name, why=error.message)
            return
        was_loading, was_unloading = book.loading, book.unloading
        book.take(report, now_s=now_s)
        if not book.busy:
            if was_loading and was_loading in book.models:
                self._ports.on_held(server.name, was_loading, "", True)
            if was_unloading and was_unloading not in book.models:
                server.dropping.pop(was_unloading, None)
                self._ports.on_held(server.name, was_unloading, "", False)

    async def _take_step(self, step: Step, spec: EngineSpec) -> None:
        server = self._ports.fleet.servers.get(step.engine)
        if server is None:
            return
        async with self._lock(step.engine):
            book = self._books[step.engine]
            if book.busy:
                return
            if step.action is OrderAction.LOAD:
                size_mb = spec.models[step.model].size_mb
                if self._used_mb(book, spec) + size_mb > spec.memory_mb:
                    return
                if step.from_store:
                    self._ceiling.note(self._ports.clock.monotonic_s())
            reply = await self._send(server, book, step.action, step.model)
            if reply is OrderReply.ACCEPTED:
                book.busy = True
                if step.action is OrderAction.LOAD:
                    book.loading = step.model
                else:
                    book.unloading = step.model
                    for name in list(book.adapters):
                        if name.startswith(f"{step.model}/"):
                            del book.adapters[name]
                    server.dropping[step.model] = (
                        self._ports.clock.monotonic_s() + DROPPING_MAX_S
                    )
                    self._ports.on_held(server.name, step.model, "", False)

    # Adapters

    async def ensure_adapter(
        self, service: str, server_name: str, model: str, adapter: str
    ) -> bool:
        """Get an adapter onto an engine; False if it can't be there now."""
        catalog = self._ports.catalog()
        server = self._ports.fleet.servers.get(server_name)
        if catalog is None or server is None or not self._ports.may_order():
            return False
        found = catalog.services.get(service)
        if found is None or found.engine is None:
            return False
        spec = found.engine
        name = f"{model}/{adapter}"
        async with self._lock(server_name):
            book = self._books.setdefault(server_name, EngineBook(server=server_name))
            if not book.known:
                await self._look(server)
            now_s = self._ports.clock.monotonic_s()
            if not book.known or model not in book.models or model == book.unloading:
                return False
            if name in book.adapters:
                book.adapters[name] = now_s
                return True
            if not await self._make_adapter_room(server, book, spec, model):
                return False
            reply = await self._send(server, book, OrderAction.LOAD, model, adapter)
            if reply not in (OrderReply.ACCEPTED, OrderReply.HOLDS):
                return False
            book.adapters[name] = now_s
        await asyncio.sleep(ADAPTER_SETTLES_S)
        self._ports.on_held(server_name, model, adapter, True)
        return True

    async def _make_adapter_room(
        self, server: BackendServer, book: EngineBook, spec: EngineSpec, model: str
    ) -> bool:
        now_s = self._ports.clock.monotonic_s()
        free_mb = spec.memory_mb - self._used_mb(book, spec)
        size_mb = spec.models[model].adapter_mb if model in spec.models else 0.0
        if len(book.adapters) < spec.adapter_slots and size_mb <= free_mb:
            return True
        # The one asked for longest ago; engines finish its requests first.
        idle = [
            (used_s, name)
            for name, used_s in book.adapters.items()
            if used_s < now_s - ADAPTER_KEPT_S
        ]
        if not idle:
            return False
        victim = min(idle)[1]
        victim_model, _, adapter = victim.partition("/")
        reply = await self._send(
            server, book, OrderAction.UNLOAD, victim_model, adapter
        )
        if reply not in (OrderReply.ACCEPTED, OrderReply.HOLDS):
            return False
        del book.adapters[victim]
        self._ports.on_held(server.name, victim_model, adapter, False)
        return True

    # Orders

    async def _send(
        self,
        server: BackendServer,
        book: EngineBook,
        action: OrderAction,
        model: str,
        adapter: str = "",
    ) -> OrderReply | None:
        """Send one order until its fate is known; None if it stays unknown.

        An order without an answer may still be carried out. Sent again with
        the same expected sequence, only one of the two can be.
        """
        ports = self._ports
        for _ in range(ORDER_TRIES):
            if not ports.may_order():
                return None
            order = Order(
                action=action,
                server=server.name,
                model=model,
                adapter=adapter,
                holder=ports.me,
                fence=ports.fence(),
                expected_sequence=book.sequence,
            )
            reply: OrderReply | None = None
            why = ""
            self.acted_s = self._boot.monotonic_s()
            try:
                reply = await ports.engines.order(server.address, order)
            except ExchangeError as error:
                why = error.message
            self._note(order, reply, why)
            if reply is OrderReply.ACCEPTED:
                book.sequence += 1
                book.ordered_s = ports.clock.monotonic_s()
                return reply
            if reply is OrderReply.CONFLICT:
                book.known = False
                await asyncio.sleep(REPORT_LAG_S)
                await self._look(server)
                return reply
            if reply is not None:
                return reply
        book.known = False
        return None

    def _note(self, order: Order, reply: OrderReply | None, why: str) -> None:
        outcome = reply.value if reply else "unanswered"
        key = (
            f"{order.action.value}_{'adapter' if order.adapter else 'model'}_{outcome}"
        )
        self.outcomes[key] = self.outcomes.get(key, 0) + 1
        _log.info(
            "order",
            step="order",
            peer=order.server,
            action=order.action.value,
            model=order.model,
            adapter=order.adapter,
            fence=order.fence,
            sequence=order.expected_sequence,
            outcome=outcome,
            why=why,
        )

    def _lock(self, server: str) -> asyncio.Lock:
        return self._locks.setdefault(server, asyncio.Lock())
